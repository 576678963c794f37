"""Clients that use up a server: many that stop half way, one that floods; and a bystander that waits."""

import contextlib
import select
import socket
import struct
import threading
import time

CHUNK_BYTES = 1 << 16
CONNECT_TIMEOUT_S = 10.0


def connect(address):
    """Open a connection; an address is a host and a port, or the path of a Unix socket."""
    if isinstance(address, str):
        connection = socket.socket(socket.AF_UNIX)
        connection.settimeout(CONNECT_TIMEOUT_S)
        connection.connect(address)
        return connection
    return socket.create_connection(address, CONNECT_TIMEOUT_S)


class HalfWritten:
    """Connections that each send some bytes, as slowly as the server reads them, and then stay open.

    Attributes:
        unsent: bytes that each connection has not sent yet; a connection that the server closed is dropped.
        replies: the first bytes that each closed connection received.
    """

    def __init__(self, address, payloads):
        self.unsent, self.replies, self.refused = {}, [], 0
        for payload in payloads:
            try:
                connection = connect(address)
            except OSError:
                self.refused += 1
                continue
            connection.setblocking(False)
            self.unsent[connection] = memoryview(payload)

    def send(self, seconds):
        """Send for a while, and take note of the connections that the server closes."""
        deadline = time.monotonic() + seconds
        while self.unsent and time.monotonic() < deadline:
            waiting = [connection for connection, data in self.unsent.items() if data]
            poll = select.poll()
            for connection in self.unsent:
                poll.register(connection, select.POLLIN | (select.POLLOUT if connection in waiting else 0))
            by_number = {connection.fileno(): connection for connection in self.unsent}
            for number, events in poll.poll(100):
                self._serve(by_number[number], events)

    def send_beside(self, bystander, turns):
        """Send for half a second at a time, and let a bystander ask after each."""
        for _ in range(turns):
            self.send(0.5)
            bystander.watch(0.05)

    def _serve(self, connection, events):
        try:
            if events & select.POLLIN:
                reply = connection.recv(CHUNK_BYTES)
                if not reply or b"error" in reply or b"HTTP/1.1 " in reply:
                    self._drop(connection, reply)
                    return
            if events & select.POLLOUT and self.unsent[connection]:
                sent = connection.send(self.unsent[connection][:CHUNK_BYTES])
                self.unsent[connection] = self.unsent[connection][sent:]
        except BlockingIOError:
            return
        except OSError:
            self._drop(connection, b"")

    def _drop(self, connection, reply):
        self.replies.append(reply[:200])
        self.refused += 1
        del self.unsent[connection]
        connection.close()

    def close(self):
        for connection in self.unsent:
            connection.close()


class Flood(threading.Thread):
    """One connection that sends the blocks of a function at full speed, and reads what it is sent.

    It connects again when the server closes the connection. `block` is called with the number of the block.
    """

    def __init__(self, address, opening, block, reads=True):
        super().__init__(daemon=True)
        self.address, self.opening, self.block, self.reads = address, opening, block, reads
        self.stopping, self.sent_bytes, self.connections = threading.Event(), 0, 0

    def run(self):
        number = 0
        while not self.stopping.is_set():
            with contextlib.suppress(OSError), connect(self.address) as connection:
                connection.settimeout(0.2)
                self.connections += 1
                connection.sendall(self.opening)
                if self.reads:
                    threading.Thread(target=self._discard, args=(connection,), daemon=True).start()
                while not self.stopping.is_set():
                    self._send(connection, self.block(number))
                    number += 1
            self.stopping.wait(0.01)

    def _send(self, connection, data):
        view = memoryview(data)
        while view and not self.stopping.is_set():
            try:
                sent = connection.send(view)
            except TimeoutError:
                continue
            self.sent_bytes += sent
            view = view[sent:]

    def _discard(self, connection):
        with contextlib.suppress(OSError):
            while not self.stopping.is_set():
                try:
                    if not connection.recv(CHUNK_BYTES):
                        return
                except TimeoutError:
                    continue

    def stop(self):
        self.stopping.set()
        self.join()


class Bystander:
    """Calls `ask` again and again, on one connection of its own, and notes how long each answer takes."""

    def __init__(self, ask, interval_s=0.05):
        self.ask, self.interval_s = ask, interval_s
        self.latencies_s, self.failures = [], []

    def watch(self, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            start = time.monotonic()
            try:
                self.ask()
            except (OSError, ValueError) as error:
                self.failures.append(repr(error))
            self.latencies_s.append(time.monotonic() - start)
            time.sleep(self.interval_s)
        return max(self.latencies_s, default=0.0)


class LineClient:
    """Connects, sends a line and waits for the line that answers it."""

    def __init__(self, address, line, timeout_s=20.0):
        self.address, self.line, self.timeout_s = address, line, timeout_s

    def __call__(self):
        reply = b""
        with connect(self.address) as connection:
            connection.settimeout(self.timeout_s)
            connection.sendall(self.line)
            while not reply.endswith(b"\n"):
                data = connection.recv(CHUNK_BYTES)
                if not data:
                    raise ValueError("closed without an answer")
                reply += data
        return reply


def peak_memory_mb(process):
    """Return the largest resident memory that a process has had, in MB."""
    with open(f"/proc/{process}/status") as file:
        line = next(line for line in file if line.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


def leave(address, data, wait_s, reset=False):
    """Send, wait, and close without having read anything; with a reset, or with the end of the stream."""
    with connect(address) as connection:
        connection.setblocking(False)
        deadline, view = time.monotonic() + wait_s, memoryview(data)
        while time.monotonic() < deadline:
            with contextlib.suppress(BlockingIOError):
                view = view[connection.send(view) :]
            time.sleep(0.005)
        if reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return len(data) - len(view)
