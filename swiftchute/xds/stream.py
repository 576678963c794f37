"""The protocol state of one ADS stream, SotW or delta, without I/O.

    stream = AdsStream(delta=True, token="3", seed=7)
    stream.set_wanted(wanted, version="0/4/17", nonce=12, now_ns=now)
    events = stream.on_request(request, now)
    responses, events = stream.advance(now)

Call `advance` after each `on_request` and `set_wanted`, and at `retry_at_ns`. A type has at most one pending
response; changes that come meanwhile are merged into the next one.
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
    """The client holds everything up to this nonce of the controller."""

    nonce: int


@dataclass(frozen=True)
class Rejected:
    """A NACK: the changed resources of the response, the client's error text, and how the stream reacts."""

    type_url: str
    names: tuple[str, ...]
    detail: str
    answer: str  # "apart": sent one by one; "part": sent without unavailable endpoints; "kept": not sent


@dataclass(frozen=True)
class StaleRequest:
    """An answer to a superseded or unknown response; it is ignored."""

    type_url: str
    nonce: str


StreamEvent = Acknowledged | Rejected | StaleRequest
Reference = tuple[str, str]  # type URL and name of a resource


class AdsStream:
    """The state of one stream."""

    def __init__(self, delta: bool, token: str, seed: int, collections: bool = False) -> None:
        """Start without wanted resources and subscriptions.

        Args:
            delta: Whether the stream uses incremental xDS.
            token: Prefix of its nonces, unique among streams.
            seed: Seed of the retry jitter.
            collections: Whether the client takes entries as resources of their own (LEDS).
        """
        self.collections = collections
        self.subscriptions = {url: Subscription(url) for url in names.ORDER}
        self.wanted: Wanted | None = None
        self.unserved_requests = 0  # for types that are not served
        self.unsettled_since_ns: int | None = None  # since when not everything wanted is known to be held
        self._delta = delta
        self._token = token
        self._random = random.Random(seed)
        self._selector = ResourceSelector(self.subscriptions, delta, collections)
        self._version = ""
        self._nonces: list[int] = []  # the controller's, not yet acknowledged
        self._response_count = 0

    @property
    def retry_at_ns(self) -> int | None:
        """When another version of a rejected resource may be sent, if one is withheld."""
        return self._selector.retry_at_ns

    @property
    def unavailable(self) -> Collection[str]:
        """Draining or removed endpoints, even if tables still have them."""
        return self._selector.unavailable

    @unavailable.setter
    def unavailable(self, endpoints: Collection[str]) -> None:
        self._selector.unavailable = endpoints

    def oldest_pending_ns(self) -> int | None:
        """Return when the oldest pending response was made, or None."""
        pending = (s.pending.since_ns for s in self.subscriptions.values() if s.pending)
        return min(pending, default=None)

    def set_wanted(self, wanted: Wanted, version: str, nonce: int | None, now_ns: int) -> None:
        """Set what the client should hold from now on.

        Args:
            wanted: All resources.
            version: Version of the publication.
            nonce: The controller's nonce, reported back once everything is held, if it asked for that.
            now_ns: Time of the publication.
        """
        self.wanted, self._version = wanted, version
        if nonce is not None:
            self._nonces.append(nonce)
        if self.unsettled_since_ns is None:
            self.unsettled_since_ns = now_ns

    def on_request(self, request: AdsRequest, now_ns: int) -> list[StreamEvent]:
        """Handle a request.

        Raises:
            ProtocolViolationError: The request is invalid, and the stream must end.
        """
        subscription = self.subscriptions.get(request.type_url)
        if subscription is None:  # xDS: requests for types that are not served get no response
            self.unserved_requests += 1
            return []
        subscription.request_count += 1
        if self.unsettled_since_ns is None:
            self.unsettled_since_ns = now_ns
        if self._delta:
            return self._on_delta_request(subscription, request, now_ns)
        return self._on_sotw_request(subscription, request, now_ns)

    def _on_sotw_request(
        self, subscription: Subscription, request: AdsRequest, now_ns: int
    ) -> list[StreamEvent]:
        if request.nonce and request.nonce != subscription.last_nonce:
            # The client will answer the newest response with the names that it wants then; an ACK of an older
            # response must not count for the newest.
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
        # Apply the names of stale requests too: a delta client sends each change of names only once.
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
        """Keep what the client holds, and decide what to send instead of the rejected resources."""
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
        """Return the responses that may be sent now, and an acknowledgement if everything is held."""
        self._selector.reset()
        if self.wanted is None:
            return [], []
        responses = self._next_responses(self.wanted, now_ns)
        pending = any(subscription.pending for subscription in self.subscriptions.values())
        if responses or pending or not self._is_settled(self.wanted):
            return responses, []
        self.unsettled_since_ns = None
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
            cds_request_count = self.subscriptions[names.CDS].request_count
            # skip a type that had nothing to send for the same inputs
            inputs = (wanted[url], self.unavailable, subscription.request_count, cds_request_count, keep_held)
            idle = subscription.idle_inputs
            if not subscription.rejections and idle and all(map(operator.is_, inputs, idle)):
                continue
            if url not in (names.LDS, names.RDS) or self._routes_are_ready(wanted):
                chosen = self._selector.choose(subscription, wanted, keep_held, now_ns)
                response = self._make_response(subscription, wanted, chosen, now_ns)
                subscription.idle_inputs = None if response else inputs
                if response:
                    responses.append(response)
        return responses

    def _make_response(
        self, subscription: Subscription, wanted: Wanted, chosen: dict[str, Resource], now_ns: int
    ) -> AdsResponse | None:
        """Return the next response of a type, recorded as pending; None if there is nothing to send."""
        has_tables = bool(wanted[names.LDS])
        full_state = not self._delta and subscription.type_url in names.FULL_STATE_TYPES
        if full_state and not has_tables:
            return None  # an empty full state would remove everything that the client has
        changed = {
            name
            for name, resource in chosen.items() - subscription.held.items()
            if not subscription.holds(resource)
        }
        unanswered = set(chosen) if subscription.unanswered_all else subscription.unanswered & chosen.keys()
        if subscription.isolated & changed:  # one alone, whichever, so that a NACK tells that it is invalid
            changed, unanswered = {min(subscription.isolated & changed)}, set()
        to_remove: tuple[str, ...] = ()
        if full_state:
            to_send = self._full_state(subscription, chosen, changed)
            if to_send is None:
                return None
        else:
            to_send = {name: chosen[name] for name in changed | unanswered}
            if self._delta and has_tables:
                to_remove = self._removals(subscription, chosen)
                if to_remove and (subscription.isolated or subscription.rejections):
                    to_send = {}  # a rejected addition in the same response would reject the removal too
            if not to_send and not to_remove:
                return None
        return self._record(subscription, dict(sorted(to_send.items())), to_remove, full_state, now_ns)

    @staticmethod
    def _full_state(
        subscription: Subscription, chosen: dict[str, Resource], changed: set[str]
    ) -> dict[str, Resource] | None:
        """Return the full state, with the held version of what may not be sent yet; None if not needed.

        Clears `unanswered`, as a full state answers the requests for all names.
        """
        unchanged = {name: subscription.held[name] for name in chosen.keys() & subscription.held.keys()}
        to_send = unchanged | {name: chosen[name] for name in changed}
        unanswered = subscription.unanswered or subscription.unanswered_all
        if not (changed or unanswered or subscription.held.keys() - to_send.keys()):
            return None
        subscription.unanswered = set()
        return to_send

    @staticmethod
    def _removals(subscription: Subscription, chosen: dict[str, Resource]) -> tuple[str, ...]:
        missing = {name for name in subscription.unanswered if name not in chosen and not name.endswith("/*")}
        return tuple(sorted(missing | (subscription.held.keys() - chosen.keys())))

    def _record(
        self,
        subscription: Subscription,
        to_send: dict[str, Resource],
        to_remove: tuple[str, ...],
        full_state: bool,
        now_ns: int,
    ) -> AdsResponse:
        """Create a response and record it as pending."""
        self._response_count += 1
        nonce = f"{self._token}-{self._response_count}"
        subscription.last_nonce = nonce
        subscription.pending = PendingResponse(nonce, now_ns, to_send, to_remove, full_state)
        subscription.unanswered -= to_send.keys() | set(to_remove)
        subscription.unanswered_all = False
        return AdsResponse(subscription.type_url, self._version, nonce, tuple(to_send.values()), to_remove)

    def _routes_are_current(self, wanted: Wanted) -> bool:
        """Whether the client holds the wanted routes; until then nothing that its routes use is removed."""
        routes = self.subscriptions[names.RDS]
        if not routes.requested:
            return False
        of_type = wanted[names.RDS]
        wanted_names = self._selector.wanted_names(routes, wanted)
        return bool(of_type) and all(routes.holds(of_type[name]) for name in wanted_names)

    def _routes_are_ready(self, wanted: Wanted) -> bool:
        """Whether the client holds what new routes refer to, or requests clusters by name.

        A client that requests clusters by name learns the names from the routes, and keeps its old clusters
        meanwhile.
        """
        if not self.subscriptions[names.CDS].wildcard:
            return True
        references = {ref for route in wanted[names.RDS].values() for ref in route.refs}
        return self._holds_all(references, wanted, current=False)

    def _is_settled(self, wanted: Wanted) -> bool:
        """Whether the client holds everything wanted, starting from the listeners.

        It lacks resources that were rejected or have to be sent alone. A client that has requested none of
        the wanted listeners holds nothing yet.
        """
        if self._selector.withheld or any(s.isolated for s in self.subscriptions.values()):
            return False
        if not wanted[names.LDS]:
            return True
        listeners = self._selector.wanted_names(self.subscriptions[names.LDS], wanted)
        references = {(names.LDS, name) for name in listeners}
        return bool(references) and self._holds_all(references, wanted, current=True)

    def _holds_all(self, references: set[Reference], wanted: Wanted, current: bool) -> bool:
        """Whether the client holds these resources and all that they refer to, transitively.

        Args:
            references: The resources to start from.
            wanted: Everything that the client should hold.
            current: Whether the wanted versions are required; any version counts otherwise.
        """
        while references:
            next_references: set[Reference] = set()
            for url, name in references:
                subscription, resource = self.subscriptions[url], wanted[url].get(name)
                if url == names.LEDS:
                    if name not in subscription.names:
                        return False
                    if not self._holds_entries(subscription, wanted.entries(name), current):
                        return False
                    continue
                held = subscription.held.get(name)
                outdated = current and resource is not None and not subscription.holds(resource)
                if held is None or outdated:
                    return False
                next_references.update((resource or held).refs)
            references = next_references
        return True

    @staticmethod
    def _holds_entries(subscription: Subscription, entries: dict[str, Resource], current: bool) -> bool:
        if not current:  # a route is usable with one entry
            return not subscription.held.keys().isdisjoint(entries)
        # usually the same objects; those that a client listed at a reconnect are compared by version
        if entries.items() <= subscription.held.items():
            return True
        return all(subscription.holds(entry) for entry in entries.values())
