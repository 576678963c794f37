"""The planner on real sockets: clients that misbehave, and a client that nobody here wrote."""

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

DNS_PORTS = (18053, 18054, 18055)  # of the example file
SETTINGS = Path("examples/planner.hcl").read_text(encoding="utf-8")


class Shaped(Reconciler):
    """The module, with weights and levels that a test sets."""

    weights: dict[str, float] = {}
    level = 1.0

    def reconcile(self, now, calls, writer):
        super().reconcile(now, calls, Shaping(writer))


class Shaping:
    """Passes verbs on; lines and levels as `Shaped` says."""

    def __init__(self, writer):
        self.writer = writer

    def __getattr__(self, verb):
        return getattr(self.writer, verb)

    def set_weight(self, table, server, weight):
        self.writer.set_weight(table, server, weight and Shaped.weights.get(server, weight))

    def set_admission(self, table, mask, level, tries):
        self.writer.set_admission(table, mask, min(level, Shaped.level), tries)


class Place:
    """A planner inside this process with its list and workers."""

    def __init__(self, folder, replaced=()):
        self.list, self.path, self.workers = folder / "list.json", folder / "p.hcl", []
        text = SETTINGS.replace("examples/workers.json", str(self.list)).replace(":18000", ":0")
        text = text.replace("/tmp/swiftchute-planner.sock", str(folder / "control.sock"))
        for port in DNS_PORTS:  # other runs on the machine may hold the example's
            text = text.replace(f":{port}", f":{free_port()}")
        for before, after in replaced:
            assert before in text
            text = text.replace(before, after)
        self.path.write_text(text)
        self.states = {}

    def publish(self):
        rows = [
            {"targets": [w.address], "labels": {"zone": w.zone, "state": self.states.get(w.address, "ready")}}
            for w in self.workers
        ]
        new = self.list.with_suffix(".new")
        new.write_text(json.dumps(rows))
        new.replace(self.list)

    async def start(self, workers=4, make=Reconciler, port=0):
        for k in range(workers):
            worker = FakeBackend(BackendProfile({"lot-estimate": 0.0005}), "north", 1.0, k)
            await worker.start()
            self.workers.append(worker)
        if workers:
            self.publish()
        if port:
            self.path.write_text(self.path.read_text().replace(':0"', f':{port}"'))
        self.service = Service(load(str(self.path)), configure_logging("error"), make)
        ready = asyncio.get_running_loop().create_future()
        self.task = asyncio.ensure_future(self.service.run(ready.set_result, signals=False))
        self.address = await ready
        return self.address

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@pytest.fixture
def place(tmp_path):
    return Place(tmp_path)


def run(main):
    return uvloop.run(asyncio.wait_for(main, 60))


async def until(told, seconds=10.0):
    end = time.monotonic() + seconds
    while not (found := told()):
        assert time.monotonic() < end, "waited too long"
        await asyncio.sleep(0.02)
    return found


async def refused(address, requests, form="Stream"):
    """Open a stream, send these bytes, and return the status it ends with."""
    channel = Channel(*address, codec=RawCodec())
    try:
        async with channel.request(
            ADS + form + "AggregatedResources", Cardinality.STREAM_STREAM, bytes, bytes
        ) as s:
            await s.send_request()
            for request in requests:
                await s.send_message(request)
            while await s.recv_message() is not None:
                pass
            await s.recv_trailing_metadata()
    except GRPCError as why:
        return why.status, why.message
    finally:
        channel.close()
    return Status.OK, ""


