"""The records of an origin, made of the tables of its zones' views. No I/O, no clock.

    made = Records(names, contents, cold, ttl, serial, shape)
    made.lookup(name, rdtype, view)    # Found, for a name that exists
    made.whole(view)                   # every record, as a transfer carries them

`contents` is by zone and operation the lines (server, zone, weight) that a proxy of that zone would
hold; a view says whose the names without a zone mean. SRV by RFC 2782, targets with their addresses
beside them, SOA for negative answers by RFC 2308, a small answer to ANY by RFC 8482. Draws for addresses
leave out `cold` servers while there are others (see `shares`).
"""

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field

import dns.name
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.rrset
from dns.rdtypes.ANY.HINFO import HINFO
from dns.rdtypes.ANY.NS import NS
from dns.rdtypes.ANY.SOA import SOA
from dns.rdtypes.IN.A import A
from dns.rdtypes.IN.AAAA import AAAA
from dns.rdtypes.IN.SRV import SRV

from swiftchute.dns.names import NameKind, NameOwner, OriginNames, endpoint_address
from swiftchute.dns.srv_weights import draws, srv_weights

IN = dns.rdataclass.IN
_OWNER = 0xC00C  # a pointer at the question's name, which stands behind the head
_OWNER_BYTES = _OWNER.to_bytes(2, "big")
_ROW, _SRV_ROW = struct.Struct("!HHIH"), struct.Struct("!HHHIHHHH")
Line = tuple[str, str, float]
Lines = tuple[Line, ...]
_NO_OWNER = NameOwner(NameKind.EMPTY_NON_TERMINAL)


@dataclass(frozen=True)
class Shape:
    """How answers are laid out: addresses in an answer without weights, draws at least, whether lines of
    other zones are `shared` by weight or `spare` (a lower priority: used once no server of the zone
    answers), the times of the SOA in seconds, and the name server's own `address:port`."""

    addresses: int = 4
    draws: int = 256
    borrowed: str = "shared"
    refresh: int = 2
    expire: int = 30
    server: str = ""


@dataclass(frozen=True)
class Found:
    """What answers a question: sets of records, or rows: records in wire form whose owner is the question's
    name, with the addresses beside them. `drawn`: servers of address answers that take turns, made into rows
    when their turn comes. Nothing at all: a denial."""

    answer: tuple[dns.rrset.RRset, ...] = ()
    rows: tuple[bytes, ...] = ()
    beside: tuple[bytes, ...] = ()
    drawn: tuple[tuple[str, ...], ...] = ()
    operation: str = ""
    zone: str = ""
    ready: bool = True  # else SERVFAIL: nothing is known yet


