"""Canaries: a large change of a table goes to some proxies first, then to all unless reports get worse.

    trials = CanaryTrials(CanaryLimits(proxy_fraction=0.2))
    trials.on_table_changed(table, before, after, versions, proxies, starts, warming_up, now_ns)
    trials.is_canary(table, proxy)               # whether a proxy should hold the new content
    trials.baseline_weights(table, starts)       # what the other proxies hold; None without a trial
    trials.on_acknowledged(proxy, versions, now_ns)
    trials.on_report(proxy, table, totals, since_ns)
    trials.on_disconnected(proxy)
    trials.take_finished(now_ns)                 # trials that ended, with their outcomes

A trial never delays what the safety rules require. Endpoints that drain, are removed, were ejected or have
restarted leave the other proxies' tables at once; a change that lowers the share of an endpoint that warms up
opens no trial; admission rates and retry policies always go to all proxies. No I/O, no clock: times are
passed in, in nanoseconds.
"""

from collections.abc import Hashable, Mapping
from typing import NamedTuple

from swiftchute.versions.canary_statistics import ReportTotals, moved_fraction, weight_shares
from swiftchute.versions.canary_trial import CanaryLimits, Trial, TrialOutcome

MAX_TRIALS = 1000  # beyond this a change goes to all proxies at once
MAX_SELECTIONS = 3  # of proxies per trial; repeated when all selected proxies have disconnected
SHARE_TOLERANCE = 1e-9  # a smaller decrease of a share does not count


class FinishedTrial(NamedTuple):
    """A trial that ended: name of its table, and the outcome."""

    table: str
    outcome: TrialOutcome


