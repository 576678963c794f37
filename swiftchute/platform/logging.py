"""The log: events as JSON, one a line, on standard error."""

import sys
import time
from typing import Any, TextIO

import msgspec

MAX_LINES_PER_S = 50  # lines beyond are counted, and the count stands in the next line
MAX_LINE_BYTES = 4000


class EventLog:
    """Writes events; a stream that cannot be written to (its reader is gone) stops nothing."""

    def __init__(self, name: str, stream: TextIO = sys.stderr) -> None:
        """Write to a stream.

        Args:
            name: Name of this process; stands in each line.
            stream: Where lines are written.
        """
        self._name = name
        self._stream = stream
        self._second = 0  # Unix time in which `_written` lines were written
        self._written = 0
        self._lost = 0  # lines that were not written since the last one

    def __call__(self, event: str, **fields: Any) -> None:
        """Write an event with its fields."""
        now_s = time.time()
        if int(now_s) != self._second:
            self._second, self._written = int(now_s), 0
        if self._written >= MAX_LINES_PER_S:
            self._lost += 1
            return
        self._written += 1
        lost, self._lost = self._lost, 0
        row = {"at": round(now_s, 3), "planner": self._name, "event": event, **fields}
        if lost:
            row["lines_lost"] = lost
        text = msgspec.json.encode(row, enc_hook=str)[:MAX_LINE_BYTES].decode(errors="replace")
        try:
            self._stream.write(text + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            self._lost += 1 + lost
