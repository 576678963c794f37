"""The resource records under an origin, made from the tables of the zones' views. No I/O, no clock.

Example:
    records = ZoneRecords(names, entries_by_zone, warming_up, ttl_s, serial, layout)
    records.lookup(name, record_type, view)  # a LookupResult, for a name that exists
    records.all_records(view)                # all records, for a zone transfer

A view is the zone that is meant by names without a zone. SRV records follow RFC 2782 and are sent with the
addresses of their targets; SOA records in negative answers follow RFC 2308; the short answer to ANY follows
RFC 8482. Draws of addresses omit endpoints that are warming up while there are others (see `srv_weights`).
"""

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field

import dns.name
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import msgspec
from dns.rdtypes.ANY.HINFO import HINFO
from dns.rdtypes.ANY.NS import NS
from dns.rdtypes.ANY.SOA import SOA
from dns.rdtypes.IN.A import A
from dns.rdtypes.IN.AAAA import AAAA
from dns.rdtypes.IN.SRV import SRV

from swiftchute.controller.table_contents import TableEntry
from swiftchute.dns.names import NameInfo, NameKind, OriginNames, endpoint_address
from swiftchute.dns.srv_weights import draw_answers, srv_weights

IN = dns.rdataclass.IN
TableEntries = tuple[TableEntry, ...]

_QUESTION_NAME = 0xC00C  # a compression pointer to the name of the question, right after the header
_QUESTION_NAME_BYTES = _QUESTION_NAME.to_bytes(2, "big")
_RECORD_FIELDS = struct.Struct("!HHIH")  # type, class, TTL, length
_SRV_RECORD = struct.Struct("!HHHIHHHH")  # owner, type, class, TTL, length, priority, weight, port
_SRV_FIELDS_BYTES = 6  # priority, weight and port
_IP_VERSIONS = (4, 6)
_IP_VERSION_BY_TYPE: Mapping[int, int] = {dns.rdatatype.A: 4, dns.rdatatype.AAAA: 6}
_NO_INFO = NameInfo(NameKind.EMPTY_NON_TERMINAL)


@dataclass(frozen=True, slots=True)
class RecordLayout:
    """Settings of the records.

    Attributes:
        addresses_per_answer: Number of endpoints in an address answer.
        min_draws: Minimum number of address draws to rotate through.
        remote_entries: "shared": entries of other zones are used by weight; "spare": they have a lower
            priority, so that clients use them only if no endpoint of the zone answers.
        refresh_s: The refresh and retry time of the SOA record.
        expire_s: The expire time of the SOA record.
        name_server_address: The `address:port` of this server; empty if it is not published.
    """

    addresses_per_answer: int = 4
    min_draws: int = 256
    remote_entries: str = "shared"
    refresh_s: int = 2
    expire_s: int = 30
    name_server_address: str = ""


@dataclass(frozen=True, slots=True)
class LookupResult:
    """The records that answer a question; without any, the answer is negative (no data).

    Attributes:
        rrsets: RRsets to send without name compression.
        records: Records in wire form whose owner is the name of the question.
        additional: The addresses of the targets of `records`, in wire form.
        draws: The endpoints of each address answer in the rotation; records are made when an answer is sent.
        operation: The operation that the answer depends on; empty if none.
        zone: The zone that the answer depends on; empty if none.
        known: False if there is no table of the operation yet (SERVFAIL).
    """

    rrsets: tuple[dns.rrset.RRset, ...] = ()
    records: tuple[bytes, ...] = ()
    additional: tuple[bytes, ...] = ()
    draws: tuple[tuple[str, ...], ...] = ()
    operation: str = ""
    zone: str = ""
    known: bool = True


class _SrvTarget(msgspec.Struct, frozen=True, gc=False):
    """The fields of an SRV record, with the endpoint instead of its domain name."""

    endpoint: str
    priority: int
    weight: int
    port: int


