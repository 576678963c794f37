"""Client sessions without sockets: connecting, malformed input, timeouts, limits, events for the policy."""

import pytest

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import (
    DemandReport,
    EndpointListUpdate,
    EndpointLoadReport,
    ProxyConnected,
    ProxyDisconnected,
    PushAcknowledged,
)
from swiftchute.platform import session_manager
from swiftchute.platform.proxy_session import MAX_FIRST_MESSAGE_BYTES, ProxySession
from swiftchute.policy.units import NS_PER_S as S
from tests.support.sessions import ACK, AGENT, DEMAND, HELLO, MS, OUTCOMES, World, errors, text


@pytest.fixture
def world():
    return World()


def test_input_may_be_split_at_any_byte():
    whole = b"".join(text(m) for m in ({"msg": "probe"}, HELLO, DEMAND, DEMAND | {"class": "write"}, DEMAND))
    expected = World()
    expected.send(expected.open(), whole)
    assert len(expected.manager.runner.pending_events) == 5  # list, proxy connected, three reports
    for place in range(1, len(whole)):
        world = World()
        session = world.open()
        for piece in (whole[:place], whole[place:]):
            world.send(session, piece)
        assert world.manager.runner.pending_events == expected.manager.runner.pending_events
        assert session.outgoing == [b'{"msg":"alive"}\n']
        assert session.end_cause is None
    world = World()
    session = world.open()
    for place in range(len(whole)):
        world.send(session, whole[place : place + 1])
    assert world.manager.runner.pending_events == expected.manager.runner.pending_events


def test_messages_become_events_of_the_policy(world):
    session, agent = world.open(HELLO, DEMAND), world.open(AGENT, OUTCOMES)
    assert world.events(ProxyConnected) == [(1, "east", 2.5, True)]
    assert world.events(DemandReport) == [(1, "read", 19, 0, 500 * MS)]
    load = {"in_hand": 7, "busy": 0.5}
    assert world.events(EndpointLoadReport) == [("east", "a", 9, 2, 41_500_000, 1000 * MS, load)]
    world.send(agent, OUTCOMES | {"tries": 2, "mean_ms": 0.0, "load": None})
    assert world.events(EndpointLoadReport)[1] == ("east", "a", 2, 2, 0, 1000 * MS, None)
    world.send(agent, DEMAND)  # any collector may report demand
    assert len(world.events(DemandReport)) == 2
    # A request may fail in the window after the one it arrived in, so a report of "1 of 0 failed" is valid.
    world.send(session, DEMAND | {"tries": 0, "failed": 1})
    assert world.events(DemandReport)[2] == (1, "read", 0, 1, 500 * MS)
    world.round(("set_weight", 1, "a", 1.0), ("assign_table", 1, 1, 0), ("request_ack", 5, False))
    world.send(session, ACK)
    assert world.events(PushAcknowledged) == [(1, 5, 310_500_000)]
    assert world.manager.statistics.malformed == 0


@pytest.mark.parametrize("message", [
    b"GET /catalog/members HTTP/1.1\r\n", b"\n", b"{}\n", b"[]\n", b'"probe"\n', b"\xff\xfe\n",
    b'{"msg":"hello"\n',
    b"{" * 60_000 + b"\n", text({"msg": "nonsense"}), text({"msg": "push", "endpoints": [["a", 1]]}),
    text(HELLO | {"proxy": 400}), text(HELLO | {"proxy": -1}), text(HELLO | {"zone": "nowhere"}),
    text(HELLO | {"weight": -1.0}), text(HELLO | {"fresh": 1}), text(HELLO | {"proxy": 1.5}),
    text(AGENT | {"zone": "nowhere"}), text(OUTCOMES), text(DEMAND), text(ACK),
    b"x" * (MAX_FIRST_MESSAGE_BYTES + 1),
    b'{"msg":"hello","proxy":1,"zone":"east","weight":NaN,"fresh":true}\n',
])  # fmt: skip
def test_invalid_input_of_an_unidentified_client_gets_an_error_and_ends_the_session(world, message):
    session = world.open(message)
    assert session.end_cause
    (word,) = errors(session)
    assert word["msg"] == "error"
    assert word["cause"]
    world.send(session, HELLO)  # further messages are ignored
    assert not world.manager.sessions_by_proxy
    assert world.events(ProxyConnected) == []


