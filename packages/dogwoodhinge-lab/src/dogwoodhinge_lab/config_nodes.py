"""Configuration views and operator ports of nodes, without the rest.

Tests of the configuration, the operator port and the command line share one
table and let several nodes follow it in one process.
"""

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Any

from aiohttp import web

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import errors
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.config import guard as guard_lib
from _dogwoodhinge.config import log as log_lib
from _dogwoodhinge.config import view as view_lib
from _dogwoodhinge.operators import app as app_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports
from dogwoodhinge_lab import memory_objects
from dogwoodhinge_lab import memory_table

OPERATOR_KEY = "operator-key"


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSession:
    """A session as the operator port shows it."""

    host_id: str
    session_id: str
    applied_revision: int
    peer_address: str = ""
    operator_address: str = ""
    zone: str = "zone-a"
    region: str = "region-1"
    state: str = "live"


class ConfigNode:
    """A node's configuration view and operator port.

    Attributes:
        majority: what the node answers when a change is to be accepted.
        url: of the operator port, once started.
    """

    def __init__(
        self,
        cluster: "ConfigCluster",
        host_id: str,
        *,
        table: ports.TableService,
        poll_seconds: float,
    ) -> None:
        self.cluster = cluster
        self.host_id = host_id
        self.self_id = f"session-of-{host_id}"
        self.majority = True
        self.state = "live"
        self.url = ""
        self.decisions = decisions_lib.DecisionLog(
            node=host_id, clock=cluster.clock
        )
        self.log = log_lib.ConfigLog(
            table=table, objects=cluster.objects, clock=cluster.clock
        )
        self.view = view_lib.ConfigView(
            log=self.log,
            clock=cluster.clock,
            settings=settings_lib.Settings.model_construct(
                config_poll_seconds=poll_seconds
            ),
            peers=lambda: [a for a in cluster.nodes if a != host_id],
            peer_client=cluster,
            decisions=self.decisions,
            rng=random.Random(7),
        )
        self.runner = web.AppRunner(app_lib.build(self._dependencies()))

    async def start(self) -> None:
        """Serves the operator port on a port that the system picks."""
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        host, port = self.runner.addresses[0]
        self.url = f"http://{host}:{port}"

    async def stop(self) -> None:
        """Closes the operator port."""
        await self.runner.cleanup()

    def known(self) -> list[NodeSession]:
        """Returns the sessions of all nodes."""
        return [node.session() for node in self.cluster.nodes.values()]

    def peers(self) -> list[NodeSession]:
        """Returns the sessions of the other nodes."""
        return [s for s in self.known() if s.session_id != self.self_id]

    def session(self) -> NodeSession:
        """Returns this node's session."""
        return NodeSession(
            host_id=self.host_id,
            session_id=self.self_id,
            applied_revision=self.view.revision,
            peer_address=self.host_id,
            state=self.state,
        )

    async def majority_renewed(self) -> bool:
        """Tells whether changes may be accepted."""
        return self.majority

    def _dependencies(self) -> app_lib.Dependencies:
        return app_lib.Dependencies(
            operator_key=OPERATOR_KEY,
            host_id=self.host_id,
            log=self.log,
            view=self.view,
            guard=guard_lib.AcceptanceGuard(
                majority_renewed=self.majority_renewed,
                clock=self.cluster.clock,
            ),
            membership=self,
            peer_client=self.cluster,
            decisions=self.decisions,
            clock=self.cluster.clock,
            endpoints=lambda: self.cluster.endpoints,
            engines=lambda: (),
            isolation=lambda: "connected",
            readiness=lambda: app_lib.Readiness(
                self.view.loaded, () if self.view.loaded else ("not loaded",)
            ),
            is_live=lambda: True,
            metrics=_answer_scrape,
        )


class ConfigCluster:
    """Nodes that share a table and an object store.

    Attributes:
        nodes: by host id, which is their peer address too.
        cut_off: hosts that no peer reaches.
        change_reply: changes what a peer answers to `FetchChanges`.
        calls: calls between peers, by method.
        endpoints: shown by every node.
    """

    def __init__(self, *, clock: ports.Clock) -> None:
        self.clock = clock
        self.table = memory_table.MemoryTable()
        self.objects = memory_objects.MemoryObjects()
        self.nodes: dict[str, ConfigNode] = {}
        self.cut_off: set[str] = set()
        self.change_reply: Callable[
            [peer_pb2.FetchChangesReply], peer_pb2.FetchChangesReply
        ] = lambda reply: reply
        self.calls: collections.Counter[str] = collections.Counter()
        self.endpoints: tuple[models.Endpoint, ...] = ()

    def add(
        self,
        host_id: str,
        *,
        table: ports.TableService | None = None,
        poll_seconds: float = 1.0,
    ) -> ConfigNode:
        """Adds a node.

        Args:
            host_id: its host.
            table: the table as this node reaches it; the shared one if None.
            poll_seconds: time between its polls.
        """
        node = ConfigNode(
            self, host_id, table=table or self.table, poll_seconds=poll_seconds
        )
        self.nodes[host_id] = node
        return node

    def make_log(self) -> log_lib.ConfigLog:
        """Returns the log as one more node sees it."""
        return log_lib.ConfigLog(
            table=self.table, objects=self.objects, clock=self.clock
        )

    async def call(
        self, address: str, method: str, request: Any, *, timeout: object
    ) -> Any:
        """Calls a peer, as `peer.client.PeerClient` does."""
        self.calls[method] += 1
        if address in self.cut_off:
            raise errors.PeerUnreachableError(f"peer {address} is cut off")
        node = self.nodes[address]
        if method == "Explain":
            lines = node.decisions.explain(request.request_id)
            return peer_pb2.ExplainReply(lines=lines)
        return self.change_reply(await node.view.fetch_changes(request))


async def _answer_scrape(request: web.Request) -> web.Response:
    del request
    return web.Response(text="# no metrics\n")
