"""Connection pool of an endpoint: selection, dialing, stream limits and idle connections."""

from swiftchute.proxy.connection_pool import ConnectionPool, PoolDecision
from swiftchute.proxy.settings import PoolLimits

S = 1_000_000_000
NOW = 1000 * S


class IdlePeer:
    """Framing of a connection whose peer accepts many more streams."""

    available_streams = 100


def test_a_new_connections_stream_limit_doubles_after_each_round_of_successes():
    pool = ConnectionPool(PoolLimits(max_connections=1, max_streams=20, initial_streams=4))
    assert pool.select() is PoolDecision.DIAL
    pool.dialing = 1
    assert pool.select() is PoolDecision.WAIT
    pool.dialing = 0
    connection = pool.add(IdlePeer(), NOW)
    rounds = []
    for _ in range(5):
        started = 0
        while pool.select() is connection:
            pool.request_started(connection, NOW)
            started += 1
        rounds.append(started)
        for _ in range(started):
            pool.request_ended(connection, True, NOW)
    assert rounds == [4, 8, 16, 20, 20]


def test_failures_do_not_raise_the_stream_limit_and_waiters_are_bounded():
    pool = ConnectionPool(PoolLimits(max_connections=1, initial_streams=2, max_waiting=3))
    connection = pool.add(IdlePeer(), NOW)
    for _ in range(10):
        pool.request_started(connection, NOW)
        pool.request_ended(connection, False, NOW)
    assert connection.stream_limit == 2
    for _ in range(2):
        pool.request_started(connection, NOW)
    assert pool.select() is PoolDecision.WAIT
    pool.waiting = 3
    assert pool.select() is PoolDecision.TOO_MANY_WAITING


def test_idle_and_closing_connections_are_listed():
    pool = ConnectionPool(PoolLimits(idle_timeout_ns=10 * S))
    unused, busy = pool.add(IdlePeer(), NOW), pool.add(IdlePeer(), NOW)
    pool.request_started(busy, NOW)
    assert pool.idle_connections(NOW + 10 * S) == [unused]
    busy.closing = True
    assert pool.select() is unused
    pool.request_ended(busy, True, NOW)
    assert busy in pool.idle_connections(NOW + S)
