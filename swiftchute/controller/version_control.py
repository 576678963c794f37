"""Pins of tables to a version: by operators, and by rollbacks of versions that proxies reject."""

from collections.abc import Callable, Collection
from typing import Any

from swiftchute.controller.endpoint_directory import EndpointDirectory
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.controller.version_state import VersionState
from swiftchute.versions.errors import PinError, UnknownVersionError
from swiftchute.versions.pinning import MAX_PIN_NS, MIN_PIN_NS, Pin
from swiftchute.versions.table_log import ChangeCause, VersionChange

NS_PER_S = 1_000_000_000
SHORT_VERSION_LENGTH = 12  # hexadecimal digits of a version, in logs and messages

Republish = Callable[[int, ChangeCause, int], None]  # table number, cause, now


def short_version(version: bytes) -> str:
    """Return the abbreviated version that logs and messages show."""
    return version.hex()[:SHORT_VERSION_LENGTH]


class VersionControl:
    """Pins and rollbacks of all tables."""

    def __init__(
        self,
        versions: VersionState,
        runner: PolicyRunner,
        directory: EndpointDirectory,
        republish: Republish,
    ) -> None:
        """Start without pins; `republish` publishes a table that a pin or a release changed."""
        self.runner, self.directory, self.republish = runner, directory, republish
        self.pins, self.rejections, self.trials = versions.pins, versions.rejections, versions.trials
        self.history, self.rollback_duration_ns = versions.history, versions.rollback_duration_ns

    def pinned_weights(self, number: int) -> dict[str, float] | None:
        """Return the pinned weights of a table's ready endpoints; None if it is not pinned."""
        if not self.pins.by_table:
            return None
        return self.pins.weights(self.runner.assignments.table_name(number), self.directory.ready())

    def wanted_weights(self, number: int) -> dict[str, float]:
        """Return the weights that a table should have: pinned if there is a pin, else commanded."""
        pinned = self.pinned_weights(number)
        return self.runner.assignments.usable_weights(number) if pinned is None else pinned

    def pin_reason(self, name: str) -> str:
        """Return why a pinned table differs from the commanded one; empty if it is not pinned."""
        pin = self.pins.by_table.get(name)
        return f"held at {short_version(pin.change.version)} ({pin.cause})" if pin else ""

    def pin(
        self,
        name: str,
        version_spec: str,
        duration_ns: int,
        with_admission: bool,
        cause: ChangeCause,
        now: int,
    ) -> VersionChange:
        """Pin a table to the version that `version_spec` selects; see `VersionHistory.find`.

        Raises `UnknownVersionError` or `PinError` without changing anything.
        """
        if not MIN_PIN_NS <= duration_ns <= MAX_PIN_NS:
            raise PinError(
                f"{duration_ns / NS_PER_S:g} s: a pin lasts {MIN_PIN_NS // NS_PER_S}"
                f" to {MAX_PIN_NS // NS_PER_S} s"
            )
        number, change = self._number_in_use(name), self.history.find(name, version_spec)
        content = self.history.content(change.version)
        if content is None:
            raise PinError(f"version {short_version(change.version)} is no longer kept")
        pin = Pin(change, content, now + duration_ns, with_admission, cause)
        self.pins.pin(name, pin, self.directory.ready())
        self.runner.log_event(
            "table pinned",
            table=name,
            version=short_version(change.version),
            serial=change.serial,
            seconds=round(duration_ns / NS_PER_S),
            levels=with_admission,
            cause=str(cause),
        )
        self.republish(number, cause, now)
        return change

    def release(self, name: str, now: int) -> None:
        """Unpin a table. Raises `PinError` if it is not pinned."""
        self.pins.release(name)
        self._on_released(name, "released", now)

    def end_expired_pins(self, now: int) -> None:
        """Release pins that have expired, and those without any ready endpoint."""
        for name, reason in self.pins.take_ended(self.directory.ready(), now) if self.pins.by_table else ():
            self._on_released(name, reason, now)

    def on_tables_rejected(self, proxy: Any, names: Collection[str], now: int) -> None:
        """Record that a proxy rejected these tables; roll back versions that too many proxies reject."""
        assignments = self.runner.assignments
        for name in names:
            newest = self.history.newest_change(name)
            if newest is None or newest.parent is None or proxy not in assignments.proxies:
                continue
            tables = assignments.proxies[proxy].table_by_operation.values()
            number = next((table for table in tables if assignments.table_name(table) == name), None)
            if number is None or name in self.pins.by_table:
                continue
            self.trials.on_rejected(proxy, name)
            proxy_count = len(assignments.proxies_by_table[number])
            if self.rejections.on_rejected(proxy, name, newest.version, proxy_count):
                self.roll_back(name, newest.parent.hex(), True, now)

    def roll_back(self, name: str, version: str, with_admission: bool, now: int) -> bool:
        """Pin a table to an earlier version without an operator's request; return whether it was pinned.

        The number of rollbacks is limited, since the cause may lie in the proxies and not in the tables.
        """
        if not self.rejections.reserve_rollback(now):
            window_s = self.rejections.window_ns / NS_PER_S
            cause = f"limit of {self.rejections.max_rollbacks} rollbacks within {window_s:g} s is reached"
            self.runner.log_event("rollback refused", table=name, cause=cause)
            return False
        try:
            self.pin(name, version, self.rollback_duration_ns, with_admission, ChangeCause.ROLLBACK, now)
        except (PinError, UnknownVersionError) as error:
            self.runner.log_event("rollback refused", table=name, cause=str(error))
            return False
        return True

    def _number_in_use(self, name: str) -> int:
        """Return the number of a table; raises `PinError` if no proxy is assigned to it."""
        assignments = self.runner.assignments
        number = assignments.table_number(name)
        if number is not None and assignments.proxies_by_table.get(number):
            return number
        in_use = ", ".join(
            assignments.table_name(other)
            for other in sorted(assignments.tables)
            if assignments.proxies_by_table.get(other)
        )
        raise PinError(f"no proxy is on a table {name!r}; in use are {in_use or 'none'}")

    def _on_released(self, name: str, reason: str, now: int) -> None:
        self.runner.log_event("table released", table=name, why=reason)
        number = self.runner.assignments.table_number(name)
        if number is not None:
            self.republish(number, ChangeCause.RELEASE, now)
