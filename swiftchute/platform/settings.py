"""Reads the configuration: the JSON file named by `GW_CONFIG`, with `GW_*` variables for omitted fields.

Reading that file is the only I/O. Its `settings` object is validated and converted by `settings_schema`.
"""

import ipaddress
import json
from collections.abc import Mapping
from typing import Any

import msgspec

from swiftchute.api.settings import Settings
from swiftchute.platform import settings_schema
from swiftchute.platform.errors import SettingsError

MAX_FILE_BYTES = 16 << 20
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB, MAX_MEMORY_MB = 192, 10**9
DEFAULT_SOCKETS = 1024
MAX_SHOWN_CHARACTERS = 64  # limit for a value in an error text
MAX_CAUSE_CHARACTERS = 200  # limit for the JSON decoder's message in an error text
VARIABLES = (("name", "GW_NAME"), ("listen", "GW_LISTEN"), ("discovery", "GW_DISCOVERY"))

Address = tuple[str, int]


class Configuration(msgspec.Struct, frozen=True):
    """The validated configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    max_memory_mb: float
    known_list: bytes | None  # an endpoint list in the format of a discovery line
    settings: Settings

    def fields_needing_restart(self, running: "Configuration") -> list[str]:
        """Return the names of changed fields that a reload cannot apply."""
        return [
            field
            for field in ("name", "listen", "settings")
            if getattr(self, field) != getattr(running, field)
        ]


def read(environment: Mapping[str, str]) -> Configuration:
    """Read and validate the configuration.

    Args:
        environment: The environment variables.

    Raises:
        SettingsError: The configuration is invalid; the text names file, field and cause.
    """
    path = environment.get("GW_CONFIG", "")
    if not path:
        raise SettingsError("GW_CONFIG: not set; it must name the configuration file")
    data = _decode_file(path, _read_file(path))
    for field, variable in VARIABLES:
        if field not in data and environment.get(variable):
            data[field] = environment[variable]
    return from_object(path, data)


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    if len(text) > MAX_FILE_BYTES:
        raise SettingsError(f"{path}: more than {MAX_FILE_BYTES} bytes")
    return text


def _decode_file(path: str, text: bytes) -> dict[str, Any]:
    try:
        data = json.loads(text)
        json.dumps(data, ensure_ascii=False).encode()  # fails on an escaped lone surrogate
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: not JSON: {str(error)[:MAX_CAUSE_CHARACTERS]}") from None
    if not isinstance(data, dict):
        raise SettingsError(f"{path}: not a JSON object")
    return data


def from_object(path: str, data: dict[str, Any]) -> Configuration:
    """Validate the decoded configuration file.

    Args:
        path: Path of the file, for error texts.
        data: The decoded object.

    Raises:
        SettingsError: A field is missing or invalid.
    """
    limits = _field(path, data, "limits", dict, {})
    max_sockets = _field(path, limits, "sockets", int, DEFAULT_SOCKETS, "limits.")
    if max_sockets < MIN_SOCKETS:
        raise SettingsError(f"{path}: limits.sockets: {max_sockets} is less than {MIN_SOCKETS}")
    known = data.get("known")
    return Configuration(
        seed=_seed(path, data.get("seed", "0")),
        name=_field(path, data, "name", str),
        listen=_address(path, data, "listen"),
        discovery=_address(path, data, "discovery"),
        max_sockets=max_sockets,
        max_memory_mb=_max_memory_mb(path, limits),
        known_list=None if known is None else json.dumps(known).encode(),
        settings=settings_schema.read_settings(path, _field(path, data, "settings", dict)),
    )


def _max_memory_mb(path: str, limits: dict[str, Any]) -> float:
    """Return the memory limit in MB; the default if there is none."""
    value = limits.get("memory_mb")
    if value is None:
        return DEFAULT_MEMORY_MB
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= MAX_MEMORY_MB:
        shown = str(value)[:MAX_SHOWN_CHARACTERS]
        raise SettingsError(f"{path}: limits.memory_mb: {shown!r} is not a number from 0 to {MAX_MEMORY_MB}")
    return value


def _seed(path: str, value: Any) -> int:
    """Convert the seed, which is a number or a string of hexadecimal digits."""
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError, OverflowError):
        raise SettingsError(f"{path}: seed: {str(value)[:MAX_SHOWN_CHARACTERS]!r} is not a number") from None


def _field(
    path: str, data: dict[str, Any], name: str, kind: type, default: Any = None, parent: str = ""
) -> Any:
    value = data.get(name, default)
    if value is None:
        raise SettingsError(f"{path}: {parent}{name}: missing")
    if not isinstance(value, kind) or isinstance(value, bool):
        shown = str(value)[:MAX_SHOWN_CHARACTERS]
        raise SettingsError(f"{path}: {parent}{name}: {shown!r} is not of type {kind.__name__}")
    return value


def _address(path: str, data: dict[str, Any], name: str) -> Address:
    text = _field(path, data, name, str)
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    if not _is_ip_address(host) or not _is_port(port):
        raise SettingsError(
            f"{path}: {name}: {text[:MAX_SHOWN_CHARACTERS]!r} is not of the form IP-address:port"
        )
    return host, int(port)


def _is_ip_address(host: str) -> bool:
    """Whether the host is an IP address; names are refused because a DNS lookup would block the process."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) < 6 and 0 < int(text) < 65_536