MALFORMED = [
    *({k: v for k, v in DEMAND.items() if k != field} for field in list(DEMAND)[1:]),
    *(DEMAND | {field: value} for field, value in (
        ("proxy", 2), ("proxy", 9999), ("proxy", "1"), ("class", "none"), ("class", 3), ("tries", -1),
        ("tries", 1.5), ("tries", 10**18), ("tries", None), ("failed", -2), ("span_ms", 0), ("span_ms", -5),
        ("span_ms", 1e15), ("span_ms", "long"),
    )),
    *({k: v for k, v in ACK.items() if k != field} for field in ("proxy", "mark", "took_ms")),
    *(ACK | {field: value} for field, value in (
        ("proxy", 2), ("mark", 77), ("mark", -1), ("mark", "5"), ("mark", 10**12), ("took_ms", -1),
        ("took_ms", 1e12), ("took_ms", []),
    )),
    OUTCOMES, HELLO, AGENT, {"msg": "push", "full": True}, {"msg": "other"}, {}, [1], 7,
    b'{"msg":"demand","proxy":1,"class":"read","tries":NaN,"failed":0,"span_ms":1.0}\n',
]  # fmt: skip


@pytest.mark.parametrize("malformed", MALFORMED)
def test_a_malformed_message_of_a_proxy_is_dropped_and_later_ones_are_handled(world, malformed):
    (session,) = world.assigned(1)
    world.round(("set_weight", 1, "a", 2.0), ("request_ack", 5, False))  # an acknowledgement is pending
    before = list(world.manager.runner.pending_events)
    world.send(session, malformed)
    assert world.manager.runner.pending_events == before
    assert session.end_cause is None
    assert not session.outgoing
    assert world.manager.statistics.malformed == 1
    world.send(session, DEMAND)
    world.send(session, ACK)
    assert len(world.manager.runner.pending_events) == len(before) + 2


@pytest.mark.parametrize("malformed", [
    *({k: v for k, v in OUTCOMES.items() if k != field} for field in list(OUTCOMES)[1:-1]),
    *(OUTCOMES | {field: value} for field, value in (
        ("zone", "nowhere"), ("zone", 1), ("server", "unlisted"), ("server", None), ("tries", -4),
        ("failed", 10), ("mean_ms", -0.5), ("mean_ms", 1e9), ("mean_ms", "fast"), ("mean_ms", None),
        ("span_ms", 0), ("load", [1]), ("load", {"util": -1}), ("load", {"util": "full"}),
    )),
    DEMAND, ACK, HELLO, AGENT,
])  # fmt: skip
def test_a_malformed_message_of_a_collector_is_dropped_without_a_reply(world, malformed):
    agent = world.open(AGENT)
    before = list(world.manager.runner.pending_events)
    world.send(agent, malformed)
    assert world.manager.runner.pending_events == before
    assert agent.end_cause is None
    world.send(agent, OUTCOMES)
    assert len(world.events(EndpointLoadReport)) == 1
    assert not agent.outgoing


def test_an_identified_client_that_sends_no_json_is_disconnected(world):
    session, agent = world.open(HELLO), world.open(AGENT)
    for connection in (session, agent):
        world.send(connection, b"\x00\x01garbage\n")
        assert connection.end_cause
        world.manager.session_closed(connection, connection.end_cause)
    assert world.events(ProxyDisconnected) == [(1,)]
    assert not world.manager.sessions_by_proxy
    assert not world.manager.collectors
    assert not agent.outgoing  # nothing is ever written to a collector


def test_messages_up_to_the_size_limit_are_accepted(world):
    session = world.open(HELLO)
    padded = text(DEMAND)[:-2] + b" " * ((1 << 20) - len(text(DEMAND))) + b"}\n"
    for first in range(0, len(padded), 10_000):
        world.send(session, padded[first : first + 10_000])
    assert len(world.events(DemandReport)) == 1
    assert session.end_cause is None
    world.send(session, b" " * ((1 << 20) + 1))
    assert session.end_cause
    assert not session.unparsed


