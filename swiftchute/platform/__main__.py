"""`python -m swiftchute.platform`: one instance in the foreground, configured by `GW_CONFIG` and `GW_*`."""

import os
import sys

from swiftchute.platform.signals import StartupSignals

EXIT_SETTINGS = 2  # exit code for an invalid configuration


def main() -> int:
    """Serve until SIGTERM and return the exit code."""
    signals = StartupSignals()
    import uvloop  # these imports take most of the start-up time: signals must be handled before them

    from swiftchute.platform import settings
    from swiftchute.platform.errors import SettingsError
    from swiftchute.platform.logging import EventLog
    from swiftchute.platform.server import Server

    try:
        configuration = settings.read(os.environ)
        server = Server(configuration, os.environ, EventLog(configuration.name))
        uvloop.new_event_loop().run_until_complete(server.run(signals))
    except SettingsError as error:
        print(f"swiftchute.platform: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    return 0


def run() -> None:
    """Serve, then end the process with the exit code."""
    code = main()
    # The interpreter removes signal handlers before it has shut down: a second SIGTERM in between would kill
    # the process.
    os._exit(code)


if __name__ == "__main__":
    run()
