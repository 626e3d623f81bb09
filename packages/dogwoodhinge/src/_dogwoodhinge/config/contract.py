"""The contract of a customer, which defines all limits of the customer."""

from collections.abc import Iterable, Iterator
import functools
import hashlib
import hmac
from typing import Annotated, Literal

import pydantic

from dogwoodhinge import models

MAX_ADAPTER_PATTERNS = 20_000
MAX_API_KEYS = 32  # Each adds a row to the transaction of the change.
MAX_REQUESTS_PER_SECOND = 100_000.0
MAX_CONCURRENCY = 100_000
MAX_OUTPUT_TOKENS = 1_000_000

Name = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,127}$")
]
AdapterPattern = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,127}\*?$")
]
VersionPattern = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^(\*|[a-z0-9][a-z0-9._-]{0,127})$"),
]
Sha256 = Annotated[str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class ApiKey(_StrictModel):
    """An API key, stored as the SHA-256 of its text."""

    id: Name
    sha256: Sha256


class Limits(_StrictModel):
    """Limits on the requests of the customer, over all nodes."""

    requests_per_second: float = pydantic.Field(
        gt=0, le=MAX_REQUESTS_PER_SECOND
    )
    burst: int = pydantic.Field(default=1, ge=1, le=MAX_CONCURRENCY)
    concurrency: int = pydantic.Field(ge=1, le=MAX_CONCURRENCY)
    max_output_tokens: int = pydantic.Field(
        default=4_096, ge=1, le=MAX_OUTPUT_TOKENS
    )


class AdapterRule(_StrictModel):
    """Allows a customer to use an adapter or all adapters with a prefix.

    Attributes:
        name: name of an adapter, or a prefix followed by `*`.
        versions: allowed versions; `*` allows every version.
        role: role of the engines that run the adapters.
        priority: priority of the requests; 0 is the most urgent.
    """

    name: AdapterPattern
    versions: tuple[VersionPattern, ...] = pydantic.Field(min_length=1)
    role: Name
    priority: int = pydantic.Field(default=1, ge=0, le=9)

    @property
    def is_prefix(self) -> bool:
        """True if the rule applies to all adapters with a prefix."""
        return self.name.endswith("*")


class Operation(_StrictModel):
    """An operation of a plain service.

    Attributes:
        name: name by which callers choose the operation.
        method: HTTP method.
        path: path of the URL.
        idempotent: False if a call must run at most once.
    """

    name: Name
    method: Literal["GET", "POST", "PUT", "DELETE"] = "POST"
    path: str = pydantic.Field(pattern=r"^/[A-Za-z0-9/_.-]*$")
    idempotent: bool = False


class ServiceRule(_StrictModel):
    """A plain service and the operations that the customer may call."""

    name: Name
    operations: tuple[Operation, ...] = pydantic.Field(min_length=1)

    @pydantic.field_validator("operations")
    @classmethod
    def _check_operations(
        cls, operations: tuple[Operation, ...]
    ) -> tuple[Operation, ...]:
        _require_distinct(operation.name for operation in operations)
        return operations


class Contract(_StrictModel):
    """The API keys, limits and allowed adapters and services of a customer."""

    customer: Name
    api_keys: tuple[ApiKey, ...] = pydantic.Field(
        min_length=1, max_length=MAX_API_KEYS
    )
    limits: Limits
    weight: float = pydantic.Field(default=1.0, gt=0, le=1_000)
    adapters: tuple[AdapterRule, ...] = pydantic.Field(
        default=(), max_length=MAX_ADAPTER_PATTERNS
    )
    services: tuple[ServiceRule, ...] = ()

    @pydantic.field_validator("api_keys")
    @classmethod
    def _check_keys(cls, api_keys: tuple[ApiKey, ...]) -> tuple[ApiKey, ...]:
        _require_distinct(key.id for key in api_keys)
        _require_distinct(key.sha256 for key in api_keys)
        return api_keys

    @pydantic.field_validator("services")
    @classmethod
    def _check_services(
        cls, services: tuple[ServiceRule, ...]
    ) -> tuple[ServiceRule, ...]:
        _require_distinct(service.name for service in services)
        return services

    def adapter_rule(
        self, adapter: models.AdapterVersion
    ) -> AdapterRule | None:
        """Returns the first rule that allows the version, None for none."""
        for rule in self._rules_for(adapter.adapter):
            if "*" in rule.versions or adapter.version in rule.versions:
                return rule
        return None

    def operation(self, service: str, operation: str) -> Operation | None:
        """Returns an operation of a plain service, None if not allowed."""
        for rule in self.services:
            if rule.name != service:
                continue
            for allowed in rule.operations:
                if allowed.name == operation:
                    return allowed
        return None

    @functools.cached_property
    def _rule_indices_by_name(self) -> dict[str, list[int]]:
        """Indices of the rules without a prefix, by adapter name."""
        indices: dict[str, list[int]] = {}
        for index, rule in enumerate(self.adapters):
            if not rule.is_prefix:
                indices.setdefault(rule.name, []).append(index)
        return indices

    @functools.cached_property
    def _prefix_rule_indices(self) -> tuple[int, ...]:
        """Indices of the rules with a prefix."""
        return tuple(
            index for index, rule in enumerate(self.adapters) if rule.is_prefix
        )

    def _rules_for(self, adapter: str) -> Iterator[AdapterRule]:
        """Yields the rules that match an adapter, in their order."""
        indices = list(self._rule_indices_by_name.get(adapter, ()))
        indices.extend(
            index
            for index in self._prefix_rule_indices
            if adapter.startswith(self.adapters[index].name[:-1])
        )
        return (self.adapters[index] for index in sorted(indices))

    def accepts_key(self, api_key: str) -> bool:
        """Returns whether an API key belongs to the contract."""
        digest = hash_key(api_key)
        return any(
            hmac.compare_digest(digest, key.sha256) for key in self.api_keys
        )


def hash_key(api_key: str) -> str:
    """Returns the hex SHA-256 digest that is stored for an API key."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def _require_distinct(names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError(f"{name!r} is listed twice; list it once")
        seen.add(name)
