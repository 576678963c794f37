"""The TTL of answers: how long resolvers may cache them. No I/O, no clock.

Example:
    policy = TtlPolicy(drain_grace_ns, max_no_endpoint_ns, max_ttl_s=30, max_queries_per_s=1000.0)
    policy.on_answers_changed(now_ns)
    ttl_s = policy.ttl_s(query_rate_per_s, now_ns)
    policy.limit_s  # the upper bound of all TTLs

A resolver uses a cached answer until its TTL expires; the answer cannot be recalled. So the TTL is at most
the drain grace, less a reserve for the time until an endpoint update appears in answers, and at most the time
that a proxy may be without an endpoint (all endpoints that it knows may fail). Within that limit, the TTL is
shorter the more often tables change, because the safety rules count the holders of old answers in each
change. If the query rate exceeds the configured maximum, the TTL is at the limit.
"""

from collections import deque

NS_PER_S = 1_000_000_000
RESERVE_FRACTION = 0.25  # of the drain grace, for the time until an endpoint update appears in answers
MIN_RESERVE_NS = NS_PER_S // 2
CHANGE_WINDOW_NS = 30 * NS_PER_S
CHANGE_INTERVALS_PER_TTL = 2  # the TTL is half of the mean interval between changes
MAX_RECORDED_CHANGES = 1024


class TtlPolicy:
    """Decides the TTL of all answers under an origin; all zones share it, as resolvers may cache any of them.

    Attributes:
        limit_s: The upper bound of the TTL.
    """

    def __init__(
        self, drain_grace_ns: int, max_no_endpoint_ns: int, max_ttl_s: int, max_queries_per_s: float
    ) -> None:
        """Create the policy.

        Args:
            drain_grace_ns: How long a draining endpoint still accepts requests.
            max_no_endpoint_ns: How long a proxy may be without a usable endpoint.
            max_ttl_s: The longest TTL that the settings allow.
            max_queries_per_s: The query rate beyond which the TTL is at its limit.
        """
        reserve_ns = max(int(drain_grace_ns * RESERVE_FRACTION), MIN_RESERVE_NS)
        drain_limit_s = (drain_grace_ns - reserve_ns) // NS_PER_S
        no_endpoint_limit_s = (max_no_endpoint_ns - MIN_RESERVE_NS) // NS_PER_S
        self.limit_s = max(min(max_ttl_s, drain_limit_s, no_endpoint_limit_s), 0)
        self._max_queries_per_s = max_queries_per_s
        self._changed_at_ns: deque[int] = deque(maxlen=MAX_RECORDED_CHANGES)

    @property
    def recent_changes(self) -> int:
        """The number of changes of answers in the current window."""
        return len(self._changed_at_ns)

    def on_answers_changed(self, now_ns: int) -> None:
        """Count a change of the answers."""
        self._changed_at_ns.append(now_ns)

    def ttl_s(self, query_rate_per_s: float, now_ns: int) -> int:
        """Return the TTL, in whole seconds, of answers sent from now on.

        It is 0 only if `limit_s` is 0: uncached answers would cause a query for each request of each client.
        """
        while self._changed_at_ns and now_ns - self._changed_at_ns[0] > CHANGE_WINDOW_NS:
            self._changed_at_ns.popleft()
        if self.limit_s <= 1 or query_rate_per_s > self._max_queries_per_s or not self._changed_at_ns:
            return self.limit_s
        ttl_s = CHANGE_WINDOW_NS // (CHANGE_INTERVALS_PER_TTL * len(self._changed_at_ns) * NS_PER_S)
        return max(min(ttl_s, self.limit_s), 1)
