"""What tables send to the warm endpoints of each zone, and how far a change may go at once. No I/O, no clock.

    limits = StepLimits(zone_by_endpoint, peak_rates, failing_zones, max_load_multiple, max_step_fraction)
    loads = limits.loads(tables)                          # requests per second by zone
    exceeded = limits.exceeded(old, new, at_window_start)  # limits that a change of loads exceeds
    fractions = limits.allowed_fractions(old, new, check)  # by table: how much of its change may be published

A change that is published in part mixes its old and new shares, so that the load of a zone moves evenly with
the part; the least that must be held back follows without trying.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from swiftchute.safety.proposal import Rule
from swiftchute.safety.review import ROUNDING_TOLERANCE

EXTRA_CORRECTIONS = 2  # rounds of corrections beyond one for each zone


class TableLoad(NamedTuple):
    """What a table sends: admitted requests per second, and weight by endpoint."""

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
    """The limits on what the warm endpoints of each zone are sent."""

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
            peak_rates: Requests per second that a zone's warm endpoints were seen to answer, where known.
            failing_zones: Zones whose endpoints fail most of what they get.
            max_load_multiple: How many times its peak rate a zone may be sent.
            max_step_fraction: Part of all requests by which the load of a zone may grow in the window.
        """
        self._zone_by_endpoint = zone_by_endpoint
        self._peak_rates = peak_rates
        self._failing_zones = failing_zones
        self._max_load_multiple = max_load_multiple
        self._max_step_fraction = max_step_fraction

    def shares(self, weights: Mapping[str, float]) -> dict[str, float]:
        """Return the part of a table that goes to the warm endpoints of each zone."""
        total, shares = sum(weights.values()), defaultdict[str, float](float)
        for endpoint, weight in weights.items():
            if endpoint in self._zone_by_endpoint:
                shares[self._zone_by_endpoint[endpoint]] += weight / total
        return shares

    def loads(self, tables: TableLoads) -> dict[str, float]:
        """Return what tables send to each zone, in requests per second."""
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
        """Return the load that a zone may have: a multiple of its peak rate, or what it has."""
        peak_rate = self._peak_rates.get(zone, float("inf"))
        return max(self._max_load_multiple * peak_rate, old.get(zone, 0.0))

    def _another_has_room(self, zone: str, old: ZoneLoads, new: ZoneLoads) -> bool:
        """Return whether a change takes load from another zone that could answer more."""
        return any(
            other != zone
            and other not in self._failing_zones
            and new.get(other, 0.0) < peak_rate
            and old.get(other, 0.0) > new.get(other, 0.0)
            for other, peak_rate in self._peak_rates.items()
        )

    def _step_limit(self, zone: str, old: ZoneLoads, new: ZoneLoads, at_window_start: ZoneLoads) -> float:
        """Return the load that a zone may have by the end of the window.

        What leaves a failing zone may go anywhere at once: there is nothing to go back to.
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
        """Return by table how much of its change may be published.

        Args:
            old: Tables before the change.
            new: Tables after it.
            check: Called with loads before and after a change; returns the limits that are not kept.
        """
        fractions = dict.fromkeys(old, 1.0)
        old_loads = self.loads(old)
        rises = {table: self._rise_by_zone(old[table], new[table]) for table in old}
        for _ in range(len(old_loads) + EXTRA_CORRECTIONS):
            mixed_loads = self.loads(_mix(old, new, fractions))
            exceeded = check(old_loads, mixed_loads)
            if not exceeded:
                return fractions
            for limit in exceeded:
                _lower_fractions(fractions, rises, limit, mixed_loads[limit.zone])
        # what one zone is spared another gets: nothing changes until the next round
        return dict.fromkeys(old, 0.0)

    def _rise_by_zone(self, old: TableLoad, new: TableLoad) -> Callable[[str], float]:
        """Return a function of a zone: by how many requests per second a table's change raises its load."""
        old_shares, new_shares = self.shares(old.weights), self.shares(new.weights)
        return lambda zone: new.request_rate * (new_shares.get(zone, 0.0) - old_shares.get(zone, 0.0))


def _mix(old: TableLoads, new: TableLoads, fractions: Mapping[int, float]) -> dict[int, TableLoad]:
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
    """Lower the fractions of all changes that raise the load of a zone, so that it keeps its limit."""
    rise_by_table = {table: rise_in(exceeded.zone) for table, rise_in in rises.items()}
    rise = sum(fractions[table] * rate for table, rate in rise_by_table.items() if rate > 0)
    others = load - rise
    factor = min(max((exceeded.limit - others) / rise, 0.0), 1.0) if rise > 0 else 0.0
    for table, rate in rise_by_table.items():
        fractions[table] *= factor if rate > 0 else 1.0


def blend(old: Mapping[str, float], new: Mapping[str, float], fraction: float) -> dict[str, float]:
    """Return weights whose shares are `fraction` of the way from old to new; at 1 exactly the new ones."""
    if fraction >= 1 or not old:
        return dict(new)
    old_total, new_total = sum(old.values()), sum(new.values())
    mixed = {
        endpoint: new_total
        * (
            fraction * new.get(endpoint, 0.0) / new_total
            + (1 - fraction) * old.get(endpoint, 0.0) / old_total
        )
        for endpoint in {**new, **old}
    }
    return {endpoint: weight for endpoint, weight in mixed.items() if weight > 0}
