"""Capacity of endpoints: how much of it an endpoint has while it warms up, and what rate it may be sent."""

from swiftchute.api.settings import Settings
from swiftchute.safety.proposal import EndpointStatus, Observations, SafetyRules


def capacity_fraction(status: EndpointStatus, settings: Settings, now_ns: int) -> float:
    """Return the fraction of its full capacity that an endpoint has at the least.

    It grows linearly from the fraction right after a start to 1, over the longest duration of a slow start.
    """
    if not status.started_ns:
        return 1.0
    at_start = settings.start_capacity_fraction
    progress = (now_ns - status.started_ns) / settings.max_warmup_ns
    return min(at_start + (1 - at_start) * max(progress, 0.0), 1.0)


def slow_start_multiple(status: EndpointStatus, settings: Settings, rules: SafetyRules, now_ns: int) -> float:
    """Return the multiple of its full rate that tables may plan for an endpoint now."""
    return (
        rules.slow_start_fraction * settings.overload_multiple * capacity_fraction(status, settings, now_ns)
    )


def full_rate(status: EndpointStatus, observations: Observations) -> float | None:
    """Return the successful requests per second that this controller may expect of a warm endpoint.

    The peak rate that its own proxies reached in that zone counts in full. Where they sent little, it gets a
    share of the kind's peak rate that equals its share of all proxies.

    Returns:
        The rate; None if the rate of the endpoint's kind is unknown.
    """
    peak_rate = observations.peak_rate_by_kind.get(status.kind)
    if peak_rate is None:
        return None
    own_rate = observations.peak_rate_by_zone_and_kind.get((status.zone, status.kind), 0.0)
    return max(own_rate, peak_rate * observations.proxy_fraction) * status.weight
