"""Tests of the operator port."""

from collections.abc import AsyncIterator
import datetime
import json
from typing import Any

import aiohttp
import pytest

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import validation
from dogwoodhinge_lab import config_nodes
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab import memory_table

CONTRACT: dict[str, Any] = {
    "customer": "aduelas",
    "api_keys": [{"id": "main", "sha256": contract_lib.hash_key("k")}],
    "limits": {"requests_per_second": 10, "concurrency": 8},
    "adapters": [{"name": "staves-*", "versions": ["*"], "role": "drafts"}],
}
PATH = "/v1/contracts/aduelas"
HEADERS = {
    "Authorization": f"Bearer {config_nodes.OPERATOR_KEY}",
    "X-Operator": "rosa",
    "Idempotency-Key": "change-1",
    "If-None-Match": "*",
}

Cluster = config_nodes.ConfigCluster


class OperatorClient:
    """Sends requests to one node's operator port."""

    def __init__(self, node: config_nodes.ConfigNode) -> None:
        self.node = node
        self.session = aiohttp.ClientSession()

    async def __call__(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        **headers: str,
    ) -> tuple[int, Any, Any]:
        """Returns status, body and headers; omits headers that are ""."""
        overrides = {name.replace("_", "-"): v for name, v in headers.items()}
        sent = {k: v for k, v in {**HEADERS, **overrides}.items() if v}
        async with self.session.request(
            method, self.node.url + path, data=body, headers=sent
        ) as response:
            text = await response.text()
            parsed = json.loads(text) if text.startswith("{") else text
            return response.status, parsed, response.headers

    async def put(
        self, document: dict[str, Any] | None = None, **headers: str
    ) -> tuple[int, Any, Any]:
        body = json.dumps(CONTRACT if document is None else document).encode()
        return await self("PUT", PATH, body=body, **headers)


@pytest.fixture
def cluster() -> Cluster:
    return Cluster(clock=manual_clock.ManualClock())


@pytest.fixture
async def http(cluster: Cluster) -> AsyncIterator[OperatorClient]:
    node = cluster.add("host-1")
    await node.start()
    await node.view.poll()
    client = OperatorClient(node)
    yield client
    await client.session.close()
    await node.stop()


def contract_with(**members: Any) -> dict[str, Any]:
    return {**CONTRACT, **members}


async def test_contract_is_put_read_and_deleted(
    http: OperatorClient, cluster: Cluster
) -> None:
    status, body, headers = await http.put()
    assert (status, body["revision"], headers["ETag"]) == (200, 1, '"1"')
    status, body, _ = await http("GET", PATH)
    assert (body["revision"], body["source"]) == (1, "table")
    assert body["contract"]["limits"]["concurrency"] == 8
    await http.node.view.poll()
    _, body, _ = await http("GET", "/v1/contracts")
    assert body["contracts"] == [{"customer": "aduelas", "revision": 1}]
    status, body, _ = await http(
        "DELETE",
        PATH,
        If_None_Match="",
        If_Match='"1"',
        Idempotency_Key="change-2",
    )
    assert (status, body["revision"]) == (200, 2)
    status, _, _ = await http("GET", PATH)
    assert status == 404
    _, body, _ = await http("GET", PATH + "/history")
    kinds = [(c["revision"], c["kind"], c["operator"]) for c in body["changes"]]
    assert kinds == [(1, "put", "rosa"), (2, "delete", "rosa")]
    _, body, _ = await http("GET", "/v1/changes/1")
    assert body["contract"]["customer"] == "aduelas"


async def test_retried_change_takes_effect_once(
    http: OperatorClient,
) -> None:
    await http.put()
    status, body, _ = await http.put()
    assert (status, body["revision"]) == (200, 1)


async def test_conflict_shows_base_and_contract_in_force(
    http: OperatorClient,
) -> None:
    await http.put()
    limits = {"requests_per_second": 10, "concurrency": 9}
    from_revision_1 = {"If_None_Match": "", "If_Match": '"1"'}
    await http.put(
        contract_with(limits=limits),
        Idempotency_Key="change-2",
        **from_revision_1,
    )
    status, body, headers = await http.put(
        contract_with(weight=2), Idempotency_Key="change-3", **from_revision_1
    )
    assert status == 412
    assert headers["Content-Type"].startswith("application/problem+json")
    assert (body["expected_revision"], body["actual_revision"]) == (1, 2)
    assert body["base"]["limits"]["concurrency"] == 8
    assert body["in_force"]["limits"]["concurrency"] == 9
    assert body["applied"] == "no"


