"""The text that the engine stand-in generates.

Each token follows from the request, the adapter with its version, the prompt
and the token's place, so that whoever has an answer can check that it is
whole and the right one.
"""

import hashlib
import json
from typing import Any

TOKEN_LENGTH = 5
DEFAULT_MAX_TOKENS = 16


def token(request_id: str, model: str, prompt: str, index: int) -> str:
    """Returns the token at `index`, counted from 0."""
    seed = "\0".join((request_id, model, prompt, str(index)))
    return hashlib.sha256(seed.encode()).hexdigest()[:TOKEN_LENGTH] + " "


def text(request_id: str, model: str, prompt: str, count: int) -> str:
    """Returns the whole answer of `count` tokens."""
    return "".join(
        token(request_id, model, prompt, index) for index in range(count)
    )


def prompt_of(body: dict[str, Any]) -> str:
    """Returns the prompt of a completion or a chat."""
    if "prompt" in body:
        return str(body["prompt"])
    return json.dumps(body.get("messages", []), sort_keys=True)


def max_tokens_of(body: dict[str, Any]) -> int:
    """Returns the number of tokens that a request asks for."""
    for name in ("max_completion_tokens", "max_tokens"):
        if body.get(name) is not None:
            return int(body[name])
    return DEFAULT_MAX_TOKENS
