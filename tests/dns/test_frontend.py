"""The DNS frontend without sockets: answers, malformed queries, TTLs, rate limits and transfers."""

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

NS_PER_S = 1_000_000_000
NOW_NS = 1000 * NS_PER_S
ORIGIN = "lots.example."
SRV = "_read._tcp.lots.example."
NAMES = OriginNames(ORIGIN, ["read", "write"], ["east", "west"])


def make_entries(count=3, zone="east", weight=1.0):
    return tuple(TableEntry(f"10.0.{k // 200}.{k % 200}:80", zone, weight + k / 10) for k in range(count))


def make_cache(read_entries=None, warming_up=frozenset(), layout=None, ttl_s=2, **record_options):
    contents = {
        "east": {"read": make_entries() if read_entries is None else read_entries, "write": make_entries(2)}
    }
    return AnswerCache(
        ZoneRecords(NAMES, contents, warming_up, ttl_s, 7, layout or RecordLayout(), **record_options), {}
    )


def encode_query(name, record_type="SRV", payload_size=0, **options):
    return dns.message.make_query(
        name, record_type, use_edns=0 if payload_size else False, payload=payload_size, **options
    ).to_wire()


def query_cache(cache, name, record_type="SRV", limit_bytes=65_535, view="east", payload_size=0):
    reply = cache.answer(
        parse_plain_query(encode_query(name, record_type, payload_size)), view, limit_bytes, NOW_NS
    )
    return dns.message.from_wire(reply) if reply is not None else None


# -- weights


@given(weights=st.lists(st.floats(1e-4, 1e4), min_size=1, max_size=30))
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_srv_weights_keep_every_entry_and_the_proportions(weights):
    entries = [TableEntry(f"10.0.0.{k}:1", "z", value) for k, value in enumerate(weights)]
    srv = srv_weights(entries)
    assert all(1 <= value <= 65_535 for value in srv)
    scale = max(max(weights) * 10_000 / 65_535, 1.0)
    for weight, srv_weight in zip(weights, srv, strict=True):
        assert abs(srv_weight - weight * 10_000 / scale) <= 1


def test_srv_weights_at_both_ends_of_the_range():
    assert srv_weights([TableEntry("a:1", "z", 0.0001), TableEntry("b:1", "z", 6.5535)]) == [1, 65_535]
    assert srv_weights([TableEntry("a:1", "z", 0.0001), TableEntry("b:1", "z", 1e6)]) == [1, 65_535]


@given(weights=st.lists(st.floats(0.05, 10), min_size=1, max_size=20), endpoints_per_draw=st.integers(1, 6))
@hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
def test_endpoints_are_first_in_draws_in_proportion_and_evenly_spread(weights, endpoints_per_draw):
    entries = [TableEntry(f"s{k}:1", "z", weight) for k, weight in enumerate(weights)]
    draws = draw_answers(entries, endpoints_per_draw, 256)
    total = len(draws)
    for k, share in enumerate(weight / sum(weights) for weight in weights):
        positions = [position for position, draw in enumerate(draws) if draw[0] == f"s{k}:1"]
        assert abs(len(positions) - share * total) < 2
        gaps = [
            later - earlier
            for earlier, later in zip(positions, [*positions[1:], positions[0] + total], strict=True)
        ]
        assert max(gaps) <= 2 * total / len(positions) + len(entries)  # no long run of draws without it
    assert all(len(set(draw)) == len(draw) == min(endpoints_per_draw, len(entries)) for draw in draws)
    assert sum(apportion([weight for _, _, weight in entries], total)) >= total


# -- names


@pytest.mark.parametrize(
    ("operations", "zones"),
    [(["x" * 63], ["z"]), (["a", "A"], ["z"]), (["a"], ["a"]), (["ip-1"], ["z"]), (["ns"], [])],
)  # fmt: skip
def test_unrepresentable_or_ambiguous_names_are_rejected(operations, zones):
    with pytest.raises(DomainNameError):
        OriginNames(ORIGIN, operations, zones)


def test_an_operation_is_one_label_even_if_it_contains_dots():
    names = OriginNames(ORIGIN, ["a.b"], ["z"])
    assert names.service_name("a.b").labels[0] == b"_a.b"
    assert names.target_name("[2001:db8::1]:80").labels[0] == b"ip6-20010db8000000000000000000000001"


# -- answers


