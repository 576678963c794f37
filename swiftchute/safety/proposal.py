"""Types of the validator's input and output."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple, Self

from swiftchute.api.endpoints import EndpointState


class Rule(StrEnum):
    """The rules on tables; the values are the names used in settings and log records."""

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
    # exceptions: no safe table exists, so the least harmful one is published
    NO_OPEN_ENDPOINT = "no open server"
    ONLY_WARMING_UP = "only cold servers"
    # only reported, never corrected
    STALE_LIST = "late list"


RULES = (
    Rule.BAD_WEIGHT, Rule.CLOSED_ENDPOINT, Rule.OWN_ZONE, Rule.EMPTY_TABLE, Rule.NO_WARM_ENDPOINT,
    Rule.MAX_SHARE, Rule.SLOW_START, Rule.ZONE_OVERLOAD, Rule.LARGE_STEP, Rule.QUOTA_USED,
)  # fmt: skip
EXCEPTIONS = (Rule.NO_OPEN_ENDPOINT, Rule.ONLY_WARMING_UP)


class Outcome(StrEnum):
    """What was done about a violation."""

    CORRECTED = "mended"  # the table was changed to comply with the rule
    WARNED = "warned"  # the table was left unchanged
    PUBLISHED = "sent"  # an exception: no safe table exists, so the least harmful one is published


@dataclass(frozen=True)
class SafetyRules:
    """Limits of the rules.

    Attributes:
        warn_only: Names of rules whose violations are reported and not corrected.
        max_endpoint_share: Largest share of a table that one endpoint may have beside others.
        stale_fraction: Fraction of a table's endpoints whose real state may differ from the endpoint list.
        slow_start_fraction: Fraction of the slow-start limit that tables may use; the rest is headroom, as
            requests come in bursts and endpoints differ in speed.
        max_zone_load_multiple: Multiple of a zone's observed peak rate that it may be sent.
        max_step_fraction: Fraction of all requests by which the load of a zone may grow within the window.
        step_window_ns: Length of that window, nanoseconds.
        max_quota_fraction: Used fraction of the message quota from which on a table is not changed, so that
            messages are left for drains.
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
        """Make the rules from the `guard` section of a settings file."""
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
    """What the endpoint list says about an endpoint.

    Attributes:
        zone: Its zone.
        state: Whether it is ready, draining or removed.
        started_ns: Time of its last start; 0 if it started so long ago that it is warm.
        weight: Its capacity relative to other endpoints.
        kind: Its type; endpoints of one kind and weight have the same capacity.
    """

    zone: str
    state: EndpointState | str
    started_ns: int
    weight: float
    kind: str = ""


class PendingShare(NamedTuple):
    """Proxies of a table that may still apply earlier tables, and what they may send according to those.

    Attributes:
        rate_fraction: Fraction of the table's requests that arrives at these proxies.
        share_by_endpoint: Largest share of these requests that each endpoint may get.
    """

    rate_fraction: float
    share_by_endpoint: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Proposal:
    """A table proposed for publication.

    Attributes:
        weights: Weight by endpoint.
        admission_rate: Fraction of the requests that is admitted, 0 to 1.
        proxy_zones: Zones of the proxies that the table is assigned to; empty if it is not assigned.
        zone_local: Whether it serves an operation whose requests must not leave their zone.
        request_rate: Requests per second that arrive at these proxies; None if unknown.
        pending: What these proxies may send according to earlier tables until they acknowledge this one.
        quota_used: Fraction of the message quota that is used up for these proxies.
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
    """What was observed, apart from tables and the endpoint list.

    Attributes:
        peak_rate_by_kind: Highest observed rate of successful requests per second of a warm endpoint of
            weight 1, by kind; unknown for a kind that is missing.
        peak_rate_by_zone_and_kind: The same within a single zone, by zone and kind.
        responding: Endpoints that answered a request lately.
        failing_zones: Zones whose endpoints fail most of their requests.
        proxy_fraction: Fraction of all proxies that is connected to this controller; the others send to the
            same endpoints, by tables of other controllers or by the last ones they got.
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
        value: The quantity that the rule limits.
        limit: The limit that the value exceeds.
        outcome: What was done about it.
    """

    rule: Rule
    table: int
    endpoints: tuple[str, ...]
    value: float
    limit: float
    outcome: Outcome


class AllowedTable(NamedTuple):
    """The content of a table that may be published: weight by endpoint, and the admission rate."""

    weights: dict[str, float]
    admission_rate: float


@dataclass(slots=True)
class Verdict:
    """What may be published, by table, and all violations."""

    tables: dict[int, AllowedTable] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)
