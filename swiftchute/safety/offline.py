"""Validates a table in a file against an endpoint list in a file, for `swiftchute guard check`."""

import time

import msgspec

from swiftchute.api.settings import Settings
from swiftchute.discovery.endpoint_list import EndpointList
from swiftchute.discovery.errors import EndpointListError
from swiftchute.safety.errors import InputFileError
from swiftchute.safety.proposal import EndpointStatus, Observations, Proposal, SafetyRules, Verdict
from swiftchute.safety.validator import Validator

TABLE_NUMBER = 0  # of the only table that is validated


class TableFile(msgspec.Struct, forbid_unknown_fields=True):
    """A table as an operator writes it in JSON.

    Attributes:
        weights: Weight by endpoint.
        zones: Zones of the proxies that it is assigned to.
        admission_rate: Fraction of the requests that is admitted, 0 to 1.
        zone_local: Whether it serves an operation whose requests must not leave their zone.
        request_rate: Requests per second; None if unknown.
        peak_rate_by_kind: Successful requests per second of a warm endpoint of weight 1, by kind.
    """

    weights: dict[str, float] = msgspec.field(name="lines")
    zones: list[str]
    admission_rate: float = msgspec.field(name="level", default=1.0)
    zone_local: bool = msgspec.field(name="local", default=False)
    request_rate: float | None = msgspec.field(name="demand", default=None)
    peak_rate_by_kind: dict[str, float] = msgspec.field(name="full", default_factory=dict)


def read_table(path: str) -> TableFile:
    """Read a table from a JSON file.

    Raises:
        InputFileError: The file cannot be read or does not hold a table.
    """
    try:
        return msgspec.json.decode(_read_bytes(path), type=TableFile)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InputFileError(f"{path}: {error}") from None


def read_endpoint_list(path: str, zones: tuple[str, ...]) -> dict[str, EndpointStatus]:
    """Read an endpoint list; start times are wall-clock times, so ages are relative to the current time.

    Raises:
        InputFileError: The file cannot be read, or the list is rejected or has an invalid target.
    """
    endpoint_list = EndpointList(zones, 0)
    try:
        change = endpoint_list.update(_read_bytes(path))
    except EndpointListError as error:
        raise InputFileError(f"{path}: {error}") from None
    if change is not None and change.skipped:
        raise InputFileError(f"{path}: {change.skipped[0]}")
    return {
        target: EndpointStatus(record.zone, record.state, record.started_ns, record.weight, record.kind)
        for target, record in endpoint_list.endpoints.items()
    }


def _read_bytes(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise InputFileError(f"{path}: cannot be read: {error.strerror}") from None


def validate_table(settings: Settings, table: TableFile, statuses: dict[str, EndpointStatus]) -> Verdict:
    """Validate one table by all rules; its number in the verdict is 0.

    Raises:
        InputFileError: The table names a zone that is not in the settings.
    """
    unknown = sorted(set(table.zones) - set(settings.zones))
    if unknown:
        raise InputFileError(f"zones: {', '.join(unknown)} are none of {', '.join(settings.zones)}")
    proposal = Proposal(
        table.weights, table.admission_rate, frozenset(table.zones), table.zone_local, table.request_rate
    )
    validator = Validator(settings, SafetyRules())
    observations = Observations(table.peak_rate_by_kind)
    return validator.validate({TABLE_NUMBER: proposal}, {}, statuses, observations, time.time_ns())
