"""Histories: versions and entries, retention, updates, and lookup of a version."""

import pytest

from swiftchute.versions.encoding import Delta, apply_delta, version_of
from swiftchute.versions.errors import UnknownVersionError
from swiftchute.versions.history import VersionHistory
from swiftchute.versions.table_log import SNAPSHOT_INTERVAL_ENTRIES
from tests.support.tables import table_of

S = 1_000_000_000
NOW = 1000 * S


@pytest.fixture
def history():
    return VersionHistory("0", max_entries=100, max_age_ns=3600 * S)


def test_equal_content_is_one_version_and_going_back_to_it_is_a_change(history):
    one, two = table_of(a=1.0), table_of(a=2.0)
    first = history.record("0.1", one, NOW, "start")
    assert history.record("0.1", one, NOW + 1, "health") is None
    second = history.record("0.1", two, NOW + 2, "health")
    third = history.record("0.1", one, NOW + 3, "rollback")
    assert (second.parent, third.parent) == (first.version, second.version)
    assert first.version == third.version
    assert [c.serial for c in history.changes("0.1")] == [2, 1, 0]
    assert history.content(second.version) == two


def test_a_thousand_versions_within_a_minute_are_trimmed_and_those_retained_are_kept(history):
    held = history.record("0.1", table_of(a=1.0), NOW, "start").version
    history.retain(held)
    for k in range(1000):
        history.record("0.1", table_of(a=2.0 + k), NOW + k * S // 20, "health")
    kept = len(history.logs["0.1"].entries)
    assert 100 <= kept <= 100 + SNAPSHOT_INTERVAL_ENTRIES
    assert history.content(held) == table_of(a=1.0)
    assert history.content(history.changes("0.1", 1)[0].version) == table_of(a=1001.0)
    history.release(held)
    assert history.content(held) is None
    assert not history.detached


def test_old_versions_are_trimmed_by_age_and_the_newest_stays(history):
    for k in range(80):
        history.record("0.1", table_of(a=1.0 + k), NOW + k, "health")
    newest = history.record("0.1", table_of(b=1.0), NOW + 7200 * S, "health")
    assert [c.version for c in history.changes("0.1")] == [newest.version]
    assert history.content(newest.version) == table_of(b=1.0)


def test_the_update_to_a_version_is_the_smallest_safe_one(history):
    many = {f"s{k}": 1.0 for k in range(50)}
    one = history.record("0.1", table_of(**many), NOW, "start").version
    two = history.record("0.1", table_of(**many | {"s3": 2.0}), NOW, "health").version
    assert history.update_between(two, two) is None
    update = history.update_between(one, two)
    assert isinstance(update, Delta)
    assert version_of(apply_delta(update, table_of(**many))) == two
    # the whole table without a held version, or with one of a later incarnation or another controller
    for claim in (None, b"\0" * 16, version_of(table_of(z=9.0))):
        assert history.update_between(claim, two) == table_of(**many | {"s3": 2.0})
    with pytest.raises(UnknownVersionError, match="not kept"):
        history.update_between(one, b"\1" * 16)


def test_versions_are_found_by_prefix_by_serial_and_counted_backwards(history):
    changes = [history.record("0.1", table_of(a=1.0 + k), NOW + k, "health") for k in range(5)]
    assert history.find("0.1", changes[2].version.hex()[:10]) == changes[2]
    assert history.find("0.1", "#3") == changes[3]
    assert history.find("0.1", "~1") == changes[3]
    for asked, cause in (
        ("#9", "kept are #0 to #4"),
        ("~9", "no entry"),
        ("ffffffff", "no kept"),
        ("a", "four"),
    ):
        with pytest.raises(UnknownVersionError, match=cause):
            history.find("0.1", asked)
    with pytest.raises(UnknownVersionError, match=r"no table '0.2'; there are 0.1"):
        history.find("0.2", "~1")
