"""Turns of the event loop: who waits for whom when clients send at full speed."""

from swiftchute.ingress.fair_protocol import (
    FIRST_PIECE_BYTES,
    MAX_PIECE_BYTES,
    MIN_PIECE_BYTES,
    FairProtocol,
)
from swiftchute.ingress.turn_scheduler import READ_BUFFER_BYTES, SLICE_NS, TURN_NS, TurnScheduler


class Loop:
    """A clock, and an event loop of which `turn` runs one iteration."""

    def __init__(self):
        self.now_ns, self.callbacks = 0, []
        self.scheduler = TurnScheduler(lambda: self.now_ns, self.callbacks.append)

    def turn(self):
        callbacks, self.callbacks[:] = self.callbacks[:], []
        for callback in callbacks:
            callback()


class Transport:
    """A socket; `reading` tells whether it is read."""

    def __init__(self):
        self.reading, self.aborted = True, False

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True

    close = abort

    def get_extra_info(self, name):
        return self

    def fileno(self):
        return 7


class Handler:
    """A protocol that takes a time for each piece that it receives."""

    def __init__(self, loop, cost_ns=SLICE_NS):
        self.loop, self.cost_ns, self.received, self.lost, self.times_ns = loop, cost_ns, b"", False, []

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        assert not self.lost
        self.loop.now_ns += self.cost_ns
        self.received += data
        self.times_ns.append(self.loop.now_ns)

    def connection_lost(self, error):
        self.lost = True

    def eof_received(self):
        return None


class Watcher:
    """Holds the callback of the socket that is watched."""

    callback = None

    def watch(self, descriptor, callback):
        self.callback = callback

    def forget(self, descriptor, callback):
        self.callback = None


def connected(loop, watcher=None):
    """Return a handler and its connection."""
    handler = Handler(loop)
    connection = FairProtocol(loop.scheduler, handler, watcher)
    connection.connection_made(Transport())
    return handler, connection


def receive(connection, data):
    connection.get_buffer(-1)[: len(data)] = data
    connection.buffer_updated(len(data))


def test_a_bystander_waits_for_one_slice_at_most_beside_many_clients_at_full_speed():
    """Guards against a client whose bytes are handled only after all those of clients at full speed."""
    loop = Loop()
    busy = [connected(loop) for _ in range(100)]
    for _ in range(60):
        for number, (_, connection) in enumerate(busy):
            if connection._transport.reading:  # every tenth has little to process at a time
                receive(connection, bytes(READ_BUFFER_BYTES if number % 10 else 100))
        loop.turn()
    bystander, connection = connected(loop)
    receive(connection, b"probe")
    start_ns = loop.now_ns
    loop.turn()
    assert bystander.times_ns[0] - start_ns <= SLICE_NS + bystander.cost_ns
    assert loop.now_ns - start_ns <= TURN_NS + SLICE_NS
    large = [connection for number, (_, connection) in enumerate(busy) if number % 10]
    assert not any(connection._transport.reading for connection in large)


def test_all_bytes_are_passed_on_in_order_and_the_socket_is_read_again():
    loop = Loop()
    handler, connection = connected(loop)
    sent = bytes(k % 251 for k in range(READ_BUFFER_BYTES))
    receive(connection, sent)
    assert len(handler.received) == FIRST_PIECE_BYTES
    assert not connection._transport.reading
    while loop.callbacks:
        loop.turn()
    assert handler.received == sent
    assert connection._transport.reading


def test_pieces_grow_where_they_take_little_time_and_shrink_where_they_take_long():
    """Guards against long calls for small messages, and against many calls for large ones."""
    for cost_ns, expected in ((0, MAX_PIECE_BYTES), (SLICE_NS, MIN_PIECE_BYTES)):
        loop = Loop()
        handler, connection = connected(loop)
        handler.cost_ns, sizes = cost_ns, []
        handler.data_received = lambda data, handler=handler, sizes=sizes: (
            sizes.append(len(data)), Handler.data_received(handler, data))  # fmt: skip
        receive(connection, bytes(READ_BUFFER_BYTES))
        while loop.callbacks:
            loop.turn()
        assert sizes[2] == expected
        assert sum(sizes) == READ_BUFFER_BYTES


