"""The small model of `sync`, explored whole: every interleaving of loss, doubling, reordering and restarts.

    found = explore(proxies=2, versions=3, channel=1)     # Found(states, steps, broken, trace)

States are made by the real sender and receiver, breadth first, so that a broken invariant comes with its
shortest trace. Invariants, in every state:

- a proxy holds nothing, or a version that the planner made;
- what the planner knows a proxy to hold it does hold, while nothing is under way to it;
- once the way is good, the proxy comes to the wanted version.

The channel holds a bounded number of messages and answers; sending into a full one is not explored (the
sender has one message under way, and what was given up but not lost yet takes the rest).
"""

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from swiftchute.versions.encoding import Table
from swiftchute.versions.history import VersionHistory
from swiftchute.versions.sync import Answer, Message, Receiver, Sender

PATIENCE = 8  # steps on a good way within which a proxy must hold the wanted version
NUMBERS = 3  # messages numbered on one stream: past it the model's sender opens a new one


@dataclass
class _Proxy:
    sender: Sender
    receiver: Receiver
    there: tuple[Message, ...] = ()
    back: tuple[Answer, ...] = ()

    def key(self) -> tuple[Any, ...]:
        s, r = self.sender, self.receiver
        return (s.held, s.out, s.number, tuple(s.rejected), r.table, r.number, self.there, self.back)

    def copied(self) -> "_Proxy":
        sender, receiver = copy.copy(self.sender), copy.copy(self.receiver)
        sender.rejected = self.sender.rejected.copy()
        return _Proxy(sender, receiver, self.there, self.back)


@dataclass
class _State:
    version: int
    proxies: list[_Proxy]

    def key(self) -> tuple[Any, ...]:
        # which proxy is which does not matter: both follow the same rules
        return (self.version, *sorted((p.key() for p in self.proxies), key=repr))

    def copied(self, place: int) -> tuple["_State", _Proxy]:
        proxies = list(self.proxies)
        proxies[place] = proxies[place].copied()
        return _State(self.version, proxies), proxies[place]


@dataclass
class Exploration:
    """What an exploration came to: states, steps between them, and a broken invariant with its shortest
    trace."""

    states: int = 0
    steps: int = 0
    broken: str = ""
    trace: list[str] = field(default_factory=list)


