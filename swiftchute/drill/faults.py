"""Troubles by name, as a day's script in HCL gives them or chance draws them.

    day = load("my-day.hcl")                    # raises ConfigError, each problem with file, line, field and
    cause day = drawn(seed, count=2)                  # troubles of different kinds, within bounds text =
    script(day)                          # the same day as HCL

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

Each kind is a method of `acts.Acts` of that name. Bounds are those of the users' incident records, with
times cut to what a drill lasts; all act on stand-ins' processes and sockets, never inside a planner.
"""

import json
import random
from dataclasses import dataclass, fields, replace
from typing import Any

from swiftchute.config.checker import Checker, Field
from swiftchute.config.reader import read
from swiftchute.config.values import duration, number, one_of
from swiftchute.drill.fault_actions import ZONES
from swiftchute.drill.scenario import DAYS, Day, Trouble

S = 1_000_000_000


@dataclass(frozen=True)
class Kind:
    """What a trouble is, and its fields: (least, most), or the words it may have."""

    about: str
    fields: dict[str, tuple[Any, ...]]


SHARE = (0.05, 0.25)
LASTS = (4.0, 10.0)
KINDS = {
    "crash": Kind("workers die at once and come back cold", {"share": SHARE, "lasts": LASTS}),
    "rolling": Kind("a rolling deploy", {"count": (2, 6), "every": (0.8, 2.0)}),
    "hang": Kind("workers take invocations and answer none", {"share": SHARE, "lasts": LASTS}),
    "silence": Kind(
        "workers read nothing and close nothing, and come back cold", {"share": SHARE, "lasts": LASTS}
    ),
    "errors": Kind("workers quickly fail what they take", {"share": SHARE, "lasts": LASTS}),
    "slow": Kind("workers run several times slower", {"share": SHARE, "factor": (3.0, 9.0), "lasts": LASTS}),
    "pauses": Kind(
        "workers stand still for a moment, again and again",
        {"share": (0.1, 0.45), "length": (0.2, 0.5), "every": (1.5, 3.0), "lasts": LASTS},
    ),
    "neighbour": Kind(
        "another program takes a part of the machine, on and off",
        {"share": (0.1, 0.45), "part": (0.33, 0.64), "lasts": LASTS},
    ),
    "ageing": Kind("workers get slower and slower", {"share": SHARE, "factor": (2.0, 5.0), "lasts": LASTS}),
    "flapping": Kind(
        "workers go and come, again and again", {"share": SHARE, "times": (2, 3), "lasts": (3.0, 4.0)}
    ),
    "shrink": Kind("the fleet shrinks", {"share": (0.1, 0.35), "lasts": LASTS}),
    "grow": Kind("workers are added, cold", {"count": (1, 4)}),
    "mass_restart": Kind("all workers of a zone restart at once", {"zone": ZONES, "lasts": (2.0, 4.0)}),
    "wrong_list": Kind(
        "the list is wrong for a while",
        {"how": ("gone", "empty", "ghosts", "old"), "share": SHARE, "lasts": LASTS},
    ),
    "planner_dies": Kind(
        "a planner dies and comes back with its list alone", {"planner": (0, 1), "lasts": LASTS}
    ),
    "planner_stalls": Kind("a planner stands still", {"planner": (0, 1), "lasts": LASTS}),
    "unreached": Kind("gateways reach no planner", {"share": (0.1, 0.45), "lasts": LASTS}),
    "late_channel": Kind(
        "what passes between gateways and planners is late and slow",
        {"delay": (0.05, 0.35), "pace": (20_000.0, 200_000.0), "lasts": LASTS},
    ),
    "streams_break": Kind("streams break at once", {"share": (0.3, 0.85)}),
    "gateways_die": Kind(
        "gateways die and come back with their tables gone", {"share": (0.1, 0.5), "lasts": (1.0, 4.0)}
    ),
}
_TIMES = {"lasts", "every", "length", "delay"}
_DAY = {
    "seconds": Field(duration(5 * S, 600 * S), 30 * S),
    "workers": Field(number(3, 200, True), 15),
    "gateways": Field(number(3, 500, True), 18),
    "planners": Field(number(1, 5, True), 2),
    "callers": Field(number(0, 100, True), 0),
    "rate": Field(number(0.1, 1000), 5.0),
    "grace": Field(duration(S, 60 * S), 3 * S),
    "bare_limit": Field(duration(S, 60 * S), 3 * S),
}
BASE = replace(DAYS["quiet"], about="drawn", seconds=30.0, gateways=18)


