"""Explores a small model of `sync` completely: every interleaving of loss, duplication, reordering, restarts.

    result = explore(Model(proxy_count=2, version_count=3, channel_capacity=1))

States are made by the real sender and receiver, breadth first, so that a violated invariant comes with its
shortest trace. Invariants, in every state:

- a proxy holds nothing, or a version that the control plane made;
- what the control plane takes a proxy to hold it does hold, while nothing is in flight to it;
- once the channel is reliable, the proxy reaches the wanted version.

The channel holds a bounded number of messages and responses; sending into a full one is not explored (the
sender has one message in flight, and what was given up but not lost yet takes the rest).
"""

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from swiftchute.versions.encoding import Table, TableEntry
from swiftchute.versions.history import VersionHistory
from swiftchute.versions.sync import Message, Receiver, Response, Sender

MAX_RELIABLE_STEPS = 8  # on a reliable channel within which a proxy must hold the wanted version
MAX_MESSAGES_PER_STREAM = 3  # past it the model's sender opens a new stream
DEFAULT_MAX_STATES = 2_000_000
COMMON_ENTRIES = 8  # that all versions share, so that a delta is smaller than a whole table

MakeSender = Callable[[VersionHistory], Sender]
MakeReceiver = Callable[[], Receiver]
StateKey = tuple[Any, ...]  # hashable; equal for states that cannot be told apart


@dataclass(slots=True)
class ProxyState:
    """One proxy with its two ends and what is in flight between them."""

    sender: Sender
    receiver: Receiver
    messages: tuple[Message, ...] = ()
    responses: tuple[Response, ...] = ()

    def key(self) -> StateKey:
        """Return a value that is equal for equal states."""
        sender, receiver = self.sender, self.receiver
        return (
            sender.held_version,
            sender.in_flight,
            sender.number,
            tuple(sender.rejected),
            receiver.table,
            receiver.number,
            self.messages,
            self.responses,
        )

    def copy(self) -> "ProxyState":
        """Return a copy that can be changed apart."""
        sender, receiver = copy.copy(self.sender), copy.copy(self.receiver)
        sender.rejected = self.sender.rejected.copy()
        return ProxyState(sender, receiver, self.messages, self.responses)

    def drop_message(self, place: int) -> None:
        """Remove a message from the channel."""
        self.messages = self.messages[:place] + self.messages[place + 1 :]

    def drop_response(self, place: int) -> None:
        """Remove a response from the channel."""
        self.responses = self.responses[:place] + self.responses[place + 1 :]

    def send(self) -> None:
        """Send what there is to send."""
        message = self.sender.next_message()
        if message is not None:
            self.messages = (*self.messages, message)

    def deliver_message(self, place: int, duplicate: bool) -> None:
        """Deliver a message, in any order; a duplicated one stays in the channel."""
        response = self.receiver.on_message(self.messages[place])
        if not duplicate:
            self.drop_message(place)
        if response is not None:
            self.responses = (*self.responses, response)

    def deliver_response(self, place: int, duplicate: bool) -> None:
        """Deliver a response, in any order; a duplicated one stays in the channel."""
        self.sender.on_response(self.responses[place])
        if not duplicate:
            self.drop_response(place)

    def time_out(self) -> None:
        """Let the sender give up the message in flight."""
        self.sender.on_timeout()

    def reconnect(self) -> None:
        """End the stream with all that is in flight; on the next the proxy says what it holds."""
        self.messages, self.responses = (), ()
        self.receiver.reset()
        self.sender.reset(self.receiver.held_version)

    def reaches_wanted(self) -> bool:
        """Return whether the proxy reaches the wanted version on a reliable channel; changes the state."""
        for _ in range(MAX_RELIABLE_STEPS):
            while self.messages:
                self.deliver_message(0, False)
            while self.responses:
                self.deliver_response(0, False)
            if self.sender.in_flight is not None:
                self.sender.on_timeout()
            self.send()
            if not self.messages and self.receiver.held_version == self.sender.wanted_version:
                return True
        return False


@dataclass(slots=True)
class ModelState:
    """The wanted version, by its place, and all proxies."""

    version: int
    proxies: list[ProxyState]

    def key(self) -> StateKey:
        """Return a value that is equal for equal states; proxies may be swapped, as all behave alike."""
        return (self.version, *sorted((proxy.key() for proxy in self.proxies), key=repr))

    def copy_with_own(self, place: int) -> tuple["ModelState", ProxyState]:
        """Return a copy in which one proxy can be changed apart, and that proxy."""
        proxies = list(self.proxies)
        proxies[place] = proxies[place].copy()
        return ModelState(self.version, proxies), proxies[place]


class Action(NamedTuple):
    """Something that may happen to a proxy: a text for the trace, and what it does."""

    description: str
    apply: Callable[[ProxyState], None]


def _bind(method: Callable[..., None], *arguments: Any) -> Callable[[ProxyState], None]:
    """Return a call of a method of a proxy's state with these arguments."""
    return lambda proxy: method(proxy, *arguments)


class Step(NamedTuple):
    """A state that may follow another: a text for the trace, and the state."""

    description: str
    state: ModelState


class _Visit(NamedTuple):
    parent: StateKey | None
    description: str


@dataclass
class Exploration:
    """What an exploration found.

    Attributes:
        states: Number of different states.
        steps: Number of steps between them.
        broken: The violated invariant, or why not all states were visited; "" if neither.
        trace: The shortest steps to the violation.
    """

    states: int = 0
    steps: int = 0
    broken: str = ""
    trace: list[str] = field(default_factory=list)


