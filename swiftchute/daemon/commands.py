"""What staff may ask of a running planner, by command: plain data in and out. Decides nothing."""

import time
from collections.abc import Callable
from typing import Any

from swiftchute.admin.errors import CommandRejectedError
from swiftchute.controller.controller import Controller
from swiftchute.versions import encoding
from swiftchute.versions.errors import PinError, UnknownVersionError
from swiftchute.versions.table_log import VersionChange

S = 1_000_000_000
MOST = 1000  # rows of an answer


class Commands:
    """The commands on one planner's core; `done` is called once something was changed."""

    def __init__(self, controller: Controller, clock: Callable[[], int], done: Callable[[], None]) -> None:
        """`clock` is the core's."""
        self.controller, self.clock, self.done = controller, clock, done

    def all(self) -> dict[str, Callable[..., Any]]:
        """By name, as requests give them."""
        named = {"guard.explain": self.explain, "tables.log": self.log, "tables.show": self.show}
        named |= {"tables.diff": self.diff, "tables.rollback": self.rollback, "tables.pin": self.pin}
        return {
            name: self._told(command) for name, command in (named | {"tables.release": self.release}).items()
        }

    @staticmethod
    def _told(command: Callable[..., Any]) -> Callable[..., Any]:
        def run(**given: Any) -> Any:
            try:
                return command(**given)
            except (UnknownVersionError, PinError) as why:
                raise CommandRejectedError(str(why)) from None

        return run

    def explain(self, table: str | None = None) -> dict[str, Any]:
        """Why tables go out as they do."""
        gate = self.controller.publish_gate
        if gate is None:
            raise CommandRejectedError("the guard is off")
        tables = self.controller.explain(self.clock())
        if table is not None and table not in (names := [row["table"] for row in tables]):
            raise CommandRejectedError(f"no table {table!r} in use; there are {', '.join(names) or 'none'}")
        return {
            "enforced": gate.enforce,
            "tables": [row for row in tables if table in (None, row["table"])],
            "counts": gate.counts,
        }

    def _change(self, change: VersionChange) -> dict[str, Any]:
        held, way = self.controller.deliveries.holder_counts(change.table).get(change.version, (0, 0))
        newest = self.controller.history.newest_change(change.table)
        return {
            "table": change.table,
            "serial": change.serial,
            "version": change.version.hex(),
            "parent": change.parent.hex() if change.parent else None,
            "at": time.time() + (change.recorded_at_ns - self.clock()) / S,
            "cause": change.cause,
            "planner": change.instance,
            "put": change.changed_count,
            "gone": change.removed_count,
            "newest": newest == change,
            "acknowledged": held,
            "under_way": way,
        }

    def log(self, table: str | None = None, most: int = 20) -> list[dict[str, Any]]:
        """The last changes, newest first."""
        return [
            self._change(change) for change in self.controller.history.changes(table, min(int(most), MOST))
        ]

    def _kept(self, table: str, version: str) -> tuple[VersionChange, encoding.Table]:
        change = self.controller.history.find(table, version)
        content = self.controller.history.content(change.version)
        if content is None:
            raise CommandRejectedError(f"version {change.version.hex()[:12]} is no longer kept")
        return change, content

    def show(self, table: str, version: str = "~0") -> dict[str, Any]:
        """One version: its lines and levels, who holds it, and what the module orders beside a pinned one."""
        change, content = self._kept(table, version)
        pin = self.controller.pins.by_table.get(table)
        return self._change(change) | {
            "levels": [
                [row.operation, row.rate_millionths / encoding.ADMISSION_RATE_SCALE, row.retry_policy]
                for row in content.admission
            ],
            "lines": [
                [entry.endpoint, entry.zone, _weight(entry)]
                for entry in content.entries
            ],
            "pinned": None if pin is None else {
                "version": pin.change.version.hex(), "cause": pin.cause, "levels": pin.pins_admission,
                "seconds": round((pin.until_ns - self.clock()) / S, 1),
            },
            "ordered": self.controller.commanded_weights(table),
        }  # fmt: skip

    def diff(self, table: str, before: str, after: str) -> dict[str, Any]:
        """What changed from one version to another."""
        (one, old), (two, new) = self._kept(table, before), self._kept(table, after)
        step, was = encoding.make_delta(old, new), {entry.endpoint: entry for entry in old.entries}
        return {
            "before": one.version.hex(),
            "after": two.version.hex(),
            "lines": [
                [
                    entry.endpoint,
                    _weight(was[entry.endpoint]) if entry.endpoint in was else None,
                    _weight(entry),
                ]
                for entry in step.changed
            ]
            + [[endpoint, _weight(was[endpoint]), None] for endpoint in step.removed],
            "levels": None
            if step.admission is None
            else {"before": _admission_rows(old), "after": _admission_rows(new)},
            "bytes": len(encoding.encode(step)),
            "whole": len(encoding.encode(new)),
        }

    def rollback(
        self, table: str, version: str = "~1", seconds: float = 600, levels: bool = False
    ) -> dict[str, Any]:
        """Hold a table at an earlier version for a while."""
        return self._pin(table, version, seconds, levels, "rollback")

    def pin(
        self, table: str, version: str = "~0", seconds: float = 600, levels: bool = False
    ) -> dict[str, Any]:
        """Hold a table at the version it has."""
        return self._pin(table, version, seconds, levels, "pin")

    def _pin(self, table: str, version: str, seconds: float, levels: bool, cause: str) -> dict[str, Any]:
        change = self.controller.pin(table, version, int(seconds * S), bool(levels), cause, self.clock())
        self.done()
        return self._change(change)

    def release(self, table: str) -> None:
        """The module's orders count again."""
        self.controller.release(table, self.clock())
        self.done()


def _weight(entry: encoding.TableEntry) -> float:
    return entry.weight_units / encoding.WEIGHT_SCALE


def _admission_rows(table: encoding.Table) -> list[tuple[str, int, int]]:
    return [(row.operation, row.rate_millionths, row.retry_policy) for row in table.admission]
