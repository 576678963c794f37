"""Settings of the file under their names in the controller."""

from swiftchute.config.schema import PLANNER_BLOCKS
from swiftchute.controller.version_state import RetentionSettings
from swiftchute.daemon.service import _retention_settings


def test_defaults_of_the_tables_block_are_those_of_the_controller():
    defaults = {key: field.default for key, field in PLANNER_BLOCKS["tables"].items()}
    assert _retention_settings(defaults) == RetentionSettings()


def test_every_key_of_the_tables_block_sets_one_value():
    values = {key: number for number, key in enumerate(PLANNER_BLOCKS["tables"])}
    settings = vars(_retention_settings(values))
    assert sorted(settings.values()) == sorted(values.values())
