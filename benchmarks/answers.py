"""Measures the cost of DNS answers: rate and p99 beside a naive server and an echo; xDS pushes under a flood.

    PYTHONPATH=. python benchmarks/answers.py                   100 endpoints, 174 proxies
    PYTHONPATH=. python benchmarks/answers.py --gateways 52 --turns 3

The servers: an instance process; a server that renders each answer with dnspython from the same records; and
an echo server on the same event loop and protocol classes. Two client processes keep a window of datagrams in
flight, against each server in turn. Compare figures within one run only: all include the clients' time.
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
from push import ENDPOINT_COUNT, Testbed, free_port

from swiftchute.controller.table_contents import TableEntry
from swiftchute.dns.answer_cache import AnswerCache
from swiftchute.dns.names import OriginNames
from swiftchute.dns.query import parse_plain_query
from swiftchute.dns.records import RecordLayout, ZoneRecords

ORIGIN = "lots.example."
QUESTIONS = {
    "A, 4 of the entries": ("lot-estimate.lots.example.", "A"),
    "SRV, truncated over UDP": ("_lot-estimate._tcp.lots.example.", "SRV"),
    "no such name": ("none.lots.example.", "A"),
}


# -- servers for comparison


class EchoServer(asyncio.DatagramProtocol):
    """Returns each datagram to its sender."""

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        self.transport.sendto(data, source)


class NaiveServer(EchoServer):
    """Parses each query and renders each answer with dnspython, from records that are built once."""

    def __init__(self):
        entries = tuple(
            TableEntry(f"127.1.{k // 200}.{k % 200 + 1}:9000", "z", 1.0) for k in range(ENDPOINT_COUNT)
        )
        names = OriginNames(ORIGIN, ["lot-estimate"], ["z"])
        records = ZoneRecords(names, {"z": {"lot-estimate": entries}}, frozenset(), 2, 7, RecordLayout())
        self.rrsets, self.soa = (
            {(rrset.name, rrset.rdtype): rrset for rrset in records.all_records("z")},
            records.soa(),
        )

    def datagram_received(self, data, source):
        query = dns.message.from_wire(data)
        question = query.question[0]
        reply = dns.message.make_response(query)
        reply.flags |= dns.flags.AA
        answer = self.rrsets.get((question.name, question.rdtype))
        if answer is None:
            reply.set_rcode(dns.rcode.NXDOMAIN)
            reply.authority = [self.soa]
        else:
            reply.answer = [answer]
            if question.rdtype == dns.rdatatype.SRV:
                reply.additional = [self.rrsets[srv.target, dns.rdatatype.A] for srv in answer]
        self.transport.sendto(reply.to_wire(max_size=512, prefer_truncation=True), source)


async def serve(kind, port):
    """Run one of the comparison servers until the process is terminated."""
    protocol = {"echo": EchoServer, "naive": NaiveServer}[kind]
    await asyncio.get_running_loop().create_datagram_endpoint(protocol, local_addr=("127.0.0.1", port))
    await asyncio.sleep(3600)


# -- client process


class QueryLoad(asyncio.DatagramProtocol):
    """Keeps `window` queries in flight and records their latencies."""

    def __init__(self, query, window):
        self.query, self.window, self.query_id, self.sent_ns, self.latencies_ns = query, window, 0, {}, []

    def connection_made(self, transport):
        self.transport = transport
        for _ in range(self.window):
            self.send()

    def send(self):
        self.query_id = (self.query_id + 1) & 0xFFFF
        self.sent_ns[self.query_id] = time.perf_counter_ns()
        self.transport.sendto(self.query_id.to_bytes(2, "big") + self.query[2:])

    def datagram_received(self, data, source):
        started_ns = self.sent_ns.pop(int.from_bytes(data[:2], "big"), None)
        if started_ns is not None:
            self.latencies_ns.append(time.perf_counter_ns() - started_ns)
            self.send()


async def generate_load(port, name, kind, seconds, window):
    """Send queries for `seconds`; print the rate and p99 as a JSON line."""
    query = dns.message.make_query(name, kind).to_wire()
    transport, client = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: QueryLoad(query, window), remote_addr=("127.0.0.1", port)
    )
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(0.1)
        now = time.perf_counter_ns()
        for query_id in [
            n for n, started_ns in client.sent_ns.items() if now - started_ns > 200_000_000
        ]:  # lost
            del client.sent_ns[query_id]
            client.send()
    transport.close()
    latencies_ns = sorted(client.latencies_ns) or [0]
    print(
        json.dumps(
            {
                "rate": len(client.latencies_ns) / seconds,
                "p99": latencies_ns[int(0.99 * (len(latencies_ns) - 1))] / 1e6,
            }
        )
    )


async def measure_load(port, name, kind, seconds, window=16, clients=2):
    """Return the summed rate of `clients` processes and the median of their p99 in ms."""
    children = [
        await asyncio.create_subprocess_exec(
            sys.executable, __file__, "--load", str(port), name, kind, str(seconds), str(window),
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(clients)
    ]  # fmt: skip
    results = [json.loads((await child.communicate())[0]) for child in children]
    return sum(r["rate"] for r in results), statistics.median(r["p99"] for r in results)


# -- measurements


def dns_block(port):
    """Return the `dns` block of the instance's settings."""
    return f'dns {{\n listen = "127.0.0.1:{port}"\n origin = "{ORIGIN}"\n responses = 0\n}}\n'


