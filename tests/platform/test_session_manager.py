"""The platform's front without sockets: connections, spoilt input, slow proxies, what the module is told."""

import json

import pytest
from msgspec.structs import astuple

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import (
    DemandReport,
    EndpointListUpdate,
    EndpointLoadReport,
    ProxyConnected,
    ProxyDisconnected,
    PushAcknowledged,
    TimerFired,
)
from swiftchute.api.settings import Settings
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform import session_manager as module
from swiftchute.platform.proxy_session import FIRST_MOST, ProxySession
from swiftchute.platform.session_manager import SessionManager
from swiftchute.policy import S
from tests.conftest import FACTS, Fixed, operation

MS = 1_000_000
HELLO = {"msg": "hello", "proxy": 1, "zone": "east", "weight": 2.5, "fresh": True}
AGENT = {"msg": "agent", "zone": "east"}
OUTCOMES = {"msg": "outcomes", "zone": "east", "server": "a", "tries": 9, "failed": 2, "mean_ms": 41.5,
            "span_ms": 1000.0, "load": {"inflight": 7, "util": 0.5}}  # fmt: skip
DEMAND = {"msg": "demand", "proxy": 1, "class": "read", "tries": 19, "failed": 0, "span_ms": 500.0}
ACK = {"msg": "ack", "proxy": 1, "mark": 5, "took_ms": 310.5}


def text(message):
    return json.dumps(message).encode() + b"\n"


class World:
    """A front whose module does what the test says, and a clock."""

    def __init__(self, sockets=1024, **facts):
        self.decider, self.now = Fixed(), 1000 * S
        facts = FACTS | {"operations": (operation("read"), operation("write")), "proxy_count": 400} | facts
        loop = PolicyRunner(Settings(**facts), 7, lambda settings, seed: self.decider, self.now)
        self.front = SessionManager(loop, sockets)
        self.front.listed("held", [EndpointRecord(s, "east", "", 0, "ready", 1.0, 0) for s in "abc"])

    def open(self, *said):
        stream = self.front.opened(self.now)
        for message in said:
            self.say(stream, message)
        return stream

    def say(self, stream, message):
        stream.received(message if isinstance(message, bytes) else text(message), self.now)

    def calls(self, kind):
        """The fields of each event of a kind that waits for the next round."""
        return [astuple(event) for event in self.front.loop.pending_events if isinstance(event, kind)]

    def turn(self, *writes, wait=0.0):
        self.now += int(wait * S)
        self.decider.writes = list(writes)
        self.front.loop.enqueue(TimerFired(0))
        return [(stream, data) for stream, data in self.front.turn(self.now)]

    def bound(self, *proxies):
        """Joined proxies on a table of a and b, which have answered for it."""
        streams = [self.open(HELLO | {"proxy": p}) for p in proxies]
        self.turn(
            ("set_weight", 1, "a", 1.0),
            ("set_weight", 1, "b", 1.0),
            *(("assign_table", p, 1, 0) for p in proxies),
            ("request_ack", 5, False),
        )
        for p, stream in zip(proxies, streams, strict=True):
            self.say(stream, ACK | {"proxy": p})
        return streams


@pytest.fixture
def world():
    return World()


def errors(stream):
    return [json.loads(line) for data in stream.out for line in data.splitlines()]


def test_bytes_may_be_split_at_every_place():
    whole = b"".join(text(m) for m in ({"msg": "probe"}, HELLO, DEMAND, DEMAND | {"class": "write"}, DEMAND))
    expected = World()
    expected.say(expected.open(), whole)
    assert len(expected.front.loop.pending_events) == 5  # the list, the joining and three sums
    for place in range(1, len(whole)):
        world = World()
        stream = world.open()
        for piece in (whole[:place], whole[place:]):
            world.say(stream, piece)
        assert world.front.loop.pending_events == expected.front.loop.pending_events
        assert stream.out == [b'{"msg":"alive"}\n']
        assert stream.ended is None
    world = World()
    stream = world.open()
    for place in range(len(whole)):
        world.say(stream, whole[place : place + 1])
    assert world.front.loop.pending_events == expected.front.loop.pending_events


