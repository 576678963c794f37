"""Rate limits for answers over UDP, where source addresses may be forged. No I/O, no clock.

Example:
    limiter = RateLimiter(answers_per_s=200.0, truncate_every=2, unknown_answers_per_s=1000.0)
    limiter.check("192.0.2.7", now_ns)         # a Verdict
    limiter.mark_verified("192.0.2.7", now_ns)  # it sent a query over TCP, so its address is not forged

Each known network prefix has its own rate of answers. Unknown prefixes share one rate, so that a flood from
forged addresses gets few answers no matter how many prefixes it uses. A query over TCP makes its prefix
known. Of the queries beyond a rate, every `truncate_every`-th gets a truncated reply; the others are dropped.
"""

import enum
import ipaddress
from collections import OrderedDict
from functools import lru_cache

NS_PER_S = 1_000_000_000
IPV4_PREFIX_BITS = 24
IPV6_PREFIX_BITS = 56
MAX_KNOWN_PREFIXES = 50_000  # beyond it, the least recently seen prefix becomes unknown again
MAX_CACHED_PREFIXES = 65_536
BURST_NS = 2 * NS_PER_S  # for how long unused capacity accumulates


class Verdict(enum.StrEnum):
    """How a query over UDP is handled; the values are the names of counters in the log."""

    ANSWER = "answer"
    TRUNCATE = "cut"  # an empty reply with TC set, so that the client retries over TCP
    DROP = "drop"


_ANSWER = Verdict.ANSWER  # enum attributes are slow to look up for each message


@lru_cache(maxsize=MAX_CACHED_PREFIXES)
def network_prefix(source: str) -> str:
    """Return the network prefix that a source address is counted under.

    Raises:
        ValueError: The source is not an IP address.
    """
    address = ipaddress.ip_address(source.partition("%")[0])
    bits = IPV4_PREFIX_BITS if address.version == 4 else IPV6_PREFIX_BITS
    return str(ipaddress.ip_network((address, bits), strict=False))


class _Bucket:
    """A token bucket with a capacity of `BURST_NS` of unused time.

    Attributes:
        rejected: Number of queries beyond the rate.
    """

    __slots__ = ("_used_until_ns", "rejected")

    def __init__(self, now_ns: int) -> None:
        self._used_until_ns = now_ns - BURST_NS
        self.rejected = 0

    def take(self, cost_ns: int, now_ns: int) -> bool:
        """Take an answer that costs `cost_ns` of unused time; return whether enough was left."""
        start_ns = max(self._used_until_ns, now_ns - BURST_NS)
        if start_ns + cost_ns > now_ns:
            return False
        self._used_until_ns = start_ns + cost_ns
        return True


class RateLimiter:
    """Limits answers per network prefix, for a bounded number of known prefixes.

    Attributes:
        verdict_counts: Number of queries with each verdict.
    """

    def __init__(
        self, answers_per_s: float, truncate_every: int = 2, unknown_answers_per_s: float = 1000.0
    ) -> None:
        """Create the limiter.

        Args:
            answers_per_s: The rate for each known prefix; 0 means no limit at all.
            truncate_every: One in this many queries beyond a rate is truncated, the others are dropped; 0
                drops all.
            unknown_answers_per_s: The rate shared by all unknown prefixes.
        """
        self._cost_ns = int(NS_PER_S / answers_per_s) if answers_per_s else 0
        self._unknown_cost_ns = int(NS_PER_S / unknown_answers_per_s)
        self._truncate_every = truncate_every
        self._bucket_by_prefix: OrderedDict[str, _Bucket] = OrderedDict()  # least recently seen first
        self._unknown_bucket = _Bucket(-BURST_NS)
        self.verdict_counts = dict.fromkeys(Verdict, 0)

    @property
    def known_prefixes(self) -> list[str]:
        """The known prefixes, the least recently seen first."""
        return list(self._bucket_by_prefix)

    def check(self, source: str, now_ns: int) -> Verdict:
        """Return the verdict on a query over UDP from this source."""
        if not self._cost_ns:
            return _ANSWER
        prefix = network_prefix(source)
        bucket = self._bucket_by_prefix.get(prefix)
        if bucket is None:
            bucket = self._unknown_bucket
            if bucket.take(self._unknown_cost_ns, now_ns):
                self._add_known(prefix, now_ns)
                return self._count(_ANSWER)
        else:
            self._bucket_by_prefix.move_to_end(prefix)
            if bucket.take(self._cost_ns, now_ns):
                return self._count(_ANSWER)
        bucket.rejected += 1
        truncates = self._truncate_every and bucket.rejected % self._truncate_every == 0
        return self._count(Verdict.TRUNCATE if truncates else Verdict.DROP)

    def mark_verified(self, source: str, now_ns: int) -> None:
        """Mark the prefix of a source as known, because the source address is verified."""
        if self._cost_ns and network_prefix(source) not in self._bucket_by_prefix:
            self._add_known(network_prefix(source), now_ns)

    def _add_known(self, prefix: str, now_ns: int) -> None:
        if len(self._bucket_by_prefix) >= MAX_KNOWN_PREFIXES:
            self._bucket_by_prefix.popitem(last=False)
        self._bucket_by_prefix[prefix] = _Bucket(now_ns)

    def _count(self, verdict: Verdict) -> Verdict:
        self.verdict_counts[verdict] += 1
        return verdict
