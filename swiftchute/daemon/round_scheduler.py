"""Schedules the rounds of the controller on the event loop."""

import asyncio
from collections.abc import Callable

NS_PER_S = 1_000_000_000
ROUND_DELAY_NS = 5_000_000  # events that arrive within this time are handled in one round


class RoundScheduler:
    """One timer, set to the earliest requested deadline."""

    def __init__(self, run_round: Callable[[], None], clock: Callable[[], int]) -> None:
        """`run_round` is called at each deadline; deadlines are nanoseconds of `clock`."""
        self._run_round, self._clock = run_round, clock
        self._timer: asyncio.TimerHandle | None = None
        self._deadline_ns = 0

    def request_round(self) -> None:
        """Run a round soon, because an event arrived."""
        self.schedule(self._clock() + ROUND_DELAY_NS)

    def schedule(self, deadline_ns: int) -> None:
        """Run a round at the deadline or earlier."""
        if self._timer is not None:
            if self._deadline_ns <= deadline_ns:
                return
            self._timer.cancel()
        self._deadline_ns = deadline_ns
        delay_s = max(deadline_ns - self._clock(), 0) / NS_PER_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def cancel(self) -> None:
        """Cancel the scheduled round."""
        if self._timer is not None:
            self._timer.cancel()

    def _on_timer(self) -> None:
        self._timer = None
        self._run_round()
