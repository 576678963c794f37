"""Handles signals that arrive before the event loop handles them.

Until then SIGTERM and SIGINT end the process with exit code 0, because nothing is open yet. SIGHUP is
recorded for later; without a handler it would kill the process.
"""

import os
import signal
from types import FrameType


class StartupSignals:
    """Signal handlers for the start of the process; create it before anything that takes time."""

    def __init__(self) -> None:
        """Install the handlers."""
        self.reload = False  # whether SIGHUP was received
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)
        signal.signal(signal.SIGHUP, self._reload)

    @staticmethod
    def _stop(number: int, frame: FrameType | None) -> None:
        os._exit(0)

    def _reload(self, number: int, frame: FrameType | None) -> None:
        self.reload = True
