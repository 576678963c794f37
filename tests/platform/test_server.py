"""The planner in service as a process: its sockets, signals and configuration, with a stand-in discovery."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
WAIT = 20  # s; a bound for what must come at all
MEMBERS = [
    {"id": f"{zone[0]}{k}", "host_port": f"10.0.0.{k}:80", "locality": zone, "flavor": "m", "cell": 0,
     "phase": "Ready", "size": 1.0, "up_since_ms": 0}
    for zone in ("east", "west") for k in range(3)
]  # fmt: skip


def wire_settings(proxies=200):
    classes = [{"name": n, "slo_us": 10**6, "deadline_us": 4 * 10**6, "credit": 1.0, "semantics": "free"}
               for n in ("read", "write")]  # fmt: skip
    return {
        "classes": classes, "dcs": ["east", "west"], "zone": "east", "ordinal": 0, "group_size": 1,
        "registry_mode": "automatic", "weight_source": "off", "stats": {"fields": [], "via": "off"},
        "permissions": {"probes": False, "peer_messages": False}, "prices": {},
        "rules": {"drain_grace_us": 3 * 10**6, "start_capacity": 0.2, "warm_within_us": 10**7,
                  "fall_multiple": 2.5, "fall_us": 10**6},
        "specifics": {"empty_for_us": 4 * 10**6, "agents": proxies, "ranges": 0, "single_writer": False,
                      "admission": "fraction", "base_mode": 1, "per_try": 1.0, "fails_to_eject": 5,
                      "initial_set": 6, "interval_us": 500_000, "reports_per_s": 100.0,
                      "egress_per_s": 50_000.0,
                      "queue_cap": 100_000.0, "per_message": 10.0, "update_cap": 30,
                      "update_window_us": 10**7, "push_delay_us": 10**5, "late_most_us": 10**6},
    }  # fmt: skip


class Discovery:
    """A stand-in for the agent on the planner's machine: lines are written to every watch."""

    def __init__(self):
        self.asked, self.writers, self.came = [], [], asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.asked.append(head.split(b" ")[1].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        self.writers.append(writer)
        self.came.set()

    def tell(self, revision, *members):
        data = json.dumps({"revision": revision, "complete": False, "members": members}).encode() + b"\n"
        for writer in self.writers:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def watched(self):
        async with asyncio.timeout(WAIT):
            await self.came.wait()

    def break_all(self):
        self.came.clear()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


class Planner:
    """The process, with its log."""

    def __init__(self, tmp_path, address, **more):
        self.port = free_port()
        self.file = tmp_path / "config.json"
        self.config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": wire_settings(),
            "known": {"revision": 41, "complete": True, "members": MEMBERS},
        } | more  # fmt: skip
        self.write()
        environment = os.environ | {"GW_CONFIG": str(self.file)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "swiftchute.platform"], cwd=ROOT, env=environment, stderr=subprocess.PIPE
        )

    def write(self):
        self.file.write_text(json.dumps(self.config))

    async def event(self, name):
        """The next log line of an event."""
        while True:
            line = await asyncio.to_thread(self.process.stderr.readline)
            assert line, "the planner ended"
            row = json.loads(line)
            if row["event"] == name:
                return row

    async def end(self):
        self.process.send_signal(signal.SIGTERM)
        return await asyncio.to_thread(self.process.wait, WAIT)


class Client:
    """A connection at the planner's address."""

    async def open(self, port, *messages):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.say(*messages)
        return self

    def say(self, *messages):
        for message in messages:
            self.writer.write(json.dumps(message).encode() + b"\n")

    async def hear(self):
        async with asyncio.timeout(WAIT):
            line = await self.reader.readline()
        return json.loads(line) if line else None

    async def over(self, said=b""):
        """Wait for the end of the connection, saying this over and over."""
        async with asyncio.timeout(WAIT):
            try:
                while said or await self.reader.readline():
                    self.writer.write(said)
                    await self.writer.drain()
                    await asyncio.sleep(0)
            except ConnectionError:
                pass

    async def join(self, port, proxy, zone="east", fresh=True):
        hello = {"msg": "hello", "proxy": proxy, "zone": zone, "weight": 1.0, "fresh": fresh}
        return await self.open(port, hello)

    async def table(self):
        """The next whole table, with the mark answered."""
        while True:
            message = await self.hear()
            assert message is not None
            assert message["msg"] == "push"
            if message.get("full"):
                return message


def free_port():
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def played(play):
    """Run a day with a planner that is ended whatever happens."""

    def run(tmp_path):
        async def day():
            discovery = await Discovery().start()
            planner = Planner(tmp_path, discovery.address)
            try:
                await planner.event("serving")
                await play(planner, discovery)
            finally:
                if planner.process.poll() is None:
                    planner.process.kill()
                    planner.process.wait(WAIT)
                planner.process.stderr.close()

        asyncio.run(day())

    run.__name__, run.__doc__ = play.__name__, play.__doc__
    return run


