"""Exponential backoff of tables whose orders are rejected repeatedly. No I/O, no clock.

A policy whose order is rejected proposes much the same in the next round. After several rejected orders with
few accepted ones between them a table backs off, longer each time; orders for it are not validated until the
wait is over.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass
from random import Random

from swiftchute.safety.violation_log import LogEvent

NS_PER_S = 1_000_000_000
FIRST_WAIT_NS = NS_PER_S // 4  # upper bound of the first wait
MAX_WAIT_NS = 8 * NS_PER_S  # upper bound of any wait
MIN_JITTER_FACTOR = 0.5  # a wait is at least this fraction of its upper bound
# A rejected order adds two points and an accepted one removes one: as a policy may oscillate, an accepted
# order among rejected ones must not end the backoff.
REJECTED_POINTS = 2
ACCEPTED_POINTS = 1
POINTS_BEFORE_WAIT = 10  # five rejected orders without an accepted one; the next rejected one starts a wait
MAX_POINTS = POINTS_BEFORE_WAIT + 32  # bounds the number of accepted orders that end the backoff


@dataclass(slots=True)
class TableBackoff:
    """Backoff of one table: its points, until when it waits, and whether the wait was logged."""

    points: int = 0
    until_ns: int = 0
    is_logged: bool = False


class OrderBackoff:
    """Backoff of all tables with recently rejected orders."""

    def __init__(self, random: Random, events: list[LogEvent]) -> None:
        """Start without a table.

        Args:
            random: Source of the jitter; each wait draws from it once.
            events: Log records; appended to in place.
        """
        self._random = random
        self._events = events
        self._tables: dict[int, TableBackoff] = {}

    def waiting(self, now_ns: int) -> set[int]:
        """Return the tables whose wait is not over."""
        return {number for number, backoff in self._tables.items() if now_ns < backoff.until_ns}

    def remaining_ns(self, number: int, now_ns: int) -> int | None:
        """Return how much longer a table waits; None if it has no recently rejected orders."""
        backoff = self._tables.get(number)
        return max(backoff.until_ns - now_ns, 0) if backoff else None

    def reset(self, number: int) -> None:
        """Forget the rejected orders of a table."""
        self._tables.pop(number, None)

    def record(self, ordered: Iterable[int], rejected: Container[int], now_ns: int) -> None:
        """Record which of the ordered tables were rejected."""
        for number in ordered:
            if number in rejected:
                self._record_rejected(number, now_ns)
            else:
                self._record_accepted(number)

    def _record_accepted(self, number: int) -> None:
        backoff = self._tables.get(number)
        if backoff is None:
            return
        backoff.points -= ACCEPTED_POINTS
        if backoff.points <= 0:  # logged as the end of waiting; the wait itself may have ended earlier
            del self._tables[number]
            if backoff.is_logged:
                self._events.append(LogEvent("table waits", {"table": number, "on": False}))

    def _record_rejected(self, number: int, now_ns: int) -> None:
        backoff = self._tables.setdefault(number, TableBackoff())
        backoff.points = min(backoff.points + REJECTED_POINTS, MAX_POINTS)
        if backoff.points <= POINTS_BEFORE_WAIT:
            return
        doublings = (backoff.points - POINTS_BEFORE_WAIT - 1) // REJECTED_POINTS
        max_wait_ns = min(FIRST_WAIT_NS << doublings, MAX_WAIT_NS)
        backoff.until_ns = now_ns + int(max_wait_ns * self._random.uniform(MIN_JITTER_FACTOR, 1.0))
        if not backoff.is_logged:
            backoff.is_logged = True
            fields = {"table": number, "on": True, "seconds": round(max_wait_ns / NS_PER_S, 2)}
            self._events.append(LogEvent("table waits", fields))
