"""Extensions of grpclib: raw messages, limits on message size and connections, and aborting connections."""

import asyncio
import weakref
from typing import Any, cast

from grpclib.client import Channel
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from swiftchute.ingress.buffer_budget import BufferBudget
from swiftchute.ingress.disconnect_watcher import DisconnectWatcher, disconnect_watcher
from swiftchute.ingress.fair_protocol import FairProtocol
from swiftchute.ingress.turn_scheduler import event_loop_turns
from swiftchute.xds.errors import ProtocolViolationError

HEADER_BYTES = 5  # gRPC message header: a compression flag and four bytes of length
DEFAULT_MAX_CONNECTIONS = 10_000
PIECE_BYTES = 16 * 1024  # of a message, received and counted at once


class RawCodec(CodecBase):
    """Passes messages through as bytes; modules without I/O decode and encode them."""

    __content_subtype__ = "proto"

    def encode(self, message: bytes, message_type: Any) -> bytes:
        """Return the message as it is."""
        return message

    def decode(self, data: bytes, message_type: Any) -> bytes:
        """Return the message as it is."""
        return bytes(data)


class UnfinishedMessage:
    """A message that is being received."""

    def __init__(self) -> None:
        """Create a message of which nothing was received."""
        self._scope = asyncio.timeout(None)

    async def receive(
        self, stream: Any, length: int, unfinished: "BufferBudget[UnfinishedMessage] | None"
    ) -> bytes:
        """Return the message, or give it up if those of all clients take too much memory."""
        pieces: list[bytes] = []
        received_bytes = 0
        try:
            async with self._scope:
                while received_bytes < length:
                    piece = await stream.recv_data(min(length - received_bytes, PIECE_BYTES))
                    if not piece:
                        raise StreamTerminatedError("the stream ended within a message")
                    pieces.append(bytes(piece))
                    received_bytes += len(piece)
                    if unfinished is not None:
                        for message in unfinished.update(self, received_bytes):
                            message.give_up()
        except TimeoutError:
            text = "unfinished messages of all clients take too much memory"
            raise ProtocolViolationError("RESOURCE_EXHAUSTED", text) from None
        finally:
            if unfinished is not None:
                unfinished.release(self)
        return b"".join(pieces)

    def give_up(self) -> None:
        """Let `receive` raise the next time that it waits."""
        self._scope.reschedule(asyncio.get_running_loop().time())


async def receive(
    stream: Stream, max_bytes: int, unfinished: "BufferBudget[UnfinishedMessage] | None" = None
) -> bytes | None:
    """Return the next message of a stream, or None at its end.

    grpclib does not limit the size of messages, so the header is read here. Other tasks run between two
    messages, also if both have been received already.

    Raises:
        ProtocolViolationError: The message is too large or compressed and is not read, or the unfinished
            messages of all clients take too much memory.
    """
    await asyncio.sleep(0)
    if stream._stream is None:
        return None
    header = await stream._stream.recv_data(HEADER_BYTES)
    if not header:
        return None
    length = int.from_bytes(header[1:HEADER_BYTES], "big")
    if header[0]:
        raise ProtocolViolationError("UNIMPLEMENTED", "compressed messages are not supported")
    if length > max_bytes:
        text = f"message of {length} bytes, at most {max_bytes} are allowed"
        raise ProtocolViolationError("RESOURCE_EXHAUSTED", text)
    return await UnfinishedMessage().receive(stream._stream, length, unfinished)


class _BoundedH2Protocol(H2Protocol):
    """A connection that reads nothing while its client does not read: each frame may need an answer."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection."""
        self._reading: Any = transport
        super().connection_made(transport)

    def pause_writing(self) -> None:
        """Stop reading as well."""
        super().pause_writing()
        self._reading.pause_reading()

    def resume_writing(self) -> None:
        """Read again."""
        super().resume_writing()
        self._reading.resume_reading()


class FairChannel(Channel):
    """A client's channel whose received bytes wait for their turn like those of a server."""

    async def _create_connection(self) -> H2Protocol:
        protocol = self._protocol_factory()
        turns, watcher = event_loop_turns(), disconnect_watcher()
        await self._loop.create_connection(
            lambda: FairProtocol(turns, protocol, watcher), self._host, self._port
        )
        return protocol


class _RejectedConnection(asyncio.Protocol):
    """Closes a connection past the limit without reading from it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Abort the connection."""
        cast(asyncio.Transport, transport).abort()


class AbortableServer(Server):
    """A server with a connection limit that can abort connections; grpclib's `close` leaves them open."""

    def __init__(
        self, *arguments: Any, max_connections: int = DEFAULT_MAX_CONNECTIONS, **options: Any
    ) -> None:
        """Create a server; other arguments and options are those of grpclib's `Server`."""
        super().__init__(*arguments, **options)
        self.rejected_connections = 0
        self._protocols: weakref.WeakSet[Any] = weakref.WeakSet()
        self._max_connections = max_connections
        self._watcher: DisconnectWatcher | None = None  # until it is started

    async def start(self, *arguments: Any, **options: Any) -> None:
        """Listen; arguments and options are those of grpclib's `Server`."""
        self._watcher = disconnect_watcher()
        await super().start(*arguments, **options)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the started server listens on."""
        listener = cast(asyncio.Server, self._server)
        return listener.sockets[0].getsockname()[:2]

    def _protocol_factory(self) -> H2Protocol:
        if sum(1 for protocol in self._protocols if _is_open(protocol)) >= self._max_connections:
            self.rejected_connections += 1
            return cast(H2Protocol, _RejectedConnection())
        created = super()._protocol_factory()
        protocol: Any = _BoundedH2Protocol(created.handler, created.config, created.h2_config)
        protocol.connection = None  # until it is made
        self._protocols.add(protocol)
        return cast(H2Protocol, FairProtocol(event_loop_turns(), protocol, self._watcher))

    def abort_connections(self) -> None:
        """Abort all open connections, as if the process had died."""
        for transport in self._open_transports():
            transport.abort()

    def pause_reading(self) -> None:
        """Stop reading from all open connections."""
        for transport in self._open_transports():
            transport.pause_reading()

    def close_listener(self) -> None:
        """Stop listening; open connections stay open."""
        cast(asyncio.Server, self._server).close()

    def _open_transports(self) -> list[asyncio.Transport]:
        connections = [protocol.connection for protocol in self._protocols]
        return [opened._transport for opened in connections if opened is not None and not opened.is_closing()]


def _is_open(protocol: Any) -> bool:
    return protocol.connection is None or not protocol.connection.is_closing()
