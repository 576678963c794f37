"""Endpoint tables, their assignment to proxies, and ejections, as commanded by the policy.

`Assignments` implements `swiftchute.api.commands.CommandSink`. After the policy has issued the commands of a
round, `finish_round` returns a `RoundResult`: the number of entries for each proxy, and the other commands.
All frontends serve from this state.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from swiftchute.api.settings import Settings
from swiftchute.controller.errors import CommandError

MAX_TIMERS_PER_ROUND = 10_000
MAX_LOG_LINES_PER_ROUND = 1000  # one more line reports that later lines are lost
TABLE_NUMBER_LIMIT = 65_535  # exclusive upper bound
FULL_ADMISSION = 1.0

Admission = tuple[float, int]  # admission rate and retry policy


class TimerRequest(NamedTuple):
    """A timer that the policy requested."""

    delay_ns: int
    timer_id: int


class InvalidWeight(NamedTuple):
    """A commanded weight that is negative, infinite or NaN, and was ignored."""

    table: int
    endpoint: str
    weight: str


@dataclass(slots=True)
class EndpointTable:
    """A table as commanded: weights by endpoint, admission by operation index."""

    weights: dict[str, float] = field(default_factory=dict)
    admission: dict[int, Admission] = field(default_factory=dict)
    revision: int = 0  # incremented with each change of the table


@dataclass(slots=True)
class ProxyAssignment:
    """The tables of a connected proxy, by operation index; a proxy without any is unassigned."""

    zone: str
    table_by_operation: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class RoundResult:
    """What the policy commanded in one round."""

    entries_by_proxy: dict[Any, int] = field(default_factory=dict)
    nonce: int | None = None
    ack_by_everyone: bool = False
    changed_entries_by_table: dict[int, int] = field(default_factory=dict)
    ejections_changed: bool = False
    proxy_assigned: bool = False
    invalid_weights: list[InvalidWeight] = field(default_factory=list)
    timers: list[TimerRequest] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)
    subscribe: bool | None = None
    fetch_list: bool = False


class Assignments:
    """All tables and assignments of one policy incarnation; commands take effect immediately."""

    def __init__(self, settings: Settings, ignore_invalid_weights: bool = False) -> None:
        """Start without tables and proxies.

        With `ignore_invalid_weights` an invalid weight is recorded in the result of the round, otherwise it
        raises `CommandError`.
        """
        self.settings, self.ignore_invalid_weights = settings, ignore_invalid_weights
        self.tables: dict[int, EndpointTable] = {}
        self.proxies: dict[Any, ProxyAssignment] = {}
        self.ejected: set[str] = set()
        self.common_admission: dict[int, Admission] = {}  # for all tables, by operation index
        self.proxies_by_table: dict[int, dict[Any, None]] = {}
        self.current_round = RoundResult()

    def on_proxy_connected(self, proxy: Any, zone: str) -> None:
        """Register a proxy as unassigned; its earlier assignments end."""
        self.on_proxy_disconnected(proxy)
        self.proxies[proxy] = ProxyAssignment(zone)

    def on_proxy_disconnected(self, proxy: Any) -> None:
        """Remove a proxy and its assignments."""
        assignment = self.proxies.pop(proxy, None)
        for table in assignment.table_by_operation.values() if assignment else ():
            self.proxies_by_table[table].pop(proxy, None)

    def finish_round(self) -> RoundResult:
        """Return the commands since the last call, with all entries counted by proxy."""
        result, self.current_round = self.current_round, RoundResult()
        for table, entries in result.changed_entries_by_table.items():
            for proxy in self.proxies_by_table.get(table, ()):
                result.entries_by_proxy[proxy] = result.entries_by_proxy.get(proxy, 0) + entries
        if result.nonce is not None:
            for proxy in self.proxies if result.ack_by_everyone else result.entries_by_proxy:
                # the nonce takes up one entry of each message
                result.entries_by_proxy[proxy] = result.entries_by_proxy.get(proxy, 0) + 1
        return result

    def admission(self, table: int, operation: int) -> Admission:
        """Return the effective limit and retry policy for an operation of a table."""
        own = self.tables[table].admission.get(operation)
        common = self.common_admission.get(operation)
        if own is None:
            return common or (FULL_ADMISSION, self.settings.default_retry_policy)
        if common is None:
            return own
        return min(own[0], common[0]), own[1]

    def table_name(self, table: int) -> str:
        """Return the name of a table on the proxies; it is unique across instances."""
        return f"{self.settings.instance}.{table}"

    def table_number(self, name: str) -> int | None:
        """Return the number of the table with a name; None if there is no such table."""
        return next((number for number in self.tables if self.table_name(number) == name), None)

    def usable_weights(self, table: int) -> dict[str, float]:
        """Return the weights of a table without ejected endpoints."""
        return {
            endpoint: weight
            for endpoint, weight in self.tables[table].weights.items()
            if endpoint not in self.ejected
        }

    def operations_of(self, table: int) -> list[int]:
        """Return the indices of the operations for which any proxy uses a table."""
        assignments = (self.proxies[proxy] for proxy in self.proxies_by_table.get(table, ()))
        return sorted(
            {
                operation
                for assignment in assignments
                for operation, number in assignment.table_by_operation.items()
                if number == table
            }
        )

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Set the weight of an endpoint in a table; 0 removes the entry."""
        if not 0 <= weight < float("inf"):
            if not self.ignore_invalid_weights:
                raise CommandError(
                    f"table {table}, {endpoint}: weight {weight} is not a finite number of 0 or more"
                )
            self.current_round.invalid_weights.append(InvalidWeight(table, endpoint, str(weight)))
            return
        weights = self._table(table).weights
        if weight:
            weights[endpoint] = weight
        else:
            weights.pop(endpoint, None)
        self._mark_changed(table)

    def clear_table(self, table: int) -> None:
        """Remove all entries and admission rates of a table."""
        cleared = self._table(table)
        cleared.weights, cleared.admission = {}, {}
        self._mark_changed(table)

    def assign_table(self, proxy: Any, table: int, operation_mask: int) -> None:
        """Make a proxy use a table for the operations of the mask; the whole table is sent to it."""
        if proxy not in self.proxies:
            return  # it has disconnected in the meantime
        content, table_by_operation = self._table(table), self.proxies[proxy].table_by_operation
        self.current_round.proxy_assigned = True
        for operation in self._operations(operation_mask):
            old = table_by_operation.get(operation)
            table_by_operation[operation] = table
            if old is not None and old not in table_by_operation.values():
                self.proxies_by_table[old].pop(proxy, None)
        self.proxies_by_table.setdefault(table, {})[proxy] = None
        entries = (
            1
            + len(content.weights)
            + len(content.admission)
            + len(self.ejected & content.weights.keys())
            + len(self.common_admission)
        )
        # `finish_round` adds the entries changed earlier in this round; they must not be counted twice
        entries -= self.current_round.changed_entries_by_table.get(table, 0)
        self._add_entries(proxy, entries)

    def set_admission(
        self, table: int | None, operation_mask: int, admission_rate: float, retry_policy: int
    ) -> None:
        """Set the share of requests to admit and the retry policy, in one table or (None) in all."""
        if not admission_rate >= 0 or retry_policy not in (0, 1, 2, 3):
            raise CommandError(
                f"table {table}: admission rate {admission_rate} (must be 0 or more),"
                f" retry policy {retry_policy} (must be 0 to 3)"
            )
        admission = dict.fromkeys(self._operations(operation_mask), (admission_rate, retry_policy))
        if table is not None:
            self._table(table).admission |= admission
            self._mark_changed(table)
            return
        self.common_admission |= admission
        for number in self.tables:
            self._mark_changed(number, entries=0)
        for proxy in self.proxies:
            self._add_entries(proxy, 1)

    def set_ejected(self, endpoint: str, ejected: bool) -> None:
        """Eject an endpoint from the tables of all connected proxies, or restore it."""
        (self.ejected.add if ejected else self.ejected.discard)(endpoint)
        self.current_round.ejections_changed = True
        for number, table in self.tables.items():
            if endpoint in table.weights:
                self._mark_changed(number, entries=0)
        for proxy, assignment in self.proxies.items():
            tables = assignment.table_by_operation.values()
            if not tables or any(endpoint in self.tables[table].weights for table in tables):
                self._add_entries(proxy, 1)

    def request_ack(self, nonce: int, everyone: bool) -> None:
        """Request an acknowledgement of this round, from the proxies it sends to or from all."""
        self.current_round.nonce, self.current_round.ack_by_everyone = nonce, everyone

    def subscribe(self, enabled: bool) -> None:
        """Start or end the subscription to the endpoint list."""
        self.current_round.subscribe = enabled

    def fetch_list(self) -> None:
        """Request the whole endpoint list once."""
        self.current_round.fetch_list = True

    def start_timer(self, delay_ns: int, timer_id: int) -> None:
        """Deliver `TimerFired` after a delay."""
        if len(self.current_round.timers) >= MAX_TIMERS_PER_ROUND:
            raise CommandError(f"more than {MAX_TIMERS_PER_ROUND} timers started in one round")
        self.current_round.timers.append(TimerRequest(delay_ns, timer_id))

    def log(self, text: str) -> None:
        """Write a line for the operators."""
        log_lines = self.current_round.log_lines
        if len(log_lines) < MAX_LOG_LINES_PER_ROUND:
            log_lines.append(text)
        elif len(log_lines) == MAX_LOG_LINES_PER_ROUND:
            log_lines.append("log full: on, later lines of this round are lost")

    def probe(self, endpoint: str) -> None:
        """Raise `CommandError`: the settings allow no health checks."""
        raise CommandError(f"probe of {endpoint}: the settings do not allow health checks")

    def send_to_peer(self, peer: int | None, payload: bytes) -> None:
        """Raise `CommandError`: the settings allow no messages between instances."""
        raise CommandError(f"message to peer {peer}: the settings do not allow messages between instances")

    def _table(self, number: int) -> EndpointTable:
        if not 0 <= number < TABLE_NUMBER_LIMIT:
            raise CommandError(f"table {number}: table numbers must be 0 to {TABLE_NUMBER_LIMIT - 1}")
        return self.tables.setdefault(number, EndpointTable())

    def _mark_changed(self, number: int, entries: int = 1) -> None:
        self.tables[number].revision += 1
        changed = self.current_round.changed_entries_by_table
        changed[number] = changed.get(number, 0) + entries

    def _add_entries(self, proxy: Any, entries: int) -> None:
        entries_by_proxy = self.current_round.entries_by_proxy
        entries_by_proxy[proxy] = entries_by_proxy.get(proxy, 0) + entries

    def _operations(self, mask: int) -> list[int]:
        """Return the indices of the operations in a mask; a mask of 0 means all."""
        return [index for index in range(len(self.settings.operations)) if not mask or mask >> index & 1]
