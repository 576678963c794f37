"""Fixtures of the policy's tests."""

import pytest

from tests.support.policy import PolicyHarness


@pytest.fixture
def make_harness():
    """Creates a policy that plays rounds; keyword arguments vary its settings."""
    return PolicyHarness


@pytest.fixture
def started():
    """A policy with four endpoints and a proxy in each of two zones, after its first push."""
    harness = PolicyHarness()
    harness.start()
    return harness
