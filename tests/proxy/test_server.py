"""The proxy on real sockets: gRPC and HTTP/1.1 to healthy and faulty endpoints."""

import asyncio
from dataclasses import replace

import httpx
import pytest
from grpclib.client import Channel
from grpclib.const import Status

from swiftchute.fakes.backend import BackendProfile
from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.settings import Idempotency, PoolLimits, ProxyLimits, RouteSettings
from swiftchute.xds.grpc_transport import RawCodec
from tests.support.proxy import (
    SETTINGS,
    ProxyUnderTest,
    SilentServer,
    call,
    cancel_stream,
    close_after_execution,
    executed,
    refuse_stream,
    run,
    send_goaway,
    send_headers_only,
    start_backends,
    start_faulty_server,
)

S = 1_000_000_000


def test_requests_follow_the_weights_and_are_answered(tmp_path):
    async def scenario():
        first, second = await start_backends(2)
        async with ProxyUnderTest({first.address: 3, second.address: 1}) as proxy:
            results = await asyncio.gather(*(proxy.call(body=b"%d|0|g" % k) for k in range(200)))
            assert set(results) == {"ok"}
            assert 0.6 < executed(first) / 200 < 0.9
            assert executed(first) + executed(second) == 200
            assert proxy.router.in_flight == 0

    run(scenario)


@pytest.mark.parametrize(
    ("fault_action", "operation", "status", "requests"),
    [
        (refuse_stream, "pay", "ok", 1),  # proof that it never ran: retried on the other endpoint
        (send_goaway, "pay", "ok", 1),
        (cancel_stream, "pay", Status.UNAVAILABLE, 1),  # may have run: not retried
        (close_after_execution, "pay", Status.UNAVAILABLE, 1),
        (close_after_execution, "read", Status.UNAVAILABLE, 1),  # the table requires proof
        (send_headers_only, "read", Status.DEADLINE_EXCEEDED, 1),
    ],
)
def test_an_attempt_is_retried_only_with_proof_that_it_never_ran(fault_action, operation, status, requests):
    async def scenario():
        fault, server, address = await start_faulty_server(fault_action)
        (good,) = await start_backends(1)
        async with ProxyUnderTest({address: 65_535, good.address: 1}) as proxy:
            assert await proxy.call(operation, body=b"once|0|g") == status
            assert fault.requests == requests
            assert executed(good) == (status == "ok")
            assert proxy.router.in_flight == 0
        server.close()

    run(scenario)


def test_without_proof_only_idempotent_requests_are_retried_and_only_if_allowed():
    async def scenario():
        fault, server, address = await start_faulty_server(close_after_execution)
        (good,) = await start_backends(1)
        async with ProxyUnderTest(
            {address: 65_535, good.address: 1}, max_retries=2, requires_proof=False
        ) as proxy:
            assert await proxy.call("read") == "ok"
            assert await proxy.call("pay") == Status.UNAVAILABLE
            assert (executed(good, "read"), executed(good, "pay")) == (1, 0)
        server.close()

    run(scenario)


def test_a_request_to_an_unreachable_endpoint_goes_elsewhere():
    async def scenario():
        (good,) = await start_backends(1)
        async with ProxyUnderTest({"127.0.0.1:1": 65_535, good.address: 1}) as proxy:
            assert [await proxy.call("pay") for _ in range(5)] == ["ok"] * 5

    run(scenario)


