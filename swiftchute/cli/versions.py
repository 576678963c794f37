"""Commands on versions of tables (tables log, show, diff, rollback, pin, release), and model."""

import sys
import time
from typing import Any

import click

from swiftchute.cli.common import EXIT_FAILED, EXIT_USAGE, call_instance, config_argument

LEVEL_SCALE = 1e6  # stored versions hold admission rates in millionths


@click.group()
def tables() -> None:
    """List, compare, pin and roll back versions of a running instance's tables.

    VERSION is a prefix of the version's hash, `#12` for the entry with that serial number in the log, or
    `~1` for the version before the newest one.
    """


_seconds_option = click.option(
    "--for", "seconds", default=600.0, show_default=True, help="Seconds until the pin expires."
)
_levels_option = click.option(
    "--levels",
    is_flag=True,
    help="Also pin admission rates and retry policies; by default they follow the load.",
)


def _change_line(change: dict[str, Any]) -> str:
    at = time.strftime("%H:%M:%S", time.localtime(change["at"]))
    holders = f"held by {change['acknowledged']}"
    if change["under_way"]:
        holders += f", under way to {change['under_way']}"
    return (
        f"{at}  {change['table']:6} #{change['serial']:<5} {change['version'][:12]}  {change['cause']:9}"
        f" +{change['put']} -{change['gone']}  {holders}"
    )


@tables.command("log")
@config_argument
@click.option("--table", help="Only this table, by name.")
@click.option("--most", default=20, show_default=True, help="Maximum number of entries, newest first.")
def tables_log(config: str, table: str | None, most: int) -> None:
    """Show what changed, when and why, and how many proxies hold each version."""
    for change in call_instance(config, "tables.log", table=table, most=most):
        click.echo(_change_line(change))


@tables.command("show")
@config_argument
@click.argument("table")
@click.argument("version", default="~0")
def tables_show(config: str, table: str, version: str) -> None:
    """Show a version's entries and admission rates, and where the policy's commands differ from them."""
    answer = call_instance(config, "tables.show", table=table, version=version)
    click.echo(_change_line(answer))
    if answer["pinned"]:
        pin = answer["pinned"]
        click.echo(f"held at {pin['version'][:12]} ({pin['cause']}) for {pin['seconds']} s more")
    for operation, level, tries in answer["levels"]:
        click.echo(f"  {operation}: admission rate {level:g}, retry policy {tries}")
    for endpoint, zone, weight in answer["lines"]:
        click.echo(f"  {endpoint} {zone}: {weight:g}{_commanded_note(answer, endpoint, weight)}")


def _commanded_note(answer: dict[str, Any], endpoint: str, weight: float) -> str:
    """Return what the policy commands for an endpoint, if that differs from the newest version."""
    commanded = answer["ordered"].get(endpoint)
    if not answer["newest"] or commanded == weight:
        return ""
    return ", not ordered" if commanded is None else f", ordered {commanded:g}"


@tables.command("diff")
@config_argument
@click.argument("table")
@click.argument("before", default="~1")
@click.argument("after", default="~0")
def tables_diff(config: str, table: str, before: str, after: str) -> None:
    """Show the difference between two versions of a table."""
    answer = call_instance(config, "tables.diff", table=table, before=before, after=after)
    versions = f"{answer['before'][:12]} -> {answer['after'][:12]}"
    click.echo(f"{versions}: delta of {answer['bytes']} bytes, full table {answer['whole']}")
    for endpoint, old, new in sorted(answer["lines"]):
        click.echo(f"  {endpoint}: {_weight(old)} -> {_weight(new)}")
    if answer["levels"]:
        _print_level_changes(answer["levels"]["before"], answer["levels"]["after"])


def _weight(weight: float | None) -> str:
    return "none" if weight is None else f"{weight:g}"


def _print_level_changes(before: list[Any], after: list[Any]) -> None:
    old = {operation: (level, tries) for operation, level, tries in before}
    for operation, level, tries in after:
        old_level, old_tries = old.get(operation, (LEVEL_SCALE, tries))
        levels = f"{old_level / LEVEL_SCALE:g} -> {level / LEVEL_SCALE:g}"
        click.echo(f"  {operation}: admission rate {levels}, retry policy {old_tries} -> {tries}")


@tables.command("rollback")
@config_argument
@click.argument("table")
@click.argument("version", default="~1")
@_seconds_option
@_levels_option
def tables_rollback(config: str, table: str, version: str, seconds: float, levels: bool) -> None:
    """Pin a table to an earlier version for a limited time; drained endpoints are not added back."""
    arguments = {"table": table, "version": version, "seconds": seconds, "levels": levels}
    answer = call_instance(config, "tables.rollback", **arguments)
    click.echo("going back to " + _change_line(answer))


@tables.command("pin")
@config_argument
@click.argument("table")
@_seconds_option
@_levels_option
def tables_pin(config: str, table: str, seconds: float, levels: bool) -> None:
    """Pin a table to its current version for a limited time."""
    click.echo(
        "held at "
        + _change_line(call_instance(config, "tables.pin", table=table, seconds=seconds, levels=levels))
    )


@tables.command("release")
@config_argument
@click.argument("table")
def tables_release(config: str, table: str) -> None:
    """End a table's pin, so that the policy's commands apply again."""
    call_instance(config, "tables.release", table=table)
    click.echo(f"released {table}")


@click.command()
@click.option("--proxies", default=1, show_default=True, type=click.IntRange(1, 3))
@click.option("--versions", default=3, show_default=True, type=click.IntRange(1, 4))
@click.option(
    "--channel",
    default=2,
    show_default=True,
    type=click.IntRange(1, 3),
    help="Messages in flight in each direction.",
)
@click.option("--most", default=2_000_000, show_default=True, help="Maximum number of states.")
@click.option("--bug", help="Reintroduce a known bug by name; `list` prints the names.")
def model(proxies: int, versions: int, channel: int, most: int, bug: str | None) -> None:
    """Model-check table synchronization: all interleavings of loss, duplication, reordering, restarts."""
    from swiftchute.versions import model_checker
    from swiftchute.versions.known_bugs import KNOWN_BUGS

    if bug is not None and bug not in KNOWN_BUGS:
        click.echo("\n".join(KNOWN_BUGS), err=bug != "list")
        sys.exit(0 if bug == "list" else EXIT_USAGE)
    sides = KNOWN_BUGS[bug] if bug else ()
    explored = model_checker.explore(model_checker.Model(proxies, versions, channel, *sides), most)
    outcome = explored.broken or "no invariant is broken"
    click.echo(f"{explored.states} states, {explored.steps} steps: {outcome}")
    for number, step in enumerate(explored.trace, 1):
        click.echo(f"{number:3}  {step}")
    sys.exit(EXIT_FAILED if explored.broken else 0)
