"""What passed on the sockets of a fake gateway: all that the checks of a drill know of it."""

from dataclasses import dataclass, field

MAX_ROWS = 500_000  # of each kind


@dataclass(frozen=True)
class ReceivedResponse:
    """A response of the control plane as it was received.

    Attributes:
        time_ns: when, monotonic.
        gateway: who received it.
        stream: number of the gateway's stream.
        server: "host:port" that was dialed.
        delta: whether the stream uses the incremental variant.
        data: its bytes.
    """

    time_ns: int
    gateway: str
    stream: int
    server: str
    delta: bool
    data: bytes


@dataclass(frozen=True)
class AttemptRecord:
    """An attempt as it was sent to a backend.

    Attributes:
        time_ns: when it was sent, monotonic.
        gateway: who sent it.
        endpoint: to whom.
        operation: the request's operation.
        request_id: the request.
        attempt: its number, from 0.
        result: how it ended.
        latency_s: how long it took.
    """

    time_ns: int
    gateway: str
    endpoint: str
    operation: str
    request_id: str
    attempt: int
    result: str
    latency_s: float


@dataclass(frozen=True)
class StreamEvent:
    """A stream to the control plane that opened, or else ended.

    Attributes:
        time_ns: when, monotonic.
        gateway: whose stream.
        stream: its number.
        server: "host:port" that was dialed.
        opened: whether it opened.
    """

    time_ns: int
    gateway: str
    stream: int
    server: str
    opened: bool


@dataclass
class TrafficRecord:
    """All rows of one gateway, bounded.

    Attributes:
        responses: responses that were received.
        attempts: attempts that were sent.
        stream_events: streams that opened or ended.
        unroutable: time, gateway and operation of requests without an endpoint.
        results: requests by result.
        requested_value: value of the requests that arrived.
        earned_value: value of the requests that were answered.
        dropped_rows: rows past the bound.
    """

    responses: list[ReceivedResponse] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    stream_events: list[StreamEvent] = field(default_factory=list)
    unroutable: list[tuple[int, str, str]] = field(default_factory=list)
    results: dict[str, int] = field(default_factory=dict)
    requested_value: float = 0.0
    earned_value: float = 0.0
    dropped_rows: int = 0

    def add(self, rows: list, row: object) -> None:
        """Append a row to one of the lists, or count it as dropped."""
        if len(rows) < MAX_ROWS:
            rows.append(row)
        else:
            self.dropped_rows += 1
