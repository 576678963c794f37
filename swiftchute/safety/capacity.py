"""Capacity of endpoints: how much of it one that warms up has, and how many requests it may be sent."""

from swiftchute.api.settings import Settings
from swiftchute.safety.proposal import EndpointStatus, Observations, SafetyRules


def capacity_fraction(status: EndpointStatus, settings: Settings, now_ns: int) -> float:
    """Return the part of its full capacity that an endpoint has at least.

    It grows evenly from the fraction at a start to 1, within the longest time of a slow start.
    """
    if not status.started_ns:
        return 1.0
    at_start = settings.start_capacity_fraction
    progress = (now_ns - status.started_ns) / settings.max_warmup_ns
    return min(at_start + (1 - at_start) * max(progress, 0.0), 1.0)


def slow_start_multiple(status: EndpointStatus, settings: Settings, rules: SafetyRules, now_ns: int) -> float:
    """Return how many times its full rate an endpoint may be sent now: the planned part of the limit."""
    return (
        rules.slow_start_fraction * settings.overload_multiple * capacity_fraction(status, settings, now_ns)
    )


def full_rate(status: EndpointStatus, observations: Observations) -> float | None:
    """Return the successful requests per second that this controller may count on from a warm endpoint.

    What its own proxies got in that zone is its own by use; where they sent little, it has as much of the
    kind's full rate as it has of all proxies.

    Returns:
        The rate; None if the rate of the endpoint's kind is unknown.
    """
    peak_rate = observations.peak_rate_by_kind.get(status.kind)
    if peak_rate is None:
        return None
    own_rate = observations.peak_rate_by_zone_and_kind.get((status.zone, status.kind), 0.0)
    return max(own_rate, peak_rate * observations.proxy_fraction) * status.weight