def test_clients_at_fault_are_told_so_and_others_go_on(tmp_path):
    place = Place(tmp_path, [('"4MiB"', '"2KiB"')])

    async def main():
        address = await place.start()
        good = FakeGateway(XdsClient("good", "north", 5.0), [address], 1)
        good.start()
        await until(lambda: good.client.tables)
        nobody, moon = XdsClient("", "north", 1.0), XdsClient("m", "moon", 1.0)
        assert await refused(address, nobody.open_stream(True)[:1], "Delta") == (
            Status.INVALID_ARGUMENT,
            "the first request carries no node id",
        )
        status, text = await refused(address, moon.open_stream(True)[:1], "Delta")
        assert status is Status.INVALID_ARGUMENT
        assert "zone 'moon' is none of north, south, west" in text
        status, text = await refused(address, [b"\xff\xff\xff\xff"])
        assert "cannot decode 4 bytes as DiscoveryRequest" in text
        assert await refused(address, [b"x" * 4096]) == (
            Status.RESOURCE_EXHAUSTED,
            "message of 4096 bytes, at most 2048 are allowed",
        )
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\n\r\n" * 50)
        await asyncio.wait_for(reader.read(), 5)  # closed by the planner
        writer.close()
        double = FakeGateway(XdsClient("good", "north", 5.0), [address], 2, reconnect_delay_s=(60, 61))
        double.start()
        await until(lambda: good.record.stream_events[-1].opened is False)  # the newer stream has the node
        await until(lambda: double.client.tables)
        await double.stop()
        await until(lambda: good.stream_count > 1 and good.connected_to)
        await good.stop()
        await place.stop()

    run(main())


def test_a_client_that_does_not_read_is_cut_off_and_moves_no_other(tmp_path):
    """Rule: its window and one reply a type are all it can hold here; past `read_within` it is let go."""
    place = Place(tmp_path, [
        ('max_message = "4MiB"', 'read_within = "1s"'), ("standing_lines = 6", "standing_lines = 4000"),
        ("pace           = 2000", "pace = 100000"), ("limit          = 4000", "limit = 100000"),
    ])  # fmt: skip

    async def main():
        address = await place.start(0)
        rows = [
            {"targets": [f"10.0.{k // 250}.{k % 250}:80"], "labels": {"zone": "north"}} for k in range(2000)
        ]
        place.list.write_text(json.dumps(rows))
        good = FakeGateway(XdsClient("good", "north", 5.0, delta=False), [address], 1)
        good.start()
        with pytest.raises(GRPCError, match="client read nothing for 1 s"):
            await _unread(address, place.service.xds_frontend)
        assert good.connected_to
        await until(lambda: good.client.tables and len(good.client.table("lot-estimate").weights) == 2000)
        await good.stop()
        await place.stop()

    run(main())


async def _unread(address, front):
    """A client that takes its clusters, asks for endpoints and reads no further."""
    small = Configuration(http2_stream_window_size=65_535, http2_connection_window_size=65_535)
    channel = Channel(*address, codec=RawCodec(), config=small)
    stuck, method = XdsClient("stuck", "north", 5.0, delta=False), ADS + "StreamAggregatedResources"
    try:
        async with channel.request(method, Cardinality.STREAM_STREAM, bytes, bytes) as stream:
            await stream.send_request()
            for request in stuck.open_stream(True):
                await stream.send_message(request)
            while not (stuck.resources[names.CDS] and stuck.resources[names.EDS]):
                for answer in stuck.receive(await stream.recv_message()):
                    await stream.send_message(answer)
            await until(lambda: front.is_connected("stuck"))
            began = time.monotonic()
            await until(lambda: not front.is_connected("stuck"), 5)
            assert time.monotonic() - began > 0.5
            await stream.cancel()
    finally:
        channel.close()


PLAIN = """
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


async def plain(address, count, pause):
    """grpcio's own xDS client in a process of its own; yields (time, end) of each call."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", PLAIN, "lot-estimate", f"{address[0]}:{address[1]}", str(count), str(pause),
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL)  # fmt: skip
    async for row in process.stdout:
        at, _, end = row.decode().strip().partition(" ")
        yield int(at), end
    await process.wait()


