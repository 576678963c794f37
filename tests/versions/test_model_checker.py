"""The model checker: it visits all states of a small model and finds known bugs."""

import pytest

from swiftchute.versions.known_bugs import KNOWN_BUGS
from swiftchute.versions.model_checker import Model, explore


def test_every_interleaving_of_a_small_model_keeps_its_invariants():
    result = explore(Model(proxy_count=1, version_count=3, channel_capacity=2))
    assert (result.broken, result.trace) == ("", [])
    assert (result.states, result.steps) == (4492, 40094)
    two_proxies = explore(
        Model(proxy_count=2, version_count=2, channel_capacity=1), max_states=3000
    )  # only its first states; the whole model is explored outside CI
    assert two_proxies.broken == "exploration incomplete: more than 3000 states"


STATES_AND_STEPS = {
    "takes late messages": (324, 1129),
    "takes any answer": (1094, 4781),
    "trusts silence": (953, 4220),
    "applies blindly": (950, 4206),
}


@pytest.mark.parametrize("bug", KNOWN_BUGS)
def test_a_known_bug_is_found_with_its_shortest_trace(bug):
    result = explore(Model(1, 3, 2, *KNOWN_BUGS[bug]))
    assert result.broken
    assert "exploration incomplete" not in result.broken
    assert 0 < len(result.trace) < 12
    assert (result.states, result.steps) == STATES_AND_STEPS[bug]
