"""Reports and lists that pass the checks of the frontends never make the policy raise."""

import random

import pytest

from swiftchute.api.endpoints import EndpointRecord, ListScope
from swiftchute.api.events import (
    DemandReport,
    EgressQueueObserved,
    EndpointListUpdate,
    EndpointLoadReport,
    ProxyConnected,
    ProxyDisconnected,
    PushAcknowledged,
    TimerFired,
)
from swiftchute.api.settings import Settings
from swiftchute.controller.assignments import Assignments
from swiftchute.policy import Reconciler
from tests.support.settings import DEFAULTS, operation

S = 1_000_000_000
START = 1_700_000_000 * S
NAMES = [f"s{k}" for k in range(12)]
ZONES = ("east", "west")


def draw_event(draw, now):
    """Draw a random event, often with values at the limits of their ranges."""
    zone, name, proxy = draw.choice(ZONES), draw.choice(NAMES), draw.randrange(6)
    count = draw.choice((0, 1, 6, 7, 1000, 10**9))
    window_ns = draw.choice((1, S // 2, S, 600 * S))
    mean_ns = draw.choice((0, 0, 1, 40_000_000, 20 * S))
    match draw.randrange(8):
        case 0:
            return ProxyConnected(proxy, zone, draw.choice((0.0, 1e-9, 2.5, 1e9)), draw.random() < 0.5)
        case 1:
            return ProxyDisconnected(proxy)
        case 2 | 3:
            failures = draw.choice((0, 0, count, count // 2))
            return EndpointLoadReport(zone, name, count, failures, mean_ns, window_ns, None)
        case 4:
            return DemandReport(proxy, draw.choice(("read", "write")), count, count, window_ns)
        case 5:
            return PushAcknowledged(proxy, draw.randrange(1, 60), draw.choice((0, 1, S, 600 * S)))
        case 6:
            return draw.choice((TimerFired(1), EgressQueueObserved(draw.choice((0, 10, 10**7)))))
    records = [
        EndpointRecord(
            each, ZONES[int(each[1:]) % 2], "", 0, draw.choice(("ready", "ready", "draining", "gone")),
            draw.choice((1e-9, 1.0, 1e9)), draw.choice((0, 1, now, now + 3600 * S)),
        )
        for each in draw.sample(NAMES, draw.randrange(len(NAMES)))
    ]  # fmt: skip
    return EndpointListUpdate(draw.choice((ListScope.DELTA, ListScope.DELTA, ListScope.SNAPSHOT)), records)


@pytest.mark.parametrize("admission_mode", ["share", "rate", "none"])
@pytest.mark.parametrize("seed", range(20))
def test_no_event_makes_the_policy_raise(seed, admission_mode):
    draw = random.Random(seed)
    operations = (operation("read"), operation("write", zone_local=seed % 2 == 1))
    settings = Settings(**(DEFAULTS | {"operations": operations, "admission_mode": admission_mode}))
    policy, assignments, now = Reconciler(settings, seed), Assignments(settings), START
    for _ in range(150):
        now += draw.choice((0, 5_000_000, S // 2, 2 * S))
        events = [draw_event(draw, now) for _ in range(draw.randrange(1, 12))]
        for event in events:
            if isinstance(event, ProxyConnected):
                assignments.on_proxy_connected(event.proxy, event.zone)
            if isinstance(event, ProxyDisconnected):
                assignments.on_proxy_disconnected(event.proxy)
        policy.reconcile(now, events, assignments)
        assignments.finish_round()
