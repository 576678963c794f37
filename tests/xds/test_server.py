"""The xDS server on real sockets: misbehaving clients, and the xDS client of grpcio."""

import asyncio
import json
import sys
import time
from collections import Counter
from pathlib import Path

import pytest
import uvloop
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Cardinality, Status
from grpclib.exceptions import GRPCError
from scipy.stats import chisquare

from swiftchute.config import load
from swiftchute.daemon.service import Service
from swiftchute.fakes.backend import BackendEvent, BackendProfile, FakeBackend
from swiftchute.fakes.gateway import FakeGateway
from swiftchute.observability.logging import configure_logging
from swiftchute.policy import Reconciler
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds import names
from swiftchute.xds.grpc_transport import RawCodec
from swiftchute.xds.server import ADS
from tests.support.platform import free_port

DNS_PORTS = (18053, 18054, 18055)  # of the example settings
SETTINGS = Path("examples/planner.hcl").read_text(encoding="utf-8")


class AdjustedPolicy(Reconciler):
    """The policy, with weights and an admission rate that a test sets."""

    weights: dict[str, float] = {}
    admission_rate = 1.0

    def reconcile(self, now, events, commands):
        super().reconcile(now, events, AdjustingCommands(commands))


class AdjustingCommands:
    """Forwards commands, with the weights and the admission rate of `AdjustedPolicy`."""

    def __init__(self, commands):
        self.commands = commands

    def __getattr__(self, name):
        return getattr(self.commands, name)

    def set_weight(self, table, endpoint, weight):
        self.commands.set_weight(table, endpoint, weight and AdjustedPolicy.weights.get(endpoint, weight))

    def set_admission(self, table, mask, rate, retry_policy):
        self.commands.set_admission(table, mask, min(rate, AdjustedPolicy.admission_rate), retry_policy)


class RunningInstance:
    """An instance inside this process, with its endpoint list and its backends."""

    def __init__(self, folder, replacements=()):
        self.list, self.path, self.backends = folder / "list.json", folder / "p.hcl", []
        text = SETTINGS.replace("examples/workers.json", str(self.list)).replace(":18000", ":0")
        text = text.replace("/tmp/swiftchute-planner.sock", str(folder / "control.sock"))
        for port in DNS_PORTS:  # other runs on the machine may use the example's
            text = text.replace(f":{port}", f":{free_port()}")
        for before, after in replacements:
            assert before in text
            text = text.replace(before, after)
        self.path.write_text(text)
        self.states = {}

    def write_list(self):
        rows = [
            {"targets": [b.address], "labels": {"zone": b.zone, "state": self.states.get(b.address, "ready")}}
            for b in self.backends
        ]
        new = self.list.with_suffix(".new")
        new.write_text(json.dumps(rows))
        new.replace(self.list)

    async def start(self, backends=4, policy_class=Reconciler, port=0):
        for k in range(backends):
            backend = FakeBackend(BackendProfile({"lot-estimate": 0.0005}), "north", 1.0, k)
            await backend.start()
            self.backends.append(backend)
        if backends:
            self.write_list()
        if port:
            self.path.write_text(self.path.read_text().replace(':0"', f':{port}"'))
        self.service = Service(load(str(self.path)), configure_logging("error"), policy_class)
        ready = asyncio.get_running_loop().create_future()
        self.task = asyncio.ensure_future(self.service.run(ready.set_result, signals=False))
        self.address = await ready
        return self.address

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@pytest.fixture
def instance(tmp_path):
    return RunningInstance(tmp_path)


def run(main):
    return uvloop.run(asyncio.wait_for(main, 60))


async def wait_until(condition, seconds=10.0):
    end = time.monotonic() + seconds
    while not (found := condition()):
        assert time.monotonic() < end, "waited too long"
        await asyncio.sleep(0.02)
    return found


async def end_of_stream(address, requests, method="Stream"):
    """Open a stream, send these messages, and return the status and text that it ends with."""
    channel = Channel(*address, codec=RawCodec())
    try:
        async with channel.request(
            ADS + method + "AggregatedResources", Cardinality.STREAM_STREAM, bytes, bytes
        ) as stream:
            await stream.send_request()
            for request in requests:
                await stream.send_message(request)
            while await stream.recv_message() is not None:
                pass
            await stream.recv_trailing_metadata()
    except GRPCError as error:
        return error.status, error.message
    finally:
        channel.close()
    return Status.OK, ""


