"""The reconciliation round of the policy: turns events into commands."""

from collections.abc import Callable, Sequence
from typing import Any

from swiftchute.api.commands import CommandSink
from swiftchute.api.events import (
    DemandReport,
    EgressQueueObserved,
    EndpointListUpdate,
    EndpointLoadReport,
    Event,
    KeyRangeAssigned,
    KeyRangeDemandReport,
    KeyRangeEntryRestored,
    KeyRangeRevoked,
    PeerMessageReceived,
    ProbeCompleted,
    ProxyConnected,
    ProxyDisconnected,
    ProxyId,
    PushAcknowledged,
    TimerFired,
)
from swiftchute.api.settings import Settings
from swiftchute.policy.assignment import assign_proxies
from swiftchute.policy.desired_tables import compute_desired_tables
from swiftchute.policy.draining import Ejections
from swiftchute.policy.egress_budget import EgressBudget
from swiftchute.policy.endpoint_list import EndpointListSubscription
from swiftchute.policy.key_ranges import KeyRanges
from swiftchute.policy.load_stats import record_demand_report, record_load_report
from swiftchute.policy.model import Proxy
from swiftchute.policy.outlier_detection import OutlierDetector
from swiftchute.policy.overload_control import update_admission
from swiftchute.policy.publishing import publish_tables
from swiftchute.policy.slow_start import record_throughput
from swiftchute.policy.state import PolicyState
from swiftchute.policy.subsetting import form_subsets, rebalance
from swiftchute.policy.units import NS_PER_MS, NS_PER_S
from swiftchute.policy.zone_spillover import evaluate_spillover

EVALUATION_INTERVAL_NS = 1 * NS_PER_S  # reports lag: more frequent evaluations would act on some twice
TIMER_INTERVAL_NS = 100 * NS_PER_MS  # longest time between rounds while there are proxies or a pending retry
TIMER_ID = 1
FENCE_TIMER_ID = 2


