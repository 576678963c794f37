"""Endpoint lists: the changes of a list, rejected lists and skipped targets."""

import json

import pytest

from swiftchute.discovery.endpoint_list import EndpointList
from swiftchute.discovery.errors import EndpointListError

NS_PER_S = 1_000_000_000


def encoded_list(*endpoints, **labels):
    groups = [{"targets": [e], "labels": {"zone": "east", "state": "ready"} | labels} for e in endpoints]
    return json.dumps(groups).encode()


@pytest.fixture
def endpoint_list():
    listed = EndpointList(("east", "west"), 1000 * NS_PER_S)
    listed.update(encoded_list("10.0.0.1:80", "10.0.0.2:80", start="1010.5"))
    return listed


def test_a_later_list_gives_only_the_changes_and_an_equal_list_none(endpoint_list):
    assert endpoint_list.endpoints["10.0.0.1:80"].started_ns == int(10.5 * NS_PER_S)
    change = endpoint_list.update(encoded_list("10.0.0.2:80", "10.0.0.3:80", start="1010.5"))
    assert change.scope == "changes"
    assert [(record.endpoint, record.state) for record in change.endpoints] == [
        ("10.0.0.1:80", "gone"),
        ("10.0.0.3:80", "ready"),
    ]
    assert endpoint_list.update(encoded_list("10.0.0.2:80", "10.0.0.3:80", start="1010.5")) is None


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
def test_an_invalid_target_is_skipped_and_drains_in_the_same_list_take_effect(endpoint_list, labels, cause):
    groups = json.loads(encoded_list("10.0.0.1:80", **labels)) + json.loads(
        encoded_list("10.0.0.2:80", state="draining", start="1010.5"))  # fmt: skip
    change = endpoint_list.update(json.dumps(groups).encode())
    assert [(record.endpoint, record.state) for record in change.endpoints] == [("10.0.0.2:80", "draining")]
    assert cause in change.skipped[0]
    assert endpoint_list.endpoints["10.0.0.1:80"].state == "ready"  # its last good record stays


def test_of_two_records_of_one_target_the_draining_one_takes_precedence(endpoint_list):
    groups = json.loads(encoded_list("10.0.0.1:80", state="draining")) + json.loads(
        encoded_list("10.0.0.1:80")
    )
    endpoint_list.update(json.dumps(groups).encode())
    assert endpoint_list.endpoints["10.0.0.1:80"].state == "draining"
