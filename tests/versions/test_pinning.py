"""Pins, rejections, and the rollbacks that they cause."""

import pytest

from swiftchute.versions.errors import PinError
from swiftchute.versions.history import VersionHistory
from swiftchute.versions.pinning import Pin, PinnedVersions, RejectionTracker
from tests.support.tables import table_of

S = 1_000_000_000
NOW = 1000 * S


@pytest.fixture
def history():
    return VersionHistory("0", max_entries=100, max_age_ns=3600 * S)


def pin_of(history, until_ns=NOW + 60 * S, pins_admission=False, **weights):
    change = history.record("0.1", table_of(0.5, **weights), NOW, "start")
    return Pin(change, table_of(0.5, **weights), until_ns, pins_admission, "rollback")


def test_a_pin_proposes_only_open_endpoints_and_expires(history):
    pins = PinnedVersions()
    pins.pin("0.1", pin_of(history, a=1.0, b=2.0), {"a", "b"})
    assert pins.weights("0.1", {"b", "c"}) == {"b": 2.0}  # a draining endpoint does not come back
    assert pins.weights("0.2", {"b"}) is None
    assert pins.admission("0.1") == {}
    assert pins.due == NOW + 60 * S
    assert pins.take_ended({"b"}, NOW + 59 * S) == []
    assert pins.take_ended({"b"}, NOW + 60 * S) == [("0.1", "its time is over")]
    pins.pin("0.1", pin_of(history, pins_admission=True, a=1.0), {"a"})
    assert pins.admission("0.1") == {"read": (0.5, 1)}
    assert pins.take_ended(set(), NOW) == [("0.1", "none of its endpoints is open")]


def test_a_version_without_an_open_endpoint_cannot_be_pinned(history):
    with pytest.raises(PinError, match="none of its 2 endpoints is open"):
        PinnedVersions().pin("0.1", pin_of(history, a=1.0, b=1.0), {"c"})
    with pytest.raises(PinError, match="not pinned"):
        PinnedVersions().release("0.1")


def test_a_version_that_enough_proxies_reject_is_rolled_back_at_a_limited_rate():
    rejections = RejectionTracker(0.3, 2, 600 * S)
    assert not rejections.on_rejected("p1", "0.1", b"v", 10)
    assert not rejections.on_rejected("p1", "0.1", b"v", 10)  # each proxy counts once
    assert not rejections.on_rejected("p2", "0.1", b"v", 10)
    assert not rejections.on_rejected("p3", "0.1", b"w", 10)  # another version
    assert [rejections.on_rejected(p, "0.1", b"x", 10) for p in "abc"] == [False, False, True]
    assert [rejections.reserve_rollback(NOW + k * S) for k in (0, 1, 2, 700)] == [True, True, False, True]
    assert not RejectionTracker(0.3, 2, S).on_rejected("p", "0.1", b"v", 1)  # at least two proxies are needed
    assert not any(
        RejectionTracker(0.3, 0, S).on_rejected(p, "0.1", b"v", 1) for p in "abc"
    )  # rollbacks are off
