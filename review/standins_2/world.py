"""Stand-ins for the users' platform: discovery, the channel, proxies, collectors and servers, in one process.

They follow the pages of the protocol and of the wire, and act on the real clock with sockets on loopback.
Each planner is a process started with `run` of the deploy file. What is sent, answered and run is recorded.
"""

import asyncio
import json
import logging
import math
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import OrderedDict, deque
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
logging.getLogger("asyncio").setLevel(logging.ERROR)  # not of writes to connections that were reset
SLACK_S = 0.3  # of the time limits of the rules, by the protocol page
SLACK_COLD = 1.25  # of the budget of a cold server: "a little slack for chance"
FIRST_LIMIT_S = 1.0  # after the first answer of the planner, by the protocol page


def settings(zones, classes=None, rules=None, **specifics):
    """The settings of the wire page's example, with the parts that a case changes."""
    return {
        "classes": classes or [
            {"credit": 3.0, "deadline_us": 4000000, "group": "all", "late_value": 0.2, "name": "lot-estimate",
             "semantics": "free", "slo_us": 1200000, "window_us": 5000000},
        ],
        "dcs": zones,
        "goal": {"whole": 0.5, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.2},
        "group_size": 1, "kinds": ["std-4core"], "ordinal": 0,
        "permissions": {"connect_timeout_us": 300000, "cpu_us_per_s": 600000, "keepalive_us": 15000000,
                        "multiplex": 32, "peer_messages": False, "probes": False},
        "prices": {"connection": 0.02, "cross_zone": 0.08, "handshake": 0.02, "late_fail": 0.05, "moves": 0.0,
                   "peer": 0.0, "probe": 0.0, "registry_mode": 0.0, "waste": 0.05},
        "registry_mode": "automatic", "round_us": 5000,
        "rules": {"ask_within_us": 10000000, "drain_grace_us": 3100000, "fall_multiple": 2.5,
                  "fall_us": 1500000, "start_capacity": 0.16, "warm_within_us": 18000000} | (rules or {}),
        "specifics": {
            "admission": "fraction", "agents": 12, "base_mode": 1,
            "class_writes": [False] * len(classes or [0]), "egress_per_s": 2500.0, "empty_for_us": 4700000,
            "fails_to_eject": 8, "hold_us": 300000, "initial_set": 6, "interval_us": 500000,
            "late_most_us": 392500, "lease_us": 2500000, "line_fee": 0.04, "min_conn_cap": 318.0,
            "move_price": 0.01, "per_message": 10.0, "per_try": 1.0, "push_delay_us": 157000,
            "queue_cap": 5000.0, "ranges": 0, "reports_per_s": 120.0, "selects_by": "random",
            "single_writer": False, "stays_local": [False] * len(classes or [0]), "update_cap": 30,
            "update_window_us": 10000000, "warm_keys": False, "write_life_us": 20000, "zonal": True,
        } | specifics,
        "stats": {"fields": [], "via": "off"}, "value_by": "request", "weight_source": "off",
        "workload": "control", "zone": zones[0],
    }  # fmt: skip


class Record:
    """The record of a case."""

    def __init__(self, path):
        self.file = open(path, "w")  # noqa: SIM115
        self.epoch = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def now(self):
        return time.monotonic() - self.epoch


