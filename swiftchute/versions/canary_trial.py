"""One canary trial: a change of a table that some of its proxies apply first, and its outcome."""

from collections.abc import Hashable
from dataclasses import dataclass, field

from swiftchute.versions.canary_statistics import MIN_REQUESTS, ReportTotals, regression

NS_PER_S = 1_000_000_000
# Standard errors by which a failure rate must be higher to roll a trial back: at each check before the
# minimum duration is over (strict, as many checks find differences by chance), after it, and at the timeout.
EARLY_STANDARD_ERRORS = 4.0
FINAL_STANDARD_ERRORS = 3.0
TIMEOUT_STANDARD_ERRORS = 2.0
NEVER_NS = 2**63


@dataclass(frozen=True, slots=True)
class CanaryLimits:
    """Size and duration of trials.

    Attributes:
        proxy_fraction: Fraction of a table's proxies that apply a change first; 0 turns canaries off.
        min_duration_ns: Time that the change is tried after all of these proxies acknowledged it.
        max_duration_ns: Timeout of a trial.
        min_moved_fraction: Fraction of all requests that a change must move to be tried.
    """

    proxy_fraction: float = 0.0
    min_duration_ns: int = 5 * NS_PER_S
    max_duration_ns: int = 30 * NS_PER_S
    min_moved_fraction: float = 0.25


@dataclass(frozen=True, slots=True)
class TrialOutcome:
    """How a trial ended.

    Attributes:
        rolled_back: Whether the change is undone; otherwise all proxies get it.
        cause: Cause, as text for the log.
        previous_version: Version of the table before the change.
    """

    rolled_back: bool
    cause: str
    previous_version: bytes


@dataclass(slots=True)
class Trial:
    """An open trial.

    Attributes:
        baseline_weights: Weights that the other proxies hold during the trial.
        baseline_starts: Start times of the baseline's endpoints when the trial began.
        shares: Shares of the change that is tried.
        previous_version: Version of the table before the change.
        version: Version that is tried.
        started_at_ns: When the trial began.
        canary_proxies: Proxies that apply the change first.
        selections: How often proxies were selected for this trial.
        acknowledged_at: When each canary proxy acknowledged the change.
        rejecting_proxies: Canary proxies that rejected it.
        canary: Reports of the canary proxies since they acknowledged the change.
        baseline: Reports of the other proxies during that time.
        completion_cause: Why the trial completes without further reports; "" while it goes on.
    """

    baseline_weights: dict[str, float]
    baseline_starts: dict[str, int]
    shares: dict[str, float]
    previous_version: bytes
    version: bytes
    started_at_ns: int
    canary_proxies: set[Hashable]
    selections: int = 1
    acknowledged_at: dict[Hashable, int] = field(default_factory=dict)
    rejecting_proxies: set[Hashable] = field(default_factory=set)
    canary: ReportTotals = field(default_factory=ReportTotals)
    baseline: ReportTotals = field(default_factory=ReportTotals)
    completion_cause: str = ""

    def restart(self, shares: dict[str, float]) -> None:
        """Try other shares from now on; earlier acknowledgements and reports no longer count."""
        self.shares = shares
        self.acknowledged_at = {}
        self.discard_reports()

    def discard_reports(self) -> None:
        """Discard all reports so far."""
        self.canary = ReportTotals()
        self.baseline = ReportTotals()

    def add_report(self, proxy: Hashable, totals: ReportTotals, since_ns: int) -> None:
        """Add a report on the time since `since_ns` if the change was applied for all of that time."""
        if proxy in self.canary_proxies:
            if since_ns >= self.acknowledged_at.get(proxy, NEVER_NS):
                self.canary.add(totals)
        elif self.acknowledged_at and since_ns >= min(self.acknowledged_at.values()):
            self.baseline.add(totals)

    def remove_proxy(self, proxy: Hashable) -> None:
        """Remove a proxy that disconnected."""
        self.canary_proxies.discard(proxy)
        self.acknowledged_at.pop(proxy, None)
        self.rejecting_proxies.discard(proxy)

    @property
    def is_acknowledged(self) -> bool:
        """Whether all canary proxies have acknowledged the change."""
        return len(self.acknowledged_at) == len(self.canary_proxies)

    @property
    def has_enough_requests(self) -> bool:
        """Whether both sides reported enough requests for a comparison."""
        return min(self.canary.requests, self.baseline.requests) >= MIN_REQUESTS

    @property
    def looks_worse(self) -> bool:
        """Whether the canary is worse at all, even if not significantly."""
        return bool(regression(self.canary, self.baseline, 0.0))

    def outcome(self, limits: CanaryLimits, now_ns: int) -> TrialOutcome | None:
        """Return the trial's outcome; None if it goes on."""
        if self.completion_cause:
            return self._complete(self.completion_cause)
        if self.canary_proxies and 2 * len(self.rejecting_proxies) >= len(self.canary_proxies):
            return self._roll_back(f"{len(self.rejecting_proxies)} of {len(self.canary_proxies)} reject it")
        return self._outcome_of_reports(limits, now_ns) or self._outcome_of_timeout(limits, now_ns)

    def _outcome_of_reports(self, limits: CanaryLimits, now_ns: int) -> TrialOutcome | None:
        acknowledged_at = max(self.acknowledged_at.values(), default=now_ns)
        is_duration_over = self.is_acknowledged and now_ns - acknowledged_at >= limits.min_duration_ns
        standard_errors = FINAL_STANDARD_ERRORS if is_duration_over else EARLY_STANDARD_ERRORS
        cause = regression(self.canary, self.baseline, standard_errors)
        if cause:
            return self._roll_back(cause)
        if is_duration_over and self.has_enough_requests and not self.looks_worse:
            return self._complete(
                f"{self.canary.failures} of {self.canary.requests} errored,"
                f" {self.baseline.failures} of {self.baseline.requests} with the others"
            )
        return None

    def _outcome_of_timeout(self, limits: CanaryLimits, now_ns: int) -> TrialOutcome | None:
        if now_ns - self.started_at_ns < limits.max_duration_ns:
            return None
        cause = regression(self.canary, self.baseline, TIMEOUT_STANDARD_ERRORS)
        if cause:
            return self._roll_back(cause)
        return self._complete(f"{self.canary.requests} invocations in all its time")

    def _complete(self, cause: str) -> TrialOutcome:
        return TrialOutcome(False, cause, self.previous_version)

    def _roll_back(self, cause: str) -> TrialOutcome:
        return TrialOutcome(True, cause, self.previous_version)

    def due(self, limits: CanaryLimits) -> int:
        """Return when the trial may end without further reports."""
        timeout_ns = self.started_at_ns + limits.max_duration_ns
        if (
            not self.acknowledged_at
            or not self.is_acknowledged
            or not self.has_enough_requests
            or self.looks_worse
        ):
            return timeout_ns
        return min(timeout_ns, max(self.acknowledged_at.values()) + limits.min_duration_ns)
