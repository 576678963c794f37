"""Bad weight: every weight must be a finite number above 0."""

import math

from swiftchute.safety.proposal import Rule
from swiftchute.safety.review import Review


def replace_bad_weights(review: Review, number: int, weights: dict[str, float]) -> dict[str, float]:
    """Replace each bad weight by the last published one, or remove the endpoint if there is none."""
    bad = [endpoint for endpoint, weight in weights.items() if not (math.isfinite(weight) and weight > 0)]
    if not bad or not review.report(Rule.BAD_WEIGHT, number, bad, len(bad), 0):
        return weights
    published = review.published.get(number, {})
    corrected = dict(weights)
    for endpoint in bad:
        corrected.pop(endpoint)
        if published.get(endpoint, 0) > 0:
            corrected[endpoint] = published[endpoint]
    return corrected
