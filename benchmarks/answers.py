"""What DNS answers cost: queries a second and p99, beside a naive build and an echo; a flood beside xDS
pushes.

    PYTHONPATH=. python benchmarks/answers.py                   100 lines, 174 gateways
    PYTHONPATH=. python benchmarks/answers.py --gateways 52 --turns 3

A planner process as it is run; a server that builds each answer with the library from the same records; and
an echo on the same loop and protocol classes. Two client processes keep a window of datagrams under way, by
turns against each. Figures are compared within a run only: the clients' own time is in all of them.
"""

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
import time

import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import uvloop
from push import WORKERS, Bench, free_port

from swiftchute.controller.table_contents import TableEntry
from swiftchute.dns.answer_cache import AnswerCache
from swiftchute.dns.names import OriginNames
from swiftchute.dns.query import parse_plain_query
from swiftchute.dns.records import RecordLayout, ZoneRecords

ORIGIN = "lots.example."
QUESTIONS = {
    "A, 4 of the lines": ("lot-estimate.lots.example.", "A"),
    "SRV, cut by UDP": ("_lot-estimate._tcp.lots.example.", "SRV"),
    "no such name": ("none.lots.example.", "A"),
}


# -- servers to compare with


class Echo(asyncio.DatagramProtocol):
    """Sends back what comes."""

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        self.transport.sendto(data, source)


class Naive(Echo):
    """Reads each query and renders each answer with the library, from records that are made once."""

    def __init__(self):
        lines = tuple(TableEntry(f"127.1.{k // 200}.{k % 200 + 1}:9000", "z", 1.0) for k in range(WORKERS))
        names = OriginNames(ORIGIN, ["lot-estimate"], ["z"])
        records = ZoneRecords(names, {"z": {"lot-estimate": lines}}, frozenset(), 2, 7, RecordLayout())
        self.sets, self.soa = (
            {(made.name, made.rdtype): made for made in records.all_records("z")},
            records.soa(),
        )

    def datagram_received(self, data, source):
        query = dns.message.from_wire(data)
        asked = query.question[0]
        reply = dns.message.make_response(query)
        reply.flags |= dns.flags.AA
        found = self.sets.get((asked.name, asked.rdtype))
        if found is None:
            reply.set_rcode(dns.rcode.NXDOMAIN)
            reply.authority = [self.soa]
        else:
            reply.answer = [found]
            if asked.rdtype == dns.rdatatype.SRV:
                reply.additional = [self.sets[r.target, dns.rdatatype.A] for r in found]
        self.transport.sendto(reply.to_wire(max_size=512, prefer_truncation=True), source)


async def serve(kind, port):
    """One of them, until it is ended."""
    made = {"echo": Echo, "naive": Naive}[kind]
    await asyncio.get_running_loop().create_datagram_endpoint(made, local_addr=("127.0.0.1", port))
    await asyncio.sleep(3600)


# -- the client process


class Load(asyncio.DatagramProtocol):
    """Keeps `window` datagrams under way; times by id."""

    def __init__(self, query, window):
        self.query, self.window, self.number, self.out, self.took = query, window, 0, {}, []

    def connection_made(self, transport):
        self.transport = transport
        for _ in range(self.window):
            self.send()

    def send(self):
        self.number = (self.number + 1) & 0xFFFF
        self.out[self.number] = time.perf_counter_ns()
        self.transport.sendto(self.number.to_bytes(2, "big") + self.query[2:])

    def datagram_received(self, data, source):
        sent = self.out.pop(int.from_bytes(data[:2], "big"), None)
        if sent is not None:
            self.took.append(time.perf_counter_ns() - sent)
            self.send()


async def load(port, name, kind, seconds, window):
    """Ask for so long; a JSON line of figures."""
    query = dns.message.make_query(name, kind).to_wire()
    transport, made = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Load(query, window), remote_addr=("127.0.0.1", port)
    )
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(0.1)
        now = time.perf_counter_ns()
        for number in [n for n, sent in made.out.items() if now - sent > 200_000_000]:  # lost
            del made.out[number]
            made.send()
    transport.close()
    took = sorted(made.took) or [0]
    print(json.dumps({"rate": len(made.took) / seconds, "p99": took[int(0.99 * (len(took) - 1))] / 1e6}))


