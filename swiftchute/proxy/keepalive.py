"""Whether a connection with requests in flight is alive: silence, then a ping without an answer.

No I/O, no clock.
"""

from enum import Enum, auto


class KeepaliveAction(Enum):
    """What to do with a connection now."""

    NONE = auto()
    PING = auto()
    CLOSE = auto()


class Keepalive:
    """The signs of life of one connection."""

    def __init__(self, now_ns: int) -> None:
        """The connection was made now."""
        self._last_received_ns = now_ns
        self._pinged_at_ns: int | None = None

    def data_received(self, now_ns: int) -> None:
        """Bytes arrived; they answer an outstanding ping as well."""
        self._last_received_ns = now_ns
        self._pinged_at_ns = None

    def check(self, now_ns: int, silence_timeout_ns: int) -> KeepaliveAction:
        """What to do with a connection that has requests in flight.

        Args:
            now_ns: the time now; a ping that is asked for counts as sent then.
            silence_timeout_ns: silence after which it is pinged, and then the time for an answer.
        """
        if self._pinged_at_ns is not None:
            unanswered = now_ns - self._pinged_at_ns > silence_timeout_ns
            return KeepaliveAction.CLOSE if unanswered else KeepaliveAction.NONE
        if now_ns - self._last_received_ns > silence_timeout_ns:
            self._pinged_at_ns = now_ns
            return KeepaliveAction.PING
        return KeepaliveAction.NONE
