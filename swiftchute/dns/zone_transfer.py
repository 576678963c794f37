"""Zone transfers to listed secondaries, and what is known of them. No I/O, no clock of its own.

    journal = Journal(history, names, shape, ttl)
    journal.note(serial, held, cold)                   # what the views hold from now on, by version
    journal.transfer(view, since)                      # messages' answer sections: whole, or what changed
    others = Secondaries({("north", "127.0.0.1"): ..}, expire, ttl, seed)
    others.changed(serial, now); others.take(now)      # NOTIFYs that are due
    others.seen("north", "127.0.0.1", serial, now); others.until("north", serial, now)

A zone's history is the tables': the journal holds serials and the versions that were in force, contents are
taken from the tables' history. IXFR by RFC 1995 (condensed to one step), AXFR by RFC 5936, NOTIFY by RFC
1996. A secondary that does not fetch a change goes on answering by the old until its expire time: until then
the views it serves have not settled.
"""

import random
from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from swiftchute.dns.names import Names
from swiftchute.dns.records import Lines, Records, Shape
from swiftchute.versions.encoding import WEIGHT_SCALE
from swiftchute.versions.history import VersionHistory

S = 1_000_000_000
KEPT = 256  # serials of which a difference can be given; past it the whole goes out
ROWS = 200  # records a message of a transfer: some ten kilobytes
TRIES, WAIT = 5, S // 2  # of a NOTIFY, and the first wait; it doubles, cut by chance
Held = Mapping[str, Mapping[str, tuple[bytes, Lines]]]  # by zone and operation: a version and its lines


@dataclass(frozen=True)
class _Entry:
    held: Mapping[str, Mapping[str, bytes | Lines]]  # the version, or lines that no history has
    cold: frozenset[str]


class Journal:
    """Serials of one planner's life."""

    def __init__(self, history: VersionHistory, names: Names, shape: Shape, ttl: int) -> None:
        """`ttl`: of all records in transfers, so that it is no difference."""
        self.history, self.names, self.shape, self.ttl = history, names, shape, ttl
        self.entries: OrderedDict[int, _Entry] = OrderedDict()

    def note(self, serial: int, held: Held, cold: frozenset[str]) -> None:
        """From now on this is the serial."""
        kept = {
            zone: {op: version if version and self.history.content(version) else lines
                   for op, (version, lines) in rows.items()}
            for zone, rows in held.items()
        }  # fmt: skip
        self.entries[serial] = _Entry(kept, cold)
        while len(self.entries) > KEPT:
            self.entries.popitem(last=False)

    @property
    def serial(self) -> int:
        """The newest serial; 0 before there is one."""
        return next(reversed(self.entries), 0)

    def records(self, serial: int) -> Records | None:
        """The records of a serial; None if it, or a version that was in force, is no longer kept."""
        entry = self.entries.get(serial)
        if entry is None:
            return None
        contents: dict[str, dict[str, Lines]] = {}
        for zone, rows in entry.held.items():
            for op, kept in rows.items():
                if isinstance(kept, bytes):
                    table = self.history.content(kept)
                    if table is None:
                        return None
                    kept = tuple((e.endpoint, e.zone, e.weight_units / WEIGHT_SCALE) for e in table.entries)
                contents.setdefault(zone, {})[op] = kept
        return Records(self.names, contents, entry.cold, self.ttl, serial, self.shape)

    def transfer(self, view: str, since: int | None) -> list[list[dns.rrset.RRset]]:
        """The answer sections of a transfer: of what changed since a serial, of the whole if that is not
        known (or not asked: None), or the SOA alone if nothing changed. Empty: there is no serial yet."""
        new = self.records(self.serial)
        if new is None:
            return []
        if since == self.serial:
            return [[new.soa()]]
        old = self.records(since) if since is not None else None
        if old is None:
            return _messages([new.soa(), *_rows(new.whole(view)).values(), new.soa()])
        before, after = _rows(old.whole(view)), _rows(new.whole(view))
        gone = [row for key, row in before.items() if key not in after]
        added = [row for key, row in after.items() if key not in before]
        return _messages([new.soa(), old.soa(), *gone, new.soa(), *added, new.soa()])


