"""Decodes load reports (LRS) into totals by operation and by endpoint, without I/O.

    report, node = decode(data, operations)
    data = encode_response(interval_ns)

Source: envoy/config/endpoint/v3/load_report.proto. A client reports by cluster and locality. A cluster is one
operation and a locality one endpoint, so both totals come from any client; rows by endpoint are used instead
where a client sends them. The metric `swiftchute.took_ms` carries the latency of successful requests,
if the client sends it.
"""

from envoy.config.core.v3.address_pb2 import Address
from envoy.config.core.v3.base_pb2 import Node
from envoy.service.load_stats.v3.lrs_pb2 import LoadStatsRequest, LoadStatsResponse
from google.protobuf.message import DecodeError

from swiftchute.controller.load_aggregation import DemandEntry, EndpointEntry, LoadReport
from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.names import operation_of

NS_PER_MS, NS_PER_S = 1_000_000, 1_000_000_000
LATENCY_METRIC = "swiftchute.took_ms"
MAX_INTERVAL_NS = 3600 * NS_PER_S  # the client states the interval itself: longer ones are capped
MAX_COUNT = 10**9  # the same for its counts


def encode_response(interval_ns: int) -> bytes:
    """Ask a client for reports of all clusters at this interval, by endpoint if it supports that."""
    response = LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    response.load_reporting_interval.FromNanoseconds(interval_ns)
    return response.SerializeToString()


def _endpoint(address: Address) -> str:
    location = address.socket_address
    return f"{location.address}:{location.port_value}"


def decode(data: bytes, operations: frozenset[str]) -> tuple[LoadReport, Node]:
    """Decode a report; clusters of operations that are not served are ignored.

    Raises:
        ProtocolViolationError: The bytes are not a LoadStatsRequest.
    """
    try:
        message = LoadStatsRequest.FromString(data)
    except DecodeError:
        raise ProtocolViolationError(
            "INVALID_ARGUMENT", f"cannot decode {len(data)} bytes as LoadStatsRequest"
        ) from None
    demand: dict[str, tuple[int, int]] = {}
    totals: dict[str, tuple[int, int, int, int]] = {}
    interval_ns = 0
    for cluster in message.cluster_stats:
        operation = operation_of(cluster.cluster_name)
        if operation not in operations:
            continue
        interval_ns = max(interval_ns, min(cluster.load_report_interval.ToNanoseconds(), MAX_INTERVAL_NS))
        requests, failures = min(cluster.total_dropped_requests, MAX_COUNT), 0
        for locality in cluster.upstream_locality_stats:
            rows = [(_endpoint(e.address), e) for e in locality.upstream_endpoint_stats]
            for endpoint, row in rows or [(locality.locality.sub_zone, locality)]:
                succeeded, failed = (
                    min(n, MAX_COUNT) for n in (row.total_successful_requests, row.total_error_requests)
                )
                requests += min(max(row.total_issued_requests, 0), MAX_COUNT) or succeeded + failed
                failures += failed
                timed = [m for m in row.load_metric_stats if m.metric_name == LATENCY_METRIC]
                count = sum(min(m.num_requests_finished_with_metric, MAX_COUNT) for m in timed)
                latency_ns = sum(int(min(max(m.total_metric_value, 0), 1e12) * NS_PER_MS) for m in timed)
                old = totals.get(endpoint, (0, 0, 0, 0))
                if endpoint and succeeded + failed:
                    totals[endpoint] = (
                        old[0] + succeeded + failed,
                        old[1] + failed,
                        old[2] + latency_ns,
                        old[3] + count,
                    )
        if requests:
            old_requests, old_failures = demand.get(operation, (0, 0))
            demand[operation] = (old_requests + requests, old_failures + failures)
    return LoadReport(
        max(interval_ns, 0),
        tuple(DemandEntry(op, *row) for op, row in demand.items()),
        tuple(EndpointEntry(endpoint, *row) for endpoint, row in totals.items()),
    ), message.node
