"""One ADS stream: the hard cases as lists of events, and all interleavings against an independent client."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.api.settings import Settings
from swiftchute.controller.table_contents import ProxyTables, TableContent
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds import names
from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.messages import AdsRequest, decode, encode
from swiftchute.xds.resources import Translator, whole_weights
from swiftchute.xds.stream import Acknowledged, AdsStream, Rejected, StaleRequest
from tests.conftest import DEFAULTS, operation

S = 1_000_000_000
A, B, C, D = (f"127.0.0.1:90{k}0" for k in (1, 2, 3, 4))
SETTINGS = Settings(**(DEFAULTS | {"operations": (operation("read"), operation("write"))}))


def holding(lines, table="0.1", level=1.0, tries=1):
    """Both operations on one table; `lines` maps a server to its weight."""
    content = TableContent(tuple((s, "east", w) for s, w in sorted(lines.items())), ((level, tries),) * 2)
    return ProxyTables((("read", table), ("write", table)), {table: content})


class Wire:
    """A stream and its translator; `want` pushes, `ask` plays a client's request, both return
    (replies, events)."""

    def __init__(self, delta=False, lines=False):
        self.translator, self.now, self.seal, self.delta = Translator(SETTINGS), 0, 0, delta
        self.stream = AdsStream(delta, "t", 1, lines)

    def want(self, held, shut=()):
        self.seal += 1
        wanted = self.translator.wanted(held, shut, self.stream.collections)
        self.stream.set_wanted(wanted, f"push-{self.seal}", self.seal, self.now)
        return self.progress()

    def progress(self, wait=0.0):
        self.now += int(wait * S)
        return self.stream.advance(self.now)

    def ask(self, kind, *given, **fields):
        fields["subscribe" if self.delta else "names"] = given
        events = self.stream.on_request(AdsRequest(kind, **fields), self.now)
        replies, later = self.progress()
        return replies, events + later

    def ack(self, reply, *given, **fields):
        return self.ask(reply.kind, *given, nonce=reply.nonce, **fields)


def kinds(replies):
    return [names.SHORT[r.kind] for r in replies]


def only(replies, kind):
    (found,) = [r for r in replies if r.kind == kind]
    return found


@pytest.fixture
def sotw():
    return Wire()


@pytest.fixture
def bound():
    """A SotW client that holds a table of A and B, everything acknowledged."""
    wire = Wire()
    wire.want(holding({A: 1.0, B: 1.0}))
    (cds,), _ = wire.ask(names.CDS)
    wire.ack(cds)
    (eds,), _ = wire.ask(names.EDS, "0.1")
    wire.ack(eds, "0.1")
    (lds,), _ = wire.ask(names.LDS)
    wire.ack(lds)
    (rds,), _ = wire.ask(names.RDS, "read", "write")
    _, events = wire.ack(rds, "read", "write")
    assert events == [Acknowledged(1)]
    wire.eds = eds
    return wire


def test_clusters_and_endpoints_go_before_listeners_and_routes(sotw):
    sotw.want(holding({A: 1.0}))
    (cds,), _ = sotw.ask(names.CDS)
    replies, _ = sotw.ask(names.LDS)
    assert replies == []  # the routes' clusters are not held yet
    sotw.ack(cds)
    (eds,), _ = sotw.ask(names.EDS, "0.1")
    replies, events = sotw.ack(eds, "0.1")
    assert kinds(replies) == ["lds"]
    assert events == []  # a mark is not answered while routes are missing


def test_a_client_that_asks_for_clusters_by_name_gets_routes_at_once(sotw):
    sotw.want(holding({A: 1.0}))
    (lds,), _ = sotw.ask(names.LDS, "read")
    assert [r.name for r in lds.resources] == ["read"]
    (rds,), _ = sotw.ask(names.RDS, "read")
    sotw.ack(lds, "read")
    sotw.ack(rds, "read")
    (cds,), _ = sotw.ask(names.CDS, "0.1/read")
    sotw.ack(cds, "0.1/read")
    (eds,), events = sotw.ask(names.EDS, "0.1")
    assert events == []
    assert sotw.ack(eds, "0.1") == ([], [Acknowledged(1)])


def test_only_changed_tables_go_and_a_mark_waits_for_its_ack(bound):
    (eds,), events = bound.want(holding({A: 1.0, B: 1.0, C: 0.5}))
    assert eds.kind == names.EDS
    assert events == []
    assert bound.ack(eds, "0.1") == ([], [Acknowledged(2)])


def test_changes_during_a_reply_wait_and_go_merged(bound):
    (first,), _ = bound.want(holding({A: 1.0}))
    assert bound.want(holding({A: 0.5})) == ([], [])
    assert bound.want(holding({B: 0.5})) == ([], [])
    (second,), events = bound.ack(first, "0.1")
    assert [r.lines for r in second.resources] == [((B, "east", 0.5),)]
    assert events == []
    assert bound.ack(second, "0.1") == ([], [Acknowledged(4)])


def test_an_ack_for_a_replaced_nonce_is_stale(bound):
    (eds,), _ = bound.want(holding({A: 1.0}))
    replies, events = bound.ask(names.EDS, "0.1", nonce=bound.eds.nonce)
    assert (replies, events) == ([], [StaleRequest(names.EDS, bound.eds.nonce)])
    assert bound.ack(eds, "0.1")[1] == [Acknowledged(2)]
    assert bound.ack(eds, "0.1") == ([], [])  # the same ACK again says nothing new


def test_a_refused_table_is_not_sent_again_and_a_drain_goes_in_part(bound):
    (eds,), _ = bound.want(holding({A: 1.0, B: 1.0, C: 1.0}))
    replies, events = bound.ack(eds, "0.1", error="no C")
    assert events == [Rejected(names.EDS, ("0.1",), "no C", "kept")]
    assert replies == []  # the old version stands
    assert bound.want(holding({A: 1.0, B: 1.0, C: 1.0})) == ([], [])  # nor unchanged, by a later push
    bound.stream.unavailable = frozenset({B})
    (part,), _ = bound.want(holding({A: 1.0, C: 1.0}))
    assert [r.lines for r in part.resources] == [((A, "east", 1.0),)]  # what it held, less the drain
    replies, events = bound.ack(part, "0.1")
    assert not any(isinstance(e, Acknowledged) for e in events)  # it does not hold what is wanted
    assert bound.progress(wait=2.0)[0][0].resources[0].lines == ((A, "east", 1.0), (C, "east", 1.0))


def test_a_refused_part_is_not_sent_again_either(bound):
    (eds,), _ = bound.want(holding({A: 1.0, B: 1.0, C: 1.0}))
    bound.ack(eds, "0.1", error="no")
    bound.stream.unavailable = frozenset({B})
    (part,), _ = bound.progress()
    _, events = bound.ack(part, "0.1", error="no")
    assert events[0].answer == "kept"
    assert bound.progress() == ([], [])


def test_changed_versions_wait_longer_after_each_refusal(bound):
    waits = []
    for k in range(4):
        replies, _ = bound.want(holding({A: 1.0, C: 1.0 + k}))
        waited = 0.0
        while not replies:
            replies, _ = bound.progress(wait=0.25)
            waited += 0.25
        waits.append(waited)
        bound.ack(replies[0], "0.1", error="no")
    assert waits[0] == 0
    assert waits[1] < waits[2] < waits[3] <= 4


def test_a_client_that_refuses_several_gets_each_apart():
    wire = Wire(delta=True, lines=True)
    wire.want(holding({A: 1.0, B: 1.0, C: 1.0}))
    wire.ask(names.LEDS, names.collection("0.1", "east"))
    reply = _refuse_line(wire, wire.stream.subscriptions[names.LEDS].pending.nonce, B)
    taken = {names.line_parts(n)[2] for n in wire.stream.subscriptions[names.LEDS].held}
    assert taken == {A, C}
    assert reply is None


def _refuse_line(wire, nonce, server):
    """Answer every reply of lines, refusing those that hold `server`; returns what is still out."""
    for _ in range(20):
        out = wire.stream.subscriptions[names.LEDS].pending
        if out is None:
            return None
        bad = any(names.line_parts(n)[2] == server for n in out.resources)
        wire.ask(names.LEDS, nonce=out.nonce, error="no" if bad else None)
    return out


def test_a_removal_does_not_ride_with_lines_that_may_be_refused():
    wire = Wire(delta=True, lines=True)
    wire.want(holding({A: 1.0, B: 1.0}))
    for kind in (names.CDS, names.EDS, names.LDS, names.RDS):
        given = {names.EDS: ["0.1"], names.RDS: ["read", "write"]}.get(kind, ["*"])
        wire.ask(kind, *given)
        _refuse_line(wire, "", C)
        for k in wire.stream.subscriptions.values():
            while k.pending:
                wire.ask(k.type_url, nonce=k.pending.nonce)
    wire.ask(names.LEDS, names.collection("0.1", "east"))
    wire.ask(names.LEDS, nonce=wire.stream.subscriptions[names.LEDS].pending.nonce)
    for k in wire.stream.subscriptions.values():
        while k.pending:
            wire.ask(k.type_url, nonce=k.pending.nonce)
    wire.want(holding({A: 1.0, B: 1.0, C: 1.0, D: 1.0}))
    _refuse_line(wire, "", C)
    (removal,), _ = wire.want(holding({A: 1.0, C: 2.0, D: 1.0}))
    assert [names.line_parts(n)[2] for n in removal.removed] == [B]
    assert removal.resources == ()


def test_a_delta_client_of_another_planner_keeps_its_clusters_until_our_routes_are_held():
    wire = Wire(delta=True)
    wire.want(holding({A: 1.0}))
    old = {"1.7/read": "v", "1.7/write": "v"}
    (cds,), _ = wire.ask(names.CDS, initial=old)
    assert cds.removed == ()
    wire.ack(cds)
    wire.ask(names.LDS, initial={"read": "v"})
    replies, _ = wire.ask(names.EDS, "0.1", "1.7")
    wire.ack(only(replies, names.EDS))
    replies, _ = wire.ask(names.RDS, "read", "write", initial={"read": "v", "write": "v"})
    lds = wire.stream.subscriptions[names.LDS].pending
    wire.ask(names.LDS, nonce=lds.nonce)
    rds = wire.stream.subscriptions[names.RDS].pending
    replies, _ = wire.ask(names.RDS, nonce=rds.nonce)
    assert only(replies, names.CDS).removed == ("1.7/read", "1.7/write")


def test_a_reconnect_tells_versions_and_gets_only_what_differs():
    wire = Wire(delta=True)
    held = holding({A: 1.0})
    same = wire.translator.wanted(held, (), False)
    wire.want(held)
    known = {n: r.version for n, r in same[names.CDS].items()}
    assert wire.ask(names.CDS, initial=known) == ([], [])
    (eds,), _ = wire.ask(names.EDS, "0.1", initial={"0.1": "of another planner"})
    assert [r.name for r in eds.resources] == ["0.1"]


def test_an_old_name_gets_the_clients_own_table_until_it_is_dropped(bound):
    """A SotW client moved to another table, or from another planner, whose routes still name the old one."""
    (eds,), _ = bound.ask(names.EDS, "0.1", "1.7", nonce=bound.eds.nonce)
    assert [(r.name, r.lines) for r in eds.resources] == [("1.7", ((A, "east", 1.0), (B, "east", 1.0)))]
    bound.ack(eds, "0.1", "1.7")
    (eds,), _ = bound.want(holding({A: 1.0}))
    assert [r.name for r in eds.resources] == ["0.1", "1.7"]  # a drain reaches it there too


def test_moved_clients_keep_the_old_cluster_until_the_new_route_is_held(bound):
    replies, _ = bound.want(holding({C: 1.0}, table="0.3"))
    cds, eds = only(replies, names.CDS), only(replies, names.EDS)
    assert [(r.name, r.lines) for r in eds.resources] == [("0.1", ((C, "east", 1.0),))]
    bound.ack(eds, "0.1")
    assert {r.name for r in cds.resources} == {"0.1/read", "0.1/write", "0.3/read", "0.3/write"}
    bound.ack(cds)
    (eds,), _ = bound.ask(names.EDS, "0.1", "0.3", nonce=bound.stream.subscriptions[names.EDS].last_nonce)
    replies, _ = bound.ack(eds, "0.1", "0.3")
    rds = only(replies, names.RDS)
    (cds,), events = bound.ack(rds, "read", "write")
    assert {r.name for r in cds.resources} == {"0.3/read", "0.3/write"}
    assert events == []
    assert bound.ack(cds)[1] == [Acknowledged(2)]


def test_names_that_do_not_exist():
    delta, sotw = Wire(delta=True), Wire()
    for wire in (delta, sotw):
        assert wire.ask(names.EDS, "nonsense") == ([], [])  # nothing is said before the client is bound
    (reply,), _ = delta.want(holding({A: 1.0}))
    assert (reply.removed, reply.resources) == (("nonsense",), ())
    assert sotw.want(holding({A: 1.0})) == ([], [])
    assert sotw.ask("type.googleapis.com/unknown", "x") == ([], [])


def test_unsubscribed_names_do_not_come_again(bound):
    bound.ask(names.EDS, nonce=bound.eds.nonce)  # names, then none: none means none
    assert bound.want(holding({A: 0.2})) == ([], [])
    delta = Wire(delta=True)
    delta.want(holding({A: 1.0}))
    (eds,), _ = delta.ask(names.EDS, "0.1")
    delta.ack(eds, unsubscribe=("0.1",))
    assert delta.want(holding({A: 0.2})) == ([], [])


def test_lines_of_barred_servers_leave_a_foreign_table_unless_it_had_no_other():
    wire = Wire(delta=True, lines=True)
    lines = {names.line_name("1.7", "east", s): "v" for s in (A, B)}
    lines[names.line_name("1.9", "east", B)] = "v"
    wire.stream.unavailable = frozenset({B})
    wire.ask(names.LEDS, initial=lines)
    (reply,), _ = wire.want(holding({C: 1.0}))
    assert reply.removed == (names.line_name("1.7", "east", B),)


def test_too_many_names_end_the_stream(sotw):
    with pytest.raises(ProtocolViolationError, match="16385 names"):
        sotw.ask(names.EDS, *map(str, range(16_385)))


def test_bytes_that_are_no_request():
    with pytest.raises(ProtocolViolationError, match="no DiscoveryRequest"):
        decode(b"\xff\xff\xff", False)


def test_weights_are_whole_numbers_and_no_line_is_rounded_away():
    assert whole_weights([("a", "z", 1e-9), ("b", "z", 1.0)]) == [1, 10_000]
    huge = whole_weights([("a", "z", 1e12), ("b", "z", 1.0), ("c", "z", 1e12)])
    assert sum(huge) < 2**32
    assert huge[1] == 1


@given(data=st.data(), form=st.sampled_from(["sotw", "delta", "lines"]))
@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
def test_whatever_the_order_the_client_ends_with_the_wanted_table(data, form):
    """Pushes, moves, refusals, lost streams and late answers in any order; then all is delivered.

    The client is the oracle: it knows nothing of versions wanted, only what came as bytes.
    """
    delta, lines = form != "sotw", form == "lines"
    client = XdsClient("n", "east", 1.0, delta=delta, endpoint_collections=lines)
    client.validate = lambda kind, name, message: "no" if refusing else None
    translator, refusing, now, held, seal = Translator(SETTINGS), False, 0, None, 0
    barred, to_server, to_client = frozenset(), [], []

    def connect():
        made = AdsStream(delta, f"s{now}", 1, lines)
        to_server[:] = client.open_stream(True)
        to_client.clear()
        if held is not None:
            made.set_wanted(translator.wanted(held, (), lines), "again", None, now)
        return made

    def settle(what):
        if what == "server" and to_server:
            stream.on_request(decode(to_server.pop(0), delta)[0], now)
        elif what == "client" and to_client:
            to_server.extend(client.receive(to_client.pop(0)))
        replies, events = stream.advance(now)
        to_client.extend(encode(r, delta) for r in replies)
        for event in events:
            if isinstance(event, Acknowledged) and event.nonce == seal:
                check()

    def check():
        for op, table in held.tables_by_operation:
            got = client.tables[op]
            want = held.contents[table]
            assert got.weights == {
                s: w for (s, _, _), w in zip(want.entries, whole_weights(want.entries), strict=True)
            }
            assert got.admission_rate == pytest.approx(want.admission[0][0], abs=1e-6)
            assert got.cluster == f"{table}/{op}"

    stream = connect()
    servers = [A, B, C, D]
    steps = st.sampled_from(["server"] * 4 + ["client"] * 4 + ["push"] * 2 + ["break", "refuse", "take"])
    played = data.draw(st.lists(steps, max_size=60))
    for step in played:
        now += S // 10
        if step == "push":
            chosen = data.draw(st.sets(st.sampled_from(servers), min_size=1))
            weight = data.draw(st.sampled_from([0.5, 1.0]))
            level = data.draw(st.sampled_from([1.0, 0.4]))
            held = holding(dict.fromkeys(chosen, weight), data.draw(st.sampled_from(["0.1", "0.3"])), level)
            seal += 1
            barred = frozenset(servers) - chosen
            stream.unavailable = barred
            stream.set_wanted(translator.wanted(held, (), lines), f"p{seal}", seal, now)
        elif step == "break":
            stream = connect()
            stream.unavailable = barred
        elif step in ("refuse", "take"):
            refusing = step == "refuse"
        settle(step)
    if held is None:
        return
    refusing = False
    if "refuse" in played:
        stream = connect()  # what was refused is not sent again unchanged on the same stream
        stream.unavailable = barred
    for _ in range(400):
        now += S
        settle("server")
        settle("client")
    check()
    assert not to_server
    assert not to_client