async def asked(port, name, kind, seconds, window=16, clients=2):
    """What `clients` processes get together: a second, and their median p99 in ms."""
    children = [
        await asyncio.create_subprocess_exec(
            sys.executable, __file__, "--load", str(port), name, kind, str(seconds), str(window),
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(clients)
    ]  # fmt: skip
    rows = [json.loads((await child.communicate())[0]) for child in children]
    return sum(r["rate"] for r in rows), statistics.median(r["p99"] for r in rows)


# -- the run


def block(port):
    """The planner's front."""
    return f'dns {{\n listen = "127.0.0.1:{port}"\n origin = "{ORIGIN}"\n responses = 0\n}}\n'


async def answers(turns):
    """Each question, by turns against the planner, the naive server and the echo."""
    ports = {kind: free_port() for kind in ("planner", "naive", "echo")}
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(4, "lines", folder, more=block(ports["planner"]))
        await bench.start(free_port())
        others = [
            await asyncio.create_subprocess_exec(sys.executable, __file__, "--serve", kind, str(ports[kind]))
            for kind in ("naive", "echo")
        ]
        await asyncio.sleep(2)
        for what, (name, kind) in QUESTIONS.items():
            rows = {server: [] for server in ports}
            for _ in range(turns):
                for server, port in ports.items():
                    rows[server].append(await asked(port, name, kind, 2.0))
            rate, p99 = (
                {s: statistics.median(r[k] for r in found) for s, found in rows.items()} for k in (0, 1)
            )
            told = "; ".join(f"{s} {rate[s]:.0f} a second, p99 {p99[s]:.2f} ms" for s in rows)
            naive, echo = (rate["planner"] / rate[s] for s in ("naive", "echo"))
            print(f"{what}: {told}; {naive:.1f} times the naive build, {echo:.2f} of the echo", flush=True)
        for child in others:
            child.terminate()
            await child.wait()
        await bench.stop()


def versions():
    """What a new version costs until its first answer is there, at 100 and 400 lines."""
    names = OriginNames(ORIGIN, ["lot-estimate"], ["z"])
    query = parse_plain_query(dns.message.make_query(*QUESTIONS["SRV, cut by UDP"]).to_wire())
    took = {}
    for many in (100, 400):
        lines = tuple(TableEntry(f"127.1.{k // 200}.{k % 200 + 1}:9000", "z", 1.0) for k in range(many))
        rows = []
        for serial in range(20):
            start = time.process_time_ns()
            records = ZoneRecords(
                names, {"z": {"lot-estimate": lines}}, frozenset(), 2, serial, RecordLayout()
            )
            AnswerCache(records, {}).answer(query, "z", 65_535, 0)
            rows.append(time.process_time_ns() - start)
        took[many] = statistics.median(rows) / 1e6
    print(f"a version to its first answer: {took[100]:.1f} ms at 100 lines, {took[400]:.1f} ms at 400")


async def flooded(gateways, turns):
    """xDS pushes with and without a flood of queries, by turns in one run."""
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        more = block(port).replace("responses = 0", "responses = 1000")
        bench = Bench(gateways, "lines", folder, more=more)
        await bench.start(free_port())
        await bench.change(0)
        rows = {False: [], True: []}
        for k in range(1, 2 * turns + 1):
            flood = bool(k % 2)
            flooding = asked(port, *QUESTIONS["SRV, cut by UDP"], 3.0, window=64)
            task = asyncio.ensure_future(flooding) if flood else flooding.close()
            await asyncio.sleep(1.0)
            rows[flood].append(await bench.change(k))
            if task:
                await task
        await bench.stop()
        for key in ("last", "p99"):
            with_, without = (statistics.median(r[key] for r in rows[flood]) for flood in (True, False))
            print(f"{gateways} gateways, {key} ACK with a flood {with_:.0f} ms, without {without:.0f} ms:"
                  f" {with_ / without:.2f} times")  # fmt: skip


async def run(options):
    """All of it."""
    versions()
    await answers(options.turns)
    await flooded(options.gateways, options.turns * 3)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--load"]:
        uvloop.run(load(int(sys.argv[2]), sys.argv[3], sys.argv[4], float(sys.argv[5]), int(sys.argv[6])))
    elif sys.argv[1:2] == ["--serve"]:
        uvloop.run(serve(sys.argv[2], int(sys.argv[3])))
    else:
        parser = argparse.ArgumentParser()
        parser.add_argument("--gateways", type=int, default=174)
        parser.add_argument("--turns", type=int, default=3)
        uvloop.run(run(parser.parse_args()))
