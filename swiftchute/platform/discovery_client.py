"""Manages the connections to the discovery service. No I/O, no clock.

At most two connections are in use: the current one, and the previous one until the current one has delivered
a line and caught up with the latest known revision. Updates from both are applied, those from any other
connection are ignored. No change is therefore lost when the address changes, when a watch falls silent, or
when the new discovery server lags behind the previous one.

Call `take_commands` after every other method: it yields what the transport must do.
"""

from collections.abc import Iterator
from random import Random
from typing import Any

import msgspec

from swiftchute.discovery.backoff import Backoff
from swiftchute.platform.discovery_watch import DiscoveryWatch
from swiftchute.platform.endpoint_list import EndpointList, ListUpdate
from swiftchute.platform.errors import DiscoveryError

NS_PER_S = 1_000_000_000
# Discovery sends an empty line every 2 s and guarantees delivery of a change within 6 s. Two missed lines, a
# reconnect and the response to it must fit into those 6 s.
SILENCE_TIMEOUT_NS = 21 * NS_PER_S // 5
RESPONSE_TIMEOUT_NS = NS_PER_S  # from the command to connect to the head of the response
FIRST_RECONNECT_WAIT_NS = NS_PER_S // 10
MAX_RECONNECT_WAIT_NS = NS_PER_S

Address = tuple[str, int]
LogEvent = tuple[str, dict[str, Any]]


class DiscoveryConnection(msgspec.Struct, eq=False):
    """One connection to discovery; it exists from the command to open it."""

    address: Address
    watch: DiscoveryWatch
    last_activity_ns: int  # when it was opened or last received bytes
    overdue: bool = False  # silent for longer than the timeout at the last check
    transport: Any = None  # owned by the server


class OpenConnection(msgspec.Struct, frozen=True):
    """Connect, then call `connection_opened` or `connection_closed`."""

    connection: DiscoveryConnection


class CloseConnection(msgspec.Struct, frozen=True):
    """Close the connection, or abort the attempt to open it."""

    connection: DiscoveryConnection


class DiscoveryClient:
    """The connections of this instance to discovery."""

    def __init__(self, endpoint_list: EndpointList, random: Random) -> None:
        """Create a client that has no address yet.

        Args:
            endpoint_list: The list that the connections update.
            random: Random source of the reconnect jitter.
        """
        self.endpoint_list = endpoint_list
        self.list_confirmed_ns: int | None = None  # when a watch last delivered a change or reported none
        self.address: Address | None = None
        self.current: DiscoveryConnection | None = None
        self.previous: DiscoveryConnection | None = None
        self._connect_at_ns = 0
        self._backoff = Backoff(FIRST_RECONNECT_WAIT_NS, MAX_RECONNECT_WAIT_NS, random)
        self._to_close: list[DiscoveryConnection] = []
        self._log_events: list[LogEvent] = []

    def set_address(self, address: Address, now_ns: int) -> None:
        """Watch discovery at this address; the old connection stays in use until the new one catches up."""
        if address == self.address:
            return
        self.address, self._connect_at_ns = address, now_ns
        self._backoff.reset()
        self._replace_current()

    def take_commands(self, now_ns: int) -> Iterator[OpenConnection | CloseConnection]:
        """Yield the commands that the transport must carry out now."""
        if self.current is None and self.address is not None and now_ns >= self._connect_at_ns:
            watch = DiscoveryWatch(self.endpoint_list, _format_address(self.address))
            self.current = DiscoveryConnection(self.address, watch, now_ns)
            yield OpenConnection(self.current)
        to_close, self._to_close = self._to_close, []
        for connection in to_close:
            yield CloseConnection(connection)

    def take_log_events(self) -> list[LogEvent]:
        """Return the name and fields of each log event since the last call."""
        events, self._log_events = self._log_events, []
        return events

    def connection_opened(self, connection: DiscoveryConnection) -> bytes | None:
        """Return the encoded request, or None if the connection is no longer in use."""
        return connection.watch.request() if self._is_in_use(connection) else None

    def receive_data(self, connection: DiscoveryConnection, data: bytes, now_ns: int) -> Iterator[ListUpdate]:
        """Handle received bytes and yield the resulting list updates."""
        if not self._is_in_use(connection):
            return
        connection.last_activity_ns, connection.overdue = now_ns, False
        try:
            yield from connection.watch.receive_data(data, now_ns)
        except DiscoveryError as error:
            self._to_close.append(connection)
            self.connection_closed(connection, str(error), now_ns)
        watch = connection.watch
        if watch.has_update:
            self.list_confirmed_ns = now_ns
        if connection is self.current and watch.has_line and watch.lagging is None:
            self._close_previous()

    def connection_closed(self, connection: DiscoveryConnection, cause: str, now_ns: int) -> None:
        """Handle a connection that ended or could not be opened."""
        if connection is self.previous:
            self.previous = None
        elif connection is self.current:
            self.current = None
            self._schedule_reconnect(connection, cause, now_ns, backoff=True)

    def check_timeouts(self, now_ns: int) -> Iterator[ListUpdate]:
        """Replace a silent connection, and yield the lists of lagging watches whose time has run out.

        The sockets must be read between two calls: if this process was suspended, bytes may be waiting there.
        A connection is therefore replaced only if it is overdue in two consecutive checks.
        """
        connection = self.current
        if connection is not None and self._is_silent(connection, now_ns):
            if connection.overdue:
                has_response = connection.watch.has_response
                silent_s = (now_ns - connection.last_activity_ns) / NS_PER_S
                cause = f"{'silent' if has_response else 'no response'} for {silent_s:.1f} s"
                self._schedule_reconnect(connection, cause, now_ns, backoff=not has_response)
                self._replace_current()
            connection.overdue = True
        for in_use in (self.previous, self.current):
            update = in_use.watch.check_lag(now_ns) if in_use is not None else None
            if update is not None:
                yield update

    def _is_in_use(self, connection: DiscoveryConnection) -> bool:
        return connection is self.current or connection is self.previous

    @staticmethod
    def _is_silent(connection: DiscoveryConnection, now_ns: int) -> bool:
        timeout_ns = SILENCE_TIMEOUT_NS if connection.watch.has_response else RESPONSE_TIMEOUT_NS
        return now_ns - connection.last_activity_ns > timeout_ns

    def _replace_current(self) -> None:
        """Make room for a new connection; the current one becomes the previous one if it got a response."""
        unused, self.current = self.current, None
        if unused is not None and unused.watch.has_response:
            unused, self.previous = self.previous, unused
        if unused is not None:
            self._to_close.append(unused)

    def _close_previous(self) -> None:
        if self.previous is not None:
            self._to_close.append(self.previous)
            self.previous = None

    def _schedule_reconnect(
        self, connection: DiscoveryConnection, cause: str, now_ns: int, backoff: bool
    ) -> None:
        """Reconnect at once, or after a backoff that is reset once a connection has delivered an update."""
        self._log_events.append(
            ("discovery lost", {"address": _format_address(connection.address), "cause": cause})
        )
        if connection.watch.has_update:
            self._backoff.reset()
        self._connect_at_ns = now_ns + (self._backoff.next_wait_ns() if backoff else 0)


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
