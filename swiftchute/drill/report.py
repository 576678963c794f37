"""What a drill came to, for people and for machines."""

from dataclasses import asdict

import msgspec

from swiftchute.drill.invariants import Verdict
from swiftchute.drill.runner import Result


def broken(result: Result, verdicts: list[Verdict]) -> bool:
    """Whether a rule broke, a replayed order changed anything, or a trouble was not played."""
    return bool(result.changed or result.failed) or any(v.broken for v in verdicts)


def text(result: Result, verdicts: list[Verdict]) -> str:
    """A line a rule, and how invocations ended; stand-ins on one machine."""
    total = max(sum(result.ends.values()), 1)
    ends = ", ".join(
        f"{name} {count} ({100 * count / total:.1f}%)" for name, count in sorted(result.ends.items())
    )
    changed = f"changed {', '.join(result.changed)}" if result.changed else "nothing changed"
    lines = [v.line for v in verdicts]
    lines.append(f"orders delivered again: {result.replayed}, {changed}")
    lines.append(f"invocations (stand-ins on one machine): {ends}")
    lines += result.notes
    lines += [f"trouble that failed: {why}" for why in result.failed]
    if result.fell:
        lines.append(f"workers that fell over: {', '.join(result.fell)}")
    if result.lost:
        lines.append(f"records past their bound: {result.lost}; the verdicts are of what was kept")
    return "\n".join(lines)


def write(path: str, day: str, seed: int, result: Result, verdicts: list[Verdict]) -> None:
    """The same as JSON."""
    found = {
        "day": day,
        "seed": seed,
        "broken": broken(result, verdicts),
        "rules": [asdict(v) for v in verdicts],
        "invocations": result.ends,
        "replayed": result.replayed,
        "changed": result.changed,
        "fell": result.fell,
        "lost": result.lost,
        "notes": result.notes,
        "failed": result.failed,
    }
    with open(path, "wb") as out:
        out.write(msgspec.json.format(msgspec.json.encode(found), indent=2) + b"\n")
