"""Tests of what a check of a configuration finds."""

import dataclasses
import datetime
from typing import Any

import pytest

from _dogwoodhinge.fleet import configuration_check
from _dogwoodhinge.fleet import models

SECOND = datetime.timedelta(seconds=1)
SECRET = b"secret-key"

ROUTE = models.Route(
    name="draft",
    host="shop.example",
    path_prefix="/draft/",
    kind=models.RequestKind.STREAMING,
    timeout=6 * SECOND,
    latency_target=SECOND,
    priority=0,
    shares=(models.Share(service="llm", weight=1.0),),
    max_engines=2,
    resumable=True,
    longest_pause=SECOND / 4,
)
MODEL = models.BaseModel(
    name="base", size_mb=60.0, load_time=SECOND, adapter_size_mb=1.0
)
ENGINE = models.EngineClass(
    request_slots=8,
    memory_tokens=100_000,
    weights_mb=70.0,
    adapter_places=4,
    loads_per_second=2.0,
    base_models={"base": MODEL},
)
QUOTA = models.Quota(
    unit=models.QuotaUnit.TOKENS,
    per_second=100.0,
    burst=1_000.0,
    unsized_tokens=500.0,
)
ORGANISATION = models.Organisation(name="north", keys=(SECRET,), quota=QUOTA)
CONFIGURATION = models.Configuration(
    version=7,
    routes=(ROUTE,),
    services={
        "llm": models.Service(name="llm", connection_limit=100, engine=ENGINE),
        "app": models.Service(name="app", connection_limit=100),
    },
    limits=models.CallerLimits(
        head_bytes=16_384,
        body_bytes=65_536,
        head_timeout=2 * SECOND,
        idle_timeout=5 * SECOND,
    ),
    organisations=(ORGANISATION,),
)


def with_route(**changes: Any) -> models.Configuration:
    """Returns the configuration with another route."""
    route = dataclasses.replace(ROUTE, **changes)
    return dataclasses.replace(CONFIGURATION, routes=(route,))


def with_engine(**changes: Any) -> models.Configuration:
    """Returns the configuration with another class of engines."""
    service = models.Service(
        name="llm",
        connection_limit=100,
        engine=dataclasses.replace(ENGINE, **changes),
    )
    services = {**CONFIGURATION.services, "llm": service}
    return dataclasses.replace(CONFIGURATION, services=services)


def with_model(**changes: Any) -> models.Configuration:
    """Returns the configuration with another base model."""
    model = dataclasses.replace(MODEL, **changes)
    return with_engine(base_models={"base": model})


def with_limits(**changes: Any) -> models.Configuration:
    """Returns the configuration with other limits."""
    limits = dataclasses.replace(CONFIGURATION.limits, **changes)
    return dataclasses.replace(CONFIGURATION, limits=limits)


def with_organisations(
    *organisations: models.Organisation,
) -> models.Configuration:
    """Returns the configuration with other organisations."""
    return dataclasses.replace(CONFIGURATION, organisations=organisations)


def organisation(**changes: Any) -> models.Organisation:
    """Returns the organisation, changed."""
    return dataclasses.replace(ORGANISATION, **changes)


def quota(**changes: Any) -> models.Configuration:
    """Returns the configuration with another quota."""
    changed = dataclasses.replace(QUOTA, **changes)
    return with_organisations(organisation(quota=changed))


def share(service: str, weight: float = 1.0) -> models.Share:
    """Returns a share of a route."""
    return models.Share(service=service, weight=weight)


def find(configuration: models.Configuration) -> list[tuple[str, str]]:
    """Returns the places and texts of the problems."""
    return [
        (problem.place, problem.text)
        for problem in configuration_check.find_problems(configuration)
    ]


def test_sound_configuration_has_no_problems() -> None:
    assert find(CONFIGURATION) == []
    without = dataclasses.replace(CONFIGURATION, organisations=None)
    assert find(without) == []


