"""What the guard knows of demand and of what warm servers do, from the same sums the module is given.

    seen.told(call, now)                  # each `met` and `arrived` of a round
    seen.demand(proxies, places, now)     # invocations a second to these proxies, None if nobody has told
    seen.full(facts, warm, now)           # by zone, good answers a second by unit of weight
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from swiftchute.guard.guard import Fact
from swiftchute.interface import Call

S = 1_000_000_000
FRESH = 10 * S  # a sum counts for so long beyond its span: large fleets are told of in turn
KEPT = 60  # seconds of which the most that a zone's warm servers gave is kept
STEADY = 5  # judgements over which it is the mean: single sums come half too high by chance


class Seen:
    """Last sums by server and proxy, and the zones' best of the last minute."""

    def __init__(self) -> None:
        """Nothing is known."""
        # until when it counts, and a rate: by server and zone of the proxies, by proxy and operation
        self.good: dict[str, dict[str, tuple[int, float]]] = defaultdict(dict)
        self.came: dict[Any, dict[str, tuple[int, float]]] = defaultdict(dict)
        self.best: dict[str, deque[tuple[int, float]]] = defaultdict(lambda: deque(maxlen=KEPT))
        self.at = 0

    def told(self, call: Call, now: int) -> None:
        """Take in a sum; other calls are passed over."""
        name, arguments = call
        if name == "met":
            zone, server, tries, errored, _, span, _ = arguments
            self.good[server][zone] = (now + span + FRESH, (tries - errored) * S / max(span, 1))
        elif name == "arrived":
            proxy, operation, invs, _, span = arguments
            self.came[proxy][operation] = (now + span + FRESH, invs * S / max(span, 1))
        elif name == "left":
            self.came.pop(arguments[0], None)

    def demand(self, proxies: Iterable[Any], operations: Iterable[str], now: int) -> float | None:
        """Invocations a second of these operations that come to these proxies; None if no fresh sum
        tells of any."""
        wanted = set(operations)
        rates = [rate for p in proxies for op, (until, rate) in self.came.get(p, {}).items()
                 if op in wanted and until >= now]  # fmt: skip
        return sum(rates) if rates else None

    def full(self, facts: Mapping[str, Fact], warm: Callable[[str], bool], now: int) -> dict[str, float]:
        """By zone, the most that its warm servers gave of late, a second and unit of weight; not
        known: left out."""
        if now - self.at >= S:
            self.at = now
            for server in [n for n in self.good if n not in facts]:
                del self.good[server]
            by: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
            for server, fact in facts.items():
                rates = [rate for until, rate in self.good.get(server, {}).values() if until >= now]
                if rates and warm(server):
                    by[fact.zone][0] += sum(rates)
                    by[fact.zone][1] += fact.weight
            for zone, (rate, weight) in by.items():
                self.best[zone].append((now, rate / weight))
        found = {}
        for zone, rows in self.best.items():
            if len(rows) >= STEADY and now - rows[-1][0] <= KEPT * S:
                rates = [rate for _, rate in rows]
                found[zone] = max(sum(rates[k : k + STEADY]) / STEADY for k in range(len(rates) - STEADY + 1))
        return {zone: rate for zone, rate in found.items() if rate > 0}
