"""What passed on the sockets of a fake gateway; the invariants of a drill see nothing else of it."""

from dataclasses import dataclass, field

MAX_ROWS = 500_000  # in each list of a `TrafficRecord`


@dataclass(frozen=True)
class ReceivedResponse:
    """A response of the control plane, as received.

    Attributes:
        time_ns: monotonic time of receipt.
        gateway: name of the gateway.
        stream: number of the gateway's stream.
        server: "host:port" that was dialed.
        delta: whether the stream uses the incremental variant.
        data: the encoded response.
    """

    time_ns: int
    gateway: str
    stream: int
    server: str
    delta: bool
    data: bytes


@dataclass(frozen=True)
class AttemptRecord:
    """An attempt that was sent to a backend.

    Attributes:
        time_ns: monotonic time of sending.
        gateway: name of the gateway.
        endpoint: address of the backend.
        operation: the request's operation.
        request_id: the request that it belongs to.
        attempt: its number, from 0.
        result: its outcome.
        latency_s: time until its outcome.
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
    """A stream to the control plane that opened or ended.

    Attributes:
        time_ns: monotonic time.
        gateway: name of the gateway.
        stream: number of the gateway's stream.
        server: "host:port" that was dialed.
        opened: False if it ended.
    """

    time_ns: int
    gateway: str
    stream: int
    server: str
    opened: bool


@dataclass
class TrafficRecord:
    """The records and totals of one gateway; each list is bounded by `MAX_ROWS`.

    Attributes:
        responses: responses that were received.
        attempts: attempts that were sent.
        stream_events: streams that opened or ended.
        unroutable: time, gateway and operation of requests without an endpoint.
        results: requests by result.
        requested_value: value of the requests that arrived.
        earned_value: value of the requests that were answered.
        dropped_rows: records that were not kept because a list was full.
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
        """Append a record to one of the lists, or count it as dropped if the list is full."""
        if len(rows) < MAX_ROWS:
            rows.append(row)
        else:
            self.dropped_rows += 1
