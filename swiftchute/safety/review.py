"""State of one validation of all tables; the rules read and modify it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from swiftchute.api.endpoints import EndpointState
from swiftchute.api.settings import Settings
from swiftchute.safety.capacity import capacity_fraction, full_rate, slow_start_multiple
from swiftchute.safety.proposal import (
    RULES,
    AllowedTable,
    EndpointStatus,
    Observations,
    Outcome,
    Proposal,
    Rule,
    SafetyRules,
    Verdict,
    Violation,
)

ROUNDING_TOLERANCE = 1.001  # factor up to which an excess over a limit counts as a rounding error


@dataclass(slots=True)
class Review:
    """One validation: its input, and the verdict so far.

    Attributes:
        settings: Limits of slow start.
        rules: Limits of the rules.
        proposed: Proposed tables by number.
        published: Weights that were published last, by table.
        statuses: What the endpoint list says, by endpoint.
        observations: What was observed of the traffic.
        now_ns: Time of the validation.
        verdict: What may be published, and the violations found so far.
        open_endpoints: Endpoints that may be sent requests.
        warm_endpoints: Open endpoints at full capacity.
    """

    settings: Settings
    rules: SafetyRules
    proposed: Mapping[int, Proposal]
    published: Mapping[int, Mapping[str, float]]
    statuses: Mapping[str, EndpointStatus]
    observations: Observations
    now_ns: int
    verdict: Verdict = field(default_factory=Verdict)
    open_endpoints: frozenset[str] = field(init=False)
    warm_endpoints: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        """Compute the open and the warm endpoints once, as the rules look them up very often."""
        self.open_endpoints = frozenset(
            endpoint for endpoint, status in self.statuses.items() if self._is_open_status(endpoint, status)
        )
        self.warm_endpoints = frozenset(
            endpoint
            for endpoint in self.open_endpoints
            if capacity_fraction(self.statuses[endpoint], self.settings, self.now_ns) >= 1
        )

    def _is_open_status(self, endpoint: str, status: EndpointStatus) -> bool:
        """Return whether an endpoint may be sent requests.

        Where removal is not binding, an endpoint that the list reports as removed may still serve; it is
        open if it responded lately.
        """
        if status.state == EndpointState.READY:
            return True
        return (
            status.state == EndpointState.REMOVED
            and not self.settings.removal_is_binding
            and endpoint in self.observations.responding
        )

    def report(self, rule: Rule, table: int, endpoints: Iterable[str], value: float, limit: float) -> bool:
        """Add a violation to the verdict; return whether the table must be corrected."""
        if not self.corrects(rule):
            outcome = Outcome.WARNED
        else:
            outcome = Outcome.CORRECTED if rule in RULES else Outcome.PUBLISHED
        violation = Violation(rule, table, tuple(sorted(endpoints)), value, limit, outcome)
        self.verdict.violations.append(violation)
        return self.corrects(rule)

    def corrects(self, rule: Rule) -> bool:
        """Return whether violations of a rule are corrected rather than only reported."""
        return rule not in self.rules.warn_only

    def weights(self, table: int) -> dict[str, float]:
        """Return the weights of a table in the verdict."""
        return self.verdict.tables[table].weights

    def admitted_fraction(self, table: int) -> float:
        """Return the fraction of a table's requests that the verdict admits, 0 to 1."""
        return min(self.verdict.tables[table].admission_rate, 1.0)

    def set_weights(self, table: int, weights: dict[str, float]) -> None:
        """Change the weights of a table in the verdict."""
        self.verdict.tables[table] = AllowedTable(weights, self.verdict.tables[table].admission_rate)

    def set_admission_rate(self, table: int, admission_rate: float) -> None:
        """Change the admission rate of a table in the verdict."""
        self.verdict.tables[table] = AllowedTable(self.weights(table), admission_rate)

    def is_open(self, endpoint: str) -> bool:
        """Return whether an endpoint may be sent requests."""
        return endpoint in self.open_endpoints

    def is_warm(self, endpoint: str) -> bool:
        """Return whether an endpoint is open and at full capacity."""
        return endpoint in self.warm_endpoints

    def must_be_removed(self, endpoint: str) -> bool:
        """Return whether an endpoint that is not open must be removed from a table.

        Where removal is not binding, an endpoint that is removed or missing from the list may stay.
        """
        status = self.statuses.get(endpoint)
        state = status.state if status is not None else EndpointState.REMOVED
        return state == EndpointState.DRAINING or self.settings.removal_is_binding

    def usable_endpoints(self, table: Proposal) -> list[str]:
        """Return the open endpoints that a table may use.

        These are the endpoints in its proxies' zones. If none of them is warm and requests may leave their
        zone, all open endpoints are usable.
        """
        own = [
            endpoint
            for endpoint, status in self.statuses.items()
            if status.zone in table.proxy_zones and endpoint in self.open_endpoints
        ]
        if table.zone_local or not self.warm_endpoints.isdisjoint(own):
            return own
        return [endpoint for endpoint in self.statuses if endpoint in self.open_endpoints]

    def full_rate(self, endpoint: str) -> float | None:
        """Return the requests per second that an endpoint can be expected to answer once it is warm."""
        return full_rate(self.statuses[endpoint], self.observations)

    def slow_start_multiple(self, endpoint: str) -> float:
        """Return the multiple of its full rate that an endpoint may be sent now."""
        return slow_start_multiple(self.statuses[endpoint], self.settings, self.rules, self.now_ns)

    def slow_start_limit(self, endpoint: str) -> float | None:
        """Return the requests per second that an endpoint may be sent now; None if unknown."""
        rate = self.full_rate(endpoint)
        return None if rate is None else self.slow_start_multiple(endpoint) * rate