def test_messages_become_calls_in_the_words_of_the_interface(world):
    stream, agent = world.open(HELLO, DEMAND), world.open(AGENT, OUTCOMES)
    assert world.calls(ProxyConnected) == [(1, "east", 2.5, True)]
    assert world.calls(DemandReport) == [(1, "read", 19, 0, 500 * MS)]
    load = {"in_hand": 7, "busy": 0.5}
    assert world.calls(EndpointLoadReport) == [("east", "a", 9, 2, 41_500_000, 1000 * MS, load)]
    world.say(agent, OUTCOMES | {"tries": 2, "mean_ms": 0.0, "load": None})
    assert world.calls(EndpointLoadReport)[1] == ("east", "a", 2, 2, 0, 1000 * MS, None)
    world.say(agent, DEMAND)  # usage may come by any collector
    assert len(world.calls(DemandReport)) == 2
    # what came in one span may fail in the next: seen from a calm day, "1 of 0 failed"
    world.say(stream, DEMAND | {"tries": 0, "failed": 1})
    assert world.calls(DemandReport)[2] == (1, "read", 0, 1, 500 * MS)
    world.turn(("set_weight", 1, "a", 1.0), ("assign_table", 1, 1, 0), ("request_ack", 5, False))
    world.say(stream, ACK)
    assert world.calls(PushAcknowledged) == [(1, 5, 310_500_000)]
    assert world.front.counts["spoilt"] == 0


@pytest.mark.parametrize("said", [
    b"GET /catalog/members HTTP/1.1\r\n", b"\n", b"{}\n", b"[]\n", b'"probe"\n', b"\xff\xfe\n",
    b'{"msg":"hello"\n',
    b"{" * 60_000 + b"\n", text({"msg": "nonsense"}), text({"msg": "push", "endpoints": [["a", 1]]}),
    text(HELLO | {"proxy": 400}), text(HELLO | {"proxy": -1}), text(HELLO | {"zone": "nowhere"}),
    text(HELLO | {"weight": -1.0}), text(HELLO | {"fresh": 1}), text(HELLO | {"proxy": 1.5}),
    text(AGENT | {"zone": "nowhere"}), text(OUTCOMES), text(DEMAND), text(ACK), b"x" * (FIRST_MOST + 1),
    b'{"msg":"hello","proxy":1,"zone":"east","weight":NaN,"fresh":true}\n',
])  # fmt: skip
def test_a_stranger_that_cannot_be_used_gets_an_error_and_is_closed(world, said):
    stream = world.open(said)
    assert stream.ended
    (word,) = errors(stream)
    assert word["msg"] == "error"
    assert word["cause"]
    world.say(stream, HELLO)  # nothing more is heard
    assert not world.front.streams
    assert world.calls(ProxyConnected) == []


