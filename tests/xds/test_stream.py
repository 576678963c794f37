"""One ADS stream: single cases as sequences of events, and random interleavings against a separate client."""

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
from swiftchute.xds.resources import Translator, integer_weights
from swiftchute.xds.stream import Acknowledged, AdsStream, Rejected, StaleRequest
from tests.conftest import DEFAULTS, operation

S = 1_000_000_000
A, B, C, D = (f"127.0.0.1:90{k}0" for k in (1, 2, 3, 4))
SETTINGS = Settings(**(DEFAULTS | {"operations": (operation("read"), operation("write"))}))


def one_table(weights, table="0.1", admission_rate=1.0, retry_policy=1):
    """Both operations on one table with these weights by endpoint."""
    content = TableContent(
        tuple((e, "east", w) for e, w in sorted(weights.items())), ((admission_rate, retry_policy),) * 2
    )
    return ProxyTables((("read", table), ("write", table)), {table: content})


class StreamDriver:
    """A stream and its translator; the methods return (responses, events)."""

    def __init__(self, delta=False, collections=False):
        self.translator, self.now, self.nonce, self.delta = Translator(SETTINGS), 0, 0, delta
        self.stream = AdsStream(delta, "t", 1, collections)

    def publish(self, tables, ejected=()):
        self.nonce += 1
        wanted = self.translator.wanted(tables, ejected, self.stream.collections)
        self.stream.set_wanted(wanted, f"push-{self.nonce}", self.nonce, self.now)
        return self.advance()

    def advance(self, wait=0.0):
        self.now += int(wait * S)
        return self.stream.advance(self.now)

    def request(self, type_url, *resource_names, **fields):
        fields["subscribe" if self.delta else "names"] = resource_names
        events = self.stream.on_request(AdsRequest(type_url, **fields), self.now)
        responses, later = self.advance()
        return responses, events + later

    def ack(self, response, *resource_names, **fields):
        return self.request(response.type_url, *resource_names, nonce=response.nonce, **fields)


def short_types(responses):
    return [names.SHORT_NAMES[r.type_url] for r in responses]


def response_of_type(responses, type_url):
    (found,) = [r for r in responses if r.type_url == type_url]
    return found


@pytest.fixture
def sotw():
    return StreamDriver()


@pytest.fixture
def settled():
    """A SotW client that holds a table of A and B, everything acknowledged."""
    driver = StreamDriver()
    driver.publish(one_table({A: 1.0, B: 1.0}))
    (cds,), _ = driver.request(names.CDS)
    driver.ack(cds)
    (eds,), _ = driver.request(names.EDS, "0.1")
    driver.ack(eds, "0.1")
    (lds,), _ = driver.request(names.LDS)
    driver.ack(lds)
    (rds,), _ = driver.request(names.RDS, "read", "write")
    _, events = driver.ack(rds, "read", "write")
    assert events == [Acknowledged(1)]
    driver.eds = eds
    return driver


def test_clusters_and_endpoints_go_before_listeners_and_routes(sotw):
    sotw.publish(one_table({A: 1.0}))
    (cds,), _ = sotw.request(names.CDS)
    responses, _ = sotw.request(names.LDS)
    assert responses == []  # the routes' clusters are not held yet
    sotw.ack(cds)
    (eds,), _ = sotw.request(names.EDS, "0.1")
    responses, events = sotw.ack(eds, "0.1")
    assert short_types(responses) == ["lds"]
    assert events == []  # the nonce is not acknowledged while routes are missing


def test_a_client_that_requests_clusters_by_name_gets_routes_at_once(sotw):
    sotw.publish(one_table({A: 1.0}))
    (lds,), _ = sotw.request(names.LDS, "read")
    assert [r.name for r in lds.resources] == ["read"]
    (rds,), _ = sotw.request(names.RDS, "read")
    sotw.ack(lds, "read")
    sotw.ack(rds, "read")
    (cds,), _ = sotw.request(names.CDS, "0.1/read")
    sotw.ack(cds, "0.1/read")
    (eds,), events = sotw.request(names.EDS, "0.1")
    assert events == []
    assert sotw.ack(eds, "0.1") == ([], [Acknowledged(1)])


def test_only_changed_tables_are_sent_and_the_nonce_waits_for_their_ack(settled):
    (eds,), events = settled.publish(one_table({A: 1.0, B: 1.0, C: 0.5}))
    assert eds.type_url == names.EDS
    assert events == []
    assert settled.ack(eds, "0.1") == ([], [Acknowledged(2)])


