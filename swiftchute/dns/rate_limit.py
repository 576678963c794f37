"""Rate limits for answers by datagram, whose source address may be forged. No I/O, no clock.

Example:
    limiter = RateLimiter(answers_per_s=200.0, truncate_every=2, unknown_answers_per_s=1000.0)
    limiter.check("192.0.2.7", now_ns)         # a Verdict
    limiter.mark_verified("192.0.2.7", now_ns)  # it came by TCP, so its address is not forged

Each network prefix has a rate of answers. Prefixes not seen before share one rate, so that a flood from
forged addresses gets few answers whatever number of prefixes it uses; a source that comes by TCP is known
from then on. Of the queries beyond a rate every `truncate_every`-th is truncated and the others are dropped.
"""

import enum
import ipaddress
from collections import OrderedDict
from functools import lru_cache

NS_PER_S = 1_000_000_000
IPV4_PREFIX_BITS = 24
IPV6_PREFIX_BITS = 56
MAX_KNOWN_PREFIXES_ENTRIES = 50_000  # past it the one that was silent for longest becomes unknown again
MAX_CACHED_PREFIXES_ENTRIES = 65_536
BURST_NS = 2 * NS_PER_S  # how long an unused rate accumulates


class Verdict(enum.StrEnum):
    """What a query by datagram gets; the values are the names of the counters."""

    ANSWER = "answer"
    TRUNCATE = "cut"  # a header with TC alone, so that the client repeats the query by TCP
    DROP = "drop"


@lru_cache(maxsize=MAX_CACHED_PREFIXES_ENTRIES)
def network_prefix(source: str) -> str:
    """Return the network that a source address is counted with.

    Raises:
        ValueError: The source is no IP address.
    """
    address = ipaddress.ip_address(source.partition("%")[0])
    bits = IPV4_PREFIX_BITS if address.version == 4 else IPV6_PREFIX_BITS
    return str(ipaddress.ip_network((address, bits), strict=False))


class _Bucket:
    """A rate of answers that accumulates for `BURST_NS`.

    Attributes:
        rejected: Queries beyond the rate.
    """

    __slots__ = ("_used_until_ns", "rejected")

    def __init__(self, now_ns: int) -> None:
        self._used_until_ns = now_ns - BURST_NS
        self.rejected = 0

    def take(self, cost_ns: int, now_ns: int) -> bool:
        """Take one answer of the cost of `cost_ns`; return whether there was one."""
        start_ns = max(self._used_until_ns, now_ns - BURST_NS)
        if start_ns + cost_ns > now_ns:
            return False
        self._used_until_ns = start_ns + cost_ns
        return True


class RateLimiter:
    """Limits answers per network prefix; the number of known prefixes is bounded.

    Attributes:
        verdict_counts: How often each verdict was given.
    """

    def __init__(
        self, answers_per_s: float, truncate_every: int = 2, unknown_answers_per_s: float = 1000.0
    ) -> None:
        """Create the limiter.

        Args:
            answers_per_s: The rate of each known prefix; 0 means no limit.
            truncate_every: Which of the queries beyond a rate are truncated; 0 drops all.
            unknown_answers_per_s: The rate that all unknown prefixes share.
        """
        self._cost_ns = int(NS_PER_S / answers_per_s) if answers_per_s else 0
        self._unknown_cost_ns = int(NS_PER_S / unknown_answers_per_s)
        self._truncate_every = truncate_every
        self._bucket_by_prefix: OrderedDict[str, _Bucket] = OrderedDict()  # longest silent first
        self._unknown_bucket = _Bucket(-BURST_NS)
        self.verdict_counts = dict.fromkeys(Verdict, 0)

    @property
    def known_prefixes(self) -> list[str]:
        """The known prefixes, the one that was silent for longest first."""
        return list(self._bucket_by_prefix)

    def check(self, source: str, now_ns: int) -> Verdict:
        """Return what a query by datagram from this source gets."""
        if not self._cost_ns:
            return Verdict.ANSWER
        prefix = network_prefix(source)
        bucket = self._bucket_by_prefix.get(prefix)
        if bucket is None:
            bucket = self._unknown_bucket
            if bucket.take(self._unknown_cost_ns, now_ns):
                self._add_known(prefix, now_ns)
                return self._count(Verdict.ANSWER)
        else:
            self._bucket_by_prefix.move_to_end(prefix)
            if bucket.take(self._cost_ns, now_ns):
                return self._count(Verdict.ANSWER)
        bucket.rejected += 1
        truncates = self._truncate_every and bucket.rejected % self._truncate_every == 0
        return self._count(Verdict.TRUNCATE if truncates else Verdict.DROP)

    def mark_verified(self, source: str, now_ns: int) -> None:
        """Make the prefix of a source known, because its address is not forged."""
        if self._cost_ns and network_prefix(source) not in self._bucket_by_prefix:
            self._add_known(network_prefix(source), now_ns)

    def _add_known(self, prefix: str, now_ns: int) -> None:
        if len(self._bucket_by_prefix) >= MAX_KNOWN_PREFIXES_ENTRIES:
            self._bucket_by_prefix.popitem(last=False)
        self._bucket_by_prefix[prefix] = _Bucket(now_ns)

    def _count(self, verdict: Verdict) -> Verdict:
        self.verdict_counts[verdict] += 1
        return verdict
