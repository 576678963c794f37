"""The event log: one JSON object per line on standard error."""

import sys
import time
from typing import Any, TextIO

import msgspec

MAX_LINES_PER_S = 50  # lines above this rate are dropped; the next line states how many
MAX_LINE_BYTES = 4000


class EventLog:
    """Writes events; write errors, for example after the reader has gone, are ignored."""

    def __init__(self, name: str, stream: TextIO = sys.stderr) -> None:
        """Create a log that writes to a stream.

        Args:
            name: Name of this instance, which is part of each line.
            stream: The stream to write to.
        """
        self._name = name
        self._stream = stream
        self._second = 0  # Unix time of the second that `_written` counts
        self._written = 0
        self._lost = 0  # lines not written since the last one that was

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
