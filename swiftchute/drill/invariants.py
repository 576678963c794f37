"""The five invariants of a drill, checked against what was recorded at the sockets and by the backends.

`judge(evidence)` returns one `Verdict` for each. Nothing is read from an instance: the tables that proxies
held follow from replaying the responses that their sockets received, their behaviour from the attempts that
they sent, and what took effect from the backends' receipts. Times are monotonic nanoseconds of one machine,
and all figures are of fakes on that machine.
"""

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from envoy.service.discovery.v3.discovery_pb2 import DeltaDiscoveryResponse, DiscoveryResponse

from swiftchute.api.settings import Settings
from swiftchute.fakes.backend import BackendEvent, Receipt
from swiftchute.fakes.traffic_record import AttemptRecord, ReceivedResponse, StreamEvent
from swiftchute.proxy.xds_client import XdsClient

NS_PER_S = 1_000_000_000


@dataclass(frozen=True)
class Observation:
    """What the published list said of an endpoint from `time_ns` on.

    `started_ns` is by the clock of the instances; 0: the endpoint started long ago and is warm.
    """

    time_ns: int
    endpoint: str
    zone: str
    state: str
    started_ns: int = 0


@dataclass
class Evidence:
    """All that was recorded while a scenario was played.

    `unavailable_spans` holds, by instance, the spans in which it could not be notified of anything.
    """

    settings: Settings
    observations: list[Observation]
    responses: list[ReceivedResponse]
    attempts: list[AttemptRecord]
    stream_events: list[StreamEvent]
    receipts: list[Receipt]
    gateways: dict[
        str, tuple[str, float, bool, bool, dict[str, int]]
    ]  # zone, request rate, delta, endpoint collections, static endpoints
    capacity: dict[str, float]  # by endpoint, when warm: seconds of work that it does per second
    unavailable_spans: dict[str, list[tuple[int, int]]] = field(default_factory=dict)
    end: int = 0
    instances: dict[str, str] = field(default_factory=dict)  # by dialed address: the instance behind it
    # DNS clients: time, operation and whether the answer had records, for each time that a client switched to
    # another answer. Their attempts are in the lists above. No invariant binds `overstaying_clients`, whose
    # resolver keeps answers past their time to live.
    dns_answers: dict[str, list[tuple[int, str, bool]]] = field(default_factory=dict)
    overstaying_clients: frozenset[str] = frozenset()


@dataclass
class Verdict:
    """The result for one invariant: the figure closest to its limit, what was checked, and the violations."""

    rule: str
    figure: float
    limit: float
    unit: str
    looked_at: str
    broken: list[str] = field(default_factory=list)

    @property
    def line(self) -> str:
        """One line for the report as text."""
        state = "BROKEN" if self.broken else "kept"
        first = f"; first: {self.broken[0]}" if self.broken else ""
        return (
            f"{self.rule:34} {state:6} nearest {self.figure:.2f} of {self.limit:.2f} {self.unit}"
            f" ({self.looked_at}){first}"
        )


def judge(evidence: Evidence) -> list[Verdict]:
    """Check all five invariants, in the order of their numbers."""
    checker = _InvariantChecker(evidence)
    return [
        checker.check_no_endpoint(),
        checker.check_duplicates(),
        checker.check_drains(),
        checker.check_overload(),
        checker.check_egress(),
    ]


