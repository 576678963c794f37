"""How long resolvers may cache an answer. No I/O, no clock.

Example:
    policy = TtlPolicy(drain_grace_ns, max_no_endpoint_ns, max_ttl_s=30, max_queries_per_s=1000.0)
    policy.on_answers_changed(now_ns)
    ttl_s = policy.ttl_s(query_rate_per_s, now_ns)
    policy.limit_s  # the longest time to live that it ever gives

A resolver uses what it has cached until the time to live ends, and nothing can recall it. So no answer lives
longer than a drain allows, less a reserve for an endpoint update to become an answer, and no longer than a
proxy may be without an endpoint (all endpoints that it knows may fail). Within that limit answers live the
shorter the more often tables change, as the safety rules add the holders of old answers to each change. If
there are more queries than the settings ask for, answers live as long as they may.
"""

from collections import deque

NS_PER_S = 1_000_000_000
RESERVE_FRACTION = 0.25  # of the drain grace, for an endpoint update to become an answer
MIN_RESERVE_NS = NS_PER_S // 2
CHANGE_WINDOW_NS = 30 * NS_PER_S
CHANGE_INTERVALS_PER_TTL = 2  # an answer lives for half of the mean interval between changes
MAX_CHANGES_ENTRIES = 1024


class TtlPolicy:
    """The time to live of all answers under one origin; zones share it, as a resolver may cache any of them.

    Attributes:
        limit_s: The longest time to live that it gives.
    """

    def __init__(
        self, drain_grace_ns: int, max_no_endpoint_ns: int, max_ttl_s: int, max_queries_per_s: float
    ) -> None:
        """Create the policy.

        Args:
            drain_grace_ns: How long a draining endpoint still accepts requests.
            max_no_endpoint_ns: How long a proxy may be without a usable endpoint.
            max_ttl_s: The longest time to live that the settings allow.
            max_queries_per_s: Queries beyond which answers live as long as they may.
        """
        reserve_ns = max(int(drain_grace_ns * RESERVE_FRACTION), MIN_RESERVE_NS)
        drain_limit_s = (drain_grace_ns - reserve_ns) // NS_PER_S
        no_endpoint_limit_s = (max_no_endpoint_ns - MIN_RESERVE_NS) // NS_PER_S
        self.limit_s = max(min(max_ttl_s, drain_limit_s, no_endpoint_limit_s), 0)
        self._max_queries_per_s = max_queries_per_s
        self._changed_at_ns: deque[int] = deque(maxlen=MAX_CHANGES_ENTRIES)

    @property
    def recent_changes(self) -> int:
        """How many changes of answers count at present."""
        return len(self._changed_at_ns)

    def on_answers_changed(self, now_ns: int) -> None:
        """Count a change of the answers."""
        self._changed_at_ns.append(now_ns)

    def ttl_s(self, query_rate_per_s: float, now_ns: int) -> int:
        """Return the time to live, in whole seconds, of answers given from now on.

        It is 0 only if `limit_s` is 0, as an answer that nobody caches brings every request of every client
        here.
        """
        while self._changed_at_ns and now_ns - self._changed_at_ns[0] > CHANGE_WINDOW_NS:
            self._changed_at_ns.popleft()
        if self.limit_s <= 1 or query_rate_per_s > self._max_queries_per_s or not self._changed_at_ns:
            return self.limit_s
        ttl_s = CHANGE_WINDOW_NS // (CHANGE_INTERVALS_PER_TTL * len(self._changed_at_ns) * NS_PER_S)
        return max(min(ttl_s, self.limit_s), 1)
