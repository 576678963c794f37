"""Invariant 1: nobody is left without a server."""

from collections.abc import Iterator

from swiftchute.drill.evidence import Connection, EvidenceIndex, Verdict
from swiftchute.fakes.traffic_record import ReceivedResponse
from swiftchute.proxy.xds_client import XdsClient

NS_PER_S = 1_000_000_000

WarmTimeline = list[tuple[int, bool]]  # times, and whether a warm endpoint is listed from each until the next


def check_no_endpoint(index: EvidenceIndex) -> Verdict:
    """1: no connected proxy lacks an endpoint for an operation while a warm endpoint is listed."""
    evidence = index.evidence
    verdict = Verdict(
        "nobody left without a server",
        0.0,
        index.settings.max_no_endpoint_ns / NS_PER_S,
        "s",
        f"{len(evidence.gateways)} gateways, {len(evidence.responses)} responses",
    )
    warm_timeline = _warm_endpoint_timeline(index)
    for client, responses in index.clients_to_replay():
        for operation, since, until in _spans_without_endpoint(index, client, responses):
            took = _longest_with_warm_endpoint(since, until, warm_timeline) / NS_PER_S
            verdict.observe(took)
            if took > verdict.limit:
                verdict.add_violation(f"{client.node} had no endpoint for {operation} for {took:.2f} s")
    _check_dns_answers(index, verdict, warm_timeline)
    return verdict


def _spans_without_endpoint(
    index: EvidenceIndex, client: XdsClient, responses: list[ReceivedResponse]
) -> Iterator[tuple[str, int, int]]:
    """Yield each operation, begin and end of a span in which the connected client had no endpoint for it."""
    spans = index.connections[client.node]
    empty_since: dict[str, int | None] = {}
    stream = 0
    marks = [(r.time_ns, r) for r in responses] + [(at, None) for span in spans for at in span[:2]]
    for at, response in sorted(marks, key=lambda m: m[0]) + [(index.evidence.end, None)]:
        if response is not None:
            if response.stream != stream:
                stream = response.stream
                client.open_stream(True)
            client.receive(response.data)
        connection = index.connection_at(client.node, at)
        for op in index.settings.operations:
            began = empty_since.get(op.name)
            if began is not None:
                # The span also ends with its stream: the invariant binds connected proxies only.
                ends = [span.until_ns for span in spans if span.from_ns <= began < span.until_ns]
                yield op.name, began, min([at, *ends])
            empty_since[op.name] = _begin_of_span(client, op.name, connection, began, at)


def _begin_of_span(
    client: XdsClient, operation: str, connection: Connection | None, began: int | None, at: int
) -> int | None:
    """Return since when the connected client has had no endpoint, None if it has one or is not connected."""
    table = client.table(operation)
    if connection is None or (table is not None and table.weights):
        return None
    return began if began is not None and began >= connection.from_ns else at


def _check_dns_answers(index: EvidenceIndex, verdict: Verdict, warm_timeline: WarmTimeline) -> None:
    """Check DNS clients: they lack an endpoint from an answer without records to the next with some."""
    at_end = [(index.evidence.end, op.name, True) for op in index.settings.operations]
    for client, rows in index.evidence.dns_answers.items():
        empty_since: dict[str, int] = {}
        for at, op, has_records in [*rows, *at_end]:
            began = empty_since.pop(op, None)
            if began is not None:
                took = _longest_with_warm_endpoint(began, at, warm_timeline) / NS_PER_S
                verdict.observe(took)
                if took > verdict.limit:
                    verdict.add_violation(f"{client} had no DNS records for {op} for {took:.2f} s")
            if not has_records:
                empty_since[op] = began if began is not None else at


def _warm_endpoint_timeline(index: EvidenceIndex) -> WarmTimeline:
    """Return times, and whether a ready and warm endpoint was listed from each of them until the next."""
    observations, max_warmup_ns = index.evidence.observations, index.settings.max_warmup_ns
    times = {o.time_ns for o in observations}
    times |= {o.started_ns + max_warmup_ns for o in observations if o.started_ns}
    return [(at, _is_any_warm(index, at)) for at in sorted(times)]


def _is_any_warm(index: EvidenceIndex, at: int) -> bool:
    max_warmup_ns = index.settings.max_warmup_ns
    rows_by_endpoint = index.observations.items()
    current = [
        rows[index.observation_index(endpoint, at)]
        for endpoint, rows in rows_by_endpoint
        if rows[0].time_ns <= at
    ]
    # without a start time the endpoint has no warm-up
    return any(
        o.state == "ready" and at >= o.started_ns + max_warmup_ns * bool(o.started_ns) for o in current
    )


def _longest_with_warm_endpoint(since: int, until: int, warm_timeline: WarmTimeline) -> int:
    """Return the longest part of a span during which a warm endpoint was listed throughout."""
    longest, at = 0, since
    for start, any_warm in [*warm_timeline, (until, False)]:
        if start <= since:
            at = since if any_warm else until
            continue
        stop = min(start, until)
        longest = max(longest, stop - at)
        at = stop if any_warm else until
    return max(longest, 0)