def test_dnspython_reads_the_entries_of_the_table_from_an_srv_answer():
    reply = query_cache(make_cache(), SRV)
    fields = {(record.priority, record.weight, record.port, str(record.target)) for record in reply.answer[0]}
    assert fields == {(0, 10_000 + k * 1000, 80, f"ip-10-0-0-{k}.lots.example.") for k in range(3)}
    assert {(str(record.name), str(record[0])) for record in reply.additional} == {
        (f"ip-10-0-0-{k}.lots.example.", f"10.0.0.{k}") for k in range(3)
    }
    assert reply.flags & dns.flags.AA
    assert reply.answer[0].ttl == 2


@pytest.mark.parametrize(
    ("name", "record_type", "code", "answer_count"),
    [(SRV, "SRV", 0, 3), ("_read._tcp.east.lots.example.", "SRV", 0, 3), ("read.lots.example.", "A", 0, 3),
     ("ip-10-0-0-1.lots.example.", "A", 0, 1), (ORIGIN, "SOA", 0, 1), (ORIGIN, "NS", 0, 1),
     (SRV, "ANY", 0, 1), ("ns.lots.example.", "A", 0, 1), (SRV, "TXT", 0, 0),
     ("read.lots.example.", "AAAA", 0, 0), ("_tcp.lots.example.", "A", 0, 0),
     ("_tcp.west.lots.example.", "A", 0, 0), ("none.lots.example.", "A", 3, 0),
     ("_read._tcp.west.lots.example.", "SRV", 2, 0), ("ip-10-9-9-9.lots.example.", "A", 3, 0)],
)  # fmt: skip
def test_response_code_and_record_count_of_each_kind_of_name(name, record_type, code, answer_count):
    reply = query_cache(
        make_cache(layout=RecordLayout(name_server_address="192.0.2.1:53")), name, record_type
    )
    assert (reply.rcode(), sum(map(len, reply.answer))) == (code, answer_count)
    if not answer_count and code != 2:
        (soa,) = reply.authority  # RFC 2308: how long the denial may be cached
        assert (str(soa.name), soa[0].minimum) == (ORIGIN, 2)
    assert query_cache(make_cache(), "other.example.") is None


def test_the_reply_keeps_the_case_of_the_question():
    query = encode_query("_rEaD._TcP.LoTs.ExAmPlE.")
    reply = make_cache().answer(parse_plain_query(query), "east", 512, NOW_NS)
    assert reply[12 : 12 + 28] == query[12 : 12 + 28]
    assert len(dns.message.from_wire(reply).answer[0]) == 3


def test_a_large_answer_first_omits_addresses_and_then_is_truncated():
    cache = make_cache(make_entries(10))
    whole, small = query_cache(cache, SRV), query_cache(cache, SRV, limit_bytes=512)
    assert (len(whole.answer[0]), len(whole.additional)) == (10, 10)
    assert (len(small.answer[0]), len(small.additional), small.flags & dns.flags.TC) == (10, 0, 0)
    truncated = query_cache(make_cache(make_entries(40)), SRV, limit_bytes=1232, payload_size=1232)
    assert (truncated.answer, truncated.flags & dns.flags.TC, truncated.edns) == ([], dns.flags.TC, 0)
    assert len(query_cache(make_cache(make_entries(400)), SRV).answer[0]) == 400  # by TCP


@pytest.mark.parametrize("limit_bytes", [512, 700, 1232, 4096])
@pytest.mark.parametrize("count", [1, 9, 20, 60])
def test_no_reply_exceeds_the_size_that_the_client_accepts(limit_bytes, count):
    cache = make_cache(make_entries(count))
    for payload_size in (0, limit_bytes):
        for name, record_type in ((SRV, "SRV"), ("read.lots.example.", "A"), ("gone.lots.example.", "A")):
            assert (
                len(
                    cache.answer(
                        parse_plain_query(encode_query(name, record_type, payload_size)),
                        "east",
                        limit_bytes,
                        NOW_NS,
                    )
                )
                <= limit_bytes
            )


def test_draws_rotate_and_omit_warming_endpoints_while_there_are_others():
    cache = make_cache(
        make_entries(3), warming_up=frozenset({"10.0.0.0:80"}), layout=RecordLayout(addresses_per_answer=1)
    )
    seen = [str(query_cache(cache, "read.lots.example.", "A").answer[0][0]) for _ in range(500)]
    assert set(seen) == {"10.0.0.1", "10.0.0.2"}
    assert seen.count("10.0.0.1") / 500 == pytest.approx(1.1 / 2.3, abs=0.02)
    assert query_cache(
        make_cache(make_entries(1), warming_up=frozenset({"10.0.0.0:80"})), "read.lots.example.", "A"
    ).answer


