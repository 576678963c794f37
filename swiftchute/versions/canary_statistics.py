"""Compares the reports of canary proxies with those of the other proxies. Pure functions."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

NS_PER_MS = 1e6
MIN_REQUESTS = 30  # on each side; with fewer a failure rate means nothing
MIN_FAILURE_DIFFERENCE = 0.05  # a smaller increase of the failure rate never rolls back, however significant
MAX_LATENCY_RATIO = 2.0  # of the canary's mean latency to the baseline's


@dataclass(slots=True)
class ReportTotals:
    """Sums over reports of proxies.

    Attributes:
        requests: Requests that arrived.
        failures: Requests that failed.
        latency_sum_ns: Sum of the latencies of successful attempts.
        latency_count: Number of these latencies.
    """

    requests: int = 0
    failures: int = 0
    latency_sum_ns: int = 0
    latency_count: int = 0

    def add(self, other: "ReportTotals") -> None:
        """Add the totals of a report."""
        self.requests += other.requests
        self.failures += other.failures
        self.latency_sum_ns += other.latency_sum_ns
        self.latency_count += other.latency_count


def weight_shares(weights: Mapping[str, float]) -> dict[str, float]:
    """Return weights as fractions of their sum."""
    total = sum(weights.values())
    return {endpoint: weight / total for endpoint, weight in weights.items()} if total else {}


def moved_fraction(before: Mapping[str, float], after: Mapping[str, float]) -> float:
    """Return the fraction of requests that moves to other endpoints with a change of shares."""
    return sum(max(share - before.get(endpoint, 0.0), 0.0) for endpoint, share in after.items())


def regression(canary: ReportTotals, baseline: ReportTotals, standard_errors: float) -> str:
    """Describe in what way the canary is worse than the baseline; return "" if it is not.

    Failure rates are compared by a two-proportion z-test with pooled standard error, latencies by means.

    Args:
        canary: Reports of the canary proxies.
        baseline: Reports of the other proxies.
        standard_errors: Number of standard errors by which the failure rate must be higher.
    """
    return _failure_regression(canary, baseline, standard_errors) or _latency_regression(canary, baseline)


def _failure_regression(canary: ReportTotals, baseline: ReportTotals, standard_errors: float) -> str:
    if min(canary.requests, baseline.requests) < MIN_REQUESTS:
        return ""
    canary_rate = canary.failures / canary.requests
    baseline_rate = baseline.failures / baseline.requests
    pooled_rate = (canary.failures + baseline.failures) / (canary.requests + baseline.requests)
    standard_error = math.sqrt(
        pooled_rate * (1 - pooled_rate) * (1 / canary.requests + 1 / baseline.requests)
    )
    if canary_rate - baseline_rate <= max(MIN_FAILURE_DIFFERENCE, standard_errors * standard_error):
        return ""
    return (
        f"{canary.failures} of {canary.requests} errored,"
        f" {baseline.failures} of {baseline.requests} with the others"
    )


def _latency_regression(canary: ReportTotals, baseline: ReportTotals) -> str:
    if min(canary.latency_count, baseline.latency_count) < MIN_REQUESTS:
        return ""
    canary_ns = canary.latency_sum_ns / canary.latency_count
    limit_ns = MAX_LATENCY_RATIO * baseline.latency_sum_ns / baseline.latency_count
    if canary_ns <= limit_ns:
        return ""
    canary_ms, baseline_ms = (
        totals.latency_sum_ns / totals.latency_count / NS_PER_MS for totals in (canary, baseline)
    )
    return f"{canary_ms:.0f} ms a good answer, {baseline_ms:.0f} with the others"