def test_bytes_that_wait_when_the_connection_ends_are_passed_on_first_or_discarded():
    """Guards against bytes of a client that has left, where they must not be handled any more."""
    for watcher in (None, Watcher()):
        loop = Loop()
        handler, connection = connected(loop, watcher)
        receive(connection, bytes(3 * FIRST_PIECE_BYTES))
        connection.connection_lost(None)
        assert handler.lost is (watcher is not None)
        while loop.callbacks:
            loop.turn()
        assert handler.lost
        assert len(handler.received) == (1 if watcher else 3) * FIRST_PIECE_BYTES


def test_a_peer_that_leaves_while_its_bytes_wait_is_noticed_and_they_are_discarded():
    """Guards against requests that are sent on after their client has closed its connection."""
    loop, watcher = Loop(), Watcher()
    handler, connection = connected(loop, watcher)
    receive(connection, bytes(READ_BUFFER_BYTES))
    watcher.callback()
    assert connection._transport.aborted
    while loop.callbacks:
        loop.turn()
    assert len(handler.received) == FIRST_PIECE_BYTES


def test_a_protocol_that_pauses_gets_nothing_until_it_resumes():
    loop = Loop()
    handler, connection = connected(loop)
    handler.transport.pause_reading()
    assert not connection._transport.reading
    receive(connection, b"late")  # was read before
    loop.turn()
    assert handler.received == b""
    handler.transport.resume_reading()
    loop.turn()
    assert handler.received == b"late"
    assert connection._transport.reading


def test_an_error_of_one_protocol_ends_its_connection_and_no_other():
    loop = Loop()
    handler, connection = connected(loop)
    other, other_connection = connected(loop)
    for each in (connection, other_connection):
        receive(each, bytes(READ_BUFFER_BYTES))
    handler.data_received = lambda data: 1 / 0
    while loop.callbacks:
        try:
            loop.turn()
        except ZeroDivisionError:
            assert connection._transport.aborted
    assert len(other.received) == READ_BUFFER_BYTES


def test_nothing_is_passed_on_after_the_protocol_has_closed_its_connection():
    """Guards against bytes for a protocol that has let go of its transport."""
    loop = Loop()
    handler, connection = connected(loop)
    received = []
    handler.data_received = lambda data: (received.append(len(data)), handler.transport.close())
    receive(connection, bytes(READ_BUFFER_BYTES))
    while loop.callbacks:
        loop.turn()
    assert received == [FIRST_PIECE_BYTES]
    assert not connection.has_waiting_input


class Waiter:
    """A connection that notes when it runs, in a list that all share."""

    def __init__(self, name, order, used_ns=0):
        self.name, self.order, self.used_ns = name, order, used_ns

    def run_slice(self):
        self.order.append(self.name)


def test_the_connection_with_the_least_to_process_comes_first_among_equals():
    """Guards against a short message that waits for long ones which came just before it."""
    loop, order = Loop(), []
    loop.scheduler.enqueue(Waiter("long", order), 16_000)
    loop.scheduler.enqueue(Waiter("short", order), 10)
    loop.turn()
    assert order == ["short", "long"]


def test_a_newcomer_comes_before_all_that_have_used_more_time():
    """Guards against newcomers that start above others, after one that has used a lot had little to do."""
    loop, order = Loop(), []
    loop.scheduler.enqueue(Waiter("served", order, used_ns=100_000_000), 1)
    loop.turn()
    loop.scheduler.enqueue(Waiter("other", order, used_ns=95_000_000), 16_000)
    loop.scheduler.enqueue(Waiter("newcomer", order), 16_000)
    loop.turn()
    assert order == ["served", "newcomer", "other"]
