"""What troubles do: the methods of a drill's runner that a day's time line calls by name.

They act on processes (stop, kill), on sockets (relays between gateways and planners; workers' listeners)
and on the list's file, never inside a planner. `troubles.KINDS` names those that scripts may use.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import time
from typing import Any

from swiftchute.admin.client import call
from swiftchute.admin.errors import NoReplyError
from swiftchute.fakes.backend import Worker
from swiftchute.fakes.gateway import Gateway
from swiftchute.fakes.relay import Relay

S = 1_000_000_000
ZONES = ("north", "south", "west")
LIST_LATE = 1.5  # seconds until the list tells of a death or a start


class Acts:
    """The part of `day.Runner` that acts; what it acts on is the runner's."""

    day: Any
    host: str
    list: str
    random: random.Random
    workers: list[Worker]
    gateways: list[Gateway]
    planners: list[Any]
    relays: dict[tuple[int, int], Relay]
    states: dict[str, tuple[str, int]]
    deaf: dict[str, list[tuple[int, int]]]
    down: dict[int, int]
    dead: list[Worker]
    tasks: list[asyncio.Task]
    notes: list[str]
    noted: dict[str, tuple[float, float, float]]
    ghosts: list[tuple[str, str]]
    stale: bool

    def publish(self) -> None:
        """Write the list anew."""
        raise NotImplementedError

    def tell(self, worker: Worker, state: str, started: int | None = None) -> None:
        """The list says this of a worker from now on."""
        raise NotImplementedError

    def _socket(self, number: int) -> str:
        raise NotImplementedError

    def _some(self, share: float) -> list[Worker]:
        ready = [w for w in self.workers if w.server is not None and self.states[w.address][0] == "ready"]
        return self.random.sample(ready, max(1, round(share * len(self.workers))))

    def _gateways(self, share: float) -> list[int]:
        return self.random.sample(range(self.day.gateways), max(1, round(share * self.day.gateways)))

    async def die(self, share: float) -> None:
        """Workers die at once; the list drops them later."""
        struck = self._some(share)
        for w in struck:
            await w.die()
        self.dead = struck
        await asyncio.sleep(LIST_LATE)
        for w in struck:
            if w.server is None:
                self.tell(w, "gone")

    async def come_back(self) -> None:
        """Those that died start cold; the list tells of it later."""
        for w in self.dead:
            await w.start(cold=True)
        await asyncio.sleep(LIST_LATE)
        for w in self.dead:
            self.tell(w, "ready", int(w.started * S))

    async def fail(self, share: float) -> None:
        """Workers fail what they take, quickly, after it took effect."""
        for w in self._some(share):
            w.mode = "fail late"  # a try that failed may have run: repeating it is not safe

    async def drain(self, count: int) -> None:
        """Workers drain and stay drained."""
        for w in self._some(count / len(self.workers))[:count]:
            self.tell(w, "draining")

    async def deploy(self, count: int, every: float) -> None:
        """A rolling deploy: each drains, restarts cold and is listed again."""

        async def one(w: Worker) -> None:
            self.tell(w, "draining")
            await asyncio.sleep(self.day.grace + 0.5)
            await w.die()
            await asyncio.sleep(0.5)
            await w.start(cold=True)
            await asyncio.sleep(LIST_LATE / 2)
            self.tell(w, "ready", int(w.started * S))

        for w in self._some(count / len(self.workers))[:count]:
            self.tasks.append(asyncio.ensure_future(one(w)))
            await asyncio.sleep(every)

    def note(self, name: str) -> None:
        """Remember a moment, and the billed value asked for and answered in time until then."""
        records = [g.record for g in self.gateways]
        asked, earned = (sum(getattr(r, key) for r in records) for key in ("asked", "earned"))
        self.noted[name] = (time.time(), asked, earned)

    def _between(self, one: str, two: str) -> str:
        (start, all_, good), (end, more, better) = self.noted[one], self.noted[two]
        many = more - all_
        part = 100 * (better - good) / max(many, 1)
        return f"{part:.1f}% of a billed value of {many:.0f} answered in time in {end - start:.1f} s"

    async def compare(self, *moments: str) -> None:
        """What was answered in time between moments, and what became of the canaries."""
        for one, two in itertools.pairwise(moments):
            self.notes.append(f"{one} to {two}: {self._between(one, two)}")
        for planner in self.planners:
            with open(planner.log, encoding="utf-8") as log:
                rows = [json.loads(row) for row in log if '"canary' in row]
            for row in rows:
                began = row["event"] == "canary"
                ended = f"{row['went']}, {row['cause']}" if not began else ""
                what = f"tried by {row['proxies']} of {row['of']}" if began else ended
                self.notes.append(f"{row['timestamp'][11:23]} table {row['table']}: {what}")

    async def roll_back(self, moment: str, levels: bool) -> None:
        """Staff take every table back to what it held at a moment, perhaps with its levels; how long until
        the last ACK."""
        self.note("order")
        order, tables = time.monotonic(), 0
        ways = [self._socket(number) for number in range(self.day.planners)]
        for way in ways:
            entries = await asyncio.to_thread(call, way, "tables.log", most=1000)
            before: dict[str, dict[str, Any]] = {}
            for entry in entries:  # newest first
                if entry["at"] < self.noted[moment][0]:
                    before.setdefault(entry["table"], entry)
            newest = {entry["table"]: entry for entry in entries if entry["newest"]}
            for table, entry in before.items():
                if newest[table]["version"] != entry["version"] and newest[table]["acknowledged"]:
                    asked = {
                        "table": table,
                        "version": f"#{entry['serial']}",
                        "seconds": 60.0,
                        "levels": levels,
                    }
                    await asyncio.to_thread(call, way, "tables.rollback", **asked)
                    tables += 1
        took = time.monotonic() - order
        while time.monotonic() - order < 10:
            try:
                logs = [await asyncio.to_thread(call, way, "tables.log", most=1000) for way in ways]
            except NoReplyError as why:  # it was killed between the orders and the answers
                self.notes.append(f"{tables} tables ordered back in {took:.2f} s, then: {why}")
                return
            back = [_settled(log) for log in logs]
            if None not in back and sum(back) >= tables:
                break
            await asyncio.sleep(0.05)
        whole = time.monotonic() - order
        self.note("back")
        last = f"{whole:.2f} s to the last ACK" if whole < 10 else "not acknowledged by all within 10 s"
        self.notes.append(f"{tables} tables taken back: {took:.2f} s to order, {last}")
        await asyncio.sleep(2)  # what the bad tables left in queues is over
        self.note("well")
        await asyncio.sleep(8)
        self.note("end")
        spans = (("before", moment), (moment, "order"), ("order", "well"), ("well", "end"))
        for (one, two), what in zip(spans, ("before", "bad tables", "going back", "after"), strict=True):
            self.notes.append(f"{what}: {self._between(one, two)}")

    # -- troubles by the names of `drill.troubles`

    async def _back_cold(self, struck: list[Worker]) -> None:
        """Those that are down start cold; the list tells of it later."""
        for w in struck:
            if w.server is None:
                await w.start(cold=True)
        await asyncio.sleep(LIST_LATE)
        for w in struck:
            if w.server is not None:
                self.tell(w, "ready", int(w.started * S))

    async def _down(self, struck: list[Worker]) -> None:
        """They die; the list drops them later."""
        for w in struck:
            await w.die()
        await asyncio.sleep(LIST_LATE)
        for w in struck:
            if w.server is None:
                self.tell(w, "gone")

    async def crash(self, share: float, lasts: float) -> None:
        """Workers die at once and come back cold."""
        struck = self._some(share)
        await self._down(struck)
        await asyncio.sleep(max(lasts - LIST_LATE, 0))
        await self._back_cold(struck)

    async def rolling(self, count: int, every: float) -> None:
        """A rolling deploy."""
        await self.deploy(count, every)

    async def _mode(self, struck: list[Worker], mode: str, lasts: float) -> None:
        for w in struck:
            w.mode = mode
        await asyncio.sleep(lasts)
        for w in struck:
            if w.mode == mode:
                w.mode = "well"

    async def hang(self, share: float, lasts: float) -> None:
        """Workers take invocations and answer none."""
        await self._mode(self._some(share), "hang", lasts)

    async def errors(self, share: float, lasts: float) -> None:
        """Workers quickly fail what they take."""
        await self._mode(self._some(share), "fail", lasts)

    async def silence(self, share: float, lasts: float) -> None:
        """Workers read nothing and close nothing; then they restart cold."""
        struck = self._some(share)
        for w in struck:
            w.mute()
        await asyncio.sleep(lasts)
        await self._down(struck)
        await self._back_cold(struck)

    async def _factor(self, struck: list[Worker], factor: float) -> None:
        for w in struck:
            w.factor = factor

    async def slow(self, share: float, factor: float, lasts: float) -> None:
        """Workers run several times slower."""
        struck = self._some(share)
        await self._factor(struck, factor)
        await asyncio.sleep(lasts)
        await self._factor(struck, 1.0)

    async def pauses(self, share: float, length: float, every: float, lasts: float) -> None:
        """Workers stand still for a moment, again and again."""
        struck, end = self._some(share), time.monotonic() + lasts
        while time.monotonic() < end:
            for w in struck:
                w.pause(length)
            await asyncio.sleep(every)

    async def neighbour(self, share: float, part: float, lasts: float) -> None:
        """Another program takes a part of the machine, on and off."""
        struck, end = self._some(share), time.monotonic() + lasts
        while time.monotonic() < end:
            await self._factor(struck, 1 / (1 - part))
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            await self._factor(struck, 1.0)
            await asyncio.sleep(self.random.uniform(0.3, 1.0))

    async def ageing(self, share: float, factor: float, lasts: float) -> None:
        """Workers get slower and slower, and then restart cold, announced."""
        struck, begin = self._some(share), time.monotonic()
        while (past := time.monotonic() - begin) < lasts:
            await self._factor(struck, 1 + (factor - 1) * past / lasts)
            await asyncio.sleep(0.25)
        await self._factor(struck, 1.0)

    async def flapping(self, share: float, times: int, lasts: float) -> None:
        """Workers go and come, again and again."""
        struck = self._some(share)
        for _ in range(times):
            await self._down(struck)
            await asyncio.sleep(max(lasts - LIST_LATE, 0))
            await self._back_cold(struck)
            await asyncio.sleep(lasts)

    async def shrink(self, share: float, lasts: float) -> None:
        """The fleet shrinks: one after the other drains, and then goes."""
        struck = self._some(share)
        for w in struck:
            self.tell(w, "draining")
            self.tasks.append(asyncio.ensure_future(self._leave(w)))
            await asyncio.sleep(lasts / len(struck))

    async def _leave(self, w: Worker) -> None:
        await asyncio.sleep(self.day.grace + 0.5)
        await w.die()
        self.tell(w, "gone")

    async def grow(self, count: int) -> None:
        """Workers are added, cold."""
        made = []
        for _ in range(count):
            seed, speed = self.random.getrandbits(32), self.random.uniform(0.85, 1.2)
            w = Worker(self.workers[0].facts, self.random.choice(ZONES), speed, seed)
            await w.start(cold=True, host=self.host)
            self.workers.append(w)
            self.states[w.address] = ("gone", 0)
            made.append(w)
        await asyncio.sleep(LIST_LATE)
        for w in made:
            self.tell(w, "ready", int(w.started * S))

    async def mass_restart(self, zone: str, lasts: float) -> None:
        """All workers of a zone restart at once."""
        struck = [w for w in self.workers if w.zone == zone and w.server is not None]
        await self._down(struck)
        await asyncio.sleep(max(lasts - LIST_LATE, 0))
        await self._back_cold(struck)

    async def wrong_list(self, how: str, share: float, lasts: float) -> None:
        """The list misses servers that work, is empty, names some that are not, or stands still."""
        struck = self._some(share)
        if how == "gone":
            for w in struck:
                self.tell(w, "gone")
            await asyncio.sleep(lasts)
            for w in struck:
                if w.server is not None and self.states[w.address][0] == "gone":
                    self.tell(w, "ready")
        elif how == "ghosts":
            self.ghosts = [(f"{self.host}:{k + 1}", w.zone) for k, w in enumerate(struck)]
            self.publish()
            await asyncio.sleep(lasts)
            self.ghosts = []
            self.publish()
        elif how == "old":
            self.stale = True
            await asyncio.sleep(lasts)
            self.stale = False
            self.publish()
        else:
            with open(self.list + ".new", "w", encoding="utf-8") as out:
                out.write("[]")
            os.replace(self.list + ".new", self.list)
            await asyncio.sleep(lasts)
            self.publish()

    async def planner_dies(self, planner: int, lasts: float) -> None:
        """A planner dies and comes back with its list alone."""
        planner %= len(self.planners)
        if planner not in self.down:
            await self.kill(planner)
            await asyncio.sleep(lasts)
            await self.return_planner(planner)

    async def planner_stalls(self, planner: int, lasts: float) -> None:
        """A planner stands still."""
        await self.freeze(planner % len(self.planners), lasts)

    async def unreached(self, share: float, lasts: float) -> None:
        """Gateways reach no planner."""
        await self.lose_planners(share, lasts)

    async def late_channel(self, delay: float, pace: float, lasts: float) -> None:
        """What passes between gateways and planners is late and slow."""
        await self.slow_channel(delay, pace, lasts)

    def streams_break(self, share: float) -> None:
        """Streams break at once."""
        self.cut(share)

    async def gateways_die(self, share: float, lasts: float) -> None:
        """Gateways die, and come back with their standing tables alone."""
        struck = [self.gateways[k] for k in self._gateways(share)]
        for g in struck:
            await g.die()
        await asyncio.sleep(lasts)
        for g in struck:
            g.start()

    async def freeze(self, planner: int, seconds: float) -> None:
        """A planner stands still."""
        since = time.monotonic_ns()
        self.planners[planner].send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.planners[planner].send(signal.SIGCONT)
        self.deaf.setdefault(str(planner), []).append((since, time.monotonic_ns()))

    async def kill(self, planner: int) -> None:
        """A planner is killed outright."""
        self.down[planner] = time.monotonic_ns()
        await self.planners[planner].end(signal.SIGKILL)

    async def return_planner(self, planner: int) -> None:
        """It comes back, with nothing but the list."""
        await self.planners[planner].start()
        self.deaf.setdefault(str(planner), []).append((self.down.pop(planner), time.monotonic_ns() + S // 2))

    async def lose_planners(self, share: float, seconds: float) -> None:
        """Gateways reach no planner for a while, and go on forwarding."""
        struck = self._gateways(share)
        mine = [r for (k, _), r in self.relays.items() if k in struck]
        for relay in mine:
            relay.refusing = True
            relay.cut()
        await asyncio.sleep(seconds)
        for relay in mine:
            relay.refusing = False

    async def slow_channel(self, delay: float, pace: float, seconds: float) -> None:
        """What passes between gateways and planners is late and slow."""
        for relay in self.relays.values():
            relay.delay, relay.pace = delay, pace
        await asyncio.sleep(seconds)
        for relay in self.relays.values():
            relay.delay, relay.pace = 0.0, 0.0

    def cut(self, share: float) -> None:
        """Streams break at once; the gateways dial again."""
        for k in self._gateways(share):
            for number in range(len(self.planners)):
                self.relays[k, number].cut()

    async def stop_reading(self, gateway: int, seconds: float) -> None:
        """A gateway does not read its stream for a while."""
        self.gateways[gateway].reading.clear()
        await asyncio.sleep(seconds)
        self.gateways[gateway].reading.set()

    async def refuse(self, gateway: int, seconds: float) -> None:
        """A gateway refuses each change of its endpoints for a while, removals apart, and reconnects
        halfway."""
        client = self.gateways[gateway].client
        held = client.held
        client.refuses = (
            lambda kind, name, message: "not taken today"
            if (kind.endswith("LbEndpoint") and name not in held[kind])
            else None
        )
        await asyncio.sleep(seconds / 2)
        self.gateways[gateway].cut()
        await asyncio.sleep(seconds / 2)
        client.refuses = lambda kind, name, message: None


def _settled(log: list[dict[str, Any]]) -> int | None:
    """How many tables of a log are taken back, if all proxies acknowledged the newest of each; else None."""
    newest = {entry["table"]: entry for entry in log if entry["newest"]}
    for entry in log:  # an earlier entry may be of the very version that is the newest again
        now = newest[entry["table"]]
        if now["under_way"] or (entry["acknowledged"] and entry["version"] != now["version"]):
            return None
    return sum(entry["cause"] == "rollback" for entry in newest.values())
