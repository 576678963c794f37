"""The DNS front without I/O: zones' views as proxies of the core, and queries answered from what they hold.

    front = Front(core, settings, plumbing, seed)
    front.start(now)                                     # the views join
    front.turn(core.turn(now), now)                      # take pushes; front.due says when to be called again
    reply = front.datagram(data, source, view, now)      # bytes, or None: silence
    replies = front.stream(data, source, view, now)      # of a message that came by TCP
    front.notifies(now); front.notified(source, data)

A view is a proxy like any other: the core binds it, pushes to it, and its tables pass the guard. What it
acknowledges is different: a version is held once no answer of an earlier one can be in anybody's cache, its
time to live after the last was given. So whatever the planner and its guard do about proxies that have not
acknowledged yet holds for resolvers too. What is decided here: when that is, and what a query gets; how long
answers live is `lease`, who gets how many `limits`, the rest is encoding.
"""

import io
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import dns.rcode
import dns.rdataclass
import dns.rdatatype

from swiftchute.api.settings import Settings
from swiftchute.controller.controller import Controller, RoundOutput
from swiftchute.controller.load_aggregation import DemandEntry, LoadReport
from swiftchute.controller.table_contents import TableContent
from swiftchute.dns.answer_cache import Counter, Ready
from swiftchute.dns.names import Names
from swiftchute.dns.query import EMPTY, SIZE_LEAST, SIZE_MOST, Bad, Network, Query, compose, plain, read
from swiftchute.dns.rate_limit import CUT, DROP, Limiter
from swiftchute.dns.records import Lines, Records, Shape
from swiftchute.dns.ttl import Lease
from swiftchute.dns.zone_transfer import Journal, Secondaries

S = 1_000_000_000
CHECK = S // 4  # how often what has settled is looked for, and rates are
TCP_MOST = 65_535
SLACK = S // 4  # on the way to a resolver, whose clock starts when an answer comes
_TRANSFERS = (dns.rdatatype.AXFR, dns.rdatatype.IXFR)


@dataclass
class _View:
    """One zone's view: what it was pushed, and the newest mark it has not answered."""

    zone: str
    held: dict[str, TableContent]  # by operation
    seal: int | None = None
    waits: bool = False  # pushed, and answers of before may still be in caches
    until: int = 0


