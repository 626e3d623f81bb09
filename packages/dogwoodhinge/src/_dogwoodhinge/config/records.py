"""The rows of the configuration log.

All rows are in the table `config`:

- `head`: the row version is the newest revision;
- `change/<revision>`: the change of a revision;
- `id/<change id>`: the revision of the change with that id;
- `customer/<customer>`: the row version is the revision of the contract in
  force;
- `history/<customer>/<revision>`: a summary of a change;
- `key/<sha256>`: the customer that an API key belongs to.
"""

import datetime
import enum
import hashlib
from typing import Annotated, final

import pydantic

from _dogwoodhinge.config import contract as contract_lib
from dogwoodhinge import models

TABLE = "config"
HEAD_KEY = "head"
CHANGE_PREFIX = "change/"

ChangeId = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9_-]{8,64}$")
]
OperatorName = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9._@-]{1,64}$")
]


class ChangeKind(enum.StrEnum):
    """Whether a change puts or deletes a contract."""

    PUT = "put"
    DELETE = "delete"


class _Record(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class ChangeDraft(_Record):
    """A change that an operator requests.

    Attributes:
        change_id: idempotency key chosen by the operator; a change that is
            sent again with the same id takes effect once.
        operator: name of the operator.
        kind: put or delete.
        customer: customer whose contract is changed.
        contract: the new contract, None for a delete.
    """

    change_id: ChangeId
    operator: OperatorName
    kind: ChangeKind
    customer: contract_lib.Name
    contract: contract_lib.Contract | None = None

    @pydantic.model_validator(mode="after")
    def _check_contract(self) -> "ChangeDraft":
        if (self.kind is ChangeKind.PUT) != (self.contract is not None):
            raise ValueError(
                "a put requires a contract, a delete must not have one"
            )
        if self.contract and self.contract.customer != self.customer:
            raise ValueError(
                f"the contract belongs to {self.contract.customer!r}, but the "
                f"change is for {self.customer!r}; use the same customer"
            )
        return self

    def digest(self) -> str:
        """Returns the hex SHA-256 digest of the draft."""
        return hashlib.sha256(self.model_dump_json().encode()).hexdigest()


class ChangeRecord(_Record):
    """A change in force.

    Attributes:
        revision: number of the change; each change adds one.
        at: when the change was accepted, UTC.
        previous: revision of the contract that the change replaced, 0 for
            none.
    """

    revision: int = pydantic.Field(ge=1)
    change_id: ChangeId
    operator: OperatorName
    at: datetime.datetime
    kind: ChangeKind
    customer: contract_lib.Name
    previous: int = pydantic.Field(default=0, ge=0)
    contract: contract_lib.Contract | None = None

    def encode(self) -> bytes:
        """Returns the value of the change's row."""
        return self.model_dump_json().encode()


class ChangeSummary(_Record):
    """A change without its contract, for the customer's history."""

    revision: int
    change_id: ChangeId
    operator: OperatorName
    at: datetime.datetime
    kind: ChangeKind
    previous: int


class ChangeIdRow(_Record):
    """The revision and digest recorded for a change id."""

    revision: int
    digest: str


@final
class Keys:
    """Keys of the rows in the table `config`."""

    @staticmethod
    def change(revision: int) -> str:
        """Returns the key of a change; keys sort by revision."""
        return f"{CHANGE_PREFIX}{revision:020d}"

    @staticmethod
    def change_id(change_id: str) -> str:
        """Returns the key of the row that records a change id."""
        return f"id/{change_id}"

    @staticmethod
    def customer(customer: str) -> str:
        """Returns the key of the row that detects conflicting changes."""
        return f"customer/{customer}"

    @staticmethod
    def history(customer: str, revision: int = 0) -> str:
        """Returns the key of a summary, or their prefix without a revision."""
        prefix = f"history/{customer}/"
        return f"{prefix}{revision:020d}" if revision else prefix

    @staticmethod
    def api_key(sha256: str) -> str:
        """Returns the key of the row that makes an API key unique."""
        return f"key/{sha256}"


def decode_change(value: bytes) -> ChangeRecord:
    """Decodes the value of a change's row.

    Raises:
        pydantic.ValidationError: the value is not a valid change.
    """
    return ChangeRecord.model_validate_json(value)


def plan_transaction(
    record: ChangeRecord,
    *,
    digest: str,
    replaced: contract_lib.Contract | None,
    transaction_id: str,
) -> models.Transaction:
    """Returns the transaction that puts a change in force.

    Args:
        record: the change; its revision is the head plus one.
        digest: digest of the operator's draft.
        replaced: the contract of revision `record.previous`.
        transaction_id: idempotency token of the transaction.
    """
    revision = record.revision
    id_row = ChangeIdRow(revision=revision, digest=digest)
    summary = ChangeSummary(
        revision=revision,
        change_id=record.change_id,
        operator=record.operator,
        at=record.at,
        kind=record.kind,
        previous=record.previous,
    )
    in_force = b"" if record.kind is ChangeKind.PUT else None
    writes = [
        _write(HEAD_KEY, b"", revision, expected=revision - 1),
        _insert(Keys.change(revision), record.encode(), revision),
        _insert(Keys.change_id(record.change_id), _encode(id_row), revision),
        _insert(
            Keys.history(record.customer, revision), _encode(summary), revision
        ),
        _write(
            Keys.customer(record.customer),
            in_force,
            revision,
            expected=record.previous,
        ),
    ]
    writes.extend(_plan_keys(record, replaced))
    return models.Transaction(transaction_id, tuple(writes))


def _plan_keys(
    record: ChangeRecord, replaced: contract_lib.Contract | None
) -> list[models.Write]:
    """Returns writes that add new API keys and delete removed ones."""
    before = _key_digests(replaced)
    after = _key_digests(record.contract)
    customer = record.customer.encode()
    inserts = [
        _insert(Keys.api_key(key), customer, record.revision)
        for key in sorted(after - before)
    ]
    deletes = [
        _write(Keys.api_key(key), None, record.revision, expected=None)
        for key in sorted(before - after)
    ]
    return inserts + deletes


def _key_digests(document: contract_lib.Contract | None) -> set[str]:
    if document is None:
        return set()
    return {key.sha256 for key in document.api_keys}


def _encode(row: _Record) -> bytes:
    return row.model_dump_json().encode()


def _insert(key: str, value: bytes, version: int) -> models.Write:
    return _write(key, value, version, expected=models.ABSENT)


def _write(
    key: str, value: bytes | None, version: int, *, expected: int | None
) -> models.Write:
    return models.Write(TABLE, key, value, version, expected)
