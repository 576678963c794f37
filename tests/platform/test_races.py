"""Crossings on real sockets: one side is held, or a signal raised, at the line in question.

It is let go when the state that the test needs is seen. The planner runs in this process on uvloop, or behind
a launcher that raises signals at a marked place.
"""

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time

import pytest
import uvloop

from swiftchute.platform import server, settings
from swiftchute.platform.discovery_client import SILENT
from swiftchute.platform.server import Server
from tests.platform.test_server import MEMBERS, ROOT, WAIT, Client, Discovery, free_port, wire_settings

S = 1_000_000_000
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY = b"1\r\n\n\r\n"


class Held(Discovery):
    """A discovery that answers only what the test says, byte by byte if it likes."""

    answers = False

    async def _serve(self, reader, writer):
        self.over = asyncio.get_running_loop().create_future()
        over, asked = self.over, b""
        self.writers.append(writer)
        self.came.set()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(4096):
                asked += data
                if asked.endswith(b"\r\n\r\n"):
                    self.asked.append(asked.split(b" ")[1].decode())
                    self.came.set()
                    if self.answers:
                        writer.write(HEAD + EMPTY)
        over.set_result(asked)
        writer.close()

    async def say(self, data):
        for place in range(len(data)):
            self.writers[-1].write(data[place : place + 1])
            await self.writers[-1].drain()

    async def asks(self):
        async with asyncio.timeout(WAIT):
            while not self.asked:
                self.came.clear()
                await self.came.wait()

    async def ended(self):
        """What the planner had asked when it ended the connection."""
        async with asyncio.timeout(WAIT):
            return await self.over


class Answering(Held):
    """A discovery that begins its answer at once."""

    answers = True


def told(revision, *members):
    data = json.dumps({"revision": revision, "complete": False, "members": members}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


class World:
    """A planner in this process, with its log and a clock that can be pushed on."""

    def __init__(self, tmp_path, discovery, members=MEMBERS, **more):
        self.events, self.came, self.port, self.ahead = [], asyncio.Event(), free_port(), 0
        self.file = tmp_path / "config.json"
        self.config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": discovery, "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": wire_settings(),
            "known": {"revision": 41, "complete": True, "members": members},
        } | more  # fmt: skip
        self.write()
        environment = {"GW_CONFIG": str(self.file)}
        self.shell = Server(settings.read(environment), environment, self.log)
        clock = self.shell.clock
        self.shell.clock = lambda: clock() + self.ahead

    def write(self, **changes):
        self.config |= changes
        self.file.write_text(json.dumps(self.config))

    def log(self, event, **fields):
        self.events.append((event, fields))
        self.came.set()

    async def event(self, name):
        """Wait for an event that has not been waited for."""
        async with asyncio.timeout(WAIT):
            while name not in [event for event, _ in self.events]:
                self.came.clear()
                await self.came.wait()
        place = [event for event, _ in self.events].index(name)
        return self.events.pop(place)[1]

    def move(self, discovery):
        """A new configuration names another discovery, and SIGHUP comes."""
        self.write(discovery=discovery)
        signal.raise_signal(signal.SIGHUP)


@pytest.fixture
def play(tmp_path):
    """Run a day against a planner in this process; the planner is stopped by SIGTERM whatever happens."""

    def run(day, **more):
        async def whole():
            old = await Answering().start()
            world = World(tmp_path, old.address, **more)
            serving = asyncio.ensure_future(world.shell.run())
            faults = []
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
            try:
                await world.event("serving")
                await day(world, old)
            finally:
                if not serving.done():
                    signal.raise_signal(signal.SIGTERM)
                async with asyncio.timeout(WAIT):
                    await serving
            assert faults == []

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(whole())

    return run


async def hears(proxy, server):
    """Wait for the message that takes a server out."""
    while [server, 0] not in (await proxy.hear()).get("endpoints", []):
        pass


# -- discovery


