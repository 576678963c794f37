"""Answers worked out ahead: a question is looked up, copied and given its id. No I/O, no clock.

    ready = Ready(records, counters)
    reply = ready.answer(query, view, limit, now)    # bytes, or None: the name is not of here

An answer is made once a version, question and view; from then on it is a head, the question as it came (its
case is kept) and a tail, whose owners point back at the question.
Which of three forms goes out is decided by what the asker can take: whole, without the additional
addresses, or nothing and TC, so that it comes again by TCP.
"""

import io
import random
from dataclasses import dataclass, field

import dns.rcode
import dns.rrset

from swiftchute.dns.query import (
    EMPTY_SECTIONS,
    HEADER_BYTES,
    OPT_RECORD_BYTES,
    Query,
    Sections,
    compose_reply,
)
from swiftchute.dns.records import Found, Records

S = 1_000_000_000
MADE_MOST = 20_000  # answers kept of a version, by type and view; past it they are made again when asked for


@dataclass
class Counter:
    """How often answers of a zone's operation were given, and until when somebody may go by one."""

    given: int = 0
    until: int = 0


@dataclass
class _Made:
    """One question's answers; by turn the whole form, and the one without additional addresses."""

    found: Found
    code: int
    counter: Counter | None = None
    forms: list[Sections | None] = field(default_factory=lambda: [None])
    short: Sections | None = None
    turn: int = 0
    level: float = 1.0


class Ready:
    """The answers of one version of the records."""

    def __init__(self, records: Records, counters: dict[tuple[str, str], Counter], seed: int = 0) -> None:
        """`counters` by (zone, operation) go on over versions."""
        self.records, self.counters, self.random = records, counters, random.Random(seed)
        self.ttl = records.ttl * S
        self.made: dict[tuple[bytes, int, str], _Made] = {}
        self.origin = records.names.origin.to_wire().lower()
        out = io.BytesIO()
        records.soa().to_wire(out)  # names in full: it follows questions of any length
        self.negative: Sections = Sections(b"\0\0\0\1\0\0", out.getvalue())
        self.denied = _Made(Found(), dns.rcode.NXDOMAIN, forms=[self.negative])

    def answer(self, query: Query, view: str, limit: int, now: int) -> bytes | None:
        """The reply to a question of class IN; None if its name is not under the origin."""
        name = query.name.lower()
        made = self.made.get((name, query.record_type, view))
        if made is None:
            if not within(name, self.origin):
                return None
            if self.records.exists(name):
                made = self._make(name, query.record_type, view)
                if len(self.made) >= MADE_MOST:
                    self.made.clear()
                self.made[name, query.record_type, view] = made
            else:  # names that are not there may be any: they are not kept
                made = self.denied
        if made.counter is not None:
            made.counter.given += 1
            if made.level < 1 and self.random.random() >= made.level:
                return compose_reply(query, dns.rcode.SERVFAIL, EMPTY_SECTIONS)
            made.counter.until = max(made.counter.until, now + self.ttl)
        form = self._form(made)
        room = limit - HEADER_BYTES - len(query.question)
        if query.payload_size_bytes:
            room -= OPT_RECORD_BYTES + len(query.reply_options)
        if len(form.records) > room and made.found.beside:
            if made.short is None:
                made.short = _rows(made.found.rows, ())
            form = made.short
        if len(form.records) > room:
            return compose_reply(query, made.code, EMPTY_SECTIONS, truncated=True)
        return compose_reply(query, made.code, form)

    def _make(self, name: bytes, kind: int, view: str) -> _Made:
        found = self.records.lookup(name, kind, view)
        if not found.ready:
            return _Made(found, dns.rcode.SERVFAIL, forms=[EMPTY_SECTIONS])
        if not (found.answer or found.rows or found.drawn):
            return _Made(found, dns.rcode.NOERROR, forms=[self.negative])
        made = _Made(found, dns.rcode.NOERROR, forms=[None] * max(len(found.drawn), 1))
        if found.operation:
            key = (found.zone, found.operation)
            made.counter = self.counters.setdefault(key, Counter())
            made.level = self.records.levels.get(key, 1.0)
        return made

    def _form(self, made: _Made) -> Sections:
        """The whole form whose turn it is."""
        turn = made.turn = (made.turn + 1) % len(made.forms)
        form = made.forms[turn]
        if form is None:
            found = made.found
            if found.answer:
                form = _sets(found.answer)
            elif found.drawn:
                form = _rows(tuple(self.records.row(server) for server in found.drawn[turn]), ())
            else:
                form = _rows(found.rows, found.beside)
            made.forms[turn] = form
        return form


def within(name: bytes, origin: bytes) -> bool:
    """Whether a name (both in wire form, in lower case) is the origin or under it, label by label."""
    at = 0
    while len(name) - at > len(origin):
        at += name[at] + 1
    return name[at:] == origin


def _rows(answer: tuple[bytes, ...], beside: tuple[bytes, ...]) -> Sections:
    """Records in wire form as they follow a question."""
    counts = len(answer).to_bytes(2, "big") + b"\0\0" + len(beside).to_bytes(2, "big")
    return Sections(counts, b"".join((*answer, *beside)))


def _sets(answer: tuple[dns.rrset.RRset, ...]) -> Sections:
    """The library's rendering of sets of records, names in full."""
    out = io.BytesIO()
    many = sum(made.to_wire(out) for made in answer)
    return Sections(many.to_bytes(2, "big") + bytes(4), out.getvalue())
