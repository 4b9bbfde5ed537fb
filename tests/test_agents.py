"""Where lines run short: prices, reserves, calls that wait for a line, repeats told by the number called."""

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


def pools(servers: int = 2, **changes: Any) -> Host:
    return Host(servers=servers, classes=(LOOK_UP, URGENT, BOOKING), may_probe=False, **changes)


def test_a_pool_told_to_be_empty_is_not_asked_and_its_call_waits_for_an_agent() -> None:
    host = pools()
    host.report_lines(s0=(0, 40), s1=(0, 40))
    assert sent_servers(host.new_call(1, first=0)) == []
    assert sent_servers(host.advance(SECOND)) == []
    host.report_lines(s0=(2, 40))
    assert sent_servers(host.advance(SECOND // 2)) == ["s0"]


def test_no_agents_at_all_is_not_the_same_as_unknown() -> None:
    host = pools()
    host.report_lines(s0=(0, 0))
    # nothing is known of that one: it is asked
    assert sent_servers(host.new_call(1, klass=1, first=0)) == ["s1"]


@pytest.mark.parametrize(
    ("klass", "free", "sent"), [(0, 1, False), (0, 3, False), (0, 12, True), (2, 2, True)]
)
def test_a_line_goes_elsewhere_only_above_what_it_earns_from_first_choices(
    klass: int, free: int, sent: bool
) -> None:
    """The least pays `AWAY_FACTOR` / (1 + free * sqrt(2 / pi / 40)) of a like call: with 4 free, less."""
    host = pools()
    host.report_lines(s0=(0, 40), s1=(free, 40))
    assert (sent_servers(host.new_call(1, klass, first=0)) == ["s1"]) is sent
    least = (AWAY_FACTOR - 1) / math.sqrt(2 / math.pi / 40)
    assert 3 < least < 4


def test_the_reserve_grows_with_the_root_of_the_lines() -> None:
    needed = {}
    for lines in (25, 100, 400):
        for free in range(1, lines):
            host = pools()
            host.report_lines(s0=(0, lines), s1=(free, lines))
            if sent_servers(host.new_call(1, first=0)):
                needed[lines] = free
                break
    assert needed == {25: 4, 100: 7, 400: 13}


def test_the_last_line_is_left_to_calls_that_are_wanted_soonest() -> None:
    host = pools(servers=1)
    host.report_lines(s0=(1, 40))
    assert sent_servers(host.new_call(1, klass=0)) == []
    assert sent_servers(host.new_call(2, klass=2)) == []
    assert sent_servers(host.new_call(3, klass=1)) == ["s0"]


def test_a_pool_of_one_agent_serves_every_class() -> None:
    host = pools(servers=1)
    host.report_lines(s0=(1, 1))
    assert sent_servers(host.new_call(1, klass=0)) == ["s0"]


def test_of_those_who_wait_the_worthiest_goes_first_and_then_the_oldest() -> None:
    host = pools(servers=1)
    host.report_lines(s0=(0, 40))
    for number, klass in enumerate((0, 0, 2, 1), start=1):
        host.new_call(number, klass)
        host.now += MS
    host.report_lines(s0=(40, 40))
    order = [action.call for action in host.advance(SECOND // 2) if isinstance(action, api.Send)]
    for number in list(order):
        order += [a.call for a in host.call_stands(number, "s0", took=5 * MS) if isinstance(a, api.Send)]
    assert order == [4, 3, 1, 2]


def test_who_waits_is_refused_while_its_caller_can_still_hear_of_it() -> None:
    host = pools(servers=1)
    host.report_lines(s0=(0, 40))
    host.new_call(1, max_wait=20 * SECOND)
    begun = host.now
    refused = final_answers(host.advance(4 * SECOND))
    assert refused == []
    assert final_answers(host.advance(SECOND)) == [api.Refuse(1, 200 * MS)]
    assert host.now - begun <= LOOK_UP.aim


def test_no_more_wait_than_lines_come_free_in_time_and_the_least_is_refused_at_once() -> None:
    """40 lines for 10 s each and 4 softswitches: 5 come free for this one in an aim of 5 s."""
    host = pools(servers=1)
    host.report_lines(s0=(0, 40))
    host.advance(SECOND // 2)  # it looks at what comes free in its own time
    for number in range(1, 6):
        assert final_answers(host.new_call(number)) == []
    assert final_answers(host.new_call(6)) == [api.Refuse(6, 200 * MS)]
    # the newest of the least worth
    assert final_answers(host.new_call(7, klass=2)) == [api.Refuse(5, 200 * MS)]
    assert set(host.controller.queued) == {1, 2, 3, 4, 7}


def test_a_call_refused_for_another_in_one_look_goes_nowhere() -> None:
    """Fewer lines than before: who is refused in a look at those who wait is not looked at again in it."""
    host = pools(servers=1)
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


def test_an_agent_that_comes_free_here_is_used_here_at_once() -> None:
    host = pools(servers=1)
    host.report_lines(s0=(2, 40))
    assert sent_servers(host.new_call(1)) == ["s0"]
    host.call_stands(1, "s0")
    host.new_call(2)
    over = host.attempt_ended(1, "s0", api.Outcome.ENDED, over=True, report={"free": 2, "lines": 40})
    assert sent_servers(over) == ["s0"]


@pytest.mark.parametrize(
    "report",
    [
        {"free": 50, "lines": 40}, {"free": -1, "lines": 40}, {"free": math.nan, "lines": 40},
        {"free": 1, "lines": math.inf}, {"free": math.inf, "lines": math.inf}, {"wait_ms": math.inf},
        {"wait_ms": math.nan, "free": 3}, {"waiting": 5, "can_take": 0}, {"lines": 3},
    ],
)  # fmt: skip
def test_a_report_that_makes_no_sense_is_passed_over(report: dict[str, float]) -> None:
    host = pools(servers=1)
    host.report_lines(s0=(7, 40))
    host.handle(api.ProbeAnswered("s0", True, 0, report))
    server = host.controller.servers["s0"]
    assert (server.free, server.lines, server.samples) == (7, 40, [])
    assert sent_servers(host.new_call(1)) == ["s0"]


def test_a_pressed_processor_takes_the_worthier_call_that_the_first_choice_turned_away() -> None:
    taken = {}
    for klass in (0, 1):
        host = pools()
        host.report_lines(s0=(20, 40), s1=(20, 40))
        host.controller.servers["s0"].share = host.controller.servers["s1"].share = 1e-9
        host.controller.servers["s1"].share = 0.5
        taken[klass] = 0
        for number in range(1, 401):
            taken[klass] += sent_servers(host.new_call(number, klass, first=0)) == ["s1"]
            host.call_stands(number, "s1")
            host.report_lines(s0=(20, 40), s1=(20, 40))
    assert taken[0] == 0
    assert taken[1] > 100


# Callers that ring again.


def ring(host: Host, number: int, callee: str, klass: int = 0) -> api.Actions:
    return host.new_call(number, klass, first=0, callee=callee)


def test_a_caller_that_rings_again_has_the_aim_of_its_first_try() -> None:
    host = pools(servers=1, marks_repeats=False)
    host.report_lines(s0=(0, 40))
    ring(host, 1, "a")
    host.handle(api.CallerLeft(1))
    host.now += 2 * SECOND
    ring(host, 2, "a")
    ring(host, 3, "b")
    call, other = host.controller.calls[2], host.controller.calls[3]
    assert (call.aim_at, other.aim_at) == (host.now + 3 * SECOND, host.now + 5 * SECOND)
    assert host.controller.arrivals == 2  # a repeat is no new demand


def test_one_that_would_come_late_leaves_the_line_to_others() -> None:
    host = pools(servers=1, marks_repeats=False)
    host.report_lines(s0=(0, 40))
    ring(host, 1, "a")
    host.handle(api.CallerLeft(1))
    host.now += 6 * SECOND
    host.report_lines(s0=(4, 40))
    assert sent_servers(ring(host, 2, "a")) == []
    assert sent_servers(ring(host, 3, "b")) == ["s0"]


@pytest.mark.parametrize("how", ["marked", "unknown", "stood", "long ago", "many"])
def test_a_number_rung_twice_is_no_repeat_where(how: str) -> None:
    host = pools(servers=1, marks_repeats=how == "marked")
    host.report_lines(s0=(40, 40))
    ring(host, 1, "" if how == "unknown" else "a")
    host.call_stands(1, "s0") if how == "stood" else host.handle(api.CallerLeft(1))
    for number in range(2, MAX_TRIES + 1 if how == "many" else 2):
        ring(host, number, "a")
        host.handle(api.CallerLeft(number))
    host.now += (16 if how == "long ago" else 1) * SECOND
    ring(host, 99, "" if how == "unknown" else "a")
    assert host.controller.calls[99].aim_at == host.now + LOOK_UP.aim


def test_numbers_called_are_remembered_for_a_time_and_so_many() -> None:
    host = pools(servers=1, marks_repeats=False)
    host.report_lines(s0=(0, 40))
    for number in range(MAX_CALLEES + 50):
        ring(host, number, f"n{number}")
        host.handle(api.CallerLeft(number))
    assert len(host.controller.dialled) <= MAX_CALLEES + 1
    host.now += 16 * SECOND
    ring(host, 99_999, "other")
    assert set(host.controller.dialled) == {"other"}


# A handful of softswitches are not hundreds.


@pytest.mark.parametrize(("proxies", "out"), [(6, 2), (200, 1)])
def test_few_softswitches_need_not_send_one_set_up_at_a_time(proxies: int, out: int) -> None:
    host = pools(servers=1, proxies=proxies)
    host.report_lines(s0=(40, 40))
    server = host.controller.servers["s0"]
    server.min_time, server.rate = 50.0 * MS, 0.5
    assert sum(len(sent_servers(host.new_call(number))) for number in range(1, 6)) == out


def test_calls_that_are_worth_nothing_take_lines_that_nobody_pays_for() -> None:
    host = Host(servers=1, classes=(replace(LOOK_UP, worth=0.0), URGENT))
    host.report_lines(s0=(40, 40))
    assert sent_servers(host.new_call(1, klass=0)) == ["s0"]
