"""Whether an arriving request is admitted: the proxy's own limit, and the admission rate of its table."""

import random

import xxhash

from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.settings import NS_PER_S, AdmissionDraw

REJECTION_WINDOW_NS = 2 * NS_PER_S  # a caller draws the same within it, where draws are per caller
HASH_RANGE = 2**64


class AdmissionControl:
    """Decides on arriving requests."""

    def __init__(self, max_in_flight: int, draw: AdmissionDraw, chance: random.Random) -> None:
        """`max_in_flight` requests in the whole proxy; `chance` is the source of independent draws."""
        self.max_in_flight = max_in_flight
        self.draw = draw
        self._random = chance

    def has_capacity(self, in_flight: int) -> bool:
        """Whether one more request may be in flight beside so many."""
        return in_flight < self.max_in_flight

    def admits(self, table: EndpointTable, operation: str, caller: str, now_ns: int) -> bool:
        """Whether the table's admission rate lets a request of this caller in."""
        if table.admission_rate >= 1:
            return True
        return self._draw(operation, caller, now_ns) < table.admission_rate

    def _draw(self, operation: str, caller: str, now_ns: int) -> float:
        """0 to 1: random, or equal for the requests of one caller within a window."""
        if self.draw == AdmissionDraw.PER_REQUEST:
            return self._random.random()
        window = now_ns // REJECTION_WINDOW_NS
        return xxhash.xxh3_64_intdigest(f"{caller}\0{operation}\0{window}".encode()) / HASH_RANGE
