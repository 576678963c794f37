"""Mapping of settings to the controller, ages of endpoints under clock steps, and incarnations."""

import json
import time

import pytest
import structlog

from swiftchute.config import load
from swiftchute.config.schema import INSTANCE_BLOCKS
from swiftchute.controller.version_state import RetentionSettings
from swiftchute.daemon.service import MAX_LIST_DELAY_NS, NS_PER_S, Service, _retention_settings


def test_defaults_of_the_tables_block_are_those_of_the_controller():
    defaults = {key: field.default for key, field in INSTANCE_BLOCKS["tables"].items()}
    assert _retention_settings(defaults) == RetentionSettings()


def test_every_key_of_the_tables_block_sets_one_value():
    values = {key: number for number, key in enumerate(INSTANCE_BLOCKS["tables"])}
    settings = vars(_retention_settings(values))
    assert sorted(settings.values()) == sorted(values.values())


def list_text(*targets, **labels):
    """Return an endpoint list in file_sd format; `labels` are added to the last target."""
    rows = [{"targets": [target], "labels": {"zone": "north"}} for target in targets]
    rows[-1]["labels"] |= labels
    return json.dumps(rows).encode()


@pytest.mark.parametrize("step_s", [0, 3600, -3600])
def test_a_stepped_wall_clock_neither_skips_nor_prolongs_a_warm_up(monkeypatch, step_s):
    wall_clock_ns = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: wall_clock_ns() + step_s * NS_PER_S)
    service = Service(load("examples/planner.hcl"), structlog.get_logger())
    monkeypatch.setattr(service.scheduler, "request_round", lambda: None)
    service._on_list_received(list_text("127.0.0.1:9001"))
    service._on_list_received(list_text("127.0.0.1:9001", "127.0.0.1:9002", start=str(time.time())))
    started_ns = service.controller.runner.endpoint_records["127.0.0.1:9002"].started_ns
    age_s = (service.clock() - started_ns) / NS_PER_S
    max_age_s = (MAX_LIST_DELAY_NS + service.config.list["every"]) / NS_PER_S
    assert 0 <= age_s < (1 if step_s <= 0 else max_age_s + 1)


def test_incarnations_differ_when_the_wall_clock_stands_still(monkeypatch):
    monkeypatch.setattr(time, "time", lambda: 1_700_000_000.0)
    config = load("examples/planner.hcl")
    services = [Service(config, structlog.get_logger()) for _ in range(3)]
    assert len({service.xds_frontend._options.incarnation for service in services}) == 3
