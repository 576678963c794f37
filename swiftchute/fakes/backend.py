"""A fake backend: a gRPC server on loopback that simulates work and records a receipt of each event.

It has cores, a queue and a warm-up, and crashes if it is overloaded while it warms up. It can be made to
crash, hang, stop reading, be slow, pause or fail requests. It serves a method for each operation; the body of
a request is `request id|attempt|gateway`.
"""

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from swiftchute.xds.grpc_transport import AbortableServer, RawCodec

SERVICE = "/swiftchute.fakes.Worker/"
MAX_RECEIPTS = 200_000
WORK_JITTER = (0.85, 1.15)  # random factor of an operation's work
HANG_S = 3600


class BackendEvent(StrEnum):
    """What a receipt records, about a request or about the backend itself."""

    ARRIVED = "came"
    STARTED = "ran"  # from then on it may have taken effect
    QUEUE_FULL = "full"
    FAILED = "errored"  # before it ran
    CRASHED = "fell"  # the backend itself, overloaded while warming up


class Behaviour(StrEnum):
    """How a backend handles requests."""

    NORMAL = "well"
    HANG = "hang"
    FAIL_EARLY = "fail"  # before a request runs
    FAIL_LATE = "fail late"  # after it ran


@dataclass(frozen=True)
class Receipt:
    """One event of an attempt that reached a backend, or of the backend itself.

    Each attempt has the receipt `ARRIVED` and one more: `STARTED`, `QUEUE_FULL` or `FAILED`.

    Attributes:
        time_ns: when, monotonic.
        endpoint: the backend's address.
        operation: the attempt's operation; "" for an event of the backend itself, as id and gateway.
        request_id: the request that it belongs to.
        attempt: its number, from 0.
        gateway: name of the gateway that sent it.
        work_s: its work on a core of speed 1.
        event: what happened.
    """

    time_ns: int
    endpoint: str
    operation: str
    request_id: str
    attempt: int
    gateway: str
    work_s: float
    event: BackendEvent


@dataclass(frozen=True)
class BackendProfile:
    """Capacity of a backend.

    Attributes:
        work_s: work of a request, by operation.
        cores: requests that it runs at once.
        queue_capacity: requests that may wait for a core.
        start_capacity_fraction: its capacity right after a start, as a fraction of full capacity.
        warmup_s: time until it has full capacity.
        overload_multiple: it crashes during warm-up if its work exceeds this multiple of its capacity.
        overload_window_s: window over which that work is summed.
    """

    work_s: dict[str, float]
    cores: int = 4
    queue_capacity: int = 40
    start_capacity_fraction: float = 0.2
    warmup_s: float = 8.0
    overload_multiple: float = 2.5
    overload_window_s: float = 2.0


