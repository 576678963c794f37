"""Tracks active violations, counts them by rule, and makes their log records. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from swiftchute.safety.proposal import Outcome, Rule, Violation

NS_PER_S = 1_000_000_000
MAX_LOGGED_ENDPOINTS = 8  # per violation


class LogEvent(NamedTuple):
    """A log record: its name and fields."""

    name: str
    fields: dict[str, Any]


class ActiveViolation(NamedTuple):
    """A violation found in the last review, and since when every review has found it."""

    since_ns: int
    violation: Violation


@dataclass(frozen=True, slots=True, order=True)
class ViolationKey:
    """Identifies a violation across reviews: rule and table."""

    rule: str
    table: int


class ViolationLog:
    """Logs a violation when it begins and when it ends, and counts it in each review."""

    def __init__(
        self, enforce: bool, alarm_after_ns: int, counts: dict[str, int], events: list[LogEvent]
    ) -> None:
        """Start without a violation.

        Args:
            enforce: Whether the gate's corrections take effect; otherwise they are logged as warnings.
            alarm_after_ns: How long a table may be held back before an alarm is raised.
            counts: Number of violations by rule; updated in place.
            events: Log records; appended to in place.
        """
        self.active: dict[ViolationKey, ActiveViolation] = {}
        self._enforce = enforce
        self._alarm_after_ns = alarm_after_ns
        self._alarmed: set[ViolationKey] = set()
        self._counts = counts
        self._events = events

    def record(self, violations: Iterable[Violation], now_ns: int) -> None:
        """Record the violations of a review.

        Stale-list violations come and go with the load, so they are counted but not logged.
        """
        found: dict[ViolationKey, Violation] = {}
        for violation in violations:
            rule = violation.rule.value
            self._counts[rule] = self._counts.get(rule, 0) + 1
            if violation.rule != Rule.STALE_LIST:
                found[ViolationKey(violation.rule, violation.table)] = violation
        for key, violation in found.items():
            self._record_found(key, violation, now_ns)
        for key in self.active.keys() - found.keys():
            since_ns, violation = self.active.pop(key)
            self._alarmed.discard(key)
            self._log("guard", violation, on=False, seconds=_seconds(now_ns - since_ns))

    def _record_found(self, key: ViolationKey, violation: Violation, now_ns: int) -> None:
        if key not in self.active:
            self._log("guard", violation, on=True)
            self.active[key] = ActiveViolation(now_ns, violation)
            return
        since_ns = self.active[key].since_ns
        is_overdue = now_ns - since_ns > self._alarm_after_ns
        if is_overdue and key not in self._alarmed and violation.outcome == Outcome.CORRECTED:
            self._alarmed.add(key)
            self._log("table held", violation, seconds=_seconds(now_ns - since_ns))
        self.active[key] = ActiveViolation(since_ns, violation)

    def _log(self, event: str, violation: Violation, **extra_fields: Any) -> None:
        outcome = violation.outcome
        if not self._enforce and outcome == Outcome.CORRECTED:
            outcome = Outcome.WARNED
        fields = {
            "rule": violation.rule.value,
            "table": violation.table,
            "servers": list(violation.endpoints)[:MAX_LOGGED_ENDPOINTS],
            "figure": round(violation.value, 3),
            "limit": round(violation.limit, 3),
            "done": outcome.value,
        }
        self._events.append(LogEvent(event, fields | extra_fields))

    def violations_of_table(self, table: int, now_ns: int) -> list[dict[str, Any]]:
        """Return a table's active violations as plain data for the admin interface."""
        return [
            {
                "rule": violation.rule.value,
                "servers": list(violation.endpoints)[:MAX_LOGGED_ENDPOINTS],
                "figure": violation.value,
                "limit": violation.limit,
                "done": violation.outcome.value,
                "seconds": _seconds(now_ns - since_ns),
            }
            for key, (since_ns, violation) in sorted(self.active.items())
            if key.table == table
        ]

    def rules_limiting(self, table: int, endpoint: str) -> str:
        """Return the rules that limit an endpoint of a table, joined by commas.

        A violation that names endpoints limits them in all tables: slow start is reported for only one of
        them. A violation without endpoints concerns its whole table.
        """
        rules = {
            violation.rule
            for key, (_, violation) in self.active.items()
            if endpoint in violation.endpoints or (key.table == table and not violation.endpoints)
        }
        return ", ".join(sorted(rules))


def _seconds(duration_ns: int) -> float:
    return round(duration_ns / NS_PER_S, 1)
