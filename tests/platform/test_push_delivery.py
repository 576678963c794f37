"""Push messages to slow proxies, within the limits of the protocol, and around a crash of the policy."""

import json

import pytest
from msgspec.structs import astuple

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import (
    PushAcknowledged,
)
from swiftchute.platform import push_delivery, session_manager
from swiftchute.policy.units import NS_PER_S as S
from tests.support.sessions import ACK, AGENT, DEMAND, HELLO, OUTCOMES, World


@pytest.fixture
def world():
    return World()


@pytest.fixture
def world_without_limits():
    """Return a world whose message quota and egress queue do not defer any message."""
    return World(message_quota=0, egress_queue_limit_entries=1e9)


def test_the_rounds_of_a_proxy_that_reads_nothing_are_merged_into_one_message(world_without_limits):
    world = world_without_limits
    slow, quick = world.assigned(1, 2)
    written = {1: b"", 2: b""}
    many = [("set_weight", 1, f"s{k}", 1.0) for k in range(20)]
    for k in range(1000):
        changed = [(verb, table, server, 1.0 + k % 7) for verb, table, server, _ in many]
        for session, data in world.round(*changed, ("request_ack", 6 + k, False), wait=0.001):
            written[session.proxy] += data
            if session is quick:
                world.send(quick, ACK | {"proxy": 2, "mark": 6 + k})
    assert len(written[1]) < push_delivery.MAX_UNREAD_BYTES + 2048 < len(written[2]) / 5
    assert len(slow.pending_nonces) < 256
    assert world.manager.deferred_proxies == {1}
    world.send(slow, ACK | {"mark": slow.pending_nonces[-1].nonce})
    ((session, data),) = world.round()
    assert session is slow
    assert data.count(b"\n") == 1
    message = json.loads(data)
    assert message["nonce_out"] == 1005
    assert not world.manager.deferred_proxies
    held = dict(json.loads(text)["endpoints"][0] for text in written[1].splitlines()[-1:])
    assert held != dict(message["endpoints"][:1])
    assert dict(message["endpoints"]) == {f"s{k}": 1.0 + 999 % 7 for k in range(20)}


def test_a_proxy_that_acknowledges_nothing_is_retried_at_intervals(world):
    (slow,) = world.assigned(1)
    slow.bytes_written += push_delivery.MAX_UNREAD_BYTES
    assert world.round(("set_weight", 1, "a", 2.0), ("request_ack", 6, False)) == []
    assert len(world.round(wait=push_delivery.UNREAD_RETRY_NS / S)) == 1


def test_a_policy_crash_keeps_sessions_and_tables_are_assigned_again(world):
    (session,) = world.assigned(1)
    world.round(("set_ejected", "c", True))
    world.round(("set_weight", 1, "a", float("nan")))
    events = [event for event, _ in world.manager.runner.drain_log_events()]
    assert "policy crashed" in events
    assert session.end_cause is None
    world.now += S
    assert list(world.manager.run_round(world.now)) == []
    ((written, data),) = world.round(
        ("set_weight", 1, "b", 1.0), ("assign_table", 1, 1, 0), ("request_ack", 9, False)
    )
    assert written is session
    assert json.loads(data)["endpoints"] == [["b", 1.0]]
    assert json.loads(data)["full"]


def crash(world):
    """Let the policy crash and restart."""
    world.round(("set_weight", 1, "a", float("nan")))
    assert "policy crashed" in [event for event, _ in world.manager.runner.drain_log_events()]
    world.now += S
    assert list(world.manager.run_round(world.now)) == []


def test_a_restarted_policy_restores_only_what_is_listed_as_ready(world):
    """A proxy without a table may hold another instance's tables, so draining endpoints must stay ejected."""
    world.open(HELLO)
    world.manager.update_list("changes", [EndpointRecord("b", "east", "", 0, "draining", 1.0, 0)])
    ((_, data),) = world.round(
        ("set_ejected", "b", True), ("set_ejected", "c", True), ("request_ack", 5, False)
    )
    assert json.loads(data)["eject"] == ["b", "c"]
    crash(world)
    ((_, data),) = world.round(("request_ack", 1, True))
    assert json.loads(data)["restore"] == ["c"]
    world.manager.update_list("changes", [EndpointRecord("b", "east", "", 0, "ready", 1.0, 0)])
    ((_, data),) = world.round(("request_ack", 2, True))
    assert json.loads(data)["restore"] == ["b"]


def test_an_acknowledgement_for_a_crashed_policy_is_not_passed_to_the_next_one(world):
    (session,) = world.assigned(1)
    world.round(("set_weight", 1, "a", 2.0), ("request_ack", 1, False))
    crash(world)
    world.round(("set_weight", 1, "b", 1.0), ("assign_table", 1, 1, 0), ("request_ack", 1, False))
    world.send(session, ACK | {"mark": 1})  # two are pending: it settles the first
    assert world.events(PushAcknowledged) == []
    assert world.manager.statistics.acks == 2
    world.send(session, ACK | {"mark": 1})
    assert world.events(PushAcknowledged) == [(1, 1, 310_500_000)]
    assert not session.pending_nonces
    assert world.manager.statistics.malformed == 0


