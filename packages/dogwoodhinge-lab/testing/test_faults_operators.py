"""Tests of `dogwoodhinge_lab.faults_operators`."""

from collections.abc import Iterator
import os
import signal
import subprocess
import sys
from typing import Any
from unittest import mock

import pytest

from dogwoodhinge_lab import faults_operators
from dogwoodhinge_lab import fleet_members


@pytest.fixture
def stopped_pid() -> Iterator[int]:
    code = "import time; time.sleep(60)"
    process = subprocess.Popen([sys.executable, "-c", code])
    os.kill(process.pid, signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
    yield process.pid
    process.kill()
    process.wait()


def node_with(pid: int, answer: Any) -> fleet_members.FleetNode:
    """Returns a node whose operators' port answers."""
    node = mock.create_autospec(fleet_members.FleetNode, instance=True)
    node.process = mock.Mock(pid=pid)
    node.control = mock.Mock(get=mock.AsyncMock(side_effect=answer))
    node.operator_url = "http://127.0.0.1:1"
    node.is_stopped = fleet_members.FleetNode.is_stopped.fget(node)
    return node


async def test_stopped_node_is_not_asked_for_the_revision(
    stopped_pid: int,
) -> None:
    """It was asked first, and held the race of operators up for 10 s.

    The node that was stopped meanwhile lost its session and its stream.
    """
    stopped = node_with(stopped_pid, AssertionError("it was asked"))
    running = node_with(os.getpid(), [{"revision": 7}])
    fleet = mock.Mock(running_nodes=lambda: [stopped, running])
    operators = faults_operators.Operators(fleet)
    assert await operators.revision() == 7
