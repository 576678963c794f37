"""Ejections, and how long removed endpoints are kept."""

from swiftchute.api.events import ProxyConnected, PushAcknowledged
from swiftchute.policy.units import NS_PER_S
from tests.support.policy import list_changes


def test_draining_endpoint_is_ejected_for_proxies_that_cannot_be_assigned_yet(make_harness):
    harness = make_harness(egress_queue_limit_entries=24.0)
    harness.start(proxies=("east",))
    harness.run(1)
    drain_update = list_changes([harness.endpoint("e0", state="draining")])
    commands = harness.run_round(drain_update, ProxyConnected(20, "east", 1.0, True))
    assert commands.of("set_ejected") == [("e0", True)]
    assert commands.of("assign_table") == []
    assert [proxy for proxy, *_ in harness.run(2).of("assign_table")] == [20]
    ejected = harness.run_round(list_changes([harness.endpoint("e0", age_s=0.5)]), wait_s=1.0)
    ejected.all += harness.run(2).all
    assert ejected.of("set_ejected") == [("e0", False)]


def test_ejections_come_before_the_restoration_of_endpoints_that_were_listed_earlier(make_harness):
    """Guards against a proxy that hears late of a drain, as the capacity goes to endpoints that returned."""
    harness = make_harness(egress_queue_limit_entries=60.0)
    harness.start(proxies=("east",) * 3)
    harness.run(2)
    harness.reconciler.ejections.ejected = {"e0"}  # listed first, and ready
    harness.state.proxies[0].subset = None  # not assigned yet
    harness.state.proxies[0].unassigned = False
    commands = harness.run_round(list_changes([harness.endpoint("z", state="gone")]), wait_s=0.05)
    assert commands.of("set_ejected")[0] == ("z", True)


def test_ejection_reserves_entries_only_for_the_proxies_that_receive_it(make_harness):
    """Entries reserved for other proxies would never be acknowledged and would delay assignments."""
    harness = make_harness()
    harness.start(proxies=("east", "west"))
    harness.run(2)
    assert harness.budget.unacknowledged_entries == 0
    harness.state.proxies[0].subset = None  # not assigned yet, it may hold any entries
    commands = harness.run_round(list_changes([harness.endpoint("w0", "west", "gone")]))
    assert commands.of("set_ejected") == [("w0", True)]
    assert commands.of("set_weight") == [(3, "w0", 0)]
    # message overhead, acknowledgement request and one entry
    cost = harness.state.settings.message_overhead_entries + 1 + 1
    reserved = [sum(proxy.unacknowledged_entries.values()) for proxy in harness.state.proxies.values()]
    assert reserved == [cost, cost]
    commands = harness.run_round(list_changes([harness.endpoint("z", state="gone")]))
    assert commands.of("set_ejected") == [("z", True)]  # no table names it
    assert sum(harness.state.proxies[1].unacknowledged_entries.values()) == cost
    assert harness.budget.unacknowledged_entries == sum(
        sum(proxy.unacknowledged_entries.values()) for proxy in harness.state.proxies.values()
    )


def test_removed_endpoints_are_forgotten_past_a_limit(make_harness):
    harness = make_harness()
    harness.start()
    for k in range(2_000):
        harness.run_round(list_changes([harness.endpoint(f"n{k}", age_s=0.0)]), wait_s=0.01)
        acknowledged = [PushAcknowledged(p, harness.budget.nonce, NS_PER_S) for p in harness.state.proxies]
        harness.run_round(
            list_changes([harness.endpoint(f"n{k}", state="gone")]),
            *acknowledged,
            wait_s=0.5,
        )
    assert len(harness.state.endpoints) <= 8 + 200
    assert harness.reconciler.endpoint_list.listed_count == 8 + 2_000
    assert {"e0", "w3"} <= harness.state.endpoints.keys()
    assert sorted(n for n in harness.state.endpoints if n[0] == "n")[-1] == "n1999"
    listing_indexes = [endpoint.listing_index for endpoint in harness.state.endpoints.values()]
    assert len(set(listing_indexes)) == len(listing_indexes)


def test_no_endpoint_is_forgotten_while_a_proxy_may_hold_it(make_harness):
    harness = make_harness()
    harness.start()
    harness.state.proxies[0].subset = None  # not assigned yet
    harness.state.proxies[0].unassigned = False
    for k in range(300):
        harness.run_round(list_changes([harness.endpoint(f"n{k}", state="gone")]))
    assert len(harness.state.endpoints) == 308
    harness.state.proxies[0].subset = 0
    commands = harness.run_round(wait_s=0.1)
    assert len(harness.state.endpoints) == 208
    assert all(not ejected for _, ejected in commands.of("set_ejected"))
    assert len(harness.reconciler.ejections.ejected) <= 200


def test_conditions_of_an_endpoint_are_forgotten_with_it(make_harness):
    harness = make_harness()
    harness.start()
    for k in range(250):
        harness.state.conditions.add(f"cut n{k}")
        harness.run_round(list_changes([harness.endpoint(f"n{k}", state="gone")]))
    assert len(harness.state.conditions) <= 200
    assert "cut n249" in harness.state.conditions
