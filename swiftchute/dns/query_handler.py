"""Replies to queries over UDP and TCP from the published answers. No I/O, no clock.

Example:
    handler = QueryHandler(names, settings, journal, secondaries)
    reply = handler.answer_datagram(data, source, view, now_ns)  # bytes, or None for no reply
    replies = handler.answer_stream(data, source, view, now_ns)  # to a message received over TCP
"""

from collections.abc import Sequence
from dataclasses import replace

import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from swiftchute.dns.answer_cache import AnswerCache, render_rrsets
from swiftchute.dns.errors import QueryError
from swiftchute.dns.names import OriginNames
from swiftchute.dns.query import (
    EMPTY_SECTIONS,
    Network,
    Query,
    compose_reply,
    parse_plain_query,
    parse_query,
)
from swiftchute.dns.rate_limit import RateLimiter, Verdict
from swiftchute.dns.secondaries import SecondaryServers
from swiftchute.dns.settings import DnsSettings
from swiftchute.dns.zone_transfer import ZoneJournal

MAX_TCP_MESSAGE_BYTES = 65_535
_TRANSFER_TYPES = (dns.rdatatype.AXFR, dns.rdatatype.IXFR)
_DROP, _TRUNCATE = Verdict.DROP, Verdict.TRUNCATE  # enum attributes are slow to look up for each message
_META_TYPES = (dns.rdatatype.OPT, dns.rdatatype.TSIG)


class QueryHandler:
    """Answers the queries of all views.

    Attributes:
        cache: The answers of the newest version; None before the first.
        limiter: The rate limiter for queries over UDP.
        subnets: Client subnets and their zones, the longest prefix first.
        counts: Numbers of messages, by the names of the counters in the log.
    """

    def __init__(
        self,
        names: OriginNames,
        settings: DnsSettings,
        journal: ZoneJournal,
        secondaries: SecondaryServers,
    ) -> None:
        """Create a handler without answers: it replies SERVFAIL until `cache` is set."""
        self.cache: AnswerCache | None = None
        self.limiter = RateLimiter(
            settings.answers_per_s, settings.truncate_every, settings.unknown_answers_per_s
        )
        self.subnets: list[tuple[Network, str]] = sorted(
            ((network, zone) for zone, network in settings.subnets),
            key=lambda subnet: -subnet[0].prefixlen,
        )
        self.counts = dict.fromkeys(("queries", "slow", "bad", "refused", "transfers"), 0)
        self._origin_wire = names.origin.to_digestable()
        self._journal = journal
        self._secondaries = secondaries

    def answer_datagram(self, data: bytes, source: str, view: str, now_ns: int) -> bytes | None:
        """Return the reply to a message received over UDP; None if it gets no reply.

        Args:
            data: The message.
            source: The IP address of the sender.
            view: The zone whose view is served at the receiving address.
            now_ns: The current time.
        """
        self.counts["queries"] += 1
        verdict = self.limiter.check(source, now_ns)
        if verdict is _DROP:
            return None
        try:
            query = self._parse(data)
        except QueryError as error:
            self.counts["bad"] += 1
            return error.reply
        if verdict is _TRUNCATE:
            return compose_reply(query, dns.rcode.NOERROR, EMPTY_SECTIONS, truncated=True)
        if query.record_type in _TRANSFER_TYPES and query.record_class == dns.rdataclass.IN:
            return self._transfer(query, source, view, now_ns, by_tcp=False)[0]
        return self._answer(query, view, query.datagram_limit_bytes, now_ns)

    def answer_stream(self, data: bytes, source: str, view: str, now_ns: int) -> list[bytes]:
        """Return the replies to a message received over TCP; arguments as in `answer_datagram`."""
        self.counts["queries"] += 1
        self.limiter.mark_verified(source, now_ns)
        try:
            query = self._parse(data)
        except QueryError as error:
            self.counts["bad"] += 1
            return [error.reply] if error.reply is not None else []
        if query.record_type in _TRANSFER_TYPES and query.record_class == dns.rdataclass.IN:
            return self._transfer(query, source, view, now_ns, by_tcp=True)
        return [self._answer(query, view, MAX_TCP_MESSAGE_BYTES, now_ns)]

    def _parse(self, data: bytes) -> Query:
        query = parse_plain_query(data)
        if query is not None:
            return query
        self.counts["slow"] += 1
        return parse_query(data)

    def _answer(self, query: Query, view: str, limit_bytes: int, now_ns: int) -> bytes:
        if query.record_class != dns.rdataclass.IN or query.record_type in _META_TYPES:
            return self._refuse(query)
        if query.reply_options:
            if self.subnets:
                view = self._view_of_subnet(query.subnet, view)
            else:  # a server that ignores subnets must not echo them (RFC 7871, section 7.2.1)
                query = replace(query, reply_options=b"")
        if self.cache is None:
            return compose_reply(query, dns.rcode.SERVFAIL, EMPTY_SECTIONS)
        reply = self.cache.answer(query, view, limit_bytes, now_ns)
        return self._refuse(query) if reply is None else reply

    def _refuse(self, query: Query) -> bytes:
        self.counts["refused"] += 1
        return compose_reply(query, dns.rcode.REFUSED, EMPTY_SECTIONS)

    def _view_of_subnet(self, subnet: Network | None, default_view: str) -> str:
        """Return the zone of the longest configured prefix that contains a subnet."""
        if subnet is None:
            return default_view
        for network, zone in self.subnets:
            # Only networks of the same IP version can be compared.
            if network.version == subnet.version and subnet.subnet_of(network):  # type: ignore[arg-type]
                return zone
        return default_view

    def _transfer(self, query: Query, source: str, view: str, now_ns: int, by_tcp: bool) -> list[bytes]:
        """Return the messages that answer a transfer query, at least one.

        AXFR over UDP gets FORMERR. An IXFR that is too large for UDP gets only the SOA record, so that the
        secondary retries over TCP (RFC 1995, section 2).
        """
        if not self._secondaries.may_transfer(view, source) or query.name.lower() != self._origin_wire:
            return [self._refuse(query)]
        if query.record_type == dns.rdatatype.AXFR and not by_tcp:
            return [compose_reply(query, dns.rcode.FORMERR, EMPTY_SECTIONS)]
        since_serial = query.serial if query.record_type == dns.rdatatype.IXFR else None
        answers = self._journal.transfer(view, since_serial)
        if not answers:
            return [compose_reply(query, dns.rcode.SERVFAIL, EMPTY_SECTIONS)]
        messages = [_compose_answer(query, records) for records in answers]
        if not by_tcp and (len(messages) > 1 or len(messages[0]) > query.datagram_limit_bytes):
            return [_compose_answer(query, answers[0][:1])]
        self.counts["transfers"] += 1
        serial = self._journal.serial
        self._secondaries.on_serial_seen(view, source, serial, serial, now_ns)
        return messages


def _compose_answer(query: Query, records: Sequence[dns.rrset.RRset]) -> bytes:
    return compose_reply(query, dns.rcode.NOERROR, render_rrsets(records))