@dataclass
class Records:
    """One version of all views."""

    names: OriginNames
    contents: Mapping[str, Mapping[str, Lines]]
    cold: frozenset[str]
    ttl: int
    serial: int
    shape: Shape
    levels: Mapping[tuple[str, str], float] = field(default_factory=dict)  # let in, by zone and operation

    def __post_init__(self) -> None:
        """The names of targets; records are made when they are asked for."""
        wire = self.names.target_wire
        self._targets = {
            wire(server): server
            for contents in self.contents.values() for lines in contents.values() for server, _, _ in lines
        }  # fmt: skip

    def exists(self, name: bytes) -> bool:
        """Whether a name (in wire form and lower case) is there; whatever is not is denied unread."""
        return name in self._targets or name in self.names.owners

    def lines(self, operation: str, zone: str) -> Lines | None:
        """An operation's lines for a zone; None if nothing is known of them yet."""
        return self.contents.get(zone, {}).get(operation)

    def soa(self) -> dns.rrset.RRset:
        """The start of the origin's zone; its last field is how long a negative answer may be kept."""
        n, s = self.names, self.shape
        times = (self.serial, s.refresh, s.refresh, s.expire, self.ttl)
        made = SOA(IN, dns.rdatatype.SOA, n.name_server, n.mailbox, *times)
        return dns.rrset.from_rdata(n.origin, self.ttl, made)

    def ns(self) -> dns.rrset.RRset:
        """The one name server that is told of."""
        return dns.rrset.from_rdata(
            self.names.origin, self.ttl, NS(IN, dns.rdatatype.NS, self.names.name_server)
        )

    def _weighed(self, operation: str, zone: str) -> list[tuple[str, int, int, int]]:
        """By line of a zone's table: its server, priority, weight and port."""
        lines = self.lines(operation, zone) or ()
        spare = self.shape.borrowed == "spare" and any(z == zone for _, z, _ in lines)
        return [
            (server, int(spare and z != zone), weight, int(server.rpartition(":")[2]))
            for (server, z, _), weight in zip(lines, srv_weights(lines), strict=True)
        ]

    def srv(self, operation: str, zone: str) -> tuple[bytes, ...]:
        """An operation's SRV records for a zone. Targets are not compressed (RFC 2782)."""
        made = []
        for server, priority, weight, port in self._weighed(operation, zone):
            target = self.names.target_wire(server)
            rdata = (6 + len(target), priority, weight, port)
            made.append(_SRV_ROW.pack(_OWNER, dns.rdatatype.SRV, IN, self.ttl, *rdata) + target)
        return tuple(made)

    def row(self, server: str, owner: bytes = _OWNER_BYTES) -> bytes:
        """A server's address record."""
        at = endpoint_address(server)
        kind = dns.rdatatype.A if at.version == 4 else dns.rdatatype.AAAA
        return owner + _ROW.pack(kind, IN, self.ttl, len(at.packed)) + at.packed

    def _beside(self, operation: str, zone: str) -> tuple[bytes, ...]:
        """The addresses of an operation's targets, each name once: ports of one address share it."""
        servers = {self.names.target_wire(s): s for s, _, _ in self.lines(operation, zone) or ()}
        return tuple(self.row(server, owner) for owner, server in servers.items())

    def _addresses(self, owner: dns.name.Name, servers: tuple[str, ...]) -> dns.rrset.RRset:
        """The addresses of these servers, in this order: most clients take the first."""
        found = []
        for server in servers:
            at = endpoint_address(server)
            kind, rdtype = (A, dns.rdatatype.A) if at.version == 4 else (AAAA, dns.rdatatype.AAAA)
            found.append(kind(IN, rdtype, str(at)))
        made = dns.rrset.RRset(owner, IN, found[0].rdtype)
        made.update_ttl(self.ttl)
        for rdata in found:
            made.add(rdata)
        return made

    def draws(self, operation: str, zone: str, version: int) -> list[tuple[str, ...]]:
        """The servers of address answers that take turns, of one IP version."""
        lines = [x for x in self.lines(operation, zone) or () if endpoint_address(x[0]).version == version]
        warm = [x for x in lines if x[0] not in self.cold]
        return [tuple(picked) for picked in draws(warm or lines, self.shape.addresses, self.shape.draws)]

    def lookup(self, name: bytes, rdtype: int, view: str) -> Found:
        """What answers a question for a name that exists, in wire form and lower case."""
        owner = self.names.owners.get(name, _NO_OWNER)
        kind, op, zone = owner.kind, owner.operation, owner.zone or view
        if kind in (NameKind.SERVICE, NameKind.HOST) and self.lines(op, zone) is None:
            return Found(ready=False)  # it exists, and nothing is known of it yet
        if rdtype == dns.rdatatype.ANY and (kind is not NameKind.EMPTY_NON_TERMINAL or name in self._targets):
            small = HINFO(IN, dns.rdatatype.HINFO, b"RFC8482", b"")
            return Found((dns.rrset.from_rdata(dns.name.from_wire(name, 0)[0], self.ttl, small),))
        if kind is NameKind.ORIGIN and rdtype == dns.rdatatype.SOA:
            return Found((self.soa(),))
        if kind is NameKind.ORIGIN and rdtype == dns.rdatatype.NS:
            return Found((self.ns(),))
        if kind is NameKind.SERVICE and rdtype == dns.rdatatype.SRV:
            return Found(rows=self.srv(op, zone), beside=self._beside(op, zone), operation=op, zone=zone)
        version = {dns.rdatatype.A: 4, dns.rdatatype.AAAA: 6}.get(rdtype)
        if kind is NameKind.HOST and version:
            return Found(drawn=tuple(self.draws(op, zone, version)), operation=op, zone=zone)
        server = self.shape.server if kind is NameKind.NAME_SERVER else self._targets.get(name, "")
        if server and version == endpoint_address(server).version:
            return Found(rows=(self.row(server),))
        return Found()

    def whole(self, view: str) -> list[dns.rrset.RRset]:
        """Every record but the SOA. A transfer cannot take turns: its addresses are the first draw."""
        found: list[dns.rrset.RRset] = [self.ns()]
        targets: dict[str, str] = {}
        for zone in (None, *self.names.zones):
            for op in self.names.operations:
                held = zone or view
                rows = [
                    SRV(IN, dns.rdatatype.SRV, priority, weight, port, self.names.target_name(server))
                    for server, priority, weight, port in self._weighed(op, held)
                ]
                if rows:
                    found.append(dns.rrset.from_rdata_list(self.names.service_name(op, zone), self.ttl, rows))
                    targets |= {str(endpoint_address(s)): s for s, _, _ in self.lines(op, held) or ()}
                host = self.names.host_name(op, zone)
                found += [self._addresses(host, d[0]) for v in (4, 6) if (d := self.draws(op, held, v))]
        return found + [
            self._addresses(self.names.target_name(server), (server,)) for server in targets.values()
        ]
