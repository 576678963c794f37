"""Limits and intervals that the server applies to its sockets and timers. No I/O."""

import errno

# Errors of socket, bind and listen that may be over in a moment, and the waits before the next attempts.
TRANSIENT_LISTEN_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EINTR}
)
LISTEN_RETRY_WAITS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5)
LISTEN_BACKLOG = 1024  # connections that the system holds until they are accepted
CHECK_INTERVAL_S = 0.1  # between two checks of timeouts
STATISTICS_INTERVAL_S = 10.0  # between two log lines with what was counted
MAX_UNSENT_BYTES = 256 * 1024  # waiting in this process for a client that does not read: it is cut off
CLOSE_TIMEOUT_S = 3.0  # for a client to read the last message to it
STOP_TIMEOUT_S = 0.3  # the same when the process stops: it is killed 0.7 s after SIGTERM at the soonest


def usable_sockets(configured: int, system_limit: int | None) -> int:
    """Descriptors that this process may hold.

    Args:
        configured: The limit of the configuration.
        system_limit: The limit of the system, None if there is none.
    """
    return configured if system_limit is None else min(configured, system_limit)
