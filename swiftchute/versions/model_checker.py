"""Explores a small model of `sync` exhaustively: every order of loss, duplication, reordering and restarts.

    result = explore(Model(proxy_count=2, version_count=3, channel_capacity=1))

The real sender and receiver produce the states. The search is breadth first, so that the trace to a violated
invariant is the shortest one. Invariants, in every state:

- a proxy holds no table, or a version that the control plane made;
- while no message to it is in flight, a proxy holds the version that the control plane assumes it holds;
- once the channel is reliable, the proxy reaches the wanted version.

The channel holds a bounded number of messages and responses; sending into a full channel is not explored (the
sender has one message in flight; the rest are messages it gave up that are not lost yet).
"""

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from swiftchute.versions.encoding import Table, TableEntry
from swiftchute.versions.history import VersionHistory
from swiftchute.versions.sync import Message, Receiver, Response, Sender

MAX_RELIABLE_STEPS = 8  # on a reliable channel, by which a proxy must hold the wanted version
MAX_MESSAGES_PER_STREAM = 3  # beyond this the model's sender has to open a new stream
DEFAULT_MAX_STATES = 2_000_000
COMMON_ENTRIES = 8  # shared by all versions, so that a delta is smaller than a whole table

MakeSender = Callable[[VersionHistory], Sender]
MakeReceiver = Callable[[], Receiver]
StateKey = tuple[Any, ...]  # hashable; equal for indistinguishable states


@dataclass(slots=True)
class ProxyState:
    """Sender and receiver of one proxy, and what is in flight between them."""

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
        """Return an independent copy."""
        sender, receiver = copy.copy(self.sender), copy.copy(self.receiver)
        sender.rejected = self.sender.rejected.copy()
        return ProxyState(sender, receiver, self.messages, self.responses)

    def drop_message(self, index: int) -> None:
        """Remove a message from the channel."""
        self.messages = self.messages[:index] + self.messages[index + 1 :]

    def drop_response(self, index: int) -> None:
        """Remove a response from the channel."""
        self.responses = self.responses[:index] + self.responses[index + 1 :]

    def send(self) -> None:
        """Send the next message, if there is one."""
        message = self.sender.next_message()
        if message is not None:
            self.messages = (*self.messages, message)

    def deliver_message(self, index: int, duplicate: bool) -> None:
        """Deliver any message of the channel; a duplicated one stays there."""
        response = self.receiver.on_message(self.messages[index])
        if not duplicate:
            self.drop_message(index)
        if response is not None:
            self.responses = (*self.responses, response)

    def deliver_response(self, index: int, duplicate: bool) -> None:
        """Deliver any response of the channel; a duplicated one stays there."""
        self.sender.on_response(self.responses[index])
        if not duplicate:
            self.drop_response(index)

    def time_out(self) -> None:
        """Let the sender give up the message in flight."""
        self.sender.on_timeout()

    def reconnect(self) -> None:
        """End the stream and drop all that is in flight; on the next one the proxy reports what it holds."""
        self.messages, self.responses = (), ()
        self.receiver.reset()
        self.sender.reset(self.receiver.held_version)

    def reaches_wanted(self) -> bool:
        """Return whether the proxy reaches the wanted version on a reliable channel; modifies the state."""
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
    """The wanted version, as an index, and the state of all proxies."""

    version: int
    proxies: list[ProxyState]

    def key(self) -> StateKey:
        """Return a value that is equal for equal states, in any order of the proxies, as all behave alike."""
        return (self.version, *sorted((proxy.key() for proxy in self.proxies), key=repr))

    def copy_with_proxy(self, index: int) -> tuple["ModelState", ProxyState]:
        """Return a copy in which one proxy can be modified independently, and that proxy."""
        proxies = list(self.proxies)
        proxies[index] = proxies[index].copy()
        return ModelState(self.version, proxies), proxies[index]


class Action(NamedTuple):
    """An event that may happen to a proxy: its description for the trace, and its effect."""

    description: str
    apply: Callable[[ProxyState], None]


def _bind(method: Callable[..., None], *arguments: Any) -> Callable[[ProxyState], None]:
    """Bind arguments to a method of `ProxyState`."""
    return lambda proxy: method(proxy, *arguments)


class Step(NamedTuple):
    """A successor state, with its description for the trace."""

    description: str
    state: ModelState


class _Visit(NamedTuple):
    parent: StateKey | None
    description: str


@dataclass
class Exploration:
    """Result of an exploration.

    Attributes:
        states: Number of distinct states.
        steps: Number of transitions between them.
        broken: The violated invariant, or why the exploration is incomplete; "" if neither.
        trace: The shortest sequence of steps to the violation.
    """

    states: int = 0
    steps: int = 0
    broken: str = ""
    trace: list[str] = field(default_factory=list)