class CanaryTrials:
    """Open trials by table name."""

    def __init__(self, limits: CanaryLimits) -> None:
        """Start without a trial."""
        self.limits = limits
        self.open_trials: dict[str, Trial] = {}
        self.counts = dict.fromkeys(("trials", "on", "back"), 0)

    def on_table_changed(
        self,
        table: str,
        before: Mapping[str, float],
        after: Mapping[str, float],
        versions: tuple[bytes, bytes],
        proxies: Mapping[Hashable, float],
        starts: Mapping[str, int],
        warming_up: frozenset[str],
        now_ns: int,
    ) -> bool:
        """Process a change of a table's weights, which a trial may delay for some proxies.

        Args:
            table: Name of the table.
            before: Weights before the change.
            after: Weights after it.
            versions: Versions of the table before and after.
            proxies: Requests per second by proxy of the table.
            starts: When each open endpoint started.
            warming_up: Endpoints that warm up.
            now_ns: Time of the change.

        Returns:
            Whether a trial is open now.
        """
        trial = self.open_trials.get(table)
        other_weights = trial.baseline_weights if trial else before
        baseline = {endpoint: weight for endpoint, weight in other_weights.items() if endpoint in starts}
        old_shares, new_shares = weight_shares(baseline), weight_shares(after)
        if _reduces_any(warming_up, old_shares, new_shares):
            self.close(table)  # a slow-start limit may require it, so it must not wait
            return False
        if trial is not None:
            self._update_trial(trial, old_shares, new_shares, versions[1])
            return True
        if not self._needs_trial(old_shares, new_shares, len(proxies)):
            return False
        self.counts["trials"] += 1
        self.open_trials[table] = Trial(
            baseline_weights=baseline,
            baseline_starts={endpoint: starts[endpoint] for endpoint in baseline},
            shares=new_shares,
            previous_version=versions[0],
            version=versions[1],
            started_at_ns=now_ns,
            canary_proxies=self._select_proxies(proxies),
        )
        return True

    def _update_trial(
        self, trial: Trial, old_shares: dict[str, float], new_shares: dict[str, float], version: bytes
    ) -> None:
        """Replace the change that is tried; a large replacement restarts the trial's duration."""
        if moved_fraction(trial.shares, new_shares) >= self.limits.min_moved_fraction:
            trial.restart(new_shares)
        trial.version = version
        if moved_fraction(old_shares, new_shares) < self.limits.min_moved_fraction:
            trial.completion_cause = "what was tried is taken back"

    def _needs_trial(
        self, old_shares: dict[str, float], new_shares: dict[str, float], proxy_count: int
    ) -> bool:
        if not self.limits.proxy_fraction or self._canary_size(proxy_count) >= proxy_count:
            return False
        if not old_shares or moved_fraction(old_shares, new_shares) < self.limits.min_moved_fraction:
            return False
        return len(self.open_trials) < MAX_TRIALS

    def _canary_size(self, proxy_count: int) -> int:
        """Return how many of a table's proxies get a change first."""
        return max(1, round(self.limits.proxy_fraction * proxy_count))

    def _select_proxies(self, proxies: Mapping[Hashable, float]) -> set[Hashable]:
        """Return the proxies with the lowest request rates, where a bad change does the least harm."""
        by_rate = sorted(proxies, key=lambda proxy: (proxies[proxy], str(proxy)))
        return set(by_rate[: self._canary_size(len(proxies))])

    def close(self, table: str) -> None:
        """End the trial of a table: all proxies should hold its newest content."""
        self.open_trials.pop(table, None)

    def is_canary(self, table: str, proxy: Hashable) -> bool:
        """Return whether a proxy should hold the newest content of a table."""
        trial = self.open_trials.get(table)
        return trial is None or proxy in trial.canary_proxies

    def baseline_weights(self, table: str, starts: Mapping[str, int]) -> dict[str, float] | None:
        """Return the weights for the proxies that are not part of the canary.

        Endpoints that closed or restarted since the trial began are removed until it ends.

        Args:
            table: Name of the table.
            starts: When each open endpoint started.

        Returns:
            The weights; None if there is no trial, or no endpoint is left.
        """
        trial = self.open_trials.get(table)
        if trial is None:
            return None
        weights = {
            endpoint: weight
            for endpoint, weight in trial.baseline_weights.items()
            if starts.get(endpoint) == trial.baseline_starts[endpoint]
        }
        if not weights:
            self.close(table)
            return None
        trial.baseline_weights = weights
        return weights

    def on_acknowledged(self, proxy: Hashable, versions: Mapping[str, bytes], now_ns: int) -> None:
        """Record that a proxy acknowledged these versions, given by table name."""
        for table, trial in self.open_trials.items():
            if proxy in trial.canary_proxies and versions.get(table) == trial.version:
                trial.acknowledged_at.setdefault(proxy, now_ns)

    def on_rejected(self, proxy: Hashable, table: str) -> None:
        """Record that a proxy rejected the newest content of a table."""
        trial = self.open_trials.get(table)
        if trial is not None and proxy in trial.canary_proxies:
            trial.rejecting_proxies.add(proxy)

    def on_report(self, proxy: Hashable, table: str, totals: ReportTotals, since_ns: int) -> None:
        """Add a proxy's report on a table, which covers the time since `since_ns`."""
        trial = self.open_trials.get(table)
        if trial is not None:
            trial.add_report(proxy, totals, since_ns)

    def on_disconnected(self, proxy: Hashable) -> None:
        """Remove a proxy from all trials."""
        for trial in self.open_trials.values():
            trial.remove_proxy(proxy)

    def reselect(self, table: str, proxies: Mapping[Hashable, float]) -> bool:
        """Select other proxies for a trial if all selected ones have disconnected.

        Args:
            table: Name of the table.
            proxies: Requests per second of each proxy of the table.

        Returns:
            Whether other proxies were selected.
        """
        trial = self.open_trials.get(table)
        if trial is None or trial.canary_proxies:
            return False
        if self._canary_size(len(proxies)) >= len(proxies) or trial.selections >= MAX_SELECTIONS:
            trial.completion_cause = "nobody is left to try it"
            return False
        trial.selections += 1
        trial.canary_proxies = self._select_proxies(proxies)
        trial.discard_reports()
        return True

    def take_finished(self, now_ns: int) -> list[FinishedTrial]:
        """Close the trials that have ended, and return them."""
        finished = []
        for table, trial in self.open_trials.items():
            outcome = trial.outcome(self.limits, now_ns)
            if outcome is not None:
                finished.append(FinishedTrial(table, outcome))
        for table, outcome in finished:
            self.counts["back" if outcome.rolled_back else "on"] += 1
            self.close(table)
        return finished

    @property
    def due(self) -> int | None:
        """When a trial may end without a further report; None if there is none."""
        return min((trial.due(self.limits) for trial in self.open_trials.values()), default=None)


def _reduces_any(
    endpoints: frozenset[str], old_shares: Mapping[str, float], new_shares: Mapping[str, float]
) -> bool:
    """Return whether the share of any of these endpoints decreases."""
    return any(
        old_shares.get(endpoint, 0.0) > new_shares.get(endpoint, 0.0) + SHARE_TOLERANCE
        for endpoint in endpoints
    )