def test_remote_entries_may_have_a_lower_priority_than_local_ones():
    entries = (*make_entries(1), TableEntry("10.1.0.1:80", "west", 3.0))
    assert {record.priority for record in query_cache(make_cache(entries), SRV).answer[0]} == {0}
    demoted = query_cache(make_cache(entries, layout=RecordLayout(remote_entries="spare")), SRV).answer[0]
    assert {(record.priority, str(record.target)[:5]) for record in demoted} == {(0, "ip-10"), (1, "ip-10")}
    remote_only = query_cache(
        make_cache(entries[1:], layout=RecordLayout(remote_entries="spare")), SRV
    ).answer[0]
    assert {record.priority for record in remote_only} == {0}  # no local entry comes before them


def test_the_admission_rate_rejects_its_share_of_queries_and_demand_counts_all():
    cache = make_cache(admission_rates={("east", "read"): 0.25})
    codes = [query_cache(cache, SRV).rcode() for _ in range(800)]
    assert codes.count(dns.rcode.SERVFAIL) / 800 == pytest.approx(0.75, abs=0.06)
    assert cache.usage_by_operation["east", "read"].answers == 800  # demand counts rejected queries too


# -- malformed and unsupported queries


def mutate(rng, data):
    data = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        mutation, offset = rng.randrange(4), rng.randrange(len(data) or 1)
        if mutation == 0 and data:
            data[offset] ^= 1 << rng.randrange(8)
        elif mutation == 1:
            del data[offset:]
        elif mutation == 2:
            data[offset:offset] = bytes([0xC0, rng.randrange(32)])
        elif data:
            data[offset] = rng.randrange(256)
    return bytes(data)


def assert_valid_reply(reply, query):
    """Assert that dnspython can parse the reply, and that it has the id of the query and QR set."""
    assert reply[:2] == query[:2]
    assert reply[2] & 0x80
    assert dns.message.from_wire(reply, one_rr_per_rrset=True).id == int.from_bytes(query[:2], "big")


def test_ten_thousand_mutated_queries_get_a_valid_reply_or_none(frontend):
    rng = random.Random(11)
    valid_queries = [encode_query(SRV), encode_query(SRV, payload_size=1232),
                     encode_query("read.lots.example.", "A", 512), encode_query(ORIGIN, "AXFR"),
                     encode_query("read.lots.example.", "A", 1400,
                                  options=[dns.edns.ECSOption("10.1.2.3", 24)]),
                     dns.xfr.make_query(make_secondary_zone(5))[0].to_wire()]  # fmt: skip
    answered = 0
    for k in range(10_000):
        query = mutate(rng, valid_queries[k % len(valid_queries)])
        for replies in ([frontend.queries.answer_datagram(query, "127.0.0.1", "east", NOW_NS)],
                        frontend.queries.answer_stream(query, "127.0.0.1", "east", NOW_NS)):  # fmt: skip
            for reply in replies:
                if reply is not None:
                    assert_valid_reply(reply, query)
                    answered += 1
    assert answered > 10_000


def test_queries_truncated_at_every_byte_get_formerr_or_no_reply(frontend):
    for query in (
        encode_query(SRV),
        encode_query(SRV, payload_size=1232, options=[dns.edns.ECSOption("10.1.2.3", 24)]),
    ):
        for end in range(len(query)):
            reply = frontend.queries.answer_datagram(query[:end], "127.0.0.1", "east", NOW_NS)
            if end < 12:
                assert reply is None
            else:
                assert_valid_reply(reply, query)
                assert dns.message.from_wire(reply).rcode() == dns.rcode.FORMERR


def test_a_compression_pointer_at_itself_is_malformed(frontend):
    query = struct.pack("!HHHHHH", 5, 0, 1, 0, 0, 0) + b"\xc0\x0c" + struct.pack("!HH", 33, 1)
    reply = dns.message.from_wire(frontend.queries.answer_datagram(query, "127.0.0.1", "east", NOW_NS))
    assert reply.rcode() == dns.rcode.FORMERR


@pytest.mark.parametrize(
    ("change", "code"),
    [(lambda m: m.set_opcode(dns.opcode.UPDATE), dns.rcode.NOTIMP),
     (lambda m: m.use_edns(1), dns.rcode.BADVERS),
     (lambda m: m.question.append(m.question[0]), dns.rcode.FORMERR),
     (lambda m: m.question.clear(), dns.rcode.FORMERR)],
)  # fmt: skip
def test_unsupported_and_malformed_queries_get_their_response_code(frontend, change, code):
    query = dns.message.make_query(SRV, "SRV")
    change(query)
    data = query.to_wire()
    reply = dns.message.from_wire(frontend.queries.answer_datagram(data, "127.0.0.1", "east", NOW_NS))
    assert reply.rcode() == code


