"""Tests of `_dogwoodhinge.callers.app`: input, outcomes, disconnects."""

import asyncio
from collections.abc import AsyncIterator
import json
from typing import Any

import aiohttp
import pytest

from _dogwoodhinge import injection
from _dogwoodhinge.callers import generation_handlers
from dogwoodhinge_lab import dispatch_fakes
from dogwoodhinge_lab import memory_table

Fault = dispatch_fakes.StreamFault
ServiceFault = dispatch_fakes.ServiceFault
COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
RESERVE = "/v1/services/booking/reserve"
INVALID_API_KEY = "invalid_api_key"
OPERATION_NOT_FOUND = "operation_not_found"
METHOD_NOT_ALLOWED = "method_not_allowed"
VALID_BODY = {"model": "staves@v1", "prompt": "oak"}


@pytest.fixture
async def http(harness: Any) -> AsyncIterator[aiohttp.ClientSession]:
    session = aiohttp.ClientSession(
        harness.url, headers={"Authorization": f"Bearer {harness.key}"}
    )
    async with session:
        yield session


def body(**changes: Any) -> bytes:
    return json.dumps({**VALID_BODY, **changes}).encode()


def bad_input(
    name: str,
    data: bytes,
    code: str = "invalid_request",
    *,
    status: int = 400,
    path: str = COMPLETIONS,
    **headers: str,
) -> Any:
    """Returns a test case; `_` in a header name stands for `-`."""
    sent = {key.replace("_", "-"): value for key, value in headers.items()}
    return pytest.param(path, data, sent, status, code, id=name)


@pytest.mark.parametrize(
    ("path", "data", "headers", "status", "code"),
    [
        bad_input("json", b"{"),
        bad_input("not utf-8", b"\xff"),
        bad_input("nested", b"[" * 1_900),
        bad_input("no object", b"[]"),
        bad_input("no model", b'{"prompt": "oak"}'),
        bad_input("no prompt", b'{"model": "staves@v1"}'),
        bad_input("two prompts", body(prompt=["a", "b"])),
        bad_input("no messages", body(messages=[]), path=CHAT),
        bad_input("n", body(n=2)),
        bad_input("max_tokens 0", body(max_tokens=0)),
        bad_input("max_tokens text", body(max_tokens="5")),
        bad_input("max_tokens over the contract", body(max_tokens=101)),
        bad_input("no version", body(model="x"), "model_not_found", status=404),
        bad_input(
            "adapter", body(model="oak@v1"), "model_not_found", status=404
        ),
        bad_input(
            "version", body(model="staves@v9"), "model_not_found", status=404
        ),
        bad_input(
            "size", body(prompt="x" * 3_000), "body_too_large", status=413
        ),
        bad_input(
            "key", body(), INVALID_API_KEY, status=401, Authorization="Bearer x"
        ),
        bad_input(
            "scheme",
            body(),
            INVALID_API_KEY,
            status=401,
            Authorization="Basic x",
        ),
        bad_input("deadline text", body(), X_Deadline_Ms="soon"),
        bad_input("deadline 0", body(), X_Deadline_Ms="0"),
        bad_input("deadline too long", body(), X_Deadline_Ms="3600001"),
        bad_input("no idempotency key", b"", path=RESERVE),
        bad_input("long key", b"", path=RESERVE, Idempotency_Key="k" * 256),
        bad_input(
            "operation",
            b"",
            OPERATION_NOT_FOUND,
            status=404,
            path=f"{RESERVE}d",
        ),
        bad_input("path", b"", "not_found", status=404, path="/v1/nothing"),
        bad_input(
            "method", b"", METHOD_NOT_ALLOWED, status=405, path="/v1/models"
        ),
    ],
)
async def test_invalid_input_is_rejected_and_runs_nothing(
    harness: Any,
    http: aiohttp.ClientSession,
    path: str,
    data: bytes,
    headers: dict[str, str],
    status: int,
    code: str,
) -> None:
    async with http.post(path, data=data, headers=headers) as response:
        problem = await response.json(content_type="application/problem+json")
    assert response.status == problem["status"] == status
    assert problem["error"]["code"] == code
    assert problem["run"] == "no"
    assert problem["request_id"] == response.headers["X-Request-Id"]
    assert harness.engine.starts == []
    assert harness.service.runs == []
    assert harness.quotas.held == 0
    async with http.post(COMPLETIONS, data=body()) as response:
        assert response.status == 200


