"""Encodes the assignments of a round as one `push` message per proxy. No I/O and no queueing.

For each connected proxy the encoder keeps what was last written to it: the content of its tables by
operation, and its ejected endpoints. A message holds the difference between that and the current assignments.
A proxy that could not be written to for a while therefore gets a single message, however many changes were
made in the meantime. In one round, proxies of the same table with the same content share the encoded bytes.

Replacing a table in full does not restore ejected endpoints, whichever instance ejected them. The first
message to a proxy that holds tables of another instance therefore restores the endpoints in its tables that
the other instance may have ejected (see `listed_endpoints`).
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

MAX_SHARED_MESSAGES = 64  # encoded messages that are kept in a round to be shared by several proxies


class EncodedPush(NamedTuple):
    """An encoded push message."""

    data: bytes  # empty if there is nothing to write
    entry_count: int  # counted by the rules of the protocol


class ProxyContent(msgspec.Struct):
    """What was last written to a proxy.

    For a foreign proxy, `ejection_known` holds the endpoints that were ejected or restored by this instance.
    """

    foreign: bool  # may hold endpoints that another instance ejected
    tables: dict[int, TableContent] = msgspec.field(default_factory=dict)  # by operation
    ejected: set[str] = msgspec.field(default_factory=set)
    ejection_known: set[str] = msgspec.field(default_factory=set)  # foreign proxies only


class PushEncoder:
    """Encodes the difference between what each proxy holds and what it should hold."""

    def __init__(self, settings: Settings, assignments: Assignments) -> None:
        """Create an encoder that has written nothing to any proxy."""
        self.assignments = assignments
        self.operation_names = [operation.name for operation in settings.operations]
        self.listed = ListedEndpoints()
        self.proxies: dict[Any, ProxyContent] = {}
        self.incarnation = 0  # of the policy
        self._contents: dict[int, tuple[int, TableContent]] = {}  # by table, with the table's revision
        self._shared: dict[Any, EncodedPush] = {}

    def on_policy_restart(self, assignments: Assignments) -> None:
        """Use the assignments of a new policy; its tables are new ones even if their numbers are the same."""
        self.incarnation += 1
        self.assignments = assignments
        self._contents.clear()
        self._shared.clear()

    def add_proxy(self, proxy: Any, fresh: bool) -> None:
        """Add a proxy that nothing was written to yet.

        Args:
            proxy: The number of the proxy.
            fresh: Whether the proxy holds no tables from an earlier session.
        """
        self.proxies[proxy] = ProxyContent(foreign=not fresh)

    def remove_proxy(self, proxy: Any) -> None:
        """Remove a proxy whose session has ended."""
        self.proxies.pop(proxy, None)

    def update_list(self, records: Iterable[EndpointRecord], snapshot: bool) -> None:
        """Record the endpoint list or changes to it; see `ListedEndpoints.update`."""
        self.listed.update(records, snapshot)

    def clear_shared(self) -> None:
        """Discard the messages that proxies share within a round."""
        self._shared.clear()

    def table_content(self, table: int) -> TableContent:
        """Return the current content of a table; the same object until the table changes."""
        table_state = self.assignments.tables[table]
        revision, content = self._contents.get(table, (None, None))
        if content is None or revision != table_state.revision:
            admissions = {
                operation: self.assignments.admission(table, operation)
                for operation in range(len(self.operation_names))
                if operation in table_state.admission or operation in self.assignments.common_admission
            }
            content = TableContent((self.incarnation, table), dict(table_state.weights), admissions)
            self._contents[table] = (table_state.revision, content)
        return content

    def encode(
        self,
        proxy: Any,
        nonce: int | None,
        newly_ejected: Iterable[str] = (),
        max_entries: float = math.inf,
    ) -> EncodedPush:
        """Encode the difference between what was written to a proxy and what it should hold now.

        Args:
            proxy: The number of the proxy.
            nonce: The nonce that the proxy must acknowledge, if any.
            newly_ejected: Endpoints ejected since the last round, for a proxy that has no table yet.
            max_entries: The maximum number of entries of the message.

        Raises:
            EgressQueueFullError: The message has more entries than that; it is not recorded as written.
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
            raise EgressQueueFullError(
                f"message has {message.entry_count} entries; the egress queue has room for {max_entries:g}"
            )
        self._record_written(written, desired, eject, restore)
        return message

    def _ejection_difference(
        self, written: ProxyContent, desired: dict[int, TableContent], newly_ejected: Iterable[str]
    ) -> tuple[list[str], list[str]]:
        """Return the endpoints that the proxy must eject and those that it must restore."""
        ejected = self.assignments.ejected
        # Endpoints listed as not ready stay ejected, even if a new policy has not ejected them.
        restore = written.ejected - ejected - self.listed.not_ready
        if not desired:
            eject = {endpoint for endpoint in newly_ejected if endpoint in ejected} - written.ejected
            return sorted(eject), sorted(restore)
        named: set[str] = set()
        for content in set(desired.values()):
            named |= content.weights.keys()
        if written.foreign and self.listed.possibly_ejected:
            restore |= (named & self.listed.possibly_ejected) - ejected - written.ejection_known
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
            ejection_known = written.ejection_known.union(eject, restore)
            written.ejection_known = ejection_known & (self.listed.started_ns.keys() | written.ejected)
