"""The egress queue: its rate, its limit, merged messages and message quotas."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.controller.egress_queue import EgressQueue

NS_PER_S = 1_000_000_000


@given(
    puts=st.lists(st.tuples(st.integers(0, 5), st.integers(1, 40), st.integers(0, NS_PER_S)), max_size=40),
    quota=st.integers(0, 3),
)
@hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
def test_the_queue_never_holds_or_sends_more_than_its_limits(puts, quota):
    queue, now, sent = EgressQueue(50.0, 100.0, 5.0, quota, 10 * NS_PER_S), 0, []
    for proxy, entries, wait_ns in puts:
        fits = queue.queued_entries + entries + 5 * (proxy not in queue.waiting) <= 100
        assert queue.enqueue({proxy: entries}, now) == ([] if fits else [proxy])
        assert sum(queue.waiting.values()) == pytest.approx(queue.queued_entries)
        assert queue.queued_entries <= 100
        now += wait_ns
        sent += [(now, proxy, cost) for proxy, cost in queue.pop_sent(now)]
        assert sum(cost for _, _, cost in sent) <= 50 * now / NS_PER_S + 1e-3
    for proxy in range(6):
        times = [time for time, other, _ in sent if other == proxy]
        assert not quota or all(
            times[k + quota] - times[k] > 10 * NS_PER_S for k in range(len(times) - quota)
        )


def test_messages_are_sent_in_order_and_at_the_rate():
    queue = EgressQueue(100.0, 1000.0, 6.0)
    queue.enqueue({"a": 44, "b": 94}, 0)
    assert queue.pop_sent(NS_PER_S // 2 - 1) == []
    assert queue.pop_sent(NS_PER_S // 2) == [("a", 50)]
    assert queue.next_deadline_ns == NS_PER_S // 2 + NS_PER_S
    assert queue.pop_sent(2 * NS_PER_S) == [("b", 100)]


def test_later_entries_are_merged_into_the_waiting_message():
    queue = EgressQueue(100.0, 1000.0, 6.0)
    queue.enqueue({"a": 10}, 0)
    queue.enqueue({"a": 10}, 0)
    assert queue.pop_sent(NS_PER_S) == [("a", 26)]


def test_a_proxy_over_its_message_quota_waits_and_others_overtake_it():
    queue = EgressQueue(1e6, 1e6, 1.0, message_quota=1, quota_window_ns=10 * NS_PER_S)
    queue.enqueue({"a": 1}, 0)
    assert queue.pop_sent(NS_PER_S) == [("a", 2)]
    queue.enqueue({"a": 1, "b": 1}, NS_PER_S)
    assert queue.pop_sent(2 * NS_PER_S) == [("b", 2)]
    assert queue.next_deadline_ns == 11 * NS_PER_S + 1
    assert queue.pop_sent(11 * NS_PER_S + 1) == [("a", 2)]
