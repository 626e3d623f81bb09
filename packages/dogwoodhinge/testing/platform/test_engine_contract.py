"""Tests of the contract of `ports.Engine`."""

from collections.abc import AsyncIterator
import datetime
import json

import pytest

from _dogwoodhinge.platform import openai_engine
from _dogwoodhinge.platform import token_stream
from dogwoodhinge import errors
from dogwoodhinge import models
from dogwoodhinge import ports
from dogwoodhinge_lab import generation
from dogwoodhinge_lab import manual_clock
from dogwoodhinge_lab.standins import engine as engine_standins
from dogwoodhinge_lab.standins import weights as weights_standins

ADAPTER = models.AdapterVersion("lots", "v1")
OTHER = models.AdapterVersion("lots", "v2")
THIRD = models.AdapterVersion("notes", "v1")
TOKENS = 8


def open_engine(url: str, clock: manual_clock.ManualClock) -> ports.Engine:
    endpoint = models.Endpoint("e-1", models.EndpointKind.ENGINE, url)
    engine = openai_engine.open_engine(endpoint, clock)
    assert engine is not None
    return engine


@pytest.fixture
async def engine(
    engine_standin: engine_standins.EngineStandin,
    clock: manual_clock.ManualClock,
) -> AsyncIterator[ports.Engine]:
    opened = open_engine(engine_standin.address, clock)
    yield opened
    await opened.close()


def weights_at(
    standin: weights_standins.WeightsStandin, adapter: models.AdapterVersion
) -> models.AdapterWeights:
    location = f"{standin.address}/w/{adapter.adapter}/{adapter.version}"
    return models.AdapterWeights(adapter, location, 1, "w")


def request(
    request_id: str = "r-1",
    *,
    token: int = 1,
    offset: int = 0,
    path: str = "/v1/completions",
    prompt: str = "staves",
) -> models.EngineRequest:
    body = {"model": "x", "prompt": prompt, "max_tokens": TOKENS}
    return models.EngineRequest(
        request_id=request_id,
        adapter=ADAPTER,
        path=path,
        body=json.dumps(body).encode(),
        token=token,
        priority=1,
        deadline=datetime.timedelta(seconds=5),
        offset=offset,
    )


async def collect(
    engine: ports.Engine,
    engine_request: models.EngineRequest,
    *,
    received: list[models.StreamChunk] | None = None,
) -> list[models.StreamChunk]:
    chunks = [] if received is None else received
    async for chunk in engine.open_stream(engine_request):
        chunks.append(chunk)
    return chunks


def joined_text(chunks: list[models.StreamChunk]) -> str:
    return "".join(
        json.loads(chunk.data)["choices"][0].get("text", "")
        for chunk in chunks
        if not chunk.end
    )


async def test_loaded_adapter_generates_its_whole_text(
    engine: ports.Engine, weights_standin: weights_standins.WeightsStandin
) -> None:
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    chunks = await collect(engine, request())
    expected = generation.text("r-1", str(ADAPTER), "staves", TOKENS)
    assert joined_text(chunks) == expected
    assert chunks[-1].end
    assert chunks[-1].offset == TOKENS
    assert not any(chunk.end for chunk in chunks[:-1])


async def test_chat_completions_are_streamed(
    engine: ports.Engine, weights_standin: weights_standins.WeightsStandin
) -> None:
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    chunks = await collect(engine, request(path="/v1/chat/completions"))
    assert chunks[-1].offset == TOKENS
    delta = json.loads(chunks[0].data)["choices"][0]["delta"]
    assert delta["content"]


async def test_load_order_is_idempotent(
    engine: ports.Engine, weights_standin: weights_standins.WeightsStandin
) -> None:
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    assert (await engine.report()).residents == (ADAPTER,)
    await engine.unload(ADAPTER, token=1)
    await engine.unload(ADAPTER, token=1)
    assert (await engine.report()).residents == ()


async def test_adapter_not_resident_is_refused(engine: ports.Engine) -> None:
    with pytest.raises(errors.AdapterNotLoadedError):
        await collect(engine, request())


