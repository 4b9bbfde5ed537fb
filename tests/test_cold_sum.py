"""A cold server under the load of all proxies: independent real controllers on a virtual clock.

The required bound: in no window of the fall rule do more than N + 2 x root of N + 2 set-ups and probes reach
it, where N is what the settings allow: the multiple of its capacity at that age, over the window.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from math import sqrt
from typing import Any

import pytest

from wickstep import Controller
from wickstep import interface as api

from .helpers import MS, SECOND

SERVERS, LINES, HOLD_S = 6, 120, 10  # lines of each server, holding time of a call in seconds
CALLS_PER_S = LINES / HOLD_S  # that fill the lines of a server
STARTED = 4 * SECOND  # when the cold server starts
COLD = "s0-again"
FALL_MULTIPLE, FALL_WINDOW, COLD_FROM, RAMP_TIME = 2.5, 3 * SECOND // 2, 0.35, 15 * SECOND


@dataclass
class Fleet:
    """Controllers, servers that answer in 40 ms while lines are free, and one that restarts at STARTED."""

    processes: int
    skew: float  # traffic of the busiest process over that of the least busy
    load: float  # offered calls as a part of what the servers' lines allow
    restarts: bool = False  # most processes restart when they learn of the cold server
    seed: int = 1
    now: int = 0
    cold_arrivals: list[int] = field(default_factory=list)  # set-ups and probes at the cold server
    refused: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.due: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order, self.calls = itertools.count(), itertools.count(1)
        self.settings = api.Settings(
            classes=(
                api.CallClass(1500 * MS, 1.0, 0.1, api.Effect.SAFE, None, holding_time=HOLD_S * SECOND),
            ),
            proxies=self.processes, max_attempts=5, max_retry_after=2 * SECOND, retransmit=0,
            release_wait=SECOND // 5, drain_grace=2 * SECOND, cold_from=COLD_FROM, ramp_time=RAMP_TIME,
            fall_multiple=FALL_MULTIPLE, fall_window=FALL_WINDOW, may_cancel=True, may_probe=True,
            may_message=False, heeds_retry_after=True, list_on_request=False, own_number=-1,
        )  # fmt: skip
        self.standing = dict.fromkeys([f"s{n}" for n in range(SERVERS)], 0)
        self.controllers = [self.make_controller() for _ in range(self.processes)]
        self.first_list = tuple(
            api.ServerEntry(f"s{n}", n, 0, api.ServerState.ACTIVE) for n in range(SERVERS)
        )
        self.cold_entry = api.ServerEntry(COLD, 0, STARTED, api.ServerState.ACTIVE)
        weights = [self.skew ** (n / max(self.processes - 1, 1)) for n in range(self.processes)]
        self.mean_gaps = [sum(weights) / (self.load * CALLS_PER_S * SERVERS * weight) for weight in weights]
        for n in range(self.processes):
            self.deliver(n, api.Started())
            self.deliver(n, api.ServerList(api.ListKind.COMPLETE, self.first_list))
            self.schedule(self.draw_gap(n), self.start_call, n)
            # At random moments, as each process gets the list at a time of its own.
            self.schedule(STARTED + self.random.randrange(SECOND // 2), self.deliver_list, n)
        self.schedule(SECOND // 10, self.report_lines)
        self.schedule(STARTED, lambda: self.standing.update({COLD: 0}))

    def make_controller(self) -> Controller:
        return Controller(self.settings, self.random.randrange(2**30))

    def draw_gap(self, n: int) -> int:
        return int(self.random.expovariate(1 / self.mean_gaps[n]) * SECOND)

    def schedule(self, due: int, action: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self.due, (due, next(self.order), action, arguments))

    def run(self, until: int) -> None:
        while self.due[0][0] < until:
            self.now, _, action, arguments = heapq.heappop(self.due)
            action(*arguments)

    def deliver(self, n: int, event: api.Event) -> None:
        for action in self.controllers[n].handle(event, self.now):
            if isinstance(action, api.Wake):
                self.schedule(action.due, self.run_timer, n, self.controllers[n], action.token)
            elif isinstance(action, api.Send):
                attempt = self.controllers[n].calls[action.call].attempts - 1
                self.schedule(self.now + 3 * MS, self.receive_set_up, n, self.controllers[n], action, attempt)
            elif isinstance(action, api.Refuse):
                self.refused.append(self.now)
            elif isinstance(action, api.Probe) and action.server == COLD:
                self.cold_arrivals.append(self.now)

    def run_timer(self, n: int, controller: Controller, token: int) -> None:
        if self.controllers[n] is controller:
            self.deliver(n, api.TimerDue(token))

    def start_call(self, n: int) -> None:
        first_choice = self.random.randrange(SERVERS)
        self.deliver(n, api.NewCall(next(self.calls), 0, 9 * SECOND, first_choice))
        self.schedule(self.now + self.draw_gap(n), self.start_call, n)

    def receive_set_up(self, n: int, controller: Controller, sent: api.Send, attempt: int) -> None:
        if sent.server == COLD:
            self.cold_arrivals.append(self.now)
        key = (sent.call, attempt, sent.server)
        if self.standing[sent.server] >= LINES:
            report = {"free": 0.0, "lines": float(LINES)}
            ended = api.AttemptEnded(*key, api.Outcome.FULL, 5 * MS, False, False, report, no_line=True)
            return self.answer(n, controller, ended)
        self.standing[sent.server] += 1
        self.schedule(
            self.now + int(self.random.expovariate(1 / HOLD_S) * SECOND), self.free_line, sent.server
        )
        self.schedule(self.now + 40 * MS, self.answer, n, controller, api.CallStands(*key, 43 * MS))

    def answer(self, n: int, controller: Controller, event: api.Event) -> None:
        if self.controllers[n] is controller:
            self.deliver(n, event)

    def free_line(self, server: str) -> None:
        self.standing[server] -= 1

    def deliver_list(self, n: int) -> None:
        if self.restarts and self.random.random() < 0.7:
            self.controllers[n] = self.make_controller()
            self.deliver(n, api.Started())
            return self.deliver(
                n, api.ServerList(api.ListKind.COMPLETE, (self.cold_entry, *self.first_list[1:]))
            )
        gone = api.ServerEntry("s0", 0, 0, api.ServerState.GONE)
        self.deliver(n, api.ServerList(api.ListKind.CHANGES, (self.cold_entry, gone)))

    def report_lines(self) -> None:
        self.schedule(self.now + SECOND, self.report_lines)
        for n, server in itertools.product(range(self.processes), self.standing):
            if server in self.controllers[n].servers:
                free = {"free": float(LINES - self.standing[server]), "lines": float(LINES)}
                self.deliver(n, api.ProbeAnswered(server, True, 0, free))

    def compute_peak(self) -> float:
        """Return the fullest window of the ramp, as a part of its bound."""
        return max(
            sum(since <= at < since + FALL_WINDOW for at in self.cold_arrivals)
            / max_arrivals(compute_budget(since, since + FALL_WINDOW))
            for since in self.cold_arrivals
            if since + FALL_WINDOW < STARTED + RAMP_TIME
        )


def compute_budget(since: int, until: int) -> float:
    """N: what the settings allow in that time; capacity grows linearly, so its value in the middle holds."""
    age = (since + until) / 2 - STARTED
    return (
        FALL_MULTIPLE
        * CALLS_PER_S
        * (COLD_FROM + (1 - COLD_FROM) * age / RAMP_TIME)
        * (until - since)
        / SECOND
    )


def max_arrivals(budget: float) -> float:
    return budget + 2 * sqrt(budget) + 2


@pytest.mark.parametrize(
    ("processes", "skew", "restarts"),
    [
        (20, 1.0, False),
        (30, 1.0, False),
        (30, 10.0, False),
        (20, 10.0, True),  # the server starts while most processes restart
        (30, 1.0, True),
        (40, 1.0, True),  # upgrade: twenty softswitches have two processes each, which count as forty
    ],
)
def test_all_processes_together_keep_the_budget_of_a_cold_server(
    processes: int, skew: float, restarts: bool
) -> None:
    for seed in (1, 2):
        fleet = Fleet(processes, skew, 1.25, restarts, seed)
        fleet.run(STARTED + RAMP_TIME)
        assert len(fleet.cold_arrivals) > 5  # the cold server is used
        assert fleet.compute_peak() <= 1.0
