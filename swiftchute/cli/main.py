"""Commands, by click. Bad settings end with exit code 2 and a line each on standard error."""

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

    from swiftchute.observe.log import setup
    from swiftchute.planner.service import Service

    found = _load(config)
    log = setup(found.log_level, planner=found.settings.planner)

    async def run() -> None:
        await Service(found, log).run()

    try:
        uvloop.run(run())
    except OSError as why:
        click.echo(f"swiftchute: {config}: xds.listen: {why}", err=True)
        sys.exit(2)
