"""Empty table, no warm endpoint: a table needs an endpoint, and a warm one if any is available."""

from swiftchute.safety.proposal import Rule
from swiftchute.safety.review import Review


def fill_empty_table(
    review: Review, number: int, weights: dict[str, float], proposed_weights: dict[str, float]
) -> dict[str, float]:
    """Fill a table that has no endpoint left.

    It gets the last published weights of the endpoints that it may use, or else all of these endpoints. If
    it may use none, no table is safe; the proposed one is kept, as an empty one would be no better.

    Args:
        review: The validation.
        number: Number of the table.
        weights: Weights left by the rules that were applied before.
        proposed_weights: The proposed weights, without bad ones.
    """
    if weights:
        return weights
    usable = review.usable_endpoints(review.proposed[number])
    if not usable:
        review.report(Rule.NO_OPEN_ENDPOINT, number, [], 0, 1)
        return proposed_weights
    if not review.report(Rule.EMPTY_TABLE, number, proposed_weights, 0, 1):
        return weights
    published = review.published.get(number, {})
    filled = {endpoint: weight for endpoint, weight in published.items() if endpoint in usable}
    return filled or {endpoint: review.statuses[endpoint].weight for endpoint in usable}


def add_warm_endpoints(review: Review, number: int, weights: dict[str, float]) -> dict[str, float]:
    """Add all usable warm endpoints to a table that has none."""
    if not weights:
        return weights
    usable = review.usable_endpoints(review.proposed[number])
    warm = [endpoint for endpoint in usable if review.is_warm(endpoint)]
    if not warm or any(review.is_warm(endpoint) for endpoint in weights):
        return weights
    if not review.report(Rule.NO_WARM_ENDPOINT, number, weights, 0, 1):
        return weights
    return weights | {endpoint: review.statuses[endpoint].weight for endpoint in warm}
