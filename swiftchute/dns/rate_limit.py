"""Limits on answers by datagram: whoever asks may not be who it says. No I/O, no clock.

    limiter = Limiter(rate=200.0, slip=2, strangers=1000.0)
    limiter.asked("192.0.2.7", now)       # ANSWER, CUT (head and TC alone: come again by TCP) or DROP
    limiter.proven("192.0.2.7", now)      # it came by TCP: it is who it says

Every prefix has so many answers a second. A source not seen before spends from a budget that all strangers
share, so that a flood from invented addresses gets small answers whatever number of prefixes it invents;
who comes by TCP is known from then on. Of what is past a limit every `slip`-th is cut and the rest dropped.
"""

import ipaddress
from collections import OrderedDict
from functools import lru_cache

S = 1_000_000_000
ANSWER, CUT, DROP = "answer", "cut", "drop"
PREFIX_4, PREFIX_6 = 24, 56
KNOWN_MOST = 50_000  # prefixes; past it the one that has been silent longest is a stranger again
BURST = 2 * S  # what a prefix did not use is kept for so long


@lru_cache(maxsize=65_536)
def prefix(source: str) -> str:
    """The network that a source is counted with."""
    at = ipaddress.ip_address(source.partition("%")[0])
    bits = PREFIX_4 if at.version == 4 else PREFIX_6
    return str(ipaddress.ip_network((at, bits), strict=False))


class _Bucket:
    __slots__ = ("free", "over")

    def __init__(self, now: int) -> None:
        self.free = now - BURST  # the time up to which its answers are spent
        self.over = 0

    def spend(self, cost: int, now: int) -> bool:
        start = max(self.free, now - BURST)
        if start + cost > now:
            return False
        self.free = start + cost
        return True


class Limiter:
    """Buckets by prefix, bounded."""

    def __init__(self, rate: float, slip: int = 2, strangers: float = 1000.0) -> None:
        """Answers a second to a prefix (0: no limit), and to all who are not known yet."""
        self.cost = int(S / rate) if rate else 0
        self.stranger, self.slip = int(S / strangers), slip
        self.known: OrderedDict[str, _Bucket] = OrderedDict()
        self.strangers = _Bucket(-BURST)
        self.counts = {ANSWER: 0, CUT: 0, DROP: 0}

    def asked(self, source: str, now: int) -> str:
        """What a datagram from this source may get."""
        if not self.cost:
            return ANSWER
        key = prefix(source)
        bucket, cost = self.known.get(key), self.cost
        if bucket is None:
            bucket, cost = self.strangers, self.stranger
            if bucket.spend(cost, now):
                self._learn(key, now)
                return self._told(ANSWER)
        else:
            self.known.move_to_end(key)
            if bucket.spend(cost, now):
                return self._told(ANSWER)
        bucket.over += 1
        return self._told(CUT if self.slip and bucket.over % self.slip == 0 else DROP)

    def proven(self, source: str, now: int) -> None:
        """The source is who it says."""
        if self.cost and prefix(source) not in self.known:
            self._learn(prefix(source), now)

    def _learn(self, key: str, now: int) -> None:
        if len(self.known) >= KNOWN_MOST:
            self.known.popitem(last=False)
        self.known[key] = _Bucket(now)

    def _told(self, verdict: str) -> str:
        self.counts[verdict] += 1
        return verdict
