"""Tests of the command line against in-process operator ports."""

from collections.abc import AsyncIterator
import dataclasses
import io
import json
import pathlib
from typing import Any

import pytest
import yaml

from _dogwoodctl import exit_codes
from _dogwoodctl import main
from _dogwoodhinge import clock as clock_lib
from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge.config import contract as contract_lib
from dogwoodhinge import errors as public_errors
from dogwoodhinge import models
from dogwoodhinge_lab import config_nodes
from dogwoodhinge_lab import memory_table

ExitCode = exit_codes.ExitCode
Fault = memory_table.Fault

CONTRACT: dict[str, Any] = {
    "customer": "aduelas",
    "api_keys": [{"id": "main", "sha256": contract_lib.hash_key("k")}],
    "limits": {"requests_per_second": 10, "concurrency": 8},
}


@dataclasses.dataclass
class Result:
    """Exit code, stdout and stderr of a command."""

    code: int
    out: str
    error: str


class Operator:
    """Runs commands against a cluster of two nodes."""

    def __init__(
        self, cluster: config_nodes.ConfigCluster, directory: pathlib.Path
    ) -> None:
        self.cluster = cluster
        self.file = directory / "aduelas.yaml"
        self.environment = {"DOGWOODCTL_OPERATOR_KEY": "operator-key"}

    async def run(self, *arguments: str, stdin: str = "") -> Result:
        urls = ",".join(node.url for node in self.cluster.nodes.values())
        environment = {"DOGWOODCTL_NODES": urls, **self.environment}
        out, error = io.StringIO(), io.StringIO()
        code = await main.run_command(
            ["dogwoodctl", *arguments],
            environment,
            stdin=io.StringIO(stdin),
            stdout=out,
            stderr=error,
        )
        return Result(code, out.getvalue(), error.getvalue())

    def write(self, **members: Any) -> str:
        self.file.write_text(yaml.safe_dump({**CONTRACT, **members}))
        return str(self.file)

    async def apply(self, *arguments: str, **members: Any) -> Result:
        file = self.write(**members)
        return await self.run("contract", "apply", file, *arguments)


@pytest.fixture
async def operator(tmp_path: pathlib.Path) -> AsyncIterator[Operator]:
    cluster = config_nodes.ConfigCluster(clock=clock_lib.SystemClock())
    for host_id in ("host-1", "host-2"):
        node = cluster.add(host_id, poll_seconds=0.02)
        await node.start()
        await node.view.poll()
    yield Operator(cluster, tmp_path)
    for node in cluster.nodes.values():
        await node.stop()


async def test_apply_is_idempotent_and_readable(operator: Operator) -> None:
    result = await operator.apply()
    assert result == Result(0, "aduelas applied, revision 1\n", "")
    result = await operator.apply()
    assert result.out == "aduelas unchanged, revision 1\n"
    result = await operator.run("contract", "get", "aduelas")
    assert result.out.startswith("# revision: 1\n")
    assert yaml.safe_load(result.out)["limits"]["concurrency"] == 8
    for node in operator.cluster.nodes.values():
        await node.view.poll()
    result = await operator.run("contract", "list", "--output", "json")
    contracts = json.loads(result.out)["contracts"]
    assert contracts == [{"customer": "aduelas", "revision": 1}]


async def test_apply_waits_until_in_force(operator: Operator) -> None:
    nodes = operator.cluster.nodes.values()
    for node in nodes:
        await node.view.start()
    result = await operator.apply("--wait")
    assert result.out == "aduelas applied, revision 1, in force on 2 of 2\n"
    for node in nodes:
        await node.view.stop()


async def test_wait_timeout_names_the_lagging_node(operator: Operator) -> None:
    first = operator.cluster.nodes["host-1"]
    await first.view.start()
    result = await operator.apply("--wait", "--wait_seconds=0.6")
    assert result.code == ExitCode.WAIT_TIMED_OUT
    assert "in force on 1 of 2, host-2 lags at 0" in result.error
    await first.view.stop()


async def test_edit_of_a_stale_revision_is_a_conflict(
    operator: Operator,
) -> None:
    await operator.apply()
    fetched = (await operator.run("contract", "get", "aduelas")).out
    await operator.apply(weight=2)
    operator.file.write_text(
        fetched.replace("concurrency: 8", "concurrency: 9")
    )
    result = await operator.run("contract", "apply", str(operator.file))
    assert result.code == ExitCode.CONFLICT
    assert "--- your base (revision 1)" in result.error
    assert "-weight: 1.0\n+weight: 2.0" in result.error
    stale = await operator.run(
        "contract", "delete", "aduelas", "--expected_revision=1"
    )
    assert stale.code == ExitCode.CONFLICT
    result = await operator.run("contract", "diff", str(operator.file))
    assert "-  concurrency: 8\n+  concurrency: 9" in result.out


async def test_delete_and_history(operator: Operator) -> None:
    await operator.apply("--operator=rosa")
    result = await operator.run("contract", "delete", "aduelas")
    assert result.code == ExitCode.OK
    result = await operator.run("contract", "get", "aduelas")
    assert result.code == ExitCode.NOT_FOUND
    result = await operator.run("contract", "delete", "aduelas")
    assert result.code == ExitCode.NOT_FOUND
    result = await operator.run("contract", "history", "aduelas")
    lines = [line.split() for line in result.out.splitlines()[1:]]
    assert [(line[0], line[2], line[3]) for line in lines] == [
        ("1", "put", "rosa"),
        ("2", "delete", "operator"),
    ]


