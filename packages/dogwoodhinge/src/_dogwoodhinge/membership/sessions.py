"""Session rows: one for each run of a node."""

import dataclasses
import enum
import json
import secrets
from typing import final

from dogwoodhinge import models

SESSIONS_TABLE = "sessions"
ID_BYTES = 4


class SessionState(enum.StrEnum):
    """Lifecycle state of a session."""

    LIVE = "live"
    DRAINING = "draining"
    ENDED = "ended"
    LAPSED = "lapsed"


ACTIVE_STATES = frozenset({SessionState.LIVE, SessionState.DRAINING})


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Addresses:
    """Addresses that a node listens on, each as `IP:port`."""

    peer: str
    caller: str
    operator: str


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """One run of a node, as stored in its row.

    Attributes:
        session_id: new random id at each start and after each lapse.
        host_id: the host's name in the list of hosts.
        peer_address: IP address and port for peers.
        caller_address: IP address and port for callers.
        operator_address: IP address and port for operators.
        zone: availability zone.
        region: region.
        state: live, draining, ended by the node, or lapsed by a watcher.
        applied_revision: revision of the configuration in force at the node.
        joined_sequence: number of the membership event of the join.
        known_sequence: number of the newest membership event that the node had
            applied when it renewed.
        version: version of the row; increases with each renewal.
    """

    session_id: str
    host_id: str
    peer_address: str
    caller_address: str = ""
    operator_address: str = ""
    zone: str = ""
    region: str = ""
    state: SessionState = SessionState.LIVE
    applied_revision: int = 0
    joined_sequence: int = 0
    known_sequence: int = 0
    version: int = 0

    @property
    def active(self) -> bool:
        """True if live or draining: neither ended nor lapsed."""
        return self.state in ACTIVE_STATES

    @property
    def name(self) -> str:
        """Host and session, for log lines."""
        return f"{self.host_id}/{self.session_id}"


def make_session_id() -> str:
    """Returns a random session id, short as peers exchange lists of them."""
    return secrets.token_hex(ID_BYTES)


def encode(session: Session) -> bytes:
    """Encodes a session as the value of its row."""
    fields = dataclasses.asdict(session)
    del fields["version"], fields["session_id"]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(row: models.Row) -> Session:
    """Decodes a session from its row."""
    fields = json.loads(row.value)
    fields["state"] = SessionState(fields["state"])
    return Session(session_id=row.key, version=row.version, **fields)


def make_write(session: Session, *, expected: int) -> models.Write:
    """Returns the write of a session's row.

    Args:
        session: the session, with the new version of the row.
        expected: version that the row must have before the write.
    """
    return models.Write(
        table=SESSIONS_TABLE,
        key=session.session_id,
        value=encode(session),
        version=session.version,
        expected=expected,
    )
