"""Tests of `dogwoodctl explain-log`."""

import io
import json

import pytest

from _dogwoodctl import exit_codes
from _dogwoodctl import log_explanation
from _dogwoodctl import main


def make_log_line(second: int, event: str, **fields: object) -> str:
    """Returns a log line with a prefix as a log collector adds it."""
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
def test_related_events_are_found_for_an_outcome(
    outcome: str, event: str, sentence: str
) -> None:
    logs = [
        make_log_line(9, "request", outcome=outcome, **REQUEST),
        make_log_line(8, event, engine="e1"),
        "no JSON at all\n",
    ]
    explanation = log_explanation.explain(log_explanation.parse(logs), "r1")
    assert explanation is not None
    assert sentence in explanation.sentence
    assert "the peer reset the connection" in explanation.sentence
    assert [line["event"] for line in explanation.related_events] == [event]


def test_stream_that_left_its_engine_is_not_blamed_on_the_engine() -> None:
    line = make_log_line(
        9,
        "request",
        outcome="broken_off_unknown",
        engine_end="left_silent",
        **REQUEST,
    )
    explanation = log_explanation.explain(log_explanation.parse([line]), "r1")
    assert explanation is not None
    assert "The node left its engine" in explanation.sentence


@pytest.mark.parametrize(
    ("outcome", "event", "sentence"),
    [
        ("cut_off", "grace_period_over", "The node ended it"),
        ("handler_error", "connection_failed", "a defect"),
        ("caller_left", "leaving", "The caller left"),
        ("broken_off_shutdown", "grace_period_over", "The node ended it"),
        ("failed_shutdown", "grace_period_over", "The node ended it"),
        ("refused_shutdown_unsent", "leaving", "not run"),
    ],
    ids=[
        "cut_off",
        "handler_error",
        "caller_left",
        "broken_off_shutdown",
        "failed_shutdown",
        "refused_shutdown",
    ],
)
def test_end_by_a_node_is_explained_by_its_own_lines(
    outcome: str, event: str, sentence: str
) -> None:
    logs = [
        make_log_line(9, "request", outcome=outcome, request="r1"),
        make_log_line(8, event),
        make_log_line(8, event).replace('"n1"', '"n2"'),
    ]
    explanation = log_explanation.explain(log_explanation.parse(logs), "r1")
    assert explanation is not None
    assert sentence in explanation.sentence
    (related,) = explanation.related_events
    assert (related["event"], related["node"]) == (event, "n1")


def test_events_of_other_engines_and_times_are_excluded() -> None:
    logs = [
        make_log_line(30, "request", outcome="broken_off_unknown", **REQUEST),
        make_log_line(29, "endpoint_gone", engine="e2"),
        make_log_line(2, "endpoint_gone", engine="e1"),
    ]
    explanation = log_explanation.explain(log_explanation.parse(logs), "r1")
    assert explanation is not None
    assert explanation.related_events == ()


@pytest.mark.parametrize("outcome", ["broken_off_internal", "failed_internal"])
def test_failure_of_the_node_is_not_blamed_on_the_engine(outcome: str) -> None:
    logs = [
        make_log_line(9, "request_failed", request="r1", error="KeyError"),
        make_log_line(9, "request", outcome=outcome, **REQUEST),
        make_log_line(9, "request_failed", request="r2", error="KeyError"),
    ]
    explanation = log_explanation.explain(log_explanation.parse(logs), "r1")
    assert explanation is not None
    assert "a defect" in explanation.sentence
    assert len(explanation.request_lines) == 2
    assert not explanation.related_events


def test_timeout_of_a_begun_response_is_not_blamed_on_the_engine() -> None:
    line = make_log_line(
        9, "request", outcome="broken_off_timed_out", **REQUEST
    )
    explanation = log_explanation.explain(log_explanation.parse([line]), "r1")
    assert explanation is not None
    assert "route's timeout" in explanation.sentence


async def run_explain_log(logs: str, *arguments: str) -> tuple[int, str, str]:
    """Runs `explain-log`; returns its exit code, stdout and stderr."""
    out, err = io.StringIO(), io.StringIO()
    code = await main.run_command(
        ["dogwoodctl", "explain-log", *arguments],
        {},
        stdin=io.StringIO(logs),
        stdout=out,
        stderr=err,
    )
    return code, out.getvalue(), err.getvalue()


async def test_command_prints_the_cause_first() -> None:
    logs = make_log_line(9, "request", outcome="answered", **REQUEST)
    code, out, _ = await run_explain_log(logs, "r1")
    assert code == exit_codes.ExitCode.OK
    assert out.startswith("An engine's answer was passed on.")


async def test_unknown_request_is_not_found() -> None:
    code, _, err = await run_explain_log("", "r9")
    assert code == exit_codes.ExitCode.NOT_FOUND
    assert "logs of all nodes" in err
