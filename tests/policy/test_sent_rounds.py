"""What the channel is known to have sent: entries of silent proxies leave the budget, nothing else does."""

import random

import pytest

from swiftchute.api.events import (
    EgressQueueObserved,
    ProxyConnected,
    ProxyDeliveryChanged,
    ProxyDisconnected,
    PushAcknowledged,
)
from swiftchute.policy import egress_budget
from swiftchute.policy.ownership_fence import OwnershipFence
from swiftchute.policy.units import NS_PER_S
from tests.support.policy import list_changes, weights_in

TIMEOUT_S = 1.0  # after which an acknowledgement is overdue, by the default settings


@pytest.fixture
def harness(make_harness):
    """Four proxies of one zone, which have acknowledged their tables."""
    harness = make_harness(message_quota=0)
    harness.start(east=8, west=0, proxies=("east",) * 4)
    harness.run(5)
    return harness


def drain(harness, endpoint, *events):
    """Drain an endpoint, which is pushed at once to all proxies; return the nonce."""
    change = list_changes([harness.endpoint(endpoint, state="draining")])
    assert harness.run_round(*events, change, wait_s=0.3).of("set_weight")
    return harness.budget.nonce


def pending_entries(harness):
    return sum(sum(p.unacknowledged_entries.values()) for p in harness.state.proxies.values())


