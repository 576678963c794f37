"""Measures the cost of a push: time from list change to last ACK, bytes, CPU per entry and memory.

    python benchmarks/push.py                       52, 174, 500 and 1,000 proxies; lines, delta and SotW; one
    stalled proxy
    python benchmarks/push.py --gateways 52,104 --changes 6

One instance on loopback serves one table of 100 endpoints. The proxies are protocol clients without traffic,
each with its own stream, in separate client processes. A change drains one endpoint, which bypasses the
debounce; between drains the endpoint is listed again. The egress rate is set too high to limit anything: this
measures the program itself. Machines are shared, so this is no test; compare figures within one run only.
"""

import argparse
import asyncio
import json
import os
import resource
import statistics
import sys
import tempfile
import time

import uvloop
from grpclib.client import Channel
from grpclib.const import Cardinality

from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds.grpc_transport import RawCodec
from swiftchute.xds.server import ADS

ENDPOINT_COUNT, CLIENT_PROCESSES = int(os.environ.get("WORKERS", "100")), 4
SETTINGS = """
service {{
  zones = ["z"]
  zone = "z"
  proxies = {proxies}
  standing_lines = {endpoints}
  seed = 7
}}
operation "lot-estimate" {{
  latency_objective = "1200ms"
  integration_timeout = "4s"
  billed_value = 3
  repeats = "idempotent"
}}
rules {{
  drain_grace = "3s"
  start_capacity = 0.2
  warm_within = "16s"
  fall_multiple = 2.5
  fall_span = "2s"
  bare_limit = "4s"
}}
channel {{
  pace = 10000000
  limit = 10000000
  message_lines = 6
}}
reports {{
  lines = 200
}}
list "file" {{
  path = "{list}"
  every = "10ms"
}}
xds {{
  listen = "127.0.0.1:{port}"
  read_within = "600s"
  ack_within = "600s"
}}
guard {{
  mode = "{guard}"
}}
log {{
  level = "error"
}}
"""


# -- client process: proxies that acknowledge every push and report when they did


async def run_client_process(port: int, first: int, count: int, form: str) -> None:
    """Run proxies and execute commands from standard input; each is answered with one JSON line.

    Commands: `drop ENDPOINT` waits until no proxy holds it, `wait ENDPOINT` until every proxy does; `stall`
    and `go` stop and resume the first proxy.
    """
    loop = asyncio.get_running_loop()
    proxies = [BenchmarkProxy(first + k, port, form) for k in range(count)]
    tasks = [asyncio.ensure_future(proxy.run()) for proxy in proxies]
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print(json.dumps({"up": True}), flush=True)
    while line := (await reader.readline()).decode().split():
        command, *args = line
        reply: dict = {}
        if command in ("drop", "wait"):
            watched = [proxy for proxy in proxies if not proxy.stalled.is_set()]
            end = time.monotonic() + 60
            for proxy in watched:
                proxy.watch(args[0], command == "wait")
            while any(proxy.acknowledged_ns is None for proxy in watched) and time.monotonic() < end:
                await asyncio.sleep(0.002)
            reply = {
                "acked": [proxy.acknowledged_ns for proxy in watched if proxy.acknowledged_ns],
                "missing": sum(proxy.acknowledged_ns is None for proxy in watched),
                "bytes": sum(proxy.received_bytes for proxy in proxies),
            }
        elif command == "stall":
            proxies[0].stalled.set()
        elif command == "go":
            proxies[0].stalled.clear()
        print(json.dumps(reply), flush=True)
    for task in tasks:
        task.cancel()