class Front:
    """All views of one planner's life."""

    def __init__(
        self,
        controller: Controller,
        settings: Settings,
        plumbing: Mapping[str, Any],
        seed: int,
        offset: int = 0,
    ) -> None:
        """`plumbing` is the `dns` block of the settings; `offset` is wall clock minus the planner's clock,
        fixed: serials begin at the wall clock's seconds, past those of earlier lives."""
        self.offset = offset
        self.controller, self.set, self.seed = controller, settings, seed
        p = self.plumbing = plumbing
        operations = [op.name for op in settings.operations]
        self.names = Names(p["origin"], operations, settings.zones)
        host, port = p["listen"] or ("localhost", 0)
        server = "" if host == "localhost" else f"{host}:{port}"
        self.shape = Shape(p["addresses"], p["draws"], p["borrowed"], expire=p["expire"] // S, server=server)
        self.lease = Lease(
            settings.drain_grace_ns, settings.max_no_endpoint_ns, p["ttl_most"] // S, p["queries"]
        )
        self.limiter = Limiter(p["responses"], p["slip"], p["strangers"])
        self.journal = Journal(controller.history, self.names, self.shape, self.lease.bound)
        self.secondaries = Secondaries(
            p["secondaries"], self.names.origin, p["expire"], self.lease.bound * S, seed
        )
        self.subnets: list[tuple[Network, str]] = sorted(
            ((net, zone) for zone, net in p["subnets"]), key=lambda row: -row[0].prefixlen
        )
        self.views = {self.proxy(zone): _View(zone, {}) for zone in settings.zones}
        self.counters: dict[tuple[str, str], Counter] = {}
        self.told: dict[tuple[str, str], int] = {}
        self.ready: Ready | None = None
        self.contents: dict[str, dict[str, tuple[bytes, Lines]]] = {}
        self.cold: frozenset[str] = frozenset()
        self.barred = controller.unavailable_endpoints
        self.ttl = self.lease.bound
        self.rate = 0.0  # queries a second of late
        self.checked = self.reported = self.turned = 0
        self.counts = dict.fromkeys(("queries", "slow", "bad", "refused", "transfers"), 0)

    @staticmethod
    def proxy(zone: str) -> str:
        """The id under which a zone's view joins; the xDS front refuses a node that calls itself so."""
        return f"dns/{zone}"

    # -- the planner's side

    def start(self, now: int) -> None:
        """The views join the core."""
        self.checked = self.reported = now
        for name, view in self.views.items():
            self.controller.on_proxy_connected(name, view.zone, self.plumbing["rate"], True)

    def turn(self, turn: RoundOutput, now: int) -> None:
        """Take the pushes of a turn, and see which earlier answers are over."""
        moved, self.turned = False, now
        for name in (
            turn.overflowed_proxies
        ):  # no room in the channel: it joins anew, and serves what it has meanwhile
            if name in self.views:
                view = self.views[name]
                view.seal, view.waits = None, False
                self.controller.on_proxy_disconnected(name)
                self.controller.on_proxy_connected(name, view.zone, self.plumbing["rate"], False)
        for name, seal in turn.pushes:
            if name not in self.views:
                continue
            view, holding = self.views[name], self.controller.tables_of(name)
            if holding.tables_by_operation:  # else it is bound to nothing yet: what it served stays
                view.held = {op: holding.contents[table] for op, table in holding.tables_by_operation}
                moved = True
            view.seal = seal if seal is not None else view.seal
            view.waits = True
        if self.controller.unavailable_endpoints is not self.barred:
            self.barred, moved = self.controller.unavailable_endpoints, True
        if now - self.checked >= CHECK:
            moved |= self._check(now)
        if moved:
            self._rebuild(now)
        self._settle(now)

    def _check(self, now: int) -> bool:
        """Count queries, report them, and decide anew how long answers live; whether that is another figure
        or a server is no longer cold."""
        span = now - self.checked
        self.checked = now
        given = sum(c.given for c in self.counters.values())
        self.rate += 0.5 * ((given - self.told.get(("", ""), 0)) * S / max(span, 1) - self.rate)
        self.told["", ""] = given
        if now - self.reported >= self.set.report_interval_ns:
            self._report(now)
        ttl = self.lease.ttl(self.rate, now)
        if ttl != self.ttl:
            self.controller.log_event(
                "answers live",
                seconds=ttl,
                most=self.lease.bound,
                queries=round(self.rate, 1),
                changes=len(self.lease.changes),
            )
        moved = ttl != self.ttl or self.controller.warming_endpoints(now) != self.cold
        self.ttl = ttl
        return moved

    def _report(self, now: int) -> None:
        """Each answer stands for so many invocations: nothing else is known of what resolvers' clients do."""
        span, self.reported = now - self.reported, now
        for name, view in self.views.items():
            rows = []
            for op in self.set.operations:
                counter = self.counters.get((view.zone, op.name))
                key = (view.zone, op.name)
                if counter is not None and counter.given > self.told.get(key, 0):
                    invs = (counter.given - self.told.get(key, 0)) * self.plumbing["calls_per_answer"]
                    rows.append(DemandEntry(op.name, max(round(invs), 1), 0))
                    self.told[key] = counter.given
            if rows:
                self.controller.on_load_report(name, LoadReport(span, tuple(rows), ()), now)

    def _lines(self, content: TableContent) -> Lines:
        """A table's lines less servers that drain or are gone: news of those may be ahead of the push. If
        nothing else were left they stay: an answer is never emptied."""
        open_ = tuple(line for line in content.entries if line[0] not in self.barred)
        return open_ or content.entries

    def _rebuild(self, now: int) -> None:
        """Make answers of what the views hold, if that is not what they were made of."""
        held: dict[str, dict[str, tuple[bytes, Lines]]] = {}
        levels = {}
        for view in self.views.values():
            for op, content in view.held.items():
                lines = self._lines(content)
                version = content.version if lines is content.entries else b""
                held.setdefault(view.zone, {})[op] = (version, lines)
                place = [o.name for o in self.set.operations].index(op)
                if self.plumbing["shed"] == "servfail":
                    levels[view.zone, op] = content.admission[place][0]
        cold = self.controller.warming_endpoints(now)
        old = self.ready.records if self.ready else None
        if not held:
            return
        same = old is not None and (old.ttl, old.levels, old.cold) == (self.ttl, levels, cold)
        if same and held == self.contents:
            return
        if held != self.contents:
            self.lease.changed(now)
        for view in self.views.values():
            if old and held.get(view.zone) != self.contents.get(view.zone):
                outs = [c.until for (zone, _), c in self.counters.items() if zone == view.zone]
                view.until = max(view.until, max(outs, default=0) + SLACK)
        serial = max(self.journal.serial + 1, (now + self.offset) // S) & 0xFFFFFFFF
        self.contents, self.cold = held, cold
        contents = {zone: {op: lines for op, (_, lines) in rows.items()} for zone, rows in held.items()}
        records = Records(self.names, contents, cold, self.ttl, serial, self.shape, levels)
        self.ready = Ready(records, self.counters, self.seed)
        self.journal.note(serial, held, cold)
        self.secondaries.changed(serial, now)

    def _settle(self, now: int) -> None:
        """Answer for views whose earlier answers are over."""
        others = self.secondaries.until(now)
        for name, view in self.views.items():
            if view.waits and now >= max(view.until, others):
                view.waits = False
                if view.seal is not None:
                    seal, view.seal = view.seal, None
                    self.controller.on_acknowledged(name, seal, now)
                self.controller.on_fully_acknowledged(name, now)

    @property
    def due(self) -> int:
        """When `turn` is to be called at the latest."""
        times = [self.checked + max(CHECK, self.set.report_interval_ns // 4)]
        times += [v.until for v in self.views.values() if v.waits and v.until > self.turned]
        if self.secondaries.due is not None:
            times.append(self.secondaries.due)
        return min(times)

    # -- queries

    def datagram(self, data: bytes, source: str, view: str, now: int) -> bytes | None:
        """The reply to a datagram."""
        self.counts["queries"] += 1
        verdict = self.limiter.asked(source, now)
        if verdict is DROP:
            return None
        try:
            query = self._read(data)
        except Bad as why:
            self.counts["bad"] += 1
            return why.reply
        if verdict is CUT:
            return compose(query, dns.rcode.NOERROR, *EMPTY, short=True)
        if query.type in _TRANSFERS and query.cls == dns.rdataclass.IN:
            replies = self._transfer(query, source, view, now, tcp=False)
            return replies[0] if replies else None
        return self._answer(query, view, min(query.size, SIZE_MOST) or SIZE_LEAST, now)

    def stream(self, data: bytes, source: str, view: str, now: int) -> list[bytes]:
        """The replies to a message that came by TCP."""
        self.counts["queries"] += 1
        self.limiter.proven(source, now)
        try:
            query = self._read(data)
        except Bad as why:
            self.counts["bad"] += 1
            return [why.reply] if why.reply is not None else []
        if query.type in _TRANSFERS and query.cls == dns.rdataclass.IN:
            return self._transfer(query, source, view, now, tcp=True)
        return [self._answer(query, view, TCP_MOST, now)]

    def _read(self, data: bytes) -> Query:
        query = plain(data)
        if query is not None:
            return query
        self.counts["slow"] += 1
        return read(data)

    def _answer(self, query: Query, view: str, limit: int, now: int) -> bytes:
        if query.cls != dns.rdataclass.IN or query.type in (dns.rdatatype.OPT, dns.rdatatype.TSIG):
            self.counts["refused"] += 1
            return compose(query, dns.rcode.REFUSED, *EMPTY)
        if query.options:
            if self.subnets:
                view = self._viewed(query.subnet, view)
            else:  # who does not go by subnets does not echo them (RFC 7871, 7.2.1)
                query = replace(query, options=b"")
        if self.ready is None:
            return compose(query, dns.rcode.SERVFAIL, *EMPTY)
        reply = self.ready.answer(query, view, limit, now)
        if reply is None:
            self.counts["refused"] += 1
            return compose(query, dns.rcode.REFUSED, *EMPTY)
        return reply

    def _viewed(self, subnet: Network | None, view: str) -> str:
        """The view of a client's subnet, by the longest that holds it."""
        for net, zone in self.subnets:
            if subnet is not None and net.version == subnet.version and subnet.subnet_of(net):
                return zone
        return view

    def _transfer(self, query: Query, source: str, view: str, now: int, tcp: bool) -> list[bytes]:
        """A transfer's messages. By datagram an AXFR is at fault, and an IXFR too large for one gets the SOA
        alone, at which the secondary comes again by TCP (RFC 1995, section 2)."""
        origin = self.names.origin.to_wire().lower()
        if not self.secondaries.allowed(view, source) or query.name.lower() != origin:
            self.counts["refused"] += 1
            return [compose(query, dns.rcode.REFUSED, *EMPTY)]
        if query.type == dns.rdatatype.AXFR and not tcp:
            return [compose(query, dns.rcode.FORMERR, *EMPTY)]
        since = query.serial if query.type == dns.rdatatype.IXFR else None
        sections = self.journal.transfer(view, since)
        if not sections:
            return [compose(query, dns.rcode.SERVFAIL, *EMPTY)]
        made = [_section(query, rows) for rows in sections]
        if not tcp and (len(made) > 1 or len(made[0]) > (min(query.size, SIZE_MOST) or SIZE_LEAST)):
            return [_section(query, sections[0][:1])]
        self.counts["transfers"] += 1
        self.secondaries.seen(view, source, self.journal.serial, self.journal.serial, now)
        return made

    def notifies(self, now: int) -> list[tuple[tuple[str, int], bytes]]:
        """NOTIFYs to send now."""
        return self.secondaries.take(now)

    def notified(self, source: str, data: bytes) -> None:
        """A datagram that came to where NOTIFYs are sent from."""
        self.secondaries.answered(source, data)


def _section(query: Query, rows: list[Any]) -> bytes:
    """A message with these records as its answer, names in full."""
    out = io.BytesIO()
    many = sum(row.to_wire(out) for row in rows)
    return compose(query, dns.rcode.NOERROR, many.to_bytes(2, "big") + bytes(4), out.getvalue())
