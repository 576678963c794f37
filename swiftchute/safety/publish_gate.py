"""The safety gate: validates a controller's tables before any frontend publishes them.

    gate = PublishGate(settings, rules, enforce=True)
    changed = gate.review(proposed, ordered, statuses, observations, now_ns, list_revision)
    weights, admission_rate = gate.allowed[number]
    gate.take_events()                                            # log records since the last call

A violation is logged when it begins, once for each rule and table, and when it ends; in between it is only
counted. A table held back for longer than the drain grace raises an alarm. A table whose orders are rejected
repeatedly backs off; until it is due again, only draining endpoints are removed from it. No I/O, no clock.
"""

import random
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from typing import Any

from swiftchute.api.endpoints import EndpointState
from swiftchute.api.settings import Settings
from swiftchute.safety.capacity import capacity_fraction
from swiftchute.safety.order_backoff import OrderBackoff
from swiftchute.safety.proposal import (
    AllowedTable,
    EndpointStatus,
    Observations,
    Outcome,
    Proposal,
    Rule,
    SafetyRules,
    Violation,
)
from swiftchute.safety.step_window import StepWindow
from swiftchute.safety.validator import Validator
from swiftchute.safety.violation_log import LogEvent, ViolationLog

NS_PER_S = 1_000_000_000
# A table that should change without an order of the policy is changed only after this delay: by then the
# policy has ordered most of the changes that follow from an endpoint list.
UNORDERED_DELAY_NS = NS_PER_S // 3
MIN_UNORDERED_CHANGE = 0.1  # fraction an unordered weight must change by, as slow-start limits rise steadily
QUEUE_DELAY_DIVISOR = 4  # queued messages may delay a drain by drain grace / divisor


