"""Stale list: a change that is safe only if the endpoint list is up to date is reported.

It is not corrected: at ordinary load most tables are unsafe under the worst list, and holding a change back
would leave a table in force that is as bad.
"""

import math
from collections.abc import Mapping

from swiftchute.safety.proposal import Outcome, Rule, Violation
from swiftchute.safety.review import Review
from swiftchute.safety.stale_list import Overload, worst_case_overload

MAX_OVERLOAD = 1.0  # load over limit of an endpoint that just restarted
MIN_INCREASE = 1.05  # of the overload by a change, below which it is not reported


def report_stale_list_risk(review: Review, number: int) -> None:
    """Report a change that makes a table less safe, and unsafe, under the lists that could be true."""
    table = review.proposed[number]
    published = review.published.get(number, {})
    if not table.proxy_zones or table.request_rate is None:
        return
    rate = table.request_rate * review.admitted_fraction(number)
    after = _overload(review, review.weights(number), rate)
    before = _overload(review, published, rate)
    if after.ratio > MAX_OVERLOAD and after.ratio > before.ratio * MIN_INCREASE and published:
        review.verdict.violations.append(
            Violation(Rule.STALE_LIST, number, (after.endpoint,), after.ratio, MAX_OVERLOAD, Outcome.WARNED)
        )


def _overload(review: Review, weights: Mapping[str, float], rate: float) -> Overload:
    """Return the worst overload of an endpoint by these weights, of endpoints whose rate is known."""
    settings = review.settings
    known = {
        endpoint: weight
        for endpoint, weight in weights.items()
        if endpoint in review.statuses
        and review.statuses[endpoint].kind in review.observations.peak_rate_by_kind
    }
    multiple_at_start = settings.overload_multiple * settings.start_capacity_fraction
    limits = {endpoint: multiple_at_start * (review.full_rate(endpoint) or 0.0) for endpoint in known}
    max_different = math.floor(review.rules.stale_fraction * len(known))
    return worst_case_overload(known, rate, limits, max_different)
