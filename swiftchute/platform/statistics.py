"""Counters since the start of the process, for the log."""

import msgspec


class SessionStatistics(msgspec.Struct):
    """Counters of the client sessions; the attribute names are also the names of the log fields."""

    opened: int = 0
    connected: int = 0  # proxies
    disconnected: int = 0  # proxies
    replaced: int = 0  # sessions ended by a new session of the same proxy
    rejected: int = 0  # sessions ended by this process before the client identified itself
    evicted: int = 0  # rejected sessions: too many connections were pending
    join_timeout: int = 0  # rejected sessions: the client did not identify itself in time
    idle_timeout: int = 0  # proxies disconnected because they were silent with acknowledgements pending
    malformed: int = 0  # dropped messages of identified clients
    reports: int = 0
    acks: int = 0
    messages: int = 0  # push messages written
    entries: int = 0  # in these messages
    bytes: int = 0  # in these messages
    merged: int = 0  # rounds of a proxy that were merged into a later message
    too_large: int = 0  # push messages with too many parts, which were not written
    unsent_overflow: int = 0  # connections aborted because the client did not read
    collectors_closed: int = 0  # replaced by newer collectors of the same zone
    nonces_lost: int = 0  # pending nonces that were discarded because a proxy had too many
