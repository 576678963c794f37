"""Domain names under an origin: of services, hosts and SRV targets. No I/O.

Example:
    names = OriginNames("lots.example.", ["lot-estimate"], ["north", "south"])
    names.service_name("lot-estimate")           # _lot-estimate._tcp.lots.example.
    names.service_name("lot-estimate", "north")  # _lot-estimate._tcp.north.lots.example.: for one zone
    names.host_name("lot-estimate")              # lot-estimate.lots.example.: address records only
    names.target_name("10.0.0.7:8080")           # ip-10-0-0-7.lots.example.

Zones are availability zones, not DNS zones. Owner names of SRV records follow RFC 2782. An operation is a
single label, even if it contains dots.
"""

import enum
import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

import dns.exception
import dns.name

from swiftchute.dns.errors import DomainNameError

MAX_LABEL_BYTES = 63  # RFC 1035, section 2.3.4
MAX_CACHED_TARGETS = 100_000
MAX_CACHED_ADDRESSES = 65_536

IpAddress = ipaddress.IPv4Address | ipaddress.IPv6Address

_RESERVED_LABELS = frozenset({"ns", "hostmaster", "_tcp"})
_RESERVED_PREFIXES = ("ip-", "ip6-", "_")


class NameKind(enum.Enum):
    """The kinds of names under the origin."""

    ORIGIN = "origin"
    NAME_SERVER = "name server"
    SERVICE = "service"
    HOST = "host"
    EMPTY_NON_TERMINAL = "empty non-terminal"  # has no records, but names below it have (RFC 8020)


@dataclass(frozen=True, slots=True)
class NameInfo:
    """The meaning of a name.

    Attributes:
        kind: The kind of name.
        operation: The operation of a service or host name; otherwise empty.
        zone: The zone in the name; empty if there is none.
    """

    kind: NameKind
    operation: str = ""
    zone: str = ""


_NON_TERMINAL = NameInfo(NameKind.EMPTY_NON_TERMINAL)


def parse_origin(text: str) -> dns.name.Name:
    """Return the absolute domain name in `text`.

    Raises:
        DomainNameError: The text is not a domain name, or it is the root.
    """
    try:
        name = dns.name.from_text(text)
    except (dns.exception.DNSException, UnicodeError) as error:
        raise DomainNameError(f"{text!r} is not a domain name: {error}") from None
    if len(name.labels) < 2:
        raise DomainNameError(f"{text!r} is the DNS root; an origin needs at least one label")
    return name


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def endpoint_address(endpoint: str) -> IpAddress:
    """Return the IP address of an endpoint id `address:port`.

    Raises:
        ValueError: The part before the port is not an IP address.
    """
    return ipaddress.ip_address(endpoint.rpartition(":")[0].strip("[]"))


class OriginNames:
    """All names under one origin.

    Attributes:
        origin: The origin itself.
        operations: The operations that have names.
        zones: The zones that have names.
        name_server: The name of the name server.
        mailbox: The mailbox of the SOA record.
        info_by_name: The meaning of each name that exists independently of the tables, by its wire form
            in lower case.
    """

    def __init__(self, origin: str, operations: Iterable[str], zones: Iterable[str]) -> None:
        """Create the names of all operations and zones under `origin`.

        Raises:
            DomainNameError: The origin is not a domain name; an operation or zone is not a valid label, or
                its name is ambiguous.
        """
        self.origin = parse_origin(origin)
        self.operations = tuple(operations)
        self.zones = tuple(zones)
        self.name_server = dns.name.Name((b"ns", *self.origin.labels))
        self.mailbox = dns.name.Name((b"hostmaster", *self.origin.labels))
        self._check_labels()
        self.info_by_name = self._build_info()
        self._target_wire_by_endpoint: dict[str, bytes] = {}

    def _check_labels(self) -> None:
        """Check operations and zones; the limit of operations, which get a "_", holds for zones too."""
        used_labels = set(_RESERVED_LABELS)
        for kind, labels in (("operation", self.operations), ("zone", self.zones)):
            for label in labels:
                if len(label.encode()) >= MAX_LABEL_BYTES:
                    raise DomainNameError(
                        f"{kind} {label!r}: longer than {MAX_LABEL_BYTES - 1} bytes, the room after the '_'"
                    )
                if label.lower() in used_labels or label.lower().startswith(_RESERVED_PREFIXES):
                    raise DomainNameError(
                        f"{kind} {label!r}: the name is reserved or used more than once under {self.origin}"
                    )
                used_labels.add(label.lower())

    def _build_info(self) -> dict[bytes, NameInfo]:
        info_by_domain_name = {
            self.origin: NameInfo(NameKind.ORIGIN),
            self.name_server: NameInfo(NameKind.NAME_SERVER),
        }
        for operation in self.operations:
            for zone in (None, *self.zones):
                service = NameInfo(NameKind.SERVICE, operation, zone or "")
                host = NameInfo(NameKind.HOST, operation, zone or "")
                info_by_domain_name[self.service_name(operation, zone)] = service
                info_by_domain_name[self.host_name(operation, zone)] = host
        parents = [name.parent() for name in info_by_domain_name if name != self.origin]
        return {
            name.to_digestable(): info_by_domain_name.get(name, _NON_TERMINAL)
            for name in (*parents, *info_by_domain_name)
        }

    def _name(self, *labels: str) -> dns.name.Name:
        return dns.name.Name((*(label.encode() for label in labels), *self.origin.labels))

    def service_name(self, operation: str, zone: str | None = None) -> dns.name.Name:
        """Return the owner name of an operation's SRV records; without `zone`, in the view's zone."""
        return self._name(f"_{operation}", "_tcp", *((zone,) if zone else ()))

    def host_name(self, operation: str, zone: str | None = None) -> dns.name.Name:
        """Return the owner name of the address records of an operation; `zone` as in `service_name`."""
        return self._name(operation, *((zone,) if zone else ()))

    def target_name(self, endpoint: str) -> dns.name.Name:
        """Return the host name for the address of an endpoint."""
        return dns.name.from_wire(self.target_wire(endpoint), 0)[0]

    def target_wire(self, endpoint: str) -> bytes:
        """Return the host name for the address of an endpoint, in wire form and lower case; cached."""
        wire = self._target_wire_by_endpoint.get(endpoint)
        if wire is None:
            if len(self._target_wire_by_endpoint) >= MAX_CACHED_TARGETS:
                self._target_wire_by_endpoint.clear()
            wire = self._make_target(endpoint).to_digestable()
            self._target_wire_by_endpoint[endpoint] = wire
        return wire

    def _make_target(self, endpoint: str) -> dns.name.Name:
        address = endpoint_address(endpoint)
        if address.version == 4:
            return self._name("ip-" + str(address).replace(".", "-"))
        return self._name("ip6-" + address.packed.hex())
