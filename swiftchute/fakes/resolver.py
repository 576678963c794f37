"""A fake caching resolver: it queries the control plane's DNS servers and caches their SRV answers.

It queries with dnspython (EDNS, and TCP if an answer is truncated), caches an answer for its time to live and
fails over to the next server if one does not answer.
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

QUERY_TIMEOUT_S = 0.5
FAILURE_TTL_S = 0.2  # how long a failure is cached
EDNS_PAYLOAD_BYTES = 1232


@dataclass(frozen=True)
class SrvRecord:
    """One SRV record with the address of its target.

    Attributes:
        priority: records with the lowest one are used.
        weight: share among the records of one priority.
        endpoint: "host:port".
    """

    priority: int
    weight: int
    endpoint: str


@dataclass
class CachedAnswer:
    """An answer in the cache.

    Attributes:
        records: its records, empty after a failure.
        expires_at_s: monotonic time at which it expires.
        server: server that gave it.
    """

    records: tuple[SrvRecord, ...]
    expires_at_s: float
    server: tuple[str, int]


@dataclass
class CachingResolver:
    """Answers lookups from its cache or by a query.

    Attributes:
        servers: host and port of each DNS server.
        origin: DNS zone of the names.
        seed: seed for the choice of the first server.
        overstay_s: how long answers are used past their time to live.
        cache: answers by operation.
        query_count: queries that were sent.
        tcp_count: those of them that were repeated by TCP.
        failure_count: lookups that no server answered.
        current_server: index of the server that is queried first.
    """

    servers: list[tuple[str, int]]
    origin: str
    seed: int
    overstay_s: float = 0.0
    cache: dict[str, CachedAnswer] = field(default_factory=dict)
    query_count: int = 0
    tcp_count: int = 0
    failure_count: int = 0

    def __post_init__(self) -> None:
        """Choose the first server."""
        self._random = random.Random(self.seed)
        self.current_server = self._random.randrange(len(self.servers))
        self._lookups: dict[str, asyncio.Task[CachedAnswer]] = {}

    async def lookup(self, operation: str) -> CachedAnswer:
        """Return an operation's answer; concurrent lookups of a name share one query."""
        cached = self.cache.get(operation)
        if cached is not None and time.monotonic() < cached.expires_at_s:
            return cached
        task = self._lookups.get(operation)
        if task is None:
            task = self._lookups[operation] = asyncio.ensure_future(self._query_servers(operation))
            task.add_done_callback(lambda _: self._lookups.pop(operation, None))
        return await asyncio.shield(task)

    async def _query_servers(self, operation: str) -> CachedAnswer:
        name = f"_{operation}._tcp.{self.origin}"
        first = self.current_server
        for step in range(len(self.servers)):
            # not `self.current_server`: concurrent failing lookups would set it back
            index = (first + step) % len(self.servers)
            answer = await self._query(name, self.servers[index])
            if answer is not None:
                self.current_server = index
                self.cache[operation] = answer
                return answer
        self.failure_count += 1
        failure = CachedAnswer((), time.monotonic() + FAILURE_TTL_S, self.servers[0])
        self.cache[operation] = failure
        return failure

    async def _query(self, name: str, server: tuple[str, int]) -> CachedAnswer | None:
        """Query one server; return None if it gives no answer."""
        self.query_count += 1
        query = dns.message.make_query(name, "SRV", use_edns=0, payload=EDNS_PAYLOAD_BYTES)
        try:
            response, by_tcp = await dns.asyncquery.udp_with_fallback(
                query, server[0], timeout=QUERY_TIMEOUT_S, port=server[1]
            )
        except (dns.exception.DNSException, OSError, EOFError):
            return None
        self.tcp_count += by_tcp
        if response.rcode() != dns.rcode.NOERROR or not response.answer:
            return None
        return self._parse(response, server)

    def _parse(self, response: dns.message.Message, server: tuple[str, int]) -> CachedAnswer:
        addresses = {row.name: str(row[0]) for row in response.additional if row.rdtype == dns.rdatatype.A}
        answer = response.answer[0]
        records = []
        for record in answer:
            # without an address record, for which there was no space, the target's name contains the address
            address = addresses.get(record.target) or record.target.labels[0][3:].decode().replace("-", ".")
            records.append(SrvRecord(record.priority, record.weight, f"{address}:{record.port}"))
        expires_at_s = time.monotonic() + answer.ttl + self.overstay_s
        return CachedAnswer(tuple(records), expires_at_s, server)


class SrvPicker:
    """Picks an endpoint by RFC 2782: among those of the lowest priority, by a running sum of weights."""

    def __init__(self, records: tuple[SrvRecord, ...]) -> None:
        """Create a picker over at least one record."""
        lowest = min(record.priority for record in records)
        self.endpoints = tuple(record.endpoint for record in records)
        self._candidates = sorted(
            (record for record in records if record.priority == lowest),
            key=lambda record: record.weight > 0,
        )
        self._total_weight = sum(record.weight for record in self._candidates)

    def pick(self, chance: random.Random) -> str:
        """Return an endpoint; `chance` is the source of random numbers."""
        position = chance.randint(0, self._total_weight)
        for record in self._candidates:
            position -= record.weight
            if position <= 0:
                return record.endpoint
        return self._candidates[-1].endpoint
