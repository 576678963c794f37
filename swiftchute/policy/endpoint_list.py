"""The endpoint list: applies updates, and renews a lost subscription with backoff."""

from swiftchute.api.endpoints import EndpointRecord, EndpointState, ListScope
from swiftchute.api.events import EndpointListUpdate
from swiftchute.policy.conditions import report_condition
from swiftchute.policy.model import Endpoint
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_S

INITIAL_BACKOFF_NS = 1 * NS_PER_S
MAX_BACKOFF_NS = 8 * NS_PER_S
BACKOFF_JITTER = (0.5, 1.0)  # range of the factor of a delay, so that instances do not resubscribe together
_LIST_LOST_CONDITION = "list lost"


class EndpointListSubscription:
    """Applies endpoint list updates, and renews the subscription after it was lost.

    Attributes:
        listed_count: Number of different endpoints ever listed.
        retry_at_ns: Time of the next subscription attempt, None while subscribed.
    """

    def __init__(self, subscribe_at_start: bool) -> None:
        """Create the subscription: due at once if `subscribe_at_start`, else already made by the caller."""
        self.listed_count = 0
        self.retry_at_ns: int | None = 0 if subscribe_at_start else None
        self._backoff_ns = INITIAL_BACKOFF_NS

    def apply(self, state: PolicyState, update: EndpointListUpdate) -> None:
        """Apply a full list, changes to it, or the loss of the subscription."""
        if update.scope == ListScope.UNAVAILABLE:
            self._schedule_retry(state)
            return
        records = update.endpoints
        report_condition(state, _LIST_LOST_CONDITION, False, f"{len(records)} entries")
        self._backoff_ns = INITIAL_BACKOFF_NS
        if update.scope in (ListScope.SNAPSHOT, ListScope.CACHED):
            records = [*records, *_removal_records(state, records)]
        for record in records:
            self._apply_record(state, record)

    def subscribe_if_due(self, state: PolicyState) -> None:
        """Subscribe to the endpoint list once the backoff has passed."""
        if self.retry_at_ns is not None and state.now_ns >= self.retry_at_ns:
            self.retry_at_ns = None
            state.commands.subscribe(True)

    def _schedule_retry(self, state: PolicyState) -> None:
        delay_ns = int(self._backoff_ns * state.random.uniform(*BACKOFF_JITTER))
        self.retry_at_ns = state.now_ns + delay_ns
        self._backoff_ns = min(2 * self._backoff_ns, MAX_BACKOFF_NS)
        report_condition(state, _LIST_LOST_CONDITION, True, f"asked again in {delay_ns / NS_PER_S:.1f} s")

    def _apply_record(self, state: PolicyState, record: EndpointRecord) -> None:
        """Create or update an endpoint; a restart discards its earlier measurements."""
        known = state.endpoints.get(record.endpoint)
        if known is None:
            state.endpoints[record.endpoint] = Endpoint(record, self.listed_count)
            self.listed_count += 1
        elif record.started_ns != known.started_ns:
            state.endpoints[record.endpoint] = Endpoint(record, known.listing_index, known.subset)
        else:
            _update_endpoint(known, record, state.settings.removal_is_binding)


def _removal_records(state: PolicyState, records: list[EndpointRecord]) -> list[EndpointRecord]:
    """Return a removal record for each known endpoint that a full list does not contain."""
    listed = {record.endpoint for record in records}
    return [
        EndpointRecord(
            name,
            endpoint.zone,
            "",
            0,
            EndpointState.REMOVED,
            endpoint.listed_weight,
            endpoint.started_ns,
        )
        for name, endpoint in state.endpoints.items()
        if name not in listed
    ]


def _update_endpoint(endpoint: Endpoint, record: EndpointRecord, removal_is_binding: bool) -> None:
    """Update state and weight; a non-binding removal only marks a ready endpoint as suspected removed."""
    removed = record.state == EndpointState.REMOVED and not removal_is_binding
    endpoint.suspected_removed = removed and endpoint.is_ready
    endpoint.set_state(EndpointState.READY if endpoint.suspected_removed else record.state)
    endpoint.listed_weight = record.weight