@played
async def test_proxies_are_served_and_a_drain_reaches_them(planner, discovery):
    probe = await Client().open(planner.port, {"msg": "probe"})
    assert await probe.hear() == {"msg": "alive"}
    proxies = [await Client().join(planner.port, p, ("east", "west")[p % 2]) for p in range(6)]
    tables = [await p.table() for p in proxies]
    assert {s for s, _ in tables[0]["endpoints"]} == {"e0", "e1", "e2"}
    assert {s for s, _ in tables[1]["endpoints"]} == {"w0", "w1", "w2"}
    await discovery.watched()
    assert discovery.asked == ["/catalog/members?watch=1&after=41"]
    discovery.tell(42, MEMBERS[0] | {"phase": "Terminating"})
    for proxy in (proxies[0], proxies[2]):
        message = await proxy.hear()
        assert ["e0", 0] in message["endpoints"]
        assert "full" not in message
    assert await planner.end() == 0


@played
async def test_a_lost_discovery_is_dialled_again_from_the_last_revision(planner, discovery):
    proxy = await Client().join(planner.port, 0)
    await proxy.table()
    await discovery.watched()
    discovery.tell(47, MEMBERS[4] | {"phase": "Terminating"})
    discovery.break_all()
    await discovery.watched()
    assert discovery.asked[-1] in ("/catalog/members?watch=1&after=47", "/catalog/members?watch=1&after=41")
    discovery.tell(48, MEMBERS[0] | {"phase": "Terminating"})
    while ["e0", 0] not in (await proxy.hear()).get("endpoints", []):
        pass


@played
async def test_sighup_moves_to_the_new_discovery_and_a_bad_file_changes_nothing(planner, discovery):
    proxy = await Client().join(planner.port, 0)
    await proxy.table()
    await discovery.watched()
    planner.file.write_text('{"name": "n0", ')
    planner.process.send_signal(signal.SIGHUP)
    refused = await planner.event("reload refused")
    assert str(planner.file) in refused["cause"]
    assert "not JSON" in refused["cause"]
    new = await Discovery().start()
    planner.config["discovery"] = new.address
    planner.write()
    discovery.tell(45, MEMBERS[1] | {"phase": "Terminating"})  # a change while the address changes
    planner.process.send_signal(signal.SIGHUP)
    await new.watched()
    new.tell(46, MEMBERS[0] | {"phase": "Terminating"})
    drained = set()
    while drained != {"e0", "e1"}:
        drained |= {s for s, w in (await proxy.hear()).get("endpoints", []) if not w}
    assert planner.process.poll() is None


@played
async def test_sigterm_ends_150_streams_and_the_program(planner, discovery):
    proxies = [await Client().join(planner.port, p) for p in range(150)]
    for proxy in proxies:
        await proxy.table()
    assert await planner.end() == 0
    for proxy in proxies:
        await proxy.over()


@played
async def test_strangers_are_let_go_and_proxies_served_beside_them(planner, discovery):
    silent = [await Client().open(planner.port) for _ in range(300)]
    proxy = await Client().join(planner.port, 7)
    assert await proxy.table()
    http = await Client().open(planner.port)
    http.writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await http.hear())["msg"] == "error"
    for client in silent:
        try:
            word = await client.hear()
        except ConnectionError:
            continue
        assert word is None or word["msg"] == "error"
    endless = await Client().open(planner.port)
    await endless.over(b"x" * 65536)
    late = await Client().join(planner.port, 8)
    assert await late.table()


@pytest.mark.parametrize("change, named", [
    ({"listen": "nowhere"}, "listen: 'nowhere' is not address:port"),
    ({"discovery": 7}, "discovery: '7' is not of type str"),
    ({"seed": "xyz"}, "seed: 'xyz'"), ({"limits": {"sockets": 3}}, "limits.sockets: 3"),
    ({"settings": {}}, "settings: classes: missing"), ({"settings": [1]}, "settings: '[1]'"),
    ({"known": {"revision": 1}}, "known: not a list"), ({"name": None}, "name: missing"),
])  # fmt: skip
def test_a_bad_configuration_is_named_in_one_line(tmp_path, change, named):
    planner = Planner(tmp_path, "127.0.0.1:1", **change)
    _, said = planner.process.communicate(timeout=WAIT)
    assert planner.process.returncode == 2
    (line,) = said.decode().splitlines()
    assert str(planner.file) in line
    assert named in line


def test_a_missing_configuration_is_named_in_one_line(tmp_path):
    for path, named in (("", "GW_CONFIG: not set"), (str(tmp_path / "none.json"), "No such file")):
        made = subprocess.run([sys.executable, "-m", "swiftchute.platform"], cwd=ROOT, capture_output=True,
                              env=os.environ | {"GW_CONFIG": path}, timeout=WAIT, check=False)  # fmt: skip
        assert made.returncode == 2
        assert named in made.stderr.decode()
        assert made.stderr.count(b"\n") == 1


def test_nothing_heavy_is_imported():
    asked = "import sys, swiftchute.platform.__main__; print(*sorted(sys.modules))"
    made = subprocess.run(
        [sys.executable, "-c", asked], cwd=ROOT, capture_output=True, check=True, timeout=WAIT
    )
    loaded = {name.split(".")[0] for name in made.stdout.decode().split()}
    assert (
        loaded & {"grpclib", "google", "httpx", "hcl2", "dns", "structlog", "click", "numpy", "h2"} == set()
    )
