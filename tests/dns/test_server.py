"""The DNS front on real sockets: a service's answers read by dnspython's clients, and hostile streams."""

import asyncio
import json
import random
import socket

import dns.asyncquery
import dns.asyncresolver
import dns.message
import dns.query
import dns.rcode
import dns.zone
import pytest
import uvloop
from scipy import stats

from swiftchute.config import load
from swiftchute.daemon.errors import ListenError
from swiftchute.daemon.service import Service
from swiftchute.fakes.resolver import CachingResolver, SrvPicker, SrvRecord
from swiftchute.observability.logging import configure_logging
from swiftchute.policy import Reconciler

ORIGIN = "lots.example."
SRV = "_lot-estimate._tcp.lots.example."
SETTINGS = """
service {{
  zones = ["north", "south"]
  zone = "north"
  proxies = 2
  standing_lines = 400
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
  warm_within = "8s"
  fall_multiple = 2.5
  fall_span = "2s"
  bare_limit = "3s"
}}
channel {{
  pace = 10000
  limit = 20000
  message_lines = 6
}}
reports {{
  lines = 200
}}
list "file" {{
  path = "{list}"
  every = "20ms"
  weights = "nominal"
}}
xds {{
  listen = "127.0.0.1:0"
}}
dns {{
  listen = "{listen}"
  origin = "lots.example."
  views = ["south 127.0.0.1:0"]
  secondaries = ["north 127.0.0.1:{secondary}"]
  responses = 0
  connections = 20
  idle = "1s"
  {more}
}}
"""


class Running:
    """A service of its own settings, with a list that a test writes."""

    def __init__(self, folder, servers, listen="127.0.0.1:0", secondary=9, more=""):
        self.list = folder / "workers.json"
        self.publish(servers)
        settings = folder / "planner.hcl"
        settings.write_text(SETTINGS.format(list=self.list, listen=listen, secondary=secondary, more=more))
        self.service = Service(load(str(settings)), configure_logging("error"), Reconciler)

    def publish(self, servers):
        """`servers`: by address its zone, or its zone and state."""
        rows = [(n, *((z,) if isinstance(z, str) else z), "ready")[:3] for n, z in servers.items()]
        last = {n: int(n.partition(":")[0].rpartition(".")[2]) for n in servers}
        groups = [
            {"targets": [n], "labels": {"zone": z, "state": state, "weight": str(1 + last[n] % 4 / 2)}}
            for n, z, state in rows
        ]
        self.list.with_suffix(".new").write_text(json.dumps(groups))
        self.list.with_suffix(".new").replace(self.list)

    async def __aenter__(self):
        ready = asyncio.get_running_loop().create_future()
        self.task = asyncio.ensure_future(self.service.run(ready.set_result, signals=False))
        await asyncio.wait({ready, self.task}, return_when=asyncio.FIRST_COMPLETED)
        if self.task.done():
            self.task.result()
        self.at = self.service.dns_server.addresses
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def ask(self, name=SRV, kind="SRV", view="north", tcp=False, **more):
        query = dns.message.make_query(name, kind, **more)
        send = dns.asyncquery.tcp if tcp else dns.asyncquery.udp
        return await send(query, self.at[view][0], port=self.at[view][1], timeout=2)

    async def until(self, good, **asked):
        for _ in range(300):
            reply = await self.ask(tcp=True, **asked)
            if good(reply):
                return reply
            await asyncio.sleep(0.02)
        raise AssertionError(reply)


def targets(reply):
    rows = [r for made in reply.answer for r in made if r.rdtype == dns.rdatatype.SRV]
    return {(str(r.target).partition(".")[0], r.port) for r in rows}


def many(count, zone="north"):
    return {f"127.0.{k // 200}.{k % 200 + 1}:9000": zone for k in range(count)}


def run(act):
    return uvloop.run(asyncio.wait_for(act(), 30))


