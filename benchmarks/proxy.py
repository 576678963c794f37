"""Measures the latency that a proxy adds to a call, its throughput, and the cost of a changed table.

    PYTHONPATH=. python benchmarks/proxy.py

A server that answers at once, a proxy process (on its static endpoints, without a control plane), and a
client process that calls the server directly and through the proxy in turn. Compare figures within one run
only: all of them include the time of the client and the server.
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

NS_PER_S = 1_000_000_000
LOAD_S = 2.0  # duration of one measurement
STARTUP_S = 2
CONNECTIONS = 1000
TABLE_TURNS = 30
REQUESTS = 20_000
REQUEST_HEADERS = [
    (b":method", b"POST"),
    (b":path", b"/svc/read"),
    (b":scheme", b"http"),
    (b":authority", b"x"),
    (b"content-type", b"application/grpc"),
    (b"te", b"trailers"),
]
RESPONSE_HEADERS = [(b":status", b"200"), (b"content-type", b"application/grpc")]
PROXY_SETTINGS = """
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


class EchoServer(asyncio.Protocol):
    """A server connection that answers every request with the request's body."""

    def connection_made(self, transport):
        self.transport, self.framing = transport, Http2Connection(False, 2**20, 1000)
        self.framing.start()
        transport.write(self.framing.data_to_send())

    def data_received(self, data):
        for event in self.framing.receive_data(data):
            if isinstance(event, HttpMessage):
                self.framing.send(
                    HttpMessage(event.stream_id, RESPONSE_HEADERS, event.body, [(b"grpc-status", b"0")])
                )
        self.transport.write(self.framing.data_to_send())


class LoadClient(asyncio.Protocol):
    """A client connection that keeps `max_in_flight` calls in flight and records their latencies."""

    def __init__(self, max_in_flight):
        self.max_in_flight = max_in_flight
        self.started_ns = {}  # by stream id
        self.latencies_ns = []

    def connection_made(self, transport):
        self.transport, self.framing = transport, Http2Connection(True, 2**20)
        self.framing.start()
        for _ in range(self.max_in_flight):
            self.call()
        transport.write(self.framing.data_to_send())

    def call(self):
        stream_id = self.framing.send(HttpMessage(0, REQUEST_HEADERS, bytes(5) + b"x" * 100))
        self.started_ns[stream_id] = time.perf_counter_ns()

    def data_received(self, data):
        for event in self.framing.receive_data(data):
            if isinstance(event, HttpMessage):
                self.latencies_ns.append(time.perf_counter_ns() - self.started_ns.pop(event.stream_id))
                self.call()
        self.transport.write(self.framing.data_to_send())


async def generate_load(port, max_in_flight, duration_s):
    """Generate load for `duration_s`; print the rate and percentiles as a JSON line."""
    transport, client = await asyncio.get_running_loop().create_connection(
        lambda: LoadClient(max_in_flight), "127.0.0.1", port
    )
    await asyncio.sleep(duration_s)
    transport.abort()
    latencies_ns = sorted(client.latencies_ns)
    last = len(latencies_ns) - 1
    percentiles = {
        name: latencies_ns[int(fraction * last)] / 1e6 for name, fraction in (("p50", 0.5), ("p99", 0.99))
    }
    print(json.dumps({"rate": len(latencies_ns) / duration_s} | percentiles))


async def serve(port):
    """Run the echo server until the process is terminated."""
    await asyncio.get_running_loop().create_server(EchoServer, "127.0.0.1", port, backlog=2048)
    await asyncio.sleep(3600)


async def measure_load(port, max_in_flight, duration_s=LOAD_S):
    """Return the figures of one client process."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        "--load",
        str(port),
        str(max_in_flight),
        str(duration_s),
        stdout=asyncio.subprocess.PIPE,
    )
    return json.loads((await child.communicate())[0])


def resident_mib(pid):
    """Return the resident memory of a process in MiB."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        return int(next(line for line in status if line.startswith("VmRSS")).split()[1]) / 1024


