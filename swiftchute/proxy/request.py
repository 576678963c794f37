"""What a proxy does with invocations, without I/O: which server, for how long, and whether to try again.

    core = Core(client, operations, limits, seed)
    core.changed()                                   # the client took in an order: tables are looked at anew
    inv = core.came("lot-estimate", key, now)        # Invocation, or Turned away
    where = core.next(inv, now)                      # Try(server, until), or None: nothing is left to try
    core.withdrawn(server)                           # asked before a try is written: it goes elsewhere
    last = core.ended(inv, end, now)                 # whether the invocation is over
    core.given_up(inv, now)                          # its caller went away

An invocation ends by the table it began with: weights, tries and levels that change under way are the next
one's. Only a server that is withdrawn meanwhile is not gone to any more. The planner's orders are all there
is to a table; how a table is followed (which server within its weights, what this proxy itself has found
failing, how many may be under way) is decided here.
"""

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import xxhash

from swiftchute.proxy.load_balancing import Alias, Picker, Rotation, TwoChoices, choose
from swiftchute.proxy.outlier_ejection import Avoided
from swiftchute.proxy.retry import LATE, WITHDRAWN, Budget, End, again
from swiftchute.proxy.xds_client import Client, Table
from swiftchute.xds import names

S = 1_000_000_000
TIMEOUT = 15 * S  # of an operation that neither the settings nor its route say more of
REFUSED_FOR = 2 * S  # a caller that comes again within so long is refused again, where that is asked for


@dataclass(frozen=True)
class Operation:
    """What is known of an operation beside its table: `timeout` in ns where the route names none."""

    name: str
    timeout: int
    repeats: str  # "idempotent", "fingerprinted" or "side-effecting"


@dataclass(frozen=True)
class Limits:
    """Invocations under way at most, in all and to a server (0: no limit); how a server is picked ("weight",
    "rotate" or "two-choices"); failures in a row that shut it out and for how long; further tries as a part
    of invocations and beside them; whether a caller that was refused is drawn "anew" or "refused" again."""

    under_way: int = 2000
    server: int = 0
    pick: str = "weight"
    avoid_after: int = 5
    avoid_for: int = 3 * S
    try_part: float = 0.2
    try_least: float = 3.0
    refused_again: str = "anew"


@dataclass(frozen=True)
class Turned:
    """An invocation that is answered at once: why ("unknown", "full", "level", "no line")."""

    why: str


@dataclass(frozen=True)
class Try:
    """Where to send it, and until when (ns) this try may take."""

    server: str
    until: int


@dataclass
class Invocation:
    """One under way: its table as it was when it came."""

    operation: Operation
    key: str
    table: Table
    picker: Picker
    came: int
    until: int
    attempt: int = 0
    tried: set[str] = field(default_factory=set)
    server: str | None = None
    began: int = 0
    sent: int = 0  # when its try was written; 0: not yet
    over: bool = False


