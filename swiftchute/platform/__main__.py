"""`python -m swiftchute.platform`: one process in the foreground, configured by `GW_CONFIG` and `GW_*`."""

import os
import sys

from swiftchute.platform.signals import StartupSignals

EXIT_SETTINGS = 2  # the configuration cannot be used


def main() -> int:
    """Serve until SIGTERM and return the exit code."""
    signals = StartupSignals()
    import uvloop  # these imports take most of the start: signals must be handled before

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
    """Serve, and end the process."""
    code = main()
    # The interpreter removes signal handlers before it is done: a second SIGTERM there would kill the
    # process.
    os._exit(code)


if __name__ == "__main__":
    run()