@pytest.mark.parametrize("fault", [Fault.ANSWER_LOST, Fault.LOST_BEFORE])
async def test_change_is_applied_once_after_a_commit_fault(
    fault: memory_table.Fault, operator: Operator
) -> None:
    operator.cluster.table.commit_faults = [fault]
    result = await operator.apply()
    assert result.out == "aduelas applied, revision 1\n"
    assert await operator.cluster.make_log().head() == 1


async def test_node_fails_after_the_commit(operator: Operator) -> None:
    """The retry on the next node finds the committed change by its id."""
    first = operator.cluster.nodes["host-1"]
    append = first.log.append

    async def append_then_fail(*args: Any, **kwargs: Any) -> int:
        await append(*args, **kwargs)
        raise public_errors.DogwoodhingeError("the node fails")

    first.log.append = append_then_fail  # type: ignore[method-assign]
    result = await operator.apply()
    assert result.out == "aduelas applied, revision 1\n"
    assert await operator.cluster.make_log().head() == 1


async def test_apply_uses_the_next_node_if_the_first_is_down(
    operator: Operator,
) -> None:
    await operator.cluster.nodes["host-1"].stop()
    result = await operator.apply()
    assert result.out == "aduelas applied, revision 1\n"


async def test_change_without_a_majority_is_not_applied(
    operator: Operator,
) -> None:
    for node in operator.cluster.nodes.values():
        node.majority = False
    result = await operator.apply()
    assert result.code == ExitCode.UNREACHABLE
    assert "nothing was changed" in result.error
    assert await operator.cluster.make_log().head() == 0


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        pytest.param([], ExitCode.USAGE, "--help", id="no command"),
        pytest.param(["apply"], ExitCode.USAGE, "unknown", id="unknown"),
        pytest.param(
            ["contract", "apply"], ExitCode.USAGE, "FILE", id="no file"
        ),
        pytest.param(
            ["status", "--nodes=ftp://x"], ExitCode.USAGE, "https?", id="node"
        ),
        pytest.param(
            ["status", "--output=xml"], ExitCode.USAGE, "'json'", id="output"
        ),
        pytest.param(
            ["status", "--node=x"], ExitCode.USAGE, "node", id="unknown flag"
        ),
        pytest.param(
            ["status", "--key_file=/none"],
            ExitCode.USAGE,
            "--key_file",
            id="no key file",
        ),
        pytest.param(
            ["contract", "validate", "/none.yaml"],
            ExitCode.INVALID,
            "/none.yaml",
            id="missing file",
        ),
        pytest.param(
            ["contract", "get", "../status"],
            ExitCode.NOT_FOUND,
            "no contract",
            id="customer with a path in it",
        ),
        pytest.param(
            ["explain", ""], ExitCode.USAGE, "REQUEST_ID", id="empty argument"
        ),
        pytest.param(["key", "hash"], ExitCode.USAGE, "input", id="no key"),
    ],
)
async def test_usage_errors(
    arguments: list[str], code: int, message: str, operator: Operator
) -> None:
    result = await operator.run(*arguments)
    assert result.code == code
    assert message in result.error
    assert result.out == ""


async def test_wrong_operator_key_is_a_usage_error(operator: Operator) -> None:
    operator.environment["DOGWOODCTL_OPERATOR_KEY"] = "wrong"
    result = await operator.run("status")
    assert result.code == ExitCode.USAGE
    assert "operator key" in result.error


@pytest.mark.parametrize(
    ("text", "message"),
    [
        pytest.param("customer: [", "not YAML", id="truncated"),
        pytest.param("customer: a\ncustomer: b", ":2:1: ", id="duplicate key"),
        pytest.param("a: &x 1\nb: *x", "aliases", id="alias"),
        pytest.param("customer: 2026-01-01", "quotes", id="date"),
        pytest.param("? [a]\n: b", "not YAML", id="key is a list"),
        pytest.param("- a", "contract: ", id="list"),
        pytest.param("colour: red", "colour: unknown", id="unknown field"),
        pytest.param("!!python/name:os.system x", "not YAML", id="code"),
    ],
)
async def test_invalid_files(
    text: str, message: str, operator: Operator
) -> None:
    operator.file.write_text(text)
    result = await operator.run("contract", "validate", str(operator.file))
    assert result.code == ExitCode.INVALID
    assert message in result.error


async def test_status_endpoints_and_explain(operator: Operator) -> None:
    node = operator.cluster.nodes["host-2"]
    node.decisions.record(
        decisions_lib.Decision(
            kind="route", chosen="engine-1", reason="idle", request_id="r1"
        )
    )
    operator.cluster.endpoints = (
        models.Endpoint("engine-1", models.EndpointKind.ENGINE, "http://e"),
    )
    result = await operator.run("status")
    assert "node host-1" in result.out
    assert "host-2   live" in result.out
    result = await operator.run("endpoints")
    assert "engine-1" in result.out
    result = await operator.run("explain", "r1")
    assert "host-2 route: engine-1: idle" in result.out
    result = await operator.run("explain", "r2", "--output=json")
    assert json.loads(result.out)["decisions"] == []


async def test_errors_as_json(operator: Operator) -> None:
    result = await operator.run("contract", "get", "x", "--output=json")
    assert json.loads(result.error)["exit_code"] == ExitCode.NOT_FOUND


async def test_key_hash_and_help(operator: Operator) -> None:
    result = await operator.run("key", "hash", stdin="secret\n")
    assert result.out.strip() == contract_lib.hash_key("secret")
    result = await operator.run("--help")
    assert "contract apply FILE" in result.out
    assert "exit codes" in result.out