class Model:
    """The control plane's versions, and the transitions between states."""

    def __init__(
        self,
        proxy_count: int,
        version_count: int,
        channel_capacity: int,
        make_sender: MakeSender = Sender,
        make_receiver: MakeReceiver = Receiver,
    ) -> None:
        """Make the versions and the initial state.

        Args:
            proxy_count: Number of proxies.
            version_count: Number of versions, which become wanted one after the other.
            channel_capacity: Maximum number of messages, and of responses, in flight per proxy.
            make_sender: Makes a sender; may make one with a known bug.
            make_receiver: Makes a receiver; may make one with a known bug.
        """
        self.channel_capacity = channel_capacity
        self.make_sender = make_sender
        self.history = VersionHistory("0")
        self.versions = self._record_versions(version_count)
        self.initial_state = ModelState(
            0, [ProxyState(make_sender(self.history), make_receiver()) for _ in range(proxy_count)]
        )
        for proxy in self.initial_state.proxies:
            proxy.sender.set_wanted(self.versions[0])

    def _record_versions(self, count: int) -> list[bytes]:
        common = [TableEntry(f"s{index}", "z", 1) for index in range(COMMON_ENTRIES)]
        versions = []
        for number in range(count):
            changing = TableEntry("ab"[number % 2], "z", number + 1)
            table = Table((), tuple(sorted([*common, changing], key=lambda entry: entry.endpoint)))
            change = self.history.record("t", table, 0, "health")
            assert change is not None, "each version differs from the one before"
            versions.append(change.version)
        return versions

    def steps(self, state: ModelState) -> Iterator[Step]:
        """Yield all successors of a state."""
        if state.version + 1 < len(self.versions):
            proxies = [proxy.copy() for proxy in state.proxies]
            for proxy in proxies:
                proxy.sender.set_wanted(self.versions[state.version + 1])
            yield Step(f"version {state.version + 1} is wanted", ModelState(state.version + 1, proxies))
        for index, proxy in enumerate(state.proxies):
            for action in self._actions(proxy):
                successor, changed_proxy = state.copy_with_proxy(index)
                action.apply(changed_proxy)
                yield Step(f"proxy {index}: {action.description}", successor)

    def _actions(self, proxy: ProxyState) -> Iterator[Action]:
        """Yield the events that may happen to one proxy."""
        if self._may_send(proxy):
            yield Action("send", ProxyState.send)
        yield from self._message_actions(proxy)
        yield from self._response_actions(proxy)
        if proxy.sender.in_flight is not None:
            yield Action("sender times out", ProxyState.time_out)
        yield Action("stream breaks", ProxyState.reconnect)
        yield Action("control plane restarts", self._restart_sender)

    def _may_send(self, proxy: ProxyState) -> bool:
        return (
            proxy.sender.in_flight is None
            and len(proxy.messages) < self.channel_capacity
            and proxy.sender.number < MAX_MESSAGES_PER_STREAM
        )

    def _message_actions(self, proxy: ProxyState) -> Iterator[Action]:
        for index, message in enumerate(proxy.messages):
            kind = "whole table" if isinstance(message.update, Table) else "delta"
            name = f"{kind} {message.number}"
            yield Action(f"{name} is lost", _bind(ProxyState.drop_message, index))
            if len(proxy.responses) < self.channel_capacity:
                yield Action(f"{name} arrives", _bind(ProxyState.deliver_message, index, False))
                yield Action(
                    f"{name} arrives and stays in the channel",
                    _bind(ProxyState.deliver_message, index, True),
                )

    @staticmethod
    def _response_actions(proxy: ProxyState) -> Iterator[Action]:
        for index, response in enumerate(proxy.responses):
            name = f"response {response.number}"
            yield Action(f"{name} is lost", _bind(ProxyState.drop_response, index))
            yield Action(f"{name} arrives", _bind(ProxyState.deliver_response, index, False))
            yield Action(
                f"{name} arrives and stays in the channel", _bind(ProxyState.deliver_response, index, True)
            )

    def _restart_sender(self, proxy: ProxyState) -> None:
        """Restart the control plane: it keeps its tables, and knows of the proxy only what it reports."""
        wanted = proxy.sender.wanted_version
        proxy.sender = self.make_sender(self.history)
        if wanted is not None:
            proxy.sender.set_wanted(wanted)
        proxy.reconnect()

    def violation(self, state: ModelState) -> str:
        """Return the invariant that a state violates; "" if there is none."""
        known_versions = {*self.versions, None}
        for proxy in state.proxies:
            held = proxy.receiver.held_version
            if held not in known_versions:
                return "a proxy holds a version that the control plane never made"
            is_idle = proxy.sender.in_flight is None and not proxy.messages
            if is_idle and proxy.sender.held_version not in (None, held):
                return "the control plane assumes a version that the proxy does not hold"
            if not proxy.copy().reaches_wanted():
                return "a proxy does not reach the wanted version over a reliable channel"
        return ""


def explore(model: Model, max_states: int = DEFAULT_MAX_STATES) -> Exploration:
    """Visit every state, breadth first; stop at a violated invariant or beyond `max_states` states."""
    result = Exploration()
    visits: dict[StateKey, _Visit] = {model.initial_state.key(): _Visit(None, "")}
    frontier = deque([model.initial_state])
    while frontier:
        state = frontier.popleft()
        result.broken = model.violation(state)
        if result.broken or len(visits) > max_states:
            result.broken = result.broken or f"exploration incomplete: more than {max_states} states"
            result.trace = _trace(visits, state.key())
            break
        for step in model.steps(state):
            result.steps += 1
            key = step.state.key()
            if key not in visits:
                visits[key] = _Visit(state.key(), step.description)
                frontier.append(step.state)
    result.states = len(visits)
    return result


def _trace(visits: dict[StateKey, _Visit], key: StateKey) -> list[str]:
    """Return the steps from the initial state to a visited one."""
    trace = []
    visit = visits[key]
    while visit.parent is not None:
        trace.append(visit.description)
        visit = visits[visit.parent]
    return trace[::-1]
