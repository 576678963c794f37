"""Slow start: the sum of all tables must not send a warming-up endpoint more than its current limit.

The endpoint's share is lowered in every table that also has a warm endpoint. Until proxies acknowledge a new
table, they may still send by earlier ones; the larger of the old and new share counts for them. Tables with
only warming-up endpoints keep their weights; their admission rate is lowered instead.
"""

from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from swiftchute.safety.proposal import Rule
from swiftchute.safety.review import ROUNDING_TOLERANCE, Review

BISECTION_STEPS = 30  # to find the factor by which a share must be reduced


class _Reduction(NamedTuple):
    """Factor by which an endpoint's share of its tables, or else its weight, must be reduced."""

    factor: float
    of_weight: bool = False

    @property
    def is_effective(self) -> bool:
        return self.factor < 1


class _Load(NamedTuple):
    """Load of an endpoint, its limit, and the reduction that keeps it within the limit."""

    value: float
    limit: float
    reduction: _Reduction

    @property
    def is_over(self) -> bool:
        return self.value > self.limit * ROUNDING_TOLERANCE


NO_REDUCTION = _Reduction(1.0)


class SlowStartRule:
    """Applies the rule to all tables of one validation."""

    def __init__(self, review: Review) -> None:
        """Start with those tables of the verdict that are assigned to a proxy."""
        self._review = review
        self._assigned = [number for number, table in review.proposed.items() if table.proxy_zones]
        # tables with a warm endpoint, which can take over load from the others
        self._adjustable = [number for number in self._assigned if self._has_warm_endpoint(number)]

    def apply(self) -> None:
        """Lower shares of overloaded endpoints, and admission rates of tables without a warm endpoint."""
        warming_up = self._warming_up()
        self._limit_tables_without_warm_endpoint()
        reductions: dict[str, _Reduction] = {}
        reported: set[str] = set()
        # each reduction raises the other endpoints' shares, so further ones may exceed their limit
        for _ in range(len(warming_up) + 1):
            if not self._find_reductions(warming_up, reductions, reported):
                return
            for number in self._adjustable:
                self._reduce(number, reductions)

    def _has_warm_endpoint(self, number: int) -> bool:
        return any(self._review.is_warm(endpoint) for endpoint in self._review.weights(number))

    def _warming_up(self) -> list[str]:
        return sorted(
            {
                endpoint
                for number in self._assigned
                for endpoint in self._review.weights(number)
                if self._review.is_open(endpoint) and not self._review.is_warm(endpoint)
            }
        )

    def _find_reductions(
        self, warming_up: list[str], reductions: dict[str, _Reduction], reported: set[str]
    ) -> bool:
        """Update the reductions of overloaded endpoints; return whether any reduction grew."""
        changed = False
        for endpoint in warming_up:
            tables = self._tables_that_send_to(endpoint)
            load = self._load(tables, endpoint)
            if endpoint in reductions:  # kept at its limit while the others' reductions shift load
                changed |= load.is_over and load.reduction.is_effective
                reductions[endpoint] = load.reduction
                continue
            if not load.is_over or not set(tables) & set(self._adjustable):
                continue
            if endpoint not in reported:
                reported.add(endpoint)
                self._review.report(Rule.SLOW_START, tables[0], [endpoint], load.value, load.limit)
            if self._review.corrects(Rule.SLOW_START):
                reductions[endpoint] = load.reduction
                changed = True
        return changed

    def _tables_that_send_to(self, endpoint: str) -> list[int]:
        """Return the tables from which an endpoint gets requests.

        A table that drops the endpoint counts until all of its proxies have acknowledged that.
        """
        return [
            number
            for number in self._assigned
            if endpoint in self._review.weights(number)
            or any(endpoint in pending.share_by_endpoint for pending in self._review.proposed[number].pending)
        ]

    def _load(self, tables: list[int], endpoint: str) -> _Load:
        limit = self._review.slow_start_limit(endpoint)
        if limit is None or any(self._review.proposed[number].request_rate is None for number in tables):
            return self._load_by_weight(tables, endpoint)
        rate = self._rate(tables, endpoint, 1.0)
        if rate <= limit:
            return _Load(rate, limit, NO_REDUCTION)
        if self._rate(tables, endpoint, 0.0) >= limit:
            return self._load_of_pending(tables, endpoint, rate, limit)
        lowest, highest = 0.0, 1.0  # the rate is piecewise linear and increasing in the factor
        for _ in range(BISECTION_STEPS):
            middle = (lowest + highest) / 2
            if self._rate(tables, endpoint, middle) <= limit:
                lowest = middle
            else:
                highest = middle
        return _Load(rate, limit, _Reduction(lowest))

    def _rate(self, tables: list[int], endpoint: str, factor: float) -> float:
        """Return an endpoint's requests per second if its adjustable shares are scaled by a factor."""
        return sum(
            self._table_rate(
                number,
                endpoint,
                self._share(number, endpoint) * (factor if number in self._adjustable else 1),
            )
            for number in tables
        )

    def _table_rate(self, number: int, endpoint: str, share: float) -> float:
        """Return the rate that a table sends an endpoint at a share until its proxies acknowledge it."""
        table, admitted = self._review.proposed[number], self._review.admitted_fraction(number)
        fraction, remaining = 0.0, 1.0
        for pending in table.pending:
            pending_share = pending.share_by_endpoint.get(endpoint, 0.0)
            fraction += pending.rate_fraction * max(admitted * share, pending_share)
            remaining -= pending.rate_fraction
        return (table.request_rate or 0.0) * (fraction + max(remaining, 0.0) * admitted * share)

    def _settled_rate(self, number: int, share: float) -> float:
        """Return the rate that a table sends an endpoint at a share after all proxies acknowledged it."""
        request_rate = self._review.proposed[number].request_rate or 0.0
        return request_rate * self._review.admitted_fraction(number) * share

    def _share(self, number: int, endpoint: str) -> float:
        weights = self._review.weights(number)
        return weights.get(endpoint, 0.0) / sum(weights.values()) if weights else 0.0

    def _load_of_pending(self, tables: list[int], endpoint: str, rate: float, limit: float) -> _Load:
        """Return the load of an endpoint whose limit is already exceeded by unacknowledged earlier tables.

        No share may grow until they acknowledge. A share is not cut below the last published one just for
        these, as that would not lower the load and would soon be undone.
        """
        shares = {
            number: share
            for number in tables
            if number in self._adjustable and (share := self._share(number, endpoint))
        }
        published_shares = self._published_shares(shares, endpoint)
        fixed_rate = sum(
            self._settled_rate(number, self._share(number, endpoint))
            for number in tables
            if number not in self._adjustable
        )
        adjustable_rate = sum(self._settled_rate(number, share) for number, share in shares.items())
        factors = [published_shares.get(number, 0.0) / share for number, share in shares.items()]
        within_limit = max(limit - fixed_rate, 0.0) / adjustable_rate if adjustable_rate else 1.0
        factor = min([*factors, within_limit])
        if factor * ROUNDING_TOLERANCE < 1:
            return _Load(rate, limit, _Reduction(factor))
        return _Load(limit, limit, NO_REDUCTION)

    def _published_shares(self, tables: Mapping[int, float], endpoint: str) -> dict[int, float]:
        published = self._review.published
        return {
            number: published[number].get(endpoint, 0.0) / sum(published[number].values())
            for number in tables
            if published.get(number)
        }

    def _load_by_weight(self, tables: list[int], endpoint: str) -> _Load:
        """Return the load as the largest relative weight (weight over listed weight) against warm endpoints'.

        Used while request rates or the endpoint's full rate are unknown, as after a start. An endpoint within
        this limit is not overloaded as long as the warm endpoints are not.
        """
        limit = self._review.slow_start_multiple(endpoint)
        statuses = self._review.statuses
        largest = 0.0
        for number in tables:
            weights = self._review.weights(number)
            warm = [
                weight / statuses[other].weight
                for other, weight in weights.items()
                if self._review.is_warm(other)
            ]
            if warm and endpoint in weights:
                relative_weight = weights[endpoint] / statuses[endpoint].weight
                largest = max(largest, relative_weight / (sum(warm) / len(warm)))
        factor = limit / largest if largest else 1.0
        return _Load(largest, limit, _Reduction(factor, of_weight=True))

    def _reduce(self, number: int, reductions: Mapping[str, _Reduction]) -> None:
        """Apply reductions to a table; endpoints without one keep their weights."""
        current = self._review.weights(number)
        total = sum(current.values())
        shares = {
            endpoint: current[endpoint] / total * reduction.factor
            for endpoint, reduction in reductions.items()
            if endpoint in current and not reduction.of_weight
        }
        weights = {
            endpoint: weight * reductions[endpoint].factor
            if endpoint in reductions and reductions[endpoint].of_weight
            else weight
            for endpoint, weight in current.items()
        }
        others = sum(weight for endpoint, weight in weights.items() if endpoint not in shares)
        new_total = others / (1 - sum(shares.values()))
        reduced = {
            endpoint: new_total * shares[endpoint] if endpoint in shares else weight
            for endpoint, weight in weights.items()
        }
        self._review.set_weights(
            number, {endpoint: weight for endpoint, weight in reduced.items() if weight > 0}
        )

    def _limit_tables_without_warm_endpoint(self) -> None:
        """Lower the admission rate of tables without a warm endpoint that exceed a slow-start limit.

        Otherwise the overload would keep these endpoints from ever warming up.
        """
        review = self._review
        tables = [
            number
            for number in self._assigned
            if number not in self._adjustable
            and review.weights(number)
            and review.proposed[number].request_rate is not None
        ]
        rates: dict[str, float] = defaultdict(float)
        for number in tables:
            for endpoint in review.weights(number):
                rates[endpoint] += self._table_rate(number, endpoint, self._share(number, endpoint))
        for number in tables:
            weights = review.weights(number)
            limits = {
                endpoint: limit
                for endpoint in weights
                if review.is_open(endpoint) and (limit := review.slow_start_limit(endpoint))
            }
            overload = max((rates[endpoint] / limit for endpoint, limit in limits.items()), default=0.0)
            if overload <= ROUNDING_TOLERANCE:
                continue
            if review.report(Rule.ONLY_WARMING_UP, number, weights, overload, 1.0):
                review.set_admission_rate(number, review.admitted_fraction(number) / overload)
