"""Parsing of queries and composition of replies. No I/O.

Plain queries are parsed by this module itself, all others by dnspython. A query is plain if it is a standard
query with one question and nothing else but, optionally, an OPT record without options.

Example:
    query = parse_plain_query(data) or parse_query(data)
    reply = compose_reply(query, dns.rcode.NOERROR, sections)

References: RFC 1035, section 4; EDNS0 in RFC 6891; client subnets in RFC 7871.
"""

import ipaddress
import struct
from dataclasses import dataclass

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.opcode
import dns.rcode
import dns.rdatatype

from swiftchute.dns.errors import QueryError

HEADER_BYTES = 12
OPT_RECORD_BYTES = 11  # without options
MIN_PAYLOAD_BYTES = 512  # every client accepts this much over UDP (RFC 1035, section 4.2.1)
MAX_PAYLOAD_BYTES = 1232  # the minimum IPv6 MTU of 1280 bytes less the IP and UDP headers

_HEADER = struct.Struct("!HHHHHH")
_MIN_QUERY_BYTES = HEADER_BYTES + 5  # a question for the root
_MAX_NAME_BYTES = 255
_MAX_LABEL_BYTES = 63  # larger lengths are compression pointers

_QR, _AA, _TC, _RD = 0x8000, 0x0400, 0x0200, 0x0100
_OPCODE_MASK = 0x7800
_OPT_PREFIX = b"\x00\x00\x29"  # the root name and the type OPT

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class Sections:
    """The records of a reply in wire form.

    Attributes:
        counts: The header counts of answer, authority and additional records, two bytes each.
        records: The records of the three sections, concatenated.
    """

    counts: bytes = b"\x00" * 6
    records: bytes = b""


EMPTY_SECTIONS = Sections()


@dataclass(frozen=True, slots=True)
class Query:
    """A query with one question.

    Attributes:
        message_id: The id of the message, two bytes.
        recursion_desired: Whether the client set RD.
        question: The question section in wire form, with the case as received.
        name: The name of the question in wire form, with the case as received.
        record_type: The type of the question.
        record_class: The class of the question.
        payload_size_bytes: The UDP payload size in the OPT record, at least 512; 0 without an OPT record.
        subnet: The subnet in the client subnet option (ECS), if any.
        serial: The serial in an IXFR query, if any.
        reply_options: The options of the OPT record of the reply in wire form.
    """

    message_id: bytes
    recursion_desired: bool
    question: bytes
    name: bytes
    record_type: int
    record_class: int
    payload_size_bytes: int = 0
    subnet: Network | None = None
    serial: int | None = None
    reply_options: bytes = b""

    @property
    def datagram_limit_bytes(self) -> int:
        """The largest reply over UDP that both sides accept."""
        return min(self.payload_size_bytes, MAX_PAYLOAD_BYTES) or MIN_PAYLOAD_BYTES


def parse_plain_query(data: bytes) -> Query | None:
    """Return the query of a plain message; None if the message is not plain."""
    if len(data) < _MIN_QUERY_BYTES:
        return None
    _, flags, questions, answers, authority, additional = _HEADER.unpack_from(data)
    if flags & (_QR | _OPCODE_MASK | _TC):
        return None
    if (questions, answers, authority) != (1, 0, 0) or additional > 1:
        return None
    name_end = _find_name_end(data)
    if name_end is None:
        return None
    record_type, record_class = struct.unpack_from("!HH", data, name_end)
    question_end = name_end + 4
    payload_size_bytes = 0
    if additional:
        parsed_size_bytes = _parse_plain_opt(data, question_end)
        if parsed_size_bytes is None:
            return None
        payload_size_bytes = parsed_size_bytes
    elif len(data) != question_end:
        return None
    return Query(
        data[:2],
        bool(flags & _RD),
        data[HEADER_BYTES:question_end],
        data[HEADER_BYTES:name_end],
        record_type,
        record_class,
        payload_size_bytes,
    )


def _find_name_end(data: bytes) -> int | None:
    """Return the offset after the uncompressed name of the question; None if there is no such name."""
    offset, end = HEADER_BYTES, len(data)
    while offset < end and data[offset]:
        if data[offset] > _MAX_LABEL_BYTES:
            return None
        offset += data[offset] + 1
    offset += 1
    if offset - HEADER_BYTES > _MAX_NAME_BYTES or offset + 4 > end:
        return None
    return offset


def _parse_plain_opt(data: bytes, start: int) -> int | None:
    """Return the payload size of a final OPT record of version 0 without options; None for other data."""
    if len(data) != start + OPT_RECORD_BYTES or data[start : start + 3] != _OPT_PREFIX:
        return None
    version, options_length = data[start + 6], data[start + 9 :]
    if version or options_length != b"\0\0":
        return None
    return max(int.from_bytes(data[start + 3 : start + 5], "big"), MIN_PAYLOAD_BYTES)


