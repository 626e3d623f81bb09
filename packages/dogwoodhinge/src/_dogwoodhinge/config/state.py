"""The contracts in force, in a compact form.

Most customers are idle, so each contract is stored as its compressed change and
decoded on access. An LRU cache holds the decoded contracts.
"""

import collections
import dataclasses
from typing import final
import zlib

from _dogwoodhinge.config import contract as contract_lib
from _dogwoodhinge.config import records
from _dogwoodhinge.config import snapshots

# Size of the cache of decoded contracts, in rules; an adapter rule takes about
# 0.6 kB.
MAX_DECODED_RULES = 4_000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CompressedChange:
    """A change in its compressed form."""

    revision: int
    change_id: str
    compressed: bytes

    @classmethod
    def from_record(cls, record: records.ChangeRecord) -> "CompressedChange":
        """Returns a change in its compressed form."""
        return cls(
            record.revision, record.change_id, zlib.compress(record.encode())
        )

    def body(self) -> bytes:
        """Returns the value of the change's row, decompressed."""
        return zlib.decompress(self.compressed)

    def record(self) -> records.ChangeRecord:
        """Returns the decoded change."""
        return records.decode_change(self.body())


@final
class ConfigState:
    """The contracts in force at a revision.

    Attributes:
        revision: revision of the newest applied change.
        changes: by customer, the change that created the contract in force.
        customers_by_key: customers by the SHA-256 of their API keys.
        decoded: LRU cache of decoded contracts by customer.
        decoded_rules: size of the cache: the rules, plus one for each contract.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.changes: dict[str, CompressedChange] = {}
        self.customers_by_key: dict[bytes, str] = {}
        self.decoded: collections.OrderedDict[str, contract_lib.Contract] = (
            collections.OrderedDict()
        )
        self.decoded_rules = 0

    def apply(self, record: records.ChangeRecord) -> CompressedChange:
        """Applies the next change and returns it compressed.

        Raises:
            ValueError: the change is not the next one.
        """
        if record.revision != self.revision + 1:
            raise ValueError(
                f"change {record.revision} can't follow {self.revision}; apply "
                "the changes in order"
            )
        compressed = CompressedChange.from_record(record)
        self._remove(record.customer)
        if record.contract is not None:
            self._add(record, compressed)
        self.revision = record.revision
        return compressed

    def install(self, snapshot: snapshots.Snapshot) -> bool:
        """Installs a snapshot if it is newer; returns whether it was."""
        if snapshot.revision <= self.revision:
            return False
        for customer in list(self.changes):
            self._remove(customer)
        for record in snapshot.changes:
            self._add(record, CompressedChange.from_record(record))
        self.revision = snapshot.revision
        return True

    def make_snapshot(self) -> snapshots.Snapshot:
        """Returns a snapshot of all contracts in force."""
        changes = sorted(
            self.changes.values(), key=lambda change: change.revision
        )
        return snapshots.Snapshot(
            revision=self.revision,
            changes=tuple(change.record() for change in changes),
        )

    def customers(self) -> tuple[str, ...]:
        """Returns the customers with a contract, sorted by name."""
        return tuple(sorted(self.changes))

    def contract_revision(self, customer: str) -> int:
        """Returns the revision of a contract in force, 0 for none."""
        change = self.changes.get(customer)
        return 0 if change is None else change.revision

    def contract(self, customer: str) -> contract_lib.Contract | None:
        """Returns the contract in force, None for none."""
        cached = self.decoded.get(customer)
        if cached is not None:
            self.decoded.move_to_end(customer)
            return cached
        change = self.changes.get(customer)
        if change is None:
            return None
        document = change.record().contract
        if document is not None:
            self._cache_decoded(document)
        return document

    def contract_for_key(self, api_key: str) -> contract_lib.Contract | None:
        """Returns the contract that an API key belongs to, None for none."""
        digest = bytes.fromhex(contract_lib.hash_key(api_key))
        customer = self.customers_by_key.get(digest)
        return None if customer is None else self.contract(customer)

    def _add(
        self, record: records.ChangeRecord, compressed: CompressedChange
    ) -> None:
        document = record.contract
        if document is None:
            return
        self.changes[record.customer] = compressed
        for key in document.api_keys:
            digest = bytes.fromhex(key.sha256)
            self.customers_by_key[digest] = record.customer

    def _remove(self, customer: str) -> None:
        document = self.contract(customer)
        if document is None:
            return
        del self.changes[customer]
        for key in document.api_keys:
            del self.customers_by_key[bytes.fromhex(key.sha256)]
        self._evict_decoded(customer)

    def _cache_decoded(self, document: contract_lib.Contract) -> None:
        self.decoded[document.customer] = document
        self.decoded_rules += _size_in_rules(document)
        while self.decoded_rules > MAX_DECODED_RULES and len(self.decoded) > 1:
            self._evict_decoded(next(iter(self.decoded)))

    def _evict_decoded(self, customer: str) -> None:
        document = self.decoded.pop(customer, None)
        if document is not None:
            self.decoded_rules -= _size_in_rules(document)


def _size_in_rules(document: contract_lib.Contract) -> int:
    return 1 + len(document.adapters) + len(document.services)