def test_a_second_reload_before_the_first_hand_over_is_done(play):
    async def day(world, old):
        proxy = await Client().join(world.port, 0)
        await proxy.table()
        await old.watched()
        middle, new = await Held().start(), await Held().start()
        world.move(middle.address)
        await middle.watched()  # it came up, and is never answered
        world.move(new.address)
        await new.watched()
        assert await middle.ended() != b""
        old.tell(42, MEMBERS[0] | {"phase": "Terminating"})  # the first one is heard all the time
        await hears(proxy, "e0")
        await new.say(HEAD + told(43, MEMBERS[1] | {"phase": "Terminating"}))
        await hears(proxy, "e1")
        assert await old.ended() != b""

    play(day)


def test_a_dial_given_up_in_the_instant_in_which_it_comes_up(play, monkeypatch):
    made = server._Discovery.connection_made

    async def day(world, old):
        await old.watched()
        middle, new = await Held().start(), await Answering().start()
        port, address = int(middle.address.rpartition(":")[2]), int(new.address.rpartition(":")[2])

        def held(self, transport):
            if self.link.address[1] == port:  # between the connection and its first line
                world.shell.watches.at(("127.0.0.1", address), world.shell.clock())
            made(self, transport)
            world.shell.watch()

        monkeypatch.setattr(server._Discovery, "connection_made", held)
        world.move(middle.address)
        await middle.watched()
        assert await middle.ended() == b""  # nobody's: it is ended and asks nothing
        await new.asks()
        assert new.asked == ["/catalog/members?watch=1&after=41"]

    play(day)


def test_the_old_discovery_is_heard_until_the_new_one_has_brought_a_line_byte_by_byte(play):
    async def day(world, old):
        proxy = await Client().join(world.port, 0)
        await proxy.table()
        await old.watched()
        new = await Held().start()
        world.move(new.address)
        await new.watched()
        await new.say(HEAD + b"1\r\n")  # an answer that has begun is no list yet
        old.tell(42, MEMBERS[0] | {"phase": "Terminating"})
        await hears(proxy, "e0")
        await new.say(b"\n\r\n")
        await old.ended()
        await new.say(told(43, MEMBERS[1] | {"phase": "Terminating"}))
        await hears(proxy, "e1")

    play(day)


def test_a_silent_watch_is_dialled_again_and_heard_until_the_new_one_answers(play):
    async def day(world, old):
        proxy = await Client().join(world.port, 0)
        await proxy.table()
        await old.watched()
        old.came.clear()
        world.ahead += SILENT + S  # nothing came for so long
        await old.watched()
        assert (await world.event("discovery lost"))["cause"].startswith("silent for")
        assert len(old.asked) == 2
        old.tell(42, MEMBERS[0] | {"phase": "Terminating"})
        await hears(proxy, "e0")

    play(day)


# -- proxies


def test_a_proxy_killed_behind_its_accept_or_its_joining_leaves_nothing(play):
    async def day(world, old):
        linger = bytes([1, 0, 0, 0, 0, 0, 0, 0])  # ended by a reset
        hello = b'{"msg":"hello","proxy":9,"zone":"east","weight":1.0,"fresh":true}\n'
        for said in (b"", hello[:11], hello):
            for _ in range(20):
                with socket.create_connection(("127.0.0.1", world.port)) as killed:  # the loop does not run
                    killed.sendall(said)
                    killed.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        proxy = await Client().join(world.port, 9)
        await proxy.table()
        async with asyncio.timeout(WAIT):
            while len(world.shell.clients) > 1:
                await asyncio.sleep(0)
        assert set(world.shell.front.streams) == {9}
        assert not world.shell.front.unjoined

    play(day)


WIDE = wire_settings()
WIDE["specifics"]["initial_set"] = 1000  # one table of them all
LONG = [MEMBERS[0] | {"id": f"{'long-name-of-a-server-' * 8}{k}"} for k in range(700)]


async def slow_proxy(world, proxy):
    """A proxy that reads nothing, with a message to it half sent."""
    with socket.socket() as plain:
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        plain.connect(("127.0.0.1", world.port))
        plain.setblocking(False)
        hello = {"msg": "hello", "proxy": proxy, "zone": "east", "weight": 1.0, "fresh": True}
        plain.send(json.dumps(hello).encode() + b"\n")
        plain = plain.dup()
    async with asyncio.timeout(WAIT):
        while not any(c.transport.get_write_buffer_size() for c in world.shell.clients):
            for client in world.shell.clients:
                accepted = client.transport.get_extra_info("socket")
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await asyncio.sleep(0)
    return plain