class Reconciler:
    """One instance of the policy, for one incarnation.

    It implements `swiftchute.api.commands.Policy`.

    Attributes:
        state: State shared by the rules.
        endpoint_list: Subscription to the endpoint list.
        key_ranges: Key ranges that this instance owns.
        outlier_detector: Updates the health weights of the endpoints.
        budget: Limits what is written to the proxies.
        ejections: Endpoints that are currently ejected.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create an instance whose random draws start from `seed`."""
        self.state = PolicyState(settings, seed)
        self.endpoint_list = EndpointListSubscription(settings.list_needs_subscription)
        self.key_ranges = KeyRanges()
        self.outlier_detector = OutlierDetector()
        self.budget = EgressBudget()
        self.ejections = Ejections()
        self._evaluated_at_ns = 0
        self._timer_running = False
        self._fence_timer_ns: int | None = None  # when the latest timer for a fence fires
        self._handlers = self._event_handlers()

    def reconcile(self, now_ns: int, events: Sequence[Event], commands: CommandSink) -> None:
        """Handle the events of a round and issue the commands that follow from them.

        Args:
            now_ns: Time of the round in nanoseconds; never earlier than that of the last round.
            events: All events since the last round, in the order in which they came in.
            commands: Receives the commands of the round, in order.
        """
        self.state.now_ns, self.state.commands = now_ns, commands
        self.budget.begin_round()
        for event in events:
            self._handlers[type(event)](event)
        self.endpoint_list.subscribe_if_due(self.state)
        evaluation_due = self.state.now_ns - self._evaluated_at_ns >= EVALUATION_INTERVAL_NS
        if evaluation_due:
            self._evaluated_at_ns = self.state.now_ns
        if self.state.settings.key_range_count:
            self._update_key_ranges(evaluation_due)
        else:
            self._update_tables(events, evaluation_due)
            self._publish()
        self._start_timer()

    def _update_key_ranges(self, evaluation_due: bool) -> None:
        """Write due changes of key ranges, within the egress budget."""
        if evaluation_due:
            self.budget.update_channel_speed(self.state)
        self.key_ranges.update(self.state, self.budget, evaluation_due)
        self.budget.end_round(self.state)
        self._start_fence_timer()

    def _start_fence_timer(self) -> None:
        """Start a timer for a fence that ends before the ordinary timer fires."""
        due_ns = self.key_ranges.next_due_ns(self.state, self.budget)
        if due_ns is None or due_ns == self._fence_timer_ns:
            return
        if 0 < due_ns - self.state.now_ns < TIMER_INTERVAL_NS:
            self._fence_timer_ns = due_ns
            self.state.commands.start_timer(due_ns - self.state.now_ns, FENCE_TIMER_ID)

    def _update_tables(self, events: Sequence[Event], evaluation_due: bool) -> None:
        """Run an evaluation if one is due, and recompute the desired tables after it or a list update."""
        if not evaluation_due and not any(isinstance(event, EndpointListUpdate) for event in events):
            return
        form_subsets(self.state)
        if evaluation_due:
            self._evaluate()
        compute_desired_tables(self.state)

    def _evaluate(self) -> None:
        """Update health, spillover, admission and subsets from the recent reports."""
        state = self.state
        self.budget.update_channel_speed(state)
        state.load_ratios = dict.fromkeys(state.load_ratios)  # unknown without recent reports
        ready = state.ready_endpoints()
        if self.outlier_detector.evaluate(state, ready):
            record_throughput(state, ready)
            evaluate_spillover(state)
        update_admission(state)
        rebalance(state)

    def _publish(self) -> None:
        """Write due changes to the proxies, within the egress budget."""
        publish_tables(self.state, self.budget)
        assign_proxies(self.state, self.budget)
        self.ejections.update(self.state, self.budget)
        self.ejections.forget_removed(self.state)
        self.budget.end_round(self.state)

    def _start_timer(self) -> None:
        """Start the timer unless it runs already or nothing can become due."""
        waiting = (
            self.state.proxies or self.key_ranges.is_waiting or self.endpoint_list.retry_at_ns is not None
        )
        if waiting and not self._timer_running:
            self._timer_running = True
            self.state.commands.start_timer(TIMER_INTERVAL_NS, TIMER_ID)

    def _event_handlers(self) -> dict[type[Event], Callable[[Any], None]]:
        state = self.state
        return {
            EndpointListUpdate: self._on_list_update,
            ProxyConnected: self._on_proxy_connected,
            ProxyDisconnected: lambda event: self._disconnect(event.proxy),
            EndpointLoadReport: lambda event: record_load_report(state, event),
            DemandReport: lambda event: record_demand_report(state, event),
            PushAcknowledged: lambda event: self.budget.on_push_acknowledged(state, event),
            EgressQueueObserved: self.budget.on_egress_queue_observed,
            TimerFired: self._on_timer_fired,
            KeyRangeAssigned: lambda event: self.key_ranges.on_assigned(state, event),
            KeyRangeRevoked: self.key_ranges.on_revoked,
            KeyRangeEntryRestored: self.key_ranges.on_entry_restored,
            KeyRangeDemandReport: lambda event: self.key_ranges.on_demand_report(state, event),
            # these events change nothing
            ProbeCompleted: _ignore,
            PeerMessageReceived: _ignore,
        }

    def _on_list_update(self, event: EndpointListUpdate) -> None:
        self.endpoint_list.apply(self.state, event)
        self.key_ranges.on_list_update()

    def _on_proxy_connected(self, event: ProxyConnected) -> None:
        self._disconnect(event.proxy)
        self.key_ranges.on_proxy_connected(event.proxy)
        self.state.proxies[event.proxy] = Proxy(event.zone, event.request_rate)

    def _disconnect(self, proxy: ProxyId) -> None:
        """Remove a proxy and release its unacknowledged entries."""
        known = self.state.proxies.pop(proxy, None)
        if known is not None:
            self.budget.release(known)
            self.key_ranges.on_proxy_lost(self.state, proxy)

    def _on_timer_fired(self, event: TimerFired) -> None:
        if event.timer_id == TIMER_ID:
            self._timer_running = False


def _ignore(event: Event) -> None:
    """Handle an event that changes nothing."""
