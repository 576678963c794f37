"""Kinds of faults, and scenarios made of them: drawn at random, or written as scripts in HCL.

    scenario = load("my-scenario.hcl")     # raises ConfigError: each problem with file, line, field and cause
    scenario = drawn(seed, count=2)        # faults of different kinds, within bounds
    text = script(scenario)                # the same scenario as HCL

A script:

    drill {
      seconds = "30s"
      workers = 15
    }
    trouble "slow" {
      at     = "5s"
      share  = 0.2
      factor = 6
      lasts  = "8s"
    }

Each kind is a method of `FaultActions` of that name. Bounds are those of the users' incident records, with
times cut to what a drill lasts.
"""

import json
import random
from dataclasses import dataclass, replace
from typing import Any

from swiftchute.config.checker import Checker, Field, FieldTable
from swiftchute.config.reader import Block, read
from swiftchute.config.values import Parser, duration, number, one_of
from swiftchute.drill.builtin_scenarios import SCENARIOS
from swiftchute.drill.scenario import ZONES, Fault, Scenario

NS_PER_S = 1_000_000_000
MAX_SCRIPT_NUMBER = 1e9
MIN_DRAWN_START_S = 2.0


@dataclass(frozen=True)
class FaultKind:
    """A kind of fault and its fields: the least and the most that may be drawn, or the allowed words."""

    description: str
    fields: dict[str, tuple[Any, ...]]


SHARE = (0.05, 0.25)
LASTS = (4.0, 10.0)
KINDS: dict[str, FaultKind] = {
    "crash": FaultKind("workers die at once and come back cold", {"share": SHARE, "lasts": LASTS}),
    "rolling": FaultKind("a rolling deploy", {"count": (2, 6), "every": (0.8, 2.0)}),
    "hang": FaultKind("workers take invocations and answer none", {"share": SHARE, "lasts": LASTS}),
    "silence": FaultKind(
        "workers read nothing and close nothing, and come back cold", {"share": SHARE, "lasts": LASTS}
    ),
    "errors": FaultKind("workers quickly fail what they take", {"share": SHARE, "lasts": LASTS}),
    "slow": FaultKind(
        "workers run several times slower", {"share": SHARE, "factor": (3.0, 9.0), "lasts": LASTS}
    ),
    "pauses": FaultKind(
        "workers stand still for a moment, again and again",
        {"share": (0.1, 0.45), "length": (0.2, 0.5), "every": (1.5, 3.0), "lasts": LASTS},
    ),
    "neighbour": FaultKind(
        "another program takes a part of the machine, on and off",
        {"share": (0.1, 0.45), "part": (0.33, 0.64), "lasts": LASTS},
    ),
    "ageing": FaultKind(
        "workers get slower and slower", {"share": SHARE, "factor": (2.0, 5.0), "lasts": LASTS}
    ),
    "flapping": FaultKind(
        "workers go and come, again and again", {"share": SHARE, "times": (2, 3), "lasts": (3.0, 4.0)}
    ),
    "shrink": FaultKind("the fleet shrinks", {"share": (0.1, 0.35), "lasts": LASTS}),
    "grow": FaultKind("workers are added, cold", {"count": (1, 4)}),
    "mass_restart": FaultKind("all workers of a zone restart at once", {"zone": ZONES, "lasts": (2.0, 4.0)}),
    "wrong_list": FaultKind(
        "the list is wrong for a while",
        {"how": ("gone", "empty", "ghosts", "old"), "share": SHARE, "lasts": LASTS},
    ),
    "planner_dies": FaultKind(
        "a planner dies and comes back with its list alone", {"planner": (0, 1), "lasts": LASTS}
    ),
    "planner_stalls": FaultKind("a planner stands still", {"planner": (0, 1), "lasts": LASTS}),
    "unreached": FaultKind("gateways reach no planner", {"share": (0.1, 0.45), "lasts": LASTS}),
    "late_channel": FaultKind(
        "what passes between gateways and planners is late and slow",
        {"delay": (0.05, 0.35), "pace": (20_000.0, 200_000.0), "lasts": LASTS},
    ),
    "streams_break": FaultKind("streams break at once", {"share": (0.3, 0.85)}),
    "gateways_die": FaultKind(
        "gateways die and come back with their tables gone", {"share": (0.1, 0.5), "lasts": (1.0, 4.0)}
    ),
}
_DURATION_FIELDS = {"lasts", "every", "length", "delay"}
_SHARE_FIELDS = {"share", "part"}


@dataclass(frozen=True)
class _ScenarioField:
    """A field of a script's `drill` block and the field of `Scenario` that it fills."""

    field: Field
    is_duration: bool = False


