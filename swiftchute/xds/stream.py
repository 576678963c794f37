"""One ADS stream, SotW or delta, without I/O: requests and wanted resources in, responses and events out.

    stream = AdsStream(delta=True, token="3", seed=7)
    stream.set_wanted(wanted, version="0/4/17", nonce=12, now_ns=now)
    events = stream.on_request(request, now)
    responses, events = stream.advance(now)

Call `advance` after each `on_request` and `set_wanted`, and at `retry_at_ns`. A type has at most one pending
response; what changes meanwhile is part of the next one.
"""

import operator
import random
from collections.abc import Collection
from dataclasses import dataclass

from swiftchute.xds import names
from swiftchute.xds.messages import AdsRequest, AdsResponse
from swiftchute.xds.resource_selection import ResourceSelector
from swiftchute.xds.resources import Resource, Wanted
from swiftchute.xds.subscription import PendingResponse, Subscription


@dataclass(frozen=True)
class Acknowledged:
    """Everything up to this nonce of the controller is acknowledged."""

    nonce: int


@dataclass(frozen=True)
class Rejected:
    """A NACK: the resources of the response, the client's words, and what is done about it."""

    kind: str  # type URL
    names: tuple[str, ...]
    detail: str
    answer: str  # "apart": sent one by one; "part": less the unavailable endpoints; "kept": stays as it is


@dataclass(frozen=True)
class StaleRequest:
    """An answer to a response that was replaced or never made; ignored."""

    kind: str  # type URL
    nonce: str


StreamEvent = Acknowledged | Rejected | StaleRequest
Reference = tuple[str, str]  # type URL and name of a resource


