"""The writer that a planner's module writes into: tables, bindings and withdrawals, and who a round concerns.

`Orders` implements `swiftchute.interface.Writer`. The program calls `begin()`, lets the module decide, and
takes the `Round` from `end()`. The state here is what every front serves from; no front keeps tables of its
own.
"""

from dataclasses import dataclass, field
from typing import Any

from swiftchute.api.settings import Settings

TIMERS_MOST = 10_000
LOGS_MOST = 1000  # lines of one round; what is past them is counted in one line more


class BadOrder(Exception):
    """The module ordered what cannot be done; its text says what."""


@dataclass
class Table:
    """A table as ordered: weights by server, and by operation the level and the way of further tries."""

    lines: dict[str, float] = field(default_factory=dict)
    levels: dict[int, tuple[float, int]] = field(default_factory=dict)
    revision: int = 0


@dataclass
class Held:
    """What a joined proxy is on: a table by operation (its place), none before it is bound."""

    zone: str
    bound: dict[int, int] = field(default_factory=dict)


@dataclass
class Round:
    """What one round orders: lines by proxy, the mark it carries, tables that changed, and the rest
    as it came."""

    lines: dict[Any, int] = field(default_factory=dict)
    seal: int | None = None
    everyone: bool = False
    tables: dict[int, int] = field(default_factory=dict)  # changed tables, with their changed lines
    withdrawals: bool = False
    bound: bool = False  # a proxy was put on a table
    bad: list[tuple[int, str, str]] = field(default_factory=list)  # lines with a weight that cannot be
    timers: list[tuple[int, int]] = field(default_factory=list)
    logs: list[str] = field(default_factory=list)
    watch: bool | None = None
    fetch: bool = False