def test_acknowledgement_of_a_later_round_releases_the_entries_of_silent_proxies(harness):
    """Guards against urgent pushes that wait for proxies whose messages have left the channel."""
    first, second = drain(harness, "e0"), drain(harness, "e1")
    per_message = harness.budget.unsent_entries / 8
    delivery_ns = harness.budget.max_delivery_ns(harness.state)
    harness.run_round(PushAcknowledged(0, second, NS_PER_S // 10))
    harness.run_round(wait_s=TIMEOUT_S - 0.05)
    assert harness.budget.unsent_entries == 6 * per_message
    harness.run_round(wait_s=0.1)
    assert harness.budget.unsent_entries == 3 * per_message  # of the same round: the order is not known
    assert harness.budget.max_delivery_ns(harness.state) < delivery_ns
    late = [PushAcknowledged(proxy, nonce, NS_PER_S) for nonce in (first, second) for proxy in (1, 2, 3)]
    harness.run_round(*late[:1])
    assert harness.budget.unsent_entries == 3 * per_message
    harness.run_round(*late)
    assert harness.budget.unsent_entries == 0


def test_message_that_left_the_channel_is_not_taken_for_applied(harness):
    """Guards against a key range that gets a new owner while a silent proxy uses the former one."""
    harness.budget.reserve(harness.state, [0, 1], 1, egress_budget.PushKind.URGENT)
    fence = OwnershipFence(harness.state, harness.budget, 0)
    harness.budget.end_round(harness.state)
    cleared = harness.budget.nonce
    later = drain(harness, "e0")
    harness.run_round(PushAcknowledged(0, later, NS_PER_S // 10))
    harness.run_round(wait_s=TIMEOUT_S)
    assert harness.state.proxies[1].unacknowledged_entries[cleared] == 0
    fence.on_acknowledgements(harness.state)
    leases_end_ns = harness.now + harness.state.settings.max_push_delay_ns
    assert fence.end_ns(harness.state, harness.budget) > leases_end_ns


def test_urgent_pushes_do_not_wait_for_silent_proxies(make_harness):
    """Guards against drains that are late while lost streams have not been noticed."""
    harness = make_harness(message_quota=0, egress_queue_limit_entries=500.0)
    harness.start(east=8, west=0, proxies=("east",) * 20)
    harness.run(5)
    for k in range(7):
        commands = harness.run_round(list_changes([harness.endpoint(f"e{k}", state="draining")]), wait_s=0.4)
        assert weights_in(commands, harness.table())[f"e{k}"] == 0
        nonce = harness.budget.nonce
        harness.run_round(*[PushAcknowledged(p, nonce, NS_PER_S // 5) for p in range(10)], wait_s=0.2)


def test_entries_that_a_frontend_observes_beyond_them_still_count(harness):
    """Guards against more than the queue holds where silent streams have not read what was written."""
    drain(harness, "e0")
    acknowledged = PushAcknowledged(0, drain(harness, "e1"), NS_PER_S // 10)
    limit = harness.state.settings.egress_queue_limit_entries
    change = list_changes([harness.endpoint("e2", state="draining")])
    observed = EgressQueueObserved(int(0.95 * limit))
    commands = harness.run_round(acknowledged, change, observed, wait_s=0.3)
    assert weights_in(commands, harness.table()) == {}
    assert weights_in(harness.run_round(wait_s=0.3), harness.table())["e2"] == 0


def test_nothing_is_reserved_for_a_proxy_whose_messages_are_held_back(harness):
    """Guards against a budget that is used up by messages which are not written."""
    harness.run_round(ProxyDeliveryChanged(3, paused=True))
    messages = len(harness.state.proxies[3].message_times_ns)
    drain(harness, "e0")
    per_message = harness.budget.unsent_entries / 3
    assert harness.budget.unsent_entries == pending_entries(harness)
    assert len(harness.state.proxies[3].message_times_ns) == messages
    drain(harness, "e1", ProxyDeliveryChanged(2, paused=True), ProxyDeliveryChanged(3, paused=False))
    assert harness.budget.unsent_entries == 2 * 2 * per_message + per_message
    harness.run_round(*[ProxyDisconnected(proxy) for proxy in range(4)], ProxyDeliveryChanged(3, True))
    assert harness.budget.unsent_entries == 0


def test_proxy_has_its_tables_only_once_its_messages_are_no_longer_held_back(harness):
    """Guards against a limit that counts as in force at a proxy which has not heard of it."""
    assigned_at_ns = harness.state.proxies[3].assigned_at_ns
    harness.run_round(ProxyDeliveryChanged(3, paused=True))
    assert harness.state.proxies[3].assigned_at_ns == assigned_at_ns
    harness.run_round(ProxyDeliveryChanged(3, paused=False), wait_s=9)
    assert harness.state.proxies[3].assigned_at_ns > harness.now


def test_quota_of_a_proxy_whose_messages_are_held_back_delays_no_push(make_harness):
    """Guards against a drain that waits for the quota of a proxy which is not written to."""
    harness = make_harness(message_quota=4)
    harness.start(east=8, west=0, proxies=("east",) * 4)
    harness.run(12)
    harness.state.proxies[3].message_times_ns.extend([harness.now] * 4)
    change = list_changes([harness.endpoint("e0", state="draining")])
    assert weights_in(harness.run_round(change), harness.table()) == {}
    commands = harness.run_round(ProxyDeliveryChanged(3, paused=True))
    assert weights_in(commands, harness.table())["e0"] == 0


def test_nonces_that_come_round_again_release_what_an_earlier_use_left(harness, monkeypatch):
    """Guards against entries that are never released, as their nonce names a newer round."""
    monkeypatch.setattr(egress_budget, "MAX_NONCE", harness.budget.nonce + 1)
    silent_since = drain(harness, "e0")
    for k in range(1, 4):
        drain(harness, f"e{k}")
    assert harness.budget.unsent_entries == pending_entries(harness)
    newest = harness.budget.nonce
    assert newest < silent_since
    harness.run_round(PushAcknowledged(0, newest, NS_PER_S // 10))
    assert harness.budget.unsent_entries == pending_entries(harness) > 0
    harness.run_round(*[PushAcknowledged(proxy, newest, NS_PER_S // 10) for proxy in range(4)])
    assert harness.budget.unsent_entries == 0


@pytest.mark.parametrize("seed", range(6))
def test_the_count_is_the_sum_of_what_is_pending_whatever_happens(make_harness, monkeypatch, seed):
    """Guards against a count that drifts or falls below 0, where faults of all kinds meet."""
    monkeypatch.setattr(egress_budget, "MAX_NONCE", 12)
    monkeypatch.setattr(egress_budget, "MAX_TRACKED_ROUNDS", 8)
    harness, draw = make_harness(message_quota=0), random.Random(seed)
    harness.start(east=6, west=0, proxies=("east",) * 5)
    for _ in range(300):
        events, proxies = [], harness.state.proxies
        for proxy in draw.sample(range(5), draw.randrange(4)):
            pending = list(proxies[proxy].unacknowledged_entries) if proxy in proxies else []
            events.append(
                draw.choice(
                    [ProxyDisconnected(proxy), ProxyConnected(proxy, "east", 10.0, False)]
                    + [ProxyDeliveryChanged(proxy, paused) for paused in (False, True)]
                    + [PushAcknowledged(proxy, nonce, NS_PER_S // 10) for nonce in pending] * 3
                )
            )
        name, state = f"e{draw.randrange(6)}", draw.choice(("ready", "draining", "gone"))
        events.append(list_changes([harness.endpoint(name, state=state)]))
        harness.run_round(*events, wait_s=0.1)
        assert harness.budget.unsent_entries == pytest.approx(pending_entries(harness), abs=1e-6)
        assert min([0, *(e for p in proxies.values() for e in p.unacknowledged_entries.values())]) == 0
