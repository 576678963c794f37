"""Races on real sockets: a test holds one side, or raises a signal, at a chosen line of the code.

The held side is released once the state that the test needs is observed. The server runs in this process on
uvloop.
"""

import asyncio
import contextlib
import json
import signal
import socket

import pytest
import uvloop

from swiftchute.platform import connection_limits, settings, transports
from swiftchute.platform.discovery_client import SILENCE_TIMEOUT_NS
from swiftchute.platform.server import Server
from tests.support.platform import (
    MEMBERS,
    TIMEOUT_S,
    Client,
    Discovery,
    free_port,
    wire_configuration,
    wire_settings,
)

S = 1_000_000_000
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY = b"1\r\n\n\r\n"


class ScriptedDiscovery(Discovery):
    """A discovery server that sends only what the test writes, one byte at a time."""

    answers = False

    async def _serve(self, reader, writer):
        self.closed = asyncio.get_running_loop().create_future()
        closed, request = self.closed, b""
        self.writers.append(writer)
        self.came.set()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(4096):
                request += data
                if request.endswith(b"\r\n\r\n"):
                    self.targets.append(request.split(b" ")[1].decode())
                    self.came.set()
                    if self.answers:
                        writer.write(HEAD + EMPTY)
        closed.set_result(request)
        writer.close()

    async def write(self, data):
        for place in range(len(data)):
            self.writers[-1].write(data[place : place + 1])
            await self.writers[-1].drain()

    async def wait_requested(self):
        async with asyncio.timeout(TIMEOUT_S):
            while not self.targets:
                self.came.clear()
                await self.came.wait()

    async def wait_closed(self):
        """Wait until the process closes the connection, and return the bytes that it sent before."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.closed


class AnsweringDiscovery(ScriptedDiscovery):
    """A discovery server that starts its response at once."""

    answers = True


def changes(revision, *members):
    data = json.dumps({"revision": revision, "complete": False, "members": members}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


class World:
    """A server in this process, with its log and a clock that can be advanced."""

    def __init__(self, tmp_path, discovery, members=MEMBERS, **more):
        self.events, self.came, self.port, self.clock_offset_ns = [], asyncio.Event(), free_port(), 0
        self.file = tmp_path / "config.json"
        known = {"revision": 41, "complete": True, "members": members}
        self.config = wire_configuration(self.port, discovery, seed="8c1f", known=known, **more)
        self.write()
        environment = {"GW_CONFIG": str(self.file)}
        self.server = Server(settings.read(environment), environment, self.log)
        clock = self.server.clock
        self.server.clock = lambda: clock() + self.clock_offset_ns

    def write(self, **changes):
        self.config |= changes
        self.file.write_text(json.dumps(self.config))

    def log(self, event, **fields):
        self.events.append((event, fields))
        self.came.set()

    async def event(self, name):
        """Wait for an event and remove it from `events`."""
        async with asyncio.timeout(TIMEOUT_S):
            while name not in [event for event, _ in self.events]:
                self.came.clear()
                await self.came.wait()
        place = [event for event, _ in self.events].index(name)
        return self.events.pop(place)[1]

    def change_discovery(self, discovery):
        """Change the address of discovery in the configuration file and raise SIGHUP."""
        self.write(discovery=discovery)
        signal.raise_signal(signal.SIGHUP)


@pytest.fixture
def run_scenario(tmp_path):
    """Return a function that runs a scenario with a server in this process, which SIGTERM always stops."""

    def run(scenario, **more):
        async def whole():
            old = await AnsweringDiscovery().start()
            world = World(tmp_path, old.address, **more)
            serving = asyncio.ensure_future(world.server.run())
            faults = []
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
            try:
                await world.event("serving")
                await scenario(world, old)
            finally:
                if not serving.done():
                    signal.raise_signal(signal.SIGTERM)
                async with asyncio.timeout(TIMEOUT_S):
                    await serving
            assert faults == []

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(whole())

    return run


def test_a_second_change_of_the_address_before_the_first_new_discovery_has_responded(run_scenario):
    async def scenario(world, old):
        proxy = await Client().open_proxy(world.port, 0)
        await proxy.receive_table()
        await old.wait_watched()
        middle, new = await ScriptedDiscovery().start(), await ScriptedDiscovery().start()
        world.change_discovery(middle.address)
        await middle.wait_watched()  # connected, but without a response
        world.change_discovery(new.address)
        await new.wait_watched()
        assert await middle.wait_closed() != b""
        old.send(42, MEMBERS[0] | {"phase": "Terminating"})  # the first connection stays in use
        await proxy.receive_removal("e0")
        await new.write(HEAD + changes(43, MEMBERS[1] | {"phase": "Terminating"}))
        await proxy.receive_removal("e1")
        assert await old.wait_closed() != b""

    run_scenario(scenario)


def test_a_connection_that_goes_out_of_use_while_it_is_established_is_closed(run_scenario, monkeypatch):
    made = transports.DiscoveryTransport.connection_made

    async def scenario(world, old):
        await old.wait_watched()
        middle, new = await ScriptedDiscovery().start(), await AnsweringDiscovery().start()
        port, address = int(middle.address.rpartition(":")[2]), int(new.address.rpartition(":")[2])

        def held(self, transport):
            if self.connection.address[1] == port:  # the address changes while this connection is established
                world.server.discovery.set_address(("127.0.0.1", address), world.server.clock())
            made(self, transport)
            world.server.run_discovery_commands()

        monkeypatch.setattr(transports.DiscoveryTransport, "connection_made", held)
        world.change_discovery(middle.address)
        await middle.wait_watched()
        assert await middle.wait_closed() == b""  # no longer in use: it is closed without a request
        await new.wait_requested()
        assert new.targets == ["/catalog/members?watch=1&after=41"]

    run_scenario(scenario)


def test_the_old_discovery_stays_in_use_until_the_new_one_has_sent_a_line(run_scenario):
    async def scenario(world, old):
        proxy = await Client().open_proxy(world.port, 0)
        await proxy.receive_table()
        await old.wait_watched()
        new = await ScriptedDiscovery().start()
        world.change_discovery(new.address)
        await new.wait_watched()
        await new.write(HEAD + b"1\r\n")  # the response has started, but without a complete line
        old.send(42, MEMBERS[0] | {"phase": "Terminating"})
        await proxy.receive_removal("e0")
        await new.write(b"\n\r\n")
        await old.wait_closed()
        await new.write(changes(43, MEMBERS[1] | {"phase": "Terminating"}))
        await proxy.receive_removal("e1")

    run_scenario(scenario)


def test_a_silent_connection_is_replaced_and_stays_in_use_until_the_new_one_responds(run_scenario):
    async def scenario(world, old):
        proxy = await Client().open_proxy(world.port, 0)
        await proxy.receive_table()
        await old.wait_watched()
        old.came.clear()
        world.clock_offset_ns += SILENCE_TIMEOUT_NS + S  # the connection has been silent for too long
        await old.wait_watched()
        assert (await world.event("discovery lost"))["cause"].startswith("silent for")
        assert len(old.targets) == 2
        old.send(42, MEMBERS[0] | {"phase": "Terminating"})
        await proxy.receive_removal("e0")

    run_scenario(scenario)


def test_a_proxy_killed_after_its_accept_or_its_hello_leaves_no_state(run_scenario):
    async def scenario(world, old):
        linger = bytes([1, 0, 0, 0, 0, 0, 0, 0])  # close() sends a reset
        hello = b'{"msg":"hello","proxy":9,"zone":"east","weight":1.0,"fresh":true}\n'
        for data in (b"", hello[:11], hello):
            for _ in range(20):
                with socket.create_connection(("127.0.0.1", world.port)) as killed:  # the loop is blocked
                    killed.sendall(data)
                    killed.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        proxy = await Client().open_proxy(world.port, 9)
        await proxy.receive_table()
        async with asyncio.timeout(TIMEOUT_S):
            while len(world.server.clients) > 1:
                await asyncio.sleep(0)
        assert set(world.server.sessions.sessions_by_proxy) == {9}
        assert not world.server.sessions.pending_sessions

    run_scenario(scenario)


SETTINGS_WITH_ONE_TABLE = wire_settings()
SETTINGS_WITH_ONE_TABLE["specifics"]["initial_set"] = 1000  # one table with all endpoints
LONG_MEMBERS = [MEMBERS[0] | {"id": f"{'long-name-of-a-server-' * 8}{k}"} for k in range(700)]


async def connect_slow_proxy(world, proxy):
    """Return the socket of a proxy that does not read, once a message to it is partly sent."""
    with socket.socket() as client_socket:
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client_socket.connect(("127.0.0.1", world.port))
        client_socket.setblocking(False)
        hello = {"msg": "hello", "proxy": proxy, "zone": "east", "weight": 1.0, "fresh": True}
        client_socket.send(json.dumps(hello).encode() + b"\n")
        client_socket = client_socket.dup()
    async with asyncio.timeout(TIMEOUT_S):
        while not any(c.transport.get_write_buffer_size() for c in world.server.clients):
            for client in world.server.clients:
                accepted = client.transport.get_extra_info("socket")
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await asyncio.sleep(0)
    return client_socket


def test_a_message_that_is_partly_sent_at_sigterm_is_completed(run_scenario, monkeypatch):
    monkeypatch.setattr(connection_limits, "STOP_TIMEOUT_S", TIMEOUT_S)  # the test reads after the stop

    async def scenario(world, old):
        client_socket = await connect_slow_proxy(world, 0)
        signal.raise_signal(signal.SIGTERM)
        async with asyncio.timeout(TIMEOUT_S):
            while not world.server.stopping:
                await asyncio.sleep(0)
        reader, _ = await asyncio.open_connection(sock=client_socket, limit=1 << 20)
        data = await asyncio.wait_for(reader.read(), TIMEOUT_S)
        assert data.endswith(b"\n")
        assert len(json.loads(data.splitlines()[0])["endpoints"]) == len(LONG_MEMBERS)

    run_scenario(scenario, members=LONG_MEMBERS, settings=SETTINGS_WITH_ONE_TABLE)


def test_a_connection_is_aborted_if_the_client_does_not_read_its_last_message(run_scenario, monkeypatch):
    monkeypatch.setattr(transports, "CLOSE_TIMEOUT_S", 0.01)

    async def scenario(world, old):
        client_socket = await connect_slow_proxy(world, 0)
        (stuck,) = world.server.clients
        await Client().open_proxy(world.port, 0)  # a new connection of the same proxy
        async with asyncio.timeout(TIMEOUT_S):
            while stuck in world.server.clients:
                await asyncio.sleep(0)
        assert world.server.sessions.statistics.unsent_overflow == 1
        client_socket.close()

    run_scenario(scenario, members=LONG_MEMBERS, settings=SETTINGS_WITH_ONE_TABLE)


def test_connections_accepted_by_the_kernel_during_the_stop_are_closed(run_scenario, monkeypatch):
    stop, late = Server._stop, []

    async def held(self, server):
        for _ in range(5):  # accepted by the kernel with bytes to read, but not by the event loop
            late.append(socket.create_connection(self.configuration.listen))
            late[-1].sendall(b'{"msg":"probe"}\n')
        self.event_loop.call_soon(lambda: None)
        await stop(self, server)

    monkeypatch.setattr(Server, "_stop", held)

    async def scenario(world, old):
        proxy = await Client().open_proxy(world.port, 0)
        await proxy.receive_table()
        signal.raise_signal(signal.SIGTERM)
        await world.event("stopped")
        assert not world.server.clients
        await proxy.wait_closed()
        assert len(late) == 5

    run_scenario(scenario)
    for client in late:
        client.settimeout(TIMEOUT_S)
        with contextlib.suppress(ConnectionError):
            assert client.recv(100) in (b"", b'{"msg":"alive"}\n')
        client.close()
