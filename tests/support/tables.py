"""Tables for tests of versions."""

from swiftchute.versions import encoding


def table_of(level=1.0, **weights):
    return encoding.make_table(
        [("read", level, 1)], [(endpoint, "east", w) for endpoint, w in weights.items()]
    )
