"""The published content of each table, and the tables that each proxy should hold.

The published content is what the policy commanded, or the version that the table is pinned to, restricted to
what the safety rules allow. Each change of a table is recorded in the version history.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from swiftchute.controller.assignments import Admission
from swiftchute.controller.endpoint_directory import EndpointDirectory
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.controller.version_state import VersionState
from swiftchute.safety.publish_gate import PublishGate
from swiftchute.versions import encoding
from swiftchute.versions.table_log import ChangeCause


class TableEntry(NamedTuple):
    """One endpoint of a published table."""

    endpoint: str
    zone: str
    weight: float


@dataclass(frozen=True)
class TableContent:
    """The published content of a table."""

    entries: tuple[TableEntry, ...]  # sorted by endpoint
    admission: tuple[Admission, ...]  # by operation index
    version: bytes = field(default=b"", compare=False)  # digest of its canonical encoding


@dataclass(frozen=True)
class ProxyTables:
    """The tables that a proxy should hold."""

    tables_by_operation: tuple[tuple[str, str], ...] = ()  # (operation name, table name)
    contents: dict[str, TableContent] = field(default_factory=dict, compare=False)  # by table name
    baseline_tables: frozenset[str] = frozenset()  # names of tables of which it holds the baseline


class CanaryView(Protocol):
    """The part of `CanaryRollout` that `TableContents` uses."""

    baselines: dict[int, TableContent]

    def on_content_changed(self, number: int, old: TableContent | None, new: TableContent) -> None:
        """Process a change of a table's content."""

    def holds_baseline(self, number: int, proxy: Any) -> bool:
        """Return whether a proxy holds the baseline of a table that has a canary."""


def sorted_entries(weights: Mapping[str, float], directory: EndpointDirectory) -> tuple[TableEntry, ...]:
    """Return the table entries for weights by endpoint, sorted by endpoint."""
    return tuple(
        TableEntry(endpoint, directory.zone_of(endpoint), weight)
        for endpoint, weight in sorted(weights.items())
    )


def make_stored_table(
    entries: tuple[TableEntry, ...], admission: tuple[Admission, ...], runner: PolicyRunner
) -> encoding.Table:
    """Make a table in the form that the version history stores."""
    operations = runner.settings.operations
    rows = [(operation.name, *row) for operation, row in zip(operations, admission, strict=True)]
    return encoding.make_table(rows, entries)


class TableContents:
    """Published contents of the tables of one policy incarnation, computed on demand and cached."""

    def __init__(
        self,
        runner: PolicyRunner,
        directory: EndpointDirectory,
        versions: VersionState,
        canaries: CanaryView,
        publish_gate: PublishGate | None,
    ) -> None:
        """Start with an empty cache.

        Args:
            runner: Runs the policy, and holds the tables that it commanded.
            directory: Zones and states of the endpoints.
            versions: Version history and pins.
            canaries: Which proxies hold a baseline.
            publish_gate: The safety gate; None to publish without it.
        """
        self.runner, self.directory = runner, directory
        self.history, self.pins = versions.history, versions.pins
        self.canaries, self.publish_gate = canaries, publish_gate
        self.change_causes: dict[int, ChangeCause] = {}  # by table number, the cause of its next version
        self._contents: dict[int, tuple[int, TableContent]] = {}  # by table number, with the table's revision
        self._proxy_tables: dict[Any, ProxyTables] = {}  # by table numbers of operations, and baselines

    def invalidate(self, number: int) -> None:
        """Mark a table as changed without a policy command."""
        self.runner.assignments.tables[number].revision += 1
        self._proxy_tables.clear()

    def invalidate_proxy_tables(self) -> None:
        """Drop the cached tables of proxies, after the policy changed tables or ejections."""
        self._proxy_tables.clear()

    def content(self, number: int) -> TableContent:
        """Return the published content of a table; the same object until the table changes."""
        revision = self.runner.assignments.tables[number].revision
        old_revision, old = self._contents.get(number, (None, None))
        if old is not None and old_revision == revision:
            return old
        weights, admission = self._published(number)
        entries = sorted_entries(weights, self.directory)
        version = self._record_version(number, make_stored_table(entries, admission, self.runner))
        content = TableContent(entries, admission, version)
        self._contents[number] = (revision, content)
        self.canaries.on_content_changed(number, old, content)
        return content

    def tables_of(self, proxy: Any) -> ProxyTables:
        """Return the tables that an assigned proxy should hold; proxies with the same share the object."""
        assignments = self.runner.assignments
        table_by_operation = tuple(sorted(assignments.proxies[proxy].table_by_operation.items()))
        contents = {number: self.content(number) for _, number in table_by_operation}
        baselines = frozenset(number for number in contents if self.canaries.holds_baseline(number, proxy))
        key = (table_by_operation, baselines)
        if key not in self._proxy_tables:
            names = {number: assignments.table_name(number) for number in contents}
            operations = self.runner.settings.operations
            self._proxy_tables[key] = ProxyTables(
                tuple((operations[index].name, names[number]) for index, number in table_by_operation),
                {
                    names[number]: self.canaries.baselines[number] if number in baselines else content
                    for number, content in contents.items()
                },
                frozenset(names[number] for number in baselines),
            )
        return self._proxy_tables[key]

    def _published(self, number: int) -> tuple[Mapping[str, float], tuple[Admission, ...]]:
        """Return the weights and admission of a table that may be published."""
        assignments, operations = self.runner.assignments, self.runner.settings.operations
        name = assignments.table_name(number)
        weights: Mapping[str, float] = assignments.usable_weights(number)
        admission = [assignments.admission(number, index) for index in range(len(operations))]
        if self.publish_gate is not None and number in self.publish_gate.allowed:
            # The gate reviewed the pinned weights if the table is pinned.
            weights, max_rate = self.publish_gate.allowed[number]
            admission = [(min(rate, max_rate), retry_policy) for rate, retry_policy in admission]
        else:
            pinned = self.pins.weights(name, self.directory.ready()) if self.pins.by_table else None
            weights = weights if pinned is None else pinned
        pinned_admission = self.pins.admission(name)  # not limited by the gate
        if pinned_admission:
            admission = [
                pinned_admission.get(operation.name, row)
                for operation, row in zip(operations, admission, strict=True)
            ]
        return weights, tuple(admission)

    def _record_version(self, number: int, table: encoding.Table) -> bytes:
        """Record the content, if it changed, with its cause in the history; return the newest version."""
        name = self.runner.assignments.table_name(number)
        before, cause = self.history.newest_content(name), self.change_causes.pop(number, None)
        if before is None:
            cause = ChangeCause.START
        elif cause in (None, ChangeCause.LIST) and before.entries == table.entries:
            # Even if the endpoint list changed, only the admission of this table did.
            cause = ChangeCause.ADMISSION
        # Without a recorded cause, a command of the policy changed the weights.
        self.history.record(name, table, self.runner.last_round_ns, cause or ChangeCause.POLICY)
        newest = self.history.newest_change(name)
        assert newest is not None
        return newest.version
