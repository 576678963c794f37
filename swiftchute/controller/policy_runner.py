"""The bare round loop of one planner, without I/O: calls in, the module, its timers and its faults.

    loop = Loop(settings, seed, make=Planner)
    loop.joined(proxy, zone, rate, fresh); loop.left(proxy); loop.news_of_list(scope, entries)
    loop.tell(call)
    done = loop.turn(now)       # call after any of these, and at loop.due; None if the module had no round
    loop.orders                 # tables, bindings and withdrawals as ordered
    loop.take_events()

It keeps the clock's rounds: the module is called once a turn with all that came in. `Core` adds to it what
fronts without a channel of their own need; the platform's front stands on it as it is.
"""

import random
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from swiftchute.api.commands import Policy
from swiftchute.api.endpoints import EndpointRecord, EndpointState
from swiftchute.api.events import EndpointListUpdate, Event, ProxyConnected, ProxyDisconnected, TimerFired
from swiftchute.api.settings import Settings
from swiftchute.controller.assignments import MAX_LOG_LINES_PER_ROUND, Assignments, RoundResult

S = 1_000_000_000
STALL = 2 * S  # a turn that comes so much later than it was due: this planner stood still
FAULTS, FAULT_SPAN = (
    5,
    60 * S,
)  # faults of the module within the span past which it waits before the next start
FAULT_WAIT = 10 * S
CALLS_MOST = 200_000  # calls that may wait for a round; joins, leaves and lists pass the bound, sums do not
EVENTS_MOST = 2 * MAX_LOG_LINES_PER_ROUND  # events that may wait to be taken; past it they are counted
IDLE = 1 * S  # a turn at least so often


@dataclass
class Joined:
    """A proxy that takes this planner's messages."""

    zone: str
    rate: float


