"""What was recorded while a scenario was played, indexed for the invariants, and the verdicts on it.

Times are monotonic nanoseconds of one machine, and all figures are of fakes on that machine.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from swiftchute.api.settings import Settings
from swiftchute.fakes.backend import Receipt
from swiftchute.fakes.traffic_record import AttemptRecord, ReceivedResponse, StreamEvent
from swiftchute.proxy.xds_client import XdsClient

MAX_VIOLATIONS = 20  # listed in a verdict; later ones are left out


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

    def observe(self, figure: float) -> None:
        """Keep the figure that is closest to the limit."""
        self.figure = max(self.figure, figure)

    def add_violation(self, text: str) -> None:
        """Add a violation, unless enough are listed."""
        if len(self.broken) < MAX_VIOLATIONS:
            self.broken.append(text)


class Connection(NamedTuple):
    """A span in which a gateway was connected to an instance."""

    from_ns: int
    until_ns: int
    instance: str


class EvidenceIndex:
    """Evidence by gateway, endpoint and time.

    Attributes:
        evidence: What is indexed.
        settings: Settings of the instances.
        connections: Connections of each gateway, in order of time.
        observations: What the list said of each endpoint, in order of time.
    """

    def __init__(self, evidence: Evidence) -> None:
        """Index the evidence of one scenario."""
        self.evidence, self.settings = evidence, evidence.settings
        self.connections = self._index_connections()
        self.observations: dict[str, list[Observation]] = defaultdict(list)
        for o in sorted(evidence.observations, key=lambda o: o.time_ns):
            self.observations[o.endpoint].append(o)

    def instance(self, address: str) -> str:
        """Return the instance behind an address that was dialed."""
        return self.evidence.instances.get(address, address)

    def connection_at(self, gateway: str, at: int) -> Connection | None:
        """Return the connection of a gateway that was open at a time."""
        spans = self.connections.get(gateway, [])
        index = bisect_right(spans, (at, 2**63, "")) - 1
        return spans[index] if index >= 0 and spans[index].until_ns > at else None

    def observation_index(self, endpoint: str, at: int) -> int:
        """Return the index of what the list said of an endpoint at a time, -1 if nothing yet."""
        rows = self.observations.get(endpoint, [])
        return bisect_right([o.time_ns for o in rows], at) - 1

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

    def _index_connections(self) -> dict[str, list[Connection]]:
        connections: dict[str, list[Connection]] = defaultdict(list)
        opened: dict[tuple[str, int], StreamEvent] = {}
        for s in sorted(self.evidence.stream_events, key=lambda s: s.time_ns):
            if s.opened:
                opened[s.gateway, s.stream] = s
            elif (s.gateway, s.stream) in opened:
                start = opened.pop((s.gateway, s.stream))
                connections[s.gateway].append(Connection(start.time_ns, s.time_ns, self.instance(s.server)))
        for (gateway, _), s in opened.items():
            connections[gateway].append(Connection(s.time_ns, self.evidence.end, self.instance(s.server)))
        for spans in connections.values():
            spans.sort()
        return connections
