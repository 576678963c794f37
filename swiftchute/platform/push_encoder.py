"""From the assignments of a round to one `push` message a proxy. No I/O, and nothing waits here.

For each connected proxy the encoder keeps what was last written to it: the content of its table by operation,
and the endpoints that it ejects. A message is the difference to what the assignments say now, so that a proxy
to which nothing could be written for a while gets one message, whatever was ordered meanwhile. Proxies of one
table that hold the same content share the bytes of a round.

A full table leaves ejected endpoints ejected, whichever instance ordered that. What goes first to a proxy
that holds tables of another instance therefore restores the endpoints of its tables that may have been
ejected there (see `listed_endpoints`).
"""

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.settings import Settings
from swiftchute.controller.assignments import Assignments
from swiftchute.platform import push_difference, wire_messages
from swiftchute.platform.errors import EgressQueueFullError
from swiftchute.platform.listed_endpoints import ListedEndpoints
from swiftchute.platform.push_difference import TableContent

MAX_SHARED_MESSAGES = 64  # encoded messages of a round that several proxies may share


class EncodedPush(NamedTuple):
    """A push message."""

    data: bytes  # empty if there is nothing to write
    entry_count: int  # as the protocol counts entries


class ProxyContent(msgspec.Struct):
    """What was last written to a proxy."""

    foreign: bool  # it may eject endpoints by another instance's command
    tables: dict[int, TableContent] = msgspec.field(default_factory=dict)  # by operation
    ejected: set[str] = msgspec.field(default_factory=set)
    settled: set[str] = msgspec.field(default_factory=set)  # of a foreign one: these are known


class PushEncoder:
    """Encodes the difference between what each proxy holds and what it should hold."""

    def __init__(self, settings: Settings, assignments: Assignments) -> None:
        """Start with nothing written to any proxy."""
        self.assignments = assignments
        self.operation_names = [operation.name for operation in settings.operations]
        self.listed = ListedEndpoints()
        self.proxies: dict[Any, ProxyContent] = {}
        self.incarnation = 0  # of the policy
        self._contents: dict[int, tuple[int, TableContent]] = {}  # by table, with its revision
        self._shared: dict[Any, EncodedPush] = {}

    def on_policy_restart(self, assignments: Assignments) -> None:
        """Serve the assignments of a new policy; its tables are others, even under the same numbers."""
        self.incarnation += 1
        self.assignments = assignments
        self._contents.clear()
        self._shared.clear()

    def add_proxy(self, proxy: Any, fresh: bool) -> None:
        """Start with nothing written to a proxy.

        Args:
            proxy: Its number.
            fresh: Whether it holds no tables of an earlier session.
        """
        self.proxies[proxy] = ProxyContent(foreign=not fresh)

    def remove_proxy(self, proxy: Any) -> None:
        """Forget a proxy whose session is over."""
        self.proxies.pop(proxy, None)

    def update_list(self, records: Iterable[EndpointRecord], snapshot: bool) -> None:
        """Note the endpoint list, or changes to it, as `ListedEndpoints.update` does."""
        self.listed.update(records, snapshot)

    def clear_shared(self) -> None:
        """Drop the messages that proxies of one round may share."""
        self._shared.clear()

    def table_content(self, table: int) -> TableContent:
        """What a table holds now; the same object until the table changes."""
        ordered = self.assignments.tables[table]
        revision, content = self._contents.get(table, (None, None))
        if content is None or revision != ordered.revision:
            admissions = {
                operation: self.assignments.admission(table, operation)
                for operation in range(len(self.operation_names))
                if operation in ordered.admission or operation in self.assignments.common_admission
            }
            content = TableContent((self.incarnation, table), dict(ordered.weights), admissions)
            self._contents[table] = (ordered.revision, content)
        return content

    def encode(
        self,
        proxy: Any,
        nonce: int | None,
        newly_ejected: Iterable[str] = (),
        max_entries: float = math.inf,
    ) -> EncodedPush:
        """Encode what leads a proxy from what was written to what it should hold now.

        Args:
            proxy: Its number.
            nonce: Number that the proxy is to acknowledge, if any.
            newly_ejected: Endpoints ejected since the last round, for a proxy that has no table yet.
            max_entries: Entries that the message may have.

        Raises:
            EgressQueueFullError: The message has more entries; it does not count as written.
            MessageTooLargeError: The difference does not fit into one message.
        """
        written = self.proxies[proxy]
        assigned = self.assignments.proxies[proxy].table_by_operation
        desired = {operation: self.table_content(table) for operation, table in assigned.items()}
        eject, restore = self._ejection_difference(written, desired, newly_ejected)
        key = (
            tuple((index, desired[index], written.tables.get(index)) for index in sorted(desired)),
            tuple(eject), tuple(restore), nonce,
        )  # fmt: skip
        message = self._shared.get(key)
        if message is None:
            message = self._encode(written.tables, desired, eject, restore, nonce)
            if len(self._shared) < MAX_SHARED_MESSAGES:
                self._shared[key] = message
        if message.entry_count > max_entries:
            raise EgressQueueFullError(f"{message.entry_count} entries, {max_entries:g} are free")
        self._record_written(written, desired, eject, restore)
        return message

    def _ejection_difference(
        self, written: ProxyContent, desired: dict[int, TableContent], newly_ejected: Iterable[str]
    ) -> tuple[list[str], list[str]]:
        """Endpoints that the proxy must eject, and those that it must restore."""
        ejected = self.assignments.ejected
        # What the list says is not ready stays ejected, even where a new policy has ejected nothing.
        restore = written.ejected - ejected - self.listed.not_ready
        if not desired:
            eject = {endpoint for endpoint in newly_ejected if endpoint in ejected} - written.ejected
            return sorted(eject), sorted(restore)
        named: set[str] = set()
        for content in set(desired.values()):
            named |= content.weights.keys()
        if written.foreign and self.listed.possibly_ejected:
            restore |= (named & self.listed.possibly_ejected) - ejected - written.settled
        return sorted((named & ejected) - written.ejected), sorted(restore)

    def _encode(
        self,
        before: dict[int, TableContent],
        after: dict[int, TableContent],
        eject: list[str],
        restore: list[str],
        nonce: int | None,
    ) -> EncodedPush:
        differences = push_difference.table_difference(before, after, self.operation_names)
        parts = push_difference.complete_message(differences, eject, restore, nonce)
        entry_count = sum(part.entry_count for part in parts)
        return EncodedPush(wire_messages.encode_push(parts), entry_count)

    def _record_written(
        self, written: ProxyContent, desired: dict[int, TableContent], eject: list[str], restore: list[str]
    ) -> None:
        written.tables = desired or written.tables
        if eject or restore:
            written.ejected = written.ejected.union(eject).difference(restore)
        if written.foreign:
            settled = written.settled.union(eject, restore)
            written.settled = settled & (self.listed.started_ns.keys() | written.ejected)
