"""The worst list that could be true while the known one is late.

Within the lateness bound up to `k` listed workers may have restarted (and are cold now) or gone. A worker
that is gone
takes nothing, so its part goes to the others; one that restarted takes its part with the capacity of a start.

    ratio, cold, gone = worst(lines, rate, budget, k)

The worst list in about n log n: whichever worker is taken for cold, the gone ones that harm it most are the
k - 1
others of the most weight, and more cold workers harm none; so one pass over the lines by weight tries every
worker.
"""

from collections.abc import Mapping


def worst_case_overload(
    lines: Mapping[str, float], rate: float, budget: Mapping[str, float], k: int
) -> tuple[float, str, tuple[str, ...]]:
    """The greatest load over budget that a worker just restarted could get, which one, and who would be gone.

    `lines`: weight by worker; `rate`: what the table is sent a second; `budget`: what each may be sent if it
    has just
    restarted; `k`: how many may differ from the list. (0.0, "", ()) if none may, or nothing is sent.
    """
    order = sorted(lines, key=lambda n: (-lines[n], n))
    total = sum(lines.values())
    if k < 1 or not order or rate <= 0 or total <= 0:
        return 0.0, "", ()
    top = order[:k]  # of these all but the one taken for cold are gone, or all but the least
    weight = sum(lines[n] for n in top)
    found = (0.0, "", ())
    for place, name in enumerate(order):
        out = weight - (lines[name] if place < k else lines[top[-1]])
        load = rate * lines[name] / max(total - out, lines[name])
        ratio = load / budget[name] if budget[name] > 0 else float("inf")
        if ratio > found[0]:
            found = (ratio, name, tuple(n for n in (top if place < k else top[:-1]) if n != name))
    return found
