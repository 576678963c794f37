"""The safety gate: tables that back off, and changes without an order."""

import pytest

from swiftchute.safety.proposal import (
    EndpointStatus,
    Observations,
    SafetyRules,
)
from swiftchute.safety.publish_gate import PublishGate
from tests.support.safety import NOW, SETTINGS, S, proposal, status


@pytest.fixture
def gate():
    return PublishGate(SETTINGS, SafetyRules(), enforce=True, seed=3)


def test_a_table_that_is_rejected_again_and_again_waits_longer_each_time(gate):
    statuses = {"a": status(), "b": status(), "c": status()}
    observations, now = Observations({"east": 10.0}), NOW
    gate.review({1: proposal(a=1.0, b=1.0, c=1.0)}, {1}, statuses, observations, now)
    for k in range(4000):  # a policy that empties its table in every other round, every 5 ms
        now += 5_000_000
        gate.review(
            {1: proposal(a=1.0, b=1.0, c=1.0) if k % 2 else proposal()}, {1}, statuses, observations, now
        )
    assert gate.counts["waited"] > 3500  # of 4000 reviews, 20 s
    waits = [fields for event, fields in gate.take_events() if event == "table waits"]
    assert len(waits) == 1  # logged once
    assert gate.allowed[1][0].keys() == {"a", "b", "c"}


def test_an_endpoint_that_drains_leaves_a_waiting_table_at_once(gate):
    statuses = {"a": status(), "b": status(), "c": status()}
    observations, now = Observations({"east": 10.0}), NOW
    gate.review({1: proposal(a=1.0, b=1.0, c=1.0)}, {1}, statuses, observations, now)
    for _ in range(20):
        now += 5_000_000
        gate.review({1: proposal()}, {1}, statuses, observations, now)
    statuses["b"] = status(state="draining")
    changed = gate.review({1: proposal()}, {1}, statuses, observations, now + 5_000_000, list_revision=1)
    assert changed == [1]
    assert gate.allowed[1][0].keys() == {"a", "c"}


def test_an_order_counts_again_once_the_wait_is_over(gate):
    statuses = {"a": status(), "b": status()}
    observations, now = Observations({"east": 10.0}), NOW
    gate.review({1: proposal(a=1.0, b=1.0)}, {1}, statuses, observations, now)
    for _ in range(8):
        now += 5_000_000
        gate.review({1: proposal()}, {1}, statuses, observations, now)
    assert gate.allowed[1][0] == {"a": 1.0, "b": 1.0}
    proposed = {1: proposal(a=1.0, b=2.0)}
    gate.review(proposed, {1}, statuses, observations, now + 5_000_000)
    assert gate.allowed[1][0]["b"] == 1.0  # the table still backs off
    for k in range(1, 13):  # reviewed once a second without an order
        gate.review(proposed, (), statuses, observations, now + k * S)
    assert gate.allowed[1][0]["b"] == 2.0


def test_a_change_caused_by_the_list_alone_is_delayed_to_let_the_policy_order_it(gate):
    statuses, observations = {"a": status(), "c": status()}, Observations({"east": 10.0})
    proposed_tables = {1: proposal(a=1.0, c=1.0, demand=8.0)}
    gate.review(proposed_tables, {1}, statuses, observations, NOW)
    statuses["c"] = EndpointStatus("east", "ready", NOW, 1.0, "east")  # it restarted
    assert gate.review(proposed_tables, (), statuses, observations, NOW + S // 100, list_revision=1) == []
    assert gate.review(proposed_tables, (), statuses, observations, NOW + S, list_revision=1) == [1]
    assert gate.allowed[1][0]["c"] < 1.0
