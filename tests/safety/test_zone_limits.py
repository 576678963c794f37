"""Zone overload and large steps, compared with an independently written oracle."""

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


def zone_loads(tables, request_rates, statuses):
    """Requests per second by zone, summed over all entries."""
    loads = dict.fromkeys(ZONES, 0.0)
    for t, weights in tables.items():
        for n, w in weights.items():
            if statuses[n].state == "ready":
                loads[statuses[n].zone] += request_rates[t] * w / sum(weights.values())
    return loads


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


def exceeded_limits(new, old, window_start, request_rates, statuses, peak_rate, failing):
    """Rules that a change breaks, by the wording of the rules."""
    old_loads, new_loads, start_loads = (
        zone_loads(tables, request_rates, statuses) for tables in (old, new, window_start)
    )
    capacity = {
        target: peak_rate * sum(known.zone == target for known in statuses.values()) for target in ZONES
    }
    broken = set()
    for target, other in (ZONES, ZONES[::-1]):
        if new_loads[target] <= old_loads[target] * 1.001:
            continue
        has_room = (
            other not in failing
            and new_loads[other] < capacity[other]
            and old_loads[other] > new_loads[other]
        )
        if has_room and new_loads[target] > max(2 * capacity[target], old_loads[target]) * 1.002:
            broken.add("overfull pool")
        step_limit = (
            start_loads[target] + 0.6 * sum(new_loads.values()) + sum(start_loads[i] for i in failing)
        )
        if new_loads[target] > max(step_limit, old_loads[target]) * 1.002:
            broken.add("large step")
    return broken


def check_moves_against_oracle(world):
    statuses, old, new, window_start, request_rates, peak_rate, failing = world
    proposed = {t: Proposal(new[t], 1.0, frozenset(ZONES), request_rate=request_rates[t]) for t in new}
    observations = Observations(
        {"east": peak_rate, "west": peak_rate}, failing_zones=failing, weights_at_window_start=window_start
    )
    verdict = Validator(SETTINGS, SafetyRules()).validate(proposed, old, statuses, observations, NOW)
    exceeded = exceeded_limits(new, old, window_start, request_rates, statuses, peak_rate, failing)
    assert exceeded <= violated(verdict)
    published = {t: weights for t, (weights, _) in verdict.tables.items()}
    if violated(verdict):
        assert (
            exceeded_limits(published, old, window_start, request_rates, statuses, peak_rate, failing)
            == set()
        ), published
        assert published != new
    else:
        assert published == new


@given(moves())
@hypothesis_settings(max_examples=400, deadline=None, derandomize=True)
def test_generated_moves_between_zones_agree_with_the_oracle(world):
    check_moves_against_oracle(world)


def test_a_step_larger_than_the_window_allows_is_published_in_parts():
    statuses = {"a": status(), "w": status("west")}
    proposed, before = {1: proposal(ZONES, demand=10.0, w=1.0)}, {1: {"a": 1.0}}
    verdict = validate(proposed, statuses, before, known={"weights_at_window_start": before})
    assert violated(verdict) == {"large step"}
    weights, _ = verdict.tables[1]
    assert weights["w"] / sum(weights.values()) == pytest.approx(0.6, rel=0.01)
    # one window later the rest may follow
    rest = validate(proposed, statuses, {1: weights}, known={"weights_at_window_start": {1: weights}})
    assert rest.tables[1][0] == {"w": 1.0}


def test_load_of_a_failing_or_draining_zone_is_not_held_back():
    statuses = {"a": status(), "w": status("west")}
    proposed, before = {1: proposal(ZONES, demand=10.0, w=1.0)}, {1: {"a": 1.0}}
    assert (
        validate(
            proposed,
            statuses,
            before,
            known={"weights_at_window_start": before, "failing_zones": frozenset({"east"})},
        ).violations
        == []
    )
    drained = statuses | {"a": status(state="draining")}
    assert validate(proposed, drained, before, known={"weights_at_window_start": before}).tables[1][0] == {
        "w": 1.0
    }
