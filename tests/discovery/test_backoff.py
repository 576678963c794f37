"""Backoff: growth, bound, jitter and reset, against the formulas written out."""

import random

from swiftchute.discovery.backoff import Backoff

MS = 1_000_000


def test_waits_double_up_to_the_maximum_with_one_draw_each():
    backoff, oracle = Backoff(100 * MS, 1000 * MS, random.Random(7)), random.Random(7)
    for bound_ms in (100, 200, 400, 800, 1000, 1000):
        assert backoff.next_wait_ns() == int(bound_ms * MS * oracle.uniform(0.5, 1.0))


def test_a_reset_starts_again_at_the_first_wait_and_draws_nothing():
    backoff, oracle = Backoff(100 * MS, 1000 * MS, random.Random(7)), random.Random(7)
    for _ in range(3):
        backoff.next_wait_ns()
        oracle.uniform(0.5, 1.0)
    backoff.reset()
    assert backoff.next_wait_ns() == int(100 * MS * oracle.uniform(0.5, 1.0))
