"""A small deployment on loopback: planners as processes, and stand-ins for all that they speak with.

The stand-ins follow the users' pages: servers, gateways (proxies) with their clients, zones' collectors,
a discovery agent beside each planner, and the paced channel from a planner to its gateways. All of them live
in this process, on sockets and the real clock; the planners are started by `run` of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
SLACK_S = 0.3  # the time limits of the rules on sockets are this much longer
FIRST_S = 1.0  # and begin no sooner than this after the planner first answered
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
UNINTERESTING = ("proxy disconnected", "condition changed")  # events of a planner's log that are not recorded


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class CouldNotRunError(Exception):
    """The case could not be played; that says nothing about the rule."""


class Lab:
    """The clock, the record and all parties of a case."""

    def __init__(self, folder, settings, planners=1, seed=1):
        self.started = time.monotonic()
        self.random = random.Random(seed)
        self.work_ms = settings.pop("work_ms")  # by class; the planner is not told
        self.settings = settings
        self.specifics = settings["specifics"]
        self.classes = [each["name"] for each in settings["classes"]]
        self.zones = settings["dcs"]
        local = self.specifics.get("stays_local") or [False] * len(self.classes)
        self.local = {name for name, stays in zip(self.classes, local, strict=True) if stays}
        self.record_file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115
        self.temporary = tempfile.TemporaryDirectory()
        self.servers = {}
        self.gateways = []
        self.reported = set()
        self.times_factor = 1.0  # by which the times of the rules grow, as a channel is slower
        self.faults = []  # broken rules, as text
        self.tasks = []
        self.discoveries = []
        self.planners = [Planner(self, number) for number in range(planners)]
        self.counts = dict.fromkeys(("sent", "ok", "failed", "refused", "no line"), 0)

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        if not self.record_file.closed:
            self.record_file.write(f"{self.now():8.3f} {text}\n")

    def broken(self, text):
        self.faults.append(text)
        self.note(f"BROKEN {text}")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def add_servers(self, names_by_zone):
        for zone, names in names_by_zone.items():
            for name in names:
                self.servers[name] = await Server(self, name, zone).start()

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for planner in self.planners:
            planner.end()
        for planner in self.planners:
            for line in planner.log_text().splitlines():
                if not any(f'"{event}"' in line for event in UNINTERESTING):
                    self.note(f"log of planner {planner.name}: {line}")
        self.note(f"requests {self.counts}")
        self.record_file.close()
        self.temporary.cleanup()

    def members(self):
        return [server.member() for server in self.servers.values() if server.phase != "Gone"]


class Server:
    """A server: takes requests on its own address, answers each after its work."""

    def __init__(self, lab, name, zone):
        self.lab, self.name, self.zone = lab, name, zone
        self.phase, self.up_since_ms, self.runs = "Ready", 0, True
        self.writers = set()

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def member(self):
        return {
            "id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone, "flavor": "std4",
            "cell": 0, "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms,
        }  # fmt: skip

    def crash(self):
        self.runs = False
        for writer in list(self.writers):
            writer.transport.abort()

    def restart(self):
        self.runs, self.up_since_ms = True, int(time.time() * 1000)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                if not self.runs:
                    break
                self.lab.note(f"ran {line.decode().strip()} at {self.name}")
                least_ms, most_ms = self.lab.work_ms[line.split()[1].decode()]
                await asyncio.sleep(self.lab.random.uniform(least_ms, most_ms) / 1000)
                writer.write(b"ok\n")
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Discovery:
    """The agent on a planner's machine: answers at once with what it has been sent."""

    def __init__(self, lab, revision=40):
        self.lab, self.revision = lab, revision
        self.members = {}
        self.changes = []  # (revision, members)
        self.watches = set()
        self.down = False  # says nothing, and answers nobody
        self.told = {}  # by server: (time, phase) as last written to the planner
        self.told_revision = [0]

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"
        self.lab.discoveries.append(self)
        return self

    def follow(self, other):
        """Speak to the planner to which another agent has spoken so far."""
        self.told, self.told_revision = other.told, other.told_revision

    def load(self, members):
        self.members = {member["id"]: dict(member) for member in members}

    def change(self, *members):
        """Take changes in: told to the planner at once."""
        self.revision += 1
        members = [dict(member) for member in members]
        self.changes.append((self.revision, members))
        for member in members:
            if member["phase"] == "Gone":
                self.members.pop(member["id"], None)
            else:
                self.members[member["id"]] = member
        for writer in list(self.watches):
            self._write(writer, self._line(False, members))

    def _line(self, complete, members):
        return {"revision": self.revision, "complete": complete, "members": members}

    def _write(self, writer, line):
        data = b"\n" if line is None else json.dumps(line).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        if line is None:
            return
        if line["revision"] < self.told_revision[0]:
            self.lab.note(f"told an older list, {line['revision']}, after {self.told_revision[0]}")
            return
        self.told_revision[0] = line["revision"]
        for member in line["members"]:
            told, phase = self.told.get(member["id"], (0, ""))
            if phase == member["phase"]:
                continue
            self.lab.note(f"told {member['id']} {member['phase']}")
            draining = phase == "Terminating" and member["phase"] == "Gone"
            self.told[member["id"]] = (told if draining else self.lab.now(), member["phase"])

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            after = int(target.partition("after=")[2] or -1)
            self.lab.note(f"discovery asked: {target}{', silent' if self.down else ''}")
            while self.down:
                await asyncio.sleep(0.05)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            first = [revision for revision, _ in self.changes if revision > after]
            known = after >= self.revision - len(self.changes) and after <= self.revision
            if known and len(first) == self.revision - after:
                merged = {m["id"]: m for revision, ms in self.changes if revision > after for m in ms}
                self._write(writer, self._line(False, list(merged.values())) if merged else None)
            else:
                self._write(writer, self._line(True, list(self.members.values())))
            self.watches.add(writer)
            while not writer.transport.is_closing():
                await asyncio.sleep(2)
                if not self.down:
                    self._write(writer, None)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.transport.abort()

    def close_watches(self):
        for writer in list(self.watches):
            writer.transport.abort()


