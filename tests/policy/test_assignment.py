"""Assignment of proxies to tables within the egress budget."""

import pytest

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import EndpointListUpdate, ProxyConnected
from tests.support.policy import SlowChannel, list_changes, weights_in
from tests.support.settings import operation


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


READ_AND_LOCAL_WRITE = (operation("read"), operation("write", zone_local=True))
WEST = tuple(f"w{k}" for k in range(4))


def tables_assigned(commands, proxy):
    """Return the numbers of the tables that commands assign to a proxy."""
    return {number for name, number, _ in commands.of("assign_table") if name == proxy}


def test_proxy_of_a_zone_without_endpoints_gets_its_zone_local_table_later(make_harness):
    """Guards against a proxy that is never assigned a table which was empty when it connected."""
    harness = make_harness(operations=READ_AND_LOCAL_WRITE)
    harness.start(proxies=("east", "west"))
    harness.run(2)
    harness.run_round(list_changes([harness.endpoint(name, "west", "gone") for name in WEST]))
    commands = harness.run_round(ProxyConnected(20, "west", 10.0, True), wait_s=0.1)
    commands.all += harness.run(2).all
    returned = [harness.endpoint(name, "west", age_s=1) for name in WEST]
    commands.all += harness.run_round(list_changes(returned)).all + harness.run(3).all
    local_table = harness.table("west", zone_local=True)
    assert local_table.number in tables_assigned(commands, 20)
    assert weights_in(commands, local_table).keys() >= set(WEST)


def test_assignment_of_an_empty_zone_local_table_announces_the_drains_of_its_zone(make_harness):
    """Guards against a proxy that keeps entries of another instance whose endpoints all drain."""
    harness = make_harness(operations=READ_AND_LOCAL_WRITE)
    harness.start(proxies=("east", "west"))
    harness.run(2)
    harness.run_round(list_changes([harness.endpoint(name, "west", "draining") for name in WEST]))
    commands = harness.run_round(ProxyConnected(20, "west", 10.0, False), wait_s=0.1)
    assert harness.table("west", zone_local=True).number in tables_assigned(commands, 20)


@pytest.mark.parametrize("admission_mode", ["rate", "none"])
def test_proxy_gets_a_table_whose_endpoints_wait(make_harness, admission_mode):
    """Guards against tables of an earlier session that send everything to starting endpoints."""
    harness = make_harness(zones=("east",), admission_mode=admission_mode)
    harness.run_round(EndpointListUpdate(ListScope.CACHED, [harness.endpoint("e0", age_s=0.5)]))
    commands = harness.run_round(ProxyConnected(0, "east", 10.0, False), wait_s=0.1)
    assert harness.table().number in tables_assigned(commands, 0)
    assert harness.run(1).of("set_weight") == []


def test_proxy_keeps_its_tables_while_a_table_of_its_new_subset_is_empty(make_harness):
    """Guards against a migration that leaves a proxy without an endpoint for an operation."""
    harness = make_harness(operations=READ_AND_LOCAL_WRITE, subset_size=2)
    harness.start(proxies=("east",) * 4)
    harness.run(2)
    for proxy in harness.state.proxies.values():
        proxy.subset = 0
    harness.state.proxies[0].unassigned = True
    local_table = next(table for table in harness.state.tables["east", 1] if table.zone_local)
    published, local_table.published = local_table.published, {}
    assert not tables_assigned(harness.run_round(wait_s=0.05), 0)
    local_table.published = published
    assert local_table.number in tables_assigned(harness.run_round(wait_s=0.05), 0)
