"""A small host for tests of the controller: servers, settings, timers and a log of its actions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from wickstep import Controller
from wickstep import interface as api

MS = 1_000_000
SECOND = 1000 * MS
START = 100 * SECOND

BASIC = api.CallClass(aim=SECOND, worth=1.0, late_worth=0.25, effect=api.Effect.SAFE, allowed=None)
URGENT = api.CallClass(aim=2 * SECOND, worth=4.0, late_worth=0.1, effect=api.Effect.SAFE, allowed=None)
LONG = api.CallClass(SECOND, 1.0, 0.25, api.Effect.SAFE, None, holding_time=10 * SECOND)
SETTINGS = api.Settings(
    classes=(BASIC, URGENT),
    proxies=4,
    max_attempts=4,
    max_retry_after=2 * SECOND,
    retransmit=600 * MS,
    release_wait=400 * MS,
    drain_grace=500 * MS,
    cold_from=0.3,
    ramp_time=10 * SECOND,
    fall_multiple=2.0,
    fall_window=2 * SECOND,
    may_cancel=True,
    may_probe=False,
    may_message=False,
    heeds_retry_after=True,
    list_on_request=False,
    own_number=-1,
)


def server_entry(
    number: int, state: api.ServerState = api.ServerState.ACTIVE, started: int = 0, name: str = ""
) -> api.ServerEntry:
    return api.ServerEntry(name or f"s{number}", number, started, state)


class Host:
    """Passes events to one controller, keeps its timers and logs its actions."""

    def __init__(self, servers: int = 2, seed: int = 1, **changes: Any) -> None:
        self.settings = replace(SETTINGS, **changes)
        self.controller = Controller(self.settings, seed)
        self.now = START
        self.timers: list[tuple[int, int]] = []
        self.action_log: list[tuple[int, api.Action]] = []
        self.handle(api.Started())
        self.update_list(*(server_entry(n) for n in range(servers)))

    def handle(self, event: api.Event) -> api.Actions:
        actions = self.controller.handle(event, self.now)
        for action in actions:
            self.action_log.append((self.now, action))
            if isinstance(action, api.Wake):
                self.timers.append((action.due, action.token))
        return actions

    def update_list(
        self, *entries: api.ServerEntry, kind: api.ListKind = api.ListKind.COMPLETE
    ) -> api.Actions:
        return self.handle(api.ServerList(kind, entries))

    def report_lines(self, **servers: float | tuple[float, float]) -> None:
        """Report lines: all of them free, or (free, lines)."""
        for name, value in servers.items():
            free, lines = value if isinstance(value, tuple) else (value, value)
            self.handle(api.ProbeAnswered(name, True, 0, {"free": float(free), "lines": float(lines)}))

    def new_call(self, number: int, klass: int = 0, first: int = 0, **more: Any) -> api.Actions:
        max_wait = more.pop("max_wait", 3 * SECOND)
        return self.handle(api.NewCall(number, klass, max_wait, first, **more))

    def call_stands(self, number: int, server: str, delay: int = 50 * MS, attempt: int = 0) -> api.Actions:
        return self.handle(api.CallStands(number, attempt, server, delay))

    def attempt_ended(
        self,
        number: int,
        server: str,
        outcome: api.Outcome,
        attempt: int = 0,
        call_over: bool = False,
        callee_busy: bool = False,
        report: dict[str, float] | None = None,
    ) -> api.Actions:
        return self.handle(
            api.AttemptEnded(number, attempt, server, outcome, 50 * MS, call_over, callee_busy, report or {})
        )

    def advance(self, duration: int) -> api.Actions:
        """Let time pass, delivering timers that fall due."""
        end = self.now + duration
        actions: api.Actions = []
        while True:
            due = [t for t in self.timers if t[0] <= end]
            if not due:
                break
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            actions += self.handle(api.TimerDue(first[1]))
        self.now = end
        return actions

    def sends(self) -> list[tuple[int, api.Send]]:
        return [(at, action) for at, action in self.action_log if isinstance(action, api.Send)]


def sent_servers(actions: api.Actions) -> list[str]:
    return [action.server for action in actions if isinstance(action, api.Send)]


def final_answers(actions: api.Actions) -> list[api.Action]:
    return [action for action in actions if isinstance(action, api.Refuse | api.Fail)]