def test_changes_during_a_pending_response_are_merged_into_the_next(settled):
    (first,), _ = settled.publish(one_table({A: 1.0}))
    assert settled.publish(one_table({A: 0.5})) == ([], [])
    assert settled.publish(one_table({B: 0.5})) == ([], [])
    (second,), events = settled.ack(first, "0.1")
    assert [r.entries for r in second.resources] == [((B, "east", 0.5),)]
    assert events == []
    assert settled.ack(second, "0.1") == ([], [Acknowledged(4)])


def test_an_ack_of_a_superseded_nonce_is_stale(settled):
    (eds,), _ = settled.publish(one_table({A: 1.0}))
    responses, events = settled.request(names.EDS, "0.1", nonce=settled.eds.nonce)
    assert (responses, events) == ([], [StaleRequest(names.EDS, settled.eds.nonce)])
    assert settled.ack(eds, "0.1")[1] == [Acknowledged(2)]
    assert settled.ack(eds, "0.1") == ([], [])  # the repeated ACK changes nothing


def test_a_rejected_table_is_not_sent_again_and_a_drain_is_sent_as_a_reduced_table(settled):
    (eds,), _ = settled.publish(one_table({A: 1.0, B: 1.0, C: 1.0}))
    responses, events = settled.ack(eds, "0.1", error="no C")
    assert events == [Rejected(names.EDS, ("0.1",), "no C", "kept")]
    assert responses == []  # the old version stays in force
    assert settled.publish(one_table({A: 1.0, B: 1.0, C: 1.0})) == (
        [],
        [],
    )  # nor is the same version sent by a later push
    settled.stream.unavailable = frozenset({B})
    (reduced,), _ = settled.publish(one_table({A: 1.0, C: 1.0}))
    assert [r.entries for r in reduced.resources] == [((A, "east", 1.0),)]  # the held table without B
    responses, events = settled.ack(reduced, "0.1")
    assert not any(isinstance(e, Acknowledged) for e in events)  # the wanted table is not held yet
    assert settled.advance(wait=2.0)[0][0].resources[0].entries == ((A, "east", 1.0), (C, "east", 1.0))


def test_a_rejected_reduced_table_is_not_sent_again_either(settled):
    (eds,), _ = settled.publish(one_table({A: 1.0, B: 1.0, C: 1.0}))
    settled.ack(eds, "0.1", error="no")
    settled.stream.unavailable = frozenset({B})
    (reduced,), _ = settled.advance()
    _, events = settled.ack(reduced, "0.1", error="no")
    assert events[0].answer == "kept"
    assert settled.advance() == ([], [])


def test_changed_versions_wait_longer_after_each_rejection(settled):
    waits = []
    for k in range(4):
        responses, _ = settled.publish(one_table({A: 1.0, C: 1.0 + k}))
        waited = 0.0
        while not responses:
            responses, _ = settled.advance(wait=0.25)
            waited += 0.25
        waits.append(waited)
        settled.ack(responses[0], "0.1", error="no")
    assert waits[0] == 0
    assert waits[1] < waits[2] < waits[3] <= 4


def test_resources_rejected_together_are_sent_one_by_one():
    driver = StreamDriver(delta=True, collections=True)
    driver.publish(one_table({A: 1.0, B: 1.0, C: 1.0}))
    driver.request(names.LEDS, names.collection("0.1", "east"))
    pending = _answer_rejecting_entry(driver, driver.stream.subscriptions[names.LEDS].pending.nonce, B)
    accepted = {names.parse_entry_name(n)[2] for n in driver.stream.subscriptions[names.LEDS].held}
    assert accepted == {A, C}
    assert pending is None


def _answer_rejecting_entry(driver, nonce, endpoint):
    """Answer all LEDS responses, rejecting those with `endpoint`; return the one that stays pending."""
    for _ in range(20):
        pending = driver.stream.subscriptions[names.LEDS].pending
        if pending is None:
            return None
        rejected = any(names.parse_entry_name(n)[2] == endpoint for n in pending.resources)
        driver.request(names.LEDS, nonce=pending.nonce, error="no" if rejected else None)
    return pending


def test_a_removal_is_not_sent_together_with_entries_that_may_be_rejected():
    driver = StreamDriver(delta=True, collections=True)
    driver.publish(one_table({A: 1.0, B: 1.0}))
    for type_url in (names.CDS, names.EDS, names.LDS, names.RDS):
        resource_names = {names.EDS: ["0.1"], names.RDS: ["read", "write"]}.get(type_url, ["*"])
        driver.request(type_url, *resource_names)
        _answer_rejecting_entry(driver, "", C)
        for subscription in driver.stream.subscriptions.values():
            while subscription.pending:
                driver.request(subscription.type_url, nonce=subscription.pending.nonce)
    driver.request(names.LEDS, names.collection("0.1", "east"))
    driver.request(names.LEDS, nonce=driver.stream.subscriptions[names.LEDS].pending.nonce)
    for subscription in driver.stream.subscriptions.values():
        while subscription.pending:
            driver.request(subscription.type_url, nonce=subscription.pending.nonce)
    driver.publish(one_table({A: 1.0, B: 1.0, C: 1.0, D: 1.0}))
    _answer_rejecting_entry(driver, "", C)
    (removal,), _ = driver.publish(one_table({A: 1.0, C: 2.0, D: 1.0}))
    assert [names.parse_entry_name(n)[2] for n in removal.removed] == [B]
    assert removal.resources == ()


