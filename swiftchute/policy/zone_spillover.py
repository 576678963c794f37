"""Cross-zone spillover: how many of its requests a loaded zone sends to endpoints of other zones."""

from swiftchute.policy.conditions import report_condition
from swiftchute.policy.load_stats import NORMAL_LOAD_RATIO, is_suspended, zone_load_ratio
from swiftchute.policy.model import ZonePair, ZonePairKey
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_S

START_LOAD_RATIO = 0.12  # cost per success / objective where spillover starts if crossing zones is free
START_LOAD_RATIO_PER_PRICE = 0.6  # added to the above for a cross-zone price of 1
FULL_LOAD_RATIO_RANGE = 0.28  # distance from the start of spillover to full spillover
SPILLOVER_EXPONENT = 1.5  # > 1: little spillover at first, so that under normal load requests stay local
RISE_STEP = 0.6  # fraction of the distance to a higher target, or to 0 if suspended, per evaluation
FALL_STEP = 0.05  # the same for any other lower target: causes of load tend to persist
MIN_SPILLOVER_FRACTION = 0.05  # smaller fractions are not worth the table entries
SATURATED_FRACTION = 0.8  # above it other zones count as having no spare capacity
MAX_REMOTE_LOAD_MULTIPLE = 1.8  # remote load ratio / zone's load ratio above which a pair is unhealthy
SUSPENSION_NS = 12 * NS_PER_S  # how long an unhealthy pair carries no spillover
LOAD_QUANTILE = 0.5  # the median endpoint, weighted by attempts, represents the zone
PAIR_QUANTILE = 0.25  # a bad network makes even the better endpoints behind it look bad


def evaluate_spillover(state: PolicyState) -> None:
    """Update the load ratio of each zone, and the spillover from it to each other zone."""
    for zone in state.settings.zones:
        # the zone itself is among them
        endpoint_zones = [other for other in state.settings.zones if not is_suspended(state, zone, other)]
        load_ratio = zone_load_ratio(state, zone, endpoint_zones, LOAD_QUANTILE)
        state.load_ratios[zone] = load_ratio
        if load_ratio is None:  # too few attempts: spillover stays as it is
            continue
        for key, pair in state.zone_pairs.items():
            if key[0] == zone:
                _evaluate_pair(state, key, pair, load_ratio)


def is_saturated(state: PolicyState, zone: str) -> bool:
    """Return whether spillover from a zone to each other zone is near its maximum or suspended."""
    return all(
        pair.spillover_fraction > SATURATED_FRACTION or pair.suspended_until_ns > state.now_ns
        for (proxy_zone, _), pair in state.zone_pairs.items()
        if proxy_zone == zone
    )


def _evaluate_pair(state: PolicyState, key: ZonePairKey, pair: ZonePair, load_ratio: float) -> None:
    """Suspend a pair whose remote load ratio is far too high, and move its fraction towards the target."""
    proxy_zone, endpoint_zone = key
    remote_ratio = zone_load_ratio(state, proxy_zone, (endpoint_zone,), PAIR_QUANTILE)
    unhealthy_ratio = MAX_REMOTE_LOAD_MULTIPLE * max(load_ratio, NORMAL_LOAD_RATIO)
    if remote_ratio is not None and remote_ratio > unhealthy_ratio:
        pair.suspended_until_ns = state.now_ns + SUSPENSION_NS
    suspended = is_suspended(state, proxy_zone, endpoint_zone)
    target = 0.0 if suspended else _target_fraction(load_ratio, state.settings.cross_zone_price)
    step = RISE_STEP if suspended or target > pair.spillover_fraction else FALL_STEP
    pair.spillover_fraction += step * (target - pair.spillover_fraction)
    name = f"{proxy_zone} from {endpoint_zone}"
    cause = f"time {load_ratio:.2f} of the objective, {remote_ratio or 0:.2f} there"
    report_condition(state, f"borrowing {name}", pair.spillover_fraction > SATURATED_FRACTION, cause)
    report_condition(state, f"no borrowing {name}", suspended, cause)


def _target_fraction(load_ratio: float, cross_zone_price: float) -> float:
    """Return the spillover fraction for a load ratio, given the price of a request that crosses zones."""
    excess = load_ratio - START_LOAD_RATIO - START_LOAD_RATIO_PER_PRICE * cross_zone_price
    fraction: float = min(max(excess / FULL_LOAD_RATIO_RANGE, 0.0), 1.0) ** SPILLOVER_EXPONENT
    return fraction
