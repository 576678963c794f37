"""Endpoint lists: what a list changes, and what is rejected or skipped in one."""

import json

import pytest

from swiftchute.discovery.endpoint_list import EndpointList
from swiftchute.discovery.errors import EndpointListError

S = 1_000_000_000


def listing(*servers, **labels):
    rows = [{"targets": [s], "labels": {"zone": "east", "state": "ready"} | labels} for s in servers]
    return json.dumps(rows).encode()


@pytest.fixture
def endpoint_list():
    made = EndpointList(("east", "west"), 1000 * S)
    made.update(listing("10.0.0.1:80", "10.0.0.2:80", start="1010.5"))
    return made


def test_a_later_list_brings_what_changed_and_an_equal_one_nothing(endpoint_list):
    assert endpoint_list.endpoints["10.0.0.1:80"].started_ns == int(10.5 * S)
    change = endpoint_list.update(listing("10.0.0.2:80", "10.0.0.3:80", start="1010.5"))
    assert change.scope == "changes"
    assert [(record.endpoint, record.state) for record in change.endpoints] == [
        ("10.0.0.1:80", "gone"),
        ("10.0.0.3:80", "ready"),
    ]
    assert endpoint_list.update(listing("10.0.0.2:80", "10.0.0.3:80", start="1010.5")) is None


@pytest.mark.parametrize(
    "text", [b"", b"[", b"{}", b"\xff\xfe", b'[{"targets": "x"}]', b"[]", b'[{"targets": []}]']
)
def test_a_truncated_invalid_or_empty_list_is_rejected_and_the_last_good_list_stays(endpoint_list, text):
    before = dict(endpoint_list.endpoints)
    with pytest.raises(EndpointListError):
        endpoint_list.update(text)
    assert endpoint_list.endpoints == before
    assert endpoint_list.rejected_count == 1


@pytest.mark.parametrize(
    ("labels", "cause"),
    [({"zone": "moon"}, "zone"), ({"state": "lost"}, "state"), ({"weight": "much"}, "weight"),
     ({"weight": "0"}, "drain"), ({"start": "-1"}, "start"), ({"weight": "nan"}, "weight")],
)  # fmt: skip
def test_an_invalid_target_is_skipped_and_the_drains_beside_it_count(endpoint_list, labels, cause):
    rows = json.loads(listing("10.0.0.1:80", **labels)) + json.loads(
        listing("10.0.0.2:80", state="draining", start="1010.5"))  # fmt: skip
    change = endpoint_list.update(json.dumps(rows).encode())
    assert [(record.endpoint, record.state) for record in change.endpoints] == [("10.0.0.2:80", "draining")]
    assert cause in change.skipped[0]
    assert endpoint_list.endpoints["10.0.0.1:80"].state == "ready"  # its last good record stays


def test_of_two_records_of_one_target_the_one_that_drains_counts(endpoint_list):
    rows = json.loads(listing("10.0.0.1:80", state="draining")) + json.loads(listing("10.0.0.1:80"))
    endpoint_list.update(json.dumps(rows).encode())
    assert endpoint_list.endpoints["10.0.0.1:80"].state == "draining"
