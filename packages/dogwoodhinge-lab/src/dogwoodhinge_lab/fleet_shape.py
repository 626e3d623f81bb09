"""What a fleet is made of."""

import dataclasses
import types
from typing import Any, final

from _dogwoodhinge.config import contract as contract_lib
from dogwoodhinge import models

OPERATOR_KEY = "operator-key-of-the-lab"
API_KEY = "api-key-of-the-lab"
CUSTOMER = "lab"
BASE_MODEL = "base"
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
REGION = "region-1"

# Shorter than a deployment's, so that leases lapse within a test.
QUICK_SETTINGS = types.MappingProxyType(
    {
        "session_ttl_seconds": "3",
        "renew_seconds": "1",
        "host_poll_seconds": "0.3",
        "config_poll_seconds": "0.3",
        "report_poll_seconds": "0.3",
        "report_lag_seconds": "0.6",
        "order_timeout_seconds": "0.5",
        "start_within_seconds": "2",
        "gap_seconds": "1",
        "drain_notice_seconds": "0.5",
    }
)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineShape:
    """An engine of a fleet."""

    engine_id: str
    role: str = "description"
    zone: str = ZONES[0]
    slots: int = 4
    batch: int = 8
    checks_fencing: bool = True
    step_ms: float = 10.0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """What a fleet is made of.

    Attributes:
        nodes: number of nodes.
        engines: its engines.
        services: names of the plain services.
        service_copies: endpoints of each plain service.
        width: the weight store's.
        settings: settings of each node, by name.
        environment: further variables of each node's process.
        separate_standins: run each stand-in as a process.
    """

    nodes: int = 3
    engines: tuple[EngineShape, ...] = (EngineShape(engine_id="engine-1"),)
    services: tuple[str, ...] = ("yard",)
    service_copies: int = 1
    width: models.StoreWidth = models.StoreWidth(2, 16, 3.0)
    settings: dict[str, str] = dataclasses.field(default_factory=dict)
    environment: dict[str, str] = dataclasses.field(default_factory=dict)
    separate_standins: bool = False

    def service_endpoints(self) -> dict[str, str]:
        """Returns endpoint ids with the names of their services."""
        return {
            name if copy == 0 else f"{name}-{copy + 1}": name
            for name in self.services
            for copy in range(self.service_copies)
        }

    def default_contract(self) -> dict[str, Any]:
        """Returns a contract that allows all roles and services here."""
        roles = sorted({engine.role for engine in self.engines})
        operations = [
            {"name": "reserve", "path": "/reserve", "idempotent": False},
            {"name": "lookup", "path": "/lookup", "idempotent": True},
        ]
        return {
            "customer": CUSTOMER,
            "api_keys": [
                {"id": "lab", "sha256": contract_lib.hash_key(API_KEY)}
            ],
            "limits": {
                "requests_per_second": 1_000,
                "burst": 1_000,
                "concurrency": 1_000,
            },
            "adapters": [
                {"name": f"{role}-*", "versions": ["*"], "role": role}
                for role in roles
            ],
            "services": [
                {"name": name, "operations": operations}
                for name in self.services
            ],
        }