def test_other_classes_and_zones_are_refused_and_replies_are_ignored(frontend):
    chaos = dns.message.make_query("version.bind.", "TXT", "CH").to_wire()
    for query in (chaos, encode_query("example.com.", "A")):
        reply = dns.message.from_wire(frontend.queries.answer_datagram(query, "127.0.0.1", "east", NOW_NS))
        assert (reply.rcode(), reply.flags & dns.flags.AA) == (dns.rcode.REFUSED, 0)
    reply = dns.message.make_response(dns.message.make_query(SRV, "SRV")).to_wire()
    # or two servers would answer each other without end
    assert frontend.queries.answer_datagram(reply, "127.0.0.1", "east", NOW_NS) is None


@given(st.binary(max_size=80))
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_the_plain_parser_agrees_with_dnspython(tail):
    valid_query = encode_query(SRV)
    for data in (tail, valid_query[:12] + tail, valid_query[:4] + tail):
        query = parse_plain_query(data)
        if query is not None:
            with contextlib.suppress(QueryError):  # plain queries that dnspython rejects are answered too
                assert parse_query(data) == query


# -- time to live


@pytest.mark.parametrize(
    ("drain_grace_s", "max_no_endpoint_s", "max_ttl_s", "expected_s"),
    [(3.0, 3.0, 30, 2), (1.5, 3.0, 30, 1), (1.0, 3.0, 30, 0), (60, 60, 30, 30), (60, 4, 30, 3),
     (10, 60, 300, 7)],
)  # fmt: skip
def test_the_ttl_limit_is_the_drain_grace_less_a_reserve(
    drain_grace_s, max_no_endpoint_s, max_ttl_s, expected_s
):
    assert (
        TtlPolicy(int(drain_grace_s * NS_PER_S), int(max_no_endpoint_s * NS_PER_S), max_ttl_s, 100).limit_s
        == expected_s
    )


def test_the_ttl_falls_with_the_change_rate_except_under_a_query_flood():
    policy = TtlPolicy(60 * NS_PER_S, 60 * NS_PER_S, 30, 1000.0)
    assert policy.ttl_s(10.0, NOW_NS) == 30
    for k in range(5):
        policy.on_answers_changed(NOW_NS + k * NS_PER_S)
    assert policy.ttl_s(10.0, NOW_NS + 5 * NS_PER_S) == 3
    assert policy.ttl_s(2000.0, NOW_NS + 5 * NS_PER_S) == 30
    for k in range(500):
        policy.on_answers_changed(NOW_NS + 6 * NS_PER_S + k)
    assert policy.ttl_s(10.0, NOW_NS + 7 * NS_PER_S) == 1
    assert policy.ttl_s(10.0, NOW_NS + 60 * NS_PER_S) == 30


# -- rate limits


def test_queries_beyond_the_rate_of_a_prefix_are_truncated_or_dropped():
    limiter = RateLimiter(10.0, truncate_every=2)
    limiter.mark_verified("192.0.2.1", NOW_NS)
    verdicts = [limiter.check(f"192.0.2.{k % 250}", NOW_NS) for k in range(60)]
    assert verdicts.count(Verdict.ANSWER) == 20  # a burst of two seconds
    assert verdicts[20:24] == [Verdict.DROP, Verdict.TRUNCATE, Verdict.DROP, Verdict.TRUNCATE]
    assert limiter.check("198.51.100.1", NOW_NS) == Verdict.ANSWER  # another prefix has its own rate
    assert [limiter.check("192.0.2.1", NOW_NS + NS_PER_S + k) for k in range(11)].count(Verdict.ANSWER) == 10


def test_forged_prefixes_share_one_rate_and_known_prefixes_are_served():
    limiter = RateLimiter(100.0, truncate_every=0, unknown_answers_per_s=50.0)
    limiter.mark_verified("10.0.0.1", NOW_NS)
    verdicts = [limiter.check(f"10.{k // 250}.{k % 250}.9", NOW_NS) for k in range(250, 5000)]
    assert verdicts.count(Verdict.ANSWER) == 100
    assert limiter.check("10.0.0.7", NOW_NS) == Verdict.ANSWER
    limiter.mark_verified("10.19.3.9", NOW_NS)  # a query by TCP shows that its address is not forged
    assert limiter.check("10.19.3.9", NOW_NS) == Verdict.ANSWER


