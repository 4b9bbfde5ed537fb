"""The spacing of the connections that tell which calls have ended, on a clock of the test's own."""

from __future__ import annotations

import itertools
import random

import pytest

from wickstep.net.audit_schedule import (
    MAX_INTERVAL,
    MIN_FIRST_DELAY,
    MIN_INTERVAL,
    MIN_RETRY_DELAY,
    AuditSchedule,
)
from wickstep.net.units import MS, SECOND

RELEASE_LIMIT = 8 * SECOND  # from a call's end to its release at the caller
CONNECT_TIMEOUT = SECOND


def make_schedule(max_parallel: int = 4, seed: int = 1) -> AuditSchedule:
    return AuditSchedule(random.Random(seed), max_parallel)


def dials_until(schedule: AuditSchedule, end: int, start: int = 0) -> list[tuple[int, str]]:
    """Every dial up to that time, each of which opens a connection at once."""
    dials: list[tuple[int, str]] = []
    while (due := schedule.next_due()) is not None and due <= end:
        now = max(due, start)
        for host in schedule.take_due(now, 0):
            dials.append((now, host))
            schedule.told(host, now)
    return dials


def test_a_server_is_connected_again_and_again_within_the_limit_for_a_release() -> None:
    """Guards against a mend for a while: a call may last for any time."""
    schedule = make_schedule()
    schedule.add("a", 0)
    times = [at for at, _ in dials_until(schedule, 24 * 3600 * SECOND)]
    assert MIN_FIRST_DELAY <= times[0] <= MAX_INTERVAL
    gaps = {after - before for before, after in itertools.pairwise(times)}
    assert min(gaps) >= MIN_INTERVAL
    # One connect may time out, and the next one come up as late as another would.
    assert max(gaps) + CONNECT_TIMEOUT + MIN_RETRY_DELAY + CONNECT_TIMEOUT < RELEASE_LIMIT


def test_connections_opened_for_another_reason_count() -> None:
    schedule = make_schedule()
    schedule.add("a", 0)
    schedule.told("a", 2 * SECOND)
    assert not schedule.take_due(2 * SECOND + MIN_INTERVAL - 1, 0)
    assert schedule.take_due(2 * SECOND + MAX_INTERVAL, 0) == ["a"]


def test_a_server_that_is_added_twice_or_removed_is_dialled_once_or_not() -> None:
    schedule = make_schedule()
    schedule.add("a", 0)
    due = schedule.next_due()
    schedule.add("a", SECOND)
    assert schedule.next_due() == due
    schedule.add("b", 0)
    schedule.remove("b")
    assert schedule.take_due(MAX_INTERVAL, 0) == ["a"]
    schedule.told("b", MAX_INTERVAL)
    schedule.dial_failed("b", MAX_INTERVAL)
    assert "b" not in schedule


def test_no_more_than_the_permitted_number_run_at_once_and_the_longest_overdue_go_first() -> None:
    schedule = make_schedule(max_parallel=2)
    for host in "abc":
        schedule.add(host, 0)
    first = schedule.take_due(MAX_INTERVAL, 0)
    assert len(first) == 2
    assert schedule.take_due(MAX_INTERVAL, 2) == []
    for host in first:
        schedule.told(host, MAX_INTERVAL)
    assert schedule.take_due(MAX_INTERVAL, 1) == [host for host in "abc" if host not in first]


@pytest.mark.parametrize("failures", [1, 6])
def test_a_connect_that_fails_is_tried_again_with_growing_pauses(failures: int) -> None:
    schedule = make_schedule()
    schedule.add("a", 0)
    now, pauses = MAX_INTERVAL, []
    for _ in range(failures):
        assert schedule.take_due(now, 0) == ["a"]
        schedule.dial_failed("a", now)
        due = schedule.next_due()
        assert due is not None
        pauses.append(due - now)
        now = due
    assert pauses == [min(MIN_RETRY_DELAY << n, 4 * SECOND) for n in range(failures)]


def test_a_dial_of_which_nothing_is_heard_does_not_end_the_audit() -> None:
    schedule = make_schedule()
    schedule.add("a", 0)
    assert schedule.take_due(MAX_INTERVAL, 0) == ["a"]
    assert schedule.next_due() == 2 * MAX_INTERVAL


@pytest.mark.parametrize("softswitches", [24, 200])
def test_a_fleet_that_lost_a_server_together_does_not_dial_it_at_once(softswitches: int) -> None:
    """Guards against a storm of dials: the connections of a fleet to one server were cut in one instant."""
    dials: list[int] = []
    for number in range(softswitches):
        schedule = make_schedule(seed=number)
        schedule.add("a", 0)
        dials += [at for at, _ in dials_until(schedule, 60 * SECOND)]
    per_100_ms = [0] * 601
    for at in dials:
        per_100_ms[at // (100 * MS)] += 1
    # Two standard deviations above an even spread over the range of the first delay, and three after it.
    even = softswitches * 100 * MS / (MAX_INTERVAL - MIN_FIRST_DELAY)
    assert max(per_100_ms) <= even + 4 * even**0.5 + 1
    assert len(dials) <= softswitches * (60 * SECOND // MIN_INTERVAL)