def _rows(found: list[dns.rrset.RRset]) -> dict[tuple[object, ...], dns.rrset.RRset]:
    """One record a set, by what it says."""
    return {
        (made.name, made.rdtype, rdata): dns.rrset.from_rdata(made.name, made.ttl, rdata)
        for made in found
        for rdata in made
    }


def _messages(rows: list[dns.rrset.RRset]) -> list[list[dns.rrset.RRset]]:
    return [rows[start : start + ROWS] for start in range(0, len(rows), ROWS)]


@dataclass
class _Secondary:
    address: tuple[str, int]
    serial: int = 0
    since: int | None = None  # when it was last known to hold `serial`
    behind: int | None = None  # when the first serial came that it does not hold
    told: int = 0  # NOTIFYs of the newest serial
    due: int | None = None
    id: int = field(default=-1)


class Secondaries:
    """Listed secondaries by view; whom else asks for a transfer is refused."""

    def __init__(
        self, listed: Collection[tuple[str, tuple[str, int]]], origin: dns.name.Name, expire: int, ttl: int,
        seed: int,
    ) -> None:  # fmt: skip
        """`listed`: (view, (host, port)); `expire` and `ttl` in ns."""
        self.origin, self.expire, self.ttl = origin, expire, ttl
        self.random = random.Random(seed)
        self.by: dict[tuple[str, str], list[_Secondary]] = {}
        for view, address in listed:
            self.by.setdefault((view, address[0]), []).append(_Secondary(address))
        self.lost = 0  # NOTIFYs that nobody answered, to the last try

    def allowed(self, view: str, host: str) -> bool:
        """Whether a transfer may go there."""
        return (view, host) in self.by

    def changed(self, serial: int, now: int) -> None:
        """A new serial: all are told."""
        for rows in self.by.values():
            for one in rows:
                one.told, one.due = 0, now
                if one.behind is None and one.serial != serial:
                    one.behind = now

    def seen(self, view: str, host: str, serial: int, newest: int, now: int) -> None:
        """Somebody there was given this serial, or says that it holds it."""
        for one in self.by.get((view, host), ()):
            one.serial, one.since = serial, now
            if serial == newest:
                one.behind = one.due = None

    def until(self, now: int) -> int:
        """When nobody answers by what was before the newest serial, nor holds such an answer."""
        found = 0
        for rows in self.by.values():
            for one in rows:
                if one.since is None:
                    continue  # it took no zone from this planner's life: nothing is known of it
                if one.behind is not None:
                    # it may have looked, and found nothing new, until the new serial came; from then on it
                    # serves the old until that expires, and its last answer lives on
                    found = max(found, one.behind + self.expire + self.ttl)
                else:
                    found = max(found, one.since + self.ttl)
        return found

    def take(self, now: int) -> list[tuple[tuple[str, int], bytes]]:
        """The NOTIFYs to send now: at most `TRIES` a serial and secondary."""
        out = []
        for rows in self.by.values():
            for one in rows:
                if one.due is None or now < one.due:
                    continue
                if one.told >= TRIES:
                    one.due = None
                    self.lost += 1
                    continue
                one.id = self.random.getrandbits(16)
                out.append((one.address, self._notify(one.id)))
                wait = (WAIT << one.told) * self.random.uniform(0.75, 1.25)
                one.told, one.due = one.told + 1, now + int(wait)
        return out

    def _notify(self, number: int) -> bytes:
        made = dns.message.Message(id=number)
        made.set_opcode(dns.opcode.NOTIFY)
        made.flags |= dns.flags.AA
        made.question = [dns.rrset.RRset(self.origin, dns.rdataclass.IN, dns.rdatatype.SOA)]
        return made.to_wire()

    def answered(self, host: str, data: bytes) -> None:
        """A reply to a NOTIFY: it is not told again of this serial."""
        if len(data) < 12 or data[2] & 0xF8 != 0xA0:  # a reply of opcode 4
            return
        for (_, known), rows in self.by.items():
            for one in rows:
                if known == host and one.id == int.from_bytes(data[:2], "big"):
                    one.due = None

    @property
    def due(self) -> int | None:
        """When a NOTIFY is due."""
        times = [one.due for rows in self.by.values() for one in rows if one.due is not None]
        return min(times, default=None)
