"""A table's shares in answers: whole weights for SRV, and draws for answers without weights. No I/O.

    srv_weights(lines)                 # 1 to 65535 each, as near to the lines as that allows
    draws(lines, size, answers)        # lists of `size` servers, first in each in proportion to its weight

A draw cannot hold a small share: whoever caches it sends all that it has to the few in it. A server that
has just started must not be in one, so the caller leaves such lines out.
"""

from collections.abc import Sequence

from swiftchute.versions.encoding import WEIGHT_SCALE

WEIGHT_MOST = 65_535  # RFC 2782: 16 bits; 0 is kept for "no choice to make"
ANSWERS_MOST = 1024

Line = tuple[str, str, float]


def srv_weights(lines: Sequence[Line]) -> list[int]:
    """The weights of SRV records: the table's own units while they fit, so that one changed line is one
    changed record; scaled down together where one does not. No line is lost: 1 at least."""
    units = [weight * WEIGHT_SCALE for _, _, weight in lines]
    over = max(max(units, default=0.0) / WEIGHT_MOST, 1.0)
    return [min(max(round(u / over), 1), WEIGHT_MOST) for u in units]


def counts(weights: Sequence[float], many: int) -> list[int]:
    """How often each is drawn among `many`: in proportion by the largest remainders, once at least."""
    total = sum(weights)
    exact = [w / total * many for w in weights]
    found = [max(int(x), 1) for x in exact]
    order = sorted(range(len(weights)), key=lambda k: (exact[k] - int(exact[k]), -k), reverse=True)
    for k in order:
        if sum(found) >= many:
            break
        found[k] += 1
    return found


def draws(lines: Sequence[Line], size: int, answers: int) -> list[list[str]]:
    """Answers in which servers stand first in proportion to their weights, evenly spread, each followed by
    others drawn in the same way."""
    if not lines:
        return []
    size = min(size, len(lines))
    smallest = min(w for _, _, w in lines) / sum(w for _, _, w in lines)
    answers = min(max(answers, len(lines), round(1 / smallest)), ANSWERS_MOST)
    times = counts([w for _, _, w in lines], answers)
    # each stands at even distances of its own, so that any stretch holds all in proportion
    turns = sorted(((k + 0.5) / many, place) for place, many in enumerate(times) for k in range(many))
    order = [lines[place][0] for _, place in turns]
    made = []
    for start in range(len(order)):
        picked: dict[str, None] = {}
        for step in range(len(order)):
            picked[order[(start + step) % len(order)]] = None
            if len(picked) == size:
                break
        made.append(list(picked))
    return made
