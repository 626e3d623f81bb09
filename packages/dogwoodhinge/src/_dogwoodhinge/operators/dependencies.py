"""Dependencies of the operator port on the node."""

from collections.abc import Awaitable, Callable, Sequence
import dataclasses
import datetime
from typing import Any, Protocol, final

from aiohttp import web

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge.config import guard as guard_lib
from _dogwoodhinge.config import log as log_lib
from _dogwoodhinge.config import view as view_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import models
from dogwoodhinge import ports


class Session(Protocol):
    """The part of `membership.sessions.Session` that the port shows."""

    @property
    def session_id(self) -> str:
        """Id of the session."""

    @property
    def host_id(self) -> str:
        """Id of the host that the session's node runs on."""

    @property
    def peer_address(self) -> str:
        """IP address and peer port."""

    @property
    def operator_address(self) -> str:
        """IP address and operator port."""

    @property
    def zone(self) -> str:
        """Availability zone."""

    @property
    def region(self) -> str:
        """Region."""

    @property
    def state(self) -> str:
        """`live`, `draining`, `ended` or `lapsed`."""

    @property
    def applied_revision(self) -> int:
        """Configuration revision applied at the last renewal of the session."""


class Membership(Protocol):
    """The part of `membership.membership.Membership` that the port uses."""

    @property
    def self_id(self) -> str:
        """Id of this node's session."""

    def known(self) -> Sequence[Session]:
        """Returns the sessions that did not end cleanly."""

    def peers(self) -> Sequence[Session]:
        """Returns the live sessions of other nodes."""


class PeerClient(Protocol):
    """The part of `peer.client.PeerClient` that the port uses."""

    async def call(
        self,
        address: str,
        method: str,
        request: peer_pb2.ExplainRequest,
        *,
        timeout: datetime.timedelta,
    ) -> peer_pb2.ExplainReply:
        """Calls a method of a peer and returns the reply."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether the node accepts new requests.

    Attributes:
        ready: whether it accepts them.
        reasons: why it does not, e.g. `isolated`, `draining`.
    """

    ready: bool
    reasons: tuple[str, ...] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """Parts of the node that the operator port reads or changes.

    Attributes:
        operator_key: the credential that operators send.
        host_id: id of this node's host.
        log: the configuration log.
        view: the configuration in force on this node.
        guard: can reject a change before it is committed.
        membership: sessions of the nodes.
        peer_client: fetches the decision lines of peers.
        decisions: this node's decision lines.
        clock: source of monotonic time.
        endpoints: returns the endpoints that this node knows.
        engines: returns the status of the engines that this node owns, as
            dataclasses.
        isolation: returns the isolation state.
        readiness: returns whether the node accepts new requests.
        is_live: returns whether the process is healthy.
        metrics: handles a metrics scrape.
    """

    operator_key: str
    host_id: str
    log: log_lib.ConfigLog
    view: view_lib.ConfigView
    guard: guard_lib.AcceptanceGuard
    membership: Membership
    peer_client: PeerClient
    decisions: decisions_lib.DecisionLog
    clock: ports.Clock
    endpoints: Callable[[], Sequence[models.Endpoint]]
    engines: Callable[[], Sequence[Any]]
    isolation: Callable[[], str]
    readiness: Callable[[], Readiness]
    is_live: Callable[[], bool]
    metrics: Callable[[web.Request], Awaitable[web.StreamResponse]]


DEPENDENCIES_KEY = web.AppKey("dependencies", Dependencies)
