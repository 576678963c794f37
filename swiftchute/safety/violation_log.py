"""Which violations stand, how often each rule was broken, and what the log is to say of that. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from swiftchute.safety.proposal import Outcome, Rule, Violation

NS_PER_S = 1_000_000_000
MAX_LOGGED_ENDPOINTS = 8  # of one violation


class LogEvent(NamedTuple):
    """A log record: its name and fields."""

    name: str
    fields: dict[str, Any]


class StandingViolation(NamedTuple):
    """A violation that was found in the last review, and since when it was found in each."""

    since_ns: int
    violation: Violation


@dataclass(frozen=True, slots=True, order=True)
class ViolationKey:
    """What makes two violations the same one: rule and table."""

    rule: str
    table: int


class ViolationLog:
    """Logs a violation once when it begins and once when it ends, and counts it in each review."""

    def __init__(
        self, enforce: bool, alarm_after_ns: int, counts: dict[str, int], events: list[LogEvent]
    ) -> None:
        """Start without a violation.

        Args:
            enforce: Whether tables are corrected; otherwise violations are logged as warnings.
            alarm_after_ns: Time for which a table may be held back without an alarm.
            counts: Reviews by rule in which it was broken; counted up here.
            events: Log records; appended to here.
        """
        self.standing: dict[ViolationKey, StandingViolation] = {}
        self._enforce = enforce
        self._alarm_after_ns = alarm_after_ns
        self._alarmed: set[ViolationKey] = set()
        self._counts = counts
        self._events = events

    def record(self, violations: Iterable[Violation], now_ns: int) -> None:
        """Record the violations of a review.

        Those of a list that may be stale come and go with the load: they are counted and not logged.
        """
        found: dict[ViolationKey, Violation] = {}
        for violation in violations:
            rule = violation.rule.value
            self._counts[rule] = self._counts.get(rule, 0) + 1
            if violation.rule != Rule.STALE_LIST:
                found[ViolationKey(violation.rule, violation.table)] = violation
        for key, violation in found.items():
            self._record_found(key, violation, now_ns)
        for key in self.standing.keys() - found.keys():
            since_ns, violation = self.standing.pop(key)
            self._alarmed.discard(key)
            self._log("guard", violation, on=False, seconds=_seconds(now_ns - since_ns))

    def _record_found(self, key: ViolationKey, violation: Violation, now_ns: int) -> None:
        if key not in self.standing:
            self._log("guard", violation, on=True)
            self.standing[key] = StandingViolation(now_ns, violation)
            return
        since_ns = self.standing[key].since_ns
        is_late = now_ns - since_ns > self._alarm_after_ns
        if is_late and key not in self._alarmed and violation.outcome == Outcome.CORRECTED:
            self._alarmed.add(key)
            self._log("table held", violation, seconds=_seconds(now_ns - since_ns))
        self.standing[key] = StandingViolation(since_ns, violation)

    def _log(self, event: str, violation: Violation, **more: Any) -> None:
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
        self._events.append(LogEvent(event, fields | more))

    def of_table(self, table: int, now_ns: int) -> list[dict[str, Any]]:
        """Return the standing violations of a table as plain data for the admin interface."""
        return [
            {
                "rule": violation.rule.value,
                "servers": list(violation.endpoints)[:MAX_LOGGED_ENDPOINTS],
                "figure": violation.value,
                "limit": violation.limit,
                "done": violation.outcome.value,
                "seconds": _seconds(now_ns - since_ns),
            }
            for key, (since_ns, violation) in sorted(self.standing.items())
            if key.table == table
        ]

    def rules_on(self, table: int, endpoint: str) -> str:
        """Return the rules that limit an endpoint of a table, joined by commas.

        A violation of an endpoint that warms up is reported at one of its tables and limits all of them.
        """
        rules = {
            violation.rule
            for key, (_, violation) in self.standing.items()
            if endpoint in violation.endpoints or (key.table == table and not violation.endpoints)
        }
        return ", ".join(sorted(rules))


def _seconds(duration_ns: int) -> float:
    return round(duration_ns / NS_PER_S, 1)
