"""The on-disk table cache: maximum age, corrupt files and failed writes."""

from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.table_cache import TableCache

S = 1_000_000_000
NOW = 1000 * S


TABLES = {"read": EndpointTable("0.1/read", {"10.0.0.1:80": 3, "10.0.0.2:80": 1}, 0.5, 1, True, None, 4.0)}


def test_saved_tables_are_loaded_until_they_exceed_the_maximum_age(tmp_path):
    path = str(tmp_path / "t")
    assert TableCache(path, 60 * S).save(TABLES, NOW)
    assert TableCache(path, 60 * S).load(NOW + 60 * S) == TABLES
    for wall_ns in (NOW + 61 * S, NOW - 1):  # after the clock was set back, the age is unknown
        cache = TableCache(path, 60 * S)
        assert cache.load(wall_ns) == {}
        assert "s old" in cache.last_error


def test_a_truncated_or_corrupt_file_is_not_used(tmp_path):
    path = tmp_path / "t"
    TableCache(str(path), S).save(TABLES, NOW)
    data = path.read_bytes()
    for end in range(len(data)):
        path.write_bytes(data[:end])
        assert TableCache(str(path), S).load(NOW) == {}
    for index in range(len(data)):
        path.write_bytes(data[:index] + bytes([data[index] ^ 4]) + data[index + 1 :])
        assert TableCache(str(path), S).load(NOW) == {}


def test_a_failed_write_is_reported_and_the_last_file_stays(tmp_path):
    path = str(tmp_path / "t")
    cache = TableCache(path, S)
    cache.save(TABLES, NOW)
    cache.path = str(tmp_path / "none" / "t")
    assert not cache.save({"read": EndpointTable("0.1/read", {"x:1": 1})}, NOW)
    assert "No such file" in cache.last_error
    assert TableCache(path, S).load(NOW) == TABLES
