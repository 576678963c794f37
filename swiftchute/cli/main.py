"""Commands, by click. Bad settings end with exit code 2 and a line each on standard error."""

import importlib
import os
import sys
from typing import Any

import click

from swiftchute.config import ConfigError, load


def _load(path: str, read: Any = load) -> Any:
    try:
        return read(path)
    except ConfigError as why:
        for problem in why.problems:
            click.echo(f"swiftchute: {problem}", err=True)
        sys.exit(2)


@click.group()
@click.version_option("0.2.0")
def main() -> None:
    """A control plane for a service's plain proxies."""


@main.command()
@click.argument("config", type=click.Path())
def check(config: str) -> None:
    """Check a planner's settings and say what is wrong, without starting."""
    found = _load(config)
    settings = found.settings
    click.echo(
        f"{config}: planner {settings.instance} of {settings.instance_count} in {settings.zone},"
        f" {len(settings.operations)} operations, list from a {found.list_kind}"
    )


def _decider(named: str) -> Any:
    """A deciding module by `package.module:Name`."""
    place, _, name = named.partition(":")
    try:
        return getattr(importlib.import_module(place), name)
    except (ImportError, AttributeError, ValueError) as why:
        click.echo(f"swiftchute: --decider {named}: {why}", err=True)
        sys.exit(2)


@main.command()
@click.argument("config", type=click.Path())
@click.option("--decider", help="Another deciding module, as package.module:Name.")
def serve(config: str, decider: str | None) -> None:
    """Run a planner until it is told to stop."""
    import uvloop

    from swiftchute.daemon.service import CannotListen, Service
    from swiftchute.observability.logging import setup
    from swiftchute.policy import Reconciler

    found = _load(config)
    log = setup(found.log_level, planner=found.settings.instance)
    make = _decider(decider) if decider else Reconciler

    async def run() -> None:
        await Service(found, log, make).run()

    try:
        uvloop.run(run())
    except CannotListen as why:
        click.echo(f"swiftchute: {config}: {why}", err=True)
        sys.exit(2)


@main.command()
@click.argument("config", type=click.Path())
@click.option("--check", "check_only", is_flag=True, help="Say what is wrong with the settings, and end.")
def proxy(config: str, check_only: bool) -> None:
    """Run a proxy that follows a planner's tables, until it is told to stop."""
    import uvloop

    from swiftchute.config.proxy import load as load_proxy
    from swiftchute.daemon.proxy import Daemon
    from swiftchute.observability.logging import setup

    found = _load(config, load_proxy)
    if check_only:
        click.echo(f"{config}: proxy {found.proxy['name']} in {found.proxy['zone']}")
        return

    async def run() -> None:
        await Daemon(found, setup(found.log_level, proxy=found.proxy["name"])).run()

    try:
        uvloop.run(run())
    except OSError as why:
        click.echo(f"swiftchute: {config}: proxy.listen: {why}", err=True)
        sys.exit(2)


@main.command()
@click.argument("day", required=False)
@click.option("--list", "listed", is_flag=True, help="Say which days there are.")
@click.option("--seed", default=7, show_default=True, help="Start of the day's chance.")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the verdicts to a file.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep settings, list and logs in this folder.")
@click.option("--bad-day/--no-bad-day", default=True, help="With sabotage: also among the bad day's faults.")
@click.option(
    "--troubles", default=2, show_default=True, type=click.IntRange(1, 6), help="With drawn: how many."
)
def drill(
    day: str | None, listed: bool, seed: int, out: str | None, keep: str | None, bad_day: bool, troubles: int
) -> None:
    """Play a scripted day of stand-ins on this machine through real planners, and judge the five rules.

    DAY is a name, a script in HCL, `drawn` (troubles by chance, from the seed; its script is printed first),
    or `sabotage` (deciders that each do one thing wrong, without the guard and under it).
    """
    import tempfile

    import uvloop

    from swiftchute.drill import report
    from swiftchute.drill.faults import KINDS, drawn, script
    from swiftchute.drill.faults import load as load_day
    from swiftchute.drill.invariants import judge
    from swiftchute.drill.scenario import DAYS, Runner

    if listed or day is None:
        for name, known in DAYS.items():
            click.echo(f"{name:10} {known.seconds:3.0f} s  {known.about}")
        click.echo("drawn       30 s  troubles by chance, from the seed")
        click.echo("FILE.hcl          a script of your own; kinds of trouble:")
        for name, kind in KINDS.items():
            click.echo(f"    {name:16} {kind.about} ({', '.join(kind.fields)})")
        click.echo("sabotage          deciders that each do one thing wrong, without the guard and under it")
        sys.exit(0 if listed else 2)
    if day == "sabotage":
        sys.exit(_sabotage(seed, bad_day))
    found = DAYS.get(day)
    if day == "drawn":
        found = drawn(seed, troubles)
        click.echo(script(found))
    elif day.endswith(".hcl"):
        found = _load(day, load_day)
    if found is None:
        click.echo(f"swiftchute: no day {day!r}; there are {', '.join(DAYS)}", err=True)
        sys.exit(2)
    with tempfile.TemporaryDirectory() as folder:
        os.makedirs(keep or folder, exist_ok=True)
        result = uvloop.run(Runner(found, seed, keep or folder, say=click.echo).run())
    verdicts = judge(result.evidence)
    click.echo(report.text(result, verdicts))
    if day == "steady":
        from swiftchute.drill.predict import shares

        click.echo(shares(result.evidence).line)
    if out:
        report.write(out, day, seed, result, verdicts)
    sys.exit(1 if report.broken(result, verdicts) else 0)


