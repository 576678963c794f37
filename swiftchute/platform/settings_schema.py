"""Schema of the `settings` object in the configuration file, by the field names of the file.

Each field is validated and the object is converted to `Settings`. Times are in microseconds. Unknown fields
are ignored.
"""

import re
from dataclasses import replace
from typing import Annotated, Any, Literal

import msgspec

from swiftchute.api.settings import Settings
from swiftchute.platform.errors import SettingsError
from swiftchute.simulator import codec

MAX_AMOUNT = 10**15
MAX_OPERATIONS = 64
MAX_ZONES = 1000

_amount = msgspec.Meta(ge=0, le=MAX_AMOUNT)
_divisor = msgspec.Meta(ge=1, le=MAX_AMOUNT)
_retry_policy = msgspec.Meta(ge=0, le=3)
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Amount = Annotated[int, _amount] | Annotated[float, _amount]
Divisor = Annotated[int, _divisor] | Annotated[float, _divisor]
RetryPolicy = Annotated[int, _retry_policy] | Annotated[float, _retry_policy]


class _Operation(msgspec.Struct):
    """An operation."""

    name: Text
    slo_us: Divisor
    deadline_us: Divisor
    credit: Amount
    semantics: Literal["free", "guarded", "single_shot"]
    late_value: Amount | None = None
    group: str | None = None
    window_us: Amount | None = None


class _Permissions(msgspec.Struct):
    """Actions that the policy is permitted to take."""

    probes: bool | None
    peer_messages: bool | None


class _Stats(msgspec.Struct):
    """How endpoints report their load."""

    via: str
    fields: list[str] | None = None


class _Rules(msgspec.Struct):
    """Rules for the start, the draining and the removal of endpoints."""

    drain_grace_us: Amount
    start_capacity: Amount
    warm_within_us: Amount
    fall_multiple: Amount
    fall_us: Amount
    ask_within_us: Amount | None = None
    removal_not_binding: bool | None = None


class _Specifics(msgspec.Struct):
    """Limits of the channel to the proxies."""

    agents: Amount
    empty_for_us: Amount
    ranges: Amount
    admission: str
    base_mode: RetryPolicy
    fails_to_eject: Amount
    initial_set: Amount
    interval_us: Amount
    queue_cap: Amount
    per_message: Amount
    update_cap: Amount
    update_window_us: Amount
    push_delay_us: Amount
    late_most_us: Amount
    per_try: Amount | None
    reports_per_s: Amount | None
    egress_per_s: Divisor
    single_writer: bool | None
    line_fee: Amount | None = None
    stays_local: list[bool | None] | None = None
    class_writes: list[bool | None] | None = None


class _Prices(msgspec.Struct):
    """Costs that the policy takes into account."""

    cross_zone: Amount | None = None
    probe: Amount | None = None


class _Settings(msgspec.Struct):
    """The `settings` object."""

    classes: Annotated[list[_Operation], msgspec.Meta(min_length=1, max_length=MAX_OPERATIONS)]
    dcs: Annotated[list[Text], msgspec.Meta(min_length=1, max_length=MAX_ZONES)]
    zone: str
    ordinal: Amount
    group_size: Amount
    registry_mode: str
    weight_source: str
    stats: _Stats
    permissions: _Permissions
    rules: _Rules
    specifics: _Specifics
    prices: _Prices


def read_settings(path: str, data: dict[str, Any]) -> Settings:
    """Validate the object and convert it to the settings of the policy.

    Args:
        path: Path of the configuration file, for error texts.
        data: The object.

    Raises:
        SettingsError: A field is missing or invalid.
    """
    data = data | {"prices": data.get("prices") or {}}
    try:
        checked = msgspec.convert(data, _Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: settings: {_describe(error)}") from None
    operations = [operation.name for operation in checked.classes]
    for field, names in (("classes", operations), ("dcs", checked.dcs)):
        if len(set(names)) < len(names):
            raise SettingsError(f"{path}: settings: {field}: duplicate name")
    settings = codec.decode_settings(data)
    # Counts must be integers, and values that the policy divides by must not be 0.
    return replace(
        settings,
        max_warmup_ns=max(settings.max_warmup_ns, 1),
        subset_size=max(int(settings.subset_size), 1),
        proxy_count=int(settings.proxy_count),
        default_retry_policy=int(settings.default_retry_policy),
    )


def _describe(error: msgspec.ValidationError) -> str:
    """Return the field and the cause of a validation error as one text."""
    cause, _, field = str(error).partition(" - at `$.")
    field = field.rstrip("`")
    missing = re.fullmatch(r"Object missing required field `(\w+)`", cause)
    if missing:
        field = f"{field}.{missing[1]}" if field else missing[1]
        cause = "missing"
    return f"{field}: {cause}" if field else cause
