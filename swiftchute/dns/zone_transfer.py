"""Contents of zone transfers. No I/O, no clock.

Example:
    journal = ZoneJournal(history, names, layout, ttl_s)
    journal.record(serial, tables_by_zone, warming_up)  # the views serve these tables from now on
    journal.transfer(view, since_serial)                # the answer section of each message

The journal maps each serial to the table versions that were served under it; contents are loaded from the
version history. IXFR follows RFC 1995 (condensed to one difference), AXFR follows RFC 5936.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

import dns.rrset

from swiftchute.controller.table_contents import TableEntry
from swiftchute.dns.names import OriginNames
from swiftchute.dns.records import RecordLayout, TableEntries, ZoneRecords
from swiftchute.versions.encoding import WEIGHT_SCALE
from swiftchute.versions.history import VersionHistory

MAX_JOURNAL_ENTRIES = 256  # serials that IXFR can start from; for older ones the whole zone is sent
MAX_RECORDS_PER_MESSAGE = 200  # about 10 kB


@dataclass(frozen=True, slots=True)
class ViewTable:
    """The table of an operation as a view serves it.

    Attributes:
        version: Its version; empty if the entries match no version.
        entries: Its entries.
    """

    version: bytes
    entries: TableEntries


ViewTables = Mapping[str, Mapping[str, ViewTable]]  # by zone and operation


@dataclass(frozen=True, slots=True)
class _JournalEntry:
    """What the views served at a serial: by zone and operation a version, or entries that match none."""

    tables: Mapping[str, Mapping[str, bytes | TableEntries]]
    warming_up: frozenset[str]


class ZoneJournal:
    """The serials of one incarnation, newest last.

    Attributes:
        entries: What the views served, by serial.
    """

    def __init__(self, history: VersionHistory, names: OriginNames, layout: RecordLayout, ttl_s: int) -> None:
        """Create an empty journal; `ttl_s` is constant in transfers, so that it causes no differences."""
        self.entries: OrderedDict[int, _JournalEntry] = OrderedDict()
        self._history = history
        self._names = names
        self._layout = layout
        self._ttl_s = ttl_s

    def record(self, serial: int, tables: ViewTables, warming_up: frozenset[str]) -> None:
        """Add a serial with the tables that the views serve from now on."""
        stored = {
            zone: {operation: self._version_or_entries(table) for operation, table in by_operation.items()}
            for zone, by_operation in tables.items()
        }
        self.entries[serial] = _JournalEntry(stored, warming_up)
        while len(self.entries) > MAX_JOURNAL_ENTRIES:
            self.entries.popitem(last=False)

    def _version_or_entries(self, table: ViewTable) -> bytes | TableEntries:
        if table.version and self._history.content(table.version):
            return table.version
        return table.entries

    @property
    def serial(self) -> int:
        """The newest serial; 0 before the first."""
        return next(reversed(self.entries), 0)

    def records(self, serial: int) -> ZoneRecords | None:
        """Return the records of a serial; None if it or one of its versions is no longer retained."""
        journal_entry = self.entries.get(serial)
        if journal_entry is None:
            return None
        entries_by_zone: dict[str, dict[str, TableEntries]] = {}
        for zone, by_operation in journal_entry.tables.items():
            for operation, stored in by_operation.items():
                entries = self._load_entries(stored) if isinstance(stored, bytes) else stored
                if entries is None:
                    return None
                entries_by_zone.setdefault(zone, {})[operation] = entries
        return ZoneRecords(
            self._names, entries_by_zone, journal_entry.warming_up, self._ttl_s, serial, self._layout
        )

    def _load_entries(self, version: bytes) -> TableEntries | None:
        table = self._history.content(version)
        if table is None:
            return None
        return tuple(
            TableEntry(entry.endpoint, entry.zone, entry.weight_units / WEIGHT_SCALE)
            for entry in table.entries
        )

    def transfer(self, view: str, since_serial: int | None) -> list[list[dns.rrset.RRset]]:
        """Return the answer sections of a transfer, one per message; none if there is no serial yet.

        Args:
            view: The zone whose view is transferred.
            since_serial: The serial that the secondary holds. The transfer contains the difference from it;
                only the SOA record if nothing changed; the whole zone if it is None or no longer retained.
        """
        new = self.records(self.serial)
        if new is None:
            return []
        if since_serial == self.serial:
            return [[new.soa()]]
        old = self.records(since_serial) if since_serial is not None else None
        after = _split_rrsets(new.all_records(view))
        if old is None:
            return _split_messages([new.soa(), *after.values(), new.soa()])
        before = _split_rrsets(old.all_records(view))
        removed = [record for key, record in before.items() if key not in after]
        added = [record for key, record in after.items() if key not in before]
        return _split_messages([new.soa(), old.soa(), *removed, new.soa(), *added, new.soa()])


def _split_rrsets(rrsets: list[dns.rrset.RRset]) -> dict[tuple[object, ...], dns.rrset.RRset]:
    """Return an RRset for each single record, by name, type and data."""
    return {
        (rrset.name, rrset.rdtype, rdata): dns.rrset.from_rdata(rrset.name, rrset.ttl, rdata)
        for rrset in rrsets
        for rdata in rrset
    }


def _split_messages(records: list[dns.rrset.RRset]) -> list[list[dns.rrset.RRset]]:
    return [
        records[start : start + MAX_RECORDS_PER_MESSAGE]
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE)
    ]
