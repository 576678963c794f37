"""Servers that a proxy keeps away from after a run of its own failures. No I/O, no clock.

    avoided = Avoided(after=5, span=3 * S, seed=7)
    avoided.picked(server, now); avoided.ended(server, good, now); avoided.released(server)
    avoided.now(now)                                         # those to keep away from

The span is cut by chance and doubles with each run that follows at once on the last, up to a bound. When its
time is over one invocation is let through at a time, until one is answered well: a server that still hangs
would else take a proxy's every share of it for another run. Who is left to pick from is not decided here: if
all are avoided the caller takes them all.
"""

import random
from dataclasses import dataclass

S = 1_000_000_000
DOUBLE = 3  # doublings of the span at most
SERVERS_MOST = 100_000


@dataclass
class _Run:
    failures: int = 0
    runs: int = 0
    until: int = 0
    trial: bool = False  # its span is over, and one invocation is to show how it does
    out: bool = False  # that one is under way


class Avoided:
    """State by server."""

    def __init__(self, after: int, span: int, seed: int) -> None:
        """`after` failures in a row (0: never), for `span` ns."""
        self.after, self.span, self.random = after, span, random.Random(seed)
        self.by: dict[str, _Run] = {}
        self.runs = 0

    def ended(self, server: str, good: bool, now: int) -> None:
        """A try there ended."""
        run = self.by.get(server)
        if good:
            if run is not None:
                del self.by[server]
            return
        if not self.after:
            return
        if run is None:
            if len(self.by) >= SERVERS_MOST:
                return  # bounded: the tables name no more, so these are servers of long ago
            run = self.by[server] = _Run()
        if run.until > now:
            return  # what was under way when it was shut out says nothing new
        run.failures += 1
        if run.failures >= self.after or run.trial:
            span = self.span << min(run.runs, DOUBLE)
            run.until = now + int(span * self.random.uniform(0.75, 1.25))
            run.failures, run.runs, run.trial, run.out = 0, run.runs + 1, True, False
            self.runs += 1

    def now(self, now: int) -> set[str]:
        """Those to keep away from."""
        if not self.by:
            return set()
        return {server for server, run in self.by.items() if run.until > now or (run.trial and run.out)}

    def picked(self, server: str, now: int) -> None:
        """An invocation goes there; if it is on trial, others wait for how that one ends."""
        run = self.by.get(server)
        if run is not None and run.trial and run.until <= now:
            run.out = True

    def released(self, server: str) -> None:
        """A try there ended without saying anything of the server: its caller went away."""
        run = self.by.get(server)
        if run is not None:
            run.out = False

    def forget(self, kept: set[str]) -> None:
        """Tables name these servers alone now."""
        for server in [s for s in self.by if s not in kept]:
            del self.by[server]
