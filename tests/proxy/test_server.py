"""The proxy on real sockets: gRPC and HTTP/1.1 through it to servers that fail in every way."""

import asyncio
import json
from dataclasses import replace

import httpx
import pytest
import uvloop
from grpclib.client import Channel
from grpclib.const import Cardinality, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from swiftchute.config import load
from swiftchute.config.proxy import load as load_proxy
from swiftchute.daemon.proxy import Daemon
from swiftchute.daemon.service import Service
from swiftchute.fakes.backend import SERVICE, Facts, Worker
from swiftchute.observability.logging import configure_logging
from swiftchute.policy import Reconciler
from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.http2_connection import Http2Connection
from swiftchute.proxy.http_framing import HttpMessage
from swiftchute.proxy.request import RequestRouter
from swiftchute.proxy.server import ProxyServer
from swiftchute.proxy.settings import Idempotency, PoolLimits, ProxyLimits, RouteSettings, ServerSettings
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds.server import RawCodec

S = 1_000_000_000
SETTINGS = ServerSettings()
FACTS = Facts({"read": 0.02, "pay": 0.02}, room=10_000)


class Odd(asyncio.Protocol):
    """A server that speaks HTTP/2 and does one thing wrong; `came` counts requests it saw."""

    came = 0

    def __init__(self, how):
        self.how, self.wire = how, Http2Connection(False, 2**20)

    def connection_made(self, transport):
        self.transport = transport
        self.wire.start()
        transport.write(self.wire.data_to_send())

    def data_received(self, data):
        if self.how == "silent":
            return
        for event in self.wire.receive_data(data):
            if isinstance(event, HttpMessage):
                self.how.came += 1
                self.how.do(self, event)
        self.transport.write(self.wire.data_to_send())


class Way:
    """One way to fail, shared by the connections of a server."""

    def __init__(self, do):
        self.do, self.came = do, 0


def header_then_silence(protocol, request):
    protocol.wire.h2.send_headers(request.stream_id, [(b":status", b"200")])


def break_after_it_ran(protocol, request):
    protocol.transport.abort()


def refuse(protocol, request):
    protocol.wire.reset_stream(request.stream_id, 7)


def cancel(protocol, request):
    protocol.wire.reset_stream(request.stream_id, 8)


def go_away(protocol, request):
    """GOAWAY that names an earlier stream: this one never ran."""
    last = max(request.stream_id - 2, 0)
    frame = (8).to_bytes(3, "big") + b"\x07\0" + bytes(4) + last.to_bytes(4, "big") + bytes(4)
    protocol.transport.write(protocol.wire.data_to_send() + frame)


async def odd(do):
    way = Way(do)
    server = await asyncio.get_running_loop().create_server(lambda: Odd(way), "127.0.0.1", 0)
    return way, server, "{}:{}".format(*server.sockets[0].getsockname()[:2])


class World:
    """A proxy with tables that a test writes, and a gRPC channel to it."""

    def __init__(self, lines, tries=1, sure=True, level=1.0, limits=None, timeout=1.0, settings=SETTINGS):
        client = XdsClient("gw", "z", 1.0)
        client.tables = {
            op: EndpointTable(f"0.1/{op}", dict(lines), level, tries, sure, None, timeout)
            for op in ("read", "pay")
        }
        repeats = {"read": Idempotency.IDEMPOTENT, "pay": Idempotency.SIDE_EFFECTING}
        operations = {op: RouteSettings(op, S, word) for op, word in repeats.items()}
        self.core = RequestRouter(client, operations, limits or ProxyLimits(ejection_failures=0), 7)
        self.core.update_tables()
        self.proxy = ProxyServer(self.core, settings)

    async def __aenter__(self):
        self.at = await self.proxy.start()
        self.channel = Channel(*self.at, codec=RawCodec())
        return self

    async def __aexit__(self, *_):
        self.channel.close()
        await self.proxy.stop()

    async def call(self, op="read", body=b"inv|0|g", timeout=2.0):
        """The status of one call, or "ok"."""
        try:
            async with self.channel.request(
                SERVICE + op, Cardinality.UNARY_UNARY, bytes, bytes, timeout=timeout
            ) as stream:
                await stream.send_message(body, end=True)
                await stream.recv_message()
                await stream.recv_trailing_metadata()
                return "ok"
        except GRPCError as why:
            return why.status
        except StreamTerminatedError:
            return "broken"
        except TimeoutError:
            return "given up"


