"""Whether proxies did what their tables say: tries by server against the weights in force when each was sent.

    found = shares(evidence)         # observed and expected by server, and the chance of such a scatter

Tables are worked out by replaying the orders that each gateway's socket received, in the sequence in which
they came; nothing of the proxy's or a planner's is read. First tries alone count: a second goes past the
first's server.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass

from scipy import stats

from swiftchute.drill.invariants import Evidence
from swiftchute.proxy.xds_client import XdsClient


@dataclass(frozen=True)
class Shares:
    """First tries by server, what tables in force predict of them, and the chance of a scatter as wide."""

    observed: dict[str, int]
    expected: dict[str, float]
    chance: float
    tries: int

    @property
    def line(self) -> str:
        """One line for people."""
        far = max(self.expected, key=lambda s: abs(self.observed.get(s, 0) - self.expected[s]), default="")
        seen, due = self.observed.get(far, 0), self.expected.get(far, 0.0)
        return (
            f"{self.tries} first tries against tables in force: chance of such a scatter {self.chance:.3f};"
            f" farthest {far}: {seen}, predicted {due:.1f}"
        )


def shares(evidence: Evidence) -> Shares:
    """Over all gateways and operations. Chi-square on servers with five expected tries or more."""
    orders, tries = defaultdict(list), defaultdict(list)
    for order in evidence.orders:
        orders[order.gateway].append(order)
    for t in evidence.tries:
        if t.attempt == 0:
            tries[t.gateway].append(t)
    observed: Counter[str] = Counter()
    expected: dict[str, float] = defaultdict(float)
    spread: dict[str, float] = defaultdict(float)
    for gateway, (zone, rate, delta, lines, standing) in sorted(evidence.gateways.items()):
        client = XdsClient(gateway, zone, rate, delta, lines)
        client.static_endpoints = dict(standing)
        waiting = sorted(orders[gateway], key=lambda o: o.time_ns)
        place = stream = 0
        for t in sorted(tries[gateway], key=lambda t: t.time_ns):
            while place < len(waiting) and waiting[place].time_ns <= t.time_ns:
                order = waiting[place]
                place += 1
                if order.stream != stream:
                    stream = order.stream
                    client.open_stream(True)
                client.receive(order.data)
            table = client.table(t.operation)
            if table is None or t.endpoint not in table.weights:
                continue  # it was picked by the table before, which changed as it was sent
            observed[t.endpoint] += 1
            total = sum(table.weights.values())
            for server, weight in table.weights.items():
                part = weight / total
                expected[server] += part
                spread[server] += part * (1 - part)
    counted = [s for s in expected if expected[s] >= 5]
    # each server's count is a sum of draws whose chances differ: compared by its own variance
    found = sum((observed[s] - expected[s]) ** 2 / max(spread[s], 1e-9) for s in counted)
    chance = float(stats.chi2.sf(found, max(len(counted), 1)))
    return Shares(dict(observed), dict(expected), chance, sum(observed.values()))
