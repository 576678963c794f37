"""The module's own pushes of recorded bench days, played through the guard: what would it have refused?

    python benchmarks/taps.py DAY.tap ..

A recording (`lbsim run .. --tap FILE`) holds batches and replies. The batches go to the module again, round
by round, inside a planner's core whose guard only warns, so that the module sees what it saw and every
finding is of a table it ordered. A reply that differs from the recorded one makes the run worthless: it is
counted.

Counted by rule: pushes (rounds of a planner that changed a table), findings that began, and rounds in which
one stood; those of an order, which raised a line of a server it names, apart from those where the list or
the load moved under tables in force. On standard error some findings in words, to look at.
"""

import json
import sys
from collections import Counter, defaultdict

from swiftchute.api.events import DemandReport, EndpointListUpdate, ProxyConnected, ProxyDisconnected
from swiftchute.controller.controller import Controller
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.policy import Reconciler
from swiftchute.safety.proposal import Rule, SafetyRules
from swiftchute.simulator.host import SimulatorHost

S = 1_000_000_000


class Both:
    """A writer that passes each verb on to two."""

    def __init__(self, one, two):
        self.one, self.two = one, two

    def __getattr__(self, verb):
        first, second = getattr(self.one, verb), getattr(self.two, verb)

        def write(*arguments):
            first(*arguments)
            if verb not in ("send_to_peer", "probe"):
                second(*arguments)

        return write


class Played:
    """A planner's core around the module, driven by recorded rounds in place of sockets."""

    made: list["Played"] = []

    def __init__(self, settings, seed):
        self.controller = Controller(settings, seed, self._module, safety_rules=SafetyRules(), enforce=False)
        self.settings, self.writer, self.now = settings, None, 0
        self.pushes, self.stood, self.began, self.first = 0, Counter(), Counter(), defaultdict(list)
        Played.made.append(self)

    def _module(self, settings, seed):
        played, planner = self, Reconciler(settings, seed)

        class Module:
            def reconcile(self, now, calls, orders):
                planner.reconcile(now, calls, Both(played.writer, orders))

        return Module()

    def reconcile(self, now, calls, writer):
        controller, self.writer = self.controller, writer
        # idle reviews between rounds, as a running planner has them
        while self.now and self.now + S < now:
            self.now += S
            self._turn(self.now)
        self.now = now
        for event in calls:
            match event:
                case ProxyConnected(proxy, zone, rate, fresh):
                    controller.on_proxy_connected(proxy, zone, rate, fresh)
                case ProxyDisconnected(proxy):
                    controller.on_proxy_disconnected(proxy)
                case EndpointListUpdate(scope, endpoints):
                    controller.on_list_update(EndpointListChange(scope, tuple(endpoints), ()))
                case _:
                    controller.runner.pending_events.append(event)
        if not calls:
            controller.runner.pending_events.append(DemandReport(None, "", 0, 0, 1))
        self._turn(now)

    def _turn(self, now):
        controller = self.controller
        sums = sum(t.revision for t in controller.assignments.tables.values())
        were = {number: dict(t.weights) for number, t in controller.assignments.tables.items()}
        turn = controller.run_round(now)
        for proxy, _ in turn.pushes:  # as if each were acknowledged at once
            controller.on_fully_acknowledged(proxy, now)
        controller.runner.timers = []  # the recording wakes it
        moved = sum(t.revision for t in controller.assignments.tables.values()) != sums
        self.pushes += moved
        raised = {
            n
            for number, t in controller.assignments.tables.items()
            for n in t.weights.keys() | were.get(number, {}).keys()
            if t.weights.get(n, 0) > were.get(number, {}).get(n, 0)
        }
        for rule in (
            {r.rule for r in controller.publish_gate.violations} - {Rule.STALE_LIST}
            if now == controller.last_review_ns
            else ()
        ):
            ordered = moved and any(
                r.rule == rule and (not r.endpoints or raised & set(r.endpoints))
                for r in controller.publish_gate.violations
            )
            self.stood[rule, ordered] += 1
        for event, fields in turn.log_events:
            if event == "guard" and fields["on"]:
                ordered = moved and bool(not fields["servers"] or raised & set(fields["servers"]))
                self.began[fields["rule"], ordered] += 1
                self.first[fields["rule"], ordered].append((now, fields))
            if event == "policy crashed":
                sys.exit(f"fault: {fields}")


def play(path):
    """One recording: what was found, and how many replies differed from the recorded ones."""
    Played.made = []
    # as the module's adapter is seeded: the maker is given settings and seed alone
    host, differ, asked = SimulatorHost(Played, sys.stderr), 0, None
    with open(path, "rb") as tap:
        for number, text in enumerate(tap, 1):
            if text[:2] in (b">>", b"<<"):
                way = text[:2]
            elif way == b">>":
                asked = host.answer(text, number)
            elif json.loads(asked) != json.loads(text):
                differ += 1
    return Played.made, differ


def main(paths):
    """Print a row a recording and rule."""
    print("| day | pushes | rule | of an order | findings | rounds stood |")
    print("| --- | --- | --- | --- | --- | --- |")
    for path in paths:
        made, differ = play(path)
        name = path.rsplit("/", 1)[-1].removesuffix(".tap")
        pushes = sum(p.pushes for p in made)
        for key in sorted({k for p in made for k in p.stood}) or [("none", False)]:
            began, stood = sum(p.began[key] for p in made), sum(p.stood[key] for p in made)
            print(f"| {name} | {pushes} | {key[0]} | {'yes' if key[1] else 'no'} | {began} | {stood} |")
            for p in made:
                for now, fields in p.first[key][:3]:
                    print(f"    {now / S:.1f} {key} planner {p.settings.instance}: {fields}", file=sys.stderr)
        if differ:
            print(f"{name}: {differ} replies differ from the recorded ones", file=sys.stderr)


if __name__ == "__main__":
    main(sys.argv[1:])
