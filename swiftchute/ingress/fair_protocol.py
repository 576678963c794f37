"""An asyncio protocol that passes received bytes on to another one in slices, as a scheduler allows.

While bytes wait, the socket is not read, so each connection holds one read buffer at most. A peer that leaves
meanwhile is noticed all the same. The wrapped protocol is used as with any transport, and must accept data
that is split at any place.
"""

import asyncio
from typing import Any

from swiftchute.ingress.disconnect_watcher import DisconnectWatcher
from swiftchute.ingress.turn_scheduler import SLICE_NS, TurnScheduler

# Bytes that are passed on in one call: more after a call that took little of a slice, less after a long one.
MIN_PIECE_BYTES, FIRST_PIECE_BYTES, MAX_PIECE_BYTES = 512, 2 * 1024, 8 * 1024
SHORT_CALL_NS, LONG_CALL_NS = SLICE_NS // 16, SLICE_NS // 2


class GatedTransport:
    """A transport whose reading is paused while either the protocol or the scheduler wants it."""

    def __init__(self, transport: Any, connection: "FairProtocol") -> None:
        """Wrap the transport of a connection."""
        self._transport = transport
        self._connection = connection

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the wrapped transport."""
        return getattr(self._transport, name)

    @property
    def has_waiting_input(self) -> bool:
        """Whether received bytes wait to be passed on."""
        return self._connection.has_waiting_input

    def pause_reading(self) -> None:
        """Pass no more received bytes to the protocol."""
        self._connection.set_protocol_paused(True)

    def resume_reading(self) -> None:
        """Pass received bytes to the protocol again."""
        self._connection.set_protocol_paused(False)


class FairProtocol(asyncio.BufferedProtocol):
    """Passes the bytes of one connection on to a protocol.

    Attributes:
        used_ns: Time that the protocol has used, for the scheduler.
    """

    def __init__(
        self, scheduler: TurnScheduler, protocol: Any, watcher: DisconnectWatcher | None = None
    ) -> None:
        """Wrap a protocol.

        Args:
            scheduler: Decides when bytes are passed on.
            protocol: The wrapped protocol.
            watcher: Notices a peer that leaves while its bytes wait; these are discarded. Without one they
                are still passed on before the protocol is told.
        """
        self.used_ns = 0
        self._scheduler = scheduler
        self._protocol = protocol
        self._watcher = watcher
        self._transport: Any = None
        self._waiting = b""
        self._piece_bytes = FIRST_PIECE_BYTES
        self._is_queued = False
        self._socket_paused = False
        self._protocol_paused = False
        self._is_lost = False
        self._lost_cause: Exception | None = None
        self._end_is_due = False  # the protocol has not been told of the loss yet
        self._is_watched = False
        self._descriptor = -1

    @property
    def has_waiting_input(self) -> bool:
        """Whether received bytes wait to be passed on."""
        return bool(self._waiting)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Tell the protocol, with a transport that the scheduler can pause as well."""
        self._transport = transport
        self._protocol.connection_made(GatedTransport(transport, self))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into: that of the event loop, as each read is copied before the next."""
        return self._scheduler.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes on, or let them wait."""
        self._waiting += bytes(self._scheduler.read_buffer[:nbytes])
        if not self._is_queued and not self._protocol_paused and self._scheduler.may_run():
            self.run_slice()
        else:
            self._wait()

    def eof_received(self) -> bool | None:
        """Tell the protocol; no bytes wait, as the socket is not read while some do."""
        return self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the protocol, after the waiting bytes if they are to be passed on."""
        self._watch(False)
        self._is_lost, self._lost_cause = True, exc
        self._end_is_due = True
        if self._watcher is None and self._waiting:
            self._protocol_paused = False
            self._wait()
        else:
            self._waiting = b""
            self._end_protocol()

    def pause_writing(self) -> None:
        """Tell the protocol."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Tell the protocol."""
        self._protocol.resume_writing()

    def run_slice(self) -> None:
        """Pass waiting bytes on until a slice is over."""
        self._is_queued = False
        data, self._waiting = memoryview(self._waiting), b""
        start_ns = self._scheduler.clock()
        elapsed_ns = 0
        try:
            while data and not self._protocol_paused and elapsed_ns < SLICE_NS:
                if self._is_closed_here:
                    data = data[:0]
                    break
                size = self._piece_bytes
                self._protocol.data_received(bytes(data[:size]))
                data = data[size:]
                previous_ns, elapsed_ns = elapsed_ns, self._scheduler.clock() - start_ns
                self._adapt_piece(elapsed_ns - previous_ns)
        except Exception:
            data = data[:0]
            self._transport.abort()
            raise
        finally:
            self._waiting = bytes(data)
            self._scheduler.charge(self, elapsed_ns)
        if self._waiting:
            self._wait()
        elif self._end_is_due:
            self._end_protocol()
        else:
            self._update_socket()

    def set_protocol_paused(self, paused: bool) -> None:
        """Stop or continue to pass bytes on, for the protocol."""
        if paused == self._protocol_paused:
            return
        self._protocol_paused = paused
        if not paused and self._waiting:
            self._wait()
        else:
            self._update_socket()

    @property
    def _is_closed_here(self) -> bool:
        """Whether the protocol has closed the connection: it expects no more bytes then."""
        return not self._is_lost and self._transport.is_closing()

    def _adapt_piece(self, call_ns: int) -> None:
        """Choose the size of the next piece by the time that the last one took."""
        if call_ns < SHORT_CALL_NS:
            self._piece_bytes = min(2 * self._piece_bytes, MAX_PIECE_BYTES)
        elif call_ns > LONG_CALL_NS:
            self._piece_bytes = max(self._piece_bytes // 2, MIN_PIECE_BYTES)

    def _wait(self) -> None:
        """Let the waiting bytes wait for the scheduler, or for the protocol if that has paused."""
        self._update_socket()
        if not self._is_queued and not self._protocol_paused:
            self._is_queued = True
            self._scheduler.enqueue(self, len(self._waiting))

    def _end_protocol(self) -> None:
        self._end_is_due = False
        self._protocol.connection_lost(self._lost_cause)

    def _update_socket(self) -> None:
        """Read the socket if nothing waits and the protocol has not paused."""
        should_pause = bool(self._waiting) or self._protocol_paused
        if should_pause == self._socket_paused or self._is_lost or self._transport.is_closing():
            return
        self._socket_paused = should_pause
        if should_pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
        self._watch(should_pause)

    def _watch(self, watch: bool) -> None:
        """Watch for the end of the connection while its socket is not read, or stop to watch."""
        if self._watcher is None or watch == self._is_watched:
            return
        self._is_watched = watch
        if watch:
            self._descriptor = self._transport.get_extra_info("socket").fileno()
            self._watcher.watch(self._descriptor, self._on_peer_left)
        else:
            self._watcher.forget(self._descriptor, self._on_peer_left)

    def _on_peer_left(self) -> None:
        """Discard what waits and let the protocol end, as it does when the end of the stream is read."""
        self._waiting = b""
        if not self._is_lost and not self._protocol.eof_received():
            self._transport.close()
