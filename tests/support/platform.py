"""Fakes of the discovery service and of clients of a platform process, and the process itself."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_S = 20  # upper bound for events that must happen, however slowly
MEMBERS = [
    {"id": f"{zone[0]}{k}", "host_port": f"10.0.0.{k}:80", "locality": zone, "flavor": "m", "cell": 0,
     "phase": "Ready", "size": 1.0, "up_since_ms": 0}
    for zone in ("east", "west") for k in range(3)
]  # fmt: skip


def free_port():
    """Return an unused port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wire_settings(proxies=200):
    """Return the `settings` object of a configuration file."""
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


def wire_configuration(listen_port, discovery, /, **changes):
    """Return the content of a configuration file."""
    return {
        "name": "n0", "listen": f"127.0.0.1:{listen_port}", "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": wire_settings(),
        "known": {"revision": 41, "complete": True, "members": MEMBERS},
    } | changes  # fmt: skip


def abort_with_loop(writer):
    """Return a task that aborts a connection when `asyncio.run` ends, as it then cancels all tasks.

    A writer that outlives its loop raises in its finalizer, in the middle of whatever runs at that time.
    """

    async def wait():
        try:
            await asyncio.Event().wait()
        finally:
            writer.transport.abort()

    return asyncio.create_task(wait())


class Discovery:
    """A fake of the machine's discovery agent: `send` writes a line to every open watch."""

    def __init__(self):
        self.targets, self.writers, self.came = [], [], asyncio.Event()
        self.endings = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.targets.append(head.split(b" ")[1].decode())
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        self.writers.append(writer)
        self.endings.append(abort_with_loop(writer))
        self.came.set()

    def send(self, revision, *members):
        """Write a line with changes to every watch."""
        data = json.dumps({"revision": revision, "complete": False, "members": members}).encode() + b"\n"
        for writer in self.writers:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def wait_watched(self):
        """Wait until a watch is open."""
        async with asyncio.timeout(TIMEOUT_S):
            await self.came.wait()

    def break_all(self):
        """Reset the connections of all watches."""
        self.came.clear()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


class Client:
    """A client connection to the platform process; it ends with the test's event loop."""

    async def open(self, port, *messages):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.ending = abort_with_loop(self.writer)
        self.send(*messages)
        return self

    async def open_proxy(self, port, proxy, zone="east", fresh=True):
        hello = {"msg": "hello", "proxy": proxy, "zone": zone, "weight": 1.0, "fresh": fresh}
        return await self.open(port, hello)

    def send(self, *messages):
        for message in messages:
            self.writer.write(json.dumps(message).encode() + b"\n")

    async def receive(self):
        """Return the next message, or None at the end of the connection."""
        async with asyncio.timeout(TIMEOUT_S):
            line = await self.reader.readline()
        return json.loads(line) if line else None

    async def receive_table(self):
        """Return the next full table."""
        while True:
            message = await self.receive()
            assert message is not None
            assert message["msg"] == "push"
            if message.get("full"):
                return message

    async def receive_removal(self, endpoint):
        """Wait for the message that removes an endpoint from the table."""
        while [endpoint, 0] not in (await self.receive()).get("endpoints", []):
            pass

    async def wait_closed(self, data=b""):
        """Wait for the end of the connection; meanwhile write `data` repeatedly, if any is given."""
        async with asyncio.timeout(TIMEOUT_S):
            try:
                while data or await self.reader.readline():
                    self.writer.write(data)
                    await self.writer.drain()
                    await asyncio.sleep(0)
            except ConnectionError:
                pass


class PlatformProcess:
    """A `python -m swiftchute.platform` process and its log; `prelude` is code to run before the module."""

    def __init__(self, tmp_path, discovery, /, prelude=None, **changes):
        self.port = free_port()
        self.file = tmp_path / "config.json"
        self.configuration = wire_configuration(self.port, discovery, **changes)
        self.write()
        start = "import runpy; runpy.run_module('swiftchute.platform', run_name='__main__')"
        code = ["-m", "swiftchute.platform"] if prelude is None else ["-c", f"{prelude}; {start}"]
        self.process = subprocess.Popen(
            [sys.executable, *code],
            cwd=ROOT,
            env=os.environ | {"GW_CONFIG": str(self.file)},
            stderr=subprocess.PIPE,
        )

    def write(self):
        """Write the configuration file."""
        self.file.write_text(json.dumps(self.configuration))

    async def event(self, name):
        """Return the next log line with this event."""
        while True:
            line = await asyncio.to_thread(self.process.stderr.readline)
            assert line, "the process ended"
            row = json.loads(line)
            if row["event"] == name:
                return row

    async def stop(self):
        """Send SIGTERM and return the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return await asyncio.to_thread(self.process.wait, TIMEOUT_S)
