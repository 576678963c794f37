"""What a push costs: list change to last ACK, bytes, CPU a line, memory; by gateways and form, as ratios in
one run.

    python benchmarks/push.py                       52, 174, 500 and 1,000 gateways; lines, delta and SotW; a
    stalled one
    python benchmarks/push.py --gateways 52,104 --changes 6

One planner process on loopback with 100 listed workers in one table; gateways are stand-ins' protocol cores
in client processes of their own, each on a stream of its own. A change is a drain of one worker, which goes
past the debounce; between drains the worker is listed again. The channel's pace is set out of the way: this
measures the program. Nothing here is a test: machines are shared, so figures are compared within a run only.
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

WORKERS, PROCESSES = int(os.environ.get("WORKERS", "100")), 4
SETTINGS = """
service {{
  zones = ["z"]
  zone = "z"
  proxies = {gateways}
  standing_lines = {workers}
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


# -- a client process: gateways that acknowledge all, and say when each drain's order was acknowledged


async def client(port: int, first: int, count: int, form: str) -> None:
    """Commands on standard input: `drop SERVER`, `wait SERVER` (until all hold it), `stall`, `go`; a
    JSON line each."""
    loop = asyncio.get_running_loop()
    gateways = [Lean(first + k, port, form) for k in range(count)]
    tasks = [asyncio.ensure_future(g.run()) for g in gateways]
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print(json.dumps({"up": True}), flush=True)
    while line := (await reader.readline()).decode().split():
        what, *args = line
        said: dict = {}
        if what in ("drop", "wait"):
            watched = [g for g in gateways if not g.stalled.is_set()]
            end = time.monotonic() + 60
            for g in watched:
                g.watch(args[0], what == "wait")
            while any(g.done is None for g in watched) and time.monotonic() < end:
                await asyncio.sleep(0.002)
            said = {
                "acked": [g.done for g in watched if g.done],
                "missing": sum(g.done is None for g in watched),
                "bytes": sum(g.bytes for g in gateways),
            }
        elif what == "stall":
            gateways[0].stalled.set()
        elif what == "go":
            gateways[0].stalled.clear()
        print(json.dumps(said), flush=True)
    for task in tasks:
        task.cancel()


class Lean:
    """A gateway's stream and tables, without invocations."""

    def __init__(self, number: int, port: int, form: str) -> None:
        self.client = XdsClient(
            f"g{number:04}", "z", 5.0, delta=form != "sotw", endpoint_collections=form == "lines"
        )
        self.port, self.bytes, self.stalled = port, 0, asyncio.Event()
        self.server, self.there, self.done = "", False, 0

    def watch(self, server: str, there: bool) -> None:
        """Note when the table is acknowledged with (or without) this server."""
        self.server, self.there, self.done = server, there, None
        self.look()

    def look(self) -> None:
        table = self.client.tables.get("lot-estimate")
        if self.done is None and table is not None and (self.server in table.weights) == self.there:
            self.done = time.monotonic_ns()

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
                self.bytes += len(data)
                for answer in self.client.receive(data):
                    await stream.send_message(answer)
                self.look()


# -- the run


class Bench:
    """One planner and its client processes."""

    def __init__(
        self, gateways: int, form: str, folder: str, profile: str = "", guard: str = "enforce", more: str = ""
    ) -> None:
        self.guard, self.more = guard, more  # further blocks of the planner's settings
        self.profile = ["-m", "cProfile", "-o", profile] if profile else []
        self.gateways, self.form, self.folder = gateways, form, folder
        self.list = os.path.join(folder, "list.json")
        self.servers = [f"127.1.{k // 200}.{k % 200 + 1}:9000" for k in range(WORKERS)]
        self.children: list[asyncio.subprocess.Process] = []

    def publish(self, drained: str = "") -> int:
        rows = [
            {"targets": [s], "labels": {"zone": "z", "state": "draining" if s == drained else "ready"}}
            for s in self.servers
        ]
        with open(self.list + ".new", "w", encoding="utf-8") as out:
            json.dump(rows, out)
        os.replace(self.list + ".new", self.list)
        return time.monotonic_ns()

    async def start(self, port: int) -> None:
        self.publish()
        path = os.path.join(self.folder, "p.hcl")
        with open(path, "w", encoding="utf-8") as out:
            out.write(
                SETTINGS.format(
                    gateways=self.gateways, list=self.list, port=port, guard=self.guard, workers=WORKERS
                )
                + self.more
            )
        self.planner = await asyncio.create_subprocess_exec(
            sys.executable, *self.profile, "-m", "swiftchute", "serve", path
        )
        await asyncio.sleep(1.5)
        share = -(-self.gateways // PROCESSES)
        for first in range(0, self.gateways, share):
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                __file__,
                "--client",
                str(port),
                str(first),
                str(min(share, self.gateways - first)),
                self.form,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=2**24,
            )
            self.children.append(child)
            await child.stdout.readline()

    async def say(self, text: str, some: list | None = None) -> list[dict]:
        """Send a command to the children (or to some) and gather their answers."""
        chosen = self.children if some is None else some
        for child in chosen:
            child.stdin.write(text.encode() + b"\n")
        return [json.loads(await child.stdout.readline()) for child in chosen]

    def cpu(self) -> float:
        with open(f"/proc/{self.planner.pid}/stat", encoding="utf-8") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> float:
        with open(f"/proc/{self.planner.pid}/status", encoding="utf-8") as status:
            row = next(x for x in status if x.startswith("VmRSS"))
        return int(row.split()[1]) / 1024

    async def change(self, k: int) -> dict:
        """Drain one worker, then list it again; what the drain cost."""
        server = self.servers[k % WORKERS]
        before = sum(r["bytes"] for r in await self.say(f"wait {server}"))
        cpu = self.cpu()
        told = asyncio.ensure_future(self.say(f"drop {server}"))
        await asyncio.sleep(0.05)
        at = self.publish(server)
        rows = await told
        await asyncio.sleep(0.1)
        cpu = self.cpu() - cpu
        acked = sorted((t - at) / 1e6 for r in rows for t in r["acked"])
        taken = sum(r["bytes"] for r in rows)
        await self.say("drop nothing")
        self.publish()
        rows_back = await self.say(f"wait {server}")  # the line is set again
        return {
            "set": sum(r["bytes"] for r in rows_back) - taken,
            "last": acked[-1],
            "p99": acked[int(0.99 * (len(acked) - 1))],
            "cpu": cpu,
            "bytes": taken - before,
            "missing": sum(r["missing"] for r in rows),
        }

    async def stop(self) -> None:
        for child in self.children:
            child.stdin.close()
            child.terminate()
            await child.wait()
        self.planner.terminate()
        await self.planner.wait()


def free_port() -> int:
    """A port nobody listens on."""
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def measure(gateways: int, form: str, changes: int, profile: str = "") -> dict:
    """One size and form: medians over `changes` drains, the first left out."""
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(gateways, form, folder, profile)
        await bench.start(free_port())
        begin = bench.cpu()
        await bench.say(f"wait {bench.servers[0]}")
        joined = sum(r["bytes"] for r in await bench.say(f"wait {bench.servers[0]}"))
        rows = [await bench.change(k) for k in range(changes + 1)][1:]
        found = {
            key: statistics.median(r[key] for r in rows) for key in ("last", "p99", "cpu", "bytes", "set")
        }
        found |= {
            "joined": joined,
            "join_cpu": begin,
            "memory": bench.memory(),
            "missing": sum(r["missing"] for r in rows),
        }
        await bench.stop()
        return found


async def guarded(gateways: int, changes: int) -> dict[str, float]:
    """CPU of a change and its last ACK with and without the guard, two planners by turns in one run."""
    with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
        benches = {
            "off": Bench(gateways, "lines", one, guard="off"),
            "enforce": Bench(gateways, "lines", two),
        }
        rows: dict[str, list[dict]] = {mode: [] for mode in benches}
        for bench in benches.values():
            await bench.start(free_port())
            await bench.change(0)
        for k in range(1, changes + 1):
            for mode, bench in benches.items():
                rows[mode].append(await bench.change(k))
        for bench in benches.values():
            await bench.stop()
        middle = {m: {key: statistics.median(r[key] for r in found) for key in ("cpu", "last")}
                  for m, found in rows.items()}  # fmt: skip
        return {key: middle["enforce"][key] / middle["off"][key] for key in ("cpu", "last")}


async def stalled(gateways: int, form: str, changes: int) -> dict:
    """The others' p99 with and without one gateway that reads nothing, by turns in one run."""
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(gateways, form, folder)
        await bench.start(free_port())
        await bench.change(0)
        rows: dict[str, list[float]] = {"go": [], "stall": []}
        for k in range(1, 2 * changes + 1):
            mode = ("go", "stall")[k % 2]
            await bench.say(mode, bench.children[:1])
            await asyncio.sleep(0.2)
            rows[mode].append((await bench.change(k))["p99"])
        await bench.stop()
        return {mode: statistics.median(found) for mode, found in rows.items()}


async def run(options: argparse.Namespace) -> None:
    """All sizes and forms, then the stalled gateway."""
    sizes = [int(n) for n in options.gateways.split(",") if n]
    found: dict[tuple[str, int], dict] = {}
    head = (
        "form",
        "gateways",
        "last ACK ms",
        "p99 ms",
        "bytes taken",
        "bytes set",
        "bytes joined",
        "CPU ms",
        "us/line sent",
        "RSS MiB",
        "missing",
    )
    print(" ".join(f"{h:>14}" for h in head))
    for form in options.forms.split(","):
        for size in sizes:
            f = found[form, size] = await measure(size, form, options.changes, options.profile)
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
                a, b = found[form, size], found[form, 2 * size]
                print(
                    f"{form}: {size} to {2 * size} gateways: CPU a change {b['cpu'] / a['cpu']:.2f} times,"
                    f" last ACK {b['last'] / a['last']:.2f} times"
                )
    for size in sizes:
        if {("lines", size), ("sotw", size)} <= found.keys():
            line, whole = found["lines", size], found["sotw", size]
            part = [100 * line[key] / whole[key] for key in ("set", "bytes")]
            print(
                f"{size} gateways: one line of {WORKERS} by lines is {part[0]:.1f}% of the whole table's"
                f" bytes when set, {part[1]:.1f}% when taken away"
            )
    if options.stall:
        two = await stalled(options.stall, "delta", options.changes)
        print(
            f"{options.stall} gateways, one stalled: the others' p99 {two['stall']:.1f} ms,"
            f" without {two['go']:.1f} ms, {two['stall'] / two['go']:.2f} times"
        )
    for size in map(int, filter(None, options.guard.split(","))):
        two = await guarded(size, options.changes)
        print(
            f"{size} gateways, guard: CPU a change {two['cpu']:.2f} times, last ACK {two['last']:.2f} times"
        )
    print(f"client processes' peak: {resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024:.0f} MiB")


if __name__ == "__main__":
    if sys.argv[1:2] == ["--client"]:
        uvloop.run(client(int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), sys.argv[5]))
    else:
        parser = argparse.ArgumentParser()
        parser.add_argument("--gateways", default="52,174,500,1000")
        parser.add_argument("--forms", default="lines,delta,sotw")
        parser.add_argument("--changes", type=int, default=9)
        parser.add_argument(
            "--profile", default="", help="write the planner's profile (cProfile) to this file"
        )
        parser.add_argument("--guard", default="174,1000", help="sizes at which the guard is weighed")
        parser.add_argument("--stall", type=int, default=174)
        uvloop.run(run(parser.parse_args()))
