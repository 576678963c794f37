"""Commands that check settings and run the long-running processes: check, serve, proxy."""

import importlib
from typing import Any

import click

from swiftchute.cli.common import config_argument, fail, load_or_fail


@click.command()
@config_argument
def check(config: str) -> None:
    """Check an instance's settings and print every problem, without starting it."""
    loaded = load_or_fail(config)
    settings = loaded.settings
    click.echo(
        f"{config}: instance {settings.instance} of {settings.instance_count} in zone {settings.zone},"
        f" {len(settings.operations)} operations, endpoint list source {loaded.list_kind}"
    )


def _import_policy(name: str) -> Any:
    """Return the policy class that `package.module:Class` names."""
    module, _, class_name = name.partition(":")
    try:
        return getattr(importlib.import_module(module), class_name)
    except (ImportError, AttributeError, ValueError) as error:
        fail(f"--decider {name}: {error}")


@click.command()
@config_argument
@click.option("--decider", help="Policy class to use in place of the built-in one, as package.module:Name.")
def serve(config: str, decider: str | None) -> None:
    """Run a control plane instance until it receives SIGTERM or SIGINT."""
    import uvloop

    from swiftchute.daemon.errors import ListenError
    from swiftchute.daemon.service import Service
    from swiftchute.observability.logging import configure_logging
    from swiftchute.policy import Reconciler

    loaded = load_or_fail(config)
    log = configure_logging(loaded.log_level, planner=loaded.settings.instance)
    policy = _import_policy(decider) if decider else Reconciler

    async def run() -> None:
        await Service(loaded, log, policy).run()

    try:
        uvloop.run(run())
    except ListenError as error:
        fail(f"{config}: {error}")


@click.command()
@config_argument
@click.option("--check", "check_only", is_flag=True, help="Only check the settings and print every problem.")
def proxy(config: str, check_only: bool) -> None:
    """Run a proxy that follows the control plane's tables, until it receives SIGTERM or SIGINT."""
    import uvloop

    from swiftchute.config.proxy import load as load_proxy
    from swiftchute.daemon.proxy import Daemon
    from swiftchute.observability.logging import configure_logging

    loaded = load_or_fail(config, load_proxy)
    if check_only:
        click.echo(f"{config}: proxy {loaded.node} in zone {loaded.zone}")
        return

    async def run() -> None:
        await Daemon(loaded, configure_logging(loaded.log_level, proxy=loaded.node)).run()

    try:
        uvloop.run(run())
    except OSError as error:
        fail(f"{config}: proxy.listen: {error}")
