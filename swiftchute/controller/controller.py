"""The controller of one instance, without I/O.

It takes events from the frontends and from discovery, and returns pushes for proxies and log events:

    controller = Controller(settings, seed, Reconciler)
    controller.on_proxy_connected(proxy, zone, request_rate, fresh)
    controller.on_list_update(change)
    output = controller.run_round(now)      # after any event, and at `controller.next_deadline_ns`
    output.pushes                           # send `controller.tables_of(proxy)` to each of these proxies

The policy decides on endpoints, weights, admission rates and assignments. The controller runs the policy,
applies the safety rules to its tables, records their versions and limits the rate of pushes. Frontends store
no tables; they send `tables_of(proxy)`.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from swiftchute.api.events import PushAcknowledged
from swiftchute.api.settings import Settings
from swiftchute.controller.acknowledgements import NonceTracker
from swiftchute.controller.assignments import Assignments, RoundResult
from swiftchute.controller.canary_rollout import CanaryRollout
from swiftchute.controller.egress_queue import EgressQueue
from swiftchute.controller.endpoint_directory import EndpointDirectory
from swiftchute.controller.load_aggregation import LoadAggregator, LoadReport
from swiftchute.controller.log_events import LogEvent
from swiftchute.controller.policy_runner import ConnectedProxy, PolicyFactory, PolicyRunner
from swiftchute.controller.safety_review import SafetyReview
from swiftchute.controller.table_contents import ProxyTables, TableContent, TableContents
from swiftchute.controller.version_control import VersionControl
from swiftchute.controller.version_state import RetentionSettings, VersionState
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.safety.observed_traffic import ObservedTraffic
from swiftchute.safety.proposal import SafetyRules
from swiftchute.safety.publish_gate import PublishGate
from swiftchute.versions.table_log import ChangeCause, VersionChange

MAX_LOGGED_WEIGHTS = 8  # invalid weights listed in one log event


class Push(NamedTuple):
    """A message that updates a proxy to `tables_of(proxy)` and asks it to acknowledge the nonce, if any."""

    proxy: Any
    nonce: int | None


@dataclass(slots=True)
class RoundOutput:
    """Work for the frontends after a round."""

    pushes: list[Push] = field(default_factory=list)
    overflowed_proxies: list[Any] = field(default_factory=list)  # to disconnect: the egress queue has no room
    log_events: list[LogEvent] = field(default_factory=list)


class Controller:
    """The state of one instance; it lasts as long as the process."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        policy_factory: PolicyFactory,
        now: int = 0,
        safety_rules: SafetyRules | None = None,
        enforce: bool = True,
        retention: RetentionSettings | None = None,
    ) -> None:
        """Start the first policy.

        Without `safety_rules`, tables are published as commanded. Without `enforce`, violations of the safety
        rules are logged, and the tables are published nevertheless.
        """
        self.settings, self.safety_rules, self.enforce = settings, safety_rules, enforce
        self.runner = PolicyRunner(
            settings,
            seed,
            policy_factory,
            now,
            ignore_invalid_weights=safety_rules is not None and enforce,
            crash_observer=self,
        )
        self.directory = EndpointDirectory(settings.max_warmup_ns, settings.removal_is_binding)
        self.load_aggregator = LoadAggregator(settings.report_rate_entries_per_s, settings.report_interval_ns)
        versions = self.versions = VersionState.empty(settings.instance, retention or RetentionSettings())
        self.history, self.deliveries, self.pins = versions.history, versions.deliveries, versions.pins
        self.rejections, self.canaries = versions.rejections, versions.trials
        self.version_control = VersionControl(versions, self.runner, self.directory, self._republish)
        self.canary_rollout = CanaryRollout(
            versions, self.runner, self.directory, self.version_control, self._republish
        )
        self.last_review_ns = now
        self.change_count_at_last_round = 0  # of the directory, at the last completed policy round
        self.push_count = 0
        self.tables_of_crashed_policy: dict[Any, ProxyTables] = {}  # by proxy, until its first new assignment
        self.output = RoundOutput()
        self.egress_queue = EgressQueue(
            settings.egress_rate_entries_per_s,
            settings.egress_queue_limit_entries,
            settings.message_overhead_entries,
            settings.message_quota,
            settings.message_quota_window_ns,
        )
        self._reset()

    def _reset(self) -> None:
        """Create the state that is tied to one policy incarnation."""
        for proxy in list(self.deliveries.holdings_by_proxy):  # a policy crash unassigns all
            self.deliveries.on_disconnected(proxy)
        self.observed_traffic = ObservedTraffic()
        self.nonces = NonceTracker()
        self.egress_queue.drop_all()
        self.publish_gate: PublishGate | None = None
        self.safety_review: SafetyReview | None = None
        if self.safety_rules is not None:
            seed = self.runner.random.getrandbits(32)
            self.publish_gate = PublishGate(self.settings, self.safety_rules, self.enforce, seed)
            self.safety_review = SafetyReview(
                self.publish_gate,
                self.observed_traffic,
                self.egress_queue,
                self.runner,
                self.directory,
                self.deliveries,
                self.version_control,
            )
        self.canary_rollout.reset(self.observed_traffic)
        self.contents = TableContents(
            self.runner, self.directory, self.versions, self.canary_rollout, self.publish_gate
        )

    @property
    def proxies(self) -> dict[Any, ConnectedProxy]:
        """The connected proxies."""
        return self.runner.proxies

    @property
    def assignments(self) -> Assignments:
        """Tables, assignments and ejections as commanded by the policy."""
        return self.runner.assignments

    @property
    def unavailable_endpoints(self) -> frozenset[str]:
        """Endpoints that must not be used, whatever tables hold; the same object until the list changes."""
        return self.directory.unavailable

    @property
    def counts(self) -> dict[str, int]:
        """Totals since the start, keyed by their names in the log."""
        return self.runner.counts | {"pushes": self.push_count}

    @property
    def next_deadline_ns(self) -> int:
        """When the next round is due if no event arrives earlier."""
        deadlines = (
            self.runner.next_deadline_ns,
            self.egress_queue.next_deadline_ns,
            self.load_aggregator.next_deadline_ns,
            self.pins.due,
            self.canaries.due,
            self.publish_gate.due if self.publish_gate is not None else None,
        )
        return min(deadline for deadline in deadlines if deadline is not None)

    def log_event(self, name: str, /, **fields: Any) -> None:
        """Add a log event to the output of the next round."""
        self.runner.log_event(name, **fields)

    def on_proxy_connected(self, proxy: Any, zone: str, request_rate: float, fresh: bool) -> None:
        """Register a proxy that connected to this instance; it has no assignments yet."""
        self.runner.on_proxy_connected(proxy, zone, request_rate, fresh)
        self.nonces.unsent.pop(proxy, None)
        self.tables_of_crashed_policy.pop(proxy, None)

    def on_proxy_disconnected(self, proxy: Any) -> bool:
        """Remove a proxy and its queued messages; return False if it was not connected."""
        if not self.runner.on_proxy_disconnected(proxy):
            return False
        self.egress_queue.on_proxy_disconnected(proxy)
        self.deliveries.on_disconnected(proxy)
        self.canaries.on_disconnected(proxy)
        self.nonces.on_proxy_disconnected(proxy)
        self.tables_of_crashed_policy.pop(proxy, None)
        self.load_aggregator.on_proxy_disconnected(proxy)
        return True

    def on_acknowledged(self, proxy: Any, nonce: int, now: int) -> None:
        """Tell the policy that a proxy acknowledged a nonce, and with it everything sent up to that nonce."""
        self.runner.enqueue(PushAcknowledged(proxy, nonce, self.nonces.latency_ns(nonce, now)))

    def on_fully_acknowledged(self, proxy: Any, now: int) -> None:
        """Record that a proxy has acknowledged everything sent to it."""
        self.deliveries.on_acknowledged(proxy)
        if self.canaries.open_trials and proxy in self.deliveries.holdings_by_proxy:
            contents = self.deliveries.holdings_by_proxy[proxy][-1].contents
            versions = {name: content.version for name, content in contents.items()}
            self.canaries.on_acknowledged(proxy, versions, now)
        if self.nonces.can_acknowledge_for(proxy):
            self.on_acknowledged(proxy, self.nonces.withheld.pop(proxy), now)

    def on_load_report(self, proxy: Any, report: LoadReport, now: int) -> None:
        """Add the load report of a proxy; reports of proxies that are not connected are ignored."""
        connected = self.proxies.get(proxy)
        if connected is None:
            return
        self.load_aggregator.add(proxy, connected.zone, report, self.directory.statuses, now)
        if self.canaries.open_trials:
            self.canary_rollout.on_load_report(proxy, report, now)

    def on_list_update(self, change: EndpointListChange) -> None:
        """Apply an endpoint list, or changes to it, from discovery."""
        self.directory.apply(change)
        self.runner.on_endpoint_list(change.scope, change.endpoints)

    def on_tables_rejected(self, proxy: Any, names: Collection[str], now: int) -> None:
        """Record that a proxy rejected these tables; roll back versions that too many proxies reject."""
        self.version_control.on_tables_rejected(proxy, names, now)

    def run_round(self, now: int) -> RoundOutput:
        """Run the policy if it has pending events; return the pushes that may be sent now."""
        self.runner.check_timeouts(now)
        for event in self.load_aggregator.pop_due(now):
            self.runner.enqueue(event)
        self._reconcile(now)
        self.version_control.end_expired_pins(now)
        if self.canaries.open_trials:
            self.canary_rollout.check(now)
        if self.safety_review is not None and self.safety_review.is_due(self.last_review_ns, now):
            self._review((), now)
        self._send(now)
        output, self.output = self.output, RoundOutput()
        output.log_events = self.runner.drain_log_events()
        return output

    def table_content(self, number: int) -> TableContent:
        """Return the published content of a table; the same object until the table changes."""
        return self.contents.content(number)

    def tables_of(self, proxy: Any) -> ProxyTables:
        """Return the tables that a proxy should hold; proxies with the same tables share the object."""
        if not self.assignments.proxies[proxy].table_by_operation:
            return self._remaining_tables(proxy)
        self.tables_of_crashed_policy.pop(proxy, None)
        return self.contents.tables_of(proxy)

    def warming_endpoints(self, now: int) -> frozenset[str]:
        """Return the ready endpoints that are still in their warm-up."""
        return self.directory.warming_up(now)

    def commanded_weights(self, name: str) -> dict[str, float]:
        """Return the weights that the policy commands for a table; empty if the table is unknown."""
        number = self.assignments.table_number(name)
        return {} if number is None else dict(self.assignments.tables[number].weights)

    def pin(
        self,
        name: str,
        version_spec: str,
        duration_ns: int,
        with_admission: bool,
        cause: ChangeCause,
        now: int,
    ) -> VersionChange:
        """Pin a table to a version. Raises `UnknownVersionError` or `PinError` without changing anything."""
        return self.version_control.pin(name, version_spec, duration_ns, with_admission, cause, now)

    def release(self, name: str, now: int) -> None:
        """Unpin a table. Raises `PinError` if it is not pinned."""
        self.version_control.release(name, now)

    def explain(self, now: int) -> list[dict[str, Any]]:
        """Return for each table what was commanded, what may be published, and why they differ."""
        return self.safety_review.explain(now) if self.safety_review is not None else []

    def before_policy_reset(self) -> None:
        """Keep the tables that proxies hold, before the assignments of the crashed policy are dropped."""
        for proxy in self.proxies:
            if self.assignments.proxies[proxy].table_by_operation:
                self.tables_of_crashed_policy[proxy] = self.tables_of(proxy)

    def after_policy_reset(self) -> None:
        """Replace all other state of the crashed policy."""
        self._reset()

    def _reconcile(self, now: int) -> None:
        if not self.runner.has_work:
            return
        if self.safety_review is not None:
            for event in self.runner.pending_events:
                self.observed_traffic.observe_event(event, now)
        result = self.runner.reconcile(now)
        if result is not None:
            self._apply(result, now)

    def _apply(self, result: RoundResult, now: int) -> None:
        """Review the commands of a round, and queue the messages that may be sent."""
        if result.changed_entries_by_table or result.ejections_changed:
            self.contents.invalidate_proxy_tables()
        if self.change_count_at_last_round != self.directory.change_count:
            for number in result.changed_entries_by_table:
                self.contents.change_causes.setdefault(number, ChangeCause.LIST)
        self.change_count_at_last_round = self.directory.change_count
        if result.invalid_weights:
            weights = [list(weight) for weight in result.invalid_weights[:MAX_LOGGED_WEIGHTS]]
            self.log_event("invalid weights ignored", rule="bad weight", lines=weights)
        if result.changed_entries_by_table or result.ejections_changed or result.proxy_assigned:
            self._review_commands(result, now)
        if result.nonce is not None:
            self.nonces.on_command(result.nonce, result.entries_by_proxy, now)
        self._enqueue(result.entries_by_proxy, now)

    def _review_commands(self, result: RoundResult, now: int) -> None:
        """Review the changed tables, and drop the messages for those that the safety gate holds back.

        Nonces of dropped messages are acknowledged for the proxies that already hold everything sent.
        """
        if self.safety_review is None:
            return
        self._review(result.changed_entries_by_table, now)
        self.safety_review.withhold(result, self.nonces)
        up_to_date_proxies = [
            proxy
            for proxy in self.nonces.withheld
            if self.deliveries.is_up_to_date(proxy) and self.nonces.can_acknowledge_for(proxy)
        ]
        for proxy in up_to_date_proxies:
            self.on_acknowledged(proxy, self.nonces.withheld.pop(proxy), now)

    def _review(self, commanded: Collection[int], now: int, urgent: Collection[int] = ()) -> None:
        """Review all tables; queue those whose allowed content changed without a command.

        `commanded` are the tables that the policy changed or that are republished (pin, rollback, canary);
        `urgent` are the republished ones.
        """
        assert self.safety_review is not None
        self.last_review_ns = now
        entries_by_proxy: dict[Any, int] = {}
        for number in self.safety_review.review(commanded, now, urgent):
            self.contents.change_causes.setdefault(number, ChangeCause.GUARD)
            self.contents.invalidate(number)
            weights, _ = self.safety_review.gate.allowed[number]
            for proxy in self.assignments.proxies_by_table.get(number, ()):
                entries_by_proxy[proxy] = entries_by_proxy.get(proxy, 0) + len(weights)
        self._enqueue(entries_by_proxy, now)
        for name, fields in self.safety_review.gate.take_events():
            self.log_event(name, **fields)

    def _republish(self, number: int, cause: ChangeCause, now: int) -> None:
        """Review and queue a table that changes without a policy command; the review treats it as urgent."""
        self.contents.change_causes[number] = cause
        self.contents.invalidate(number)
        if self.safety_review is not None:
            self._review((number,), now, (number,))
        entries = len(self.version_control.wanted_weights(number))
        self._enqueue(dict.fromkeys(self.assignments.proxies_by_table.get(number, ()), entries), now)

    def _enqueue(self, entries_by_proxy: dict[Any, int], now: int) -> None:
        """Queue messages; frontends end the sessions of proxies whose message does not fit the queue."""
        overflowed = self.egress_queue.enqueue(entries_by_proxy, now)
        if overflowed:
            self.output.overflowed_proxies += overflowed
            self.log_event(
                "egress queue full",
                proxies=len(overflowed),
                lines=self.egress_queue.queued_entries,
                limit=self.egress_queue.limit_entries,
            )

    def _send(self, now: int) -> None:
        """Add the messages that the egress queue releases now to the output."""
        for proxy, _ in self.egress_queue.pop_sent(now):
            if proxy not in self.proxies:
                continue
            nonce = self.nonces.pop_unsent(proxy)
            self.push_count += 1
            self.deliveries.on_pushed(proxy, self.tables_of(proxy))
            self.output.pushes.append(Push(proxy, nonce))

    def _remaining_tables(self, proxy: Any) -> ProxyTables:
        """Return the tables kept from a crashed policy, without endpoints that were ejected since."""
        remaining = self.tables_of_crashed_policy.get(proxy)
        if remaining is None:
            return ProxyTables()
        ejected = self.assignments.ejected
        contents = {
            name: TableContent(
                tuple(entry for entry in content.entries if entry.endpoint not in ejected),
                content.admission,
            )
            for name, content in remaining.contents.items()
        }
        return ProxyTables(remaining.tables_by_operation, contents)
