"""What a proxy adds to a call, how many it carries, and what a table's change costs it.

    PYTHONPATH=. python benchmarks/proxy.py

A server that answers at once, a proxy process as it is run (no planner: its standing table), and a client
process that calls the server directly and through the proxy by turns. Figures are compared within a run only;
the client's and the server's own time is in all of them.
"""

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time

import uvloop
from push import free_port

from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.http2_connection import Http2Connection
from swiftchute.proxy.http_framing import HttpMessage
from swiftchute.proxy.request import RequestRouter
from swiftchute.proxy.settings import Idempotency, ProxyLimits, RouteSettings
from swiftchute.proxy.xds_client import XdsClient

S = 1_000_000_000
HEADERS = [(b":method", b"POST"), (b":path", b"/svc/read"), (b":scheme", b"http"), (b":authority", b"x"),
           (b"content-type", b"application/grpc"), (b"te", b"trailers")]  # fmt: skip
REPLY = [(b":status", b"200"), (b"content-type", b"application/grpc")]
SETTINGS = """
proxy {{
  name = "gw"
  zone = "z"
  listen = "127.0.0.1:{port}"
  planners = ["127.0.0.1:1"]
  standing = ["127.0.0.1:{server}"]
  streams = 1000
  first = 100
  callers = 5000
}}
operation "read" {{
  timeout = "10s"
  repeats = "idempotent"
}}
log {{
  level = "error"
}}
"""


class Server(asyncio.Protocol):
    """Answers every request with its own body."""

    def connection_made(self, transport):
        self.transport, self.wire = transport, Http2Connection(False, 2**20, 1000)
        self.wire.start()
        transport.write(self.wire.data_to_send())

    def data_received(self, data):
        for event in self.wire.receive_data(data):
            if isinstance(event, HttpMessage):
                self.wire.send(HttpMessage(event.stream_id, REPLY, event.body, [(b"grpc-status", b"0")]))
        self.transport.write(self.wire.data_to_send())


class Load(asyncio.Protocol):
    """Keeps `window` calls under way; their times by number."""

    def __init__(self, window):
        self.window, self.out, self.took = window, {}, []

    def connection_made(self, transport):
        self.transport, self.wire = transport, Http2Connection(True, 2**20)
        self.wire.start()
        for _ in range(self.window):
            self.call()
        transport.write(self.wire.data_to_send())

    def call(self):
        self.out[self.wire.send(HttpMessage(0, HEADERS, bytes(5) + b"x" * 100))] = time.perf_counter_ns()

    def data_received(self, data):
        for event in self.wire.receive_data(data):
            if isinstance(event, HttpMessage):
                self.took.append(time.perf_counter_ns() - self.out.pop(event.stream_id))
                self.call()
        self.transport.write(self.wire.data_to_send())


async def load(port, window, seconds):
    """Call for so long; a JSON line of figures."""
    transport, made = await asyncio.get_running_loop().create_connection(
        lambda: Load(window), "127.0.0.1", port
    )
    await asyncio.sleep(seconds)
    transport.abort()
    took = sorted(made.took)
    at = {name: took[int(part * (len(took) - 1))] / 1e6 for name, part in (("p50", 0.5), ("p99", 0.99))}
    print(json.dumps({"rate": len(took) / seconds} | at))


async def serve(port):
    """The server, until it is ended."""
    await asyncio.get_running_loop().create_server(Server, "127.0.0.1", port, backlog=2048)
    await asyncio.sleep(3600)


async def asked(port, window, seconds=2.0):
    """One client process's figures."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        "--load",
        str(port),
        str(window),
        str(seconds),
        stdout=asyncio.subprocess.PIPE,
    )
    return json.loads((await child.communicate())[0])


def memory(pid):
    """Resident MiB."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        return int(next(x for x in status if x.startswith("VmRSS")).split()[1]) / 1024


def cpu(pid):
    """Seconds of CPU."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def calls(turns):
    """Direct and through the proxy, by turns: one call at a time, and 64."""
    server, port = free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "p.hcl")
        with open(path, "w", encoding="utf-8") as out:
            out.write(SETTINGS.format(port=port, server=server))
        behind = await asyncio.create_subprocess_exec(sys.executable, __file__, "--serve", str(server))
        proxy = await asyncio.create_subprocess_exec(sys.executable, "-m", "swiftchute", "proxy", path)
        await asyncio.sleep(2)
        for window in (1, 64):
            rows = {"direct": [], "proxy": []}
            spent = 0.0
            for _ in range(turns):
                rows["direct"].append(await asked(server, window))
                before = cpu(proxy.pid)
                rows["proxy"].append(await asked(port, window))
                spent += cpu(proxy.pid) - before
            mid = {
                w: {k: statistics.median(r[k] for r in found) for k in found[0]} for w, found in rows.items()
            }
            one, two = mid["direct"], mid["proxy"]
            many = sum(r["rate"] for r in rows["proxy"]) * 2.0
            print(f"{window} under way: direct {one['rate']:.0f} a second, p50 {one['p50']:.2f} and p99"
                  f" {one['p99']:.2f} ms; by the proxy {two['rate']:.0f}, {two['p50']:.2f} and"
                  f" {two['p99']:.2f}: {two['p50'] - one['p50']:.2f} and"
                  f" {two['p99'] - one['p99']:.2f} ms added,"
                  f" {1e6 * spent / many:.0f} us of CPU an invocation")  # fmt: skip
        empty = memory(proxy.pid)
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(1000)]
        for _, writer in held:
            writer.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0")
        await asyncio.sleep(1)
        full = memory(proxy.pid)
        print(f"memory {empty:.0f} MiB, with 1,000 callers' connections {full:.0f}:"
              f" {1024 * (full - empty) / 1000:.0f} KiB each")  # fmt: skip
        for _, writer in held:
            writer.close()
        for child in (proxy, behind):
            child.terminate()
            await child.wait()


def changes():
    """A table's change of 1 and of 100 lines, in tables of 100 and 400."""
    for many in (100, 400):
        client = XdsClient("gw", "z", 1.0)
        lines = {f"10.0.{k // 200}.{k % 200}:80": 10_000 + k for k in range(many)}
        core = RequestRouter(
            client, {"read": RouteSettings("read", S, Idempotency.IDEMPOTENT)}, ProxyLimits(), 7
        )
        took = {}
        for changed in (1, 100):
            rows = []
            for turn in range(30):
                new = lines | {n: w + turn + 1 for n, w in list(lines.items())[:changed]}
                client.tables = {"read": EndpointTable("c", new)}
                start = time.process_time_ns()
                core.update_tables()
                rows.append((time.process_time_ns() - start) / 1000)
            took[changed] = statistics.median(rows)
        client.resources = {kind: {} for kind in client.resources}
        start = time.process_time_ns()
        for _ in range(20_000):
            inv = core.admit("read", "k", 0)
            core.next_attempt(inv, 0)
            core.abandon(inv, 0)
        pick = (time.process_time_ns() - start) / 20_000_000
        print(f"{many} lines: a change of 1 line {took[1]:.0f} us, of 100 {took[100]:.0f}; an invocation's"
              f" decisions {pick:.1f} us")  # fmt: skip


async def run(options):
    """All of it."""
    changes()
    await calls(options.turns)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--load"]:
        uvloop.run(load(int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])))
    elif sys.argv[1:2] == ["--serve"]:
        uvloop.run(serve(int(sys.argv[2])))
    else:
        parser = argparse.ArgumentParser()
        parser.add_argument("--turns", type=int, default=3)
        uvloop.run(run(parser.parse_args()))
