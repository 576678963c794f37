"""Tables of versions that tests are about."""

from swiftchute.versions import encoding


def table_of(level=1.0, **weights):
    return encoding.make_table([("read", level, 1)], [(server, "east", w) for server, w in weights.items()])