def test_state_that_changes_while_the_policy_waits_for_its_restart_is_passed_to_the_new_one(world):
    stays, goes = world.assigned(1, 2)
    for _ in range(6):  # repeated crashes delay the restart of the policy
        world.round(("set_weight", 1, "a", float("nan")), wait=0.01)
        list(world.manager.run_round(world.now))
    assert world.manager.runner.policy is None
    late = world.open(HELLO | {"proxy": 3})
    world.manager.session_closed(goes, "the connection ended")
    again = world.open(HELLO | {"proxy": 2, "fresh": False})
    agent = world.open(AGENT, OUTCOMES)
    world.send(stays, DEMAND)
    world.manager.update_list("changes", [EndpointRecord("d", "east", "", 0, "ready", 1.0, 0),
                                   EndpointRecord("b", "east", "", 0, "gone", 1.0, 0)])  # fmt: skip
    assert list(world.manager.run_round(world.now)) == []
    world.now += 10 * S
    seen = []
    world.policy.reconcile = lambda now, calls, writer: seen.extend(calls)
    list(world.manager.run_round(world.now))
    (scope, entries), *joins = [astuple(event) for event in seen]
    assert scope == "held"
    assert [entry[0] for entry in entries] == ["a", "c", "d"]
    assert sorted(joins) == [(p, "east", 2.5, False) for p in (1, 2, 3)]
    assert [s.end_cause for s in (stays, late, again, agent)] == [None] * 4


def test_limits_that_take_effect_are_counted(world_without_limits):
    world = world_without_limits
    (session,) = world.assigned(1)
    for k in range(300):  # nothing is acknowledged: many nonces, little data
        session.record_push(0, 0, world.now)
        world.round(("set_weight", 1, "a", 2.0 + k), ("request_ack", 10 + k, False))
        session.bytes_acknowledged = session.bytes_written
    assert len(session.pending_nonces) == 256
    assert world.manager.statistics.nonces_lost > 0
    for _ in range(session_manager.MAX_COLLECTORS_PER_ZONE + 2):
        world.open(AGENT)
    assert world.manager.statistics.collectors_closed == 2


def test_messages_that_exceed_the_egress_queue_are_deferred_in_order_until_it_has_room():
    """The limit of 60 entries fits three messages, whatever the policy commands.

    Each costs 20 entries: 13 weights, `full`, the nonce and an overhead of 5.
    """
    world = World(egress_queue_limit_entries=60)
    sessions = [world.open(HELLO | {"proxy": proxy}) for proxy in range(8)]
    weights = [("set_weight", 1, f"s{k}", 1.0) for k in range(13)]
    assignments = [("assign_table", proxy, 1, 0) for proxy in range(8)]
    written = world.round(*weights, *assignments, ("request_ack", 5, False))
    assert [session.proxy for session, _ in written] == [0, 1, 2]
    assert world.manager.ledger.total_entries == 60
    assert world.round(("set_weight", 1, "s0", 2.0), ("request_ack", 6, False)) == []
    for answering, mark, expected in (
        ((0, 1, 2), 5, [3, 4, 5]),
        ((3, 4, 5), 6, [6, 7, 0, 1]),  # the last two receive only the change
        ((6, 7), 6, [2]),
    ):
        for proxy in answering:
            world.send(sessions[proxy], ACK | {"proxy": proxy, "mark": mark})
        later = world.round()
        assert [session.proxy for session, _ in later] == expected
        assert all(["s0", 2.0] in json.loads(data)["endpoints"] for _, data in later)
        assert world.manager.ledger.total_entries <= 60
    events = [event for event, _ in world.manager.runner.drain_log_events()]
    assert events.count("egress queue full") == events.count("egress queue has room") == 1


def test_a_message_larger_than_the_whole_queue_is_written_once_nothing_else_waits():
    world = World(egress_queue_limit_entries=60)
    (session,) = world.assigned(1)
    many = [("set_weight", 1, f"s{k}", 1.0) for k in range(100)]
    assert len(world.round(*many, ("request_ack", 6, False))) == 1
    assert world.round(("set_weight", 1, "a", 2.0), ("request_ack", 7, False)) == []
    world.send(session, ACK | {"mark": 6})
    assert len(world.round()) == 1


def test_a_proxy_is_sent_no_more_messages_within_the_window_than_its_quota():
    world = World(message_quota=10)
    world.assigned(1)
    messages = []
    for k in range(30):
        changed = ("set_weight", 1, "a", 2.0 + k), ("request_ack", 6 + k, False)
        messages += [(world.now, data) for _, data in world.round(*changed, wait=0.2)]
    assert len(messages) == 9  # and the assignment before them
    world.now += 10 * S + 1
    ((_, data),) = world.round()
    assert json.loads(data)["endpoints"] == [["a", 31.0]]


def test_a_message_deferred_before_a_policy_crash_carries_no_nonce_of_the_old_policy():
    world = World(egress_queue_limit_entries=60)
    first, second = [world.open(HELLO | {"proxy": proxy}) for proxy in (1, 2)]
    weights = [("set_weight", 1, f"s{k}", 1.0) for k in range(40)]
    assignments = [("assign_table", proxy, 1, 0) for proxy in (1, 2)]
    assert len(world.round(*weights, *assignments, ("request_ack", 3, False))) == 1
    assert world.manager.deferred_proxies == {2}
    crash(world)
    world.round(*weights[:2], *assignments, ("request_ack", 1, False))
    world.send(first, ACK | {"mark": 3})
    written = {session.proxy: json.loads(data) for session, data in world.round()}
    assert written[2].get("nonce_out") == 1
    world.send(second, ACK | {"proxy": 2, "mark": 3})
    assert world.events(PushAcknowledged) == []