def test_a_message_half_sent_when_sigterm_comes_is_written_whole(play, monkeypatch):
    monkeypatch.setattr(server, "STOP_WITHIN", WAIT)  # how fast this test reads is not the matter

    async def day(world, old):
        plain = await slow_proxy(world, 0)
        signal.raise_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT):
            while world.shell.stopped is None:
                await asyncio.sleep(0)
        reader, _ = await asyncio.open_connection(sock=plain, limit=1 << 20)
        data = await asyncio.wait_for(reader.read(), WAIT)
        assert data.endswith(b"\n")
        assert len(json.loads(data.splitlines()[0])["endpoints"]) == len(LONG)

    play(day, members=LONG, settings=WIDE)


def test_a_client_that_does_not_read_the_last_words_to_it_is_cut_off(play, monkeypatch):
    monkeypatch.setattr(server, "CLOSE_WITHIN", 0.01)

    async def day(world, old):
        plain = await slow_proxy(world, 0)
        (stuck,) = world.shell.clients
        await Client().join(world.port, 0)  # its new stream
        async with asyncio.timeout(WAIT):
            while stuck in world.shell.clients:
                await asyncio.sleep(0)
        assert world.shell.front.counts["out_bytes"] == 1
        plain.close()

    play(day, members=LONG, settings=WIDE)


def test_connections_accepted_between_the_listeners_close_and_the_end(play, monkeypatch):
    stop, late = Server._stop, []

    async def held(self, server):
        for _ in range(5):  # accepted by the kernel, with bytes to read, not seen by the loop
            late.append(socket.create_connection(self.told.listen))
            late[-1].sendall(b'{"msg":"probe"}\n')
        self.events.call_soon(lambda: None)
        await stop(self, server)

    monkeypatch.setattr(Server, "_stop", held)

    async def day(world, old):
        proxy = await Client().join(world.port, 0)
        await proxy.table()
        signal.raise_signal(signal.SIGTERM)
        await world.event("stopped")
        assert not world.shell.clients
        await proxy.over()
        assert len(late) == 5

    play(day)
    for client in late:
        client.settimeout(WAIT)
        with contextlib.suppress(ConnectionError):
            assert client.recv(100) in (b"", b'{"msg":"alive"}\n')
        client.close()


# -- signals at a marked place, and descriptors, in a process of its own

LAUNCH = """
import importlib, os, signal, sys
place, times, *numbers = sys.argv[1].split(",")
numbers, left = [int(n) for n in numbers], [int(times)]

def shot():
    if left[0]:
        left[0] -= 1
        for number in numbers:
            os.kill(os.getpid(), number)

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == place:
            shot()

sys.meta_path.insert(0, Finder())
if ":" in place:
    module, path = place.split(":")
    at = importlib.import_module(module)
    *way, last = path.split(".")
    for step in way:
        at = getattr(at, step)
    old = getattr(at, last)
    def marked(*arguments, **named):
        shot()
        return old(*arguments, **named)
    setattr(at, last, marked)
from swiftchute.platform.__main__ import run
run()
"""

PLACES = {
    "an import of the start": "uvloop,1",
    "the configuration is read": "swiftchute.platform.settings:read,1",
    "before the loop's handlers": "swiftchute.platform.server:Server.__init__,1",
    "before the listener": "swiftchute.platform.server:_Discovery.__init__,1",
    "in a round": "swiftchute.platform.session_manager:SessionManager.turn,1",
    "in the first words of a watch": "swiftchute.platform.discovery_client:DiscoveryClient.connected,1",
}