class Server:
    """A server: answers each request after its time of work, until its process ends."""

    def __init__(self, world, name, zone, started_s=None):
        self.world, self.name, self.zone = world, name, zone
        self.phase, self.started_s = "Ready", started_s
        self.up_since_ms = (
            0 if started_s is None else int((time.time() - world.record.now() + started_s) * 1000)
        )
        self.host = f"127.0.1.{len(world.servers) + 1}"  # no connection of a client takes its port meanwhile
        self.listener, self.port, self.served, self.writers = None, 0, 0, set()

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                await asyncio.sleep(self.world.work_s)
                self.served += 1
                self.world.record(f"server {self.name} answered {request.decode().split(' ')[1]}")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        """The process ends: its connections are reset, and new ones are refused."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def member(self):
        return {"id": self.name, "host_port": f"{self.host}:{self.port}", "locality": self.zone,
                "flavor": "std-4core",
                "cell": 0, "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms}  # fmt: skip


class Discovery:
    """The agent of discovery on a planner's machine."""

    def __init__(self, world):
        self.world = world
        self.revision = 1
        self.history = []  # (revision, members)
        self.watches = set()
        self.silent = False  # discovery is down
        self.told = {}  # by server: [when told to drain or to be gone, when to be ready again], each time

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.ticker = asyncio.ensure_future(self._tick())

    def whole_list(self):
        members = [server.member() for server in self.world.servers.values() if server.phase != "Gone"]
        return {"revision": self.revision, "complete": True, "members": members}

    def change(self, servers):
        """Tell a change of some servers, in one line."""
        self.revision += 1
        members = [server.member() for server in servers]
        self.history.append((self.revision, members))
        now = self.world.record.now()
        for server in servers:
            spans = self.told.setdefault(server.name, [])
            not_ready = bool(spans) and spans[-1][1] == math.inf
            if server.phase == "Ready" and not_ready:
                spans[-1][1] = now
            elif server.phase != "Ready" and not not_ready:
                spans.append([now, math.inf])
        self.world.record(f"discovery tells {[(server.name, server.phase) for server in servers]}")
        self._write({"revision": self.revision, "complete": False, "members": members})

    def _write(self, line):
        data = json.dumps(line).encode() + b"\n" if line is not None else b"\n"
        for writer in list(self.watches):
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def _tick(self):
        while True:
            await asyncio.sleep(2)
            if not self.silent:
                self._write(None)

    async def _serve(self, reader, writer):
        try:
            request = (await reader.readline()).decode()
            while (await reader.readline()).strip():
                pass
            if self.silent:
                await reader.read()
                return
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            after = request.partition("after=")[2].partition(" ")[0].partition("&")[0]
            line = self.whole_list()
            if after and int(after) >= 1:
                members = [
                    member
                    for revision, changed in self.history
                    if revision > int(after)
                    for member in changed
                ]
                line = {"revision": self.revision, "complete": False, "members": members}
            data = json.dumps(line).encode() + b"\n"
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            self.watches.add(writer)
            await reader.read()
        except OSError:
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


class Channel:
    """The channel of a planner: messages leave one by one, and arrive later, in order for each proxy."""

    def __init__(self, world):
        self.world = world
        self.waiting = deque()  # (stream, lines, parts, entered_s)
        self.waiting_lines = self.most_lines = 0
        self.entered = asyncio.Event()
        self.task = asyncio.ensure_future(self._send())

    def enter(self, stream, parts):
        lines = self.world.specifics["per_message"]
        for part in parts:
            lines += (
                len(part.get("endpoints") or ())
                + len(part.get("eject") or ())
                + len(part.get("restore") or ())
            )
            lines += ("admit" in part) + bool(part.get("full")) + ("nonce_out" in part)
        self.waiting.append((stream, lines, parts, self.world.record.now()))
        self.waiting_lines += lines
        self.most_lines = max(self.most_lines, self.waiting_lines)
        self.entered.set()

    async def _send(self):
        free_at = 0.0
        while True:
            if not self.waiting:
                self.entered.clear()
                await self.entered.wait()
            stream, lines, parts, entered_s = self.waiting[0]
            now = self.world.record.now()
            if not stream.open:  # a stream that counts as left: what is on its way to it is lost
                self.waiting.popleft()
                self.waiting_lines -= lines
                continue
            free_at = max(free_at, now - 0.02) + lines / self.world.specifics["egress_per_s"]
            if free_at > now:
                await asyncio.sleep(free_at - now)
            self.waiting.popleft()
            self.waiting_lines -= lines
            mean, most = (
                self.world.specifics["push_delay_us"] / 1e6,
                self.world.specifics["late_most_us"] / 1e6,
            )
            delay = min(self.world.random.uniform(0.3, 1.7) * mean, most)
            stream.arrive(self.world.record.now() + delay, parts, entered_s)