def test_grpcios_own_client_follows_weights_drains_deaths_and_levels(place):
    """4,000 calls by weight; a drain; a death; a level; a planner that goes and comes back."""

    async def main():
        for k, weight in enumerate((4.0, 2.0, 1.0, 1.0)):
            worker = FakeBackend(BackendProfile({"lot-estimate": 0.0002}), "north", 1.0, k)
            await worker.start()
            place.workers.append(worker)
            Shaped.weights[worker.address] = weight
        Shaped.level = 1.0
        place.publish()
        address = await place.start(0, Shaped)
        ends = [end async for _, end in plain(address, 4000, 0.0)]
        assert Counter(ends) == {"ok": 4000}
        # a call leaves two receipts, at its arrival and at its start: only independent draws may be counted
        seen = [sum(r.event is BackendEvent.STARTED for r in w.receipts) for w in place.workers]
        assert sum(seen) == 4000
        expected = [sum(seen) * w / 8 for w in (4, 2, 1, 1)]
        assert chisquare(seen, expected).pvalue > 1e-4, (seen, expected)

        calls = plain(address, 100_000, 0.0)
        assert (await anext(calls))[1] == "ok"
        drained, dying = place.workers[1], place.workers[2]
        place.states[drained.address] = "draining"
        place.publish()
        told = time.monotonic_ns()
        ends = [e async for e in _while(calls, 1.5)]
        assert {e for _, e in ends} == {"ok"}
        late = max((r.time_ns for r in drained.receipts), default=0) - told
        assert late < 3 * 10**9  # the grace; nothing comes afterwards
        before = len(drained.receipts)

        await dying.kill()
        ends = [e async for e in _while(calls, 1.0)]
        lost = [e for _, e in ends if e != "ok"]
        assert len(lost) <= 2  # what was under way at its death; the client leaves it by itself
        place.states[dying.address] = "draining"
        place.publish()

        await place.stop()  # the planner goes: the client keeps its table
        ends = [e async for e in _while(calls, 1.0)]
        Shaped.level = 0.5
        await place.start(0, Shaped, address[1])  # and comes back, with nothing but the list
        async for row in _while(calls, 15.0):  # it dials again after a wait of its own
            ends.append(row)
            if row[1] != "ok":
                break
        assert "drop" in ends[-1][1].lower()
        assert [e for _, e in ends[:-1] if e != "ok"] == []  # no call was lost that the table allows
        last = [e for _, e in [e async for e in _while(calls, 1.0)]]
        assert 0.4 < sum("drop" in e.lower() for e in last) / len(last) < 0.6
        assert 0.4 < last.count("ok") / len(last) < 0.6
        assert len(drained.receipts) == before
        await calls.aclose()
        for worker in place.workers:
            await worker.kill()
        await place.stop()

    run(main())


async def _while(calls, seconds):
    end = time.monotonic_ns() + int(seconds * 1e9)
    async for row in calls:
        yield row
        if row[0] > end:
            return


def test_past_their_bounds_connections_and_streams_are_turned_away(tmp_path):
    place = Place(tmp_path, [('max_message = "4MiB"', "streams = 2")])

    async def main():
        address = await place.start()
        gateways = [
            FakeGateway(XdsClient(f"g{k}", "north", 5.0), [address], k, reconnect_delay_s=(60, 61))
            for k in range(2)
        ]
        for gateway in gateways:
            gateway.start()
        await until(lambda: all(g.client.tables for g in gateways))
        status, text = await refused(address, XdsClient("third", "north", 1.0).open_stream(True)[:1], "Delta")
        assert (status, text) == (Status.RESOURCE_EXHAUSTED, "2 streams are open, the maximum")
        idle = [await asyncio.open_connection(*address) for _ in range(4)]
        for reader, _ in idle[2:]:  # with the two gateways' connections, these are past twice the streams
            try:
                said = await asyncio.wait_for(reader.read(100), 5)
            except ConnectionResetError:
                said = b""
            assert said == b""  # closed without a word
        assert place.service.xds_server.rejected_connections == 2
        assert all(g.connected_to for g in gateways)
        for _, writer in idle:
            writer.close()
        for gateway in gateways:
            await gateway.stop()
        await place.stop()

    run(main())