@pytest.mark.parametrize(
    ("configuration", "place", "text"),
    [
        pytest.param(
            dataclasses.replace(
                CONFIGURATION,
                routes=(ROUTE, dataclasses.replace(ROUTE, name="other")),
            ),
            "routes.other",
            "never matches: route 'draft'",
            id="shadowed_route",
        ),
        pytest.param(
            dataclasses.replace(
                CONFIGURATION,
                routes=(ROUTE, dataclasses.replace(ROUTE, path_prefix="/x/")),
            ),
            "routes.draft",
            "2 routes have this name",
            id="route_named_twice",
        ),
        pytest.param(
            with_route(path_prefix="draft/"),
            "routes.draft.path_prefix",
            "slash",
            id="prefix_without_a_slash",
        ),
        pytest.param(
            with_route(latency_target=7 * SECOND),
            "routes.draft.latency_target",
            "7 s is beyond the timeout of 6 s",
            id="target_beyond_timeout",
        ),
        pytest.param(
            with_route(longest_pause=7 * SECOND),
            "routes.draft.longest_pause",
            "beyond the timeout",
            id="pause_beyond_timeout",
        ),
        pytest.param(
            with_route(
                timeout=configuration_check.ZERO,
                latency_target=configuration_check.ZERO,
                longest_pause=None,
            ),
            "routes.draft.timeout",
            "is 0",
            id="no_timeout",
        ),
        pytest.param(
            with_route(max_engines=0),
            "routes.draft.max_engines",
            "is 0",
            id="no_attempt",
        ),
        pytest.param(
            with_route(kind=models.RequestKind.IDEMPOTENT),
            "routes.draft.resumable",
            "no effect on idempotent",
            id="resumable_without_stream",
        ),
        pytest.param(
            with_route(shares=(share("gone"),)),
            "routes.draft.shares",
            "no request can be served: no service gone",
            id="no_service_exists",
        ),
        pytest.param(
            with_route(shares=(share("llm"), share("gone"))),
            "routes.draft.shares",
            "a part can't be served: no service gone",
            id="one_service_is_missing",
        ),
        pytest.param(
            with_route(shares=(share("llm", 0.0), share("app", 0.0))),
            "routes.draft.shares",
            "no service has a weight above 0",
            id="no_weight",
        ),
        pytest.param(
            with_route(shares=(share("llm"), share("llm"))),
            "routes.draft.shares",
            "names the service llm 2 times",
            id="service_twice",
        ),
        pytest.param(
            dataclasses.replace(
                CONFIGURATION,
                services={
                    **CONFIGURATION.services,
                    "app": models.Service(name="app", connection_limit=0),
                },
            ),
            "services.app.connection_limit",
            "is 0",
            id="no_connection",
        ),
        pytest.param(
            with_engine(request_slots=0),
            "services.llm.engine.request_slots",
            "is 0",
            id="no_slot",
        ),
        pytest.param(
            with_engine(memory_tokens=0),
            "services.llm.engine.memory_tokens",
            "is 0",
            id="no_memory",
        ),
        pytest.param(
            with_engine(loads_per_second=0.0),
            "services.llm.engine.loads_per_second",
            "is 0",
            id="no_loads",
        ),
        pytest.param(
            with_engine(adapter_places=0),
            "services.llm.engine.base_models.base.adapter_size_mb",
            "no places for adapters",
            id="no_adapter_places",
        ),
        pytest.param(
            with_model(size_mb=71.0),
            "services.llm.engine.base_models.base.size_mb",
            "71 MB do not fit into 70",
            id="base_model_too_large",
        ),
        pytest.param(
            with_model(adapter_size_mb=11.0),
            "services.llm.engine.base_models.base.adapter_size_mb",
            "11 MB do not fit into the 10 MB left",
            id="adapter_too_large",
        ),
        pytest.param(
            with_limits(head_timeout=6 * SECOND),
            "limits.head_timeout",
            "beyond the idle timeout",
            id="head_timeout_beyond_idle",
        ),
        pytest.param(
            with_limits(head_bytes=0), "limits.head_bytes", "is 0", id="no_head"
        ),
        pytest.param(
            with_organisations(ORGANISATION, organisation(name="south")),
            "organisations.south.keys",
            "one is a key of north too",
            id="key_of_two_organisations",
        ),
        pytest.param(
            with_organisations(organisation(keys=(SECRET, SECRET))),
            "organisations.north.keys",
            "holds a key twice",
            id="key_twice",
        ),
        pytest.param(
            with_organisations(ORGANISATION, organisation(keys=(b"other",))),
            "organisations.north",
            "is named twice",
            id="organisation_twice",
        ),
        pytest.param(
            with_organisations(ORGANISATION, organisation(name="s", keys=())),
            "organisations.s.keys",
            "has no key",
            id="organisation_without_key",
        ),
        pytest.param(
            with_organisations(),
            "organisations",
            "nobody has a key",
            id="nobody_may_call",
        ),
        pytest.param(
            quota(burst=0.0),
            "organisations.north.quota.burst",
            "is 0",
            id="no_burst",
        ),
        pytest.param(
            quota(per_second=0.0),
            "organisations.north.quota.per_second",
            "is 0",
            id="no_rate",
        ),
        pytest.param(
            quota(burst=400.0),
            "organisations.north.quota.unsized_tokens",
            "never fit",
            id="unsized_beyond_burst",
        ),
    ],
)
def test_problem_is_found_with_its_place(
    configuration: models.Configuration, place: str, text: str
) -> None:
    (problem,) = find(configuration)
    assert problem[0] == place
    assert text in problem[1]
    assert SECRET.decode() not in problem[1]


