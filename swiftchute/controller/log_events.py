"""Log events, collected without I/O; the process that runs the controller writes them."""

from typing import Any, NamedTuple

MAX_WAITING_EVENTS = 2000  # further events are dropped and counted


class LogEvent(NamedTuple):
    """A structured log record."""

    name: str
    fields: dict[str, Any]


class EventLog:
    """Log events waiting to be written, in order."""

    def __init__(self) -> None:
        """Start without events."""
        self.waiting: list[LogEvent] = []
        self.dropped = 0

    def add(self, name: str, /, **fields: Any) -> None:
        """Add an event; beyond `MAX_WAITING_EVENTS` it is dropped and counted."""
        if len(self.waiting) >= MAX_WAITING_EVENTS:
            self.dropped += 1
        else:
            self.waiting.append(LogEvent(name, fields))

    def drain(self) -> list[LogEvent]:
        """Remove and return the waiting events."""
        drained, self.waiting = self.waiting, []
        return drained
