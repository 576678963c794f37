"""Encoding: canonical bytes and versions, deltas, and rejection of invalid bytes."""

import contextlib

import msgspec
import pytest

from swiftchute.versions import encoding
from swiftchute.versions.encoding import (
    Delta,
    Table,
    apply_delta,
    decode_table,
    encode,
    make_delta,
    version_of,
)
from swiftchute.versions.errors import DeltaMismatchError, EncodingError
from tests.support.tables import table_of


def test_equal_content_has_one_version_whatever_its_order():
    one = encoding.make_table([("write", 1, 1), ("read", 0.5, 0)], [("b", "east", 1.0), ("a", "west", 2.0)])
    two = encoding.make_table([("read", 0.5, 0), ("write", 1, 1)], [("a", "west", 2.0), ("b", "east", 1.0)])
    assert encode(one) == encode(two)
    assert decode_table(encode(one)) == one
    assert version_of(one) != version_of(table_of(a=1.0))


def test_no_weight_is_rounded_away_beside_a_million():
    assert [entry.weight_units for entry in table_of(a=1e6, b=1e-9).entries] == [10**10, 1]


def test_truncated_bytes_and_those_of_another_format_are_rejected():
    data = encode(table_of(a=1.0, b=2.0))
    for cut in range(len(data)):
        with pytest.raises(EncodingError):
            decode_table(data[:cut])
    with pytest.raises(EncodingError, match="format 2 is not supported"):
        decode_table(encode(Table((), (), 2)))
    for bad in (
        Table((), (("b", "east", 1), ("a", "east", 1))),  # not sorted
        Table((), (("a", "east", 1), ("a", "west", 1))),  # an endpoint twice
        Table((), (("a", "east", 0),)),
    ):
        with pytest.raises(EncodingError):
            decode_table(msgspec.msgpack.encode(bad))


@pytest.mark.parametrize("place", range(60))
def test_a_flipped_bit_gives_another_version_or_is_rejected(place):
    data = bytearray(encode(table_of(a=1.0, b=2.0, c=3.0)))
    data[place % len(data)] ^= 1 << place % 8
    with contextlib.suppress(EncodingError):
        assert version_of(decode_table(bytes(data))) != version_of(table_of(a=1.0, b=2.0, c=3.0))


def test_a_delta_applies_only_to_its_base_version_and_must_result_in_its_target_version():
    before, after = table_of(a=1.0, b=2.0), table_of(0.5, a=1.5, c=1.0)
    delta = make_delta(before, after)
    assert apply_delta(delta, before) == after
    assert (delta.removed, len(delta.changed)) == (("b",), 2)
    with pytest.raises(DeltaMismatchError, match="applies to version .* not to"):
        apply_delta(delta, table_of(a=1.0))
    wrong_target = Delta(
        delta.base_version, version_of(before), delta.changed, delta.removed, delta.admission
    )
    with pytest.raises(DeltaMismatchError, match="resulted in version .* not its target"):
        apply_delta(wrong_target, before)


def test_the_size_of_a_one_entry_delta_does_not_grow_with_the_table():
    sizes = []
    for entry_count in (100, 400):
        before = table_of(**{f"s{k:04}": 1.0 for k in range(entry_count)})
        sizes.append(
            len(
                encode(
                    make_delta(before, table_of(**{f"s{k:04}": 1.0 + (k == 7) for k in range(entry_count)}))
                )
            )
        )
    assert sizes[0] == sizes[1] < 100
