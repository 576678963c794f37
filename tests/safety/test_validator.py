"""Compares the validator with an independently written oracle.

The oracle follows the wording of the rules, with its own sums over all entries; it imports only the types of
the validator.
"""

import math

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.safety.proposal import (
    EXCEPTIONS,
    Observations,
    Proposal,
    SafetyRules,
)
from swiftchute.safety.validator import Validator
from tests.support.safety import NOW, SETTINGS, ZONES, S, proposal, status, validate, violated


def capacity(endpoint_status, now):
    """Fraction of its capacity that an endpoint has: linear from the fraction at a start, by the settings."""
    if endpoint_status.started_ns == 0:
        return 1.0
    return min(1.0, 0.2 + 0.8 * max(0.0, (now - endpoint_status.started_ns) / (16 * S)))


def violated_rules(tables, admission_rates, zones, local, request_rates, statuses, peak_rates, now):
    """Names of the rules that unmodified tables break, by enumeration of every entry."""
    broken = set()
    ready = [n for n, endpoint_status in statuses.items() if endpoint_status.state == "ready"]
    for t, weights in tables.items():
        if any(math.isnan(w) or math.isinf(w) or w <= 0 for w in weights.values()):
            broken.add("bad weight")
            continue
        if any(n not in statuses or statuses[n].state != "ready" for n in weights):
            broken.add("barred server")
        if not zones[t]:
            continue
        if local[t] and any(statuses[n].zone not in zones[t] for n in weights if n in ready):
            broken.add("own zone")
        in_own_zone = [n for n in ready if statuses[n].zone in zones[t]]
        usable = (
            in_own_zone if local[t] or any(capacity(statuses[n], now) == 1 for n in in_own_zone) else ready
        )
        if not weights and usable:
            broken.add("empty pool")
        if any(capacity(statuses[n], now) == 1 for n in usable) and not any(
            n in ready and capacity(statuses[n], now) == 1 for n in weights
        ):
            broken.add("empty pool" if not weights else "no warm server")
    if "bad weight" in broken:
        return broken
    for n in ready:
        if capacity(statuses[n], now) == 1:
            continue
        tables_with_endpoint = [t for t in tables if zones[t] and n in tables[t]]
        if not tables_with_endpoint:
            continue
        limit = 2.5 * capacity(statuses[n], now) * peak_rates[statuses[n].zone] * statuses[n].weight
        load = sum(
            request_rates[t] * admission_rates[t] * tables[t][n] / sum(tables[t].values())
            for t in tables_with_endpoint
        )
        if load > limit * 1.01:
            only_warming_up = all(
                not any(m in ready and capacity(statuses[m], now) == 1 for m in tables[t])
                for t in tables_with_endpoint
            )
            broken.add("only cold servers" if only_warming_up else "cold budget")
    return broken


endpoint_statuses = st.integers(1, 7).flatmap(
    lambda count: st.tuples(
        *[
            st.builds(
                status,
                st.sampled_from(ZONES),
                st.sampled_from(["ready", "ready", "ready", "draining", "gone"]),
                st.sampled_from([None, None, 0.0, 2.0, 9.0, 15.9, 16.0]),
                st.sampled_from([0.5, 1.0, 4.0]),
            )
            for _ in range(count)
        ]
    )
)


weight_values = st.sampled_from([1e-4, 0.3, 1.0, 5.0, 1e6, 0.0, -1.0, math.nan, math.inf])


@st.composite
def worlds(draw):
    statuses = {f"s{k}": f for k, f in enumerate(draw(endpoint_statuses))}
    names = [*statuses, "stranger"]
    proposed = {}
    for t in range(draw(st.integers(1, 3))):
        weights = draw(st.dictionaries(st.sampled_from(names), weight_values, max_size=6))
        zones = draw(st.sampled_from([(), ("east",), ("west",), ZONES]))
        proposed[t] = Proposal(
            weights, draw(st.sampled_from([1.0, 0.5, 0.1])), frozenset(zones), draw(st.booleans()),
            draw(st.sampled_from([0.0, 5.0, 40.0, 400.0])))  # fmt: skip
    published = {
        t: draw(st.dictionaries(st.sampled_from(list(statuses)), st.just(1.0), max_size=4)) for t in proposed
    }
    return proposed, statuses, published, {"east": draw(st.sampled_from([1.0, 12.0])), "west": 12.0}


def check_against_oracle(world):
    proposed, statuses, published, peak_rates = world
    verdict = Validator(
        SETTINGS,
        SafetyRules(slow_start_fraction=1.0, max_zone_load_multiple=math.inf, max_step_fraction=math.inf),
    ).validate(proposed, published, statuses, Observations(peak_rates), NOW)
    zones, local = (
        {t: p.proxy_zones for t, p in proposed.items()},
        {t: p.zone_local for t, p in proposed.items()},
    )
    request_rates = {t: p.request_rate for t, p in proposed.items()}
    violated_before = violated_rules(
        {t: dict(p.weights) for t, p in proposed.items()},
        {t: p.admission_rate for t, p in proposed.items()},
        zones,
        local,
        request_rates,
        statuses,
        peak_rates,
        NOW,
    )
    violated_after = violated_rules(
        {t: weights for t, (weights, _) in verdict.tables.items()},
        {t: rate for t, (_, rate) in verdict.tables.items()},
        zones,
        local,
        request_rates,
        statuses,
        peak_rates,
        NOW,
    )
    reported = violated(verdict)
    if not violated_before:  # a safe table is not corrected but published exactly
        assert reported <= {"no open server"}
        assert {
            t: (dict(p.weights), p.admission_rate) for t, p in proposed.items()
        } == verdict.tables or "no open server" in reported
    elif "bad weight" not in violated_before:
        empty_or_not_warm = {"empty pool", "no warm server"}  # a table of only closed endpoints breaks both
        assert violated_before - empty_or_not_warm <= reported | {
            *EXCEPTIONS,
            "cold budget",
        }  # every violated rule is reported
        assert not violated_before & empty_or_not_warm or reported & {*empty_or_not_warm, "no open server"}
    if "no open server" not in reported:
        assert not violated_after, (violated_before, violated_after)  # no unsafe table passes
    closed = [
        n
        for weights, _ in verdict.tables.values()
        for n in weights
        if n in statuses and statuses[n].state != "ready"
    ]
    assert not closed or "no open server" in reported


@given(worlds())
@hypothesis_settings(max_examples=600, deadline=None, derandomize=True)
def test_generated_tables_agree_with_the_oracle(world):
    check_against_oracle(world)


def test_a_drain_inside_a_corrected_table_is_published():
    statuses = {"a": status(), "b": status(state="draining"), "c": status(age=0)}
    verdict = validate({1: proposal(c=1.0)}, statuses, {1: {"a": 1.0, "b": 1.0}})
    weights, _ = verdict.tables[1]
    assert "a" in weights
    assert "b" not in weights
    assert "no warm server" in violated(verdict)


def test_a_rule_that_only_warns_changes_nothing():
    statuses = {"a": status(state="draining"), "b": status()}
    verdict = validate({1: proposal(a=1.0, b=1.0)}, statuses, warn_only=frozenset({"barred server"}))
    assert verdict.tables[1][0] == {"a": 1.0, "b": 1.0}
    assert [(r.rule, r.outcome) for r in verdict.violations] == [("barred server", "warned")]
