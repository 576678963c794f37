"""Commands that play fault scenarios: drill, search."""

import os
import sys
from typing import TYPE_CHECKING

import click

from swiftchute.cli.common import EXIT_FAILED, EXIT_USAGE, fail, load_or_fail

if TYPE_CHECKING:
    from swiftchute.drill.faulty_policies import Case
    from swiftchute.drill.invariants import Verdict
    from swiftchute.drill.runner import Result
    from swiftchute.drill.scenario import Scenario


@click.command()
@click.argument("day", required=False)
@click.option("--list", "list_only", is_flag=True, help="Say which days there are.")
@click.option("--seed", default=7, show_default=True, help="Start of the day's chance.")
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="Write the verdicts to a file.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep settings, list and logs in this folder.")
@click.option("--bad-day/--no-bad-day", default=True, help="With sabotage: also among the bad day's faults.")
@click.option(
    "--troubles", default=2, show_default=True, type=click.IntRange(1, 6), help="With drawn: how many."
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
    """Play a scripted day of stand-ins on this machine through real planners, and judge the five rules.

    DAY is a name, a script in HCL, `drawn` (troubles by chance, from the seed; its script is printed first),
    or `sabotage` (deciders that each do one thing wrong, without the guard and under it).
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
    click.echo("drawn       30 s  troubles by chance, from the seed")
    click.echo("FILE.hcl          a script of your own; kinds of trouble:")
    for name, kind in KINDS.items():
        click.echo(f"    {name:16} {kind.description} ({', '.join(kind.fields)})")
    click.echo("sabotage          deciders that each do one thing wrong, without the guard and under it")


def _scenario(name: str, seed: int, fault_count: int) -> "Scenario":
    """Return the scenario that a name or a path stands for; end if there is none."""
    from swiftchute.drill.builtin_scenarios import SCENARIOS
    from swiftchute.drill.faults import draw_scenario, load, to_hcl

    if name == "drawn":
        scenario = draw_scenario(seed, fault_count)
        click.echo(to_hcl(scenario))
        return scenario
    if name.endswith(".hcl"):
        return load_or_fail(name, load)
    if name not in SCENARIOS:
        fail(f"no day {name!r}; there are {', '.join(SCENARIOS)}")
    return SCENARIOS[name]


def _play(name: str, scenario: "Scenario", seed: int, json_path: str | None, keep: str | None) -> None:
    """Play a scenario, print the verdicts and end with 1 if a rule broke."""
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
    """Play every faulty policy, a few at a time, print how each went and return the exit code."""
    import multiprocessing
    from concurrent.futures import ProcessPoolExecutor

    from swiftchute.drill import faulty_policies

    failures = 0
    jobs = max((os.cpu_count() or 2) // 2, 1)  # each is a few processes
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
        findings.append(f"replayed orders changed {', '.join(result.changed)}")
    text = "; ".join(findings) or "all five rules kept"
    margins = ", ".join(f"{verdict.figure:.2f} of {verdict.limit:.2f}" for verdict in verdicts)
    outcome = "as it should" if expected else "WRONG"
    return f"{outcome:12} {case.name:15} {case.kind:8} {text} ({margins})"


@click.command("search")
@click.option("--seed", default=1000, show_default=True, help="Of the first day; the others follow.")
@click.option("--days", default=8, show_default=True, type=click.IntRange(1, 1000))
@click.option("--troubles", default=3, show_default=True, type=click.IntRange(1, 6), help="A day.")
@click.option("--plays", default=12, show_default=True, help="At most, to cut a broken day down.")
@click.option("--out", type=click.Path(dir_okay=False), help="Write the worst day's script to this file.")
def search_command(seed: int, days: int, troubles: int, plays: int, out: str | None) -> None:
    """Draw days of troubles, look for a broken rule or the nearest to one, and cut that day down."""
    from swiftchute.drill.faults import to_hcl
    from swiftchute.drill.shrink import search

    played, smallest, plays_taken = search(seed, days, troubles, plays)
    for one in played:
        kinds = ", ".join(fault.action for fault in one.scenario.faults)
        outcome = ", ".join(one.rules) or ("a trouble failed" if one.failed else "kept")
        click.echo(f"seed {one.seed}: {outcome}, nearest {one.nearest:.2f} of a limit ({kinds})")
    if smallest is not None:
        click.echo(f"cut down in {plays_taken} plays:")
    worst = to_hcl(smallest or played[0].scenario)
    click.echo(worst, nl=False)
    if out:
        with open(out, "w", encoding="utf-8") as file:
            file.write(worst)
    sys.exit(EXIT_FAILED if smallest is not None else 0)
