"""Helpers shared by the commands: loading settings, printing errors, calling a running instance."""

import sys
from collections.abc import Callable
from typing import Any, NoReturn

import click

from swiftchute.config import ConfigError, load

EXIT_FAILED = 1  # an invariant was violated or a check rejected its input
EXIT_USAGE = 2  # invalid input or environment

config_argument = click.argument("config", type=click.Path())


def fail(message: str) -> NoReturn:
    """Print an error and exit with the code for invalid input."""
    click.echo(f"swiftchute: {message}", err=True)
    sys.exit(EXIT_USAGE)


def load_or_fail(path: str, load_file: Callable[[str], Any] = load) -> Any:
    """Load a settings file; if it is invalid, print every problem and exit."""
    try:
        return load_file(path)
    except ConfigError as error:
        for problem in error.problems:
            click.echo(f"swiftchute: {problem}", err=True)
        sys.exit(EXIT_USAGE)


def call_instance(config: str, command: str, **arguments: Any) -> Any:
    """Send a command to the running instance of a settings file and return its result; exit if that fails."""
    from swiftchute.admin.client import send_command
    from swiftchute.admin.errors import NoReplyError

    socket_path = load_or_fail(config).control
    if socket_path is None:
        fail(f"{config}: control.socket: missing: commands reach a running instance through this socket")
    try:
        return send_command(socket_path, command, **arguments)
    except NoReplyError as error:
        fail(str(error))
