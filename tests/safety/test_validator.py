"""The validator beside an oracle written apart from it.

The oracle works from the words of the rules with sums over all entries, in its own arithmetic; it imports
nothing of the validator but the types.
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


def capacity(f, now):
    """The part of its capacity that an endpoint has: by the settings, evenly from the part at a start."""
    if f.started_ns == 0:
        return 1.0
    return min(1.0, 0.2 + 0.8 * max(0.0, (now - f.started_ns) / (16 * S)))


def violated_rules(tables, levels, zones, local, demand, statuses, full, now):
    """Names of the rules that tables as they are would break, by enumeration of every entry."""
    broken = set()
    ready = [n for n, f in statuses.items() if f.state == "ready"]
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
        own = [n for n in ready if statuses[n].zone in zones[t]]
        may = own if local[t] or any(capacity(statuses[n], now) == 1 for n in own) else ready
        if not weights and may:
            broken.add("empty pool")
        if any(capacity(statuses[n], now) == 1 for n in may) and not any(
            n in ready and capacity(statuses[n], now) == 1 for n in weights
        ):
            broken.add("empty pool" if not weights else "no warm server")
    if "bad weight" in broken:
        return broken
    for n in ready:
        if capacity(statuses[n], now) == 1:
            continue
        on = [t for t in tables if zones[t] and n in tables[t]]
        if not on:
            continue
        budget = 2.5 * capacity(statuses[n], now) * full[statuses[n].zone] * statuses[n].weight
        load = sum(demand[t] * levels[t] * tables[t][n] / sum(tables[t].values()) for t in on)
        if load > budget * 1.01:
            alone = all(
                not any(m in ready and capacity(statuses[m], now) == 1 for m in tables[t]) for t in on
            )
            broken.add("only cold servers" if alone else "cold budget")
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
    known = [*statuses, "stranger"]
    rows = {}
    for t in range(draw(st.integers(1, 3))):
        weights = draw(st.dictionaries(st.sampled_from(known), weight_values, max_size=6))
        zones = draw(st.sampled_from([(), ("east",), ("west",), ZONES]))
        rows[t] = Proposal(
            weights, draw(st.sampled_from([1.0, 0.5, 0.1])), frozenset(zones), draw(st.booleans()),
            draw(st.sampled_from([0.0, 5.0, 40.0, 400.0])))  # fmt: skip
    before = {
        t: draw(st.dictionaries(st.sampled_from(list(statuses)), st.just(1.0), max_size=4)) for t in rows
    }
    return rows, statuses, before, {"east": draw(st.sampled_from([1.0, 12.0])), "west": 12.0}


def check_against_oracle(world):
    rows, statuses, before, full = world
    verdict = Validator(
        SETTINGS,
        SafetyRules(slow_start_fraction=1.0, max_zone_load_multiple=math.inf, max_step_fraction=math.inf),
    ).validate(rows, before, statuses, Observations(full), NOW)
    zones, local = {t: p.proxy_zones for t, p in rows.items()}, {t: p.zone_local for t, p in rows.items()}
    demand = {t: p.request_rate for t, p in rows.items()}
    asked = violated_rules(
        {t: dict(p.weights) for t, p in rows.items()},
        {t: p.admission_rate for t, p in rows.items()},
        zones,
        local,
        demand,
        statuses,
        full,
        NOW,
    )
    after = violated_rules(
        {t: weights for t, (weights, _) in verdict.tables.items()},
        {t: level for t, (_, level) in verdict.tables.items()},
        zones,
        local,
        demand,
        statuses,
        full,
        NOW,
    )
    named = violated(verdict)
    if not asked:  # nothing safe is corrected: it is published exactly
        assert named <= {"no open server"}
        assert {
            t: (dict(p.weights), p.admission_rate) for t, p in rows.items()
        } == verdict.tables or "no open server" in named
    elif "bad weight" not in asked:
        emptied = {"empty pool", "no warm server"}  # a table of closed endpoints alone is both
        assert asked - emptied <= named | {*EXCEPTIONS, "cold budget"}  # every violation names the rule
        assert not asked & emptied or named & {*emptied, "no open server"}
    if "no open server" not in named:
        assert not after, (asked, after)  # nothing unsafe passes
    drained = [
        n
        for weights, _ in verdict.tables.values()
        for n in weights
        if n in statuses and statuses[n].state != "ready"
    ]
    assert not drained or "no open server" in named


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
