"""Tables of starting endpoints alone, where limits are rates: each rule by itself."""

import pytest

from tests.support.policy import CALM, list_changes
from tests.support.settings import operation

EAST = ("e0", "e1", "e2", "e3")


@pytest.fixture
def lost_zone(make_harness):
    """Return a harness whose endpoints, at 10 requests per second each, are gone."""

    def start(proxies, requests):
        harness = make_harness(operations=(operation("read", zone_local=True),), admission_mode="rate")
        harness.start(proxies=("east",) * proxies)
        harness.run(6, CALM, requests=requests)
        harness.run_round(list_changes([harness.endpoint(name, state="gone") for name in EAST]), wait_s=0.05)
        return harness

    return start


def return_cold(harness, age_s=0.1):
    records = [harness.endpoint(name, age_s=age_s) for name in EAST]
    harness.run_round(list_changes(records), wait_s=0.05)
    return harness.table(zone_local=True)


def test_a_table_without_endpoints_is_limited_to_what_the_first_one_can_serve(lost_zone):
    """Guards against a limit that comes only with the endpoints, when each proxy may still send at once."""
    table = lost_zone(proxies=4, requests=10).table(zone_local=True)
    (limit,) = table.published_admission.limits
    assert limit.value == pytest.approx(0.2 * 10 / 4, rel=0.2)  # of 20 requests per second


def test_endpoints_wait_until_reports_show_that_the_limit_holds(lost_zone):
    """Guards against a request of each proxy at once, under a limit that it has not used up."""
    harness = lost_zone(proxies=4, requests=10)
    assert not return_cold(harness).published
    harness.run(4, requests=10)
    assert set(harness.table(zone_local=True).published) == set(EAST)


def test_a_limit_does_not_rise_while_a_request_of_each_proxy_would_be_too_much(lost_zone):
    """Guards against proxies that may begin each new limit with a request at once."""
    harness = lost_zone(proxies=40, requests=1)
    harness.run(3, requests=1)
    return_cold(harness)
    harness.run(1.5, requests=1)
    table = harness.table(zone_local=True)
    assert set(table.published) == set(EAST)
    assert table.desired_admission.limits[0].value < 0.08  # 0.2 if all of what they can serve were admitted


def test_endpoints_that_can_serve_half_of_the_requests_do_not_wait(lost_zone):
    """Guards against a wait for reports that clients without requests never cause."""
    assert set(return_cold(lost_zone(proxies=4, requests=5), age_s=8).published) == set(EAST)
