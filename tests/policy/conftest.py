"""Fixtures of the policy's tests."""

import pytest

from tests.support.policy import PolicyHarness


@pytest.fixture
def make_harness():
    """Returns the class of the harness that runs a policy; keyword arguments override settings."""
    return PolicyHarness


@pytest.fixture
def started():
    """A harness with four endpoints and one proxy in each of two zones, after its first push."""
    harness = PolicyHarness()
    harness.start()
    return harness