async def workers(count):
    made = [Worker(FACTS, "z", 1.0, k) for k in range(count)]
    for w in made:
        await w.start()
    return made


def run(act, seconds=30):
    return uvloop.run(asyncio.wait_for(act(), seconds))


def ran(worker, op=None):
    return sum(r.end == "ran" and op in (None, r.operation) for r in worker.receipts)


def test_calls_go_by_weight_and_answers_come_back(tmp_path):
    async def act():
        one, two = await workers(2)
        async with World({one.address: 3, two.address: 1}) as world:
            found = await asyncio.gather(*(world.call(body=b"%d|0|g" % k) for k in range(200)))
            assert set(found) == {"ok"}
            assert 0.6 < ran(one) / 200 < 0.9
            assert ran(one) + ran(two) == 200
            assert world.core.in_flight == 0

    run(act)


@pytest.mark.parametrize(
    ("do", "op", "status", "saw"),
    [
        (refuse, "pay", "ok", 1),  # proof: it goes elsewhere
        (go_away, "pay", "ok", 1),
        (cancel, "pay", Status.UNAVAILABLE, 1),  # it may have run
        (break_after_it_ran, "pay", Status.UNAVAILABLE, 1),
        (break_after_it_ran, "read", Status.UNAVAILABLE, 1),  # the table asks for proof
        (header_then_silence, "read", Status.DEADLINE_EXCEEDED, 1),
    ],
)
def test_a_try_is_repeated_only_after_proof_that_it_never_ran(do, op, status, saw):
    async def act():
        way, server, at = await odd(do)
        (good,) = await workers(1)
        async with World({at: 65_535, good.address: 1}) as world:
            assert await world.call(op, body=b"once|0|g") == status
            assert way.came == saw
            assert ran(good) == (status == "ok")
            assert world.core.in_flight == 0
        server.close()

    run(act)


def test_where_it_is_ordered_what_may_run_again_is_tried_again_without_proof_and_nothing_else_is():
    async def act():
        way, server, at = await odd(break_after_it_ran)
        (good,) = await workers(1)
        async with World({at: 65_535, good.address: 1}, tries=2, sure=False) as world:
            assert await world.call("read") == "ok"
            assert await world.call("pay") == Status.UNAVAILABLE
            assert (ran(good, "read"), ran(good, "pay")) == (1, 0)
        server.close()

    run(act)


def test_a_server_that_nobody_listens_at_or_that_never_answers_a_dial():
    async def act():
        (good,) = await workers(1)
        async with World({"127.0.0.1:1": 65_535, good.address: 1}) as world:
            assert [await world.call("pay") for _ in range(5)] == ["ok"] * 5

    run(act)


