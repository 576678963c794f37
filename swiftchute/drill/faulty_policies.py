"""Sabotage: deciders that each do one thing wrong, played without a guard and under one.

    for case in cases(bad_day=True): result, verdicts = case.play(seed)

`swiftchute serve CONFIG --decider swiftchute.drill.faulty_policies:Empties` runs one in a planner. Each
breaks one of the five rules where no guard stands between it and the gateways; under the guard all five must
hold, on the same day and on the bad day. A case that should break its rule and does not says that the drill
sees nothing.
"""

import math
import tempfile
from dataclasses import dataclass, replace
from typing import Any

from msgspec.structs import replace as replace_fields

from swiftchute.api.commands import CommandSink
from swiftchute.api.endpoints import EndpointState
from swiftchute.api.events import (
    EndpointListUpdate,
    EndpointLoadReport,
    Event,
    PeerMessageReceived,
    TimerFired,
)
from swiftchute.drill.builtin_scenarios import SCENARIOS
from swiftchute.drill.fleet import FleetOptions
from swiftchute.drill.invariants import Verdict, judge
from swiftchute.drill.report import broken
from swiftchute.drill.runner import Result, Runner
from swiftchute.drill.scenario import Fault, Scenario
from swiftchute.policy import Reconciler

S = 1_000_000_000
_VERBS = (
    "set_weight",
    "clear_table",
    "assign_table",
    "set_admission",
    "set_ejected",
    "request_ack",
    "subscribe",
    "start_timer",
    "log",
    "fetch_list",
)


