"""Events for the log: collected without I/O, written by the process that runs the controller."""

from typing import Any, NamedTuple

MAX_WAITING_EVENTS = 2000  # past it events are dropped and counted


class LogEvent(NamedTuple):
    """One log record: its name and its fields."""

    name: str
    fields: dict[str, Any]


class EventLog:
    """Log events that wait to be written, in order."""

    def __init__(self) -> None:
        """Start without events."""
        self.waiting: list[LogEvent] = []
        self.dropped = 0

    def add(self, name: str, /, **fields: Any) -> None:
        """Add an event; past `MAX_WAITING_EVENTS` it is dropped and counted."""
        if len(self.waiting) >= MAX_WAITING_EVENTS:
            self.dropped += 1
        else:
            self.waiting.append(LogEvent(name, fields))

    def drain(self) -> list[LogEvent]:
        """Return the events since the last call."""
        drained, self.waiting = self.waiting, []
        return drained
