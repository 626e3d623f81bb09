"""Tests of `_dogwoodhinge.node` and `main` as real processes."""

import asyncio
import json
import os
import subprocess
import sys

import pytest

from _dogwoodhinge.peer import client
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge_lab import fleet
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_members
from dogwoodhinge_lab import fleet_shape

ENVIRONMENT = {
    "DOGWOODHINGE_HOST_ID": "host-1",
    "DOGWOODHINGE_TABLE_URL": "dynamodb+http://127.0.0.1:1",
    "DOGWOODHINGE_OBJECT_STORE_URL": "s3+http://127.0.0.1:1/objects",
    "DOGWOODHINGE_WEIGHT_STORE_URL": "s3+http://127.0.0.1:1/weights",
    "DOGWOODHINGE_HOST_LIST_URL": "sd+http://127.0.0.1:1/hosts",
    "DOGWOODHINGE_OPERATOR_KEY": "operator",
    "DOGWOODHINGE_PEER_KEY": "peer",
}
QUICK = fleet_shape.QUICK_SETTINGS
EXIT_INVALID_SETTINGS = 2
EXIT_DRAIN_INTERRUPTED = 3
LONG_COMPLETION = fleet_clients.Completion(
    model="description-1@v1", prompt="a whole inventory", max_tokens=300
)

ENDLESS_COMPLETION = fleet_clients.Completion(
    model="description-1@v1",
    prompt="all inventories",
    max_tokens=4_000,
    deadline_ms=600_000,
)


def run_node(
    *arguments: str, environment: dict[str, str]
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "dogwoodhinge", *arguments],
        env=os.environ | environment,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@pytest.mark.parametrize(
    ("arguments", "changes", "named"),
    [
        pytest.param(["--zone="], {}, "--zone", id="empty zone"),
        pytest.param(
            ["--table_url=ftp://127.0.0.1"], {}, "--table_url", id="no plug-in"
        ),
        pytest.param(
            ["--plugins=no.such.module"], {}, "no.such.module", id="plug-in"
        ),
        pytest.param(
            ["--routing_policy=best"], {}, "--routing_policy", id="policy"
        ),
        pytest.param(
            [],
            {"DOGWOODHINGE_PEER_KEY": ""},
            "--peer_key_file",
            id="no peer key",
        ),
        pytest.param(["serve"], {}, "'serve'", id="no flag"),
        pytest.param(
            ["--enable_injection=true", "--injection=nowhere=kill"],
            {},
            "nowhere=kill",
            id="unknown step",
        ),
    ],
)
def test_wrong_setting_ends_with_one_line(
    arguments: list[str], changes: dict[str, str], named: str
) -> None:
    ended = run_node(*arguments, environment=ENVIRONMENT | changes)
    assert ended.returncode == EXIT_INVALID_SETTINGS
    assert named in ended.stderr
    assert len(ended.stderr.strip().splitlines()) == 1


async def test_peer_port_answers_in_the_running_loop() -> None:
    """A gRPC server created outside the running loop never responds."""
    async with fleet.Fleet(fleet_shape.Shape(nodes=1, engines=())) as running:
        (node,) = running.running_nodes()
        peers = client.PeerClient(key=running.peer_key, revision=lambda: 0)
        request = peer_pb2.ListGrantsRequest(engine_id="engine-1", token=1)
        reply = await peers.call(node.peer_address, "ListGrants", request)
        peers.close()
    assert list(reply.grants) == []


async def wait_until_running(running: fleet.Fleet) -> None:
    async def is_running() -> bool:
        report = await running.control.get(
            f"{running.standins['engine-1'].address}/v1/load_report"
        )
        return bool(report["running"])

    await fleet_clients.poll_until(
        is_running, what="a running generation", seconds=20
    )


async def wait_until_draining(node: fleet_members.FleetNode) -> None:
    async def is_draining() -> bool:
        return not await node.is_ready()

    await fleet_clients.poll_until(
        is_draining, what="a draining node", seconds=20
    )


async def wait_until_in_force(running: fleet.Fleet, revision: int) -> None:
    async def is_in_force() -> bool:
        statuses = [await node.status() for node in running.running_nodes()]
        return all(
            status["configuration"]["revision"] >= revision
            for status in statuses
        )

    await fleet_clients.poll_until(
        is_in_force, what="the contract in force", seconds=20
    )


async def test_request_goes_from_caller_to_engine_and_back() -> None:
    shape = fleet_shape.Shape(nodes=3, settings=dict(QUICK))
    async with fleet.Fleet(shape) as running:
        revision = await running.apply_contract()
        await running.settle()
        await wait_until_in_force(running, revision)
        wanted = fleet_clients.Completion(
            model="description-1@v1", prompt="a cask of amburana"
        )
        answers = [
            await running.caller.complete(node.caller_url, wanted)
            for node in running.running_nodes()
        ]
        records = await running.standins["engine-1"].records()
        owner = await running.owner_of("engine-1")
        assert owner is not None
        _, text = await running.control.text(f"{owner.operator_url}/metrics")
    assert [answer.status for answer in answers] == [200, 200, 200]
    assert json.dumps(records).count('"description-1@v1"') >= len(answers)
    assert 'dogwoodhinge_engine_residents{engine="engine-1"} 1' in text


async def test_drain_cuts_no_stream() -> None:
    shape = fleet_shape.Shape(nodes=2, settings=dict(QUICK))
    async with fleet.Fleet(shape) as running:
        revision = await running.apply_contract()
        await running.settle()
        await wait_until_in_force(running, revision)
        leaving, staying = running.running_nodes()
        stream = asyncio.create_task(
            running.caller.complete(leaving.caller_url, LONG_COMPLETION)
        )
        await wait_until_running(running)
        leaving.process.terminate()
        answer = await stream
        code = await leaving.process.wait()
        await running.settle()
        after = await running.caller.complete(
            staying.caller_url, LONG_COMPLETION
        )
    assert answer.whole
    assert len(answer.text.split()) == LONG_COMPLETION.max_tokens
    assert code == 0
    assert after.whole


async def test_second_signal_cuts_the_drain_short() -> None:
    shape = fleet_shape.Shape(nodes=1, settings=dict(QUICK))
    async with fleet.Fleet(shape) as running:
        await running.apply_contract()
        await running.settle()
        (node,) = running.running_nodes()
        stream = asyncio.create_task(
            running.caller.complete(node.caller_url, ENDLESS_COMPLETION)
        )
        await wait_until_running(running)
        node.process.terminate()
        await wait_until_draining(node)
        node.process.terminate()
        code = await node.process.wait()
        answer = await stream
    assert code == EXIT_DRAIN_INTERRUPTED
    assert not answer.whole


async def test_node_stops_while_the_table_is_down() -> None:
    shape = fleet_shape.Shape(nodes=1, settings=dict(QUICK))
    async with fleet.Fleet(shape) as running:
        await running.apply_contract()
        await running.settle()
        (node,) = running.running_nodes()
        await running.standins["table"].set_faults(outage="drop")
        node.process.terminate()
        assert await node.process.wait() == 0
