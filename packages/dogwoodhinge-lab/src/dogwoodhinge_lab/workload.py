"""Workload files, and the seeded arrivals that they describe."""

import bisect
from collections.abc import Iterator
import dataclasses
import itertools
import pathlib
import random
from typing import final

import pydantic
import yaml

VERSION = "1"
SHORT_MAX_TOKENS = 256
LONG_LIMIT_FACTOR = 1.25


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Role(_Strict):
    """A group of engines and its part of the requests."""

    name: str
    engines: int = pydantic.Field(ge=1)
    slots: int = pydantic.Field(ge=1)
    batch: int = pydantic.Field(ge=1)
    share: float = pydantic.Field(gt=0, le=1)
    output_tokens: float = pydantic.Field(gt=0)


class Prompts(_Strict):
    """Lengths of prompts."""

    short_tokens: int
    long_tokens: int
    long_share: float = pydantic.Field(ge=0, le=1)


class LongJobs(_Strict):
    """Jobs that run many times longer than the rest."""

    share: float = pydantic.Field(ge=0, le=1)
    output_tokens: int
    deadline_seconds: float


class Swing(_Strict):
    """A rise of the demand, from the start of the measured time.

    Attributes:
        factor: times the usual rate.
        shift: places by which the popularity of adapters moves.
        shift_share: part of the requests that follow the moved popularity.
    """

    start_seconds: float
    seconds: float = pydantic.Field(gt=0)
    factor: float = pydantic.Field(gt=0)
    shift: int = 0
    shift_share: float = pydantic.Field(default=0.0, ge=0, le=1)


class Store(_Strict):
    """Width of the weight store."""

    full_speed: int
    crowded_from: int
    loads_per_second: float


class ServiceCalls(_Strict):
    """Calls of a plain service."""

    name: str
    operation: str
    path: str
    requests_per_second: float
    idempotent: bool


