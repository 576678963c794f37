"""Which pushes come first when the channel cannot send all of them at once."""

import pytest

from swiftchute.policy.units import NS_PER_S
from tests.support.policy import SlowChannel, list_changes, weights_in
from tests.support.rolling_deploy import RollingDeploy
from tests.support.settings import DEFAULTS

GRACE_S = DEFAULTS["drain_grace_ns"] / 1e9
SLOWDOWN = 4.4  # of the channel; the time limits of the rules grow by it


@pytest.fixture
def slow_deploy(make_harness):
    """A deploy in three zones, whose channel slows down after all proxies have their tables."""
    harness = make_harness(
        zones=("a", "b", "c"),
        zone="a",
        egress_rate_entries_per_s=2500.0,
        egress_queue_limit_entries=5000.0,
        message_overhead_entries=10.0,
        message_quota=30,
    )
    deploy = RollingDeploy(harness, 10, {"a": 25, "b": 25, "c": 25})
    deploy.channel.entries_per_s /= SLOWDOWN
    return deploy


def test_no_zone_hears_late_of_drains_while_the_channel_is_slow(slow_deploy):
    """Guards against a zone that waits as long as others, named before it, have new drains."""
    slow_deploy.run(42, drain_interval_s=0.83)
    assert max(slow_deploy.delays_s.values()) < GRACE_S * SLOWDOWN, slow_deploy.delays_s


def test_proxies_that_connect_during_drains_on_a_slow_channel_get_their_tables_in_time(slow_deploy):
    """Guards against urgent pushes that keep the channel full, so that new proxies hear of no drain."""
    known = set(slow_deploy.connected_ns)
    slow_deploy.run(42, drain_interval_s=0.83, connects={8 + 0.3 * k: "abc"[k % 3] for k in range(8)})
    delays_s = [slow_deploy.assignment_delay_s(p) for p in slow_deploy.connected_ns if p not in known]
    assert len(delays_s) == 8
    assert max(delays_s) < GRACE_S * SLOWDOWN
    assert max(slow_deploy.delays_s.values()) < GRACE_S * SLOWDOWN, slow_deploy.delays_s


def test_push_to_many_proxies_is_not_overtaken_by_pushes_to_few(make_harness):
    """Guards against a large zone whose push never fits, as smaller ones use up the capacity before."""
    grace_s = 3.1
    harness = make_harness(
        zones=("a", "b", "c"),
        zone="a",
        drain_grace_ns=int(grace_s * NS_PER_S),
        egress_rate_entries_per_s=3600.0,
        egress_queue_limit_entries=3600.0,
        message_overhead_entries=10.0,
        message_quota=0,
    )
    deploy = RollingDeploy(harness, 40, {"a": 25, "b": 25, "c": 100})
    deploy.run(26, drain_interval_s=0.1)
    assert max(deploy.delays_s.values()) < grace_s, deploy.delays_s


def drain_one_endpoint_of_each_zone(harness):
    """Drain an endpoint of east, then one of west, so that the push to east comes first."""
    commands = harness.run_round(list_changes([harness.endpoint("e0", state="draining")]), wait_s=0.05)
    west_drain = list_changes([harness.endpoint("w0", "west", "draining")])
    commands.all += harness.run_round(west_drain, wait_s=0.05).all
    return commands


def test_push_that_never_fits_into_the_channel_delays_no_other(make_harness):
    """Guards against a head of the line that can never be sent."""
    harness = make_harness(egress_queue_limit_entries=100.0)
    harness.start(proxies=("east",) * 20 + ("west",))
    harness.run(10)
    commands = drain_one_endpoint_of_each_zone(harness)
    assert weights_in(commands, harness.table()) == {}
    assert weights_in(commands, harness.table("west"))["w0"] == 0


def test_push_that_waits_for_silent_proxies_does_not_delay_others_for_long(make_harness):
    """Guards against proxies that wait behind a push which does not fit because others are silent."""
    harness = make_harness(egress_queue_limit_entries=200.0)
    harness.start(proxies=("east",) * 20 + ("west",))
    harness.run(10)
    harness.state.proxies[0].unacknowledged_entries = {9999: 100}
    harness.budget.unacknowledged_entries = 100
    commands = drain_one_endpoint_of_each_zone(harness)
    commands.all += harness.run(1.5, acknowledge=False, step_s=0.1).all
    assert weights_in(commands, harness.table()) == {}
    assert weights_in(commands, harness.table("west"))["w0"] == 0
    late_push = f"late push east {harness.table().number}"
    assert late_push in harness.state.conditions
    harness.budget.unacknowledged_entries = 0
    harness.run_round(wait_s=0.1)
    assert late_push not in harness.state.conditions


@pytest.mark.parametrize("channel_speed_ratio", [1.0, 0.2])
def test_tables_that_no_proxy_uses_are_current_while_urgent_pushes_wait(make_harness, channel_speed_ratio):
    """Guards against a proxy that connects then and is assigned entries of a drained endpoint."""
    harness = make_harness(egress_queue_limit_entries=200.0)
    harness.start(proxies=("east",) * 20)
    harness.run(10)
    channel = SlowChannel(harness, 100.0)
    channel.run_round(list_changes([harness.endpoint("e0", state="draining")]), wait_s=0.05)
    harness.budget.channel_speed_ratio = channel_speed_ratio
    waiting = channel.run_round(list_changes([harness.endpoint("e1", state="draining")]), wait_s=0.05)
    assert waiting.of("set_weight") == []
    west_drain = list_changes([harness.endpoint("w0", "west", "draining")])
    commands = channel.run_round(west_drain, wait_s=0.05)
    assert weights_in(commands, harness.table("west"))["w0"] == 0
