"""Invariant 4: no warming endpoint is overloaded."""

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Iterator
from typing import NamedTuple

from swiftchute.drill.evidence import EvidenceIndex, Verdict
from swiftchute.fakes.backend import BackendEvent, Receipt

NS_PER_S = 1_000_000_000
INFORMED_SHARE = 2 / 3  # of the work; below it the overload is nobody's fault

TimesByClient = dict[str, list[int]]


class _Start(NamedTuple):
    """A start of an endpoint that the list told of."""

    endpoint: str
    started_ns: int
    published_ns: int


def check_overload(index: EvidenceIndex) -> Verdict:
    """4: a warming endpoint's load within the window stays under a multiple of its capacity at the time.

    By the wire protocol's definition, a violation needs two thirds of the work to come through informed
    proxies: those that received a response after the start was known, or whose instance had known it for
    the drain grace.
    """
    multiple = index.settings.overload_multiple
    verdict = Verdict("no cold server pushed over", 0.0, multiple, "times what it can do", "")
    response_times = _response_times(index)
    receipts = _receipts_by_endpoint(index)
    starts = [start for endpoint in sorted(receipts) for start in _starts(index, endpoint)]
    for start in starts:
        for receipt, overload in _loads(index, start, receipts[start.endpoint], response_times):
            verdict.observe(overload)
            if overload > multiple or receipt.event is BackendEvent.CRASHED:
                what = "crashed: it got" if receipt.event is BackendEvent.CRASHED else "got"
                verdict.add_violation(
                    f"{start.endpoint} {what} {overload:.2f} times the work of its capacity"
                    f" {(receipt.time_ns - start.started_ns) / NS_PER_S:.1f} s after its start"
                )
    count = sum(map(len, receipts.values()))
    verdict.looked_at = f"{len(starts)} starts with a warm-up, {count} receipts"
    return verdict


def _response_times(index: EvidenceIndex) -> TimesByClient:
    """Return when each proxy or DNS client received something, in order."""
    times: TimesByClient = defaultdict(list)
    for r in sorted(index.evidence.responses, key=lambda r: r.time_ns):
        times[r.gateway].append(r.time_ns)
    for client, answers in index.evidence.dns_answers.items():
        times[client] = [at for at, _, _ in answers]
    return times


def _receipts_by_endpoint(index: EvidenceIndex) -> dict[str, list[Receipt]]:
    """Return the arrivals and crashes of each endpoint, in order of time."""
    receipts: dict[str, list[Receipt]] = defaultdict(list)
    for receipt in sorted(index.evidence.receipts, key=lambda receipt: receipt.time_ns):
        if receipt.event in (BackendEvent.ARRIVED, BackendEvent.CRASHED):
            receipts[receipt.endpoint].append(receipt)
    return receipts


def _starts(index: EvidenceIndex, endpoint: str) -> Iterator[_Start]:
    observations = index.observations[endpoint]
    for started_ns in sorted({o.started_ns for o in observations if o.started_ns}):
        published_ns = next(o.time_ns for o in observations if o.started_ns == started_ns)
        yield _Start(endpoint, started_ns, published_ns)


def _loads(
    index: EvidenceIndex, start: _Start, receipts: list[Receipt], response_times: TimesByClient
) -> Iterator[tuple[Receipt, float]]:
    """Yield each receipt of the warm-up with the load of the window that ends with it, over the capacity."""
    settings = index.settings
    span_ns, warmup_ns = settings.overload_window_ns, settings.max_warmup_ns
    window: deque[Receipt] = deque()
    for receipt in receipts:
        age_ns = receipt.time_ns - start.started_ns
        if not 0 <= age_ns <= warmup_ns:
            continue
        window.append(receipt)
        while window[0].time_ns < receipt.time_ns - span_ns:
            window.popleft()
        at_start = settings.start_capacity_fraction
        fraction = at_start + (1 - at_start) * age_ns / warmup_ns
        work = sum(w.work_s for w in window)
        informed = [w for w in window if _is_informed(index, w, start.published_ns, response_times)]
        if sum(w.work_s for w in informed) >= work * INFORMED_SHARE:
            capacity = fraction * index.evidence.capacity[start.endpoint] * span_ns / NS_PER_S
            yield receipt, work / capacity


def _is_informed(
    index: EvidenceIndex, receipt: Receipt, published_ns: int, response_times: TimesByClient
) -> bool:
    """Return whether the sender of a request had to know of a start that was published at a time."""
    connection = index.connection_at(receipt.gateway, receipt.time_ns)
    known_ns = index.earliest_notice(connection.instance, published_ns) if connection else published_ns
    times = response_times[receipt.gateway]
    last = bisect_right(times, receipt.time_ns) - 1
    received_since = last >= 0 and times[last] > known_ns
    return received_since or receipt.time_ns - known_ns > index.settings.drain_grace_ns
