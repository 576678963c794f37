"""Load of the warm endpoints of each zone, and how much of a change may be published. No I/O, no clock.

    limits = StepLimits(zone_by_endpoint, peak_rates, failing_zones, max_load_multiple, max_step_fraction)
    loads = limits.loads(tables)                          # requests per second by zone
    exceeded = limits.exceeded(old, new, at_window_start)  # limits that the change exceeds
    fractions = limits.allowed_fractions(old, new, check)  # publishable fraction of each table's change

A partly published change interpolates between its old and new shares. The load of a zone is then linear in
the published fraction, so the part to hold back is computed directly, without a search.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from swiftchute.safety.proposal import Rule
from swiftchute.safety.review import ROUNDING_TOLERANCE

EXTRA_CORRECTIONS = 2  # corrections beyond one for each zone


class TableLoad(NamedTuple):
    """Load that a table distributes: admitted requests per second, and weight by endpoint."""

    request_rate: float
    weights: Mapping[str, float]


class ExceededLimit(NamedTuple):
    """A limit that the load of a zone exceeds, in requests per second."""

    rule: Rule
    zone: str
    value: float
    limit: float


ZoneLoads = Mapping[str, float]  # requests per second by zone
TableLoads = Mapping[int, TableLoad]


class StepLimits:
    """Limits on the load of the warm endpoints of each zone."""

    def __init__(
        self,
        zone_by_endpoint: Mapping[str, str],
        peak_rates: Mapping[str, float],
        failing_zones: frozenset[str],
        max_load_multiple: float,
        max_step_fraction: float,
    ) -> None:
        """Set the limits.

        Args:
            zone_by_endpoint: Zone of each warm endpoint.
            peak_rates: Highest observed requests per second of a zone's warm endpoints, where known.
            failing_zones: Zones whose endpoints fail most of their requests.
            max_load_multiple: Multiple of its peak rate that a zone may be sent.
            max_step_fraction: Fraction of the load of all warm endpoints by which that of a zone may grow in
                the window.
        """
        self._zone_by_endpoint = zone_by_endpoint
        self._peak_rates = peak_rates
        self._failing_zones = failing_zones
        self._max_load_multiple = max_load_multiple
        self._max_step_fraction = max_step_fraction

    def shares(self, weights: Mapping[str, float]) -> dict[str, float]:
        """Return the share of a table that goes to the warm endpoints of each zone."""
        total, shares = sum(weights.values()), defaultdict[str, float](float)
        for endpoint, weight in weights.items():
            if endpoint in self._zone_by_endpoint:
                shares[self._zone_by_endpoint[endpoint]] += weight / total
        return shares

    def loads(self, tables: TableLoads) -> dict[str, float]:
        """Return the requests per second that tables send to each zone."""
        loads: dict[str, float] = defaultdict(float)
        for table in tables.values():
            for zone, share in self.shares(table.weights).items():
                loads[zone] += table.request_rate * share
        return loads

    def exceeded(self, old: ZoneLoads, new: ZoneLoads, at_window_start: ZoneLoads) -> list[ExceededLimit]:
        """Return the limits that a change exceeds.

        Args:
            old: Loads before the change.
            new: Loads after it.
            at_window_start: Loads at the start of the step window.
        """
        found = []
        for zone, load in sorted(new.items()):
            if load <= old.get(zone, 0.0) * ROUNDING_TOLERANCE:
                continue
            overload_limit = self._overload_limit(zone, old)
            if load > overload_limit * ROUNDING_TOLERANCE and self._another_has_room(zone, old, new):
                found.append(ExceededLimit(Rule.ZONE_OVERLOAD, zone, load, overload_limit))
            step_limit = self._step_limit(zone, old, new, at_window_start)
            if load > step_limit * ROUNDING_TOLERANCE:
                found.append(ExceededLimit(Rule.LARGE_STEP, zone, load, step_limit))
        return found

    def _overload_limit(self, zone: str, old: ZoneLoads) -> float:
        """Return the allowed load of a zone: a multiple of its peak rate, or the old load if higher."""
        peak_rate = self._peak_rates.get(zone, float("inf"))
        return max(self._max_load_multiple * peak_rate, old.get(zone, 0.0))

    def _another_has_room(self, zone: str, old: ZoneLoads, new: ZoneLoads) -> bool:
        """Return whether a change takes load from another healthy zone, which ends below its peak rate."""
        return any(
            other != zone
            and other not in self._failing_zones
            and new.get(other, 0.0) < peak_rate
            and old.get(other, 0.0) > new.get(other, 0.0)
            for other, peak_rate in self._peak_rates.items()
        )

    def _step_limit(self, zone: str, old: ZoneLoads, new: ZoneLoads, at_window_start: ZoneLoads) -> float:
        """Return the load that a zone may have by the end of the window.

        All load that failing zones had at the start of the window may move to any zone at once, since it
        cannot stay where it is.
        """
        total = sum(new.values())
        from_failing = sum(at_window_start.get(failing, 0.0) for failing in self._failing_zones)
        step = self._max_step_fraction * total
        return max(at_window_start.get(zone, 0.0) + step + from_failing, old.get(zone, 0.0))

    def allowed_fractions(
        self,
        old: TableLoads,
        new: TableLoads,
        check: Callable[[ZoneLoads, ZoneLoads], list[ExceededLimit]],
    ) -> dict[int, float]:
        """Return by table the fraction of its change that may be published.

        Args:
            old: Tables before the change.
            new: Tables after it.
            check: Called with the loads before and after a change; returns the limits that it exceeds.
        """
        fractions = dict.fromkeys(old, 1.0)
        old_loads = self.loads(old)
        rises = {table: self._rise_by_zone(old[table], new[table]) for table in old}
        for _ in range(len(old_loads) + EXTRA_CORRECTIONS):
            interpolated_loads = self.loads(_interpolate(old, new, fractions))
            exceeded = check(old_loads, interpolated_loads)
            if not exceeded:
                return fractions
            for limit in exceeded:
                _lower_fractions(fractions, rises, limit, interpolated_loads[limit.zone])
        # no convergence, as load held back from one zone goes to another: nothing changes this round
        return dict.fromkeys(old, 0.0)

    def _rise_by_zone(self, old: TableLoad, new: TableLoad) -> Callable[[str], float]:
        """Return a function that maps a zone to the requests per second that a table's change adds to it."""
        old_shares, new_shares = self.shares(old.weights), self.shares(new.weights)
        return lambda zone: new.request_rate * (new_shares.get(zone, 0.0) - old_shares.get(zone, 0.0))


