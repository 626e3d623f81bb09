"""The node's copy of the configuration, which follows the log."""

import asyncio
from collections.abc import Callable, Sequence
import datetime
import random

from absl import logging
import mode

from _dogwoodhinge import decisions as decisions_lib
from _dogwoodhinge import errors
from _dogwoodhinge import injection
from _dogwoodhinge import settings as settings_lib
from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import errors as config_errors
from _dogwoodhinge.config import log as log_lib
from _dogwoodhinge.config import peer_source
from _dogwoodhinge.config import recent_changes as recent_lib
from _dogwoodhinge.config import records
from _dogwoodhinge.config import state as state_lib
from _dogwoodhinge.peer import peer_pb2
from dogwoodhinge import ports

SNAPSHOT_INTERVAL_REVISIONS = 100

# A node that has been behind a known revision for longer stops serving.
MAX_LAG = datetime.timedelta(seconds=15)


class ConfigView(mode.Service):
    """Polls the head of the log and applies changes strictly in order.

    Attributes:
        config_log: the log in the table.
        applied: the contracts that are in force on this node.
        source: the live peers, used while the table is unreachable.
        recent: the newest applied changes, for peers.
        head_revision: newest known revision; sent along to peers.
        head_read_at: when the head was last read from the table, in monotonic
            seconds.
        last_fresh_at: when the applied revision was last known to be the
            newest, from the table or from a peer that had just read it; in
            monotonic seconds.
        synced_once: whether the configuration has been up to date at least
            once.
        behind_since: since when a known revision is newer than the applied
            one, in monotonic seconds; None if none is.
        own_changes: changes accepted by this node and not applied yet.
        listeners: called with the revision after changes were applied.
        snapshot_revision: revision of the newest snapshot that this node
            installed or wrote.
    """

    def __init__(
        self,
        *,
        log: log_lib.ConfigLog,
        clock: ports.Clock,
        settings: settings_lib.Settings,
        peers: Callable[[], Sequence[str]],
        peer_client: peer_source.PeerCaller,
        decisions: decisions_lib.DecisionLog,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.config_log = log
        self.clock = clock
        self.settings = settings
        self.source = peer_source.PeerSource(
            peers=peers, client=peer_client, rng=rng or random.Random()
        )
        self.decisions = decisions
        self.applied = state_lib.ConfigState()
        self.recent = recent_lib.RecentChanges()
        self.head_revision = 0
        self.head_read_at = float("-inf")
        self.last_fresh_at = float("-inf")
        self.synced_once = False
        self.behind_since: float | None = None
        self.own_changes: list[records.ChangeRecord] = []
        self.listeners: list[Callable[[int], None]] = []
        self.snapshot_revision = 0
        self._poll_requested = asyncio.Event()
        log.listeners.append(self.add_own_change)

    @property
    def revision(self) -> int:
        """The newest revision applied on this node."""
        return self.applied.revision

    @property
    def loaded(self) -> bool:
        """True if the node has a configuration that it may serve with."""
        if self.behind_since is None:
            return self.synced_once
        lag = self.clock.monotonic() - self.behind_since
        return self.synced_once and lag <= MAX_LAG.total_seconds()

    def contract(self, customer: str) -> contract_lib.Contract | None:
        """Returns the contract of a customer, None for none."""
        return self.applied.contract(customer)

    def contract_for_key(self, api_key: str) -> contract_lib.Contract | None:
        """Returns the contract that an API key belongs to, None for none."""
        return self.applied.contract_for_key(api_key)

    def contracts(self) -> tuple[contract_lib.Contract, ...]:
        """Returns all contracts, sorted by customer; decodes each of them."""
        contracts = map(self.applied.contract, self.applied.customers())
        return tuple(document for document in contracts if document is not None)

    def observe_revision(self, revision: int) -> None:
        """Records a head revision known to a peer; polls early if newer."""
        if revision > self.head_revision:
            self._observe_head(revision)
            self._poll_requested.set()

    def add_own_change(self, record: records.ChangeRecord) -> None:
        """Adds a change that this node has just committed.

        It is applied with the next poll, which starts at once, even if the
        table has failed since, so that peers can fetch it from this node.
        """
        self.own_changes.append(record)
        self._observe_head(record.revision)
        self._poll_requested.set()

    async def fetch_changes(
        self, request: peer_pb2.FetchChangesRequest
    ) -> peer_pb2.FetchChangesReply:
        """Returns a page of changes to a peer that can't reach the table."""
        limit = min(
            request.limit or peer_source.MAX_CHANGES_PER_PAGE,
            peer_source.MAX_CHANGES_PER_PAGE,
        )
        age = self.clock.monotonic() - self.head_read_at
        return peer_pb2.FetchChangesReply(
            changes=self.recent.after(request.after_revision, limit=limit),
            head_revision=self.head_revision,
            fresh=age <= peer_source.HEAD_MAX_AGE.total_seconds(),
        )

    @mode.Service.task
    async def follow(self) -> None:
        """Polls until the service stops."""
        while not self.should_stop:
            await self.poll()
            await self._wait()

    async def poll(self) -> None:
        """Fetches changes from the table, or from peers if the table fails."""
        await injection.reach(injection.Step.POLL)
        self._poll_requested.clear()
        await self._apply_own_changes()
        try:
            await self._follow_table()
        except errors.ConfigError as error:
            logging.warning("config poll at the table failed: %s", error)
            await self._follow_peers()
            return
        await self._write_snapshot_if_due()

    async def _wait(self) -> None:
        interval = self.settings.seconds("config_poll")
        interval_end = asyncio.ensure_future(self.clock.sleep(interval))
        poll_request = asyncio.ensure_future(self._poll_requested.wait())
        try:
            await asyncio.wait(
                {interval_end, poll_request},
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            interval_end.cancel()
            poll_request.cancel()

    async def _follow_table(self) -> None:
        started = self.clock.monotonic()
        head = await self.config_log.head()
        if head < self.revision:
            raise errors.ConfigUnavailableError(
                f"the table's head {head} is below revision {self.revision}, "
                "which is applied on this node; check whether the table was "
                "reset to an older state"
            )
        self.head_read_at = started
        self._observe_head(head)
        if not self.revision and head:
            await self._install_snapshot()
        while self.revision < head:
            await self._apply_next_page()
        self._mark_fresh(started)

    async def _apply_own_changes(self) -> None:
        own, self.own_changes = self.own_changes, []
        for change in own:
            if change.revision == self.revision + 1:
                await self._apply((change,), source="this node")

    async def _apply_next_page(self) -> None:
        try:
            changes = await self.config_log.read_after(
                self.revision, limit=peer_source.MAX_CHANGES_PER_PAGE
            )
        except config_errors.ChangeMissingError:
            if await self._install_snapshot():
                return
            raise
        if not changes:
            raise errors.ConfigUnavailableError(
                f"the head of the table is newer than change {self.revision}, "
                "but the next change is missing from the table"
            )
        await self._apply(changes, source="table")

    async def _install_snapshot(self) -> bool:
        try:
            snapshot = await self.config_log.snapshots.newest()
        except errors.ConfigUnavailableError as error:
            logging.warning("config snapshot not read: %s", error)
            return False
        if snapshot is None or not self.applied.install(snapshot):
            return False
        self.recent.clear()
        self.snapshot_revision = max(self.snapshot_revision, snapshot.revision)
        self._observe_head(self.revision)
        self._record(f"snapshot of {len(snapshot.changes)} contracts installed")
        self._notify_listeners()
        return True

    async def _follow_peers(self) -> None:
        for address in self.source.choose():
            try:
                if await self._follow_peer(address):
                    return
            except (errors.PeerError, errors.ConfigError) as error:
                logging.warning("config poll at peer failed: %s", error)

    async def _follow_peer(self, address: str) -> bool:
        """Applies changes of a peer; returns whether the node is up to date."""
        if not self.revision:
            await self._install_snapshot()
        while True:
            started = self.clock.monotonic()
            fetched = await self.source.fetch(address, after=self.revision)
            self._observe_head(fetched.head_revision)
            await self._apply(fetched.changes, source=f"peer {address}")
            if self.revision >= fetched.head_revision:
                break
            if not fetched.changes and not await self._install_snapshot():
                return False
        if not fetched.fresh or self.revision < self.head_revision:
            return False
        # The peer's read of the head may be as old as the maximum age.
        self._mark_fresh(started - peer_source.HEAD_MAX_AGE.total_seconds())
        return True

    async def _apply(
        self, changes: Sequence[records.ChangeRecord], *, source: str
    ) -> None:
        for change in changes:
            await injection.reach(injection.Step.APPLY_LOCALLY)
            if change.revision <= self.revision:
                continue
            self.recent.add(self.applied.apply(change))
            self._observe_head(self.revision)
            self._record(
                f"{change.kind} by {change.operator} from {source}",
                customer=change.customer,
            )
        if changes:
            self._notify_listeners()

    def _observe_head(self, revision: int) -> None:
        """Records a known revision and since when this node is behind."""
        self.head_revision = max(self.head_revision, revision)
        if self.revision >= self.head_revision:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = self.clock.monotonic()

    def _mark_fresh(self, confirmed_at: float) -> None:
        self.last_fresh_at = max(self.last_fresh_at, confirmed_at)
        if not self.synced_once:
            self.synced_once = True
            self._record("the configuration is loaded")

    async def _write_snapshot_if_due(self) -> None:
        """Writes a snapshot if a change of this node completed an interval."""
        due = self.config_log.last_appended - self.config_log.last_appended % (
            SNAPSHOT_INTERVAL_REVISIONS
        )
        if not due or self.snapshot_revision >= due or self.revision < due:
            return
        self.snapshot_revision = self.revision
        try:
            await self.config_log.snapshots.write(self.applied.make_snapshot())
        except errors.ConfigUnavailableError as error:
            self.snapshot_revision = 0
            logging.warning("config snapshot not written: %s", error)
            return
        self._record("snapshot written")

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener(self.revision)

    def _record(self, reason: str, *, customer: str = "") -> None:
        self.decisions.record(
            decisions_lib.Decision(
                kind="config",
                chosen=f"revision {self.revision}",
                reason=reason,
                customer=customer,
                revision=self.revision,
            )
        )
