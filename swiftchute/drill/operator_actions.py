"""Operator actions of a scenario: rollbacks, and measurements of the value served between two moments."""

import asyncio
import itertools
import json
import time
from dataclasses import dataclass
from typing import Any

from swiftchute.admin.client import send_command
from swiftchute.admin.errors import NoReplyError
from swiftchute.drill.backend_faults import FaultContext
from swiftchute.drill.fleet import OVERSTAY_S, Fleet
from swiftchute.fakes.traffic_record import AttemptRecord

NS_PER_S = 1_000_000_000
ACK_TIMEOUT_S = 10
POLL_INTERVAL_S = 0.05
PIN_SECONDS = 60.0
MAX_LOG_ENTRIES = 1000

LogEntry = dict[str, Any]  # a row of `tables.log`, as the admin server returns it


@dataclass(frozen=True)
class Moment:
    """The totals of all gateways at one time.

    Attributes:
        time_s: Wall clock.
        requested: Value of all requests until then.
        earned: Value of their answers; a late answer earns a part.
    """

    time_s: float
    requested: float
    earned: float


class OperatorActions(FaultContext):
    """Rollbacks through the admin interface, and measurements that go to the report as notes."""

    def __init__(self, fleet: Fleet) -> None:
        """Act on a fleet's instances."""
        super().__init__(fleet)
        self._moments: dict[str, Moment] = {}

    def record_moment(self, name: str) -> None:
        """Record the totals of now under a name."""
        records = [gateway.record for gateway in self._fleet.gateways]
        requested = sum(record.requested_value for record in records)
        earned = sum(record.earned_value for record in records)
        self._moments[name] = Moment(time.time(), requested, earned)

    async def compare_moments(self, *names: str) -> None:
        """Note the value served between consecutive moments, and how each canary started and ended."""
        for first, second in itertools.pairwise(names):
            self.notes.append(f"{first} to {second}: {self._value_between(first, second)}")
        for instance in self._fleet.instances:
            with open(instance.log_path, encoding="utf-8") as log:
                rows = [json.loads(row) for row in log if '"canary' in row]
            self.notes += [_canary_note(row) for row in rows]

    def _value_between(self, first: str, second: str) -> str:
        begin, end = self._moments[first], self._moments[second]
        requested = end.requested - begin.requested
        percent = 100 * (end.earned - begin.earned) / max(requested, 1)
        seconds = end.time_s - begin.time_s
        return f"{percent:.1f}% of a billed value of {requested:.0f} answered in time in {seconds:.1f} s"

    async def roll_back_tables(self, moment: str, levels: bool) -> None:
        """Roll every table back to its version at a moment.

        Notes the time until the last acknowledgement, and the value served before, during and after the
        rollback.

        Args:
            moment: Name of a recorded moment.
            levels: Whether the admission rates are rolled back too.
        """
        self.record_moment("ordered")
        begin, tables = time.monotonic(), 0
        sockets = [self._fleet.admin_socket(k) for k in range(self._fleet.scenario.instances)]
        for path in sockets:
            tables += await self._roll_back_instance(path, self._moments[moment].time_s, levels)
        ordered_s = time.monotonic() - begin
        try:
            await self._wait_for_acknowledgements(sockets, tables, begin + ACK_TIMEOUT_S)
        except NoReplyError as error:  # the instance was killed between the commands and the acknowledgements
            self.notes.append(f"{tables} tables ordered back in {ordered_s:.2f} s, then: {error}")
            return
        elapsed_s = time.monotonic() - begin
        self.record_moment("acknowledged")
        last_ack = f"{elapsed_s:.2f} s to the last ACK"
        if elapsed_s >= ACK_TIMEOUT_S:
            last_ack = f"not acknowledged by all proxies within {ACK_TIMEOUT_S} s"
        self.notes.append(f"{tables} tables rolled back: {ordered_s:.2f} s to order, {last_ack}")
        await asyncio.sleep(2)  # until the queues that the bad tables filled are empty again
        self.record_moment("settled")
        await asyncio.sleep(8)
        self.record_moment("end")
        for title, first, second in (
            ("before", "before", moment),
            ("bad tables", moment, "ordered"),
            ("rollback", "ordered", "settled"),
            ("after", "settled", "end"),
        ):
            self.notes.append(f"{title}: {self._value_between(first, second)}")

    async def _roll_back_instance(self, path: str, before_s: float, levels: bool) -> int:
        """Roll back the tables of one instance that changed since `before_s`; return how many."""
        entries = await _table_log(path)  # newest first
        targets: dict[str, LogEntry] = {}
        for entry in entries:
            if entry["at"] < before_s:
                targets.setdefault(entry["table"], entry)
        newest = {entry["table"]: entry for entry in entries if entry["newest"]}
        tables = 0
        for table, entry in targets.items():
            if newest[table]["version"] != entry["version"] and newest[table]["acknowledged"]:
                arguments: dict[str, Any] = {"table": table, "version": f"#{entry['serial']}"}
                arguments |= {"seconds": PIN_SECONDS, "levels": levels}
                await asyncio.to_thread(send_command, path, "tables.rollback", **arguments)
                tables += 1
        return tables

    @staticmethod
    async def _wait_for_acknowledgements(sockets: list[str], tables: int, deadline: float) -> None:
        while time.monotonic() < deadline:
            logs = [await _table_log(path) for path in sockets]
            counts = [_acknowledged_rollbacks(log) for log in logs]
            known = [count for count in counts if count is not None]
            if len(known) == len(counts) and sum(known) >= tables:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def summarize_dns_clients(self) -> None:
        """Note the results of DNS clients, and how long after a drain they still sent requests."""
        for overstays in (False, True):
            clients = [
                c for c in self._fleet.dns_clients.values() if bool(c.resolver.overstay_s) == overstays
            ]
            requested = sum(client.record.requested_value for client in clients)
            earned = sum(client.record.earned_value for client in clients)
            attempts = [attempt for client in clients for attempt in client.record.attempts]
            worst_s = max((self._seconds_after_drain(attempt) for attempt in attempts), default=0.0)
            kind = f"keep answers {OVERSTAY_S:g} s past their TTL" if overstays else "obey the TTL"
            percent = 100 * earned / max(requested, 1)
            self.notes.append(
                f"{len(clients)} clients whose resolvers {kind}: {percent:.1f}% of billed value in time;"
                f" {len(attempts)} attempts, up to {worst_s:.2f} s after their endpoint's drain was listed"
            )
        self.notes += [
            f"resolver {name}: {resolver.query_count} queries, {resolver.tcp_count} by TCP,"
            f" {resolver.failure_count} lookups without an answer"
            for name, resolver in self._fleet.resolvers.items()
        ]

    def _seconds_after_drain(self, attempt: AttemptRecord) -> float:
        """Return how long an attempt's endpoint had been listed as not ready when it was sent."""
        seen = [
            o
            for o in self._list.observations
            if o.endpoint == attempt.endpoint and o.time_ns <= attempt.time_ns
        ]
        if not seen or seen[-1].state == "ready":
            return 0.0
        drained = len(seen) - 1
        while drained and seen[drained - 1].state != "ready":
            drained -= 1
        return (attempt.time_ns - seen[drained].time_ns) / NS_PER_S


async def _table_log(path: str) -> list[LogEntry]:
    return await asyncio.to_thread(send_command, path, "tables.log", most=MAX_LOG_ENTRIES)


def _canary_note(row: LogEntry) -> str:
    if row["event"] == "canary started":
        outcome = f"tried by {row['proxies']} of {row['of']}"
    else:
        outcome = f"{row['went']}, {row['cause']}"
    return f"{row['timestamp'][11:23]} table {row['table']}: {outcome}"


def _acknowledged_rollbacks(log: list[LogEntry]) -> int | None:
    """Return how many tables are rolled back; None until all proxies acknowledged the newest versions."""
    newest = {entry["table"]: entry for entry in log if entry["newest"]}
    for entry in log:  # an earlier entry may name the same version as the newest
        latest = newest[entry["table"]]
        if latest["under_way"] or (entry["acknowledged"] and entry["version"] != latest["version"]):
            return None
    return sum(entry["cause"] == "rollback" for entry in newest.values())
