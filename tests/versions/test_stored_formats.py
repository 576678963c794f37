"""Stored formats: tables and deltas of an earlier build are still read, and written to the same bytes."""

import pytest

from swiftchute.versions import encoding
from swiftchute.versions.encoding import (
    Delta,
    Table,
    apply_delta,
    decode_delta,
    decode_table,
    encode,
    make_delta,
    version_of,
)

EMPTY_BYTES = b"\x93\x90\x90\x01"
EMPTY_VERSION = "757e8866587d5ad45b8c60831e4abc49"
FIRST_BYTES = (
    b"\x93\x92\x93\xa4read\xce\x00\x07\xa1 \x00\x93\xa5write\xce\x00\x0fB@\x01"
    b"\x93\x93\xab10.0.0.1:80\xa4west\xcdN \x93\xab10.0.0.2:80\xa4east\xcd'\x10"
    b"\x93\xa8[::1]:90\xa4east\x01\x01"
)
FIRST_VERSION = "bdff1ff6e71ed3bad1c33a38ea7cfa0f"
SECOND_BYTES = (
    b"\x93\x92\x93\xa4read\xce\x00\x07\xa1 \x00\x93\xa5write\xce\x00\x03\xd0\x90\x01"
    b"\x92\x93\xab10.0.0.2:80\xa4east\xcd:\x98\x93\xab10.0.0.3:80\xa4west\xcf\x00\x00\x00\x02T\x0b\xe4\x00\x01"
)
SECOND_VERSION = "82a9bdb783eb7980282f53765923dbb8"
THIRD_VERSION = "f3c9431e6cd2a75d63999de75f60d87a"
FIRST_TO_SECOND = (
    b"\x96\xc4\x10\xbd\xff\x1f\xf6\xe7\x1e\xd3\xba\xd1\xc3:8\xea|\xfa\x0f"
    b"\xc4\x10\x82\xa9\xbd\xb7\x83\xeby\x80(/SvY#\xdb\xb8"
    b"\x92\x93\xab10.0.0.2:80\xa4east\xcd:\x98\x93\xab10.0.0.3:80\xa4west\xcf\x00\x00\x00\x02T\x0b\xe4\x00"
    b"\x92\xab10.0.0.1:80\xa8[::1]:90"
    b"\x92\x93\xa4read\xce\x00\x07\xa1 \x00\x93\xa5write\xce\x00\x03\xd0\x90\x01\x01"
)
SECOND_TO_THIRD = (  # one weight changes and no admission rate does
    b"\x96\xc4\x10\x82\xa9\xbd\xb7\x83\xeby\x80(/SvY#\xdb\xb8"
    b"\xc4\x10\xf3\xc9C\x1el\xd2\xa7]c\x99\x9d\xe7_`\xd8z"
    b"\x91\x93\xab10.0.0.2:80\xa4east\xcd0\xd4\x90\xc0\x01"
)

FIRST = encoding.make_table(
    [("write", 1, 1), ("read", 0.5, 0)],
    [("10.0.0.2:80", "east", 1.0), ("10.0.0.1:80", "west", 2.00004), ("[::1]:90", "east", 1e-9)],
)
SECOND = encoding.make_table(
    [("write", 0.25, 1), ("read", 0.5, 0)], [("10.0.0.2:80", "east", 1.5), ("10.0.0.3:80", "west", 1e6)]
)
THIRD = encoding.make_table(
    [("write", 0.25, 1), ("read", 0.5, 0)], [("10.0.0.2:80", "east", 1.25), ("10.0.0.3:80", "west", 1e6)]
)


@pytest.mark.parametrize(
    ("table", "data", "version"),
    [
        (Table(), EMPTY_BYTES, EMPTY_VERSION),
        (FIRST, FIRST_BYTES, FIRST_VERSION),
        (SECOND, SECOND_BYTES, SECOND_VERSION),
    ],
)
def test_a_table_has_the_bytes_and_the_version_it_always_had(table, data, version):
    assert encode(table) == data
    assert decode_table(data) == table
    assert version_of(table).hex() == version


@pytest.mark.parametrize(
    ("before", "after", "data"), [(FIRST, SECOND, FIRST_TO_SECOND), (SECOND, THIRD, SECOND_TO_THIRD)]
)
def test_a_delta_has_the_bytes_it_always_had_and_still_applies(before, after, data):
    assert encode(make_delta(before, after)) == data
    stored = decode_delta(data)
    assert isinstance(stored, Delta)
    assert apply_delta(stored, before) == after


def test_the_versions_that_a_stored_delta_names_are_those_of_its_tables():
    stored = decode_delta(SECOND_TO_THIRD)
    assert (stored.base_version.hex(), stored.target_version.hex()) == (SECOND_VERSION, THIRD_VERSION)
    assert version_of(THIRD).hex() == THIRD_VERSION
