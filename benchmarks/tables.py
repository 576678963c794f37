"""What versions of tables cost: bytes and CPU of a delta beside the whole, memory a version, a long history.

    PYTHONPATH=. python benchmarks/tables.py

One process; figures are compared within a run only. CPU is the median of many turns, delta and whole by
turns.
"""

import random
import statistics
import time
import tracemalloc

from swiftchute.tables.form import apply, decode, decode_delta, diff, encode, table
from swiftchute.tables.history import History

S = 1_000_000_000


def lines(many, seed=7):
    """Weights of so many servers."""
    chance = random.Random(seed)
    return {f"10.0.{k // 250}.{k % 250}:8080": round(chance.uniform(0.2, 2), 4) for k in range(many)}


def made(weights):
    """The table of these weights."""
    return table([("lot-estimate", 1.0, 1)], [(s, "north", w) for s, w in weights.items()])


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
        step, whole = encode(diff(one, two)), encode(two)
        rows = {"make delta": lambda a=one, b=two: encode(diff(a, b)), "make whole": lambda b=two: encode(b),
                "apply delta": lambda s=step, a=one: apply(decode_delta(s), a),
                "take whole": lambda w=whole: decode(w)}  # fmt: skip
        found = {name: [] for name in rows}
        for _ in range(30):
            for name, act in rows.items():
                found[name].append(cpu(act))
        took = ", ".join(f"{name} {statistics.median(us):.0f} us" for name, us in found.items())
        print(f"{many} lines: delta {len(step)} bytes, whole {len(whole)}; {took}")


def history():
    """Memory a version, and what a log and a diff cost on many versions."""
    for many in (100, 400):
        chance, weights = random.Random(1), lines(many)
        names = sorted(weights)
        tracemalloc.start()
        kept = History("0", most=20_000, age=10**18)
        before = tracemalloc.get_traced_memory()[0]
        note = {}
        for k in range(10_000):
            weights[chance.choice(names)] = round(chance.uniform(0.2, 2), 4)
            start = time.process_time_ns()
            kept.note("0.1", made(weights), k * S, "health")
            note.setdefault(k // 5000, []).append(time.process_time_ns() - start)
        size = (tracemalloc.get_traced_memory()[0] - before) / 10_000
        tracemalloc.stop()
        early, late = (statistics.median(note[half]) / 1000 for half in (0, 1))
        log = cpu(lambda h=kept: h.log("0.1", 50))
        far = cpu(lambda h=kept: diff(h.get(h.find("0.1", "#10").version), h.get(h.find("0.1", "~0").version)))
        print(f"{many} lines, 10,000 versions: {size:.0f} bytes a version; note {early:.0f} us, of the later half"
              f" {late / early:.2f} times; log of 50 {log:.0f} us, diff of the 10th and the last {far:.0f} us")  # fmt: skip


if __name__ == "__main__":
    deltas()
    history()
