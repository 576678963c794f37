"""Admission control: the proxy's in-flight limit, and the admission rate of the request's table."""

import random

import xxhash

from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.settings import NS_PER_S, AdmissionDraw

REJECTION_WINDOW_NS = 2 * NS_PER_S  # with per-caller draws, a caller's draw is constant for this long
HASH_RANGE = 2**64


class AdmissionControl:
    """Decides whether arriving requests are admitted."""

    def __init__(self, max_in_flight: int, draw: AdmissionDraw, rng: random.Random) -> None:
        """`max_in_flight` is the limit of the whole proxy; `rng` is the source of per-request draws."""
        self.max_in_flight = max_in_flight
        self.draw = draw
        self._random = rng

    def has_capacity(self, in_flight: int) -> bool:
        """Whether another request may start while `in_flight` requests are in flight."""
        return in_flight < self.max_in_flight

    def admits(self, table: EndpointTable, operation: str, caller: str, now_ns: int) -> bool:
        """Whether a request of this caller is admitted at the table's admission rate."""
        if table.admission_rate >= 1:
            return True
        return self._draw(operation, caller, now_ns) < table.admission_rate

    def _draw(self, operation: str, caller: str, now_ns: int) -> float:
        """Draw from 0 to 1: random, or constant per caller and operation within a window."""
        if self.draw == AdmissionDraw.PER_REQUEST:
            return self._random.random()
        window = now_ns // REJECTION_WINDOW_NS
        return xxhash.xxh3_64_intdigest(f"{caller}\0{operation}\0{window}".encode()) / HASH_RANGE
