"""What is counted since the start, for the log."""

import msgspec


class SessionStatistics(msgspec.Struct):
    """Counters of the platform's sessions; the names are those of the log's fields."""

    opened: int = 0
    connected: int = 0  # proxies
    disconnected: int = 0  # proxies
    replaced: int = 0  # by a new session of the same proxy
    rejected: int = 0  # closed by this process before the client was known
    evicted: int = 0  # of these, because too many connections were pending
    join_timeout: int = 0  # of these, because the client did not say what it is in time
    idle_timeout: int = 0  # proxies that owed an acknowledgement and said nothing
    malformed: int = 0  # messages of a known client that were dropped
    reports: int = 0
    acks: int = 0
    messages: int = 0  # push messages written
    entries: int = 0  # of these
    bytes: int = 0  # of these
    merged: int = 0  # rounds of a proxy that waited for a later message
    too_large: int = 0  # push messages that were not written
    unsent_overflow: int = 0  # clients cut off because they did not read
    collectors_closed: int = 0  # for newer ones of the same zone
    nonces_lost: int = 0  # that a proxy did not acknowledge and that were forgotten