def cpu_s(pid):
    """Return the CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_calls(turns):
    """Compare direct calls with calls through the proxy, 1 and 64 in flight; then measure connections."""
    server_port, proxy_port = free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "proxy.hcl")
        with open(path, "w", encoding="utf-8") as file:
            file.write(PROXY_SETTINGS.format(port=proxy_port, server=server_port))
        server = await asyncio.create_subprocess_exec(sys.executable, __file__, "--serve", str(server_port))
        proxy = await asyncio.create_subprocess_exec(sys.executable, "-m", "swiftchute", "proxy", path)
        await asyncio.sleep(STARTUP_S)
        for max_in_flight in (1, 64):
            await compare_calls(turns, max_in_flight, server_port, proxy_port, proxy.pid)
        await measure_connections(proxy_port, proxy.pid)
        for child in (proxy, server):
            child.terminate()
            await child.wait()


async def compare_calls(turns, max_in_flight, server_port, proxy_port, proxy_pid):
    """Print what the proxy adds to calls with `max_in_flight` in flight."""
    direct_rows, proxy_rows = [], []
    used_s = 0.0
    for _ in range(turns):
        direct_rows.append(await measure_load(server_port, max_in_flight))
        before_s = cpu_s(proxy_pid)
        proxy_rows.append(await measure_load(proxy_port, max_in_flight))
        used_s += cpu_s(proxy_pid) - before_s
    direct, through = medians(direct_rows), medians(proxy_rows)
    calls = sum(row["rate"] for row in proxy_rows) * LOAD_S
    print(
        f"{max_in_flight} in flight: direct {direct['rate']:.0f} calls/s, p50 {direct['p50']:.2f} and p99"
        f" {direct['p99']:.2f} ms; through the proxy {through['rate']:.0f}, {through['p50']:.2f} and"
        f" {through['p99']:.2f}: {through['p50'] - direct['p50']:.2f} and"
        f" {through['p99'] - direct['p99']:.2f} ms added, {1e6 * used_s / calls:.0f} us of CPU per request"
    )


def medians(rows):
    """Return the median of each figure."""
    return {name: statistics.median(row[name] for row in rows) for name in rows[0]}


async def measure_connections(proxy_port, proxy_pid):
    """Print the memory per downstream connection."""
    before_mib = resident_mib(proxy_pid)
    connections = [await asyncio.open_connection("127.0.0.1", proxy_port) for _ in range(CONNECTIONS)]
    for _, writer in connections:
        writer.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0")
    await asyncio.sleep(1)
    after_mib = resident_mib(proxy_pid)
    print(
        f"memory {before_mib:.0f} MiB, with {CONNECTIONS} downstream connections {after_mib:.0f}:"
        f" {1024 * (after_mib - before_mib) / CONNECTIONS:.0f} KiB each"
    )
    for _, writer in connections:
        writer.close()


def measure_decisions():
    """Print the cost of applying a changed table of 100 and 400 endpoints, and of routing one request."""
    for size in (100, 400):
        client = XdsClient("gw", "z", 1.0)
        routes = {"read": RouteSettings("read", NS_PER_S, Idempotency.IDEMPOTENT)}
        router = RequestRouter(client, routes, ProxyLimits(), 7)
        weights = {f"10.0.{k // 200}.{k % 200}:80": 10_000 + k for k in range(size)}
        one_us, many_us = (measure_table_change(router, weights, changed) for changed in (1, 100))
        request_us = measure_requests(router)
        print(
            f"{size} endpoints: 1 changed {one_us:.0f} us, 100 changed {many_us:.0f} us; routing a request"
            f" {request_us:.1f} us"
        )


def measure_table_change(router, weights, changed):
    """Return the median time in us to apply a table with `changed` changed weights."""
    rows = []
    for turn in range(TABLE_TURNS):
        new = weights | {name: w + turn + 1 for name, w in list(weights.items())[:changed]}
        router.client.tables = {"read": EndpointTable("c", new)}
        start_ns = time.process_time_ns()
        router.update_tables()
        rows.append((time.process_time_ns() - start_ns) / 1000)
    return statistics.median(rows)


def measure_requests(router):
    """Return the time in us to route one request (admission and endpoint choice)."""
    start_ns = time.process_time_ns()
    for _ in range(REQUESTS):
        request = router.admit("read", "k", 0)
        router.next_attempt(request, 0)
        router.abandon(request, 0)
    return (time.process_time_ns() - start_ns) / REQUESTS / 1000


async def run(options):
    """Run all measurements."""
    measure_decisions()
    await measure_calls(options.turns)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--load"]:
        uvloop.run(generate_load(int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])))
    elif sys.argv[1:2] == ["--serve"]:
        uvloop.run(serve(int(sys.argv[2])))
    else:
        parser = argparse.ArgumentParser()
        parser.add_argument("--turns", type=int, default=3)
        uvloop.run(run(parser.parse_args()))
