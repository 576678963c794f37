"""Outlier detection: lowers the weight of endpoints that fail more or answer slower than the median."""

from statistics import median

from swiftchute.api.endpoints import EndpointState
from swiftchute.policy.conditions import health_condition, report_condition
from swiftchute.policy.load_stats import MIN_ATTEMPTS, RecentStats, endpoint_stats
from swiftchute.policy.model import Endpoint
from swiftchute.policy.slow_start import is_warming_up
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_MS

MIN_HEALTH_WEIGHT = 0.25
MAX_HEALTH_WEIGHT = 1.3
MAX_WARMING_UP_HEALTH_WEIGHT = 1.0  # a warming endpoint gets little load and so looks fast
ADJUSTMENT_STEP = 0.25  # fraction of the logarithmic distance to its target moved per evaluation
IMMEDIATE_FAILURE_FRACTION = 0.8  # failures / attempts above which a weight drops to its target at once
REMOVAL_FAILURE_FRACTION = 0.5  # failures / attempts above which a suspected removal is confirmed
UNOBSERVED_RECOVERY_FACTOR = 1.15  # growth per evaluation of a low weight without attempts
REPORTED_HEALTH_WEIGHT = 0.5  # a lower weight is reported to the operators
MIN_OBSERVED_ENDPOINTS = 2  # with fewer there is no median to compare with


class OutlierDetector:
    """Compares each ready endpoint's cost per success with the median of all.

    Attributes:
        evaluation_count: Number of evaluations so far that had enough attempts to compare.
    """

    def __init__(self) -> None:
        """Create a detector without any evaluation."""
        self.evaluation_count = 0

    def evaluate(self, state: PolicyState, ready: dict[str, Endpoint]) -> bool:
        """Update the health weights, and return whether there were enough attempts to do so.

        Without them nothing changes.

        Args:
            state: State of the policy.
            ready: The ready endpoints.
        """
        stats = {name: endpoint_stats(state, endpoint) for name, endpoint in ready.items()}
        observed = [each.cost_ns for each in stats.values() if each.attempts >= MIN_ATTEMPTS]
        if len(observed) < MIN_OBSERVED_ENDPOINTS:
            return False
        median_cost_ns = median(observed)
        self.evaluation_count += 1
        for name, endpoint in ready.items():
            self._evaluate_endpoint(state, name, endpoint, stats[name], median_cost_ns)
        return True

    def _evaluate_endpoint(
        self, state: PolicyState, name: str, endpoint: Endpoint, stats: RecentStats, median_cost_ns: float
    ) -> None:
        if endpoint.suspected_removed and stats.failures > REMOVAL_FAILURE_FRACTION * stats.attempts:
            endpoint.set_state(EndpointState.REMOVED)
        if stats.attempts < MIN_ATTEMPTS:
            _recover_unobserved(endpoint)
            return
        warming_up = is_warming_up(state, endpoint)
        limit = MAX_WARMING_UP_HEALTH_WEIGHT if warming_up else MAX_HEALTH_WEIGHT
        target = min(max(median_cost_ns / stats.cost_ns, MIN_HEALTH_WEIGHT), limit)
        step = self._step(endpoint, stats, target, warming_up)
        endpoint.health_weight *= (target / endpoint.health_weight) ** step
        report_condition(
            state,
            health_condition(name),
            endpoint.health_weight < REPORTED_HEALTH_WEIGHT,
            f"{stats.failures} of {stats.attempts} tries errored, {stats.cost_ns / NS_PER_MS:.0f} ms a good"
            f" answer, usual {median_cost_ns / NS_PER_MS:.0f}",
        )

    def _step(self, endpoint: Endpoint, stats: RecentStats, target: float, warming_up: bool) -> float:
        """Return the fraction of the distance to its target that a weight moves in this evaluation.

        Reports lag, so weights move in steps. A weight drops at once where nearly all attempts fail, because
        timeouts are reported late already. The first evaluations after a start take larger steps, each of
        1 / (1 + evaluations so far).
        """
        failing = stats.failures > IMMEDIATE_FAILURE_FRACTION * stats.attempts
        if failing and target < endpoint.health_weight:
            return 1.0
        return ADJUSTMENT_STEP if warming_up else max(ADJUSTMENT_STEP, 1 / (1 + self.evaluation_count))


def _recover_unobserved(endpoint: Endpoint) -> None:
    """Raise a low weight step by step: the lack of attempts does not show that the endpoint is healthy."""
    raised = min(endpoint.health_weight * UNOBSERVED_RECOVERY_FACTOR, 1.0)
    endpoint.health_weight = max(endpoint.health_weight, raised)
