"""Load reports: their totals, the delivery rate, and endpoints without a measured latency."""

from swiftchute.api.events import DemandReport, EndpointLoadReport
from swiftchute.controller.load_aggregation import DemandEntry, EndpointEntry, LoadAggregator, LoadReport

NS_PER_S = 1_000_000_000


def report(demand, *endpoints):
    return LoadReport(
        NS_PER_S,
        tuple(DemandEntry(*entry) for entry in demand),
        tuple(EndpointEntry(*entry) for entry in endpoints),
    )


def test_the_oldest_totals_are_delivered_first_and_the_rest_keep_adding_up():
    aggregator = LoadAggregator(rate_entries_per_s=2.0, interval_ns=NS_PER_S)
    first = report([("read", 5, 1)], ("a:1", 4, 1, 300, 3), ("x:9", 4, 0, 1, 1))
    aggregator.add("p", "east", first, {"a:1"}, NS_PER_S)
    aggregator.add("q", "east", report([("read", 3, 0)], ("a:1", 2, 0, 200, 2)), {"a:1"}, 2 * NS_PER_S)
    assert aggregator.pop_due(2 * NS_PER_S) == [
        DemandReport("p", "read", 5, 1, 2 * NS_PER_S),
        EndpointLoadReport("east", "a:1", 6, 1, 100, 2 * NS_PER_S, None),
    ]
    assert aggregator.pop_due(2 * NS_PER_S + 1) == []
    assert aggregator.pop_due(3 * NS_PER_S) == [DemandReport("q", "read", 3, 0, 2 * NS_PER_S)]


def test_an_endpoint_without_measured_latencies_gets_the_mean_of_the_others():
    """A latency of 0 would look infinitely fast, and crash the policy by a division by zero."""
    aggregator = LoadAggregator(rate_entries_per_s=100.0, interval_ns=NS_PER_S)
    both = report([], ("a:1", 4, 0, 0, 0), ("b:1", 2, 0, 500, 2))
    aggregator.add("p", "east", both, {"a:1", "b:1"}, NS_PER_S)
    assert [event.mean_latency_ns for event in aggregator.pop_due(NS_PER_S)] == [250, 250]
    aggregator.add("p", "east", report([], ("a:1", 4, 0, 0, 0)), {"a:1"}, 2 * NS_PER_S)
    assert [event.mean_latency_ns for event in aggregator.pop_due(2 * NS_PER_S)] == [1]
