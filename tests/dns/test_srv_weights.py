"""Weights of SRV records, and the draws that rotate answers."""

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.controller.table_contents import TableEntry
from swiftchute.dns.srv_weights import apportion, draw_answers, srv_weights


@given(weights=st.lists(st.floats(1e-4, 1e4), min_size=1, max_size=30))
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_srv_weights_keep_every_entry_and_the_proportions(weights):
    entries = [TableEntry(f"10.0.0.{k}:1", "z", value) for k, value in enumerate(weights)]
    srv = srv_weights(entries)
    assert all(1 <= value <= 65_535 for value in srv)
    scale = max(max(weights) * 10_000 / 65_535, 1.0)
    for weight, srv_weight in zip(weights, srv, strict=True):
        assert abs(srv_weight - weight * 10_000 / scale) <= 1


def test_srv_weights_at_both_ends_of_the_range():
    assert srv_weights([TableEntry("a:1", "z", 0.0001), TableEntry("b:1", "z", 6.5535)]) == [1, 65_535]
    assert srv_weights([TableEntry("a:1", "z", 0.0001), TableEntry("b:1", "z", 1e6)]) == [1, 65_535]


@given(weights=st.lists(st.floats(0.05, 10), min_size=1, max_size=20), endpoints_per_draw=st.integers(1, 6))
@hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
def test_endpoints_are_first_in_draws_in_proportion_and_evenly_spread(weights, endpoints_per_draw):
    entries = [TableEntry(f"s{k}:1", "z", weight) for k, weight in enumerate(weights)]
    draws = draw_answers(entries, endpoints_per_draw, 256)
    total = len(draws)
    for k, share in enumerate(weight / sum(weights) for weight in weights):
        positions = [position for position, draw in enumerate(draws) if draw[0] == f"s{k}:1"]
        assert abs(len(positions) - share * total) < 2
        gaps = [
            later - earlier
            for earlier, later in zip(positions, [*positions[1:], positions[0] + total], strict=True)
        ]
        assert max(gaps) <= 2 * total / len(positions) + len(entries)  # no long run of draws without it
    assert all(len(set(draw)) == len(draw) == min(endpoints_per_draw, len(entries)) for draw in draws)
    assert sum(apportion([weight for _, _, weight in entries], total)) >= total
