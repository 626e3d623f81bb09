"""The server-sent events of the engine stand-in."""

from collections.abc import Iterator
import json
from typing import Any

from aiohttp import web

from dogwoodhinge_lab.standins import batch

DATA_FIELD = b"data: "
END_STREAM = b"end"  # in place of an event: close without the end marker


def tokens_after(
    item: batch.Generation, sent: int, chat: bool
) -> Iterator[bytes]:
    """Yields the events of the tokens that are there but not yet sent."""
    for index in range(sent, len(item.tokens)):
        yield event_of(item, chat, item.tokens[index], offset=index + 1)


def event_of(
    item: batch.Generation,
    chat: bool,
    text: str,
    *,
    offset: int,
    tokens: int = 1,
    finish_reason: str | None = None,
) -> bytes:
    """Returns the event of one token, or of none at the end."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if chat:
        choice["delta"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    members = {
        "id": item.request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 0,
        "model": item.model,
        "choices": [choice],
        "offset": offset,
        "tokens": tokens,
    }
    return b"data: " + json.dumps(members).encode() + b"\n\n"


async def write_end(
    response: web.StreamResponse, item: batch.Generation, chat: bool
) -> None:
    """Writes the last event and the end marker, or the error."""
    if item.failure:
        error = {"error": {"code": "stopped", "message": item.failure}}
        await response.write(b"data: " + json.dumps(error).encode() + b"\n\n")
        return
    last = event_of(
        item,
        chat,
        "",
        offset=len(item.tokens),
        tokens=0,
        finish_reason="length",
    )
    await response.write(last + b"data: [DONE]\n\n")


def spoil(fault: str, event: bytes) -> bytes:
    """Returns what a fault sends in place of an event.

    Args:
        fault: `truncate`, `foreign` or `skip`.
        event: the event that it befalls.
    """
    if fault == "foreign":
        return _foreign(event)
    return END_STREAM if fault == "truncate" else b""


def _foreign(event: bytes) -> bytes:
    """Returns the event with another request's id and text."""
    members = json.loads(event.removeprefix(DATA_FIELD))
    members["id"] = f"other-{members['id']}"
    for choice in members["choices"]:
        choice.update({"text": "other "} if "text" in choice else {})
    return DATA_FIELD + json.dumps(members).encode() + b"\n\n"
