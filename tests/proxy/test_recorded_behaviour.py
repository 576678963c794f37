"""The decisions and bytes of the proxy's I/O-free parts equal a recording of an earlier version.

Each test plays a fixed pseudo-random sequence and compares the digest of all that it observed.
"""

import hashlib
import itertools
import random
from dataclasses import astuple

import pytest
from envoy.config.cluster.v3.cluster_pb2 import Cluster
from envoy.config.core.v3.health_check_pb2 import DRAINING
from envoy.config.endpoint.v3.endpoint_components_pb2 import LbEndpoint
from envoy.config.endpoint.v3.endpoint_pb2 import ClusterLoadAssignment
from envoy.config.listener.v3.listener_pb2 import Listener
from envoy.config.route.v3.route_pb2 import RouteConfiguration
from envoy.extensions.filters.network.http_connection_manager.v3.http_connection_manager_pb2 import (
    HttpConnectionManager,
)
from envoy.service.discovery.v3.discovery_pb2 import (
    DeltaDiscoveryRequest,
    DeltaDiscoveryResponse,
    DiscoveryRequest,
    DiscoveryResponse,
    Resource,
)
from envoy.service.load_stats.v3.lrs_pb2 import LoadStatsRequest

from swiftchute.proxy import response_headers
from swiftchute.proxy.connection_pool import ConnectionPool, PooledConnection
from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.errors import HttpFramingError
from swiftchute.proxy.http1_connection import Http1Connection
from swiftchute.proxy.http2_connection import Http2Connection
from swiftchute.proxy.http_framing import HttpMessage
from swiftchute.proxy.request import Rejection, RequestRouter
from swiftchute.proxy.retry import AttemptOutcome, RequestResult
from swiftchute.proxy.settings import (
    AdmissionDraw,
    Idempotency,
    LoadBalancing,
    PoolLimits,
    ProxyLimits,
    RouteSettings,
)
from swiftchute.proxy.table_cache import TableCache
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds import names

S = 1_000_000_000
NOW = 1000 * S
OUTCOMES = [
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.FAILED,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.REFUSED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.WITHDRAWN,
    None,
]
ENDPOINTS = [f"10.0.0.{k}:80" for k in range(12)]


class Digest:
    """Observations, and the digest of their text."""

    def __init__(self):
        self.count, self.sum = 0, hashlib.sha256()

    def add(self, *values):
        self.count += 1
        self.sum.update(repr(values).encode() + b"\n")

    def __repr__(self):
        return f"{self.count} {self.sum.hexdigest()[:16]}"


def random_table(chance, operation):
    return EndpointTable(
        f"0.{chance.randrange(9)}/{operation}",
        {e: chance.randint(1, 9) for e in chance.sample(ENDPOINTS, chance.randint(0, 8))},
        chance.choice([1.0, 1.0, 0.7, 0.2, 0.0]),
        chance.randint(0, 3),
        chance.random() < 0.5,
        chance.choice([None, 0.3]),
        chance.choice([None, 1.5]),
    )


