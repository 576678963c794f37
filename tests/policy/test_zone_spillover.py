"""Spillover between zones, and its suspension."""

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import EndpointListUpdate, EndpointLoadReport, ProxyConnected
from swiftchute.policy.units import NS_PER_S
from tests.support.policy import CALM


def test_loaded_zone_spills_over_and_calm_one_does_not(started):
    started.run(8, CALM | {f"e{k}": (20, 0, 0.4) for k in range(4)})
    assert any(name[0] == "w" for name in started.table().desired)
    assert not any(name[0] == "e" for name in started.table("west").desired)


def test_slow_network_to_a_zone_suspends_spillover_and_does_not_count_as_load(make_harness):
    """The remote endpoints serve their own zone well; attempts across this network do not reflect on them."""
    harness = make_harness(zones=("east", "west", "south"))
    records = [
        harness.endpoint(f"{zone[0]}{k}", zone) for zone in harness.state.settings.zones for k in range(4)
    ]
    harness.run_round(EndpointListUpdate(ListScope.CACHED, records), ProxyConnected(0, "east", 10.0, True))
    for _ in range(16):
        local = [
            EndpointLoadReport("east", f"e{k}", 20, 0, NS_PER_S * 35 // 100, NS_PER_S // 2, None)
            for k in range(4)
        ]
        remote = [
            EndpointLoadReport("east", f"w{k}", 20, 5, NS_PER_S * 16 // 10, NS_PER_S // 2, None)
            for k in range(4)
        ]
        harness.run_round(*local, *remote, wait_s=0.5)
    table = harness.table()
    assert {name[0] for name in table.desired} == {"e", "s"}
    assert [limit.value for limit in table.desired_admission.limits] == [1.0]
    assert harness.state.endpoints["w0"].health_weight > 0.6
