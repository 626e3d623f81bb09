"""The official OpenAI client against the callers' application."""

from collections.abc import AsyncIterator
from typing import Any

import openai
import pytest

from _dogwoodhinge import errors
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge_lab import dispatch_fakes

Fault = dispatch_fakes.StreamFault
MODEL = "staves@v1"
COMPLETE_TEXT = dispatch_fakes.text_of(dispatch_fakes.DEFAULT_TOKENS)


@pytest.fixture
async def client(harness: Any) -> AsyncIterator[openai.AsyncOpenAI]:
    openai_client = openai.AsyncOpenAI(
        base_url=f"{harness.url}/v1", api_key=harness.key, max_retries=0
    )
    async with openai_client:
        yield openai_client


async def test_completion(client: openai.AsyncOpenAI) -> None:
    answer = await client.completions.create(model=MODEL, prompt="oak")
    assert answer.choices[0].text == COMPLETE_TEXT
    assert answer.model == MODEL


async def test_completion_stream(client: openai.AsyncOpenAI) -> None:
    stream = await client.completions.create(
        model=MODEL, prompt="oak", stream=True
    )
    assert "".join([c.choices[0].text async for c in stream]) == COMPLETE_TEXT


async def test_chat(client: openai.AsyncOpenAI) -> None:
    answer = await client.chat.completions.create(
        model=MODEL, messages=[{"role": "user", "content": "oak"}]
    )
    assert answer.choices[0].message.content == COMPLETE_TEXT
    assert answer.choices[0].message.role == "assistant"


async def test_chat_stream(client: openai.AsyncOpenAI) -> None:
    stream = await client.chat.completions.create(
        model=MODEL,
        messages=[{"role": "user", "content": "oak"}],
        stream=True,
    )
    parts = [chunk.choices[0].delta.content or "" async for chunk in stream]
    assert "".join(parts) == COMPLETE_TEXT


async def test_models(client: openai.AsyncOpenAI) -> None:
    names = [model.id async for model in client.models.list()]
    assert names == ["staves@v1", "staves@v2"]


async def test_interrupted_stream_raises(
    client: openai.AsyncOpenAI, harness: Any
) -> None:
    harness.engine.plan(Fault.BROKEN, Fault.REFUSED)
    stream = await client.completions.create(
        model=MODEL, prompt="oak", stream=True
    )
    parts: list[str] = []

    async def read() -> None:
        async for chunk in stream:
            parts.append(chunk.choices[0].text)

    with pytest.raises(openai.APIError, match="could not be resumed"):
        await read()
    assert "".join(parts) == dispatch_fakes.text_of(2)


async def test_interrupted_generation_raises(
    client: openai.AsyncOpenAI, harness: Any
) -> None:
    harness.engine.plan(Fault.BROKEN, Fault.REFUSED)
    with pytest.raises(openai.InternalServerError) as caught:
        await client.completions.create(model=MODEL, prompt="oak")
    assert caught.value.status_code == 504
    assert caught.value.code == "outcome_unknown"


@pytest.mark.parametrize(
    ("arguments", "error_type"),
    [
        pytest.param({"model": "oak@v1"}, openai.NotFoundError, id="adapter"),
        pytest.param(
            {"model": "staves@v9"}, openai.NotFoundError, id="version"
        ),
        pytest.param(
            {"model": MODEL, "max_tokens": 101},
            openai.BadRequestError,
            id="max_tokens",
        ),
    ],
)
async def test_error_types(
    client: openai.AsyncOpenAI,
    arguments: dict[str, Any],
    error_type: type[openai.APIStatusError],
) -> None:
    with pytest.raises(error_type) as caught:
        await client.completions.create(prompt="oak", **arguments)
    assert caught.value.response.headers["X-Request-Id"]


async def test_limit_is_a_rate_limit_error(
    client: openai.AsyncOpenAI, harness: Any
) -> None:
    harness.quotas.refusal = errors.LimitExceededError("2 a second")
    with pytest.raises(openai.RateLimitError):
        await client.completions.create(model=MODEL, prompt="oak")


async def test_retry_after_is_sent(
    client: openai.AsyncOpenAI, harness: Any
) -> None:
    refusal = peer_pb2.Refusal(reason="queue is full", retry_after_ms=1_500)
    harness.cluster.replies.append(peer_pb2.AdmitReply(refusal=refusal))
    with pytest.raises(openai.InternalServerError) as caught:
        await client.completions.create(model=MODEL, prompt="oak")
    assert caught.value.status_code == 503
    assert caught.value.response.headers["Retry-After"] == "2"
    assert caught.value.response.json()["run"] == "no"
    assert harness.engine.starts == []


async def test_wrong_key(harness: Any) -> None:
    async with openai.AsyncOpenAI(
        base_url=f"{harness.url}/v1", api_key="wrong", max_retries=0
    ) as client:
        with pytest.raises(openai.AuthenticationError):
            await client.models.list()
