"""The event log: one JSON object per line, a limited rate, and write errors that are ignored."""

import io
import json

import pytest

from swiftchute.platform import logging as module
from swiftchute.platform.logging import MAX_LINES_PER_S, EventLog


class Clock:
    """Replaces the module `time`."""

    def __init__(self):
        self.now = 1000.25

    def time(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(module, "time", made)
    return made


def rows(stream):
    return [json.loads(text) for text in stream.getvalue().splitlines()]


def test_an_event_is_one_line_with_its_fields(clock):
    stream = io.StringIO()
    EventLog("n0", stream)("serving", address="127.0.0.1:1")
    assert rows(stream) == [{"at": 1000.25, "planner": "n0", "event": "serving", "address": "127.0.0.1:1"}]


def test_lines_above_the_limit_are_dropped_and_counted_in_the_next_second(clock):
    stream = io.StringIO()
    log = EventLog("n0", stream)
    for number in range(MAX_LINES_PER_S + 7):
        log("event", number=number)
    assert len(rows(stream)) == MAX_LINES_PER_S
    clock.now += 1
    log("later")
    assert rows(stream)[-1]["lines_lost"] == 7
    log("last")
    assert "lines_lost" not in rows(stream)[-1]


def test_a_closed_stream_does_not_stop_the_process(clock):
    stream = io.StringIO()
    log = EventLog("n0", stream)
    stream.close()
    log("event")
    log("event")
