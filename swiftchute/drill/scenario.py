"""A scenario: the fleet that a drill starts, its settings, and the faults on its time line."""

from dataclasses import dataclass, field
from typing import Any

ZONES = ("north", "south", "west")


@dataclass(frozen=True)
class Fault:
    """A call of a method of `FaultActions`, at a time after the start of the load."""

    at: float  # seconds
    action: str  # name of the method
    arguments: tuple[Any, ...] = ()


@dataclass(frozen=True)
class Scenario:
    """What a drill plays. Figures are scaled to one machine; times are seconds."""

    description: str
    duration: float
    faults: tuple[Fault, ...]
    backends: int = 15
    gateways: int = 24
    instances: int = 2
    request_rate: float = 5.0  # requests per second that come to a gateway, on average
    drain_grace: float = 3.0
    max_warmup: float = 8.0
    max_no_endpoint: float = 3.0
    egress_rate: float = 1500.0  # entries per second
    egress_queue_limit: float = 3000.0  # entries
    message_quota: int = 30  # messages to one proxy in 10 s
    policy: str = ""  # package.module:Class in place of the policy, as `serve --decider` takes it
    side_effecting_share: float = 0.06  # share of requests that may take effect only once
    version_settings: dict[str, Any] = field(default_factory=dict)  # the instances' `tables` block
    dns_clients: int = 0  # the clients of a zone share a resolver
    overstaying_dns_clients: int = 0  # more of them, whose resolver keeps answers past their time to live


@dataclass(frozen=True)
class OperationProfile:
    """An operation that drills request."""

    work_s: float  # on a backend of speed 1
    request_share: float
    latency_objective: str
    timeout: str
    value: float
    idempotency: str


SIDE_EFFECTING_OPERATION = "bid-record"
OPERATIONS = {
    "lot-estimate": OperationProfile(0.24, 0.68, "1200ms", "4s", 3, "idempotent"),
    "reserve-refresh": OperationProfile(0.18, 0.26, "1500ms", "5s", 2, "idempotent"),
    SIDE_EFFECTING_OPERATION: OperationProfile(0.12, 0.06, "1500ms", "5s", 2, "side-effecting"),
}


def request_share(scenario: Scenario, operation: str) -> float:
    """Return an operation's share of requests, with the side-effecting one at the scenario's share."""
    if operation == SIDE_EFFECTING_OPERATION:
        return scenario.side_effecting_share
    usual = OPERATIONS[SIDE_EFFECTING_OPERATION].request_share
    return OPERATIONS[operation].request_share * (1 - scenario.side_effecting_share) / (1 - usual)
