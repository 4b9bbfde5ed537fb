"""The checker reports each violated rule, and none where all are kept."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from .checker import Attempt, CallRecord, Checker


def record(**changes: object) -> CallRecord:
    """The record of a call that keeps all rules, with these fields changed."""
    made = CallRecord(sent_at=0.0, wait_s=1.0, finals=[(0.5, "stands")])
    made.attempts = [Attempt("a", 0.1, 0.2, "failed"), Attempt("b", 0.3, 0.4, "stands")]
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def two_attempts(outcome: str, ended_at: float, started_at: float) -> list[Attempt]:
    return [Attempt("a", 0.1, ended_at, outcome), Attempt("b", started_at, 0.9, "stands")]


@pytest.mark.parametrize(
    ("make", "message"),
    [
        (lambda: record(), ""),
        (lambda: record(finals=[], left_at=0.5), ""),
        (lambda: record(attempts=two_attempts("reset", 0.2, 0.41)), ""),
        (lambda: record(finals=[(0.5, "stands"), (0.6, "failed")]), "2 final answers"),
        (lambda: record(finals=[]), "no final answer"),
        (lambda: record(finals=[(1.75, "stands")]), "0.750 s late"),
        (lambda: record(attempts=two_attempts("failed", 0.5, 0.2)), "two open attempts"),
        (lambda: record(attempts=[Attempt("a", 0.1), Attempt("b", 0.2, 0.3, "stands")]), "two open attempts"),
        (lambda: record(attempts=two_attempts("given_up", 0.2, 0.25)), "after an attempt was given_up"),
        (lambda: record(attempts=two_attempts("reset", 0.2, 0.25)), "after an attempt was reset"),
        (lambda: record(attempts=[Attempt("a", n / 10, n / 10, "stands") for n in range(6)]), "6 attempts"),
        (lambda: record(attempts=[Attempt("c", 0.1, 0.2, "stands")]), "allowed were ['a', 'b']"),
        (
            lambda: record(attempts=[Attempt("a", 0.1, 0.2, "failed")]),
            "answered, but no server has accepted it",
        ),
    ],
)
def test_each_violated_rule_is_reported(make: Callable[[], CallRecord], message: str) -> None:
    checker = Checker()
    checker.calls[1] = make()
    checker.allowed_servers[1] = frozenset({"a", "b"})
    violations = checker.find_violations()
    assert (len(violations) == 1 and message in violations[0]) if message else not violations
