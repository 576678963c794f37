"""`python -m swiftchute.platform`: one planner in the foreground, told by `GW_CONFIG` and `GW_*`."""

import os
import sys

import uvloop

from swiftchute.platform import settings
from swiftchute.platform.log import Log
from swiftchute.platform.shell import Shell


def main() -> int:
    """Serve until SIGTERM; 2 where the configuration cannot be used."""
    try:
        told = settings.read(os.environ)
        uvloop.run(Shell(told, os.environ, Log(told.name)).run())
    except settings.BadSettings as why:
        print(f"swiftchute.platform: {why}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