class BenchmarkProxy:
    """A proxy's xDS stream and tables, without request traffic."""

    def __init__(self, number: int, port: int, form: str) -> None:
        self.client = XdsClient(
            f"g{number:04}", "z", 5.0, delta=form != "sotw", endpoint_collections=form == "lines"
        )
        self.port, self.received_bytes, self.stalled = port, 0, asyncio.Event()
        self.endpoint, self.expect_present, self.acknowledged_ns = "", False, 0

    def watch(self, endpoint: str, expect_present: bool) -> None:
        """Record when the proxy acknowledges a table with (or without) this endpoint."""
        self.endpoint, self.expect_present, self.acknowledged_ns = endpoint, expect_present, None
        self.check_table()

    def check_table(self) -> None:
        table = self.client.tables.get("lot-estimate")
        if (
            self.acknowledged_ns is None
            and table is not None
            and (self.endpoint in table.weights) == self.expect_present
        ):
            self.acknowledged_ns = time.monotonic_ns()

    async def run(self) -> None:
        channel = Channel("127.0.0.1", self.port, codec=RawCodec())
        method = ADS + ("DeltaAggregatedResources" if self.client.delta else "StreamAggregatedResources")
        async with channel.request(method, Cardinality.STREAM_STREAM, bytes, bytes) as stream:
            await stream.send_request()
            for request in self.client.open_stream(True):
                await stream.send_message(request)
            while True:
                while self.stalled.is_set():
                    await asyncio.sleep(0.05)
                data = await stream.recv_message()
                if data is None:
                    return
                self.received_bytes += len(data)
                for answer in self.client.receive(data):
                    await stream.send_message(answer)
                self.check_table()


# -- measurements


