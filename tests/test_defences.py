"""One small test per failure that was found on the test bench; each fails without its safeguard."""

from collections import Counter
from dataclasses import replace

import pytest

from wickstep import interface as api
from wickstep.brain import FIRST_MARK, MAX_MARK, MIN_WINDOW, P_MIN, T_M

from .helpers import BASIC, LONG, MS, SECOND, Host, final_answers, sent_servers, server_entry


def test_set_up_overtaken_by_a_later_one_is_cancelled_without_a_failure() -> None:
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


def test_full_answers_are_not_taken_for_a_restart() -> None:
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


def test_window_limits_set_ups_in_flight() -> None:
    host = Host(servers=1)
    sent_count = sum(bool(sent_servers(host.new_call(n))) for n in range(1, 20))
    assert sent_count == 2
    assert len(host.controller.queued) == 17


def test_window_shrinks_on_slow_set_ups_and_grows_on_quick_ones() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    for number in range(1, 30):
        host.new_call(number)
        host.new_call(number + 1000)
        host.call_stands(number, "s0", delay=40 * MS)
        host.call_stands(number + 1000, "s0", delay=40 * MS)
    assert server.window > 3
    for number in range(100, 200):
        host.new_call(number)
        host.call_stands(number, "s0", delay=900 * MS)
    assert server.window == MIN_WINDOW


def test_skip_marks_double_with_failures_in_a_row_and_end_with_an_answered_call() -> None:
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


def test_simultaneous_resets_of_many_calls_are_one_failure() -> None:
    host = Host(servers=1)
    for number in range(100, 130):
        host.attempt_ended(number, "s0", api.Outcome.RESET, call_over=True)
    assert host.controller.servers["s0"].failures == 1


def test_server_with_repeated_failures_gets_one_set_up_at_a_time() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.failures = 2
    assert sent_servers(host.new_call(1)) == ["s0"]
    assert sent_servers(host.new_call(2)) == []


def test_silent_server_is_a_failure_before_any_time_out() -> None:
    host = Host(servers=2)
    for number in range(1, 3):
        host.new_call(number, first=0)
    host.advance(1500 * MS)
    assert host.controller.servers["s0"].failures >= 1
    assert sent_servers(host.new_call(9, first=0)) == ["s1"]


def test_server_back_from_silence_is_cold_until_it_is_quick() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.min_time, server.failures, server.sampled_at = 50.0 * MS, 2, host.now
    server.rate = host.controller.rate = 9.0
    host.new_call(1)
    host.call_stands(1, "s0", delay=400 * MS)
    assert server.cold_since == host.now
    host.now += 3 * SECOND
    host.new_call(2)
    host.call_stands(2, "s0", delay=60 * MS)
    assert server.cold_since == 0


def test_budget_of_a_cold_server_follows_its_lines_and_not_the_total_rate() -> None:
    count = 0
    for seed in range(20):
        host = Host(servers=2, seed=seed, classes=(LONG,))
        # 20 lines, calls of ten seconds, four softswitches: half a set-up per second for each
        host.report_lines(s0=4000, s1=20)
        host.update_list(server_entry(0), server_entry(1, started=host.now - SECOND))
        host.controller.rate, host.controller.servers["s1"].rate = 40.0, 0.2
        for number in range(1, 200):
            count += "s1" in sent_servers(host.new_call(number, first=1))
            if number in host.controller.calls:
                host.call_stands(number, "s1", delay=300 * MS)
            host.now += 10 * MS
    assert 20 / 5 <= count <= 20 * 2


def test_overflow_of_a_full_server_from_many_softswitches_spreads_over_the_others() -> None:
    taken: Counter[str] = Counter()
    for seed in range(40):
        host = Host(servers=5, seed=seed)
        host.report_lines(**{f"s{number}": 20 for number in range(5)})
        host.new_call(1, first=0)
        taken.update(sent_servers(host.attempt_ended(1, "s0", api.Outcome.FULL)))
    assert len(taken) == 4, taken
    assert max(taken.values()) <= 20  # all forty at one server would overload it


