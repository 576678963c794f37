"""Commands on the safety gate, which limits what may be published: guard check, guard explain."""

import json
import sys
from typing import Any

import click

from swiftchute.cli.common import EXIT_FAILED, call_instance, config_argument, fail, load_or_fail


@click.group()
def guard() -> None:
    """The guard against bad tables."""


@guard.command("check")
@config_argument
@click.argument("table", type=click.Path())
@click.argument("servers", type=click.Path())
def guard_check(config: str, table: str, servers: str) -> None:
    """Judge a written TABLE against a list of SERVERS (file_sd) by the rules of CONFIG; exit 1 if refused.

    TABLE is JSON: {"lines": {"address:port": weight}, "zones": ["north"]}, perhaps with "level", "local",
    "demand" (invocations a second) and "full" (by kind, good answers a second of a warm server of weight 1).
    """
    from swiftchute.safety import offline
    from swiftchute.safety.errors import InputFileError

    settings = load_or_fail(config).settings
    try:
        verdict = offline.validate_table(
            settings, offline.read_table(table), offline.read_endpoint_list(servers, settings.zones)
        )
    except InputFileError as error:
        fail(str(error))
    for violation in verdict.violations:
        endpoints = ", ".join(violation.endpoints)
        figures = f"{violation.value:g}, limit {violation.limit:g}"
        click.echo(f"{violation.rule}: {figures} ({violation.outcome}): {endpoints}")
    weights, level = verdict.tables[0]
    entries = ", ".join(f"{endpoint} {weight:g}" for endpoint, weight in sorted(weights.items()))
    click.echo(f"may go out: level {level:g}, {entries}")
    sys.exit(EXIT_FAILED if verdict.violations else 0)


@guard.command("explain")
@config_argument
@click.option("--table", help="One table by its name, as proxies know it.")
@click.option("--json", "as_json", is_flag=True, help="The whole answer as JSON.")
def guard_explain(config: str, table: str | None, as_json: bool) -> None:
    """Ask the running planner of CONFIG why its guard lets tables out as it does."""
    answer = call_instance(config, "guard.explain", table=table)
    if as_json:
        click.echo(json.dumps(answer, indent=2))
        return
    click.echo("the guard " + ("mends what it refuses" if answer["enforced"] else "only warns"))
    for row in answer["tables"]:
        _print_table(row)
    for rule, count in sorted(answer["counts"].items()):
        click.echo(f"since the start: {rule} {count}")


def _print_table(row: dict[str, Any]) -> None:
    operations, zones = ", ".join(row["operations"]), ", ".join(row["zones"])
    counts = f"{row['proxies']} proxies, {row['same']} lines as ordered"
    click.echo(f"table {row['table']}: {operations} in {zones}, {counts}")
    level = row["level"]
    if level["ordered"] != level["out"]:
        click.echo(f"  level {level['out']:.3g}, ordered {level['ordered']:.3g}")
    for line in row["lines"]:
        published = f"{line['out']:.3g}" if line["out"] else "none"
        ordered = f"{line['ordered']:.3g}" if line["ordered"] else "none"
        click.echo(f"  {line['server']}: {published}, ordered {ordered}: {line['why']}")
    for finding in row["findings"]:
        _print_finding(finding)
    if row["waits"]:
        click.echo(f"  refused too often: new orders wait {row['waits']} s more")


def _print_finding(finding: dict[str, Any]) -> None:
    endpoints = ", ".join(finding["servers"])
    click.echo(
        f"  {finding['rule']}: {finding['figure']:.3g}, limit {finding['limit']:.3g},"
        f" {finding['done']}, for {finding['seconds']} s{': ' + endpoints if endpoints else ''}"
    )