class Stream:
    """A proxy's connection to a planner."""

    def __init__(self, proxy, planner):
        self.proxy, self.planner, self.world = proxy, planner, proxy.world
        self.open, self.reader, self.writer = False, None, None
        self.joined_s = None
        self.silent = False
        self.last_arrival_s, self.travelling = 0.0, deque()

    async def run(self):
        """Connect, join, and read until the connection ends."""
        try:
            self.reader, self.writer = await asyncio.open_connection(*self.planner.address, limit=1 << 21)
        except OSError:
            return
        self.open, self.joined_s = True, self.world.record.now()
        proxy = self.proxy
        self.send({"msg": "hello", "proxy": proxy.number, "zone": proxy.zone, "weight": self.world.rate_per_s,
                   "fresh": proxy.fresh})  # fmt: skip
        self.world.record(f"proxy {proxy.number} joins {self.planner.name}, fresh {proxy.fresh}")
        parts = []
        try:
            while line := await self.reader.readline():
                if self.silent:
                    continue
                part = json.loads(line)
                if part["msg"] == "error":
                    self.world.record(f"proxy {proxy.number} is told {part}")
                    continue
                if part["msg"] != "push":
                    continue
                parts.append(part)
                if not part.get("continued"):
                    self.planner.channel.enter(self, parts)
                    parts = []
        except OSError:
            pass
        finally:
            if self.open:
                self.world.record(f"proxy {proxy.number}: the stream to {self.planner.name} ended")
            self.open = False
            self.writer.close()

    def send(self, message):
        if self.open and not self.silent:
            self.writer.write(json.dumps(message).encode() + b"\n")

    def arrive(self, at_s, parts, entered_s):
        self.last_arrival_s = at_s = max(at_s, self.last_arrival_s)
        delay = max(at_s - self.world.record.now(), 0)
        self.travelling.append((parts, entered_s))
        asyncio.get_running_loop().call_later(delay, self._apply)

    def _apply(self):
        parts, entered_s = self.travelling.popleft()  # in order, also where two arrive at one time
        if not self.open or self.silent:
            return
        for part in parts:
            self.proxy.apply(part)
        marks = [part["nonce_out"] for part in parts if "nonce_out" in part]
        for mark in marks:
            took_ms = (self.world.record.now() - entered_s) * 1000
            self.send({"msg": "ack", "proxy": self.proxy.number, "mark": mark, "took_ms": round(took_ms, 1)})

    def cut(self):
        """The network to the planner falls silent: nothing passes, and the connection stays open."""
        self.silent, self.open = True, False
        self.world.record(f"proxy {self.proxy.number} is cut off from {self.planner.name}")

    def reset(self):
        if self.writer is not None:
            self.open = False
            self.writer.transport.abort()


