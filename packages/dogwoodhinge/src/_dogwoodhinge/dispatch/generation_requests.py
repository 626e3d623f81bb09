"""Callers' generation requests and their conversion for admission."""

import dataclasses
import datetime
import math
from typing import final

from _dogwoodhinge.dispatch import admission
from dogwoodhinge import models

# Both estimate the duration of a run whose caller set no deadline.
DEFAULT_MAX_TOKENS = 1_024
TIME_PER_TOKEN = datetime.timedelta(milliseconds=50)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GenerationRequest:
    """A caller's generation request, checked against the contract.

    Attributes:
        request_id: ID that the node gave it.
        start_by: monotonic second after which no attempt is admitted or
            retried.
        end_by: monotonic second at which it is abandoned; may be infinite.
        max_tokens: 0 if the caller did not set a limit.
    """

    request_id: str
    customer: str
    adapter: models.AdapterVersion
    role: str
    priority: int
    weight: float
    path: str
    body: bytes
    prompt_tokens: int
    max_tokens: int
    fingerprint: str
    start_by: float
    end_by: float


def attempt_id(request_id: str, attempt: int) -> str:
    """Returns the ID of an attempt; the first one has the request's ID."""
    return request_id if attempt == 1 else f"{request_id}-{attempt}"


def _answer_by(request: GenerationRequest) -> float:
    """Returns the caller's deadline, or an estimated end of the run."""
    if math.isfinite(request.end_by):
        return request.end_by
    tokens = request.max_tokens or DEFAULT_MAX_TOKENS
    return request.start_by + (tokens * TIME_PER_TOKEN).total_seconds()


def to_admission_request(
    request: GenerationRequest, attempt: str, *, suspect: bool
) -> admission.AdmissionRequest:
    """Returns the admission request of an attempt."""
    return admission.AdmissionRequest(
        request_id=attempt,
        customer=request.customer,
        adapter=request.adapter,
        role=request.role,
        start_by=min(request.start_by, request.end_by),
        answer_by=_answer_by(request),
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        priority=request.priority,
        weight=request.weight,
        suspect=suspect,
    )
