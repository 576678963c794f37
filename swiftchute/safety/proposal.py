"""What the validator is asked, and what it answers: types only."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple, Self

from swiftchute.api.endpoints import EndpointState


class Rule(StrEnum):
    """The rules on tables; their values are the names of settings and log records."""

    BAD_WEIGHT = "bad weight"
    CLOSED_ENDPOINT = "barred server"
    OWN_ZONE = "own zone"
    EMPTY_TABLE = "empty pool"
    NO_WARM_ENDPOINT = "no warm server"
    MAX_SHARE = "one line"
    SLOW_START = "cold budget"
    ZONE_OVERLOAD = "overfull pool"
    LARGE_STEP = "large step"
    QUOTA_USED = "full channel"
    # exceptions: no table is safe, the least harmful one is published
    NO_OPEN_ENDPOINT = "no open server"
    ONLY_WARMING_UP = "only cold servers"
    # never corrected, only reported
    STALE_LIST = "late list"


RULES = (
    Rule.BAD_WEIGHT, Rule.CLOSED_ENDPOINT, Rule.OWN_ZONE, Rule.EMPTY_TABLE, Rule.NO_WARM_ENDPOINT,
    Rule.MAX_SHARE, Rule.SLOW_START, Rule.ZONE_OVERLOAD, Rule.LARGE_STEP, Rule.QUOTA_USED,
)  # fmt: skip
EXCEPTIONS = (Rule.NO_OPEN_ENDPOINT, Rule.ONLY_WARMING_UP)


class Outcome(StrEnum):
    """What was done about a violation."""

    CORRECTED = "mended"  # the table was changed so that it keeps the rule
    WARNED = "warned"  # the table was left as it is
    PUBLISHED = "sent"  # an exception: no table is safe, the least harmful one is published


@dataclass(frozen=True)
class SafetyRules:
    """Limits of the rules.

    Attributes:
        warn_only: Names of rules whose violations are reported and not corrected.
        max_endpoint_share: Greatest part of a table that one endpoint may have beside others.
        stale_fraction: Part of a table's endpoints that may differ from the endpoint list.
        slow_start_fraction: Part of the slow-start limit that tables may plan for, as requests come in
            bursts and endpoints differ in speed.
        max_zone_load_multiple: How many times the rate that a zone was seen to answer it may be sent.
        max_step_fraction: Part of all requests by which the load of a zone may grow within the window.
        step_window_ns: Length of that window, nanoseconds.
        max_quota_fraction: Part of the message quota past which a table is not changed, so that drains
            still get through.
    """

    warn_only: frozenset[str] = frozenset()
    max_endpoint_share: float = 1.0
    stale_fraction: float = 0.2
    slow_start_fraction: float = 0.6
    max_zone_load_multiple: float = 2.0
    max_step_fraction: float = 0.6
    step_window_ns: int = 2_000_000_000
    max_quota_fraction: float = 0.7

    @classmethod
    def from_config(cls, section: Mapping[str, Any]) -> Self:
        """Make the rules from the `guard` section of a settings file, by its keys."""
        return cls(
            warn_only=frozenset(section["warn"]),
            max_endpoint_share=section["line_part"],
            stale_fraction=section["late_part"],
            slow_start_fraction=section["cold_part"],
            max_zone_load_multiple=section["pool_most"],
            max_step_fraction=section["step_part"],
            step_window_ns=section["step_window"],
            max_quota_fraction=section["channel_part"],
        )


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """What the endpoint list says of an endpoint.

    Attributes:
        zone: Its zone.
        state: Whether it is ready, draining or removed.
        started_ns: Time of its last start; 0 if that is long ago.
        weight: Its capacity relative to other endpoints.
        kind: Its type; endpoints of one kind and weight have the same capacity.
    """

    zone: str
    state: EndpointState | str
    started_ns: int
    weight: float
    kind: str = ""


class PendingShare(NamedTuple):
    """Proxies of a table that may still apply earlier tables, and what they may send by these.

    Attributes:
        rate_fraction: Part of the table's requests that comes to these proxies.
        share_by_endpoint: Greatest part of these requests that an endpoint may get, by endpoint.
    """

    rate_fraction: float
    share_by_endpoint: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Proposal:
    """A table that is to be published.

    Attributes:
        weights: Weight by endpoint.
        admission_rate: Part of the requests that is admitted, 0 to 1.
        proxy_zones: Zones of the proxies that the table is assigned to; none: it is not assigned.
        zone_local: Whether it serves an operation that must not leave its zone.
        request_rate: Requests per second that come to these proxies; None if unknown.
        pending: What these proxies may still send by earlier tables until they acknowledge this one.
        quota_used: Part of the message quota that is used up for these proxies.
    """

    weights: Mapping[str, float]
    admission_rate: float
    proxy_zones: frozenset[str]
    zone_local: bool = False
    request_rate: float | None = None
    pending: tuple[PendingShare, ...] = ()
    quota_used: float = 0.0


@dataclass(frozen=True, slots=True)
class Observations:
    """What is known besides tables and the endpoint list.

    Attributes:
        peak_rate_by_kind: Successful requests per second that a warm endpoint of weight 1 was seen to
            answer, by kind; a kind that is missing is unknown.
        peak_rate_by_zone_and_kind: The same in one zone alone, by zone and kind.
        responding: Endpoints that answered lately.
        failing_zones: Zones whose endpoints fail most of what they get.
        proxy_fraction: Part of all proxies that is connected to this controller; the others send to the same
            endpoints by tables of other controllers, or by those they have.
        weights_at_window_start: Weights by table at the start of the step window.
    """

    peak_rate_by_kind: Mapping[str, float] = field(default_factory=dict)
    peak_rate_by_zone_and_kind: Mapping[tuple[str, str], float] = field(default_factory=dict)
    responding: Collection[str] = ()
    failing_zones: frozenset[str] = frozenset()
    proxy_fraction: float = 1.0
    weights_at_window_start: Mapping[int, Mapping[str, float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that a table breaks.

    Attributes:
        rule: The rule.
        table: Number of the table.
        endpoints: The endpoints concerned, sorted.
        value: The figure that the rule limits.
        limit: Its limit.
        outcome: What was done about it.
    """

    rule: Rule
    table: int
    endpoints: tuple[str, ...]
    value: float
    limit: float
    outcome: Outcome


class AllowedTable(NamedTuple):
    """What may be published of a table: weight by endpoint, and the admission rate."""

    weights: dict[str, float]
    admission_rate: float


@dataclass(slots=True)
class Verdict:
    """What may be published, by table, and all violations."""

    tables: dict[int, AllowedTable] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)
