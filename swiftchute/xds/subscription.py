"""The state of one resource type on an ADS stream: requested names, held resources, the pending response.

Source: the page "xDS REST and gRPC protocol" of the xDS documentation (versions, nonces, ACK, NACK,
wildcards, incremental xDS).
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

from swiftchute.xds import names
from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.messages import AdsRequest
from swiftchute.xds.resources import Resource

SECOND_NS = 1_000_000_000
MAX_NAMES = 16_384  # per type that a client may subscribe to, so that its state stays bounded
MAX_REJECTED_VERSIONS = 16  # remembered per resource, so that they are not sent again
MIN_RETRY_DELAY_NS = 1 * SECOND_NS  # from a rejection to the next new version; doubles with each rejection
MAX_RETRY_DELAY_NS = 64 * SECOND_NS
MIN_JITTER_FACTOR = 0.5
WILDCARD = "*"


@dataclass
class PendingResponse:
    """A response that the client has neither acknowledged nor rejected."""

    nonce: str
    since_ns: int
    resources: dict[str, Resource]
    removed: tuple[str, ...]
    full_state: bool  # a resource that is missing from it is removed


@dataclass
class Rejections:
    """Versions of a resource that the client rejected, and when another may be sent."""

    versions: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_REJECTED_VERSIONS))
    next_delay_ns: int = MIN_RETRY_DELAY_NS
    retry_at_ns: int = 0

    def add(self, version: str, now_ns: int, random: Random) -> None:
        """Record a rejected version; each one lengthens the delay of the next version, with jitter."""
        self.versions.append(version)
        delay_ns = int(self.next_delay_ns * random.uniform(MIN_JITTER_FACTOR, 1.0))
        self.retry_at_ns = now_ns + delay_ns
        self.next_delay_ns = min(2 * self.next_delay_ns, MAX_RETRY_DELAY_NS)


class Subscription:
    """The state of one resource type on a stream."""

    def __init__(self, type_url: str) -> None:
        """Start without requested names and held resources."""
        self.type_url = type_url
        self.requested = False  # a request for the type was received
        self.wildcard = False
        self.names: set[str] = set()
        self.unanswered: set[str] = set()  # requested names that need a response even if nothing changed
        self.unanswered_all = False  # all requested resources need a response even if nothing changed
        self.held: dict[str, Resource] = {}  # acknowledged
        self.last_nonce = ""
        self.pending: PendingResponse | None = None
        self.rejections: dict[str, Rejections] = {}
        self.isolated: set[str] = set()  # rejected together: each is sent alone to find the invalid one
        self.request_count = 0
        self.idle_inputs: tuple[Any, ...] | None = None  # for which there was nothing to send
        self._has_requested_names = False  # SotW: from then on a request without names no longer means all

    def holds(self, wanted: Resource) -> bool:
        """Whether the client acknowledged this version of a resource."""
        held = self.held.get(wanted.name)
        return held is wanted or (held is not None and held.version == wanted.version)

    def changed_by_pending(self, pending: PendingResponse) -> dict[str, Resource]:
        """Return the resources of a pending response that differ from those held."""
        return {name: sent for name, sent in pending.resources.items() if self.held.get(name) is not sent}

    def apply(self, pending: PendingResponse) -> None:
        """Apply an acknowledged response to the held resources."""
        if pending.full_state:
            self.held = dict(pending.resources)
        else:
            self.held |= pending.resources
        for name in pending.removed:
            self.held.pop(name, None)

    def reject(self, name: str, version: str, now_ns: int, random: Random) -> None:
        """Record that the client rejected a version of a resource."""
        self.rejections.setdefault(name, Rejections()).add(version, now_ns, random)
        self.isolated.discard(name)

    def update_sotw(self, requested_names: tuple[str, ...]) -> None:
        """Replace the names by those of a state-of-the-world request.

        Resources that the client unsubscribed from no longer count as held.

        Raises:
            ProtocolViolationError: There are too many names.
        """
        first, self.requested = not self.requested, True
        new_names = set(requested_names)
        _check_name_count(len(new_names))
        self._has_requested_names |= bool(new_names)
        wildcard = WILDCARD in new_names or (
            not self._has_requested_names and self.type_url in names.FULL_STATE_TYPES
        )
        new_names.discard(WILDCARD)
        self.unanswered |= new_names - self.names
        self.unanswered_all |= (wildcard and not self.wildcard) or (first and not new_names)
        for name in self.names - new_names:  # the client unsubscribed from it
            self.unanswered.discard(name)
            if not wildcard:
                self.held.pop(name, None)
        self.names, self.wildcard = new_names, wildcard

    def update_delta(self, request: AdsRequest) -> None:
        """Apply the subscriptions and unsubscriptions of a delta request.

        Raises:
            ProtocolViolationError: There are too many names.
        """
        first, self.requested = not self.requested, True
        if first:
            self._hold_initial(request.initial)
        added, dropped = set(request.subscribe), set(request.unsubscribe)
        implicit = first and not added and not dropped and self.type_url in names.FULL_STATE_TYPES
        if WILDCARD in added or implicit:
            self.wildcard = True
        if WILDCARD in dropped:
            self.wildcard = False
        added.discard(WILDCARD)
        self.names = (self.names | added) - dropped
        _check_name_count(len(self.names))
        self.unanswered = (self.unanswered | added) - dropped
        if first:  # after a reconnect only resources that differ from the client's versions are sent
            self.unanswered -= request.initial.keys()
        for name in dropped:
            self._drop(name)

    def _hold_initial(self, versions: Mapping[str, str]) -> None:
        for name, version in list(versions.items())[:MAX_NAMES]:
            self.held[name] = Resource(self.type_url, name, b"", version)

    def _drop(self, name: str) -> None:
        if name.endswith("/*"):
            for entry in [held for held in self.held if held.startswith(name[:-1])]:
                self.held.pop(entry)
        elif not self.wildcard:
            self.held.pop(name, None)


def _check_name_count(count: int) -> None:
    if count > MAX_NAMES:
        text = f"subscription to {count} names of one type, at most {MAX_NAMES} are allowed"
        raise ProtocolViolationError("RESOURCE_EXHAUSTED", text)
