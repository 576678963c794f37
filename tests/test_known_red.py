"""KNOWN-RED.txt: listed tests are expected to fail, and no other failure is tolerated."""

import pytest

from tests import known_red

TESTS = """
import pytest
def test_red(): assert False
def test_green(): pass
@pytest.mark.parametrize("k", [1, 2])
def test_many(k): assert k == 2
"""
CONFTEST = f"""
import sys
sys.path.insert(0, {str(known_red.FILE.parent / "tests")!r})
import known_red
def pytest_collection_modifyitems(items):
    known_red.mark(items, open("red.txt").read(), True)
"""


@pytest.fixture
def run_with_entries(pytester):
    """Run the tests above with these lines in KNOWN-RED.txt; return the exit code and the output."""

    def run(lines):
        pytester.makepyfile(test_some=TESTS)
        pytester.makeconftest(CONFTEST)
        pytester.path.joinpath("red.txt").write_text(lines)
        result = pytester.runpytest_subprocess("-p", "no:cacheprovider", "-rx")
        return result.ret, result.stdout.str() + result.stderr.str()

    return run


def test_a_listed_test_fails_as_expected_and_is_printed(run_with_entries):
    code, output = run_with_entries("test_some.py::test_red, it asks for the moon, issue 1\n")
    assert code == 1  # because of test_many[1], which is not listed
    assert "1 failed, 2 passed, 1 xfailed" in output
    assert "known red: it asks for the moon (issue 1)" in output


def test_a_listed_test_that_passes_counts_as_failed(run_with_entries):
    code, output = run_with_entries("test_some.py::test_green, none, issue 1\n")
    assert code == 1
    assert "[XPASS(strict)] known red: none (issue 1)" in output
    code, output = run_with_entries("test_some.py::test_many, one of two passes, issue 1\n")
    assert code == 1
    assert "[XPASS(strict)]" in output


def test_a_flaky_test_may_pass_or_fail_and_an_unlisted_failure_still_counts(run_with_entries):
    code, output = run_with_entries("test_some.py::test_many, flaky: one of two, issue 1\n")
    assert code == 1  # because of test_red, which is not listed
    assert "1 failed, 1 passed, 1 xfailed, 1 xpassed" in output


@pytest.mark.parametrize("lines, cause", [
    ("a.py::a, b, 1\na.py::b, b, 1\na.py::c, b, 1\na.py::d, b, 1\n", "4 lines; 3 at most"),
    ("test_some.py::test_red, issue 1\n", "is not 'test, cause, issue'"),
    ("test_red, cause, issue 1\n", "is not 'test, cause, issue'"),
    ("test_some.py::test_none, cause, issue 1\n", "test_some.py::test_none: no such test"),
])  # fmt: skip
def test_a_fourth_line_or_an_invalid_line_is_an_error(run_with_entries, lines, cause):
    code, output = run_with_entries(lines)
    assert code != 0
    assert cause in output


def test_the_file_of_this_repository_is_valid():
    assert len(known_red.entries(known_red.text())) <= known_red.MAX_ENTRIES
