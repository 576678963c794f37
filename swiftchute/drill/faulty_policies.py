"""Policies with one deliberate fault each, played with and without the safety gate.

    for case in cases(bad_day=True): result, verdicts = case.play(seed)

`swiftchute serve CONFIG --decider swiftchute.drill.faulty_policies:Empties` runs one in an instance. Each
of `FAULTY_POLICIES` violates one of the five invariants if no safety gate checks its tables; with the gate,
all five must hold, in the same scenario and in `bad-day`. A case that does not violate its invariant without
the gate shows that the drill cannot detect the fault. `Skews` and `Lures` make the bad tables of scenarios
with a rollback or a canary.
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
from swiftchute.drill.evidence import Verdict
from swiftchute.drill.fleet import FleetOptions
from swiftchute.drill.invariants import judge
from swiftchute.drill.report import broken
from swiftchute.drill.runner import Result, Runner
from swiftchute.drill.scenario import Fault, Scenario
from swiftchute.policy import Reconciler

NS_PER_S = 1_000_000_000
# The commands that are passed on. `Reconciler` issues neither `probe` nor `send_to_peer`.
_COMMANDS = (
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
    """The policy with one decision altered; subclasses override the hooks that they need.

    `alter_event` changes an event before the policy handles it, `alter_command` changes a command of the
    policy, and `finish_round` adds commands at the end of a round, which `alter_command` does not receive.
    """

    sink: CommandSink

    def reconcile(self, now_ns: int, events: Any, commands: CommandSink) -> None:
        """Run a round of the policy with the alterations."""
        self.sink = commands
        super().reconcile(now_ns, [self.alter_event(event) for event in events], self)
        self.finish_round(now_ns)

    def alter_event(self, event: Event) -> Event:
        """Return the event that the policy handles in place of `event`."""
        return event

    def alter_command(self, command: str, arguments: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Return the commands, by name and arguments, that are issued in place of one."""
        return [(command, arguments)]

    def finish_round(self, now_ns: int) -> None:
        """Issue more commands at the end of a round."""

    def __getattr__(self, command: str) -> Any:
        """Return the method that alters and passes on a command of the policy.

        `reconcile` makes this object the policy's command sink, whose methods it does not define.
        """
        if command not in _COMMANDS:
            raise AttributeError(command)

        def issue(*arguments: Any) -> None:
            for altered_command, altered_arguments in self.alter_command(command, arguments):
                getattr(self.sink, altered_command)(*altered_arguments)

        return issue


class ForgetsDrains(FaultyPolicy):
    """Treats draining endpoints as ready."""

    def alter_event(self, event: Event) -> Event:
        """Mark all listed endpoints as ready."""
        if not isinstance(event, EndpointListUpdate):
            return event
        records = [record._replace(state=EndpointState.READY) for record in event.endpoints]
        return EndpointListUpdate(event.scope, records)


class Empties(FaultyPolicy):
    """Clears all tables in each round that is more than 3 s after its first one."""

    first_round_ns = None

    def finish_round(self, now_ns: int) -> None:
        """Clear all tables."""
        self.first_round_ns = self.first_round_ns or now_ns
        if now_ns - self.first_round_ns > 3 * NS_PER_S:
            for tables in self.state.tables.values():
                for table in tables:
                    self.sink.clear_table(table.number)


