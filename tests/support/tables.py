"""Tables of versions that tests are about."""

from swiftchute.versions import encoding


def made(level=1.0, **weights):
    return encoding.make_table([("read", level, 1)], [(server, "east", w) for server, w in weights.items()])
