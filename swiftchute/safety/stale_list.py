"""Worst case over the endpoint lists that may be true while the known list is stale. Pure functions.

Up to `max_different` listed endpoints may have restarted (and warm up now) or been removed since. The share
of a removed endpoint goes to the others; a restarted one keeps its share, but has only the capacity of a new
start.

The search takes O(n log n). For a given restarted endpoint, the worst removals are the heaviest of the
others, and further restarts do not add to its load; so one pass by weight covers every endpoint.
"""

from collections.abc import Mapping
from typing import NamedTuple


class Overload(NamedTuple):
    """The largest possible overload of an endpoint.

    Attributes:
        ratio: Ratio of its load to its limit.
        endpoint: The endpoint, assumed to have just restarted.
        removed: The endpoints assumed to be removed.
    """

    ratio: float
    endpoint: str
    removed: tuple[str, ...]


NO_OVERLOAD = Overload(0.0, "", ())


def worst_case_overload(
    weights: Mapping[str, float], rate: float, limits: Mapping[str, float], max_different: int
) -> Overload:
    """Return the largest possible overload of an endpoint that just restarted.

    Args:
        weights: Weight by endpoint.
        rate: Requests per second that the table distributes.
        limits: Requests per second that each endpoint may be sent if it has just restarted.
        max_different: Number of endpoints that may differ from the list.

    Returns:
        The overload; `NO_OVERLOAD` if no endpoint may differ or there are no requests.
    """
    by_weight = sorted(weights, key=lambda endpoint: (-weights[endpoint], endpoint))
    total = sum(weights.values())
    if max_different < 1 or not by_weight or rate <= 0 or total <= 0:
        return NO_OVERLOAD
    # The heaviest endpoints are removed, except for the restarted one; if that is not among them, except for
    # the lightest of them.
    heaviest = by_weight[:max_different]
    heaviest_weight = sum(weights[endpoint] for endpoint in heaviest)
    worst = NO_OVERLOAD
    for index, endpoint in enumerate(by_weight):
        not_removed = endpoint if index < max_different else heaviest[-1]
        remaining = total - (heaviest_weight - weights[not_removed])
        load = rate * weights[endpoint] / max(remaining, weights[endpoint])
        ratio = load / limits[endpoint] if limits[endpoint] > 0 else float("inf")
        if ratio > worst.ratio:
            removed = tuple(other for other in heaviest if other not in (not_removed, endpoint))
            worst = Overload(ratio, endpoint, removed)
    return worst
