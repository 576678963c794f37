"""Canary rollouts: large changes of a table go to some of its proxies first.

`swiftchute.versions.canary` decides from load reports whether the other proxies follow. This module passes it
changes, proxies and reports, stores the baseline content that the other proxies hold meanwhile, and completes
or rolls back the change.
"""

from typing import Any

from swiftchute.controller.endpoint_directory import EndpointDirectory
from swiftchute.controller.load_aggregation import LoadReport
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.controller.table_contents import TableContent, make_stored_table, sorted_entries
from swiftchute.controller.version_control import Republish, VersionControl
from swiftchute.controller.version_state import VersionState
from swiftchute.safety.observed_traffic import ObservedTraffic
from swiftchute.versions import encoding
from swiftchute.versions.canary_statistics import ReportTotals
from swiftchute.versions.table_log import ChangeCause

# Changes made by the safety rules, a rollback or an operator go to all proxies at once, without a canary.
IMMEDIATE_CAUSES = frozenset({ChangeCause.GUARD, ChangeCause.ROLLBACK, ChangeCause.PIN})


class CanaryRollout:
    """Runs the canaries of all tables."""

    def __init__(
        self,
        versions: VersionState,
        runner: PolicyRunner,
        directory: EndpointDirectory,
        version_control: VersionControl,
        republish: Republish,
    ) -> None:
        """Start without canaries; `republish` publishes a table whose canary changed or ended."""
        self.trials, self.history, self.pins = versions.trials, versions.history, versions.pins
        self.runner, self.directory = runner, directory
        self.version_control, self.republish = version_control, republish
        self.observed_traffic = ObservedTraffic()
        self.baselines: dict[int, TableContent] = {}  # by table, for proxies that are not in its canary

    def reset(self, observed_traffic: ObservedTraffic) -> None:
        """End all canaries; called when the policy crashed and its tables were dropped."""
        self.observed_traffic = observed_traffic
        for name in list(self.trials.open_trials):
            self.trials.close(name)
        self.baselines.clear()

    def holds_baseline(self, number: int, proxy: Any) -> bool:
        """Return whether a proxy holds the baseline of a table that has a canary."""
        name = self.runner.assignments.table_name(number)
        return number in self.baselines and not self.trials.is_canary(name, proxy)

    def on_content_changed(self, number: int, old: TableContent | None, new: TableContent) -> None:
        """Start, continue or end the canary of a table whose content changed."""
        if not self.trials.limits.proxy_fraction:
            return
        name = self.runner.assignments.table_name(number)
        change = self.history.newest_change(name)
        if old is None or change is None or change.cause in IMMEDIATE_CAUSES or name in self.pins.by_table:
            self.trials.close(name)
        elif old.entries != new.entries:
            self._start_or_update_trial(number, name, old, new)
        self._update_baseline(number, name, new)

    def on_load_report(self, proxy: Any, report: LoadReport, now: int) -> None:
        """Add a proxy's load report to the canaries of its tables."""
        assignments, operations = self.runner.assignments, self.runner.settings.operations
        table_by_operation = assignments.proxies[proxy].table_by_operation
        for number in set(table_by_operation.values()):
            names = {operations[index].name for index, table in table_by_operation.items() if table == number}
            demand = [entry for entry in report.demand if entry[0] in names]
            totals = ReportTotals(
                sum(requests for _, requests, _ in demand),
                sum(failures for _, _, failures in demand),
                sum(latency_sum_ns for _, _, _, latency_sum_ns, _ in report.endpoints),
                sum(latency_count for _, _, _, _, latency_count in report.endpoints),
            )
            self.trials.on_report(proxy, assignments.table_name(number), totals, now - report.window_ns)

    def check(self, now: int) -> None:
        """Update the proxies and baselines of open canaries, and apply the outcomes of finished ones."""
        # start times of the endpoints that are ready and not ejected
        start_ns_by_endpoint = self.directory.start_times(self.runner.assignments.ejected)
        for name in list(self.trials.open_trials):
            self._check_open(name, start_ns_by_endpoint, now)
        for name, outcome in self.trials.take_finished(now):
            number = self.runner.assignments.table_number(name)
            direction = "back" if outcome.rolled_back else "on"
            self.runner.log_event("canary ended", table=name, went=direction, cause=outcome.cause)
            if number is None:
                continue
            if outcome.rolled_back and self.version_control.roll_back(
                name, outcome.previous_version.hex(), False, now
            ):
                continue
            # completed, or its rollback was refused: the new content goes to all proxies
            self.republish(number, ChangeCause.CANARY, now)

    def _check_open(self, name: str, start_ns_by_endpoint: dict[str, int], now: int) -> None:
        """Republish a table if the proxies of its canary changed or its baseline lost endpoints.

        The cause recorded for both is the endpoint list.
        """
        assignments = self.runner.assignments
        number = assignments.table_number(name)
        if number is None or not assignments.proxies_by_table.get(number):
            self.trials.close(name)
            return
        proxies_changed = self.trials.reselect(name, self._request_rates(number))
        baseline = self.baselines.get(number)
        baseline_endpoints = {entry.endpoint for entry in baseline.entries} if baseline is not None else set()
        weights = self.trials.baseline_weights(name, start_ns_by_endpoint)
        if weights is None:
            self.republish(number, ChangeCause.CANARY, now)
        elif proxies_changed or weights.keys() != baseline_endpoints:
            self.republish(number, ChangeCause.LIST, now)

    def _start_or_update_trial(self, number: int, name: str, old: TableContent, new: TableContent) -> None:
        """Let `trials` decide whether a change of weights needs a canary, and log the start of one."""
        before, after = (
            {entry.endpoint: entry.weight for entry in content.entries} for content in (old, new)
        )
        was_open = name in self.trials.open_trials
        now = self.runner.last_round_ns
        rates = self._request_rates(number)
        is_open = self.trials.on_table_changed(
            name,
            before,
            after,
            (old.version, new.version),
            rates,
            self.directory.start_times(self.runner.assignments.ejected),
            self.directory.warming_up(now),
            now,
        )
        if is_open and not was_open:
            proxies, version = len(self.trials.open_trials[name].canary_proxies), new.version.hex()[:12]
            self.runner.log_event(
                "canary started", table=name, version=version, proxies=proxies, of=len(rates)
            )

    def _update_baseline(self, number: int, name: str, new: TableContent) -> None:
        """Store the content for proxies outside the canary: earlier weights with the current admission."""
        weights = self.trials.baseline_weights(
            name, self.directory.start_times(self.runner.assignments.ejected)
        )
        if weights is None:
            self.baselines.pop(number, None)
            return
        entries = sorted_entries(weights, self.directory)
        table = make_stored_table(entries, new.admission, self.runner)
        self.history.record(f"{name}/rest", table, self.runner.last_round_ns, ChangeCause.CANARY)
        self.baselines[number] = TableContent(entries, new.admission, encoding.version_of(table))

    def _request_rates(self, number: int) -> dict[Any, float]:
        """Return the requests per second of each of a table's proxies."""
        names = [operation.name for operation in self.runner.settings.operations]
        now = self.runner.last_round_ns
        return {
            proxy: self.observed_traffic.request_rate((proxy,), names, now)
            or self.runner.proxies[proxy].request_rate
            for proxy in self.runner.assignments.proxies_by_table.get(number, ())
        }