class Proxy:
    """A proxy: follows its tables, and reads the list no more after its start."""

    def __init__(self, world, number, zone, planner):
        self.world, self.number, self.zone, self.planner = world, number, zone, planner
        self.fresh, self.stream, self.cut_off = True, None, False
        near = [name for name, s in world.servers.items() if s.zone == zone and s.phase == "Ready"]
        all_ready = [name for name, s in world.servers.items() if s.phase == "Ready"]
        drawn = near if len(near) >= 3 else all_ready
        count = min(world.specifics["initial_set"], len(drawn))
        standing = dict.fromkeys(world.random.sample(drawn, count), 1.0)
        self.tables = {name: dict(standing) for name in world.class_names}
        self.levels, self.tokens = {}, {}
        self.shut_out = set()
        self.failures, self.avoided_until = {}, {}
        self.empty_since_s = {}

    def apply(self, part):
        self.fresh = False
        for name in part.get("routes") or self.world.class_names:
            if part.get("full"):
                self.tables[name] = {}
                self.levels.pop(name, None)
            for server, weight in part.get("endpoints") or ():
                if weight:
                    self.tables[name][server] = weight
                else:
                    self.tables[name].pop(server, None)
            if "admit" in part:
                self.levels[name] = (part["admit"], part["policy"])
        self.shut_out |= set(part.get("eject") or ())
        self.shut_out -= set(part.get("restore") or ())
        self.world.record(f"proxy {self.number} applied {json.dumps(part)}")

    def usable(self, name):
        """The lines that the proxy may pick for a class."""
        return {s: weight for s, weight in self.tables[name].items() if s not in self.shut_out}

    async def connect(self):
        """Keep a stream to the planner; dial again after each end."""
        while True:
            if not self.cut_off:
                self.stream = Stream(self, self.planner)
                await self.stream.run()
            await asyncio.sleep(self.world.random.uniform(0.2, 1.5))

    async def forward(self):
        """Send the requests of the clients."""
        number = 0
        while True:
            await asyncio.sleep(self.world.random.expovariate(self.world.rate_per_s))
            number += 1
            name = self.world.class_names[number % len(self.world.class_names)]
            task = asyncio.ensure_future(self._request(name, f"{self.number}-{number}"))
            self.world.requests.add(task)
            task.add_done_callback(self.world.requests.discard)

    def _lets_in(self, name, level):
        """Whether a request is let in: a level is a share, or a rate that holds for each class."""
        if self.world.specifics["admission"] == "fraction":
            return self.world.random.random() < level
        if self.world.specifics["admission"] == "off" or level == math.inf:
            return True
        now = self.world.record.now()
        tokens, since = self.tokens.get(name, (1.0, now))
        tokens = min(tokens + (now - since) * level, max(level, 1.0))
        self.tokens[name] = (tokens - 1 if tokens >= 1 else tokens, now)
        return tokens >= 1

    async def _request(self, name, request):
        world = self.world
        if self.stream is not None and self.stream.open:
            world.count_demand(self.number, name)
        level, policy = self.levels.get(name, (math.inf, world.specifics["base_mode"]))
        if not self._lets_in(name, level):
            world.record(f"request {request} refused at level {level}")
            return
        tried = set()
        for _ in range(2 if policy else 1):
            now = world.record.now()
            lines = {s: w for s, w in self.usable(name).items() if s not in tried}
            lines = {s: w for s, w in lines.items() if self.avoided_until.get(s, 0) < now} or lines
            if not lines:
                world.record(f"request {request} of {name}: no line to pick")
                world.unserved += 1
                return
            server = world.random.choices(list(lines), list(lines.values()))[0]
            tried.add(server)
            joined_s = self.stream.joined_s if self.stream is not None and self.stream.open else None
            world.sends.append((now, self.number, server, joined_s))
            world.record(f"request {request} of {name} -> {server}")
            outcome, took_s = await self._try(world.servers[server], request)
            if joined_s is not None:
                world.count_outcome(self.zone, server, outcome == "ok", took_s)
            if outcome == "ok":
                self.failures[server] = 0
                world.served += 1
                return
            self.failures[server] = self.failures.get(server, 0) + 1
            if (
                world.specifics["fails_to_eject"]
                and self.failures[server] >= world.specifics["fails_to_eject"]
            ):
                self.avoided_until[server] = world.record.now() + 5
                self.failures[server] = 0
            world.record(f"request {request} at {server}: {outcome}")
            if outcome != "refused" and policy < 2:
                break
        world.unserved += 1

    async def _try(self, server, request):
        started = time.monotonic()
        outcome = "refused"
        try:
            reader, writer = await asyncio.open_connection(server.host, server.port)
            outcome = "reset"
            try:
                writer.write(f"GET /{request} HTTP/1.1\r\nHost: {server.name}\r\n\r\n".encode())
                if (await asyncio.wait_for(reader.readline(), 4)).startswith(b"HTTP/1.1 200"):
                    outcome = "ok"
            finally:
                writer.transport.abort()
        except (OSError, TimeoutError):
            pass
        return outcome, time.monotonic() - started


