"""One ADS stream, SotW or delta, without I/O: requests and wanted resources in, replies and events out.

    stream = Stream(delta=True, token="3", seed=7)
    stream.want(wanted, push="0/4/17", seal=12, now=now)
    events = stream.request(request, now)
    replies, events = stream.progress(now)

Call `progress` after each `request` and `want`, and at `stream.wake`. A type has one reply under way at most;
what changes meanwhile waits in `wanted` and goes in the next. Times are nanoseconds and come in.

What it guards against is said where it stands; the source is the page "xDS REST and gRPC protocol" of the xDS
documentation (versions, nonces, ACK, NACK, ordering, wildcards, incremental xDS).
"""

import operator
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from swiftchute.xds import names
from swiftchute.xds.messages import Reply, Request, Violation
from swiftchute.xds.resources import Resource, Wanted, assignment, cluster

S = 1_000_000_000
NAMES_MOST = 16_384  # names that a client may subscribe to, by type: its memory here is bounded
REFUSED_KEPT = 16  # versions of a resource that a client refused, by which one is known not to be sent again
WAIT_FROM, WAIT_MOST = (
    1 * S,
    64 * S,
)  # after a refusal a changed version waits so long, twice as long each time


@dataclass(frozen=True)
class Applied:
    """Everything up to this mark is acknowledged."""

    seal: int


@dataclass(frozen=True)
class Refused:
    """A NACK: the resources of the reply, the client's words, and what is done: "apart", "part" or "kept"."""

    kind: str
    names: tuple[str, ...]
    detail: str
    answer: str


@dataclass(frozen=True)
class Stale:
    """An answer to a reply that was replaced or never made; ignored."""

    kind: str
    nonce: str


Event = Applied | Refused | Stale


@dataclass
class _Out:
    nonce: str
    since: int
    sent: dict[str, Resource]
    removed: tuple[str, ...]
    whole: bool


@dataclass
class _Refusals:
    versions: deque[str] = field(default_factory=lambda: deque(maxlen=REFUSED_KEPT))
    wait: int = WAIT_FROM
    again: int = 0