def compose_error(data: bytes, code: int) -> bytes | None:
    """Return a header-only error reply to a possibly malformed message; None if it is not a query."""
    if not _is_query(data):
        return None
    flags = _QR | (int.from_bytes(data[2:4], "big") & (_OPCODE_MASK | _RD)) | code
    return data[:2] + flags.to_bytes(2, "big") + bytes(8)


def _is_query(data: bytes) -> bool:
    return len(data) >= HEADER_BYTES and not data[2] & 0x80


def parse_query(data: bytes) -> Query:
    """Return the query of any message.

    Raises:
        QueryError: The message is not a query, is malformed or signed, or its opcode or EDNS version is
            not supported.
    """
    message = _parse_message(data)
    question = message.question[0]
    name = question.name.to_digestable()
    name_end = HEADER_BYTES + len(name)
    if data[HEADER_BYTES:name_end].lower() != name:  # a compressed name cannot be copied into the reply
        raise QueryError(compose_error(data, dns.rcode.FORMERR))
    subnet, reply_options = _parse_options(message, data)
    query = Query(
        data[:2],
        bool(message.flags & dns.flags.RD),
        data[HEADER_BYTES : name_end + 4],
        data[HEADER_BYTES:name_end],
        int(question.rdtype),
        int(question.rdclass),
        max(message.payload, MIN_PAYLOAD_BYTES) if message.edns >= 0 else 0,
        subnet,
        _parse_serial(message),
        reply_options,
    )
    if message.edns > 0:
        raise QueryError(compose_reply(query, dns.rcode.BADVERS, EMPTY_SECTIONS))
    return query


def _parse_message(data: bytes) -> dns.message.Message:
    """Return the message with one question in `data`; raise `QueryError` if it is not one."""
    if not _is_query(data):
        raise QueryError(None)
    if data[2] & (_OPCODE_MASK >> 8):
        raise QueryError(compose_error(data, dns.rcode.NOTIMP))
    try:
        message = dns.message.from_wire(data)
    except dns.message.UnknownTSIGKey:
        raise QueryError(compose_error(data, dns.rcode.REFUSED)) from None
    except (dns.exception.DNSException, ValueError, IndexError, struct.error):
        raise QueryError(compose_error(data, dns.rcode.FORMERR)) from None
    if len(message.question) != 1 or message.had_tsig:
        raise QueryError(compose_error(data, dns.rcode.FORMERR))
    return message


def _parse_options(message: dns.message.Message, data: bytes) -> tuple[Network | None, bytes]:
    """Return the subnet of the last ECS option and the option for the reply; may raise `QueryError`."""
    subnet: Network | None = None
    reply_options = b""
    for option in message.options:
        if not isinstance(option, dns.edns.ECSOption):
            continue
        try:
            subnet = ipaddress.ip_network((option.address, option.srclen), strict=False)
        except ValueError:
            raise QueryError(compose_error(data, dns.rcode.FORMERR)) from None
        # The scope equals the given prefix: the answer is valid for all of it (RFC 7871, section 7.2.1).
        echoed = dns.edns.ECSOption(option.address, option.srclen, option.srclen).to_wire() or b""
        reply_options = struct.pack("!HH", dns.edns.OptionType.ECS, len(echoed)) + echoed
    return subnet, reply_options


def _parse_serial(message: dns.message.Message) -> int | None:
    """Return the serial of the SOA record in an IXFR query; None if there is none."""
    if message.question[0].rdtype != dns.rdatatype.IXFR:
        return None
    soa = [rrset for rrset in message.authority if rrset.rdtype == dns.rdatatype.SOA]
    return soa[0][0].serial if soa else None


def compose_reply(query: Query, code: int, sections: Sections, truncated: bool = False) -> bytes:
    """Return the reply: header, question as received, sections, and an OPT record if the query had one.

    Args:
        query: The query to answer.
        code: The response code; its upper bits are stored in the OPT record.
        sections: The records of the reply.
        truncated: Whether to set TC, so that the client retries over TCP.
    """
    flags = _QR | _AA | (_RD if query.recursion_desired else 0) | (_TC if truncated else 0) | (code & 15)
    if code in (dns.rcode.REFUSED, dns.rcode.SERVFAIL, dns.rcode.BADVERS):
        flags &= ~_AA
    opt, counts = b"", sections.counts
    if query.payload_size_bytes:
        extended_flags = (code >> 4) << 24
        opt = _OPT_PREFIX + struct.pack(
            "!HIH", MAX_PAYLOAD_BYTES, extended_flags, len(query.reply_options)
        ) + query.reply_options  # fmt: skip
        counts = counts[:4] + (int.from_bytes(counts[4:], "big") + 1).to_bytes(2, "big")
    header = (query.message_id, flags.to_bytes(2, "big"), b"\0\1", counts)
    return b"".join((*header, query.question, sections.records, opt))
