"""The time to live of answers."""

import pytest

from swiftchute.dns.ttl import TtlPolicy
from tests.support.dns_frontend import NOW_NS, NS_PER_S


@pytest.mark.parametrize(
    ("drain_grace_s", "max_no_endpoint_s", "max_ttl_s", "expected_s"),
    [(3.0, 3.0, 30, 2), (1.5, 3.0, 30, 1), (1.0, 3.0, 30, 0), (60, 60, 30, 30), (60, 4, 30, 3),
     (10, 60, 300, 7)],
)  # fmt: skip
def test_the_ttl_limit_is_the_drain_grace_less_a_reserve(
    drain_grace_s, max_no_endpoint_s, max_ttl_s, expected_s
):
    assert (
        TtlPolicy(int(drain_grace_s * NS_PER_S), int(max_no_endpoint_s * NS_PER_S), max_ttl_s, 100).limit_s
        == expected_s
    )


def test_the_ttl_falls_with_the_change_rate_except_under_a_query_flood():
    policy = TtlPolicy(60 * NS_PER_S, 60 * NS_PER_S, 30, 1000.0)
    assert policy.ttl_s(10.0, NOW_NS) == 30
    for k in range(5):
        policy.on_answers_changed(NOW_NS + k * NS_PER_S)
    assert policy.ttl_s(10.0, NOW_NS + 5 * NS_PER_S) == 3
    assert policy.ttl_s(2000.0, NOW_NS + 5 * NS_PER_S) == 30
    for k in range(500):
        policy.on_answers_changed(NOW_NS + 6 * NS_PER_S + k)
    assert policy.ttl_s(10.0, NOW_NS + 7 * NS_PER_S) == 1
    assert policy.ttl_s(10.0, NOW_NS + 60 * NS_PER_S) == 30
