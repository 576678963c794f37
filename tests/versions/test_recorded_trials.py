"""Decisions of canaries and content of histories over fixed pseudo-random steps equal the recorded ones."""

import hashlib
import random

from swiftchute.versions import encoding
from swiftchute.versions.canary import CanaryTrials
from swiftchute.versions.canary_statistics import ReportTotals
from swiftchute.versions.canary_trial import CanaryLimits
from swiftchute.versions.history import VersionHistory

SECOND_NS = 1_000_000_000
NOW_NS = 1000 * SECOND_NS
TRIALS_SHA256 = "46fa1bc72f977930ee43b591059f9715d005e170716d376084f2748f08ce8a5e"
HISTORY_SHA256 = "89f637f5021ebd1e11ee4a2d37ca126a23ab60f5d9a8de70c54591cadd7dcb57"


def test_decisions_on_trials_are_those_recorded():
    digest = hashlib.sha256()
    for seed in range(300):
        draw = random.Random(seed)
        trials = CanaryTrials(CanaryLimits(0.25, 5 * SECOND_NS, 30 * SECOND_NS, 0.25))
        proxies = {f"p{k}": draw.choice((1.0, 2.0, 5.0)) for k in range(9)}
        starts, weights, now, version = dict.fromkeys("abcd", 0), dict.fromkeys("abcd", 1.0), NOW_NS, 0
        for _ in range(60):
            now += draw.choice((0, SECOND_NS // 2, SECOND_NS, 4 * SECOND_NS))
            row = None
            match draw.randrange(8):
                case 0 | 1:
                    after = weights | {draw.choice("abcd"): draw.choice((0.01, 1.0, 50.0))}
                    warming_up = frozenset(draw.sample("abcd", draw.choice((0, 0, 1))))
                    versions = (b"%d" % version, b"%d" % (version + 1))
                    row = trials.on_table_changed(
                        "t", weights, after, versions, proxies, starts, warming_up, now
                    )
                    weights, version = after, version + 1
                case 2:
                    starts = {n: draw.choice((0, 0, 0, 0, 0, now)) for n in "abcd" if draw.random() < 0.95}
                case 3:
                    trials.on_acknowledged(draw.choice(list(proxies)), {"t": b"%d" % version}, now)
                case 4 | 5:
                    for proxy in proxies:
                        trials.on_acknowledged(proxy, {"t": b"%d" % version}, now)
                        failures = draw.choice((0, 0, 0, 1, 9, 40))
                        totals = ReportTotals(50, failures, 1000 * draw.randint(1, 3), 50)
                        trials.on_report(proxy, "t", totals, now)
                case 6:
                    trials.on_disconnected(draw.choice(list(proxies)))
                    row = trials.reselect("t", proxies)
                case 7:
                    trials.on_rejected(draw.choice(list(proxies)), "t")
            baseline = trials.baseline_weights("t", starts)
            canary_proxies = [p for p in proxies if trials.is_canary("t", p)]
            due = trials.due
            finished = [
                (table, end.rolled_back, end.cause, end.previous_version)
                for table, end in trials.take_finished(now)
            ]
            digest.update(
                repr((row, baseline and list(baseline.items()), canary_proxies, due, finished)).encode()
            )
        digest.update(repr(sorted(trials.counts.items())).encode())
    assert digest.hexdigest() == TRIALS_SHA256


def test_entries_of_a_history_are_those_recorded():
    digest = hashlib.sha256()
    for seed in range(10):
        draw = random.Random(seed)
        history, now, held = VersionHistory("0", 40, 100 * SECOND_NS), NOW_NS, []
        weights = {"a": 1.0}
        for _ in range(300):
            now += draw.choice((0, SECOND_NS, 5 * SECOND_NS))
            weights = weights | {draw.choice("abcdefgh"): draw.choice((0.5, 1.0, 2.0))}
            if draw.random() < 0.1:
                weights = dict(draw.sample(list(weights.items()), 1))
            content = encoding.make_table([("read", draw.choice((1.0, 1.0, 0.5)), 1)],
                                     [(n, "east", w) for n, w in weights.items()])  # fmt: skip
            change = history.record("t", content, now, "health")
            row = change and (
                change.serial,
                change.version,
                change.parent,
                change.changed_count,
                change.removed_count,
            )
            if change is not None and draw.random() < 0.1:
                history.retain(change.version)
                held.append(change.version)
            if held and draw.random() < 0.05:
                history.release(held.pop(0))
            oldest = history.changes("t", 1000)[-1]
            newest_update = history.update_between(oldest.version, history.changes("t", 1)[0].version)
            kept = [encoding.encode(history.content(version)) for version in held]
            digest.update(
                repr(
                    (
                        row,
                        oldest.serial,
                        newest_update and encoding.encode(newest_update),
                        kept,
                        history.trimmed_count,
                    )
                ).encode()
            )
    assert digest.hexdigest() == HISTORY_SHA256
