"""Zone transfers to secondaries, and notifies."""

import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.xfr
import dns.zone

from swiftchute.dns.secondaries import MAX_NOTIFY_ATTEMPTS, SecondaryServers
from tests.support.dns_frontend import NOW_NS, NS_PER_S, ORIGIN, encode_query


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
