"""Parsing of the policy's condition lines into log fields."""

import pytest

from swiftchute.observability.logging import condition_fields


@pytest.mark.parametrize(
    ("text", "fields"),
    [
        ("cut a:80: on, 9 of 24 tries errored, 1840 ms a good answer, usual 260",
         {"mode": "cut a:80", "on": True, "errored": 9, "tries": 24, "good_ms": 1840, "usual_ms": 260}),
        ("level north 1: on, 0.60, time 0.71 of the objective",
         {"mode": "level north 1", "on": True, "level": 0.6, "time": 0.71}),
        ("warming wait north 5: on, endpoints can serve 0.08 of the requests",
         {"mode": "warming wait north 5", "on": True, "servable": 0.08}),
        ("late push north 5: on, waits for 1.1 s",
         {"mode": "late push north 5", "on": True, "waited_s": 1.1}),
        ("slow channel: on, 0.47 of its usual pace", {"mode": "slow channel", "on": True, "pace": 0.47}),
        ("list lost: off, 12 entries", {"mode": "list lost", "on": False, "entries": 12}),
        ("something else", {"text": "something else"}),
    ],
)  # fmt: skip
def test_condition_lines_are_parsed_into_fields(text, fields):
    assert condition_fields(text) == fields