def test_views_answer_by_their_zones_and_follow_the_list(tmp_path):
    async def act():
        servers = many(3) | {"127.9.0.1:9000": "south"}
        async with Running(tmp_path, servers) as world:
            await world.until(lambda r: len(targets(r)) == 3)
            await world.until(lambda r: targets(r) == {("ip-127-9-0-1", 9000)}, view="south")
            world.publish(servers | {"127.0.0.1:9000": ("north", "draining")})
            reply = await world.until(lambda r: len(targets(r)) == 2)
            assert reply.answer[0].ttl <= 2
            assert (await world.ask("ip-127-0-0-1.lots.example.", "A")).rcode() == dns.rcode.NXDOMAIN

    run(act)


def test_dnspythons_resolver_falls_back_to_tcp_and_picks_within_chance(tmp_path):
    """By RFC 2782's sum, 20,000 picks in each of two views, against the weights that the planner holds."""

    async def act():
        servers = many(60) | {n.replace("127.0", "127.9"): "south" for n in many(8)}
        found = {}
        async with Running(tmp_path, servers) as world:
            for view, size in (("north", 60), ("south", 8)):
                await world.until(lambda r, n=size: len(targets(r)) == n, view=view)
                resolver = dns.asyncresolver.Resolver(configure=False)
                resolver.nameservers, resolver.port = [world.at[view][0]], world.at[view][1]
                resolver.use_edns(0, 0, 1232)
                rows = await resolver.resolve(SRV, "SRV")
                (content,) = world.service.controller.tables_of(f"dns/{view}").contents.values()
                found[view] = (rows, {n: w for n, _, w in content.entries})
        return found

    chance = random.Random(7)
    for rows, table in run(act).values():
        assert len(set(table.values())) > 2
        names = {r: str(r.target).partition(".")[0][3:].replace("-", ".") for r in rows}
        lines = tuple(SrvRecord(r.priority, r.weight, f"{names[r]}:{r.port}") for r in rows)
        picker = SrvPicker(lines)
        picks = [picker.pick(chance) for _ in range(20_000)]
        expected = {n: 20_000 * w / sum(table.values()) for n, w in table.items()}
        assert stats.chisquare([picks.count(n) for n in expected], list(expected.values())).pvalue > 1e-4


def test_two_names_that_fail_at_once_do_not_turn_a_resolver_back_to_a_dead_planner(tmp_path):
    async def act():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent:
            silent.bind(("127.0.0.1", 0))
            async with Running(tmp_path, many(3)) as world:
                await world.until(lambda r: len(targets(r)) == 3)
                resolver = CachingResolver([silent.getsockname(), world.at["north"]], ORIGIN, 7)
                resolver.current_server = 0
                found = await asyncio.gather(*(resolver.lookup(op) for op in ("none", "lot-estimate")))
                assert [len(made.records) for made in found] == [0, 3]

    run(act)


def test_a_version_that_changes_between_a_cut_answer_and_its_repeat_by_tcp(tmp_path):
    async def act():
        servers = many(60)
        async with Running(tmp_path, servers) as world:
            await world.until(lambda r: len(targets(r)) == 60)
            cut = await world.ask(use_edns=0, payload=1232)
            assert cut.flags & dns.flags.TC
            world.publish(servers | {"127.0.0.1:9000": ("north", "draining")})
            await world.until(lambda r: len(targets(r)) == 59)

    run(act)


def test_a_secondary_is_notified_and_fetches_differences_by_the_librarys_client(tmp_path):
    async def act():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.bind(("127.0.0.1", 0))
            udp.setblocking(False)
            servers = many(50)
            async with Running(tmp_path, servers, secondary=udp.getsockname()[1]) as world:
                await world.until(lambda r: len(targets(r)) == 50)
                loop = asyncio.get_running_loop()
                told = dns.message.from_wire(await asyncio.wait_for(loop.sock_recv(udp, 1000), 5))
                assert told.opcode() == dns.opcode.NOTIFY
                zone, (host, port) = dns.zone.Zone(ORIGIN), world.at["north"]
                await dns.asyncquery.inbound_xfr(host, zone, port=port, timeout=5)
                first = zone.get_soa().serial
                world.publish(servers | {"127.0.0.1:9000": ("north", "draining")})
                await world.until(lambda r: len(targets(r)) == 49)
                await dns.asyncquery.inbound_xfr(host, zone, port=port, timeout=5)
                assert zone.get_soa().serial > first
                kept = zone.get_rdataset("_lot-estimate._tcp", "SRV")
                assert len(kept) == 49

    run(act)