def test_a_worker_that_stalls_without_closing_is_left_and_its_connection_is_closed():
    async def act():
        server = await asyncio.get_running_loop().create_server(lambda: Odd("silent"), "127.0.0.1", 0)
        at = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        (good,) = await workers(1)
        limits = ProxyLimits(ejection_failures=3, ejection_ns=60 * S)
        async with World(
            {at: 1, good.address: 1}, limits=limits, settings=replace(SETTINGS, silence_timeout_ns=S // 5)
        ) as world:
            found = await asyncio.gather(*(world.call() for _ in range(40)))
            assert found.count("ok") > 5
            assert found.count("ok") < 38  # those that were written there end within their second
            assert [await world.call() for _ in range(20)] == ["ok"] * 20  # it is avoided
        server.close()

    run(act)


def test_a_table_that_changes_under_way_holds_for_the_next_and_a_withdrawn_server_gets_no_more():
    async def act():
        one, two = await workers(2)
        one.factor = 20.0  # 0.4 s
        async with World({one.address: 1}) as world:
            first = asyncio.ensure_future(world.call())
            await asyncio.sleep(0.1)
            world.core.client.tables = {
                "read": EndpointTable("0.2/read", {two.address: 1}, request_timeout_s=1.0)
            }
            world.core.update_tables()
            assert [await world.call() for _ in range(5)] == ["ok"] * 5
            assert await first == "ok"
            assert (ran(one), ran(two)) == (1, 5)

    run(act)


def test_a_caller_that_goes_away_frees_its_server():
    async def act():
        way, server, at = await odd(header_then_silence)
        async with World({at: 1}, settings=replace(SETTINGS, pool=PoolLimits(max_streams=2))) as world:
            task = asyncio.ensure_future(world.call(timeout=0.2))
            await task
            for _ in range(100):
                if world.core.in_flight == 0:
                    break
                await asyncio.sleep(0.01)
            assert (world.core.in_flight, dict(world.core.in_flight_by_endpoint)) == (0, {})
            (upstream,) = world.proxy.upstreams.values()
            assert [line.in_flight for line in upstream.pool.connections] == [0]
        server.close()

    run(act)


def test_thousands_at_once_are_answered_and_what_is_past_the_bound_is_at_once():
    async def act():
        made = await workers(2)
        for w in made:
            w.facts = Facts({"read": 0.0, "pay": 0.0}, room=10_000)
        limits = ProxyLimits(max_in_flight=500, ejection_failures=0)
        async with World(
            {w.address: 1 for w in made},
            limits=limits,
            timeout=20.0,
            settings=replace(SETTINGS, pool=PoolLimits(max_streams=1000, max_waiting=1000)),
        ) as world:
            channels = [Channel(*world.at, codec=RawCodec()) for _ in range(20)]

            async def one(k):
                world_ = World.__new__(World)
                world_.channel = channels[k % 20]
                return await world_.call(body=b"%d|0|g" % k, timeout=20)

            found = await asyncio.gather(*(one(k) for k in range(2000)))
            assert set(found) <= {"ok", Status.UNAVAILABLE}
            assert found.count("ok") >= 500
            assert world.core.rejection_counts["full"] == found.count(Status.UNAVAILABLE) > 0
            assert (world.core.in_flight, dict(world.core.in_flight_by_endpoint)) == (0, {})
            for channel in channels:
                channel.close()

    run(act)


def test_levels_and_unknown_operations_are_answered_by_the_proxy():
    async def act():
        (one,) = await workers(1)
        async with World({one.address: 1}, level=0.0) as world:
            assert await world.call() == Status.RESOURCE_EXHAUSTED
            assert await world.call("none") == Status.UNIMPLEMENTED
            assert ran(one) == 0

    run(act)


# -- HTTP/1.1


async def web(reader, writer):
    """A server of plain answers: /ok, /slow, /fail, and /close, which ends after it ran."""
    while line := await reader.readline():
        path, size = line.split()[1], 0
        while (header := await reader.readline()).strip():
            if header.lower().startswith(b"content-length:"):
                size = int(header.split(b":")[1])
        body = await reader.readexactly(size)
        web.seen.append(path)
        if path == b"/close":
            break
        if path == b"/slow":
            await asyncio.sleep(3)
        code = b"500 Bad" if path == b"/fail" else b"200 OK"
        writer.write(b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (code, len(body), body))
    writer.close()


def test_plain_http_goes_through_with_its_own_proofs():
    async def act():
        web.seen = []
        server = await asyncio.start_server(web, "127.0.0.1", 0)
        at = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        operations = ("ok", "slow", "fail", "close")
        async with World({at: 1}, tries=1) as world:
            table = next(iter(world.core.client.tables.values()))
            world.core.client.tables = dict.fromkeys(operations, table)
            world.core.routes |= {op: RouteSettings(op, S, Idempotency.SIDE_EFFECTING) for op in operations}
            world.core.update_tables()
            base = "http://{}:{}".format(*world.at)
            async with httpx.AsyncClient(trust_env=False, timeout=5) as http:
                found = [(await http.post(f"{base}/ok", content=b"x" * n)).text for n in (0, 5, 5000)]
                assert found == ["", "x" * 5, "x" * 5000]
                codes = [
                    (await http.post(f"{base}/{op}")).status_code for op in ("fail", "slow", "close", "none")
                ]
                assert codes == [500, 504, 502, 404]
                assert (await http.post(f"{base}/ok", content=b"x" * 2**21)).status_code == 413
            assert web.seen.count(b"/close") == web.seen.count(b"/fail") == 1  # none was tried again
            assert world.core.in_flight == 0
        server.close()

    run(act)


# -- behind a planner

PLANNER = """
service {{
  zones = ["z"]
  zone = "z"
  proxies = 1
  standing_lines = 6
  seed = 7
}}
operation "read" {{
  latency_objective = "1s"
  integration_timeout = "2s"
  billed_value = 1
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
  period = "200ms"
  lines = 200
}}
list "file" {{
  path = "{list}"
  every = "20ms"
}}
xds {{
  listen = "127.0.0.1:{port}"
}}
"""
PROXY = """
proxy {{
  name = "gw"
  zone = "z"
  listen = "127.0.0.1:0"
  planners = ["127.0.0.1:{port}"]
  keep = "{keep}"
  form = "{form}"
  drain = "1s"
}}
operation "read" {{
  timeout = "2s"
  repeats = "idempotent"
}}
"""


class Started:
    """A service as a task of this loop."""

    def __init__(self, service):
        self.service = service

    async def __aenter__(self):
        ready = asyncio.get_running_loop().create_future()
        self.task = asyncio.ensure_future(self.service.run(ready.set_result, signals=False))
        await asyncio.wait({ready, self.task}, return_when=asyncio.FIRST_COMPLETED)
        if self.task.done():
            self.task.result()
        self.at = ready.result()
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@pytest.mark.parametrize("form", ["delta", "sotw"])
def test_a_proxy_follows_a_planner_goes_on_without_it_and_starts_from_what_it_kept(tmp_path, form):
    async def act():
        one, two = await workers(2)
        listed = tmp_path / "list.json"

        def publish(states):
            rows = [{"targets": [n], "labels": {"zone": "z", "state": s}} for n, s in states.items()]
            (tmp_path / "new").write_text(json.dumps(rows))
            (tmp_path / "new").replace(listed)

        async def settled(daemon, lines):
            for _ in range(400):
                held = daemon.router.tables.get("read")
                if held is not None and set(held.table.weights) == lines:
                    return
                await asyncio.sleep(0.02)
            raise AssertionError(daemon.router.tables)

        async def calls(at, count):
            world = World.__new__(World)
            world.channel = Channel(*at, codec=RawCodec())
            try:
                return [await world.call(body=b"%d|0|g" % k) for k in range(count)]
            finally:
                world.channel.close()

        def daemon(port):
            path = tmp_path / "proxy.hcl"
            path.write_text(PROXY.format(port=port, keep=tmp_path / "kept", form=form))
            return Daemon(load_proxy(str(path)), configure_logging("error"))

        publish({one.address: "ready", two.address: "ready"})
        settings = tmp_path / "planner.hcl"
        settings.write_text(PLANNER.format(list=listed, port=0))
        async with Started(Service(load(str(settings)), configure_logging("error"), Reconciler)) as planner:
            made = daemon(planner.at[1])
            async with Started(made) as proxy:
                await settled(made, {one.address, two.address})
                assert await calls(proxy.at, 20) == ["ok"] * 20
                await asyncio.sleep(0.6)
                assert planner.service.controller.observed_traffic.good  # its load reports arrived
                publish({one.address: "draining", two.address: "ready"})
                await settled(made, {two.address})
                await planner.__aexit__()
                await asyncio.sleep(0.3)
                assert await calls(proxy.at, 5) == ["ok"] * 5
        made = daemon(1)  # no planner answers now
        async with Started(made) as proxy:
            assert await calls(proxy.at, 5) == ["ok"] * 5
            assert set(made.router.tables["read"].table.weights) == {two.address}

    run(act)
