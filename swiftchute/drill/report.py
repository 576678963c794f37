"""The result of a drill, as text for people and as JSON for programs."""

from dataclasses import asdict

import msgspec

from swiftchute.drill.evidence import Verdict
from swiftchute.drill.runner import Result


def broken(result: Result, verdicts: list[Verdict]) -> bool:
    """Return whether an invariant broke, a repeated response changed anything, or a fault action failed."""
    return bool(result.changed or result.failed) or any(v.broken for v in verdicts)


def text(result: Result, verdicts: list[Verdict]) -> str:
    """Return one line per invariant, then the outcomes of requests and what else was noted."""
    total = max(sum(result.outcomes.values()), 1)
    outcomes = ", ".join(
        f"{name} {count} ({100 * count / total:.1f}%)" for name, count in sorted(result.outcomes.items())
    )
    changed = f"changed {', '.join(result.changed)}" if result.changed else "nothing changed"
    lines = [v.line for v in verdicts]
    lines.append(f"responses delivered again: {result.replayed}, {changed}")
    lines.append(f"requests (fakes on one machine): {outcomes}")
    lines += result.notes
    lines += [f"fault action that failed: {cause}" for cause in result.failed]
    if result.crashed_backends:
        lines.append(f"backends that crashed of overload: {', '.join(result.crashed_backends)}")
    if result.dropped_records:
        lines.append(
            f"records dropped at their bound: {result.dropped_records}; the verdicts cover the others"
        )
    return "\n".join(lines)


def write(path: str, scenario_name: str, seed: int, result: Result, verdicts: list[Verdict]) -> None:
    """Write the result to a file as JSON."""
    report = {
        "day": scenario_name,
        "seed": seed,
        "broken": broken(result, verdicts),
        "rules": [asdict(v) for v in verdicts],
        "invocations": result.outcomes,
        "replayed": result.replayed,
        "changed": result.changed,
        "fell": result.crashed_backends,
        "lost": result.dropped_records,
        "notes": result.notes,
        "failed": result.failed,
    }
    with open(path, "wb") as out:
        out.write(msgspec.json.format(msgspec.json.encode(report), indent=2) + b"\n")
