"""One small test for each failure found on the bench; each fails without its guard."""

from collections import Counter
from dataclasses import replace

import pytest

from wickstep import interface as api
from wickstep.brain import FIRST_MARK, MAX_MARK, MIN_WINDOW, P_MIN, T_M

from .helpers import BASIC, LONG, MS, SECOND, Host, final_answers, sent_servers, server_entry


def test_set_ups_overtaken_by_a_later_one_are_called_off_without_blame() -> None:
    host = Host(servers=1)
    host.new_call(1)
    host.now += 2 * T_M
    host.new_call(2)
    host.now += 50 * MS
    assert api.Cancel(1, 0) in host.call_stands(2, "s0")
    assert host.controller.servers["s0"].open == {}
    host.attempt_ended(1, "s0", api.Outcome.CANCELLED)
    assert host.controller.servers["s0"].failures == 0
    assert sent_servers(host.advance(host.settings.release_wait)) == ["s0"]


def test_a_full_of_either_kind_does_not_read_as_a_restart() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    for number in range(1, 5):
        host.now = max(host.now, server.mark_until)
        host.new_call(number)
        host.handle(api.AttemptEnded(number, 0, "s0", api.Outcome.FULL, 9 * MS, False, number % 2 == 0, {}))
        host.handle(api.CallerLeft(number))
    assert server.failures == 4
    host.now = server.mark_until
    host.new_call(9)
    host.call_stands(9, "s0")
    assert server.failures == 0
    assert server.cold_since == 0


def test_window_holds_set_ups_back_before_a_queue_can_build() -> None:
    host = Host(servers=1)
    out = sum(bool(sent_servers(host.new_call(n))) for n in range(1, 20))
    assert out == 2
    assert len(host.controller.queued) == 17


def test_window_closes_on_slow_set_ups_and_opens_on_quick_ones() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    for number in range(1, 30):
        host.new_call(number)
        host.new_call(number + 1000)
        host.call_stands(number, "s0", took=40 * MS)
        host.call_stands(number + 1000, "s0", took=40 * MS)
    assert server.window > 3
    for number in range(100, 200):
        host.new_call(number)
        host.call_stands(number, "s0", took=900 * MS)
    assert server.window == MIN_WINDOW


def test_marks_grow_with_failures_in_a_row_and_end_with_a_stand() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    lengths = []
    for number in range(1, 9):
        host.now = max(host.now, server.mark_until)
        host.new_call(number)
        host.attempt_ended(number, "s0", api.Outcome.CONNECT_FAILED)
        lengths.append(server.mark_until - host.now)
    assert lengths[:3] == [FIRST_MARK, 2 * FIRST_MARK, 4 * FIRST_MARK]
    assert lengths[-1] == MAX_MARK
    host.now = server.mark_until
    host.new_call(50, max_wait=9 * SECOND)
    host.call_stands(50, "s0")
    assert server.failures == 0


def test_resets_of_many_calls_at_once_are_one_failure() -> None:
    host = Host(servers=1)
    for number in range(100, 130):
        host.attempt_ended(number, "s0", api.Outcome.RESET, over=True)
    assert host.controller.servers["s0"].failures == 1


def test_a_server_that_fails_repeatedly_gets_one_trial_at_a_time() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.failures = 2
    assert sent_servers(host.new_call(1)) == ["s0"]
    assert sent_servers(host.new_call(2)) == []


def test_silence_is_noticed_before_any_time_out() -> None:
    host = Host(servers=2)
    for number in range(1, 3):
        host.new_call(number, first=0)
    host.advance(1500 * MS)
    assert host.controller.servers["s0"].failures >= 1
    assert sent_servers(host.new_call(9, first=0)) == ["s1"]


def test_a_server_back_from_silence_counts_as_cold_until_it_is_quick() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.min_time, server.failures, server.sampled_at = 50.0 * MS, 2, host.now
    server.rate = host.controller.rate = 9.0
    host.new_call(1)
    host.call_stands(1, "s0", took=400 * MS)
    assert server.cold_since == host.now
    host.now += 3 * SECOND
    host.new_call(2)
    host.call_stands(2, "s0", took=60 * MS)
    assert server.cold_since == 0


def test_the_lines_of_a_server_and_not_the_calls_of_all_set_its_cold_budget() -> None:
    count = 0
    for seed in range(20):
        host = Host(servers=2, seed=seed, classes=(LONG,))
        # 20 lines, ten seconds a call, four proxies: half a set-up a second each
        host.report_lines(s0=4000, s1=20)
        host.update_list(server_entry(0), server_entry(1, started=host.now - SECOND))
        host.controller.rate, host.controller.servers["s1"].rate = 40.0, 0.2
        for number in range(1, 200):
            count += "s1" in sent_servers(host.new_call(number, first=1))
            if number in host.controller.calls:
                host.call_stands(number, "s1", took=300 * MS)
            host.now += 10 * MS
    assert 20 / 5 <= count <= 20 * 2


