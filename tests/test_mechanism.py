"""The mechanism of overload control: step of the pass share, clamps, draw, routing, skip mark."""

import pytest

from wickstep import interface as api
from wickstep.brain import (
    ERROR_LIMIT,
    EWMA_WEIGHT,
    FIRST_MARK,
    MAX_ERROR_RUN,
    MAX_STEP,
    P_MIN,
    T_M,
    TARGET_RHO,
)

from .helpers import MS, SECOND, Host, final_answers, sent_servers


def test_share_follows_the_step_formula() -> None:
    host = Host()
    server = host.controller.servers["s0"]
    server.share, server.rho, server.has_new_sample = 0.5, 1.1, True
    host.controller._step_share(server)
    assert server.share == pytest.approx(0.5 * TARGET_RHO / 1.1)
    server.share, server.rho, server.has_new_sample = 0.5, 0.1, True
    host.controller._step_share(server)
    assert server.share == pytest.approx(0.5 * MAX_STEP)


def test_share_is_clamped_at_both_ends() -> None:
    host = Host()
    server = host.controller.servers["s0"]
    server.share, server.rho, server.has_new_sample = 0.9, 0.5, True
    host.controller._step_share(server)
    assert server.share == 1.0
    server.share, server.rho, server.has_new_sample = P_MIN, 2.0, True
    host.controller._step_share(server)
    assert server.share == P_MIN
    server.share, server.rho, server.has_new_sample = 0.95, 0.0, True
    host.controller._step_share(server)
    assert server.share == 1.0


def test_occupancy_is_smoothed_with_the_weight_on_the_newest_sample() -> None:
    host = Host()
    server = host.controller.servers["s0"]
    server.samples = [1.0]
    host.controller._take_sample(server)
    assert server.rho == pytest.approx(1.0)
    server.samples = [2.0, 1.0]
    host.controller._take_sample(server)
    assert server.rho == pytest.approx(EWMA_WEIGHT * 1.5 + (1 - EWMA_WEIGHT) * 1.0)


def test_first_choice_is_taken_while_unmarked() -> None:
    host = Host(servers=3)
    assert sent_servers(host.new_call(1, first=2)) == ["s2"]
    assert sent_servers(host.new_call(2, first=0)) == ["s0"]


def test_overflow_rotates_over_the_other_servers() -> None:
    host = Host(servers=3)
    host.controller.servers["s0"].mark_until = host.now + SECOND
    host.controller.rotation = 0.0
    routes = [sent_servers(host.new_call(n, first=0))[0] for n in range(1, 5)]
    assert routes == ["s1", "s2", "s1", "s2"]


def test_one_processor_full_marks_the_server_for_the_mark_time() -> None:
    host = Host()
    host.new_call(1, first=0)
    assert sent_servers(host.attempt_ended(1, "s0", api.Outcome.FULL)) == ["s1"]
    host.now += FIRST_MARK - MS
    assert sent_servers(host.new_call(2, first=0)) == ["s1"]
    host.now += MS
    assert sent_servers(host.new_call(3, first=0)) == ["s0"]


def test_draw_admits_about_the_pass_share() -> None:
    host = Host(servers=1)
    host.controller.servers["s0"].share = 0.4
    passed = 0
    for number in range(1, 2001):
        passed += bool(sent_servers(host.new_call(number)))
        host.call_stands(number, "s0")
    assert 0.36 < passed / 2000 < 0.44


def test_a_call_that_fails_its_draw_is_refused_at_once_with_advice() -> None:
    host = Host(servers=1)
    host.controller.servers["s0"].share = 1e-12
    assert final_answers(host.new_call(1)) == [api.Refuse(1, FIRST_MARK)]


def test_a_call_is_queued_while_all_servers_are_marked_and_sent_when_the_mark_ends() -> None:
    host = Host()
    for server in host.controller.servers.values():
        server.mark_until = host.now + 100 * MS
    assert sent_servers(host.new_call(1)) == []
    assert sent_servers(host.advance(2 * T_M)) == ["s0"]


def test_an_interval_without_evidence_does_not_raise_a_low_share() -> None:
    host = Host(servers=1)
    server = host.controller.servers["s0"]
    server.share, server.rho, server.sampled_at = 0.2, 1.0, host.now
    host.controller.ticks = 0
    host.advance(SECOND)
    assert server.share <= 0.2


def make_s0_fail(host: Host) -> None:
    """s0 answers each set-up with an error until it has a skip mark; s1 works."""
    host.report_lines(s0=(50, 60), s1=(50, 60))
    for number in range(1000, 1000 + 3 * MAX_ERROR_RUN):
        host.now += MS
        host.controller.servers["s0"].mark_until = 0
        if "s0" in sent_servers(host.new_call(number, first=0)):
            host.attempt_ended(number, "s0", api.Outcome.ERROR)
            host.call_stands(number, "s1", attempt=1)
    assert not host.controller.may_try(host.controller.servers["s0"])
    assert host.controller.servers["s0"].error_rate > ERROR_LIMIT


def test_a_server_marked_for_errors_is_used_where_no_other_has_a_line() -> None:
    host = Host()
    make_s0_fail(host)
    assert sent_servers(host.new_call(1, first=0)) == ["s1"]  # s1 has free lines, so s0 is skipped
    host.report_lines(s1=(0, 60))
    assert sent_servers(host.new_call(2, first=0)) == ["s0"]
    # not s1, which has no free line
    assert sent_servers(host.attempt_ended(2, "s0", api.Outcome.ERROR)) == ["s0"]
    host.report_lines(s1=(2, 60))
    # errors of a server marked for them do not end the call
    assert sent_servers(host.attempt_ended(2, "s0", api.Outcome.ERROR, attempt=1)) == ["s1"]
    full = api.AttemptEnded(2, 2, "s1", api.Outcome.FULL, MS, False, False, {}, no_line=True)
    assert sent_servers(host.handle(full)) == ["s0"]


def test_two_errors_end_a_call_where_error_rates_are_low() -> None:
    host = Host()
    host.report_lines(s0=(50, 60), s1=(50, 60))
    assert sent_servers(host.new_call(1, first=0)) == ["s0"]
    assert sent_servers(host.attempt_ended(1, "s0", api.Outcome.ERROR)) == ["s1"]
    assert final_answers(host.attempt_ended(1, "s1", api.Outcome.ERROR, attempt=1)) == [api.Fail(1)]


def test_errors_do_not_lower_the_pass_share() -> None:
    host = Host()
    host.report_lines(s0=(50, 60), s1=(50, 60))
    for number in range(1, 81):
        host.report_lines(s0=(50, 60), s1=(50, 60))  # else the set-ups sent would use the lines up
        host.advance(50 * MS)
        if "s0" in sent_servers(host.new_call(number, first=0)):
            host.attempt_ended(number, "s0", api.Outcome.ERROR)
        host.call_stands(number, "s1", attempt=host.controller.calls[number].attempts - 1)
    assert host.controller.servers["s0"].share > 0.9
