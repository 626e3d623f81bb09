"""Finds what a valid configuration can't mean, and what a new version changes.

Load pattern: a version that nodes accept takes effect on all of them within two
seconds. A route that no request can reach, a deadline below the target or a key
of two organisations then shows only as refused callers. The check works on the
decoded configuration that the nodes apply; keys are never part of its text.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping
import dataclasses
import datetime
import enum
from typing import Any

from _dogwoodhinge.fleet import models
from dogwoodhinge import models as public_models

ZERO = datetime.timedelta(0)


def find_problems(
    configuration: models.Configuration,
    *,
    before: models.Configuration | None = None,
) -> tuple[public_models.ConfigurationProblem, ...]:
    """Returns what is certainly not meant, in the order of the document.

    Args:
        configuration: the configuration.
        before: the version that it shall replace, if that is known.
    """
    return tuple(
        public_models.ConfigurationProblem(place=place, text=text)
        for place, text in (
            *_check_version(configuration, before),
            *_check_routes(configuration),
            *_check_services(configuration.services.values()),
            *_check_limits(configuration.limits),
            *_check_organisations(configuration),
        )
    )


Problem = tuple[str, str]


def _check_version(
    configuration: models.Configuration, before: models.Configuration | None
) -> Iterator[Problem]:
    if (
        before is not None
        and configuration != before
        and configuration.version <= before.version
    ):
        yield "version", f"is not above {before.version}: nodes keep that one"


def _check_routes(configuration: models.Configuration) -> Iterator[Problem]:
    first_of: dict[tuple[str, str], models.Route] = {}
    names = collections.Counter(route.name for route in configuration.routes)
    for name, count in names.items():
        if count > 1:
            yield f"routes.{name}", f"{count} routes have this name"
    for number, route in enumerate(configuration.routes):
        place = f"routes.{route.name or number}"
        key = route.host, route.path_prefix
        first = first_of.setdefault(key, route)
        if first is not route:
            yield (
                place,
                f"never matches: route {first.name!r} has the same host and "
                "prefix",
            )
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield (
                f"{place}.path_prefix",
                f"{prefix!r} does not start and end with a slash",
            )
        for problem, text in _check_route(route):
            yield f"{place}.{problem}", text
        for problem, text in _check_shares(route, configuration.services):
            yield f"{place}.{problem}", text


def _check_route(route: models.Route) -> Iterator[Problem]:
    if route.timeout <= ZERO:
        yield "timeout", "is 0, so that each request has expired"
    if route.latency_target > route.timeout:
        yield (
            "latency_target",
            f"{_format(route.latency_target)} is beyond the timeout of "
            f"{_format(route.timeout)}",
        )
    if route.longest_pause is not None and route.longest_pause > route.timeout:
        yield (
            "longest_pause",
            f"{_format(route.longest_pause)} is beyond the timeout of "
            f"{_format(route.timeout)}",
        )
    if route.max_engines < 1:
        yield "max_engines", "is 0, so that no request is sent to an engine"
    if route.resumable and route.kind is not models.RequestKind.STREAMING:
        yield "resumable", f"has no effect on {route.kind.value} requests"


def _check_shares(
    route: models.Route, services: Mapping[str, models.Service]
) -> Iterator[Problem]:
    if sum(share.weight for share in route.shares) <= 0:
        yield "shares", "no service has a weight above 0"
        return
    missing = [s.service for s in route.shares if s.service not in services]
    if len(missing) == len(route.shares):
        yield (
            "shares",
            f"no request can be served: no service {', '.join(missing)}",
        )
        return
    for service in missing:
        yield "shares", f"a part can't be served: no service {service}"
    counts = collections.Counter(share.service for share in route.shares)
    for service, count in counts.items():
        if count > 1:
            yield "shares", f"names the service {service} {count} times"


def _check_services(services: Iterable[models.Service]) -> Iterator[Problem]:
    for service in services:
        place = f"services.{service.name}"
        if service.connection_limit < 1:
            yield f"{place}.connection_limit", "is 0: no connection is opened"
        if service.engine is not None:
            for problem, text in _check_engine(service.engine):
                yield f"{place}.engine.{problem}", text


def _check_engine(engine: models.EngineClass) -> Iterator[Problem]:
    if engine.request_slots < 1:
        yield "request_slots", "is 0: no request can run"
    if engine.memory_tokens < 1:
        yield "memory_tokens", "is 0: no prompt fits"
    if engine.base_models and engine.loads_per_second <= 0:
        yield "loads_per_second", "is 0: no base model can be loaded"
    for model in engine.base_models.values():
        place = f"base_models.{model.name}"
        free_mb = engine.weights_mb - model.size_mb
        if free_mb < 0:
            yield (
                f"{place}.size_mb",
                f"{model.size_mb:g} MB do not fit into {engine.weights_mb:g}",
            )
        elif model.adapter_size_mb > free_mb:
            yield (
                f"{place}.adapter_size_mb",
                f"{model.adapter_size_mb:g} MB do not fit into the "
                f"{free_mb:g} MB left beside the base model",
            )
        if model.adapter_size_mb and not engine.adapter_places:
            yield (
                f"{place}.adapter_size_mb",
                "the engine has no places for adapters",
            )


def _check_limits(limits: models.CallerLimits) -> Iterator[Problem]:
    for name in ("head_bytes", "head_timeout", "idle_timeout"):
        if not getattr(limits, name):
            yield f"limits.{name}", "is 0: no request can be received"
    if limits.head_timeout > limits.idle_timeout:
        yield (
            "limits.head_timeout",
            f"{_format(limits.head_timeout)} is beyond the idle timeout of "
            f"{_format(limits.idle_timeout)}",
        )


def _check_organisations(
    configuration: models.Configuration,
) -> Iterator[Problem]:
    if configuration.organisations is None:
        return
    holders: dict[bytes, str] = {}
    names: set[str] = set()
    for organisation in configuration.organisations:
        place = f"organisations.{organisation.name}"
        if organisation.name in names:
            yield place, "is named twice"
        names.add(organisation.name)
        if not organisation.keys:
            yield f"{place}.keys", "has no key"
        for key in organisation.keys:
            holder = holders.setdefault(key, organisation.name)
            if holder != organisation.name:
                yield f"{place}.keys", f"one is a key of {holder} too"
        if len(set(organisation.keys)) < len(organisation.keys):
            yield f"{place}.keys", "holds a key twice"
        if organisation.quota is not None:
            for problem, text in _check_quota(organisation.quota):
                yield f"{place}.quota.{problem}", text
    all_need_keys = not any(route.public for route in configuration.routes)
    if not holders and all_need_keys:
        yield "organisations", "nobody has a key, and no route is public"


def _check_quota(quota: models.Quota) -> Iterator[Problem]:
    if quota.burst <= 0:
        yield "burst", "is 0: each request is refused"
    if quota.per_second <= 0:
        yield "per_second", "is 0: what was asked for once never comes back"
    if 0 < quota.burst < quota.unsized_tokens:
        yield (
            "unsized_tokens",
            f"{quota.unsized_tokens:g} never fit into the burst of "
            f"{quota.burst:g}",
        )


def find_changes(
    before: models.Configuration, after: models.Configuration
) -> tuple[str, ...]:
    """Returns one line for each difference, ordered by place."""
    old, new = dict(_flatten("", before)), dict(_flatten("", after))
    return tuple(
        _describe(place, old.get(place), new.get(place))
        for place in sorted(old.keys() | new.keys())
        if old.get(place) != new.get(place)
    )


def _flatten(place: str, value: Any) -> Iterator[tuple[str, Any]]:
    """Yields the plain values below a place; parts are named, not numbered."""
    prefix = f"{place}." if place else ""
    if dataclasses.is_dataclass(value):
        if place:
            yield place, True  # the part itself is there
        for field in dataclasses.fields(value):
            yield from _flatten(prefix + field.name, getattr(value, field.name))
    elif isinstance(value, Mapping):
        for name, part in value.items():
            yield from _flatten(prefix + name, part)
    elif isinstance(value, tuple) and not place.endswith(".keys"):
        yield place, f"{len(value)} entries"
        seen: collections.Counter[str] = collections.Counter()
        for part in value:
            name = str(getattr(part, "name", None) or part.service)
            seen[name] += 1
            suffix = f"#{seen[name]}" if seen[name] > 1 else ""
            yield from _flatten(prefix + name + suffix, part)
    else:
        yield place, value


def _describe(place: str, before: Any, after: Any) -> str:
    if place.endswith(".keys"):
        old, new = set(before or ()), set(after or ())
        return (
            f"{place}: {len(new - old)} added, {len(old - new)} removed, "
            f"{len(new)} in all"
        )
    if before is True and after is None:
        return f"{place}: removed"
    if before is None and after is True:
        return f"{place}: added"
    return f"{place}: {_format(before)} -> {_format(after)}"


def _format(value: Any) -> str:
    if isinstance(value, datetime.timedelta):
        return f"{value.total_seconds():g} s"
    if isinstance(value, enum.Enum):
        return str(value.value)
    return "-" if value is None else str(value)
