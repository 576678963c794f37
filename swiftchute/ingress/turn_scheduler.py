"""Decides which connection's received bytes are processed next, and for how long. No I/O.

One iteration of the event loop processes received bytes for a limited time, whichever connections they came
from. What is left waits. The connection that has used the least time so far, and has the fewest bytes to
process, comes first, so a client that sends at full speed waits for itself and not the others for it.
"""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol
from weakref import WeakKeyDictionary

NS_PER_MS = 1_000_000
TURN_NS = 2 * NS_PER_MS  # time for received bytes in one iteration of the loop, which accepts one connection
SLICE_NS = NS_PER_MS // 2  # time for one connection before another one has its turn
ASSUMED_NS_PER_BYTE = 1000  # time that waiting bytes are expected to take, to order those who wait
MAX_EXPECTED_NS = 16 * NS_PER_MS  # the most that is expected
READ_BUFFER_BYTES = 16 * 1024  # read from one connection at once


_schedulers: "WeakKeyDictionary[asyncio.AbstractEventLoop, TurnScheduler]" = WeakKeyDictionary()


class Runnable(Protocol):
    """A connection with received bytes.

    Attributes:
        used_ns: Time that it has used; owned by the scheduler.
    """

    used_ns: int

    def run_slice(self) -> None:
        """Process received bytes for a slice; called by the scheduler after a wait."""


def event_loop_turns() -> "TurnScheduler":
    """Return the scheduler of the running event loop, which all its servers share."""
    loop = asyncio.get_running_loop()
    scheduler = _schedulers.get(loop)
    if scheduler is None:
        scheduler = _schedulers[loop] = TurnScheduler(time.perf_counter_ns, loop.call_soon)
    return scheduler


class TurnScheduler:
    """Shares the time of one event loop between its connections.

    Attributes:
        clock: Returns the time in nanoseconds.
        read_buffer: Buffer that all connections of the event loop read into.
    """

    def __init__(self, clock: Callable[[], int], call_soon: Callable[[Callable[[], None]], object]) -> None:
        """Create a scheduler without waiting connections.

        Args:
            clock: Returns the time in nanoseconds.
            call_soon: Calls a function in the next iteration of the event loop.
        """
        self.clock = clock
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self._call_soon = call_soon
        self._waiting: list[tuple[int, int, Runnable]] = []  # heap by expected time used and order of arrival
        self._numbers = itertools.count()
        self._turn_used_ns = 0
        self._turn_scheduled = False
        self._floor_ns = 0  # all that wait have used more time: newcomers start from here

    def may_run(self) -> bool:
        """Return whether a connection whose bytes have just arrived may process them at once."""
        return not self._waiting and self._turn_used_ns < TURN_NS

    def enqueue(self, connection: Runnable, waiting_bytes: int) -> None:
        """Let a connection wait for its next slice."""
        connection.used_ns = max(connection.used_ns, self._floor_ns)
        expected_ns = connection.used_ns + min(waiting_bytes * ASSUMED_NS_PER_BYTE, MAX_EXPECTED_NS)
        heapq.heappush(self._waiting, (expected_ns, next(self._numbers), connection))
        self._schedule_turn()

    def charge(self, connection: Runnable, elapsed_ns: int) -> None:
        """Account for time that a connection has used."""
        connection.used_ns = max(connection.used_ns, self._floor_ns) + elapsed_ns
        self._turn_used_ns += elapsed_ns
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Serve waiting connections for a turn; the event loop reads its sockets between two turns."""
        self._turn_scheduled = False
        self._turn_used_ns = 0
        try:
            while self._waiting and self._turn_used_ns < TURN_NS:
                expected_ns, _, connection = heapq.heappop(self._waiting)
                self._floor_ns = max(self._floor_ns, expected_ns - MAX_EXPECTED_NS)
                connection.run_slice()
        finally:
            self._turn_used_ns = 0
            if self._waiting:
                self._schedule_turn()
