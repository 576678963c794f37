"""Commands on versions of tables: tables log, show, diff, rollback, pin, release; model."""

import sys
import time
from typing import Any

import click

from swiftchute.cli.common import EXIT_FAILED, EXIT_USAGE, call_instance, config_argument

LEVEL_SCALE = 1e6  # versions hold admission rates in millionths


@click.group()
def tables() -> None:
    """Versions of a running planner's tables, and ways back to them.

    A VERSION is the beginning of its name, `#12` for an entry of the log, or `~1` for the one before the
    newest.
    """


_seconds_option = click.option(
    "--for", "seconds", default=600.0, show_default=True, help="Seconds until it ends by itself."
)
_levels_option = click.option(
    "--levels", is_flag=True, help="Hold its levels and tries too; else they follow the load."
)


def _change_line(change: dict[str, Any]) -> str:
    at = time.strftime("%H:%M:%S", time.localtime(change["at"]))
    held = f"held by {change['acknowledged']}"
    if change["under_way"]:
        held += f", under way to {change['under_way']}"
    return (
        f"{at}  {change['table']:6} #{change['serial']:<5} {change['version'][:12]}  {change['cause']:9}"
        f" +{change['put']} -{change['gone']}  {held}"
    )


@tables.command("log")
@config_argument
@click.option("--table", help="One table by its name.")
@click.option("--most", default=20, show_default=True, help="Entries, newest first.")
def tables_log(config: str, table: str | None, most: int) -> None:
    """What changed, when and why, and how many proxies hold it."""
    for change in call_instance(config, "tables.log", table=table, most=most):
        click.echo(_change_line(change))


@tables.command("show")
@config_argument
@click.argument("table")
@click.argument("version", default="~0")
def tables_show(config: str, table: str, version: str) -> None:
    """A version's lines and levels; beside a pinned table, what the module orders."""
    answer = call_instance(config, "tables.show", table=table, version=version)
    click.echo(_change_line(answer))
    if answer["pinned"]:
        pin = answer["pinned"]
        click.echo(f"held at {pin['version'][:12]} ({pin['cause']}) for {pin['seconds']} s more")
    for operation, level, tries in answer["levels"]:
        click.echo(f"  {operation}: level {level:g}, further tries {tries}")
    for endpoint, zone, weight in answer["lines"]:
        click.echo(f"  {endpoint} {zone}: {weight:g}{_ordered_note(answer, endpoint, weight)}")


def _ordered_note(answer: dict[str, Any], endpoint: str, weight: float) -> str:
    """Return what the policy orders for an endpoint, if that differs from the newest version."""
    ordered = answer["ordered"].get(endpoint)
    if not answer["newest"] or ordered == weight:
        return ""
    return ", not ordered" if ordered is None else f", ordered {ordered:g}"


@tables.command("diff")
@config_argument
@click.argument("table")
@click.argument("before", default="~1")
@click.argument("after", default="~0")
def tables_diff(config: str, table: str, before: str, after: str) -> None:
    """What changed from one version to another."""
    answer = call_instance(config, "tables.diff", table=table, before=before, after=after)
    versions = f"{answer['before'][:12]} -> {answer['after'][:12]}"
    click.echo(f"{versions}: {answer['bytes']} bytes of {answer['whole']}")
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
        click.echo(f"  {operation}: level {levels}, further tries {old_tries} -> {tries}")


@tables.command("rollback")
@config_argument
@click.argument("table")
@click.argument("version", default="~1")
@_seconds_option
@_levels_option
def tables_rollback(config: str, table: str, version: str, seconds: float, levels: bool) -> None:
    """Hold a table at an earlier version for a while; drained servers do not come back."""
    arguments = {"table": table, "version": version, "seconds": seconds, "levels": levels}
    answer = call_instance(config, "tables.rollback", **arguments)
    click.echo("going back to " + _change_line(answer))


@tables.command("pin")
@config_argument
@click.argument("table")
@_seconds_option
@_levels_option
def tables_pin(config: str, table: str, seconds: float, levels: bool) -> None:
    """Hold a table as it is for a while."""
    click.echo(
        "held at "
        + _change_line(call_instance(config, "tables.pin", table=table, seconds=seconds, levels=levels))
    )


@tables.command("release")
@config_argument
@click.argument("table")
def tables_release(config: str, table: str) -> None:
    """Let the module's orders count again for a table."""
    call_instance(config, "tables.release", table=table)
    click.echo(f"released {table}")


@click.command()
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
        sys.exit(0 if bug == "list" else EXIT_USAGE)
    sides = KNOWN_BUGS[bug] if bug else ()
    explored = model_checker.explore(model_checker.Model(proxies, versions, channel, *sides), most)
    outcome = explored.broken or "no invariant is broken"
    click.echo(f"{explored.states} states, {explored.steps} steps: {outcome}")
    for number, step in enumerate(explored.trace, 1):
        click.echo(f"{number:3}  {step}")
    sys.exit(EXIT_FAILED if explored.broken else 0)
