"""Validates the reports of proxies and collectors and converts them to policy events. No I/O."""

import math

from swiftchute.api.events import DemandReport, EndpointLoadReport, LoadFigures
from swiftchute.api.settings import Settings
from swiftchute.platform.errors import MalformedMessageError
from swiftchute.platform.wire_messages import LOAD_FIGURES, EndpointOutcomes, ProxyDemand

NS_PER_MS, NS_PER_S = 1_000_000, 1_000_000_000
MAX_WINDOW_NS = 600 * NS_PER_S  # a report with a longer window is malformed
MIN_MAX_LATENCY_NS = 10 * NS_PER_S  # a mean latency up to this is accepted, however short the timeouts are


class ReportValidator:
    """Validates reports against the settings."""

    def __init__(self, settings: Settings) -> None:
        """Accept zones and operations of the settings, and mean latencies up to twice the longest timeout."""
        self._operations = {operation.name for operation in settings.operations}
        self._zones = set(settings.zones)
        longest_timeout_ns = max(operation.timeout_ns for operation in settings.operations)
        self._max_latency_ns = max(2 * longest_timeout_ns, MIN_MAX_LATENCY_NS)

    def check_zone(self, zone: str) -> None:
        """Raise `MalformedMessageError` if the zone is not in the settings."""
        if zone not in self._zones:
            raise MalformedMessageError(f"zone {zone!r} is not known")

    def endpoint_report(self, message: EndpointOutcomes) -> EndpointLoadReport:
        """Convert a report on an endpoint to an event; raises `MalformedMessageError`."""
        successes = message.attempts - message.failures
        mean_ms = message.mean_latency_ms
        if successes and mean_ms is None or mean_ms is not None and not self._is_plausible_mean(mean_ms):
            raise MalformedMessageError(f"outcomes: mean_ms {mean_ms} is missing or out of range")
        window_ns = _window_ns(message)
        if successes < 0:
            raise MalformedMessageError(
                f"outcomes: failed {message.failures} is more than tries {message.attempts}"
            )
        return EndpointLoadReport(
            message.zone,
            message.endpoint,
            message.attempts,
            message.failures,
            int(mean_ms * NS_PER_MS) if successes and mean_ms is not None else 0,
            window_ns,
            _load_figures(message.load),
        )

    def demand_report(self, message: ProxyDemand) -> DemandReport:
        """Convert a report on a proxy's demand to an event; raises `MalformedMessageError`."""
        if message.operation not in self._operations:
            raise MalformedMessageError(f"demand: unknown class {message.operation!r}")
        window_ns = _window_ns(message)
        return DemandReport(message.proxy, message.operation, message.requests, message.failures, window_ns)

    def _is_plausible_mean(self, mean_ms: float) -> bool:
        return 0 <= mean_ms * NS_PER_MS <= self._max_latency_ns


def _window_ns(message: EndpointOutcomes | ProxyDemand) -> int:
    window_ns = message.window_ms * NS_PER_MS
    if not 0 < window_ns <= MAX_WINDOW_NS:
        raise MalformedMessageError(
            f"span_ms {message.window_ms:g} is not above 0 and at most {MAX_WINDOW_NS // NS_PER_MS}"
        )
    return int(window_ns)


def _load_figures(load: dict[str, float] | None) -> LoadFigures | None:
    if load is None:
        return None
    if not all(math.isfinite(value) and value >= 0 for value in load.values()):
        raise MalformedMessageError("outcomes: a value in load is negative or not finite")
    return {LOAD_FIGURES.get(name, name): value for name, value in load.items()} or None


def acknowledgement_latency_ns(latency_ms: float) -> int:
    """Convert an acknowledgement latency to nanoseconds; raises `MalformedMessageError`."""
    if latency_ms * NS_PER_MS > MAX_WINDOW_NS:
        raise MalformedMessageError(f"ack: took_ms {latency_ms:g} is more than {MAX_WINDOW_NS // NS_PER_MS}")
    return int(latency_ms * NS_PER_MS)
