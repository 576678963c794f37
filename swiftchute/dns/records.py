"""The records of an origin, made of the tables of its zones' views. No I/O, no clock.

    made = Records(names, contents, cold, ttl, serial, shape)
    made.lookup(owner, rdtype, view)   # Found: answer, additional and authority records
    made.whole(view)                   # every record, as a transfer carries them

`contents` is by zone and operation the lines (server, zone, weight) that a proxy of that zone would
hold; a view says whose the names without a zone mean. SRV by RFC 2782, targets with their addresses
beside them, SOA for negative answers by RFC 2308, a small answer to ANY by RFC 8482. Draws for addresses
leave out `cold` servers while there are others (see `shares`).
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import lru_cache

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

from swiftchute.dns.names import Names, address
from swiftchute.dns.shares import draws, srv_weights

IN = dns.rdataclass.IN
Line = tuple[str, str, float]
Lines = tuple[Line, ...]


@lru_cache(maxsize=65_536)
def _wire(name: dns.name.Name) -> bytes:
    return name.to_wire().lower()


@dataclass(frozen=True)
class Shape:
    """How answers are laid out: addresses in an answer without weights, draws at least, whether lines of
    other zones are `shared` by weight or `spare` (a lower priority: used once no server of the zone
    answers), the times of the SOA in seconds, and the name server's own address."""

    addresses: int = 4
    draws: int = 256
    borrowed: str = "shared"
    refresh: int = 2
    expire: int = 30
    server: str = ""


@dataclass(frozen=True)
class Found:
    """What answers a question. `drawn`: other answers that take turns with this one."""

    answer: tuple[dns.rrset.RRset, ...] = ()
    additional: tuple[dns.rrset.RRset, ...] = ()
    authority: tuple[dns.rrset.RRset, ...] = ()
    exists: bool = True  # else NXDOMAIN
    drawn: tuple[tuple[str, ...], ...] = ()  # as servers: made into records when their turn comes
    operation: str = ""
    zone: str = ""
    ready: bool = True  # else SERVFAIL: nothing is known yet


