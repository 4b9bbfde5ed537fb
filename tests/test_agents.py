"""Scarce lines: price of a line, trunk reservation, queued calls, repeats recognised by the number called."""

import math
from dataclasses import replace
from typing import Any

import pytest

from wickstep import interface as api
from wickstep.brain import AWAY_FACTOR, MAX_CALLEES, MAX_TRIES

from .helpers import LONG, MS, SECOND, Host, final_answers, sent_servers

LOOK_UP = replace(LONG, aim=5 * SECOND, give_up_after=15 * SECOND)
URGENT = replace(LOOK_UP, aim=3 * SECOND // 2, worth=5.0)
BOOKING = replace(LOOK_UP, worth=3.0)


def make_host(servers: int = 2, **changes: Any) -> Host:
    return Host(servers=servers, classes=(LOOK_UP, URGENT, BOOKING), may_probe=False, **changes)


def test_a_server_without_free_lines_gets_no_set_up_and_the_call_waits() -> None:
    host = make_host()
    host.report_lines(s0=(0, 40), s1=(0, 40))
    assert sent_servers(host.new_call(1, first=0)) == []
    assert sent_servers(host.advance(SECOND)) == []
    host.report_lines(s0=(2, 40))
    assert sent_servers(host.advance(SECOND // 2)) == ["s0"]


def test_a_report_of_no_lines_at_all_differs_from_no_report() -> None:
    host = make_host()
    host.report_lines(s0=(0, 0))
    # nothing is known of s1, so it is tried
    assert sent_servers(host.new_call(1, klass=1, first=0)) == ["s1"]


@pytest.mark.parametrize(
    ("klass", "free", "sent"), [(0, 1, False), (0, 3, False), (0, 12, True), (2, 2, True)]
)
def test_overflow_gets_a_line_only_if_worth_more_than_first_choice_calls_pay(
    klass: int, free: int, sent: bool
) -> None:
    """The price is the lowest worth * `AWAY_FACTOR` / (1 + free * sqrt(2 / pi / 40)).

    A call of the lowest worth pays it once that factor is below 1, which is so from 4 free lines on.
    """
    host = make_host()
    host.report_lines(s0=(0, 40), s1=(free, 40))
    assert (sent_servers(host.new_call(1, klass, first=0)) == ["s1"]) is sent
    break_even = (AWAY_FACTOR - 1) / math.sqrt(2 / math.pi / 40)
    assert 3 < break_even < 4


def test_the_trunk_reservation_grows_with_the_root_of_the_lines() -> None:
    needed = {}
    for lines in (25, 100, 400):
        for free in range(1, lines):
            host = make_host()
            host.report_lines(s0=(0, lines), s1=(free, lines))
            if sent_servers(host.new_call(1, first=0)):
                needed[lines] = free
                break
    assert needed == {25: 4, 100: 7, 400: 13}


def test_the_last_line_is_reserved_for_the_class_with_the_shortest_aim() -> None:
    host = make_host(servers=1)
    host.report_lines(s0=(1, 40))
    assert sent_servers(host.new_call(1, klass=0)) == []
    assert sent_servers(host.new_call(2, klass=2)) == []
    assert sent_servers(host.new_call(3, klass=1)) == ["s0"]


def test_a_server_with_one_line_serves_every_class() -> None:
    host = make_host(servers=1)
    host.report_lines(s0=(1, 1))
    assert sent_servers(host.new_call(1, klass=0)) == ["s0"]


def test_queued_calls_are_sent_by_worth_and_then_by_age() -> None:
    host = make_host(servers=1)
    host.report_lines(s0=(0, 40))
    for number, klass in enumerate((0, 0, 2, 1), start=1):
        host.new_call(number, klass)
        host.now += MS
    host.report_lines(s0=(40, 40))
    order = [action.call for action in host.advance(SECOND // 2) if isinstance(action, api.Send)]
    for number in list(order):
        order += [a.call for a in host.call_stands(number, "s0", delay=5 * MS) if isinstance(a, api.Send)]
    assert order == [4, 3, 1, 2]


def test_a_queued_call_is_refused_before_its_aim_passes() -> None:
    host = make_host(servers=1)
    host.report_lines(s0=(0, 40))
    host.new_call(1, max_wait=20 * SECOND)
    start = host.now
    refused = final_answers(host.advance(4 * SECOND))
    assert refused == []
    assert final_answers(host.advance(SECOND)) == [api.Refuse(1, 200 * MS)]
    assert host.now - start <= LOOK_UP.aim


def test_no_more_calls_are_queued_than_lines_come_free_within_the_aim() -> None:
    """40 lines, held for 10 s each, and 4 softswitches: 5 come free for this one within an aim of 5 s."""
    host = make_host(servers=1)
    host.report_lines(s0=(0, 40))
    host.advance(SECOND // 2)  # the rate at which lines come free is updated by the control loop
    for number in range(1, 6):
        assert final_answers(host.new_call(number)) == []
    assert final_answers(host.new_call(6)) == [api.Refuse(6, 200 * MS)]
    # the newest of the calls of least worth
    assert final_answers(host.new_call(7, klass=2)) == [api.Refuse(5, 200 * MS)]
    assert set(host.controller.queued) == {1, 2, 3, 4, 7}


def test_a_call_refused_while_the_queue_is_served_is_not_sent() -> None:
    """With fewer lines, serving the queue refuses calls that are still in its copy: these must be skipped."""
    host = make_host(servers=1)
    host.report_lines(s0=(0, 40))
    host.advance(SECOND // 2)
    for number in range(1, 6):
        host.new_call(number)
    host.report_lines(s0=(0, 16))
    assert [action.call for action in host.advance(SECOND // 2) if isinstance(action, api.Refuse)] == [
        5,
        4,
        3,
    ]
    host.report_lines(s0=(16, 16))
    assert [action.call for action in host.advance(SECOND) if isinstance(action, api.Send)] == [1, 2]


def test_a_line_freed_by_an_own_call_is_used_at_once() -> None:
    host = make_host(servers=1)
    host.report_lines(s0=(2, 40))
    assert sent_servers(host.new_call(1)) == ["s0"]
    host.call_stands(1, "s0")
    host.new_call(2)
    actions = host.attempt_ended(1, "s0", api.Outcome.ENDED, call_over=True, report={"free": 2, "lines": 40})
    assert sent_servers(actions) == ["s0"]


@pytest.mark.parametrize(
    "report",
    [
        {"free": 50, "lines": 40}, {"free": -1, "lines": 40}, {"free": math.nan, "lines": 40},
        {"free": 1, "lines": math.inf}, {"free": math.inf, "lines": math.inf}, {"wait_ms": math.inf},
        {"wait_ms": math.nan, "free": 3}, {"waiting": 5, "can_take": 0}, {"lines": 3},
    ],
)  # fmt: skip
def test_a_report_out_of_range_is_ignored(report: dict[str, float]) -> None:
    host = make_host(servers=1)
    host.report_lines(s0=(7, 40))
    host.handle(api.ProbeAnswered("s0", True, 0, report))
    server = host.controller.servers["s0"]
    assert (server.free, server.lines, server.samples) == (7, 40, [])
    assert sent_servers(host.new_call(1)) == ["s0"]


def test_an_overloaded_server_takes_overflow_of_calls_of_higher_worth_only() -> None:
    sent = {}
    for klass in (0, 1):
        host = make_host()
        host.report_lines(s0=(20, 40), s1=(20, 40))
        host.controller.servers["s0"].share = host.controller.servers["s1"].share = 1e-9
        host.controller.servers["s1"].share = 0.5
        sent[klass] = 0
        for number in range(1, 401):
            sent[klass] += sent_servers(host.new_call(number, klass, first=0)) == ["s1"]
            host.call_stands(number, "s1")
            host.report_lines(s0=(20, 40), s1=(20, 40))
    assert sent[0] == 0
    assert sent[1] > 100


# Callers that redial.


def dial(host: Host, number: int, callee: str, klass: int = 0) -> api.Actions:
    return host.new_call(number, klass, first=0, callee=callee)


def test_a_repeated_try_has_the_aim_of_the_first() -> None:
    host = make_host(servers=1, marks_repeats=False)
    host.report_lines(s0=(0, 40))
    dial(host, 1, "a")
    host.handle(api.CallerLeft(1))
    host.now += 2 * SECOND
    dial(host, 2, "a")
    dial(host, 3, "b")
    call, other = host.controller.calls[2], host.controller.calls[3]
    assert (call.aim_at, other.aim_at) == (host.now + 3 * SECOND, host.now + 5 * SECOND)
    assert host.controller.arrivals == 2  # a repeat does not count as an arrival


def test_a_repeat_past_its_aim_leaves_the_line_to_other_calls() -> None:
    host = make_host(servers=1, marks_repeats=False)
    host.report_lines(s0=(0, 40))
    dial(host, 1, "a")
    host.handle(api.CallerLeft(1))
    host.now += 6 * SECOND
    host.report_lines(s0=(4, 40))
    assert sent_servers(dial(host, 2, "a")) == []
    assert sent_servers(dial(host, 3, "b")) == ["s0"]


@pytest.mark.parametrize("case", ["marked", "unknown", "stood", "long ago", "many"])
def test_a_number_dialled_twice_is_not_taken_for_a_repeat(case: str) -> None:
    host = make_host(servers=1, marks_repeats=case == "marked")
    host.report_lines(s0=(40, 40))
    dial(host, 1, "" if case == "unknown" else "a")
    host.call_stands(1, "s0") if case == "stood" else host.handle(api.CallerLeft(1))
    for number in range(2, MAX_TRIES + 1 if case == "many" else 2):
        dial(host, number, "a")
        host.handle(api.CallerLeft(number))
    host.now += (16 if case == "long ago" else 1) * SECOND
    dial(host, 99, "" if case == "unknown" else "a")
    assert host.controller.calls[99].aim_at == host.now + LOOK_UP.aim


def test_memory_of_numbers_called_is_bounded_in_time_and_count() -> None:
    host = make_host(servers=1, marks_repeats=False)
    host.report_lines(s0=(0, 40))
    for number in range(MAX_CALLEES + 50):
        dial(host, number, f"n{number}")
        host.handle(api.CallerLeft(number))
    assert len(host.controller.dialled) <= MAX_CALLEES + 1
    host.now += 16 * SECOND
    dial(host, 99_999, "other")
    assert set(host.controller.dialled) == {"other"}


# Few softswitches.


@pytest.mark.parametrize(("proxies", "in_flight"), [(6, 2), (200, 1)])
def test_few_softswitches_may_have_several_set_ups_in_flight_at_a_low_rate(
    proxies: int, in_flight: int
) -> None:
    host = make_host(servers=1, proxies=proxies)
    host.report_lines(s0=(40, 40))
    server = host.controller.servers["s0"]
    server.min_time, server.rate = 50.0 * MS, 0.5
    assert sum(len(sent_servers(host.new_call(number))) for number in range(1, 6)) == in_flight


def test_calls_of_no_worth_get_lines_where_the_price_is_zero() -> None:
    host = Host(servers=1, classes=(replace(LOOK_UP, worth=0.0), URGENT))
    host.report_lines(s0=(40, 40))
    assert sent_servers(host.new_call(1, klass=0)) == ["s0"]
