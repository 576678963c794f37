"""The last good endpoint list and its revision; it outlives every connection to discovery. No I/O, no clock.

A watch that begins with a complete list of an older revision comes from a discovery server that either lags
or restarted with new revisions. Only time can tell which, so its updates are collected in a separate
`LaggingList`. Until the lagging list has caught up or the maximum delivery delay has passed, only its
draining and removed endpoints are applied to the endpoint list, each only if it has not restarted since. Then
the lagging list replaces the endpoint list.
"""

import msgspec

from swiftchute.api.endpoints import EndpointRecord, EndpointState, ListScope
from swiftchute.platform import discovery_messages
from swiftchute.platform.discovery_messages import WatchLine
from swiftchute.platform.errors import DiscoveryError

MAX_LOGGED_REJECTIONS = 3  # per list update

Endpoints = dict[str, EndpointRecord]


class ListUpdate(msgspec.Struct, frozen=True):
    """A change of the endpoint list, usually by one line of a watch (a JSON message)."""

    scope: ListScope
    endpoints: tuple[EndpointRecord, ...]
    rejected: tuple[str, ...] = ()  # the cause of each rejection, one per member

    @property
    def rejections_to_log(self) -> tuple[str, ...]:
        """The first causes; the log also states how many members were rejected."""
        return self.rejected[:MAX_LOGGED_REJECTIONS]

    @property
    def changes_list(self) -> bool:
        """Whether the update does more than report rejected members."""
        return bool(self.endpoints) or self.scope != ListScope.DELTA

    @property
    def is_cached(self) -> bool:
        """Whether this is the last good list from the configuration, used until discovery is reached."""
        return self.scope == ListScope.CACHED


class LaggingList(msgspec.Struct):
    """The list of a watch that began with an older revision, including its later changes."""

    since_ns: int
    revision: int
    endpoints: Endpoints


class EndpointList(msgspec.Struct):
    """The last good endpoint list."""

    zones: tuple[str, ...]
    revision: int | None = None
    endpoints: Endpoints = msgspec.field(default_factory=dict)
    stale_lines: int = 0  # lines with a revision older than the known one; of a lagging watch only the first

    def load_cached(self, text: bytes) -> ListUpdate:
        """Load the list from the configuration; raises `DiscoveryError`."""
        line = self._decode(text)
        return self._replace(
            line.revision, self._endpoints_of_complete_line(line), ListScope.CACHED, line.rejected
        )

    def apply_line(self, text: bytes) -> ListUpdate | None:
        """Apply a line of a watch that is not lagging; raises `DiscoveryError`."""
        return self._apply_decoded(self._decode(text))

    def apply_first_line(self, text: bytes, now_ns: int) -> tuple[LaggingList | None, ListUpdate | None]:
        """Apply the first line of a watch; raises `DiscoveryError`.

        Args:
            text: The line.
            now_ns: The current time in nanoseconds.

        Returns:
            The separate list of the watch if it lags, and the resulting update of the endpoint list.
        """
        line = self._decode(text)
        if not (line.complete and self.is_newer_than(line.revision)):
            return None, self._apply_decoded(line)
        self.stale_lines += 1
        lagging = LaggingList(now_ns, line.revision, self._endpoints_of_complete_line(line))
        return lagging, self._apply_drains_and_removals(line)

    def apply_lagging_line(self, lagging: LaggingList, text: bytes) -> ListUpdate | None:
        """Apply a later line of a lagging watch; raises `DiscoveryError`."""
        line = self._decode(text)
        if line.complete:
            lagging.endpoints = self._endpoints_of_complete_line(line)
        else:
            lagging.endpoints = _without_removed(lagging.endpoints | line.endpoints)
        if len(lagging.endpoints) > discovery_messages.MAX_ENDPOINTS:
            raise DiscoveryError(f"endpoint list has more than {discovery_messages.MAX_ENDPOINTS} endpoints")
        lagging.revision = line.revision
        return self._apply_drains_and_removals(line)

    def adopt(self, lagging: LaggingList) -> ListUpdate:
        """Replace the endpoint list by the list of a lagging watch."""
        return self._replace(lagging.revision, dict(lagging.endpoints), ListScope.SNAPSHOT, [])

    def is_newer_than(self, revision: int) -> bool:
        """Whether the known revision is later than this one."""
        return self.revision is not None and revision < self.revision

    def _decode(self, text: bytes) -> WatchLine:
        return discovery_messages.decode_line(text, self.zones)

    def _apply_decoded(self, line: WatchLine) -> ListUpdate | None:
        if self.is_newer_than(line.revision):
            self.stale_lines += 1
            return None
        if line.complete:
            return self._replace(
                line.revision, self._endpoints_of_complete_line(line), ListScope.SNAPSHOT, line.rejected
            )
        self.revision = line.revision
        return self._apply_changes(line.endpoints, line.rejected)

    def _endpoints_of_complete_line(self, line: WatchLine) -> Endpoints:
        """Return the endpoints of a complete list, which must not be empty if endpoints are known.

        If members were rejected, known endpoints that are not in the list are kept.
        """
        endpoints = _without_removed(line.endpoints)
        if not endpoints and self.endpoints:
            raise DiscoveryError("complete list without an endpoint; the last good list is kept")
        if line.rejected:  # a rejected member may be a known endpoint, which must then stay
            unlisted = {name: known for name, known in self.endpoints.items() if name not in endpoints}
            endpoints = unlisted | endpoints
        return endpoints

    def _replace(
        self, revision: int, endpoints: Endpoints, scope: ListScope, rejected: list[str]
    ) -> ListUpdate:
        self.revision, self.endpoints = revision, endpoints
        return ListUpdate(scope, tuple(endpoints.values()), tuple(rejected))

    def _apply_changes(self, changes: Endpoints, rejected: list[str]) -> ListUpdate | None:
        limit = discovery_messages.MAX_ENDPOINTS
        for endpoint, record in list(changes.items()):
            if record.state == EndpointState.REMOVED:
                self.endpoints.pop(endpoint, None)
            elif endpoint in self.endpoints or len(self.endpoints) < limit:
                self.endpoints[endpoint] = record
            else:
                rejected.append(f"endpoint {endpoint!r}: the list is full, {limit} endpoints at most")
                del changes[endpoint]
        if not changes and not rejected:
            return None
        return ListUpdate(ListScope.DELTA, tuple(changes.values()), tuple(rejected))

    def _apply_drains_and_removals(self, line: WatchLine) -> ListUpdate | None:
        """Apply only the draining and removed endpoints of a lagging watch that have not restarted since."""
        drains_and_removals = {
            endpoint: record
            for endpoint, record in line.endpoints.items()
            if record.state != EndpointState.READY
            and endpoint in self.endpoints
            and record.started_ns >= self.endpoints[endpoint].started_ns
            and record.state != self.endpoints[endpoint].state
        }
        return self._apply_changes(drains_and_removals, line.rejected)


def _without_removed(endpoints: Endpoints) -> Endpoints:
    return {name: record for name, record in endpoints.items() if record.state != EndpointState.REMOVED}
