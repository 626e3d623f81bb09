"""Tests of `_dogwoodhinge.callers.response_assembler`."""

import json
from typing import Any

from _dogwoodhinge.callers import bodies
from _dogwoodhinge.callers import response_assembler


def assemble(path: str, *events: dict[str, Any]) -> dict[str, Any]:
    assembler = response_assembler.ResponseAssembler(path)
    for event in events:
        assembler.add(json.dumps(event).encode())
    return assembler.build("staves@v1")


def delta(**members: Any) -> dict[str, Any]:
    return {"id": "c1", "choices": [{"index": 0, "delta": members}]}


def test_role_content_and_finish_reason_are_merged() -> None:
    end = {"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]}
    answer = assemble(
        bodies.CHAT_PATH,
        delta(role="assistant", content=""),
        delta(content="white "),
        delta(content="oak"),
        end,
    )
    choice = answer["choices"][0]
    assert choice["message"] == {"role": "assistant", "content": "white oak"}
    assert choice["finish_reason"] == "stop"
    assert answer["object"] == "chat.completion"


def test_tool_calls_are_merged_by_index() -> None:
    def call(index: int, **function: str) -> dict[str, Any]:
        return {"index": index, "function": function}

    answer = assemble(
        bodies.CHAT_PATH,
        delta(tool_calls=[call(0, name="find", arguments='{"lot"')]),
        delta(tool_calls=[call(0, arguments=": 7}")]),
        delta(tool_calls=[call(1, name="book", arguments="{}")]),
    )
    calls = answer["choices"][0]["message"]["tool_calls"]
    assert [c["function"]["arguments"] for c in calls] == ['{"lot": 7}', "{}"]
    assert [c["function"]["name"] for c in calls] == ["find", "book"]


def test_usage_and_log_probabilities_are_kept() -> None:
    def token(text: str) -> dict[str, Any]:
        logprobs = {"tokens": [text], "token_logprobs": [-0.1]}
        return {"choices": [{"text": text, "logprobs": logprobs}]}

    usage = {"choices": [], "usage": {"completion_tokens": 2}, "tokens": 0}
    answer = assemble(
        bodies.COMPLETIONS_PATH, token("white "), token("oak"), usage
    )
    assert answer["choices"][0]["text"] == "white oak"
    assert answer["choices"][0]["logprobs"]["tokens"] == ["white ", "oak"]
    assert answer["usage"] == {"completion_tokens": 2}
    assert "tokens" not in answer
