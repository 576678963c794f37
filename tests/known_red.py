"""Tests that fail because of a known fault, listed in KNOWN-RED.txt at the root, one line each.

    test_file.py::test_name, cause, issue

`pytest_collection_modifyitems` in `conftest` passes the collected tests to `mark`. A listed test is expected
to fail and is printed. It counts as failed if it passes, unless its cause begins with `flaky:` (fails in some
runs only). A line that names no collected test and a fourth line are errors.
"""

from pathlib import Path

import pytest

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3
FLAKY = "flaky:"


def entries(text):
    """Parse the lines into (test, cause, issue); raise UsageError for a malformed line or too many lines."""
    rows = [line.strip() for line in text.splitlines() if line.strip() and not line.startswith("#")]
    if len(rows) > MAX_ENTRIES:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(rows)} lines; {MAX_ENTRIES} at most")
    parsed = []
    for row in rows:
        test, *cause, issue = (part.strip() for part in row.split(","))
        if not cause or not issue or "::" not in test:
            raise pytest.UsageError(f"KNOWN-RED.txt: {row!r} is not 'test, cause, issue'")
        parsed.append((test, ", ".join(cause), issue))
    return parsed


def mark(items, text, all_collected):
    """Mark the listed tests as expected failures; `all_collected`: whether the whole suite was."""
    for test, cause, issue in entries(text):
        named = [item for item in items if item.nodeid.removeprefix("tests/").split("[")[0] == test]
        if all_collected and not named:
            raise pytest.UsageError(f"KNOWN-RED.txt: {test}: no such test")
        for item in named:
            reason, strict = f"known red: {cause} ({issue})", not cause.startswith(FLAKY)
            item.add_marker(pytest.mark.xfail(reason=reason, strict=strict))


def text():
    """Return the content of KNOWN-RED.txt, empty if there is no such file."""
    return FILE.read_text() if FILE.exists() else ""
