"""Fault actions on fake backends and on the endpoint list that names them."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from swiftchute.drill.fleet import Fleet
from swiftchute.drill.scenario import ZONES
from swiftchute.fakes.backend import Behaviour, FakeBackend

NS_PER_S = 1_000_000_000
LIST_DELAY_S = 1.5  # until the endpoint list shows that a backend crashed or started
AGEING_STEP_S = 0.25


class FaultContext:
    """State that all fault actions share.

    Attributes:
        tasks: Background tasks; the runner cancels them at the end.
        notes: Lines for the report.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Act on a fleet."""
        self.tasks: list[asyncio.Task] = []
        self.notes: list[str] = []
        self._fleet = fleet
        self._list = fleet.list
        self._random = fleet.random

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.ensure_future(coroutine))


class BackendFaults(FaultContext):
    """Crashes, restarts, deploys and slowness of backends; `share` is of all backends."""

    def __init__(self, fleet: Fleet) -> None:
        """Act on a fleet's backends."""
        super().__init__(fleet)
        self._killed: list[FakeBackend] = []

    def _choose(self, share: float) -> list[FakeBackend]:
        """Return a random sample of the running backends that are listed as ready, at least one."""
        backends = self._fleet.backends
        ready = [b for b in backends if b.server is not None and self._list.state(b) == "ready"]
        return self._random.sample(ready, max(1, round(share * len(backends))))

    def _choose_count(self, count: int) -> list[FakeBackend]:
        return self._choose(count / len(self._fleet.backends))[:count]

    def _list_started(self, backend: FakeBackend) -> None:
        self._list.set_state(backend, "ready", int((backend.started_at_s or 0) * NS_PER_S))

    async def _stop(self, backends: list[FakeBackend]) -> None:
        """Kill backends; after a delay the endpoint list drops those that are still down."""
        for backend in backends:
            await backend.kill()
        await asyncio.sleep(LIST_DELAY_S)
        for backend in backends:
            if backend.server is None:
                self._list.set_state(backend, "gone")

    async def _restart_cold(self, backends: list[FakeBackend]) -> None:
        """Start the backends that are down, cold; after a delay the endpoint list has them."""
        for backend in backends:
            if backend.server is None:
                await backend.start(warm_up=True)
        await asyncio.sleep(LIST_DELAY_S)
        for backend in backends:
            if backend.server is not None:
                self._list_started(backend)

    async def kill_backends(self, share: float) -> None:
        """Kill backends; `restart_backends` starts them again."""
        self._killed = self._choose(share)
        await self._stop(self._killed)

    async def restart_backends(self) -> None:
        """Start the backends that `kill_backends` killed, cold."""
        for backend in self._killed:
            await backend.start(warm_up=True)
        await asyncio.sleep(LIST_DELAY_S)
        for backend in self._killed:
            self._list_started(backend)

    async def fail_requests(self, share: float) -> None:
        """Make backends fail requests after they took effect, so that a retry is not safe."""
        for backend in self._choose(share):
            backend.behaviour = Behaviour.FAIL_LATE

    async def drain_backends(self, count: int) -> None:
        """Drain backends permanently."""
        for backend in self._choose_count(count):
            self._list.set_state(backend, "draining")

    async def rolling_deploy(self, count: int, every: float) -> None:
        """Drain backends, restart them cold and list them again, one after the other."""
        for backend in self._choose_count(count):
            self._start_task(self._deploy(backend))
            await asyncio.sleep(every)

    async def _deploy(self, backend: FakeBackend) -> None:
        self._list.set_state(backend, "draining")
        await asyncio.sleep(self._fleet.scenario.drain_grace + 0.5)
        await backend.kill()
        await asyncio.sleep(0.5)
        await backend.start(warm_up=True)
        await asyncio.sleep(LIST_DELAY_S / 2)
        self._list_started(backend)

    async def crash(self, share: float, lasts: float) -> None:
        """Kill backends and start them cold after `lasts` seconds."""
        backends = self._choose(share)
        await self._stop(backends)
        await asyncio.sleep(max(lasts - LIST_DELAY_S, 0))
        await self._restart_cold(backends)

    async def rolling(self, count: int, every: float) -> None:
        """Run a rolling deploy."""
        await self.rolling_deploy(count, every)

    async def hang(self, share: float, lasts: float) -> None:
        """Make backends accept requests without answering them."""
        await self._set_behaviour(self._choose(share), Behaviour.HANG, lasts)

    async def errors(self, share: float, lasts: float) -> None:
        """Make backends fail requests quickly."""
        await self._set_behaviour(self._choose(share), Behaviour.FAIL_EARLY, lasts)

    async def _set_behaviour(self, backends: list[FakeBackend], behaviour: Behaviour, lasts: float) -> None:
        for backend in backends:
            backend.behaviour = behaviour
        await asyncio.sleep(lasts)
        for backend in backends:
            if backend.behaviour is behaviour:
                backend.behaviour = Behaviour.NORMAL

    async def silence(self, share: float, lasts: float) -> None:
        """Make backends stop reading without closing connections; then restart them cold."""
        backends = self._choose(share)
        for backend in backends:
            backend.stop_reading()
        await asyncio.sleep(lasts)
        await self._stop(backends)
        await self._restart_cold(backends)

    @staticmethod
    def _set_slowdown(backends: list[FakeBackend], factor: float) -> None:
        for backend in backends:
            backend.slowdown = factor

    async def slow(self, share: float, factor: float, lasts: float) -> None:
        """Make backends several times slower."""
        backends = self._choose(share)
        self._set_slowdown(backends, factor)
        await asyncio.sleep(lasts)
        self._set_slowdown(backends, 1.0)

    async def pauses(self, share: float, length: float, every: float, lasts: float) -> None:
        """Pause backends for `length` seconds, repeatedly."""
        backends, end = self._choose(share), time.monotonic() + lasts
        while time.monotonic() < end:
            for backend in backends:
                backend.pause(length)
            await asyncio.sleep(every)

    async def neighbour(self, share: float, part: float, lasts: float) -> None:
        """Simulate another program that uses a part of the backends' CPU, on and off."""
        backends, end = self._choose(share), time.monotonic() + lasts
        while time.monotonic() < end:
            self._set_slowdown(backends, 1 / (1 - part))
            await asyncio.sleep(self._random.uniform(0.5, 1.5))
            self._set_slowdown(backends, 1.0)
            await asyncio.sleep(self._random.uniform(0.3, 1.0))

    async def ageing(self, share: float, factor: float, lasts: float) -> None:
        """Make backends slower and slower, then as fast as before the fault."""
        backends, begin = self._choose(share), time.monotonic()
        while (elapsed := time.monotonic() - begin) < lasts:
            self._set_slowdown(backends, 1 + (factor - 1) * elapsed / lasts)
            await asyncio.sleep(AGEING_STEP_S)
        self._set_slowdown(backends, 1.0)

    async def flapping(self, share: float, times: int, lasts: float) -> None:
        """Stop and start backends repeatedly."""
        backends = self._choose(share)
        for _ in range(times):
            await self._stop(backends)
            await asyncio.sleep(max(lasts - LIST_DELAY_S, 0))
            await self._restart_cold(backends)
            await asyncio.sleep(lasts)

    async def shrink(self, share: float, lasts: float) -> None:
        """Drain and remove backends, one after the other."""
        backends = self._choose(share)
        for backend in backends:
            self._list.set_state(backend, "draining")
            self._start_task(self._remove_drained(backend))
            await asyncio.sleep(lasts / len(backends))

    async def _remove_drained(self, backend: FakeBackend) -> None:
        await asyncio.sleep(self._fleet.scenario.drain_grace + 0.5)
        await backend.kill()
        self._list.set_state(backend, "gone")

    async def grow(self, count: int) -> None:
        """Add cold backends."""
        added = []
        for _ in range(count):
            seed, speed = self._random.getrandbits(32), self._random.uniform(0.85, 1.2)
            backend = FakeBackend(self._fleet.backends[0].profile, self._random.choice(ZONES), speed, seed)
            await backend.start(warm_up=True, host=self._fleet.host)
            self._fleet.backends.append(backend)
            self._list.add(backend, "gone")
            added.append(backend)
        await asyncio.sleep(LIST_DELAY_S)
        for backend in added:
            self._list_started(backend)

    async def mass_restart(self, zone: str, lasts: float) -> None:
        """Restart all backends of a zone at once."""
        backends = [b for b in self._fleet.backends if b.zone == zone and b.server is not None]
        await self._stop(backends)
        await asyncio.sleep(max(lasts - LIST_DELAY_S, 0))
        await self._restart_cold(backends)

    async def wrong_list(self, how: str, share: float, lasts: float) -> None:
        """Publish a wrong endpoint list for a while.

        Args:
            how: "gone" (running backends are missing), "ghosts" (it has endpoints that do not exist), "old"
                (it is not updated) or "empty".
            share: Backends that are missing, or number of ghosts, as a share of all backends.
            lasts: Seconds until the list is right again.
        """
        backends = self._choose(share)
        if how == "gone":
            await self._omit_from_list(backends, lasts)
            return
        if how == "ghosts":
            self._list.ghosts = [(f"{self._fleet.host}:{k + 1}", b.zone) for k, b in enumerate(backends)]
            self._list.publish()
        elif how == "old":
            self._list.frozen = True
        else:
            self._list.publish_empty()
        await asyncio.sleep(lasts)
        self._list.ghosts = []
        self._list.frozen = False
        self._list.publish()

    async def _omit_from_list(self, backends: list[FakeBackend], lasts: float) -> None:
        for backend in backends:
            self._list.set_state(backend, "gone")
        await asyncio.sleep(lasts)
        for backend in backends:
            if backend.server is not None and self._list.state(backend) == "gone":
                self._list.set_state(backend, "ready")
