"""Rate limits by client prefix."""

from swiftchute.dns import rate_limit
from swiftchute.dns.rate_limit import RateLimiter, Verdict
from tests.support.dns_frontend import NOW_NS, NS_PER_S


def test_queries_beyond_the_rate_of_a_prefix_are_truncated_or_dropped():
    limiter = RateLimiter(10.0, truncate_every=2)
    limiter.mark_verified("192.0.2.1", NOW_NS)
    verdicts = [limiter.check(f"192.0.2.{k % 250}", NOW_NS) for k in range(60)]
    assert verdicts.count(Verdict.ANSWER) == 20  # a burst of two seconds
    assert verdicts[20:24] == [Verdict.DROP, Verdict.TRUNCATE, Verdict.DROP, Verdict.TRUNCATE]
    assert limiter.check("198.51.100.1", NOW_NS) == Verdict.ANSWER  # another prefix has its own rate
    assert [limiter.check("192.0.2.1", NOW_NS + NS_PER_S + k) for k in range(11)].count(Verdict.ANSWER) == 10


def test_forged_prefixes_share_one_rate_and_known_prefixes_are_served():
    limiter = RateLimiter(100.0, truncate_every=0, unknown_answers_per_s=50.0)
    limiter.mark_verified("10.0.0.1", NOW_NS)
    verdicts = [limiter.check(f"10.{k // 250}.{k % 250}.9", NOW_NS) for k in range(250, 5000)]
    assert verdicts.count(Verdict.ANSWER) == 100
    assert limiter.check("10.0.0.7", NOW_NS) == Verdict.ANSWER
    limiter.mark_verified("10.19.3.9", NOW_NS)  # a query by TCP shows that its address is not forged
    assert limiter.check("10.19.3.9", NOW_NS) == Verdict.ANSWER


def test_the_prefix_that_was_silent_for_longest_is_evicted(monkeypatch):
    monkeypatch.setattr(rate_limit, "MAX_KNOWN_PREFIXES", 3)
    limiter = RateLimiter(100.0, unknown_answers_per_s=1e6)
    for k in range(10):
        limiter.check(f"10.0.{k}.1", NOW_NS + k)
        limiter.check("10.0.0.1", NOW_NS + k)
    assert limiter.known_prefixes == ["10.0.8.0/24", "10.0.9.0/24", "10.0.0.0/24"]
    assert rate_limit.network_prefix("2001:db8:1:2ff::1") == "2001:db8:1:200::/56"