class Planner:
    """A planner process, started by `run` of the deploy file, and the channel from it to its gateways."""

    def __init__(self, lab, number):
        self.lab, self.number, self.name = lab, number, f"n{number}"
        self.zone = lab.zones[number % len(lab.zones)]
        # an address of its own, so that no stand-in of any lab takes its port before it listens
        process = os.getpid()
        self.host = f"127.{64 + (process >> 16 & 63)}.{process >> 8 & 255}.{process & 255}"
        self.port = free_port(self.host)
        self.process = None
        self.discovery = None
        self.first_alive = None
        self.slower = 1.0  # the channel sends so many times slower
        self.channel_free_at = 0.0
        self.waiting = []  # (time of leaving the channel, lines)
        self.most_waiting = 0
        self.log_path = Path(lab.temporary.name) / f"{self.name}.log"

    def write_configuration(self, discovery, known):
        configuration = {
            "name": self.name, "listen": f"{self.host}:{self.port}", "discovery": discovery.address,
            "seed": f"{self.lab.random.getrandbits(60):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": known[0], "complete": True, "members": known[1]},
            "settings": self.lab.settings | {"zone": self.zone, "ordinal": self.number,
                                             "group_size": len(self.lab.planners)},
        }  # fmt: skip
        path = Path(self.lab.temporary.name) / f"{self.name}.json"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(configuration))
        fresh.replace(path)
        self.discovery = discovery
        return path

    async def start(self, discovery, known=None):
        path = self.write_configuration(discovery, known or (discovery.revision, self.lab.members()))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = os.environ | {
            "GW_NAME": self.name, "GW_LISTEN": f"{self.host}:{self.port}", "GW_DISCOVERY": discovery.address,
            "GW_CONFIG": str(path), "TMPDIR": self.lab.temporary.name,
        }  # fmt: skip
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.lab.note(f"planner {self.name} started, process {self.process.pid}")
        self.first_alive = None
        end = self.lab.now() + 30
        while self.lab.now() < end:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(b'{"msg":"probe"}\n')
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b"alive" in line:
                    self.first_alive = self.lab.now()
                    self.lab.note(f"planner {self.name} alive")
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"planner {self.name} never answered: {self.log_text()}")

    def kill(self):
        self.lab.note(f"planner {self.name} killed")
        self.process.kill()
        self.process.wait()
        self.waiting.clear()
        self.channel_free_at = 0.0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(3)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()

    def check_runs(self):
        if self.process.poll() is not None:
            self.lab.broken(f"planner {self.name} ended with {self.process.returncode}")

    def log_text(self):
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""

    def send_through_channel(self, lines):
        """Return when a message that has come in now reaches its gateway."""
        now = self.lab.now()
        cost = lines + self.lab.specifics["per_message"]
        takes_s = cost / self.lab.specifics["egress_per_s"] * self.slower
        self.channel_free_at = max(self.channel_free_at, now) + takes_s
        self.waiting = [each for each in self.waiting if each[0] > now]
        self.waiting.append((self.channel_free_at, cost))
        self.most_waiting = max(self.most_waiting, sum(each[1] for each in self.waiting))
        return self.channel_free_at + self.lab.specifics["push_delay_us"] / 1e6