class Loop:
    """The state of one module's life, and of the next one's after a fault."""

    record = Joined  # what is kept of a proxy

    def __init__(
        self,
        settings: Settings,
        seed: int,
        make: Callable[[Settings, int], Policy],
        now: int = 0,
        lenient: bool = False,
    ) -> None:
        """`make` builds the module, anew after each of its faults; `lenient` is as in `Orders`."""
        self.set, self.make, self.random, self.ignore_invalid_weights = (
            settings,
            make,
            random.Random(seed),
            lenient,
        )
        self.planner: Policy | None = make(settings, seed)
        self.proxies: dict[Any, Any] = {}
        self.list: dict[str, EndpointRecord] = {}
        self.calls: list[Event] = []
        self.timers: list[tuple[int, int]] = []
        self.faults: deque[int] = deque(maxlen=FAULTS)
        self.asleep: int | None = None  # until when the module is not started again
        self.turned = now
        self.counts = dict.fromkeys(("rounds", "faults", "calls_lost", "events_lost"), 0)
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.assignments = Assignments(settings, lenient)

    def event(self, event: str, **fields: Any) -> None:
        """An event for the log, told with the next turn."""
        if len(self.events) >= EVENTS_MOST:
            self.counts["events_lost"] += 1
        else:
            self.events.append((event, fields))

    def take_events(self) -> list[tuple[str, dict[str, Any]]]:
        """The events since the last call."""
        out, self.events = self.events, []
        return out

    # -- in

    def joined(self, proxy: Any, zone: str, rate: float, fresh: bool) -> None:
        """A proxy takes this planner's messages from now on; it is bound to nothing yet."""
        self.proxies[proxy] = self.record(zone, rate)
        self.assignments.on_proxy_connected(proxy, zone)
        self.calls.append(ProxyConnected(proxy, zone, rate, fresh))

    def left(self, proxy: Any) -> bool:
        """Its stream broke: what waits for it is lost. False if it had not joined."""
        if self.proxies.pop(proxy, None) is None:
            return False
        self.assignments.on_proxy_disconnected(proxy)
        self.calls.append(ProxyDisconnected(proxy))
        return True

    def news_of_list(self, scope: str, entries: Iterable[EndpointRecord]) -> None:
        """News of the list, in the words of `interface`; what is kept here is for the module's next start."""
        entries = list(entries)
        if scope in ("whole", "held"):
            self.list = {}
        for entry in entries:
            if entry.state == EndpointState.REMOVED:
                self.list.pop(entry.endpoint, None)
            else:
                self.list[entry.endpoint] = entry
        self.calls.append(EndpointListUpdate(scope, entries))

    def tell(self, call: Event) -> None:
        """A sum or an answer for the module; past the bound it is lost and counted."""
        if len(self.calls) >= CALLS_MOST:
            self.counts["calls_lost"] += 1
        else:
            self.calls.append(call)

    # -- a turn

    @property
    def due(self) -> int:
        """When the next turn is due."""
        times = [self.turned + IDLE, *(when for when, _ in self.timers)]
        return min(times if self.asleep is None else [*times, self.asleep])

    def turn(self, now: int) -> RoundResult | None:
        """Call the module if anything came in or is due; what it ordered, or None."""
        self._wake(now)
        return self._round(now) if self.calls and self.planner is not None else None

    def _wake(self, now: int) -> None:
        if now - self.turned > IDLE + STALL:
            # Nothing decided before the gap waits anywhere but in the channel, and a push is of the state of
            # now: what was overtaken is never sent. The drains that came meanwhile are in this round's calls.
            self.event("stood still", seconds=round((now - self.turned) / S, 1))
        self.turned = now
        due = [timer for timer in self.timers if timer[0] <= now]
        if due:
            self.timers = [timer for timer in self.timers if timer[0] > now]
            self.calls += [TimerFired(token) for _, token in due]
        if self.asleep is not None and now >= self.asleep:
            self._start_again()

    def _round(self, now: int) -> RoundResult | None:
        calls, self.calls = self.calls, []
        self.counts["rounds"] += 1
        try:
            assert self.planner is not None
            self.planner.reconcile(now, calls, self.assignments)
        except Exception as why:  # the module's fault is this planner's, never silence
            self._fault(why, len(calls), now)
            return None
        done = self.assignments.finish_round()
        for text in done.log_lines:
            self.event("mode", text=text)
        self.timers += [(now + wait, token) for wait, token in done.timers]
        return done

    # -- the module's faults

    def _fault(self, why: Exception, calls: int, now: int) -> None:
        """The module failed: proxies keep their tables and it starts anew with the last list."""
        self.counts["faults"] += 1
        place = traceback.extract_tb(why.__traceback__)[-1]
        self.event(
            "module fault",
            error=f"{type(why).__name__}: {why}",
            at=f"{place.name}:{place.lineno}",
            calls=calls,
            faults=self.counts["faults"],
        )
        self._carry()
        self.planner, self.timers, self.asleep = None, [], now
        if len(self.faults) == FAULTS and now - self.faults[0] < FAULT_SPAN:
            # a fault that comes again at once would make the program spin and the log overflow
            self.asleep = now + int(FAULT_WAIT * self.random.uniform(0.5, 1.0))
            self.event("module waits", seconds=round((self.asleep - now) / S, 1), faults=FAULTS)
        self.faults.append(now)
        self._fresh()
        for proxy, joined in self.proxies.items():
            self.assignments.on_proxy_connected(proxy, joined.zone)

    def _carry(self) -> None:
        """What is kept of a module that failed, before its orders are dropped."""

    def _fresh(self) -> None:
        """Orders for a new module."""
        self.assignments = Assignments(self.set, self.ignore_invalid_weights)

    def _start_again(self) -> None:
        self.asleep = None
        self.planner = self.make(self.set, self.random.getrandbits(63))
        self.calls = (
            [EndpointListUpdate("held", [self.list[n] for n in sorted(self.list)])] if self.list else []
        )
        self.calls += [ProxyConnected(p, j.zone, j.rate, False) for p, j in self.proxies.items()]
        self.event("module started", proxies=len(self.proxies), servers=len(self.list))
