"""Runs the policy in rounds and restarts it after a crash. No I/O and no clock: the caller passes the time.

    runner = PolicyRunner(settings, seed, Reconciler)
    runner.on_proxy_connected(proxy, zone, request_rate, fresh)
    runner.enqueue(event)
    result = runner.run_round(now)      # after any event, and at `runner.next_deadline_ns`
    runner.assignments                  # tables, assignments and ejections as commanded

The policy receives all events since the last round in one call. A policy that raises an exception is replaced
by a new one, which receives the last endpoint list and the connected proxies.
"""

import random
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from swiftchute.api.commands import Policy
from swiftchute.api.endpoints import EndpointRecord, EndpointState, ListScope
from swiftchute.api.events import (
    EgressQueueObserved,
    EndpointListUpdate,
    Event,
    ProxyConnected,
    ProxyDisconnected,
    TimerFired,
)
from swiftchute.api.settings import Settings
from swiftchute.controller.assignments import Assignments, RoundResult
from swiftchute.controller.log_events import EventLog, LogEvent

NS_PER_S = 1_000_000_000
IDLE_ROUND_INTERVAL_NS = 1 * NS_PER_S  # longest time between two rounds
EVENT_LOOP_STALL_NS = 2 * NS_PER_S  # a round that is late by more than this is logged as a stall
MAX_CRASHES_IN_WINDOW = 5  # one more crash within the window delays the restart
CRASH_WINDOW_NS = 60 * NS_PER_S
MAX_RESTART_DELAY_NS = 10 * NS_PER_S  # the delay is random, from half of this on
MAX_PENDING_EVENTS = 200_000  # beyond it reports and acknowledgements are dropped, other events never

PolicyFactory = Callable[[Settings, int], Policy]


@dataclass(slots=True)
class ConnectedProxy:
    """A proxy that receives messages from this instance."""

    zone: str
    request_rate: float


class PendingTimer(NamedTuple):
    """A timer started by the policy."""

    deadline_ns: int
    timer_id: int


@dataclass(slots=True)
class RunnerCounters:
    """Totals since the start."""

    rounds: int = 0
    crashes: int = 0
    events_dropped: int = 0


class CrashObserver(Protocol):
    """Called when the policy has crashed, before and after its assignments are replaced."""

    def before_policy_reset(self) -> None:
        """Called before the assignments of the crashed policy are dropped."""

    def after_policy_reset(self) -> None:
        """Called with empty assignments, before the connected proxies are added."""


