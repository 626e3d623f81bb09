"""Request fingerprints, which identify resends of the same request."""

import hashlib
import json
from typing import Any

from dogwoodhinge import models

BYTES_PER_TOKEN = 4
EXCLUDED_MEMBERS = frozenset({"stream", "stream_options", "user"})


def request_digest(
    adapter: models.AdapterVersion, path: str, members: dict[str, Any]
) -> str:
    """Returns the hex digest that is the same for all resends of a request."""
    content = {
        name: value
        for name, value in members.items()
        if name not in EXCLUDED_MEMBERS
    }
    text = json.dumps([str(adapter), path, content], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


def estimate_tokens(prompt: bytes) -> int:
    """Estimates the number of tokens of a prompt from its size in bytes."""
    return len(prompt) // BYTES_PER_TOKEN + 1