class Model:
    """The planner's versions and the rules by which states follow each other."""

    def __init__(
        self,
        proxies: int,
        versions: int,
        channel: int,
        sender: Callable[[VersionHistory], Sender] = Sender,
        receiver: Callable[[], Receiver] = Receiver,
    ) -> None:
        """`sender` and `receiver` may be others, with a known bug put back in."""
        self.channel, self.make, self.receiver = channel, sender, receiver
        self.history = VersionHistory("0")
        lines = [("a", "z", 1), ("b", "z", 1), *((f"s{k}", "z", 1) for k in range(8))]
        made = [
            Table((), tuple(sorted([*lines[2:], (lines[v % 2][0], "z", v + 1)]))) for v in range(versions)
        ]
        self.versions = [self.history.note("t", table, 0, "health").version for table in made]
        self.first = _State(0, [_Proxy(sender(self.history), receiver()) for _ in range(proxies)])
        for proxy in self.first.proxies:
            proxy.sender.want(self.versions[0])

    def steps(self, state: _State) -> Iterator[tuple[str, _State]]:
        """All states that may follow, with what happens."""
        if state.version + 1 < len(self.versions):
            proxies = [p.copied() for p in state.proxies]
            for p in proxies:
                p.sender.want(self.versions[state.version + 1])
            yield f"version {state.version + 1} is wanted", _State(state.version + 1, proxies)
        for place, proxy in enumerate(state.proxies):
            for what, act in self.acts(proxy):
                after, changed = state.copied(place)
                act(changed)
                yield f"proxy {place}: {what}", after

    def acts(self, p: _Proxy) -> Iterator[tuple[str, Callable[[_Proxy], None]]]:
        """What may happen to one proxy."""
        if p.sender.out is None and len(p.there) < self.channel and p.sender.number < NUMBERS:
            yield "send", self.send
        for k, message in enumerate(p.there):
            kind = "whole" if isinstance(message.way, Table) else "delta"
            named = f"{kind} {message.number}"
            yield f"{named} is lost", lambda c, k=k: setattr(c, "there", c.there[:k] + c.there[k + 1 :])
            if len(p.back) < self.channel:
                yield f"{named} arrives", lambda c, k=k: self.arrive(c, k, False)
                yield f"{named} arrives, and will again", lambda c, k=k: self.arrive(c, k, True)
        for k, answer in enumerate(p.back):
            yield (
                f"answer {answer.number} is lost",
                lambda c, k=k: setattr(c, "back", c.back[:k] + c.back[k + 1 :]),
            )
            yield f"answer {answer.number} arrives", lambda c, k=k: self.said(c, k, False)
            yield f"answer {answer.number} arrives, and will again", lambda c, k=k: self.said(c, k, True)
        if p.sender.out is not None:
            yield "no answer in time", lambda c: c.sender.lost()
        yield "the stream breaks", self.restart
        yield "the planner restarts", self.reborn

    @staticmethod
    def send(p: _Proxy) -> None:
        """Send what there is to send."""
        message = p.sender.next()
        if message is not None:
            p.there = (*p.there, message)

    @staticmethod
    def arrive(p: _Proxy, k: int, again: bool) -> None:
        """A message arrives, in any order."""
        answer = p.receiver.take(p.there[k])
        if not again:
            p.there = p.there[:k] + p.there[k + 1 :]
        if answer is not None:
            p.back = (*p.back, answer)

    @staticmethod
    def said(p: _Proxy, k: int, again: bool) -> None:
        """An answer arrives, in any order."""
        p.sender.answer(p.back[k])
        if not again:
            p.back = p.back[:k] + p.back[k + 1 :]

    @staticmethod
    def restart(p: _Proxy) -> None:
        """A stream ends with all that is under way; on the next the proxy says what it holds."""
        p.there, p.back = (), ()
        p.receiver.reset()
        p.sender.reset(p.receiver.holds)

    def reborn(self, p: _Proxy) -> None:
        """The planner comes back with its tables, and knows nothing of the proxy but what it says."""
        wanted = p.sender.wanted
        p.sender = self.make(self.history)
        p.sender.want(wanted)
        self.restart(p)

    def broken(self, state: _State) -> str:
        """The invariant that a state breaks, "" for none."""
        made = {*self.versions, None}
        for p in state.proxies:
            if p.receiver.holds not in made:
                return "a proxy holds what the planner never made"
            if p.sender.out is None and not p.there and p.sender.held not in (None, p.receiver.holds):
                return "the planner takes a proxy to hold what it does not"
            if not self.comes(p.copied()):
                return "on a good way a proxy does not come to the wanted version"
        return ""

    def comes(self, p: _Proxy) -> bool:
        """Whether a proxy comes to the wanted version once nothing is lost and all comes in order."""
        for _ in range(PATIENCE):
            while p.there:
                self.arrive(p, 0, False)
            while p.back:
                self.said(p, 0, False)
            if p.sender.out is not None:
                p.sender.lost()
            self.send(p)
            if not p.there and p.receiver.holds == p.sender.wanted:
                return True
        return False


def explore(model: Model, most: int = 2_000_000) -> Exploration:
    """Visit every state, breadth first; stops at the first broken invariant, or past `most` states."""
    found = Exploration()
    seen: dict[tuple[Any, ...], tuple[tuple[Any, ...] | None, str]] = {model.first.key(): (None, "")}
    waiting = deque([model.first])
    while waiting:
        state = waiting.popleft()
        found.broken = model.broken(state)
        if found.broken or len(seen) > most:
            found.broken = found.broken or f"more than {most} states: not explored whole"
            key: tuple[Any, ...] | None = state.key()
            while key is not None:
                key, what = seen[key]
                found.trace.insert(0, what) if what else None
            break
        for what, after in model.steps(state):
            found.steps += 1
            key = after.key()
            if key not in seen:
                seen[key] = (state.key(), what)
                waiting.append(after)
    found.states = len(seen)
    return found


class _TakesLate(Receiver):
    def take(self, message: Message, taken: bool = True) -> Answer | None:
        self.number = message.number - 1
        return super().take(message, taken)


class _TakesAnyAnswer(Sender):
    def answer(self, said: Answer) -> bool:
        self.out, self.held = None, said.holds
        return True


class _TrustsSilence(Sender):
    def lost(self) -> None:
        self.out = None


class _AppliesBlindly(Receiver):
    def take(self, message: Message, taken: bool = True) -> Answer | None:
        answer = super().take(message, taken)
        if answer is not None and not isinstance(message.way, Table) and answer.holds != message.version:
            lines = {line[0]: line for line in self.table.lines} if self.table else {}
            lines |= {line[0]: line for line in message.way.put}
            self.table = Table((), tuple(sorted(lines.values())))
            return Answer(message.number, message.version)
        return answer


# known bugs that can be put back in: (sender, receiver)
KNOWN_BUGS: dict[str, tuple[Callable[[VersionHistory], Sender], Callable[[], Receiver]]] = {
    "takes late messages": (Sender, _TakesLate),
    "takes any answer": (_TakesAnyAnswer, Receiver),
    "trusts silence": (_TrustsSilence, Receiver),
    "applies blindly": (_TrustsSilence, _AppliesBlindly),
}
