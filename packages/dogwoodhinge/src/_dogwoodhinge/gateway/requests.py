"""Decoded caller requests and heads of engine responses."""

import dataclasses
from typing import final

from _dogwoodhinge.fleet import announcements
from _dogwoodhinge.fleet import held_parts
from _dogwoodhinge.fleet import models
from _dogwoodhinge.http1 import server


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A caller's request with the values that routing depends on.

    Attributes:
        request_id: the caller's id of this attempt.
        wait_seconds: the caller's timeout; None if it did not send one.
        adapter: the requested adapter or base model; None for plain services.
        prompt_tokens: number of tokens in the prompt.
        output_tokens: maximum number of tokens to generate.
        stated_tokens: size of the request as the caller states it, for quotas;
            None if it does not.
        shared_parts: ids of the parts of the prompt that other requests may
            share, in order: all but the last, which is the request's own.
        prompt_parts: all parts of the prompt with their lengths, in order.
        resume_after: id of the last event that the caller received, if it
            resumes a stream.
        raw: the request as it was read, without its keys.
        keys: all keys that the caller sent.
        key_digest: stands for the key in log lines; empty if there is none.
        organisation: name to send to engines, none if empty; None passes on
            what the caller sent under that name.
    """

    request_id: str
    host: str
    path: str
    wait_seconds: float | None
    adapter: models.AdapterKey | None
    prompt_tokens: int
    output_tokens: int
    shared_parts: tuple[str, ...]
    prompt_parts: tuple[held_parts.PromptPart, ...] = ()
    resume_after: str | None
    raw: server.RawRequest
    keys: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)
    key_digest: str = ""
    stated_tokens: int | None = None
    organisation: str | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatchParameters:
    """Parameters with which a request is sent to one engine.

    Attributes:
        engine_id: the intended engine; any other engine must reject the
            request.
        wait_seconds: time after which the engine stops the request.
        priority: admission priority, 0 (first) to 9 (last); None leaves it to
            the engine.
        adapter_version: an engine with another version must reject the
            request; None accepts any version.
        resume_after: id of the last event that the caller already received.
    """

    engine_id: str
    wait_seconds: float
    priority: int | None = None
    adapter_version: int | None = None
    resume_after: str | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """The decoded head of an engine's response.

    Attributes:
        request_id: the id that the engine echoes; None if it is missing.
        not_run: whether the engine confirms that it did not run the request.
        misdirected: whether the request was not run because another engine
            has the address, or the adapter (or its version) is not loaded.
        signed: whether the response carries the engine's signature.
        responder: id of the engine that responded; None if it does not say.
        announcement: what the engine announces about itself.
        headers: headers for the caller, without hop-by-hop headers.
        keep_alive_seconds: how long the engine keeps idle connections open.
        closing: whether the engine closes the connection after this response.
    """

    status: int
    reason: bytes
    request_id: str | None
    not_run: bool
    misdirected: bool
    signed: bool
    responder: str | None
    announcement: announcements.Announcement
    headers: tuple[server.Header, ...]
    keep_alive_seconds: int | None
    closing: bool
