"""Load of key ranges and of the endpoints that serve them, and which endpoint may take one more.

Loads are relative: the mean key range of this instance has a load of 1. An endpoint at its full capacity has
its fair share, the load that it would have if all endpoints of the largest fleet so far shared it evenly.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from enum import IntEnum

from swiftchute.api.events import KeyRangeDemandReport
from swiftchute.policy.admission import MIN_SHARE, SHARE_DIGITS
from swiftchute.policy.load_stats import demand_rate
from swiftchute.policy.model import MAX_DEMAND_SAMPLES, DemandSample
from swiftchute.policy.slow_start import (
    is_warming_up,
    safe_load_fraction,
)
from swiftchute.policy.state import PolicyState

MIN_ENDPOINT_WEIGHT = 0.001  # replaces a zero weight in divisions
MIN_LOAD_LIMIT = 0.001  # replaces a zero limit in divisions
MAX_WARMING_UTILIZATION = 1.5  # a warming endpoint above this multiple of its limit gives up key ranges
MAX_ADDED_UTILIZATION = (
    1.4  # up to this multiple it takes one, if there is no warm endpoint and no limit by share
)


class KeyRange:
    """A key range that this instance owns.

    Attributes:
        number: Number of its table.
        entries: Weights by endpoint, as in the table.
        demand: Latest demand reports by operation.
        former_owners: Endpoints that were replaced since this instance has owned the key range.
        unserved_since_ns: When its endpoints were first found unusable, None while they are usable.
        is_displaced: Whether its endpoint got it beyond the endpoint's fair share.
    """

    __slots__ = ("demand", "entries", "former_owners", "is_displaced", "number", "unserved_since_ns")

    def __init__(self, number: int) -> None:
        """Create a key range whose table is empty."""
        self.number = number
        self.entries: dict[str, float] = {}
        self.demand: dict[str, deque[DemandSample]] = {}
        self.former_owners: set[str] = set()
        self.unserved_since_ns: int | None = None
        self.is_displaced = False

    def record_demand(self, report: KeyRangeDemandReport, now_ns: int) -> None:
        """Store a demand report."""
        samples = self.demand.setdefault(report.operation, deque(maxlen=MAX_DEMAND_SAMPLES))
        samples.append(DemandSample(report.requests, report.window_ns, now_ns))

    @property
    def request_rate(self) -> float | None:
        """Requests per second, the mean over the kept reports; None before the first one."""
        return demand_rate(self.demand) if self.demand else None


class Suitability(IntEnum):
    """How well an endpoint may take a key range, the best first."""

    SUITABLE = 0
    FORMER_OWNER = 1  # after another owner, a former one gets the key range only if there is no other
    WARMING_UP = 2  # it would be sent more than its present capacity allows


class KeyRangeLoads:
    """The loads of one round, updated with each key range that gets another endpoint."""

    def __init__(self, state: PolicyState, key_ranges: Iterable[KeyRange], full_weight: float) -> None:
        """Work out the loads.

        Args:
            state: State of the policy.
            key_ranges: All key ranges of this instance, at least one.
            full_weight: Listed weight of all ready endpoints of the largest fleet so far.
        """
        self._state = state
        self._ready = state.ready_endpoints()
        ranges = list(key_ranges)
        self.load_of_range = _relative_loads(ranges)
        self._fair_load = len(ranges) / max(full_weight, MIN_ENDPOINT_WEIGHT)
        self._loads = dict.fromkeys(self._ready, 0.0)
        self._has_warm_endpoint = len(self._warming_endpoints()) < len(self._ready)
        self._is_limited_by_share = state.settings.admission_mode == "share"
        for key_range in ranges:
            self._add(key_range, 1)

    def move(self, key_range: KeyRange, entries: dict[str, float]) -> None:
        """Record that a key range gets other entries."""
        self._add(key_range, -1)
        key_range.entries = entries
        self._add(key_range, 1)

    def load_limit(self, endpoint: str) -> float:
        """Return the load that an endpoint may have: its fair share, less while it warms up."""
        known = self._ready[endpoint]
        limit = self._fair_load * max(known.listed_weight, MIN_ENDPOINT_WEIGHT)
        if is_warming_up(self._state, known):
            limit *= min(safe_load_fraction(self._state, known), 1.0)
        return max(limit, MIN_LOAD_LIMIT)

    def utilization(self, endpoint: str, added_load: float = 0.0) -> float:
        """Return the load of an endpoint as a multiple of its limit."""
        return (self._loads[endpoint] + added_load) / self.load_limit(endpoint)

    def best_endpoint(self, key_range: KeyRange) -> str | None:
        """Return the endpoint that should take a key range as well, None if it has to wait."""
        added = self.load_of_range[key_range.number]
        best = min(
            self._ready,
            key=lambda name: (self._suitability(key_range, name), self.utilization(name, added), name),
            default=None,
        )
        if best is None or not self._must_fit:
            return best
        return best if self.utilization(best, added) <= MAX_ADDED_UTILIZATION else None

    def has_room_for(self, key_range: KeyRange) -> bool:
        """Return whether the best endpoint can take a key range within its limit."""
        target = self.best_endpoint(key_range)
        if target is None:
            return False
        if self._suitability(key_range, target) is not Suitability.SUITABLE:
            return False
        return self.utilization(target, self.load_of_range[key_range.number]) <= 1

    def has_endpoint_for(self, key_range: KeyRange) -> bool:
        """Return whether any endpoint may take a key range now."""
        return bool(self._ready) and (not self._must_fit or self.best_endpoint(key_range) is not None)

    def is_ready(self, endpoint: str) -> bool:
        """Return whether an endpoint may receive requests."""
        return endpoint in self._ready

    def excess_of_warming_endpoints(self, key_ranges: Iterable[KeyRange]) -> set[tuple[int, str]]:
        """Return which key ranges, by number, warming endpoints have to give up to others.

        If there is no warm endpoint they share the load evenly, and the admission rate limits it. Without it,
        key ranges that do not fit stay without an endpoint.
        """
        warming = self._warming_endpoints()
        fair_utilization = 1.0
        if self._is_limited_by_share and warming and len(warming) == len(self._ready):
            fair_utilization = max(self._mean_utilization(), 1.0)
        excess = set()
        for name in warming:
            if self.utilization(name) > MAX_WARMING_UTILIZATION * fair_utilization:
                served = [key_range for key_range in key_ranges if name in key_range.entries]
                max_load = fair_utilization * self.load_limit(name)
                excess |= {(key_range.number, name) for key_range in self._excess(name, served, max_load)}
        return excess

    def admission_rate(self) -> float:
        """Return the share of requests to admit: less than 1 if only warming endpoints are ready."""
        if self._has_warm_endpoint:
            return 1.0
        highest = max(self.utilization(name) for name in self._ready)
        return min(max(round(1 / max(highest, 1.0), SHARE_DIGITS), MIN_SHARE), 1.0)

    @property
    def _must_fit(self) -> bool:
        """Whether only tables protect the endpoints: all are warming up, and no share limits admission."""
        return not self._has_warm_endpoint and not self._is_limited_by_share

    def _warming_endpoints(self) -> list[str]:
        return [name for name, endpoint in self._ready.items() if is_warming_up(self._state, endpoint)]

    def _mean_utilization(self) -> float:
        return sum(self._loads.values()) / sum(self.load_limit(name) for name in self._ready)

    def _excess(self, endpoint: str, served: list[KeyRange], max_load: float) -> Iterator[KeyRange]:
        """Yield the key ranges beyond a load of an endpoint, those with the highest load first."""
        load = self._loads[endpoint]
        for key_range in sorted(served, key=lambda each: -self.load_of_range[each.number]):
            if load <= max_load:
                return
            load -= self._load_at(endpoint, key_range)
            yield key_range

    def _suitability(self, key_range: KeyRange, name: str) -> Suitability:
        added = self.load_of_range[key_range.number]
        if is_warming_up(self._state, self._ready[name]) and self.utilization(name, added) > 1:
            return Suitability.WARMING_UP
        if self._state.settings.single_owner and name in key_range.former_owners:
            return Suitability.FORMER_OWNER
        return Suitability.SUITABLE

    def _add(self, key_range: KeyRange, sign: int) -> None:
        for name in key_range.entries:
            if name in self._loads:
                self._loads[name] += sign * self._load_at(name, key_range)

    def _load_at(self, endpoint: str, key_range: KeyRange) -> float:
        """Return the load that a key range brings to one of its endpoints."""
        total_weight = max(sum(key_range.entries.values()), MIN_ENDPOINT_WEIGHT)
        return self.load_of_range[key_range.number] * key_range.entries[endpoint] / total_weight


def _relative_loads(key_ranges: list[KeyRange]) -> dict[int, float]:
    """Return the load of each key range; one without reports counts as the mean of the others."""
    rates = {key_range.number: key_range.request_rate for key_range in key_ranges}
    known = [rate for rate in rates.values() if rate is not None]
    mean = sum(known) / len(known) if known else 0.0
    return {number: rate / mean if rate is not None and mean else 1.0 for number, rate in rates.items()}