class PolicyRunner:
    """The policy of one instance, its pending events and timers, and its commanded assignments."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        policy_factory: PolicyFactory,
        now: int = 0,
        ignore_invalid_weights: bool = False,
        crash_observer: CrashObserver | None = None,
    ) -> None:
        """Create the first policy; `policy_factory` also creates the replacements after crashes.

        `ignore_invalid_weights` has the same meaning as in `Assignments`.
        """
        self.settings, self.policy_factory, self.random = settings, policy_factory, random.Random(seed)
        self.ignore_invalid_weights, self.crash_observer = ignore_invalid_weights, crash_observer
        self.policy: Policy | None = policy_factory(settings, seed)
        self.proxies: dict[Any, ConnectedProxy] = {}
        self.endpoint_records: dict[str, EndpointRecord] = {}
        self.pending_events: list[Event] = []
        self.timers: list[PendingTimer] = []
        self.crash_times: deque[int] = deque(maxlen=MAX_CRASHES_IN_WINDOW)
        self.restart_at_ns: int | None = None  # set from a crash until the restart
        self.queued_entries = 0  # in the channel; set by a frontend that counts what it writes
        self.last_round_ns = now
        self.counters = RunnerCounters()
        self.event_log = EventLog()
        self.assignments = Assignments(settings, ignore_invalid_weights)

    @property
    def counts(self) -> dict[str, int]:
        """Totals since the start, keyed by their names in the log."""
        return {
            "rounds": self.counters.rounds,
            "faults": self.counters.crashes,
            "calls_lost": self.counters.events_dropped,
            "events_lost": self.event_log.dropped,
        }

    def log_event(self, name: str, /, **fields: Any) -> None:
        """Add a log event."""
        self.event_log.add(name, **fields)

    def drain_log_events(self) -> list[LogEvent]:
        """Return the log events since the last call."""
        return self.event_log.drain()

    def on_proxy_connected(self, proxy: Any, zone: str, request_rate: float, fresh: bool) -> None:
        """Register a proxy that connected to this instance; it has no assignments yet."""
        self.proxies[proxy] = ConnectedProxy(zone, request_rate)
        self.assignments.on_proxy_connected(proxy, zone)
        self.pending_events.append(ProxyConnected(proxy, zone, request_rate, fresh))

    def on_proxy_disconnected(self, proxy: Any) -> bool:
        """Remove a proxy; return False if it was not connected."""
        if self.proxies.pop(proxy, None) is None:
            return False
        self.assignments.on_proxy_disconnected(proxy)
        self.pending_events.append(ProxyDisconnected(proxy))
        return True

    def on_endpoint_list(self, scope: ListScope | str, records: Iterable[EndpointRecord]) -> None:
        """Queue an endpoint list for the policy, and store it for the next restart."""
        records = list(records)
        if scope in (ListScope.SNAPSHOT, ListScope.CACHED):
            self.endpoint_records = {}
        for record in records:
            if record.state == EndpointState.REMOVED:
                self.endpoint_records.pop(record.endpoint, None)
            else:
                self.endpoint_records[record.endpoint] = record
        self.pending_events.append(EndpointListUpdate(scope, records))

    def enqueue(self, event: Event) -> None:
        """Queue a report or an acknowledgement; beyond `MAX_PENDING_EVENTS` it is dropped and counted."""
        if len(self.pending_events) >= MAX_PENDING_EVENTS:
            self.counters.events_dropped += 1
        else:
            self.pending_events.append(event)

    @property
    def next_deadline_ns(self) -> int:
        """When the next round is due if no event arrives earlier."""
        deadlines = [self.last_round_ns + IDLE_ROUND_INTERVAL_NS, *(t.deadline_ns for t in self.timers)]
        return min(deadlines if self.restart_at_ns is None else [*deadlines, self.restart_at_ns])

    def run_round(self, now: int) -> RoundResult | None:
        """Run the policy if it has pending events; return its commands, None if it did not run or crashed."""
        self.check_timeouts(now)
        return self.reconcile(now) if self.has_work else None

    @property
    def has_work(self) -> bool:
        """Whether there are pending events, and a running policy to handle them."""
        return bool(self.pending_events) and self.policy is not None

    def check_timeouts(self, now: int) -> None:
        """Log a stall of the event loop, fire due timers, and restart the policy if its delay is over."""
        if now - self.last_round_ns > IDLE_ROUND_INTERVAL_NS + EVENT_LOOP_STALL_NS:
            # Nothing outdated is sent: decisions from before the stall wait in the egress queue at most, and
            # a push carries the current state. Drains that arrived meanwhile are among this round's events.
            self.log_event("event loop stalled", seconds=round((now - self.last_round_ns) / NS_PER_S, 1))
        self.last_round_ns = now
        due = [timer for timer in self.timers if timer.deadline_ns <= now]
        if due:
            self.timers = [timer for timer in self.timers if timer.deadline_ns > now]
            self.pending_events += [TimerFired(timer.timer_id) for timer in due]
        if self.restart_at_ns is not None and now >= self.restart_at_ns:
            self._restart_policy()

    def reconcile(self, now: int) -> RoundResult | None:
        """Pass the pending events to the policy; return its commands, or None if it crashed."""
        assert self.policy is not None
        events, self.pending_events = self.pending_events, []
        if self.queued_entries:  # last: the policy compares it with its own count after the other events
            events.append(EgressQueueObserved(self.queued_entries))
        self.counters.rounds += 1
        try:
            self.policy.reconcile(now, events, self.assignments)
        except Exception as error:  # a policy crash must not end the process
            self._on_policy_crash(error, len(events), now)
            return None
        result = self.assignments.finish_round()
        for text in result.log_lines:
            self.log_event("condition changed", text=text)
        self.timers += [PendingTimer(now + timer.delay_ns, timer.timer_id) for timer in result.timers]
        return result

    def _on_policy_crash(self, error: Exception, event_count: int, now: int) -> None:
        """Drop the policy and its assignments; proxies keep their tables until the policy is restarted."""
        self.counters.crashes += 1
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.log_event(
            "policy crashed",
            error=f"{type(error).__name__}: {error}",
            at=f"{frame.name}:{frame.lineno}",
            calls=event_count,
            faults=self.counters.crashes,
        )
        if self.crash_observer is not None:
            self.crash_observer.before_policy_reset()
        self.policy, self.timers, self.restart_at_ns = None, [], now
        if len(self.crash_times) == MAX_CRASHES_IN_WINDOW and now - self.crash_times[0] < CRASH_WINDOW_NS:
            # immediate restarts of a policy that keeps crashing would use up the CPU and flood the log
            self.restart_at_ns = now + int(MAX_RESTART_DELAY_NS * self.random.uniform(0.5, 1.0))
            delay_s = round((self.restart_at_ns - now) / NS_PER_S, 1)
            self.log_event("policy restart delayed", seconds=delay_s, faults=MAX_CRASHES_IN_WINDOW)
        self.crash_times.append(now)
        self.assignments = Assignments(self.settings, self.ignore_invalid_weights)
        if self.crash_observer is not None:
            self.crash_observer.after_policy_reset()
        for proxy, connected in self.proxies.items():
            self.assignments.on_proxy_connected(proxy, connected.zone)

    def _restart_policy(self) -> None:
        self.restart_at_ns = None
        self.policy = self.policy_factory(self.settings, self.random.getrandbits(63))
        records = [self.endpoint_records[endpoint] for endpoint in sorted(self.endpoint_records)]
        self.pending_events = [EndpointListUpdate(ListScope.CACHED, records)] if records else []
        self.pending_events += [
            ProxyConnected(proxy, connected.zone, connected.request_rate, False)
            for proxy, connected in self.proxies.items()
        ]
        self.log_event("policy restarted", proxies=len(self.proxies), servers=len(self.endpoint_records))