class AdsStream:
    """The state of one stream."""

    def __init__(self, delta: bool, token: str, seed: int, collections: bool = False) -> None:
        """Nothing is wanted and nothing was requested.

        Args:
            delta: Whether it is incremental xDS.
            token: Makes its nonces differ from those of other streams.
            seed: Seed of the jitter of retries.
            collections: Whether the client takes endpoints one by one (LEDS).
        """
        self.collections = collections
        self.subscriptions = {url: Subscription(url) for url in names.ORDER}
        self.wanted: Wanted | None = None
        self.unserved_requests = 0  # for types that are not served
        self.unanswered_since_ns: int | None = None
        self._delta = delta
        self._token = token
        self._random = random.Random(seed)
        self._selector = ResourceSelector(self.subscriptions, delta, collections)
        self._version = ""
        self._nonces: list[int] = []  # of the controller, not acknowledged
        self._response_count = 0

    @property
    def retry_at_ns(self) -> int | None:
        """When a rejected resource may be sent again, if one is held back."""
        return self._selector.retry_at_ns

    @property
    def unavailable(self) -> Collection[str]:
        """Endpoints that drain or are removed, whatever tables say."""
        return self._selector.unavailable

    @unavailable.setter
    def unavailable(self, endpoints: Collection[str]) -> None:
        self._selector.unavailable = endpoints

    def oldest_pending_ns(self) -> int | None:
        """Return since when the oldest pending response is unanswered."""
        pending = (s.pending.since_ns for s in self.subscriptions.values() if s.pending)
        return min(pending, default=None)

    def set_wanted(self, wanted: Wanted, version: str, nonce: int | None, now_ns: int) -> None:
        """Set what the client should hold from now on.

        Args:
            wanted: All resources.
            version: Version of the publication.
            nonce: The controller's nonce that an acknowledgement answers, if it asked for one.
            now_ns: Time of the publication.
        """
        self.wanted, self._version = wanted, version
        if nonce is not None:
            self._nonces.append(nonce)
        if self.unanswered_since_ns is None:
            self.unanswered_since_ns = now_ns

    def on_request(self, request: AdsRequest, now_ns: int) -> list[StreamEvent]:
        """Handle a request.

        Raises:
            ProtocolViolationError: The stream must end.
        """
        subscription = self.subscriptions.get(request.kind)
        if subscription is None:  # the protocol answers no type that is not served
            self.unserved_requests += 1
            return []
        subscription.request_count += 1
        if self.unanswered_since_ns is None:
            self.unanswered_since_ns = now_ns
        if self._delta:
            return self._on_delta_request(subscription, request, now_ns)
        return self._on_sotw_request(subscription, request, now_ns)

    def _on_sotw_request(
        self, subscription: Subscription, request: AdsRequest, now_ns: int
    ) -> list[StreamEvent]:
        if request.nonce and request.nonce != subscription.last_nonce:
            # The client will answer the newest response with the names that it wants then; an ACK of an older
            # one must not count for the newest.
            return [StaleRequest(subscription.type_url, request.nonce)]
        events: list[StreamEvent] = []
        if subscription.pending and request.nonce:
            events = self._on_answer(subscription, request, now_ns)
        subscription.update_sotw(request.names)
        return events

    def _on_delta_request(
        self, subscription: Subscription, request: AdsRequest, now_ns: int
    ) -> list[StreamEvent]:
        events: list[StreamEvent] = []
        if request.nonce:
            if subscription.pending and request.nonce == subscription.pending.nonce:
                events = self._on_answer(subscription, request, now_ns)
            else:
                events = [StaleRequest(subscription.type_url, request.nonce)]
        # Names change with every request, a stale one too: they are given once and not repeated.
        subscription.update_delta(request)
        return events

    def _on_answer(self, subscription: Subscription, request: AdsRequest, now_ns: int) -> list[StreamEvent]:
        pending, subscription.pending = subscription.pending, None
        assert pending is not None
        changed = subscription.changed_by_pending(pending)
        if request.error is None:
            self._on_ack(subscription, pending, changed)
            return []
        return [self._on_nack(subscription, changed, request.error, now_ns)]

    def _on_ack(
        self, subscription: Subscription, pending: PendingResponse, changed: dict[str, Resource]
    ) -> None:
        subscription.apply(pending)
        for name in changed:
            subscription.isolated.discard(name)
            wanted = self.wanted[subscription.type_url].get(name) if self.wanted else None
            if wanted is pending.resources[name]:
                subscription.rejections.pop(name, None)

    def _on_nack(
        self, subscription: Subscription, changed: dict[str, Resource], error: str, now_ns: int
    ) -> Rejected:
        """Leave what was held in force, and find a form that the client accepts."""
        if len(changed) > 1:
            subscription.isolated |= changed.keys()
            return Rejected(subscription.type_url, tuple(sorted(changed)), error, "apart")
        for name, resource in changed.items():
            subscription.reject(name, resource.version, now_ns, self._random)
        reducible = [
            name for name in changed if self._selector.without_unavailable(subscription, name) is not None
        ]
        return Rejected(subscription.type_url, tuple(changed), error, "part" if reducible else "kept")

    def advance(self, now_ns: int) -> tuple[list[AdsResponse], list[StreamEvent]]:
        """Return the responses that may be sent now, and what became of nonces."""
        self._selector.reset()
        if self.wanted is None:
            return [], []
        responses = self._next_responses(self.wanted, now_ns)
        pending = any(subscription.pending for subscription in self.subscriptions.values())
        if responses or pending or not self._is_settled(self.wanted):
            return responses, []
        self.unanswered_since_ns = None
        events: list[StreamEvent] = [Acknowledged(self._nonces[-1])] if self._nonces else []
        self._nonces = []
        return [], events

    def _next_responses(self, wanted: Wanted, now_ns: int) -> list[AdsResponse]:
        responses: list[AdsResponse] = []
        keep_held = not self._routes_are_current(wanted)
        for url in names.ORDER:
            subscription = self.subscriptions[url]
            if not subscription.requested or subscription.pending is not None:
                continue
            clusters = self.subscriptions[names.CDS].request_count
            # with the same inputs there is still nothing to send
            basis = (wanted[url], self.unavailable, subscription.request_count, clusters, keep_held)
            idle = subscription.idle_basis
            if not subscription.rejections and idle and all(map(operator.is_, basis, idle)):
                continue
            if url not in (names.LDS, names.RDS) or self._routes_are_ready(wanted):
                chosen = self._selector.choose(subscription, wanted, keep_held, now_ns)
                response = self._make_response(subscription, wanted, chosen, now_ns)
                subscription.idle_basis = None if response else basis
                if response:
                    responses.append(response)
        return responses

    def _make_response(
        self, subscription: Subscription, wanted: Wanted, chosen: dict[str, Resource], now_ns: int
    ) -> AdsResponse | None:
        assigned = bool(wanted[names.LDS])
        whole_state = not self._delta and subscription.type_url in names.FULL_STATE_TYPES
        if whole_state and not assigned:
            return None  # an empty whole state would tell the client that nothing exists
        changed = {
            name
            for name, resource in chosen.items() - subscription.held.items()
            if not subscription.holds(resource)
        }
        unanswered = set(chosen) if subscription.unanswered_all else subscription.unanswered & chosen.keys()
        if subscription.isolated & changed:
            changed, unanswered = {min(subscription.isolated & changed)}, set()
        removed: tuple[str, ...] = ()
        if whole_state:
            sent = self._whole_state(subscription, chosen, changed)
            if sent is None:
                return None
        else:
            sent = {name: chosen[name] for name in changed | unanswered}
            if self._delta and assigned:
                removed = self._removals(subscription, chosen)
                if removed and (subscription.isolated or subscription.rejections):
                    sent = {}  # alone: what is added beside it might be rejected, and the removal with it
            if not sent and not removed:
                return None
        return self._record(subscription, dict(sorted(sent.items())), removed, whole_state, now_ns)

    @staticmethod
    def _whole_state(
        subscription: Subscription, chosen: dict[str, Resource], changed: set[str]
    ) -> dict[str, Resource] | None:
        """Return a whole state: what may not be sent yet is in it as the client holds it. None: no need."""
        unchanged = {name: subscription.held[name] for name in chosen.keys() & subscription.held.keys()}
        sent = unchanged | {name: chosen[name] for name in changed}
        unanswered = subscription.unanswered or subscription.unanswered_all
        if not (changed or unanswered or subscription.held.keys() - sent.keys()):
            return None
        subscription.unanswered = set()
        return sent

    @staticmethod
    def _removals(subscription: Subscription, chosen: dict[str, Resource]) -> tuple[str, ...]:
        missing = {name for name in subscription.unanswered if name not in chosen and not name.endswith("/*")}
        return tuple(sorted(missing | (subscription.held.keys() - chosen.keys())))

    def _record(
        self,
        subscription: Subscription,
        sent: dict[str, Resource],
        removed: tuple[str, ...],
        whole_state: bool,
        now_ns: int,
    ) -> AdsResponse:
        """Make a response and remember it as pending."""
        self._response_count += 1
        nonce = f"{self._token}-{self._response_count}"
        subscription.last_nonce = nonce
        subscription.pending = PendingResponse(nonce, now_ns, sent, removed, whole_state)
        subscription.unanswered -= sent.keys() | set(removed)
        subscription.unanswered_all = False
        return AdsResponse(subscription.type_url, self._version, nonce, tuple(sent.values()), removed)

    def _routes_are_current(self, wanted: Wanted) -> bool:
        """Whether the client holds the wanted routes; until then nothing that its routes name is removed."""
        routes = self.subscriptions[names.RDS]
        if not routes.requested:
            return False
        of_type = wanted[names.RDS]
        wanted_names = self._selector.wanted_names(routes, wanted)
        return bool(of_type) and all(routes.holds(of_type[name]) for name in wanted_names)

    def _routes_are_ready(self, wanted: Wanted) -> bool:
        """Whether everything that new routes name is held, where the client gets clusters without asking.

        A client that asks for clusters by name learns of them from the routes, and keeps the old ones
        meanwhile.
        """
        if not self.subscriptions[names.CDS].wildcard:
            return True
        references = {ref for route in wanted[names.RDS].values() for ref in route.refs}
        return self._holds_all(references, wanted, current=False)

    def _is_settled(self, wanted: Wanted) -> bool:
        """Whether everything that is wanted is held, from the listeners down."""
        if self._selector.withheld or any(s.isolated for s in self.subscriptions.values()):
            return False
        if not wanted[names.LDS]:
            return True
        listeners = self._selector.wanted_names(self.subscriptions[names.LDS], wanted)
        references = {(names.LDS, name) for name in listeners}
        return bool(references) and self._holds_all(references, wanted, current=True)

    def _holds_all(self, references: set[Reference], wanted: Wanted, current: bool) -> bool:
        """Whether the client holds these resources and all that they name in turn.

        Args:
            references: Where to start.
            wanted: Everything that the client should hold.
            current: Whether the wanted versions are needed, or any.
        """
        while references:
            below: set[Reference] = set()
            for url, name in references:
                subscription, resource = self.subscriptions[url], wanted[url].get(name)
                if url == names.LEDS:
                    if name not in subscription.names:
                        return False
                    if not self._holds_entries(subscription, wanted.lines(name), current):
                        return False
                    continue
                held = subscription.held.get(name)
                outdated = current and resource is not None and not subscription.holds(resource)
                if held is None or outdated:
                    return False
                below.update((resource or held).refs)
            references = below
        return True

    @staticmethod
    def _holds_entries(subscription: Subscription, entries: dict[str, Resource], current: bool) -> bool:
        if not current:  # one entry is enough for a route to be of use
            return not subscription.held.keys().isdisjoint(entries)
        # as a rule they are the very same objects; those named at a reconnect are compared by version
        if entries.items() <= subscription.held.items():
            return True
        return all(subscription.holds(entry) for entry in entries.values())
