"""The proxy's cores without sockets: picking, avoiding, trying again, wires, pools, kept tables."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.proxy import response_headers
from swiftchute.proxy.connection_pool import ConnectionPool, PoolDecision
from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.errors import HttpFramingError
from swiftchute.proxy.http1_connection import Http1Connection
from swiftchute.proxy.http2_connection import Http2Connection
from swiftchute.proxy.http_framing import (
    ENHANCE_YOUR_CALM,
    REFUSED_STREAM,
    GoAway,
    HttpMessage,
    MessageTooLarge,
    StreamReset,
)
from swiftchute.proxy.load_balancing import (
    RoundRobinPicker,
    TwoChoicesPicker,
    WeightedRandomPicker,
    choose_endpoint,
)
from swiftchute.proxy.outlier_ejection import OutlierEjector
from swiftchute.proxy.request import ActiveRequest, Rejection, RequestRouter
from swiftchute.proxy.retry import AttemptOutcome, RequestResult, RetryBudget, should_retry
from swiftchute.proxy.settings import AdmissionDraw, Idempotency, PoolLimits, ProxyLimits, RouteSettings
from swiftchute.proxy.table_cache import TableCache
from swiftchute.proxy.xds_client import XdsClient

S = 1_000_000_000
NOW = 1000 * S
WEIGHTS = st.dictionaries(st.sampled_from("abcdefgh"), st.integers(1, 65_535), min_size=1)


# -- picking


@given(weights=WEIGHTS)
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_an_alias_table_gives_each_server_its_part_exactly(weights):
    made = WeightedRandomPicker(weights)
    parts = Counter()
    for place, server in enumerate(made.endpoints):
        parts[server] += made.probabilities[place] / len(made.endpoints)
        parts[made.endpoints[made.aliases[place]]] += (1 - made.probabilities[place]) / len(made.endpoints)
    for server, weight in weights.items():
        assert parts[server] == pytest.approx(weight / sum(weights.values()), abs=1e-9)


@given(
    weights=st.dictionaries(st.sampled_from("abcd"), st.integers(1, 9), min_size=1), seed=st.integers(0, 99)
)
@hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
def test_a_rotation_never_strays_by_more_than_a_turn_a_server(weights, seed):
    made, chance, seen = RoundRobinPicker(weights), random.Random(seed), Counter()
    for count in range(1, 200):
        seen[made.pick(chance)] += 1
        for server, weight in weights.items():
            assert abs(seen[server] - count * weight / sum(weights.values())) <= len(weights)


def test_of_two_the_one_with_less_under_way_for_its_weight_is_taken():
    busy = {"a": 50, "b": 0}
    made, chance = TwoChoicesPicker({"a": 1, "b": 1}, busy.__getitem__), random.Random(7)
    assert Counter(made.pick(chance) for _ in range(2000))["b"] / 2000 == pytest.approx(0.75, abs=0.04)


@given(
    weights=WEIGHTS, but=st.sets(st.sampled_from("abcdefgh")), avoided=st.sets(st.sampled_from("abcdefgh"))
)
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_what_must_not_be_is_never_chosen_and_what_is_avoided_only_if_nothing_else_is(weights, but, avoided):
    found = choose_endpoint(WeightedRandomPicker(weights), random.Random(3), but, avoided)
    left = weights.keys() - but
    if not left:
        assert found is None
    else:
        assert found in (left - avoided or left)


def test_past_the_avoided_the_rest_keep_their_proportions():
    made, chance = WeightedRandomPicker({"a": 10, "b": 20, "c": 60}), random.Random(5)
    seen = Counter(choose_endpoint(made, chance, (), {"c"}, max_draws=50) for _ in range(3000))
    assert seen["b"] / 3000 == pytest.approx(2 / 3, abs=0.03)


# -- avoiding


def fail(avoided, times, now, server="a"):
    for _ in range(times):
        avoided.attempt_ended(server, False, now)


def test_a_run_of_failures_shuts_a_server_out_and_one_good_answer_ends_the_run():
    avoided = OutlierEjector(3, 4 * S, 7)
    fail(avoided, 2, NOW)
    avoided.attempt_ended("a", True, NOW)
    fail(avoided, 2, NOW)
    assert avoided.ejected(NOW) == set()
    fail(avoided, 1, NOW)
    assert avoided.ejected(NOW + 3 * S - 1) == {"a"}
    assert avoided.ejected(NOW + 5 * S) == set()


def test_after_its_span_one_invocation_at_a_time_shows_how_it_does():
    avoided = OutlierEjector(3, 4 * S, 7)
    fail(avoided, 3, NOW)
    later = NOW + 5 * S
    avoided.attempt_started("a", later)
    assert avoided.ejected(later) == {"a"}  # one is under way
    avoided.attempt_abandoned("a")  # its caller went away: it said nothing, and the next may try
    assert avoided.ejected(later) == set()
    avoided.attempt_started("a", later)
    fail(avoided, 1, later)
    assert avoided.ejected(later + 5 * S) == {"a"}  # twice the span
    avoided.attempt_started("a", later + 11 * S)
    avoided.attempt_ended("a", True, later + 11 * S)
    assert avoided.failures_by_endpoint == {}


def test_what_was_under_way_when_it_was_shut_out_says_nothing_new():
    avoided = OutlierEjector(3, 4 * S, 7)
    fail(avoided, 50, NOW)
    assert avoided.ejection_count == 1
    avoided.retain({"b"})
    assert avoided.ejected(NOW) == set()


# -- trying again


SURE, FREE = (
    EndpointTable("c", {"a": 1}, max_retries=1),
    EndpointTable("c", {"a": 1}, max_retries=2, requires_proof=False),
)


@pytest.mark.parametrize("repeats", list(Idempotency))
@pytest.mark.parametrize("table", [SURE, FREE])
@pytest.mark.parametrize(
    "end",
    [
        AttemptOutcome.SUCCEEDED,
        AttemptOutcome.FAILED,
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.REFUSED,
        AttemptOutcome.UNREACHABLE,
    ],
)
def test_what_may_have_run_is_tried_again_only_if_it_may_run_again_and_that_is_ordered(repeats, table, end):
    found = should_retry(end, table, repeats, 0, NOW, NOW + S, RetryBudget(1.0, 10.0))
    proved = end in (AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE)
    assert found == (
        proved
        or (end is not AttemptOutcome.SUCCEEDED and repeats is Idempotency.IDEMPOTENT and table is FREE)
    )


def test_tries_end_with_the_order_the_time_and_the_budget():
    budget = RetryBudget(0.0, 0.1)
    assert not should_retry(AttemptOutcome.REFUSED, SURE, Idempotency.IDEMPOTENT, 1, NOW, NOW + S, budget)
    assert not should_retry(AttemptOutcome.REFUSED, SURE, Idempotency.IDEMPOTENT, 0, NOW + S, NOW + S, budget)
    assert not should_retry(
        AttemptOutcome.REFUSED, EndpointTable("c", {"a": 1}), Idempotency.IDEMPOTENT, 0, NOW, NOW + S, budget
    )  # none is ordered
    assert [
        should_retry(AttemptOutcome.REFUSED, SURE, Idempotency.IDEMPOTENT, 0, NOW, NOW + S, budget)
        for _ in range(3)
    ] == [
        True,
        False,
        False,
    ]
    assert should_retry(
        AttemptOutcome.REFUSED, SURE, Idempotency.IDEMPOTENT, 0, NOW + 10 * S, NOW + 20 * S, budget
    )
    # no failure: it was never written
    assert should_retry(AttemptOutcome.WITHDRAWN, SURE, Idempotency.SIDE_EFFECTING, 5, NOW, NOW + S, budget)


def test_a_budget_is_a_part_of_what_comes():
    budget = RetryBudget(0.2, 1.0)
    while budget.acquire(NOW):
        pass
    for _ in range(50):
        budget.record_request(NOW)
    assert sum(budget.acquire(NOW) for _ in range(50)) == 10


# -- wires


HEADERS = [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/svc/read"), (b":authority", b"x"),
           (b"content-type", b"application/grpc")]  # fmt: skip
REPLY = [(b":status", b"200"), (b"content-type", b"application/grpc")]


def pair(most=2**20, streams=100):
    """Both ends of an HTTP/2 connection past their prefaces; `pass_on` moves what waits."""
    client, server = Http2Connection(True, most), Http2Connection(False, most, streams)
    client.start()
    server.start()
    pass_on(client, server)
    return client, server


def pass_on(client, server, step=None):
    """Until nothing waits; returns the events of both, fed whole or in pieces of `step` bytes."""
    found = ([], [])
    while True:
        moved = False
        for one, other, events in ((client, server, found[1]), (server, client, found[0])):
            data = one.data_to_send()
            for at in range(0, len(data), step or max(len(data), 1)):
                moved = True
                events += other.receive_data(data[at : at + (step or len(data))])
        if not moved:
            return found


@pytest.mark.parametrize("step", [1, 2, 3, 7, 64, None])
@pytest.mark.parametrize("size", [0, 5, 70_000, 700_000])
def test_messages_come_whole_whatever_pieces_their_bytes_come_in(step, size):
    if step and step < 64 and size > 5:
        size = 20_000
    client, server = pair()
    body = bytes(k % 251 for k in range(size))
    number = client.send(HttpMessage(0, HEADERS, body))
    _, (request,) = pass_on(client, server, step)
    assert (request.body, dict(request.headers)[b":path"]) == (body, b"/svc/read")
    server.send(HttpMessage(number, REPLY, body, [(b"grpc-status", b"0")]))
    (answer,), _ = pass_on(client, server, step)
    assert (answer.stream_id, answer.body, answer.trailers) == (number, body, [(b"grpc-status", b"0")])


def test_a_goaway_tells_what_never_ran_and_what_is_under_way_still_ends():
    client, server = pair()
    one, two = client.send(HttpMessage(0, HEADERS, b"1")), client.send(HttpMessage(0, HEADERS, b"2"))
    pass_on(client, server)
    # the frame is made by hand: h2 would end the connection with it
    goaway = (8).to_bytes(3, "big") + b"\x07\0" + bytes(4) + one.to_bytes(4, "big") + bytes(4)
    assert client.receive_data(goaway) == [GoAway(one, 0)]
    assert (client.available_streams, two > one) == (0, True)
    server.send(HttpMessage(one, REPLY, b"done", [(b"grpc-status", b"0")]))
    (answer,) = client.receive_data(server.data_to_send())
    assert answer.body == b"done"


def test_a_caller_that_says_goaway_still_gets_what_is_under_way():
    client, server = pair()
    number = client.send(HttpMessage(0, HEADERS, b"1"))
    pass_on(client, server)
    goaway = (8).to_bytes(3, "big") + b"\x07\0" + bytes(12)
    assert server.receive_data(goaway) == [GoAway(0, 0)]
    assert server.closing
    server.send(HttpMessage(number, REPLY, b"done", [(b"grpc-status", b"0")]))
    (answer,) = client.receive_data(server.data_to_send())
    assert answer.body == b"done"


def test_refusals_and_resets_are_told_by_their_codes():
    client, server = pair()
    number = client.send(HttpMessage(0, HEADERS, b"1"))
    pass_on(client, server)
    server.reset_stream(number, REFUSED_STREAM)
    assert client.receive_data(server.data_to_send()) == [StreamReset(number, REFUSED_STREAM)]
    client.reset_stream(number, 8)  # it has ended: nothing happens


def test_a_message_past_the_bound_is_reset_and_others_go_on():
    client, server = pair(most=1000)
    large, small = (
        client.send(HttpMessage(0, HEADERS, bytes(5000))),
        client.send(HttpMessage(0, HEADERS, b"ok")),
    )
    told, came = pass_on(client, server)
    assert [type(e) for e in came] == [MessageTooLarge, HttpMessage]
    assert told == [StreamReset(large, ENHANCE_YOUR_CALM)]
    assert came[1].stream_id == small


def test_a_peer_takes_no_more_streams_than_it_says():
    client, _ = pair(streams=3)
    for left in (3, 2, 1):
        assert client.available_streams == left
        client.send(HttpMessage(0, HEADERS, b"x"))
    assert client.available_streams == 0
    with pytest.raises(HttpFramingError):
        client.send(HttpMessage(0, HEADERS, b"x"))


@given(st.data())
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_bytes_that_break_the_protocol_are_told_as_that_and_nothing_else(data):
    client, server = pair()
    client.send(HttpMessage(0, HEADERS, b"abc"))
    wire = bytearray(client.data_to_send())
    for _ in range(data.draw(st.integers(1, 4))):
        wire[data.draw(st.integers(0, len(wire) - 1))] = data.draw(st.integers(0, 255))
    other = Http1Connection(False, 1000)
    for end, sent in ((server, bytes(wire)), (client, bytes(wire)), (other, bytes(wire)), (other, b"")):
        try:
            end.receive_data(sent)
        except HttpFramingError:
            assert end.closing


@pytest.mark.parametrize("step", [1, 3, None])
def test_http_1_messages_one_at_a_time_and_a_second_one_waits_for_the_answer(step):
    client, server = Http1Connection(True, 1000), Http1Connection(False, 1000)
    client.send(HttpMessage(0, [(b":method", b"POST"), (b":path", b"/a/read"), (b"host", b"x")], b"body"))
    assert client.available_streams == 0
    data = client.data_to_send()
    more = b"GET /b/write HTTP/1.1\r\nhost: x\r\n\r\n"
    found = []
    for at in range(0, len(data + more), step or 10_000):
        found += server.receive_data((data + more)[at : at + (step or 10_000)])
    (request,) = found
    assert (request.body, dict(request.headers)[b":path"]) == (b"body", b"/a/read")
    server.send(HttpMessage(0, [(b":status", b"200")], b"answer"))
    (second,) = server.next_events()
    assert dict(second.headers)[b":path"] == b"/b/write"
    (answer,) = client.receive_data(server.data_to_send())
    assert answer.body == b"answer"
    assert client.available_streams == 1


def test_an_http_1_answer_may_end_with_its_connection():
    client = Http1Connection(True, 1000)
    client.send(HttpMessage(0, [(b":method", b"GET"), (b":path", b"/"), (b"host", b"x")]))
    assert client.receive_data(b"HTTP/1.1 200 OK\r\n\r\nabc") == []
    (answer,) = client.receive_data(b"")
    assert answer.body == b"abc"
    assert client.closing


# -- requests and answers


def test_operations_deadlines_and_ends_by_protocol():
    asked = response_headers.parse_request(HttpMessage(1, [*HEADERS, (b"grpc-timeout", b"250m")]))
    assert (asked.operation, asked.grpc, asked.timeout_ns) == ("read", True, 250_000_000)
    plain = response_headers.parse_request(HttpMessage(0, [(b":path", b"/x/lot%2Destimate?q=1")]))
    assert (plain.operation, plain.grpc, plain.timeout_ns) == ("lot-estimate", False, None)
    assert (
        response_headers.parse_request(
            HttpMessage(1, [*HEADERS, (b"grpc-timeout", b"99999999999S")])
        ).timeout_ns
        is None
    )
    sent = response_headers.forwarded_request(
        HttpMessage(1, [*HEADERS, (b"connection", b"x"), (b"grpc-timeout", b"9S")]), True, 2 * S
    )
    assert dict(sent.headers)[b"grpc-timeout"] == b"2000m"
    assert b"connection" not in dict(sent.headers)


@pytest.mark.parametrize(
    ("rpc", "headers", "trailers", "good"),
    [(True, REPLY, [(b"grpc-status", b"0")], True), (True, REPLY, [(b"grpc-status", b"14")], False),
     (True, [*REPLY, (b"grpc-status", b"0")], [], True), (True, REPLY, [], False),
     (False, [(b":status", b"200")], [], True), (False, [(b":status", b"404")], [], True),
     (False, [(b":status", b"503")], [], False), (False, [(b":status", b"429")], [], False)],
)  # fmt: skip
def test_which_answers_are_good(rpc, headers, trailers, good):
    assert response_headers.classify_response(HttpMessage(1, headers, b"", trailers), rpc).succeeded == good


def test_every_word_of_its_own_has_a_form_in_both_protocols():
    for why in response_headers.LOCAL_STATUSES:
        assert dict(response_headers.local_response(why, True).headers)[b"grpc-status"] != b"0"
        assert int(dict(response_headers.local_response(why, False).headers)[b":status"]) >= 400


# -- pools


class Wire:
    available_streams = 100


def test_a_new_connection_takes_a_few_and_twice_as_many_after_each_round_of_answers():
    pool = ConnectionPool(PoolLimits(max_connections=1, max_streams=20, initial_streams=4))
    assert pool.select() == PoolDecision.DIAL
    pool.dialing = 1
    assert pool.select() == PoolDecision.WAIT
    pool.dialing = 0
    line = pool.add(Wire(), NOW)
    sizes = []
    for _ in range(5):
        given = 0
        while pool.select() is line:
            pool.request_started(line, NOW)
            given += 1
        sizes.append(given)
        for _ in range(given):
            pool.request_ended(line, True, NOW)
    assert sizes == [4, 8, 16, 20, 20]


def test_failures_do_not_warm_a_connection_and_waiters_are_bounded():
    pool = ConnectionPool(PoolLimits(max_connections=1, initial_streams=2, max_waiting=3))
    line = pool.add(Wire(), NOW)
    for _ in range(10):
        pool.request_started(line, NOW)
        pool.request_ended(line, False, NOW)
    assert line.stream_limit == 2
    for _ in range(2):
        pool.request_started(line, NOW)
    assert pool.select() == PoolDecision.WAIT
    pool.waiting = 3
    assert pool.select() == PoolDecision.FULL


def test_idle_and_closing_connections_are_told():
    pool = ConnectionPool(PoolLimits(idle_timeout_ns=10 * S))
    one, two = pool.add(Wire(), NOW), pool.add(Wire(), NOW)
    pool.request_started(two, NOW)
    assert pool.idle_connections(NOW + 10 * S) == [one]
    two.closing = True
    assert pool.select() is one
    pool.request_ended(two, True, NOW)
    assert two in pool.idle_connections(NOW + S)


# -- kept tables


TABLES = {"read": EndpointTable("0.1/read", {"10.0.0.1:80": 3, "10.0.0.2:80": 1}, 0.5, 1, True, None, 4.0)}


def test_tables_are_kept_and_read_again_and_not_when_they_are_old(tmp_path):
    path = str(tmp_path / "t")
    assert TableCache(path, 60 * S).save(TABLES, NOW)
    assert TableCache(path, 60 * S).load(NOW + 60 * S) == TABLES
    for wall in (NOW + 61 * S, NOW - 1):  # the clock may have gone back: then nothing is known of its age
        keep = TableCache(path, 60 * S)
        assert keep.load(wall) == {}
        assert "s old" in keep.last_error


def test_a_file_cut_at_every_byte_or_with_any_byte_flipped_is_not_gone_by(tmp_path):
    path = tmp_path / "t"
    TableCache(str(path), S).save(TABLES, NOW)
    data = path.read_bytes()
    for end in range(len(data)):
        path.write_bytes(data[:end])
        assert TableCache(str(path), S).load(NOW) == {}
    for place in range(len(data)):
        path.write_bytes(data[:place] + bytes([data[place] ^ 4]) + data[place + 1 :])
        assert TableCache(str(path), S).load(NOW) == {}


def test_a_disk_that_takes_nothing_is_told_and_the_last_file_stays(tmp_path):
    path = str(tmp_path / "t")
    keep = TableCache(path, S)
    keep.save(TABLES, NOW)
    keep.path = str(tmp_path / "none" / "t")
    assert not keep.save({"read": EndpointTable("0.1/read", {"x:1": 1})}, NOW)
    assert "No such file" in keep.last_error
    assert TableCache(path, S).load(NOW) == TABLES


# -- invocations


def made(limits=None, tables=None, **more):
    client = XdsClient("gw", "z", 1.0)
    client.tables = (
        tables if tables is not None else {"read": EndpointTable("0.1/read", dict.fromkeys("abc", 1), 1.0, 1)}
    )
    operations = {"read": RouteSettings("read", 4 * S, Idempotency.IDEMPOTENT)} | more
    core = RequestRouter(client, operations, limits or ProxyLimits(), 7)
    core.update_tables()
    return core


def test_an_invocation_ends_by_the_table_it_began_with():
    core = made()
    inv = core.admit("read", "k", NOW)
    first = core.next_attempt(inv, NOW).endpoint
    core.client.tables = {"read": EndpointTable("0.2/read", {first: 1, "x": 5}, 0.0, 0)}
    core.update_tables()
    assert not core.attempt_ended(
        inv, AttemptOutcome.REFUSED, NOW
    )  # the new table orders no further tries, its own did
    assert (
        core.next_attempt(inv, NOW) is None
    )  # the others of its table are withdrawn: no table names them now
    core.abandon(inv, NOW)
    assert core.admit("read", "k", NOW) == Rejection(RequestResult.NOT_ADMITTED)
    assert (core.in_flight, dict(core.in_flight_by_endpoint)) == (0, {})


def test_what_was_not_written_yet_goes_elsewhere_when_its_server_is_withdrawn():
    core = made()
    inv = core.admit("read", "k", NOW)
    first = core.next_attempt(inv, NOW).endpoint
    core.client.tables = {"read": EndpointTable("0.1/read", {s: 1 for s in "abc" if s != first}, 1.0, 0)}
    core.update_tables()
    assert core.is_withdrawn(first)
    assert not core.attempt_ended(inv, AttemptOutcome.WITHDRAWN, NOW)
    assert core.next_attempt(inv, NOW).endpoint != first
    assert core.attempt_ended(inv, AttemptOutcome.SUCCEEDED, NOW)
    # nothing is told of what was not sent
    assert core.client.load_by_cluster["0.1/read"].endpoints.keys() == {inv.endpoint}


def test_a_second_try_goes_to_another_server_and_there_is_no_third():
    core = made()
    inv = core.admit("read", "k", NOW)
    first = core.next_attempt(inv, NOW).endpoint
    assert not core.attempt_ended(inv, AttemptOutcome.UNREACHABLE, NOW)
    second = core.next_attempt(inv, NOW).endpoint
    assert second != first
    assert core.attempt_ended(inv, AttemptOutcome.UNREACHABLE, NOW)


def test_an_operation_nothing_is_known_of_never_runs_twice():
    core = made(tables={"new": EndpointTable("0.1/new", {"a": 1, "b": 1}, 1.0, 3, False)})
    core.client.resources["type.googleapis.com/envoy.config.listener.v3.Listener"]["new"] = ("1", None)
    core.update_tables()
    inv = core.admit("new", "k", NOW)
    core.next_attempt(inv, NOW)
    assert core.attempt_ended(inv, AttemptOutcome.CONNECTION_LOST, NOW)


def test_a_level_of_0_lets_nothing_in_and_tells_of_it():
    core = made(tables={"read": EndpointTable("0.1/read", {"a": 1}, 0.0)})
    assert [core.admit("read", "k", NOW) for _ in range(3)] == [Rejection(RequestResult.NOT_ADMITTED)] * 3
    assert core.client.load_by_cluster["0.1/read"].dropped == 3


def test_a_level_lets_its_part_in_and_refuses_a_caller_again_where_that_is_asked_for():
    core = made(tables={"read": EndpointTable("0.1/read", {"a": 1}, 0.3)})
    let_in = sum(isinstance(core.admit("read", "k", NOW), ActiveRequest) for _ in range(2000))
    assert let_in / 2000 == pytest.approx(0.3, abs=0.04)
    same = made(
        ProxyLimits(admission_draw=AdmissionDraw.PER_CALLER),
        {"read": EndpointTable("0.1/read", {"a": 1}, 0.3)},
    )
    by_key = {k: {type(same.admit("read", f"k{k}", NOW + n)) for n in range(5)} for k in range(500)}
    assert all(len(kinds) == 1 for kinds in by_key.values())
    assert sum(ActiveRequest in kinds for kinds in by_key.values()) / 500 == pytest.approx(0.3, abs=0.07)


def test_past_its_bound_it_answers_at_once_and_room_comes_back():
    core = made(ProxyLimits(max_in_flight=2))
    first, _ = core.admit("read", "k", NOW), core.admit("read", "k", NOW)
    assert core.admit("read", "k", NOW) == Rejection(RequestResult.AT_CAPACITY)
    core.abandon(first, NOW)
    assert isinstance(core.admit("read", "k", NOW), ActiveRequest)
    assert core.admit("nothing", "k", NOW) == Rejection(RequestResult.UNKNOWN_OPERATION)


def test_a_table_with_one_line_and_all_avoided_is_followed_all_the_same():
    core = made(ProxyLimits(ejection_failures=1), {"read": EndpointTable("0.1/read", {"a": 1})})
    for _ in range(3):
        inv = core.admit("read", "k", NOW)
        assert core.next_attempt(inv, NOW).endpoint == "a"
        core.attempt_ended(inv, AttemptOutcome.TIMED_OUT, NOW)
    assert core.ejector.ejected(NOW) == {"a"}


def test_a_caller_that_goes_away_leaves_nothing_behind():
    core = made(ProxyLimits(ejection_failures=1))
    inv = core.admit("read", "k", NOW)
    core.next_attempt(inv, NOW)
    core.abandon(inv, NOW + S)
    assert (core.in_flight, dict(core.in_flight_by_endpoint), core.ejector.ejected(NOW)) == (0, {}, set())
    late = core.admit("read", "k", NOW)
    where = core.next_attempt(late, NOW)
    core.abandon(late, NOW + 5 * S)  # it had all of its time, and no answer
    assert core.ejector.ejected(NOW + 5 * S) == {where.endpoint}


def test_a_tries_time_is_its_tables_and_the_last_has_all_that_is_left():
    core = made(tables={"read": EndpointTable("0.1/read", dict.fromkeys("ab", 1), 1.0, 1, False, 0.5, 3.0)})
    inv = core.admit("read", "k", NOW)
    assert core.next_attempt(inv, NOW).deadline_ns == NOW + S // 2
    assert not core.attempt_ended(inv, AttemptOutcome.TIMED_OUT, NOW + S // 2)
    assert core.next_attempt(inv, NOW + S // 2).deadline_ns == NOW + 3 * S


ENDS = [
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.FAILED,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.REFUSED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.WITHDRAWN,
    None,
]


@given(st.lists(st.sampled_from(ENDS), max_size=60), st.integers(0, 3), st.booleans())
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_whatever_happens_nothing_is_left_under_way_and_no_server_is_tried_twice(ends, tries, sure):
    core = made(
        ProxyLimits(ejection_failures=2),
        {"read": EndpointTable("0.1/read", dict.fromkeys("abcd", 1), 1.0, tries, sure)},
    )
    now, tasks = NOW, iter(ends)
    for end in tasks:
        inv = core.admit("read", "k", now)
        went, over = [], False
        while not over and (where := core.next_attempt(inv, now)) is not None:
            went.append(where.endpoint)
            now += S // 7
            if end is None:
                break
            over = core.attempt_ended(inv, end, now)
            end = next(tasks, AttemptOutcome.SUCCEEDED)
        core.abandon(inv, now)
        assert len(set(went)) == len(went) <= 4
    assert (core.in_flight, dict(core.in_flight_by_endpoint)) == (0, {})
