"""The module's own pushes of recorded bench days, played through the guard: what would it have refused?

    python benchmarks/taps.py DAY.tap ..

A recording (`lbsim run .. --tap FILE`) holds batches and replies. The batches go to the module again, round by
round, inside a planner's core whose guard only warns, so that the module sees what it saw and every finding is
of a table it ordered. A reply that differs from the recorded one makes the run worthless: it is counted.

Counted by rule: pushes (rounds of a planner that changed a table or a bind), findings that began, rounds in
which one stood, and one finding in words to look at.
"""

import json
import sys
from collections import Counter, defaultdict

from swiftchute.guard.guard import LATE, Rules
from swiftchute.planner.core import Core
from swiftchute.policy import Planner
from swiftchute.registry.lists import News
from swiftchute.wirehost import codec
from swiftchute.wirehost.host import Host

S = 1_000_000_000


class Both:
    """A writer that passes each verb on to two."""

    def __init__(self, one, two):
        self.one, self.two = one, two

    def __getattr__(self, verb):
        first, second = getattr(self.one, verb), getattr(self.two, verb)

        def write(*arguments):
            first(*arguments)
            if verb not in ("tell", "probe"):
                second(*arguments)

        return write


class Played:
    """A planner's core around the module, driven by recorded rounds in place of sockets."""

    made: list["Played"] = []

    def __init__(self, settings, seed):
        self.core = Core(settings, seed, self._module, guard=Rules(), enforce=False)
        self.settings, self.writer, self.now = settings, None, 0
        self.pushes, self.tables, self.stood, self.first = 0, 0, Counter(), defaultdict(list)
        self.began, self.ruled = Counter(), Counter()
        Played.made.append(self)

    def _module(self, settings, seed):
        played, planner = self, Planner(settings, seed)

        class Module:
            def decide(self, now, calls, orders):
                planner.decide(now, calls, Both(played.writer, orders))

        return Module()

    def decide(self, now, calls, writer):
        core, self.writer = self.core, writer
        # idle reviews between rounds, as a running planner has them
        while self.now and self.now + S < now:
            self.now += S
            self._turn(self.now)
        self.now = now
        for name, arguments in calls:
            if name == "joined":
                core.joined(*arguments)
            elif name == "left":
                core.left(*arguments)
            elif name == "listed":
                core.listed(News(arguments[0], tuple(arguments[1]), ()))
            else:
                core.calls.append((name, arguments))
        if not calls:
            core.calls.append(("arrived", (None, "", 0, 0, 1)))
        self._turn(now)

    def _turn(self, now):
        core = self.core
        before = dict(core.gate.counts) if core.gate else {}
        sums = sum(t.revision for t in core.orders.tables.values())
        turn = core.turn(now)
        core.timers = []  # the recording wakes it
        moved = sum(t.revision for t in core.orders.tables.values()) != sums
        self.pushes += moved
        self.tables += len(core.orders.tables) if moved else 0
        for rule, count in (core.gate.counts if core.gate else {}).items():
            if count != before.get(rule, 0):
                self.stood[rule] += 1
                self.ruled[rule] += moved
        for event, fields in turn.events:
            if event == "guard" and fields["on"]:
                self.began[fields["rule"]] += 1
                self.first[fields["rule"]].append((now, core, fields))
            if event == "module fault":
                sys.exit(f"fault: {fields}")


def play(path):
    """One recording: what was found, and how many replies differed from the recorded ones."""
    Played.made = []
    # as the module's adapter is seeded: the maker is given settings and seed alone
    host, differ, asked = Host(Played, sys.stderr), 0, None
    with open(path, "rb") as tap:
        for number, text in enumerate(tap, 1):
            if text[:2] in (b">>", b"<<"):
                way = text[:2]
            elif way == b">>":
                asked = host.batch(text, number)
            elif json.loads(asked) != json.loads(text):
                differ += 1
    return Played.made, differ


def main(paths):
    """Print a row a recording and rule."""
    print("| day | pushes | tables judged | rule | findings | rounds stood | pushes that had it |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for path in paths:
        made, differ = play(path)
        name = path.rsplit("/", 1)[-1].removesuffix(".tap")
        pushes, tables = sum(p.pushes for p in made), sum(p.tables for p in made)
        rules = sorted({r for p in made for r in p.stood} - {LATE}) or ["none"]
        for rule in rules:
            began, stood = sum(p.began[rule] for p in made), sum(p.stood[rule] for p in made)
            ruled = sum(p.ruled[rule] for p in made)
            print(f"| {name} | {pushes} | {tables} | {rule} | {began} | {stood} | {ruled} |")
            for p in made:
                for now, _, fields in p.first[rule][:3]:
                    print(f"    {now / S:.1f} planner {p.settings.planner}: {fields}", file=sys.stderr)
        if differ:
            print(f"{name}: {differ} replies differ from the recorded ones", file=sys.stderr)


if __name__ == "__main__":
    main(sys.argv[1:])