async def test_leaving_engine_refuses_new_requests(
    engine: ports.Engine,
    engine_standin: engine_standins.EngineStandin,
    weights_standin: weights_standins.WeightsStandin,
) -> None:
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    engine_standin.set_faults({"leaving": True})
    with pytest.raises(errors.EngineLeavingError):
        await collect(engine, request())
    assert not engine_standin.batch.known


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        ("2.5", 2.5),
        ("3600", 60.0),
        ("-1", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("soon", 0.0),
        ("9" * 40, 0.0),
    ],
)
async def test_rejection_says_how_long_the_engine_wants_no_requests(
    engine: ports.Engine,
    engine_standin: engine_standins.EngineStandin,
    value: str,
    seconds: float,
) -> None:
    engine_standin.set_faults({"pause_value": value})
    with pytest.raises(errors.EngineRefusedError) as refused:
        await collect(engine, request())
    assert refused.value.pause == datetime.timedelta(seconds=seconds)
    assert not engine_standin.batch.known


async def test_full_engine_refuses_load(
    engine: ports.Engine, weights_standin: weights_standins.WeightsStandin
) -> None:
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    await engine.load(weights_at(weights_standin, OTHER), token=1)
    with pytest.raises(errors.EngineRefusedError):
        await engine.load(weights_at(weights_standin, THIRD), token=1)


async def test_failed_load_is_an_engine_error(
    engine: ports.Engine, weights_standin: weights_standins.WeightsStandin
) -> None:
    weights_standin.set_faults({"failing": ["lots/v1"]})
    with pytest.raises(errors.EngineError):
        await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    assert (await engine.report()).residents == ()


async def test_old_token_is_refused(
    engine: ports.Engine, weights_standin: weights_standins.WeightsStandin
) -> None:
    await engine.load(weights_at(weights_standin, ADAPTER), token=4)
    await engine.raise_fence(5)
    with pytest.raises(errors.StaleFenceError):
        await engine.load(weights_at(weights_standin, OTHER), token=4)
    with pytest.raises(errors.StaleFenceError):
        await engine.unload(ADAPTER, token=4)
    with pytest.raises(errors.StaleFenceError):
        await collect(engine, request(token=4))
    report = await engine.report()
    assert report.fence == 5
    assert report.residents == (ADAPTER,)


async def test_engine_without_fencing_accepts_old_token(
    engine: ports.Engine,
    engine_standin: engine_standins.EngineStandin,
    weights_standin: weights_standins.WeightsStandin,
) -> None:
    engine_standin.checks_fencing = False
    await engine.raise_fence(5)
    await engine.load(weights_at(weights_standin, ADAPTER), token=4)
    assert (await engine.report()).fence == 0


async def test_dropped_stream_resumes_at_its_offset(
    engine: ports.Engine,
    engine_standin: engine_standins.EngineStandin,
    weights_standin: weights_standins.WeightsStandin,
) -> None:
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    engine_standin.set_faults(
        {"stream_fault": "truncate", "stream_fault_count": 1}
    )
    first: list[models.StreamChunk] = []
    with pytest.raises(errors.StreamBrokenError) as raised:
        await collect(engine, request(), received=first)
    assert raised.value.offset == len(first) == 3
    rest = await collect(engine, request(offset=raised.value.offset))
    expected = generation.text("r-1", str(ADAPTER), "staves", TOKENS)
    assert joined_text(first) + joined_text(rest) == expected
    generated = [r for r in engine_standin.records if r["event"] == "generate"]
    assert len(generated) == 1


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        pytest.param("truncate", errors.StreamBrokenError, id="no end marker"),
        pytest.param("skip", errors.StreamBrokenError, id="skipped token"),
        pytest.param("silent", errors.StreamBrokenError, id="silent"),
        pytest.param("foreign", errors.ForeignChunkError, id="foreign chunk"),
    ],
)
async def test_faulty_stream_raises_error(
    engine: ports.Engine,
    engine_standin: engine_standins.EngineStandin,
    weights_standin: weights_standins.WeightsStandin,
    monkeypatch: pytest.MonkeyPatch,
    fault: str,
    expected: type[errors.EngineError],
) -> None:
    monkeypatch.setattr(
        openai_engine, "READ_TIMEOUT", datetime.timedelta(seconds=0.3)
    )
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    engine_standin.set_faults({"stream_fault": fault, "stream_fault_count": 1})
    with pytest.raises(expected):
        await collect(engine, request())