def test_a_new_session_of_a_proxy_replaces_one_that_has_not_ended(world):
    old = world.open(HELLO)
    new = world.open(HELLO | {"fresh": False, "weight": 3.0})
    joins = [
        (type(event), event.proxy)
        for event in world.manager.runner.pending_events
        if isinstance(event, (ProxyConnected, ProxyDisconnected))
    ]
    assert joins == [(ProxyConnected, 1), (ProxyDisconnected, 1), (ProxyConnected, 1)]
    assert old.end_cause
    assert world.manager.sessions_to_close == [old]
    assert not old.outgoing
    world.manager.session_closed(old, "the connection ended")
    assert len(world.events(ProxyDisconnected)) == 1
    assert world.manager.sessions_by_proxy == {1: new}
    world.round(("set_weight", 1, "a", 1.0), ("assign_table", 1, 1, 0))
    world.manager.session_closed(new, "the connection ended")
    assert len(world.events(ProxyDisconnected)) == 1  # the first one was delivered in the round


def test_a_new_session_of_a_proxy_may_start_after_the_old_one_ended(world):
    world.manager.session_closed(world.open(HELLO), "the connection ended")
    world.open(HELLO)
    joins = [
        type(event)
        for event in world.manager.runner.pending_events
        if isinstance(event, (ProxyConnected, ProxyDisconnected))
    ]
    assert joins == [ProxyConnected, ProxyDisconnected, ProxyConnected]


def test_a_nonce_of_the_old_session_is_unknown_to_the_new_one(world):
    world.assigned(1)
    world.round(("set_weight", 1, "a", 3.0), ("request_ack", 6, False))
    new = world.open(HELLO)
    world.send(new, ACK | {"mark": 6})
    assert world.events(PushAcknowledged) == []
    assert world.manager.statistics.malformed == 1


def test_silent_unidentified_clients_are_disconnected_at_the_second_check(world):
    silent, half, slow = world.open(), world.open(b'{"msg":"hel'), world.open({"msg": "probe"})
    proxy = world.open(HELLO)
    world.now += 5 * S  # the process was suspended: bytes waiting in the sockets are read first
    world.manager.check_timeouts(world.now)
    assert not world.manager.sessions_to_close
    world.send(slow, HELLO | {"proxy": 2})
    world.manager.check_timeouts(world.now)
    assert world.manager.sessions_to_close == [silent, half]
    assert all(errors(session)[-1]["msg"] == "error" for session in (silent, half))
    assert proxy.end_cause is None
    assert slow.end_cause is None
    assert set(world.manager.sessions_by_proxy) == {1, 2}


def test_hundreds_of_unidentified_clients_do_not_affect_proxies():
    world = World(sockets=256)
    proxies = [world.open(HELLO | {"proxy": p}) for p in range(150)]
    unknown = [world.open(b"{") for _ in range(500)]
    most = 256 - session_manager.RESERVED_SOCKETS - 150
    assert len(world.manager.pending_sessions) == most
    assert list(world.manager.pending_sessions) == unknown[-most:]
    assert world.manager.sessions_to_close == unknown[:-most]
    assert all(p.end_cause is None for p in proxies)
    late = world.open(HELLO | {"proxy": 150})
    assert late.end_cause is None
    assert len(world.manager.sessions_by_proxy) == 151


def test_collectors_of_a_zone_are_bounded_and_the_oldest_is_closed(world):
    agents = [world.open(AGENT) for _ in range(session_manager.MAX_COLLECTORS_PER_ZONE + 2)]
    assert world.manager.sessions_to_close == agents[:2]
    assert len(world.manager.collectors) == session_manager.MAX_COLLECTORS_PER_ZONE


