"""Sums for the module from what proxies report: what they met at each server, what arrived at each of them.

    sums.add(proxy, zone, report, now)
    calls = sums.take(now)      # `met` and `arrived`, at most `lines` a second, the oldest first

Any front may report. What may not be told yet adds up and follows, as on the bench's wire.
"""

from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass
from typing import Any

from swiftchute.api.events import DemandReport, EndpointLoadReport, Event

S = 1_000_000_000
KEYS_MOST = 100_000  # sums that may wait; past it those of new keys are dropped and counted


@dataclass(frozen=True)
class Report:
    """What one report says, counted over `span`: rows (operation, invs, errored), and rows (server, tries,
    errored, sum of good times, number of those times)."""

    span: int
    arrived: tuple[tuple[str, int, int], ...]
    met: tuple[tuple[str, int, int, int, int], ...]


class Sums:
    """Sums that wait to be told, in the order in which they began; `lines` a second may be told."""

    def __init__(self, lines: float, period: int) -> None:
        """Nothing waits."""
        self.lines, self.period = lines, period
        self.waiting: OrderedDict[tuple[Any, ...], list[int]] = OrderedDict()  # key -> began, a, b, c, d
        self.room, self.refilled = lines, 0
        self.lost = 0
        self.next = 0

    def add(self, proxy: Any, zone: str, report: Report, known: Container[str], now: int) -> None:
        """Add a proxy's report: of its own arrivals, and of its zone's tries at servers that are known."""
        for operation, invs, errored in report.arrived:
            self._add(("arrived", proxy, operation), (invs, errored, 0, 0), now - report.span)
        for server, *row in report.met:
            if server in known:  # others would take the place of lines that tell something
                self._add(("met", zone, server), tuple(row), now - report.span)

    def _add(self, key: tuple[Any, ...], row: tuple[int, ...], began: int) -> None:
        held = self.waiting.get(key)
        if held is None:
            if len(self.waiting) >= KEYS_MOST:
                self.lost += 1
                return
            held = self.waiting[key] = [began, 0, 0, 0, 0]
        held[0] = min(held[0], began)
        for place, value in enumerate(row, 1):
            held[place] += value

    def left(self, proxy: Any) -> None:
        """What arrived at a proxy that left is told to nobody."""
        for key in [k for k in self.waiting if k[0] == "arrived" and k[1] == proxy]:
            del self.waiting[key]

    def take(self, now: int) -> list[Event]:
        """What may be told now, once a period; the rest adds up and follows."""
        if now < self.next:
            return []
        self.next = now + self.period
        self.room = min(
            self.lines * max(self.period, S) / S, self.room + self.lines * (now - self.refilled) / S
        )
        self.refilled = now
        calls: list[Event] = []
        usual = self._usual()
        while self.waiting and self.room >= 1:
            self.room -= 1
            (name, *who), (began, a, b, c, d) = self.waiting.popitem(last=False)
            span = max(now - began, 1)
            if name == "arrived":
                calls.append(DemandReport(*who, a, b, span))
            else:
                # a client that gives no times counts as the others' mean: 0 would look infinitely fast
                took = c // d if d else usual
                calls.append(EndpointLoadReport(*who, a, b, max(took, 1) if a > b else 0, span, None))
        return calls

    def _usual(self) -> int:
        rows = [row for key, row in self.waiting.items() if key[0] == "met"]
        timed = sum(row[4] for row in rows)
        return sum(row[3] for row in rows) // timed if timed else 1

    @property
    def due(self) -> int | None:
        """When the next sums may be told, if any wait."""
        return self.next if self.waiting else None