class FakeBackend:
    """One backend.

    Attributes:
        address: "host:port"; kept over restarts.
        receipts: events, kept over crashes and restarts.
        server: its gRPC server, None while it is down.
        started_at_s: monotonic time of the last start, None if it began without a warm-up.
        behaviour: how it handles requests.
        slowdown: factor by which work takes longer.
        crash_times_s: monotonic times of crashes from overload.
    """

    def __init__(self, profile: BackendProfile, zone: str, speed: float, seed: int) -> None:
        """Create a backend that is not started; `speed` is the work done per second on a core."""
        self.profile = profile
        self.zone = zone
        self.speed = speed
        self.address = ""
        self.receipts: deque[Receipt] = deque(maxlen=MAX_RECEIPTS)
        self.server: AbortableServer | None = None
        self.started_at_s: float | None = None
        self.behaviour = Behaviour.NORMAL
        self.slowdown = 1.0
        self.crash_times_s: list[float] = []
        self._random = random.Random(seed)
        self._paused_until_s = 0.0
        self._in_flight = 0
        self._recent_work: deque[tuple[float, float]] = deque()  # arrival and work, both in s

    def __mapping__(self) -> dict[str, Handler]:
        """Return a handler for each operation, as grpclib requires."""
        return {
            SERVICE + operation: Handler(
                lambda stream, operation=operation: self._serve(stream, operation),
                Cardinality.UNARY_UNARY,
                bytes,
                bytes,
            )
            for operation in self.profile.work_s
        }

    async def start(self, warm_up: bool = False, host: str = "127.0.0.1") -> None:
        """Listen; after a restart at the same address as before."""
        previous_host, _, port = self.address.rpartition(":")
        self.server = AbortableServer([self], codec=RawCodec())
        await self.server.start(previous_host or host, int(port or 0), reuse_address=True)
        self.address = "{}:{}".format(*self.server.address)
        self._cores = asyncio.Semaphore(self.profile.cores)
        self.started_at_s = time.monotonic() if warm_up else None
        self.behaviour = Behaviour.NORMAL
        self.slowdown = 1.0
        self._in_flight = 0
        self._recent_work.clear()

    async def kill(self) -> None:
        """Close the socket and break all connections."""
        if self.server is not None:
            server, self.server = self.server, None
            server.close_listener()
            server.abort_connections()
            server.close()

    def stop_reading(self) -> None:
        """Stop reading on open connections, and answer nothing on new ones."""
        self.behaviour = Behaviour.HANG
        if self.server is not None:
            self.server.pause_reading()

    def pause(self, duration_s: float) -> None:
        """Pause all running work for `duration_s`."""
        self._paused_until_s = max(self._paused_until_s, time.monotonic() + duration_s)

    def capacity_fraction(self, now_s: float) -> float:
        """Return the fraction of full capacity at a time."""
        if self.started_at_s is None:
            return 1.0
        minimum = self.profile.start_capacity_fraction
        return min(1.0, minimum + (1 - minimum) * (now_s - self.started_at_s) / self.profile.warmup_s)

    def _check_overload(self, work_s: float, now_s: float) -> None:
        """Crash if the backend is warming up and the work within the window exceeds the allowed multiple."""
        profile = self.profile
        if self.started_at_s is None or now_s - self.started_at_s > profile.warmup_s:
            return
        window_s = profile.overload_window_s
        self._recent_work.append((now_s, work_s))
        while self._recent_work[0][0] < now_s - window_s:
            self._recent_work.popleft()
        full_capacity = profile.cores * self.speed
        limit = profile.overload_multiple * self.capacity_fraction(now_s) * full_capacity * window_s
        if sum(work for _, work in self._recent_work) > limit:
            self.crash_times_s.append(now_s)
            self._write_receipt("", b"", 0.0, BackendEvent.CRASHED)
            asyncio.ensure_future(self.kill())

    def _write_receipt(self, operation: str, data: bytes, work_s: float, event: BackendEvent) -> None:
        request_id, attempt, gateway = (*data.decode("utf-8", "replace").split("|"), "0", "")[:3]
        self.receipts.append(
            Receipt(
                time.monotonic_ns(),
                self.address,
                operation,
                request_id,
                int(attempt) if attempt.isdigit() else 0,
                gateway,
                work_s,
                event,
            )
        )

    async def _serve(self, stream: Stream, operation: str) -> None:
        data: Any = await stream.recv_message()
        if data is None:
            return
        work_s = self.profile.work_s[operation] * self._random.uniform(*WORK_JITTER)
        # written before the request waits, so that a backend that crashes has a receipt of each request
        self._write_receipt(operation, data, work_s, BackendEvent.ARRIVED)
        self._check_overload(work_s, time.monotonic())
        if self.behaviour is Behaviour.FAIL_EARLY:
            self._write_receipt(operation, data, work_s, BackendEvent.FAILED)
            raise GRPCError(Status.INTERNAL, "injected failure before the request ran")
        if self._in_flight >= self.profile.cores + self.profile.queue_capacity:
            self._write_receipt(operation, data, work_s, BackendEvent.QUEUE_FULL)
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "backend queue is full")
        self._in_flight += 1
        cores = self._cores
        try:
            async with cores:
                self._write_receipt(operation, data, work_s, BackendEvent.STARTED)
                await self._work(work_s)
        finally:
            if cores is self._cores:  # not restarted in the meantime
                self._in_flight -= 1
        await stream.send_message(data)

    async def _work(self, work_s: float) -> None:
        if self.behaviour is Behaviour.HANG:
            await asyncio.sleep(HANG_S)
        if self.behaviour is Behaviour.FAIL_LATE:
            raise GRPCError(Status.INTERNAL, "injected failure after the request ran")
        speed = self.speed * self.capacity_fraction(time.monotonic())
        await asyncio.sleep(work_s * self.slowdown / speed)
        while (remaining_s := self._paused_until_s - time.monotonic()) > 0:
            await asyncio.sleep(remaining_s)
