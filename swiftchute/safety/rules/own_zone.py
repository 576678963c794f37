"""Own zone: the table of a zone-local operation holds only endpoints of its own zone."""

from swiftchute.safety.proposal import Rule
from swiftchute.safety.review import Review


def remove_remote_endpoints(review: Review, number: int, weights: dict[str, float]) -> dict[str, float]:
    """Remove the endpoints of other zones from a zone-local table."""
    table = review.proposed[number]
    if not table.zone_local or not table.proxy_zones:
        return weights
    remote = [
        endpoint
        for endpoint in weights
        if endpoint in review.statuses and review.statuses[endpoint].zone not in table.proxy_zones
    ]
    if not remote or not review.report(Rule.OWN_ZONE, number, remote, len(remote), 0):
        return weights
    return {endpoint: weight for endpoint, weight in weights.items() if endpoint not in remote}
