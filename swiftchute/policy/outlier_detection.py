"""Outlier detection: endpoints whose answers cost more than usual get less weight."""

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
MAX_WARMING_UP_HEALTH_WEIGHT = 1.0  # an endpoint under little load looks fast
ADJUSTMENT_STEP = 0.25  # part of the way to its target, in logarithms, that a weight goes in one evaluation
IMMEDIATE_FAILURE_FRACTION = 0.8  # failures / attempts above which a weight falls to its target at once
REMOVAL_FAILURE_FRACTION = 0.5  # failures / attempts above which a suspected removal is believed
UNOBSERVED_RECOVERY_FACTOR = 1.15  # growth in one evaluation of a low weight that gets no attempts
REPORTED_HEALTH_WEIGHT = 0.5  # operators are told of endpoints with a lower one
MIN_OBSERVED_ENDPOINTS = 2  # with fewer there is no usual cost to compare with


class OutlierDetector:
    """Compares each ready endpoint's cost of a good answer with the usual one.

    Attributes:
        evaluation_count: Evaluations with enough evidence so far.
    """

    def __init__(self) -> None:
        """Create a detector that knows nothing yet."""
        self.evaluation_count = 0

    def evaluate(self, state: PolicyState, ready: dict[str, Endpoint]) -> bool:
        """Update the health weights; returns False, without any change, if there is too little evidence.

        Args:
            state: State of the policy.
            ready: The ready endpoints.
        """
        stats = {name: endpoint_stats(state, endpoint) for name, endpoint in ready.items()}
        observed = [each.cost_ns for each in stats.values() if each.attempts >= MIN_ATTEMPTS]
        if len(observed) < MIN_OBSERVED_ENDPOINTS:
            return False
        usual_cost_ns = median(observed)
        self.evaluation_count += 1
        for name, endpoint in ready.items():
            self._evaluate_endpoint(state, name, endpoint, stats[name], usual_cost_ns)
        return True

    def _evaluate_endpoint(
        self, state: PolicyState, name: str, endpoint: Endpoint, stats: RecentStats, usual_cost_ns: float
    ) -> None:
        if endpoint.suspected_removed and stats.failures > REMOVAL_FAILURE_FRACTION * stats.attempts:
            endpoint.set_state(EndpointState.REMOVED)
        if stats.attempts < MIN_ATTEMPTS:
            _recover_unobserved(endpoint)
            return
        warming_up = is_warming_up(state, endpoint)
        limit = MAX_WARMING_UP_HEALTH_WEIGHT if warming_up else MAX_HEALTH_WEIGHT
        target = min(max(usual_cost_ns / stats.cost_ns, MIN_HEALTH_WEIGHT), limit)
        step = self._step(endpoint, stats, target, warming_up)
        endpoint.health_weight *= (target / endpoint.health_weight) ** step
        report_condition(
            state,
            health_condition(name),
            endpoint.health_weight < REPORTED_HEALTH_WEIGHT,
            f"{stats.failures} of {stats.attempts} tries errored, {stats.cost_ns / NS_PER_MS:.0f} ms a good"
            f" answer, usual {usual_cost_ns / NS_PER_MS:.0f}",
        )

    def _step(self, endpoint: Endpoint, stats: RecentStats, target: float, warming_up: bool) -> float:
        """Return the part of the way to its target that a weight goes now.

        Reports are late, so a weight goes step by step. It falls at once where nearly all attempts fail, as
        timeouts are late already; and the first evaluations after a start weigh as much as all so far.
        """
        failing = stats.failures > IMMEDIATE_FAILURE_FRACTION * stats.attempts
        if failing and target < endpoint.health_weight:
            return 1.0
        return ADJUSTMENT_STEP if warming_up else max(ADJUSTMENT_STEP, 1 / (1 + self.evaluation_count))


def _recover_unobserved(endpoint: Endpoint) -> None:
    """Raise a low weight step by step until there is evidence: none is not good evidence."""
    raised = min(endpoint.health_weight * UNOBSERVED_RECOVERY_FACTOR, 1.0)
    endpoint.health_weight = max(endpoint.health_weight, raised)
