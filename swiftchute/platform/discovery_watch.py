"""One watch connection to discovery: HTTP/1.1 by h11, a JSON list update a line. No I/O, no clock.

The watch goes on from the last revision that is known. Where `receive_data` raises `DiscoveryError` the
connection is of no more use; the last good list stays.
"""

from collections.abc import Iterator

import h11

from swiftchute.platform.endpoint_list import EndpointList, LaggingList, ListUpdate
from swiftchute.platform.errors import DiscoveryError

WATCH_PATH = "/catalog/members"
MAX_LINE_BYTES = 8 << 20
MAX_DELIVERY_DELAY_NS = 6_000_000_000  # by then discovery has delivered every change, its protocol says


class DiscoveryWatch:
    """The state machine of one connection."""

    def __init__(self, endpoint_list: EndpointList, host: str) -> None:
        """Start a watch that has not requested anything.

        Args:
            endpoint_list: The list that the watch updates.
            host: Value of the request's Host header.
        """
        self.endpoint_list = endpoint_list
        self.host = host
        self.answered = False  # the head of the answer has arrived
        self.has_line = False  # a line has arrived, if only an empty one
        self.has_update = False  # a list or changes have arrived
        self.lagging: LaggingList | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._unparsed = bytearray()

    def request(self) -> bytes:
        """Return the bytes of the request."""
        revision = self.endpoint_list.revision
        after = "" if revision is None else f"&after={revision}"
        request = h11.Request(
            method="GET",
            target=f"{WATCH_PATH}?watch=1{after}",
            headers=[("Host", self.host), ("Accept", "application/json")],
        )
        return (self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")

    def receive_data(self, data: bytes, now_ns: int) -> Iterator[ListUpdate]:
        """Handle bytes, in pieces of any size.

        Args:
            data: The bytes; none are the end of the connection.
            now_ns: The present time, nanoseconds.

        Raises:
            DiscoveryError: The answer cannot be used, or has ended.
        """
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise DiscoveryError(f"status {event.status_code}")
                    self.answered = True
                elif isinstance(event, h11.Data):
                    yield from self._receive_body(bytes(event.data), now_ns)
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise DiscoveryError("the watch ended")
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
            raise DiscoveryError(f"a line of more than {MAX_LINE_BYTES} bytes")

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
        """Adopt the list of a watch that lags once it has caught up, or has had the time to."""
        lagging = self.lagging
        if lagging is None:
            return None
        caught_up = not self.endpoint_list.is_newer_than(lagging.revision)
        if not caught_up and now_ns - lagging.since_ns < MAX_DELIVERY_DELAY_NS:
            return None
        self.lagging = None
        return self.endpoint_list.adopt(lagging)