@pytest.mark.parametrize(
    ("faults", "status", "run", "starts"),
    [
        pytest.param([], 200, None, 1, id="none"),
        pytest.param([Fault.UNREACHABLE] * 4, 503, "no", 0, id="unreachable"),
        pytest.param([Fault.UNAVAILABLE] * 4, 503, "no", 0, id="engine 503"),
        pytest.param([Fault.NOT_LOADED] * 4, 503, "no", 0, id="not loaded"),
        pytest.param([Fault.STALE_FENCE] * 4, 503, "no", 0, id="stale fence"),
        pytest.param(
            [Fault.NOT_LOADED], 200, None, 1, id="loaded at second try"
        ),
        pytest.param(
            [Fault.OUTCOME_UNKNOWN] * 12, 504, "unknown", 0, id="no answer"
        ),
        pytest.param([Fault.CRASH], 504, "unknown", 1, id="crash mid-stream"),
        pytest.param(
            [Fault.END_EARLY, Fault.REFUSED], 504, "unknown", 1, id="cut"
        ),
    ],
)
async def test_outcomes_of_a_generation(
    harness: Any,
    http: aiohttp.ClientSession,
    faults: list[Fault],
    status: int,
    run: str | None,
    starts: int,
) -> None:
    harness.engine.plan(*faults)
    async with http.post(COMPLETIONS, data=body()) as response:
        answer = await response.json(content_type=None)
    assert response.status == status
    assert answer.get("run") == run
    assert len(harness.engine.starts) == starts
    await harness.generations.settle()
    assert harness.quotas.held == 0
    assert len(harness.cluster.releases) == harness.cluster.grants


@pytest.mark.parametrize(
    ("faults", "status", "run", "runs"),
    [
        pytest.param([], 201, None, 1, id="none"),
        pytest.param([ServiceFault.UNREACHABLE], 503, "no", 0, id="no route"),
        pytest.param(
            [ServiceFault.LOST_BEFORE], 504, "unknown", 0, id="lost before"
        ),
        pytest.param(
            [ServiceFault.LOST_AFTER], 504, "unknown", 1, id="lost after"
        ),
    ],
)
async def test_outcomes_of_a_reservation(
    harness: Any,
    http: aiohttp.ClientSession,
    faults: list[ServiceFault],
    status: int,
    run: str | None,
    runs: int,
) -> None:
    harness.service.faults.extend(faults)
    headers = {"Idempotency-Key": "k1"}
    async with http.post(RESERVE, data=b"{}", headers=headers) as response:
        text = await response.text()
    assert response.status == status
    assert (json.loads(text)["run"] if run else None) == run
    assert len(harness.service.runs) == runs


async def test_reservation_is_replayed(
    harness: Any, http: aiohttp.ClientSession
) -> None:
    headers = {"Idempotency-Key": "k1"}
    answers = []
    for _ in range(2):
        async with http.post(RESERVE, data=b"1", headers=headers) as response:
            answers.append((response.status, await response.read()))
    assert response.headers["Idempotency-Replayed"] == "true"
    assert answers[0] == answers[1]
    assert len(harness.service.runs) == 1
    async with http.post(RESERVE, data=b"2", headers=headers) as response:
        problem = await response.json(content_type=None)
    assert response.status == 422
    assert problem["run"] == "no"


async def test_reservation_is_not_run_while_the_table_is_unavailable(
    harness: Any, http: aiohttp.ClientSession
) -> None:
    harness.table.fault = memory_table.Fault.UNAVAILABLE
    headers = {"Idempotency-Key": "k1"}
    async with http.post(RESERVE, data=b"1", headers=headers) as response:
        problem = await response.json(content_type=None)
    assert response.status == 503
    assert problem["run"] == "no"
    assert response.headers["Retry-After"]
    assert harness.service.runs == []


async def test_reservation_continues_after_its_caller_disconnects(
    harness: Any, http: aiohttp.ClientSession
) -> None:
    harness.service.hold = asyncio.Event()
    headers = {"Idempotency-Key": "k1"}
    first = asyncio.create_task(http.post(RESERVE, data=b"1", headers=headers))
    await harness.service.begun.wait()
    async with http.post(RESERVE, data=b"1", headers=headers) as response:
        problem = await response.json(content_type=None)
    assert response.status == 409
    assert problem["error"]["code"] == "in_progress"
    first.cancel()
    await harness.request_tracker.wait_idle()
    assert harness.quotas.held == 1
    harness.service.hold.set()
    await harness.plain_calls.settle()
    async with http.post(RESERVE, data=b"1", headers=headers) as response:
        assert response.status == 201
    assert len(harness.service.runs) == 1


