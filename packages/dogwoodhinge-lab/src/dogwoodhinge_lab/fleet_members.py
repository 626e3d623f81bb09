"""Nodes and stand-ins of a fleet, as tests drive them."""

import pathlib
from typing import Any, final

from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_process

STATUS_NOT_DONE = 300
STOPPED_STATES = frozenset({"T", "t"})


@final
class FleetStandin:
    """A stand-in of the fleet, inside this process or beside it."""

    def __init__(self, address: str, control: fleet_clients.Control) -> None:
        self.address = address
        self.control = control

    async def set_faults(self, **faults: Any) -> None:
        """Switches faults.

        Raises:
            FleetError: the stand-in knows no such fault.
        """
        status, answer = await self.control.put(
            f"{self.address}/control/faults", faults
        )
        if status != fleet_clients.STATUS_OK:
            raise fleet_process.FleetError(f"faults {faults}: {answer}")

    async def records(self, event: str = "") -> list[dict[str, Any]]:
        """Returns what happened there, oldest first."""
        found = await self.control.get(f"{self.address}/control/records")
        return [r for r in found if not event or r["event"] == event]

    async def traffic(self) -> dict[str, int]:
        """Returns bytes and requests so far."""
        found: dict[str, int] = await self.control.get(
            f"{self.address}/control/traffic"
        )
        return found


@final
class FleetNode:
    """A node of the fleet."""

    def __init__(
        self,
        host_id: str,
        zone: str,
        process: fleet_process.FleetProcess,
        control: fleet_clients.Control,
    ) -> None:
        self.host_id = host_id
        self.zone = zone
        self.process = process
        self.control = control

    @property
    def caller_url(self) -> str:
        """Returns the base URL for callers."""
        return self.process.addresses["caller"]

    @property
    def operator_url(self) -> str:
        """Returns the base URL for operators."""
        return self.process.addresses["operator"]

    @property
    def peer_address(self) -> str:
        """Returns IP address and port for peers."""
        return self.process.addresses["peer"]

    async def is_ready(self) -> bool:
        """Tells whether the balancer should send requests here."""
        status, _ = await self.control.text(f"{self.caller_url}/readyz")
        return status == fleet_clients.STATUS_OK

    async def status(self) -> dict[str, Any]:
        """Returns what the node tells operators of itself."""
        found: dict[str, Any] = await self.control.get(
            f"{self.operator_url}/v1/status"
        )
        return found

    @property
    def is_stopped(self) -> bool:
        """Tells whether the node's process is stopped by a signal."""
        path = pathlib.Path(f"/proc/{self.process.pid}/stat")
        try:
            state = path.read_text().rpartition(")")[2].split()[0]
        except OSError:
            return False
        return state in STOPPED_STATES

    async def owned_engines(self) -> set[str]:
        """Returns the engines that the node owns."""
        status = await self.status()
        return {engine["engine_id"] for engine in status["engines"]}

    async def arm(self, faults: str) -> None:
        """Arms faults at named steps (`dispatch=kill`).

        Raises:
            FleetError: the node accepts none.
        """
        status, answer = await self.control.put_text(
            f"{self.operator_url}/v1/injection", faults
        )
        if status >= STATUS_NOT_DONE:
            raise fleet_process.FleetError(
                f"{self.host_id} answered the injection with {status} {answer}"
            )

    async def metrics(self) -> str:
        """Returns the page that Prometheus reads."""
        _, text = await self.control.text(f"{self.operator_url}/metrics")
        return text
