"""Observed traffic: peak rates by zone and kind, and failing zones."""

import pytest

from swiftchute.api.events import EndpointLoadReport
from swiftchute.safety.observed_traffic import ObservedTraffic, peak_by_kind
from swiftchute.safety.proposal import (
    EndpointStatus,
)
from tests.support.safety import S, status


def test_a_peak_rate_is_a_mean_and_not_the_highest_report():
    traffic, statuses = ObservedTraffic(), {"a": status()}
    for k in range(20):
        traffic.observe_event(EndpointLoadReport("east", "a", 9 if k % 5 else 27, 0, 1, S, None), k * S)
        peaks = peak_by_kind(traffic.peak_rates(statuses, lambda n: True, k * S))
    assert peaks == {"east": pytest.approx((4 * 9 + 27) / 5)}
    assert traffic.peak_rates(statuses, lambda n: True, 300 * S) == {}  # reports and samples are too old


def test_the_peak_rate_of_a_kind_is_that_of_its_busiest_zone():
    traffic = ObservedTraffic()
    statuses = {"a": status(), "w": status("west")}
    statuses = {
        n: EndpointStatus(known.zone, known.state, known.started_ns, known.weight, "std")
        for n, known in statuses.items()
    }
    for k in range(6):
        traffic.observe_event(EndpointLoadReport("east", "a", 10, 0, 1, S, None), k * S)
        traffic.observe_event(EndpointLoadReport("east", "w", 1, 0, 1, S, None), k * S)
        rates_by_zone = traffic.peak_rates(statuses, lambda n: True, k * S)
    assert rates_by_zone == {("east", "std"): 10.0, ("west", "std"): 1.0}
    assert peak_by_kind(rates_by_zone) == {"std": 10.0}


def test_a_zone_whose_endpoints_fail_most_of_their_attempts_is_failing():
    traffic, statuses = ObservedTraffic(), {"a": status(), "w": status("west")}
    traffic.observe_event(EndpointLoadReport("east", "a", 10, 6, 1, S, None), S)
    traffic.observe_event(EndpointLoadReport("east", "w", 10, 4, 1, S, None), S)
    assert traffic.failing_zones(statuses, 2 * S) == {"east"}
    assert traffic.failing_zones(statuses, 100 * S) == frozenset()