class Gateway:
    """A proxy and its clients."""

    def __init__(self, lab, number, zone, rate, standing):
        self.lab, self.number, self.zone, self.rate = lab, number, zone, rate
        self.tables = {name: dict.fromkeys(self._open_to(name, standing), 1.0) for name in lab.classes}
        self.levels = dict.fromkeys(lab.classes, 1.0)
        self.modes = dict.fromkeys(lab.classes, lab.specifics["base_mode"])
        self.ejected = set()
        self.fresh = True
        self.planner = None  # while joined
        self.joined_at = None
        self.cut_off = False
        self.writer = None
        self.demand = {}
        self.outcomes = {}
        self.without_since = {}
        self.redial_s = (0.2, 1.5)
        self.choices = list(lab.planners)  # planners to dial, in order

    def _open_to(self, name, servers):
        local = name in self.lab.local
        return [s for s in servers if not local or self.lab.servers[s].zone == self.zone]

    stream_task = client_task = None

    def start(self):
        self.stream_task = self.lab.spawn(self._keep_stream())
        self.client_task = self.lab.spawn(self._clients())

    async def _keep_stream(self):
        turn = 0
        while True:
            while self.cut_off:
                await asyncio.sleep(0.02)
            planner = self.choices[turn % len(self.choices)]
            try:
                await self._stream(planner)
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                pass
            finally:
                if self.planner is not None:
                    self.lab.note(f"gateway {self.number} left {planner.name}")
                self.planner = self.joined_at = None
            turn += 1
            await asyncio.sleep(self.lab.random.uniform(*self.redial_s))

    async def _stream(self, planner):
        reader, writer = await asyncio.open_connection(planner.host, planner.port, limit=1 << 21)
        self.writer = writer
        self.say({"msg": "hello", "proxy": self.number, "zone": self.zone, "weight": self.rate,
                  "fresh": self.fresh})  # fmt: skip
        self.planner, self.joined_at = planner, self.lab.now()
        self.lab.note(f"gateway {self.number} joined {planner.name}, fresh {self.fresh}")
        parts = []
        queue = asyncio.Queue()
        applying = asyncio.ensure_future(self._apply_in_order(queue))
        try:
            while True:
                while self.cut_off:  # a machine that is cut off reads nothing and says nothing
                    await asyncio.sleep(0.02)
                    if not self.cut_off:
                        return
                line = await reader.readline()
                if not line:
                    return
                if self.cut_off:
                    continue
                message = json.loads(line)
                if message["msg"] != "push":
                    self.lab.note(f"gateway {self.number} was told {message}")
                    continue
                parts.append(message)
                if not message.get("continued"):
                    lines = sum(_count_lines(part) for part in parts)
                    queue.put_nowait((self.lab.now(), planner.send_through_channel(lines), parts))
                    parts = []
        finally:
            applying.cancel()
            writer.transport.abort()

    async def _apply_in_order(self, queue):
        while True:
            came, reaches, parts = await queue.get()
            await asyncio.sleep(max(reaches - self.lab.now(), 0))
            if self.cut_off:
                continue
            self.lab.note(f"gateway {self.number} applied {json.dumps(parts)}")
            for part in parts:
                self._apply(part)
                if "nonce_out" in part:
                    took_ms = (self.lab.now() - came) * 1000
                    self.say({"msg": "ack", "proxy": self.number, "mark": part["nonce_out"],
                              "took_ms": round(took_ms, 1)})  # fmt: skip

    def _apply(self, part):
        for name in part.get("routes") or self.lab.classes:
            if part.get("full"):
                self.tables[name], self.levels[name] = {}, 1.0
                self.modes[name] = self.lab.specifics["base_mode"]
                self.fresh = False
            for server, weight in part.get("endpoints") or ():
                self.fresh = False
                if weight:
                    self.tables[name][server] = weight
                else:
                    self.tables[name].pop(server, None)
            if "admit" in part:
                self.levels[name], self.modes[name] = part["admit"], part["policy"]
        self.ejected |= set(part.get("eject") or ())
        self.ejected -= set(part.get("restore") or ())

    def cut(self):
        """Cut the gateway off: it reads and says nothing, and counts as left from now on."""
        self.cut_off = True
        self.planner = self.joined_at = None

    def say(self, message):
        if self.writer is not None and not self.cut_off and not self.writer.transport.is_closing():
            self.writer.write(json.dumps(message).encode() + b"\n")

    def usable(self, name):
        """Return the lines that a request of a class may go to."""
        return {server: weight for server, weight in self.tables[name].items() if server not in self.ejected}

    def end(self):
        """End the process of the gateway: its connections are reset."""
        self.lab.note(f"gateway {self.number} died")
        for task in (self.stream_task, self.client_task):
            if task is not None:
                task.cancel()
        self.planner = self.joined_at = None

    def come_back(self, standing):
        """Return the gateway's next process, which holds a standing table."""
        again = Gateway(self.lab, self.number, self.zone, self.rate, standing)
        again.choices, again.redial_s = self.choices, self.redial_s
        self.lab.gateways[self.lab.gateways.index(self)] = again
        return again

    async def _clients(self):
        shares = self.lab.class_shares
        number = 0
        while True:
            await asyncio.sleep(self.lab.random.expovariate(self.rate))
            name = self.lab.random.choices(self.lab.classes, shares)[0]
            number += 1
            self.lab.spawn_request(self, name, f"{self.number}-{number}")

    async def request(self, name, key):
        """Serve one client's request."""
        self.demand[name] = self.demand.get(name, 0) + 1
        if self.lab.random.random() >= self.levels[name]:
            self.lab.counts["refused"] += 1
            return
        lines = self.usable(name)
        if not lines:
            self.lab.counts["no line"] += 1
            self.lab.note(f"request {key} {name} of gateway {self.number}: no line to pick, refused")
            return
        server = self.lab.random.choices(list(lines), list(lines.values()))[0]
        self._check_drain(server, name, key)
        started = self.lab.now()
        self.lab.counts["sent"] += 1
        self.lab.note(f"sent {key} {name} to {server}")
        good = await self._try(server, name, key)
        self.lab.note(f"answered {key} {'ok' if good else 'failed'}")
        self.lab.counts["ok" if good else "failed"] += 1
        tries = self.outcomes.setdefault(server, [0, 0, 0.0])
        tries[0] += 1
        tries[1] += not good
        tries[2] += (self.lab.now() - started) * 1000 if good else 0

    async def _try(self, server, name, key):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.lab.servers[server].port)
        except OSError:
            return False
        try:
            writer.write(f"{key} {name} from gateway {self.number}\n".encode())
            return await asyncio.wait_for(reader.readline(), 4) == b"ok\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def _check_drain(self, server, name, key):
        if self.planner is None or self.cut_off:
            return
        told, phase = self.planner.discovery.told.get(server, (0, "Ready"))
        if phase == "Ready":
            return
        begin = max(told, self.joined_at, self.planner.first_alive + FIRST_S)
        grace_s = self.lab.settings["rules"]["drain_grace_us"] / 1e6 * self.lab.times_factor
        over = self.lab.now() - begin - grace_s - SLACK_S
        if over > 0:
            self.lab.broken(
                f"drain: gateway {self.number} sent request {key} ({name}) to {server}, {phase},"
                f" {over:.2f} s after the grace; told at {told:.2f}, joined at {self.joined_at:.2f}"
            )

    def take_reports(self):
        demand, outcomes = self.demand, self.outcomes
        self.demand, self.outcomes = {}, {}
        return demand, outcomes


