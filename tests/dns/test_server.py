"""The DNS frontend on real sockets: answers as dnspython and grpcio read them, and abusive TCP clients."""

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
from tests.support.hcl import RULES_AND_CHANNEL

ORIGIN = "lots.example."
SRV = "_lot-estimate._tcp.lots.example."
SETTINGS = (
    """
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
"""
    + RULES_AND_CHANNEL
    + """reports {{
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
)


class RunningService:
    """A service in this process, with an endpoint list file that the test writes."""

    def __init__(self, folder, endpoints, listen="127.0.0.1:0", secondary=9, more=""):
        self.list_path = folder / "workers.json"
        self.write_endpoint_list(endpoints)
        settings = folder / "planner.hcl"
        settings.write_text(
            SETTINGS.format(list=self.list_path, listen=listen, secondary=secondary, more=more)
        )
        self.service = Service(load(str(settings)), configure_logging("error"), Reconciler)

    def write_endpoint_list(self, endpoints):
        """Write the list; `endpoints` maps each address to its zone, or to its zone and state."""
        listed = [
            (endpoint, *((zone,) if isinstance(zone, str) else zone), "ready")[:3]
            for endpoint, zone in endpoints.items()
        ]
        last_octet = {endpoint: int(endpoint.partition(":")[0].rpartition(".")[2]) for endpoint in endpoints}
        groups = [
            {
                "targets": [endpoint],
                "labels": {"zone": zone, "state": state, "weight": str(1 + last_octet[endpoint] % 4 / 2)},
            }
            for endpoint, zone, state in listed
        ]
        self.list_path.with_suffix(".new").write_text(json.dumps(groups))
        self.list_path.with_suffix(".new").replace(self.list_path)

    async def __aenter__(self):
        ready = asyncio.get_running_loop().create_future()
        self.task = asyncio.ensure_future(self.service.run(ready.set_result, signals=False))
        await asyncio.wait({ready, self.task}, return_when=asyncio.FIRST_COMPLETED)
        if self.task.done():
            self.task.result()
        self.address_by_view = self.service.dns_server.addresses
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def send_query(self, name=SRV, record_type="SRV", view="north", tcp=False, **more):
        query = dns.message.make_query(name, record_type, **more)
        send = dns.asyncquery.tcp if tcp else dns.asyncquery.udp
        return await send(query, self.address_by_view[view][0], port=self.address_by_view[view][1], timeout=2)

    async def wait_for_reply(self, condition, **query_options):
        for _ in range(300):
            reply = await self.send_query(tcp=True, **query_options)
            if condition(reply):
                return reply
            await asyncio.sleep(0.02)
        raise AssertionError(reply)


def srv_targets(reply):
    records = [record for rrset in reply.answer for record in rrset if record.rdtype == dns.rdatatype.SRV]
    return {(str(record.target).partition(".")[0], record.port) for record in records}


def make_endpoints(count, zone="north"):
    return {f"127.0.{k // 200}.{k % 200 + 1}:9000": zone for k in range(count)}


def run_with_timeout(main):
    return uvloop.run(asyncio.wait_for(main(), 30))


def test_each_view_answers_for_its_zone_and_follows_the_endpoint_list(tmp_path):
    async def main():
        endpoints = make_endpoints(3) | {"127.9.0.1:9000": "south"}
        async with RunningService(tmp_path, endpoints) as running:
            await running.wait_for_reply(lambda r: len(srv_targets(r)) == 3)
            await running.wait_for_reply(lambda r: srv_targets(r) == {("ip-127-9-0-1", 9000)}, view="south")
            running.write_endpoint_list(endpoints | {"127.0.0.1:9000": ("north", "draining")})
            drained_reply = await running.wait_for_reply(lambda r: len(srv_targets(r)) == 2)
            assert drained_reply.answer[0].ttl <= 2
            assert (await running.send_query("ip-127-0-0-1.lots.example.", "A")).rcode() == dns.rcode.NXDOMAIN

    run_with_timeout(main)


def test_dnspython_resolver_falls_back_to_tcp_and_picks_in_proportion_to_weights(tmp_path):
    """20,000 picks by the algorithm of RFC 2782 in each of two views match the weights of its table."""

    async def main():
        endpoints = make_endpoints(60) | {
            endpoint.replace("127.0", "127.9"): "south" for endpoint in make_endpoints(8)
        }
        answer_and_weights_by_view = {}
        async with RunningService(tmp_path, endpoints) as running:
            for view, expected_count in (("north", 60), ("south", 8)):
                await running.wait_for_reply(
                    lambda r, count=expected_count: len(srv_targets(r)) == count, view=view
                )
                resolver = dns.asyncresolver.Resolver(configure=False)
                resolver.nameservers, resolver.port = (
                    [running.address_by_view[view][0]],
                    running.address_by_view[view][1],
                )
                resolver.use_edns(0, 0, 1232)
                records = await resolver.resolve(SRV, "SRV")
                (content,) = running.service.controller.tables_of(f"dns/{view}").contents.values()
                answer_and_weights_by_view[view] = (
                    records,
                    {endpoint: table_weight for endpoint, _, table_weight in content.entries},
                )
        return answer_and_weights_by_view

    rng = random.Random(7)
    for records, weight_by_endpoint in run_with_timeout(main).values():
        assert len(set(weight_by_endpoint.values())) > 2
        address_by_record = {r: str(r.target).partition(".")[0][3:].replace("-", ".") for r in records}
        srv_records = tuple(
            SrvRecord(r.priority, r.weight, f"{address_by_record[r]}:{r.port}") for r in records
        )
        picker = SrvPicker(srv_records)
        picks = [picker.pick(rng) for _ in range(20_000)]
        expected = {
            endpoint: 20_000 * table_weight / sum(weight_by_endpoint.values())
            for endpoint, table_weight in weight_by_endpoint.items()
        }
        assert (
            stats.chisquare([picks.count(endpoint) for endpoint in expected], list(expected.values())).pvalue
            > 1e-4
        )


def test_concurrent_lookup_failures_do_not_return_a_resolver_to_a_dead_server(tmp_path):
    async def main():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent:
            silent.bind(("127.0.0.1", 0))
            async with RunningService(tmp_path, make_endpoints(3)) as running:
                await running.wait_for_reply(lambda r: len(srv_targets(r)) == 3)
                resolver = CachingResolver(
                    [silent.getsockname(), running.address_by_view["north"]], ORIGIN, 7
                )
                resolver.current_server = 0
                answers = await asyncio.gather(
                    *(resolver.lookup(operation) for operation in ("none", "lot-estimate"))
                )
                assert [len(answer.records) for answer in answers] == [0, 3]

    run_with_timeout(main)


def test_a_version_change_between_a_truncated_answer_and_its_tcp_retry(tmp_path):
    async def main():
        endpoints = make_endpoints(60)
        async with RunningService(tmp_path, endpoints) as running:
            await running.wait_for_reply(lambda r: len(srv_targets(r)) == 60)
            truncated = await running.send_query(use_edns=0, payload=1232)
            assert truncated.flags & dns.flags.TC
            running.write_endpoint_list(endpoints | {"127.0.0.1:9000": ("north", "draining")})
            await running.wait_for_reply(lambda r: len(srv_targets(r)) == 59)

    run_with_timeout(main)


def test_a_secondary_is_notified_and_transfers_differences_with_dnspython(tmp_path):
    async def main():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.bind(("127.0.0.1", 0))
            udp.setblocking(False)
            endpoints = make_endpoints(50)
            async with RunningService(tmp_path, endpoints, secondary=udp.getsockname()[1]) as running:
                await running.wait_for_reply(lambda r: len(srv_targets(r)) == 50)
                loop = asyncio.get_running_loop()
                notify = dns.message.from_wire(await asyncio.wait_for(loop.sock_recv(udp, 1000), 5))
                assert notify.opcode() == dns.opcode.NOTIFY
                zone, (host, port) = dns.zone.Zone(ORIGIN), running.address_by_view["north"]
                await dns.asyncquery.inbound_xfr(host, zone, port=port, timeout=5)
                first_serial = zone.get_soa().serial
                running.write_endpoint_list(endpoints | {"127.0.0.1:9000": ("north", "draining")})
                await running.wait_for_reply(lambda r: len(srv_targets(r)) == 49)
                await dns.asyncquery.inbound_xfr(host, zone, port=port, timeout=5)
                assert zone.get_soa().serial > first_serial
                srv_rdataset = zone.get_rdataset("_lot-estimate._tcp", "SRV")
                assert len(srv_rdataset) == 49

    run_with_timeout(main)


def test_slow_and_excess_tcp_connections_are_closed_and_others_are_served(tmp_path):
    async def main():
        async with RunningService(tmp_path, make_endpoints(3)) as running:
            await running.wait_for_reply(lambda r: len(srv_targets(r)) == 3)
            slow_connections = []
            for _ in range(1000):
                slow_connections.append(await asyncio.open_connection(*running.address_by_view["north"]))
            assert len(running.service.dns_server.connections) <= 20
            for byte in b"\0\x1eabcdef":  # single bytes are not a message, so the connection counts as idle
                for _, writer in slow_connections[-20:]:
                    if not writer.is_closing():
                        writer.write(bytes([byte]))
                assert len(srv_targets(await running.send_query(tcp=True))) == 3
                await asyncio.sleep(0.2)
            # Fewer than 20: the queries of the test displaced some of the slow connections.
            assert running.service.dns_server.closed["streams_idle"] >= 10
            assert len(running.service.dns_server.connections) <= 1
            assert await slow_connections[0][0].read() == b""
            reader, writer = await asyncio.open_connection(*running.address_by_view["north"])
            writer.write(b"\0\0")  # a message of length 0
            assert await asyncio.wait_for(reader.read(), 0.5) == b""
            writer.close()
            for _, writer in slow_connections:
                writer.close()

    run_with_timeout(main)


def test_a_client_that_does_not_read_replies_is_not_read_from(tmp_path):
    async def main():
        async with RunningService(tmp_path, make_endpoints(200)) as running:
            await running.wait_for_reply(lambda r: len(srv_targets(r)) == 200)
            _, writer = await asyncio.open_connection(*running.address_by_view["north"], limit=1024)
            query = dns.message.make_query(SRV, "SRV").to_wire()
            queries_before = running.service.dns_server.frontend.queries.counts["queries"]
            writer.write((len(query).to_bytes(2, "big") + query) * 4000)
            await asyncio.sleep(0.5)
            queries_read = running.service.dns_server.frontend.queries.counts["queries"] - queries_before
            assert 10 < queries_read < 2000
            assert len(srv_targets(await running.send_query(tcp=True))) == 200
            writer.transport.abort()

    run_with_timeout(main)


def test_a_listen_address_in_use_is_reported_by_its_setting(tmp_path):
    async def main():
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            async with RunningService(
                tmp_path, make_endpoints(1), listen=f"127.0.0.1:{taken.getsockname()[1]}"
            ):
                pass

    with pytest.raises(ListenError, match=r"dns\.listen"):
        run_with_timeout(main)


def test_grpcio_dns_resolver_reaches_endpoints_by_address_records(tmp_path):
    """An independent client: grpcio resolves `dns://authority/name` at this server by address records."""
    import grpc

    from swiftchute.fakes.backend import SERVICE, BackendEvent, BackendProfile, FakeBackend

    async def main():
        profile = BackendProfile({"lot-estimate": 0.01})
        first = FakeBackend(profile, "north", 1.0, 1)
        await first.start(host="127.77.0.1")
        port = int(first.address.rpartition(":")[2])
        second = FakeBackend(profile, "north", 1.0, 2)
        second.address = f"127.77.0.2:{port}"
        await second.start(host="127.77.0.2")
        try:
            async with RunningService(
                tmp_path, dict.fromkeys([first.address, second.address], "north")
            ) as running:
                await running.wait_for_reply(lambda r: len(srv_targets(r)) == 2)
                authority = "{}:{}".format(*running.address_by_view["north"])
                target = f"dns://{authority}/lot-estimate.{ORIGIN}:{port}"

                def send_calls():
                    options = [("grpc.lb_policy_name", "round_robin")]
                    with grpc.insecure_channel(target, options) as channel:
                        call = channel.unary_unary(SERVICE + "lot-estimate")
                        for k in range(20):
                            call(f"inv-{k}|0|g".encode(), timeout=5, wait_for_ready=True)

                await asyncio.to_thread(send_calls)
                started_calls = [
                    sum(receipt.event is BackendEvent.STARTED for receipt in backend.receipts)
                    for backend in (first, second)
                ]
                assert sum(started_calls) == 20
                assert min(started_calls) > 0
        finally:
            await first.kill()
            await second.kill()

    run_with_timeout(main)