@dataclass
class Records:
    """One version of all views."""

    names: Names
    contents: Mapping[str, Mapping[str, Lines]]
    cold: frozenset[str]
    ttl: int
    serial: int
    shape: Shape
    levels: Mapping[tuple[str, str], float] = field(default_factory=dict)  # let in, by zone and operation

    def __post_init__(self) -> None:
        """The names that exist; records are made when they are asked for."""
        names, self._owners = self.names, {}
        self._owners[names.origin] = ("origin", "", "")
        self._owners[names.server] = ("server", "", "")
        for op in names.operations:
            self._owners[names.service(op)] = ("service", op, "")
            self._owners[names.host(op)] = ("host", op, "")
            for zone in self.names.zones:
                self._owners[names.service(op, zone)] = ("service", op, zone)
                self._owners[names.host(op, zone)] = ("host", op, zone)
        self._targets: dict[dns.name.Name, str] = {}
        for contents in self.contents.values():
            for lines in contents.values():
                for server, _, _ in lines:
                    self._targets.setdefault(names.target(server), server)
        # names that only stand above others exist too: NODATA, not NXDOMAIN (RFC 8020)
        above = {owner.parent() for owner in self._owners if owner != names.origin}
        self._between = {owner for owner in above if owner.is_subdomain(names.origin)}

    def known(self) -> set[bytes]:
        """All names that exist, in wire form and lower case: whatever else is asked for is denied unread."""
        return {_wire(name) for name in (*self._owners, *self._targets, *self._between)}

    def lines(self, operation: str, zone: str) -> Lines | None:
        """An operation's lines for a zone; None if nothing is known of them yet."""
        return self.contents.get(zone, {}).get(operation)

    def soa(self) -> dns.rrset.RRset:
        """The start of the origin's zone; its last field is how long a negative answer may be kept."""
        n, s = self.names, self.shape
        times = (self.serial, s.refresh, s.refresh, s.expire, self.ttl)
        made = SOA(IN, dns.rdatatype.SOA, n.server, n.mailbox, *times)
        return dns.rrset.from_rdata(n.origin, self.ttl, made)

    def ns(self) -> dns.rrset.RRset:
        """The one name server that is told of."""
        return dns.rrset.from_rdata(self.names.origin, self.ttl, NS(IN, dns.rdatatype.NS, self.names.server))

    def srv(self, owner: dns.name.Name, operation: str, zone: str) -> dns.rrset.RRset | None:
        """An operation's SRV records for a zone; None without lines."""
        lines = self.lines(operation, zone)
        if not lines:
            return None
        spare = self.shape.borrowed == "spare" and any(z == zone for _, z, _ in lines)
        rows = []
        for (server, z, _), weight in zip(lines, srv_weights(lines), strict=True):
            port, target = int(server.rpartition(":")[2]), self.names.target(server)
            rows.append(SRV(IN, dns.rdatatype.SRV, int(spare and z != zone), weight, port, target))
        return dns.rrset.from_rdata_list(owner, self.ttl, rows)

    def addresses(self, owner: dns.name.Name, servers: tuple[str, ...]) -> dns.rrset.RRset:
        """The addresses of these servers, in this order: most clients take the first."""
        found = []
        for server in servers:
            at = address(server)
            kind, rdtype = (A, dns.rdatatype.A) if at.version == 4 else (AAAA, dns.rdatatype.AAAA)
            found.append(kind(IN, rdtype, str(at)))
        made = dns.rrset.RRset(owner, IN, found[0].rdtype)
        made.update_ttl(self.ttl)
        for rdata in found:
            made.add(rdata)
        return made

    def draws(self, operation: str, zone: str, version: int) -> list[tuple[str, ...]]:
        """The servers of address answers that take turns, of one IP version."""
        lines = [x for x in self.lines(operation, zone) or () if address(x[0]).version == version]
        warm = [x for x in lines if x[0] not in self.cold]
        return [tuple(picked) for picked in draws(warm or lines, self.shape.addresses, self.shape.draws)]

    def lookup(self, owner: dns.name.Name, rdtype: dns.rdatatype.RdataType, view: str) -> Found:
        """What answers a question below the origin."""
        kind, op, zone = self._owners.get(owner, ("", "", ""))
        zone = zone or view
        if kind in ("service", "host") and self.lines(op, zone) is None:
            return Found(ready=False)  # it exists, and nothing is known of it yet
        if rdtype == dns.rdatatype.ANY and (kind or owner in self._targets):
            small = HINFO(IN, dns.rdatatype.HINFO, b"RFC8482", b"")
            return Found((dns.rrset.from_rdata(owner, self.ttl, small),))
        if kind == "origin" and rdtype == dns.rdatatype.SOA:
            return Found((self.soa(),))
        if kind == "origin" and rdtype == dns.rdatatype.NS:
            return Found((self.ns(),))
        if kind == "service" and rdtype == dns.rdatatype.SRV:
            made = self.srv(owner, op, zone)
            if made is not None:
                return Found((made,), self.targets(op, zone), operation=op, zone=zone)
        version = {dns.rdatatype.A: 4, dns.rdatatype.AAAA: 6}.get(rdtype)
        if kind == "host" and version:
            drawn = self.draws(op, zone, version)
            if drawn:
                first = (self.addresses(owner, drawn[0]),)
                return Found(first, drawn=tuple(drawn), operation=op, zone=zone)
        server = self.shape.server if kind == "server" else self._targets.get(owner, "")
        if server and version == address(server).version:
            return Found((self.addresses(owner, (server,)),))
        exists = bool(kind or server) or owner in self._between
        return Found(authority=(self.soa(),), exists=exists)

    def targets(self, operation: str, zone: str) -> tuple[dns.rrset.RRset, ...]:
        """The addresses of an operation's targets, each name once: ports of one address share it."""
        servers = {self.names.target(s): s for s, _, _ in self.lines(operation, zone) or ()}
        return tuple(self.addresses(name, (server,)) for name, server in servers.items())

    def whole(self, view: str) -> list[dns.rrset.RRset]:
        """Every record but the SOA. A transfer cannot take turns: its addresses are the first draw."""
        found: list[dns.rrset.RRset] = [self.ns()]
        targets: dict[dns.name.Name, dns.rrset.RRset] = {}
        for zone in (None, *self.names.zones):
            for op in self.names.operations:
                owner, held = self.names.service(op, zone), zone or view
                made = self.srv(owner, op, held)
                if made is not None:
                    found.append(made)
                    targets |= {t.name: t for t in self.targets(op, held)}
                host = self.names.host(op, zone)
                found += [self.addresses(host, d[0]) for v in (4, 6) if (d := self.draws(op, held, v))]
        return found + list(targets.values())