class Planner:
    """One planner: a process started by `run` of the deploy file, its configuration and its channel."""

    def __init__(self, world, name):
        self.world, self.name, self.process = world, name, None
        self.channel = Channel(world)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.answered_s = None
        self.collectors = {}

    async def start(self, known=None):
        world = self.world
        configuration = {
            "name": self.name, "listen": f"127.0.0.1:{self.address[1]}",
            "discovery": f"127.0.0.1:{world.discovery.port}", "seed": f"{world.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 1024},
            "known": known or world.discovery.whole_list(), "settings": world.settings,
        }  # fmt: skip
        path = Path(world.folder) / f"{self.name}.json"
        path.write_text(json.dumps(configuration))
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        environment = os.environ | {
            "GW_NAME": self.name,
            "GW_LISTEN": configuration["listen"],
            "GW_DISCOVERY": configuration["discovery"],
            "GW_CONFIG": str(path), "PYTHONDONTWRITEBYTECODE": "1", "TMPDIR": world.folder,
        }  # fmt: skip
        log = open(Path(world.folder) / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        for _ in range(300):
            if await self._is_alive():
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the planner was not ready in 30 s")
        self.answered_s = world.record.now()
        world.record(f"planner {self.name} is ready")

    async def _is_alive(self):
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b'{"msg":"probe"}\n')
            answer = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b"alive" in answer

    async def collect(self, zone):
        """The zone's collector keeps a connection to the planner."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(json.dumps({"msg": "agent", "zone": zone}).encode() + b"\n")
                self.collectors[zone] = writer
                await reader.read()
            except OSError:
                pass
            self.collectors.pop(zone, None)
            await asyncio.sleep(0.5)

    async def end(self, number=signal.SIGKILL):
        """End the process that this stand-in started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()
        self.world.record(f"planner {self.name} ended")

    def log_text(self):
        return (Path(self.world.folder) / f"{self.name}.log").read_text()


class World:
    """All stand-ins of a case."""

    def __init__(self, record_path, settings_, rate_per_s=0.5, work_s=0.1, seed=1):
        self.record = Record(record_path)
        self.settings, self.specifics = settings_, settings_["specifics"]
        self.class_names = [each["name"] for each in settings_["classes"]]
        self.rate_per_s, self.work_s = rate_per_s, work_s
        self.random = random.Random(seed)
        self.folder_owner = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.folder_owner.name
        self.servers, self.proxies, self.planners = {}, [], []
        self.sends = []  # (time, proxy, server, when the proxy's stream was joined, or None)
        self.served = self.unserved = 0
        self.sums = OrderedDict()  # reports that wait, oldest first: key -> [start, tries, failed, time]
        self.discovery = Discovery(self)
        self.tasks, self.requests = [], set()
        self.empty = []  # (proxy, class, since, until)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def add_server(self, name, zone, started_s=None):
        server = Server(self, name, zone, started_s)
        await server.start()
        self.servers[name] = server
        return server

    async def add_planner(self, name):
        planner = Planner(self, name)
        self.planners.append(planner)
        await planner.start()
        for zone in self.settings["dcs"]:
            self.spawn(planner.collect(zone))
        return planner

    def add_proxy(self, number, zone, planner):
        proxy = Proxy(self, number, zone, planner)
        self.proxies.append(proxy)
        self.spawn(proxy.connect())
        self.spawn(proxy.forward())
        return proxy

    def count_demand(self, proxy, name):
        key = ("demand", proxy, name)
        self.sums.setdefault(key, [self.record.now(), 0, 0, 0.0])[1] += 1

    def count_outcome(self, zone, server, good, took_s):
        sums = self.sums.setdefault(("outcomes", zone, server), [self.record.now(), 0, 0, 0.0])
        sums[1] += 1
        if good:
            sums[3] += took_s
        else:
            sums[2] += 1

    async def report(self):
        """Give the planners their reports each period, the oldest first, and not more than their rate."""
        period_s = self.specifics["interval_us"] / 1e6
        while True:
            await asyncio.sleep(period_s)
            due = []
            for _ in range(min(len(self.sums), int(self.specifics["reports_per_s"] * period_s))):
                due.append((*self.sums.popitem(last=False), self.record.now()))
            asyncio.get_running_loop().call_later(0.3, self._hand_over, due)

    def _hand_over(self, due):
        for (kind, first, second), (since, tries, failed, took_s), until in due:
            span_ms = max((until - since) * 1000, 1.0)
            if kind == "demand":
                stream = self.proxies[first].stream
                if stream is not None:
                    stream.send({"msg": "demand", "proxy": first, "class": second, "tries": tries,
                                 "failed": failed, "span_ms": span_ms})  # fmt: skip
                continue
            good = tries - failed
            message = {"msg": "outcomes", "zone": first, "server": second, "tries": tries, "failed": failed,
                       "mean_ms": took_s / good * 1000 if good else 0, "span_ms": span_ms}  # fmt: skip
            for planner in self.planners:
                writer = planner.collectors.get(first)
                if writer is not None:
                    writer.write(json.dumps(message).encode() + b"\n")

    async def watch_empty(self):
        """Note for how long each joined proxy has no line to pick for a class."""
        while True:
            await asyncio.sleep(0.05)
            now = self.record.now()
            for proxy in self.proxies:
                joined = proxy.stream is not None and proxy.stream.open
                for name in self.class_names:
                    if joined and not proxy.usable(name):
                        proxy.empty_since_s.setdefault(name, now)
                    else:
                        since = proxy.empty_since_s.pop(name, None)
                        if since is not None:
                            self.empty.append((proxy.number, name, since, now))

    async def close(self):
        for task in [*self.tasks, *self.requests]:
            task.cancel()
        for planner in self.planners:
            await planner.end()
        for server in self.servers.values():
            server.end()
        await asyncio.sleep(0.5)  # until the connections have ended
        sys.unraisablehook = lambda _: None  # writers that are collected after the loop has ended
        now = self.record.now()
        for proxy in self.proxies:
            self.empty += [(proxy.number, name, since, now) for name, since in proxy.empty_since_s.items()]
        self.record.file.close()
        self.folder_owner.cleanup()


