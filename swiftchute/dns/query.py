"""Queries read, replies composed: plain questions by hand, all others by the library. No I/O.

    query = plain(data)            # a Query, or None: it is not plain
    query = read(data)             # by the library; raises QueryError with the reply, None to stay silent
    reply = compose(query, code, counts, tail, short)

Plain: a standard query of one question, with no more beside it than an OPT record without options.
Sources: RFC 1035, section 4; EDNS0 by RFC 6891; client subnets by RFC 7871.
"""

import ipaddress
import struct
from dataclasses import dataclass

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype

from swiftchute.dns.errors import QueryError

HEAD = struct.Struct("!HHHHHH")
SIZE_LEAST, OPT_BYTES = 512, 11
SIZE_MOST = 1232  # of a datagram: what passes every way unbroken (1280 of IPv6 less its heads)
_QR, _AA, _TC, _RD = 0x8000, 0x0400, 0x0200, 0x0100
_OPCODE = 0x7800
_OPT = b"\x00\x00\x29"  # the root's name and the type
EMPTY = (b"\x00" * 6, b"")
Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class Query:
    """One question: its name as it came, type, class; `size` of an OPT, 0 without; the client's subnet; and
    the serial that an IXFR tells."""

    id: bytes
    recurse: bool
    question: bytes
    name: bytes
    type: int
    cls: int
    size: int = 0
    subnet: Network | None = None
    serial: int | None = None
    options: bytes = b""  # of the reply's OPT


def plain(data: bytes) -> Query | None:
    """The query of a plain message."""
    if len(data) < 17:
        return None
    _, flags, one, answers, authority, additional = HEAD.unpack_from(data)
    if flags & (_QR | _OPCODE | _TC) or (one, answers, authority) != (1, 0, 0) or additional > 1:
        return None
    at, end = 12, len(data)
    while at < end and data[at]:
        if data[at] > 63:
            return None
        at += data[at] + 1
    at += 1
    if at - 12 > 255 or at + 4 > end:
        return None
    kind, cls = struct.unpack_from("!HH", data, at)
    size = 0
    if additional:  # an OPT of version 0 without options, and nothing after it
        if end != at + 15 or data[at + 4 : at + 7] != _OPT or data[at + 10] or data[at + 13 :] != b"\0\0":
            return None
        size = max(int.from_bytes(data[at + 7 : at + 9], "big"), SIZE_LEAST)
    elif end != at + 4:
        return None
    return Query(data[:2], bool(flags & _RD), data[12 : at + 4], data[12:at], kind, cls, size)


def error(data: bytes, code: int) -> bytes | None:
    """A reply of a head alone to what may not be read further; None to what is no query."""
    if len(data) < 12 or data[2] & 0x80:
        return None
    flags = _QR | (int.from_bytes(data[2:4], "big") & (_OPCODE | _RD)) | code
    return data[:2] + flags.to_bytes(2, "big") + bytes(8)


def read(data: bytes) -> Query:
    """Any message, by the library. Raises `QueryError`."""
    if len(data) < 12 or data[2] & 0x80:
        raise QueryError(None)
    if data[2] & 0x78:
        raise QueryError(error(data, dns.rcode.NOTIMP))
    try:
        made = dns.message.from_wire(data)
    except dns.message.UnknownTSIGKey:
        raise QueryError(error(data, dns.rcode.REFUSED)) from None
    except (dns.exception.DNSException, ValueError, IndexError, struct.error):
        raise QueryError(error(data, dns.rcode.FORMERR)) from None
    if len(made.question) != 1 or made.had_tsig:
        raise QueryError(error(data, dns.rcode.FORMERR))
    asked = made.question[0]
    name = asked.name.to_wire()
    # the name as it came: a question of a plain form keeps its case
    end = 12 + len(name)
    if data[12:end].lower() != name.lower():
        raise QueryError(error(data, dns.rcode.FORMERR))
    size = max(made.payload, SIZE_LEAST) if made.edns >= 0 else 0
    subnet, options = None, b""
    for option in made.options:
        if isinstance(option, dns.edns.ECSOption):
            try:
                subnet = ipaddress.ip_network((option.address, option.srclen), strict=False)
            except ValueError:
                raise QueryError(error(data, dns.rcode.FORMERR)) from None
            # the whole answer goes by the part of the address that was told
            told = dns.edns.ECSOption(option.address, option.srclen, option.srclen).to_wire()
            options = struct.pack("!HH", dns.edns.OptionType.ECS, len(told)) + told
    serial = None
    if asked.rdtype == dns.rdatatype.IXFR:
        soa = [r for r in made.authority if r.rdtype == dns.rdatatype.SOA]
        serial = soa[0][0].serial if soa else None
    question = data[12 : end + 4]
    query = Query(data[:2], bool(made.flags & dns.flags.RD), question, data[12:end], int(asked.rdtype),
                  int(asked.rdclass), size, subnet, serial, options)  # fmt: skip
    if made.edns > 0:
        raise QueryError(compose(query, dns.rcode.BADVERS, *EMPTY))
    return query


def compose(query: Query, code: int, counts: bytes, tail: bytes, short: bool = False) -> bytes:
    """The reply's bytes: head, the question as it came, sections, and an OPT if the query had one."""
    flags = _QR | _AA | (_RD if query.recurse else 0) | (_TC if short else 0) | (code & 15)
    if code in (dns.rcode.REFUSED, dns.rcode.SERVFAIL, dns.rcode.BADVERS):
        flags &= ~_AA
    opt = b""
    if query.size:
        extended = (code >> 4) << 24
        opt = _OPT + struct.pack("!HIH", SIZE_MOST, extended, len(query.options)) + query.options
        counts = counts[:4] + (int.from_bytes(counts[4:], "big") + 1).to_bytes(2, "big")
    return b"".join((query.id, flags.to_bytes(2, "big"), b"\0\1", counts, query.question, tail, opt))
