"""Answers: records, response codes, sizes, draws and admission."""

import dns.message
import dns.rcode
import pytest

from swiftchute.controller.table_contents import TableEntry
from swiftchute.dns.query import parse_plain_query
from swiftchute.dns.records import RecordLayout
from tests.support.dns_frontend import (
    NOW_NS,
    ORIGIN,
    SRV,
    encode_query,
    make_cache,
    make_entries,
    query_cache,
)


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
