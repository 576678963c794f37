"""From a round's orders to one `push` message a proxy. No I/O, and nothing waits here.

    writer = PushEncoder(settings, orders)
    writer.joined(proxy, fresh); writer.left(proxy)
    writer.listed(entries, whole)
    data, lines = writer.message(proxy, seal)      # from what was last written to what it should hold now

Each proxy has what was last written on its stream: by operation the content of its table. A message is the
difference to what the orders say now, so that a proxy for which nothing could be written for a while gets one
message, whatever was ordered meanwhile. Proxies of one table that hold the same share the bytes of a round.

A whole table (`full`) leaves servers that a proxy was told to shut out shut, whoever told it so. A proxy that
holds orders of another planner (`fresh` false) may shut out servers that nobody here withdrew. So what goes
to it first lets back the servers among its lines that may once have been shut: those that were listed as not
ready before, or whose restart is known.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.settings import Settings
from swiftchute.controller.assignments import Assignments
from swiftchute.platform import wire_messages
from swiftchute.platform.errors import MessageTooLargeError

PART_LINES = 2000  # lines of one part of a message; far below the protocol's size of a message
PARTS_MOST = 64  # parts of one message, the protocol's limit
GONE_MOST = 1000  # ids that left the list and are remembered: they may come back, late reports name them
CACHE_MOST = 64  # encoded messages that proxies of a round may share


@dataclass(frozen=True, eq=False)
class Content:
    """What a table holds: weights by server, and by operation's place the level and the way of further
    tries (absent where none was set)."""

    number: tuple[int, int]  # the module's life, and the table in it
    lines: dict[str, float]
    levels: dict[int, tuple[float, int]]


@dataclass
class _Proxy:
    """What was written on a proxy's stream: by operation's place its content, and servers shut out."""

    strange: bool  # it may shut out servers by the word of another planner
    written: dict[int, Content] = field(default_factory=dict)
    shut: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)  # of a strange one: servers whose state is known


class PushEncoder:
    """What was written to each joined proxy."""

    def __init__(self, settings: Settings, orders: Assignments) -> None:
        """Nothing is written yet."""
        self.set, self.orders = settings, orders
        self.names = [op.name for op in settings.operations]
        self.proxies: dict[Any, _Proxy] = {}
        self.contents: dict[int, tuple[int, Content]] = {}
        self.life = 0
        self.started: dict[str, int] = {}  # listed servers, by their last start
        self.suspect: set[str] = set()  # of those, which some planner may have shut out
        self.unready: set[str] = set()  # listed as draining, or gone
        self.gone: dict[str, None] = {}  # ids that left the list, the newest last: they may come back
        self.cache: dict[Any, tuple[bytes, int]] = {}

    def fresh(self, orders: Assignments) -> None:
        """The module was started anew: its tables are others, whatever their numbers."""
        self.life += 1
        self.orders = orders
        self.contents.clear()
        self.cache.clear()

    def joined(self, proxy: Any, fresh: bool) -> None:
        """A proxy's stream begins."""
        self.proxies[proxy] = _Proxy(not fresh)

    def left(self, proxy: Any) -> None:
        """A proxy's stream is over."""
        self.proxies.pop(proxy, None)

    def listed(self, entries: Iterable[EndpointRecord], whole: bool) -> None:
        """News of the list: which servers may have been shut out by somebody."""
        first = not self.started
        if whole:
            named = {entry.endpoint for entry in entries}
            for server in [s for s in self.started if s not in named]:
                self._gone(server)
        for server, _, _, _, state, _, started in entries:
            known = self.started.get(server)
            if state == "gone":
                self._gone(server)
                continue
            # a new id: nobody can have shut it out before
            new = known is None and not first and server not in self.gone
            if state != "ready" or (known != started and not new and started):
                self.suspect.add(server)
            self.started[server] = started
            (self.unready.discard if state == "ready" else self.unready.add)(server)
        self.suspect &= self.started.keys()

    def _gone(self, server: str) -> None:
        if self.started.pop(server, None) is not None:
            self.gone.pop(server, None)
            self.gone[server] = None
            self.unready.add(server)
            if len(self.gone) > GONE_MOST:
                forgotten = next(iter(self.gone))
                del self.gone[forgotten]
                if forgotten not in self.started:  # it may be back, and draining
                    self.unready.discard(forgotten)

    # -- contents

    def content(self, number: int) -> Content:
        """What a table holds now; the same object until the table changes."""
        table = self.orders.tables[number]
        kept = self.contents.get(number)
        if kept is None or kept[0] != table.revision:
            levels = {
                place: self.orders.admission(number, place)
                for place in range(len(self.names))
                if place in table.admission or place in self.orders.common_admission
            }
            made = Content((self.life, number), dict(table.weights), levels)
            kept = self.contents[number] = (table.revision, made)
        return kept[1]

    def begin(self) -> None:
        """A round begins: its messages share bytes."""
        self.cache.clear()

    # -- messages

    def message(self, proxy: Any, seal: int | None, withdrawn: Iterable[str] = ()) -> tuple[bytes, int]:
        """The message that brings a proxy from what was written to what it should hold now, with its lines;
        no bytes if nothing differs and no mark is to be answered. `withdrawn` are the servers shut out or
        let in since the last message, for a proxy that is bound to nothing."""
        held = self.proxies[proxy]
        bound = self.orders.proxies[proxy].table_by_operation
        contents = {place: self.content(table) for place, table in bound.items()}
        out, back = self._doors(held, contents, withdrawn)
        old = held.written
        key = (
            tuple((place, contents[place], old.get(place)) for place in sorted(contents)),
            tuple(out), tuple(back), seal,
        )  # fmt: skip
        made = self.cache.get(key)
        if made is None:
            made = self._encode(self._parts(old, contents), out, back, seal)
            if len(self.cache) < CACHE_MOST:
                self.cache[key] = made
        held.written = contents or held.written
        held.shut = (held.shut | set(out)) - set(back)
        if held.strange:
            held.cleared = (held.cleared | set(out) | set(back)) & (self.started.keys() | held.shut)
        return made

    def _doors(
        self, held: _Proxy, contents: dict[int, Content], withdrawn: Iterable[str]
    ) -> tuple[list[str], list[str]]:
        """Servers to shut out, and to let back."""
        shut = self.orders.ejected
        if not contents:
            out = {s for s in withdrawn if s in shut} - held.shut
            return sorted(out), sorted(held.shut - shut - self.unready)
        named: set[str] = set()
        for content in set(contents.values()):
            named |= content.lines.keys()
        # What the list says is not ready stays shut, also when a module started anew that withdrew nothing.
        back = held.shut - shut - self.unready
        if held.strange and self.suspect:
            back |= (named & self.suspect) - shut - held.cleared
        return sorted((named & shut) - held.shut), sorted(back)

    def _parts(self, old: dict[int, Content], new: dict[int, Content]) -> list[dict[str, Any]]:
        """The differences, as the fields of a message's parts."""
        parts: list[dict[str, Any]] = []
        pairs: dict[tuple[Content | None, Content], list[int]] = {}
        for place, content in sorted(new.items()):
            pairs.setdefault((old.get(place), content), []).append(place)
        for (before, after), places in pairs.items():
            if before is after:
                continue
            full = before is None or before.number != after.number
            if not full and any(p in before.levels and p not in after.levels for p in places):
                full = True  # only a whole table forgets a level
            if full:
                lines, levels = after.lines, {p: after.levels[p] for p in places if p in after.levels}
            else:
                lines = {s: w for s, w in after.lines.items() if before.lines.get(s) != w}
                # what goes out goes last: a table is never left empty in between
                lines |= dict.fromkeys((s for s in before.lines if s not in after.lines), 0)
                levels = {
                    p: after.levels[p]
                    for p in places
                    if p in after.levels and before.levels.get(p) != after.levels[p]
                }
            parts += self._table(places, lines, levels, full)
        return parts

    def _table(
        self, places: list[int], lines: dict[str, float], levels: dict[int, tuple[float, int]], full: bool
    ) -> list[dict[str, Any]]:
        """One table's part of a message, in more parts where levels differ or lines are many."""
        parts: list[dict[str, Any]] = []
        rows = [[server, weight] for server, weight in lines.items()]
        if rows or full:
            for first in range(0, max(len(rows), 1), PART_LINES):
                part: dict[str, Any] = self._routes(places)
                if full and not first:
                    part["full"] = True
                part["endpoints"] = rows[first : first + PART_LINES]
                parts.append(part)
        kinds: dict[tuple[float, int], list[int]] = {}
        for place, level in levels.items():
            kinds.setdefault(level, []).append(place)
        for (admit, policy), at in kinds.items():
            if len(kinds) == 1 and at == places and parts:
                part = parts[-1]
            else:
                part = self._routes(at)
                parts.append(part)
            part["admit"], part["policy"] = admit, policy
        return parts

    def _routes(self, places: list[int]) -> dict[str, Any]:
        return {} if len(places) == len(self.names) else {"routes": [self.names[p] for p in places]}

    def _encode(
        self, parts: list[dict[str, Any]], out: list[str], back: list[str], seal: int | None
    ) -> tuple[bytes, int]:
        """The bytes of a message and its lines, counted as the protocol counts them."""
        if not parts and not out and not back and seal is None:
            return b"", 0
        parts = parts or [{}]
        for name, servers in (("eject", out), ("restore", back)):
            for first in range(0, len(servers), PART_LINES):
                if first:
                    parts.append({})
                parts[-1][name] = servers[first : first + PART_LINES]
        if seal is not None:
            parts[-1]["nonce_out"] = seal
        if len(parts) > PARTS_MOST:
            raise MessageTooLargeError(f"{len(parts)} parts")
        lines = sum(
            len(part.get("endpoints", ())) + len(part.get("eject", ())) + len(part.get("restore", ()))
            + ("admit" in part) + ("full" in part) + ("nonce_out" in part)
            for part in parts
        )  # fmt: skip
        last = len(parts) - 1
        data = b"".join(
            wire_messages.line({"msg": "push"} | part | ({"continued": True} if place < last else {}))
            for place, part in enumerate(parts)
        )
        return data, lines
