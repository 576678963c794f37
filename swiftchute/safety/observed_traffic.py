"""What the guard knows of demand and of what warm servers do, from the same sums the module is given.

seen.told(call, now)                  # each `met` and `arrived` of a round
seen.demand(proxies, places, now)     # invocations a second to these proxies, None if nobody has told
seen.full(facts, warm, now)           # by kind, good answers a second by unit of weight
seen.answering(now), seen.ill(facts, now)   # servers that answer, zones whose servers mostly fail
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from swiftchute.api.events import DemandReport, EndpointLoadReport, Event, ProxyDisconnected
from swiftchute.safety.validator import EndpointStatus

S = 1_000_000_000
FRESH = 10 * S  # a sum counts for so long beyond its span: large fleets are told of in turn
KEPT = 60  # seconds of which the most that a zone's warm servers gave is kept
ILL = 0.5  # below this part of good answers a zone's servers answer badly
STEADY = 5  # judgements over which it is the mean: single sums come half too high by chance


class ObservedTraffic:
    """Last sums by server and proxy, and the zones' best of the last minute."""

    def __init__(self) -> None:
        """Nothing is known."""
        # until when it counts, and rates (good answers, tries): by server and zone of the proxies; by proxy
        # and operation
        self.good: dict[str, dict[str, tuple[int, float, float]]] = defaultdict(dict)
        self.came: dict[Any, dict[str, tuple[int, float]]] = defaultdict(dict)
        self.best: dict[tuple[str, str], deque[tuple[int, float]]] = defaultdict(lambda: deque(maxlen=KEPT))
        self.at = 0

    def told(self, call: Event, now: int) -> None:
        """Take in a sum; other calls are passed over."""
        if isinstance(call, EndpointLoadReport):
            window = max(call.window_ns, 1)
            self.good[call.endpoint][call.zone] = (
                now + call.window_ns + FRESH,
                (call.attempts - call.failures) * S / window,
                call.attempts * S / window,
            )
        elif isinstance(call, DemandReport):
            rate = call.requests * S / max(call.window_ns, 1)
            self.came[call.proxy][call.operation] = (now + call.window_ns + FRESH, rate)
        elif isinstance(call, ProxyDisconnected):
            self.came.pop(call.proxy, None)

    def demand(self, proxies: Iterable[Any], operations: Iterable[str], now: int) -> float | None:
        """Invocations a second of these operations that come to these proxies; None if no fresh sum
        tells of any."""
        wanted = set(operations)
        rates = [rate for p in proxies for op, (until, rate) in self.came.get(p, {}).items()
                 if op in wanted and until >= now]  # fmt: skip
        return sum(rates) if rates else None

    def answering(self, now: int) -> frozenset[str]:
        """Servers with a good answer in a fresh sum."""
        return frozenset(
            server
            for server, rows in self.good.items()
            if any(good > 0 and until >= now for until, good, _ in rows.values())
        )

    def ill(self, facts: Mapping[str, EndpointStatus], now: int) -> frozenset[str]:
        """Zones whose servers failed more than half of the tries of fresh sums."""
        by: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for server, rows in self.good.items():
            if server in facts:
                for until, good, tries in rows.values():
                    if until >= now:
                        by[facts[server].zone][0] += good
                        by[facts[server].zone][1] += tries
        return frozenset(zone for zone, (good, tries) in by.items() if good < ILL * tries)

    def used(
        self, facts: Mapping[str, EndpointStatus], warm: Callable[[str], bool], now: int
    ) -> dict[tuple[str, str], float]:
        """By zone and kind, the most that warm servers gave of late, a second and unit of weight; not known:
        left out."""
        if now - self.at >= S:
            self.at = now
            for server in [n for n in self.good if n not in facts]:
                del self.good[server]
            by: dict[tuple[str, str], list[float]] = defaultdict(lambda: [0.0, 0.0])
            for server, fact in facts.items():
                rates = [good for until, good, _ in self.good.get(server, {}).values() if until >= now]
                if rates and warm(server):
                    by[fact.zone, fact.kind][0] += sum(rates)
                    by[fact.zone, fact.kind][1] += fact.weight
            for key, (rate, weight) in by.items():
                self.best[key].append((now, rate / weight))
            for key in [k for k, rows in self.best.items() if now - rows[-1][0] > KEPT * S]:
                del self.best[key]
        found = {}
        for key, rows in self.best.items():
            if len(rows) >= STEADY:
                rates = [rate for _, rate in rows]
                found[key] = max(sum(rates[k : k + STEADY]) / STEADY for k in range(len(rates) - STEADY + 1))
        return {key: rate for key, rate in found.items() if rate > 0}


def peak_by_kind(used: Mapping[tuple[str, str], float]) -> dict[str, float]:
    """By kind, what its servers gave in the zone where they gave most.

    By kind, as a planner's proxies send other zones little: taken by zone alone, a cold server of another
    zone had a tenth of its budget, and sound pushes of the module were refused.
    """
    found: dict[str, float] = defaultdict(float)
    for (_, kind), rate in used.items():
        found[kind] = max(found[kind], rate)
    return dict(found)
