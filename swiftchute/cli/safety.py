"""Commands of the safety gate, which limits what may be published: guard check, guard explain."""

import json
import sys
from typing import Any

import click

from swiftchute.cli.common import EXIT_FAILED, call_instance, config_argument, fail, load_or_fail


@click.group()
def guard() -> None:
    """Check tables against the safety rules, and explain the safety gate's decisions."""


@guard.command("check")
@config_argument
@click.argument("table", type=click.Path())
@click.argument("servers", type=click.Path())
def guard_check(config: str, table: str, servers: str) -> None:
    """Check a TABLE file against endpoint list SERVERS (file_sd) by CONFIG's rules; exit 1 on violations.

    TABLE is JSON: {"lines": {"address:port": weight}, "zones": ["north"]}, optionally with "level", "local",
    "demand" (requests/s) and "full" (by kind, successful responses/s of a warm endpoint of weight 1).
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
@click.option("--table", help="Only this table, by the name that proxies use.")
@click.option("--json", "as_json", is_flag=True, help="Print the complete result as JSON.")
def guard_explain(config: str, table: str | None, as_json: bool) -> None:
    """Show why the running instance of CONFIG publishes its tables as it does."""
    answer = call_instance(config, "guard.explain", table=table)
    if as_json:
        click.echo(json.dumps(answer, indent=2))
        return
    click.echo("the safety gate " + ("corrects violations" if answer["enforced"] else "only warns"))
    for row in answer["tables"]:
        _print_table(row)
    for rule, count in sorted(answer["counts"].items()):
        click.echo(f"since the start: {rule}: {count}")


def _print_table(row: dict[str, Any]) -> None:
    operations, zones = ", ".join(row["operations"]), ", ".join(row["zones"])
    counts = f"{row['proxies']} proxies, {row['same']} entries as ordered"
    click.echo(f"table {row['table']}: {operations} in {zones}, {counts}")
    level = row["level"]
    if level["ordered"] != level["out"]:
        click.echo(f"  admission rate {level['out']:.3g}, ordered {level['ordered']:.3g}")
    for line in row["lines"]:
        published = f"{line['out']:.3g}" if line["out"] else "none"
        commanded = f"{line['ordered']:.3g}" if line["ordered"] else "none"
        click.echo(f"  {line['server']}: {published}, ordered {commanded}: {line['why']}")
    for finding in row["findings"]:
        _print_finding(finding)
    if row["waits"]:
        click.echo(f"  rejected too often: new commands wait for {row['waits']} s")


def _print_finding(finding: dict[str, Any]) -> None:
    endpoints = ", ".join(finding["servers"])
    click.echo(
        f"  {finding['rule']}: {finding['figure']:.3g}, limit {finding['limit']:.3g},"
        f" {finding['done']}, for {finding['seconds']} s{': ' + endpoints if endpoints else ''}"
    )
