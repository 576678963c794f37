"""Backoff: growth, bound, jitter and reset, compared with the formula."""

import random

from swiftchute.discovery.backoff import Backoff

NS_PER_MS = 1_000_000


def test_waits_double_up_to_the_maximum_with_one_draw_each():
    backoff, expected_random = Backoff(100 * NS_PER_MS, 1000 * NS_PER_MS, random.Random(7)), random.Random(7)
    for bound_ms in (100, 200, 400, 800, 1000, 1000):
        assert backoff.next_wait_ns() == int(bound_ms * NS_PER_MS * expected_random.uniform(0.5, 1.0))


def test_a_reset_starts_again_at_the_first_wait_and_draws_nothing():
    backoff, expected_random = Backoff(100 * NS_PER_MS, 1000 * NS_PER_MS, random.Random(7)), random.Random(7)
    for _ in range(3):
        backoff.next_wait_ns()
        expected_random.uniform(0.5, 1.0)
    backoff.reset()
    assert backoff.next_wait_ns() == int(100 * NS_PER_MS * expected_random.uniform(0.5, 1.0))
