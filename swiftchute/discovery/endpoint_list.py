"""Endpoint lists in Prometheus' service discovery format, and the last good one. No I/O, no clock.

    endpoint_list = EndpointList(zones, clock_offset_ns)
    change = endpoint_list.update(text)  # EndpointListChange, or raises EndpointListError

A list (file_sd, http_sd) is a JSON array of `{"targets": ["host:port", ..], "labels": {..}}`. Labels, all
strings as in the format's page: `zone` (required), `kind`, `cell`, `state` (ready or draining; an endpoint
that is not named is removed), `weight`, `start` (seconds since 1970 of the endpoint's last start).
"""

from dataclasses import dataclass, field

import msgspec

from swiftchute.api.endpoints import EndpointRecord, EndpointState, ListScope
from swiftchute.discovery.errors import EndpointListError, InvalidEndpointError
from swiftchute.discovery.targets import parse_target

MAX_TARGETS = 100_000
MAX_SHOWN_CHARS = 64  # of a target that a message quotes


@dataclass(frozen=True, slots=True)
class EndpointListChange:
    """What an accepted list changes.

    Attributes:
        scope: `CACHED` for the first list, `DELTA` for those that follow.
        endpoints: New, changed and removed endpoints, sorted.
        skipped: One text for each target that was ignored, with the cause.
    """

    scope: ListScope | str
    endpoints: tuple[EndpointRecord, ...]
    skipped: tuple[str, ...]


class _TargetGroup(msgspec.Struct):
    targets: list[str]
    labels: dict[str, str] = {}


@dataclass
class EndpointList:
    """The last good endpoint list, and how many lists were accepted and rejected.

    Attributes:
        zones: Names of the zones that endpoints may lie in.
        clock_offset_ns: Wall clock minus the control plane's clock, fixed so that a start time stays the
            same from list to list.
        endpoints: The last good list by target.
    """

    zones: tuple[str, ...]
    clock_offset_ns: int
    endpoints: dict[str, EndpointRecord] = field(default_factory=dict)
    has_list: bool = False
    accepted_count: int = 0
    rejected_count: int = 0

    def update(self, text: bytes) -> EndpointListChange | None:
        """Replace the list by a new one.

        Args:
            text: The list as JSON.

        Returns:
            What changed, or None if nothing did.

        Raises:
            EndpointListError: The list is rejected; the last good one stays.
        """
        try:
            return self._accept(_decode_groups(text))
        except EndpointListError:
            self.rejected_count += 1
            raise

    def _accept(self, groups: list[_TargetGroup]) -> EndpointListChange | None:
        found, skipped = self._read_groups(groups)
        if not found and self.endpoints:
            raise EndpointListError("no server in it: a list empties no pool; drain servers instead")
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
        """Return the endpoints by target, and a text for each target that is skipped.

        A target that cannot be read does not hide the drains beside it: its last good record stays. Of two
        records of one target the one that takes it out of service counts.
        """
        found: dict[str, EndpointRecord] = {}
        skipped = []
        for place, group in enumerate(groups, 1):
            for target in group.targets:
                try:
                    record = parse_target(target, group.labels, self.zones, self.clock_offset_ns)
                except InvalidEndpointError as error:
                    skipped.append(f"group {place}, target {target[:MAX_SHOWN_CHARS]!r}: {error}")
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
        raise EndpointListError(f"not a list of targets: {error}") from None
    if sum(len(group.targets) for group in groups) > MAX_TARGETS:
        raise EndpointListError(f"more than {MAX_TARGETS} targets")
    return groups
