"""The DNS front without sockets: answers, what queries at fault get, lateness, limits and transfers."""

import contextlib
import ipaddress
import random
import struct

import dns.edns
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.xfr
import dns.zone
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from msgspec.structs import astuple

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import ProxyConnected, ProxyDisconnected, PushAcknowledged, TimerFired
from swiftchute.api.settings import Settings
from swiftchute.config.schema import INSTANCE_BLOCKS
from swiftchute.controller.controller import Controller
from swiftchute.controller.table_contents import TableEntry
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.dns import rate_limit
from swiftchute.dns.answer_cache import AnswerCache
from swiftchute.dns.errors import DomainNameError, QueryError
from swiftchute.dns.frontend import DELIVERY_ALLOWANCE_NS, DnsFrontend
from swiftchute.dns.names import OriginNames
from swiftchute.dns.query import parse_plain_query, parse_query
from swiftchute.dns.rate_limit import RateLimiter, Verdict
from swiftchute.dns.records import RecordLayout, ZoneRecords
from swiftchute.dns.secondaries import MAX_NOTIFY_ATTEMPTS, SecondaryServers
from swiftchute.dns.settings import DnsSettings
from swiftchute.dns.srv_weights import apportion, draw_answers, srv_weights
from swiftchute.dns.ttl import TtlPolicy
from swiftchute.safety.proposal import SafetyRules
from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.messages import ProxyNode
from tests.conftest import DEFAULTS, ScriptedPolicy, operation

S = 1_000_000_000
NOW = 1000 * S
ORIGIN = "lots.example."
SRV = "_read._tcp.lots.example."
NAMES = OriginNames(ORIGIN, ["read", "write"], ["east", "west"])


def lines(many=3, zone="east", weight=1.0):
    return tuple(TableEntry(f"10.0.{k // 200}.{k % 200}:80", zone, weight + k / 10) for k in range(many))


def ready(held=None, cold=frozenset(), layout=None, ttl=2, **more):
    contents = {"east": {"read": lines() if held is None else held, "write": lines(2)}}
    return AnswerCache(ZoneRecords(NAMES, contents, cold, ttl, 7, layout or RecordLayout(), **more), {})


def ask(name, kind="SRV", size=0, **more):
    return dns.message.make_query(name, kind, use_edns=0 if size else False, payload=size, **more).to_wire()


def told(made, name, kind="SRV", limit=65_535, view="east", size=0):
    reply = made.answer(parse_plain_query(ask(name, kind, size)), view, limit, NOW)
    return dns.message.from_wire(reply) if reply is not None else None


# -- shares


@given(weights=st.lists(st.floats(1e-4, 1e4), min_size=1, max_size=30))
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_srv_weights_lose_no_line_and_keep_proportions(weights):
    rows = [TableEntry(f"10.0.0.{k}:1", "z", w) for k, w in enumerate(weights)]
    found = srv_weights(rows)
    assert all(1 <= w <= 65_535 for w in found)
    scale = max(max(weights) * 10_000 / 65_535, 1.0)
    for weight, made in zip(weights, found, strict=True):
        assert abs(made - weight * 10_000 / scale) <= 1


def test_a_weight_of_one_beside_the_largest():
    assert srv_weights([TableEntry("a:1", "z", 0.0001), TableEntry("b:1", "z", 6.5535)]) == [1, 65_535]
    assert srv_weights([TableEntry("a:1", "z", 0.0001), TableEntry("b:1", "z", 1e6)]) == [1, 65_535]


@given(weights=st.lists(st.floats(0.05, 10), min_size=1, max_size=20), size=st.integers(1, 6))
@hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
def test_draws_stand_first_in_proportion_and_are_spread_evenly(weights, size):
    rows = [TableEntry(f"s{k}:1", "z", w) for k, w in enumerate(weights)]
    found = draw_answers(rows, size, 256)
    total = len(found)
    for k, share in enumerate(w / sum(weights) for w in weights):
        times = [at for at, picked in enumerate(found) if picked[0] == f"s{k}:1"]
        assert abs(len(times) - share * total) < 2
        gaps = [b - a for a, b in zip(times, [*times[1:], times[0] + total], strict=True)]
        assert max(gaps) <= 2 * total / len(times) + len(rows)  # no long stretch without it
    assert all(len(set(picked)) == len(picked) == min(size, len(rows)) for picked in found)
    assert sum(apportion([w for _, _, w in rows], total)) >= total


