"""How long an answer may be kept: its time to live is this front's lateness. No I/O, no clock.

    lease = Lease(grace, bare_limit, most=30, queries=1000.0)
    lease.changed(now); ttl = lease.ttl(rate, now)        # whole seconds
    lease.bound                                            # the most it may ever be

A resolver goes by what it holds until its time is over, and nothing can call it back. So no answer lives
longer than a drain allows, less a reserve for the news to become an answer, and no longer than a proxy may
be without a server (all of its servers may die). Within that bound answers live the shorter the more often
tables change, as the holders of old ones are what the guard must add to each change; a query load over what
is asked for makes them live as long as they may.
"""

from collections import deque

S = 1_000_000_000
RESERVE, RESERVE_LEAST = 0.25, S // 2  # of the grace, kept for the list's news to become an answer
SPAN = 30 * S  # changes of the last so long count
HALF = 2  # an answer lives for half of the mean time between changes: most holders then hold the newest
CHANGES_MOST = 1024


class Lease:
    """The decision for one origin; all of its zones share it, as a resolver may hold any."""

    def __init__(self, grace: int, bare_limit: int, most: int, queries: float) -> None:
        """`grace` and `bare_limit` in ns, `most` in whole seconds; `queries` a second are meant to be
        answered."""
        reserve = max(int(grace * RESERVE), RESERVE_LEAST)
        self.bound = max(min(most, (grace - reserve) // S, (bare_limit - RESERVE_LEAST) // S), 0)
        self.queries, self.changes = queries, deque(maxlen=CHANGES_MOST)

    def changed(self, now: int) -> None:
        """An answer changed."""
        self.changes.append(now)

    def ttl(self, rate: float, now: int) -> int:
        """Whole seconds for answers given from now on; `rate`: queries a second of late.

        0 only where the bound is 0: an answer nobody may keep brings every call of every client here.
        """
        while self.changes and now - self.changes[0] > SPAN:
            self.changes.popleft()
        if self.bound <= 1 or rate > self.queries or not self.changes:
            return self.bound
        return max(min(SPAN // (HALF * len(self.changes) * S), self.bound), 1)
