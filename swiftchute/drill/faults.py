"""Kinds of faults, and scenarios of such faults that are drawn at random or read from HCL scripts.

    scenario = load("my-scenario.hcl")       # raises ConfigError: all problems with line, field and cause
    scenario = draw_scenario(seed, count=2)  # faults of different kinds, within bounds
    text = to_hcl(scenario)                  # the same scenario as HCL

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

Each kind names a method of `FaultActions`. Bounds come from the users' incident records, with times shortened
to fit into a drill.
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
    """A kind of fault.

    Attributes:
        description: What happens.
        fields: For each field the bounds within which its value is drawn, or the words it is drawn from.
    """

    description: str
    fields: dict[str, tuple[Any, ...]]


SHARE = (0.05, 0.25)
LASTS = (4.0, 10.0)
KINDS: dict[str, FaultKind] = {
    "crash": FaultKind("backends crash at once and restart cold", {"share": SHARE, "lasts": LASTS}),
    "rolling": FaultKind("a rolling deploy", {"count": (2, 6), "every": (0.8, 2.0)}),
    "hang": FaultKind("backends accept requests and answer none", {"share": SHARE, "lasts": LASTS}),
    "silence": FaultKind(
        "backends stop reading without closing connections, then restart cold",
        {"share": SHARE, "lasts": LASTS},
    ),
    "errors": FaultKind("backends fail requests quickly", {"share": SHARE, "lasts": LASTS}),
    "slow": FaultKind(
        "backends become several times slower", {"share": SHARE, "factor": (3.0, 9.0), "lasts": LASTS}
    ),
    "pauses": FaultKind(
        "backends pause for a moment, repeatedly",
        {"share": (0.1, 0.45), "length": (0.2, 0.5), "every": (1.5, 3.0), "lasts": LASTS},
    ),
    "neighbour": FaultKind(
        "another program uses a part of the machine's CPU, on and off",
        {"share": (0.1, 0.45), "part": (0.33, 0.64), "lasts": LASTS},
    ),
    "ageing": FaultKind(
        "backends get slower and slower", {"share": SHARE, "factor": (2.0, 5.0), "lasts": LASTS}
    ),
    "flapping": FaultKind(
        "backends stop and restart repeatedly", {"share": SHARE, "times": (2, 3), "lasts": (3.0, 4.0)}
    ),
    "shrink": FaultKind("backends drain and are removed", {"share": (0.1, 0.35), "lasts": LASTS}),
    "grow": FaultKind("backends are added, cold", {"count": (1, 4)}),
    "mass_restart": FaultKind("all backends of a zone restart at once", {"zone": ZONES, "lasts": (2.0, 4.0)}),
    "wrong_list": FaultKind(
        "the endpoint list is wrong for a while",
        {"how": ("gone", "empty", "ghosts", "old"), "share": SHARE, "lasts": LASTS},
    ),
    "planner_dies": FaultKind(
        "an instance is killed and restarts with nothing but the endpoint list",
        {"planner": (0, 1), "lasts": LASTS},
    ),
    "planner_stalls": FaultKind("an instance stalls", {"planner": (0, 1), "lasts": LASTS}),
    "unreached": FaultKind("gateways reach no instance", {"share": (0.1, 0.45), "lasts": LASTS}),
    "late_channel": FaultKind(
        "the network between gateways and instances is delayed and slow",
        {"delay": (0.05, 0.35), "pace": (20_000.0, 200_000.0), "lasts": LASTS},
    ),
    "streams_break": FaultKind(
        "streams between gateways and instances break at once", {"share": (0.3, 0.85)}
    ),
    "gateways_die": FaultKind(
        "gateways stop and restart with only their static tables", {"share": (0.1, 0.5), "lasts": (1.0, 4.0)}
    ),
}
_DURATION_FIELDS = {"lasts", "every", "length", "delay"}
_SHARE_FIELDS = {"share", "part"}


@dataclass(frozen=True)
class _ScenarioField:
    """A field of a script's `drill` block; its target is the field of `Scenario` that it sets."""

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
        ConfigError: The script is invalid; the error holds each problem with line, field and cause.
    """
    body = read(path)
    checker = Checker(path)
    drill: dict[str, Any] | None = None
    faults = []
    for block in body.blocks:
        if block.name == "drill" and not block.labels and drill is None:
            drill = checker.parse_fields(block, _DRILL_BLOCK, block.full_name)
        elif block.name == "trouble" and len(block.labels) == 1 and block.labels[0] in KINDS:
            faults.append(_parse_fault(checker, block))
        else:
            known = ", ".join(f'trouble "{name}"' for name in KINDS)
            cause = f"unknown or repeated block; known: drill, {known}"
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


def _parse_fault(checker: Checker, block: Block) -> Fault:
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
    """Return a parser that also accepts values past the drawn bounds, but no impossible ones."""
    if isinstance(bounds[0], str):
        return one_of(*bounds)
    maximum = 1 if name in _SHARE_FIELDS else MAX_SCRIPT_NUMBER
    return number(0, maximum, isinstance(bounds[0], int))


def draw_scenario(seed: int, count: int = 2, seconds: float = 30.0) -> Scenario:
    """Return a random scenario with `count` faults of different kinds that begin in its first half."""
    generator = random.Random(seed)
    names = generator.sample(sorted(KINDS), count)
    faults = [
        draw_fault(name, generator, generator.uniform(MIN_DRAWN_START_S, seconds / 2)) for name in names
    ]
    return replace(BASE, duration=seconds, faults=tuple(sorted(faults, key=lambda fault: fault.at)))


def draw_fault(name: str, generator: random.Random, at: float) -> Fault:
    """Return a fault of the named kind, with arguments drawn within its bounds."""
    arguments: list[Any] = []
    for bounds in KINDS[name].fields.values():
        if isinstance(bounds[0], str):
            arguments.append(generator.choice(bounds))
        elif isinstance(bounds[0], int):
            arguments.append(generator.randint(*bounds))
        else:
            arguments.append(round(generator.uniform(*bounds), 3))
    return Fault(round(at, 2), name, tuple(arguments))


def to_hcl(scenario: Scenario) -> str:
    """Return a scenario as HCL that `load` can read."""
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