class _Kind:
    """What is known of one resource type on the stream."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.asked = self.wild = False
        self.named = False  # SotW: names were given once, so that none means none and no longer all
        self.names: set[str] = set()
        self.owed: set[str] = set()  # to be answered even if nothing changed
        self.owed_all = False
        self.held: dict[str, Resource] = {}  # acknowledged
        self.nonce = ""
        self.out: _Out | None = None
        self.refused: dict[str, _Refusals] = {}
        self.stamp = 0  # counts requests: what is held and asked for changes with them
        self.idle: tuple[Any, ...] | None = None  # what there was nothing to send for
        self.apart: set[str] = set()  # were refused together: each goes alone, to find which it was


class Stream:
    """The state of one stream; `delta` names its form, `token` makes its nonces differ from other
    streams'."""

    def __init__(self, delta: bool, token: str, seed: int, lines: bool = False) -> None:
        """Nothing is wanted and nothing known yet; `lines`: endpoints come line by line."""
        self.delta, self.token, self.random, self.lines = delta, token, random.Random(seed), lines
        self.barred: frozenset[str] = frozenset()  # servers that drain or are gone, whatever tables say
        self.kinds = {url: _Kind(url) for url in names.ORDER}
        self.wanted: Wanted | None = None
        self.push = ""
        self.seals: list[int] = []
        self.count = 0
        self.unknown = 0  # requests for types not served
        self.wake: int | None = None  # when a refused resource may be tried again
        self.since: int | None = None  # since when something is unanswered
        self.kept = False  # something wanted is held back because it was refused

    # -- in

    def want(self, wanted: Wanted, push: str, seal: int | None, now: int) -> None:
        """What the client should hold from now on, the push's version, and the mark it is to answer."""
        self.wanted, self.push = wanted, push
        if seal is not None:
            self.seals.append(seal)
        if self.since is None:
            self.since = now

    def request(self, request: Request, now: int) -> list[Event]:
        """Take in a request; raises `Violation` if the stream must end."""
        kind = self.kinds.get(request.kind)
        if kind is not None:
            kind.stamp += 1
        else:
            self.unknown += 1  # a type that is not served is never answered, as the protocol has it
            return []
        if self.since is None:
            self.since = now
        return (
            self._delta_request(kind, request, now) if self.delta else self._sotw_request(kind, request, now)
        )

    def _sotw_request(self, kind: _Kind, request: Request, now: int) -> list[Event]:
        if request.nonce != kind.nonce and request.nonce:
            # of a reply that was replaced, or of an earlier stream: the client will answer the newest one
            # with the names it wants then (an ACK for the old one must not count for the new)
            return [Stale(kind.url, request.nonce)]
        events = []
        if kind.out and request.nonce:
            events = self._answered(kind, request, now)
        first, kind.asked = not kind.asked, True
        given = set(request.names)
        if len(given) > NAMES_MOST:
            raise Violation("RESOURCE_EXHAUSTED", f"{len(given)} names of one type; {NAMES_MOST} at most")
        kind.named |= bool(given)
        wild = "*" in given or not kind.named and kind.url in names.WHOLE
        given.discard("*")
        kind.owed |= given - kind.names
        kind.owed_all |= (wild and not kind.wild) or (first and not given)
        for name in kind.names - given:  # no longer asked for: the client has dropped it
            kind.owed.discard(name)
            if not wild:
                kind.held.pop(name, None)
        kind.names, kind.wild = given, wild
        return events

    def _delta_request(self, kind: _Kind, request: Request, now: int) -> list[Event]:
        events: list[Event] = []
        if request.nonce:
            if kind.out and request.nonce == kind.out.nonce:
                events = self._answered(kind, request, now)
            else:
                events = [Stale(kind.url, request.nonce)]
        # names change with every request, a stale one too: they are told once and not repeated
        first, kind.asked = not kind.asked, True
        if first:
            for name, version in list(request.initial.items())[:NAMES_MOST]:
                kind.held[name] = Resource(kind.url, name, b"", version)
        added, gone = set(request.subscribe), set(request.unsubscribe)
        if "*" in added or (first and not added and not gone and kind.url in names.WHOLE):
            kind.wild = True
        if "*" in gone:
            kind.wild = False
        added.discard("*")
        kind.names = (kind.names | added) - gone
        if len(kind.names) > NAMES_MOST:
            raise Violation(
                "RESOURCE_EXHAUSTED", f"{len(kind.names)} names of one type; {NAMES_MOST} at most"
            )
        kind.owed = (kind.owed | added) - gone
        if first:  # versions told at a reconnect: only what differs is owed
            kind.owed -= request.initial.keys()
        for name in gone:
            if name.endswith("/*"):
                for line in [n for n in kind.held if n.startswith(name[:-1])]:
                    kind.held.pop(line)
            elif not kind.wild:
                kind.held.pop(name, None)
        return events

    def _answered(self, kind: _Kind, request: Request, now: int) -> list[Event]:
        out, kind.out = kind.out, None
        assert out is not None
        changed = {n: r for n, r in out.sent.items() if kind.held.get(n) is not r}
        if request.error is None:
            if out.whole:
                kind.held = dict(out.sent)
            else:
                kind.held |= out.sent
            for name in out.removed:
                kind.held.pop(name, None)
            for name in changed:
                kind.apart.discard(name)
                if self.wanted and self.wanted[kind.url].get(name) is out.sent[name]:
                    kind.refused.pop(name, None)  # it took the wanted version: all is well again
            return []
        # A NACK is not an answer: what was held before stands.
        if len(changed) > 1:
            kind.apart |= changed.keys()
            return [Refused(kind.url, tuple(sorted(changed)), request.error, "apart")]
        for name, resource in changed.items():
            refusals = kind.refused.setdefault(name, _Refusals())
            refusals.versions.append(resource.version)
            refusals.again = now + int(refusals.wait * self.random.uniform(0.5, 1.0))
            refusals.wait = min(2 * refusals.wait, WAIT_MOST)
            kind.apart.discard(name)
        answer = "kept"
        for name in changed:
            if self._part(kind, name) is not None:
                answer = "part"
        return [Refused(kind.url, tuple(changed), request.error, answer)]

    # -- out

    def progress(self, now: int) -> tuple[list[Reply], list[Event]]:
        """The replies that may go now, and what has become of marks."""
        replies: list[Reply] = []
        self.wake, self.kept = None, False
        if self.wanted is None:
            return [], []
        leaving = self._leaving()
        for url in names.ORDER:
            kind = self.kinds[url]
            if not kind.asked or kind.out is not None:
                continue
            # what it was worked out from is what it was when nothing was to be sent: it still is not
            basis = (self.wanted[url], self.barred, kind.stamp, self.kinds[names.CDS].stamp, leaving)
            if not kind.refused and kind.idle and all(map(operator.is_, basis, kind.idle)):
                continue
            if url not in (names.LDS, names.RDS) or self._ready():
                reply = self._reply(kind, self._chosen(kind, leaving, now), leaving, now)
                kind.idle = None if reply else basis
                if reply:
                    replies.append(reply)
        if replies or any(kind.out for kind in self.kinds.values()) or not self._settled():
            return replies, []
        self.since = None
        events: list[Event] = [Applied(self.seals[-1])] if self.seals else []
        self.seals = []
        return [], events

    def _wanted_names(self, kind: _Kind) -> Iterable[str]:
        assert self.wanted is not None
        wanted = self.wanted[kind.url]
        if kind.wild:
            return wanted.keys()
        if kind.url == names.LEDS:
            return [n for given in kind.names for n in self.wanted.lines(given)]
        return kind.names & wanted.keys()

    def _chosen(self, kind: _Kind, leaving: bool, now: int) -> dict[str, Resource]:
        """What the client should hold of a type: the wanted, or what stands in for what it refused."""
        assert self.wanted is not None
        wanted = self.wanted[kind.url]
        chosen = {name: wanted[name] for name in self._wanted_names(kind)}
        if kind.url in (names.CDS, names.EDS) and wanted:
            aliases = ((name, self._alias(kind, name)) for name in kind.names - chosen.keys())
            chosen |= {name: made for name, made in aliases if made is not None}
        for name in chosen.keys() & kind.refused.keys():
            pick = self._instead(kind, name, chosen.pop(name), now)
            if pick is not None:
                chosen[name] = pick
        if leaving:
            # make before break: what the old routes name stays until the new ones are acknowledged
            for name, resource in self._staying(kind).items():
                chosen.setdefault(name, resource)
        return chosen

    def _staying(self, kind: _Kind) -> dict[str, Resource]:
        """What is held; of lines, not those of barred servers, unless a table would have no other.

        A client that refuses its new tables goes by its old ones, perhaps of another planner: a drain must
        reach it there, and a line taken away is the one order that says nothing a client could refuse.
        """
        if kind.url != names.LEDS or not self.barred:
            return kind.held
        stays: dict[str, Resource] = {}
        tables: dict[str, dict[str, Resource]] = {}
        for name, resource in kind.held.items():
            parts = names.line_parts(name)
            if parts is None or parts[2] not in self.barred:
                stays[name] = resource
            tables.setdefault(parts[0] if parts else "", {})[name] = resource
        for held in tables.values():
            if not held.keys() & stays.keys():
                stays |= held
                self.kept = True
        return stays

    def _alias(self, kind: _Kind, name: str) -> Resource | None:
        """A table's old name, still asked for by a client that was moved or comes from another planner.

        It gets what the client's own table holds now, under the old name, until the client drops it. Without
        this its old routes would name nothing while it takes in the new ones, and drains could not reach it.
        """
        assert self.wanted is not None
        routes, table = self.wanted[names.RDS], name.partition("/")[0].partition("~")[0]
        if kind.url == names.CDS:
            if self.delta or names.operation_of(name) not in routes or not names.is_table(table):
                return None  # a delta client keeps a cluster until it is told otherwise
            return cluster(name, table)
        if kind.url != names.EDS or self.lines or not names.is_table(name):
            return None
        clusters = self.kinds[names.CDS]
        asked = [
            names.operation_of(n)
            for n in sorted(clusters.names | clusters.held.keys())
            if n.startswith(table + "/")
        ]
        for route in [routes[op] for op in asked if op in routes] or routes.values():
            for made in (self.wanted[names.CDS][ref] for _, ref in route.refs):
                ours = self.wanted[names.EDS][made.refs[0][1]]
                return assignment(name, ours.lines, ours.level)
        return None

    def _instead(self, kind: _Kind, name: str, wanted: Resource, now: int) -> Resource | None:
        """For a resource the client refused: never the same again; drains still go, in the smallest form."""
        refusals = kind.refused[name]
        if wanted.version not in refusals.versions:
            if now >= refusals.again:
                return wanted
            self.wake = min(self.wake or refusals.again, refusals.again)
        self.kept = True
        part = self._part(kind, name)
        return part if part is not None else kind.held.get(name)

    def _part(self, kind: _Kind, name: str) -> Resource | None:
        """What the client holds less the barred servers.

        All that stays in it was accepted before, so it is the form least likely to be refused, and what
        leaves must leave: a drain that a NACK holds up is a rule about to break. None if there is nothing to
        take away, if nothing would be left, or if this was refused too.
        """
        held = kind.held.get(name)
        if held is None or not held.lines:
            return None
        lines = tuple(line for line in held.lines if line[0] not in self.barred)
        if not lines or len(lines) == len(held.lines):
            return None
        part = assignment(name, lines, held.level)
        return None if part.version in kind.refused[name].versions else part

    def _reply(self, kind: _Kind, chosen: dict[str, Resource], leaving: bool, now: int) -> Reply | None:
        bound = bool(self.wanted and self.wanted[names.LDS])
        whole = not self.delta and kind.url in names.WHOLE
        if whole and not bound:
            return None  # an empty whole state would tell the client that nothing exists
        changed = {n for n, r in chosen.items() - kind.held.items() if not self._at(kind, r)}
        owed = kind.owed & chosen.keys() if not kind.owed_all else set(chosen)
        if kind.apart & changed:
            changed, owed = {min(kind.apart & changed)}, set()
        removed: tuple[str, ...] = ()
        if whole:
            # what is not named is gone, so what may not go out yet goes as the client holds it
            stays = {n: kind.held[n] for n in chosen.keys() & kind.held.keys()}
            sent = stays | {n: chosen[n] for n in changed}
            if not (changed or kind.owed or kind.owed_all or kind.held.keys() - sent.keys()):
                return None
            kind.owed = set()
        else:
            sent = {n: chosen[n] for n in changed | owed}
            if self.delta and bound:
                missing = {n for n in kind.owed if n not in chosen and not n.endswith("/*")}
                gone = kind.held.keys() - chosen.keys()
                removed = tuple(sorted(missing | gone))
                if removed and (kind.apart or kind.refused):
                    sent = {}  # alone: what is added beside it might be refused, and the removal with it
            if not sent and not removed:
                return None
        sent = dict(sorted(sent.items()))
        self.count += 1
        kind.nonce = f"{self.token}-{self.count}"
        kind.out = _Out(kind.nonce, now, sent, removed, whole)
        kind.owed -= sent.keys() | set(removed)
        kind.owed_all = False
        return Reply(kind.url, self.push, kind.nonce, tuple(sent.values()), removed)

    # -- order

    def _leaving(self) -> bool:
        """Whether routes the client holds (or should get) are not the wanted ones yet."""
        assert self.wanted is not None
        routes, wanted = self.kinds[names.RDS], self.wanted[names.RDS]
        if not routes.asked:
            return True  # nothing is taken away before the client's routes are known
        return not wanted or not all(self._at(routes, wanted[n]) for n in self._wanted_names(routes))

    @staticmethod
    def _at(kind: _Kind, wanted: Resource) -> bool:
        held = kind.held.get(wanted.name)
        return held is wanted or (held is not None and held.version == wanted.version)

    def _reached(self, refs: set[tuple[str, str]], at_wanted: bool) -> bool:
        """Whether the client has acknowledged these resources and all that they name in turn, each
        looked at once."""
        assert self.wanted is not None
        while refs:
            below: set[tuple[str, str]] = set()
            for url, name in refs:
                kind, wanted = self.kinds[url], self.wanted[url].get(name)
                if url == names.LEDS:
                    if name not in kind.names or not self._holds_lines(
                        kind, self.wanted.lines(name), at_wanted
                    ):
                        return False
                    continue
                held = kind.held.get(name)
                if held is None or (at_wanted and wanted is not None and not self._at(kind, wanted)):
                    return False
                below.update((wanted or held).refs)
            refs = below
        return True

    def _holds_lines(self, kind: _Kind, lines: dict[str, Resource], at_wanted: bool) -> bool:
        if not at_wanted:  # one line is enough for a route to be of use
            return not kind.held.keys().isdisjoint(lines)
        # as a rule they are the very same objects; those told at a reconnect are compared by version
        return lines.items() <= kind.held.items() or all(self._at(kind, line) for line in lines.values())

    def _ready(self) -> bool:
        """Whether new routes may go out: all that they name is held, where the client takes clusters unasked.

        A client that asks for clusters by name learns of them from the routes, and keeps the old ones
        meanwhile.
        """
        assert self.wanted is not None
        if not self.kinds[names.CDS].wild:
            return True
        return self._reached({ref for route in self.wanted[names.RDS].values() for ref in route.refs}, False)

    def _settled(self) -> bool:
        """Whether all that is wanted is held, from the listeners down."""
        assert self.wanted is not None
        if self.kept or any(kind.apart for kind in self.kinds.values()):
            return False
        listeners = self.wanted[names.LDS]
        if not listeners:
            return True
        asked = {(names.LDS, name) for name in self._wanted_names(self.kinds[names.LDS])}
        return bool(asked) and self._reached(asked, True)