async def measure_answers(turns):
    """Send each question to the instance, the naive server and the echo server in turn."""
    ports = {kind: free_port() for kind in ("instance", "naive", "echo")}
    with tempfile.TemporaryDirectory() as folder:
        testbed = Testbed(4, "lines", folder, extra_settings=dns_block(ports["instance"]))
        await testbed.start(free_port())
        comparison_servers = [
            await asyncio.create_subprocess_exec(sys.executable, __file__, "--serve", kind, str(ports[kind]))
            for kind in ("naive", "echo")
        ]
        await asyncio.sleep(2)
        for question, (name, kind) in QUESTIONS.items():
            rows = {server: [] for server in ports}
            for _ in range(turns):
                for server, port in ports.items():
                    rows[server].append(await measure_load(port, name, kind, 2.0))
            rate, p99 = (
                {s: statistics.median(r[k] for r in results) for s, results in rows.items()} for k in (0, 1)
            )
            figures = "; ".join(f"{s} {rate[s]:.0f} a second, p99 {p99[s]:.2f} ms" for s in rows)
            naive, echo = (rate["instance"] / rate[s] for s in ("naive", "echo"))
            print(
                f"{question}: {figures}; {naive:.1f} times the naive server, {echo:.2f} of the echo",
                flush=True,
            )
        for child in comparison_servers:
            child.terminate()
            await child.wait()
        await testbed.stop()


def measure_versions():
    """Print the CPU time from a new version to its first answer, at 100 and 400 entries."""
    names = OriginNames(ORIGIN, ["lot-estimate"], ["z"])
    query = parse_plain_query(dns.message.make_query(*QUESTIONS["SRV, truncated over UDP"]).to_wire())
    cpu_ms = {}
    for entry_count in (100, 400):
        entries = tuple(
            TableEntry(f"127.1.{k // 200}.{k % 200 + 1}:9000", "z", 1.0) for k in range(entry_count)
        )
        rows = []
        for serial in range(20):
            start = time.process_time_ns()
            records = ZoneRecords(
                names, {"z": {"lot-estimate": entries}}, frozenset(), 2, serial, RecordLayout()
            )
            AnswerCache(records, {}).answer(query, "z", 65_535, 0)
            rows.append(time.process_time_ns() - start)
        cpu_ms[entry_count] = statistics.median(rows) / 1e6
    print(
        f"a new version to its first answer: {cpu_ms[100]:.1f} ms at 100 entries, {cpu_ms[400]:.1f} ms at 400"
    )


async def measure_flood(proxy_count, turns):
    """Print the cost of xDS pushes with and without a flood of queries, alternating in one run."""
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        extra_settings = dns_block(port).replace("responses = 0", "responses = 1000")
        testbed = Testbed(proxy_count, "lines", folder, extra_settings=extra_settings)
        await testbed.start(free_port())
        await testbed.measure_change(0)
        rows = {False: [], True: []}
        for k in range(1, 2 * turns + 1):
            flooded = bool(k % 2)
            flood_load = measure_load(port, *QUESTIONS["SRV, truncated over UDP"], 3.0, window=64)
            task = asyncio.ensure_future(flood_load) if flooded else flood_load.close()
            await asyncio.sleep(1.0)
            rows[flooded].append(await testbed.measure_change(k))
            if task:
                await task
        await testbed.stop()
        for key in ("last", "p99"):
            with_, without = (statistics.median(r[key] for r in rows[flooded]) for flooded in (True, False))
            print(f"{proxy_count} proxies, {key} ACK with a flood {with_:.0f} ms, without {without:.0f} ms:"
                  f" {with_ / without:.2f} times")  # fmt: skip


async def run(options):
    """Run all measurements."""
    measure_versions()
    await measure_answers(options.turns)
    await measure_flood(options.gateways, options.turns * 3)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--load"]:
        uvloop.run(
            generate_load(int(sys.argv[2]), sys.argv[3], sys.argv[4], float(sys.argv[5]), int(sys.argv[6]))
        )
    elif sys.argv[1:2] == ["--serve"]:
        uvloop.run(serve(sys.argv[2], int(sys.argv[3])))
    else:
        parser = argparse.ArgumentParser()
        parser.add_argument("--gateways", type=int, default=174)
        parser.add_argument("--turns", type=int, default=3)
        uvloop.run(run(parser.parse_args()))
