"""Assignments: entries of a round by proxy, admission, and invalid commands."""

import pytest

from swiftchute.controller.assignments import Assignments
from swiftchute.controller.errors import CommandError
from tests.support.controller import SETTINGS


@pytest.fixture
def assignments():
    commanded = Assignments(SETTINGS)
    commanded.on_proxy_connected("p", "east")
    commanded.on_proxy_connected("q", "east")
    return commanded


def test_an_assignment_sends_the_whole_table_and_later_changes_one_entry_each(assignments):
    assignments.set_weight(1, "a:1", 1.0)
    assignments.set_weight(1, "b:1", 1.0)
    assignments.assign_table("p", 1, 0)
    assignments.request_ack(3, False)
    result = assignments.finish_round()
    # one for the assignment, two for the table, one for the nonce
    assert (result.entries_by_proxy, result.nonce) == ({"p": 4}, 3)
    assignments.set_weight(1, "a:1", 0)
    assert assignments.finish_round().entries_by_proxy == {"p": 1}


def test_an_ejection_is_sent_to_unassigned_proxies_and_those_whose_tables_hold_the_endpoint(assignments):
    assignments.set_weight(1, "a:1", 1.0)
    assignments.assign_table("p", 1, 0)
    assignments.finish_round()
    assignments.set_ejected("z:1", True)
    assert assignments.finish_round().entries_by_proxy == {"q": 1}
    assignments.set_ejected("a:1", True)
    assert assignments.finish_round().entries_by_proxy == {"p": 1, "q": 1}


def test_the_lower_admission_rate_applies_with_the_retry_policy_of_the_table(assignments):
    assignments.set_admission(1, 0b01, 0.5, 0)
    assignments.set_admission(None, 0, 0.7, 2)
    assert [assignments.admission(1, operation) for operation in (0, 1)] == [(0.5, 0), (0.7, 2)]


def test_a_limit_by_rate_for_all_tables_is_not_lowered_to_one_request(assignments):
    """Guards against the share of 1 that stands for no limit, where limits are requests per second."""
    assignments.set_weight(1, "a:1", 1.0)
    assignments.set_admission(None, 0, 12.5, 2)
    assert assignments.admission(1, 0) == (12.5, 2)


@pytest.mark.parametrize(
    ("command", "arguments"),
    [
        ("set_weight", (1, "a:1", float("nan"))),
        ("set_weight", (1, "a:1", -1.0)),
        ("set_weight", (65_535, "a:1", 1.0)),
        ("set_admission", (1, 0, -0.1, 0)),
        ("set_admission", (1, 0, 1.0, 4)),
        ("probe", ("a:1",)),
        ("send_to_peer", (1, b"")),
    ],
)
def test_an_invalid_command_raises(assignments, command, arguments):
    with pytest.raises(CommandError):
        getattr(assignments, command)(*arguments)