def test_a_delta_client_of_another_instance_keeps_its_clusters_until_the_new_routes_are_held():
    driver = StreamDriver(delta=True)
    driver.publish(one_table({A: 1.0}))
    old = {"1.7/read": "v", "1.7/write": "v"}
    (cds,), _ = driver.request(names.CDS, initial=old)
    assert cds.removed == ()
    driver.ack(cds)
    driver.request(names.LDS, initial={"read": "v"})
    responses, _ = driver.request(names.EDS, "0.1", "1.7")
    driver.ack(response_of_type(responses, names.EDS))
    responses, _ = driver.request(names.RDS, "read", "write", initial={"read": "v", "write": "v"})
    lds = driver.stream.subscriptions[names.LDS].pending
    driver.request(names.LDS, nonce=lds.nonce)
    rds = driver.stream.subscriptions[names.RDS].pending
    responses, _ = driver.request(names.RDS, nonce=rds.nonce)
    assert response_of_type(responses, names.CDS).removed == ("1.7/read", "1.7/write")


def test_a_reconnect_with_versions_gets_only_resources_that_differ():
    driver = StreamDriver(delta=True)
    tables = one_table({A: 1.0})
    wanted = driver.translator.wanted(tables, (), False)
    driver.publish(tables)
    versions = {n: r.version for n, r in wanted[names.CDS].items()}
    assert driver.request(names.CDS, initial=versions) == ([], [])
    (eds,), _ = driver.request(names.EDS, "0.1", initial={"0.1": "of another planner"})
    assert [r.name for r in eds.resources] == ["0.1"]


def test_an_old_table_name_gets_the_clients_current_table_until_it_is_dropped(settled):
    """A SotW client was moved, or comes from another instance: its routes still name the old table."""
    (eds,), _ = settled.request(names.EDS, "0.1", "1.7", nonce=settled.eds.nonce)
    assert [(r.name, r.entries) for r in eds.resources] == [("1.7", ((A, "east", 1.0), (B, "east", 1.0)))]
    settled.ack(eds, "0.1", "1.7")
    (eds,), _ = settled.publish(one_table({A: 1.0}))
    assert [r.name for r in eds.resources] == ["0.1", "1.7"]  # a drain takes effect on the old name too


def test_moved_clients_keep_the_old_cluster_until_the_new_route_is_held(settled):
    responses, _ = settled.publish(one_table({C: 1.0}, table="0.3"))
    cds, eds = response_of_type(responses, names.CDS), response_of_type(responses, names.EDS)
    assert [(r.name, r.entries) for r in eds.resources] == [("0.1", ((C, "east", 1.0),))]
    settled.ack(eds, "0.1")
    assert {r.name for r in cds.resources} == {"0.1/read", "0.1/write", "0.3/read", "0.3/write"}
    settled.ack(cds)
    (eds,), _ = settled.request(
        names.EDS, "0.1", "0.3", nonce=settled.stream.subscriptions[names.EDS].last_nonce
    )
    responses, _ = settled.ack(eds, "0.1", "0.3")
    rds = response_of_type(responses, names.RDS)
    (cds,), events = settled.ack(rds, "read", "write")
    assert {r.name for r in cds.resources} == {"0.3/read", "0.3/write"}
    assert events == []
    assert settled.ack(cds)[1] == [Acknowledged(2)]


def test_unknown_names_are_removed_for_delta_clients_and_ignored_for_sotw():
    delta, sotw = StreamDriver(delta=True), StreamDriver()
    for driver in (delta, sotw):
        assert driver.request(names.EDS, "nonsense") == ([], [])  # no response before the proxy has tables
    (response,), _ = delta.publish(one_table({A: 1.0}))
    assert (response.removed, response.resources) == (("nonsense",), ())
    assert sotw.publish(one_table({A: 1.0})) == ([], [])
    assert sotw.request("type.googleapis.com/unknown", "x") == ([], [])


def test_unsubscribed_names_are_not_sent_again(settled):
    settled.request(
        names.EDS, nonce=settled.eds.nonce
    )  # after a request with names, an empty one means none, not all
    assert settled.publish(one_table({A: 0.2})) == ([], [])
    delta = StreamDriver(delta=True)
    delta.publish(one_table({A: 1.0}))
    (eds,), _ = delta.request(names.EDS, "0.1")
    delta.ack(eds, unsubscribe=("0.1",))
    assert delta.publish(one_table({A: 0.2})) == ([], [])


