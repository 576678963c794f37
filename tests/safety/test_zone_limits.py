"""Zone overload and large steps, beside an oracle written apart from the rules."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.safety.proposal import (
    Observations,
    Proposal,
    SafetyRules,
)
from swiftchute.safety.validator import Validator
from tests.support.safety import NOW, SETTINGS, ZONES, proposal, status, validate, violated


def zone_loads(tables, demand, statuses):
    """Requests per second by zone, entry by entry."""
    found = dict.fromkeys(ZONES, 0.0)
    for t, weights in tables.items():
        for n, w in weights.items():
            if statuses[n].state == "ready":
                found[statuses[n].zone] += demand[t] * w / sum(weights.values())
    return found


@st.composite
def moves(draw):
    statuses = {f"{zone}{k}": status(zone) for zone in ZONES for k in range(draw(st.integers(1, 3)))}
    weights = st.dictionaries(st.sampled_from(list(statuses)), st.sampled_from([0.1, 1.0, 5.0]), min_size=1)
    count = draw(st.integers(1, 3))
    return (
        statuses,
        {t: draw(weights) for t in range(count)},
        {t: draw(weights) for t in range(count)},
        {t: draw(weights) for t in range(count)},
        {t: draw(st.sampled_from([1.0, 10.0, 80.0])) for t in range(count)},
        draw(st.sampled_from([4.0, 20.0])),
        draw(st.sampled_from([frozenset(), frozenset({"east"}), frozenset({"west"})])),
    )


def exceeded_limits(new, old, then, demand, statuses, full, ill):
    """Rules that a change breaks, from their words."""
    a, b, c = (zone_loads(x, demand, statuses) for x in (old, new, then))
    can = {z: full * sum(f.zone == z for f in statuses.values()) for z in ZONES}
    broken = set()
    for z, o in (ZONES, ZONES[::-1]):
        if b[z] <= a[z] * 1.001:
            continue
        has_room = o not in ill and b[o] < can[o] and a[o] > b[o]
        if has_room and b[z] > max(2 * can[z], a[z]) * 1.002:
            broken.add("overfull pool")
        most = c[z] + 0.6 * sum(b.values()) + sum(c[i] for i in ill)
        if b[z] > max(most, a[z]) * 1.002:
            broken.add("large step")
    return broken


def check_moves_against_oracle(world):
    statuses, old, new, then, demand, full, ill = world
    rows = {t: Proposal(new[t], 1.0, frozenset(ZONES), request_rate=demand[t]) for t in new}
    known = Observations({"east": full, "west": full}, failing_zones=ill, weights_at_window_start=then)
    verdict = Validator(SETTINGS, SafetyRules()).validate(rows, old, statuses, known, NOW)
    asked = exceeded_limits(new, old, then, demand, statuses, full, ill)
    assert asked <= violated(verdict)
    made = {t: weights for t, (weights, _) in verdict.tables.items()}
    if violated(verdict):
        assert exceeded_limits(made, old, then, demand, statuses, full, ill) == set(), made
        assert made != new
    else:
        assert made == new


@given(moves())
@hypothesis_settings(max_examples=400, deadline=None, derandomize=True)
def test_generated_moves_between_zones_agree_with_the_oracle(world):
    check_moves_against_oracle(world)


def test_a_step_larger_than_the_window_allows_is_published_in_parts():
    statuses = {"a": status(), "w": status("west")}
    asked, before = {1: proposal(ZONES, demand=10.0, w=1.0)}, {1: {"a": 1.0}}
    verdict = validate(asked, statuses, before, known={"weights_at_window_start": before})
    assert violated(verdict) == {"large step"}
    weights, _ = verdict.tables[1]
    assert weights["w"] / sum(weights.values()) == pytest.approx(0.6, rel=0.01)
    # a window later the rest may go
    rest = validate(asked, statuses, {1: weights}, known={"weights_at_window_start": {1: weights}})
    assert rest.tables[1][0] == {"w": 1.0}


def test_nothing_is_held_back_in_a_zone_that_fails_or_drains():
    statuses = {"a": status(), "w": status("west")}
    asked, before = {1: proposal(ZONES, demand=10.0, w=1.0)}, {1: {"a": 1.0}}
    assert (
        validate(
            asked,
            statuses,
            before,
            known={"weights_at_window_start": before, "failing_zones": frozenset({"east"})},
        ).violations
        == []
    )
    drained = statuses | {"a": status(state="draining")}
    assert validate(asked, drained, before, known={"weights_at_window_start": before}).tables[1][0] == {
        "w": 1.0
    }
