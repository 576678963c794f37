"""What a planner is told: the JSON file that `GW_CONFIG` names, with `GW_*` for what it leaves out. No
I/O but reading that file.

    told = read(environment)        # raises SettingsError: file, field and cause

`settings` in it is checked here, field by field, and read by `simulator.codec.settings`, as on the
simulator's wire.
"""

import ipaddress
import json
import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Annotated, Any, Literal

import msgspec

from swiftchute.api.settings import Settings
from swiftchute.platform.errors import SettingsError
from swiftchute.simulator import codec

FILE_MOST = 16 << 20  # bytes of the file
SOCKETS_LEAST = 64
SOCKETS_USUAL = 1024


Text = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_amount, _divides = msgspec.Meta(ge=0, le=10**15), msgspec.Meta(ge=1, le=10**15)  # times are microseconds
Amount = Annotated[int, _amount] | Annotated[float, _amount]
Divides = Annotated[int, _divides] | Annotated[float, _divides]
_way = msgspec.Meta(ge=0, le=3)


class _Class(msgspec.Struct):
    name: Text
    slo_us: Divides
    deadline_us: Divides
    credit: Amount
    semantics: Literal["free", "guarded", "single_shot"]
    late_value: Amount | None = None
    group: str | None = None
    window_us: Amount | None = None


class _Permissions(msgspec.Struct):
    probes: bool | None
    peer_messages: bool | None


class _Stats(msgspec.Struct):
    via: str
    fields: list[str] | None = None


class _Rules(msgspec.Struct):
    drain_grace_us: Amount
    start_capacity: Amount
    warm_within_us: Amount
    fall_multiple: Amount
    fall_us: Amount
    ask_within_us: Amount | None = None
    removal_not_binding: bool | None = None


class _Specifics(msgspec.Struct):
    agents: Amount
    empty_for_us: Amount
    ranges: Amount
    admission: str
    base_mode: Annotated[int, _way] | Annotated[float, _way]
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
    egress_per_s: Divides
    single_writer: bool | None
    line_fee: Amount | None = None
    stays_local: list[bool | None] | None = None
    class_writes: list[bool | None] | None = None


class _Prices(msgspec.Struct):
    cross_zone: Amount | None = None
    probe: Amount | None = None


class _Schema(msgspec.Struct):
    """The settings as the platform gives them; fields that this program does not use are not looked at."""

    classes: Annotated[list[_Class], msgspec.Meta(min_length=1, max_length=64)]
    dcs: Annotated[list[Text], msgspec.Meta(min_length=1, max_length=1000)]
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


@dataclass(frozen=True)
class Configuration:
    """The configuration, read and checked."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: bytes | None  # the list in discovery's form
    settings: Settings


def read(environment: Mapping[str, str]) -> Configuration:
    """Read and check the configuration."""
    path = environment.get("GW_CONFIG", "")
    if not path:
        raise SettingsError("GW_CONFIG: not set; it names the configuration file")
    try:
        with open(path, "rb") as file:
            text = file.read(FILE_MOST + 1)
    except OSError as why:
        raise SettingsError(f"{path}: {why.strerror}") from None
    if len(text) > FILE_MOST:
        raise SettingsError(f"{path}: more than {FILE_MOST} bytes")
    try:
        data = json.loads(text)
        json.dumps(data, ensure_ascii=False).encode()  # half a surrogate pair can be escaped, but not written
    except (ValueError, RecursionError) as why:
        raise SettingsError(f"{path}: not JSON: {str(why)[:200]}") from None
    if not isinstance(data, dict):
        raise SettingsError(f"{path}: not an object")
    for field, variable in (("name", "GW_NAME"), ("listen", "GW_LISTEN"), ("discovery", "GW_DISCOVERY")):
        if field not in data and environment.get(variable):
            data[field] = environment[variable]
    return _told(path, data)


def _told(path: str, data: dict[str, Any]) -> Configuration:
    limits = _field(path, data, "limits", dict, {})
    sockets = _field(path, limits, "sockets", int, SOCKETS_USUAL, "limits.")
    if sockets < SOCKETS_LEAST:
        raise SettingsError(f"{path}: limits.sockets: {sockets}; {SOCKETS_LEAST} at least")
    seed = data.get("seed", "0")
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError, OverflowError):
        raise SettingsError(f"{path}: seed: {str(seed)[:64]!r} is no number") from None
    known = data.get("known")
    return Configuration(
        _field(path, data, "name", str),
        _address(path, data, "listen"),
        _address(path, data, "discovery"),
        seed,
        sockets,
        None if known is None else json.dumps(known).encode(),
        _settings(path, _field(path, data, "settings", dict)),
    )


def _field(path: str, data: dict[str, Any], name: str, kind: type, default: Any = None, at: str = "") -> Any:
    value = data.get(name, default)
    if value is None:
        raise SettingsError(f"{path}: {at}{name}: missing")
    if not isinstance(value, kind) or isinstance(value, bool):
        raise SettingsError(f"{path}: {at}{name}: {str(value)[:64]!r} is not of type {kind.__name__}")
    return value


def _address(path: str, data: dict[str, Any], name: str) -> tuple[str, int]:
    text = _field(path, data, name, str)
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))  # no name, as nothing here may wait for its address
        usable = port.isascii() and port.isdecimal() and len(port) < 6
    except ValueError:
        usable = False
    if not usable or not 0 < int(port) < 65_536:
        raise SettingsError(f"{path}: {name}: {text[:64]!r} is not address:port")
    return host.strip("[]"), int(port)


def _settings(path: str, data: dict[str, Any]) -> Settings:
    data = data | {"prices": data.get("prices") or {}}
    try:
        form = msgspec.convert(data, _Schema)
    except msgspec.ValidationError as why:
        cause, _, at = str(why).partition(" - at `$.")
        at = at.rstrip("`")
        missing = re.fullmatch(r"Object missing required field `(\w+)`", cause)
        if missing:
            at, cause = ".".join(filter(None, (at, missing[1]))), "missing"
        raise SettingsError(f"{path}: settings: {at + ': ' if at else ''}{cause}") from None
    for field, names in (("classes", [c.name for c in form.classes]), ("dcs", form.dcs)):
        if len(set(names)) < len(names):
            raise SettingsError(f"{path}: settings: {field}: a name stands twice")
    settings = codec.settings(data)
    # Counts are whole; and what divides is not 0: a server that is warm at once, a standing table of nothing.
    return replace(
        settings,
        max_warmup_ns=max(settings.max_warmup_ns, 1),
        subset_size=max(int(settings.subset_size), 1),
        proxy_count=int(settings.proxy_count),
        default_retry_policy=int(settings.default_retry_policy),
    )
