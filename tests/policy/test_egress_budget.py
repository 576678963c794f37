"""Message quotas, unacknowledged entries, and the speed of the channel."""

import pytest

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import EndpointListUpdate, EndpointLoadReport, ProxyConnected, PushAcknowledged
from swiftchute.policy.units import NS_PER_S
from tests.support.policy import CALM, SlowChannel, list_changes


def test_ordinary_pushes_leave_part_of_the_message_quota_to_drains(started):
    for k in range(30):
        started.run_round(
            list_changes([started.endpoint("e9", state=("gone", "ready")[k % 2])]),
            wait_s=0.3,
        )
        assert all(len(proxy.message_times_ns) < 10 for proxy in started.state.proxies.values())
    for k in range(40):
        started.state.endpoints["e0"].health_weight = 1.0 + k % 2
        started.run(0.5)
    assert all(len(proxy.message_times_ns) <= 6 for proxy in started.state.proxies.values())


def test_unacknowledged_entries_delay_pushes(started):
    """In a channel slower than configured, entries are queued longer than its nominal rate implies."""
    started.run(1)
    started.state.proxies[0].unacknowledged_entries = {4: 400, 5: 590}
    started.budget.unacknowledged_entries = 1000
    started.state.endpoints["e0"].health_weight = 0.6
    assert started.run(5, CALM, acknowledge=False).of("set_weight") == []
    assert started.run_round(PushAcknowledged(0, 5, NS_PER_S)).of("set_weight")
    assert started.budget.unacknowledged_entries < 100


def test_entries_for_the_old_subset_of_a_migrating_proxy_are_reserved(started):
    """It still uses its old tables, so entries written to them are sent to it and fill the channel."""
    started.state.proxies[0].unassigned = True
    started.run_round(list_changes([started.endpoint("e0", state="draining")]))
    assert 0 in started.budget.reserved_entries


def test_thresholds_follow_the_speed_that_acknowledgements_show(make_harness):
    """A drain waits behind the queued entries, so a slow channel may queue fewer."""
    max_depths, speeds = {}, {}
    for speed in (4100.0, 800.0):
        harness = make_harness(
            egress_queue_limit_entries=8200.0,
            egress_rate_entries_per_s=4100.0,
            message_overhead_entries=10.0,
            message_quota=0,
        )
        names = [f"e{k}" for k in range(120)]
        channel, depths = SlowChannel(harness, speed), []
        connects = [ProxyConnected(proxy, "east", 10.0, False) for proxy in range(200)]
        channel.run_round(
            EndpointListUpdate(ListScope.CACHED, [harness.endpoint(name) for name in names]),
            *connects,
            wait_s=0.01,
        )
        for step in range(400):  # latencies alternate, so that there is always something to push
            slow = [3 * ((k // 6 + step // 60) % 2) for k in range(120)]
            reports = [
                EndpointLoadReport("east", name, 20, 0, NS_PER_S // 10 * (1 + slow[k]), NS_PER_S // 2, None)
                for k, name in enumerate(names)
            ]
            channel.run_round(*reports if step % 10 == 0 else (), wait_s=0.05)
            depths.append(harness.budget.unacknowledged_entries)
        max_depths[speed], speeds[speed] = max(depths[200:]), harness.budget.channel_speed_ratio
    assert speeds[4100.0] == pytest.approx(1, abs=0.01)
    assert 0.15 < speeds[800.0] < 0.5
    assert max_depths[800.0] < 0.2 * 8200
    assert "slow channel" in harness.state.conditions
