"""The last good endpoint list and its revision; it outlives every connection to discovery. No I/O, no clock.

A watch that begins with a whole list of an older revision is of a discovery that lags, or of one that
started over: only time can tell which. Meanwhile it is followed in a `LaggingList` of its own, and believed
only in what ends an endpoint: that one drains or is removed, without having restarted since. Then its list
becomes the list.
"""

import msgspec

from swiftchute.api.endpoints import EndpointRecord, EndpointState, ListScope
from swiftchute.platform import discovery_messages
from swiftchute.platform.discovery_messages import WatchLine
from swiftchute.platform.errors import DiscoveryError

MAX_LOGGED_REJECTIONS = 3  # of the entries of one list update

Endpoints = dict[str, EndpointRecord]


class ListUpdate(msgspec.Struct, frozen=True):
    """What a line changes."""

    scope: ListScope
    endpoints: tuple[EndpointRecord, ...]
    rejected: tuple[str, ...] = ()  # causes, one for each entry that was left out

    @property
    def rejections_to_log(self) -> tuple[str, ...]:
        """The first causes; the log names their number."""
        return self.rejected[:MAX_LOGGED_REJECTIONS]

    @property
    def changes_list(self) -> bool:
        """Whether it is more than a report of entries that were left out."""
        return bool(self.endpoints) or self.scope != ListScope.DELTA

    @property
    def is_cached(self) -> bool:
        """Whether it is the list of the configuration, of a time before discovery was reached."""
        return self.scope == ListScope.CACHED


class LaggingList(msgspec.Struct):
    """The list of a watch that began with an older revision, with the changes since."""

    since_ns: int
    revision: int
    endpoints: Endpoints


class EndpointList(msgspec.Struct):
    """The last good list."""

    zones: tuple[str, ...]
    revision: int | None = None
    endpoints: Endpoints = msgspec.field(default_factory=dict)
    stale_lines: int = 0  # of a revision that is not newer

    def load_cached(self, text: bytes) -> ListUpdate:
        """Start from the list that the configuration holds; raises `DiscoveryError`."""
        line = self._decode(text)
        return self._replace(line.revision, self._snapshot(line), ListScope.CACHED, line.rejected)

    def apply_line(self, text: bytes) -> ListUpdate | None:
        """Apply a line of a watch that does not lag; raises `DiscoveryError`."""
        return self._apply(self._decode(text))

    def apply_first_line(self, text: bytes, now_ns: int) -> tuple[LaggingList | None, ListUpdate | None]:
        """Apply the first line of a watch; raises `DiscoveryError`.

        Args:
            text: The line.
            now_ns: The present time, nanoseconds.

        Returns:
            The watch's own list if it lags, and what the line changes.
        """
        line = self._decode(text)
        if not (line.complete and self.is_newer_than(line.revision)):
            return None, self._apply(line)
        self.stale_lines += 1
        lagging = LaggingList(now_ns, line.revision, self._snapshot(line))
        return lagging, self._apply_endings(line)

    def apply_lagging_line(self, lagging: LaggingList, text: bytes) -> ListUpdate | None:
        """Apply a later line of a watch that lags; raises `DiscoveryError`."""
        line = self._decode(text)
        if line.complete:
            lagging.endpoints = self._snapshot(line)
        else:
            lagging.endpoints = _without_removed(lagging.endpoints | line.endpoints)
        if len(lagging.endpoints) > discovery_messages.MAX_ENDPOINTS:
            raise DiscoveryError(f"more than {discovery_messages.MAX_ENDPOINTS} servers")
        lagging.revision = line.revision
        return self._apply_endings(line)

    def adopt(self, lagging: LaggingList) -> ListUpdate:
        """Make the list of a watch that lagged the list."""
        return self._replace(lagging.revision, dict(lagging.endpoints), ListScope.SNAPSHOT, [])

    def is_newer_than(self, revision: int) -> bool:
        """Whether a later revision is known."""
        return self.revision is not None and revision < self.revision

    def _decode(self, text: bytes) -> WatchLine:
        return discovery_messages.decode_line(text, self.zones)

    def _apply(self, line: WatchLine) -> ListUpdate | None:
        if self.is_newer_than(line.revision):
            self.stale_lines += 1
            return None
        if line.complete:
            return self._replace(line.revision, self._snapshot(line), ListScope.SNAPSHOT, line.rejected)
        self.revision = line.revision
        return self._change(line.endpoints, line.rejected)

    def _snapshot(self, line: WatchLine) -> Endpoints:
        """The endpoints of a whole list."""
        endpoints = _without_removed(line.endpoints)
        if not endpoints and self.endpoints:
            raise DiscoveryError("a whole list without a server")
        if line.rejected:  # one of these may be an endpoint that is known: it is not removed for that
            missing = {name: known for name, known in self.endpoints.items() if name not in endpoints}
            endpoints = missing | endpoints
        return endpoints

    def _replace(
        self, revision: int, endpoints: Endpoints, scope: ListScope, rejected: list[str]
    ) -> ListUpdate:
        self.revision, self.endpoints = revision, endpoints
        return ListUpdate(scope, tuple(endpoints.values()), tuple(rejected))

    def _change(self, changes: Endpoints, rejected: list[str]) -> ListUpdate | None:
        limit = discovery_messages.MAX_ENDPOINTS
        for endpoint, record in list(changes.items()):
            if record.state == EndpointState.REMOVED:
                self.endpoints.pop(endpoint, None)
            elif endpoint in self.endpoints or len(self.endpoints) < limit:
                self.endpoints[endpoint] = record
            else:
                rejected.append(f"{endpoint!r}: more than {limit} servers")
                del changes[endpoint]
        if not changes and not rejected:
            return None
        return ListUpdate(ListScope.DELTA, tuple(changes.values()), tuple(rejected))

    def _apply_endings(self, line: WatchLine) -> ListUpdate | None:
        """Apply the entries of a lagging watch by which an endpoint that has not restarted since ends."""
        endings = {
            endpoint: record
            for endpoint, record in line.endpoints.items()
            if record.state != EndpointState.READY
            and endpoint in self.endpoints
            and record.started_ns >= self.endpoints[endpoint].started_ns
            and record.state != self.endpoints[endpoint].state
        }
        return self._change(endings, line.rejected)


def _without_removed(endpoints: Endpoints) -> Endpoints:
    return {name: record for name, record in endpoints.items() if record.state != EndpointState.REMOVED}
