"""Limits and intervals that the server applies to its sockets and timers. No I/O."""

import errno

# Errors of socket, bind and listen that may pass within moments, and the waits before each retry.
TRANSIENT_LISTEN_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EINTR}
)
LISTEN_RETRY_WAITS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5)
LISTEN_BACKLOG = 1024  # connections that the kernel queues until they are accepted
CHECK_INTERVAL_S = 0.1  # between two checks of timeouts
STATISTICS_INTERVAL_S = 10.0  # between two log lines with the counters
MAX_UNSENT_BYTES = 256 * 1024  # buffered in this process for a client; above it the connection is aborted
CLOSE_TIMEOUT_S = 3.0  # for a client to read its last message
STOP_TIMEOUT_S = 0.3  # the same at shutdown; the platform sends SIGKILL 0.7 s after SIGTERM or later
MIN_UNFINISHED_BYTES = 2 << 20  # one message of the largest size has room, whatever the memory limit
UNFINISHED_MEMORY_FRACTION = 0.125  # of the memory limit, for unfinished messages of all clients together


def max_unfinished_bytes(max_memory_mb: float) -> int:
    """Return the bytes of unfinished messages that all clients together may leave, from the memory limit."""
    return max(int(UNFINISHED_MEMORY_FRACTION * max_memory_mb * 2**20), MIN_UNFINISHED_BYTES)


def usable_sockets(configured: int, system_limit: int | None) -> int:
    """Return the number of descriptors that this process may hold.

    Args:
        configured: The limit from the configuration.
        system_limit: The limit of the operating system, or None if it sets none.
    """
    return configured if system_limit is None else min(configured, system_limit)