class Core:
    """The state of one proxy."""

    def __init__(
        self, client: Client, operations: Mapping[str, Operation], limits: Limits, seed: int,
        unknown: str = "side-effecting",
    ) -> None:  # fmt: skip
        """`client` holds the tables; `unknown`: how operations repeat of which nothing is known."""
        self.unknown = unknown
        self.client, self.operations, self.limits = client, dict(operations), limits
        self.random = random.Random(seed)
        self.avoided = Avoided(limits.avoid_after, limits.avoid_for, self.random.getrandbits(32))
        self.budget = Budget(limits.try_part, limits.try_least)
        self.tables: dict[str, tuple[Table, Picker]] = {}
        self.shut: set[str] = set()
        self.named: set[str] = set()  # servers of any table
        self.under_way = 0
        self.at: Counter[str] = Counter()  # under way by server
        self.ends: Counter[str] = Counter()
        self.turned: Counter[str] = Counter()

    # -- tables

    def changed(self) -> None:
        """Take over what the client holds now; a table that stayed the same keeps its picker."""
        self.shut = self.client.shut()
        named = self.named = set()
        for name in self.client.held[names.LDS]:
            if name not in self.operations:
                self.operations[name] = Operation(name, TIMEOUT, self.unknown)
        for name in self.operations:
            table = self.client.table(name)
            if table is None or not table.lines:
                self.tables.pop(name, None)
                continue
            named.update(table.lines)
            kept = self.tables.get(name)
            if kept is None or kept[0].lines != table.lines:
                self.tables[name] = (table, self._picker(table.lines))
            elif kept[0] != table:
                self.tables[name] = (table, kept[1])
        self.avoided.forget(named)

    def _picker(self, lines: Mapping[str, int]) -> Picker:
        if self.limits.pick == "rotate":
            return Rotation(lines)
        if self.limits.pick == "two-choices":
            return TwoChoices(lines, self.at.__getitem__)
        return Alias(lines)

    def withdrawn(self, server: str) -> bool:
        """Whether nothing may go there any more, whatever table an invocation began with."""
        return server in self.shut or server not in self.named

    # -- invocations

    def came(self, operation: str, key: str, now: int) -> Invocation | Turned:
        """An invocation came; `key` tells its caller from others. What is past a bound, or that the level
        turns away, is answered at once."""
        known = self.operations.get(operation)
        if known is None:
            return self._turned("unknown")
        if self.under_way >= self.limits.under_way:
            return self._turned("full")
        held = self.tables.get(operation)
        if held is None:
            return self._turned("no line")
        table, picker = held
        if table.level < 1 and self._draw(key, operation, now) >= table.level:
            self.client.dropped(table.cluster)
            return self._turned("level")
        span = int(table.timeout * S) if table.timeout else known.timeout
        self.under_way += 1
        self.budget.came(now)
        return Invocation(known, key, table, picker, now, now + span)

    def _turned(self, why: str) -> Turned:
        self.turned[why] += 1
        return Turned(why)

    def _draw(self, key: str, operation: str, now: int) -> float:
        """0 to 1: by chance, or the same for a caller that comes again soon."""
        if self.limits.refused_again == "anew":
            return self.random.random()
        return xxhash.xxh3_64_intdigest(f"{key}\0{operation}\0{now // REFUSED_FOR}".encode()) / 2**64

    def next(self, inv: Invocation, now: int) -> Try | None:
        """The next try; None if there is no server left or no time."""
        left = inv.until - now
        if left <= 0:
            return None
        avoided = self.avoided.now(now)
        if self.limits.server:
            avoided |= {s for s, many in self.at.items() if many >= self.limits.server}
        gone = inv.tried
        held = self.tables.get(inv.operation.name)
        if held is None or held[1] is not inv.picker:  # the table of now names nobody who is withdrawn
            gone = gone | {s for s in inv.picker.servers if self.withdrawn(s)}
        server = choose(inv.picker, self.random, gone, avoided)
        if server is None:
            return None
        inv.server, inv.began, inv.sent = server, now, 0
        self.at[server] += 1
        self.avoided.picked(server, now)
        last = inv.attempt >= inv.table.tries
        spent = left if last or not inv.table.per_try else min(left, int(inv.table.per_try * S))
        return Try(server, now + spent)

    def ended(self, inv: Invocation, end: End, now: int) -> bool:
        """A try ended; whether the invocation is over with it. Sums count what was sent."""
        server = inv.server
        assert server is not None
        self._left(server)
        inv.tried.add(server)
        if end is WITHDRAWN:
            self.avoided.released(server)
        else:
            self.avoided.ended(server, end.good, now)
            self.client.met(inv.table.cluster, server, end.good, (now - inv.began) / S)
        self.ends[end.kind] += 1
        if not again(end, inv.table, inv.operation.repeats, inv.attempt, now, inv.until, self.budget):
            self._over(inv)
            return True
        inv.attempt += end is not WITHDRAWN
        return False

    def given_up(self, inv: Invocation, now: int) -> None:
        """Its caller went away, or nothing is left to try; what its last try would have come to is not known,
        unless it had all of its time."""
        if inv.over:
            return
        if inv.server is not None and self.at[inv.server] and inv.server not in inv.tried:
            self._left(inv.server)
            if now >= inv.until:
                self.avoided.ended(inv.server, LATE.good, now)
            else:
                self.avoided.released(inv.server)
        self._over(inv)

    def _left(self, server: str) -> None:
        self.at[server] -= 1
        if self.at[server] <= 0:
            del self.at[server]

    def _over(self, inv: Invocation) -> None:
        inv.over = True
        self.under_way -= 1
