"""Sums from load reports (LRS), without I/O: what proxies met at each server, what arrived at each proxy.

    report, node = decode(data, operations)
    sums.add(proxy, zone, report, now)
    calls = sums.take(now)      # `met` and `arrived` for the module, `lines` a second, the oldest first

Source: envoy/config/endpoint/v3/load_report.proto. A client reports by cluster and locality. Tables are laid
out so
that a cluster is one operation and a locality one server, so both sums come from any client; one that
reports by
endpoint is read by endpoint. The metric `swiftchute.took_ms` carries the time of good answers, if a client
gives it.
"""

from collections import OrderedDict
from dataclasses import dataclass

from envoy.config.core.v3.base_pb2 import Node
from envoy.service.load_stats.v3.lrs_pb2 import LoadStatsRequest, LoadStatsResponse
from google.protobuf.message import DecodeError

from swiftchute.interface import Call
from swiftchute.xds.messages import Violation
from swiftchute.xds.names import operation_of

MS, S = 1_000_000, 1_000_000_000
TOOK = "swiftchute.took_ms"
KEYS_MOST = 100_000  # sums that may wait; past it the newest keys are dropped and counted
SPAN_MOST = 3600 * S  # a report's span is a client's word: longer ones are cut
COUNT_MOST = 10**9  # and so are its counts


@dataclass(frozen=True)
class Report:
    """What one report says: rows (operation, invs, errored) and rows (server, tries, errored, took
    sum, timed)."""

    span: int
    arrived: tuple[tuple[str, int, int], ...]
    met: tuple[tuple[str, int, int, int, int], ...]
    dropped: int


def answer(period: int) -> bytes:
    """The response that asks a client for all clusters, every `period` ns, by endpoint where it can."""
    made = LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    made.load_reporting_interval.FromNanoseconds(period)
    return made.SerializeToString()


def _server(address) -> str:  # noqa: ANN001
    at = address.socket_address
    return f"{at.address}:{at.port_value}"


def decode(data: bytes, operations: frozenset[str]) -> tuple[Report, Node]:
    """Bytes of a report. Clusters of operations that are not served are passed over."""
    try:
        message = LoadStatsRequest.FromString(data)
    except DecodeError:
        raise Violation("INVALID_ARGUMENT", f"{len(data)} bytes that are no LoadStatsRequest") from None
    arrived: dict[str, tuple[int, int]] = {}
    met: dict[str, tuple[int, int, int, int]] = {}
    span = dropped = 0
    for cluster in message.cluster_stats:
        operation = operation_of(cluster.cluster_name)
        if operation not in operations:
            continue
        span = max(span, min(cluster.load_report_interval.ToNanoseconds(), SPAN_MOST))
        invs, errored = min(cluster.total_dropped_requests, COUNT_MOST), 0
        dropped += invs
        for locality in cluster.upstream_locality_stats:
            rows = [(_server(e.address), e) for e in locality.upstream_endpoint_stats]
            for server, row in rows or [(locality.locality.sub_zone, locality)]:
                good, bad = (
                    min(n, COUNT_MOST) for n in (row.total_successful_requests, row.total_error_requests)
                )
                invs += min(max(row.total_issued_requests, 0), COUNT_MOST) or good + bad
                errored += bad
                timed = [m for m in row.load_metric_stats if m.metric_name == TOOK]
                count = sum(min(m.num_requests_finished_with_metric, COUNT_MOST) for m in timed)
                took = sum(int(min(max(m.total_metric_value, 0), 1e12) * MS) for m in timed)
                old = met.get(server, (0, 0, 0, 0))
                if server and good + bad:
                    met[server] = (old[0] + good + bad, old[1] + bad, old[2] + took, old[3] + count)
        if invs:
            old_invs, old_errored = arrived.get(operation, (0, 0))
            arrived[operation] = (old_invs + invs, old_errored + errored)
    return Report(
        max(span, 0),
        tuple((op, *row) for op, row in arrived.items()),
        tuple((server, *row) for server, row in met.items()),
        dropped,
    ), message.node


class Sums:
    """Sums that wait to be told, in the order in which they began; `lines` a second may be told."""

    def __init__(self, lines: float, period: int) -> None:
        """Nothing waits."""
        self.lines, self.period = lines, period
        self.waiting: OrderedDict[tuple, list[int]] = OrderedDict()  # key -> began, a, b, c, d
        self.room, self.refilled = lines, 0
        self.lost = 0
        self.next = 0

    def add(self, proxy, zone: str, report: Report, now: int) -> None:  # noqa: ANN001
        """Add a proxy's report: it concerns its own arrivals and its zone's servers."""
        for operation, invs, errored in report.arrived:
            self._add(("arrived", proxy, operation), (invs, errored, 0, 0), now - report.span)
        for server, *row in report.met:
            self._add(("met", zone, server), tuple(row), now - report.span)

    def _add(self, key: tuple, row: tuple[int, ...], began: int) -> None:
        held = self.waiting.get(key)
        if held is None:
            if len(self.waiting) >= KEYS_MOST:
                self.lost += 1
                return
            held = self.waiting[key] = [began, 0, 0, 0, 0]
        held[0] = min(held[0], began)
        for place, value in enumerate(row, 1):
            held[place] += value

    def left(self, proxy) -> None:  # noqa: ANN001
        """What arrived at a proxy that left is told to nobody."""
        for key in [k for k in self.waiting if k[0] == "arrived" and k[1] == proxy]:
            del self.waiting[key]

    def take(self, now: int) -> list[Call]:
        """What may be told now, once a period; the rest adds up and follows."""
        if now < self.next:
            return []
        self.next = now + self.period
        self.room = min(
            self.lines * max(self.period, S) / S, self.room + self.lines * (now - self.refilled) / S
        )
        self.refilled = now
        calls: list[Call] = []
        usual = self._usual()
        while self.waiting and self.room >= 1:
            self.room -= 1
            (name, *who), (began, a, b, c, d) = self.waiting.popitem(last=False)
            span = max(now - began, 1)
            if name == "arrived":
                calls.append(("arrived", (*who, a, b, span)))
            else:
                # a client that gives no times counts as the others' mean: 0 would look infinitely fast
                took = c // d if d else usual
                calls.append(("met", (*who, a, b, max(took, 1) if a > b else 0, span, None)))
        return calls

    def _usual(self) -> int:
        rows = [row for key, row in self.waiting.items() if key[0] == "met"]
        timed = sum(row[4] for row in rows)
        return sum(row[3] for row in rows) // timed if timed else 1

    @property
    def due(self) -> int | None:
        """When the next sums may be told, if any wait."""
        return self.next if self.waiting else None
