"""Zone overload, large step: limits on how much load a change may move to another zone at once.

- Zone overload: a zone would get more than a configured multiple of its observed peak rate, and more than it
  gets now, while another zone that the change takes load from has spare capacity.
- Large step: within the step window the load of a zone would grow by more than a configured fraction of all
  requests.

A change that exceeds a limit is published in part. Tables that were empty before are not held back.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from swiftchute.safety.proposal import Rule
from swiftchute.safety.review import Review
from swiftchute.safety.step_limits import ExceededLimit, StepLimits, TableLoad, ZoneLoads, blend


@dataclass(slots=True)
class _Change:
    """Tables before and after the change, and at the start of the step window, by number."""

    old: dict[int, TableLoad] = field(default_factory=dict)
    new: dict[int, TableLoad] = field(default_factory=dict)
    at_window_start: dict[int, TableLoad] = field(default_factory=dict)

    def is_empty(self) -> bool:
        return all(self.new[number].weights == table.weights for number, table in self.old.items())

    def first_tables(self) -> dict[int, TableLoad]:
        """Return the tables that were empty before."""
        return {number: table for number, table in self.new.items() if number not in self.old}


def limit_zone_changes(review: Review) -> None:
    """Hold back the part of the changes that would exceed a zone's limit."""
    change = _collect_change(review)
    if change.is_empty():
        return
    zone_by_endpoint = {
        endpoint: status.zone for endpoint, status in review.statuses.items() if review.is_warm(endpoint)
    }
    limits = StepLimits(
        zone_by_endpoint,
        _peak_rates(review, zone_by_endpoint),
        review.observations.failing_zones,
        review.rules.max_zone_load_multiple,
        review.rules.max_step_fraction,
    )
    first_tables = change.first_tables()
    window_tables = {
        number: table for number, table in change.at_window_start.items() if number in change.old
    }
    at_window_start = limits.loads(window_tables | first_tables)
    found: dict[tuple[Rule, str], ExceededLimit] = {}  # first one by rule and zone

    def check(old_loads: ZoneLoads, new_loads: ZoneLoads) -> list[ExceededLimit]:
        exceeded = limits.exceeded(old_loads, new_loads, at_window_start)
        for limit in exceeded:
            found.setdefault((limit.rule, limit.zone), limit)
        return [limit for limit in exceeded if review.corrects(limit.rule)]

    fractions = limits.allowed_fractions(change.old | first_tables, change.new, check)
    for _, limit in sorted(found.items()):
        _report(review, change, limits, zone_by_endpoint, limit)
    for number, fraction in fractions.items():
        if fraction < 1 and number in change.old:
            weights = blend(change.old[number].weights, review.weights(number), fraction)
            review.set_weights(number, weights)


def _collect_change(review: Review) -> _Change:
    change = _Change()
    for number, table in review.proposed.items():
        weights = review.weights(number)
        if not table.proxy_zones or not table.request_rate or not weights:
            continue
        rate = table.request_rate * review.admitted_fraction(number)
        change.new[number] = TableLoad(rate, weights)
        usable = set(review.usable_endpoints(table))
        published = _usable_weights(review.published.get(number, {}), usable)
        if published:
            change.old[number] = TableLoad(rate, published)
        window_weights = review.observations.weights_at_window_start.get(number, {})
        change.at_window_start[number] = TableLoad(rate, _usable_weights(window_weights, usable) or published)
    return change


def _usable_weights(weights: Mapping[str, float], usable: set[str]) -> dict[str, float]:
    """Return the weights of usable endpoints: load has to leave a closed one, so no limit holds it back."""
    return {endpoint: weight for endpoint, weight in weights.items() if endpoint in usable}


def _peak_rates(review: Review, zone_by_endpoint: dict[str, str]) -> dict[str, float]:
    """Return the peak rate of each zone, of those where the rates of all its endpoints' kinds are known."""
    known_kinds = review.observations.peak_rate_by_kind
    unknown_zones = {
        review.statuses[endpoint].zone
        for endpoint in zone_by_endpoint
        if review.statuses[endpoint].kind not in known_kinds
    }
    rates: dict[str, float] = defaultdict(float)
    for endpoint, zone in zone_by_endpoint.items():
        rates[zone] += review.full_rate(endpoint) or 0.0
    return {zone: rate for zone, rate in rates.items() if zone not in unknown_zones}


def _report(
    review: Review,
    change: _Change,
    limits: StepLimits,
    zone_by_endpoint: dict[str, str],
    exceeded: ExceededLimit,
) -> None:
    """Report an exceeded zone limit for the first table whose share of that zone grows."""
    zone = exceeded.zone
    growing = [
        number
        for number, table in change.old.items()
        if limits.shares(change.new[number].weights).get(zone, 0) > limits.shares(table.weights).get(zone, 0)
    ]
    endpoints: list[str] = []
    if growing:
        weights = change.new[growing[0]].weights
        endpoints = sorted(endpoint for endpoint in weights if zone_by_endpoint.get(endpoint) == zone)
    table_number = growing[0] if growing else min(change.new)
    review.report(exceeded.rule, table_number, endpoints, exceeded.value, exceeded.limit)