def test_the_prefix_that_was_silent_for_longest_is_evicted(monkeypatch):
    monkeypatch.setattr(rate_limit, "MAX_KNOWN_PREFIXES", 3)
    limiter = RateLimiter(100.0, unknown_answers_per_s=1e6)
    for k in range(10):
        limiter.check(f"10.0.{k}.1", NOW_NS + k)
        limiter.check("10.0.0.1", NOW_NS + k)
    assert limiter.known_prefixes == ["10.0.8.0/24", "10.0.9.0/24", "10.0.0.0/24"]
    assert rate_limit.network_prefix("2001:db8:1:2ff::1") == "2001:db8:1:200::/56"


# -- with a controller


DNS_BLOCK = {key: field.default for key, field in INSTANCE_BLOCKS["dns"].items()} | {
    "origin": ORIGIN, "responses": 0, "secondaries": (("east", ("127.0.0.1", 5400)),),
}  # fmt: skip


class FrontendHarness:
    """A controller with a scripted policy, and a DNS frontend on it."""

    def __init__(self, **dns_values):
        self.policy, self.now_ns = ScriptedPolicy(), NOW_NS
        values = {"operations": (operation("read"), operation("write")), "drain_grace_ns": 4 * NS_PER_S}
        values |= {"egress_rate_entries_per_s": 1e6, "egress_queue_limit_entries": 1e6, "message_quota": 0}
        settings = Settings(**(DEFAULTS | values))
        self.controller = Controller(settings, 7, lambda settings, seed: self.policy, NOW_NS, SafetyRules())
        self.frontend = DnsFrontend(
            self.controller, settings, DnsSettings.from_block(DNS_BLOCK | dns_values), 7
        )
        self.frontend.start(NOW_NS)
        self.events = []

    def update_endpoint_list(self, *endpoints, state="ready", started_ns=0):
        self.controller.on_list_update(
            EndpointListChange(
                "changes",
                tuple(
                    EndpointRecord(endpoint, "east", "", 0, state, 1.0, started_ns) for endpoint in endpoints
                ),
                (),
            )
        )

    def run_rounds(self, *commands, wait_s=0.0):
        self.now_ns += int(wait_s * NS_PER_S)
        self.policy.writes = list(commands)
        self.controller.runner.pending_events.append(TimerFired(0))
        for _ in range(2):
            output = self.controller.run_round(self.now_ns)
            self.events += output.log_events
            self.frontend.publish(output, self.now_ns)
            self.now_ns += NS_PER_S // 100

    def answer(self, name=SRV, record_type="SRV", view="east"):
        return dns.message.from_wire(
            self.frontend.queries.answer_stream(
                encode_query(name, record_type), "127.0.0.1", view, self.now_ns
            )[0]
        )

    def target_labels(self, view="east"):
        return {
            str(record.target).partition(".")[0]
            for rrset in self.answer(view=view).answer
            for record in rrset
        }


@pytest.fixture
def harness():
    created = FrontendHarness()
    created.update_endpoint_list("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
    created.run_rounds(
        *[("set_weight", 1, f"10.0.0.{k}:80", 1.0) for k in (1, 2, 3)],
        ("assign_table", "dns/east", 1, 0),
        ("request_ack", 1, False),
    )
    created.run_rounds()
    return created


@pytest.fixture
def frontend(harness):
    return harness.frontend


def make_secondary_zone(serial):
    """Return a zone with only its SOA and NS record, as a secondary holds it."""
    zone = dns.zone.Zone(ORIGIN)
    with zone.writer() as transaction:
        transaction.replace(
            "@", 1, dns.rdata.from_text("IN", "SOA", f"ns hostmaster {serial} 1 1 1 1", zone.origin)
        )
        transaction.replace("@", 1, dns.rdata.from_text("IN", "NS", "ns", zone.origin))
    return zone


def pending_acknowledgements(controller):
    return [
        astuple(event) for event in controller.runner.pending_events if isinstance(event, PushAcknowledged)
    ]


def test_a_view_without_a_table_answers_servfail_and_not_nxdomain():
    harness = FrontendHarness()
    assert harness.answer().rcode() == dns.rcode.SERVFAIL
    harness.update_endpoint_list("10.0.0.1:80")
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 1.0), ("assign_table", "dns/east", 1, 0))
    assert harness.target_labels() == {"ip-10-0-0-1"}
    assert harness.answer(view="west").rcode() == dns.rcode.SERVFAIL  # the view of that zone has no table yet


