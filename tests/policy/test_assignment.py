"""Assignment of proxies to tables within the egress budget."""

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import EndpointListUpdate, ProxyConnected
from tests.support.policy import SlowChannel, list_changes, weights_in


def test_busiest_proxies_are_assigned_first(make_harness):
    harness = make_harness()
    records = [harness.endpoint("e0")]
    connects = [ProxyConnected(number, "east", rate, True) for number, rate in enumerate((5.0, 50.0, 20.0))]
    commands = harness.run_round(EndpointListUpdate(ListScope.CACHED, records), *connects)
    assert [proxy for proxy, _, _ in commands.of("assign_table")] == [1, 2, 0]


def test_many_proxies_that_connect_at_once_fill_at_most_half_of_the_egress_queue(make_harness):
    harness = make_harness(egress_queue_limit_entries=100.0)
    commands = harness.start(proxies=("east",) * 30)
    assert 0 < len(commands.of("assign_table")) < 30
    assert harness.budget.unacknowledged_entries <= 50
    harness.run(5)
    assert all(proxy.subset is not None for proxy in harness.state.proxies.values())


def test_assignment_announces_a_drain_to_a_new_proxy_without_an_ejection(make_harness):
    harness = make_harness(egress_queue_limit_entries=250.0)
    harness.start(proxies=("east",) * 9)
    harness.run(0.5)
    drain_update = list_changes([harness.endpoint("e0", state="draining")])
    connects = [ProxyConnected(number, "east", 1.0, True) for number in range(20, 26)]
    commands = harness.run_round(drain_update, *connects)
    assert weights_in(commands, harness.table())["e0"] == 0
    assert {proxy for proxy, *_ in commands.of("assign_table")} == set(range(20, 26))
    assert 0.5 * 250 < harness.budget.unacknowledged_entries <= 0.7 * 250  # more than half of the queue
    assert commands.of("set_ejected") == []


def test_drains_do_not_delay_the_assignments_of_proxies_that_reconnect(make_harness):
    """One assignment announces all drains; ejections, one per drain, must not keep the queue full."""
    harness = make_harness(
        egress_queue_limit_entries=8200.0, message_overhead_entries=25.0, message_quota=30, subset_size=6
    )
    names = [f"e{k}" for k in range(120)]
    connects = [ProxyConnected(proxy, "east", 10.0, False) for proxy in range(240)]
    channel = SlowChannel(harness, 800.0)
    channel.run_round(
        EndpointListUpdate(ListScope.CACHED, [harness.endpoint(name) for name in names]),
        *connects[:50],
        wait_s=0.01,
    )
    for _ in range(200):
        channel.run_round(wait_s=0.05)
    assert not any(proxy.unassigned for proxy in harness.state.proxies.values())
    drain = [list_changes([harness.endpoint(name, state="draining")]) for name in names[:90]]
    assigned, waiting = {}, []
    for step in range(400):
        events = drain[:60] if step == 0 else drain[60 + step // 20 : 61 + step // 20] * (step % 20 == 0)
        events = [*events, *connects[50 + 95 * step : 145 + 95 * step]]
        commands = channel.run_round(*events, wait_s=0.05)
        newly_assigned = [proxy for proxy, *_ in commands.of("assign_table") if proxy >= 50]
        assigned |= {proxy: step for proxy in newly_assigned if proxy not in assigned}
        waiting.append([name for name, proxy in harness.state.proxies.items() if proxy.subset is None])
    assert max(len(proxies) for proxies in waiting) > 20
    assert not waiting[-1]
    assert max(assigned.values()) * 0.05 < 12  # in seconds: the channel itself needs this for 190 tables