SPOILT = [
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


@pytest.mark.parametrize("spoilt", SPOILT)
def test_a_spoilt_message_of_a_proxy_is_dropped_and_the_rest_heard(world, spoilt):
    (stream,) = world.bound(1)
    world.turn(("set_weight", 1, "a", 2.0), ("request_ack", 5, False))  # a mark is owed
    before = list(world.front.loop.pending_events)
    world.say(stream, spoilt)
    assert world.front.loop.pending_events == before
    assert stream.ended is None
    assert not stream.out
    assert world.front.counts["spoilt"] == 1
    world.say(stream, DEMAND)
    world.say(stream, ACK)
    assert len(world.front.loop.pending_events) == len(before) + 2


@pytest.mark.parametrize("spoilt", [
    *({k: v for k, v in OUTCOMES.items() if k != field} for field in list(OUTCOMES)[1:-1]),
    *(OUTCOMES | {field: value} for field, value in (
        ("zone", "nowhere"), ("zone", 1), ("server", "unlisted"), ("server", None), ("tries", -4),
        ("failed", 10), ("mean_ms", -0.5), ("mean_ms", 1e9), ("mean_ms", "fast"), ("mean_ms", None),
        ("span_ms", 0), ("load", [1]), ("load", {"util": -1}), ("load", {"util": "full"}),
    )),
    DEMAND, ACK, HELLO, AGENT,
])  # fmt: skip
def test_a_spoilt_message_of_a_collector_is_dropped_and_nothing_written(world, spoilt):
    agent = world.open(AGENT)
    before = list(world.front.loop.pending_events)
    world.say(agent, spoilt)
    assert world.front.loop.pending_events == before
    assert agent.ended is None
    world.say(agent, OUTCOMES)
    assert len(world.calls(EndpointLoadReport)) == 1
    assert not agent.out


def test_a_joined_connection_that_nobody_can_read_is_closed(world):
    stream, agent = world.open(HELLO), world.open(AGENT)
    for connection in (stream, agent):
        world.say(connection, b"\x00\x01garbage\n")
        assert connection.ended
        world.front.closed(connection, connection.ended)
    assert world.calls(ProxyDisconnected) == [(1,)]
    assert not world.front.streams
    assert not world.front.collectors
    assert not agent.out  # nothing is ever written to a collector


def test_a_message_of_any_size_up_to_the_limit(world):
    stream = world.open(HELLO)
    padded = text(DEMAND)[:-2] + b" " * ((1 << 20) - len(text(DEMAND))) + b"}\n"
    for first in range(0, len(padded), 10_000):
        world.say(stream, padded[first : first + 10_000])
    assert len(world.calls(DemandReport)) == 1
    assert stream.ended is None
    world.say(stream, b" " * ((1 << 20) + 1))
    assert stream.ended
    assert not stream.rest


def test_the_new_stream_of_a_proxy_comes_before_the_old_one_ends(world):
    old = world.open(HELLO)
    new = world.open(HELLO | {"fresh": False, "weight": 3.0})
    joins = [
        (type(event), event.proxy)
        for event in world.front.loop.pending_events
        if isinstance(event, (ProxyConnected, ProxyDisconnected))
    ]
    assert joins == [(ProxyConnected, 1), (ProxyDisconnected, 1), (ProxyConnected, 1)]
    assert old.ended
    assert world.front.ending == [old]
    assert not old.out
    world.front.closed(old, "the connection ended")
    assert len(world.calls(ProxyDisconnected)) == 1
    assert world.front.streams == {1: new}
    world.turn(("set_weight", 1, "a", 1.0), ("assign_table", 1, 1, 0))
    world.front.closed(new, "the connection ended")
    assert len(world.calls(ProxyDisconnected)) == 1  # of the round since; the module heard of the first


def test_the_old_stream_of_a_proxy_ends_before_the_new_one_comes(world):
    world.front.closed(world.open(HELLO), "the connection ended")
    world.open(HELLO)
    joins = [
        type(event)
        for event in world.front.loop.pending_events
        if isinstance(event, (ProxyConnected, ProxyDisconnected))
    ]
    assert joins == [ProxyConnected, ProxyDisconnected, ProxyConnected]


def test_a_mark_of_the_old_stream_is_none_of_the_new(world):
    world.bound(1)
    world.turn(("set_weight", 1, "a", 3.0), ("request_ack", 6, False))
    new = world.open(HELLO)
    world.say(new, ACK | {"mark": 6})
    assert world.calls(PushAcknowledged) == []
    assert world.front.counts["spoilt"] == 1


def test_silent_strangers_are_closed_after_one_more_reading(world):
    silent, half, slow = world.open(), world.open(b'{"msg":"hel'), world.open({"msg": "probe"})
    proxy = world.open(HELLO)
    world.now += 5 * S  # this process stood still: what lies in the sockets is read first
    world.front.tend(world.now)
    assert not world.front.ending
    world.say(slow, HELLO | {"proxy": 2})
    world.front.tend(world.now)
    assert world.front.ending == [silent, half]
    assert all(errors(stream)[-1]["msg"] == "error" for stream in (silent, half))
    assert proxy.ended is None
    assert slow.ended is None
    assert set(world.front.streams) == {1, 2}


def test_hundreds_of_strangers_take_nothing_from_proxies():
    world = World(sockets=256)
    proxies = [world.open(HELLO | {"proxy": p}) for p in range(150)]
    strangers = [world.open(b"{") for _ in range(500)]
    most = 256 - module.RESERVE - 150
    assert len(world.front.unjoined) == most
    assert list(world.front.unjoined) == strangers[-most:]
    assert world.front.ending == strangers[:-most]
    assert all(p.ended is None for p in proxies)
    late = world.open(HELLO | {"proxy": 150})
    assert late.ended is None
    assert len(world.front.streams) == 151


def test_collectors_of_a_zone_are_bounded_and_the_oldest_gives_way(world):
    agents = [world.open(AGENT) for _ in range(module.COLLECTORS_MOST + 2)]
    assert world.front.ending == agents[:2]
    assert len(world.front.collectors) == module.COLLECTORS_MOST


def test_a_proxy_that_reads_nothing_gets_one_message_of_what_it_should_hold(world):
    slow, quick = world.bound(1, 2)
    written = {1: b"", 2: b""}
    many = [("set_weight", 1, f"s{k}", 1.0) for k in range(20)]
    for k in range(1000):
        changed = [(verb, table, server, 1.0 + k % 7) for verb, table, server, _ in many]
        for stream, data in world.turn(*changed, ("request_ack", 6 + k, False), wait=0.001):
            written[stream.proxy] += data
            if stream is quick:
                world.say(quick, ACK | {"proxy": 2, "mark": 6 + k})
    assert len(written[1]) < module.UNREAD_MOST + 2048 < len(written[2]) / 5
    assert len(slow.marks) < 256
    assert world.front.held == {1}
    world.say(slow, ACK | {"mark": slow.marks[-1][0]})
    ((stream, data),) = world.turn()
    assert stream is slow
    assert data.count(b"\n") == 1
    message = json.loads(data)
    assert message["nonce_out"] == 1005
    assert not world.front.held
    held = dict(json.loads(text)["endpoints"][0] for text in written[1].splitlines()[-1:])
    assert held != dict(message["endpoints"][:1])
    assert dict(message["endpoints"]) == {f"s{k}": 1.0 + 999 % 7 for k in range(20)}


def test_a_proxy_that_proves_nothing_is_tried_again_now_and_then(world):
    (slow,) = world.bound(1)
    slow.sent += module.UNREAD_MOST
    assert world.turn(("set_weight", 1, "a", 2.0), ("request_ack", 6, False)) == []
    assert len(world.turn(wait=module.HELD_WAIT / S)) == 1


def test_a_proxy_that_owes_an_answer_and_says_nothing_has_left(world):
    quiet, talks, clear = world.bound(1, 2, 3)
    world.turn(("set_weight", 1, "a", 2.0), ("request_ack", 6, False))
    world.say(clear, ACK | {"proxy": 3, "mark": 6})
    world.now += module.SILENT
    world.say(talks, DEMAND | {"proxy": 2})
    world.now += 1
    world.front.tend(world.now)
    assert world.front.ending == [quiet]
    assert set(world.front.streams) == {2, 3}
    assert world.calls(ProxyDisconnected) == [(1,)]


def test_a_fault_of_the_module_keeps_streams_and_binds_anew(world):
    (stream,) = world.bound(1)
    world.turn(("set_ejected", "c", True))
    world.turn(("set_weight", 1, "a", float("nan")))
    events = [event for event, _ in world.front.loop.drain_log_events()]
    assert "module fault" in events
    assert stream.ended is None
    world.now += S
    assert list(world.front.turn(world.now)) == []
    ((written, data),) = world.turn(
        ("set_weight", 1, "b", 1.0), ("assign_table", 1, 1, 0), ("request_ack", 9, False)
    )
    assert written is stream
    assert json.loads(data)["endpoints"] == [["b", 1.0]]
    assert json.loads(data)["full"]


def fault(world):
    """The module fails and is started anew."""
    world.turn(("set_weight", 1, "a", float("nan")))
    assert "module fault" in [event for event, _ in world.front.loop.drain_log_events()]
    world.now += S
    assert list(world.front.turn(world.now)) == []


def test_a_module_started_anew_lets_back_only_what_is_listed_as_ready(world):
    """A proxy that waits for its bind holds tables of others: what drains has to stay shut out there."""
    world.open(HELLO)
    world.front.listed("changes", [EndpointRecord("b", "east", "", 0, "draining", 1.0, 0)])
    ((_, data),) = world.turn(
        ("set_ejected", "b", True), ("set_ejected", "c", True), ("request_ack", 5, False)
    )
    assert json.loads(data)["eject"] == ["b", "c"]
    fault(world)
    ((_, data),) = world.turn(("request_ack", 1, True))
    assert json.loads(data)["restore"] == ["c"]
    world.front.listed("changes", [EndpointRecord("b", "east", "", 0, "ready", 1.0, 0)])
    ((_, data),) = world.turn(("request_ack", 2, True))
    assert json.loads(data)["restore"] == ["b"]


def test_an_answer_to_a_module_that_failed_is_none_to_the_next_one(world):
    (stream,) = world.bound(1)
    world.turn(("set_weight", 1, "a", 2.0), ("request_ack", 1, False))
    fault(world)
    world.turn(("set_weight", 1, "b", 1.0), ("assign_table", 1, 1, 0), ("request_ack", 1, False))
    world.say(stream, ACK | {"mark": 1})  # two are owed: it answers the first
    assert world.calls(PushAcknowledged) == []
    assert world.front.counts["acks"] == 2
    world.say(stream, ACK | {"mark": 1})
    assert world.calls(PushAcknowledged) == [(1, 1, 310_500_000)]
    assert not stream.marks
    assert world.front.counts["spoilt"] == 0


def test_what_comes_while_the_module_waits_to_be_started_anew_is_kept_or_void(world):
    stays, goes = world.bound(1, 2)
    for _ in range(6):  # it fails again and again, and so waits
        world.turn(("set_weight", 1, "a", float("nan")), wait=0.01)
        list(world.front.turn(world.now))
    assert world.front.loop.policy is None
    late = world.open(HELLO | {"proxy": 3})
    world.front.closed(goes, "the connection ended")
    again = world.open(HELLO | {"proxy": 2, "fresh": False})
    agent = world.open(AGENT, OUTCOMES)
    world.say(stays, DEMAND)
    world.front.listed("changes", [EndpointRecord("d", "east", "", 0, "ready", 1.0, 0),
                                   EndpointRecord("b", "east", "", 0, "gone", 1.0, 0)])  # fmt: skip
    assert list(world.front.turn(world.now)) == []
    world.now += 10 * S
    seen = []
    world.decider.reconcile = lambda now, calls, writer: seen.extend(calls)
    list(world.front.turn(world.now))
    (scope, entries), *joins = [astuple(event) for event in seen]
    assert scope == "held"
    assert [entry[0] for entry in entries] == ["a", "c", "d"]
    assert sorted(joins) == [(p, "east", 2.5, False) for p in (1, 2, 3)]
    assert [s.ended for s in (stays, late, again, agent)] == [None] * 4


def test_a_joining_in_the_same_read_as_the_end_leaves_nothing(world):
    stream = world.open(text(HELLO) + text(DEMAND) + b'{"msg":"ack","pro')
    world.front.closed(stream, "the connection ended")
    assert [type(event) for event in world.front.loop.pending_events] == [
        EndpointListUpdate,
        ProxyConnected,
        DemandReport,
        ProxyDisconnected,
    ]
    assert (
        list(world.turn(("set_weight", 1, "a", 1.0), ("assign_table", 1, 1, 0), ("request_ack", 5, True)))
        == []
    )
    assert not world.front.streams
    assert not world.front.writer.proxies
    assert not world.front.loop.assignments.proxies


def test_a_client_killed_straight_behind_its_accept_is_nothing(world):
    for _ in range(1000):
        world.front.closed(world.open(), "the connection broke")
    assert not world.front.unjoined
    assert [type(event) for event in world.front.loop.pending_events] == [EndpointListUpdate]


@pytest.mark.parametrize("first", ["old end", "new answer"])
def test_the_old_streams_late_end_and_an_answer_on_the_new_one_in_both_orders(world, first):
    (old,) = world.bound(1)
    world.turn(("set_weight", 1, "a", 2.0), ("request_ack", 6, False))
    new = world.open(HELLO | {"fresh": False})
    world.turn(("assign_table", 1, 1, 0), ("request_ack", 7, False))
    if first == "old end":
        world.front.closed(old, "the connection broke")
    world.say(old, ACK | {"mark": 6})  # its bytes lay in the socket
    world.say(new, ACK | {"mark": 7})
    if first != "old end":
        world.front.closed(old, "the connection broke")
    assert world.calls(PushAcknowledged) == [(1, 7, 310_500_000)]
    assert world.calls(ProxyDisconnected) == []
    assert world.front.streams == {1: new}
    assert world.front.counts["left"] == 1


def test_a_whole_fleet_that_comes_in_one_turn_is_read_before_any_gives_way():
    world = World(sockets=1024)
    streams = [world.open() for _ in range(900)]  # accepted one after the other, none read yet
    assert not world.front.ending
    world.say(streams[0], {"msg": "probe"})
    assert errors(streams[0]) == [{"msg": "alive"}]
    for p, stream in enumerate(streams[1:401]):
        world.say(stream, HELLO | {"proxy": p})
    assert len(world.front.streams) == 400


def test_state_levels_off_over_many_servers_and_streams(world):
    for k in range(10_000):
        name = f"s{k}"
        world.front.listed("changes", [EndpointRecord(name, "east", "", 0, "ready", 1.0, 0)])
        world.front.listed("changes", [EndpointRecord(name, "east", "", 0, "gone", 1.0, 0)])
        stream = world.open(HELLO | {"proxy": k % 400})
        world.front.closed(stream, "the connection ended")
        world.turn()
        world.front.loop.drain_log_events()
    front = world.front
    assert len(front.known) < 1100
    assert len(front.loop.endpoint_records) == 3
    assert not front.streams
    assert not front.unjoined
    assert not front.writer.proxies
    assert not front.loop.proxies


def test_a_stream_is_small():
    assert not hasattr(ProxySession(World().front, 0), "__dict__")


def test_bounds_that_act_are_counted(world):
    (stream,) = world.bound(1)
    for k in range(300):  # it reads and answers nothing: small messages, many marks
        stream.pushed(0, 0, world.now)
        world.turn(("set_weight", 1, "a", 2.0 + k), ("request_ack", 10 + k, False))
        stream.read = stream.sent
    assert len(stream.marks) == 256
    assert world.front.counts["marks_lost"] > 0
    for _ in range(module.COLLECTORS_MOST + 2):
        world.open(AGENT)
    assert world.front.counts["collectors_closed"] == 2