def test_invalid_clients_get_the_cause_and_others_are_not_affected(tmp_path):
    instance = RunningInstance(tmp_path, [('"4MiB"', '"2KiB"')])

    async def main():
        address = await instance.start()
        healthy = FakeGateway(XdsClient("good", "north", 5.0), [address], 1)
        healthy.start()
        await wait_until(lambda: healthy.client.tables)
        without_id, unknown_zone = XdsClient("", "north", 1.0), XdsClient("m", "moon", 1.0)
        assert await end_of_stream(address, without_id.open_stream(True)[:1], "Delta") == (
            Status.INVALID_ARGUMENT,
            "the first request carries no node id",
        )
        status, text = await end_of_stream(address, unknown_zone.open_stream(True)[:1], "Delta")
        assert status is Status.INVALID_ARGUMENT
        assert "zone 'moon' is none of north, south, west" in text
        status, text = await end_of_stream(address, [b"\xff\xff\xff\xff"])
        assert "cannot decode 4 bytes as DiscoveryRequest" in text
        assert await end_of_stream(address, [b"x" * 4096]) == (
            Status.RESOURCE_EXHAUSTED,
            "message of 4096 bytes, at most 2048 are allowed",
        )
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\n\r\n" * 50)
        await asyncio.wait_for(reader.read(), 5)  # closed by the instance
        writer.close()
        duplicate = FakeGateway(XdsClient("good", "north", 5.0), [address], 2, reconnect_delay_s=(60, 61))
        duplicate.start()
        # the newer stream takes the node
        await wait_until(lambda: healthy.record.stream_events[-1].opened is False)
        await wait_until(lambda: duplicate.client.tables)
        await duplicate.stop()
        await wait_until(lambda: healthy.stream_count > 1 and healthy.connected_to)
        await healthy.stop()
        await instance.stop()

    run(main())


def test_a_client_that_does_not_read_is_disconnected_and_others_are_not_affected(tmp_path):
    """Such a client occupies its window and a response per type at most, for no longer than `read_within`."""
    instance = RunningInstance(tmp_path, [
        ('max_message = "4MiB"', 'read_within = "1s"'), ("standing_lines = 6", "standing_lines = 4000"),
        ("pace           = 2000", "pace = 100000"), ("limit          = 4000", "limit = 100000"),
    ])  # fmt: skip

    async def main():
        address = await instance.start(0)
        rows = [
            {"targets": [f"10.0.{k // 250}.{k % 250}:80"], "labels": {"zone": "north"}} for k in range(2000)
        ]
        instance.list.write_text(json.dumps(rows))
        healthy = FakeGateway(XdsClient("good", "north", 5.0, delta=False), [address], 1)
        healthy.start()
        with pytest.raises(GRPCError, match="client read nothing for 1 s"):
            await _stop_reading(address, instance.service.xds_frontend)
        assert healthy.connected_to
        await wait_until(
            lambda: healthy.client.tables and len(healthy.client.table("lot-estimate").weights) == 2000
        )
        await healthy.stop()
        await instance.stop()

    run(main())


async def _stop_reading(address, frontend):
    """Run a client that receives its clusters, requests endpoints and reads no further."""
    small_windows = Configuration(http2_stream_window_size=65_535, http2_connection_window_size=65_535)
    channel = Channel(*address, codec=RawCodec(), config=small_windows)
    client, method = XdsClient("stuck", "north", 5.0, delta=False), ADS + "StreamAggregatedResources"
    try:
        async with channel.request(method, Cardinality.STREAM_STREAM, bytes, bytes) as stream:
            await stream.send_request()
            for request in client.open_stream(True):
                await stream.send_message(request)
            while not (client.resources[names.CDS] and client.resources[names.EDS]):
                for answer in client.receive(await stream.recv_message()):
                    await stream.send_message(answer)
            await wait_until(lambda: frontend.is_connected("stuck"))
            began = time.monotonic()
            await wait_until(lambda: not frontend.is_connected("stuck"), 5)
            assert time.monotonic() - began > 0.5
            await stream.cancel()
    finally:
        channel.close()


GRPCIO_CLIENT = """
import json, os, sys, time
target, server, count, pause = sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
os.environ["GRPC_XDS_BOOTSTRAP_CONFIG"] = json.dumps({"xds_servers": [{"server_uri": server,
    "channel_creds": [{"type": "insecure"}], "server_features": ["xds_v3"]}],
    "node": {"id": "plain", "locality": {"zone": "north"}}})
import grpc
call = grpc.insecure_channel("xds:///" + target).unary_unary("/swiftchute.fakes.Worker/" + target)
for k in range(count):
    try:
        call(f"{k}|0|plain".encode(), timeout=10, wait_for_ready=k == 0)
        end = "ok"
    except grpc.RpcError as why:
        end = str(why.code()) + " " + why.details()
    print(time.monotonic_ns(), end, flush=True)
    time.sleep(pause)
"""


