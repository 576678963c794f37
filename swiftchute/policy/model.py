"""Data model of the policy: endpoints, proxies, tables and pairs of zones."""

from collections import deque
from typing import NamedTuple

from swiftchute.api.endpoints import EndpointRecord, EndpointState

MAX_LOAD_SAMPLES = 10  # load reports kept per endpoint
MAX_DEMAND_SAMPLES = 4  # demand reports kept per proxy and operation
REPORT_LAG_EVALUATIONS = 4  # load reports describe the state of this many evaluations ago
ALL_OPERATIONS = 0  # operation mask of commands that concern all operations of a table

SubsetKey = tuple[str, int]  # zone, index of the subset in it
ZonePairKey = tuple[str, str]  # zone of the proxies, zone of the endpoints


class LoadSample(NamedTuple):
    """One load report of an endpoint."""

    next_report_ns: int  # when the next report is due; the age of the sample counts from here
    attempts: int
    failures: int
    mean_latency_ns: int  # of the successful attempts
    window_ns: int
    proxy_zone: str


class DemandSample(NamedTuple):
    """One demand report of a proxy, for one operation; without a request there is none."""

    requests: int
    window_ns: int
    reported_at_ns: int


class AdmissionSample(NamedTuple):
    """Admission rate of a table and request rate of its zone at one evaluation."""

    admission_rate: float
    request_rate: float


class OperationLimit(NamedTuple):
    """Limit of what a table admits of some operations."""

    operation_mask: int
    value: float  # share of the requests, or requests per second at each proxy, see `Settings.admission_mode`


class Admission(NamedTuple):
    """What a table admits, and whether its proxies may retry."""

    limits: tuple[OperationLimit, ...]
    may_retry: bool


class Endpoint:
    """An endpoint of the list with its latest load reports.

    Attributes:
        listing_index: Position among all endpoints in the order of first listing.
        subset: Index of its subset in its zone, None until it has one.
        samples: The latest load reports.
        health_weight: Factor by which outlier detection corrects the listed weight.
        suspected_removed: Missing from a list whose removals are not binding; its failed attempts decide.
        zone: Zone of the endpoint.
        state: State from the endpoint list, except for suspected removals; changed by `set_state`.
        is_ready: Whether it may receive requests.
        listed_weight: Weight from the endpoint list.
        started_ns: Time of its last start, 0 if unknown.
    """

    __slots__ = (
        "health_weight",
        "is_ready",
        "listed_weight",
        "listing_index",
        "samples",
        "started_ns",
        "state",
        "subset",
        "suspected_removed",
        "zone",
    )

    def __init__(self, record: EndpointRecord, listing_index: int, subset: int | None = None) -> None:
        """Create an endpoint from its record, without load reports."""
        self.listing_index = listing_index
        self.subset = subset
        self.samples: deque[LoadSample] = deque(maxlen=MAX_LOAD_SAMPLES)
        self.health_weight = 1.0
        self.suspected_removed = False
        self.zone = record.zone
        self.set_state(record.state)
        self.listed_weight = record.weight
        self.started_ns = record.started_ns

    def set_state(self, state: EndpointState | str) -> None:
        """Set the state, and `is_ready` with it."""
        self.state = state
        self.is_ready = state == EndpointState.READY


class Proxy:
    """A connected proxy.

    Attributes:
        zone: Zone of the proxy.
        expected_request_rate: Requests per second that it announced when it connected.
        subset: Index of its assigned subset in its zone, None before the first assignment.
        unassigned: Whether it waits for an assignment; until then a migrating proxy keeps its old tables.
        assigned_at_ns: When it received its tables, as far as is known; None before the first assignment.
        message_times_ns: Times at which messages were written to it.
        unacknowledged_entries: Entries of each unacknowledged message, by nonce.
        demand: Latest demand reports by operation.
    """

    __slots__ = (
        "assigned_at_ns",
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
        self.assigned_at_ns: int | None = None
        self.unassigned = True
        self.message_times_ns: deque[int] = deque()
        self.unacknowledged_entries: dict[int, float] = {}
        self.demand: dict[str, deque[DemandSample]] = {}


class EndpointTable:
    """A table of a subset, for either the operations that may cross zones or the zone-local ones.

    Entries map endpoints to weights.

    Attributes:
        number: Number of the table in commands.
        zone: Zone of its subset.
        subset: Index of its subset in the zone.
        zone_local: Whether it serves the operations that must stay in their zone.
        operation_mask: Operations that it serves.
        desired: Entries that the rules currently call for.
        published: Entries that were last pushed.
        desired_admission: Admission that the rules currently call for, None before the first evaluation.
        published_admission: Admission that was last pushed, None before the first push.
        endpoints_wait: Whether it is left empty until its endpoints, which are warming up, can serve enough.
        limited_since_ns: Since when a limit by rate has been in force and the table has had no warm endpoint,
            None without such a limit.
        first_change_ns: Time of the first change of `desired` since the last push, None without a change.
        last_change_ns: Time of the last change of `desired`.
        urgent_since_ns: Time of the first unpublished change that must not wait for the debounce, or None.
        pushed_at_ns: Time of the last ordinary push, None before the first.
        admission_rate: Share of requests that overload control admits, 0 to 1.
        retry_policy: Retry policy that overload control allows.
        admission_history: Samples of the last evaluations, oldest first.
    """

    __slots__ = (
        "admission_history",
        "admission_rate",
        "desired",
        "desired_admission",
        "endpoints_wait",
        "first_change_ns",
        "last_change_ns",
        "limited_since_ns",
        "number",
        "operation_mask",
        "published",
        "published_admission",
        "pushed_at_ns",
        "retry_policy",
        "subset",
        "urgent_since_ns",
        "zone",
        "zone_local",
    )

    def __init__(
        self, number: int, subset_key: SubsetKey, zone_local: bool, operation_mask: int, retry_policy: int
    ) -> None:
        """Create an empty table that admits all requests."""
        self.number = number
        self.zone, self.subset = subset_key
        self.zone_local = zone_local
        self.operation_mask = operation_mask
        self.desired: dict[str, float] = {}
        self.published: dict[str, float] = {}
        self.desired_admission: Admission | None = None
        self.published_admission: Admission | None = None
        self.endpoints_wait = False
        self.limited_since_ns: int | None = None
        self.first_change_ns: int | None = None
        self.last_change_ns = 0
        self.urgent_since_ns: int | None = None
        self.pushed_at_ns: int | None = None
        self.admission_rate = 1.0
        self.retry_policy = retry_policy
        self.admission_history: deque[AdmissionSample] = deque(maxlen=REPORT_LAG_EVALUATIONS)

    @property
    def has_endpoints(self) -> bool:
        """Whether the published table has an entry of an endpoint."""
        return bool(self.published)

    @property
    def published_entry_count(self) -> int:
        """Number of entries that a proxy is sent which is assigned to the table."""
        return len(self.published) + (len(self.published_admission.limits) if self.published_admission else 0)


class ZonePair:
    """Spillover from the proxies of one zone to the endpoints of another.

    Attributes:
        spillover_fraction: Fraction of the remote endpoints' weight used in the zone's tables, 0 to 1.
        suspended_until_ns: No spillover until this time, because the network between the zones is unhealthy.
    """

    __slots__ = ("spillover_fraction", "suspended_until_ns")

    def __init__(self) -> None:
        """Create a pair without spillover."""
        self.spillover_fraction = 0.0
        self.suspended_until_ns = 0