def _count_lines(part):
    lists = sum(len(part.get(field) or ()) for field in ("endpoints", "eject", "restore"))
    return lists + sum(1 for field in ("admit", "full", "nonce_out") if part.get(field) is not None)


class Deployment(Lab):
    """A lab with its loops: clients' requests, reports, and the check for gateways without a line."""

    class_shares = (0.7, 0.3)

    def spawn_request(self, gateway, name, key):
        task = asyncio.ensure_future(gateway.request(name, key))
        self.open_requests.add(task)
        task.add_done_callback(self.open_requests.discard)

    async def begin(self, gateway_count, rate):
        """Start agents, planners and gateways."""
        self.open_requests = set()
        for planner in self.planners:
            discovery = await Discovery(self).start()
            discovery.load(self.members())
            await planner.start(discovery)
        for number in range(gateway_count):
            zone = self.zones[number % len(self.zones)]
            gateway = Gateway(self, number, zone, rate, self.standing(zone))
            gateway.choices.sort(key=lambda planner, zone=zone: planner.zone != zone)
            self.gateways.append(gateway)
            gateway.start()
        self.spawn(self._report())
        self.spawn(self._watch_lines())

    def standing(self, zone):
        """Draw a standing table from the listed servers, within the zone if three are there."""
        listed = [server for server in self.servers.values() if server.phase == "Ready"]
        near = [server.name for server in listed if server.zone == zone]
        pool = near if len(near) >= 3 else [server.name for server in listed]
        return self.random.sample(pool, min(int(self.specifics["initial_set"]), len(pool)))

    async def _report(self):
        interval = self.specifics["interval_us"] / 1e6
        collectors = {}
        while True:
            await asyncio.sleep(interval)
            sums = {}
            for gateway in self.gateways:
                if gateway.planner is None or gateway.cut_off:
                    continue
                demand, outcomes = gateway.take_reports()
                for name, requests in demand.items():
                    gateway.say({"msg": "demand", "proxy": gateway.number, "class": name, "tries": requests,
                                 "failed": 0, "span_ms": interval * 1000})  # fmt: skip
                for server, (tries, failed, total_ms) in outcomes.items():
                    each = sums.setdefault((gateway.planner, gateway.zone, server), [0, 0, 0.0])
                    each[0] += tries
                    each[1] += failed
                    each[2] += total_ms
            for (planner, zone, server), (tries, failed, total_ms) in sums.items():
                writer = collectors.get((planner, zone))
                if writer is None or writer.transport.is_closing():
                    try:
                        _, writer = await asyncio.open_connection(planner.host, planner.port)
                    except OSError:
                        continue
                    writer.write(json.dumps({"msg": "agent", "zone": zone}).encode() + b"\n")
                    collectors[planner, zone] = writer
                writer.write(json.dumps({
                    "msg": "outcomes", "zone": zone, "server": server, "tries": tries, "failed": failed,
                    "mean_ms": round(total_ms / max(tries - failed, 1), 1), "span_ms": interval * 1000,
                }).encode() + b"\n")  # fmt: skip

    async def _watch_lines(self):
        """Check the rule that nobody is left without a server."""
        while True:
            await asyncio.sleep(0.05)
            limit = self.specifics["empty_for_us"] / 1e6 * self.times_factor + SLACK_S
            for gateway in self.gateways:
                for name in self.classes:
                    self._check_line(gateway, name, limit)

    def _check_line(self, gateway, name, limit):
        if gateway.planner is None or gateway.cut_off or gateway.usable(name):
            gateway.without_since.pop(name, None)
            return
        warm = self.warm_servers(gateway, name)
        begin = max(gateway.joined_at, gateway.planner.first_alive + FIRST_S)
        if not warm or self.now() < begin:
            gateway.without_since.pop(name, None)
            return
        since = gateway.without_since.setdefault(name, self.now())
        if self.now() - since > limit and (gateway.number, name) not in self.reported:
            self.reported.add((gateway.number, name))
            self.broken(
                f"nobody left without a server: gateway {gateway.number} has had no line for {name} for"
                f" {self.now() - since:.2f} s, limit {limit:.2f}; listed ready and warm: {sorted(warm)}"
            )

    def warm_servers(self, gateway, name):
        """Return the servers that the planner was told are ready, that are open to a class, and warm."""
        warm_ms = self.settings["rules"]["warm_within_us"] / 1000
        return [
            server.name
            for server in self.servers.values()
            if gateway.planner.discovery.told.get(server.name, (0, "Ready"))[1] == "Ready"
            and server.name in gateway.planner.discovery.members
            and time.time() * 1000 - server.up_since_ms >= warm_ms
            and (name not in self.local or server.zone == gateway.zone)
        ]


def play(make, play_day):
    """Play a case and exit with its result.

    Args:
        make: Makes the lab, given the folder of the record.
        play_day: A coroutine function that plays the case in the lab.
    """

    async def main():
        lab = None
        # when the script is ended, the processes that it started are ended too
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            lab = make(Path(sys.argv[1]))
            await asyncio.wait_for(play_day(lab), 100)
            for planner in lab.planners:
                planner.check_runs()
            if lab.faults:
                print(f"{len(lab.faults)} times broken; the first: {lab.faults[0]}")
                return BROKEN
            print("held")
            return HELD
        except (Exception, asyncio.CancelledError) as error:  # the case could not be played
            print(f"could not run: {type(error).__name__}: {error}")
            if lab is not None:
                lab.note(f"could not run: {type(error).__name__}: {error}")
            return COULD_NOT_RUN
        finally:
            if lab is not None:
                await lab.close()

    sys.exit(asyncio.run(main()))