@dataclass
class ZoneRecords:
    """One version of the records of all views.

    Attributes:
        names: The names under the origin.
        entries_by_zone: The table entries for a proxy of a zone, by zone and operation.
        warming_up: Endpoints that are warming up.
        ttl_s: The TTL of all records.
        serial: The serial of the SOA record.
        layout: Settings of the records.
        admission_rates: The fraction of queries to answer, 0 to 1, by zone and operation; 1 if absent.
    """

    names: OriginNames
    entries_by_zone: Mapping[str, Mapping[str, TableEntries]]
    warming_up: frozenset[str]
    ttl_s: int
    serial: int
    layout: RecordLayout
    admission_rates: Mapping[tuple[str, str], float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Index the names of SRV targets; records are made on demand."""
        target_wire = self.names.target_wire
        self._endpoint_by_target = {
            target_wire(endpoint): endpoint
            for entries_by_operation in self.entries_by_zone.values()
            for entries in entries_by_operation.values()
            for endpoint, _, _ in entries
        }

    def exists(self, name: bytes) -> bool:
        """Return whether a name, in wire form and lower case, exists."""
        return name in self._endpoint_by_target or name in self.names.info_by_name

    def entries(self, operation: str, zone: str) -> TableEntries | None:
        """Return the entries of an operation for a zone; None if there is no table yet."""
        return self.entries_by_zone.get(zone, {}).get(operation)

    def soa(self) -> dns.rrset.RRset:
        """Return the SOA record; its last field is how long a negative answer may be cached."""
        names, layout = self.names, self.layout
        times = (layout.refresh_s, layout.refresh_s, layout.expire_s, self.ttl_s)
        rdata = SOA(IN, dns.rdatatype.SOA, names.name_server, names.mailbox, self.serial, *times)
        return dns.rrset.from_rdata(names.origin, self.ttl_s, rdata)

    def ns(self) -> dns.rrset.RRset:
        """Return the NS record, with the only name server that is published."""
        rdata = NS(IN, dns.rdatatype.NS, self.names.name_server)
        return dns.rrset.from_rdata(self.names.origin, self.ttl_s, rdata)

    def srv_records(self, operation: str, zone: str) -> tuple[bytes, ...]:
        """Return the SRV records of an operation for a zone; targets are not compressed (RFC 2782)."""
        records = []
        for srv in self._srv_targets(operation, zone):
            target = self.names.target_wire(srv.endpoint)
            fields = (self.ttl_s, _SRV_FIELDS_BYTES + len(target), srv.priority, srv.weight, srv.port)
            records.append(_SRV_RECORD.pack(_QUESTION_NAME, dns.rdatatype.SRV, IN, *fields) + target)
        return tuple(records)

    def address_record(self, endpoint: str, owner: bytes = _QUESTION_NAME_BYTES) -> bytes:
        """Return the address record of an endpoint; `owner` is the owner name in wire form."""
        address = endpoint_address(endpoint)
        record_type = dns.rdatatype.A if address.version == 4 else dns.rdatatype.AAAA
        fields = _RECORD_FIELDS.pack(record_type, IN, self.ttl_s, len(address.packed))
        return owner + fields + address.packed

    def draws(self, operation: str, zone: str, ip_version: int) -> list[tuple[str, ...]]:
        """Return the endpoints of each address answer in the rotation, all of the same IP version."""
        entries = [
            entry
            for entry in self.entries(operation, zone) or ()
            if endpoint_address(entry.endpoint).version == ip_version
        ]
        warm = [entry for entry in entries if entry.endpoint not in self.warming_up]
        layout = self.layout
        draws = draw_answers(warm or entries, layout.addresses_per_answer, layout.min_draws)
        return [tuple(endpoints) for endpoints in draws]

    def lookup(self, name: bytes, record_type: int, view: str) -> LookupResult:
        """Return the records that answer a question for an existing name.

        Args:
            name: The name in wire form and lower case.
            record_type: The type of the question.
            view: The zone that is meant by names without a zone.
        """
        info = self.names.info_by_name.get(name, _NO_INFO)
        zone = info.zone or view
        serves_table = info.kind in (NameKind.SERVICE, NameKind.HOST)
        if serves_table and self.entries(info.operation, zone) is None:
            return LookupResult(known=False)
        if record_type == dns.rdatatype.ANY:
            has_records = info.kind is not NameKind.EMPTY_NON_TERMINAL or name in self._endpoint_by_target
            return LookupResult((self._any_answer(name),)) if has_records else LookupResult()
        if serves_table:
            return self._lookup_operation(info, record_type, zone)
        if info.kind is NameKind.ORIGIN:
            return self._lookup_origin(record_type)
        if info.kind is NameKind.NAME_SERVER:
            endpoint = self.layout.name_server_address
        else:
            endpoint = self._endpoint_by_target.get(name, "")
        if endpoint and _IP_VERSION_BY_TYPE.get(record_type) == endpoint_address(endpoint).version:
            return LookupResult(records=(self.address_record(endpoint),))
        return LookupResult()

    def _lookup_origin(self, record_type: int) -> LookupResult:
        if record_type == dns.rdatatype.SOA:
            return LookupResult((self.soa(),))
        if record_type == dns.rdatatype.NS:
            return LookupResult((self.ns(),))
        return LookupResult()

    def _lookup_operation(self, info: NameInfo, record_type: int, zone: str) -> LookupResult:
        operation = info.operation
        if info.kind is NameKind.SERVICE and record_type == dns.rdatatype.SRV:
            records = self.srv_records(operation, zone)
            additional = self._target_addresses(operation, zone)
            return LookupResult(records=records, additional=additional, operation=operation, zone=zone)
        ip_version = _IP_VERSION_BY_TYPE.get(record_type)
        if info.kind is NameKind.HOST and ip_version:
            draws = tuple(self.draws(operation, zone, ip_version))
            return LookupResult(draws=draws, operation=operation, zone=zone)
        return LookupResult()

    def all_records(self, view: str) -> list[dns.rrset.RRset]:
        """Return all records but the SOA; the addresses of an operation are those of its first draw."""
        rrsets: list[dns.rrset.RRset] = [self.ns()]
        endpoint_by_address: dict[str, str] = {}
        for name_zone in (None, *self.names.zones):
            zone = name_zone or view
            for operation in self.names.operations:
                srv = self._srv_rdata(operation, zone)
                if srv:
                    owner = self.names.service_name(operation, name_zone)
                    rrsets.append(dns.rrset.from_rdata_list(owner, self.ttl_s, srv))
                    for entry in self.entries(operation, zone) or ():
                        endpoint_by_address[str(endpoint_address(entry.endpoint))] = entry.endpoint
                host = self.names.host_name(operation, name_zone)
                for ip_version in _IP_VERSIONS:
                    draws = self.draws(operation, zone, ip_version)
                    if draws:
                        rrsets.append(self._address_rrset(host, draws[0]))
        for endpoint in endpoint_by_address.values():
            rrsets.append(self._address_rrset(self.names.target_name(endpoint), (endpoint,)))
        return rrsets

    def _any_answer(self, name: bytes) -> dns.rrset.RRset:
        rdata = HINFO(IN, dns.rdatatype.HINFO, b"RFC8482", b"")
        return dns.rrset.from_rdata(dns.name.from_wire(name, 0)[0], self.ttl_s, rdata)

    def _srv_targets(self, operation: str, zone: str) -> list[_SrvTarget]:
        entries = self.entries(operation, zone) or ()
        has_local = any(entry.zone == zone for entry in entries)
        demotes_remote = self.layout.remote_entries == "spare" and has_local
        return [
            _SrvTarget(
                endpoint,
                int(demotes_remote and entry_zone != zone),
                weight,
                int(endpoint.rpartition(":")[2]),
            )
            for (endpoint, entry_zone, _), weight in zip(entries, srv_weights(entries), strict=True)
        ]

    def _srv_rdata(self, operation: str, zone: str) -> list[dns.rdata.Rdata]:
        return [
            SRV(
                IN,
                dns.rdatatype.SRV,
                srv.priority,
                srv.weight,
                srv.port,
                self.names.target_name(srv.endpoint),
            )
            for srv in self._srv_targets(operation, zone)
        ]

    def _target_addresses(self, operation: str, zone: str) -> tuple[bytes, ...]:
        """Return the addresses of the targets of an operation, one per name (that of all ports)."""
        endpoint_by_target = {
            self.names.target_wire(endpoint): endpoint
            for endpoint, _, _ in self.entries(operation, zone) or ()
        }
        return tuple(self.address_record(endpoint, name) for name, endpoint in endpoint_by_target.items())

    def _address_rrset(self, owner: dns.name.Name, endpoints: tuple[str, ...]) -> dns.rrset.RRset:
        """Return the addresses of endpoints in the given order, because most clients use the first."""
        rdatas: list[dns.rdata.Rdata] = []
        for endpoint in endpoints:
            address = endpoint_address(endpoint)
            if address.version == 4:
                rdatas.append(A(IN, dns.rdatatype.A, str(address)))
            else:
                rdatas.append(AAAA(IN, dns.rdatatype.AAAA, str(address)))
        rrset = dns.rrset.RRset(owner, IN, rdatas[0].rdtype)
        rrset.update_ttl(self.ttl_s)
        for rdata in rdatas:
            rrset.add(rdata)
        return rrset
