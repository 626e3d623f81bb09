"""Fingerprints of the content of callers' requests."""

import hashlib

from _dogwoodhinge.gateway import requests

DIGEST_BYTES = 16


def fingerprints(request: requests.Request) -> tuple[str, ...]:
    """Returns what identifies a request that is sent again.

    The request id is new with each attempt, and the part of a stream that is
    asked for may differ. Headers say how to run a request, not what it is.

    Returns:
        A digest of method, host, path and body, and with a query one more that
        includes the query.
    """
    path, _, query = request.raw.target.partition(b"?")
    head = request.raw.method, request.host.lower().encode("latin-1"), path
    found = [_digest(*head, request.raw.body)]
    if query:
        found.append(_digest(*head, request.raw.body, query))
    return tuple(found)


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