def _interpolate(old: TableLoads, new: TableLoads, fractions: Mapping[int, float]) -> dict[int, TableLoad]:
    return {
        number: TableLoad(
            table.request_rate, blend(old[number].weights, table.weights, fractions.get(number, 1.0))
        )
        for number, table in new.items()
    }


def _lower_fractions(
    fractions: dict[int, float],
    rises: Mapping[int, Callable[[str], float]],
    exceeded: ExceededLimit,
    load: float,
) -> None:
    """Scale down all changes that raise the load of a zone, so that it stays within its limit."""
    rise_by_table = {table: rise_in(exceeded.zone) for table, rise_in in rises.items()}
    rise = sum(fractions[table] * rate for table, rate in rise_by_table.items() if rate > 0)
    other_load = load - rise
    factor = min(max((exceeded.limit - other_load) / rise, 0.0), 1.0) if rise > 0 else 0.0
    for table, rate in rise_by_table.items():
        fractions[table] *= factor if rate > 0 else 1.0


def blend(old: Mapping[str, float], new: Mapping[str, float], fraction: float) -> dict[str, float]:
    """Interpolate from the old to the new shares by `fraction`; at 1 return exactly the new weights."""
    if fraction >= 1 or not old:
        return dict(new)
    old_total, new_total = sum(old.values()), sum(new.values())
    blended = {
        endpoint: new_total
        * (
            fraction * new.get(endpoint, 0.0) / new_total
            + (1 - fraction) * old.get(endpoint, 0.0) / old_total
        )
        for endpoint in {**new, **old}
    }
    return {endpoint: weight for endpoint, weight in blended.items() if weight > 0}