def test_a_version_is_acknowledged_once_no_earlier_answer_can_be_cached(harness):
    harness.answer()
    answered_at_ns = harness.now_ns
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 2.0), ("request_ack", 2, False), wait_s=0.5)
    harness.answer()  # made of the new version, so it delays nothing
    assert pending_acknowledgements(harness.controller) == []
    assert not harness.controller.deliveries.is_up_to_date("dns/east")
    ttl_ns = harness.frontend.ttl_policy.limit_s * NS_PER_S
    harness.run_rounds(
        wait_s=(answered_at_ns + ttl_ns + DELIVERY_ALLOWANCE_NS - harness.now_ns) / NS_PER_S - 0.1
    )
    assert pending_acknowledgements(harness.controller) == []
    harness.controller.runner.pending_events.clear()
    harness.now_ns += NS_PER_S // 10
    harness.frontend.publish(harness.controller.run_round(harness.now_ns), harness.now_ns)
    assert [(proxy, nonce) for proxy, nonce, _ in pending_acknowledgements(harness.controller)] == [
        ("dns/east", 2)
    ]
    assert harness.controller.deliveries.is_up_to_date("dns/east")


def test_a_version_after_one_without_answers_is_acknowledged_at_once(harness):
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 2.0), ("request_ack", 2, False), wait_s=9)
    assert harness.controller.deliveries.is_up_to_date("dns/east")


def test_safety_rules_count_answers_that_may_still_be_cached(harness):
    """What resolvers may still send by cached answers counts towards an endpoint's warm-up budget."""
    harness.answer()
    harness.run_rounds(("set_weight", 1, "10.0.0.2:80", 0.0))
    shares = harness.controller.deliveries.pending_shares(
        ["dns/east"], ["read"], ["10.0.0.2:80"], lambda proxy: 10.0
    )
    assert shares == ((1.0, {"10.0.0.2:80": pytest.approx(1 / 3)}),)
    harness.run_rounds(wait_s=9)
    assert (
        harness.controller.deliveries.pending_shares(
            ["dns/east"], ["read"], ["10.0.0.2:80"], lambda proxy: 10.0
        )
        == ()
    )


def test_a_draining_endpoint_leaves_answers_before_the_policy_reacts(harness):
    assert len(harness.target_labels()) == 3
    harness.update_endpoint_list("10.0.0.1:80", state="draining")
    output = harness.controller.run_round(harness.now_ns)  # the policy has issued no command yet
    harness.frontend.publish(output, harness.now_ns)
    assert harness.target_labels() == {"ip-10-0-0-2", "ip-10-0-0-3"}
    assert harness.answer("ip-10-0-0-1.lots.example.", "A").rcode() == dns.rcode.NXDOMAIN


def test_if_all_endpoints_drain_the_last_answer_stays(harness):
    harness.update_endpoint_list(*[f"10.0.0.{k}:80" for k in (1, 2, 3)], state="draining")
    harness.run_rounds()
    assert len(harness.target_labels()) == 3


def test_answers_are_reported_as_requests(harness):
    for _ in range(30):
        harness.answer()
    harness.run_rounds(wait_s=2)
    harness.run_rounds(wait_s=2)
    assert (
        30 / 4.1
        < harness.controller.observed_traffic.request_rate(["dns/east"], ["read"], harness.now_ns)
        <= 15
    )


def test_serials_rise_with_versions_and_are_at_least_the_wall_clock(harness):
    first_serial = harness.answer(ORIGIN, "SOA").answer[0][0].serial
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 2.0))
    assert harness.answer(ORIGIN, "SOA").answer[0][0].serial > first_serial
    later_harness = FrontendHarness()
    later_harness.frontend.wall_clock_offset_ns = 5_000_000 * NS_PER_S
    later_harness.update_endpoint_list("10.0.0.1:80")
    later_harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 1.0), ("assign_table", "dns/east", 1, 0))
    assert later_harness.answer(ORIGIN, "SOA").answer[0][0].serial >= 5_000_000


