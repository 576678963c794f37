"""Extensions of grpclib: raw messages, limits on message size and connections, and aborting connections."""

import asyncio
import weakref
from typing import Any, cast

from grpclib.encoding.base import CodecBase
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from swiftchute.xds.errors import ProtocolViolationError

HEADER_BYTES = 5  # gRPC message header: a compression flag and four bytes of length
DEFAULT_MAX_CONNECTIONS = 10_000


class RawCodec(CodecBase):
    """Passes messages through as bytes; modules without I/O decode and encode them."""

    __content_subtype__ = "proto"

    def encode(self, message: bytes, message_type: Any) -> bytes:
        """Return the message as it is."""
        return message

    def decode(self, data: bytes, message_type: Any) -> bytes:
        """Return the message as it is."""
        return bytes(data)


async def receive(stream: Stream, max_bytes: int) -> bytes | None:
    """Return the next message of a stream, or None at its end.

    grpclib does not limit the size of messages, so the header is read here.

    Raises:
        ProtocolViolationError: The message is too large or compressed; it is not read.
    """
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
    return bytes(await stream._stream.recv_data(length))


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

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the started server listens on."""
        listener = cast(asyncio.Server, self._server)
        return listener.sockets[0].getsockname()[:2]

    def _protocol_factory(self) -> H2Protocol:
        if sum(1 for protocol in self._protocols if _is_open(protocol)) >= self._max_connections:
            self.rejected_connections += 1
            return cast(H2Protocol, _RejectedConnection())
        protocol: Any = super()._protocol_factory()
        protocol.connection = None  # until it is made
        self._protocols.add(protocol)
        return protocol

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