def test_what_a_full_server_turns_away_at_many_proxies_spreads_over_the_others() -> None:
    taken: Counter[str] = Counter()
    for seed in range(40):
        host = Host(servers=5, seed=seed)
        host.report_lines(**{f"s{number}": 20 for number in range(5)})
        host.new_call(1, first=0)
        taken.update(sent_servers(host.attempt_ended(1, "s0", api.Outcome.FULL)))
    assert len(taken) == 4, taken
    assert max(taken.values()) <= 20  # forty from one pointer would be a flood


def test_what_is_late_is_called_off_without_counting_as_lost() -> None:
    host = Host(servers=2)
    host.controller.loss = loss = 0.2
    host.controller.servers["s0"].rho = 0.3
    host.new_call(1)
    assert any(isinstance(action, api.Cancel) for action in host.advance(SECOND // 2))
    assert host.controller.loss <= loss


def test_the_last_servers_with_room_take_their_own_part_of_what_the_pressed_turn_away() -> None:
    taken = 0
    for seed in range(50):
        host = Host(servers=10, seed=seed, proxies=200)
        host.report_lines(**{f"s{number}": 20 if number == 9 else 200 for number in range(10)})
        for server in host.controller.servers.values():
            server.min_time = 50.0 * MS
            if server.number < 9:
                server.rho, server.mark_until = 2.0, host.now + SECOND * (server.number == 0)
        for number in range(1, 4):
            taken += "s9" in sent_servers(host.new_call(seed * 3 + number, first=0))
    assert taken <= 150 / 20  # it has an eightieth of the lines; all would bury it


def test_a_slow_processor_takes_less_whatever_its_lines() -> None:
    taken: Counter[str] = Counter()
    for seed in range(100):
        host = Host(servers=3, seed=seed)
        host.report_lines(s0=200, s1=200, s2=200)
        host.controller.servers["s1"].min_time, host.controller.servers["s2"].min_time = 20.0 * MS, 100.0 * MS
        host.controller.servers["s0"].mark_until = host.now + SECOND
        taken.update(sent_servers(host.new_call(1, first=0)))
    assert taken["s1"] > 3 * taken["s2"] > 0


def test_a_server_that_keeps_failing_few_calls_is_tried_seldom_by_all_proxies_together() -> None:
    host = Host(servers=1, proxies=200)
    server = host.controller.servers["s0"]
    marks = []
    for _ in range(1, 10):
        server.rate = 0.2
        host.controller._mark_failed(server)
        marks.append(server.mark_until - host.now)
        host.now = host.controller.now = server.mark_until
    assert marks[0] == FIRST_MARK  # one failure proves little
    assert marks[1] >= SECOND / 0.2  # two: the next own set-up is skipped
    assert max(marks) == 200 * SECOND // 4  # four trials a second by all of them


def test_a_pressed_share_turns_away_repeats_before_first_tries() -> None:
    host = Host(servers=1)
    host.controller.servers["s0"].share = 0.5
    passed = {False: 0, True: 0}
    for number in range(1, 2001):
        repeat = number % 2 == 0
        passed[repeat] += bool(sent_servers(host.new_call(number, repeat=repeat)))
        host.call_stands(number, "s0")
    assert 440 < passed[False] < 560
    assert 30 < passed[True] < 100


def test_classes_of_more_worth_pass_a_pressed_server_more_often() -> None:
    host = Host(servers=1)
    host.controller.servers["s0"].share = 0.2
    passed = 0
    for number in range(1, 1001):
        passed += bool(sent_servers(host.new_call(number, klass=1)))
        host.call_stands(number, "s0")
    assert 870 < passed < 938  # 0.2 to the power of a quarter squared is 0.904


def test_nonsense_reports_leave_no_evidence() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    for report in (
        {"wait_ms": -1.0},
        {"wait_ms": float("nan")},
        {"wait_ms": float("inf")},
        {"waiting": 5.0, "can_take": 0.0},
        {"waiting": -1.0, "can_take": 20.0},
        {},
    ):
        host.attempt_ended(1, "s0", api.Outcome.ENDED, over=True, report=report)
    assert server.samples == []


def test_a_share_at_the_bottom_recovers_once_the_server_is_idle() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.share, server.rho = P_MIN, 2.0
    host.advance(12 * SECOND)
    assert server.share == 1.0


def test_the_window_closes_while_set_ups_stay_out_too_long() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.window = 8.0
    for number in range(1, 5):
        host.new_call(number)
    host.advance(900 * MS)
    assert server.window < 2


def test_a_step_needs_fresh_evidence() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.samples = [4.0]
    host.controller._take_sample(server)
    host.controller._step_share(server)
    once = server.share
    for _ in range(5):
        host.controller._step_share(server)
    assert server.share == once < 1
    server.samples = [4.0]
    host.controller._take_sample(server)
    host.controller._step_share(server)
    assert server.share < once


def test_silence_is_judged_by_the_set_ups_to_be_expected() -> None:
    shares = []
    for rate in (4.0, 0.2):
        host = Host(servers=1)
        server = host.controller.servers["s0"]
        server.share, server.rho, server.sampled_at = 0.3, 2.0, host.now
        for _ in range(5):
            host.advance(SECOND)
            host.controller.rate = rate
        shares.append(server.share)
    assert shares[0] == 1.0
    assert shares[1] == 0.3


def test_a_further_server_takes_a_draw_of_its_own() -> None:
    host = Host(servers=2)
    host.controller.servers["s1"].share = 1e-12
    host.new_call(1, first=0)
    # s0 is marked, s1 pressed: not handed round
    assert final_answers(host.attempt_ended(1, "s0", api.Outcome.FULL))


def test_a_pressed_sample_lowers_the_chance_at_once() -> None:
    host = Host(servers=1)
    passed = 0
    for number in range(1, 1001):
        host.controller.servers["s0"].rho = 1.9
        passed += bool(sent_servers(host.new_call(number)))
        host.handle(api.CallerLeft(number))
        host.attempt_ended(number, "s0", api.Outcome.ENDED, over=True)
    assert 440 < passed < 560  # the share is still 1


def test_spill_goes_by_free_lines_and_not_to_a_server_without() -> None:
    host = Host(servers=4)
    host.report_lines(s0=500, s1=900, s2=90, s3=(0, 700))
    host.controller.servers["s0"].share = 1e-12
    taken = {"s1": 0, "s2": 0, "s3": 0}
    for number in range(1, 1001):
        for name in sent_servers(host.new_call(number, first=0)):
            taken[name] += 1
            host.call_stands(number, name)
    assert taken["s3"] == 0
    assert 8 < taken["s1"] / taken["s2"] < 12


def test_what_marks_turn_away_goes_by_lines_when_none_has_room() -> None:
    host = Host(servers=3)
    host.report_lines(s0=500, s1=900, s2=90)
    for server in host.controller.servers.values():
        server.rho = 0.9  # no room for spill, yet no pressure
    taken = {"s1": 0, "s2": 0}
    for number in range(1, 501):
        host.controller.servers["s0"].mark_until = host.now + SECOND
        for name in sent_servers(host.new_call(number, first=0)):
            taken[name] += 1
            host.call_stands(number, name)
    assert taken["s1"] > 8 * taken["s2"] > 0


def test_nonsense_lines_are_passed_over() -> None:
    host = Host(servers=1)
    host.report_lines(s0=(30, 90))
    for free, lines in ((-1.0, -1.0), (float("nan"), 5.0), (9.0, 3.0), (1.0, float("inf"))):
        host.handle(api.ProbeAnswered("s0", True, 0, {"free": free, "lines": lines}))
    server = host.controller.servers["s0"]
    assert (server.free, server.lines) == (30, 90)
    host.handle(api.ProbeAnswered("gone", True, 0, {"free": 1.0, "lines": 2.0}))


def test_a_report_tells_lost_answers_from_a_queue() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    host.new_call(1)
    host.now += 1500 * MS
    host.attempt_ended(77, "s0", api.Outcome.ENDED, over=True, report={"wait_ms": 900.0})
    assert 1 in server.open  # a queue of 0.9 s and a late report explain that
    assert api.Cancel(1, 0) in host.attempt_ended(
        78, "s0", api.Outcome.ENDED, over=True, report={"wait_ms": 5.0}
    )
    assert server.open == {}
    assert server.failures == 0


@pytest.mark.parametrize(("took", "lost"), [(20 * MS, True), (40 * MS, False), (0, False)])
def test_a_probe_that_is_answered_tells_what_is_lost_of_all_that_went_out_well_before(
    took: int, lost: bool
) -> None:
    host = Host()
    host.new_call(1)
    host.advance(100 * MS)
    actions = host.handle(api.ProbeAnswered("s0", True, took, {}))  # 0: a report that came unasked
    assert (api.Cancel(1, 0) in actions) is lost


def test_while_answers_get_lost_a_late_set_up_is_tried_again_within_its_aim() -> None:
    for loss, attempts in ((0.0, 1), (0.3, 2)):
        host = Host(servers=1)
        host.controller.loss = loss
        server = host.controller.servers["s0"]
        server.min_time, server.rho = 40.0 * MS, 0.2
        host.new_call(1)
        actions = host.advance(350 * MS)
        assert (api.Cancel(1, 0) in actions) == (attempts == 2)
        if attempts == 2:
            host.attempt_ended(1, "s0", api.Outcome.CANCELLED)
        host.advance(500 * MS)
        assert len(host.sends()) == attempts
        assert all(at < host.now - 850 * MS + BASIC.aim for at, _ in host.sends())


@pytest.mark.parametrize(("aim", "part"), [(4 * SECOND, 1), (SECOND, 1), (SECOND // 4, 4)])
def test_the_loop_is_as_quick_as_calls_are_wanted_and_never_slower(aim: int, part: int) -> None:
    host = Host(classes=(replace(BASIC, aim=aim),))
    first = host.controller.ticks
    host.advance(SECOND)
    assert 5 * part - 1 <= host.controller.ticks - first <= 5 * part + 1
    host.new_call(1)
    host.attempt_ended(1, "s0", api.Outcome.FULL)
    assert host.controller.servers["s0"].mark_until - host.now == FIRST_MARK // part


def test_a_server_whose_successor_is_warm_enough_comes_last() -> None:
    host = Host()
    late = server_entry(0, started=host.now, name="late")
    host.update_list(late, kind=api.ListKind.CHANGES)
    host.report_lines(s0=90, s1=90, late=90)
    # the successor is cold: it could not do the work
    assert sent_servers(host.new_call(1, first=0)) == ["s0"]
    host.call_stands(1, "s0")
    host.advance(21 * SECOND)
    assert sent_servers(host.new_call(2, first=0)) == ["late"]
    host.call_stands(2, "late")
    host.update_list(server_entry(0, api.ServerState.GONE, late.started, "late"), kind=api.ListKind.CHANGES)
    assert sent_servers(host.new_call(9, first=0)) == ["s0"]


def test_a_stale_timer_does_not_call_off_a_later_attempt() -> None:
    host = Host(servers=2)
    host.controller.loss = 0.3
    for server in host.controller.servers.values():
        server.min_time, server.rho = 40.0 * MS, 0.2
    host.new_call(1)
    early = host.controller.calls[1].cancel_at
    host.now = early - 10 * MS
    assert sent_servers(host.attempt_ended(1, "s0", api.Outcome.FULL)) == ["s1"]
    host.now = early
    assert host.handle(api.TimerDue(2)) == []


def test_a_busy_number_blames_no_server_and_is_not_tried_again() -> None:
    host = Host(servers=2)
    host.new_call(1)
    assert isinstance(host.attempt_ended(1, "s0", api.Outcome.ERROR, busy=True)[-1], api.Refuse)
    assert host.controller.servers["s0"].samples == []


def test_an_error_is_the_calls_and_only_errors_alone_are_the_servers() -> None:
    host = Host(servers=2)
    server = host.controller.servers["s0"]
    for number in range(1, 6):
        assert server.mark_until == 0
        host.now += MS  # what comes at once has one cause
        host.new_call(number)
        # one may be chance: another attempt
        (other,) = sent_servers(host.attempt_ended(number, "s0", api.Outcome.ERROR))
        assert isinstance(host.attempt_ended(number, other, api.Outcome.ERROR, attempt=1)[-1], api.Fail)
    assert server.mark_until > host.now


def test_a_server_without_a_free_line_is_not_asked_and_not_taken_for_a_pressed_one() -> None:
    host = Host(servers=2)
    host.report_lines(s0=(1, 65), s1=(200, 240))
    host.new_call(1)  # takes the line that was free
    assert sent_servers(host.new_call(2)) == ["s1"]
    host.call_stands(1, "s0")
    host.call_stands(2, "s1")
    host.report_lines(s0=(1, 65))
    assert sent_servers(host.new_call(3)) == ["s0"]
    ended = api.AttemptEnded(3, 0, "s0", api.Outcome.FULL, 9 * MS, False, False, {}, no_line=True)
    assert sent_servers(host.handle(ended)) == ["s1"]  # another took it meanwhile
    server = host.controller.servers["s0"]
    assert (server.failures, server.mark_until, server.samples[1:]) == (0, 0, [])
    assert sent_servers(host.new_call(4)) == ["s1"]
    host.report_lines(s0=(2, 65))
    assert sent_servers(host.new_call(5)) == ["s0"]


@pytest.mark.parametrize("rate", [0.2, 20.0])
def test_a_call_burns_no_attempts_where_it_found_no_line(rate: float) -> None:
    """Hundreds may ask at the same moment; where few do, lines come free all the time, and are told."""
    host = Host(servers=1)
    host.controller.rate = rate
    host.report_lines(s0=(2, 65))
    assert sent_servers(host.new_call(1)) == ["s0"]
    ended = api.AttemptEnded(1, 0, "s0", api.Outcome.FULL, 9 * MS, False, False, {}, no_line=True)
    assert sent_servers(host.handle(ended)) == []
    assert sent_servers(host.advance(2 * T_M)) == []
    host.report_lines(s0=(1, 65))
    assert sent_servers(host.advance(2 * T_M)) == ["s0"]


def test_a_server_that_has_left_for_long_is_forgotten() -> None:
    host = Host(servers=2)
    for number in range(100):
        host.update_list(
            server_entry(0, api.ServerState.GONE, name=f"old{number}"), kind=api.ListKind.CHANGES
        )
        host.advance(2 * SECOND)
    assert len(host.controller.servers) < 40


def test_probes_go_only_to_servers_in_doubt() -> None:
    host = Host(servers=3, may_probe=True)
    host.now += 2 * SECOND
    host.controller.rate = 1.0
    for name, share, heard in (("s0", 1.0, 0), ("s1", 0.5, 0), ("s2", 0.5, host.now)):
        server = host.controller.servers[name]
        server.share, server.rho, server.sampled_at = share, 1.2, heard
        server.open[99] = host.now
    host.controller.ticks = 4
    asked = [action.server for action in host.controller.handle(api.TimerDue(0), host.now)
             if isinstance(action, api.Probe)]  # fmt: skip
    assert asked == ["s1"]


def test_less_wait_is_aimed_at_where_own_evidence_is_thin() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.rate = 3.0
    dense = host.controller._target_time(server)
    server.rate = 0.3
    assert host.controller._target_time(server) < dense / 2


def test_where_evidence_is_thin_one_set_up_at_a_time_is_out() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.window, server.rate = 6.0, 0.3
    assert [len(sent_servers(host.new_call(n))) for n in range(1, 4)] == [1, 0, 0]
    server.rate = 3.0
    assert sent_servers(host.new_call(4)) == ["s0"]


def test_a_server_just_warm_is_let_go_only_by_those_who_saw_it_quick() -> None:
    for quick in (False, True):
        host = Host(servers=2, classes=(LONG,), proxies=200)
        host.report_lines(s0=4000, s1=200)
        host.update_list(server_entry(0), server_entry(1, started=host.now))
        server = host.controller.servers["s1"]
        assert not host.controller._ready(server)
        host.controller.now += host.settings.ramp_time
        if quick:
            server.alive_at, server.rho = host.now, 0.5
        assert host.controller._ready(server) == quick
        host.controller.now += host.settings.ramp_time
        assert host.controller._ready(server)


def test_a_route_list_names_who_may_take_a_call_and_in_which_order() -> None:
    host = Host(servers=4, classes=(replace(BASIC, allowed=frozenset({0, 2, 3})),))
    assert sent_servers(host.new_call(1, first=3, candidates=(3, 1, 2))) == ["s3"]
    # 1 is not the class's, 0 not the list's
    assert sent_servers(host.attempt_ended(1, "s3", api.Outcome.FULL)) == ["s2"]
    host.controller.servers["s3"].mark_until = host.controller.servers["s2"].mark_until = host.now + SECOND
    assert sent_servers(host.new_call(2, first=3, candidates=(3, 2))) == []  # held, though s0 is free


@pytest.mark.parametrize("candidates", [(7,), (1,)])
def test_a_list_without_a_server_that_may_take_it_is_refused_at_once(candidates: tuple[int, ...]) -> None:
    host = Host(servers=3, classes=(replace(BASIC, allowed=frozenset({0, 2})),))
    assert isinstance(host.new_call(1, first=candidates[0], candidates=candidates)[-1], api.Refuse)


def test_a_held_call_whose_list_loses_its_last_server_is_refused() -> None:
    host = Host(servers=2)
    host.controller.servers["s1"].mark_until = host.now + 10 * SECOND
    assert not final_answers(host.new_call(1, first=1, candidates=(1,)))
    host.update_list(server_entry(1, api.ServerState.DRAINING), kind=api.ListKind.CHANGES)
    assert final_answers(host.advance(2 * T_M))
