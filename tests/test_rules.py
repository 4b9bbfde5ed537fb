"""The rules for every call over random histories, checked independently of the controller.

A call has one final answer by its deadline, one attempt in flight and at most `max_attempts`; nothing is sent
to a draining or gone server or within the release wait. Cold servers get no more than their budget.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickstep import interface as api

from .helpers import LONG, MS, SECOND, Host, sent_servers, server_entry

SLACK = 20 * MS  # allowed past a deadline: time advances in steps
FAILURES = [
    api.Outcome.ERROR,
    api.Outcome.FULL,
    api.Outcome.CONNECT_FAILED,
    api.Outcome.TIMEOUT,
    api.Outcome.RESET,
    api.Outcome.MOOT,
]
RELEASED = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)

STEP = st.one_of(
    st.tuples(st.just("call"), st.integers(0, 1), st.integers(0, 3), st.booleans()),
    st.tuples(st.just("stand"), st.integers(0, 50), st.integers(0, 0), st.booleans()),
    st.tuples(st.just("fail"), st.integers(0, 50), st.integers(0, 5), st.booleans()),
    st.tuples(st.just("list"), st.integers(0, 2), st.integers(0, 3), st.booleans()),
    st.tuples(st.just("leave"), st.integers(0, 50), st.integers(0, 0), st.booleans()),
    st.tuples(st.just("junk"), st.integers(0, 4), st.integers(0, 0), st.booleans()),
    st.tuples(st.just("wait"), st.integers(1, 900), st.integers(0, 0), st.booleans()),
)


@dataclass
class RuleChecker:
    """Follows the actions and checks the rules against its own records."""

    host: Host
    deadline: dict[int, int] = field(default_factory=dict)  # call -> when its caller stops waiting
    in_flight: dict[int, tuple[str, int]] = field(default_factory=dict)  # call -> server, attempt
    attempts: dict[int, int] = field(default_factory=dict)  # call -> number of its last attempt
    released: dict[int, int] = field(default_factory=dict)  # call -> end of its release wait
    over: set[int] = field(default_factory=set)
    inactive: set[str] = field(default_factory=set)  # servers that drain or are gone
    cancelled: list[tuple[int, int]] = field(default_factory=list)
    checked: int = 0  # actions of the log checked so far

    def check(self) -> None:
        for at, action in self.host.action_log[self.checked :]:
            match action:
                case api.Send(call=call, server=server, timeout=timeout):
                    assert call in self.deadline, "unknown call"
                    assert call not in self.over, "sent after its end"
                    assert call not in self.in_flight, "two attempts in flight"
                    assert server not in self.inactive, "sent to a draining or gone server"
                    assert at >= self.released.get(call, 0), "sent before the end of the release wait"
                    assert at + timeout <= self.deadline[call] + SLACK
                    number = self.attempts.get(call, -1) + 1
                    assert number < self.host.settings.max_attempts
                    self.attempts[call] = number
                    self.in_flight[call] = (server, number)
                case api.Refuse(call=call) | api.Fail(call=call):
                    assert call not in self.over, "two final answers"
                    assert at <= self.deadline[call] + SLACK, "answered too late"
                    self.over.add(call)
                case api.Cancel(call=call, attempt=attempt):
                    assert attempt <= self.attempts.get(call, -1), "cancelled an attempt that was never sent"
                    self.cancelled.append((call, attempt))
        self.checked = len(self.host.action_log)
        for call, due in self.deadline.items():
            assert call in self.over or self.host.now <= due + SLACK, "no final answer by the deadline"

    def end_attempt(self, call: int, outcome: api.Outcome) -> None:
        server, attempt = self.in_flight.pop(call)
        if outcome in RELEASED:
            self.released[call] = self.host.now + self.host.settings.release_wait
        self.host.attempt_ended(call, server, outcome, attempt, call_over=call in self.over)
        self.check()

    def end_cancelled(self) -> None:
        for call, attempt in self.cancelled:
            if self.in_flight.get(call, ("", -1))[1] == attempt:
                self.end_attempt(call, api.Outcome.CANCELLED)
        self.cancelled.clear()

    def pass_time(self, duration: int) -> None:
        stop = self.host.now + duration
        while self.host.now < stop:
            self.host.advance(min(10 * MS, stop - self.host.now))
            for call in [c for c in self.in_flight if self.host.now >= self.deadline[c]]:
                self.end_attempt(call, api.Outcome.TIMEOUT)
            self.check()
            self.end_cancelled()


def run_history(steps: list[tuple[str, int, int, bool]], seed: int) -> RuleChecker:
    host = Host(servers=3, seed=seed)
    checker = RuleChecker(host)
    for count, (kind, a, b, flag) in enumerate(steps):
        waiting = sorted(checker.in_flight)
        if kind == "call":
            max_wait = (300 + 700 * b) * MS
            checker.deadline[count] = host.now + max_wait
            host.new_call(count, klass=a, first=b, max_wait=max_wait, repeat=flag)
        elif kind == "stand" and waiting:
            call = waiting[a % len(waiting)]
            server, attempt = checker.in_flight.pop(call)
            checker.over.add(call)
            host.call_stands(call, server, (20 + 10 * a) * MS, attempt)
        elif kind == "fail" and waiting:
            checker.end_attempt(waiting[a % len(waiting)], FAILURES[b])
        elif kind == "list":
            state = list(api.ServerState)[a]
            name = f"s{b % 3}"
            if state is api.ServerState.ACTIVE:
                checker.inactive.discard(name)
            else:
                checker.inactive.add(name)
            started = host.now - SECOND if flag else 0
            host.update_list(server_entry(b % 3, state, started), kind=api.ListKind.CHANGES)
        elif kind == "leave" and waiting:
            call = waiting[a % len(waiting)]
            checker.over.add(call)
            host.handle(api.CallerLeft(call))
            checker.end_attempt(call, api.Outcome.CANCELLED)
        elif kind == "junk":
            junk: list[api.Event] = [
                api.TimerDue(987654321),
                api.CallStands(31337, 0, "nowhere", 5),
                api.PeerMessage(3, b"\xff\x00garbage"),
                api.CallerLeft(424242),
                api.AttemptEnded(
                    31337, 7, "nowhere", api.Outcome.RESET, -4, True, False, {"wait_ms": float("nan")}
                ),
            ]
            host.handle(junk[a])
        elif kind == "wait":
            checker.pass_time(a * MS)
        checker.check()
        checker.end_cancelled()
    checker.pass_time(4 * SECOND)
    assert set(checker.deadline) <= checker.over
    return checker


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(STEP, max_size=60), st.integers(0, 2**32))
def test_rules_hold_over_random_histories(steps: list[tuple[str, int, int, bool]], seed: int) -> None:
    run_history(steps, seed)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.lists(STEP, max_size=40), st.integers(0, 2**32))
def test_the_same_events_give_the_same_actions(steps: list[tuple[str, int, int, bool]], seed: int) -> None:
    assert run_history(steps, seed).host.action_log == run_history(steps, seed).host.action_log


@pytest.mark.parametrize(("good", "skew"), [(1.0, 1.0), (0.0, 1.0), (0.5, 3.0), (0.9, 6.0)])
def test_all_proxies_together_keep_the_cold_budget_in_each_window(good: float, skew: float) -> None:
    """Two hundred independent controllers with unequal call rates send to one cold server."""
    proxies, lines, rng = 200, 1000, random.Random(5)
    hosts = [Host(servers=2, seed=n, proxies=proxies, classes=(LONG,)) for n in range(proxies)]
    start, number, sends = hosts[0].now, 0, []
    for host in hosts:
        host.report_lines(s0=4000, s1=lines)
        host.controller.rate = host.controller.servers["s1"].rate = 1.0
        host.update_list(server_entry(0), server_entry(1, started=start))
    rules, capacity = hosts[0].settings, lines * SECOND / LONG.holding_time
    for _ in range(100):  # ten seconds, the length of the ramp
        for host in hosts:
            if rng.random() < min(1.0, 0.25 * skew * (0.2 + 1.6 * rng.random())):
                number += 1
                if "s1" in sent_servers(host.new_call(number, first=1)):
                    sends.append(host.now)
                    if rng.random() < good:
                        host.call_stands(number, "s1", delay=30 * MS)
                    else:
                        host.attempt_ended(number, "s1", api.Outcome.FULL)
            host.advance(100 * MS)
    assert len(sends) > 0.3 * capacity, "too few set-ups reached the cold server"
    for at in sends[:: max(1, len(sends) // 300)]:
        inside = sum(at <= other < at + rules.fall_window for other in sends)
        capacity_part = rules.cold_from + (1 - rules.cold_from) * min(1.0, (at - start) / rules.ramp_time)
        assert inside <= rules.fall_multiple * capacity_part * capacity * rules.fall_window / SECOND


def test_an_unsafe_class_is_not_sent_again_once_it_may_have_run() -> None:
    unsafe = api.CallClass(SECOND, 1.0, 0.2, api.Effect.UNSAFE, None)
    host = Host(classes=(unsafe,))
    host.new_call(1)
    host.attempt_ended(1, "s0", api.Outcome.RESET)
    actions = host.advance(3 * SECOND)
    assert not [a for a in actions if isinstance(a, api.Send | api.Refuse)]
    assert api.Fail(1) in actions


def test_calls_are_refused_on_an_empty_list_and_sent_after_a_later_one() -> None:
    host = Host()
    host.update_list()
    assert isinstance(host.new_call(1)[-1], api.Refuse)
    host.update_list(server_entry(0), server_entry(0))
    assert isinstance(host.new_call(2)[-1], api.Send)


@pytest.mark.parametrize(
    ("listed_s", "idle_s", "known", "good", "part"),
    [
        (2.6, (0.0, 0.0), True, 0.0, 0.6),  # listed late, calls queued: no tokens may have been saved up
        (2.6, (0.0, 0.0), True, 0.3, 0.6),  # some calls stand quickly at first
        (2.6, (0.0, 0.0), True, 1.0, 0.7),  # all do, which is unlikely at a server near its limit
        (0.5, (0.0, 6.0), True, 0.0, 0.6),  # listed early, no calls for it until a sudden rise
        (0.5, (1.0, 6.0), True, 0.0, 0.6),  # the same after some calls
        (2.6, (0.0, 0.0), False, 0.0, 0.4),  # new server: no proxy knows its lines
    ],
)
def test_a_restart_listed_to_all_proxies_at_once_keeps_the_cold_budget(
    listed_s: float, idle_s: tuple[float, float], known: bool, good: float, part: float
) -> None:
    """Reported failure: 240 proxies, each with a few set-ups a minute for the restarted server, overloaded it
    while the others were full; its processor can do only `part` of what its lines are planned for."""
    proxies, lines, rng = 240, 480, random.Random(3)
    changes: dict[str, Any] = {
        "proxies": proxies,
        "classes": (LONG,),
        "fall_multiple": 2.5,
        "cold_from": 0.32,
    }
    hosts = [Host(servers=3, seed=n, ramp_time=14 * SECOND, **changes) for n in range(proxies)]
    start, number, sends = hosts[0].now, 0, []
    for host in hosts:
        host.report_lines(s0=(0, 3000), s2=(0, 300))
        if known:
            host.report_lines(s1=lines)
        host.controller.rate = rng.choice((1.0, 3.0, 6.0))
        host.advance(rng.randrange(SECOND // 5))
    for step in range(1, 101):
        at = start + step * SECOND // 10 + SECOND // 5
        for host in hosts:
            host.advance(at - host.now)
            if at - start >= listed_s * SECOND and host.controller.servers["s1"].started != start:
                host.update_list(server_entry(0), server_entry(1, started=start), server_entry(2))
            is_listed = host.controller.servers["s1"].started == start
            is_called = not idle_s[0] * SECOND <= at - start < idle_s[1] * SECOND
            if is_listed and is_called and rng.random() < 0.3:
                number += 1
                host.new_call(number, first=1)
            for sent, action in host.action_log:
                if isinstance(action, api.Send) and action.server == "s1":
                    sends.append(sent)
                    if rng.random() < good:
                        host.call_stands(action.call, "s1", delay=30 * MS)
                    else:
                        host.attempt_ended(action.call, "s1", api.Outcome.FULL)
            host.action_log.clear()
    rules, capacity = hosts[0].settings, part * lines * SECOND / LONG.holding_time
    min_sends = (0.3 if known else 0.1) * capacity * (10 - max(listed_s, idle_s[1]))
    assert len(sends) > min_sends, "too few set-ups reached the cold server"
    sends.sort()
    for first in sends:
        inside = sum(first <= other < first + rules.fall_window for other in sends)
        age_part = min(1.0, (first + rules.fall_window - start) / rules.ramp_time)
        capacity_part = rules.cold_from + (1 - rules.cold_from) * age_part
        assert inside <= rules.fall_multiple * capacity_part * capacity * rules.fall_window / SECOND
