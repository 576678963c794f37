"""Weighted load balancing, with excluded and avoided endpoints."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.proxy.load_balancing import (
    RoundRobinPicker,
    TwoChoicesPicker,
    WeightedRandomPicker,
    choose_endpoint,
)

WEIGHTS = st.dictionaries(st.sampled_from("abcdefgh"), st.integers(1, 65_535), min_size=1)


@given(weights=WEIGHTS)
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_weighted_random_probabilities_equal_the_weights(weights):
    picker = WeightedRandomPicker(weights)
    probabilities = Counter()
    for index, endpoint in enumerate(picker.endpoints):
        probabilities[endpoint] += picker.probabilities[index] / len(picker.endpoints)
        probabilities[picker.endpoints[picker.aliases[index]]] += (1 - picker.probabilities[index]) / len(
            picker.endpoints
        )
    for endpoint, weight in weights.items():
        assert probabilities[endpoint] == pytest.approx(weight / sum(weights.values()), abs=1e-9)


@given(
    weights=st.dictionaries(st.sampled_from("abcd"), st.integers(1, 9), min_size=1), seed=st.integers(0, 99)
)
@hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
def test_round_robin_stays_within_one_turn_per_endpoint_of_the_weights(weights, seed):
    picker, rng, seen = RoundRobinPicker(weights), random.Random(seed), Counter()
    for count in range(1, 200):
        seen[picker.pick(rng)] += 1
        for endpoint, weight in weights.items():
            assert abs(seen[endpoint] - count * weight / sum(weights.values())) <= len(weights)


def test_two_choices_prefers_the_endpoint_with_less_load_for_its_weight():
    in_flight = {"a": 50, "b": 0}
    picker, rng = TwoChoicesPicker({"a": 1, "b": 1}, in_flight.__getitem__), random.Random(7)
    assert Counter(picker.pick(rng) for _ in range(2000))["b"] / 2000 == pytest.approx(0.75, abs=0.04)


@given(
    weights=WEIGHTS,
    excluded=st.sets(st.sampled_from("abcdefgh")),
    avoided=st.sets(st.sampled_from("abcdefgh")),
)
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_excluded_endpoints_are_never_chosen_and_avoided_ones_only_as_a_last_resort(
    weights, excluded, avoided
):
    chosen = choose_endpoint(WeightedRandomPicker(weights), random.Random(3), excluded, avoided)
    left = weights.keys() - excluded
    if not left:
        assert chosen is None
    else:
        assert chosen in (left - avoided or left)


def test_remaining_endpoints_keep_their_proportions_when_one_is_avoided():
    picker, rng = WeightedRandomPicker({"a": 10, "b": 20, "c": 60}), random.Random(5)
    seen = Counter(choose_endpoint(picker, rng, (), {"c"}, max_draws=50) for _ in range(3000))
    assert seen["b"] / 3000 == pytest.approx(2 / 3, abs=0.03)
