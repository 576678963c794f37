"""Signals that come before the event loop takes them.

    signals = StartupSignals()       # the first line of the program, before its imports
    signals.reload          # whether SIGHUP has come since

Until the loop has handlers of its own, SIGTERM and SIGINT end the process in order, as nothing is open yet,
and SIGHUP is remembered: by itself it would kill the process.
"""

import os
import signal
from typing import Any


class StartupSignals:
    """Handlers for the time of the start."""

    def __init__(self) -> None:
        """They act from now on."""
        self.reload = False
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)
        signal.signal(signal.SIGHUP, self._reload)

    @staticmethod
    def _stop(number: int, frame: Any) -> None:
        os._exit(0)

    def _reload(self, number: int, frame: Any) -> None:
        self.reload = True
