"""Log lines of the platform's planner: JSON, one a line, on standard error, so many a second at most."""

import sys
import time
from typing import Any, TextIO

import msgspec

A_SECOND = 50  # lines; what is past them is counted in the next line
TEXT_MOST = 4000  # bytes of a line


class EventLog:
    """Writes events; a stream that takes no more (its reader is gone) stops nothing."""

    def __init__(self, name: str, stream: TextIO = sys.stderr) -> None:
        """`name` stands in each line."""
        self.name, self.stream = name, stream
        self.second = self.written = self.lost = 0

    def __call__(self, event: str, **fields: Any) -> None:
        """Write an event with its fields."""
        now = time.time()
        if int(now) != self.second:
            self.second, self.written = int(now), 0
        if self.written >= A_SECOND:
            self.lost += 1
            return
        self.written += 1
        lost, self.lost = self.lost, 0
        row = {"at": round(now, 3), "planner": self.name, "event": event, **fields}
        if lost:
            row["lines_lost"] = lost
        text = msgspec.json.encode(row, enc_hook=str)[:TEXT_MOST].decode(errors="replace")
        try:
            self.stream.write(text + "\n")
            self.stream.flush()
        except (OSError, ValueError):
            self.lost += 1 + lost
