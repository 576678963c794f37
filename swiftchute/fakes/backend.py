"""A stand-in price worker: a gRPC server on loopback that does pretended work and writes receipts.

It has cores, a waiting room, a cold start that grows to full, and it falls over if more work is brought than
it may get while cold. It can die, hang, go silent, be slow, fail quickly and drain. Any method ending in an
operation's name is answered; the request's bytes are `id|try|gateway`.
"""

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from swiftchute.xds.server import AbortableServer, RawCodec

SERVICE = "/swiftchute.fakes.Worker/"
RECEIPTS_MOST = 200_000


@dataclass(frozen=True)
class Receipt:
    """One try that reached a worker: when, what, from whom, and what became of it; `work` in seconds at full
    speed. Each has a receipt "came", and one more: "ran" (from then on it may have taken effect), "full" or
    "errored". "fell" is of the worker itself."""

    at: int
    server: str
    operation: str
    inv: str
    attempt: int
    gateway: str
    work: float
    end: str


@dataclass(frozen=True)
class Facts:
    """What a worker is like, and the figures of the rule on cold servers."""

    work: dict[str, float]  # seconds by operation
    cores: int = 4
    room: int = 40
    start_capacity: float = 0.2
    warm_within: float = 8.0
    fall_multiple: float = 2.5
    fall_span: float = 2.0


class Worker:
    """One worker; `receipts` outlive its deaths."""

    def __init__(self, facts: Facts, zone: str, speed: float, seed: int) -> None:
        """It listens from `start` on."""
        self.facts, self.zone, self.speed = facts, zone, speed
        self.random = random.Random(seed)
        self.receipts: deque[Receipt] = deque(maxlen=RECEIPTS_MOST)
        self.server: AbortableServer | None = None
        self.address = ""
        self.started: float | None = None  # monotonic seconds of a cold start; None: warm long since
        self.mode = "well"  # "hang", "fail" (before it runs), "fail late" (after)
        self.factor = 1.0
        self.still = 0.0  # until when it stands still
        self.fell: list[float] = []
        self.held = 0
        self.recent: deque[tuple[float, float]] = deque()

    def __mapping__(self) -> dict[str, Handler]:
        """A handler an operation."""
        return {
            SERVICE + op: Handler(
                lambda stream, op=op: self._serve(stream, op), Cardinality.UNARY_UNARY, bytes, bytes
            )
            for op in self.facts.work
        }

    async def start(self, cold: bool = False, host: str = "127.0.0.1") -> None:
        """Listen, at the same address as before if it ran before."""
        before, _, port = self.address.rpartition(":")
        host = before or host
        self.server = AbortableServer([self], codec=RawCodec())
        await self.server.start(host, int(port or 0), reuse_address=True)
        self.address = "{}:{}".format(*self.server._server.sockets[0].getsockname()[:2])
        self.cores = asyncio.Semaphore(self.facts.cores)
        self.started = time.monotonic() if cold else None
        self.mode, self.factor, self.held = "well", 1.0, 0
        self.recent.clear()

    async def die(self) -> None:
        """Close the socket and break all connections."""
        if self.server is not None:
            server, self.server = self.server, None
            server._server.close()
            server.break_all()
            server.close()

    def mute(self) -> None:
        """Read nothing more on what is open, and answer nothing on what comes."""
        self.mode = "hang"
        for protocol in list(self.server.made) if self.server is not None else ():
            if protocol.connection is not None and not protocol.connection.is_closing():
                protocol.connection._transport.pause_reading()

    def pause(self, length: float) -> None:
        """Stand still for so long: nothing that runs goes on."""
        self.still = max(self.still, time.monotonic() + length)

    def capacity(self, now: float) -> float:
        """The share of its full capacity that it has now."""
        if self.started is None:
            return 1.0
        least = self.facts.start_capacity
        return min(1.0, least + (1 - least) * (now - self.started) / self.facts.warm_within)

    def _brought(self, work: float, now: float) -> None:
        """Rule four as a budget: more work than multiple x capacity x span within the span, and it
        falls over."""
        if self.started is None or now - self.started > self.facts.warm_within:
            return
        span = self.facts.fall_span
        self.recent.append((now, work))
        while self.recent[0][0] < now - span:
            self.recent.popleft()
        full = self.facts.cores * self.speed
        if sum(w for _, w in self.recent) > self.facts.fall_multiple * self.capacity(now) * full * span:
            self.fell.append(now)
            self._receipt("", b"", 0.0, "fell")
            asyncio.ensure_future(self.die())

    def _receipt(self, operation: str, data: bytes, work: float, end: str) -> None:
        inv, attempt, gateway = (*data.decode("utf-8", "replace").split("|"), "0", "")[:3]
        self.receipts.append(
            Receipt(
                time.monotonic_ns(),
                self.address,
                operation,
                inv,
                int(attempt) if attempt.isdigit() else 0,
                gateway,
                work,
                end,
            )
        )

    async def _serve(self, stream: Stream, operation: str) -> None:
        data: Any = await stream.recv_message()
        if data is None:
            return
        work = self.facts.work[operation] * self.random.uniform(0.85, 1.15)
        self._receipt(operation, data, work, "came")  # before it waits: one that falls over has met them all
        self._brought(work, time.monotonic())
        if self.mode == "fail":
            self._receipt(operation, data, work, "errored")
            raise GRPCError(Status.INTERNAL, "fails quickly")
        if self.held >= self.facts.cores + self.facts.room:
            self._receipt(operation, data, work, "full")
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "waiting room full")
        self.held += 1
        cores = self.cores
        try:
            async with cores:
                self._receipt(operation, data, work, "ran")  # from here on it may have taken effect
                if self.mode == "hang":
                    await asyncio.sleep(3600)
                if self.mode == "fail late":
                    raise GRPCError(Status.INTERNAL, "failed after it ran")
                await asyncio.sleep(work * self.factor / (self.speed * self.capacity(time.monotonic())))
                while (left := self.still - time.monotonic()) > 0:
                    await asyncio.sleep(left)
        finally:
            if cores is self.cores:
                self.held -= 1
        await stream.send_message(data)