class AllToCold(FaultyPolicy):
    """Sends nearly all requests to cold endpoints (with a known start time), and admits every request."""

    weighted: set[tuple[int, str]] | None = None  # (table number, endpoint)

    def finish_round(self, now_ns: int) -> None:
        """Set the weight of each cold endpoint to 1000, a thousand times that of the others, once a table."""
        cold = [
            name
            for name, endpoint in self.state.endpoints.items()
            if endpoint.state == "ready" and endpoint.started_ns
        ]
        self.weighted = self.weighted or set()
        for (zone, _), tables in self.state.tables.items():
            for table in tables:
                for name in cold:
                    if self.state.endpoints[name].zone == zone and (table.number, name) not in self.weighted:
                        self.weighted.add((table.number, name))
                        self.sink.set_weight(table.number, name, 1000.0)

    def alter_command(self, command: str, arguments: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Drop later weights of cold endpoints except removals, and set every admission rate to 1."""
        if command == "set_weight" and self.state.endpoints[arguments[1]].started_ns and arguments[2]:
            return []
        if command == "set_admission":
            return [(command, (*arguments[:2], 1.0, arguments[3]))]
        return [(command, arguments)]


class Oscillates(FaultyPolicy):
    """Changes every weight 50 times a second, so that the egress queue holds up all other updates."""

    round_count, timer_set = 0, False

    def alter_event(self, event: Event) -> Event:
        """Replace timer 2, which `finish_round` starts, by an event that the policy ignores."""
        if event != TimerFired(2):
            return event
        self.timer_set = False
        return PeerMessageReceived(0, b"")

    def finish_round(self, now_ns: int) -> None:
        """Favour the even and the odd entries of each table in turn."""
        self.round_count += 1
        if not self.timer_set:
            self.timer_set = True
            self.sink.start_timer(NS_PER_S // 50, 2)  # the policy's own timer is 1
        for tables in self.state.tables.values():
            for table in tables:
                for index, (name, weight) in enumerate(sorted(table.published.items(), key=str)):
                    factor = 5 if (index + self.round_count) % 2 else 0.2
                    self.sink.set_weight(table.number, name, weight * factor)


class NaNs(FaultyPolicy):
    """Sets every third weight to NaN."""

    weight_count = 0

    def alter_command(self, command: str, arguments: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Replace every third weight that is not a removal by NaN."""
        self.weight_count += command == "set_weight"
        if command != "set_weight" or self.weight_count % 3 or not arguments[2]:
            return [(command, arguments)]
        return [(command, (*arguments[:2], math.nan))]


class Skews(FaultyPolicy):
    """Gives one endpoint of each table nearly all requests from the first drain on."""

    triggered = applied = False

    def alter_event(self, event: Event) -> Event:
        """Start the fault at the first endpoint list with a draining endpoint."""
        if isinstance(event, EndpointListUpdate):
            self.triggered |= any(record.state == EndpointState.DRAINING for record in event.endpoints)
        return event

    def is_favoured(self, endpoint: str) -> bool:
        """Return whether an endpoint gets nearly all requests: the first ready one of its zone, by name."""
        zone = self.state.endpoints[endpoint].zone
        return endpoint == min(
            name
            for name, other in self.state.endpoints.items()
            if other.zone == zone and other.state == "ready"
        )

    def alter_command(self, command: str, arguments: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        """Keep the weight of the favoured endpoint at 500."""
        if self.triggered and command == "set_weight" and arguments[2] and self.is_favoured(arguments[1]):
            return [(command, (*arguments[:2], 500.0))]
        return [(command, arguments)]

    def finish_round(self, now_ns: int) -> None:
        """Publish the faulty weights in the round in which the fault starts."""
        if self.triggered and not self.applied:
            self.applied = True
            for tables in self.state.tables.values():
                for table in tables:
                    for name in [name for name in table.published if self.is_favoured(name)]:
                        self.sink.set_weight(table.number, name, 500.0)


class Lures(Skews):
    """Sends nearly all requests to failing endpoints from the first drain on.

    It models a policy that prefers these endpoints because a quick failure looks like a short latency.
    """

    failing: frozenset[str] = frozenset()

    def alter_event(self, event: Event) -> Event:
        """Remember endpoints that fail most attempts; after the first drain, hide all failures."""
        if isinstance(event, EndpointLoadReport):
            if self.triggered:
                return replace_fields(event, failures=0, mean_latency_ns=max(event.mean_latency_ns, 1))
            if event.failures > event.attempts / 2:
                self.failing |= {event.endpoint}
        return super().alter_event(event)

    def is_favoured(self, endpoint: str) -> bool:
        """Return whether an endpoint failed most attempts of a load report before the first drain."""
        return endpoint in self.failing


NO_ENDPOINT_RULE, DRAIN_RULE, COLD_RULE = (
    "nobody left without a server",
    "drains kept",
    "no cold server pushed over",
)
_QUIET = replace(SCENARIOS["quiet"], duration=8.0, backends=9, gateways=6, instances=1)
# by name: the policy, the invariant that it violates, and a scenario in which it does
FAULTY_POLICIES: dict[str, tuple[type[FaultyPolicy], str, Scenario]] = {
    "empties": (Empties, NO_ENDPOINT_RULE, replace(_QUIET, max_no_endpoint=1.5)),
    "all-to-cold": (AllToCold, COLD_RULE, SCENARIOS["cold"]),
    "forgets-drains": (ForgetsDrains, DRAIN_RULE, SCENARIOS["drains"]),
    "oscillates": (
        Oscillates,
        DRAIN_RULE,
        replace(
            SCENARIOS["drains"],
            duration=11.0,
            egress_queue_limit=20_000.0,
            faults=(Fault(4, "drain_backends", (1,)), Fault(6, "drain_backends", (1,))),
        ),
    ),
    "nans": (NaNs, DRAIN_RULE, SCENARIOS["drains"]),
}


@dataclass(frozen=True)
class Case:
    """A faulty policy in a scenario.

    Attributes:
        name: Key of `FAULTY_POLICIES`.
        kind: "broken" (without the safety gate), "guarded" (with it) or "bad-day" (with it, in scenario
            `bad-day`).
    """

    name: str
    kind: str

    def play(self, seed: int) -> tuple[Result, list[Verdict]]:
        """Play it; call this in a process of its own, as scenarios in one event loop slow each other."""
        import uvloop

        policy_class, _, scenario = FAULTY_POLICIES[self.name]
        policy, gate_mode = f"{policy_class.__module__}:{policy_class.__qualname__}", "enforce"
        if self.kind == "bad-day":
            scenario = SCENARIOS["bad-day"]
        elif self.kind == "broken":
            gate_mode = "off"
        with tempfile.TemporaryDirectory() as folder:
            result = uvloop.run(
                Runner(scenario, seed, folder, FleetOptions(policy, safety_mode=gate_mode)).run()
            )
        return result, judge(result.evidence)

    def as_expected(self, result: Result, verdicts: list[Verdict]) -> bool:
        """Return whether its invariant was violated without the gate, or all five held with it."""
        if self.kind == "broken":
            return FAULTY_POLICIES[self.name][1] in {v.rule for v in verdicts if v.broken}
        return not broken(result, verdicts)


def cases(bad_day: bool) -> list[Case]:
    """Return all faulty policies without and with the safety gate, and in `bad-day` if `bad_day` is set."""
    kinds = ("broken", "guarded", *(("bad-day",) if bad_day else ()))
    return [Case(name, kind) for kind in kinds for name in FAULTY_POLICIES]


def play_case(case: Case, seed: int) -> tuple[Case, Result, list[Verdict]]:
    """Play a case; a module-level function that a pool of processes can call."""
    return (case, *case.play(seed))