def _sabotage(seed: int, bad_day: bool) -> int:
    """Play every case, a few at a time, and say how each went; the exit code."""
    import multiprocessing
    from concurrent.futures import ProcessPoolExecutor

    from swiftchute.drill import faulty_policies

    wrong = 0
    jobs = max((os.cpu_count() or 2) // 2, 1)  # a day is a few processes
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn")) as pool:
        cases = faulty_policies.cases(bad_day)
        for case, result, verdicts in pool.map(faulty_policies.outcome, cases, [seed] * len(cases)):
            right = case.right(result, verdicts)
            wrong += not right
            found = [v for v in verdicts if v.broken]
            if case.kind == "broken" and right:
                found = [v for v in found if v.rule == faulty_policies.SABOTEURS[case.name][1]]
            told = [f"{v.rule} broken, {v.broken[0]}" for v in found]
            told += [f"replayed orders changed {', '.join(result.changed)}"] if result.changed else []
            said = "; ".join(told) or "all five rules kept"
            near = ", ".join(f"{v.figure:.2f} of {v.limit:.2f}" for v in verdicts)
            how = "as it should" if right else "WRONG"
            click.echo(f"{how:12} {case.name:15} {case.kind:8} {said} ({near})")
    return 1 if wrong else 0


@main.command("search")
@click.option("--seed", default=1000, show_default=True, help="Of the first day; the others follow.")
@click.option("--days", default=8, show_default=True, type=click.IntRange(1, 1000))
@click.option("--troubles", default=3, show_default=True, type=click.IntRange(1, 6), help="A day.")
@click.option("--plays", default=12, show_default=True, help="At most, to cut a broken day down.")
@click.option("--out", type=click.Path(dir_okay=False), help="Write the worst day's script to this file.")
def search_days(seed: int, days: int, troubles: int, plays: int, out: str | None) -> None:
    """Draw days of troubles, look for a broken rule or the nearest to one, and cut that day down."""
    from swiftchute.drill.faults import script
    from swiftchute.drill.shrink import search

    found, small, took = search(seed, days, troubles, plays)
    for played in found:
        kinds = ", ".join(t.what for t in played.day.troubles)
        told = ", ".join(played.rules) or ("a trouble failed" if played.failed else "kept")
        click.echo(f"seed {played.seed}: {told}, nearest {played.nearest:.2f} of a limit ({kinds})")
    if small is not None:
        click.echo(f"cut down in {took} plays:")
    worst = script(small or found[0].day)
    click.echo(worst, nl=False)
    if out:
        with open(out, "w", encoding="utf-8") as file:
            file.write(worst)
    sys.exit(1 if small is not None else 0)


@main.group()
def guard() -> None:
    """The guard against bad tables."""


@guard.command("check")
@click.argument("config", type=click.Path())
@click.argument("table", type=click.Path())
@click.argument("servers", type=click.Path())
def guard_check(config: str, table: str, servers: str) -> None:
    """Judge a written TABLE against a list of SERVERS (file_sd) by the rules of CONFIG; exit 1 if refused.

    TABLE is JSON: {"lines": {"address:port": weight}, "zones": ["north"]}, perhaps with "level", "local",
    "demand" (invocations a second) and "full" (by kind, good answers a second of a warm server of weight 1).
    """
    from swiftchute.safety import offline

    settings = _load(config).settings
    try:
        verdict = offline.judge(settings, offline.read(table), offline.listed(servers, settings.zones))
    except offline.InputFileError as why:
        click.echo(f"swiftchute: {why}", err=True)
        sys.exit(2)
    for refusal in verdict.refusals:
        named = ", ".join(refusal.servers)
        click.echo(f"{refusal.rule}: {refusal.figure:g}, limit {refusal.limit:g} ({refusal.done}): {named}")
    lines, level = verdict.tables[0]
    click.echo(f"may go out: level {level:g}, " + ", ".join(f"{n} {w:g}" for n, w in sorted(lines.items())))
    sys.exit(1 if verdict.refusals else 0)


def _asked(config: str, command: str, **arguments: Any) -> Any:
    """The running planner's answer; without one the command ends with exit code 2."""
    from swiftchute.admin.client import call
    from swiftchute.admin.errors import NoReplyError

    found = _load(config)
    if found.control is None:
        click.echo(
            f"swiftchute: {config}: control.socket: missing: the planner has no control socket", err=True
        )
        sys.exit(2)
    try:
        return call(found.control, command, **arguments)
    except NoReplyError as why:
        click.echo(f"swiftchute: {why}", err=True)
        sys.exit(2)


@guard.command("explain")
@click.argument("config", type=click.Path())
@click.option("--table", help="One table by its name, as proxies know it.")
@click.option("--json", "as_json", is_flag=True, help="The whole answer as JSON.")
def guard_explain(config: str, table: str | None, as_json: bool) -> None:
    """Ask the running planner of CONFIG why its guard lets tables out as it does."""
    import json

    answer = _asked(config, "guard.explain", table=table)
    if as_json:
        click.echo(json.dumps(answer, indent=2))
        return
    click.echo("the guard " + ("mends what it refuses" if answer["enforced"] else "only warns"))
    for row in answer["tables"]:
        of, zones = ", ".join(row["operations"]), ", ".join(row["zones"])
        click.echo(
            f"table {row['table']}: {of} in {zones}, {row['proxies']} proxies, {row['same']} lines as ordered"
        )
        if row["level"]["ordered"] != row["level"]["out"]:
            click.echo(f"  level {row['level']['out']:.3g}, ordered {row['level']['ordered']:.3g}")
        for line in row["lines"]:
            out = f"{line['out']:.3g}" if line["out"] else "none"
            asked = f"{line['ordered']:.3g}" if line["ordered"] else "none"
            click.echo(f"  {line['server']}: {out}, ordered {asked}: {line['why']}")
        for found in row["findings"]:
            named = ", ".join(found["servers"])
            click.echo(
                f"  {found['rule']}: {found['figure']:.3g}, limit {found['limit']:.3g},"
                f" {found['done']}, for {found['seconds']} s{': ' + named if named else ''}"
            )
        if row["waits"]:
            click.echo(f"  refused too often: new orders wait {row['waits']} s more")
    for rule, count in sorted(answer["counts"].items()):
        click.echo(f"since the start: {rule} {count}")


@main.group()
def tables() -> None:
    """Versions of a running planner's tables, and ways back to them.

    A VERSION is the beginning of its name, `#12` for an entry of the log, or `~1` for the one before the
    newest.
    """


_CONFIG = click.argument("config", type=click.Path())
_SECONDS = click.option(
    "--for", "seconds", default=600.0, show_default=True, help="Seconds until it ends by itself."
)
_LEVELS = click.option(
    "--levels", is_flag=True, help="Hold its levels and tries too; else they follow the load."
)


def _row(change: dict[str, Any]) -> str:
    import time

    at = time.strftime("%H:%M:%S", time.localtime(change["at"]))
    held = f"held by {change['acknowledged']}" + (
        f", under way to {change['under_way']}" if change["under_way"] else ""
    )
    return (
        f"{at}  {change['table']:6} #{change['serial']:<5} {change['version'][:12]}  {change['cause']:9}"
        f" +{change['put']} -{change['gone']}  {held}"
    )


@tables.command("log")
@_CONFIG
@click.option("--table", help="One table by its name.")
@click.option("--most", default=20, show_default=True, help="Entries, newest first.")
def tables_log(config: str, table: str | None, most: int) -> None:
    """What changed, when and why, and how many proxies hold it."""
    for change in _asked(config, "tables.log", table=table, most=most):
        click.echo(_row(change))


@tables.command("show")
@_CONFIG
@click.argument("table")
@click.argument("version", default="~0")
def tables_show(config: str, table: str, version: str) -> None:
    """A version's lines and levels; beside a pinned table, what the module orders."""
    found = _asked(config, "tables.show", table=table, version=version)
    click.echo(_row(found))
    if found["pinned"]:
        pin = found["pinned"]
        click.echo(f"held at {pin['version'][:12]} ({pin['cause']}) for {pin['seconds']} s more")
    for op, level, tries in found["levels"]:
        click.echo(f"  {op}: level {level:g}, further tries {tries}")
    for server, zone, weight in found["lines"]:
        ordered = found["ordered"].get(server)
        beside = f", ordered {ordered:g}" if ordered is not None else ", not ordered"
        click.echo(f"  {server} {zone}: {weight:g}{beside if found['newest'] and ordered != weight else ''}")


@tables.command("diff")
@_CONFIG
@click.argument("table")
@click.argument("before", default="~1")
@click.argument("after", default="~0")
def tables_diff(config: str, table: str, before: str, after: str) -> None:
    """What changed from one version to another."""
    found = _asked(config, "tables.diff", table=table, before=before, after=after)
    click.echo(f"{found['before'][:12]} -> {found['after'][:12]}: {found['bytes']} bytes of {found['whole']}")
    for server, was, now in sorted(found["lines"]):
        click.echo(
            f"  {server}: {'none' if was is None else f'{was:g}'} -> {'none' if now is None else f'{now:g}'}"
        )
    if found["levels"]:
        was = {op: (level, tries) for op, level, tries in found["levels"]["before"]}
        for op, level, tries in found["levels"]["after"]:
            before, further = was.get(op, (1e6, tries))
            click.echo(
                f"  {op}: level {before / 1e6:g} -> {level / 1e6:g}, further tries {further} -> {tries}"
            )


@tables.command("rollback")
@_CONFIG
@click.argument("table")
@click.argument("version", default="~1")
@_SECONDS
@_LEVELS
def tables_rollback(config: str, table: str, version: str, seconds: float, levels: bool) -> None:
    """Hold a table at an earlier version for a while; drained servers do not come back."""
    asked = {"table": table, "version": version, "seconds": seconds, "levels": levels}
    click.echo("going back to " + _row(_asked(config, "tables.rollback", **asked)))


@tables.command("pin")
@_CONFIG
@click.argument("table")
@_SECONDS
@_LEVELS
def tables_pin(config: str, table: str, seconds: float, levels: bool) -> None:
    """Hold a table as it is for a while."""
    click.echo("held at " + _row(_asked(config, "tables.pin", table=table, seconds=seconds, levels=levels)))


@tables.command("release")
@_CONFIG
@click.argument("table")
def tables_release(config: str, table: str) -> None:
    """Let the module's orders count again for a table."""
    _asked(config, "tables.release", table=table)
    click.echo(f"released {table}")


@main.command()
@click.option("--proxies", default=1, show_default=True, type=click.IntRange(1, 3))
@click.option("--versions", default=3, show_default=True, type=click.IntRange(1, 4))
@click.option("--channel", default=2, show_default=True, type=click.IntRange(1, 3), help="Messages each way.")
@click.option("--most", default=2_000_000, show_default=True, help="States at most.")
@click.option("--bug", help="Put a known bug back in, by name; `list` names them.")
def model(proxies: int, versions: int, channel: int, most: int, bug: str | None) -> None:
    """Explore how tables are kept in step, every interleaving of loss, doubling, reordering and restarts."""
    from swiftchute.versions import model_checker
    from swiftchute.versions.known_bugs import KNOWN_BUGS

    if bug is not None and bug not in KNOWN_BUGS:
        click.echo("\n".join(KNOWN_BUGS), err=bug != "list")
        sys.exit(0 if bug == "list" else 2)
    sides = KNOWN_BUGS[bug] if bug else ()
    found = model_checker.explore(model_checker.Model(proxies, versions, channel, *sides), most)
    click.echo(f"{found.states} states, {found.steps} steps: {found.broken or 'no invariant is broken'}")
    for place, what in enumerate(found.trace, 1):
        click.echo(f"{place:3}  {what}")
    sys.exit(1 if found.broken else 0)
