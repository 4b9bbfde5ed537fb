"""Reads KNOWN-RED.txt, and marks the tests that it lists as strict expected failures.

The file has two parts: scripts that stay out of the default run, and tests of the default run. An entry
begins at the left margin, with a script or with the id of a test; the indented lines under it say how it is
run and what was seen, and end with the open issue that it belongs to, as in `Issue 37.`
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import pytest

PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
SCRIPTS_HEADING = "Scripts that stay out of the default run:"
TESTS_HEADING = "Tests of the default run:"
ISSUE_PATTERN = re.compile(r"\bIssue (\d+)\.$")


class InvalidKnownRed(ValueError):
    """KNOWN-RED.txt cannot be read as described."""


@dataclass(frozen=True)
class Entry:
    name: str  # the id of a test as pytest writes it, or a script with its arguments
    issue: int


@dataclass(frozen=True)
class KnownRed:
    scripts: tuple[Entry, ...]
    tests: tuple[Entry, ...]


def parse(text: str) -> KnownRed:
    """The entries of the file; InvalidKnownRed for a missing part, a double entry or one without an issue."""
    _, has_scripts, rest = text.partition(f"\n{SCRIPTS_HEADING}\n")
    scripts, has_tests, tests = rest.partition(f"\n{TESTS_HEADING}\n")
    if not has_scripts or not has_tests:
        raise InvalidKnownRed(f"expected the lines {SCRIPTS_HEADING!r} and then {TESTS_HEADING!r}")
    return KnownRed(_parse_entries(scripts), _parse_entries(tests))


def _parse_entries(part: str) -> tuple[Entry, ...]:
    entries: dict[str, Entry] = {}
    for block in re.split(r"\n(?=\S)", "\n" + part.strip())[1:]:
        name = block.splitlines()[0].strip()
        issue = ISSUE_PATTERN.search(block.rstrip())
        if issue is None:
            raise InvalidKnownRed(f"{name}: expected a last line that ends in 'Issue N.'")
        if name in entries:
            raise InvalidKnownRed(f"{name}: listed twice")
        entries[name] = Entry(name, int(issue[1]))
    return tuple(entries.values())


def mark_tests(items: list[pytest.Item], entries: tuple[Entry, ...], all_collected: bool) -> None:
    """Expect each listed test to fail, and no other: one that passes fails the run, as does an unknown id.

    `all_collected` says that no test of the collected files was left out: an id that is not there is unknown.
    """
    by_id = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for entry in entries:
        if entry.name in by_id:
            reason = f"known red, issue {entry.issue}"
            by_id[entry.name].add_marker(pytest.mark.xfail(strict=True, reason=reason))
        elif all_collected and entry.name.partition("::")[0] in files:
            raise InvalidKnownRed(f"{entry.name}: there is no such test")
        elif not (PATH.parent / entry.name.partition("::")[0]).is_file():
            raise InvalidKnownRed(f"{entry.name}: there is no such file")
