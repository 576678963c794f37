"""Table entries for endpoints of other zones."""

from tests.support.policy import CALM, list_changes, weights_in
from tests.support.settings import operation


def test_zone_without_endpoints_uses_those_of_the_other(started):
    records = [started.endpoint(f"e{k}", state="gone") for k in range(4)]
    commands = started.run_round(list_changes(records))
    weights = weights_in(commands, started.table())
    assert {name for name, weight in weights.items() if weight} == {"w0", "w1", "w2", "w3"}


def test_subsets_share_remote_endpoints_and_no_table_is_empty(make_harness):
    """With all remote endpoints in each table, connections would grow as proxies times endpoints."""
    harness = make_harness(subset_size=2)
    harness.start(east=8, west=8)
    harness.run_round(list_changes([harness.endpoint(f"e{k}", state="gone") for k in range(8)]))
    remote = [set(table.desired) for table in harness.state.all_tables() if table.zone == "east"]
    assert [len(entries) for entries in remote] == [2, 2, 2, 2]
    assert len(set.union(*remote)) == 8
    remaining = {next(iter(remote[0]))}
    gone = [harness.endpoint(f"w{k}", "west", "gone") for k in range(8) if f"w{k}" not in remaining]
    harness.run_round(list_changes(gone))
    assert all(table.desired.keys() == remaining for table in harness.state.all_tables())


def test_zone_local_operation_gets_no_remote_entry(make_harness):
    harness = make_harness(operations=(operation("read"), operation("write", zone_local=True)))
    harness.start()
    harness.run(8, dict.fromkeys(CALM, (20, 0, 0.9)))
    assert any(name[0] == "w" for name in harness.table().desired)
    assert not any(name[0] == "w" for name in harness.table(zone_local=True).desired)
