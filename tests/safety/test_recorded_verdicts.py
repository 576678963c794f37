"""Verdicts on fixed pseudo-random inputs equal the recorded ones."""

import hashlib
import math
import random

from swiftchute.api.events import DemandReport, EndpointLoadReport, ProxyDisconnected
from swiftchute.api.settings import Settings
from swiftchute.safety.observed_traffic import ObservedTraffic, peak_by_kind
from swiftchute.safety.proposal import EndpointStatus, Observations, PendingShare, Proposal, SafetyRules
from swiftchute.safety.publish_gate import PublishGate
from swiftchute.safety.validator import Validator
from tests.conftest import DEFAULTS, operation

SECOND_NS = 1_000_000_000
NOW_NS = 1000 * SECOND_NS
ZONES = ("east", "west")
KINDS = ("std", "big", "new")
WEIGHTS = (1e-4, 0.3, 1.0, 1.0, 1.0, 5.0, 1e6)
BAD_WEIGHTS = (0.0, -1.0, math.nan, math.inf)
AGES_S = (None, None, None, 0.0, 2.0, 9.0, 15.9, 16.0)

VERDICTS_SHA256 = "cb09086e543d27cdaf0de6070bf53f09a13b07946c7e20c5b07f5b89cf3bff0b"
REVIEWS_SHA256 = "2e5edcc66101eda299abe1ff7d5ff5b5fcc96437f1e32e21411c078f7fe66085"
TRAFFIC_SHA256 = "2add3043ee0de27b4d33bb0d755e3cfff940496ffeeb2eddfca43c092a591b49"


def settings_with(removal_is_binding):
    operations = (operation("read"), operation("write"))
    return Settings(**(DEFAULTS | {"operations": operations, "removal_is_binding": removal_is_binding}))


def draw_statuses(draw):
    statuses = {}
    for place in range(draw.randint(1, 8)):
        age_s = draw.choice(AGES_S)
        started = 0 if age_s is None else NOW_NS - int(age_s * SECOND_NS)
        state = draw.choice(("ready", "ready", "ready", "ready", "draining", "gone"))
        statuses[f"s{place}"] = EndpointStatus(
            draw.choice(ZONES), state, started, draw.choice((0.5, 1.0, 1.0, 4.0)), draw.choice(KINDS)
        )
    return statuses


def draw_weights(draw, names, bad_share=0.05):
    chosen = draw.sample(names, draw.randint(0, len(names)))
    return {n: draw.choice(BAD_WEIGHTS if draw.random() < bad_share else WEIGHTS) for n in chosen}


def draw_proposal(draw, names, bad_share=0.05):
    pending = tuple(
        PendingShare(
            draw.choice((0.2, 0.5)), {n: draw.random() for n in draw.sample(names, draw.randint(0, 2))}
        )
        for _ in range(draw.choice((0, 0, 1, 2)))
    )
    return Proposal(
        draw_weights(draw, names, bad_share),
        draw.choice((1.0, 1.0, 0.5, 0.1)),
        frozenset(draw.choice(((), ("east",), ("west",), ZONES))),
        draw.random() < 0.3,
        draw.choice((None, 0.0, 5.0, 40.0, 400.0)),
        pending,
        draw.choice((0.0, 0.5, 0.69, 0.7, 1.0)),
    )


def draw_observations(draw, names, numbers):
    peak_rates = {kind: draw.choice((1.0, 12.0, 60.0)) for kind in KINDS if draw.random() < 0.8}
    zone_peak_rates = {(z, k): draw.choice((0.5, 8.0)) for z in ZONES for k in KINDS if draw.random() < 0.5}
    window_start = {number: draw_weights(draw, names, 0.0) for number in numbers if draw.random() < 0.7}
    return Observations(
        peak_rates,
        zone_peak_rates,
        frozenset(draw.sample(names, draw.randint(0, len(names)))),
        frozenset(z for z in ZONES if draw.random() < 0.15),
        draw.choice((1.0, 0.5)),
        window_start,
    )


def draw_rules(draw):
    return SafetyRules(
        warn_only=frozenset(draw.sample(("cold budget", "large step", "empty pool", "barred server"), 1))
        if draw.random() < 0.2
        else frozenset(),
        max_endpoint_share=draw.choice((1.0, 1.0, 0.5)),
        slow_start_fraction=draw.choice((0.6, 1.0)),
        max_zone_load_multiple=draw.choice((2.0, math.inf)),
        max_step_fraction=draw.choice((0.6, math.inf)),
    )


def plain_violation(violation):
    """A violation as a plain tuple of builtins."""
    return (
        str(violation.rule), violation.table, violation.endpoints, violation.value, violation.limit,
        str(violation.outcome),
    )  # fmt: skip


