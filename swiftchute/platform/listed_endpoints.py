"""What is known of each endpoint from the endpoint lists so far. No I/O.

A proxy that was connected to another instance may still eject endpoints by that instance's command, which
nobody here knows of. Only an endpoint that was listed as not ready, or that has restarted, can have been
ejected by anybody: `possibly_ejected` names these.
"""

from collections.abc import Iterable

from swiftchute.api.endpoints import EndpointRecord, EndpointState

MAX_REMOVED_ENDPOINTS = 1000  # remembered, as they may come back and late reports name them


class ListedEndpoints:
    """Endpoints of the list with their last start, and those that lately left it."""

    def __init__(self) -> None:
        """No list has arrived yet."""
        self.started_ns: dict[str, int] = {}  # of each listed endpoint
        self.possibly_ejected: set[str] = set()  # of the listed ones
        self.not_ready: set[str] = set()  # draining or removed
        self.removed: dict[str, None] = {}  # the latest last

    def update(self, records: Iterable[EndpointRecord], snapshot: bool) -> None:
        """Note a list or changes to it.

        Args:
            records: The endpoints named.
            snapshot: Whether endpoints that are not named are removed.
        """
        first_list = not self.started_ns
        if snapshot:
            named = {record.endpoint for record in records}
            for endpoint in [listed for listed in self.started_ns if listed not in named]:
                self._remove(endpoint)
        for record in records:
            if record.state == EndpointState.REMOVED:
                self._remove(record.endpoint)
            else:
                self._add(record, first_list)
        self.possibly_ejected &= self.started_ns.keys()

    def _add(self, record: EndpointRecord, first_list: bool) -> None:
        endpoint, ready = record.endpoint, record.state == EndpointState.READY
        previous_start = self.started_ns.get(endpoint)
        # Nobody can have ejected an endpoint that no list has named before.
        is_new = previous_start is None and not first_list and endpoint not in self.removed
        restarted = previous_start != record.started_ns and not is_new and bool(record.started_ns)
        if not ready or restarted:
            self.possibly_ejected.add(endpoint)
        self.started_ns[endpoint] = record.started_ns
        if ready:
            self.not_ready.discard(endpoint)
        else:
            self.not_ready.add(endpoint)

    def _remove(self, endpoint: str) -> None:
        if self.started_ns.pop(endpoint, None) is None:
            return
        self.removed.pop(endpoint, None)
        self.removed[endpoint] = None
        self.not_ready.add(endpoint)
        if len(self.removed) > MAX_REMOVED_ENDPOINTS:
            oldest = next(iter(self.removed))
            del self.removed[oldest]
            if oldest not in self.started_ns:  # else it is listed again, and may be draining
                self.not_ready.discard(oldest)
