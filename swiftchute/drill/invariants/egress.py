"""Invariant 5: a short queue."""

from collections import defaultdict, deque

from envoy.service.discovery.v3.discovery_pb2 import DeltaDiscoveryResponse, DiscoveryResponse

from swiftchute.drill.evidence import EvidenceIndex, Verdict
from swiftchute.fakes.traffic_record import ReceivedResponse
from swiftchute.proxy.xds_client import XdsClient

NS_PER_S = 1_000_000_000
NO_QUOTA = 10**9  # messages

EntriesByInstance = dict[str, list[tuple[int, int]]]  # time and number of changed entries


def check_egress(index: EvidenceIndex) -> Verdict:
    """5: messages to a proxy and entries that an instance sends stay within the limits of the settings.

    A message is a push: its responses, one per type, carry one version. Entries in the egress queue
    cannot be seen from outside, but within a second an instance sends at most what may be queued plus
    what the egress rate allows.
    """
    verdict = Verdict("a short queue", 0.0, 1.0, "of the limit", "")
    entries: EntriesByInstance = defaultdict(list)
    messages = 0
    for client, responses in index.clients_to_replay():
        counter = _MessageCounter(index, verdict, client)
        before: dict[str, dict[str, float]] = {}
        for response in responses:
            counter.receive(response)
            count = _count_changes(client, before)
            if count:
                entries[index.instance(response.server)].append((response.time_ns, count))
        messages += counter.messages
    _check_entries(index, verdict, entries)
    total = sum(n for rows in entries.values() for _, n in rows)
    verdict.looked_at = f"{messages} messages, {total} changed entries"
    return verdict


class _MessageCounter:
    """Replays the responses to a client, and checks its message quota.

    Attributes:
        messages: Messages so far.
    """

    def __init__(self, index: EvidenceIndex, verdict: Verdict, client: XdsClient) -> None:
        self.messages = 0
        self._verdict, self._client = verdict, client
        self._quota = index.settings.message_quota or NO_QUOTA
        self._window_ns = index.settings.message_quota_window_ns
        self._recent_ns: deque[int] = deque()
        self._seen: set[tuple[int, str]] = set()
        self._stream = 0

    def receive(self, response: ReceivedResponse) -> None:
        if response.stream != self._stream:
            self._stream = response.stream
            self._client.open_stream(True)
            self._recent_ns.clear()  # the quota counts from the start of a stream
        self._client.receive(response.data)
        message = (response.stream, _version(response))
        if message not in self._seen:
            self._seen.add(message)
            self._count(response.time_ns)

    def _count(self, at: int) -> None:
        self.messages += 1
        self._recent_ns.append(at)
        while self._recent_ns[0] < at - self._window_ns:
            self._recent_ns.popleft()
        self._verdict.observe(len(self._recent_ns) / self._quota)
        if len(self._recent_ns) > self._quota:
            self._verdict.add_violation(
                f"{self._client.node} was sent {len(self._recent_ns)} messages within"
                f" {self._window_ns / NS_PER_S:g} s"
            )


def _version(response: ReceivedResponse) -> str:
    if response.delta:
        return DeltaDiscoveryResponse.FromString(response.data).system_version_info
    return DiscoveryResponse.FromString(response.data).version_info


def _count_changes(client: XdsClient, before: dict[str, dict[str, float]]) -> int:
    """Return how many entries of a client's tables differ from `before`, which is updated."""
    count = 0
    tables = {table.cluster.partition("/")[0]: table for table in client.tables.values()}
    for name, table in tables.items():
        current = dict(table.weights) | {"": table.admission_rate}
        previous = before.get(name, {})
        count += sum(previous.get(k) != current.get(k) for k in previous.keys() | current.keys())
        before[name] = current
    return count


def _check_entries(index: EvidenceIndex, verdict: Verdict, entries: EntriesByInstance) -> None:
    """Check how many entries each instance sent within any second."""
    settings = index.settings
    max_entries = settings.egress_queue_limit_entries + settings.egress_rate_entries_per_s
    for instance, rows in entries.items():
        window: deque[tuple[int, int]] = deque()
        for at, count in sorted(rows):
            window.append((at, count))
            while window[0][0] < at - NS_PER_S:
                window.popleft()
            sent = sum(n for _, n in window)
            verdict.observe(sent / max_entries)
            if sent > max_entries:
                verdict.add_violation(
                    f"instance {instance} sent {sent} entries within a second; at most {max_entries:g}"
                    " are allowed"
                )