def run(main):
    """Run a case and exit with its code, or with 2 if it could not run; SIGTERM ends its processes too."""

    async def until_signal():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await main()

    try:
        sys.exit(asyncio.run(until_signal()))
    except (OSError, RuntimeError, ValueError, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)


def late_drains(world, planner):
    """Sends of joined proxies to servers that drain or are gone, after the limit of the rule.

    Returns (time, proxy, server, seconds over the limit) for each.
    """
    grace_s = world.settings["rules"]["drain_grace_us"] / 1e6 + SLACK_S
    late = []
    for now, proxy, server, joined_s in world.sends:
        for told_s, ready_s in world.discovery.told.get(server, ()):
            if joined_s is None or not told_s <= now < ready_s:
                continue
            limit_s = max(told_s, joined_s, planner.answered_s + FIRST_LIMIT_S) + grace_s
            if now > limit_s:
                late.append((now, proxy, server, now - limit_s))
    return late


def cold_overloads(world, capacity_per_s):
    """Servers that got more than the budget of the rule on cold servers.

    A server's capacity grows evenly from `start_capacity` at its start to all of `capacity_per_s` at
    `warm_within`. Returns (server, seconds since its start, requests in the span, the budget) for each.
    """
    rules = world.settings["rules"]
    span_s, warm_s = rules["fall_us"] / 1e6, rules["warm_within_us"] / 1e6
    offset_s = time.time() - world.record.now()
    times = {name: [] for name, server in world.servers.items() if server.up_since_ms}
    for now, _, name, _ in world.sends:
        if name in times and now + offset_s >= world.servers[name].up_since_ms / 1000:
            times[name].append(now + offset_s - world.servers[name].up_since_ms / 1000)
    over = []
    for name, ages in times.items():
        span, worst = deque(), None
        for age in ages:
            span.append(age)
            while span[0] <= age - span_s:
                span.popleft()
            share = rules["start_capacity"] + (1 - rules["start_capacity"]) * age / warm_s
            budget = rules["fall_multiple"] * share * capacity_per_s * span_s
            if age < warm_s and (worst is None or len(span) / budget > worst[2] / worst[3]):
                worst = (name, age, len(span), budget)
        if worst is not None and worst[2] > SLACK_COLD * worst[3]:
            over.append(worst)
    return over