def test_an_endpoint_that_stalls_is_ejected_and_its_connection_closed():
    async def scenario():
        server = await asyncio.get_running_loop().create_server(SilentServer, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        (good,) = await start_backends(1)
        limits = ProxyLimits(ejection_failures=3, ejection_ns=60 * S)
        async with ProxyUnderTest(
            {address: 1, good.address: 1},
            limits=limits,
            settings=replace(SETTINGS, silence_timeout_ns=S // 5),
        ) as proxy:
            results = await asyncio.gather(*(proxy.call() for _ in range(40)))
            assert results.count("ok") > 5
            assert results.count("ok") < 38  # requests to the stalled endpoint time out
            assert [await proxy.call() for _ in range(20)] == ["ok"] * 20  # the stalled endpoint is ejected
        server.close()

    run(scenario)


def test_a_changed_table_holds_for_new_requests_and_withdrawn_endpoints_get_none():
    async def scenario():
        first, second = await start_backends(2)
        first.slowdown = 20.0  # 0.4 s
        async with ProxyUnderTest({first.address: 1}) as proxy:
            slow_call = asyncio.ensure_future(proxy.call())
            await asyncio.sleep(0.1)
            proxy.router.client.tables = {
                "read": EndpointTable("0.2/read", {second.address: 1}, request_timeout_s=1.0)
            }
            proxy.router.update_tables()
            assert [await proxy.call() for _ in range(5)] == ["ok"] * 5
            assert await slow_call == "ok"
            assert (executed(first), executed(second)) == (1, 5)

    run(scenario)


def test_a_caller_that_disconnects_frees_its_endpoint():
    async def scenario():
        fault, server, address = await start_faulty_server(send_headers_only)
        async with ProxyUnderTest(
            {address: 1}, settings=replace(SETTINGS, pool=PoolLimits(max_streams=2))
        ) as proxy:
            task = asyncio.ensure_future(proxy.call(timeout=0.2))
            await task
            for _ in range(100):
                if proxy.router.in_flight == 0:
                    break
                await asyncio.sleep(0.01)
            assert (proxy.router.in_flight, dict(proxy.router.in_flight_by_endpoint)) == (0, {})
            (upstream,) = proxy.server.upstreams.values()
            assert [connection.in_flight for connection in upstream.pool.connections] == [0]
        server.close()

    run(scenario)


def test_requests_over_the_limit_are_rejected_at_once_and_the_others_answered():
    async def scenario():
        backends = await start_backends(2)
        for backend in backends:
            backend.profile = BackendProfile({"read": 0.0, "pay": 0.0}, queue_capacity=10_000)
        limits = ProxyLimits(max_in_flight=500, ejection_failures=0)
        async with ProxyUnderTest(
            {backend.address: 1 for backend in backends},
            limits=limits,
            timeout=20.0,
            settings=replace(SETTINGS, pool=PoolLimits(max_streams=1000, max_waiting=1000)),
        ) as proxy:
            channels = [Channel(*proxy.address, codec=RawCodec()) for _ in range(20)]
            calls = (call(channels[k % 20], body=b"%d|0|g" % k, timeout=20) for k in range(2000))
            results = await asyncio.gather(*calls)
            assert set(results) <= {"ok", Status.UNAVAILABLE}
            assert results.count("ok") >= 500
            assert proxy.router.rejection_counts["full"] == results.count(Status.UNAVAILABLE) > 0
            assert (proxy.router.in_flight, dict(proxy.router.in_flight_by_endpoint)) == (0, {})
            for channel in channels:
                channel.close()

    run(scenario)


def test_requests_not_admitted_and_unknown_operations_are_answered_locally():
    async def scenario():
        (first,) = await start_backends(1)
        async with ProxyUnderTest({first.address: 1}, admission_rate=0.0) as proxy:
            assert await proxy.call() == Status.RESOURCE_EXHAUSTED
            assert await proxy.call("none") == Status.UNIMPLEMENTED
            assert executed(first) == 0

    run(scenario)


async def answer_plain_http(reader, writer):
    """Serve /ok, /slow, /fail, and /close, which closes the connection after reading the request."""
    while line := await reader.readline():
        path, size = line.split()[1], 0
        while (header := await reader.readline()).strip():
            if header.lower().startswith(b"content-length:"):
                size = int(header.split(b":")[1])
        body = await reader.readexactly(size)
        answer_plain_http.paths.append(path)
        if path == b"/close":
            break
        if path == b"/slow":
            await asyncio.sleep(3)
        code = b"500 Bad" if path == b"/fail" else b"200 OK"
        writer.write(b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (code, len(body), body))
    writer.close()


def test_plain_http_is_forwarded_and_never_retried_without_proof():
    async def scenario():
        answer_plain_http.paths = []
        server = await asyncio.start_server(answer_plain_http, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        operations = ("ok", "slow", "fail", "close")
        async with ProxyUnderTest({address: 1}, max_retries=1) as proxy:
            table = next(iter(proxy.router.client.tables.values()))
            proxy.router.client.tables = dict.fromkeys(operations, table)
            proxy.router.routes |= {
                operation: RouteSettings(operation, S, Idempotency.SIDE_EFFECTING) for operation in operations
            }
            proxy.router.update_tables()
            base = "http://{}:{}".format(*proxy.address)
            async with httpx.AsyncClient(trust_env=False, timeout=5) as http:
                results = [(await http.post(f"{base}/ok", content=b"x" * n)).text for n in (0, 5, 5000)]
                assert results == ["", "x" * 5, "x" * 5000]
                codes = [
                    (await http.post(f"{base}/{operation}")).status_code
                    for operation in ("fail", "slow", "close", "none")
                ]
                assert codes == [500, 504, 502, 404]
                assert (await http.post(f"{base}/ok", content=b"x" * 2**21)).status_code == 413
            assert (
                answer_plain_http.paths.count(b"/close") == answer_plain_http.paths.count(b"/fail") == 1
            )  # neither was retried
            assert proxy.router.in_flight == 0
        server.close()

    run(scenario)
