"""Domain names under an origin: services, hosts and targets. No I/O.

Example:
    names = OriginNames("lots.example.", ["lot-estimate"], ["north", "south"])
    names.service_name("lot-estimate")           # _lot-estimate._tcp.lots.example.
    names.service_name("lot-estimate", "north")  # _lot-estimate._tcp.north.lots.example.: the view of a zone
    names.host_name("lot-estimate")              # lot-estimate.lots.example.: addresses only
    names.target_name("10.0.0.7:8080")           # ip-10-0-0-7.lots.example.

Owner names of SRV records follow RFC 2782. An operation is one label, whatever characters it holds.
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
MAX_CACHED_TARGETS_ENTRIES = 100_000
MAX_CACHED_ADDRESSES_ENTRIES = 65_536

IpAddress = ipaddress.IPv4Address | ipaddress.IPv6Address

_RESERVED_LABELS = frozenset({"ns", "hostmaster", "_tcp"})
_RESERVED_PREFIXES = ("ip-", "ip6-", "_")


class NameKind(enum.Enum):
    """What a name under the origin is."""

    ORIGIN = "origin"
    NAME_SERVER = "name server"
    SERVICE = "service"
    HOST = "host"
    EMPTY_NON_TERMINAL = "empty non-terminal"  # without records, above names that have some (RFC 8020)


@dataclass(frozen=True, slots=True)
class NameOwner:
    """What a name stands for.

    Attributes:
        kind: What the name is.
        operation: The operation of a service or host name; otherwise empty.
        zone: The zone that the name gives; empty if it gives none.
    """

    kind: NameKind
    operation: str = ""
    zone: str = ""


_NON_TERMINAL = NameOwner(NameKind.EMPTY_NON_TERMINAL)


def parse_origin(text: str) -> dns.name.Name:
    """Return the absolute domain name in `text`.

    Raises:
        DomainNameError: The text is no domain name, or it is the root.
    """
    try:
        name = dns.name.from_text(text)
    except (dns.exception.DNSException, UnicodeError) as error:
        raise DomainNameError(f"{text!r} is not a domain name: {error}") from None
    if len(name.labels) < 2:
        raise DomainNameError(f"{text!r} is the root")
    return name


@lru_cache(maxsize=MAX_CACHED_ADDRESSES_ENTRIES)
def endpoint_address(endpoint: str) -> IpAddress:
    """Return the IP address of an endpoint id `address:port`.

    Raises:
        ValueError: The part before the port is no IP address.
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
        owners: What each name stands for that exists whatever the tables hold, by its wire form in
            lower case.
    """

    def __init__(self, origin: str, operations: Iterable[str], zones: Iterable[str]) -> None:
        """Create the names of all operations and zones under `origin`.

        Raises:
            DomainNameError: The origin is no domain name; an operation or zone is no label, or its name has
                two meanings.
        """
        self.origin = parse_origin(origin)
        self.operations = tuple(operations)
        self.zones = tuple(zones)
        self.name_server = dns.name.Name((b"ns", *self.origin.labels))
        self.mailbox = dns.name.Name((b"hostmaster", *self.origin.labels))
        self._check_labels()
        self.owners = self._build_owners()
        self._target_wire_by_endpoint: dict[str, bytes] = {}

    def _check_labels(self) -> None:
        taken = set(_RESERVED_LABELS)
        for kind, labels in (("operation", self.operations), ("zone", self.zones)):
            for label in labels:
                if len(label.encode()) >= MAX_LABEL_BYTES:
                    raise DomainNameError(
                        f"{kind} {label!r}: {MAX_LABEL_BYTES - 1} bytes at most beside its '_'"
                    )
                if label.lower() in taken or label.lower().startswith(_RESERVED_PREFIXES):
                    raise DomainNameError(
                        f"{kind} {label!r}: the name would stand for two things under {self.origin}"
                    )
                taken.add(label.lower())

    def _build_owners(self) -> dict[bytes, NameOwner]:
        owner_by_name = {
            self.origin: NameOwner(NameKind.ORIGIN),
            self.name_server: NameOwner(NameKind.NAME_SERVER),
        }
        for operation in self.operations:
            for zone in (None, *self.zones):
                service = NameOwner(NameKind.SERVICE, operation, zone or "")
                host = NameOwner(NameKind.HOST, operation, zone or "")
                owner_by_name[self.service_name(operation, zone)] = service
                owner_by_name[self.host_name(operation, zone)] = host
        parents = [name.parent() for name in owner_by_name if name != self.origin]
        return {
            name.to_digestable(): owner_by_name.get(name, _NON_TERMINAL)
            for name in (*parents, *owner_by_name)
        }

    def _name(self, *labels: str) -> dns.name.Name:
        return dns.name.Name((*(label.encode() for label in labels), *self.origin.labels))

    def service_name(self, operation: str, zone: str | None = None) -> dns.name.Name:
        """Return the owner name of the SRV records of an operation; None means the zone of the view."""
        return self._name(f"_{operation}", "_tcp", *((zone,) if zone else ()))

    def host_name(self, operation: str, zone: str | None = None) -> dns.name.Name:
        """Return the owner name of the address records of an operation; None means the zone of the view."""
        return self._name(operation, *((zone,) if zone else ()))

    def target_name(self, endpoint: str) -> dns.name.Name:
        """Return the host name of the address of an endpoint."""
        return dns.name.from_wire(self.target_wire(endpoint), 0)[0]

    def target_wire(self, endpoint: str) -> bytes:
        """Return the host name of the address of an endpoint, in wire form and lower case; it is cached."""
        wire = self._target_wire_by_endpoint.get(endpoint)
        if wire is None:
            if len(self._target_wire_by_endpoint) >= MAX_CACHED_TARGETS_ENTRIES:
                self._target_wire_by_endpoint.clear()
            wire = self._make_target(endpoint).to_digestable()
            self._target_wire_by_endpoint[endpoint] = wire
        return wire

    def _make_target(self, endpoint: str) -> dns.name.Name:
        address = endpoint_address(endpoint)
        if address.version == 4:
            return self._name("ip-" + str(address).replace(".", "-"))
        return self._name("ip6-" + address.packed.hex())
