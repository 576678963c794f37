"""Fixtures of the tests of the DNS frontend."""

import pytest

from tests.support.dns_frontend import FrontendHarness


@pytest.fixture
def harness():
    created = FrontendHarness()
    created.update_endpoint_list("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
    created.run_rounds(
        *[("set_weight", 1, f"10.0.0.{k}:80", 1.0) for k in (1, 2, 3)],
        ("assign_table", "dns/east", 1, 0),
        ("request_ack", 1, False),
    )
    created.run_rounds()
    return created


@pytest.fixture
def frontend(harness):
    return harness.frontend
