"""What the rules of the policy share: endpoints, proxies, tables and zones, and the clock of the round."""

import random
from collections import deque
from collections.abc import Iterator
from itertools import chain
from typing import NamedTuple

from swiftchute.api.commands import CommandSink
from swiftchute.api.endpoints import EndpointRecord, EndpointState
from swiftchute.api.events import ProxyId
from swiftchute.api.settings import Settings

MAX_LOAD_SAMPLES = 10  # load reports that are kept of one endpoint
MAX_DEMAND_SAMPLES = 4  # demand reports that are kept of one operation at one proxy
MAX_THROUGHPUT_SAMPLES = 60  # evaluations whose throughput is kept of a zone
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


class PolicyState:
    """The state that several rules read, passed to each of them.

    Attributes:
        settings: Configuration of the instance.
        random: Source of all random draws.
        now_ns: Time of the round.
        commands: Receiver of the round's commands.
        endpoints: Endpoints by name, removed ones too.
        proxies: Connected proxies.
        tables: Tables of each subset: at most one that may cross zones, and one that may not.
        subset_counts: Number of subsets by zone, 0 before the zone's first endpoint list.
        zone_pairs: Spillover by pair of different zones.
        load_ratios: Load of each zone as latency / objective at the last evaluation, None if unknown.
        observed_throughput: Good answers per second and unit of listed weight, by zone, for each evaluation.
        conditions: Names of the conditions that were logged as started and not yet as ended.
        latency_objective_ns: The smallest latency objective of all operations.
        retry_policy: The default retry policy, as far as all operations allow it.
        operation_masks: (operations, whether they stay in their zone), for the tables of a subset.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the state of an instance that knows no endpoint and no proxy."""
        zones = settings.zones
        self.settings = settings
        self.random = random.Random(seed)
        self.now_ns = 0
        self.commands: CommandSink
        self.endpoints: dict[str, Endpoint] = {}
        self.proxies: dict[ProxyId, Proxy] = {}
        self.tables: dict[SubsetKey, list[EndpointTable]] = {}
        self.subset_counts: dict[str, int] = dict.fromkeys(zones, 0)
        self.zone_pairs: dict[ZonePairKey, ZonePair] = {
            (zone, other): ZonePair() for zone in zones for other in zones if other != zone
        }
        self.load_ratios: dict[str, float | None] = dict.fromkeys(zones)
        self.observed_throughput: dict[str, deque[float]] = {
            zone: deque(maxlen=MAX_THROUGHPUT_SAMPLES) for zone in zones
        }
        self.conditions: set[str] = set()
        self.latency_objective_ns = min(op.latency_objective_ns for op in settings.operations)
        self.retry_policy = _retry_policy(settings)
        self.operation_masks = _operation_masks(settings)

    def ready_endpoints(self) -> dict[str, Endpoint]:
        """Return the endpoints that may receive requests, by name."""
        return {name: endpoint for name, endpoint in self.endpoints.items() if endpoint.is_ready}

    def all_tables(self) -> Iterator[EndpointTable]:
        """Iterate over the tables of all subsets, in the order of their creation."""
        return chain.from_iterable(self.tables.values())


def _retry_policy(settings: Settings) -> int:
    """Limit the default to provably safe retries unless all operations are idempotent.

    A further retry could make a request that is not idempotent take effect twice.
    """
    if all(operation.idempotency == "idempotent" for operation in settings.operations):
        return settings.default_retry_policy
    return min(settings.default_retry_policy, 1)


def _operation_masks(settings: Settings) -> list[tuple[int, bool]]:
    masks = [
        (
            sum(1 << bit for bit, op in enumerate(settings.operations) if op.zone_local == zone_local),
            zone_local,
        )
        for zone_local in (False, True)
    ]
    return [(mask, zone_local) for mask, zone_local in masks if mask]