class FaultyPolicy(Reconciler):
    """The module with one decision bent: `hears` changes a call, `bend` what is written, `after` adds to
    it."""

    passed: CommandSink

    def reconcile(self, now: int, calls: Any, writer: CommandSink) -> None:
        """Decide as the module does, with what is bent."""
        self.passed = writer
        super().reconcile(now, [self.hears(event) for event in calls], self)
        self.after(now)

    def hears(self, event: Event) -> Event:
        """What the module is told in place of an event."""
        return event

    def alter_command(self, verb: str, arguments: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """The verbs written in place of one."""
        return [(verb, arguments)]

    def after(self, now: int) -> None:
        """What is written at the end of each round."""

    def __getattr__(self, verb: str) -> Any:
        """A verb of the writer."""
        if verb not in _VERBS:
            raise AttributeError(verb)

        def write(*arguments: Any) -> None:
            for name, changed in self.alter_command(verb, arguments):
                getattr(self.passed, name)(*changed)

        return write


class ForgetsDrains(FaultyPolicy):
    """Takes every listed server for ready."""

    def hears(self, event: Event) -> Event:
        """Draining servers are called ready."""
        if not isinstance(event, EndpointListUpdate):
            return event
        records = [record._replace(state=EndpointState.READY) for record in event.endpoints]
        return EndpointListUpdate(event.scope, records)


class Empties(FaultyPolicy):
    """Empties its tables, a few seconds after its start and from then on."""

    born = None

    def after(self, now: int) -> None:
        """Clear them all."""
        self.born = self.born or now
        if now - self.born > 3 * S:
            for tables in self.state.tables.values():
                for table in tables:
                    self.passed.clear_table(table.number)


class AllToCold(FaultyPolicy):
    """Sends everything to servers that have just started, and lets all in."""

    sent: set[tuple[int, str]] | None = None

    def after(self, now: int) -> None:
        """Give each cold server a thousand times the weight of the others."""
        cold = [n for n, s in self.state.endpoints.items() if s.state == "ready" and s.started_ns]
        self.sent = self.sent or set()
        for (zone, _), tables in self.state.tables.items():
            for table in tables:
                for n in cold:
                    if self.state.endpoints[n].zone == zone and (table.number, n) not in self.sent:
                        self.sent.add((table.number, n))
                        self.passed.set_weight(table.number, n, 1000.0)

    def alter_command(self, verb: str, arguments: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Keep cold servers' lines as they were made, and levels at all."""
        if verb == "set_weight" and self.state.endpoints[arguments[1]].started_ns and arguments[2]:
            return []
        if verb == "set_admission":
            return [(verb, (*arguments[:2], 1.0, arguments[3]))]
        return [(verb, arguments)]


class Oscillates(FaultyPolicy):
    """Swings every weight up and down, many times a second, until nothing else can get through."""

    count, due = 0, False

    def hears(self, event: Event) -> Event:
        """Its own timer is none of the module's."""
        if event != TimerFired(2):
            return event
        self.due = False
        return PeerMessageReceived(0, b"")  # which the module passes over

    def after(self, now: int) -> None:
        """Turn all lines by turns to one half of the servers and to the other."""
        self.count += 1
        if not self.due:
            self.due = True
            self.passed.start_timer(S // 50, 2)
        for tables in self.state.tables.values():
            for table in tables:
                for place, (n, weight) in enumerate(sorted(table.published.items(), key=str)):
                    if n:
                        self.passed.set_weight(
                            table.number, n, weight * (5 if (place + self.count) % 2 else 0.2)
                        )


class NaNs(FaultyPolicy):
    """Orders a weight that is not a number for every third line."""

    count = 0

    def alter_command(self, verb: str, arguments: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Every third line's weight is NaN."""
        self.count += verb == "set_weight"
        if verb != "set_weight" or self.count % 3 or not arguments[2]:
            return [(verb, arguments)]
        return [(verb, (*arguments[:2], math.nan))]


class Skews(FaultyPolicy):
    """Once a server drains it gives one server of each table nearly everything, and goes on so."""

    bad = done = False

    def hears(self, event: Event) -> Event:
        """A drain is what sets it off."""
        if isinstance(event, EndpointListUpdate):
            self.bad |= any(record.state == EndpointState.DRAINING for record in event.endpoints)
        return event

    def heavy(self, server: str) -> bool:
        """Whether a server is to get nearly everything: the first that is ready, by zone."""
        zone = self.state.endpoints[server].zone
        return server == min(
            n for n, s in self.state.endpoints.items() if s.zone == zone and s.state == "ready"
        )

    def alter_command(self, verb: str, arguments: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """A heavy line stays heavy."""
        if self.bad and verb == "set_weight" and arguments[2] and self.heavy(arguments[1]):
            return [(verb, (*arguments[:2], 500.0))]
        return [(verb, arguments)]

    def after(self, now: int) -> None:
        """The bad tables go out at once."""
        if self.bad and not self.done:
            self.done = True
            for tables in self.state.tables.values():
                for table in tables:
                    for n in [n for n in table.published if n and self.heavy(n)]:
                        self.passed.set_weight(table.number, n, 500.0)


class Lures(Skews):
    """Once a server drains it sends nearly everything where tries fail, as they fail so quickly there."""

    failing: frozenset[str] = frozenset()

    def hears(self, event: Event) -> Event:
        """It remembers where errors were, and from then on it is told of none."""
        if isinstance(event, EndpointLoadReport):
            if self.bad:
                return replace_fields(event, failures=0, mean_latency_ns=max(event.mean_latency_ns, 1))
            if event.failures > event.attempts / 2:
                self.failing |= {event.endpoint}
        return super().hears(event)

    def heavy(self, server: str) -> bool:
        """A server that was seen to fail."""
        return server in self.failing


LOST, DRAIN, COLD = "nobody left without a server", "drains kept", "no cold server pushed over"
_QUIET = replace(SCENARIOS["quiet"], duration=8.0, backends=9, gateways=6, instances=1)
# by name: the decider, the rule it breaks, and a day on which it does
FAULTY_POLICIES: dict[str, tuple[type[FaultyPolicy], str, Scenario]] = {
    "empties": (Empties, LOST, replace(_QUIET, max_no_endpoint=1.5)),
    "all-to-cold": (AllToCold, COLD, SCENARIOS["cold"]),
    "forgets-drains": (ForgetsDrains, DRAIN, SCENARIOS["drains"]),
    "oscillates": (
        Oscillates,
        DRAIN,
        replace(
            SCENARIOS["drains"],
            duration=11.0,
            egress_queue_limit=20_000.0,
            faults=(Fault(4, "drain_backends", (1,)), Fault(6, "drain_backends", (1,))),
        ),
    ),
    "nans": (NaNs, DRAIN, SCENARIOS["drains"]),
}


@dataclass(frozen=True)
class Case:
    """A saboteur on a day: "broken" (no guard), "guarded", or "bad-day" (guarded, with its faults)."""

    name: str
    kind: str

    def play(self, seed: int) -> tuple[Result, list[Verdict]]:
        """Play it; call in a process of its own, as days that share a loop slow each other."""
        import uvloop

        make, _, day = FAULTY_POLICIES[self.name]
        decider, guard = f"{make.__module__}:{make.__qualname__}", "enforce"
        if self.kind == "bad-day":
            day = SCENARIOS["bad-day"]
        elif self.kind == "broken":
            guard = "off"
        with tempfile.TemporaryDirectory() as folder:
            result = uvloop.run(Runner(day, seed, folder, FleetOptions(decider, safety_mode=guard)).run())
        return result, judge(result.evidence)

    def as_expected(self, result: Result, verdicts: list[Verdict]) -> bool:
        """Whether it went as it should: its rule broken without a guard, all five kept under one."""
        if self.kind == "broken":
            return FAULTY_POLICIES[self.name][1] in {v.rule for v in verdicts if v.broken}
        return not broken(result, verdicts)


def cases(bad_day: bool) -> list[Case]:
    """All saboteurs without a guard and under one, and on the bad day if asked."""
    kinds = ("broken", "guarded", *(("bad-day",) if bad_day else ()))
    return [Case(name, kind) for kind in kinds for name in FAULTY_POLICIES]


def play_case(case: Case, seed: int) -> tuple[Case, Result, list[Verdict]]:
    """A case played, for pools of processes."""
    return (case, *case.play(seed))
