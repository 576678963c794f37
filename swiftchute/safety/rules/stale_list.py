"""Stale list: reports a change that is safe only if the endpoint list is up to date.

The change is not corrected: at ordinary load most tables are unsafe under the worst-case list, and holding a
change back would leave an equally unsafe table in force.
"""

import math
from collections.abc import Mapping

from swiftchute.safety.proposal import Outcome, Rule, Violation
from swiftchute.safety.review import Review
from swiftchute.safety.stale_list import Overload, worst_case_overload

MAX_OVERLOAD = 1.0  # ratio of load to limit of an endpoint that just restarted
MIN_INCREASE = 1.05  # factor by which a change must increase the overload to be reported


def report_stale_list_risk(review: Review, number: int) -> None:
    """Report a change under which a table becomes less safe, and unsafe, in the worst-case list."""
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
    """Return the worst-case overload by these weights, over endpoints whose peak rate is known."""
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
