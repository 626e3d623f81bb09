"""Tests of `_dogwoodhinge.logs`."""

import json
import logging
import sys

import pytest

from _dogwoodhinge import logs


@pytest.fixture
def formatter() -> logs.JsonFormatter:
    return logs.JsonFormatter(host_id="host-1")


def make_record(message: str, **extra: object) -> logging.LogRecord:
    record = logging.LogRecord(
        "absl", logging.WARNING, "view.py", 7, message, None, None
    )
    vars(record).update(extra)
    return record


def test_each_line_is_one_object(formatter: logs.JsonFormatter) -> None:
    line = formatter.format(make_record('the "table" is\ndown'))
    members = json.loads(line)
    assert "\n" not in line
    assert members["node"] == "host-1"
    assert members["level"] == "warning"
    assert members["message"] == 'the "table" is\ndown'


def test_decision_lines_are_not_reformatted(
    formatter: logs.JsonFormatter,
) -> None:
    extra = {logs.DECISION_ATTRIBUTE: True}
    line = formatter.format(make_record('{"decision":"route"}', **extra))
    assert line == '{"decision":"route"}'


def test_traceback_stays_in_its_line(formatter: logs.JsonFormatter) -> None:
    try:
        raise ValueError("broken")
    except ValueError:
        record = make_record("failed", exc_info=sys.exc_info())
    line = formatter.format(record)
    assert "\n" not in line
    assert "ValueError: broken" in json.loads(line)["error"]
