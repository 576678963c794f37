"""What several commands need: loading settings, plain errors, and calls to a running instance."""

import sys
from collections.abc import Callable
from typing import Any, NoReturn

import click

from swiftchute.config import ConfigError, load

EXIT_FAILED = 1  # a rule broke, a check refused
EXIT_USAGE = 2  # the input or the environment is at fault

config_argument = click.argument("config", type=click.Path())


def fail(message: str) -> NoReturn:
    """Print an error and end with the exit code for wrong input."""
    click.echo(f"swiftchute: {message}", err=True)
    sys.exit(EXIT_USAGE)


def load_or_fail(path: str, load_file: Callable[[str], Any] = load) -> Any:
    """Load a settings file; print every problem and end if it cannot be used."""
    try:
        return load_file(path)
    except ConfigError as error:
        for problem in error.problems:
            click.echo(f"swiftchute: {problem}", err=True)
        sys.exit(EXIT_USAGE)


def call_instance(config: str, command: str, **arguments: Any) -> Any:
    """Return the answer of the running instance of a settings file; end if there is none."""
    from swiftchute.admin.client import send_command
    from swiftchute.admin.errors import NoReplyError

    socket_path = load_or_fail(config).control
    if socket_path is None:
        fail(f"{config}: control.socket: missing: the planner has no control socket")
    try:
        return send_command(socket_path, command, **arguments)
    except NoReplyError as error:
        fail(str(error))
