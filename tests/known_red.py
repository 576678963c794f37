"""Tests that fail because of a known fault: KNOWN-RED.txt at the root, one line each.

    test_file.py::test_name, cause, issue

`pytest_collection_modifyitems` of `conftest` hands the tests to `mark`. A named test is expected to fail and
is printed; one that passes all the same fails, unless its cause begins with `flaky:` (it fails on some runs
only). So do a line that names no collected test and a fourth line.
"""

from pathlib import Path

import pytest

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3
FLAKY = "flaky:"


def entries(text):
    """The lines as (test, cause, issue); raises UsageError on one of another form or one too many."""
    rows = [line.strip() for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(rows) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(rows)} lines; {MOST} at most")
    made = []
    for row in rows:
        test, *cause, issue = (part.strip() for part in row.split(","))
        if not cause or not issue or "::" not in test:
            raise pytest.UsageError(f"KNOWN-RED.txt: {row!r} is not 'test, cause, issue'")
        made.append((test, ", ".join(cause), issue))
    return made


def mark(items, text, whole):
    """Expect the named tests to fail; `whole` says that all tests were collected."""
    for test, cause, issue in entries(text):
        named = [item for item in items if item.nodeid.removeprefix("tests/").split("[")[0] == test]
        if whole and not named:
            raise pytest.UsageError(f"KNOWN-RED.txt: {test}: no such test")
        for item in named:
            reason, strict = f"known red: {cause} ({issue})", not cause.startswith(FLAKY)
            item.add_marker(pytest.mark.xfail(reason=reason, strict=strict))


def text():
    """What the file holds; nothing where there is none."""
    return FILE.read_text() if FILE.exists() else ""
