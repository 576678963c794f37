"""The last known status of each endpoint, including endpoints that discovery has removed."""

from collections.abc import Collection

from swiftchute.api.endpoints import EndpointRecord, EndpointState
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.safety.proposal import EndpointStatus

MAX_ENDPOINTS = 200_000  # if there are more, removed ones are forgotten


class EndpointDirectory:
    """The status of all endpoints that discovery has ever listed, up to `MAX_ENDPOINTS`."""

    def __init__(self, max_warmup_ns: int, removal_is_binding: bool) -> None:
        """Start without endpoints; the arguments are the fields of `Settings` with these names."""
        self.max_warmup_ns, self.removal_is_binding = max_warmup_ns, removal_is_binding
        self.statuses: dict[str, EndpointStatus] = {}
        self.unavailable: frozenset[str] = frozenset()  # must not be used, whatever tables hold
        self.change_count = 0

    def apply(self, change: EndpointListChange) -> None:
        """Update the statuses and `unavailable` from a change of the endpoint list."""
        self.change_count += 1
        unavailable = set(self.unavailable)
        for record in change.endpoints:
            self._store_status(record)
            if self._is_unavailable(record):
                unavailable.add(record.endpoint)
            else:
                unavailable.discard(record.endpoint)
        if len(unavailable) > MAX_ENDPOINTS:
            unavailable &= self.statuses.keys()
        self.unavailable = frozenset(unavailable)

    def ready(self) -> frozenset[str]:
        """Return the endpoints that are listed as ready."""
        return frozenset(name for name, status in self.statuses.items() if status.state == "ready")

    def start_times(self, ejected: Collection[str]) -> dict[str, int]:
        """Return the start time of each endpoint that is ready and not ejected."""
        return {
            name: status.started_ns
            for name, status in self.statuses.items()
            if status.state == "ready" and name not in ejected
        }

    def warming_up(self, now: int) -> frozenset[str]:
        """Return the ready endpoints that started less than `max_warmup_ns` ago."""
        latest_warm_start_ns = now - self.max_warmup_ns
        return frozenset(
            name
            for name, status in self.statuses.items()
            if status.started_ns > latest_warm_start_ns and status.started_ns and status.state == "ready"
        )

    def zone_of(self, endpoint: str) -> str:
        """Return the zone of an endpoint, or an empty string if it is unknown."""
        status = self.statuses.get(endpoint)
        return status.zone if status is not None else ""

    def _store_status(self, record: EndpointRecord) -> None:
        self.statuses[record.endpoint] = EndpointStatus(
            record.zone, record.state, record.started_ns, record.weight, record.kind
        )
        if len(self.statuses) > MAX_ENDPOINTS:  # an unknown endpoint is treated like a removed one
            self.statuses = {
                name: status
                for name, status in self.statuses.items()
                if status.state != EndpointState.REMOVED
            }

    def _is_unavailable(self, record: EndpointRecord) -> bool:
        if record.state == EndpointState.DRAINING:
            return True
        return record.state == EndpointState.REMOVED and self.removal_is_binding
