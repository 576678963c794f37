"""The worst endpoint list that could be true while the known one is stale. Pure functions.

Up to a number of listed endpoints may have restarted (and warm up now) or have been removed since. A removed
endpoint gets nothing, so its share goes to the others; one that restarted gets its share with the capacity of
a start.

The worst list takes about n log n: whichever endpoint is taken for restarted, the removed ones that harm it
most are those of the greatest weight among the others, and more restarted endpoints harm none; so one pass by
weight tries every endpoint.
"""

from collections.abc import Mapping
from typing import NamedTuple


class Overload(NamedTuple):
    """The greatest overload that an endpoint could get.

    Attributes:
        ratio: Its load over its limit.
        endpoint: The endpoint; it has just restarted.
        removed: The endpoints that would have to be removed.
    """

    ratio: float
    endpoint: str
    removed: tuple[str, ...]


NO_OVERLOAD = Overload(0.0, "", ())


def worst_case_overload(
    weights: Mapping[str, float], rate: float, limits: Mapping[str, float], max_different: int
) -> Overload:
    """Return the greatest overload that an endpoint which just restarted could get.

    Args:
        weights: Weight by endpoint.
        rate: Requests per second that the table is sent.
        limits: Requests per second that each endpoint may be sent if it has just restarted.
        max_different: How many endpoints may differ from the list.

    Returns:
        The overload; `NO_OVERLOAD` if no endpoint may differ, or nothing is sent.
    """
    by_weight = sorted(weights, key=lambda endpoint: (-weights[endpoint], endpoint))
    total = sum(weights.values())
    if max_different < 1 or not by_weight or rate <= 0 or total <= 0:
        return NO_OVERLOAD
    # All of the heaviest but the one that restarted are removed; if it is not one of them, all but the
    # lightest of them.
    heaviest = by_weight[:max_different]
    heaviest_weight = sum(weights[endpoint] for endpoint in heaviest)
    worst = NO_OVERLOAD
    for place, endpoint in enumerate(by_weight):
        spared = endpoint if place < max_different else heaviest[-1]
        remaining = total - (heaviest_weight - weights[spared])
        load = rate * weights[endpoint] / max(remaining, weights[endpoint])
        ratio = load / limits[endpoint] if limits[endpoint] > 0 else float("inf")
        if ratio > worst.ratio:
            removed = tuple(other for other in heaviest if other not in (spared, endpoint))
            worst = Overload(ratio, endpoint, removed)
    return worst
