"""One watch connection to discovery: HTTP/1.1 (h11), one JSON list update per line. No I/O, no clock.

The watch resumes after the last known revision. When `receive_data` raises `DiscoveryError`, the connection
must be closed; the last good list is kept.
"""

from collections.abc import Iterator

import h11

from swiftchute.platform.endpoint_list import EndpointList, LaggingList, ListUpdate
from swiftchute.platform.errors import DiscoveryError

WATCH_PATH = "/catalog/members"
MAX_LINE_BYTES = 8 << 20
MAX_DELIVERY_DELAY_NS = 6_000_000_000  # the protocol guarantees delivery of every change within this time


class DiscoveryWatch:
    """The protocol state machine of one watch connection."""

    def __init__(self, endpoint_list: EndpointList, host: str) -> None:
        """Create a watch that has not sent its request yet.

        Args:
            endpoint_list: The list that the watch updates.
            host: Value of the Host header of the request.
        """
        self.endpoint_list = endpoint_list
        self.host = host
        self.has_response = False  # the head of the response has arrived
        self.has_line = False  # a line has arrived, possibly an empty one
        self.has_update = False  # a list or a change has arrived
        self.lagging: LaggingList | None = None  # set while discovery lags behind the known revision
        self._http = h11.Connection(h11.CLIENT)
        self._unparsed = bytearray()

    def request(self) -> bytes:
        """Return the encoded request."""
        revision = self.endpoint_list.revision
        after = "" if revision is None else f"&after={revision}"
        request = h11.Request(
            method="GET",
            target=f"{WATCH_PATH}?watch=1{after}",
            headers=[("Host", self.host), ("Accept", "application/json")],
        )
        return (self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")

    def receive_data(self, data: bytes, now_ns: int) -> Iterator[ListUpdate]:
        """Handle received bytes, split at any place, and yield the resulting list updates.

        Args:
            data: The bytes; empty at the end of the connection.
            now_ns: The current time in nanoseconds.

        Raises:
            DiscoveryError: The response is invalid or has ended.
        """
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise DiscoveryError(f"HTTP status {event.status_code} instead of 200")
                    self.has_response = True
                elif isinstance(event, h11.Data):
                    yield from self._receive_body(bytes(event.data), now_ns)
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise DiscoveryError("discovery ended the watch")
        except h11.RemoteProtocolError as error:
            raise DiscoveryError(f"not HTTP: {error}") from None

    def _receive_body(self, data: bytes, now_ns: int) -> Iterator[ListUpdate]:
        self._unparsed += data
        if b"\n" in data:
            *lines, rest = bytes(self._unparsed).split(b"\n")
            self._unparsed = bytearray(rest)
            self.has_line = True
            for line in lines:
                if line.strip():
                    yield from self._receive_line(line, now_ns)
        if len(self._unparsed) > MAX_LINE_BYTES:
            raise DiscoveryError(f"watch line too long: more than {MAX_LINE_BYTES} bytes")

    def _receive_line(self, line: bytes, now_ns: int) -> Iterator[ListUpdate]:
        is_first, self.has_update = not self.has_update, True
        if is_first:
            self.lagging, update = self.endpoint_list.apply_first_line(line, now_ns)
        elif self.lagging is not None:
            update = self.endpoint_list.apply_lagging_line(self.lagging, line)
        else:
            update = self.endpoint_list.apply_line(line)
        if update is not None:
            yield update
        update = self.check_lag(now_ns)
        if update is not None:
            yield update

    def check_lag(self, now_ns: int) -> ListUpdate | None:
        """Adopt a lagging list once it has caught up, or once the maximum delivery delay has passed."""
        lagging = self.lagging
        if lagging is None:
            return None
        caught_up = not self.endpoint_list.is_newer_than(lagging.revision)
        if not caught_up and now_ns - lagging.since_ns < MAX_DELIVERY_DELAY_NS:
            return None
        self.lagging = None
        return self.endpoint_list.adopt(lagging)
