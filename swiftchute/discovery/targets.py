"""Converts a target of an endpoint list and its labels to an endpoint record."""

import ipaddress
import math
from collections.abc import Mapping

from swiftchute.api.endpoints import EndpointRecord, EndpointState
from swiftchute.discovery.errors import InvalidEndpointError

NS_PER_S = 1_000_000_000
MAX_NUMBER = 1e12  # exclusive upper bound of numeric labels
MAX_SHOWN_CHARS = 64  # of a value quoted in a message
LISTED_STATES = {state.value: state for state in (EndpointState.READY, EndpointState.DRAINING)}


def parse_target(
    target: str, labels: Mapping[str, str], zones: tuple[str, ...], clock_offset_ns: int
) -> EndpointRecord:
    """Read one target.

    Args:
        target: `address:port`.
        labels: Labels of the target's group.
        zones: Names of the zones that endpoints may be in.
        clock_offset_ns: Wall clock minus the control plane's clock.

    Raises:
        InvalidEndpointError: The target or one of its labels is invalid.
    """
    _check_address(target)
    zone, state = labels.get("zone", ""), labels.get("state", EndpointState.READY.value)
    if zone not in zones:
        raise InvalidEndpointError(f"label zone: {zone[:MAX_SHOWN_CHARS]!r} is not one of {', '.join(zones)}")
    if state not in LISTED_STATES:
        raise InvalidEndpointError(f"label state: {state[:MAX_SHOWN_CHARS]!r} is neither ready nor draining")
    weight = _parse_number(labels, "weight", 1.0)
    start_s = _parse_number(labels, "start", 0.0)
    cell = _parse_number(labels, "cell", 0.0)
    if weight == 0:
        raise InvalidEndpointError("label weight: 0 is not allowed; drain the endpoint instead")
    started_ns = int(start_s * NS_PER_S) - clock_offset_ns if start_s else 0
    return EndpointRecord(
        target, zone, labels.get("kind", ""), int(cell), LISTED_STATES[state], weight, started_ns
    )


def _check_address(target: str) -> None:
    host, _, port = target.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise InvalidEndpointError("the target is not an IP address and port") from None
    if not 0 < number < 65_536:
        raise InvalidEndpointError(f"port {number} is not 1 to 65535")


def _parse_number(labels: Mapping[str, str], label: str, default: float) -> float:
    try:
        value = float(labels.get(label, default))
    except ValueError:
        value = math.nan
    if not 0 <= value < MAX_NUMBER:
        raise InvalidEndpointError(
            f"label {label}: {labels[label][:MAX_SHOWN_CHARS]!r} is not a number in [0, {MAX_NUMBER:g})"
        )
    return value
