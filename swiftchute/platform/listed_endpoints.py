"""The history of each endpoint according to the endpoint lists received so far. No I/O.

A proxy that was connected to another instance may still hold endpoints ejected by that instance, and this
one does not know which. Only an endpoint that was listed as not ready, or that has restarted, can have been
ejected by any instance: `possibly_ejected` holds these.
"""

from collections.abc import Iterable

from swiftchute.api.endpoints import EndpointRecord, EndpointState

MAX_REMOVED_ENDPOINTS = 1000  # kept because they may return and late reports may name them


class ListedEndpoints:
    """The listed endpoints with their last start times, and those removed recently."""

    def __init__(self) -> None:
        """Start without a list."""
        self.started_ns: dict[str, int] = {}  # by listed endpoint
        self.possibly_ejected: set[str] = set()  # listed endpoints only
        self.not_ready: set[str] = set()  # draining or removed
        self.removed: dict[str, None] = {}  # ordered, most recent last

    def update(self, records: Iterable[EndpointRecord], snapshot: bool) -> None:
        """Record a complete list or changes to the list.

        Args:
            records: The endpoints in the update.
            snapshot: Whether the list is complete, so that all other endpoints are removed.
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
        # No instance can have ejected an endpoint that has never been listed before.
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
            if oldest not in self.started_ns:  # otherwise it is listed again and may be draining
                self.not_ready.discard(oldest)
