"""The number of removed endpoints that the directory keeps is limited."""

from tests.support.controller import list_change


def test_removed_endpoints_are_dropped_beyond_the_limit(controller, monkeypatch):
    """Memory use stays bounded if each deployment gives the endpoints new addresses."""
    monkeypatch.setattr("swiftchute.controller.endpoint_directory.MAX_ENDPOINTS", 10)
    for k in range(50):
        controller.on_list_update(list_change(f"n{k}:1", scope="changes"))
        controller.on_list_update(list_change(f"n{k}:1", scope="changes", state="gone"))
    assert len(controller.directory.statuses) <= 11
    assert len(controller.unavailable_endpoints) <= 11
    assert controller.directory.statuses["a:1"].state == "ready"
