"""The callers' application with the real plug-ins and simulated endpoints."""

from collections.abc import AsyncIterator
import json
from typing import Any

import aiohttp
import openai
import pytest

from _dogwoodhinge.platform import http_service
from _dogwoodhinge.platform import openai_engine
from dogwoodhinge import models
from dogwoodhinge_lab import generation
from dogwoodhinge_lab.standins import engine as engine_standin
from dogwoodhinge_lab.standins import service as service_standin

MODEL = "staves@v1"
ENGINES = ("engine-1", "engine-2", "engine-3")
RESERVE = "/v1/services/booking/reserve"


@pytest.fixture
async def engines(
    harness: Any,
) -> AsyncIterator[dict[str, engine_standin.EngineStandin]]:
    """Replaces the fake engine by three simulated ones with the adapter."""
    standins = {}
    clients: dict[str, openai_engine.OpenAiEngine] = {}
    for name in ENGINES:
        standin = engine_standin.EngineStandin(engine_id=name)
        url = await standin.start()
        standin.residents.add(MODEL)
        standins[name] = standin
        harness.cluster.add_engine(name)
        endpoint = models.Endpoint(name, models.EndpointKind.ENGINE, url)
        clients[name] = openai_engine.OpenAiEngine(endpoint)
    harness.generations.open_engine_client = lambda found: clients[
        found.endpoint_id
    ]
    harness.generations.settings = harness.generations.settings.model_copy(
        update={"gap_seconds": 0.5}
    )
    yield standins
    await harness.generations.settle()
    for name in ENGINES:
        await clients[name].close()
        await standins[name].stop()


@pytest.fixture
async def service(
    harness: Any,
) -> AsyncIterator[service_standin.ServiceStandin]:
    standin = service_standin.ServiceStandin()
    url = await standin.start()
    client = http_service.HttpService(
        models.Endpoint("service-1", models.EndpointKind.SERVICE, url)
    )
    harness.plain_calls.open_service_client = lambda _: client
    yield standin
    await harness.plain_calls.settle()
    await client.close()
    await standin.stop()


@pytest.fixture
async def client(harness: Any) -> AsyncIterator[openai.AsyncOpenAI]:
    openai_client = openai.AsyncOpenAI(
        base_url=f"{harness.url}/v1", api_key=harness.key, max_retries=0
    )
    async with openai_client:
        yield openai_client


def count_events(
    engines: dict[str, engine_standin.EngineStandin], event: str
) -> int:
    return sum(
        record["event"] == event
        for standin in engines.values()
        for record in standin.records
    )


def expected_texts(
    engines: dict[str, engine_standin.EngineStandin], tokens: int = 8
) -> list[str]:
    """Returns the text that each recorded generation should produce."""
    return [
        generation.text(
            record["request_id"], record["adapter"], record["prompt"], tokens
        )
        for standin in engines.values()
        for record in standin.records
        if record["event"] == "generate"
    ]


async def stream_text(client: openai.AsyncOpenAI, prompt: str = "oak") -> str:
    stream = await client.completions.create(
        model=MODEL, prompt=prompt, max_tokens=8, stream=True
    )
    return "".join([chunk.choices[0].text async for chunk in stream])


@pytest.mark.parametrize("after", [0, 3])
@pytest.mark.parametrize("fault", ["", "silent", "truncate", "foreign", "skip"])
async def test_answer_is_complete_and_runs_once(
    engines: dict[str, engine_standin.EngineStandin],
    client: openai.AsyncOpenAI,
    fault: str,
    after: int,
) -> None:
    engines["engine-1"].set_faults(
        {
            "stream_fault": fault,
            "stream_fault_after": after,
            "stream_fault_count": 1 if fault else 0,
        }
    )
    answer = await stream_text(client)
    assert [answer] == expected_texts(engines)
    assert count_events(engines, "cancel") == 0


async def test_unstreamed_answers_are_complete(
    engines: dict[str, engine_standin.EngineStandin],
    client: openai.AsyncOpenAI,
) -> None:
    completion = await client.completions.create(
        model=MODEL, prompt="oak", max_tokens=8
    )
    assert [completion.choices[0].text] == expected_texts(engines)
    chat = await client.chat.completions.create(
        model=MODEL,
        messages=[{"role": "user", "content": "oak"}],
        max_tokens=8,
    )
    assert chat.choices[0].message.content == expected_texts(engines)[1]
    assert completion.choices[0].finish_reason == "length"
    assert chat.choices[0].finish_reason == "length"


async def test_crashing_request_is_quarantined_after_two_engines(
    engines: dict[str, engine_standin.EngineStandin],
    client: openai.AsyncOpenAI,
) -> None:
    for standin in engines.values():
        standin.set_faults({"crash_marker": "poison"})
    for _ in range(4):
        with pytest.raises(openai.UnprocessableEntityError) as caught:
            await stream_text(client, "poison")
        for standin in engines.values():
            standin.residents.add(MODEL)
    assert caught.value.code == "quarantined"
    assert count_events(engines, "crash") == 2
    assert await stream_text(client, "oak")


async def test_request_is_not_run_on_an_engine_without_the_adapter(
    engines: dict[str, engine_standin.EngineStandin],
    client: openai.AsyncOpenAI,
    harness: Any,
) -> None:
    engines["engine-1"].residents.clear()
    with pytest.raises(openai.InternalServerError) as caught:
        await stream_text(client)
    assert caught.value.response.json()["run"] == "no"
    engines["engine-1"].residents.add(MODEL)
    assert await stream_text(client)


@pytest.mark.parametrize(
    ("fault", "expected_runs"),
    [
        pytest.param({"lose_next": 1}, 1, id="effect without answer"),
        pytest.param({"drop_next": 1}, 0, id="dropped"),
    ],
)
async def test_lost_reservation_runs_at_most_once(
    service: service_standin.ServiceStandin,
    harness: Any,
    fault: dict[str, int],
    expected_runs: int,
) -> None:
    service.set_faults(fault)
    headers = {
        "Authorization": f"Bearer {harness.key}",
        "Idempotency-Key": "k1",
    }
    statuses = []
    async with aiohttp.ClientSession(harness.url, headers=headers) as http:
        for _ in range(3):
            async with http.post(RESERVE, data=b"{}") as response:
                problem = json.loads(await response.text())
                statuses.append((response.status, problem["run"]))
    assert statuses == [(504, "unknown"), (409, "unknown"), (409, "unknown")]
    assert service.runs == expected_runs
