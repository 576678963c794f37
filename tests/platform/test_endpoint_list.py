"""The last good endpoint list: updates, stale lines, invalid members, bounds."""

import pytest

from swiftchute.platform import discovery_messages
from swiftchute.platform.endpoint_list import EndpointList
from tests.support.discovery_lines import line, member

NS_PER_MS = 1_000_000


@pytest.fixture
def endpoint_list():
    made = EndpointList(("east", "west"))
    made.load_cached(line(41, True, member("a"), member("b")))
    return made


def states(update):
    return [(record.endpoint, record.state) for record in update.endpoints]


def test_the_list_in_the_configuration_is_the_cached_one():
    endpoint_list = EndpointList(("east", "west"))
    update = endpoint_list.load_cached(
        line(41, True, member("a", up_since_ms=1_796_000_000_123), member("b", "Terminating"))
    )
    assert update.scope == "held"
    assert endpoint_list.revision == 41
    assert update.endpoints[0] == ("a", "east", "m2", 3, "ready", 1.5, 1_796_000_000_123 * NS_PER_MS)
    assert states(update) == [("a", "ready"), ("b", "draining")]


def test_lines_of_an_older_revision_change_nothing(endpoint_list):
    assert endpoint_list.apply_line(line(40, False, member("a", "Gone"))) is None
    assert endpoint_list.apply_line(line(40, True, member("z"))) is None
    assert set(endpoint_list.endpoints) == {"a", "b"}
    assert endpoint_list.stale_lines == 2
    assert endpoint_list.revision == 41


def test_an_invalid_member_does_not_affect_the_others(endpoint_list):
    members = (member("a", "Terminating"), member("b", "Odd"), member("c", locality="moon"),
               member("d", size=-1), {"id": 7}, member("e"))  # fmt: skip
    update = endpoint_list.apply_line(line(42, False, *members))
    assert states(update) == [("a", "draining"), ("e", "ready")]
    assert len(update.rejected) == 4
    whole = endpoint_list.apply_line(line(43, True, member("a"), member("e", up_since_ms="x")))
    assert states(whole)[0][0] in ("b", "e")
    assert set(endpoint_list.endpoints) == {"a", "b", "e"}


def test_an_endpoint_that_returns_is_reported_with_its_start(endpoint_list):
    endpoint_list.apply_line(line(42, False, member("a", "Gone")))
    update = endpoint_list.apply_line(line(43, False, member("a", up_since_ms=5000)))
    assert update.endpoints[0][4:] == ("ready", 1.5, 5000 * NS_PER_MS)


def test_ten_thousand_endpoints_added_and_removed_leave_no_trace(endpoint_list):
    for k in range(10_000):
        endpoint_list.apply_line(line(50 + 2 * k, False, member(f"s{k}")))
        endpoint_list.apply_line(line(51 + 2 * k, False, member(f"s{k}", "Gone")))
    assert set(endpoint_list.endpoints) == {"a", "b"}


def test_endpoints_past_the_limit_are_rejected_and_reported(endpoint_list, monkeypatch):
    monkeypatch.setattr(discovery_messages, "MAX_ENDPOINTS", 3)
    endpoint_list.apply_line(line(42, False, member("c")))
    update = endpoint_list.apply_line(line(43, False, member("d"), member("a", "Terminating")))
    assert states(update) == [("a", "draining")]
    assert update.rejected == ("endpoint 'd': the list is full, 3 endpoints at most",)
    assert set(endpoint_list.endpoints) == {"a", "b", "c"}