_SCENARIO_FIELDS = {
    "seconds": _ScenarioField(Field(duration(5 * NS_PER_S, 600 * NS_PER_S), 30 * NS_PER_S, "duration"), True),
    "workers": _ScenarioField(Field(number(3, 200, True), 15, "backends")),
    "gateways": _ScenarioField(Field(number(3, 500, True), 18, "gateways")),
    "planners": _ScenarioField(Field(number(1, 5, True), 2, "instances")),
    "callers": _ScenarioField(Field(number(0, 100, True), 0, "dns_clients")),
    "rate": _ScenarioField(Field(number(0.1, 1000), 5.0, "request_rate")),
    "grace": _ScenarioField(Field(duration(NS_PER_S, 60 * NS_PER_S), 3 * NS_PER_S, "drain_grace"), True),
    "bare_limit": _ScenarioField(
        Field(duration(NS_PER_S, 60 * NS_PER_S), 3 * NS_PER_S, "max_no_endpoint"), True
    ),
}
_DRILL_BLOCK: FieldTable = {key: known.field for key, known in _SCENARIO_FIELDS.items()}
BASE = replace(SCENARIOS["quiet"], description="drawn", duration=30.0, gateways=18)


def load(path: str) -> Scenario:
    """Read a script.

    Raises:
        ConfigError: The script cannot be used; it carries every problem with line, field and cause.
    """
    body = read(path)
    checker = Checker(path)
    drill: dict[str, Any] | None = None
    faults = []
    for block in body.blocks:
        if block.name == "drill" and not block.labels and drill is None:
            drill = checker.parse_fields(block, _DRILL_BLOCK, block.full_name)
        elif block.name == "trouble" and len(block.labels) == 1 and block.labels[0] in KINDS:
            faults.append(_fault(checker, block))
        else:
            known = ", ".join(f'trouble "{name}"' for name in KINDS)
            cause = f"unknown, or stands twice; known: drill, {known}"
            checker.add_problem(block.line, block.full_name, cause)
    checker.reject_top_level_fields(body)
    checker.raise_problems()
    given = {
        str(known.field.target): drill[key] / NS_PER_S if known.is_duration else drill[key]
        for key, known in _SCENARIO_FIELDS.items()
        if drill is not None
    }
    in_order = tuple(sorted(faults, key=lambda fault: fault.at))
    return replace(BASE, **given, description=path, faults=in_order)


def _fault(checker: Checker, block: Block) -> Fault:
    kind = block.labels[0]
    table = {"at": Field(duration(0, 600 * NS_PER_S), 0)} | {
        name: _fault_field(name, bounds) for name, bounds in KINDS[kind].fields.items()
    }
    values = checker.parse_fields(block, table, block.full_name)
    arguments = {
        name: value / NS_PER_S if name in _DURATION_FIELDS else value for name, value in values.items()
    }
    return Fault(arguments.pop("at", 0) / NS_PER_S, kind, tuple(arguments.values()))


def _fault_field(name: str, bounds: tuple[Any, ...]) -> Field:
    if name in _DURATION_FIELDS:
        return Field(duration(1, 600 * NS_PER_S), bounds[0] * NS_PER_S)
    return Field(_fault_parser(name, bounds), bounds[0])


def _fault_parser(name: str, bounds: tuple[Any, ...]) -> Parser:
    """Return a parser that takes more than is drawn at random, but nothing impossible."""
    if isinstance(bounds[0], str):
        return one_of(*bounds)
    maximum = 1 if name in _SHARE_FIELDS else MAX_SCRIPT_NUMBER
    return number(0, maximum, isinstance(bounds[0], int))


def drawn(seed: int, count: int = 2, seconds: float = 30.0) -> Scenario:
    """Return a scenario with so many faults of different kinds that begin within its first half."""
    generator = random.Random(seed)
    names = generator.sample(sorted(KINDS), count)
    faults = [
        draw_fault(name, generator, generator.uniform(MIN_DRAWN_START_S, seconds / 2)) for name in names
    ]
    return replace(BASE, duration=seconds, faults=tuple(sorted(faults, key=lambda fault: fault.at)))


def draw_fault(name: str, generator: random.Random, at: float) -> Fault:
    """Return a fault of a kind whose arguments are drawn within its bounds."""
    arguments: list[Any] = []
    for bounds in KINDS[name].fields.values():
        if isinstance(bounds[0], str):
            arguments.append(generator.choice(bounds))
        elif isinstance(bounds[0], int):
            arguments.append(generator.randint(*bounds))
        else:
            arguments.append(round(generator.uniform(*bounds), 3))
    return Fault(round(at, 2), name, tuple(arguments))


def script(scenario: Scenario) -> str:
    """Return a scenario as HCL that `load` reads back."""
    lines = ["drill {"]
    for key, known in _SCENARIO_FIELDS.items():
        value = getattr(scenario, str(known.field.target))
        lines.append(f"  {key} = {json.dumps(f'{value}s' if known.is_duration else value)}")
    lines.append("}")
    for fault in scenario.faults:
        lines += [f'trouble "{fault.action}" {{', f'  at = "{fault.at}s"']
        for name, value in zip(KINDS[fault.action].fields, fault.arguments, strict=True):
            lines.append(f"  {name} = {json.dumps(f'{value}s' if name in _DURATION_FIELDS else value)}")
        lines.append("}")
    return "\n".join(lines) + "\n"