@pytest.mark.parametrize(
    ("headers", "status", "expected_detail"),
    [
        pytest.param(
            {"Authorization": ""}, 401, "operator key", id="no credential"
        ),
        pytest.param(
            {"Authorization": "Bearer wrong"}, 401, "wrong", id="wrong key"
        ),
        pytest.param(
            {"Authorization": config_nodes.OPERATOR_KEY},
            401,
            "Bearer",
            id="key without Bearer",
        ),
        pytest.param(
            {"If_None_Match": ""}, 428, "If-Match", id="no expected revision"
        ),
        pytest.param(
            {"If_None_Match": "", "If_Match": "abc"},
            400,
            "whole number",
            id="expected revision not a number",
        ),
        pytest.param(
            {"Idempotency_Key": ""}, 400, "Idempotency-Key", id="no change id"
        ),
        pytest.param({"X_Operator": ""}, 400, "X-Operator", id="no operator"),
    ],
)
async def test_invalid_request_is_rejected(
    headers: dict[str, str],
    status: int,
    expected_detail: str,
    http: OperatorClient,
) -> None:
    actual_status, body, _ = await http.put(**headers)
    assert actual_status == status
    assert expected_detail in body["detail"]
    assert await http.node.log.head() == 0


@pytest.mark.parametrize(
    ("body", "status", "expected_detail"),
    [
        pytest.param(b"{", 422, "JSON", id="truncated JSON"),
        pytest.param(b"[]", 422, "contract", id="not an object"),
        pytest.param(
            json.dumps(contract_with(colour="red")).encode(),
            422,
            "colour: unknown field",
            id="unknown field",
        ),
        pytest.param(
            json.dumps(contract_with(customer="other")).encode(),
            400,
            "the same",
            id="contract of another customer",
        ),
        pytest.param(
            b" " * (validation.MAX_CONTRACT_BYTES + 1),
            413,
            "too large",
            id="too large",
        ),
    ],
)
async def test_invalid_contract_is_rejected(
    body: bytes, status: int, expected_detail: str, http: OperatorClient
) -> None:
    actual_status, problem, _ = await http("PUT", PATH, body=body)
    assert actual_status == status
    assert expected_detail in problem["detail"]
    assert await http.node.log.head() == 0


async def test_change_is_rejected_without_a_majority(
    http: OperatorClient,
) -> None:
    http.node.majority = False
    status, body, headers = await http.put()
    assert (status, body["applied"]) == (503, "no")
    assert body["type"].endswith("majority-not-renewed")
    line = json.loads(http.node.decisions.explain("change-1")[0])
    assert (line["decision"], line["chosen"]) == ("change", "refuse")
    assert int(headers["Retry-After"]) > 0


async def test_table_outage_rejects_changes_but_not_reads(
    http: OperatorClient, cluster: Cluster
) -> None:
    await http.put()
    await http.node.view.poll()
    cluster.table.fault = memory_table.Fault.UNAVAILABLE
    status, body, _ = await http.put(Idempotency_Key="change-2")
    assert (status, body["applied"]) == (503, "no")
    status, body, _ = await http("GET", PATH)
    assert (status, body["source"], body["revision"]) == (200, "node", 1)


async def test_revision_lists_lagging_nodes(
    http: OperatorClient, cluster: Cluster
) -> None:
    second = cluster.add("host-2")
    third = cluster.add("host-3")
    third.state = "lapsed"
    await http.put()
    await http.node.view.poll()
    _, body, _ = await http("GET", "/v1/revisions/1")
    assert not body["in_force"]
    assert body["summary"] == (
        "in force on 1 of 2, host-2 lags at 0, "
        "host-3 does not serve (lease lapsed)"
    )
    await second.view.poll()
    _, body, _ = await http("GET", "/v1/revisions/1")
    assert body["in_force"]


async def test_explain_merges_the_lines_of_all_nodes(
    http: OperatorClient, cluster: Cluster
) -> None:
    clock = cluster.clock
    assert isinstance(clock, manual_clock.ManualClock)
    nodes = [http.node, cluster.add("host-2"), cluster.add("host-3")]
    for node, chosen in zip(reversed(nodes), "abc", strict=True):
        node.decisions.record(
            decisions_lib.Decision(
                kind="route", chosen=chosen, reason="r", request_id="req-1"
            )
        )
        await clock.advance(datetime.timedelta(seconds=1))
    _, body, _ = await http("GET", "/v1/explain/req-1")
    assert [d["chosen"] for d in body["decisions"]] == ["a", "b", "c"]
    cluster.cut_off.add("host-2")
    _, body, _ = await http("GET", "/v1/explain/req-1")
    assert [d["chosen"] for d in body["decisions"]] == ["a", "c"]
    assert body["unanswered"] == ["host-2"]


@pytest.mark.parametrize("path", ["/livez", "/readyz", "/metrics"])
async def test_probes_need_no_credential(
    path: str, http: OperatorClient
) -> None:
    status, _, _ = await http("GET", path, Authorization="")
    assert status == 200


async def test_node_without_configuration_is_not_ready(
    http: OperatorClient,
) -> None:
    http.node.view.synced_once = False
    status, body, _ = await http("GET", "/readyz")
    assert (status, body) == (503, "not ready: not loaded\n")


async def test_status(http: OperatorClient) -> None:
    _, body, _ = await http("GET", "/v1/status")
    assert body["host_id"] == "host-1"
    assert body["configuration"]["confirmed_seconds_ago"] == 0
    assert [s["host_id"] for s in body["sessions"]] == ["host-1"]


async def test_unknown_path(http: OperatorClient) -> None:
    status, body, _ = await http("GET", "/v1/nothing")
    assert (status, body["status"]) == (404, 404)
