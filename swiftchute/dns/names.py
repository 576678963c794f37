"""Names under an origin: operations, zones' views, targets. No I/O.

    names = Names("lots.example.", ["lot-estimate"], ["north", "south"])
    names.service("lot-estimate")            # _lot-estimate._tcp.lots.example.
    names.service("lot-estimate", "north")   # _lot-estimate._tcp.north.lots.example.: that zone's view
    names.host("lot-estimate")               # lot-estimate.lots.example.: addresses alone
    names.target("10.0.0.7:8080")            # ip-10-0-0-7.lots.example.

SRV owner names by RFC 2782; an operation is one label, whatever it is called.
"""

import ipaddress
from collections.abc import Iterable
from functools import lru_cache

import dns.exception
import dns.name

LABEL_MOST = 63
TARGETS_MOST = 100_000  # names kept; past it they are made again


class BadName(ValueError):
    """A name that cannot be had in DNS; its text says which and why."""


def origin(text: str) -> dns.name.Name:
    """An absolute name. Raises `BadName`."""
    try:
        made = dns.name.from_text(text)
    except (dns.exception.DNSException, UnicodeError) as why:
        raise BadName(f"{text!r} is not a domain name: {why}") from None
    if len(made.labels) < 2:
        raise BadName(f"{text!r} is the root")
    return made


@lru_cache(maxsize=65_536)
def address(server: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    """The address of a server's id, `address:port`."""
    return ipaddress.ip_address(server.rpartition(":")[0].strip("[]"))


class Names:
    """All names of one origin."""

    def __init__(self, under: str, operations: Iterable[str], zones: Iterable[str]) -> None:
        """Raises `BadName` for an operation or zone that is no label, or that means two things."""
        self.origin = origin(under)
        self.operations, self.zones = tuple(operations), tuple(zones)
        self.server = dns.name.Name((b"ns", *self.origin.labels))
        self.mailbox = dns.name.Name((b"hostmaster", *self.origin.labels))
        self._targets: dict[str, bytes] = {}
        taken = {"ns", "hostmaster", "_tcp"}
        for kind, words in (("operation", self.operations), ("zone", self.zones)):
            for word in words:
                if len(word.encode()) >= LABEL_MOST:
                    raise BadName(f"{kind} {word!r}: {LABEL_MOST - 1} bytes at most beside its '_'")
                if word.lower() in taken or word.lower().startswith(("ip-", "ip6-", "_")):
                    raise BadName(f"{kind} {word!r}: the name would stand for two things under {self.origin}")
                taken.add(word.lower())
        # what stands at a name that is there whatever tables hold, by its wire form in lower case: its kind,
        # operation and zone; names that only stand above others are of no kind (RFC 8020: they exist)
        self.owners: dict[bytes, tuple[str, str, str]] = {}
        named = {self.origin: ("origin", "", ""), self.server: ("server", "", "")}
        for op in self.operations:
            for zone in (None, *self.zones):
                named[self.service(op, zone)] = ("service", op, zone or "")
                named[self.host(op, zone)] = ("host", op, zone or "")
        above = [owner.parent() for owner in named if owner != self.origin]
        for owner in (*above, *named):
            self.owners[owner.to_wire().lower()] = named.get(owner, ("", "", ""))

    def _under(self, *labels: str) -> dns.name.Name:
        return dns.name.Name((*(label.encode() for label in labels), *self.origin.labels))

    def service(self, operation: str, zone: str | None = None) -> dns.name.Name:
        """Where an operation's SRV records stand."""
        return self._under(f"_{operation}", "_tcp", *((zone,) if zone else ()))

    def host(self, operation: str, zone: str | None = None) -> dns.name.Name:
        """Where an operation's addresses stand."""
        return self._under(operation, *((zone,) if zone else ()))

    def target(self, server: str) -> dns.name.Name:
        """The host name of a server's address."""
        return dns.name.from_wire(self.wire(server), 0)[0]

    def wire(self, server: str) -> bytes:
        """The same, in wire form: all of a table's targets are looked up at each change of it."""
        made = self._targets.get(server)
        if made is None:
            if len(self._targets) >= TARGETS_MOST:
                self._targets.clear()
            made = self._targets[server] = self._target(server).to_wire().lower()
        return made

    def _target(self, server: str) -> dns.name.Name:
        at = address(server)
        if at.version == 4:
            return self._under("ip-" + str(at).replace(".", "-"))
        return self._under("ip6-" + at.packed.hex())