class Launched:
    """A planner behind the launcher."""

    def __init__(self, tmp_path, marked, **more):
        self.port, self.discovery = free_port(), socket.create_server(("127.0.0.1", 0))  # it never answers
        file = tmp_path / "config.json"
        file.write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.port}",
            "discovery": "{}:{}".format(*self.discovery.getsockname()),
            "seed": "1", "settings": wire_settings(),
            "known": {"revision": 41, "complete": True, "members": MEMBERS},
        }))  # fmt: skip
        self.process = subprocess.Popen(
            [sys.executable, "-c", LAUNCH, marked], cwd=ROOT, stderr=subprocess.PIPE,
            env=os.environ | {"GW_CONFIG": str(file)}, **more,
        )  # fmt: skip

    def event(self, name):
        until = time.monotonic() + WAIT
        for line in self.process.stderr:  # a line of figures comes every 10 s
            row = json.loads(line)
            if row["event"] == name:
                return row
            assert time.monotonic() < until
        raise AssertionError(f"the planner ended with {self.process.wait(WAIT)}")

    def probe(self):
        with socket.create_connection(("127.0.0.1", self.port), WAIT) as client:
            client.settimeout(WAIT)
            client.sendall(b'{"msg":"probe"}\n')
            return client.makefile().readline()

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        self.process.stderr.read()
        code = self.process.wait(WAIT)
        self.process.stderr.close()
        return code


@pytest.fixture
def launched(tmp_path):
    made = []

    def launch(*arguments, **more):
        made.append(Launched(tmp_path, *arguments, **more))
        return made[-1]

    yield launch
    for planner in made:
        if planner.process.poll() is None:
            planner.process.kill()
            planner.process.wait(WAIT)
        planner.process.stderr.close()
        planner.discovery.close()


@pytest.mark.parametrize("place", PLACES)
def test_sigterm_at_any_place_of_the_start_ends_in_order(launched, place):
    planner = launched(f"{PLACES[place]},{int(signal.SIGTERM)}")
    assert planner.process.wait(WAIT) == 0
    assert b"Traceback" not in planner.process.stderr.read()


@pytest.mark.parametrize("place", PLACES)
def test_sighup_at_any_place_of_the_start_reloads_and_goes_on(launched, place):
    planner = launched(f"{PLACES[place]},{int(signal.SIGHUP)}")
    planner.event("reloaded")
    assert planner.probe() == '{"msg":"alive"}\n'
    assert planner.end() == 0


def test_signals_that_cross_a_reload(launched):
    """SIGHUP comes again while the file is read for the first one."""
    planner = launched(f"swiftchute.platform.settings:read,3,{int(signal.SIGHUP)}")
    for _ in range(2):
        planner.event("reloaded")
    assert planner.probe() == '{"msg":"alive"}\n'
    assert planner.end() == 0


@pytest.mark.parametrize("place", ["_stop", "all_ended", "os:_exit"])
def test_signals_that_come_again_at_the_end_change_nothing(launched, place):
    many = ",".join(str(int(n)) for n in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM))
    place = place if ":" in place else f"swiftchute.platform.server:Server.{place}"
    planner = launched(f"{place},9,{many}")
    planner.event("serving")
    assert planner.end() == 0


def test_accepting_goes_on_after_descriptors_ran_out(launched):
    def few():
        resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))

    planner = launched("none,0", preexec_fn=few)
    planner.event("serving")
    heard, crowd = [], [socket.create_connection(("127.0.0.1", planner.port), WAIT) for _ in range(200)]
    try:
        for client in crowd:  # each is answered or let go, none waits for good
            client.settimeout(WAIT)
            with contextlib.suppress(ConnectionError):
                client.sendall(b'{"msg":"probe"}\n')
                heard.append(client.recv(100))
        assert b'{"msg":"alive"}\n' in heard
        assert planner.process.poll() is None
    finally:
        for client in crowd:
            client.close()
    said = ""
    while not said:  # until it has seen the ends of the crowd
        assert planner.process.poll() is None
        with contextlib.suppress(ConnectionError):
            said = planner.probe()
    assert said == '{"msg":"alive"}\n'
    planner.process.send_signal(signal.SIGTERM)
    assert planner.event("stopped")["crowded"] > 0  # they were let go by rule, not by the want itself
    assert planner.end() == 0
