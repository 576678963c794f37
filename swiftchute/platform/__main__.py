"""`python -m swiftchute.platform`: one planner in the foreground, told by `GW_CONFIG` and `GW_*`."""

import os
import sys

from swiftchute.platform.signals import StartupSignals


def main() -> int:
    """Serve until SIGTERM; 2 where the configuration cannot be used."""
    signals = StartupSignals()
    import uvloop  # these take most of the start: a signal may come meanwhile

    from swiftchute.platform import errors, settings
    from swiftchute.platform.logging import EventLog
    from swiftchute.platform.server import Server

    try:
        told = settings.read(os.environ)
        shell = Server(told, os.environ, EventLog(told.name))
        uvloop.new_event_loop().run_until_complete(shell.run(signals))
    except errors.SettingsError as why:
        print(f"swiftchute.platform: {why}", file=sys.stderr)
        return 2
    return 0


def run() -> None:
    """The program: serve, and end the process."""
    code = main()
    # Python's own end takes the handlers away before it is over: a second SIGTERM there would kill it.
    os._exit(code)


if __name__ == "__main__":
    run()
