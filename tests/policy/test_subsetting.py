"""Balance of proxies between subsets."""

from swiftchute.policy.subsetting import rebalance


def test_overloaded_subset_unassigns_no_more_load_than_its_excess(make_harness):
    harness = make_harness(subset_size=2)
    harness.start(east=4, west=0, proxies=("east",) * 4)
    for number, proxy in harness.state.proxies.items():
        proxy.subset, proxy.unassigned, proxy.expected_request_rate = 0, False, (40.0, 10.0, 9.0, 1.0)[number]
    harness.state.now_ns = harness.now
    rebalance(harness.state)
    unassigned_proxies = [number for number, proxy in harness.state.proxies.items() if proxy.unassigned]
    assert unassigned_proxies == [1, 2, 3]
