"""What versions of tables cost: bytes and CPU of a delta beside the whole, memory a version, a long history.

    PYTHONPATH=. python benchmarks/tables.py

One process; figures are compared within a run only. CPU is the median of many turns, delta and whole by
turns.
"""

import random
import statistics
import time
import tracemalloc

from swiftchute.versions.encoding import (
    apply_delta,
    decode_delta,
    decode_table,
    encode,
    make_delta,
    make_table,
)
from swiftchute.versions.history import VersionHistory

S = 1_000_000_000


def lines(many, seed=7):
    """Weights of so many servers."""
    chance = random.Random(seed)
    return {f"10.0.{k // 250}.{k % 250}:8080": round(chance.uniform(0.2, 2), 4) for k in range(many)}


def made(weights):
    """The table of these weights."""
    return make_table([("lot-estimate", 1.0, 1)], [(s, "north", w) for s, w in weights.items()])


def cpu(act):
    """Microseconds of CPU."""
    start = time.process_time_ns()
    for _ in range(20):
        act()
    return (time.process_time_ns() - start) / 20_000


def deltas():
    """One changed line, delta beside whole."""
    for many in (100, 400):
        one = made(lines(many))
        two = made(lines(many) | {"10.0.0.7:8080": 3.0})
        step, whole = encode(make_delta(one, two)), encode(two)
        rows = {"make delta": lambda a=one, b=two: encode(make_delta(a, b)),
                "make whole": lambda b=two: encode(b),
                "apply delta": lambda s=step, a=one: apply_delta(decode_delta(s), a),
                "take whole": lambda w=whole: decode_table(w)}  # fmt: skip
        found = {name: [] for name in rows}
        for _ in range(30):
            for name, act in rows.items():
                found[name].append(cpu(act))
        took = ", ".join(f"{name} {statistics.median(us):.0f} us" for name, us in found.items())
        print(f"{many} lines: delta {len(step)} bytes, whole {len(whole)}; {took}")


def filled(many):
    """A history of 10,000 versions of one changed line each; the CPU of each entry, in nanoseconds."""
    chance, weights, took = random.Random(1), lines(many), []
    names, kept = sorted(weights), VersionHistory("0", max_entries=20_000, max_age_ns=10**18)
    for k in range(10_000):
        weights[chance.choice(names)] = round(chance.uniform(0.2, 2), 4)
        content = made(weights)
        start = time.process_time_ns()
        kept.record("0.1", content, k * S, "health")
        took.append(time.process_time_ns() - start)
    return kept, took


def history():
    """Memory a version, and what a log and a diff cost on many versions."""
    for many in (100, 400):
        tracemalloc.start()
        kept, _ = filled(many)
        size = tracemalloc.get_traced_memory()[0] / 10_000
        tracemalloc.stop()
        kept, took = filled(many)
        early, late = (statistics.median(half) / 1000 for half in (took[:5000], took[5000:]))
        log = cpu(lambda h=kept: h.changes("0.1", 50))
        one, two = (kept.find("0.1", asked).version for asked in ("#10", "~0"))
        far = cpu(lambda h=kept, a=one, b=two: make_delta(h.content(a), h.content(b)))
        print(f"{many} lines, 10,000 versions: {size:.0f} bytes a version; log of 50 {log:.0f} us")
        print(f"  an entry {early:.0f} us, of the later half {late / early:.2f} times")
        print(f"  diff of the 10th and the last {far:.0f} us")


if __name__ == "__main__":
    deltas()
    history()