@pytest.mark.parametrize(
    ("version", "changed", "found"),
    [
        (7, False, False),
        (7, True, True),
        (6, True, True),
        (8, True, False),
    ],
    ids=["the_same", "same_version", "lower", "higher"],
)
def test_version_has_to_be_above_the_one_in_force(
    version: int, changed: bool, found: bool
) -> None:
    after = dataclasses.replace(
        with_route(priority=3) if changed else CONFIGURATION, version=version
    )
    problems = configuration_check.find_problems(after, before=CONFIGURATION)
    assert [problem.place for problem in problems] == ["version"] * found


@pytest.mark.parametrize(
    ("after", "lines"),
    [
        pytest.param(CONFIGURATION, [], id="nothing"),
        pytest.param(
            with_route(timeout=8 * SECOND, shares=(share("app"),)),
            [
                "routes.draft.shares.app: added",
                "routes.draft.shares.app.service: - -> app",
                "routes.draft.shares.app.weight: - -> 1.0",
                "routes.draft.shares.llm: removed",
                "routes.draft.shares.llm.service: llm -> -",
                "routes.draft.shares.llm.weight: 1.0 -> -",
                "routes.draft.timeout: 6 s -> 8 s",
            ],
            id="route",
        ),
        pytest.param(
            dataclasses.replace(CONFIGURATION, version=9),
            ["version: 7 -> 9"],
            id="version",
        ),
        pytest.param(
            with_model(size_mb=50.0),
            [
                "services.llm.engine.base_models.base.size_mb: 60.0 -> 50.0",
            ],
            id="base_model",
        ),
        pytest.param(
            with_organisations(organisation(keys=(b"new", b"newer"))),
            ["organisations.north.keys: 2 added, 1 removed, 2 in all"],
            id="keys",
        ),
        pytest.param(
            with_limits(idle_timeout=9 * SECOND),
            ["limits.idle_timeout: 5 s -> 9 s"],
            id="limit",
        ),
    ],
)
def test_changes_are_listed_by_place(
    after: models.Configuration, lines: list[str]
) -> None:
    found = configuration_check.find_changes(CONFIGURATION, after)
    assert list(found) == lines


def test_requirement_of_keys_is_a_change() -> None:
    before = dataclasses.replace(CONFIGURATION, organisations=None)
    changes = configuration_check.find_changes(before, with_organisations())
    assert changes == ("organisations: - -> 0 entries",)
