"""Commands, by click. Bad settings end with exit code 2 and a line each on standard error."""

import os
import sys

import click

from swiftchute.config import BadConfig, Config, load


def _load(path: str) -> Config:
    try:
        return load(path)
    except BadConfig as why:
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
        f"{config}: planner {settings.planner} of {settings.planners} in {settings.zone},"
        f" {len(settings.operations)} operations, list from a {found.list_kind}"
    )


@main.command()
@click.argument("config", type=click.Path())
def serve(config: str) -> None:
    """Run a planner until it is told to stop."""
    import uvloop

    from swiftchute.daemon.service import Service
    from swiftchute.observe.log import setup

    found = _load(config)
    log = setup(found.log_level, planner=found.settings.planner)

    async def run() -> None:
        await Service(found, log).run()

    try:
        uvloop.run(run())
    except OSError as why:
        click.echo(f"swiftchute: {config}: xds.listen: {why}", err=True)
        sys.exit(2)


@main.command()
@click.argument("day", required=False)
@click.option("--list", "listed", is_flag=True, help="Say which days there are.")
@click.option("--seed", default=7, show_default=True, help="Start of the day's chance.")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the verdicts to a file.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep settings, list and logs in this folder.")
def drill(day: str | None, listed: bool, seed: int, out: str | None, keep: str | None) -> None:
    """Play a scripted day of stand-ins on this machine through real planners, and judge the five rules."""
    import tempfile

    import uvloop

    from swiftchute.drill import report
    from swiftchute.drill.checker import judge
    from swiftchute.drill.day import DAYS, Runner

    if listed or day is None:
        for name, known in DAYS.items():
            click.echo(f"{name:10} {known.seconds:3.0f} s  {known.about}")
        sys.exit(0 if listed else 2)
    if day not in DAYS:
        click.echo(f"swiftchute: no day {day!r}; there are {', '.join(DAYS)}", err=True)
        sys.exit(2)
    with tempfile.TemporaryDirectory() as folder:
        os.makedirs(keep or folder, exist_ok=True)
        result = uvloop.run(Runner(DAYS[day], seed, keep or folder, say=click.echo).run())
    verdicts = judge(result.evidence)
    click.echo(report.text(result, verdicts))
    if out:
        report.write(out, day, seed, result, verdicts)
    sys.exit(1 if report.broken(result, verdicts) else 0)


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
    from swiftchute.guard import offline

    settings = _load(config).settings
    try:
        verdict = offline.judge(settings, offline.read(table), offline.listed(servers, settings.zones))
    except offline.BadInput as why:
        click.echo(f"swiftchute: {why}", err=True)
        sys.exit(2)
    for refusal in verdict.refusals:
        named = ", ".join(refusal.servers)
        click.echo(f"{refusal.rule}: {refusal.figure:g}, limit {refusal.limit:g} ({refusal.done}): {named}")
    lines, level = verdict.tables[0]
    click.echo(f"may go out: level {level:g}, " + ", ".join(f"{n} {w:g}" for n, w in sorted(lines.items())))
    sys.exit(1 if verdict.refusals else 0)