class PublishGate:
    """Keeps what may be published for each table, and the active violations.

    Attributes:
        enforce: Whether tables are corrected; otherwise they are published as proposed.
        allowed: Content that may be published, by table.
        held_tables: Tables whose ordered changes the last review held back.
        violations: Violations of the last review.
        counts: Number of violations by rule; under "waited", the number of skipped reviews.
        list_revision: Revision of the endpoint list in the last review.
    """

    def __init__(self, settings: Settings, rules: SafetyRules, enforce: bool, seed: int = 0) -> None:
        """Start without a table.

        Args:
            settings: Limits of slow start, and the drain grace.
            rules: Limits of the rules.
            enforce: Whether tables are corrected; otherwise violations are logged and counted only.
            seed: Seed of the backoff's jitter.
        """
        self.enforce = enforce
        self.allowed: dict[int, AllowedTable] = {}
        self.held_tables: set[int] = set()
        self.violations: list[Violation] = []
        self.counts: dict[str, int] = {}
        self.list_revision = -1
        self._settings = settings
        self._rules = rules
        self._validator = Validator(settings, rules)
        self._events: list[LogEvent] = []
        self._violation_log = ViolationLog(enforce, settings.drain_grace_ns, self.counts, self._events)
        self._backoff = OrderBackoff(random.Random(seed), self._events)
        self._step_window = StepWindow(rules.step_window_ns)
        self._unordered_since: dict[int, int] = {}  # since when tables should change without an order

    def warm_check(self, statuses: Mapping[str, EndpointStatus], now_ns: int) -> Callable[[str], bool]:
        """Return a predicate that tells whether a listed endpoint is ready and at full capacity."""
        return lambda endpoint: (
            statuses[endpoint].state == EndpointState.READY
            and capacity_fraction(statuses[endpoint], self._settings, now_ns) >= 1
        )

    @property
    def max_queue_delay_ns(self) -> int:
        """Longest time that a drain may wait behind messages already in the queue."""
        return self._settings.drain_grace_ns // QUEUE_DELAY_DIVISOR

    @property
    def due(self) -> int | None:
        """When the next unordered change of a table is due; None if there is none."""
        if not self._unordered_since:
            return None
        return min(self._unordered_since.values()) + UNORDERED_DELAY_NS

    def review(
        self,
        proposed: Mapping[int, Proposal],
        ordered: Collection[int],
        statuses: Mapping[str, EndpointStatus],
        observations: Observations,
        now_ns: int,
        list_revision: int = 0,
        urgent: Collection[int] = (),
    ) -> list[int]:
        """Validate all tables and update what may be published.

        Args:
            proposed: Proposed tables by number.
            ordered: Numbers of the tables whose change the policy or an operator ordered.
            statuses: What the endpoint list says, by endpoint.
            observations: What was observed of the traffic.
            now_ns: Time of the review.
            list_revision: Revision of the endpoint list.
            urgent: Ordered tables that never back off, as an operator ordered them.

        Returns:
            The tables that changed without an order and must be published again.
        """
        waiting = self._waiting(proposed, urgent, now_ns)
        self.held_tables = waiting & set(ordered)
        if ordered and waiting.issuperset(ordered) and list_revision == self.list_revision:
            self.counts["waited"] = self.counts.get("waited", 0) + 1
            return []  # bounds the work: all ordered tables wait, and the list is unchanged
        self.list_revision = list_revision
        over_quota = self._over_quota(proposed)
        if self.enforce and Rule.QUOTA_USED not in self._rules.warn_only:
            waiting |= over_quota.keys() - set(urgent)
            self.held_tables = waiting & set(ordered)
        to_validate = {
            number: replace(table, weights=self.allowed[number].weights) if number in waiting else table
            for number, table in proposed.items()
        }
        tables = self._validate(to_validate, statuses, observations, now_ns)
        self._report_over_quota(over_quota, ordered)
        self._violation_log.record(self.violations, now_ns)
        if self.enforce:
            self._backoff.record(set(ordered) - waiting, self._corrected_tables(), now_ns)
        else:
            tables = {
                n: AllowedTable(dict(to_validate[n].weights), to_validate[n].admission_rate) for n in tables
            }
        return self._update_allowed(tables, set(ordered), waiting, now_ns)

    def _waiting(self, proposed: Mapping[int, Proposal], urgent: Collection[int], now_ns: int) -> set[int]:
        """Return the published tables that back off; ends the backoff of urgent ones."""
        for number in urgent:
            self._backoff.reset(number)
        return {
            number
            for number in self._backoff.waiting(now_ns)
            if number in self.allowed and number in proposed
        }

    def _validate(
        self,
        proposed: Mapping[int, Proposal],
        statuses: Mapping[str, EndpointStatus],
        observations: Observations,
        now_ns: int,
    ) -> dict[int, AllowedTable]:
        published = {number: table.weights for number, table in self.allowed.items()}
        at_window_start = self._step_window.weights_at_start(published, now_ns)
        observations_with_window = replace(observations, weights_at_window_start=at_window_start)
        verdict = self._validator.validate(proposed, published, statuses, observations_with_window, now_ns)
        self.violations = verdict.violations
        return verdict.tables

    def _over_quota(self, proposed: Mapping[int, Proposal]) -> dict[int, float]:
        """Return the used fraction of the message quota, for the published tables that exceed its limit.

        A policy that oscillates would use up all messages, and the next drain would have to wait for quota.
        """
        return {
            number: table.quota_used
            for number, table in proposed.items()
            if number in self.allowed and table.quota_used >= self._rules.max_quota_fraction
        }

    def _report_over_quota(self, over_quota: Mapping[int, float], ordered: Collection[int]) -> None:
        is_warning = Rule.QUOTA_USED in self._rules.warn_only
        outcome = Outcome.WARNED if is_warning else Outcome.CORRECTED
        limit = self._rules.max_quota_fraction
        self.violations += [
            Violation(Rule.QUOTA_USED, number, (), quota_used, limit, outcome)
            for number, quota_used in over_quota.items()
            if number in ordered
        ]

    def _corrected_tables(self) -> set[int]:
        return {violation.table for violation in self.violations if violation.outcome == Outcome.CORRECTED}

    def _update_allowed(
        self, tables: Mapping[int, AllowedTable], ordered: set[int], waiting: set[int], now_ns: int
    ) -> list[int]:
        """Update `allowed`; return the tables that change without an order."""
        changed = []
        for number, table in tables.items():
            current = self.allowed.get(number)
            is_ordered = number in ordered and number not in waiting
            if current is not None and not is_ordered:
                if not _is_worth_publishing(current, table):
                    self._unordered_since.pop(number, None)
                    continue
                since_ns = self._unordered_since.setdefault(number, now_ns)
                if now_ns - since_ns < UNORDERED_DELAY_NS and number not in waiting:
                    continue
                changed.append(number)
                self.held_tables.discard(number)  # a draining endpoint still leaves it
            self._unordered_since.pop(number, None)
            self.allowed[number] = table
        return changed

    def explain(
        self, number: int, ordered: Mapping[str, float], admission_rate: float, pin: str, now_ns: int
    ) -> dict[str, Any]:
        """Return why the published table differs from the order, as plain data for the admin interface.

        Args:
            number: Number of the table.
            ordered: Weights that the policy ordered.
            admission_rate: Admission rate that the policy ordered.
            pin: Description of the pin or other cause that overrides the order; "" if there is none.
            now_ns: Time of the query.
        """
        allowed = self.allowed.get(number, AllowedTable(dict(ordered), admission_rate))
        wait_ns = self._backoff.remaining_ns(number, now_ns)
        return {
            "level": {"ordered": admission_rate, "out": allowed.admission_rate},
            "lines": [
                {
                    "server": endpoint,
                    "ordered": ordered.get(endpoint, 0.0),
                    "out": allowed.weights.get(endpoint, 0.0),
                    "why": self._violation_log.rules_limiting(number, endpoint)
                    or pin
                    or "takes up what others may not have",
                }
                for endpoint in sorted({**ordered, **allowed.weights})
                if ordered.get(endpoint) != allowed.weights.get(endpoint)
            ],
            "same": sum(ordered.get(endpoint) == weight for endpoint, weight in allowed.weights.items()),
            "findings": self._violation_log.violations_of_table(number, now_ns),
            "waits": round(wait_ns / NS_PER_S, 1) if wait_ns is not None else 0.0,
        }

    def take_events(self) -> list[LogEvent]:
        """Return the log records since the last call."""
        events = list(self._events)
        self._events.clear()
        return events


def _is_worth_publishing(current: AllowedTable, table: AllowedTable) -> bool:
    """Return whether an unordered change is large enough to be published."""
    if current.weights.keys() != table.weights.keys():
        return True
    pairs = [(current.weights[endpoint], weight) for endpoint, weight in table.weights.items()]
    pairs.append((current.admission_rate, table.admission_rate))
    return any(abs(new - old) > MIN_UNORDERED_CHANGE * old for old, new in pairs)
