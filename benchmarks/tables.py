"""Measures the cost of table versions: a delta beside the full table (bytes, CPU), memory, a long history.

    PYTHONPATH=. python benchmarks/tables.py

Runs in one process; compare figures within one run only. CPU is the median of 30 repetitions, in which delta
and full table alternate.
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


def make_weights(entry_count, seed=7):
    """Return random weights of `entry_count` endpoints."""
    generator = random.Random(seed)
    return {
        f"10.0.{k // 250}.{k % 250}:8080": round(generator.uniform(0.2, 2), 4) for k in range(entry_count)
    }


def table_of(weights):
    """Return the table with these weights."""
    return make_table([("lot-estimate", 1.0, 1)], [(endpoint, "north", w) for endpoint, w in weights.items()])


def cpu_us(operation):
    """Return the CPU time of an operation in microseconds, over 20 calls."""
    start = time.process_time_ns()
    for _ in range(20):
        operation()
    return (time.process_time_ns() - start) / 20_000


def measure_deltas():
    """Print the cost of one changed entry, as a delta and as a full table."""
    for entry_count in (100, 400):
        old = table_of(make_weights(entry_count))
        new = table_of(make_weights(entry_count) | {"10.0.0.7:8080": 3.0})
        delta, full = encode(make_delta(old, new)), encode(new)
        rows = {"make delta": lambda a=old, b=new: encode(make_delta(a, b)),
                "encode full": lambda b=new: encode(b),
                "apply delta": lambda s=delta, a=old: apply_delta(decode_delta(s), a),
                "decode full": lambda w=full: decode_table(w)}  # fmt: skip
        samples = {name: [] for name in rows}
        for _ in range(30):
            for name, operation in rows.items():
                samples[name].append(cpu_us(operation))
        timings = ", ".join(f"{name} {statistics.median(us):.0f} us" for name, us in samples.items())
        print(f"{entry_count} entries: delta {len(delta)} bytes, full {len(full)}; {timings}")


def fill_history(entry_count):
    """Return a history of 10,000 versions, each with one changed entry, and the CPU ns of recording each."""
    generator, weights, record_ns = random.Random(1), make_weights(entry_count), []
    names, versions = sorted(weights), VersionHistory("0", max_entries=20_000, max_age_ns=10**18)
    for k in range(10_000):
        weights[generator.choice(names)] = round(generator.uniform(0.2, 2), 4)
        content = table_of(weights)
        start = time.process_time_ns()
        versions.record("0.1", content, k * S, "health")
        record_ns.append(time.process_time_ns() - start)
    return versions, record_ns


def measure_history():
    """Print the memory per version, and the cost of a log and a diff in a long history."""
    for entry_count in (100, 400):
        tracemalloc.start()
        versions, _ = fill_history(entry_count)
        version_bytes = tracemalloc.get_traced_memory()[0] / 10_000
        tracemalloc.stop()
        versions, record_ns = fill_history(entry_count)
        early_us, late_us = (statistics.median(half) / 1000 for half in (record_ns[:5000], record_ns[5000:]))
        log_us = cpu_us(lambda h=versions: h.changes("0.1", 50))
        old, new = (versions.find("0.1", selector).version for selector in ("#10", "~0"))
        diff_us = cpu_us(lambda h=versions, a=old, b=new: make_delta(h.content(a), h.content(b)))
        print(
            f"{entry_count} entries, 10,000 versions: {version_bytes:.0f} B each; log of 50 {log_us:.0f} us"
        )
        print(f"  recording a version {early_us:.0f} us, in the later half {late_us / early_us:.2f} times")
        print(f"  diff of the 10th and the newest {diff_us:.0f} us")


if __name__ == "__main__":
    measure_deltas()
    measure_history()
