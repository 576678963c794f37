"""Malformed and unsupported queries get a valid reply or none."""

import contextlib
import random
import struct

import dns.edns
import dns.message
import dns.rcode
import dns.xfr
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.dns.errors import QueryError
from swiftchute.dns.query import parse_plain_query, parse_query
from tests.support.dns_frontend import NOW_NS, ORIGIN, SRV, encode_query, make_secondary_zone


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
