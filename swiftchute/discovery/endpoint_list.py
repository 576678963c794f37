"""Reads endpoint lists in Prometheus' service discovery format; stores the last good one. No I/O, no clock.

    endpoint_list = EndpointList(zones, clock_offset_ns)
    change = endpoint_list.update(text)  # EndpointListChange, or raises EndpointListError

A list (file_sd, http_sd) is a JSON array of `{"targets": ["host:port", ..], "labels": {..}}`. All labels are
strings, as the format requires: `zone` (required), `kind`, `cell`, `state` (ready or draining), `weight` and
`start` (the endpoint's last start, in seconds since 1970). An endpoint that is not listed is removed.
"""

from dataclasses import dataclass, field

import msgspec

from swiftchute.api.endpoints import EndpointRecord, EndpointState, ListScope
from swiftchute.discovery.errors import EndpointListError, InvalidEndpointError
from swiftchute.discovery.targets import parse_target

MAX_TARGETS = 100_000
MAX_SHOWN_CHARS = 64  # of a target quoted in a message


@dataclass(frozen=True, slots=True)
class EndpointListChange:
    """The changes made by an accepted list.

    Attributes:
        scope: `CACHED` for the first list, `DELTA` for those that follow.
        endpoints: New, changed and removed endpoints, sorted.
        skipped: A message for each target that was skipped, with the cause.
    """

    scope: ListScope | str
    endpoints: tuple[EndpointRecord, ...]
    skipped: tuple[str, ...]


class _TargetGroup(msgspec.Struct):
    targets: list[str]
    labels: dict[str, str] = {}


@dataclass
class EndpointList:
    """The last good endpoint list, and the numbers of accepted and rejected lists.

    Attributes:
        zones: Names of the zones that endpoints may be in.
        clock_offset_ns: Wall clock minus the control plane's clock; constant, so that the start time of an
            endpoint does not vary between lists.
        endpoints: The last good list by target.
    """

    zones: tuple[str, ...]
    clock_offset_ns: int
    endpoints: dict[str, EndpointRecord] = field(default_factory=dict)
    has_list: bool = False
    accepted_count: int = 0
    rejected_count: int = 0

    def update(self, text: bytes) -> EndpointListChange | None:
        """Replace the endpoint list.

        Args:
            text: The list as JSON.

        Returns:
            The changes, or None if there are none.

        Raises:
            EndpointListError: The list is rejected; the last good one stays in force.
        """
        try:
            return self._accept(_decode_groups(text))
        except EndpointListError:
            self.rejected_count += 1
            raise

    def _accept(self, groups: list[_TargetGroup]) -> EndpointListChange | None:
        found, skipped = self._read_groups(groups)
        if not found and self.endpoints:
            raise EndpointListError(
                "the list has no targets; a list cannot empty the pool, drain the endpoints instead"
            )
        removed = [
            record._replace(state=EndpointState.REMOVED)
            for target, record in self.endpoints.items()
            if target not in found
        ]
        changed = [record for target, record in found.items() if self.endpoints.get(target) != record]
        scope = ListScope.DELTA if self.has_list else ListScope.CACHED
        self.endpoints = found
        self.has_list = True
        self.accepted_count += 1
        endpoints = tuple(sorted([*changed, *removed]))
        if not endpoints and not skipped and scope != ListScope.CACHED:
            return None
        return EndpointListChange(scope, endpoints, tuple(skipped))

    def _read_groups(self, groups: list[_TargetGroup]) -> tuple[dict[str, EndpointRecord], list[str]]:
        """Return the endpoints by target, and a message for each skipped target.

        An invalid target keeps its last good record and does not invalidate the rest of the list, so that
        drains of other targets take effect. Of several records of a target, a draining one takes precedence.
        """
        found: dict[str, EndpointRecord] = {}
        skipped = []
        for number, group in enumerate(groups, 1):
            for target in group.targets:
                try:
                    record = parse_target(target, group.labels, self.zones, self.clock_offset_ns)
                except InvalidEndpointError as error:
                    skipped.append(f"group {number}, target {target[:MAX_SHOWN_CHARS]!r}: {error}")
                    if target not in self.endpoints:
                        continue
                    record = self.endpoints[target]
                earlier = found.get(target)
                if earlier is None or earlier.state == EndpointState.READY:
                    found[target] = record
        return found, skipped


def _decode_groups(text: bytes) -> list[_TargetGroup]:
    try:
        groups = msgspec.json.decode(text, type=list[_TargetGroup])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise EndpointListError(f"the list is not a JSON array of target groups: {error}") from None
    if sum(len(group.targets) for group in groups) > MAX_TARGETS:
        raise EndpointListError(f"the list has more than {MAX_TARGETS} targets")
    return groups