def test_entries_of_unavailable_endpoints_are_removed_from_a_foreign_table_with_others():
    driver = StreamDriver(delta=True, collections=True)
    versions = {names.entry_name("1.7", "east", s): "v" for s in (A, B)}
    versions[names.entry_name("1.9", "east", B)] = "v"
    driver.stream.unavailable = frozenset({B})
    driver.request(names.LEDS, initial=versions)
    (response,), _ = driver.publish(one_table({C: 1.0}))
    assert response.removed == (names.entry_name("1.7", "east", B),)


def test_too_many_names_end_the_stream(sotw):
    with pytest.raises(ProtocolViolationError, match="16385 names"):
        sotw.request(names.EDS, *map(str, range(16_385)))


def test_malformed_bytes_are_rejected():
    with pytest.raises(ProtocolViolationError, match="cannot decode 3 bytes as DiscoveryRequest"):
        decode(b"\xff\xff\xff", False)


def test_weights_are_integers_and_no_entry_is_rounded_to_zero():
    assert integer_weights([("a", "z", 1e-9), ("b", "z", 1.0)]) == [1, 10_000]
    huge = integer_weights([("a", "z", 1e12), ("b", "z", 1.0), ("c", "z", 1e12)])
    assert sum(huge) < 2**32
    assert huge[1] == 1


@given(data=st.data(), variant=st.sampled_from(["sotw", "delta", "leds"]))
@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
def test_the_client_ends_with_the_wanted_table_after_any_order_of_events(data, variant):
    """Pushes, moves, rejections, lost streams and late answers in any order; then everything is delivered.

    The client is the oracle: it knows only the bytes that it received, not the wanted versions.
    """
    delta, collections = variant != "sotw", variant == "leds"
    client = XdsClient("n", "east", 1.0, delta=delta, endpoint_collections=collections)
    client.validate = lambda type_url, name, message: "no" if rejecting else None
    translator, rejecting, now, tables, nonce = Translator(SETTINGS), False, 0, None, 0
    unavailable, to_server, to_client = frozenset(), [], []

    def connect():
        opened = AdsStream(delta, f"s{now}", 1, collections)
        to_server[:] = client.open_stream(True)
        to_client.clear()
        if tables is not None:
            opened.set_wanted(translator.wanted(tables, (), collections), "again", None, now)
        return opened

    def run_step(name):
        if name == "server" and to_server:
            stream.on_request(decode(to_server.pop(0), delta)[0], now)
        elif name == "client" and to_client:
            to_server.extend(client.receive(to_client.pop(0)))
        responses, events = stream.advance(now)
        to_client.extend(encode(r, delta) for r in responses)
        for event in events:
            if isinstance(event, Acknowledged) and event.nonce == nonce:
                check_tables()

    def check_tables():
        for op, table in tables.tables_by_operation:
            held_table = client.tables[op]
            content = tables.contents[table]
            assert held_table.weights == {
                e: w for (e, _, _), w in zip(content.entries, integer_weights(content.entries), strict=True)
            }
            assert held_table.admission_rate == pytest.approx(content.admission[0][0], abs=1e-6)
            assert held_table.cluster == f"{table}/{op}"

    stream = connect()
    endpoints = [A, B, C, D]
    step_names = st.sampled_from(
        ["server"] * 4 + ["client"] * 4 + ["push"] * 2 + ["break", "reject", "accept"]
    )
    steps = data.draw(st.lists(step_names, max_size=60))
    for step in steps:
        now += S // 10
        if step == "push":
            chosen = data.draw(st.sets(st.sampled_from(endpoints), min_size=1))
            weight = data.draw(st.sampled_from([0.5, 1.0]))
            admission_rate = data.draw(st.sampled_from([1.0, 0.4]))
            tables = one_table(
                dict.fromkeys(chosen, weight), data.draw(st.sampled_from(["0.1", "0.3"])), admission_rate
            )
            nonce += 1
            unavailable = frozenset(endpoints) - chosen
            stream.unavailable = unavailable
            stream.set_wanted(translator.wanted(tables, (), collections), f"p{nonce}", nonce, now)
        elif step == "break":
            stream = connect()
            stream.unavailable = unavailable
        elif step in ("reject", "accept"):
            rejecting = step == "reject"
        run_step(step)
    if tables is None:
        return
    rejecting = False
    if "reject" in steps:
        stream = connect()  # a rejected version is not sent again on the same stream
        stream.unavailable = unavailable
    for _ in range(400):
        now += S
        run_step("server")
        run_step("client")
    check_tables()
    assert not to_server
    assert not to_client
