"""Configures the format of the node's log lines."""

import datetime
import json
import logging as standard_logging
from typing import final

from absl import logging

# Marks records of decision lines, which are JSON already and not reformatted.
DECISION_ATTRIBUTE = "decision_line"


def configure(*, host_id: str, json_lines: bool) -> None:
    """Sends all log lines through absl's handler, optionally as JSON."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    if json_lines:
        handler = logging.get_absl_handler()
        handler.setFormatter(JsonFormatter(host_id=host_id))


@final
class JsonFormatter(standard_logging.Formatter):
    """Writes each line as one JSON object."""

    def __init__(self, *, host_id: str) -> None:
        super().__init__()
        self.host_id = host_id

    def format(self, record: standard_logging.LogRecord) -> str:
        """Formats a record."""
        message = record.getMessage()
        if getattr(record, DECISION_ATTRIBUTE, False):
            return message
        written = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        members = {
            "time": written.isoformat(),
            "node": self.host_id,
            "level": record.levelname.lower(),
            "source": f"{record.filename}:{record.lineno}",
            "message": message,
        }
        if record.exc_info:
            members["error"] = self.formatException(record.exc_info)
        return json.dumps(members, separators=(",", ":"))
