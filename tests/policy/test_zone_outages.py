"""Lost zones, policies that start anew, and outages that overlap: no proxy is left without an endpoint."""

import pytest

from tests.support.settings import DEFAULTS
from tests.support.zone_outages import ZoneOutages


@pytest.mark.parametrize("seed", range(1, 13))
def test_no_proxy_is_left_without_an_endpoint_after_an_outage(seed):
    """Guards against a proxy that lacks a table for good, whatever was empty when it connected."""
    outages = ZoneOutages(seed)
    outages.run()
    assert outages.longest_without_s < DEFAULTS["max_no_endpoint_ns"] / 1e9
