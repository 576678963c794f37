"""A stand-in caching resolver, and a caller that goes by its answers: DNS clients of a drill.

The resolver asks a planner's DNS front (by dnspython: EDNS, and TCP where an answer is cut), keeps an answer
for its time to live (plus `overstay` seconds, if it is one of those), and goes to the next planner when one
does not answer. The caller picks by priority and weight as RFC 2782 says and calls stand-in workers.
"""

import asyncio
import random
import time
from dataclasses import dataclass, field

import dns.asyncquery
import dns.exception
import dns.message
import dns.rcode
import dns.rdatatype

from swiftchute.fakes.gateway import TIMEOUT, Gateway
from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.request import RoutingTable
from swiftchute.proxy.settings import Idempotency, RouteSettings
from swiftchute.proxy.xds_client import XdsClient

WAIT = 0.5  # seconds for an answer
FAILED = 0.2  # seconds that a failure is kept
S = 1_000_000_000


@dataclass(frozen=True)
class Line:
    """One SRV record with its address."""

    priority: int
    weight: int
    server: str


@dataclass
class Cached:
    """An answer and until when it is kept (monotonic seconds); who gave it."""

    lines: tuple[Line, ...]
    until: float
    upstream: tuple[str, int]


@dataclass
class Resolver:
    """Keeps answers for whoever asks it; `asked` counts what went upstream, `cut` what came again by TCP."""

    upstreams: list[tuple[str, int]]
    origin: str
    seed: int
    overstay: float = 0.0
    cache: dict[str, Cached] = field(default_factory=dict)
    asked: int = 0
    cut: int = 0
    failed: int = 0

    def __post_init__(self) -> None:
        """Nothing is known yet."""
        self.random = random.Random(self.seed)
        self.at = self.random.randrange(len(self.upstreams))
        self.under_way: dict[str, asyncio.Task[Cached]] = {}

    async def lookup(self, operation: str) -> Cached:
        """An operation's lines; from the cache while they may be kept. One question a name is under way."""
        held = self.cache.get(operation)
        if held is not None and time.monotonic() < held.until:
            return held
        task = self.under_way.get(operation)
        if task is None:
            task = self.under_way[operation] = asyncio.ensure_future(self._ask(operation))
            task.add_done_callback(lambda _: self.under_way.pop(operation, None))
        return await asyncio.shield(task)

    async def _ask(self, operation: str) -> Cached:
        name = f"_{operation}._tcp.{self.origin}"
        begin = self.at
        for step in range(len(self.upstreams)):
            # a place of its own: two names that fail at once would else turn it round to where it was
            at = (begin + step) % len(self.upstreams)
            upstream = self.upstreams[at]
            self.asked += 1
            query = dns.message.make_query(name, "SRV", use_edns=0, payload=1232)
            try:
                reply, by_tcp = await dns.asyncquery.udp_with_fallback(
                    query, upstream[0], timeout=WAIT, port=upstream[1]
                )
            except (dns.exception.DNSException, OSError, EOFError):
                continue
            self.cut += by_tcp
            if reply.rcode() == dns.rcode.NOERROR and reply.answer:
                self.at = at
                made = self.cache[operation] = self._read(reply, upstream)
                return made
        self.failed += 1
        made = self.cache[operation] = Cached((), time.monotonic() + FAILED, self.upstreams[0])
        return made

    def _read(self, reply: dns.message.Message, upstream: tuple[str, int]) -> Cached:
        addresses = {r.name: str(r[0]) for r in reply.additional if r.rdtype == dns.rdatatype.A}
        rows = reply.answer[0]
        lines = []
        for r in rows:
            # a target's name tells its address, where no room was left for the record beside it
            address = addresses.get(r.target) or r.target.labels[0][3:].decode().replace("-", ".")
            lines.append(Line(r.priority, r.weight, f"{address}:{r.port}"))
        return Cached(tuple(lines), time.monotonic() + rows.ttl + self.overstay, upstream)


class Srv:
    """Picks by RFC 2782: of the lowest priority, by its running sum of weights."""

    def __init__(self, lines: tuple[Line, ...]) -> None:
        """At least one line."""
        least = min(line.priority for line in lines)
        self.endpoints = tuple(line.server for line in lines)
        self.row = sorted((x for x in lines if x.priority == least), key=lambda line: line.weight > 0)
        self.total = sum(line.weight for line in self.row)

    def pick(self, chance: random.Random) -> str:
        """A server."""
        at = chance.randint(0, self.total)
        for line in self.row:
            at -= line.weight
            if at <= 0:
                return line.server
        return self.row[-1].server


class Caller(Gateway):
    """A client by DNS in a gateway's place: its table is its resolver's answer; it sheds nothing and tries
    again only after proof that the first never ran."""

    def __init__(self, node: str, zone: str, rate: float, resolver: Resolver, seed: int, worth: dict) -> None:
        """`rate` invocations a second come to it."""
        super().__init__(XdsClient(node, zone, rate, False, False), [("", 0)], seed, worth=worth)
        self.resolver = resolver
        self.last: dict[str, Cached] = {}
        # when it went by another answer for an operation, and whether that has lines
        self.answers: list[tuple[int, str, bool]] = []

    def start(self) -> None:
        """It dials nobody."""

    async def ready(self, operation: str) -> None:
        """Take the answer of now for the operation's table."""
        held = await self.resolver.lookup(operation)
        if held is self.last.get(operation):
            return
        self.last[operation] = held
        self.core.routes.setdefault(operation, RouteSettings(operation, TIMEOUT, Idempotency.IDEMPOTENT))
        self.core.tables.pop(operation, None)
        if held.lines:
            lines = {line.server: line.weight for line in held.lines}
            table = EndpointTable(f"dns/{operation}", lines, 1.0, 1)
            self.core.tables[operation] = RoutingTable(table, Srv(held.lines))
        self.core.known_endpoints = {
            endpoint for routing in self.core.tables.values() for endpoint in routing.table.weights
        }
        ways = {f"{kept.upstream[0]}:{kept.upstream[1]}" for kept in self.last.values() if kept.lines}
        if len(ways) == 1 and self.connected_to not in ways:  # none of its answers is another planner's now
            # by whose answers it goes: to the checker that is the planner it is joined to
            if self.connected_to:
                self.on_stream_closed(self.connected_to, self.stream_count)
            self.stream_count += 1
            self.connected_to = ways.pop()
            self.on_stream_opened(self.connected_to, self.stream_count)
        self.record.add(self.answers, (time.monotonic_ns(), operation, bool(held.lines)))
        if not held.lines:
            # it asks again: else a rare operation would look bare until its next invocation
            self.tasks = [task for task in self.tasks if not task.done()]
            self.tasks.append(asyncio.ensure_future(self._later(operation)))

    async def _later(self, operation: str) -> None:
        await asyncio.sleep(FAILED)
        while not (await self.resolver.lookup(operation)).lines:
            await asyncio.sleep(FAILED)
        await self.ready(operation)