def test_a_silent_proxy_with_a_pending_acknowledgement_is_disconnected(world):
    quiet, talks, clear = world.assigned(1, 2, 3)
    world.round(("set_weight", 1, "a", 2.0), ("request_ack", 6, False))
    world.send(clear, ACK | {"proxy": 3, "mark": 6})
    world.now += session_manager.IDLE_TIMEOUT_NS
    world.send(talks, DEMAND | {"proxy": 2})
    world.now += 1
    world.manager.check_timeouts(world.now)
    assert world.manager.sessions_to_close == [quiet]
    assert set(world.manager.sessions_by_proxy) == {2, 3}
    assert world.events(ProxyDisconnected) == [(1,)]


def test_a_connection_that_ends_right_after_its_hello_leaves_no_state(world):
    session = world.open(text(HELLO) + text(DEMAND) + b'{"msg":"ack","pro')
    world.manager.session_closed(session, "the connection ended")
    assert [type(event) for event in world.manager.runner.pending_events] == [
        EndpointListUpdate,
        ProxyConnected,
        DemandReport,
        ProxyDisconnected,
    ]
    assert (
        list(world.round(("set_weight", 1, "a", 1.0), ("assign_table", 1, 1, 0), ("request_ack", 5, True)))
        == []
    )
    assert not world.manager.sessions_by_proxy
    assert not world.manager.encoder.proxies
    assert not world.manager.runner.assignments.proxies


def test_a_client_killed_right_after_its_accept_leaves_no_state(world):
    for _ in range(1000):
        world.manager.session_closed(world.open(), "the connection broke")
    assert not world.manager.pending_sessions
    assert [type(event) for event in world.manager.runner.pending_events] == [EndpointListUpdate]


@pytest.mark.parametrize("first", ["old end", "new acknowledgement"])
def test_the_late_end_of_an_old_session_and_an_acknowledgement_on_the_new_one_in_both_orders(world, first):
    (old,) = world.assigned(1)
    world.round(("set_weight", 1, "a", 2.0), ("request_ack", 6, False))
    new = world.open(HELLO | {"fresh": False})
    world.round(("assign_table", 1, 1, 0), ("request_ack", 7, False))
    if first == "old end":
        world.manager.session_closed(old, "the connection broke")
    world.send(old, ACK | {"mark": 6})  # its bytes were waiting in the socket
    world.send(new, ACK | {"mark": 7})
    if first != "old end":
        world.manager.session_closed(old, "the connection broke")
    assert world.events(PushAcknowledged) == [(1, 7, 310_500_000)]
    assert world.events(ProxyDisconnected) == []
    assert world.manager.sessions_by_proxy == {1: new}
    assert world.manager.statistics.disconnected == 1


def test_a_whole_fleet_that_connects_at_once_is_read_before_any_is_evicted():
    world = World(sockets=1024)
    sessions = [world.open() for _ in range(900)]  # all accepted, none read yet
    assert not world.manager.sessions_to_close
    world.send(sessions[0], {"msg": "probe"})
    assert errors(sessions[0]) == [{"msg": "alive"}]
    for p, session in enumerate(sessions[1:401]):
        world.send(session, HELLO | {"proxy": p})
    assert len(world.manager.sessions_by_proxy) == 400


def test_state_stays_bounded_over_many_endpoints_and_sessions(world):
    for k in range(10_000):
        name = f"s{k}"
        world.manager.update_list("changes", [EndpointRecord(name, "east", "", 0, "ready", 1.0, 0)])
        world.manager.update_list("changes", [EndpointRecord(name, "east", "", 0, "gone", 1.0, 0)])
        session = world.open(HELLO | {"proxy": k % 400})
        world.manager.session_closed(session, "the connection ended")
        world.round()
        world.manager.runner.drain_log_events()
    manager = world.manager
    assert len(manager.reportable_endpoints) < 1100
    assert len(manager.runner.endpoint_records) == 3
    assert not manager.sessions_by_proxy
    assert not manager.pending_sessions
    assert not manager.encoder.proxies
    assert not manager.runner.proxies


def test_a_session_has_no_dict():
    assert not hasattr(ProxySession(World().manager, 0), "__dict__")