def test_late_set_up_is_cancelled_without_counting_as_lost() -> None:
    host = Host(servers=2)
    host.controller.loss = loss = 0.2
    host.controller.servers["s0"].rho = 0.3
    host.new_call(1)
    assert any(isinstance(action, api.Cancel) for action in host.advance(SECOND // 2))
    assert host.controller.loss <= loss


def test_last_server_with_room_takes_overflow_in_proportion_to_its_lines() -> None:
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
    assert taken <= 150 / 20  # it has about an eightieth of the lines: the whole overflow would overload it


def test_slow_processor_takes_less_overflow_at_equal_lines() -> None:
    taken: Counter[str] = Counter()
    for seed in range(100):
        host = Host(servers=3, seed=seed)
        host.report_lines(s0=200, s1=200, s2=200)
        host.controller.servers["s1"].min_time, host.controller.servers["s2"].min_time = 20.0 * MS, 100.0 * MS
        host.controller.servers["s0"].mark_until = host.now + SECOND
        taken.update(sent_servers(host.new_call(1, first=0)))
    assert taken["s1"] > 3 * taken["s2"] > 0


def test_trials_of_a_failing_server_are_bounded_over_all_softswitches() -> None:
    host = Host(servers=1, proxies=200)
    server = host.controller.servers["s0"]
    marks = []
    for _ in range(1, 10):
        server.rate = 0.2
        host.controller._mark_failed(server)
        marks.append(server.mark_until - host.now)
        host.now = host.controller.now = server.mark_until
    assert marks[0] == FIRST_MARK  # a single failure is weak evidence
    assert marks[1] >= SECOND / 0.2  # after two, the next set-up of this softswitch is skipped
    assert max(marks) == 200 * SECOND // 4  # four trials a second by all 200 softswitches


def test_low_pass_share_rejects_repeats_before_first_attempts() -> None:
    host = Host(servers=1)
    host.controller.servers["s0"].share = 0.5
    passed = {False: 0, True: 0}
    for number in range(1, 2001):
        repeat = number % 2 == 0
        passed[repeat] += bool(sent_servers(host.new_call(number, repeat=repeat)))
        host.call_stands(number, "s0")
    assert 440 < passed[False] < 560
    assert 30 < passed[True] < 100


def test_low_pass_share_admits_classes_of_more_worth_more_often() -> None:
    host = Host(servers=1)
    host.controller.servers["s0"].share = 0.2
    passed = 0
    for number in range(1, 1001):
        passed += bool(sent_servers(host.new_call(number, klass=1)))
        host.call_stands(number, "s0")
    assert 870 < passed < 938  # 0.2 to the power of a quarter squared is 0.904


def test_invalid_reports_leave_no_samples() -> None:
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
        host.attempt_ended(1, "s0", api.Outcome.ENDED, call_over=True, report=report)
    assert server.samples == []


def test_minimum_pass_share_recovers_once_the_server_is_idle() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.share, server.rho = P_MIN, 2.0
    host.advance(12 * SECOND)
    assert server.share == 1.0


def test_window_shrinks_while_set_ups_stay_in_flight_too_long() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.window = 8.0
    for number in range(1, 5):
        host.new_call(number)
    host.advance(900 * MS)
    assert server.window < 2


def test_pass_share_steps_only_on_a_new_sample() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.samples = [4.0]
    host.controller._take_sample(server)
    host.controller._step_share(server)
    share_after_one = server.share
    for _ in range(5):
        host.controller._step_share(server)
    assert server.share == share_after_one < 1
    server.samples = [4.0]
    host.controller._take_sample(server)
    host.controller._step_share(server)
    assert server.share < share_after_one


def test_pass_share_recovers_without_samples_only_where_set_ups_were_expected() -> None:
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


def test_overflow_to_another_server_draws_against_its_own_pass_share() -> None:
    host = Host(servers=2)
    host.controller.servers["s1"].share = 1e-12
    host.new_call(1, first=0)
    # s0 is marked and s1 has a low pass share: the call is not passed on to others
    assert final_answers(host.attempt_ended(1, "s0", api.Outcome.FULL))


def test_high_occupancy_sample_lowers_admission_at_once() -> None:
    host = Host(servers=1)
    passed = 0
    for number in range(1, 1001):
        host.controller.servers["s0"].rho = 1.9
        passed += bool(sent_servers(host.new_call(number)))
        host.handle(api.CallerLeft(number))
        host.attempt_ended(number, "s0", api.Outcome.ENDED, call_over=True)
    assert 440 < passed < 560  # the share is still 1


def test_overflow_follows_free_lines_and_skips_a_server_without() -> None:
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


def test_overflow_of_a_marked_server_follows_lines_when_none_has_room() -> None:
    host = Host(servers=3)
    host.report_lines(s0=500, s1=900, s2=90)
    for server in host.controller.servers.values():
        server.rho = 0.9  # no room for overflow, but not overloaded
    taken = {"s1": 0, "s2": 0}
    for number in range(1, 501):
        host.controller.servers["s0"].mark_until = host.now + SECOND
        for name in sent_servers(host.new_call(number, first=0)):
            taken[name] += 1
            host.call_stands(number, name)
    assert taken["s1"] > 8 * taken["s2"] > 0


def test_invalid_line_reports_are_ignored() -> None:
    host = Host(servers=1)
    host.report_lines(s0=(30, 90))
    for free, lines in ((-1.0, -1.0), (float("nan"), 5.0), (9.0, 3.0), (1.0, float("inf"))):
        host.handle(api.ProbeAnswered("s0", True, 0, {"free": free, "lines": lines}))
    server = host.controller.servers["s0"]
    assert (server.free, server.lines) == (30, 90)
    host.handle(api.ProbeAnswered("gone", True, 0, {"free": 1.0, "lines": 2.0}))


def test_reported_wait_tells_lost_answers_from_a_queue() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    host.new_call(1)
    host.now += 1500 * MS
    host.attempt_ended(77, "s0", api.Outcome.ENDED, call_over=True, report={"wait_ms": 900.0})
    assert 1 in server.open  # explained by a queue of 0.9 s and a late report
    assert api.Cancel(1, 0) in host.attempt_ended(
        78, "s0", api.Outcome.ENDED, call_over=True, report={"wait_ms": 5.0}
    )
    assert server.open == {}
    assert server.failures == 0


@pytest.mark.parametrize(("delay", "lost"), [(20 * MS, True), (40 * MS, False), (0, False)])
def test_answered_probe_shows_which_earlier_set_ups_are_lost(delay: int, lost: bool) -> None:
    host = Host()
    host.new_call(1)
    host.advance(100 * MS)
    actions = host.handle(api.ProbeAnswered("s0", True, delay, {}))  # 0: an unsolicited report
    assert (api.Cancel(1, 0) in actions) is lost


def test_late_set_up_is_retried_within_its_aim_while_answers_are_lost() -> None:
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
def test_control_interval_shrinks_with_a_short_aim_and_never_grows(aim: int, part: int) -> None:
    host = Host(classes=(replace(BASIC, aim=aim),))
    first = host.controller.ticks
    host.advance(SECOND)
    assert 5 * part - 1 <= host.controller.ticks - first <= 5 * part + 1
    host.new_call(1)
    host.attempt_ended(1, "s0", api.Outcome.FULL)
    assert host.controller.servers["s0"].mark_until - host.now == FIRST_MARK // part


def test_server_with_a_warm_successor_is_chosen_last() -> None:
    host = Host()
    successor = server_entry(0, started=host.now, name="late")
    host.update_list(successor, kind=api.ListKind.CHANGES)
    host.report_lines(s0=90, s1=90, successor=90)
    # the successor is still cold and has too little capacity
    assert sent_servers(host.new_call(1, first=0)) == ["s0"]
    host.call_stands(1, "s0")
    host.advance(21 * SECOND)
    assert sent_servers(host.new_call(2, first=0)) == ["late"]
    host.call_stands(2, "late")
    host.update_list(
        server_entry(0, api.ServerState.GONE, successor.started, "late"), kind=api.ListKind.CHANGES
    )
    assert sent_servers(host.new_call(9, first=0)) == ["s0"]


def test_stale_timer_does_not_cancel_a_later_attempt() -> None:
    host = Host(servers=2)
    host.controller.loss = 0.3
    for server in host.controller.servers.values():
        server.min_time, server.rho = 40.0 * MS, 0.2
    host.new_call(1)
    stale_due = host.controller.calls[1].cancel_at
    host.now = stale_due - 10 * MS
    assert sent_servers(host.attempt_ended(1, "s0", api.Outcome.FULL)) == ["s1"]
    host.now = stale_due
    assert host.handle(api.TimerDue(2)) == []


def test_busy_number_leaves_no_sample_and_is_not_retried() -> None:
    host = Host(servers=2)
    host.new_call(1)
    assert isinstance(host.attempt_ended(1, "s0", api.Outcome.ERROR, callee_busy=True)[-1], api.Refuse)
    assert host.controller.servers["s0"].samples == []


def test_server_is_marked_after_errors_alone_and_not_after_one() -> None:
    host = Host(servers=2)
    server = host.controller.servers["s0"]
    for number in range(1, 6):
        assert server.mark_until == 0
        host.now += MS  # errors at the same moment count as one
        host.new_call(number)
        # a single error may be chance: the call gets another attempt
        (other,) = sent_servers(host.attempt_ended(number, "s0", api.Outcome.ERROR))
        assert isinstance(host.attempt_ended(number, other, api.Outcome.ERROR, attempt=1)[-1], api.Fail)
    assert server.mark_until > host.now


def test_server_without_a_free_line_is_skipped_and_not_taken_for_overloaded() -> None:
    host = Host(servers=2)
    host.report_lines(s0=(1, 65), s1=(200, 240))
    host.new_call(1)  # takes the line that was free
    assert sent_servers(host.new_call(2)) == ["s1"]
    host.call_stands(1, "s0")
    host.call_stands(2, "s1")
    host.report_lines(s0=(1, 65))
    assert sent_servers(host.new_call(3)) == ["s0"]
    ended = api.AttemptEnded(3, 0, "s0", api.Outcome.FULL, 9 * MS, False, False, {}, no_line=True)
    assert sent_servers(host.handle(ended)) == ["s1"]  # another call took the line meanwhile
    server = host.controller.servers["s0"]
    assert (server.failures, server.mark_until, server.samples[1:]) == (0, 0, [])
    assert sent_servers(host.new_call(4)) == ["s1"]
    host.report_lines(s0=(2, 65))
    assert sent_servers(host.new_call(5)) == ["s0"]


@pytest.mark.parametrize("rate", [0.2, 20.0])
def test_call_that_found_no_line_uses_no_attempt_until_one_is_free(rate: float) -> None:
    """Hundreds of softswitches may ask at once; at low rates free lines are reported all the time."""
    host = Host(servers=1)
    host.controller.rate = rate
    host.report_lines(s0=(2, 65))
    assert sent_servers(host.new_call(1)) == ["s0"]
    ended = api.AttemptEnded(1, 0, "s0", api.Outcome.FULL, 9 * MS, False, False, {}, no_line=True)
    assert sent_servers(host.handle(ended)) == []
    assert sent_servers(host.advance(2 * T_M)) == []
    host.report_lines(s0=(1, 65))
    assert sent_servers(host.advance(2 * T_M)) == ["s0"]


def test_server_that_left_long_ago_is_removed() -> None:
    host = Host(servers=2)
    for number in range(100):
        host.update_list(
            server_entry(0, api.ServerState.GONE, name=f"old{number}"), kind=api.ListKind.CHANGES
        )
        host.advance(2 * SECOND)
    assert len(host.controller.servers) < 40


def test_probes_go_only_to_throttled_servers_without_recent_samples() -> None:
    host = Host(servers=3, may_probe=True)
    host.now += 2 * SECOND
    host.controller.rate = 1.0
    for name, share, last_sample in (("s0", 1.0, 0), ("s1", 0.5, 0), ("s2", 0.5, host.now)):
        server = host.controller.servers[name]
        server.share, server.rho, server.sampled_at = share, 1.2, last_sample
        server.open[99] = host.now
    host.controller.ticks = 4
    probed = [action.server for action in host.controller.handle(api.TimerDue(0), host.now)
             if isinstance(action, api.Probe)]  # fmt: skip
    assert probed == ["s1"]


def test_target_time_is_shorter_where_samples_are_few() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.rate = 3.0
    high_rate_target = host.controller._get_target_time(server)
    server.rate = 0.3
    assert host.controller._get_target_time(server) < high_rate_target / 2


def test_one_set_up_at_a_time_is_in_flight_where_samples_are_few() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.window, server.rate = 6.0, 0.3
    assert [len(sent_servers(host.new_call(n))) for n in range(1, 4)] == [1, 0, 0]
    server.rate = 3.0
    assert sent_servers(host.new_call(4)) == ["s0"]


def test_server_just_warm_is_ready_only_where_it_was_seen_quick() -> None:
    for quick in (False, True):
        host = Host(servers=2, classes=(LONG,), proxies=200)
        host.report_lines(s0=4000, s1=200)
        host.update_list(server_entry(0), server_entry(1, started=host.now))
        server = host.controller.servers["s1"]
        assert not host.controller._fits(server)
        host.controller.now += host.settings.ramp_time
        if quick:
            server.alive_at, server.rho = host.now, 0.5
        assert host.controller._fits(server) == quick
        host.controller.now += host.settings.ramp_time
        assert host.controller._fits(server)


def test_route_list_limits_and_orders_the_servers_of_a_call() -> None:
    host = Host(servers=4, classes=(replace(BASIC, allowed=frozenset({0, 2, 3})),))
    assert sent_servers(host.new_call(1, first=3, candidates=(3, 1, 2))) == ["s3"]
    # server 1 is not allowed for the class, server 0 not on the route list
    assert sent_servers(host.attempt_ended(1, "s3", api.Outcome.FULL)) == ["s2"]
    host.controller.servers["s3"].mark_until = host.controller.servers["s2"].mark_until = host.now + SECOND
    assert sent_servers(host.new_call(2, first=3, candidates=(3, 2))) == []  # queued, though s0 is free


@pytest.mark.parametrize("candidates", [(7,), (1,)])
def test_call_whose_route_list_has_no_allowed_server_is_refused_at_once(candidates: tuple[int, ...]) -> None:
    host = Host(servers=3, classes=(replace(BASIC, allowed=frozenset({0, 2})),))
    assert isinstance(host.new_call(1, first=candidates[0], candidates=candidates)[-1], api.Refuse)


def test_queued_call_whose_route_list_loses_its_last_server_is_refused() -> None:
    host = Host(servers=2)
    host.controller.servers["s1"].mark_until = host.now + 10 * SECOND
    assert not final_answers(host.new_call(1, first=1, candidates=(1,)))
    host.update_list(server_entry(1, api.ServerState.DRAINING), kind=api.ListKind.CHANGES)
    assert final_answers(host.advance(2 * T_M))