async def grpcio_calls(address, count, pause):
    """Run grpcio's xDS client in a process of its own; yield the time and outcome of each call."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", GRPCIO_CLIENT, "lot-estimate", f"{address[0]}:{address[1]}", str(count),
        str(pause),
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL)  # fmt: skip
    async for row in process.stdout:
        ended_ns, _, outcome = row.decode().strip().partition(" ")
        yield int(ended_ns), outcome
    await process.wait()


def test_grpcios_client_follows_weights_drains_deaths_and_admission_rates(instance):
    """4,000 calls by weight, a drain, a killed endpoint, a restarted instance and an admission rate."""

    async def main():
        for k, weight in enumerate((4.0, 2.0, 1.0, 1.0)):
            backend = FakeBackend(BackendProfile({"lot-estimate": 0.0002}), "north", 1.0, k)
            await backend.start()
            instance.backends.append(backend)
            AdjustedPolicy.weights[backend.address] = weight
        AdjustedPolicy.admission_rate = 1.0
        instance.write_list()
        address = await instance.start(0, AdjustedPolicy)
        outcomes = [outcome async for _, outcome in grpcio_calls(address, 4000, 0.0)]
        assert Counter(outcomes) == {"ok": 4000}
        # a call leaves two receipts, at its arrival and at its start: only independent draws may be counted
        started = [sum(r.event is BackendEvent.STARTED for r in b.receipts) for b in instance.backends]
        assert sum(started) == 4000
        expected = [sum(started) * w / 8 for w in (4, 2, 1, 1)]
        assert chisquare(started, expected).pvalue > 1e-4, (started, expected)

        calls = grpcio_calls(address, 100_000, 0.0)
        assert (await anext(calls))[1] == "ok"
        drained, dying = instance.backends[1], instance.backends[2]
        instance.states[drained.address] = "draining"
        instance.write_list()
        drained_at_ns = time.monotonic_ns()
        ended = [call async for call in _during(calls, 1.5)]
        assert {outcome for _, outcome in ended} == {"ok"}
        last_receipt_ns = max((r.time_ns for r in drained.receipts), default=0) - drained_at_ns
        assert last_receipt_ns < 3 * 10**9  # the drain grace; no calls arrive afterwards
        receipts_after_drain = len(drained.receipts)

        await dying.kill()
        ended = [call async for call in _during(calls, 1.0)]
        lost = [outcome for _, outcome in ended if outcome != "ok"]
        assert len(lost) <= 2  # calls in flight when it died; the client stops using it by itself
        instance.states[dying.address] = "draining"
        instance.write_list()

        await instance.stop()  # the client keeps its table
        ended = [call async for call in _during(calls, 1.0)]
        AdjustedPolicy.admission_rate = 0.5
        await instance.start(0, AdjustedPolicy, address[1])  # restarts with nothing but the endpoint list
        async for call in _during(calls, 15.0):  # the client reconnects after its own delay
            ended.append(call)
            if call[1] != "ok":
                break
        assert "drop" in ended[-1][1].lower()
        assert [outcome for _, outcome in ended[:-1] if outcome != "ok"] == []  # no admitted call was lost
        last = [outcome for _, outcome in [call async for call in _during(calls, 1.0)]]
        assert 0.4 < sum("drop" in outcome.lower() for outcome in last) / len(last) < 0.6
        assert 0.4 < last.count("ok") / len(last) < 0.6
        assert len(drained.receipts) == receipts_after_drain
        await calls.aclose()
        for backend in instance.backends:
            await backend.kill()
        await instance.stop()

    run(main())


async def _during(calls, seconds):
    end_ns = time.monotonic_ns() + int(seconds * 1e9)
    async for call in calls:
        yield call
        if call[0] > end_ns:
            return


def test_connections_and_streams_past_their_limits_are_rejected(tmp_path):
    instance = RunningInstance(tmp_path, [('max_message = "4MiB"', "streams = 2")])

    async def main():
        address = await instance.start()
        proxies = [
            FakeGateway(XdsClient(f"g{k}", "north", 5.0), [address], k, reconnect_delay_s=(60, 61))
            for k in range(2)
        ]
        for proxy in proxies:
            proxy.start()
        await wait_until(lambda: all(p.client.tables for p in proxies))
        status, text = await end_of_stream(
            address, XdsClient("third", "north", 1.0).open_stream(True)[:1], "Delta"
        )
        assert (status, text) == (Status.RESOURCE_EXHAUSTED, "2 streams are open, the maximum")
        idle = [await asyncio.open_connection(*address) for _ in range(4)]
        for reader, _ in idle[2:]:  # with the two proxies' connections, these exceed twice the streams
            try:
                received = await asyncio.wait_for(reader.read(100), 5)
            except ConnectionResetError:
                received = b""
            assert received == b""  # closed without an answer
        assert instance.service.xds_server.rejected_connections == 2
        assert all(p.connected_to for p in proxies)
        for _, writer in idle:
            writer.close()
        for proxy in proxies:
            await proxy.stop()
        await instance.stop()

    run(main())
