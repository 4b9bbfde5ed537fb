"""The list of known red: what it may say, and that exactly its tests are expected to fail."""

from __future__ import annotations

import pytest

from . import known_red
from .known_red import SCRIPTS_HEADING, TESTS_HEADING, Entry, InvalidKnownRed, KnownRed

pytest_plugins = ("pytester",)

SCRIPT = "review/9/run.sh (seed 33)\n   Seen: failed in 5 of 5 runs.\n   Issue 7.\n"
FAILING = "test_some.py::test_fails[1]\n   python -m pytest, no seed. Seen: 1 is not 2.\n   Issue 8.\n"


def file_text(scripts: str = "", tests: str = "") -> str:
    return f"Known red.\n\n{SCRIPTS_HEADING}\n\n{scripts}\n{TESTS_HEADING}\n\n{tests}"


def test_entries_are_read_from_their_parts() -> None:
    known = known_red.parse(file_text(SCRIPT, FAILING))
    script = Entry("review/9/run.sh (seed 33)", 7)
    assert known == KnownRed((script,), (Entry("test_some.py::test_fails[1]", 8),))
    assert known_red.parse(file_text()) == KnownRed((), ())


def test_the_list_of_this_project_can_be_read_and_its_scripts_exist() -> None:
    known = known_red.parse(known_red.PATH.read_text())
    for entry in known.scripts:
        assert (known_red.PATH.parent / entry.name.split()[0]).exists()


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("Known red.\n", "expected the lines"),
        (f"Known red.\n\n{SCRIPTS_HEADING}\n\n{SCRIPT}", "expected the lines"),
        (file_text(tests="test_some.py::test_fails[1]\n   Seen: 1 is not 2.\n"), "Issue N"),
        (file_text(tests=FAILING + "\n" + FAILING), "listed twice"),
    ],
)
def test_a_list_that_cannot_be_read_is_an_error(text: str, error: str) -> None:
    with pytest.raises(InvalidKnownRed, match=error):
        known_red.parse(text)


CONFTEST = """
import pytest
from tests import known_red

@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    known_red.mark_tests(items, known_red.parse({text!r}).tests, True)
"""
TESTS = """
import pytest

@pytest.mark.parametrize("number", [1, 2])
def test_fails(number):
    assert number == 2

def test_passes():
    pass
"""


@pytest.mark.parametrize(
    ("tests", "outcomes"),
    [
        ("", {"passed": 2, "failed": 1}),
        (FAILING, {"passed": 2, "xfailed": 1}),
        (
            FAILING.replace("[1]", "[2]"),
            {"passed": 1, "failed": 2},
        ),  # one that passes fails the run
        (FAILING.replace("test_fails[1]", "test_passes"), {"passed": 1, "failed": 2}),
    ],
)
def test_exactly_the_listed_tests_are_expected_to_fail(
    pytester: pytest.Pytester, tests: str, outcomes: dict[str, int]
) -> None:
    pytester.makeconftest(CONFTEST.format(text=file_text(tests=tests)))
    pytester.makepyfile(test_some=TESTS)
    pytester.runpytest_inprocess("-p", "no:cacheprovider").assert_outcomes(**outcomes)


@pytest.mark.parametrize("name", ["test_some.py::test_gone", "test_gone.py::test_fails[1]"])
def test_an_entry_without_a_test_is_an_error(pytester: pytest.Pytester, name: str) -> None:
    pytester.makeconftest(CONFTEST.format(text=file_text(tests=FAILING.replace(FAILING.split()[0], name))))
    pytester.makepyfile(test_some=TESTS)
    result = pytester.runpytest_inprocess("-p", "no:cacheprovider")
    assert result.ret == pytest.ExitCode.INTERNAL_ERROR
    result.stdout.fnmatch_lines([f"*{name.replace('[', '[[]')}: there is no such *"])