# -- names


@pytest.mark.parametrize(
    ("operations", "zones"),
    [(["x" * 63], ["z"]), (["a", "A"], ["z"]), (["a"], ["a"]), (["ip-1"], ["z"]), (["ns"], [])],
)  # fmt: skip
def test_names_that_cannot_be_or_mean_two_things_are_refused(operations, zones):
    with pytest.raises(DomainNameError):
        OriginNames(ORIGIN, operations, zones)


def test_an_operation_is_one_label_whatever_it_holds():
    made = OriginNames(ORIGIN, ["a.b"], ["z"])
    assert made.service_name("a.b").labels[0] == b"_a.b"
    assert made.target_name("[2001:db8::1]:80").labels[0] == b"ip6-20010db8000000000000000000000001"


# -- answers


def test_an_answer_says_what_the_table_does_by_the_librarys_reading():
    reply = told(ready(), SRV)
    rows = {(r.priority, r.weight, r.port, str(r.target)) for r in reply.answer[0]}
    assert rows == {(0, 10_000 + k * 1000, 80, f"ip-10-0-0-{k}.lots.example.") for k in range(3)}
    assert {(str(r.name), str(r[0])) for r in reply.additional} == {
        (f"ip-10-0-0-{k}.lots.example.", f"10.0.0.{k}") for k in range(3)
    }
    assert reply.flags & dns.flags.AA
    assert reply.answer[0].ttl == 2


@pytest.mark.parametrize(
    ("name", "kind", "code", "answers"),
    [(SRV, "SRV", 0, 3), ("_read._tcp.east.lots.example.", "SRV", 0, 3), ("read.lots.example.", "A", 0, 3),
     ("ip-10-0-0-1.lots.example.", "A", 0, 1), (ORIGIN, "SOA", 0, 1), (ORIGIN, "NS", 0, 1),
     (SRV, "ANY", 0, 1), ("ns.lots.example.", "A", 0, 1), (SRV, "TXT", 0, 0),
     ("read.lots.example.", "AAAA", 0, 0), ("_tcp.lots.example.", "A", 0, 0),
     ("_tcp.west.lots.example.", "A", 0, 0), ("none.lots.example.", "A", 3, 0),
     ("_read._tcp.west.lots.example.", "SRV", 2, 0), ("ip-10-9-9-9.lots.example.", "A", 3, 0)],
)  # fmt: skip
def test_every_name_gets_the_answer_or_the_denial_it_is_due(name, kind, code, answers):
    reply = told(ready(layout=RecordLayout(name_server_address="192.0.2.1:53")), name, kind)
    assert (reply.rcode(), sum(map(len, reply.answer))) == (code, answers)
    if not answers and code != 2:
        (soa,) = reply.authority  # RFC 2308: how long the denial may be kept
        assert (str(soa.name), soa[0].minimum) == (ORIGIN, 2)
    assert told(ready(), "other.example.") is None


def test_the_case_of_a_question_is_kept():
    query = ask("_rEaD._TcP.LoTs.ExAmPlE.")
    reply = ready().answer(parse_plain_query(query), "east", 512, NOW)
    assert reply[12 : 12 + 28] == query[12 : 12 + 28]
    assert len(dns.message.from_wire(reply).answer[0]) == 3


def test_what_does_not_fit_goes_without_addresses_and_then_not_at_all():
    made = ready(lines(10))
    whole, small = told(made, SRV), told(made, SRV, limit=512)
    assert (len(whole.answer[0]), len(whole.additional)) == (10, 10)
    assert (len(small.answer[0]), len(small.additional), small.flags & dns.flags.TC) == (10, 0, 0)
    cut = told(ready(lines(40)), SRV, limit=1232, size=1232)
    assert (cut.answer, cut.flags & dns.flags.TC, cut.edns) == ([], dns.flags.TC, 0)
    assert len(told(ready(lines(400)), SRV).answer[0]) == 400  # by TCP


