"""Tests of explanations from log lines."""

import io
import json

import pytest

from _dogwoodctl import exit_codes
from _dogwoodctl import log_explanation
from _dogwoodctl import main


def line(second: int, event: str, **fields: object) -> str:
    """Returns a log line, with a collector's words before it."""
    members = {
        "time": f"2026-12-04T05:00:{second:02}+00:00",
        "node": "n1",
        "event": event,
        **fields,
    }
    return f"  {second}.0 n1 {json.dumps(members)}\n"


REQUEST = {
    "request": "r1",
    "engines": ["e1"],
    "adapter": "base/a1",
    "steps": ["120:broken e1: the peer reset the connection"],
}


@pytest.mark.parametrize(
    ("outcome", "event", "sentence"),
    [
        ("refused_no_place", "place_refused", "No engine could take"),
        ("refused_no_owner", "owner_lost", "no node gave orders"),
        ("broken_off_unknown", "endpoint_gone", "engine broke off"),
        ("failed_unknown", "endpoint_gone", "may have run"),
    ],
    ids=["no_place", "no_owner", "broken_off", "failed"],
)
def test_cause_is_found_on_other_nodes_lines(
    outcome: str, event: str, sentence: str
) -> None:
    text = [
        line(9, "request", outcome=outcome, **REQUEST),
        line(8, event, engine="e1"),
        "no JSON at all\n",
    ]
    found = log_explanation.explain(log_explanation.parse(text), "r1")
    assert found is not None
    assert sentence in found.sentence
    assert "the peer reset the connection" in found.sentence
    assert [belief["event"] for belief in found.beliefs] == [event]


def test_lines_of_other_engines_adapters_and_times_are_left_out() -> None:
    text = [
        line(30, "request", outcome="broken_off_unknown", **REQUEST),
        line(29, "endpoint_gone", engine="e2"),
        line(2, "endpoint_gone", engine="e1"),
    ]
    found = log_explanation.explain(log_explanation.parse(text), "r1")
    assert found is not None
    assert found.beliefs == ()


async def run(text: str, *words: str) -> tuple[int, str, str]:
    """Runs the command."""
    out, err = io.StringIO(), io.StringIO()
    code = await main.run_command(
        ["dogwoodctl", "explain-log", *words],
        {},
        stdin=io.StringIO(text),
        stdout=out,
        stderr=err,
    )
    return code, out.getvalue(), err.getvalue()


async def test_command_prints_the_cause_first() -> None:
    text = line(9, "request", outcome="answered", **REQUEST)
    code, out, _ = await run(text, "r1")
    assert code == exit_codes.ExitCode.OK
    assert out.startswith("An engine's answer was passed on.")


async def test_unknown_request_says_what_to_do() -> None:
    code, _, err = await run("", "r9")
    assert code == exit_codes.ExitCode.NOT_FOUND
    assert "logs of all nodes" in err