class Workload(_Strict):
    """A user's shape of work."""

    name: str
    zones: tuple[str, ...]
    nodes: int = pydantic.Field(ge=1)
    adapters: int = pydantic.Field(ge=1)
    zipf_exponent: float
    customers: int = pydantic.Field(ge=1)
    requests_per_second: float = pydantic.Field(gt=0)
    deadline_seconds: float = pydantic.Field(gt=0)
    warm_up_seconds: float = pydantic.Field(ge=0)
    measured_seconds: float = pydantic.Field(gt=0)
    roles: tuple[Role, ...]
    prompts: Prompts
    long_jobs: LongJobs
    swings: tuple[Swing, ...]
    store: Store
    services: tuple[ServiceCalls, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """One generation that arrives at a time.

    Attributes:
        at: seconds from the start, warm-up included.
        max_tokens: the limit that the caller sets.
    """

    number: int
    at: float
    role: str
    adapter: str
    customer: str
    prompt_tokens: int
    output_tokens: int
    max_tokens: int
    deadline_seconds: float
    is_long: bool


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call of a plain service that arrives at a time."""

    number: int
    at: float
    customer: str
    service: ServiceCalls


def load(path: pathlib.Path) -> Workload:
    """Reads a workload file.

    Raises:
        pydantic.ValidationError: the file does not describe a workload.
    """
    text = path.read_text(encoding="utf-8")
    return Workload.model_validate(yaml.safe_load(text))


class JobSource:
    """Draws the jobs of a workload, the same ones for the same seed."""

    def __init__(
        self,
        workload: Workload,
        *,
        seed: int,
        with_swings: bool = True,
        with_long_jobs: bool = True,
    ) -> None:
        self.workload = workload
        self.seed = seed
        self.swings = workload.swings if with_swings else ()
        self.with_long_jobs = with_long_jobs
        self.cumulative = list(
            itertools.accumulate(
                (rank + 1) ** -workload.zipf_exponent
                for rank in range(workload.adapters)
            )
        )
        self.roles = _spread_roles(workload)

    def jobs(self) -> Iterator[Job]:
        """Yields jobs in the order of their arrival.

        Jobs that are left out (`with_long_jobs=False`) are drawn all the
        same, so that the others do not change.
        """
        workload = self.workload
        arrivals = random.Random(f"{self.seed} arrivals")
        shapes = random.Random(f"{self.seed} shapes")
        end = workload.warm_up_seconds + workload.measured_seconds
        peak = max((swing.factor for swing in self.swings), default=1.0)
        top_rate = workload.requests_per_second * max(1.0, peak)
        at = 0.0
        number = 0
        while True:
            at += arrivals.expovariate(top_rate)
            if at >= end:
                return
            kept = arrivals.random() * top_rate <= self.rate(at)
            if not kept:
                continue
            job = self._job(number, at, shapes)
            number += 1
            if self.with_long_jobs or not job.is_long:
                yield job

    def rate(self, at: float) -> float:
        """Returns the requests a second at a time."""
        swing = self._swing(at)
        factor = swing.factor if swing else 1.0
        return self.workload.requests_per_second * factor

    def calls(self) -> Iterator[Call]:
        """Yields calls of plain services in the order of their arrival."""
        draws = random.Random(f"{self.seed} calls")
        services = self.workload.services
        rates = [service.requests_per_second for service in services]
        end = self.workload.warm_up_seconds + self.workload.measured_seconds
        at = 0.0
        for number in itertools.count():
            at += draws.expovariate(sum(rates)) if services else end
            if at >= end:
                return
            (service,) = draws.choices(services, rates)
            customer = f"customer-{draws.randrange(self.workload.customers)}"
            yield Call(number=number, at=at, customer=customer, service=service)

    def _job(self, number: int, at: float, draws: random.Random) -> Job:
        workload = self.workload
        rank = self._rank(at, draws)
        role = self.roles[rank]
        is_long = draws.random() < workload.long_jobs.share
        output = max(8, round(draws.gammavariate(2, role.output_tokens / 2)))
        output = min(output, SHORT_MAX_TOKENS)
        prompts = workload.prompts
        long_prompt = draws.random() < prompts.long_share
        limit = SHORT_MAX_TOKENS
        if is_long:
            output = round(
                workload.long_jobs.output_tokens * draws.uniform(0.75, 1.25)
            )
            limit = round(LONG_LIMIT_FACTOR * output)
        return Job(
            number=number,
            at=at,
            role=role.name,
            adapter=f"adapter-{rank:04d}",
            customer=f"customer-{rank % workload.customers}",
            prompt_tokens=prompts.long_tokens
            if long_prompt
            else prompts.short_tokens,
            output_tokens=output,
            max_tokens=limit,
            deadline_seconds=workload.long_jobs.deadline_seconds
            if is_long
            else workload.deadline_seconds,
            is_long=is_long,
        )

    def _rank(self, at: float, draws: random.Random) -> int:
        point = draws.random() * self.cumulative[-1]
        rank = bisect.bisect_left(self.cumulative, point)
        moved = draws.random()
        swing = self._swing(at)
        if swing is not None and moved < swing.shift_share:
            rank = (rank + swing.shift) % self.workload.adapters
        return rank

    def _swing(self, at: float) -> Swing | None:
        since = at - self.workload.warm_up_seconds
        for swing in self.swings:
            if 0 <= since - swing.start_seconds < swing.seconds:
                return swing
        return None


def _spread_roles(workload: Workload) -> list[Role]:
    """Gives each adapter a role, so that the roles get their shares."""
    weights = [
        (rank + 1) ** -workload.zipf_exponent
        for rank in range(workload.adapters)
    ]
    given = {role.name: 0.0 for role in workload.roles}
    roles = []
    for weight in weights:
        role = min(
            workload.roles, key=lambda role: given[role.name] / role.share
        )
        given[role.name] += weight
        roles.append(role)
    return roles
