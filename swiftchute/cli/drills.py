"""Commands that run fault scenarios: drill, search."""

import os
import sys
from typing import TYPE_CHECKING

import click

from swiftchute.cli.common import EXIT_FAILED, EXIT_USAGE, fail, load_or_fail

if TYPE_CHECKING:
    from swiftchute.drill.evidence import Verdict
    from swiftchute.drill.faulty_policies import Case
    from swiftchute.drill.runner import Result
    from swiftchute.drill.scenario import Scenario


@click.command()
@click.argument("day", required=False)
@click.option("--list", "list_only", is_flag=True, help="List the scenarios.")
@click.option("--seed", default=7, show_default=True, help="Seed of the random decisions.")
@click.option(
    "--json", "json_path", type=click.Path(dir_okay=False), help="Write the verdicts to this file as JSON."
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False),
    help="Keep settings, endpoint list and logs in this directory.",
)
@click.option(
    "--bad-day/--no-bad-day",
    default=True,
    help="With sabotage: also run each policy in the scenario bad-day.",
)
@click.option(
    "--troubles",
    default=2,
    show_default=True,
    type=click.IntRange(1, 6),
    help="With drawn: number of faults.",
)
def drill(
    day: str | None,
    list_only: bool,
    seed: int,
    json_path: str | None,
    keep: str | None,
    bad_day: bool,
    troubles: int,
) -> None:
    """Run a fault scenario with fake backends and proxies against real instances; check five invariants.

    DAY is the name of a scenario, a script in HCL, `drawn` (random faults from the seed; the script is
    printed first), or `sabotage` (policies with one fault each, with the safety gate off and on).
    """
    if list_only or day is None:
        _print_scenarios()
        sys.exit(0 if list_only else EXIT_USAGE)
    if day == "sabotage":
        sys.exit(_play_faulty_policies(seed, bad_day))
    _play(day, _scenario(day, seed, troubles), seed, json_path, keep)


def _print_scenarios() -> None:
    from swiftchute.drill.builtin_scenarios import SCENARIOS
    from swiftchute.drill.faults import KINDS

    for name, scenario in SCENARIOS.items():
        click.echo(f"{name:10} {scenario.duration:3.0f} s  {scenario.description}")
    click.echo("drawn       30 s  random faults from the seed")
    click.echo("FILE.hcl          your own script; kinds of fault (block trouble):")
    for name, kind in KINDS.items():
        click.echo(f"    {name:16} {kind.description} ({', '.join(kind.fields)})")
    click.echo("sabotage          policies with one fault each, with the safety gate off and on")


def _scenario(name: str, seed: int, fault_count: int) -> "Scenario":
    """Return the scenario of a name or path; exit if there is none."""
    from swiftchute.drill.builtin_scenarios import SCENARIOS
    from swiftchute.drill.faults import draw_scenario, load, to_hcl

    if name == "drawn":
        scenario = draw_scenario(seed, fault_count)
        click.echo(to_hcl(scenario))
        return scenario
    if name.endswith(".hcl"):
        return load_or_fail(name, load)
    if name not in SCENARIOS:
        fail(f"no scenario {name!r}; there are {', '.join(SCENARIOS)}")
    return SCENARIOS[name]


def _play(name: str, scenario: "Scenario", seed: int, json_path: str | None, keep: str | None) -> None:
    """Run a scenario, print the verdicts, and exit with 1 if an invariant was violated."""
    import tempfile

    import uvloop

    from swiftchute.drill import report
    from swiftchute.drill.invariants import judge
    from swiftchute.drill.runner import Runner

    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or temporary
        os.makedirs(folder, exist_ok=True)
        result = uvloop.run(Runner(scenario, seed, folder, report_progress=click.echo).run())
    verdicts = judge(result.evidence)
    click.echo(report.text(result, verdicts))
    if name == "steady":
        from swiftchute.drill.predict import shares

        click.echo(shares(result.evidence).line)
    if json_path:
        report.write(json_path, name, seed, result, verdicts)
    sys.exit(EXIT_FAILED if report.broken(result, verdicts) else 0)


def _play_faulty_policies(seed: int, bad_day: bool) -> int:
    """Run every faulty policy, a few at a time; print each outcome and return the exit code."""
    import multiprocessing
    from concurrent.futures import ProcessPoolExecutor

    from swiftchute.drill import faulty_policies

    failures = 0
    jobs = max((os.cpu_count() or 2) // 2, 1)  # each case runs several processes
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn")) as pool:
        cases = faulty_policies.cases(bad_day)
        for case, result, verdicts in pool.map(faulty_policies.play_case, cases, [seed] * len(cases)):
            expected = case.as_expected(result, verdicts)
            failures += not expected
            click.echo(_case_line(case, expected, result, verdicts))
    return EXIT_FAILED if failures else 0


def _case_line(case: "Case", expected: bool, result: "Result", verdicts: "list[Verdict]") -> str:
    from swiftchute.drill.faulty_policies import FAULTY_POLICIES

    broken = [verdict for verdict in verdicts if verdict.broken]
    if case.kind == "broken" and expected:
        broken = [verdict for verdict in broken if verdict.rule == FAULTY_POLICIES[case.name][1]]
    findings = [f"{verdict.rule} broken, {verdict.broken[0]}" for verdict in broken]
    if result.changed:
        findings.append(f"replayed commands changed {', '.join(result.changed)}")
    text = "; ".join(findings) or "all five invariants held"
    margins = ", ".join(f"{verdict.figure:.2f} of {verdict.limit:.2f}" for verdict in verdicts)
    outcome = "as expected" if expected else "UNEXPECTED"
    return f"{outcome:12} {case.name:15} {case.kind:8} {text} ({margins})"


@click.command("search")
@click.option(
    "--seed",
    default=1000,
    show_default=True,
    help="Seed of the first scenario; the others use the following seeds.",
)
@click.option("--days", default=8, show_default=True, type=click.IntRange(1, 1000))
@click.option(
    "--troubles", default=3, show_default=True, type=click.IntRange(1, 6), help="Faults per scenario."
)
@click.option(
    "--plays", default=12, show_default=True, help="Maximum number of runs to shrink a violating scenario."
)
@click.option(
    "--out", type=click.Path(dir_okay=False), help="Write the script of the worst scenario to this file."
)
def search_command(seed: int, days: int, troubles: int, plays: int, out: str | None) -> None:
    """Run random fault scenarios and print the worst one, shrunk if it violates an invariant."""
    from swiftchute.drill.faults import to_hcl
    from swiftchute.drill.shrink import search

    played, smallest, run_count = search(seed, days, troubles, plays)
    for scenario_run in played:
        kinds = ", ".join(fault.action for fault in scenario_run.scenario.faults)
        outcome = ", ".join(scenario_run.rules) or (
            "a fault could not be injected" if scenario_run.failed else "held"
        )
        click.echo(
            f"seed {scenario_run.seed}: {outcome}, reached {scenario_run.nearest:.2f} of a limit ({kinds})"
        )
    if smallest is not None:
        click.echo(f"shrunk in {run_count} runs:")
    worst = to_hcl(smallest or played[0].scenario)
    click.echo(worst, nl=False)
    if out:
        with open(out, "w", encoding="utf-8") as file:
            file.write(worst)
    sys.exit(EXIT_FAILED if smallest is not None else 0)
