"""Maximum share: an endpoint may get at most a configured share of a table that has others."""

from swiftchute.safety.proposal import Rule
from swiftchute.safety.review import ROUNDING_TOLERANCE, Review


def limit_shares(review: Review, number: int, weights: dict[str, float]) -> dict[str, float]:
    """Lower the weights of endpoints above the maximum share, if there are enough endpoints to keep it."""
    max_share, total = review.rules.max_endpoint_share, sum(weights.values())
    over = [
        endpoint
        for endpoint, weight in weights.items()
        if len(weights) > 1 / max_share and weight > max_share * total * ROUNDING_TOLERANCE
    ]
    if not over or not review.report(Rule.MAX_SHARE, number, over, weights[over[0]] / total, max_share):
        return weights
    corrected = dict(weights)
    for endpoint in over:
        others = total - weights[endpoint]
        corrected[endpoint] = others * max_share / (1 - max_share)
    return corrected
