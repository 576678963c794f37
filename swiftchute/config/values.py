"""Parsers of field values: each takes an HCL literal and returns the checked value.

All of them raise ValueError with the value and the cause.
"""

import ipaddress
import re
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from swiftchute.dns.errors import DomainNameError
from swiftchute.dns.names import parse_origin
from swiftchute.safety.proposal import RULES

Parser = Callable[[Any], Any]

MICROSECOND_NS = 10**3
MILLISECOND_NS = 10**6
SECOND_NS = 10**9
MINUTE_NS = 60 * SECOND_NS
HOUR_NS = 3600 * SECOND_NS
_DURATION_UNITS_NS = {
    "ns": 1,
    "us": MICROSECOND_NS,
    "ms": MILLISECOND_NS,
    "s": SECOND_NS,
    "m": MINUTE_NS,
    "h": HOUR_NS,
}
_SIZE_UNITS_BYTES = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
_LOOPBACK = re.compile(r"127\.\d+\.\d+\.\d+|localhost|\[?::1\]?")
_NAME = re.compile(r"[\w.-]{1,100}")
_QUANTITY = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")
MAX_PORT = 65_535


def _quantity(units: dict[str, int], description: str, minimum: int, maximum: int) -> Parser:
    """Return a parser of numbers with a unit; bounds and result are in the smallest unit."""

    def parse(value: Any) -> int:
        match = _QUANTITY.fullmatch(value) if isinstance(value, str) else None
        if not match:
            raise ValueError(f"{value!r} is not {description} with a unit ({', '.join(units)})")
        if match[2] not in units:
            raise ValueError(f"{match[2]!r} is not a known unit: {', '.join(units)}")
        number = round(float(match[1]) * units[match[2]])
        if not minimum <= number <= maximum:
            bounds = f"{_in_largest_unit(units, minimum)} to {_in_largest_unit(units, maximum)}"
            raise ValueError(f"{value!r} is out of range: {bounds}")
        return number

    return parse


def _in_largest_unit(units: dict[str, int], number: int) -> str:
    """Return a number in the largest unit that divides it evenly."""
    name, size = [unit for unit in units.items() if (number or 1) % unit[1] == 0][-1]
    return f"{number // size}{name}"


def duration(minimum: int = 0, maximum: int = 24 * HOUR_NS) -> Parser:
    """Return a parser of durations such as `250ms`; bounds and result are nanoseconds."""
    return _quantity(_DURATION_UNITS_NS, "a duration", minimum, maximum)


def size(minimum: int = 0, maximum: int = 2**40) -> Parser:
    """Return a parser of sizes such as `4MiB`; bounds and result are bytes."""
    return _quantity(_SIZE_UNITS_BYTES, "a size", minimum, maximum)


def number(minimum: float = 0, maximum: float = 1e12, whole: bool = False) -> Parser:
    """Return a parser of numbers within bounds; with `whole` only integers are accepted."""
    kinds: tuple[type, ...] = (int,) if whole else (int, float)

    def parse(value: Any) -> int | float:
        if isinstance(value, bool) or not isinstance(value, kinds):
            raise ValueError(f"{value!r} is not a {'whole ' if whole else ''}number")
        if not minimum <= value <= maximum:
            raise ValueError(f"{value!r} is out of range: {minimum:g} to {maximum:g}")
        return value if whole else float(value)

    return parse


def one_of(*words: str) -> Parser:
    """Return a parser that accepts one of these words."""

    def parse(value: Any) -> str:
        if value not in words:
            raise ValueError(f"{value!r} is none of {', '.join(words)}")
        return value

    return parse


def list_of(parse_item: Parser) -> Parser:
    """Return a parser of lists; each item is parsed by `parse_item`."""

    def parse(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list):
            raise ValueError(f"{value!r} is not a list")
        return tuple(parse_item(item) for item in value)

    return parse


def by_zone(parse_item: Parser, description: str) -> Parser:
    """Return a parser of lists of strings, each a zone and an item separated by a space."""
    form = f'"ZONE {description}"'

    def parse_row(row: Any) -> tuple[str, Any]:
        zone, _, item = row.partition(" ") if isinstance(row, str) else ("", "", "")
        if not zone or not item.strip():
            raise ValueError(f"{row!r} is not {form}")
        return name(zone), parse_item(item.strip())

    def parse(value: Any) -> tuple[tuple[str, Any], ...]:
        if not isinstance(value, list):
            raise ValueError(f"{value!r} is not a list of {form}")
        return tuple(parse_row(row) for row in value)

    return parse


def flag(value: Any) -> bool:
    """Parse true or false."""
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def name(value: Any) -> str:
    """Parse a name; spaces and slashes are excluded because resource names are built from it."""
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise ValueError(f"{value!r} is not a name (letters, digits, '.', '_', '-')")
    return value


def names(value: Any) -> tuple[str, ...]:
    """Parse a list of distinct names, at least one."""
    if not isinstance(value, list) or not value:
        raise ValueError(f"{value!r} is not a list of names")
    if len({name(item) for item in value}) < len(value):
        raise ValueError(f"{value!r} contains a name twice")
    return tuple(value)


def safety_rules(value: Any) -> tuple[str, ...]:
    """Parse a list of names of safety rules."""
    if not isinstance(value, list) or not set(value) <= set(RULES):
        raise ValueError(f"{value!r} is not a list of rules: {', '.join(RULES)}")
    return tuple(value)


def path(value: Any) -> str:
    """Parse a path, relative to the working directory of the process."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a path")
    return value


def address(value: Any) -> tuple[str, int]:
    """Parse host:port on loopback; port 0 selects a free port."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not colon or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{value!r} is not host:port")
    if not _LOOPBACK.fullmatch(host):
        raise ValueError(f"{host!r} is not a loopback address: streams carry no TLS yet")
    return host.strip("[]"), int(port)


def url(value: Any) -> str:
    """Parse an http URL."""
    parts = urlsplit(value if isinstance(value, str) else "")
    if parts.scheme != "http" or not parts.hostname:
        raise ValueError(f"{value!r} is not an http:// URL")
    return value


def domain(value: Any) -> str:
    """Parse a domain name other than the root."""
    try:
        return str(parse_origin(value if isinstance(value, str) else ""))
    except DomainNameError as error:
        raise ValueError(str(error)) from None


def network(value: Any) -> ipaddress.IPv4Network | ipaddress.IPv6Network:
    """Parse an IP network such as 192.0.2.0/24."""
    try:
        return ipaddress.ip_network(value)
    except ValueError as error:
        raise ValueError(str(error)) from None
