"""Load reports (LRS) read into sums, without I/O.

    report, node = decode(data, operations)
    data = encode_response(interval_ns)

Source: envoy/config/endpoint/v3/load_report.proto. A client reports by cluster and locality. Tables are laid
out so that a cluster is one operation and a locality one server, so both sums come from any client; one that
reports by endpoint is read by endpoint. The metric `swiftchute.took_ms` carries the time of good answers, if
a client tells it.
"""

from envoy.config.core.v3.address_pb2 import Address
from envoy.config.core.v3.base_pb2 import Node
from envoy.service.load_stats.v3.lrs_pb2 import LoadStatsRequest, LoadStatsResponse
from google.protobuf.message import DecodeError

from swiftchute.controller.load_aggregation import DemandEntry, EndpointEntry, LoadReport
from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.names import operation_of

MS, S = 1_000_000, 1_000_000_000
LATENCY_METRIC = "swiftchute.took_ms"
SPAN_MOST = 3600 * S  # a report's span is a client's word: longer ones are cut
COUNT_MOST = 10**9  # and so are its counts


def encode_response(interval_ns: int) -> bytes:
    """The response that asks a client for all clusters, every `interval_ns`, by endpoint where it can."""
    made = LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    made.load_reporting_interval.FromNanoseconds(interval_ns)
    return made.SerializeToString()


def _server(address: Address) -> str:
    at = address.socket_address
    return f"{at.address}:{at.port_value}"


def decode(data: bytes, operations: frozenset[str]) -> tuple[LoadReport, Node]:
    """Bytes of a report. Clusters of operations that are not served are passed over."""
    try:
        message = LoadStatsRequest.FromString(data)
    except DecodeError:
        raise ProtocolViolationError(
            "INVALID_ARGUMENT", f"{len(data)} bytes that are no LoadStatsRequest"
        ) from None
    arrived: dict[str, tuple[int, int]] = {}
    met: dict[str, tuple[int, int, int, int]] = {}
    span = 0
    for cluster in message.cluster_stats:
        operation = operation_of(cluster.cluster_name)
        if operation not in operations:
            continue
        span = max(span, min(cluster.load_report_interval.ToNanoseconds(), SPAN_MOST))
        invs, errored = min(cluster.total_dropped_requests, COUNT_MOST), 0
        for locality in cluster.upstream_locality_stats:
            rows = [(_server(e.address), e) for e in locality.upstream_endpoint_stats]
            for server, row in rows or [(locality.locality.sub_zone, locality)]:
                good, bad = (
                    min(n, COUNT_MOST) for n in (row.total_successful_requests, row.total_error_requests)
                )
                invs += min(max(row.total_issued_requests, 0), COUNT_MOST) or good + bad
                errored += bad
                timed = [m for m in row.load_metric_stats if m.metric_name == LATENCY_METRIC]
                count = sum(min(m.num_requests_finished_with_metric, COUNT_MOST) for m in timed)
                took = sum(int(min(max(m.total_metric_value, 0), 1e12) * MS) for m in timed)
                old = met.get(server, (0, 0, 0, 0))
                if server and good + bad:
                    met[server] = (old[0] + good + bad, old[1] + bad, old[2] + took, old[3] + count)
        if invs:
            old_invs, old_errored = arrived.get(operation, (0, 0))
            arrived[operation] = (old_invs + invs, old_errored + errored)
    return LoadReport(
        max(span, 0),
        tuple(DemandEntry(op, *row) for op, row in arrived.items()),
        tuple(EndpointEntry(server, *row) for server, row in met.items()),
    ), message.node
