"""Counts the renewed sessions for changes that need a strict majority."""

from collections.abc import Collection, Mapping
import uuid

from _dogwoodhinge.membership import sessions
from dogwoodhinge import models


def is_strict_majority(part: int, whole: int) -> bool:
    """Returns whether `part` is more than half of `whole`."""
    return 2 * part > whole


def has_renewal_majority(
    voters: Collection[sessions.Session],
    before: Mapping[str, sessions.Session],
    *,
    counting_id: str,
    replaced: Collection[sessions.Session] = (),
) -> bool:
    """Returns whether the renewed sessions outvote each one that did not renew.

    A session that is cut off continues only while a strict majority of the
    sessions that it knew at its last renewal report that they are cut off too.
    So for each session that was not seen to renew, a strict majority of the
    sessions that it knew must have renewed; a session that joined later has no
    vote against it.

    Args:
        voters: the sessions that may act, in their current state.
        before: the sessions by id, in their state at the start of the count.
        counting_id: id of the session that counts; as it can count, it has
            reached the table.
        replaced: lapsed sessions whose hosts run newer sessions. No process
            reports for them any more, so they can't support a session that is
            cut off.
    """
    renewed = {
        voter.session_id
        for voter in voters
        if _has_renewed(voter, before) or voter.session_id == counting_id
    }
    if not is_strict_majority(len(renewed), len(voters)):
        return False
    not_renewed = [voter for voter in voters if voter.session_id not in renewed]
    for sequence in {session.known_sequence for session in not_renewed}:
        voter_ids = {
            voter.session_id
            for voter in voters
            if voter.joined_sequence <= sequence
        }
        voter_ids |= {
            session.session_id
            for session in not_renewed
            if session.known_sequence == sequence
        }
        replaced_ids = {
            session.session_id
            for session in replaced
            if session.joined_sequence <= sequence
        }
        votes_against = (voter_ids & renewed) | replaced_ids
        if not is_strict_majority(
            len(votes_against), len(voter_ids | replaced_ids)
        ):
            return False
    return True


def single_write_transaction(write: models.Write) -> models.Transaction:
    """Returns a transaction of one write."""
    return models.Transaction(transaction_id=uuid.uuid4().hex, writes=(write,))


def _has_renewed(
    voter: sessions.Session, before: Mapping[str, sessions.Session]
) -> bool:
    earlier = before.get(voter.session_id)
    if earlier is None:
        return voter.active
    return voter.active and voter.version > earlier.version