class Testbed:
    """One instance and its client processes."""

    def __init__(
        self,
        proxy_count: int,
        form: str,
        folder: str,
        profile: str = "",
        guard: str = "enforce",
        extra_settings: str = "",
    ) -> None:
        self.guard, self.extra_settings = guard, extra_settings  # extra blocks of the instance's settings
        self.profile = ["-m", "cProfile", "-o", profile] if profile else []
        self.proxy_count, self.form, self.folder = proxy_count, form, folder
        self.list_path = os.path.join(folder, "list.json")
        self.endpoints = [f"127.1.{k // 200}.{k % 200 + 1}:9000" for k in range(ENDPOINT_COUNT)]
        self.children: list[asyncio.subprocess.Process] = []

    def publish(self, drained: str = "") -> int:
        rows = [
            {
                "targets": [endpoint],
                "labels": {"zone": "z", "state": "draining" if endpoint == drained else "ready"},
            }
            for endpoint in self.endpoints
        ]
        with open(self.list_path + ".new", "w", encoding="utf-8") as out:
            json.dump(rows, out)
        os.replace(self.list_path + ".new", self.list_path)
        return time.monotonic_ns()

    async def start(self, port: int) -> None:
        self.publish()
        path = os.path.join(self.folder, "p.hcl")
        with open(path, "w", encoding="utf-8") as out:
            out.write(
                SETTINGS.format(
                    proxies=self.proxy_count,
                    list=self.list_path,
                    port=port,
                    guard=self.guard,
                    endpoints=ENDPOINT_COUNT,
                )
                + self.extra_settings
            )
        self.instance = await asyncio.create_subprocess_exec(
            sys.executable, *self.profile, "-m", "swiftchute", "serve", path
        )
        await asyncio.sleep(1.5)
        proxies_per_process = -(-self.proxy_count // CLIENT_PROCESSES)
        for first in range(0, self.proxy_count, proxies_per_process):
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                __file__,
                "--client",
                str(port),
                str(first),
                str(min(proxies_per_process, self.proxy_count - first)),
                self.form,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=2**24,
            )
            self.children.append(child)
            await child.stdout.readline()

    async def send_command(self, text: str, recipients: list | None = None) -> list[dict]:
        """Send a command to client processes (all by default) and return their replies."""
        processes = self.children if recipients is None else recipients
        for child in processes:
            child.stdin.write(text.encode() + b"\n")
        return [json.loads(await child.stdout.readline()) for child in processes]

    def cpu_s(self) -> float:
        with open(f"/proc/{self.instance.pid}/stat", encoding="utf-8") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_mib(self) -> float:
        with open(f"/proc/{self.instance.pid}/status", encoding="utf-8") as status:
            line = next(text for text in status if text.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    async def measure_change(self, k: int) -> dict:
        """Drain one endpoint, then list it again; return what the drain cost."""
        endpoint = self.endpoints[k % ENDPOINT_COUNT]
        initial_bytes = sum(r["bytes"] for r in await self.send_command(f"wait {endpoint}"))
        used_s = self.cpu_s()
        reply_task = asyncio.ensure_future(self.send_command(f"drop {endpoint}"))
        await asyncio.sleep(0.05)
        published_ns = self.publish(endpoint)
        replies = await reply_task
        await asyncio.sleep(0.1)
        used_s = self.cpu_s() - used_s
        latencies_ms = sorted(
            (acknowledged_ns - published_ns) / 1e6 for r in replies for acknowledged_ns in r["acked"]
        )
        drained_bytes = sum(r["bytes"] for r in replies)
        await self.send_command("drop nothing")
        self.publish()
        restore_replies = await self.send_command(f"wait {endpoint}")  # the entry is added again
        return {
            "set": sum(r["bytes"] for r in restore_replies) - drained_bytes,
            "last": latencies_ms[-1],
            "p99": latencies_ms[int(0.99 * (len(latencies_ms) - 1))],
            "cpu": used_s,
            "bytes": drained_bytes - initial_bytes,
            "missing": sum(r["missing"] for r in replies),
        }

    async def stop(self) -> None:
        for child in self.children:
            child.stdin.close()
            child.terminate()
            await child.wait()
        self.instance.terminate()
        await self.instance.wait()


def free_port() -> int:
    """Return an unused port."""
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def measure(proxy_count: int, form: str, changes: int, profile: str = "") -> dict:
    """Return medians over `changes` drains for one size and form, after a first drain that is not counted."""
    with tempfile.TemporaryDirectory() as folder:
        testbed = Testbed(proxy_count, form, folder, profile)
        await testbed.start(free_port())
        startup_cpu_s = testbed.cpu_s()
        await testbed.send_command(f"wait {testbed.endpoints[0]}")
        joined_bytes = sum(r["bytes"] for r in await testbed.send_command(f"wait {testbed.endpoints[0]}"))
        rows = [await testbed.measure_change(k) for k in range(changes + 1)][1:]
        result = {
            key: statistics.median(r[key] for r in rows) for key in ("last", "p99", "cpu", "bytes", "set")
        }
        result |= {
            "joined": joined_bytes,
            "join_cpu": startup_cpu_s,
            "memory": testbed.resident_mib(),
            "missing": sum(r["missing"] for r in rows),
        }
        await testbed.stop()
        return result


async def compare_safety_gate(proxy_count: int, changes: int) -> dict[str, float]:
    """Return the ratios of CPU and last ACK with to without the safety gate, two instances alternating."""
    with tempfile.TemporaryDirectory() as folder_off, tempfile.TemporaryDirectory() as folder_enforce:
        testbeds = {
            "off": Testbed(proxy_count, "lines", folder_off, guard="off"),
            "enforce": Testbed(proxy_count, "lines", folder_enforce),
        }
        rows: dict[str, list[dict]] = {mode: [] for mode in testbeds}
        for testbed in testbeds.values():
            await testbed.start(free_port())
            await testbed.measure_change(0)
        for k in range(1, changes + 1):
            for mode, testbed in testbeds.items():
                rows[mode].append(await testbed.measure_change(k))
        for testbed in testbeds.values():
            await testbed.stop()
        medians = {m: {key: statistics.median(r[key] for r in samples) for key in ("cpu", "last")}
                  for m, samples in rows.items()}  # fmt: skip
        return {key: medians["enforce"][key] / medians["off"][key] for key in ("cpu", "last")}


async def compare_stalled_proxy(proxy_count: int, form: str, changes: int) -> dict:
    """Return the other proxies' p99 with and without one proxy that reads nothing, alternating in one run."""
    with tempfile.TemporaryDirectory() as folder:
        testbed = Testbed(proxy_count, form, folder)
        await testbed.start(free_port())
        await testbed.measure_change(0)
        rows: dict[str, list[float]] = {"go": [], "stall": []}
        for k in range(1, 2 * changes + 1):
            mode = ("go", "stall")[k % 2]
            await testbed.send_command(mode, testbed.children[:1])
            await asyncio.sleep(0.2)
            rows[mode].append((await testbed.measure_change(k))["p99"])
        await testbed.stop()
        return {mode: statistics.median(samples) for mode, samples in rows.items()}


async def run(options: argparse.Namespace) -> None:
    """Measure all sizes and forms, then the stalled proxy and the safety gate."""
    sizes = [int(n) for n in options.gateways.split(",") if n]
    results: dict[tuple[str, int], dict] = {}
    head = (
        "form",
        "proxies",
        "last ACK ms",
        "p99 ms",
        "bytes drained",
        "bytes added",
        "bytes joined",
        "CPU ms",
        "us/entry sent",
        "RSS MiB",
        "missing",
    )
    print(" ".join(f"{h:>14}" for h in head))
    for form in options.forms.split(","):
        for size in sizes:
            f = results[form, size] = await measure(size, form, options.changes, options.profile)
            row = (
                form,
                size,
                f"{f['last']:.0f}",
                f"{f['p99']:.0f}",
                f"{f['bytes'] / size:.0f}",
                f"{f['set'] / size:.0f}",
                f"{f['joined'] / size:.0f}",
                f"{1000 * f['cpu']:.0f}",
                f"{1e6 * f['cpu'] / size:.0f}",
                f"{f['memory']:.0f}",
                f["missing"],
            )
            print(" ".join(f"{x!s:>14}" for x in row), flush=True)
    for form in options.forms.split(","):
        for size in sizes:
            if 2 * size in sizes:
                a, b = results[form, size], results[form, 2 * size]
                print(
                    f"{form}: {size} to {2 * size} proxies: CPU per change {b['cpu'] / a['cpu']:.2f} times,"
                    f" last ACK {b['last'] / a['last']:.2f} times"
                )
    for size in sizes:
        if {("lines", size), ("sotw", size)} <= results.keys():
            per_entry, full = results["lines", size], results["sotw", size]
            percent = [100 * per_entry[key] / full[key] for key in ("set", "bytes")]
            print(
                f"{size} proxies: one entry of {ENDPOINT_COUNT} by lines is {percent[0]:.1f}% of the full"
                f" table's bytes when added, {percent[1]:.1f}% when drained"
            )
    if options.stall:
        p99_ms = await compare_stalled_proxy(options.stall, "delta", options.changes)
        print(
            f"{options.stall} proxies, one stalled: the others' p99 {p99_ms['stall']:.1f} ms,"
            f" without {p99_ms['go']:.1f} ms, {p99_ms['stall'] / p99_ms['go']:.2f} times"
        )
    for size in map(int, filter(None, options.guard.split(","))):
        ratios = await compare_safety_gate(size, options.changes)
        print(
            f"{size} proxies, safety gate: CPU per change {ratios['cpu']:.2f} times,"
            f" last ACK {ratios['last']:.2f} times"
        )
    print(f"client processes' peak: {resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024:.0f} MiB")


if __name__ == "__main__":
    if sys.argv[1:2] == ["--client"]:
        uvloop.run(run_client_process(int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), sys.argv[5]))
    else:
        parser = argparse.ArgumentParser()
        parser.add_argument("--gateways", default="52,174,500,1000")
        parser.add_argument("--forms", default="lines,delta,sotw")
        parser.add_argument("--changes", type=int, default=9)
        parser.add_argument(
            "--profile", default="", help="write the instance's profile (cProfile) to this file"
        )
        parser.add_argument(
            "--guard",
            default="174,1000",
            help="proxy counts at which the cost of the safety gate is measured",
        )
        parser.add_argument("--stall", type=int, default=174)
        uvloop.run(run(parser.parse_args()))
