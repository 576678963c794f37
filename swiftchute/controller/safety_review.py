"""Submits all tables to the publish gate, with the current data on endpoints, proxies and traffic."""

from collections.abc import Collection
from typing import Any

from swiftchute.controller.acknowledgements import NonceTracker
from swiftchute.controller.assignments import FULL_ADMISSION, RoundResult
from swiftchute.controller.egress_queue import EgressQueue
from swiftchute.controller.endpoint_directory import EndpointDirectory
from swiftchute.controller.policy_runner import IDLE_ROUND_INTERVAL_NS, PolicyRunner
from swiftchute.controller.version_control import VersionControl
from swiftchute.safety.observed_traffic import ObservedTraffic, peak_by_kind
from swiftchute.safety.proposal import Observations, Proposal
from swiftchute.safety.publish_gate import PublishGate
from swiftchute.versions.delivery import DeliveryTracker


class SafetyReview:
    """Reviews all tables of one policy incarnation."""

    def __init__(
        self,
        gate: PublishGate,
        observed_traffic: ObservedTraffic,
        egress_queue: EgressQueue,
        runner: PolicyRunner,
        directory: EndpointDirectory,
        deliveries: DeliveryTracker,
        version_control: VersionControl,
    ) -> None:
        """Create reviews by `gate`; the other arguments supply its input."""
        self.gate, self.observed_traffic, self.egress_queue = gate, observed_traffic, egress_queue
        self.runner, self.directory = runner, directory
        self.deliveries, self.version_control = deliveries, version_control

    def is_due(self, last_review_ns: int, now: int) -> bool:
        """Return whether tables must be reviewed even without policy commands.

        Warm-up, demand and the endpoint list change without commands; a drain that the policy ignores must
        not wait for the next idle round. The gate's `list_revision` is the directory's `change_count` at the
        last review.
        """
        deadline = self.gate.due
        return (
            now - last_review_ns >= IDLE_ROUND_INTERVAL_NS
            or self.gate.list_revision != self.directory.change_count
            or (deadline is not None and now >= deadline)
        )

    def review(self, commanded: Collection[int], now: int, urgent: Collection[int] = ()) -> list[int]:
        """Review all tables; return those whose allowed content changed without a command.

        `commanded` are the tables that the policy changed or that are republished (pin, rollback, canary);
        `urgent` are the republished ones, which must not be delayed.
        """
        statuses = self.directory.statuses
        is_warm = self.gate.warm_check(statuses, now)
        warming = frozenset(
            name
            for name, status in statuses.items()
            if status.started_ns and status.state == "ready" and not is_warm(name)
        )
        proposals = {
            number: self._proposal(number, warming, now) for number in self.runner.assignments.tables
        }
        observations = self._observations(is_warm, now)
        return self.gate.review(
            proposals, commanded, statuses, observations, now, self.directory.change_count, urgent
        )

    def withhold(self, result: RoundResult, nonces: NonceTracker) -> None:
        """Remove the entries of tables held back by the gate from the result of a round.

        A message that is left without entries is dropped, and its nonce is recorded as withheld.
        """
        asks_for_ack = result.nonce is not None
        for number in self.gate.held_tables & result.changed_entries_by_table.keys():
            for proxy in self.runner.assignments.proxies_by_table.get(number, ()):
                entries = result.entries_by_proxy.get(proxy, 0) - result.changed_entries_by_table[number]
                if entries > asks_for_ack:  # an acknowledgement request counts as one entry
                    result.entries_by_proxy[proxy] = entries
                elif result.entries_by_proxy.pop(proxy, None) is not None and result.nonce is not None:
                    nonces.withhold(proxy, result.nonce)

    def explain(self, now: int) -> list[dict[str, Any]]:
        """Return for each table in use what was commanded, what may be published, and why they differ."""
        assignments, operations = self.runner.assignments, self.runner.settings.operations
        rows = []
        for number in sorted(assignments.tables):
            proxies = assignments.proxies_by_table.get(number, {})
            if not proxies:
                continue
            name, indices = assignments.table_name(number), assignments.operations_of(number)
            row = {
                "table": name,
                "operations": [operations[index].name for index in indices],
                "zones": sorted({assignments.proxies[proxy].zone for proxy in proxies}),
                "proxies": len(proxies),
            }
            rows.append(
                row
                | self.gate.explain(
                    number,
                    assignments.usable_weights(number),
                    self._max_admission_rate(number, indices),
                    self.version_control.pin_reason(name),
                    now,
                )
            )
        return rows

    def _observations(self, is_warm: Any, now: int) -> Observations:
        settings, statuses = self.runner.settings, self.directory.statuses
        peak_rate_by_zone_and_kind = self.observed_traffic.peak_rates(statuses, is_warm, now)
        return Observations(
            peak_by_kind(peak_rate_by_zone_and_kind),
            peak_rate_by_zone_and_kind,
            () if settings.removal_is_binding else self.observed_traffic.responding_endpoints(now),
            self.observed_traffic.failing_zones(statuses, now),
            min(len(self.runner.proxies) / max(settings.proxy_count, 1), 1.0),
        )

    def _proposal(self, number: int, warming: frozenset[str], now: int) -> Proposal:
        assignments = self.runner.assignments
        proxies, indices = assignments.proxies_by_table.get(number, {}), assignments.operations_of(number)
        operations = [self.runner.settings.operations[index] for index in indices]
        names = [operation.name for operation in operations]

        def demand_of(proxy: Any) -> float | None:
            return self.observed_traffic.request_rate((proxy,), names, now)

        return Proposal(
            self.version_control.wanted_weights(number),
            self._max_admission_rate(number, indices),
            frozenset(assignments.proxies[proxy].zone for proxy in proxies),
            any(operation.zone_local for operation in operations),
            self.observed_traffic.request_rate(proxies, names, now) if proxies else None,
            self.deliveries.pending_shares(proxies, names, warming, demand_of) if warming else (),
            self.egress_queue.utilization(proxies, self.gate.max_queue_delay_ns, now),
        )

    def _max_admission_rate(self, number: int, indices: list[int]) -> float:
        assignments = self.runner.assignments
        rates = (assignments.admission(number, index)[0] for index in indices)
        return max(rates, default=FULL_ADMISSION)
