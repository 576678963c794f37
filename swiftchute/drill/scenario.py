"""A drill's day: its fleet, its settings, and its troubles on a time line; and the runner on real sockets.

    evidence, replayed = await Runner(DAYS["bad-day"], seed=7, folder=path).run()

Planners run as processes of their own (`swiftchute serve`), or inside with a module of the caller's. Troubles
act on processes (stop, kill) and on sockets (relays between gateways and planners; workers' listeners), never
in a planner.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from swiftchute.config import load
from swiftchute.drill.fault_actions import ZONES, Acts
from swiftchute.drill.invariants import Evidence, Told
from swiftchute.fakes.backend import Facts, Worker
from swiftchute.fakes.gateway import Gateway, Try
from swiftchute.fakes.relay import Relay
from swiftchute.fakes.resolver import Caller, Resolver
from swiftchute.observability.logging import setup
from swiftchute.proxy.xds_client import XdsClient

S = 1_000_000_000
_RUNS = itertools.count()
# operation: work in seconds, share of invocations, objective, time-out, value, repeats
OPERATIONS = {
    "lot-estimate": (0.24, 0.68, "1200ms", "4s", 3, "idempotent"),
    "reserve-refresh": (0.18, 0.26, "1500ms", "5s", 2, "idempotent"),
    "bid-record": (0.12, 0.06, "1500ms", "5s", 2, "side-effecting"),
}
STANDING = 6  # lines of the table that a gateway starts with
ORIGIN = "lots.example."
OVERSTAY = 4.0  # seconds that a resolver of that kind keeps answers past their time


@dataclass(frozen=True)
class Trouble:
    """At `at` seconds `what` happens: a method of the runner, with arguments."""

    at: float
    what: str
    args: tuple[Any, ...] = ()


@dataclass(frozen=True)
class Day:
    """What a drill plays; figures are scaled to one machine."""

    about: str
    seconds: float
    troubles: tuple[Trouble, ...]
    workers: int = 15
    gateways: int = 24
    planners: int = 2
    rate: float = 5.0  # invocations a second that come to a gateway, on average
    grace: float = 3.0
    warm_within: float = 8.0
    bare_limit: float = 3.0
    pace: float = 1500.0
    limit: float = 3000.0
    messages: int = 30
    decider: str = ""  # in place of the module, as `serve --decider` takes it
    once: float = 0.06  # share of invocations that may take effect once only
    tables: dict[str, Any] = field(default_factory=dict)  # the planners' `tables` block
    callers: int = 0  # clients by DNS, each zone's with a resolver of their own
    overstaying: int = 0  # more of them, whose resolver keeps answers for longer than it may


def _t(at: float, what: str, *args: Any) -> Trouble:
    return Trouble(at, what, args)


DAYS = {
    "bad-day": Day(
        "a fifth of the workers die and come back cold; a rolling deploy; a planner stands still, dies and"
        " returns; gateways lose their planner; a gateway refuses a version; a slow channel",
        54.0,
        (
            _t(6, "die", 0.2),
            _t(12, "come_back"),
            _t(16, "refuse", 2, 8.0),
            _t(17, "deploy", 6, 1.5),
            _t(22, "stop_reading", 3, 4.0),
            _t(23, "freeze", 0, 4.0),
            _t(27.5, "kill", 0),
            _t(31, "return_planner", 0),
            _t(36, "lose_planners", 0.35, 5.0),
            _t(37, "drain", 1),
            _t(42, "slow_channel", 0.35, 20_000.0, 6.0),
            _t(43, "drain", 1),
            _t(44, "cut", 0.5),
        ),
    ),
    "rollback": Day(
        "a bad table is published at a drain's news; staff take it back with its levels, seven seconds later",
        26.0,
        (_t(3, "note", "before"), _t(6, "note", "bad"), _t(6, "drain", 1), _t(13, "roll_back", "bad", True)),
        workers=12,
        gateways=12,
        rate=6.0,
        decider="swiftchute.drill.faulty_policies:Skews",
    ),
    "dns-day": Day(
        "gateways and DNS clients on the same workers: a deploy, deaths, a planner that dies and returns,"
        " resolvers that keep answers too long",
        40.0,
        (_t(4, "deploy", 5, 1.5), _t(13, "die", 0.2), _t(19, "come_back"), _t(24, "drain", 1),
         _t(26, "kill", 0), _t(30, "return_planner", 0), _t(33, "drain", 1), _t(39.9, "resolved")),
        workers=15,
        gateways=12,
        callers=12,
        overstaying=3,
    ),
    "rollback-cut": Day(
        "staff take a bad table back; the planner is killed before that is acknowledged, and returns",
        20.0,
        (_t(3, "note", "before"), _t(6, "note", "bad"), _t(6, "drain", 1),
         _t(9.9, "slow_channel", 0.4, 20_000.0, 2.0), _t(10, "roll_back", "bad", True), _t(10.3, "kill", 0),
         _t(12, "return_planner", 0)),
        workers=12,
        gateways=12,
        decider="swiftchute.drill.faulty_policies:Skews",
    ),
    "canary": Day(
        "a server fails what it takes, and a bad table sends nearly everything there; a part of the gateways"
        " tries it first",
        24.0,
        (_t(2, "fail", 0.07), _t(8, "note", "before"), _t(11, "note", "bad"), _t(11, "drain", 1),
         _t(23, "note", "end"), _t(23, "compare", "before", "bad", "end")),
        workers=12,
        gateways=24,
        planners=1,
        decider="swiftchute.drill.faulty_policies:Lures",
        once=0.3,
        tables={"canary_part": 0.25, "canary_for": "2s", "canary_most": "15s"},
    ),
    "quiet": Day("nothing happens", 10.0, ()),
    "steady": Day(
        "nothing happens, for long: tries by server against what the tables in force predict",
        30.0, (_t(4, "note", "begin"), _t(29, "note", "end"), _t(29, "compare", "begin", "end")), gateways=12,
        rate=8.0),
    "half-push": Day(
        "a planner is killed while half of a push is out, and returns while a deploy goes on",
        16.0,
        (_t(1.5, "deploy", 4, 1.2), _t(2.0, "slow_channel", 0.3, 4000.0, 2.0), _t(2.2, "drain", 1),
         _t(2.5, "kill", 0), _t(4.0, "return_planner", 0), _t(8.0, "cut", 1.0)),
        workers=12,
        gateways=9,
        planners=1,
    ),
    "drains": Day("two workers drain, one after the other", 9.0, (_t(2, "drain", 1), _t(4, "drain", 1)),
                  workers=9, gateways=6, planners=1, grace=1.5),
    "cold": Day("half of a zone's workers come back cold", 12.0, (_t(2, "die", 0.34), _t(5, "come_back")),
                workers=9, gateways=6, planners=1, rate=14.0, warm_within=10.0),
    "errors": Day("half of the workers fail what they ran", 9.0, (_t(2, "fail", 0.5),),
                  workers=9, gateways=6, planners=1, rate=8.0,
        once=0.5),
}  # fmt: skip
DAYS["no-canary"] = replace(DAYS["canary"], about="the canary's day without one", tables={})


class Planner:
    """A planner under drill: a process of its own, or a service inside this one with another module."""

    def __init__(self, number: int, path: str, log: str, make: Any) -> None:
        self.number, self.path, self.log, self.make = number, path, log, make
        self.process: asyncio.subprocess.Process | None = None
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        if callable(self.make):
            from swiftchute.daemon.service import Service

            service = Service(load(self.path), setup("error", planner=self.number), self.make)
            ready = asyncio.get_running_loop().create_future()
            self.task = asyncio.ensure_future(service.run(ready.set_result, signals=False))
            await asyncio.wait({ready, self.task}, return_when=asyncio.FIRST_COMPLETED)
            return
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "swiftchute",
                "serve",
                self.path,
                *(("--decider", self.make) if self.make else ()),
                stderr=log,
                stdout=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    def send(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: int = signal.SIGTERM) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(number)
            try:
                await asyncio.wait_for(self.process.wait(), 5)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()


@dataclass
class Result:
    """What a day came to: the evidence, how invocations ended, and whether replaying every order
    changed anything."""

    evidence: Evidence
    ends: dict[str, int]
    replayed: int
    changed: list[str]
    fell: list[str]
    lost: int = 0
    notes: list[str] = field(default_factory=list)  # what troubles have to say of themselves
    failed: list[str] = field(default_factory=list)  # troubles that raised: the day was not played as written


class Runner(Acts):
    """Plays one day once."""

    def __init__(
        self,
        day: Day,
        seed: int,
        folder: str,
        make: Callable[..., Any] | str | None = None,
        say: Callable[[str], None] = lambda text: None,
        loose: dict[str, Any] | None = None,
        guard: str = "enforce",
    ) -> None:
        """`make` replaces the module (planners then run inside; named as `--decider` takes it, outside);
        `loose` replaces figures in the planners' settings only, so that a planner that does not keep the
        day's limits can be judged by them; `guard` is the mode of their guard."""
        self.guard = guard
        self.day, self.random, self.folder, self.say = day, random.Random(seed), folder, say
        self.make = make or day.decider or None
        self.noted: dict[str, tuple[float, float, float]] = {}  # when; billed value asked for and earned
        self.notes: list[str] = []
        self.loose = loose or {}
        self.seed, self.host = seed, _own_host()
        self.workers: list[Worker] = []
        self.gateways: list[Gateway] = []
        self.planners: list[Planner] = []
        self.relays: dict[tuple[int, int], Relay] = {}  # (gateway, planner)
        self.views: dict[tuple[int, str], tuple[str, int]] = {}  # (planner, zone) -> where its view answers
        self.resolvers: dict[str, Resolver] = {}
        self.states: dict[str, tuple[str, int]] = {}  # what the list says: state, start
        self.told: list[Told] = []
        self.deaf: dict[str, list[tuple[int, int]]] = {}
        self.down: dict[int, int] = {}
        self.dead: list[Worker] = []
        self.tasks: list[asyncio.Task] = []
        self.list = os.path.join(folder, "workers.json")
        self.ghosts: list[tuple[str, str]] = []  # listed, with nobody there
        self.stale = False  # the list is not written

    # -- the list

    def publish(self) -> None:
        """Write the list anew, and note what it tells from now on."""
        groups = []
        for w in self.workers:
            state, started = self.states[w.address]
            if state != "gone":
                # the label is wall clock, as in the form; six decimals, as starts are told apart by it
                start = f"{(started + time.time_ns() - time.monotonic_ns()) / S:.1f}" if started else "0"
                self.starts.setdefault((w.address, started), start)
                groups.append(
                    {
                        "targets": [w.address],
                        "labels": {
                            "zone": w.zone,
                            "kind": "std",
                            "state": state,
                            "start": self.starts[w.address, started],
                        },
                    }
                )
        for address, zone in self.ghosts:
            groups.append({"targets": [address], "labels": {"zone": zone, "kind": "std", "state": "ready"}})
        if self.stale:
            return
        with open(self.list + ".new", "w", encoding="utf-8") as out:
            json.dump(groups, out)
        os.replace(self.list + ".new", self.list)
        now = time.monotonic_ns()
        for w in self.workers:
            state, started = self.states[w.address]
            last = next((t for t in reversed(self.told) if t.server == w.address), None)
            if last is None or (last.state, last.started) != (state, started):
                self.told.append(Told(now, w.address, w.zone, state, started))

    def tell(self, worker: Worker, state: str, started: int | None = None) -> None:
        """The list says this of a worker from now on."""
        self.states[worker.address] = (state, self.states[worker.address][1] if started is None else started)
        self.publish()

    starts: dict[tuple[str, int], str]

    # -- the day

    def settings(self, number: int, port: int, **loose: Any) -> str:
        """The HCL of one planner."""
        day = replace(self.day, **loose)
        operations = [
            _block(
                f'operation "{name}"',
                latency_objective=aim,
                integration_timeout=last,
                billed_value=value,
                late_value=0.2,
                repeats=repeats,
            )
            for name, (_, _, aim, last, value, repeats) in OPERATIONS.items()
        ]
        return "\n".join(
            [
                _block(
                    "service",
                    zones=ZONES,
                    zone=ZONES[number % len(ZONES)],
                    planner=number,
                    planners=day.planners,
                    proxies=day.gateways + (len(self.views) if day.callers else 0),
                    standing_lines=STANDING,
                    avoids_after=5,
                    seed=self.seed * 100 + number,
                ),
                *operations,
                _block(
                    "rules",
                    drain_grace=f"{day.grace}s",
                    start_capacity=0.2,
                    warm_within=f"{day.warm_within}s",
                    fall_multiple=2.5,
                    fall_span="2s",
                    bare_limit=f"{day.bare_limit}s",
                ),
                _block(
                    "channel",
                    pace=day.pace,
                    limit=day.limit,
                    message_lines=6,
                    message_limit=day.messages,
                    message_window="10s",
                ),
                _block("reports", period="500ms", lines=300),
                _block('list "file"', path=self.list, every="100ms"),
                _block("guard", mode=self.guard),
                _block("tables", **day.tables),
                _block("control", socket=self._socket(number)),
                *self._dns(number),
                _block("xds", listen=f"{self.host}:{port}", ack_within="10s", read_within="8s"),
            ]
        )

    def _dns(self, number: int) -> list[str]:
        views = {zone: at for (planner, zone), at in self.views.items() if planner == number}
        if not views:
            return []
        home = ZONES[number % len(ZONES)]
        listen = {zone: f"{host}:{port}" for zone, (host, port) in views.items()}
        others = [f"{zone} {at}" for zone, at in listen.items() if zone != home]
        # all stand-ins ask from one address: the limit on a prefix is theirs together
        return [_block("dns", listen=listen[home], origin=ORIGIN, views=others, responses=5000)]

    def _socket(self, number: int) -> str:
        return os.path.join(self.folder, f"c{number}.sock")

    def _share(self, name: str, share: float) -> float:
        """An operation's share of invocations, with the side-effecting one at the day's."""
        once = self.day.once
        usual = OPERATIONS["bid-record"][1]
        return once if name == "bid-record" else share * (1 - once) / (1 - usual)

    async def _fleet(self) -> None:
        day = self.day
        facts = Facts({name: row[0] for name, row in OPERATIONS.items()}, warm_within=day.warm_within)
        self.workers = [
            Worker(facts, ZONES[k % 3], self.random.uniform(0.85, 1.2), self.random.getrandbits(32))
            for k in range(day.workers)
        ]
        self.starts = {}
        for w in self.workers:
            await w.start(host=self.host)
            self.states[w.address] = ("ready", 0)
        self.publish()
        self.addresses = {}
        for number in range(day.planners):
            port = _free_port(self.host)
            if day.callers:
                self.views |= {(number, zone): (self.host, _free_port(self.host)) for zone in ZONES}
            path = os.path.join(self.folder, f"planner-{number}.hcl")
            with open(path, "w", encoding="utf-8") as out:
                out.write(self.settings(number, port, **self.loose))
            self.addresses[number] = (self.host, port)
            log = os.path.join(self.folder, f"planner-{number}.log")
            self.planners.append(Planner(number, path, log, self.make))
            await self.planners[-1].start()
        self.dialled: dict[str, str] = {}
        operations = load(os.path.join(self.folder, "planner-0.hcl")).settings.operations
        worth = {
            op.name: (op.latency_objective_ns / S, op.value, op.late_value_fraction) for op in operations
        }
        for k in range(day.gateways):
            zone = ZONES[k % 3]
            dial = []
            for number, address in self.addresses.items():
                relay = self.relays[k, number] = Relay(address)
                at = await relay.start(self.host)
                self.dialled[f"{at[0]}:{at[1]}"] = str(number)
                dial.append(at)
            share = 0.5 + self.random.random()
            client = XdsClient(
                f"gw-{k:02}", zone, day.rate * share, delta=k % 4 != 3, endpoint_collections=k % 2 == 0
            )
            own = [w.address for w in self.workers if w.zone == zone]
            client.static_endpoints = dict.fromkeys(self.random.sample(own, min(STANDING, len(own))), 1)
            gateway = Gateway(client, dial, self.random.getrandbits(32), keepalive_s=0.8, worth=worth)
            self.gateways.append(gateway)
            gateway.start()
        for (number, _), at in self.views.items():
            self.dialled[f"{at[0]}:{at[1]}"] = str(number)
        for k in range(day.callers + day.overstaying):
            zone, late = ZONES[k % 3], k >= day.callers
            which = f"{zone}{' late' if late else ''}"
            if which not in self.resolvers:
                ways = [at for (_, of), at in self.views.items() if of == zone]
                self.resolvers[which] = Resolver(ways, ORIGIN, self.random.getrandbits(32), OVERSTAY * late)
            seed, rate = self.random.getrandbits(32), day.rate * (0.5 + self.random.random())
            node = f"{'late' if late else 'dns'}-{k:02}"
            self.gateways.append(Caller(node, zone, rate, self.resolvers[which], seed, worth))

    async def run(self) -> Result:
        """Play the day; all that was started is ended whatever happens."""
        try:
            await self._fleet()
            for _ in range(100):  # planners of their own processes need a moment to come up
                if all(g.connected_to for g in self.gateways if not isinstance(g, Caller)):
                    break
                await asyncio.sleep(0.1)
            begin = time.monotonic()
            for g in self.gateways:
                for name, row in OPERATIONS.items():
                    self.tasks.append(
                        asyncio.ensure_future(
                            g.load(
                                name,
                                g.client.request_rate_per_s * self._share(name, row[1]),
                                self.day.seconds,
                            )
                        )
                    )
            self.say(
                f"{len(self.workers)} workers, {len(self.gateways)} gateways, {len(self.planners)} planners"
            )
            for trouble in self.day.troubles:
                await asyncio.sleep(max(begin + trouble.at - time.monotonic(), 0))
                self.say(f"{trouble.at:5.1f} s  {trouble.what} {' '.join(map(str, trouble.args))}")
                made = getattr(self, trouble.what)(*trouble.args)
                if asyncio.iscoroutine(made):
                    self.tasks.append(asyncio.ensure_future(made))
            await asyncio.sleep(max(begin + self.day.seconds - time.monotonic(), 0))
            end = time.monotonic_ns()
            result = self._result(end)
            await asyncio.sleep(0.2)
            self._replay(result)
            return result
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for g in self.gateways:
                await g.stop()
            for p in self.planners:
                await p.end()
            for r in self.relays.values():
                await r.stop()
            for w in self.workers:
                await w.die()

    def _result(self, end: int) -> Result:
        records = [g.record for g in self.gateways]
        for planner, since in self.down.items():
            self.deaf.setdefault(str(planner), []).append((since, end))
        ends: dict[str, int] = {}
        for record in records:
            for name, count in record.ends.items():
                ends[name] = ends.get(name, 0) + count
        settings = _checked(self.settings(0, 1), os.path.join(self.folder, "day.hcl"))
        evidence = Evidence(
            settings,
            list(self.told),
            [o for r in records for o in r.orders],
            [t for r in records for t in r.tries],
            [s for r in records for s in r.streams],
            [x for w in self.workers for x in w.receipts],
            {
                g.client.node: (
                    g.client.zone,
                    g.client.request_rate_per_s,
                    g.client.delta,
                    g.client.endpoint_collections,
                    dict(g.client.static_endpoints),
                )
                for g in self.gateways
                if not isinstance(g, Caller)
            },
            {w.address: w.facts.cores * w.speed for w in self.workers},
            self.deaf,
            end,
            self.dialled,
            {n: c.answers for n, c in self._callers().items() if not c.resolver.overstay},
            frozenset(n for n, c in self._callers().items() if c.resolver.overstay),
        )
        fell = [w.address for w in self.workers for _ in w.fell]
        failed = [
            repr(task.exception())
            for task in self.tasks
            if task.done() and not task.cancelled() and task.exception() is not None
        ]
        return Result(evidence, ends, 0, [], fell, sum(r.lost for r in records), self.notes, failed)

    def _callers(self) -> dict[str, Caller]:
        return {g.client.node: g for g in self.gateways if isinstance(g, Caller)}

    def resolved(self) -> None:
        """What came of the clients by DNS, and by how much overstaying resolvers were late for drains."""
        for late in (False, True):
            callers = [c for c in self._callers().values() if bool(c.resolver.overstay) == late]
            asked, earned = (sum(getattr(c.record, key) for c in callers) for key in ("asked", "earned"))
            tries = [t for c in callers for t in c.record.tries]
            worst = max((self._after_news(t) for t in tries), default=0.0)
            kind = f"overstay by {OVERSTAY:g} s" if late else "keep their time"
            part = 100 * earned / max(asked, 1)
            self.notes.append(
                f"{len(callers)} clients whose resolvers {kind}: {part:.1f}% of billed value in time;"
                f" {len(tries)} tries, the last {worst:.2f} s after its server's drain was listed"
            )
        self.notes += [
            f"resolver {name}: asked {r.asked}, by TCP {r.cut}, nothing got {r.failed} times"
            for name, r in self.resolvers.items()
        ]

    def _after_news(self, t: Try) -> float:
        rows = [r for r in self.told if r.server == t.server and r.at <= t.at]
        if not rows or rows[-1].state == "ready":
            return 0.0
        first = len(rows) - 1
        while first and rows[first - 1].state != "ready":
            first -= 1
        return (t.at - rows[first].at) / S

    def _replay(self, result: Result) -> None:
        """Deliver every order of the day twice more: nothing may change and no worker may hear of it."""
        before = {g.client.node: (repr(g.client.tables), repr(g.client.resources)) for g in self.gateways}
        heard = sum(len(w.receipts) for w in self.workers)
        tries = sum(len(g.record.tries) for g in self.gateways)
        by = {g.client.node: g.client for g in self.gateways}
        for order in result.evidence.orders * 2:
            by[order.gateway].receive(order.data)
            result.replayed += 1
        result.changed = [
            n for n, was in before.items() if (repr(by[n].tables), repr(by[n].resources)) != was
        ]
        if (
            sum(len(w.receipts) for w in self.workers) != heard
            or sum(len(g.record.tries) for g in self.gateways) != tries
        ):
            result.changed.append("workers' counters")


def _block(head: str, **values: Any) -> str:
    """A block of HCL: its plain values are written as JSON's are."""
    return "\n".join(
        [f"{head} {{", *(f"  {key} = {json.dumps(value)}" for key, value in values.items()), "}"]
    )


def _own_host() -> str:
    """A loopback address of this run's own.

    Runs at the same time would meet at one address: a worker that is down for a moment loses its port to
    another
    run, whose gateways' invocations then count here.
    """
    number = os.getpid() * 16 + next(_RUNS) % 16
    return f"127.{1 + (number >> 16) % 250}.{(number >> 8) % 256}.{1 + number % 250}"


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def _checked(text: str, path: str) -> Any:
    with open(path, "w", encoding="utf-8") as out:
        out.write(text)
    return load(path).settings
