"""What a planner is told: the JSON file that `GW_CONFIG` names, with `GW_*` for what it leaves out. No
I/O but reading that file.

    told = read(environment)        # raises BadSettings: file, field and cause

`settings` in it is read by `wirehost.codec.settings`, as on the simulator's wire.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from swiftchute.interface import Settings
from swiftchute.wirehost import codec

FILE_MOST = 16 << 20  # bytes of the file
SOCKETS_LEAST = 64
SOCKETS_USUAL = 1024


class BadSettings(Exception):
    """A configuration that cannot be used; its text names file, field and cause."""


@dataclass(frozen=True)
class Told:
    """The configuration, read and checked."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: bytes | None  # the list in discovery's form
    settings: Settings


def read(environment: Mapping[str, str]) -> Told:
    """Read and check the configuration."""
    path = environment.get("GW_CONFIG", "")
    if not path:
        raise BadSettings("GW_CONFIG: not set; it names the configuration file")
    try:
        with open(path, "rb") as file:
            text = file.read(FILE_MOST + 1)
    except OSError as why:
        raise BadSettings(f"{path}: {why.strerror}") from None
    if len(text) > FILE_MOST:
        raise BadSettings(f"{path}: more than {FILE_MOST} bytes")
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as why:
        raise BadSettings(f"{path}: not JSON: {why}") from None
    if not isinstance(data, dict):
        raise BadSettings(f"{path}: not an object")
    for field, variable in (("name", "GW_NAME"), ("listen", "GW_LISTEN"), ("discovery", "GW_DISCOVERY")):
        if field not in data and environment.get(variable):
            data[field] = environment[variable]
    return _told(path, data)


def _told(path: str, data: dict[str, Any]) -> Told:
    limits = _field(path, data, "limits", dict, {})
    sockets = _field(path, limits, "sockets", int, SOCKETS_USUAL, "limits.")
    if sockets < SOCKETS_LEAST:
        raise BadSettings(f"{path}: limits.sockets: {sockets}; {SOCKETS_LEAST} at least")
    seed = data.get("seed", "0")
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise BadSettings(f"{path}: seed: {seed!r} is no number") from None
    known = data.get("known")
    return Told(
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
        raise BadSettings(f"{path}: {at}{name}: missing")
    if not isinstance(value, kind) or isinstance(value, bool):
        raise BadSettings(f"{path}: {at}{name}: {str(value)[:64]!r} is not of type {kind.__name__}")
    return value


def _address(path: str, data: dict[str, Any], name: str) -> tuple[str, int]:
    text = _field(path, data, name, str)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise BadSettings(f"{path}: {name}: {text!r} is not address:port")
    return host.strip("[]"), int(port)


def _settings(path: str, data: dict[str, Any]) -> Settings:
    try:
        settings = codec.settings(data)
    except KeyError as why:
        raise BadSettings(f"{path}: settings: {why.args[0]}: missing or not known") from None
    except (TypeError, ValueError, AttributeError) as why:
        raise BadSettings(f"{path}: settings: a field is of the wrong type: {why}") from None
    if not settings.operations or not settings.zones:
        raise BadSettings(f"{path}: settings: no class or no zone in it")
    return settings
