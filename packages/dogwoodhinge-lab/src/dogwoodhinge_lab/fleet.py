"""Starts nodes and stand-ins, and stops them again.

The nodes are processes. The stand-ins run inside the calling process, or as
processes of their own, which costs memory and time to start.
"""

import contextlib
import dataclasses
import pathlib
import tempfile
from typing import Any, final
import uuid

from dogwoodhinge import models
from dogwoodhinge_lab import fleet_clients
from dogwoodhinge_lab import fleet_members
from dogwoodhinge_lab import fleet_process
from dogwoodhinge_lab import fleet_shape
from dogwoodhinge_lab.standins import batch as batch_lib
from dogwoodhinge_lab.standins import engine as engine_standins
from dogwoodhinge_lab.standins import hosts as hosts_standins
from dogwoodhinge_lab.standins import objects as objects_standins
from dogwoodhinge_lab.standins import server as server_lib
from dogwoodhinge_lab.standins import service as service_standins
from dogwoodhinge_lab.standins import table as table_standins
from dogwoodhinge_lab.standins import weights as weights_standins

NODE_MODULE = "dogwoodhinge"
STANDIN_MODULE = "dogwoodhinge_lab.standins."
SETTLE_SECONDS = 30.0


@final
class Fleet:
    """A fleet on loopback; use it with `async with`.

    Attributes:
        nodes: by host id, also those that have ended.
        standins: by name; engines and services by endpoint id.
        caller: sends requests with the customer's key.
        leaving: endpoint ids that the list of hosts shows as leaving.
        missing: endpoint ids that it does not show.
    """

    def __init__(self, shape: fleet_shape.Shape) -> None:
        self.shape = shape
        self.nodes: dict[str, fleet_members.FleetNode] = {}
        self.standins: dict[str, fleet_members.FleetStandin] = {}
        self.engines = {shape.engine_id: shape for shape in shape.engines}
        self.leaving: set[str] = set()
        self.missing: set[str] = set()
        self.started = 0
        # A port of one fleet may come to another: the keys keep them apart.
        self.peer_key = uuid.uuid4().hex
        self.stack = contextlib.AsyncExitStack()
        self.directory = pathlib.Path()
        self.control = fleet_clients.Control(fleet_shape.OPERATOR_KEY)
        self.caller = fleet_clients.Caller(fleet_shape.API_KEY)

    async def __aenter__(self) -> "Fleet":
        try:
            await self._start()
        except BaseException:
            await self.stack.aclose()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.stack.aclose()

    async def _start(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="dogwoodhinge-")
        self.directory = pathlib.Path(self.stack.enter_context(folder))
        self.stack.push_async_callback(self.control.close)
        self.stack.push_async_callback(self.caller.close)
        await self._start_platform()
        for engine in self.shape.engines:
            await self._start_engine(engine)
        for name in self.shape.service_endpoints():
            await self._start_standin(
                name, "service", service_standins.ServiceStandin()
            )
        await self.publish_hosts()
        for _ in range(self.shape.nodes):
            await self.start_node()

    async def _start_platform(self) -> None:
        width = self.shape.width
        await self._start_standin(
            "table", "table", table_standins.TableStandin()
        )
        await self._start_standin(
            "objects", "objects", objects_standins.ObjectsStandin()
        )
        await self._start_standin(
            "weights",
            "weights",
            weights_standins.WeightsStandin(width),
            f"--full_speed={width.full_speed}",
            f"--crowded_from={width.crowded_from}",
            f"--loads_per_second={width.loads_per_second}",
        )
        await self._start_standin(
            "hosts", "hosts", hosts_standins.HostsStandin()
        )

    async def _start_engine(self, shape: fleet_shape.EngineShape) -> None:
        standin = engine_standins.EngineStandin(
            engine_id=shape.engine_id,
            slots=shape.slots,
            batch=shape.batch,
            checks_fencing=shape.checks_fencing,
            speed=batch_lib.Speed(step_ms=shape.step_ms),
        )
        await self._start_standin(
            shape.engine_id,
            "engine",
            standin,
            f"--engine_id={shape.engine_id}",
            f"--slots={shape.slots}",
            f"--batch={shape.batch}",
            f"--checks_fencing={str(shape.checks_fencing).lower()}",
            f"--step_ms={shape.step_ms}",
        )

    async def _start_standin(
        self,
        name: str,
        module: str,
        standin: server_lib.Standin[Any],
        *arguments: str,
    ) -> None:
        if self.shape.separate_standins:
            process = fleet_process.FleetProcess(
                name,
                STANDIN_MODULE + module,
                arguments=("--port=0", *arguments),
                directory=self.directory,
            )
            await process.start()
            self.stack.push_async_callback(process.stop)
            address = process.addresses["address"]
        else:
            address = await standin.start()
            self.stack.push_async_callback(standin.stop)
        self.standins[name] = fleet_members.FleetStandin(address, self.control)

    async def start_node(self, **settings: str) -> fleet_members.FleetNode:
        """Starts one more node and adds it to the list of hosts.

        Args:
            settings: settings that differ from the fleet's.
        """
        self.started += 1
        number = self.started
        host_id = f"host-{number}"
        zone = fleet_shape.ZONES[(number - 1) % len(fleet_shape.ZONES)]
        values = self._node_settings(host_id, zone) | settings
        process = fleet_process.FleetProcess(
            host_id,
            NODE_MODULE,
            environment=self.shape.environment
            | {
                f"DOGWOODHINGE_{name.upper()}": value
                for name, value in values.items()
            },
            directory=self.directory,
        )
        self.stack.push_async_callback(process.stop)
        await process.start()
        node = fleet_members.FleetNode(host_id, zone, process, self.control)
        self.nodes[host_id] = node
        await self.publish_hosts()
        return node

    def _node_settings(self, host_id: str, zone: str) -> dict[str, str]:
        width = self.shape.width
        table = self.standins["table"].address.replace("//", f"//{host_id}@")
        return {
            "host_id": host_id,
            "zone": zone,
            "region": fleet_shape.REGION,
            "caller_port": "0",
            "operator_port": "0",
            "peer_port": "0",
            "table_url": f"dynamodb+{table}",
            "object_store_url": f"s3+{self.standins['objects'].address}/lab",
            "weight_store_url": f"s3+{self.standins['weights'].address}/lab",
            "host_list_url": f"sd+{self.standins['hosts'].address}/hosts",
            "store_full_speed": str(width.full_speed),
            "store_crowded_from": str(width.crowded_from),
            "store_loads_per_second": str(width.loads_per_second),
            "operator_key": fleet_shape.OPERATOR_KEY,
            "peer_key": self.peer_key,
        } | self.shape.settings

    async def publish_hosts(self) -> None:
        """Writes the list of hosts as it stands."""
        endpoints = [
            *(self._node_endpoint(node) for node in self.nodes.values()),
            *(self._engine_endpoint(engine) for engine in self.shape.engines),
            *(
                self._service_endpoint(endpoint_id, name)
                for endpoint_id, name in self.shape.service_endpoints().items()
            ),
        ]
        entries = [
            dataclasses.asdict(self._with_state(endpoint))
            for endpoint in endpoints
            if endpoint.endpoint_id not in self.missing
        ]
        await self.control.put(
            f"{self.standins['hosts'].address}/control/endpoints", entries
        )

    def _with_state(self, endpoint: models.Endpoint) -> models.Endpoint:
        if endpoint.endpoint_id not in self.leaving:
            return endpoint
        return dataclasses.replace(endpoint, state=models.HostState.LEAVING)

    def _node_endpoint(self, node: fleet_members.FleetNode) -> models.Endpoint:
        return models.Endpoint(
            endpoint_id=node.host_id,
            kind=models.EndpointKind.NODE,
            url=f"http://{node.peer_address}",
            zone=node.zone,
            region=fleet_shape.REGION,
        )

    def _engine_endpoint(
        self, shape: fleet_shape.EngineShape
    ) -> models.Endpoint:
        return models.Endpoint(
            endpoint_id=shape.engine_id,
            kind=models.EndpointKind.ENGINE,
            url=self.standins[shape.engine_id].address,
            role=shape.role,
            zone=shape.zone,
            region=fleet_shape.REGION,
            base_model=fleet_shape.BASE_MODEL,
            slots=shape.slots,
            batch=shape.batch,
            checks_fencing=shape.checks_fencing,
        )

    def _service_endpoint(self, endpoint_id: str, name: str) -> models.Endpoint:
        return models.Endpoint(
            endpoint_id=endpoint_id,
            kind=models.EndpointKind.SERVICE,
            url=self.standins[endpoint_id].address,
            role=name,
            zone=fleet_shape.ZONES[0],
            region=fleet_shape.REGION,
        )

    def running_nodes(self) -> list[fleet_members.FleetNode]:
        """Returns the nodes whose processes have not ended."""
        return [
            node
            for node in self.nodes.values()
            if node.process.exit_code is None
        ]

    async def apply_contract(
        self, contract: dict[str, Any] | None = None, *, revision: int = 0
    ) -> int:
        """Puts a contract through the first running node.

        Args:
            contract: by default one that allows everything here.
            revision: revision it replaces, 0 for none.

        Returns:
            The revision that it got.

        Raises:
            FleetError: it was not accepted.
        """
        document = contract or self.shape.default_contract()
        node = self.running_nodes()[0]
        condition = (
            {"If-Match": f'"{revision}"'}
            if revision
            else {"If-None-Match": "*"}
        )
        status, answer = await self.control.put(
            f"{node.operator_url}/v1/contracts/{document['customer']}",
            document,
            condition
            | {"X-Operator": "lab", "Idempotency-Key": uuid.uuid4().hex},
        )
        if status != fleet_clients.STATUS_OK:
            raise fleet_process.FleetError(f"contract: {status} {answer}")
        return int(answer["revision"])

    async def settle(self, seconds: float = SETTLE_SECONDS) -> None:
        """Waits until all running nodes are ready and agree, engines owned.

        They agree when the same revision is in force on all of them.

        Raises:
            TimeoutError: they are not in time.
        """
        await fleet_clients.poll_until(
            self._is_settled, what="ready nodes, owned engines", seconds=seconds
        )

    async def _is_settled(self) -> bool:
        owned: set[str] = set()
        revisions: set[int] = set()
        for node in self.running_nodes():
            if not await node.is_ready():
                return False
            status = await node.status()
            owned |= {engine["engine_id"] for engine in status["engines"]}
            revisions.add(status["configuration"]["revision"])
        expected = set(self.engines) - self.leaving - self.missing
        return owned >= expected and len(revisions) == 1

    async def owner_of(self, engine_id: str) -> fleet_members.FleetNode | None:
        """Returns the running node that owns an engine."""
        for node in self.running_nodes():
            if engine_id in await node.owned_engines():
                return node
        return None
