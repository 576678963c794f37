"""Builds the parts of a push message from the difference between two contents of a proxy's tables.

All functions are pure. Operations are identified by their index in the settings; `names` holds the
operation names in that order.
"""

from collections.abc import Sequence

import msgspec

from swiftchute.platform.errors import MessageTooLargeError
from swiftchute.platform.wire_messages import PushPart

MAX_PART_ENTRIES = 2000  # keeps a part far below the protocol's limit for the size of a message
MAX_PARTS = 64  # per message; a limit of the protocol

Admission = tuple[float, int]  # admission rate (0 to 1) and retry policy


class TableContent(msgspec.Struct, frozen=True, eq=False):
    """The content of a table at one time; compared by object identity."""

    identity: tuple[int, int]  # incarnation of the policy and number of the table
    weights: dict[str, float]  # by endpoint
    admissions: dict[int, Admission]  # by operation; only those that were set


def table_difference(
    before: dict[int, TableContent], after: dict[int, TableContent], names: Sequence[str]
) -> list[PushPart]:
    """Return the parts that change a proxy's tables from one content to another.

    Args:
        before: The content that the proxy holds, by operation.
        after: The content that it should hold, by operation.
        names: Names of the operations.
    """
    groups: dict[tuple[TableContent | None, TableContent], list[int]] = {}
    for operation, content in sorted(after.items()):
        groups.setdefault((before.get(operation), content), []).append(operation)
    parts: list[PushPart] = []
    for (old, new), operations in groups.items():
        if old is None or _needs_full(old, new, operations):
            parts += table_parts(operations, new.weights, _admissions_of(new, operations), True, names)
        elif old is not new:
            admissions = {
                operation: admission
                for operation, admission in _admissions_of(new, operations).items()
                if old.admissions.get(operation) != admission
            }
            parts += table_parts(operations, _changed_weights(old, new), admissions, False, names)
    return parts


def _needs_full(old: TableContent, new: TableContent, operations: list[int]) -> bool:
    """Whether the proxy must replace the whole table: it is a different one, or an admission was unset."""
    return old.identity != new.identity or any(
        operation in old.admissions and operation not in new.admissions for operation in operations
    )


def _admissions_of(content: TableContent, operations: list[int]) -> dict[int, Admission]:
    return {
        operation: content.admissions[operation]
        for operation in operations
        if operation in content.admissions
    }


def _changed_weights(old: TableContent, new: TableContent) -> dict[str, float]:
    changed = {
        endpoint: weight for endpoint, weight in new.weights.items() if old.weights.get(endpoint) != weight
    }
    # Removals come last, so that the table is never empty while the changes are applied.
    return changed | dict.fromkeys((endpoint for endpoint in old.weights if endpoint not in new.weights), 0)


def table_parts(
    operations: list[int],
    weights: dict[str, float],
    admissions: dict[int, Admission],
    full: bool,
    names: Sequence[str],
) -> list[PushPart]:
    """Return the message parts of one table.

    Args:
        operations: The operations that use the table.
        weights: Weights to set, by endpoint; 0 removes the endpoint.
        admissions: Admissions to set, by operation.
        full: Whether the weights replace the table.
        names: Names of the operations.
    """
    parts = _weight_parts(operations, weights, full, names)
    operations_by_admission: dict[Admission, list[int]] = {}
    for operation, admission in admissions.items():
        operations_by_admission.setdefault(admission, []).append(operation)
    for (rate, retry_policy), admitted in operations_by_admission.items():
        if len(operations_by_admission) == 1 and admitted == operations and parts:
            part = parts[-1]
        else:
            part = PushPart(operation_names(admitted, names))
            parts.append(part)
        part.admission_rate, part.retry_policy = rate, retry_policy
    return parts


def _weight_parts(
    operations: list[int], weights: dict[str, float], full: bool, names: Sequence[str]
) -> list[PushPart]:
    entries = [[endpoint, weight] for endpoint, weight in weights.items()]
    if not entries and not full:
        return []
    return [
        PushPart(
            operation_names(operations, names),
            full=full and not first,
            weights=entries[first : first + MAX_PART_ENTRIES],
        )
        for first in range(0, max(len(entries), 1), MAX_PART_ENTRIES)
    ]


def operation_names(operations: list[int], names: Sequence[str]) -> list[str] | None:
    """Return the names of the operations, or None if these are all operations."""
    return None if len(operations) == len(names) else [names[operation] for operation in operations]


def complete_message(
    parts: list[PushPart], eject: list[str], restore: list[str], nonce: int | None
) -> list[PushPart]:
    """Add ejections and the nonce to the parts of a message; empty if there is nothing to write.

    Args:
        parts: The parts of the tables.
        eject: Endpoints to eject.
        restore: Endpoints to restore.
        nonce: The nonce that the proxy must acknowledge, if any.

    Raises:
        MessageTooLargeError: The message has more than `MAX_PARTS` parts.
    """
    if not parts and not eject and not restore and nonce is None:
        return []
    parts = parts or [PushPart()]
    for first in range(0, len(eject), MAX_PART_ENTRIES):
        if first:
            parts.append(PushPart())
        parts[-1].eject = eject[first : first + MAX_PART_ENTRIES]
    for first in range(0, len(restore), MAX_PART_ENTRIES):
        if first:
            parts.append(PushPart())
        parts[-1].restore = restore[first : first + MAX_PART_ENTRIES]
    parts[-1].nonce = nonce
    if len(parts) > MAX_PARTS:
        raise MessageTooLargeError(f"push message has {len(parts)} parts; {MAX_PARTS} at most")
    return parts