def test_the_view_follows_the_client_subnet_if_subnets_are_configured():
    harness = FrontendHarness(subnets=(("west", ipaddress.ip_network("10.1.0.0/16")),))
    harness.update_endpoint_list("10.0.0.1:80", "10.0.0.2:80")
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 1.0), ("assign_table", "dns/east", 1, 0),
              ("set_weight", 2, "10.0.0.2:80", 1.0), ("assign_table", "dns/west", 2, 0))  # fmt: skip

    def query_with_subnet(subnet):
        query = encode_query(SRV, payload_size=1232, options=[dns.edns.ECSOption(subnet, 24)])
        return dns.message.from_wire(
            harness.frontend.queries.answer_datagram(query, "127.0.0.1", "east", harness.now_ns)
        )

    assert "ip-10-0-0-2" in str(query_with_subnet("10.1.7.0").answer[0])
    assert query_with_subnet("10.1.7.0").options[0].scopelen == 24
    assert "ip-10-0-0-1" in str(query_with_subnet("10.2.7.0").answer[0])
    harness.frontend.queries.subnets = []
    assert not query_with_subnet("10.1.7.0").options  # neither used nor echoed


def test_a_failing_policy_leaves_the_answers_unchanged(harness):
    harness.policy.writes = [("set_weight", 1, "10.0.0.1:80", 5.0, "too many")]
    harness.controller.runner.pending_events.append(TimerFired(0))
    for _ in range(3):
        harness.frontend.publish(harness.controller.run_round(harness.now_ns), harness.now_ns)
    assert len(harness.target_labels()) == 3


def test_a_view_that_overflows_the_egress_queue_reconnects_and_keeps_serving(harness):
    output = harness.controller.run_round(harness.now_ns)
    output.overflowed_proxies.append("dns/east")
    harness.frontend.publish(output, harness.now_ns)
    events = [(type(event), event.proxy) for event in harness.controller.runner.pending_events]
    assert events == [(ProxyDisconnected, "dns/east"), (ProxyConnected, "dns/east")]
    assert len(harness.target_labels()) == 3


def test_an_xds_node_with_the_id_of_a_view_is_refused(harness):
    from swiftchute.xds.frontend import FrontendOptions, XdsFrontend

    options = FrontendOptions(1, NS_PER_S, 1.0, 10)
    xds = XdsFrontend(harness.controller, harness.controller.settings, options, 7)
    with pytest.raises(ProtocolViolationError, match="another front"):
        xds.open_stream(1, ProxyNode("dns/east", "east", None, True, frozenset()), True, NOW_NS)


# -- transfers


def transfer_zone(harness, zone, serial=0, by_tcp=True, source="127.0.0.1"):
    """Transfer a zone with dnspython's client, which raises on errors; return the size of the replies."""
    query, since_serial = dns.xfr.make_query(zone, serial=serial)
    answer = harness.frontend.queries.answer_stream if by_tcp else harness.frontend.queries.answer_datagram
    replies = answer(query.to_wire(), source, "east", harness.now_ns)
    rdtype = query.question[0].rdtype
    with dns.xfr.Inbound(zone, rdtype, since_serial, is_udp=not by_tcp) as inbound:
        done = False
        for reply in replies if by_tcp else [replies]:
            parse_options = {"xfr": True, "one_rr_per_rrset": True, "origin": zone.origin}
            done = inbound.process_message(dns.message.from_wire(reply, **parse_options))
        assert done
    return sum(map(len, replies))


def zone_records(zone):
    return {(str(name), rdtype, str(rdata)) for name, node in zone.nodes.items()
            for rdataset in node for rdtype in [rdataset.rdtype] for rdata in rdataset}  # fmt: skip


def test_full_and_incremental_transfers_end_with_the_same_zone(harness):
    full, incremental = dns.zone.Zone(ORIGIN), dns.zone.Zone(ORIGIN)
    transfer_zone(harness, incremental)
    for k in range(5):
        harness.run_rounds(("set_weight", 1, f"10.0.0.{k % 3 + 1}:80", 1.0 + k / 10), wait_s=1)
        if k != 2:
            transfer_zone(harness, incremental)
    transfer_zone(harness, full)
    assert zone_records(incremental) == zone_records(full)
    assert len([record for record in zone_records(full) if record[1] == dns.rdatatype.SRV]) == 2 * 2 * 3


def test_one_changed_entry_takes_a_few_records_in_a_large_zone(harness):
    endpoints = [f"10.0.1.{k}:80" for k in range(100)]
    harness.update_endpoint_list(*endpoints)
    harness.run_rounds(*[("set_weight", 1, endpoint, 1.0) for endpoint in endpoints])
    zone = dns.zone.Zone(ORIGIN)
    full_bytes = transfer_zone(harness, zone)
    harness.run_rounds(("set_weight", 1, endpoints[50], 1.5), wait_s=2)
    difference_bytes = transfer_zone(harness, zone)
    assert difference_bytes < full_bytes / 20, (difference_bytes, full_bytes)


