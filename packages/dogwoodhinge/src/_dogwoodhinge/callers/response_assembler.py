"""Merges the events of a stream into one complete response."""

import json
from typing import Any, final

from _dogwoodhinge.callers import bodies

DELTA = "delta"
MESSAGE = "message"
CONCATENATED = frozenset(
    {"text", "content", "reasoning_content", "refusal", "arguments"}
)


@final
class ResponseAssembler:
    """Merges the events of one generation."""

    def __init__(self, path: str) -> None:
        self.chat = path == bodies.CHAT_PATH
        self.response: dict[str, Any] = {}
        self.choice: dict[str, Any] = {}

    def add(self, data: bytes) -> None:
        """Merges the JSON of one event."""
        event: dict[str, Any] = json.loads(data)
        for choice in event.pop("choices", None) or ():
            _merge(self.choice, choice)
        for name, value in event.items():
            if name not in ("offset", "tokens") and value is not None:
                self.response[name] = value

    def build(self, model: str) -> dict[str, Any]:
        """Returns the members of the complete response."""
        choice = dict(self.choice)
        if self.chat:
            message = choice.pop(DELTA, {})
            message.setdefault("role", "assistant")
            message.setdefault("content", None)
            choice[MESSAGE] = message
        choice.setdefault("index", 0)
        choice.setdefault("finish_reason", None)
        choice.setdefault("logprobs", None)
        object_type = "chat.completion" if self.chat else "text_completion"
        return {
            **self.response,
            "object": object_type,
            "model": model,
            "choices": [choice],
        }


def _merge(target: dict[str, Any], delta: dict[str, Any]) -> None:
    for name, value in delta.items():
        old = target.get(name)
        if value is None:
            target.setdefault(name, None)
        elif name == "tool_calls":
            target[name] = _merge_tool_calls(old or [], value)
        elif isinstance(old, dict) and isinstance(value, dict):
            _merge(old, value)
        elif isinstance(old, list) and isinstance(value, list):
            old.extend(value)
        elif isinstance(old, str) and name in CONCATENATED:
            target[name] = old + value
        else:
            target[name] = value


def _merge_tool_calls(
    calls: list[dict[str, Any]], deltas: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    for delta in deltas:
        index = delta.get("index", 0)
        found = next((c for c in calls if c.get("index", 0) == index), None)
        if found is None:
            calls.append(dict(delta))
        else:
            _merge(found, delta)
    return calls
