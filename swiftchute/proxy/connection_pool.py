"""Connections to one server: which one is used, when another is made, and who waits. No I/O, no clock.

    pool = Pool(limits)
    pool.ask()                 # a Line to use, DIAL, WAIT, or FULL: so many wait already
    pool.opened(line, now); pool.answered(line); pool.closed(line)
    pool.idle(now)             # lines that nobody has used for so long

A new connection takes a few invocations at once and twice as many after each round of answers, so that a
server that has just come is not met by all that waited. One connection is being made at a time.
"""

from dataclasses import dataclass, field
from typing import Any

S = 1_000_000_000
DIAL, WAIT, FULL = "dial", "wait", "full"


@dataclass(frozen=True)
class Limits:
    """Connections to a server, invocations at once on one, on a new one, invocations that may wait for one,
    and how long one is kept without use."""

    connections: int = 2
    streams: int = 100
    first: int = 4
    waiting: int = 200
    idle: int = 60 * S


@dataclass(eq=False)
class Line:
    """One connection. `wire` tells how many more streams its peer takes (`room`)."""

    wire: Any
    warm: int
    under_way: int = 0
    answered: int = 0
    used: int = 0
    closing: bool = False

    @property
    def free(self) -> int:
        """How many more invocations it may be given."""
        return 0 if self.closing else min(self.warm - self.under_way, self.wire.room)


@dataclass
class Pool:
    """The connections to one server."""

    limits: Limits
    lines: list[Line] = field(default_factory=list)
    dialling: int = 0
    waiting: int = 0

    def ask(self) -> Line | str:
        """Where the next invocation goes: the line with most room, as long as one has any."""
        best = max(self.lines, key=lambda line: line.free, default=None)
        if best is not None and best.free > 0:
            return best
        if self.waiting >= self.limits.waiting:
            return FULL
        if not self.dialling and len(self.lines) < self.limits.connections:
            return DIAL
        return WAIT

    def opened(self, wire: Any, now: int) -> Line:
        """A connection was made."""
        line = Line(wire, self.limits.first, used=now)
        self.lines.append(line)
        return line

    def given(self, line: Line, now: int) -> None:
        """It carries one more."""
        line.under_way += 1
        line.used = now

    def answered(self, line: Line, good: bool, now: int) -> None:
        """One on it ended; once as many as it takes were answered it takes twice as many."""
        line.under_way -= 1
        line.used = now
        line.answered += good
        if line.answered >= line.warm and line.warm < self.limits.streams:
            line.warm, line.answered = min(2 * line.warm, self.limits.streams), 0

    def closed(self, line: Line) -> None:
        """It is gone."""
        if line in self.lines:
            self.lines.remove(line)

    def idle(self, now: int) -> list[Line]:
        """Lines to close: nobody has used them for so long, or they take nothing more and carry nothing."""
        return [
            line
            for line in self.lines
            if not line.under_way and (line.closing or now - line.used >= self.limits.idle)
        ]