class _InvariantChecker:
    def __init__(self, evidence: Evidence) -> None:
        self.evidence, self.settings = evidence, evidence.settings
        self.connections: dict[str, list[tuple[int, int, str]]] = defaultdict(
            list
        )  # by gateway: from, to, instance
        opened: dict[tuple[str, int], StreamEvent] = {}
        for s in sorted(evidence.stream_events, key=lambda s: s.time_ns):
            if s.opened:
                opened[s.gateway, s.stream] = s
            elif (s.gateway, s.stream) in opened:
                start = opened.pop((s.gateway, s.stream))
                self.connections[s.gateway].append((start.time_ns, s.time_ns, self.instance(s.server)))
        for (gateway, _), s in opened.items():
            self.connections[gateway].append((s.time_ns, evidence.end, self.instance(s.server)))
        for spans in self.connections.values():
            spans.sort()
        self.observations: dict[str, list[Observation]] = defaultdict(list)
        for o in sorted(evidence.observations, key=lambda o: o.time_ns):
            self.observations[o.endpoint].append(o)

    def instance(self, address: str) -> str:
        return self.evidence.instances.get(address, address)

    def connection_at(self, gateway: str, at: int) -> tuple[int, int, str] | None:
        """Return the connection of a gateway that was open at a time."""
        spans = self.connections.get(gateway, [])
        index = bisect_right(spans, (at, 2**63, "")) - 1
        return spans[index] if index >= 0 and spans[index][1] > at else None

    def earliest_notice(self, instance: str, at: int) -> int:
        """Return when an instance could first know what was published at a time.

        That is later than the time if the instance was stalled or down then.
        """
        for start, end in sorted(self.evidence.unavailable_spans.get(instance, [])):
            if start <= at < end:
                at = end
        return at

    def clients_to_replay(self) -> Iterator[tuple[XdsClient, list[ReceivedResponse]]]:
        """Yield a new client for each gateway, with the gateway's responses in order of receipt."""
        by_gateway: dict[str, list[ReceivedResponse]] = defaultdict(list)
        for response in self.evidence.responses:
            by_gateway[response.gateway].append(response)
        for gateway, (zone, rate, delta, collections, static) in sorted(self.evidence.gateways.items()):
            client = XdsClient(gateway, zone, rate, delta, collections)
            client.static_endpoints = dict(static)
            yield client, sorted(by_gateway[gateway], key=lambda r: r.time_ns)

    # -- invariant 1

    def _warm_endpoint_timeline(self) -> list[tuple[int, bool]]:
        """Return times, and whether a ready and warm endpoint was listed from each of them until the next."""
        points = sorted(
            {o.time_ns for o in self.evidence.observations}
            | {o.started_ns + self.settings.max_warmup_ns for o in self.evidence.observations if o.started_ns}
        )
        changes = []
        for at in points:
            current = [
                rows[bisect_right([o.time_ns for o in rows], at) - 1]
                for rows in self.observations.values()
                if rows[0].time_ns <= at
            ]
            changes.append(
                (
                    at,
                    any(
                        o.state == "ready"
                        # without a start time the endpoint has no warm-up
                        and at >= o.started_ns + self.settings.max_warmup_ns * bool(o.started_ns)
                        for o in current
                    ),
                )
            )
        return changes

    def _longest_with_warm_endpoint(
        self, since: int, until: int, warm_timeline: list[tuple[int, bool]]
    ) -> int:
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

    def check_no_endpoint(self) -> Verdict:
        """1: no connected proxy lacks an endpoint for an operation while a warm endpoint is listed."""
        verdict = Verdict(
            "nobody left without a server",
            0.0,
            self.settings.max_no_endpoint_ns / NS_PER_S,
            "s",
            f"{len(self.evidence.gateways)} gateways, {len(self.evidence.responses)} responses",
        )
        warm_timeline = self._warm_endpoint_timeline()
        for client, responses in self.clients_to_replay():
            spans = self.connections[client.node]
            empty_since: dict[str, int | None] = {}
            stream = 0
            marks = [(r.time_ns, r) for r in responses] + [(t, None) for a, b, _ in spans for t in (a, b)]
            for at, response in sorted(marks, key=lambda m: m[0]) + [(self.evidence.end, None)]:
                if response is not None:
                    if response.stream != stream:
                        stream = response.stream
                        client.open_stream(True)
                    client.receive(response.data)
                connection = self.connection_at(client.node, at)
                for op in self.settings.operations:
                    table = client.table(op.name)
                    empty = connection is not None and (table is None or not table.weights)
                    began = empty_since.get(op.name)
                    if began is not None:
                        # The span also ends with its stream: the invariant binds connected proxies only.
                        stop = min([at, *(b for a, b, _ in spans if a <= began < b)])
                        took = self._longest_with_warm_endpoint(began, stop, warm_timeline) / NS_PER_S
                        verdict.figure = max(verdict.figure, took)
                        if took > verdict.limit and len(verdict.broken) < 20:
                            verdict.broken.append(
                                f"{client.node} had no endpoint for {op.name} for {took:.2f} s"
                            )
                    empty_since[op.name] = (
                        (began if began is not None and connection and began >= connection[0] else at)
                        if empty
                        else None
                    )
        self._check_dns_answers(verdict, warm_timeline)
        return verdict

    def _check_dns_answers(self, verdict: Verdict, warm_timeline: list[tuple[int, bool]]) -> None:
        """Check DNS clients: they lack an endpoint from an answer without records to the next with some."""
        for client, rows in self.evidence.dns_answers.items():
            empty_since: dict[str, int] = {}
            for at, op, has_records in [
                *rows,
                *((self.evidence.end, op.name, True) for op in self.settings.operations),
            ]:
                began = empty_since.pop(op, None)
                if began is not None:
                    took = self._longest_with_warm_endpoint(began, at, warm_timeline) / NS_PER_S
                    verdict.figure = max(verdict.figure, took)
                    if took > verdict.limit and len(verdict.broken) < 20:
                        verdict.broken.append(f"{client} had no DNS records for {op} for {took:.2f} s")
                if not has_records:
                    empty_since[op] = began if began is not None else at

    # -- invariant 2

    def check_duplicates(self) -> Verdict:
        """2: no side-effecting request runs more than once under the tables of the instances."""
        side_effecting = {op.name for op in self.settings.operations if op.idempotency == "side-effecting"}
        runs: dict[str, list[Receipt]] = defaultdict(list)
        for r in self.evidence.receipts:
            if r.operation in side_effecting and r.event is BackendEvent.STARTED:
                runs[r.request_id].append(r)
        verdict = Verdict(
            "no effect twice",
            float(max(map(len, runs.values()), default=0)),
            1.0,
            "runs",
            f"{len(runs)} side-effecting requests, {len(self.evidence.receipts)} receipts",
        )
        for request_id, rows in runs.items():
            if len(rows) > 1 and len(verdict.broken) < 20:
                verdict.broken.append(f"request {request_id} ran at {', '.join(r.endpoint for r in rows)}")
        return verdict

    # -- invariant 3

    def check_drains(self) -> Verdict:
        """3: connected proxies stop sending to a draining or gone endpoint within the drain grace."""
        verdict = Verdict("drains kept", 0.0, self.settings.drain_grace_ns / NS_PER_S, "s", "")
        checked = 0
        for attempt in self.evidence.attempts:
            rows = self.observations.get(attempt.endpoint, [])
            index = bisect_right([o.time_ns for o in rows], attempt.time_ns) - 1
            connection = self.connection_at(attempt.gateway, attempt.time_ns)
            if (
                index < 0
                or connection is None
                or rows[index].state == "ready"
                or attempt.gateway in self.evidence.overstaying_clients
            ):
                continue
            while index and rows[index - 1].state != "ready":
                index -= 1  # an endpoint that drained before it was gone: the grace began with the drain
            checked += 1
            lag = (
                attempt.time_ns - max(self.earliest_notice(connection[2], rows[index].time_ns), connection[0])
            ) / NS_PER_S
            verdict.figure = max(verdict.figure, lag)
            if lag > verdict.limit and len(verdict.broken) < 20:
                verdict.broken.append(
                    f"{attempt.gateway} sent {attempt.request_id} to {attempt.endpoint} {lag:.2f} s after its"
                    " drain or removal was known"
                )
        verdict.looked_at = (
            f"{checked} attempts at draining or gone endpoints, of {len(self.evidence.attempts)}"
        )
        return verdict

    # -- invariant 4

    def check_overload(self) -> Verdict:
        """4: a warming endpoint's load within the window stays under a multiple of its capacity at the time.

        By the wire protocol's definition, a violation needs two thirds of the work to come through informed
        proxies: those that received a response after the start was known, or whose instance had known it for
        the drain grace.
        """
        multiple, span = self.settings.overload_multiple, self.settings.overload_window_ns
        verdict = Verdict("no cold server pushed over", 0.0, multiple, "times what it can do", "")
        response_times: dict[str, list[int]] = defaultdict(list)
        for r in sorted(self.evidence.responses, key=lambda r: r.time_ns):
            response_times[r.gateway].append(r.time_ns)
        for client, answers in self.evidence.dns_answers.items():
            response_times[client] = [at for at, _, _ in answers]
        by_endpoint: dict[str, list[Receipt]] = defaultdict(list)
        for receipt in sorted(self.evidence.receipts, key=lambda receipt: receipt.time_ns):
            if receipt.event in (BackendEvent.ARRIVED, BackendEvent.CRASHED):
                by_endpoint[receipt.endpoint].append(receipt)
        starts = 0
        for endpoint, rows in sorted(by_endpoint.items()):
            for started_ns in sorted({o.started_ns for o in self.observations[endpoint] if o.started_ns}):
                published_ns = next(
                    o.time_ns for o in self.observations[endpoint] if o.started_ns == started_ns
                )
                starts += 1
                window: deque[Receipt] = deque()
                for receipt in rows:
                    if not started_ns <= receipt.time_ns <= started_ns + self.settings.max_warmup_ns:
                        continue
                    window.append(receipt)
                    while window[0].time_ns < receipt.time_ns - span:
                        window.popleft()
                    at_start = self.settings.start_capacity_fraction
                    fraction = (
                        at_start
                        + (1 - at_start) * (receipt.time_ns - started_ns) / self.settings.max_warmup_ns
                    )
                    work = sum(w.work_s for w in window)
                    overload = work / (fraction * self.evidence.capacity[endpoint] * span / NS_PER_S)
                    if (
                        sum(w.work_s for w in window if self._is_informed(w, published_ns, response_times))
                        < work * 2 / 3
                    ):
                        continue
                    verdict.figure = max(verdict.figure, overload)
                    if (overload > multiple or receipt.event is BackendEvent.CRASHED) and len(
                        verdict.broken
                    ) < 20:
                        what = "crashed: it got" if receipt.event is BackendEvent.CRASHED else "got"
                        verdict.broken.append(
                            f"{endpoint} {what} {overload:.2f} times the work of its capacity"
                            f" {(receipt.time_ns - started_ns) / NS_PER_S:.1f} s after its start"
                        )
        verdict.looked_at = f"{starts} starts with a warm-up, {sum(map(len, by_endpoint.values()))} receipts"
        return verdict

    def _is_informed(self, receipt: Receipt, published_ns: int, response_times: dict[str, list[int]]) -> bool:
        """Return whether the sender of a request had to know of a start that was published at a time."""
        connection = self.connection_at(receipt.gateway, receipt.time_ns)
        known_ns = self.earliest_notice(connection[2], published_ns) if connection else published_ns
        last = bisect_right(response_times[receipt.gateway], receipt.time_ns) - 1
        return (
            last >= 0 and response_times[receipt.gateway][last] > known_ns
        ) or receipt.time_ns - known_ns > self.settings.drain_grace_ns

    # -- invariant 5

    def check_egress(self) -> Verdict:
        """5: messages to a proxy and entries that an instance sends stay within the limits of the settings.

        A message is a push: its responses, one per type, carry one version. Entries in the egress queue
        cannot be seen from outside, but within a second an instance sends at most what may be queued plus
        what the egress rate allows.
        """
        quota = self.settings.message_quota or 10**9
        verdict = Verdict("a short queue", 0.0, 1.0, "of the limit", "")
        entries: dict[str, list[tuple[int, int]]] = defaultdict(list)
        messages = 0
        for client, responses in self.clients_to_replay():
            before: dict[str, dict[str, float]] = {}
            recent: deque[int] = deque()
            seen: set[tuple[int, str]] = set()
            stream = 0
            for response in responses:
                if response.stream != stream:
                    stream = response.stream
                    client.open_stream(True)
                    recent.clear()  # the quota counts from the start of a stream
                parsed = (DeltaDiscoveryResponse if response.delta else DiscoveryResponse).FromString(
                    response.data
                )
                version = parsed.system_version_info if response.delta else parsed.version_info
                client.receive(response.data)
                if (response.stream, version) not in seen:
                    seen.add((response.stream, version))
                    messages += 1
                    recent.append(response.time_ns)
                    while recent[0] < response.time_ns - self.settings.message_quota_window_ns:
                        recent.popleft()
                    verdict.figure = max(verdict.figure, len(recent) / quota)
                    if len(recent) > quota and len(verdict.broken) < 20:
                        verdict.broken.append(
                            f"{client.node} was sent {len(recent)} messages within"
                            f" {self.settings.message_quota_window_ns / NS_PER_S:g} s"
                        )
                count = 0
                for table in {t.cluster.partition("/")[0]: t for t in client.tables.values()}.items():
                    name, current = table[0], dict(table[1].weights) | {"": table[1].admission_rate}
                    previous = before.get(name, {})
                    count += sum(previous.get(k) != current.get(k) for k in previous.keys() | current.keys())
                    before[name] = current
                if count:
                    entries[self.instance(response.server)].append((response.time_ns, count))
        max_entries = self.settings.egress_queue_limit_entries + self.settings.egress_rate_entries_per_s
        for instance, rows in entries.items():
            window: deque[tuple[int, int]] = deque()
            for at, count in sorted(rows):
                window.append((at, count))
                while window[0][0] < at - NS_PER_S:
                    window.popleft()
                sent = sum(n for _, n in window)
                verdict.figure = max(verdict.figure, sent / max_entries)
                if sent > max_entries and len(verdict.broken) < 20:
                    verdict.broken.append(
                        f"instance {instance} sent {sent} entries within a second; at most {max_entries:g}"
                        " are allowed"
                    )
        total = sum(n for rows in entries.values() for _, n in rows)
        verdict.looked_at = f"{messages} messages, {total} changed entries"
        return verdict