class Orders:
    """State of all tables and bindings of one planner's life; the verbs change it at once."""

    def __init__(self, settings: Settings, lenient: bool = False) -> None:
        """Start without tables, proxies and withdrawals; `lenient` leaves weights that cannot be to
        the guard."""
        self.set, self.lenient = settings, lenient
        self.tables: dict[int, Table] = {}
        self.proxies: dict[Any, Held] = {}
        self.shut: set[str] = set()
        self.common: dict[int, tuple[float, int]] = {}  # levels set for all tables, by operation
        self.on: dict[int, dict[Any, None]] = {}  # table -> the proxies bound to it
        self.round = Round()

    # -- the program's side

    def joined(self, proxy: Any, zone: str) -> None:
        """A proxy joins, bound to nothing; earlier bindings of it are gone."""
        self.left(proxy)
        self.proxies[proxy] = Held(zone)

    def left(self, proxy: Any) -> None:
        """A proxy's stream broke: its binding ends with it."""
        held = self.proxies.pop(proxy, None)
        for table in held.bound.values() if held else ():
            self.on[table].pop(proxy, None)

    def end(self) -> Round:
        """The round since the last call; withdrawn servers and whole tables are counted as the wire
        page says."""
        done, self.round = self.round, Round()
        for table, lines in done.tables.items():
            for proxy in self.on.get(table, ()):
                done.lines[proxy] = done.lines.get(proxy, 0) + lines
        if done.seal is not None:
            for proxy in self.proxies if done.everyone else done.lines:
                done.lines[proxy] = done.lines.get(proxy, 0) + 1  # the mark is a line of each message
        return done

    def level(self, table: int, operation: int) -> tuple[float, int]:
        """The level in force and the way of further tries, for an operation's place."""
        own = self.tables[table].levels.get(operation, (1.0, self.set.default_retry_policy))
        common = self.common.get(operation)
        if common is None:
            return own
        tries = own[1] if operation in self.tables[table].levels else common[1]
        return min(own[0], common[0]), tries

    # -- the module's side (interface.Writer)

    def _table(self, number: int) -> Table:
        if not 0 <= number < 65_535:
            raise BadOrder(f"table {number}: numbers are 0 to 65534")
        return self.tables.setdefault(number, Table())

    def _touch(self, number: int, lines: int = 1) -> None:
        self.tables[number].revision += 1
        self.round.tables[number] = self.round.tables.get(number, 0) + lines

    def set_weight(self, table: int, server: str, weight: float) -> None:
        """Set one line of a table; weight 0 takes it away."""
        if not 0 <= weight < float("inf"):
            if not self.lenient:
                raise BadOrder(f"table {table}, {server}: weight {weight}")
            self.round.bad.append((table, server, str(weight)))  # the line keeps what it had
            return
        lines = self._table(table).lines
        if weight:
            lines[server] = weight
        else:
            lines.pop(server, None)
        self._touch(table)

    def clear_table(self, table: int) -> None:
        """Empty a table of lines and levels."""
        held = self._table(table)
        held.lines, held.levels = {}, {}
        self._touch(table)

    def assign_table(self, proxy: Any, table: int, mask: int) -> None:
        """Put a proxy on a table for the operations of the mask; the whole table is written to it."""
        if proxy not in self.proxies:
            return  # it has left meanwhile
        held, bound = self._table(table), self.proxies[proxy].bound
        self.round.bound = True
        for place in self._places(mask):
            old = bound.get(place)
            bound[place] = table
            if old is not None and old not in bound.values():
                self.on[old].pop(proxy, None)
        self.on.setdefault(table, {})[proxy] = None
        # lines of this round that stood before the bind go with the whole table
        whole = 1 + len(held.lines) + len(held.levels) + len(self.shut & held.lines.keys()) + len(self.common)
        self.round.lines[proxy] = self.round.lines.get(proxy, 0) + whole - self.round.tables.get(table, 0)

    def _places(self, mask: int) -> list[int]:
        return [k for k in range(len(self.set.operations)) if not mask or mask >> k & 1]

    def set_admission(self, table: int | None, mask: int, level: float, tries: int) -> None:
        """Set the part let in and the way of further tries, in one table or (None) for all."""
        if not level >= 0 or tries not in (0, 1, 2, 3):
            raise BadOrder(f"table {table}: level {level}, further tries {tries}")
        levels = dict.fromkeys(self._places(mask), (level, tries))
        if table is not None:
            self._table(table).levels |= levels
            self._touch(table)
            return
        self.common |= levels
        for number in self.tables:
            self.tables[number].revision += 1
            self.round.tables.setdefault(number, 0)
        for proxy in self.proxies:
            self.round.lines[proxy] = self.round.lines.get(proxy, 0) + 1

    def set_ejected(self, server: str, out: bool) -> None:
        """Shut a server out for all joined proxies, or let it in again."""
        (self.shut.add if out else self.shut.discard)(server)
        self.round.withdrawals = True
        for number, table in self.tables.items():
            if server in table.lines:
                table.revision += 1
                self.round.tables.setdefault(number, 0)
        for proxy, held in self.proxies.items():
            if not held.bound or any(server in self.tables[t].lines for t in held.bound.values()):
                self.round.lines[proxy] = self.round.lines.get(proxy, 0) + 1

    def request_ack(self, seal: int, everyone: bool) -> None:
        """Ask the proxies concerned to answer once they have applied this round."""
        self.round.seal, self.round.everyone = seal, everyone

    def subscribe(self, on: bool) -> None:
        """Open or close the subscription to the list."""
        self.round.watch = on

    def fetch_list(self) -> None:
        """Ask for the whole list once."""
        self.round.fetch = True

    def start_timer(self, wait: int, token: int) -> None:
        """Wake this planner after `wait`."""
        if len(self.round.timers) >= TIMERS_MOST:
            raise BadOrder(f"more than {TIMERS_MOST} timers in a round")
        self.round.timers.append((wait, token))

    def log(self, text: str) -> None:
        """A line for the staff."""
        if len(self.round.logs) < LOGS_MOST:
            self.round.logs.append(text)
        elif len(self.round.logs) == LOGS_MOST:
            self.round.logs.append("log full: on, later lines of this round are lost")

    def probe(self, server: str) -> None:
        """Probes are not allowed by the settings."""
        raise BadOrder(f"probe of {server}: the settings allow none")

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        """Messages between planners are not allowed by the settings."""
        raise BadOrder(f"message to {peer}: the settings allow none")