class RequestPlay:
    """Requests of four operations through a router: arrivals, attempts, outcomes, tables that change."""

    def __init__(self, digest, limits, seed):
        self.digest = digest
        self.chance = random.Random(seed)
        self.client = XdsClient("gw", "z", 1.0)
        self.client.resources[names.LDS]["new"] = ("1", None)
        routes = {
            "read": RouteSettings("read", 2 * S, Idempotency.IDEMPOTENT),
            "key": RouteSettings("key", S, Idempotency.WITH_KEY),
            "pay": RouteSettings("pay", 4 * S, Idempotency.SIDE_EFFECTING),
        }
        self.operations = [*routes, "new", "none"]
        self.router = RequestRouter(self.client, routes, limits, seed)
        self.now = NOW
        self.active = []

    def run(self, steps=1500):
        for step in range(steps):
            self.now += self.chance.randrange(S // 20)
            if step % 60 == 0:
                self.change_tables()
            request = self.arrive() if self.chance.random() < 0.6 or not self.active else self.end_attempt()
            if request is not None:
                self.start_attempt(request)
        self.observe_counts()

    def change_tables(self):
        chance, client = self.chance, self.client
        client.tables = {
            operation: random_table(chance, operation)
            for operation in self.operations[:4]
            if chance.random() < 0.9
        }
        client.static_endpoints = dict.fromkeys(chance.sample(ENDPOINTS, chance.randint(0, 2)), 1)
        withdrawn = ClusterLoadAssignment()
        address_of(withdrawn.endpoints.add().lb_endpoints.add(), chance.choice(ENDPOINTS))
        client.resources[names.EDS][names.WITHDRAWN] = ("1", withdrawn)
        self.router.update_tables()
        self.digest.add(
            "tables",
            sorted(self.router.known_endpoints),
            sorted(client.withdrawn_endpoints()),
            sorted(self.router.tables),
        )

    def arrive(self):
        operation, caller = self.chance.choice(self.operations), f"caller-{self.chance.randrange(20)}"
        request = self.router.admit(operation, caller, self.now)
        if isinstance(request, Rejection):
            self.digest.add("rejected", str(request.cause))
            return None
        self.active.append(request)
        return request

    def end_attempt(self):
        """End the attempt of a request; returns the request if it has another one."""
        request = self.active[self.chance.randrange(len(self.active))]
        outcome = self.chance.choice(OUTCOMES)
        if outcome is None:
            self.abandon(request, "abandoned")
            return None
        if not self.router.attempt_ended(request, outcome, self.now):
            return request
        self.active.remove(request)
        self.digest.add("ended", outcome.result.value, request.retries, self.router.in_flight)
        return None

    def start_attempt(self, request):
        router = self.router
        attempt = router.next_attempt(request, self.now)
        if attempt is None:
            self.abandon(request, "nothing left")
        else:
            self.digest.add(attempt.endpoint, attempt.deadline_ns, request.retries, request.deadline_ns)
        budget, ejected = router.retry_budget, router.ejector.ejected(self.now)
        self.digest.add(round(budget.tokens, 9), budget.granted, budget.denied, sorted(ejected))

    def abandon(self, request, text):
        self.active.remove(request)
        self.router.abandon(request, self.now)
        self.digest.add(text, self.router.in_flight)

    def observe_counts(self):
        router = self.router
        self.digest.add(
            router.ejector.ejection_count,
            sorted(router.in_flight_by_endpoint.items()),
            sorted((str(result), count) for result, count in router.attempt_counts.items()),
        )
        self.digest.add(sorted((str(cause), count) for cause, count in router.rejection_counts.items()))
        rows = (
            (
                cluster,
                load.dropped,
                [(address, list(astuple(row))) for address, row in sorted(load.endpoints.items())],
            )
            for cluster, load in sorted(self.client.load_by_cluster.items())
        )
        self.digest.add(*rows)


def test_router_decisions_equal_the_recording():
    digest = Digest()
    seeds = itertools.count(1)
    for pick, draw, limit in itertools.product(LoadBalancing, AdmissionDraw, (0, 2)):
        limits = ProxyLimits(30, limit, pick, 3, S, 0.1, 0.5, draw)
        RequestPlay(digest, limits, next(seeds)).run()
    RequestPlay(digest, ProxyLimits(), next(seeds)).run()
    assert repr(digest) == ROUTER


class PeerWindow:
    """A connection whose peer takes so many more streams."""

    def __init__(self, available_streams):
        self.available_streams = available_streams


def test_pool_decisions_equal_the_recording():
    digest, chance = Digest(), random.Random(5)
    pool = ConnectionPool(PoolLimits(3, 10, 2, 4, 3 * S))
    now, busy, numbers = NOW, [], {}
    for _ in range(5000):
        now += chance.randrange(S // 5)
        act = chance.random()
        if act < 0.5:
            found = pool.select()
            digest.add("ask", numbers[found] if isinstance(found, PooledConnection) else str(found))
            if isinstance(found, PooledConnection):
                pool.request_started(found, now)
                busy.append(found)
            elif found == "dial":
                pool.dialing += 1
            pool.waiting = chance.randrange(6)
        elif act < 0.6 and pool.dialing:
            pool.dialing -= 1
            line = pool.add(PeerWindow(chance.randint(1, 12)), now)
            numbers[line] = len(numbers)
        elif act < 0.9 and busy:
            line = busy.pop(chance.randrange(len(busy)))
            pool.request_ended(line, chance.random() < 0.8, now)
            digest.add(numbers[line], line.stream_limit, line.available_streams, line.in_flight)
        elif act < 0.92 and pool.connections:
            chance.choice(pool.connections).closing = True
        elif pool.connections:
            for line in pool.idle_connections(now):
                digest.add("idle", numbers[line])
                pool.remove(line)
    assert repr(digest) == POOL


def address_of(endpoint, name):
    host, _, port = name.partition(":")
    address = endpoint.endpoint.address.socket_address
    address.address, address.port_value = host, int(port)


def random_resources(chance, type_url, uses_collections):
    """Resources by name, as a control plane may send them, complete or not."""
    if type_url == names.EDS:
        return random_assignments(chance, uses_collections)
    if type_url == names.LEDS:
        return random_collection_entries(chance)
    make = {names.CDS: random_cluster, names.LDS: random_listener, names.RDS: random_route}[type_url]
    made = [make(chance, op) for op in chance.sample(["read", "pay"], chance.randint(1, 2))]
    return {resource.name: resource for resource in made}


def random_cluster(chance, operation):
    cluster = Cluster(name=f"0.1/{operation}")
    cluster.eds_cluster_config.service_name = chance.choice(["0.1", "0.2"])
    return cluster


def random_listener(chance, operation):
    manager = HttpConnectionManager()
    manager.rds.route_config_name = operation
    listener = Listener(name=operation)
    listener.api_listener.api_listener.Pack(manager)
    return listener


def random_route(chance, operation):
    configuration = RouteConfiguration(name=operation)
    action = configuration.virtual_hosts.add().routes.add().route
    action.cluster = f"0.1/{operation}"
    if chance.random() < 0.5:
        action.retry_policy.retry_on = chance.choice(["refused-stream,connect-failure", "5xx"])
        action.retry_policy.num_retries.value = 2
        action.retry_policy.per_try_timeout.FromMilliseconds(300)
    if chance.random() < 0.5:
        action.timeout.FromMilliseconds(1500)
    return configuration


def random_assignments(chance, uses_collections):
    assignments = {}
    for name in chance.sample(["0.1", "0.2", names.WITHDRAWN], 2):
        assignment = assignments[name] = ClusterLoadAssignment(cluster_name=name)
        locality = assignment.endpoints.add()
        if uses_collections and name != names.WITHDRAWN:
            locality.leds_cluster_locality_config.leds_collection_name = names.collection(name, "z")
        for endpoint in chance.sample(ENDPOINTS, chance.randint(1, 4)):
            entry = locality.lb_endpoints.add()
            address_of(entry, endpoint)
            entry.load_balancing_weight.value = chance.randint(1, 9)
            if chance.random() < 0.2:
                entry.health_status = DRAINING
        if chance.random() < 0.3:
            assignment.policy.drop_overloads.add(category="level").drop_percentage.numerator = 250_000
    return assignments


def random_collection_entries(chance):
    entries = {}
    for endpoint in chance.sample(ENDPOINTS, 4):
        entry = LbEndpoint()
        address_of(entry, endpoint)
        entry.load_balancing_weight.value = chance.randint(1, 9)
        entries[names.entry_name(chance.choice(["0.1", "0.2"]), "z", endpoint)] = entry
    return entries


@pytest.mark.parametrize("delta, lines", [(True, True), (True, False), (False, False)])
def test_xds_requests_and_tables_equal_the_recording(delta, lines):
    digest, chance = Digest(), random.Random(9)

    def refuses(kind, name, message):
        return "bad" if chance.random() < 0.1 else None

    client = XdsClient("gw", "z", 2.5, delta, lines, refuses)
    client.static_endpoints = {"10.9.9.9:1": 1}

    def sent(requests):
        form = DeltaDiscoveryRequest if delta else DiscoveryRequest
        digest.add([form.FromString(request).SerializeToString(deterministic=True) for request in requests])

    for stream in range(6):
        sent(client.open_stream(fresh=chance.random() < 0.5))
        for order in range(1, 60):
            kind = chance.choice([kind for kind in names.ORDER if delta or kind != names.LEDS])
            found = random_resources(chance, kind, lines)
            nonce = f"{stream if chance.random() < 0.95 else 99}-{order - chance.choice([0, 0, 0, 0, 5])}"
            if delta:
                response = DeltaDiscoveryResponse(type_url=kind, nonce=nonce)
                for name, message in found.items():
                    row = Resource(name=name, version=str(order))
                    row.resource.Pack(message)
                    response.resources.append(row)
                if chance.random() < 0.2:
                    response.removed_resources.append(chance.choice(["0.1", "0.2", "read"]))
            else:
                response = DiscoveryResponse(type_url=kind, nonce=nonce, version_info=str(order))
                for message in found.values():
                    response.resources.add().Pack(message)
            if chance.random() < 0.02:
                broken = response.resources[0].resource if delta else response.resources[0]
                broken.value = b"\xff\xff"
            sent(client.receive(response.SerializeToString()))
            for operation in ("read", "pay", "none"):
                table = client.table(operation)
                digest.add(table and astuple(table))
                if table is not None:
                    for endpoint in table.weights:
                        client.record_attempt(table.cluster, endpoint, chance.random() < 0.8, chance.random())
                    client.record_drop(table.cluster)
            digest.add(sorted(client.withdrawn_endpoints()), client.ignored, client.applied)
        report = LoadStatsRequest.FromString(client.build_load_report(1.25, first=stream == 0))
        digest.add(report.SerializeToString(deterministic=True))
    assert repr(digest) == XDS[delta, lines]


REQUEST = [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/svc/read"), (b":authority", b"x"),
           (b"content-type", b"application/grpc"), (b"grpc-timeout", b"900m"), (b"te", b"trailers"),
           (b"Keep-Alive", b"5")]  # fmt: skip
RESPONSE = [(b":status", b"200"), (b"content-type", b"application/grpc")]


def play_frames(digest, client, server, seed):
    """Messages both ways in pieces; what each side wrote, and the text of its events without class names."""
    chance = random.Random(seed)

    def events_of(found):
        return [tuple(getattr(event, slot) for slot in event.__dataclass_fields__) for event in found]

    asked = []
    for _ in range(60):
        headers = [field for field in REQUEST if field[0] != b"Keep-Alive"]
        body = chance.randbytes(chance.choice([0, 3, 500, 30_000]))
        try:
            if client.available_streams:
                digest.add("send", client.send(HttpMessage(0, headers, body, [])), client.available_streams)
        except HttpFramingError as cause:
            digest.add("broken", str(cause))
        for writer, reader, is_server in ((client, server, True), (server, client, False)):
            data = writer.data_to_send()
            digest.add(data)
            size = chance.choice([1000, 7000, 100_000])
            for start in range(0, len(data), size):
                try:
                    found = reader.receive_data(data[start : start + size])
                except HttpFramingError as cause:
                    digest.add("broken", str(cause))
                    return
                digest.add(events_of(found), reader.closing)
                asked += [event for event in found if is_server and isinstance(event, HttpMessage)]
            if is_server and asked and chance.random() < 0.8:
                number = asked.pop(0).stream_id
                act = chance.random()
                if isinstance(server, Http2Connection) and act < 0.2:
                    server.reset_stream(number, 7)
                else:
                    body = chance.randbytes(chance.choice([0, 10, 9000]))
                    trailers = [(b"grpc-status", b"0")] if isinstance(server, Http2Connection) else []
                    server.send(HttpMessage(number, RESPONSE, body, trailers))
                if isinstance(server, Http1Connection):
                    asked += [e for e in server.next_events() if isinstance(e, HttpMessage)]
                elif act > 0.9:
                    client.ping()
    server.send_goaway() if isinstance(server, Http2Connection) else server.reset_stream(0, 8)
    digest.add(server.data_to_send(), server.closing, server.available_streams)


@pytest.mark.parametrize("make", [Http2Connection, Http1Connection])
def test_frames_equal_the_recording(make):
    digest = Digest()
    for seed in range(4):
        client, server = make(True, 20_000), make(False, 20_000)
        client.start()
        server.start()
        play_frames(digest, client, server, seed)
    assert repr(digest) == FRAMES[make.__name__]


def test_forwarded_requests_and_local_responses_equal_the_recording():
    digest = Digest()
    for rpc, left in itertools.product((True, False), (1, 10**6, 7 * S)):
        made = response_headers.forwarded_request(HttpMessage(3, REQUEST, b"body", [(b"x", b"y")]), rpc, left)
        digest.add(made.stream_id, made.headers, made.body, made.trailers)
    for rpc in (True, False):
        for result in list(RequestResult)[1:-1]:  # in the order of the recording
            made = response_headers.local_response(result, rpc)
            digest.add(made.stream_id, made.headers, made.body, made.trailers)
    for path in (b"/", b"/a/b%20c?d", b"", b"/x/"):
        for timeout in (b"1H", b"2M", b"3S", b"4m", b"5u", b"6n", b"7x", b"", b"123456789S"):
            asked = response_headers.parse_request(
                HttpMessage(0, [(b":path", path), (b"grpc-timeout", timeout)])
            )
            digest.add(asked.operation, asked.grpc, asked.timeout_ns)
    assert repr(digest) == HEADERS


# A file of cached tables, as the first release wrote it.
STORED = bytes.fromhex(
    "b0b463048af6188b9301cf000000e8d4a5100082a47265616497a8302e312f7265616482ab31302e302e302e313a383003"
    "ab31302e302e302e323a383001cb3fe000000000000001c3c0cb4010000000000000a370617997a7372e332f70617981aa"
    "5b3a3a315d3a38303830cdffffcb3ff000000000000002c2cb3fd0000000000000c0"
)
STORED_TABLES = {
    "read": EndpointTable("0.1/read", {"10.0.0.1:80": 3, "10.0.0.2:80": 1}, 0.5, 1, True, None, 4.0),
    "pay": EndpointTable("7.3/pay", {"[::1]:8080": 65_535}, 1.0, 2, False, 0.25, None),
}


def test_a_cache_file_of_the_first_release_is_read(tmp_path):
    path = tmp_path / "tables"
    path.write_bytes(STORED)
    assert TableCache(str(path), 60 * S).load(NOW + S) == STORED_TABLES


def test_a_cache_file_is_written_as_the_first_release_wrote_it(tmp_path):
    path = tmp_path / "tables"
    assert TableCache(str(path), 60 * S).save(STORED_TABLES, NOW)
    assert path.read_bytes() == STORED


ROUTER = "26522 9b3d2b0d99b030f0"
POOL = "3838 0fd016ea33ac71b4"
XDS = {
    (True, True): "1782 7f682c89ce32032d",
    (True, False): "1782 ce7cd54bfe7ed3a4",
    (False, False): "1782 429181f3fa440f32",
}
FRAMES = {"Http2Connection": "1989 09f03602f10248ac", "Http1Connection": "488 7374cea7ae5646a4"}
HEADERS = "62 65acbee6817dbe4e"