@pytest.mark.parametrize("stream", [False, True])
async def test_disconnect_cancels_the_generation(
    harness: Any, http: aiohttp.ClientSession, stream: bool
) -> None:
    harness.engine.plan(Fault.SILENT)
    harness.generations.settings = harness.generations.settings.model_copy(
        update={"gap_seconds": 60.0}
    )
    request_task = asyncio.create_task(
        http.post(COMPLETIONS, data=body(stream=stream))
    )
    await harness.engine.begun.wait()
    if stream:
        response = await request_task
        response.close()
    request_task.cancel()
    await harness.quotas.idle.wait()
    await harness.generations.settle()
    assert len(harness.engine.cancelled) == 1
    assert len(harness.cluster.releases) == 1


async def test_interrupted_stream_ends_with_an_error_event(
    harness: Any, http: aiohttp.ClientSession
) -> None:
    harness.engine.plan(Fault.BROKEN, Fault.REFUSED)
    async with http.post(COMPLETIONS, data=body(stream=True)) as response:
        text = await response.text()
    assert response.status == 200
    *_, last = text.strip().split("\n\n")
    name, data = last.split("\n")
    assert name == "event: error"
    assert json.loads(data.removeprefix("data: "))["run"] == "unknown"
    assert "[DONE]" not in text


async def test_unknown_members_reach_the_engine(
    harness: Any, http: aiohttp.ClientSession
) -> None:
    async with http.post(COMPLETIONS, data=body(guided="x")) as response:
        assert response.status == 200
    members = json.loads(harness.engine.requests[0].body)
    assert members["guided"] == "x"
    assert members["max_tokens"] == 100


async def test_unexpected_exception_is_an_internal_error(
    harness: Any, http: aiohttp.ClientSession
) -> None:
    async def fail() -> None:
        raise RuntimeError("injected failure")

    injection.arm(injection.Step.LIMIT, fail)
    try:
        async with http.post(COMPLETIONS, data=body()) as response:
            problem = await response.json(content_type=None)
    finally:
        injection.disarm_all()
    assert response.status == 500
    assert problem["run"] == "unknown"
    async with http.post(COMPLETIONS, data=body()) as response:
        assert response.status == 200


async def test_unready_node_rejects_requests(
    harness: Any, http: aiohttp.ClientSession
) -> None:
    harness.serving = False
    harness.unready_reason = "no configuration yet"
    async with http.get("/readyz") as response:
        assert response.status == 503
    async with http.get("/livez") as response:
        assert response.status == 200
    async with http.post(COMPLETIONS, data=body()) as response:
        problem = await response.json(content_type=None)
    assert response.status == 503
    assert problem["run"] == "no"


@pytest.mark.parametrize(
    ("path", "header", "status"),
    [
        pytest.param(COMPLETIONS, b"Authorization: Bearer \xff", 401, id="key"),
        pytest.param(RESERVE, b"Idempotency-Key: \xff", 400, id="idempotency"),
        pytest.param(RESERVE, b"Content-Type: \xff", 400, id="content type"),
    ],
)
async def test_non_ascii_header_is_rejected(
    harness: Any, path: str, header: bytes, status: int
) -> None:
    header_name = header.partition(b":")[0]
    defaults = {
        b"Authorization": f"Bearer {harness.key}".encode(),
        b"Idempotency-Key": b"k1",
    }
    lines = [
        f"POST {path} HTTP/1.1\r\nHost: node\r\nConnection: close".encode(),
        b"Content-Length: 2",
        header,
    ]
    lines += [b"%s: %s" % i for i in defaults.items() if i[0] != header_name]
    port = int(harness.url.rpartition(":")[2])
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"\r\n".join(lines) + b"\r\n\r\n{}")
    answer = await reader.read()
    writer.close()
    head, _, text = answer.partition(b"\r\n\r\n")
    assert int(head.split()[1]) == status
    assert json.loads(text)["run"] == "no"
    assert harness.service.runs == []


async def test_complete_response_without_end_is_an_error(
    http: aiohttp.ClientSession, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that collects a generation without end."""
    monkeypatch.setattr(generation_handlers, "MAX_COLLECTED_BYTES", 100)
    async with http.post(COMPLETIONS, data=body()) as response:
        problem = await response.json()
    assert (response.status, problem["run"]) == (504, "unknown")
    assert "exceeds 100 bytes" in json.dumps(problem)