def test_a_serial_that_is_not_retained_gets_the_whole_zone(harness):
    zone = dns.zone.Zone(ORIGIN)
    transfer_zone(harness, zone)
    first_serial = zone.get_soa().serial
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 2.0), wait_s=2)
    harness.frontend.journal.entries.pop(first_serial)
    transfer_zone(harness, zone)
    assert zone.get_soa().serial == harness.frontend.journal.serial
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 3.0), wait_s=2)
    transfer_zone(harness, zone, serial=5)  # a serial that never existed
    full = dns.zone.Zone(ORIGIN)
    transfer_zone(harness, full)
    assert zone_records(zone) == zone_records(full)


def test_a_large_transfer_by_datagram_is_only_the_soa_and_unlisted_hosts_are_refused(harness):
    query = dns.message.make_query(ORIGIN, "IXFR")
    query.authority = [dns.rrset.from_text(ORIGIN, 0, "IN", "SOA", "ns. h. 1 1 1 1 1")]
    reply = dns.message.from_wire(
        harness.frontend.queries.answer_datagram(query.to_wire(), "127.0.0.1", "east", harness.now_ns)
    )
    assert [answer_rrset.rdtype for answer_rrset in reply.answer] == [dns.rdatatype.SOA]
    for source, view in (("10.0.0.9", "east"), ("127.0.0.1", "west")):
        reply = dns.message.from_wire(
            harness.frontend.queries.answer_stream(
                encode_query(ORIGIN, "AXFR"), source, view, harness.now_ns
            )[0]
        )
        assert reply.rcode() == dns.rcode.REFUSED
    reply = dns.message.from_wire(
        harness.frontend.queries.answer_datagram(
            encode_query(ORIGIN, "AXFR"), "127.0.0.1", "east", harness.now_ns
        )
    )
    assert reply.rcode() == dns.rcode.FORMERR


def test_a_secondary_without_the_change_delays_acknowledgement_until_its_zone_expires(harness):
    transfer_zone(harness, dns.zone.Zone(ORIGIN))
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 2.0), wait_s=9)
    outdated_at_ns, frontend = harness.now_ns, harness.frontend
    harness.run_rounds(wait_s=20)
    assert not harness.controller.deliveries.is_up_to_date("dns/east")
    harness.run_rounds(
        wait_s=(outdated_at_ns + (30 + frontend.ttl_policy.limit_s) * NS_PER_S - harness.now_ns) / NS_PER_S
    )
    assert harness.controller.deliveries.is_up_to_date("dns/east")


def test_a_secondary_with_the_change_delays_acknowledgement_for_the_ttl(harness):
    transfer_zone(harness, dns.zone.Zone(ORIGIN))
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 2.0), wait_s=9)
    transfer_zone(harness, dns.zone.Zone(ORIGIN))
    harness.run_rounds(wait_s=0.5)
    assert not harness.controller.deliveries.is_up_to_date("dns/east")
    harness.run_rounds(wait_s=harness.frontend.ttl_policy.limit_s)
    assert harness.controller.deliveries.is_up_to_date("dns/east")


def test_notifies_are_repeated_up_to_a_limit_until_answered():
    secondaries = SecondaryServers(
        [("east", ("127.0.0.1", 53))], dns.name.from_text(ORIGIN), 30 * NS_PER_S, 2 * NS_PER_S, 7
    )
    secondaries.on_serial_changed(5, NOW_NS)
    sent, time_ns = [], NOW_NS
    for _ in range(20):
        sent += secondaries.due_notifies(time_ns)
        time_ns = secondaries.notify_due_ns or time_ns
    assert len(sent) == MAX_NOTIFY_ATTEMPTS
    assert secondaries.unanswered_notifies == 1
    message = dns.message.from_wire(sent[0].data)
    assert (message.opcode(), message.question[0].rdtype) == (dns.opcode.NOTIFY, dns.rdatatype.SOA)
    secondaries.on_serial_changed(6, NOW_NS)
    (notify,) = secondaries.due_notifies(NOW_NS)
    secondaries.on_notify_reply(
        "127.0.0.2", dns.message.make_response(dns.message.from_wire(notify.data)).to_wire()
    )
    assert secondaries.notify_due_ns is not None  # a reply from another host does not count
    secondaries.on_notify_reply(
        "127.0.0.1", dns.message.make_response(dns.message.from_wire(notify.data)).to_wire()
    )
    assert secondaries.notify_due_ns is None