@pytest.mark.parametrize("limit", [512, 700, 1232, 4096])
@pytest.mark.parametrize("many", [1, 9, 20, 60])
def test_no_reply_is_larger_than_the_asker_takes(limit, many):
    made = ready(lines(many))
    for size in (0, limit):
        for name, kind in ((SRV, "SRV"), ("read.lots.example.", "A"), ("gone.lots.example.", "A")):
            assert len(made.answer(parse_plain_query(ask(name, kind, size)), "east", limit, NOW)) <= limit


def test_draws_take_turns_and_hold_no_cold_server_while_there_are_warm_ones():
    made = ready(lines(3), cold=frozenset({"10.0.0.0:80"}), layout=RecordLayout(addresses_per_answer=1))
    seen = [str(told(made, "read.lots.example.", "A").answer[0][0]) for _ in range(500)]
    assert set(seen) == {"10.0.0.1", "10.0.0.2"}
    assert seen.count("10.0.0.1") / 500 == pytest.approx(1.1 / 2.3, abs=0.02)
    assert told(ready(lines(1), cold=frozenset({"10.0.0.0:80"})), "read.lots.example.", "A").answer


def test_borrowed_lines_may_stand_behind_those_of_the_zone():
    held = (*lines(1), TableEntry("10.1.0.1:80", "west", 3.0))
    assert {r.priority for r in told(ready(held), SRV).answer[0]} == {0}
    spare = told(ready(held, layout=RecordLayout(remote_entries="spare")), SRV).answer[0]
    assert {(r.priority, str(r.target)[:5]) for r in spare} == {(0, "ip-10"), (1, "ip-10")}
    alone = told(ready(held[1:], layout=RecordLayout(remote_entries="spare")), SRV).answer[0]
    assert {r.priority for r in alone} == {0}  # there is none before them


def test_a_level_turns_queries_away_only_where_it_is_asked_for():
    made = ready(admission_rates={("east", "read"): 0.25})
    codes = [told(made, SRV).rcode() for _ in range(800)]
    assert codes.count(dns.rcode.SERVFAIL) / 800 == pytest.approx(0.75, abs=0.06)
    assert made.usage_by_operation["east", "read"].answers == 800  # demand is what came, not what was let in


# -- queries at fault


def mutated(chance, data):
    data = bytearray(data)
    for _ in range(chance.randint(1, 4)):
        what, at = chance.randrange(4), chance.randrange(len(data) or 1)
        if what == 0 and data:
            data[at] ^= 1 << chance.randrange(8)
        elif what == 1:
            del data[at:]
        elif what == 2:
            data[at:at] = bytes([0xC0, chance.randrange(32)])
        elif data:
            data[at] = chance.randrange(256)
    return bytes(data)


def legal(reply, query):
    """A reply to this query by the library's reading: its id, QR set, and no more than the head if at
    fault."""
    assert reply[:2] == query[:2]
    assert reply[2] & 0x80
    assert dns.message.from_wire(reply, one_rr_per_rrset=True).id == int.from_bytes(query[:2], "big")


def test_ten_thousand_mutated_queries_get_a_legal_reply_or_silence(front):
    chance = random.Random(11)
    seeds = [ask(SRV), ask(SRV, size=1232), ask("read.lots.example.", "A", 512), ask(ORIGIN, "AXFR"),
             ask("read.lots.example.", "A", 1400, options=[dns.edns.ECSOption("10.1.2.3", 24)]),
             dns.xfr.make_query(xfr_zone(5))[0].to_wire()]  # fmt: skip
    answered = 0
    for k in range(10_000):
        query = mutated(chance, seeds[k % len(seeds)])
        for replies in ([front.queries.answer_datagram(query, "127.0.0.1", "east", NOW)],
                        front.queries.answer_stream(query, "127.0.0.1", "east", NOW)):  # fmt: skip
            for reply in replies:
                if reply is not None:
                    legal(reply, query)
                    answered += 1
    assert answered > 10_000


def test_queries_cut_at_every_byte_get_a_legal_reply_or_silence(front):
    for query in (ask(SRV), ask(SRV, size=1232, options=[dns.edns.ECSOption("10.1.2.3", 24)])):
        for end in range(len(query)):
            reply = front.queries.answer_datagram(query[:end], "127.0.0.1", "east", NOW)
            if end < 12:
                assert reply is None
            else:
                legal(reply, query)
                assert dns.message.from_wire(reply).rcode() == dns.rcode.FORMERR


