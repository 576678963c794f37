"""Compares the attempts that endpoints got with the weights in force when each attempt was sent.

    result = shares(evidence)        # observed and expected attempts by endpoint, and a p-value

The tables follow from replaying the responses that each gateway's socket received, in order of receipt;
nothing is read from a proxy or an instance. Only first attempts count: a retry avoids the first's endpoint.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass

from scipy import stats

from swiftchute.drill.evidence import Evidence
from swiftchute.proxy.xds_client import XdsClient


@dataclass(frozen=True)
class Shares:
    """First attempts by endpoint, those that the tables predict, and the p-value of the difference."""

    observed: dict[str, int]
    expected: dict[str, float]
    p_value: float
    attempts: int

    @property
    def line(self) -> str:
        """One line for the report as text."""
        farthest = max(
            self.expected, key=lambda e: abs(self.observed.get(e, 0) - self.expected[e]), default=""
        )
        seen, predicted = self.observed.get(farthest, 0), self.expected.get(farthest, 0.0)
        return (
            f"{self.attempts} first attempts against the tables in force: p-value {self.p_value:.3f};"
            f" largest difference at {farthest}: {seen}, predicted {predicted:.1f}"
        )


def shares(evidence: Evidence) -> Shares:
    """Compare over all gateways and operations: chi-square over endpoints with five expected or more."""
    responses, attempts = defaultdict(list), defaultdict(list)
    for response in evidence.responses:
        responses[response.gateway].append(response)
    for t in evidence.attempts:
        if t.attempt == 0:
            attempts[t.gateway].append(t)
    observed: Counter[str] = Counter()
    expected: dict[str, float] = defaultdict(float)
    variance: dict[str, float] = defaultdict(float)
    for gateway, (zone, rate, delta, collections, static) in sorted(evidence.gateways.items()):
        client = XdsClient(gateway, zone, rate, delta, collections)
        client.static_endpoints = dict(static)
        pending = sorted(responses[gateway], key=lambda r: r.time_ns)
        index = stream = 0
        for t in sorted(attempts[gateway], key=lambda t: t.time_ns):
            while index < len(pending) and pending[index].time_ns <= t.time_ns:
                response = pending[index]
                index += 1
                if response.stream != stream:
                    stream = response.stream
                    client.open_stream(True)
                client.receive(response.data)
            table = client.table(t.operation)
            if table is None or t.endpoint not in table.weights:
                continue  # picked by the previous table, which changed while the attempt was sent
            observed[t.endpoint] += 1
            total = sum(table.weights.values())
            for endpoint, weight in table.weights.items():
                probability = weight / total
                expected[endpoint] += probability
                variance[endpoint] += probability * (1 - probability)
    tested = [e for e in expected if expected[e] >= 5]
    # Each endpoint's count is a sum of draws of differing probability, so it is compared by its own variance.
    statistic = sum((observed[e] - expected[e]) ** 2 / max(variance[e], 1e-9) for e in tested)
    p_value = float(stats.chi2.sf(statistic, max(len(tested), 1)))
    return Shares(dict(observed), dict(expected), p_value, sum(observed.values()))
