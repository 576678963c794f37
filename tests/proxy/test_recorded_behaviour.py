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


def random_table(rng, operation):
    return EndpointTable(
        f"0.{rng.randrange(9)}/{operation}",
        {e: rng.randint(1, 9) for e in rng.sample(ENDPOINTS, rng.randint(0, 8))},
        rng.choice([1.0, 1.0, 0.7, 0.2, 0.0]),
        rng.randint(0, 3),
        rng.random() < 0.5,
        rng.choice([None, 0.3]),
        rng.choice([None, 1.5]),
    )


class RequestSequence:
    """Requests of four operations through a router: arrivals, attempts, outcomes, tables that change."""

    def __init__(self, digest, limits, seed):
        self.digest = digest
        self.rng = random.Random(seed)
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
            self.now += self.rng.randrange(S // 20)
            if step % 60 == 0:
                self.change_tables()
            request = self.arrive() if self.rng.random() < 0.6 or not self.active else self.end_attempt()
            if request is not None:
                self.start_attempt(request)
        self.observe_counts()

    def change_tables(self):
        rng, client = self.rng, self.client
        client.tables = {
            operation: random_table(rng, operation) for operation in self.operations[:4] if rng.random() < 0.9
        }
        client.static_endpoints = dict.fromkeys(rng.sample(ENDPOINTS, rng.randint(0, 2)), 1)
        withdrawn = ClusterLoadAssignment()
        set_address(withdrawn.endpoints.add().lb_endpoints.add(), rng.choice(ENDPOINTS))
        client.resources[names.EDS][names.WITHDRAWN] = ("1", withdrawn)
        self.router.update_tables()
        self.digest.add(
            "tables",
            sorted(self.router.known_endpoints),
            sorted(client.withdrawn_endpoints()),
            sorted(self.router.tables),
        )

    def arrive(self):
        operation, caller = self.rng.choice(self.operations), f"caller-{self.rng.randrange(20)}"
        request = self.router.admit(operation, caller, self.now)
        if isinstance(request, Rejection):
            self.digest.add("rejected", str(request.cause))
            return None
        self.active.append(request)
        return request

    def end_attempt(self):
        """End the attempt of a request; returns the request if it has another one."""
        request = self.active[self.rng.randrange(len(self.active))]
        outcome = self.rng.choice(OUTCOMES)
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
        RequestSequence(digest, limits, next(seeds)).run()
    RequestSequence(digest, ProxyLimits(), next(seeds)).run()
    assert repr(digest) == ROUTER


class PeerWindow:
    """A connection whose peer takes so many more streams."""

    def __init__(self, available_streams):
        self.available_streams = available_streams


def test_pool_decisions_equal_the_recording():
    digest, rng = Digest(), random.Random(5)
    pool = ConnectionPool(PoolLimits(3, 10, 2, 4, 3 * S))
    now, in_use, connection_ids = NOW, [], {}
    for _ in range(5000):
        now += rng.randrange(S // 5)
        action = rng.random()
        if action < 0.5:
            selected = pool.select()
            digest.add(
                "ask", connection_ids[selected] if isinstance(selected, PooledConnection) else str(selected)
            )
            if isinstance(selected, PooledConnection):
                pool.request_started(selected, now)
                in_use.append(selected)
            elif selected == "dial":
                pool.dialing += 1
            pool.waiting = rng.randrange(6)
        elif action < 0.6 and pool.dialing:
            pool.dialing -= 1
            connection = pool.add(PeerWindow(rng.randint(1, 12)), now)
            connection_ids[connection] = len(connection_ids)
        elif action < 0.9 and in_use:
            connection = in_use.pop(rng.randrange(len(in_use)))
            pool.request_ended(connection, rng.random() < 0.8, now)
            digest.add(
                connection_ids[connection],
                connection.stream_limit,
                connection.available_streams,
                connection.in_flight,
            )
        elif action < 0.92 and pool.connections:
            rng.choice(pool.connections).closing = True
        elif pool.connections:
            for connection in pool.idle_connections(now):
                digest.add("idle", connection_ids[connection])
                pool.remove(connection)
    assert repr(digest) == POOL


def set_address(endpoint, name):
    host, _, port = name.partition(":")
    address = endpoint.endpoint.address.socket_address
    address.address, address.port_value = host, int(port)


def random_resources(rng, type_url, uses_collections):
    """Resources by name, as a control plane may send them, complete or not."""
    if type_url == names.EDS:
        return random_assignments(rng, uses_collections)
    if type_url == names.LEDS:
        return random_collection_entries(rng)
    make = {names.CDS: random_cluster, names.LDS: random_listener, names.RDS: random_route}[type_url]
    made = [make(rng, op) for op in rng.sample(["read", "pay"], rng.randint(1, 2))]
    return {resource.name: resource for resource in made}


def random_cluster(rng, operation):
    cluster = Cluster(name=f"0.1/{operation}")
    cluster.eds_cluster_config.service_name = rng.choice(["0.1", "0.2"])
    return cluster


def random_listener(rng, operation):
    manager = HttpConnectionManager()
    manager.rds.route_config_name = operation
    listener = Listener(name=operation)
    listener.api_listener.api_listener.Pack(manager)
    return listener


def random_route(rng, operation):
    configuration = RouteConfiguration(name=operation)
    action = configuration.virtual_hosts.add().routes.add().route
    action.cluster = f"0.1/{operation}"
    if rng.random() < 0.5:
        action.retry_policy.retry_on = rng.choice(["refused-stream,connect-failure", "5xx"])
        action.retry_policy.num_retries.value = 2
        action.retry_policy.per_try_timeout.FromMilliseconds(300)
    if rng.random() < 0.5:
        action.timeout.FromMilliseconds(1500)
    return configuration


def random_assignments(rng, uses_collections):
    assignments = {}
    for name in rng.sample(["0.1", "0.2", names.WITHDRAWN], 2):
        assignment = assignments[name] = ClusterLoadAssignment(cluster_name=name)
        locality = assignment.endpoints.add()
        if uses_collections and name != names.WITHDRAWN:
            locality.leds_cluster_locality_config.leds_collection_name = names.collection(name, "z")
        for endpoint in rng.sample(ENDPOINTS, rng.randint(1, 4)):
            entry = locality.lb_endpoints.add()
            set_address(entry, endpoint)
            entry.load_balancing_weight.value = rng.randint(1, 9)
            if rng.random() < 0.2:
                entry.health_status = DRAINING
        if rng.random() < 0.3:
            assignment.policy.drop_overloads.add(category="level").drop_percentage.numerator = 250_000
    return assignments


def random_collection_entries(rng):
    entries = {}
    for endpoint in rng.sample(ENDPOINTS, 4):
        entry = LbEndpoint()
        set_address(entry, endpoint)
        entry.load_balancing_weight.value = rng.randint(1, 9)
        entries[names.entry_name(rng.choice(["0.1", "0.2"]), "z", endpoint)] = entry
    return entries


@pytest.mark.parametrize("delta, uses_collections", [(True, True), (True, False), (False, False)])
def test_xds_requests_and_tables_equal_the_recording(delta, uses_collections):
    digest, rng = Digest(), random.Random(9)

    def validate(resource_type, name, message):
        return "bad" if rng.random() < 0.1 else None

    client = XdsClient("gw", "z", 2.5, delta, uses_collections, validate)
    client.static_endpoints = {"10.9.9.9:1": 1}

    def record_requests(requests):
        request_type = DeltaDiscoveryRequest if delta else DiscoveryRequest
        digest.add(
            [request_type.FromString(request).SerializeToString(deterministic=True) for request in requests]
        )

    for stream in range(6):
        record_requests(client.open_stream(fresh=rng.random() < 0.5))
        for sequence_number in range(1, 60):
            resource_type = rng.choice(
                [resource_type for resource_type in names.ORDER if delta or resource_type != names.LEDS]
            )
            sent_resources = random_resources(rng, resource_type, uses_collections)
            nonce = f"{stream if rng.random() < 0.95 else 99}-{sequence_number - rng.choice([0, 0, 0, 0, 5])}"
            if delta:
                response = DeltaDiscoveryResponse(type_url=resource_type, nonce=nonce)
                for name, message in sent_resources.items():
                    entry = Resource(name=name, version=str(sequence_number))
                    entry.resource.Pack(message)
                    response.resources.append(entry)
                if rng.random() < 0.2:
                    response.removed_resources.append(rng.choice(["0.1", "0.2", "read"]))
            else:
                response = DiscoveryResponse(
                    type_url=resource_type, nonce=nonce, version_info=str(sequence_number)
                )
                for message in sent_resources.values():
                    response.resources.add().Pack(message)
            if rng.random() < 0.02:
                corrupt = response.resources[0].resource if delta else response.resources[0]
                corrupt.value = b"\xff\xff"
            record_requests(client.receive(response.SerializeToString()))
            for operation in ("read", "pay", "none"):
                table = client.table(operation)
                digest.add(table and astuple(table))
                if table is not None:
                    for endpoint in table.weights:
                        client.record_attempt(table.cluster, endpoint, rng.random() < 0.8, rng.random())
                    client.record_drop(table.cluster)
            digest.add(sorted(client.withdrawn_endpoints()), client.ignored, client.applied)
        report = LoadStatsRequest.FromString(client.build_load_report(1.25, first=stream == 0))
        digest.add(report.SerializeToString(deterministic=True))
    assert repr(digest) == XDS[delta, uses_collections]


REQUEST = [(b":method", b"POST"), (b":scheme", b"http"), (b":path", b"/svc/read"), (b":authority", b"x"),
           (b"content-type", b"application/grpc"), (b"grpc-timeout", b"900m"), (b"te", b"trailers"),
           (b"Keep-Alive", b"5")]  # fmt: skip
RESPONSE = [(b":status", b"200"), (b"content-type", b"application/grpc")]


def exchange_frames(digest, client, server, seed):
    """Messages both ways in pieces; what each side wrote, and the text of its events without class names."""
    rng = random.Random(seed)

    def events_of(events):
        return [tuple(getattr(event, slot) for slot in event.__dataclass_fields__) for event in events]

    received = []
    for _ in range(60):
        headers = [field for field in REQUEST if field[0] != b"Keep-Alive"]
        body = rng.randbytes(rng.choice([0, 3, 500, 30_000]))
        try:
            if client.available_streams:
                digest.add("send", client.send(HttpMessage(0, headers, body, [])), client.available_streams)
        except HttpFramingError as error:
            digest.add("broken", str(error))
        for writer, reader, is_server in ((client, server, True), (server, client, False)):
            data = writer.data_to_send()
            digest.add(data)
            size = rng.choice([1000, 7000, 100_000])
            for start in range(0, len(data), size):
                try:
                    events = reader.receive_data(data[start : start + size])
                except HttpFramingError as error:
                    digest.add("broken", str(error))
                    return
                digest.add(events_of(events), reader.closing)
                received += [event for event in events if is_server and isinstance(event, HttpMessage)]
            if is_server and received and rng.random() < 0.8:
                request_stream = received.pop(0).stream_id
                action = rng.random()
                if isinstance(server, Http2Connection) and action < 0.2:
                    server.reset_stream(request_stream, 7)
                else:
                    body = rng.randbytes(rng.choice([0, 10, 9000]))
                    trailers = [(b"grpc-status", b"0")] if isinstance(server, Http2Connection) else []
                    server.send(HttpMessage(request_stream, RESPONSE, body, trailers))
                if isinstance(server, Http1Connection):
                    received += [e for e in server.next_events() if isinstance(e, HttpMessage)]
                elif action > 0.9:
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
        exchange_frames(digest, client, server, seed)
    assert repr(digest) == FRAMES[make.__name__]


def test_forwarded_requests_and_local_responses_equal_the_recording():
    digest = Digest()
    for is_grpc, remaining_ns in itertools.product((True, False), (1, 10**6, 7 * S)):
        built = response_headers.forwarded_request(
            HttpMessage(3, REQUEST, b"body", [(b"x", b"y")]), is_grpc, remaining_ns
        )
        digest.add(built.stream_id, built.headers, built.body, built.trailers)
    for is_grpc in (True, False):
        for result in list(RequestResult)[1:-1]:  # in the order of the recording
            built = response_headers.local_response(result, is_grpc)
            digest.add(built.stream_id, built.headers, built.body, built.trailers)
    for path in (b"/", b"/a/b%20c?d", b"", b"/x/"):
        for timeout in (b"1H", b"2M", b"3S", b"4m", b"5u", b"6n", b"7x", b"", b"123456789S"):
            parsed = response_headers.parse_request(
                HttpMessage(0, [(b":path", path), (b"grpc-timeout", timeout)])
            )
            digest.add(parsed.operation, parsed.grpc, parsed.timeout_ns)
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