def test_a_name_that_points_at_itself_is_at_fault(front):
    loop = struct.pack("!HHHHHH", 5, 0, 1, 0, 0, 0) + b"\xc0\x0c" + struct.pack("!HH", 33, 1)
    reply = dns.message.from_wire(front.queries.answer_datagram(loop, "127.0.0.1", "east", NOW))
    assert reply.rcode() == dns.rcode.FORMERR


@pytest.mark.parametrize(
    ("change", "code"),
    [(lambda m: m.set_opcode(dns.opcode.UPDATE), dns.rcode.NOTIMP),
     (lambda m: m.use_edns(1), dns.rcode.BADVERS),
     (lambda m: m.question.append(m.question[0]), dns.rcode.FORMERR),
     (lambda m: m.question.clear(), dns.rcode.FORMERR)],
)  # fmt: skip
def test_what_is_not_served_is_told_by_its_code(front, change, code):
    query = dns.message.make_query(SRV, "SRV")
    change(query)
    data = query.to_wire()
    reply = dns.message.from_wire(front.queries.answer_datagram(data, "127.0.0.1", "east", NOW))
    assert reply.rcode() == code


def test_other_classes_and_other_zones_are_refused_and_replies_are_passed_over(front):
    chaos = dns.message.make_query("version.bind.", "TXT", "CH").to_wire()
    for query in (chaos, ask("example.com.", "A")):
        reply = dns.message.from_wire(front.queries.answer_datagram(query, "127.0.0.1", "east", NOW))
        assert (reply.rcode(), reply.flags & dns.flags.AA) == (dns.rcode.REFUSED, 0)
    reply = dns.message.make_response(dns.message.make_query(SRV, "SRV")).to_wire()
    # or two servers would answer each other
    assert front.queries.answer_datagram(reply, "127.0.0.1", "east", NOW) is None


@given(st.binary(max_size=80))
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_what_is_plain_reads_the_same_by_the_library(tail):
    query = ask(SRV)
    for data in (tail, query[:12] + tail, query[:4] + tail):
        found = parse_plain_query(data)
        if found is not None:
            with contextlib.suppress(QueryError):  # what the library will not take is answered all the same
                assert parse_query(data) == found


# -- how long answers live


@pytest.mark.parametrize(
    ("grace", "bare", "most", "bound"),
    [(3.0, 3.0, 30, 2), (1.5, 3.0, 30, 1), (1.0, 3.0, 30, 0), (60, 60, 30, 30), (60, 4, 30, 3),
     (10, 60, 300, 7)],
)  # fmt: skip
def test_no_answer_outlives_a_drains_grace_less_its_reserve(grace, bare, most, bound):
    assert TtlPolicy(int(grace * S), int(bare * S), most, 100).limit_s == bound


def test_answers_live_shorter_the_more_often_they_change_but_for_a_flood():
    policy = TtlPolicy(60 * S, 60 * S, 30, 1000.0)
    assert policy.ttl_s(10.0, NOW) == 30
    for k in range(5):
        policy.on_answers_changed(NOW + k * S)
    assert policy.ttl_s(10.0, NOW + 5 * S) == 3
    assert policy.ttl_s(2000.0, NOW + 5 * S) == 30
    for k in range(500):
        policy.on_answers_changed(NOW + 6 * S + k)
    assert policy.ttl_s(10.0, NOW + 7 * S) == 1
    assert policy.ttl_s(10.0, NOW + 60 * S) == 30


# -- limits


def test_a_prefix_gets_its_rate_and_what_is_past_it_is_cut_or_dropped():
    limiter = RateLimiter(10.0, truncate_every=2)
    limiter.mark_verified("192.0.2.1", NOW)
    found = [limiter.check(f"192.0.2.{k % 250}", NOW) for k in range(60)]
    assert found.count(Verdict.ANSWER) == 20  # two seconds' worth at once
    assert found[20:24] == [Verdict.DROP, Verdict.TRUNCATE, Verdict.DROP, Verdict.TRUNCATE]
    assert limiter.check("198.51.100.1", NOW) == Verdict.ANSWER  # others are not concerned
    assert [limiter.check("192.0.2.1", NOW + S + k) for k in range(11)].count(Verdict.ANSWER) == 10


