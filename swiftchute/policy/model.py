"""Endpoints, proxies, tables and pairs of zones as the rules of the policy see them."""

from collections import deque
from typing import NamedTuple

from swiftchute.api.endpoints import EndpointRecord, EndpointState

MAX_LOAD_SAMPLES = 10  # load reports that are kept of one endpoint
MAX_DEMAND_SAMPLES = 4  # demand reports that are kept of one operation at one proxy
REPORT_LAG_EVALUATIONS = 4  # load reports describe what was in force so many evaluations ago
ADMISSION_KEY = ""  # key of a table's admission rate among its entries; no endpoint is named so

SubsetKey = tuple[str, int]  # zone, index of the subset in it
ZonePairKey = tuple[str, str]  # zone of the proxies, zone of the endpoints


class LoadSample(NamedTuple):
    """One load report of an endpoint."""

    next_report_ns: int  # when the next report of its kind is due; the sample ages from then on
    attempts: int
    failures: int
    mean_latency_ns: int  # of the successful attempts
    window_ns: int
    proxy_zone: str


class DemandSample(NamedTuple):
    """One demand report of a proxy, for one operation."""

    requests: int
    window_ns: int


class AdmissionSample(NamedTuple):
    """The admission rate of a table at an evaluation, and the request rate of its zone then."""

    admission_rate: float
    request_rate: float


class Endpoint:
    """An endpoint of the list with its latest load reports.

    Attributes:
        order: Position in which it was first listed among all endpoints.
        subset: Index of its subset in its zone, None before it has one.
        samples: The latest load reports.
        health_weight: Correction of the listed weight by outlier detection.
        suspected_removed: Missing from a list whose removals do not bind; its failures decide.
        zone: Zone in which it is.
        state: What the endpoint list says, as far as it is believed; changed by `set_state`.
        is_ready: It may receive requests.
        listed_weight: Weight by the endpoint list.
        started_ns: Time of its last start, 0 if unknown.
    """

    __slots__ = (
        "health_weight",
        "is_ready",
        "listed_weight",
        "order",
        "samples",
        "started_ns",
        "state",
        "subset",
        "suspected_removed",
        "zone",
    )

    def __init__(self, record: EndpointRecord, order: int, subset: int | None = None) -> None:
        """Create the endpoint of a record, without any load report."""
        self.order = order
        self.subset = subset
        self.samples: deque[LoadSample] = deque(maxlen=MAX_LOAD_SAMPLES)
        self.health_weight = 1.0
        self.suspected_removed = False
        self.zone = record.zone
        self.set_state(record.state)
        self.listed_weight = record.weight
        self.started_ns = record.started_ns

    def set_state(self, state: EndpointState | str) -> None:
        """Note another state."""
        self.state = state
        self.is_ready = state == EndpointState.READY


class Proxy:
    """A connected proxy.

    Attributes:
        zone: Zone in which it is.
        expected_request_rate: Requests per second that it announced when it connected.
        subset: Index of the subset of its zone that it is assigned to, None before the first assignment.
        unassigned: Waits for an assignment; a proxy that migrates keeps its old subset's tables until then.
        message_times_ns: When messages were written to it.
        unacknowledged_entries: Entries by nonce of the messages that it has not acknowledged.
        demand: Latest demand reports by operation.
    """

    __slots__ = (
        "demand",
        "expected_request_rate",
        "message_times_ns",
        "subset",
        "unacknowledged_entries",
        "unassigned",
        "zone",
    )

    def __init__(self, zone: str, expected_request_rate: float) -> None:
        """Create a proxy that waits for its first assignment."""
        self.zone = zone
        self.expected_request_rate = expected_request_rate
        self.subset: int | None = None
        self.unassigned = True
        self.message_times_ns: deque[int] = deque()
        self.unacknowledged_entries: dict[int, float] = {}
        self.demand: dict[str, deque[DemandSample]] = {}


class EndpointTable:
    """The table of a subset, for the operations that may cross zones or for those that may not.

    Entries map endpoints to weights; the entry of `ADMISSION_KEY` holds the admission rate, negative where
    proxies must not retry.

    Attributes:
        number: Number of the table in commands.
        zone: Zone of its subset.
        subset: Index of its subset in the zone.
        zone_local: Serves operations that stay in their zone.
        operation_mask: Operations that it serves.
        desired: Entries that the rules ask for.
        published: Entries that were pushed.
        first_change_ns: First change of `desired` since the last push, None without a change.
        last_change_ns: Last such change.
        urgent: A change must not wait for the debounce.
        pushed_at_ns: Time of the last ordinary push, None before the first.
        admission_rate: Share of requests to admit by overload control, 0 to 1.
        retry_policy: Retries that overload control allows.
        admission_history: What was in force at the last evaluations, oldest first.
    """

    __slots__ = (
        "admission_history",
        "admission_rate",
        "desired",
        "first_change_ns",
        "last_change_ns",
        "number",
        "operation_mask",
        "published",
        "pushed_at_ns",
        "retry_policy",
        "subset",
        "urgent",
        "zone",
        "zone_local",
    )

    def __init__(
        self, number: int, subset_key: SubsetKey, zone_local: bool, operation_mask: int, retry_policy: int
    ) -> None:
        """Create an empty table that admits everything."""
        self.number = number
        self.zone, self.subset = subset_key
        self.zone_local = zone_local
        self.operation_mask = operation_mask
        self.desired: dict[str, float] = {}
        self.published: dict[str, float] = {}
        self.first_change_ns: int | None = None
        self.last_change_ns = 0
        self.urgent = False
        self.pushed_at_ns: int | None = None
        self.admission_rate = 1.0
        self.retry_policy = retry_policy
        self.admission_history: deque[AdmissionSample] = deque(maxlen=REPORT_LAG_EVALUATIONS)


class ZonePair:
    """Spillover from the proxies of one zone to the endpoints of another.

    Attributes:
        spillover_fraction: Part of the remote endpoints' weight that the zone's tables carry, 0 to 1.
        suspended_until_ns: No spillover before this time, as the network between the zones is unhealthy.
    """

    __slots__ = ("spillover_fraction", "suspended_until_ns")

    def __init__(self) -> None:
        """Create a pair without spillover."""
        self.spillover_fraction = 0.0
        self.suspended_until_ns = 0
