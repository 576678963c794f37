"""What one ADS stream knows of one resource type: names asked for, resources held, the pending response.

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
MAX_NAMES = 16_384  # that a client may subscribe to, by type: its memory here is bounded
MAX_REJECTED_VERSIONS = 16  # of a resource, that are remembered and not sent again
MIN_RETRY_DELAY_NS = 1 * SECOND_NS  # until a changed version follows a rejected one; doubles each time
MAX_RETRY_DELAY_NS = 64 * SECOND_NS
MIN_JITTER_FACTOR = 0.5
WILDCARD = "*"


@dataclass
class PendingResponse:
    """A response that the client has not answered."""

    nonce: str
    since_ns: int
    resources: dict[str, Resource]
    removed: tuple[str, ...]
    whole_state: bool  # what it does not name is gone


@dataclass
class Rejections:
    """Versions of a resource that the client rejected, and when another may be sent."""

    versions: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_REJECTED_VERSIONS))
    next_delay_ns: int = MIN_RETRY_DELAY_NS
    retry_at_ns: int = 0

    def add(self, version: str, now_ns: int, random: Random) -> None:
        """Note a rejected version; the next one waits longer, with jitter."""
        self.versions.append(version)
        delay_ns = int(self.next_delay_ns * random.uniform(MIN_JITTER_FACTOR, 1.0))
        self.retry_at_ns = now_ns + delay_ns
        self.next_delay_ns = min(2 * self.next_delay_ns, MAX_RETRY_DELAY_NS)


class Subscription:
    """The state of one resource type on a stream."""

    def __init__(self, type_url: str) -> None:
        """Nothing was asked for and nothing is held."""
        self.type_url = type_url
        self.requested = False  # a request for the type came
        self.wildcard = False
        self.names: set[str] = set()
        self.unanswered: set[str] = set()  # names to be answered even if nothing changed
        self.unanswered_all = False
        self.held: dict[str, Resource] = {}  # acknowledged
        self.last_nonce = ""
        self.pending: PendingResponse | None = None
        self.rejections: dict[str, Rejections] = {}
        self.isolated: set[str] = set()  # rejected together: each is sent alone to find the one at fault
        self.request_count = 0
        self.idle_basis: tuple[Any, ...] | None = None  # inputs for which there was nothing to send
        self._named = False  # SotW: names were given once, so that none means none and no longer all

    def holds(self, wanted: Resource) -> bool:
        """Whether the client acknowledged this version of a resource."""
        held = self.held.get(wanted.name)
        return held is wanted or (held is not None and held.version == wanted.version)

    def changed_by_pending(self, pending: PendingResponse) -> dict[str, Resource]:
        """Return the resources of a response that differ from what was held before it."""
        return {name: made for name, made in pending.resources.items() if self.held.get(name) is not made}

    def apply(self, pending: PendingResponse) -> None:
        """Hold what an acknowledged response carried."""
        if pending.whole_state:
            self.held = dict(pending.resources)
        else:
            self.held |= pending.resources
        for name in pending.removed:
            self.held.pop(name, None)

    def reject(self, name: str, version: str, now_ns: int, random: Random) -> None:
        """Note that the client rejected a version of a resource."""
        self.rejections.setdefault(name, Rejections()).add(version, now_ns, random)
        self.isolated.discard(name)

    def update_sotw(self, given_names: tuple[str, ...]) -> None:
        """Take the names of a state-of-the-world request, which replace those before.

        Raises:
            ProtocolViolationError: There are too many names.
        """
        first, self.requested = not self.requested, True
        given = set(given_names)
        _check_name_count(len(given))
        self._named |= bool(given)
        wildcard = WILDCARD in given or (not self._named and self.type_url in names.FULL_STATE_TYPES)
        given.discard(WILDCARD)
        self.unanswered |= given - self.names
        self.unanswered_all |= (wildcard and not self.wildcard) or (first and not given)
        for name in self.names - given:  # the client has dropped it
            self.unanswered.discard(name)
            if not wildcard:
                self.held.pop(name, None)
        self.names, self.wildcard = given, wildcard

    def update_delta(self, request: AdsRequest) -> None:
        """Take the changes of names of a delta request.

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
        if first:  # with versions given at a reconnect, only what differs has to be sent
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
        text = f"{count} names of one type; {MAX_NAMES} at most"
        raise ProtocolViolationError("RESOURCE_EXHAUSTED", text)