def _parser(name: str, bounds: tuple[Any, ...]) -> Any:
    if isinstance(bounds[0], str):
        return one_of(*bounds)
    if name in _TIMES:
        return duration(1, 600 * S)
    # a script may go past what chance draws within, but not past what can be
    return number(0, 1 if name in ("share", "part") else 1e9, isinstance(bounds[0], int))


def load(where: str) -> Day:
    """A day of a script's. Raises `ConfigError`."""
    body = read(where)
    check, troubles, found = Checker(where), [], None
    for block in body.blocks:
        called = block.full_name
        if block.name == "drill" and not block.labels and found is None:
            found = check.parse_fields(block, _DAY, called)
        elif block.name == "trouble" and len(block.labels) == 1 and block.labels[0] in KINDS:
            kind = KINDS[block.labels[0]]
            table = {"at": Field(duration(0, 600 * S), 0)} | {
                name: Field(_parser(name, bounds), bounds[0] * S if name in _TIMES else bounds[0])
                for name, bounds in kind.fields.items()
            }
            row = check.parse_fields(block, table, called)
            given = {k: v / S if k in _TIMES and k in row else v for k, v in row.items()}
            troubles.append(Trouble(given.pop("at", 0) / S, block.labels[0], tuple(given.values())))
        else:
            known = ", ".join(f'trouble "{name}"' for name in KINDS)
            check.add_problem(block.line, called, f"unknown, or stands twice; known: drill, {known}")
    check.reject_top_level_fields(body)
    check.raise_problems()
    made = found or {}
    times = {k: v / S for k, v in made.items() if k in ("seconds", "grace", "bare_limit")}
    return replace(BASE, **made | times, about=where, troubles=tuple(sorted(troubles, key=lambda t: t.at)))


def drawn(seed: int, count: int = 2, seconds: float = 30.0) -> Day:
    """A day with so many troubles of different kinds, beginning within its first half."""
    chance = random.Random(seed)
    names = chance.sample(sorted(KINDS), count)
    return replace(BASE, seconds=seconds, troubles=tuple(sorted(
        (one(name, chance, chance.uniform(2.0, seconds / 2)) for name in names), key=lambda t: t.at
    )))  # fmt: skip


def one(name: str, chance: random.Random, at: float) -> Trouble:
    """A trouble of a kind, drawn within its bounds."""
    given: list[Any] = []
    for bounds in KINDS[name].fields.values():
        if isinstance(bounds[0], str):
            given.append(chance.choice(bounds))
        elif isinstance(bounds[0], int):
            given.append(chance.randint(*bounds))
        else:
            given.append(round(chance.uniform(*bounds), 3))
    return Trouble(round(at, 2), name, tuple(given))


def script(day: Day) -> str:
    """A day as HCL that `load` reads back."""
    known = {f.name for f in fields(Day)} & _DAY.keys()
    times = ("seconds", "grace", "bare_limit")
    rows = [(k, f"{getattr(day, k)}s" if k in times else getattr(day, k)) for k in _DAY if k in known]
    blocks = ["drill {", *(f"  {k} = {json.dumps(v)}" for k, v in rows), "}"]
    for trouble in day.troubles:
        blocks += [f'trouble "{trouble.what}" {{', f'  at = "{trouble.at}s"']
        for name, value in zip(KINDS[trouble.what].fields, trouble.args, strict=True):
            blocks.append(f"  {name} = {json.dumps(f'{value}s' if name in _TIMES else value)}")
        blocks.append("}")
    return "\n".join(blocks) + "\n"
