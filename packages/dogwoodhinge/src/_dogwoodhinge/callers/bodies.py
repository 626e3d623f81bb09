"""Validates generation bodies; unknown members pass through to engines."""

import dataclasses
import json
from typing import Any, final

import pydantic

from _dogwoodhinge.callers import problems
from dogwoodhinge import models

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"


class _RequestBody(pydantic.BaseModel):
    """Members that the node reads; other members are for the engine only."""

    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    model: str = pydantic.Field(min_length=1, max_length=300)
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(default=None, ge=1)
    stream: bool | None = None
    n: int | None = pydantic.Field(default=None, ge=1, le=1)
    best_of: int | None = pydantic.Field(default=None, ge=1, le=1)


class _CompletionBody(_RequestBody):
    prompt: str | list[int] | list[str] = pydantic.Field(min_length=1)

    @pydantic.field_validator("prompt")
    @classmethod
    def _check_single_prompt(
        cls, prompt: str | list[int] | list[str]
    ) -> str | list[int] | list[str]:
        multiple = isinstance(prompt, list) and len(prompt) > 1
        if multiple and isinstance(prompt[0], str):
            raise ValueError("send one prompt per request")
        return prompt


class _ChatCompletionBody(_RequestBody):
    messages: list[dict[str, Any]] = pydantic.Field(min_length=1)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GenerationBody:
    """A validated body of a generation.

    Attributes:
        path: request path.
        adapter: adapter and version named by `model`.
        members: all members, as received.
        prompt: the prompt as text, or the JSON of token ids or messages.
        max_tokens: limit on output tokens; None if the caller set none.
        stream: whether the caller asked for a stream.
    """

    path: str
    adapter: models.AdapterVersion
    members: dict[str, Any]
    prompt: bytes
    max_tokens: int | None
    stream: bool


def parse(path: str, data: bytes) -> GenerationBody:
    """Parses and validates a body.

    Raises:
        ProblemError: the body is not valid (400), or `model` does not
            name an adapter and version (404).
    """
    members = _parse_object(data)
    body_type = _ChatCompletionBody if path == CHAT_PATH else _CompletionBody
    try:
        validated = body_type.model_validate(members)
    except pydantic.ValidationError as error:
        raise _to_problem_error(error) from error
    try:
        adapter = models.AdapterVersion.parse(validated.model)
    except ValueError as error:
        raise problems.not_found(
            "model_not_found", str(error), parameter="model"
        ) from error
    prompt = members["messages" if path == CHAT_PATH else "prompt"]
    return GenerationBody(
        path=path,
        adapter=adapter,
        members=members,
        prompt=_prompt_bytes(prompt),
        max_tokens=validated.max_completion_tokens or validated.max_tokens,
        stream=bool(validated.stream),
    )


def build_engine_body(body: GenerationBody, *, max_tokens: int) -> bytes:
    """Returns the body for an engine, which is always asked to stream."""
    members = {**body.members, "stream": True}
    if body.max_tokens is None:
        members["max_tokens"] = max_tokens
    if not body.stream:
        members["stream_options"] = {"include_usage": True}
    return json.dumps(members, separators=(",", ":")).encode()


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        members = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise problems.bad_request(f"the body is not JSON: {error}") from error
    if not isinstance(members, dict):
        raise problems.bad_request("the body must be a JSON object")
    return members


def _prompt_bytes(prompt: Any) -> bytes:
    if isinstance(prompt, str):
        return prompt.encode(errors="replace")
    return json.dumps(prompt, separators=(",", ":")).encode()


def _to_problem_error(error: pydantic.ValidationError) -> problems.ProblemError:
    first = error.errors()[0]
    name = str(first["loc"][0]) if first["loc"] else ""
    message = first["msg"].removeprefix("Value error, ")
    return problems.bad_request(f"{name}: {message}", parameter=name)
