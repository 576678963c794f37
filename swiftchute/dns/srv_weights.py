"""Weights of table entries in answers: SRV weights, and draws for address answers. No I/O.

Example:
    srv_weights(entries)  # 1 to 65535 each, approximately in proportion
    draw_answers(entries, endpoints_per_draw=4, min_draws=256)  # endpoints are first in proportion to weights

Address records have no weights, so address answers rotate through draws: short lists of endpoints, of which
most clients use the first. A draw cannot represent a small weight: a resolver that caches one sends all of
its requests to the few endpoints in it. So the caller leaves out endpoints that are warming up.
"""

from collections.abc import Sequence

from swiftchute.controller.table_contents import TableEntry
from swiftchute.versions.encoding import WEIGHT_SCALE

MIN_SRV_WEIGHT = 1  # weight 0 means that there is no server selection to do (RFC 2782)
MAX_SRV_WEIGHT = 65_535  # 16 bits (RFC 2782)
MAX_DRAWS = 1024


def srv_weights(entries: Sequence[TableEntry]) -> list[int]:
    """Return the SRV weight of each entry.

    If they fit, the weights are the weight units of the stored table, so that one changed entry changes one
    record; otherwise all are scaled down together. Each weight is at least `MIN_SRV_WEIGHT`.
    """
    units = [entry.weight * WEIGHT_SCALE for entry in entries]
    divisor = max(max(units, default=0.0) / MAX_SRV_WEIGHT, 1.0)
    return [min(max(round(unit / divisor), MIN_SRV_WEIGHT), MAX_SRV_WEIGHT) for unit in units]


def apportion(weights: Sequence[float], total: int) -> list[int]:
    """Divide `total` in proportion to the weights by the largest remainder method; each part is at least 1.

    The sum of the parts exceeds `total` if the minimum of 1 requires it.
    """
    weight_sum = sum(weights)
    exact = [weight / weight_sum * total for weight in weights]
    parts = [max(int(part), 1) for part in exact]
    by_remainder = sorted(
        range(len(weights)), key=lambda index: (exact[index] - int(exact[index]), -index), reverse=True
    )
    for index in by_remainder:
        if sum(parts) >= total:
            break
        parts[index] += 1
    return parts


def draw_answers(entries: Sequence[TableEntry], endpoints_per_draw: int, min_draws: int) -> list[list[str]]:
    """Return draws in which endpoints are first in proportion to their weights, evenly spread.

    Args:
        entries: The entries to draw from.
        endpoints_per_draw: The number of endpoints in a draw, if there are that many; the endpoints after
            the first are chosen in the same way.
        min_draws: The minimum number of draws, up to `MAX_DRAWS`.
    """
    if not entries:
        return []
    endpoints_per_draw = min(endpoints_per_draw, len(entries))
    smallest_share = min(entry.weight for entry in entries) / sum(entry.weight for entry in entries)
    draw_count = min(max(min_draws, len(entries), round(1 / smallest_share)), MAX_DRAWS)
    first_places = apportion([entry.weight for entry in entries], draw_count)
    # Each endpoint appears at even distances, so that any run of draws contains all in proportion.
    positions = sorted(
        ((turn + 0.5) / count, index) for index, count in enumerate(first_places) for turn in range(count)
    )
    order = [entries[index].endpoint for _, index in positions]
    return [_take_distinct(order, start, endpoints_per_draw) for start in range(len(order))]


def _take_distinct(order: Sequence[str], start: int, count: int) -> list[str]:
    """Return the first `count` distinct endpoints of a cyclic order, beginning at `start`."""
    picked: dict[str, None] = {}
    for step in range(len(order)):
        picked[order[(start + step) % len(order)]] = None
        if len(picked) == count:
            break
    return list(picked)