async def test_stream_is_resumed_after_the_engine_changed_owner(
    engine: ports.Engine,
    engine_standin: engine_standins.EngineStandin,
    weights_standin: weights_standins.WeightsStandin,
) -> None:
    """After a takeover, the engine must not reject a resume as outdated.

    Resumes used to carry the token of the former owner, which is lower than
    the fence. The engine then rejected every resume after a takeover.
    """
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    engine_standin.set_faults(
        {"stream_fault": "truncate", "stream_fault_count": 1}
    )
    with pytest.raises(errors.StreamBrokenError) as raised:
        await collect(engine, request())
    await engine.raise_fence(2)
    rest = await collect(engine, request(offset=raised.value.offset))
    assert rest[-1].offset == TOKENS


async def test_resume_of_unknown_request_is_refused(
    engine: ports.Engine, weights_standin: weights_standins.WeightsStandin
) -> None:
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    with pytest.raises(errors.EngineRefusedError):
        await collect(engine, request("never sent", offset=2))


async def test_crash_breaks_streams_and_empties_engine(
    engine: ports.Engine,
    engine_standin: engine_standins.EngineStandin,
    weights_standin: weights_standins.WeightsStandin,
) -> None:
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    before = await engine.report()
    engine_standin.set_faults({"crash_marker": "poison"})
    with pytest.raises(errors.EngineError):
        await collect(engine, request(prompt="poison"))
    after = await engine.report()
    assert after.epoch != before.epoch
    assert after.residents == ()


async def test_cancel_ends_generation(
    engine: ports.Engine, weights_standin: weights_standins.WeightsStandin
) -> None:
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    await engine.cancel("never sent")
    stream = engine.open_stream(request())
    await anext(stream)
    await engine.cancel("r-1")
    with pytest.raises(errors.StreamBrokenError):
        [chunk async for chunk in stream]


async def test_delayed_report_includes_its_age(
    engine: ports.Engine,
    engine_standin: engine_standins.EngineStandin,
    weights_standin: weights_standins.WeightsStandin,
) -> None:
    await engine.report()
    engine_standin.set_faults({"report_lag_seconds": 30.0})
    await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    report = await engine.report()
    assert report.residents == ()
    assert report.age >= datetime.timedelta(seconds=30)


@pytest.mark.parametrize(
    ("outage", "expected"),
    [
        pytest.param("refuse", errors.EngineRefusedError, id="refused"),
        pytest.param("drop", errors.EngineOutcomeUnknownError, id="dropped"),
    ],
)
async def test_outage_raises_matching_error(
    engine: ports.Engine,
    engine_standin: engine_standins.EngineStandin,
    weights_standin: weights_standins.WeightsStandin,
    outage: str,
    expected: type[errors.EngineError],
) -> None:
    engine_standin.set_faults({"outage": outage})
    with pytest.raises(expected):
        await collect(engine, request())
    with pytest.raises(expected):
        await engine.load(weights_at(weights_standin, ADAPTER), token=1)
    with pytest.raises(errors.EngineError):
        await engine.report()


async def test_unreachable_engine_raises_unreachable_error(
    closed_address: str, clock: manual_clock.ManualClock
) -> None:
    engine = open_engine(closed_address, clock)
    with pytest.raises(errors.EngineUnreachableError):
        await collect(engine, request())
    with pytest.raises(errors.EngineUnreachableError):
        await engine.report()
    await engine.close()


@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param([b'data: {"id": "r"}\n\nda', b"ta: [DONE]\n\n"], id="cut"),
        pytest.param(
            [b'data: {"id": "r"}\r\n\r\ndata: [DONE]\r\n\r\n'], id="crlf"
        ),
        pytest.param(
            [b': hi\n\ndata: {"id": "cmpl-r"}\n\n', b"data: [DONE]\n\n"],
            id="comment and prefix",
        ),
        pytest.param(
            [b'data: {"id": "r"}\r', b"\n\r\ndata: [DONE]\r", b"\n\r", b"\n"],
            id="crlf cut",
        ),
        pytest.param(
            [b'data: {"id": "r"}\r\rdata: [DO', b"NE]\r", b"\r"], id="cr"
        ),
        pytest.param(
            [b'data: {"id": "r"}\n\r\n', b"data: [DONE]\r\n\n"], id="mixed"
        ),
    ],
)
async def test_events_split_over_reads_are_parsed(pieces: list[bytes]) -> None:
    class Body:
        async def readany(self) -> bytes:
            return pieces.pop(0) if pieces else b""

    reader = token_stream.TokenStreamReader("r", 0)
    chunks = [chunk async for chunk in reader.read(Body())]
    assert [chunk.offset for chunk in chunks] == [1, 1]
    assert chunks[-1].end
