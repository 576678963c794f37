"""Whether an invocation is tried again: only when that cannot make it take effect twice, and not without end.

    budget = Budget(part=0.2, least=3.0)
    budget.came(now)
    again(end, table, repeats, attempt, now, until, budget)

What proves that a try never ran, by protocol:

- any: no connection was made, or nothing of the try was ever written to one. A connection that broke after
  any of it was written proves nothing, nor does a time-out.
- HTTP/2: RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7); GOAWAY whose last stream is an earlier one (6.8).
  RST_STREAM with any other code proves nothing, nor does a GOAWAY that names the stream or a later one.
- HTTP/1.1: nothing of its own. A server may close after it ran (RFC 9112, 9.3.1), on a connection that was
  used before too; 503, 429 and 408 come after work as well as before it.
- gRPC: as HTTP/2. No status in trailers does, not UNAVAILABLE either: servers send it after they ran.

A table's order may ask for more tries than proof allows, and then it is heeded for what may run again alone.
"""

from dataclasses import dataclass

from swiftchute.proxy.xds_client import Table

S = 1_000_000_000
BURST = 10  # seconds of invocations that a budget remembers


@dataclass(frozen=True)
class End:
    """How a try ended: "answered", "errored" (an answer that says so), "refused" (by the server, before it
    ran), "unreachable", "broken", "late", "withdrawn" (its server was, before it was written); `ran`: it may
    have run."""

    kind: str
    ran: bool

    @property
    def good(self) -> bool:
        """Whether it was answered well."""
        return self.kind == "answered"


ANSWERED, ERRORED = End("answered", True), End("errored", True)
REFUSED, UNREACHABLE, WITHDRAWN = End("refused", False), End("unreachable", False), End("withdrawn", False)
BROKEN, LATE, UNSENT = End("broken", True), End("late", True), End("broken", False)


class Budget:
    """Further tries as a part of invocations, with a few a second whatever comes: a bucket."""

    def __init__(self, part: float, least: float) -> None:
        """`part` of the invocations, and `least` a second beside them."""
        self.part, self.least = part, least
        self.room, self.most, self.at = least * BURST, least * BURST, 0
        self.spent = self.denied = 0

    def came(self, now: int) -> None:
        """An invocation came."""
        self._fill(now)
        self.room = min(self.room + self.part, self.most)

    def _fill(self, now: int) -> None:
        if self.at:
            self.room = min(self.room + self.least * (now - self.at) / S, self.most)
        self.at = now

    def spend(self, now: int) -> bool:
        """Whether one more try may go out."""
        self._fill(now)
        if self.room < 1 - 1e-9:  # parts add up a little short of a whole
            self.denied += 1
            return False
        self.room -= 1
        self.spent += 1
        return True


def again(end: End, table: Table, repeats: str, attempt: int, now: int, until: int, budget: Budget) -> bool:
    """Whether to try elsewhere after the try number `attempt` (from 0) ended so.

    `repeats`: "idempotent", "fingerprinted" or "side-effecting", as the settings say of the operation: what a
    table orders cannot make it run twice where that is not allowed. A withdrawn server's try that was never
    written goes elsewhere without counting: that is no failure.
    """
    if end.good or now >= until:
        return False
    if end is WITHDRAWN:
        return True
    if attempt >= table.tries:
        return False
    if end.ran and (table.sure or repeats != "idempotent"):
        return False
    return budget.spend(now)
