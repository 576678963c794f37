"""Closed endpoint: no table may hold a draining or removed endpoint. A drain is never delayed."""

from swiftchute.safety.proposal import Rule
from swiftchute.safety.review import Review


def remove_closed_endpoints(review: Review, number: int, weights: dict[str, float]) -> dict[str, float]:
    """Remove the closed endpoints from a table."""
    closed = [
        endpoint for endpoint in weights if not review.is_open(endpoint) and review.must_be_removed(endpoint)
    ]
    if not closed or not review.report(Rule.CLOSED_ENDPOINT, number, closed, len(closed), 0):
        return weights
    return {endpoint: weight for endpoint, weight in weights.items() if endpoint not in closed}
