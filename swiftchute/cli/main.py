"""The top-level command group. Invalid input exits with code 2 and prints one line per problem to stderr."""

import click

from swiftchute.cli.drills import drill, search_command
from swiftchute.cli.safety import guard
from swiftchute.cli.serving import check, proxy, serve
from swiftchute.cli.versions import model, tables


@click.group()
@click.version_option("0.2.0")
def main() -> None:
    """A control plane for a service's proxies."""


for command in (check, serve, proxy, drill, search_command, guard, tables, model):
    main.add_command(command)