def test_a_flood_from_invented_prefixes_shares_one_budget_and_who_is_known_is_served():
    limiter = RateLimiter(100.0, truncate_every=0, unknown_answers_per_s=50.0)
    limiter.mark_verified("10.0.0.1", NOW)
    found = [limiter.check(f"10.{k // 250}.{k % 250}.9", NOW) for k in range(250, 5000)]
    assert found.count(Verdict.ANSWER) == 100
    assert limiter.check("10.0.0.7", NOW) == Verdict.ANSWER
    limiter.mark_verified("10.19.3.9", NOW)  # it came by TCP
    assert limiter.check("10.19.3.9", NOW) == Verdict.ANSWER


def test_prefixes_known_are_bounded_and_the_longest_silent_goes(monkeypatch):
    monkeypatch.setattr(rate_limit, "MAX_KNOWN_PREFIXES_ENTRIES", 3)
    limiter = RateLimiter(100.0, unknown_answers_per_s=1e6)
    for k in range(10):
        limiter.check(f"10.0.{k}.1", NOW + k)
        limiter.check("10.0.0.1", NOW + k)
    assert limiter.known_prefixes == ["10.0.8.0/24", "10.0.9.0/24", "10.0.0.0/24"]
    assert rate_limit.network_prefix("2001:db8:1:2ff::1") == "2001:db8:1:200::/56"


# -- on a planner


PLUMBING = {key: field.default for key, field in INSTANCE_BLOCKS["dns"].items()} | {
    "origin": ORIGIN, "responses": 0, "secondaries": (("east", ("127.0.0.1", 5400)),),
}  # fmt: skip


class World:
    """A core with a decider that does what a test says, and a DNS front on it."""

    def __init__(self, **plumbing):
        self.decider, self.now = ScriptedPolicy(), NOW
        facts = {"operations": (operation("read"), operation("write")), "drain_grace_ns": 4 * S}
        facts |= {"egress_rate_entries_per_s": 1e6, "egress_queue_limit_entries": 1e6, "message_quota": 0}
        settings = Settings(**(DEFAULTS | facts))
        self.controller = Controller(settings, 7, lambda settings, seed: self.decider, NOW, SafetyRules())
        self.front = DnsFrontend(self.controller, settings, DnsSettings.from_block(PLUMBING | plumbing), 7)
        self.front.start(NOW)
        self.events = []

    def listed(self, *servers, state="ready", started=0):
        self.controller.on_list_update(
            EndpointListChange(
                "changes", tuple(EndpointRecord(n, "east", "", 0, state, 1.0, started) for n in servers), ()
            )
        )

    def turn(self, *writes, wait=0.0):
        self.now += int(wait * S)
        self.decider.writes = list(writes)
        self.controller.runner.pending_events.append(TimerFired(0))
        for _ in range(2):
            turn = self.controller.run_round(self.now)
            self.events += turn.log_events
            self.front.publish(turn, self.now)
            self.now += S // 100

    def answer(self, name=SRV, kind="SRV", view="east"):
        return dns.message.from_wire(
            self.front.queries.answer_stream(ask(name, kind), "127.0.0.1", view, self.now)[0]
        )

    def targets(self, view="east"):
        return {str(r.target).partition(".")[0] for made in self.answer(view=view).answer for r in made}


