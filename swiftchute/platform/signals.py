"""Signals that come before the event loop handles them.

Until then SIGTERM and SIGINT end the process with exit code 0, as nothing is open yet. SIGHUP is
remembered: by itself it would kill the process.
"""

import os
import signal
from types import FrameType


class StartupSignals:
    """Signal handlers for the time of the start; to be created before anything that takes time."""

    def __init__(self) -> None:
        """Install the handlers."""
        self.reload = False  # whether SIGHUP has come
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)
        signal.signal(signal.SIGHUP, self._reload)

    @staticmethod
    def _stop(number: int, frame: FrameType | None) -> None:
        os._exit(0)

    def _reload(self, number: int, frame: FrameType | None) -> None:
        self.reload = True