def test_streams_that_drip_or_are_too_many_are_closed_and_others_are_served(tmp_path):
    async def act():
        async with Running(tmp_path, many(3)) as world:
            await world.until(lambda r: len(targets(r)) == 3)
            drips = []
            for _ in range(1000):
                drips.append(await asyncio.open_connection(*world.at["north"]))
            assert len(world.service.dns_server.connections) <= 20
            for byte in b"\0\x1eabcdef":  # a byte now and then is no message
                for _, writer in drips[-20:]:
                    if not writer.is_closing():
                        writer.write(bytes([byte]))
                assert len(targets(await world.ask(tcp=True))) == 3
                await asyncio.sleep(0.2)
            assert (
                world.service.dns_server.closed["streams_idle"] >= 10
            )  # my own streams took the place of others
            assert len(world.service.dns_server.connections) <= 1
            assert await drips[0][0].read() == b""
            reader, writer = await asyncio.open_connection(*world.at["north"])
            writer.write(b"\0\0")  # a message of nothing
            assert await asyncio.wait_for(reader.read(), 0.5) == b""
            writer.close()
            for _, writer in drips:
                writer.close()

    run(act)


def test_a_stream_that_reads_nothing_is_not_read_from(tmp_path):
    async def act():
        async with Running(tmp_path, many(200)) as world:
            await world.until(lambda r: len(targets(r)) == 200)
            _, writer = await asyncio.open_connection(*world.at["north"], limit=1024)
            query = dns.message.make_query(SRV, "SRV").to_wire()
            before = world.service.dns_server.frontend.queries.counts["queries"]
            writer.write((len(query).to_bytes(2, "big") + query) * 4000)
            await asyncio.sleep(0.5)
            answered = world.service.dns_server.frontend.queries.counts["queries"] - before
            assert 10 < answered < 2000
            assert len(targets(await world.ask(tcp=True))) == 200
            writer.transport.abort()

    run(act)


def test_an_address_that_is_taken_is_told_plainly(tmp_path):
    async def act():
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            async with Running(tmp_path, many(1), listen=f"127.0.0.1:{taken.getsockname()[1]}"):
                pass

    with pytest.raises(ListenError, match=r"dns\.listen"):
        run(act)


def test_grpcios_own_resolver_reaches_the_servers_by_our_addresses(tmp_path):
    """A client library nobody here wrote, asking this server (`dns://authority/name`): it takes addresses."""
    import grpc

    from swiftchute.fakes.backend import SERVICE, BackendEvent, BackendProfile, FakeBackend

    async def act():
        facts = BackendProfile({"lot-estimate": 0.01})
        first = FakeBackend(facts, "north", 1.0, 1)
        await first.start(host="127.77.0.1")
        port = int(first.address.rpartition(":")[2])
        second = FakeBackend(facts, "north", 1.0, 2)
        second.address = f"127.77.0.2:{port}"
        await second.start(host="127.77.0.2")
        try:
            async with Running(tmp_path, dict.fromkeys([first.address, second.address], "north")) as world:
                await world.until(lambda r: len(targets(r)) == 2)
                at = "{}:{}".format(*world.at["north"])
                target = f"dns://{at}/lot-estimate.{ORIGIN}:{port}"

                def calls():
                    options = [("grpc.lb_policy_name", "round_robin")]
                    with grpc.insecure_channel(target, options) as channel:
                        call = channel.unary_unary(SERVICE + "lot-estimate")
                        for k in range(20):
                            call(f"inv-{k}|0|g".encode(), timeout=5, wait_for_ready=True)

                await asyncio.to_thread(calls)
                ran = [sum(r.event is BackendEvent.STARTED for r in w.receipts) for w in (first, second)]
                assert sum(ran) == 20
                assert min(ran) > 0
        finally:
            await first.kill()
            await second.kill()

    run(act)
