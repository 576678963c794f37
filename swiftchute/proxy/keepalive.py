"""Keepalive of a connection with requests in flight: a ping after silence, then a close without an answer.

No I/O, no clock.
"""

from enum import Enum, auto


class KeepaliveAction(Enum):
    """The action that a keepalive check asks for."""

    NONE = auto()
    PING = auto()
    CLOSE = auto()


class Keepalive:
    """Keepalive state of one connection."""

    def __init__(self, now_ns: int) -> None:
        """Start at the time when the connection was established."""
        self._last_received_ns = now_ns
        self._pinged_at_ns: int | None = None

    def data_received(self, now_ns: int) -> None:
        """Record received bytes; any bytes also count as the answer to an outstanding ping."""
        self._last_received_ns = now_ns
        self._pinged_at_ns = None

    def check(self, now_ns: int, silence_timeout_ns: int) -> KeepaliveAction:
        """Return the action for a connection that has requests in flight.

        Args:
            now_ns: current time; a requested ping counts as sent at this time.
            silence_timeout_ns: silence after which a ping is sent, and the timeout of its answer.
        """
        if self._pinged_at_ns is not None:
            unanswered = now_ns - self._pinged_at_ns > silence_timeout_ns
            return KeepaliveAction.CLOSE if unanswered else KeepaliveAction.NONE
        if now_ns - self._last_received_ns > silence_timeout_ns:
            self._pinged_at_ns = now_ns
            return KeepaliveAction.PING
        return KeepaliveAction.NONE
