"""A cold server under the sum of all: so many real controllers on a virtual clock, and nothing between them.

The letter's bound: in no window of the fall rule more than N + 2 x root of N + 2 come to it, N being what the
settings allow it then: the multiple of what it can do, by its age, over the window.
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

SERVERS, LINES, HOLD_S = 6, 120, 10
RATE = LINES / HOLD_S  # calls a second that fill its lines
BORN = 4 * SECOND
COLD = "s0-again"
MULTIPLE, WINDOW, FROM, RAMP = 2.5, 3 * SECOND // 2, 0.35, 15 * SECOND


@dataclass
class Fleet:
    """Controllers, servers that answer in 40 ms while they have lines, and one that starts anew at BORN."""

    processes: int
    spread: float  # the busiest has so many times the traffic of the quietest
    load: float  # of what the servers' lines allow
    restarts: bool = False  # most processes start anew as they hear of the server
    seed: int = 1
    now: int = 0
    came: list[int] = field(default_factory=list)  # at the cold server: set-ups and probes
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
            release_wait=SECOND // 5, drain_grace=2 * SECOND, cold_from=FROM, ramp_time=RAMP,
            fall_multiple=MULTIPLE, fall_window=WINDOW, may_cancel=True, may_probe=True, may_message=False,
            heeds_retry_after=True, list_on_request=False, own_number=-1,
        )  # fmt: skip
        self.standing = dict.fromkeys([f"s{n}" for n in range(SERVERS)], 0)
        self.fleet = [self.controller() for _ in range(self.processes)]
        self.whole = tuple(api.ServerEntry(f"s{n}", n, 0, api.ServerState.ACTIVE) for n in range(SERVERS))
        self.starts = api.ServerEntry(COLD, 0, BORN, api.ServerState.ACTIVE)
        weights = [self.spread ** (n / max(self.processes - 1, 1)) for n in range(self.processes)]
        self.gaps = [sum(weights) / (self.load * RATE * SERVERS * weight) for weight in weights]
        for n in range(self.processes):
            self.give(n, api.Started())
            self.give(n, api.ServerList(api.ListKind.COMPLETE, self.whole))
            self.at(self.gap(n), self.arrive, n)
            # Told at drawn moments: the list is pushed, held and asked for at each one's own time.
            self.at(BORN + self.random.randrange(SECOND // 2), self.told, n)
        self.at(SECOND // 10, self.report)
        self.at(BORN, lambda: self.standing.update({COLD: 0}))

    def controller(self) -> Controller:
        return Controller(self.settings, self.random.randrange(2**30))

    def gap(self, n: int) -> int:
        return int(self.random.expovariate(1 / self.gaps[n]) * SECOND)

    def at(self, due: int, do: Callable[..., None], *about: Any) -> None:
        heapq.heappush(self.due, (due, next(self.order), do, about))

    def run(self, until: int) -> None:
        while self.due[0][0] < until:
            self.now, _, do, about = heapq.heappop(self.due)
            do(*about)

    def give(self, n: int, event: api.Event) -> None:
        for action in self.fleet[n].handle(event, self.now):
            if isinstance(action, api.Wake):
                self.at(action.due, self.wake, n, self.fleet[n], action.token)
            elif isinstance(action, api.Send):
                attempt = self.fleet[n].calls[action.call].attempts - 1
                self.at(self.now + 3 * MS, self.reach, n, self.fleet[n], action, attempt)
            elif isinstance(action, api.Refuse):
                self.refused.append(self.now)
            elif isinstance(action, api.Probe) and action.server == COLD:
                self.came.append(self.now)

    def wake(self, n: int, who: Controller, token: int) -> None:
        if self.fleet[n] is who:
            self.give(n, api.TimerDue(token))

    def arrive(self, n: int) -> None:
        wanted = self.random.randrange(SERVERS)
        self.give(n, api.NewCall(next(self.calls), 0, 9 * SECOND, wanted))
        self.at(self.now + self.gap(n), self.arrive, n)

    def reach(self, n: int, who: Controller, sent: api.Send, attempt: int) -> None:
        if sent.server == COLD:
            self.came.append(self.now)
        about = (sent.call, attempt, sent.server)
        if self.standing[sent.server] >= LINES:
            report = {"free": 0.0, "lines": float(LINES)}
            ended = api.AttemptEnded(*about, api.Outcome.FULL, 5 * MS, False, False, report, no_line=True)
            return self.answered(n, who, ended)
        self.standing[sent.server] += 1
        self.at(self.now + int(self.random.expovariate(1 / HOLD_S) * SECOND), self.over, sent.server)
        self.at(self.now + 40 * MS, self.answered, n, who, api.CallStands(*about, 43 * MS))

    def answered(self, n: int, who: Controller, event: api.Event) -> None:
        if self.fleet[n] is who:
            self.give(n, event)

    def over(self, server: str) -> None:
        self.standing[server] -= 1

    def told(self, n: int) -> None:
        if self.restarts and self.random.random() < 0.7:
            self.fleet[n] = self.controller()
            self.give(n, api.Started())
            return self.give(n, api.ServerList(api.ListKind.COMPLETE, (self.starts, *self.whole[1:])))
        gone = api.ServerEntry("s0", 0, 0, api.ServerState.GONE)
        self.give(n, api.ServerList(api.ListKind.CHANGES, (self.starts, gone)))

    def report(self) -> None:
        self.at(self.now + SECOND, self.report)
        for n, server in itertools.product(range(self.processes), self.standing):
            if server in self.fleet[n].servers:
                free = {"free": float(LINES - self.standing[server]), "lines": float(LINES)}
                self.give(n, api.ProbeAnswered(server, True, 0, free))

    def worst(self) -> float:
        """The fullest window while it is cold, as a part of its bound."""
        return max(
            sum(since <= at < since + WINDOW for at in self.came) / bound(allowed(since, since + WINDOW))
            for since in self.came
            if since + WINDOW < BORN + RAMP
        )


def allowed(since: int, until: int) -> float:
    """N: what the settings allow it in that time; its ability grows evenly, so the middle stands for all."""
    age = (since + until) / 2 - BORN
    return MULTIPLE * RATE * (FROM + (1 - FROM) * age / RAMP) * (until - since) / SECOND


def bound(budget: float) -> float:
    return budget + 2 * sqrt(budget) + 2


@pytest.mark.parametrize(
    ("processes", "spread", "restarts"),
    [
        (20, 1.0, False),
        (30, 1.0, False),
        (30, 10.0, False),
        (20, 10.0, True),  # it starts while most processes restart
        (30, 1.0, True),
        (40, 1.0, True),  # upgrades: of twenty softswitches each has two processes, which count as forty
    ],
)
def test_all_together_keep_a_cold_servers_budget(processes: int, spread: float, restarts: bool) -> None:
    for seed in (1, 2):
        fleet = Fleet(processes, spread, 1.25, restarts, seed)
        fleet.run(BORN + RAMP)
        assert len(fleet.came) > 5  # it is used
        assert fleet.worst() <= 1.0
