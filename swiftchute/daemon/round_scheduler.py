"""When the next round of the controller runs, on the event loop."""

import asyncio
from collections.abc import Callable

NS_PER_S = 1_000_000_000
ROUND_DELAY_NS = 5_000_000  # events that come in within it are handled in one round


class RoundScheduler:
    """One timer, set to the earliest deadline that was asked for."""

    def __init__(self, run_round: Callable[[], None], clock: Callable[[], int]) -> None:
        """Call `run_round` at the deadlines, which are times of `clock` in nanoseconds."""
        self._run_round, self._clock = run_round, clock
        self._timer: asyncio.TimerHandle | None = None
        self._deadline_ns = 0

    def request_round(self) -> None:
        """An event came in: run a round soon."""
        self.schedule(self._clock() + ROUND_DELAY_NS)

    def schedule(self, deadline_ns: int) -> None:
        """Run a round at a time, or before it."""
        if self._timer is not None:
            if self._deadline_ns <= deadline_ns:
                return
            self._timer.cancel()
        self._deadline_ns = deadline_ns
        delay_s = max(deadline_ns - self._clock(), 0) / NS_PER_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def cancel(self) -> None:
        """Run no more rounds."""
        if self._timer is not None:
            self._timer.cancel()

    def _on_timer(self) -> None:
        self._timer = None
        self._run_round()
