"""The five rules over random histories, read independently of the module."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickstep import interface as api

from .helpers import LONG, MS, SECOND, Host, sent_servers, server_entry

SLACK = 20 * MS
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
class Judge:
    """Replays what happened and checks the rules on its own books."""

    host: Host
    deadline: dict[int, int] = field(default_factory=dict)
    out: dict[int, tuple[str, int]] = field(default_factory=dict)  # call -> server, attempt
    attempts: dict[int, int] = field(default_factory=dict)
    released: dict[int, int] = field(default_factory=dict)
    over: set[int] = field(default_factory=set)
    away: set[str] = field(default_factory=set)
    cancelled: list[tuple[int, int]] = field(default_factory=list)
    seen: int = 0

    def check(self) -> None:
        for at, action in self.host.action_log[self.seen :]:
            match action:
                case api.Send(call=call, server=server, timeout=limit):
                    assert call in self.deadline, "unknown call"
                    assert call not in self.over, "sent after its end"
                    assert call not in self.out, "two attempts out"
                    assert server not in self.away, "sent to a leaving server"
                    assert at >= self.released.get(call, 0), "release not awaited"
                    assert at + limit <= self.deadline[call] + SLACK
                    number = self.attempts.get(call, -1) + 1
                    assert number < self.host.settings.max_attempts
                    self.attempts[call] = number
                    self.out[call] = (server, number)
                case api.Refuse(call=call) | api.Fail(call=call):
                    assert call not in self.over, "two final answers"
                    assert at <= self.deadline[call] + SLACK, "answered too late"
                    self.over.add(call)
                case api.Cancel(call=call, attempt=attempt):
                    assert attempt <= self.attempts.get(call, -1), "cancelled what was never sent"
                    self.cancelled.append((call, attempt))
        self.seen = len(self.host.action_log)
        for call, due in self.deadline.items():
            assert call in self.over or self.host.now <= due + SLACK, "call lost"

    def end(self, call: int, outcome: api.Outcome) -> None:
        server, attempt = self.out.pop(call)
        if outcome in RELEASED:
            self.released[call] = self.host.now + self.host.settings.release_wait
        self.host.attempt_ended(call, server, outcome, attempt, over=call in self.over)
        self.check()

    def cancellations(self) -> None:
        for call, attempt in self.cancelled:
            if self.out.get(call, ("", -1))[1] == attempt:
                self.end(call, api.Outcome.CANCELLED)
        self.cancelled.clear()

    def pass_time(self, duration: int) -> None:
        stop = self.host.now + duration
        while self.host.now < stop:
            self.host.advance(min(10 * MS, stop - self.host.now))
            for call in [c for c in self.out if self.host.now >= self.deadline[c]]:
                self.end(call, api.Outcome.TIMEOUT)
            self.check()
            self.cancellations()


def play(steps: list[tuple[str, int, int, bool]], seed: int) -> Judge:
    host = Host(servers=3, seed=seed)
    judge = Judge(host)
    for count, (kind, a, b, flag) in enumerate(steps):
        waiting = sorted(judge.out)
        if kind == "call":
            patience = (300 + 700 * b) * MS
            judge.deadline[count] = host.now + patience
            host.new_call(count, klass=a, first=b, max_wait=patience, repeat=flag)
        elif kind == "stand" and waiting:
            call = waiting[a % len(waiting)]
            server, attempt = judge.out.pop(call)
            judge.over.add(call)
            host.call_stands(call, server, (20 + 10 * a) * MS, attempt)
        elif kind == "fail" and waiting:
            judge.end(waiting[a % len(waiting)], FAILURES[b])
        elif kind == "list":
            state = list(api.ServerState)[a]
            name = f"s{b % 3}"
            if state is api.ServerState.ACTIVE:
                judge.away.discard(name)
            else:
                judge.away.add(name)
            started = host.now - SECOND if flag else 0
            host.update_list(server_entry(b % 3, state, started), kind=api.ListKind.CHANGES)
        elif kind == "leave" and waiting:
            call = waiting[a % len(waiting)]
            judge.over.add(call)
            host.handle(api.CallerLeft(call))
            judge.end(call, api.Outcome.CANCELLED)
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
            judge.pass_time(a * MS)
        judge.check()
        judge.cancellations()
    judge.pass_time(4 * SECOND)
    assert set(judge.deadline) <= judge.over
    return judge


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(STEP, max_size=60), st.integers(0, 2**32))
def test_rules_hold_over_random_histories(steps: list[tuple[str, int, int, bool]], seed: int) -> None:
    play(steps, seed)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.lists(STEP, max_size=40), st.integers(0, 2**32))
def test_the_same_events_give_the_same_actions(steps: list[tuple[str, int, int, bool]], seed: int) -> None:
    assert play(steps, seed).host.action_log == play(steps, seed).host.action_log


@pytest.mark.parametrize(("good", "skew"), [(1.0, 1.0), (0.0, 1.0), (0.5, 3.0), (0.9, 6.0)])
def test_no_window_of_all_proxies_together_passes_the_cold_budget(good: float, skew: float) -> None:
    """Two hundred controllers that know nothing of each other, streams of unequal size, all at one server."""
    many, lines, dice = 200, 1000, random.Random(5)
    hosts = [Host(servers=2, seed=n, proxies=many, classes=(LONG,)) for n in range(many)]
    start, number, sends = hosts[0].now, 0, []
    for host in hosts:
        host.report_lines(s0=4000, s1=lines)
        host.controller.rate = host.controller.servers["s1"].rate = 1.0
        host.update_list(server_entry(0), server_entry(1, started=start))
    rules, capacity = hosts[0].settings, lines * SECOND / LONG.holding_time
    for _ in range(100):  # ten seconds: the ramp
        for host in hosts:
            if dice.random() < min(1.0, 0.25 * skew * (0.2 + 1.6 * dice.random())):
                number += 1
                if "s1" in sent_servers(host.new_call(number, first=1)):
                    sends.append(host.now)
                    if dice.random() < good:
                        host.call_stands(number, "s1", took=30 * MS)
                    else:
                        host.attempt_ended(number, "s1", api.Outcome.FULL)
            host.advance(100 * MS)
    assert len(sends) > 0.3 * capacity, "a cold server must be put to work"
    for at in sends[:: max(1, len(sends) // 300)]:
        inside = sum(at <= other < at + rules.fall_window for other in sends)
        able = rules.cold_from + (1 - rules.cold_from) * min(1.0, (at - start) / rules.ramp_time)
        assert inside <= rules.fall_multiple * able * capacity * rules.fall_window / SECOND


def test_an_unsafe_class_is_not_sent_again_once_it_may_have_run() -> None:
    unsafe = api.CallClass(SECOND, 1.0, 0.2, api.Effect.UNSAFE, None)
    host = Host(classes=(unsafe,))
    host.new_call(1)
    host.attempt_ended(1, "s0", api.Outcome.RESET)
    actions = host.advance(3 * SECOND)
    assert not [a for a in actions if isinstance(a, api.Send | api.Refuse)]
    assert api.Fail(1) in actions


def test_an_empty_list_refuses_and_a_later_one_serves() -> None:
    host = Host()
    host.update_list()
    assert isinstance(host.new_call(1)[-1], api.Refuse)
    host.update_list(server_entry(0), server_entry(0))
    assert isinstance(host.new_call(2)[-1], api.Send)


@pytest.mark.parametrize(
    ("told", "idle", "known", "good", "part"),
    [
        (2.6, (0.0, 0.0), True, 0.0, 0.6),  # told late, all waiting: nothing saved meanwhile may go at once
        (2.6, (0.0, 0.0), True, 0.3, 0.6),  # some stand quickly at first
        (2.6, (0.0, 0.0), True, 1.0, 0.7),  # all do, as they hardly would at a server near its limit
        (0.5, (0.0, 6.0), True, 0.0, 0.6),  # told early and not wanted until calls jump
        (0.5, (1.0, 6.0), True, 0.0, 0.6),  # looked at, then not wanted until calls jump
        (2.6, (0.0, 0.0), False, 0.0, 0.4),  # new machine: its lines are known to nobody
    ],
)
def test_a_restart_told_to_all_at_once_lets_no_flood_go(
    told: float, idle: tuple[float, float], known: bool, good: float, part: float
) -> None:
    """The day reported: 240 proxies, each sends the server a few set-ups a minute, the others are full, and
    the processor can do only a part of what the lines are planned for."""
    many, lines, dice = 240, 480, random.Random(3)
    changes: dict[str, Any] = {"proxies": many, "classes": (LONG,), "fall_multiple": 2.5, "cold_from": 0.32}
    hosts = [Host(servers=3, seed=n, ramp_time=14 * SECOND, **changes) for n in range(many)]
    start, number, sends = hosts[0].now, 0, []
    for host in hosts:
        host.report_lines(s0=(0, 3000), s2=(0, 300))
        if known:
            host.report_lines(s1=lines)
        host.controller.rate = dice.choice((1.0, 3.0, 6.0))
        host.advance(dice.randrange(SECOND // 5))
    for step in range(1, 101):
        at = start + step * SECOND // 10 + SECOND // 5
        for host in hosts:
            host.advance(at - host.now)
            if at - start >= told * SECOND and host.controller.servers["s1"].started != start:
                host.update_list(server_entry(0), server_entry(1, started=start), server_entry(2))
            told_now = host.controller.servers["s1"].started == start
            wanted = not idle[0] * SECOND <= at - start < idle[1] * SECOND
            if told_now and wanted and dice.random() < 0.3:
                number += 1
                host.new_call(number, first=1)
            for sent, action in host.action_log:
                if isinstance(action, api.Send) and action.server == "s1":
                    sends.append(sent)
                    if dice.random() < good:
                        host.call_stands(action.call, "s1", took=30 * MS)
                    else:
                        host.attempt_ended(action.call, "s1", api.Outcome.FULL)
            host.action_log.clear()
    rules, capacity = hosts[0].settings, part * lines * SECOND / LONG.holding_time
    least = (0.3 if known else 0.1) * capacity * (10 - max(told, idle[1]))
    assert len(sends) > least, "it must be put to work"
    sends.sort()
    for first in sends:
        inside = sum(first <= other < first + rules.fall_window for other in sends)
        last = min(1.0, (first + rules.fall_window - start) / rules.ramp_time)
        able = rules.cold_from + (1 - rules.cold_from) * last
        assert inside <= rules.fall_multiple * able * capacity * rules.fall_window / SECOND
