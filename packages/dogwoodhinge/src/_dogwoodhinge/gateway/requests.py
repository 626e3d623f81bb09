"""A caller's request, decoded, and what an engine answers."""

import dataclasses
from typing import final

from _dogwoodhinge.fleet import models
from _dogwoodhinge.http1 import server


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request with what decides over it.

    Attributes:
        request_id: the caller's id of this attempt.
        wait_seconds: how long the caller waits; None when it does not say.
        adapter: the adapter (or base model alone) it names; None for plain
            services.
        prompt_tokens: tokens to be read.
        output_tokens: tokens to be generated at most.
        resume_after: id of the last event that the caller has, if it resumes.
    """

    request_id: str
    host: str
    path: str
    wait_seconds: float | None
    adapter: models.AdapterKey | None
    prompt_tokens: int
    output_tokens: int
    resume_after: str | None
    raw: server.RawRequest


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What is asked of one engine for one request.

    Attributes:
        engine_id: any other engine must refuse.
        wait_seconds: the engine stops after this time.
        urgency: 0 is admitted first, 9 last; None leaves it to the engine.
        adapter_version: an engine with another version must refuse; None
            accepts any.
        resume_after: id of the last event that the caller already has.
    """

    engine_id: str
    wait_seconds: float
    urgency: int | None = None
    adapter_version: int | None = None
    resume_after: str | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """The head of an engine's answer, decoded.

    Attributes:
        request_id: the id that the engine echoes; None when there is none.
        not_run: the engine says that it did not run the request.
        misdirected: another engine has the address, or the adapter (or its
            version) is not there; not run.
        signed: the answer carries the engine's signature.
        headers: headers for the caller, without those of one connection.
        keep_alive_seconds: how long the engine keeps idle connections.
        closing: the engine closes the connection after this answer.
    """

    status: int
    reason: bytes
    request_id: str | None
    not_run: bool
    misdirected: bool
    signed: bool
    headers: tuple[server.Header, ...]
    keep_alive_seconds: int | None
    closing: bool