def plain_tables(tables):
    """Tables as plain builtins, in iteration order."""
    return [
        (number, list(weights.items()), admission_rate)
        for number, (weights, admission_rate) in tables.items()
    ]


def test_verdicts_are_those_recorded():
    digest = hashlib.sha256()
    rules_found = set()
    for seed in range(3000):
        draw = random.Random(seed)
        statuses = draw_statuses(draw)
        names = [*statuses, "stranger"]
        numbers = range(draw.randint(1, 4))
        proposed = {number: draw_proposal(draw, names) for number in numbers}
        before = {number: draw_weights(draw, names, 0.0) for number in numbers if draw.random() < 0.7}
        observations = draw_observations(draw, names, numbers)
        validator = Validator(settings_with(draw.random() < 0.5), draw_rules(draw))
        verdict = validator.validate(proposed, before, statuses, observations, NOW_NS)
        rules_found |= {violation.rule for violation in verdict.violations}
        digest.update(
            repr((plain_tables(verdict.tables), [plain_violation(r) for r in verdict.violations])).encode()
        )
    assert rules_found == {
        "bad weight", "barred server", "own zone", "empty pool", "no warm server", "one line", "cold budget",
        "overfull pool", "large step", "no open server", "only cold servers", "late list",
    }  # fmt: skip
    assert digest.hexdigest() == VERDICTS_SHA256


def test_reviews_are_those_recorded():
    """Reviews of several gates over time, with tables ordered or not, and rules enforced or not."""
    digest = hashlib.sha256()
    for seed in range(60):
        draw = random.Random(seed)
        enforce = draw.random() < 0.8
        bad_share = 0.05 if enforce else 0.0  # a controller drops bad weights before they reach its gate
        gate = PublishGate(settings_with(True), draw_rules(draw), enforce, seed)
        now, list_revision = NOW_NS, 0
        statuses = draw_statuses(draw)
        names = [*statuses, "stranger"]
        proposed = {number: draw_proposal(draw, names, bad_share) for number in range(3)}
        for _ in range(60):
            now += draw.choice((5_000_000, 100_000_000, SECOND_NS))
            if draw.random() < 0.1:
                statuses, list_revision = draw_statuses(draw), list_revision + 1
                names = [*statuses, "stranger"]
            ordered = {number for number in proposed if draw.random() < 0.5}
            for number in ordered:
                proposed[number] = draw_proposal(draw, names, bad_share)
            urgent = {number for number in ordered if draw.random() < 0.05}
            observations = draw_observations(draw, names, ())
            changed = gate.review(proposed, ordered, statuses, observations, now, list_revision, urgent)
            explained = gate.explain(1, proposed[1].weights, proposed[1].admission_rate, "", now)
            # violations that end together are logged in the order of a set
            events = sorted(map(tuple, gate.take_events()), key=repr)
            review = (
                changed,
                sorted(gate.held_tables),
                plain_tables(gate.allowed),
                gate.due,
                events,
                explained,
            )
            digest.update(repr((review, [plain_violation(r) for r in gate.violations])).encode())
        digest.update(repr((sorted(gate.counts.items()), gate.max_queue_delay_ns)).encode())
    assert digest.hexdigest() == REVIEWS_SHA256


def test_observed_traffic_is_that_recorded():
    digest = hashlib.sha256()
    for seed in range(20):
        draw = random.Random(seed)
        statuses, traffic, now = draw_statuses(draw), ObservedTraffic(), NOW_NS
        names = [*statuses, "stranger"]
        for _ in range(150):
            now += draw.choice((0, 300_000_000, SECOND_NS, 3 * SECOND_NS))
            attempts = draw.randint(0, 50)
            failures = draw.randint(0, attempts)
            traffic.observe_event(
                EndpointLoadReport(
                    draw.choice(ZONES),
                    draw.choice(names),
                    attempts,
                    failures,
                    1,
                    draw.choice((0, SECOND_NS)),
                    None,
                ),
                now,
            )
            traffic.observe_event(
                DemandReport(draw.choice("pqr"), draw.choice(("read", "write")), attempts, 0, SECOND_NS), now
            )
            if draw.random() < 0.05:
                traffic.observe_event(ProxyDisconnected(draw.choice("pqr")), now)
            warm = frozenset(draw.sample(names, len(names) - 1))
            zone_peak_rates = traffic.peak_rates(statuses, warm.__contains__, now)
            row = (
                list(zone_peak_rates.items()), list(peak_by_kind(zone_peak_rates).items()),
                traffic.request_rate("pq", ("read",), now),
                sorted(traffic.responding_endpoints(now)), sorted(traffic.failing_zones(statuses, now)),
            )  # fmt: skip
            digest.update(repr(row).encode())
    assert digest.hexdigest() == TRAFFIC_SHA256
