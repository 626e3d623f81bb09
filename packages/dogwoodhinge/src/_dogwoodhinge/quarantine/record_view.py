"""A node's view of the quarantine records, bounded in size and time."""

import collections
import heapq
from typing import final

from _dogwoodhinge.quarantine import records
from _dogwoodhinge.quarantine import rules
from dogwoodhinge import ports

MAX_RECORDS = 4_000  # about 2 MB
EVICTED_AT_ONCE = 100


@final
class RecordView:
    """The records that a node knows.

    Lifetimes count from when this node learned of a record's last change: the
    times of day of nodes differ.

    Attributes:
        records: records by fingerprint, also expired ones.
        known_since: monotonic second at which a record last changed here.
        evicted: records dropped for lack of space.
        counts: number of changes of records, by whether they are about parts
            of prompts and the new verdict.
    """

    def __init__(self, clock: ports.Clock) -> None:
        self.clock = clock
        self.records: dict[str, records.QuarantineRecord] = {}
        self.known_since: dict[str, float] = {}
        self.evicted: set[str] = set()
        self.counts: collections.Counter[tuple[bool, records.Verdict]] = (
            collections.Counter()
        )

    def get(self, fingerprint: str) -> records.QuarantineRecord | None:
        """Returns a record that has not expired."""
        if fingerprint in self.records and self.is_expired(fingerprint):
            return None
        return self.records.get(fingerprint)

    def find(self, fingerprint: str) -> records.QuarantineRecord | None:
        """Returns the record of a suspect or convicted request."""
        record = self.get(fingerprint)
        if record is None or record.verdict is records.Verdict.CLEARED:
            return None
        return record

    def put(self, record: records.QuarantineRecord) -> None:
        """Adds or replaces a record."""
        old = self.records.pop(record.fingerprint, None)
        self.records[record.fingerprint] = record
        if old != record:
            self.known_since[record.fingerprint] = self.clock.monotonic()
            if old is None or old.verdict is not record.verdict:
                self.counts[record.is_part, record.verdict] += 1
        if len(self.records) > MAX_RECORDS:
            self._evict()

    def forget(self, fingerprint: str) -> None:
        """Drops a record."""
        self.records.pop(fingerprint, None)
        self.known_since.pop(fingerprint, None)

    def age(self, fingerprint: str) -> float:
        """Returns the seconds since a record last changed here."""
        return self.clock.monotonic() - self.known_since[fingerprint]

    def is_expired(self, fingerprint: str) -> bool:
        """Returns whether the lifetime of a record is over."""
        lifetime = rules.lifetime(self.records[fingerprint].verdict)
        return self.age(fingerprint) >= lifetime.total_seconds()

    def expired(self) -> list[str]:
        """Returns the fingerprints of expired and of evicted records."""
        self.evicted -= self.records.keys()
        return [*filter(self.is_expired, self.records), *self.evicted]

    def _evict(self) -> None:
        """Drops the oldest records of the customer with the most records.

        Those of convicted requests go last. Other customers lose nothing to one
        that sends many requests that crash engines.
        """
        owners = collections.Counter(
            record.customer for record in self.records.values()
        )
        ((customer, _),) = owners.most_common(1)
        if len(self.evicted) > MAX_RECORDS:
            self.evicted.clear()  # their rows expire
        for record in heapq.nsmallest(
            EVICTED_AT_ONCE,
            (r for r in self.records.values() if r.customer == customer),
            key=lambda r: (
                r.verdict is records.Verdict.CONVICTED,
                self.known_since[r.fingerprint],
            ),
        ):
            self.forget(record.fingerprint)
            self.evicted.add(record.fingerprint)
