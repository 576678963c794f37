"""Operator commands on a running instance; arguments and results are plain JSON types."""

import time
from collections.abc import Callable
from typing import Any

from swiftchute.admin.errors import CommandRejectedError
from swiftchute.controller.controller import Controller
from swiftchute.controller.version_control import short_version
from swiftchute.versions.encoding import (
    ADMISSION_RATE_SCALE,
    WEIGHT_SCALE,
    Table,
    TableEntry,
    encode,
    make_delta,
)
from swiftchute.versions.errors import PinError, UnknownVersionError
from swiftchute.versions.table_log import ChangeCause, VersionChange

NS_PER_S = 1_000_000_000
MAX_LOG_ROWS = 1000
DEFAULT_PIN_S = 600.0


class AdminCommands:
    """Commands on one controller. Their keyword arguments are the arguments of the admin requests."""

    def __init__(
        self, controller: Controller, clock: Callable[[], int], request_round: Callable[[], None]
    ) -> None:
        """`clock` is the controller's clock; `request_round` is called after each change."""
        self.controller, self.clock, self.request_round = controller, clock, request_round

    def by_name(self) -> dict[str, Callable[..., Any]]:
        """Return the commands by their names in the admin protocol.

        A command raises `CommandRejectedError` if it cannot be carried out.
        """
        commands: dict[str, Callable[..., Any]] = {
            "guard.explain": self.explain,
            "tables.log": self.log,
            "tables.show": self.show,
            "tables.diff": self.diff,
            "tables.rollback": self.rollback,
            "tables.pin": self.pin,
            "tables.release": self.release,
        }
        return {name: _translate_errors(command) for name, command in commands.items()}

    def explain(self, table: str | None = None) -> dict[str, Any]:
        """Return why published tables differ from what the policy commands."""
        gate = self.controller.publish_gate
        if gate is None:
            raise CommandRejectedError('the safety gate is off: guard.mode is "off"')
        rows = self.controller.explain(self.clock())
        names = [row["table"] for row in rows]
        if table is not None and table not in names:
            raise CommandRejectedError(
                f"no table {table!r} in use; tables in use: {', '.join(names) or 'none'}"
            )
        return {
            "enforced": gate.enforce,
            "tables": [row for row in rows if table in (None, row["table"])],
            "counts": gate.counts,
        }

    def log(self, table: str | None = None, most: int = 20) -> list[dict[str, Any]]:
        """Return the newest `most` changes, newest first."""
        changes = self.controller.history.changes(table, min(int(most), MAX_LOG_ROWS))
        return [self._change_row(change) for change in changes]

    def show(self, table: str, version: str = "~0") -> dict[str, Any]:
        """Return a version's content, how many proxies hold it, the table's pin and the commanded weights."""
        change, content = self._find(table, version)
        return self._change_row(change) | {
            "levels": [
                [row.operation, row.rate_millionths / ADMISSION_RATE_SCALE, row.retry_policy]
                for row in content.admission
            ],
            "lines": [[entry.endpoint, entry.zone, _weight(entry)] for entry in content.entries],
            "pinned": self._pin_row(table),
            "ordered": self.controller.commanded_weights(table),
        }

    def diff(self, table: str, before: str, after: str) -> dict[str, Any]:
        """Return the difference between two versions of a table."""
        (old_change, old), (new_change, new) = self._find(table, before), self._find(table, after)
        delta = make_delta(old, new)
        old_weights = {entry.endpoint: _weight(entry) for entry in old.entries}
        changed = [
            [entry.endpoint, old_weights.get(entry.endpoint), _weight(entry)] for entry in delta.changed
        ]
        removed = [[endpoint, old_weights[endpoint], None] for endpoint in delta.removed]
        return {
            "before": old_change.version.hex(),
            "after": new_change.version.hex(),
            "lines": changed + removed,
            "levels": None
            if delta.admission is None
            else {"before": _admission_rows(old), "after": _admission_rows(new)},
            "bytes": len(encode(delta)),
            "whole": len(encode(new)),
        }

    def rollback(
        self, table: str, version: str = "~1", seconds: float = DEFAULT_PIN_S, levels: bool = False
    ) -> dict[str, Any]:
        """Pin a table to a version, by default the one before the newest (`~1`), for a limited time."""
        return self._pin(table, version, seconds, levels, ChangeCause.ROLLBACK)

    def pin(
        self, table: str, version: str = "~0", seconds: float = DEFAULT_PIN_S, levels: bool = False
    ) -> dict[str, Any]:
        """Pin a table to a version, by default the newest (`~0`; `~n` is n before it), for a limited time."""
        return self._pin(table, version, seconds, levels, ChangeCause.PIN)

    def release(self, table: str) -> None:
        """End the pin of a table."""
        self.controller.release(table, self.clock())
        self.request_round()

    def _pin(
        self, table: str, version: str, seconds: float, levels: bool, cause: ChangeCause
    ) -> dict[str, Any]:
        duration_ns = int(seconds * NS_PER_S)
        change = self.controller.pin(table, version, duration_ns, bool(levels), cause, self.clock())
        self.request_round()
        return self._change_row(change)

    def _find(self, table: str, version: str) -> tuple[VersionChange, Table]:
        change = self.controller.history.find(table, version)
        content = self.controller.history.content(change.version)
        if content is None:
            raise CommandRejectedError(f"version {short_version(change.version)} is no longer in the history")
        return change, content

    def _change_row(self, change: VersionChange) -> dict[str, Any]:
        states = self.controller.deliveries.holder_counts(change.table)
        acknowledged, under_way = states.get(change.version, (0, 0))
        return {
            "table": change.table,
            "serial": change.serial,
            "version": change.version.hex(),
            "parent": change.parent.hex() if change.parent else None,
            "at": time.time() + (change.recorded_at_ns - self.clock()) / NS_PER_S,
            "cause": change.cause,
            "planner": change.instance,
            "put": change.changed_count,
            "gone": change.removed_count,
            "newest": self.controller.history.newest_change(change.table) == change,
            "acknowledged": acknowledged,
            "under_way": under_way,
        }

    def _pin_row(self, table: str) -> dict[str, Any] | None:
        pin = self.controller.pins.by_table.get(table)
        if pin is None:
            return None
        return {
            "version": pin.change.version.hex(),
            "cause": pin.cause,
            "levels": pin.pins_admission,
            "seconds": round((pin.until_ns - self.clock()) / NS_PER_S, 1),
        }


def _translate_errors(command: Callable[..., Any]) -> Callable[..., Any]:
    def run(**arguments: Any) -> Any:
        try:
            return command(**arguments)
        except (UnknownVersionError, PinError) as error:
            raise CommandRejectedError(str(error)) from None

    return run


def _weight(entry: TableEntry) -> float:
    return entry.weight_units / WEIGHT_SCALE


def _admission_rows(table: Table) -> list[tuple[str, int, int]]:
    return [(row.operation, row.rate_millionths, row.retry_policy) for row in table.admission]