class Model:
    """The control plane's versions, and the rules by which states follow each other."""

    def __init__(
        self,
        proxy_count: int,
        version_count: int,
        channel_capacity: int,
        make_sender: MakeSender = Sender,
        make_receiver: MakeReceiver = Receiver,
    ) -> None:
        """Make the versions and the first state.

        Args:
            proxy_count: Number of proxies.
            version_count: Number of versions, wanted one after the other.
            channel_capacity: Messages, and responses, in flight for a proxy.
            make_sender: Makes a sender; another one may have a known bug.
            make_receiver: Makes a receiver; another one may have a known bug.
        """
        self.channel_capacity = channel_capacity
        self.make_sender = make_sender
        self.history = VersionHistory("0")
        self.versions = self._record_versions(version_count)
        self.first = ModelState(
            0, [ProxyState(make_sender(self.history), make_receiver()) for _ in range(proxy_count)]
        )
        for proxy in self.first.proxies:
            proxy.sender.set_wanted(self.versions[0])

    def _record_versions(self, count: int) -> list[bytes]:
        common = [TableEntry(f"s{place}", "z", 1) for place in range(COMMON_ENTRIES)]
        versions = []
        for number in range(count):
            changing = TableEntry("ab"[number % 2], "z", number + 1)
            table = Table((), tuple(sorted([*common, changing], key=lambda entry: entry.endpoint)))
            change = self.history.record("t", table, 0, "health")
            assert change is not None, "each version differs from the one before"
            versions.append(change.version)
        return versions

    def steps(self, state: ModelState) -> Iterator[Step]:
        """Yield all states that may follow a state."""
        if state.version + 1 < len(self.versions):
            proxies = [proxy.copy() for proxy in state.proxies]
            for proxy in proxies:
                proxy.sender.set_wanted(self.versions[state.version + 1])
            yield Step(f"version {state.version + 1} is wanted", ModelState(state.version + 1, proxies))
        for place, proxy in enumerate(state.proxies):
            for action in self._actions(proxy):
                following, own = state.copy_with_own(place)
                action.apply(own)
                yield Step(f"proxy {place}: {action.description}", following)

    def _actions(self, proxy: ProxyState) -> Iterator[Action]:
        """Yield what may happen to one proxy."""
        if self._may_send(proxy):
            yield Action("send", ProxyState.send)
        yield from self._message_actions(proxy)
        yield from self._response_actions(proxy)
        if proxy.sender.in_flight is not None:
            yield Action("no answer in time", ProxyState.time_out)
        yield Action("the stream breaks", ProxyState.reconnect)
        yield Action("the planner restarts", self._restart_sender)

    def _may_send(self, proxy: ProxyState) -> bool:
        return (
            proxy.sender.in_flight is None
            and len(proxy.messages) < self.channel_capacity
            and proxy.sender.number < MAX_MESSAGES_PER_STREAM
        )

    def _message_actions(self, proxy: ProxyState) -> Iterator[Action]:
        for place, message in enumerate(proxy.messages):
            kind = "whole" if isinstance(message.update, Table) else "delta"
            name = f"{kind} {message.number}"
            yield Action(f"{name} is lost", _bind(ProxyState.drop_message, place))
            if len(proxy.responses) < self.channel_capacity:
                yield Action(f"{name} arrives", _bind(ProxyState.deliver_message, place, False))
                yield Action(
                    f"{name} arrives, and will again",
                    _bind(ProxyState.deliver_message, place, True),
                )

    @staticmethod
    def _response_actions(proxy: ProxyState) -> Iterator[Action]:
        for place, response in enumerate(proxy.responses):
            name = f"answer {response.number}"
            yield Action(f"{name} is lost", _bind(ProxyState.drop_response, place))
            yield Action(f"{name} arrives", _bind(ProxyState.deliver_response, place, False))
            yield Action(f"{name} arrives, and will again", _bind(ProxyState.deliver_response, place, True))

    def _restart_sender(self, proxy: ProxyState) -> None:
        """Restart the control plane: it has its tables, and knows of the proxy only what that says."""
        wanted = proxy.sender.wanted_version
        proxy.sender = self.make_sender(self.history)
        if wanted is not None:
            proxy.sender.set_wanted(wanted)
        proxy.reconnect()

    def violation(self, state: ModelState) -> str:
        """Return the invariant that a state violates; "" if it violates none."""
        known_versions = {*self.versions, None}
        for proxy in state.proxies:
            held = proxy.receiver.held_version
            if held not in known_versions:
                return "a proxy holds what the planner never made"
            is_idle = proxy.sender.in_flight is None and not proxy.messages
            if is_idle and proxy.sender.held_version not in (None, held):
                return "the planner takes a proxy to hold what it does not"
            if not proxy.copy().reaches_wanted():
                return "on a good way a proxy does not come to the wanted version"
        return ""


def explore(model: Model, max_states: int = DEFAULT_MAX_STATES) -> Exploration:
    """Visit every state, breadth first; stop at the first violated invariant, or past `max_states` states."""
    result = Exploration()
    visits: dict[StateKey, _Visit] = {model.first.key(): _Visit(None, "")}
    waiting = deque([model.first])
    while waiting:
        state = waiting.popleft()
        result.broken = model.violation(state)
        if result.broken or len(visits) > max_states:
            result.broken = result.broken or f"more than {max_states} states: not explored whole"
            result.trace = _trace(visits, state.key())
            break
        for step in model.steps(state):
            result.steps += 1
            key = step.state.key()
            if key not in visits:
                visits[key] = _Visit(state.key(), step.description)
                waiting.append(step.state)
    result.states = len(visits)
    return result


def _trace(visits: dict[StateKey, _Visit], key: StateKey) -> list[str]:
    """Return the steps from the first state to a visited one."""
    trace = []
    visit = visits[key]
    while visit.parent is not None:
        trace.append(visit.description)
        visit = visits[visit.parent]
    return trace[::-1]