@pytest.fixture
def world():
    made = World()
    made.listed("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
    made.turn(
        *[("set_weight", 1, f"10.0.0.{k}:80", 1.0) for k in (1, 2, 3)],
        ("assign_table", "dns/east", 1, 0),
        ("request_ack", 1, False),
    )
    made.turn()
    return made


@pytest.fixture
def front(world):
    return world.front


def xfr_zone(serial):
    """A zone as a secondary holds it, by the library."""
    zone = dns.zone.Zone(ORIGIN)
    with zone.writer() as txn:
        txn.replace("@", 1, dns.rdata.from_text("IN", "SOA", f"ns hostmaster {serial} 1 1 1 1", zone.origin))
        txn.replace("@", 1, dns.rdata.from_text("IN", "NS", "ns", zone.origin))
    return zone


def applied(controller):
    return [
        astuple(event) for event in controller.runner.pending_events if isinstance(event, PushAcknowledged)
    ]


def test_before_a_view_is_bound_it_fails_and_denies_nothing():
    made = World()
    assert made.answer().rcode() == dns.rcode.SERVFAIL
    made.listed("10.0.0.1:80")
    made.turn(("set_weight", 1, "10.0.0.1:80", 1.0), ("assign_table", "dns/east", 1, 0))
    assert made.targets() == {"ip-10-0-0-1"}
    assert made.answer(view="west").rcode() == dns.rcode.SERVFAIL  # that zone's view is bound to nothing yet


def test_a_version_is_held_once_no_earlier_answer_can_be_in_a_cache(world):
    world.answer()
    given = world.now
    world.turn(("set_weight", 1, "10.0.0.1:80", 2.0), ("request_ack", 2, False), wait=0.5)
    world.answer()  # of the new: it holds nothing up
    assert applied(world.controller) == []
    assert not world.controller.deliveries.is_up_to_date("dns/east")
    ttl = world.front.ttl_policy.limit_s * S
    world.turn(wait=(given + ttl + DELIVERY_ALLOWANCE_NS - world.now) / S - 0.1)
    assert applied(world.controller) == []
    world.controller.runner.pending_events.clear()
    world.now += S // 10
    world.front.publish(world.controller.run_round(world.now), world.now)
    assert [(p, seal) for p, seal, _ in applied(world.controller)] == [("dns/east", 2)]
    assert world.controller.deliveries.is_up_to_date("dns/east")


def test_a_version_nobody_was_answered_by_is_over_at_once(world):
    world.turn(("set_weight", 1, "10.0.0.1:80", 2.0), ("request_ack", 2, False), wait=9)
    assert world.controller.deliveries.is_up_to_date("dns/east")


def test_the_guard_counts_the_answers_that_are_still_out(world):
    """A cold server's budget: what resolvers may still go by is in it until their time is over."""
    world.answer()
    world.turn(("set_weight", 1, "10.0.0.2:80", 0.0))
    rows = world.controller.deliveries.pending_shares(["dns/east"], ["read"], ["10.0.0.2:80"], lambda p: 10.0)
    assert rows == ((1.0, {"10.0.0.2:80": pytest.approx(1 / 3)}),)
    world.turn(wait=9)
    assert (
        world.controller.deliveries.pending_shares(["dns/east"], ["read"], ["10.0.0.2:80"], lambda p: 10.0)
        == ()
    )


def test_a_drained_server_is_in_no_answer_from_its_news_on(world):
    assert len(world.targets()) == 3
    world.listed("10.0.0.1:80", state="draining")
    turn = world.controller.run_round(world.now)  # the module has ordered nothing yet
    world.front.publish(turn, world.now)
    assert world.targets() == {"ip-10-0-0-2", "ip-10-0-0-3"}
    assert world.answer("ip-10-0-0-1.lots.example.", "A").rcode() == dns.rcode.NXDOMAIN


def test_if_all_drain_the_last_answer_stays(world):
    world.listed(*[f"10.0.0.{k}:80" for k in (1, 2, 3)], state="draining")
    world.turn()
    assert len(world.targets()) == 3


def test_answers_are_told_as_arrivals(world):
    for _ in range(30):
        world.answer()
    world.turn(wait=2)
    world.turn(wait=2)
    assert 30 / 4.1 < world.controller.observed_traffic.request_rate(["dns/east"], ["read"], world.now) <= 15


def test_serials_rise_with_versions_and_stand_past_the_wall_clock(world):
    first = world.answer(ORIGIN, "SOA").answer[0][0].serial
    world.turn(("set_weight", 1, "10.0.0.1:80", 2.0))
    assert world.answer(ORIGIN, "SOA").answer[0][0].serial > first
    later = World()
    later.front.wall_clock_offset_ns = 5_000_000 * S
    later.listed("10.0.0.1:80")
    later.turn(("set_weight", 1, "10.0.0.1:80", 1.0), ("assign_table", "dns/east", 1, 0))
    assert later.answer(ORIGIN, "SOA").answer[0][0].serial >= 5_000_000


def test_a_view_goes_by_the_clients_subnet_where_that_is_allowed():
    made = World(subnets=(("west", ipaddress.ip_network("10.1.0.0/16")),))
    made.listed("10.0.0.1:80", "10.0.0.2:80")
    made.turn(("set_weight", 1, "10.0.0.1:80", 1.0), ("assign_table", "dns/east", 1, 0),
              ("set_weight", 2, "10.0.0.2:80", 1.0), ("assign_table", "dns/west", 2, 0))  # fmt: skip

    def seen(subnet):
        query = ask(SRV, size=1232, options=[dns.edns.ECSOption(subnet, 24)])
        return dns.message.from_wire(made.front.queries.answer_datagram(query, "127.0.0.1", "east", made.now))

    assert "ip-10-0-0-2" in str(seen("10.1.7.0").answer[0])
    assert seen("10.1.7.0").options[0].scopelen == 24
    assert "ip-10-0-0-1" in str(seen("10.2.7.0").answer[0])
    made.front.queries.subnets = []
    assert not seen("10.1.7.0").options  # not heeded, not echoed


def test_a_module_that_fails_leaves_the_answers_as_they_were(world):
    world.decider.writes = [("set_weight", 1, "10.0.0.1:80", 5.0, "too many")]
    world.controller.runner.pending_events.append(TimerFired(0))
    for _ in range(3):
        world.front.publish(world.controller.run_round(world.now), world.now)
    assert len(world.targets()) == 3


def test_a_view_without_room_in_the_channel_joins_anew_and_serves_on(world):
    turn = world.controller.run_round(world.now)
    turn.overflowed_proxies.append("dns/east")
    world.front.publish(turn, world.now)
    calls = [(type(event), event.proxy) for event in world.controller.runner.pending_events]
    assert calls == [(ProxyDisconnected, "dns/east"), (ProxyConnected, "dns/east")]
    assert len(world.targets()) == 3


def test_a_node_that_calls_itself_a_view_is_refused(world):
    from swiftchute.xds.frontend import FrontendOptions, XdsFrontend

    options = FrontendOptions(1, S, 1.0, 10)
    xds = XdsFrontend(world.controller, world.controller.settings, options, 7)
    with pytest.raises(ProtocolViolationError, match="another front"):
        xds.open_stream(1, ProxyNode("dns/east", "east", None, True, frozenset()), True, NOW)


# -- transfers


def fetch(world, zone, serial=0, tcp=True, source="127.0.0.1"):
    """A transfer by the library's own client; raises what it finds wrong."""
    query, since = dns.xfr.make_query(zone, serial=serial)
    send = world.front.queries.answer_stream if tcp else world.front.queries.answer_datagram
    replies = send(query.to_wire(), source, "east", world.now)
    rdtype = query.question[0].rdtype
    with dns.xfr.Inbound(zone, rdtype, since, is_udp=not tcp) as inbound:
        done = False
        for wire in replies if tcp else [replies]:
            read = {"xfr": True, "one_rr_per_rrset": True, "origin": zone.origin}
            done = inbound.process_message(dns.message.from_wire(wire, **read))
        assert done
    return sum(map(len, replies))


def content(zone):
    return {(str(name), rdtype, str(rdata)) for name, node in zone.nodes.items()
            for rdataset in node for rdtype in [rdataset.rdtype] for rdata in rdataset}  # fmt: skip


def test_a_secondary_ends_with_the_zone_whole_or_by_differences(world):
    whole, steps = dns.zone.Zone(ORIGIN), dns.zone.Zone(ORIGIN)
    fetch(world, steps)
    for k in range(5):
        world.turn(("set_weight", 1, f"10.0.0.{k % 3 + 1}:80", 1.0 + k / 10), wait=1)
        if k != 2:
            fetch(world, steps)
    fetch(world, whole)
    assert content(steps) == content(whole)
    assert len([row for row in content(whole) if row[1] == dns.rdatatype.SRV]) == 2 * 2 * 3


def test_one_changed_line_is_a_few_records_whatever_the_zone_holds(world):
    names = [f"10.0.1.{k}:80" for k in range(100)]
    world.listed(*names)
    world.turn(*[("set_weight", 1, n, 1.0) for n in names])
    zone = dns.zone.Zone(ORIGIN)
    whole = fetch(world, zone)
    world.turn(("set_weight", 1, names[50], 1.5), wait=2)
    step = fetch(world, zone)
    assert step < whole / 20, (step, whole)


def test_a_serial_no_longer_kept_gets_the_whole(world):
    zone = dns.zone.Zone(ORIGIN)
    fetch(world, zone)
    first = zone.get_soa().serial
    world.turn(("set_weight", 1, "10.0.0.1:80", 2.0), wait=2)
    world.front.journal.entries.pop(first)
    fetch(world, zone)
    assert zone.get_soa().serial == world.front.journal.serial
    world.turn(("set_weight", 1, "10.0.0.1:80", 3.0), wait=2)
    fetch(world, zone, serial=5)  # one that never was
    other = dns.zone.Zone(ORIGIN)
    fetch(world, other)
    assert content(zone) == content(other)


def test_a_transfer_by_datagram_is_the_soa_alone_if_it_is_too_large_and_others_are_refused(world):
    query = dns.message.make_query(ORIGIN, "IXFR")
    query.authority = [dns.rrset.from_text(ORIGIN, 0, "IN", "SOA", "ns. h. 1 1 1 1 1")]
    reply = dns.message.from_wire(
        world.front.queries.answer_datagram(query.to_wire(), "127.0.0.1", "east", world.now)
    )
    assert [r.rdtype for r in reply.answer] == [dns.rdatatype.SOA]
    for source, view in (("10.0.0.9", "east"), ("127.0.0.1", "west")):
        reply = dns.message.from_wire(
            world.front.queries.answer_stream(ask(ORIGIN, "AXFR"), source, view, world.now)[0]
        )
        assert reply.rcode() == dns.rcode.REFUSED
    reply = dns.message.from_wire(
        world.front.queries.answer_datagram(ask(ORIGIN, "AXFR"), "127.0.0.1", "east", world.now)
    )
    assert reply.rcode() == dns.rcode.FORMERR


def test_a_secondary_that_does_not_fetch_holds_a_view_up_until_its_zone_expires(world):
    fetch(world, dns.zone.Zone(ORIGIN))
    world.turn(("set_weight", 1, "10.0.0.1:80", 2.0), wait=9)
    behind, front = world.now, world.front
    world.turn(wait=20)
    assert not world.controller.deliveries.is_up_to_date("dns/east")
    world.turn(wait=(behind + (30 + front.ttl_policy.limit_s) * S - world.now) / S)
    assert world.controller.deliveries.is_up_to_date("dns/east")


def test_a_secondary_that_fetches_is_waited_for_as_long_as_its_answers_live(world):
    fetch(world, dns.zone.Zone(ORIGIN))
    world.turn(("set_weight", 1, "10.0.0.1:80", 2.0), wait=9)
    fetch(world, dns.zone.Zone(ORIGIN))
    world.turn(wait=0.5)
    assert not world.controller.deliveries.is_up_to_date("dns/east")
    world.turn(wait=world.front.ttl_policy.limit_s)
    assert world.controller.deliveries.is_up_to_date("dns/east")


def test_notifies_are_repeated_within_a_limit_until_they_are_answered():
    made = SecondaryServers([("east", ("127.0.0.1", 53))], dns.name.from_text(ORIGIN), 30 * S, 2 * S, 7)
    made.on_serial_changed(5, NOW)
    sent, at = [], NOW
    for _ in range(20):
        sent += made.due_notifies(at)
        at = made.notify_due_ns or at
    assert len(sent) == MAX_NOTIFY_ATTEMPTS
    assert made.unanswered_notifies == 1
    message = dns.message.from_wire(sent[0].data)
    assert (message.opcode(), message.question[0].rdtype) == (dns.opcode.NOTIFY, dns.rdatatype.SOA)
    made.on_serial_changed(6, NOW)
    (notify,) = made.due_notifies(NOW)
    made.on_notify_reply("127.0.0.2", dns.message.make_response(dns.message.from_wire(notify.data)).to_wire())
    assert made.notify_due_ns is not None  # another host's word
    made.on_notify_reply("127.0.0.1", dns.message.make_response(dns.message.from_wire(notify.data)).to_wire())
    assert made.notify_due_ns is None
