"""Reconciliation after a restart: what becomes of each call that was live when the previous process ended.

This file owns those decisions, their order and their rate. It must never do I/O or read a clock, never let a
call be sent again, and never end one that its server may still be serving before the configured time.
Times are microseconds of the loop's clock, but the start of a server is in Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from itertools import islice

from wickstep.recovery.ledger import CallState, Phase

SECOND = 1_000_000
CONFIRM_AFTER_S = 1.0  # a newly connected server reports first, and within this time, which calls have ended
START_JITTER_S = 0.5  # 200 softswitches that restart together begin at random times within this
BURST_S = 0.1  # depth of the token bucket, as time at the settle rate
MAX_EXAMINED = 2000  # calls per step, as the loop has to serve other calls meanwhile


@dataclass(slots=True, frozen=True)
class ServerView:
    """A server as the pool list and the connections show it now."""

    is_present: bool  # on the list, and not gone
    born_ms: int = 0
    linked_at: int | None = None  # since when it is connected; None: it is not


class Verdict(Enum):
    CONFIRMED = "confirmed"  # the call stands
    CUT = "cut"  # its server is gone: the caller is notified, the server is not
    RELEASED = "released"  # towards caller and server: the server did not confirm it in time
    GIVEN_UP = "given up"  # an attempt with unknown result: released towards its server
    SETTLED = "settled"  # nobody needs to be notified


@dataclass(slots=True, frozen=True)
class Step:
    call: int
    state: CallState
    verdict: Verdict


class Reconciler:
    """All recovered calls. `jitter` in [0, 1) places this softswitch's start among others that restart."""

    def __init__(
        self, calls: Mapping[int, CallState], started_at: int, rate: float, confirm_us: int, jitter: float
    ) -> None:
        self._confirm_until = started_at + confirm_us
        self._first_step_at = started_at + int(jitter * START_JITTER_S * SECOND)
        self._rate = rate  # calls a second
        self._tokens, self._refilled_at = 0.0, self._first_step_at
        self._unsettled = dict(calls)  # in the order in which they are examined next
        self.verdict_counts = dict.fromkeys(Verdict, 0)

    def __len__(self) -> int:
        """Calls that are not settled yet."""
        return len(self._unsettled)

    def call_ended(self, call: int) -> None:
        """The end of the call was reported: it needs no verdict any more."""
        self._unsettled.pop(call, None)

    def next_steps(self, views: Mapping[str, ServerView], now: int) -> list[Step]:
        """What to do now; cuts come first, since their callers hold dead calls."""
        if now < self._first_step_at or not self._unsettled:
            return []
        self._tokens += self._rate * (now - self._refilled_at) / SECOND
        self._tokens = min(self._tokens, max(self._rate * BURST_S, 1.0))
        self._refilled_at = now
        examined = [*islice(self._unsettled.items(), MAX_EXAMINED)]
        due = [Step(call, state, v) for call, state in examined if (v := self._decide(state, views, now))]
        due.sort(key=lambda step: step.verdict is not Verdict.CUT)
        steps: list[Step] = []
        for step in due:
            if step.verdict in (Verdict.CUT, Verdict.RELEASED, Verdict.GIVEN_UP):  # causes a message
                if self._tokens < 1:
                    continue
                self._tokens -= 1
            self.verdict_counts[step.verdict] += 1
            steps.append(step)
            del self._unsettled[step.call]
        for call, state in examined:
            if self._unsettled.pop(call, None) is not None:
                self._unsettled[call] = state  # moves behind those that were not examined
        return steps

    def _decide(self, state: CallState, views: Mapping[str, ServerView], now: int) -> Verdict | None:
        """None: not decided yet."""
        view = views.get(state.host)
        stands = state.phase is Phase.STANDS
        if state.phase is Phase.ENDING:
            return Verdict.CUT  # its caller may not have been notified
        if state.phase is Phase.TAKEN:
            return Verdict.SETTLED  # never sent, or its attempt had ended; its caller's connection is gone
        if view is None or not view.is_present or view.born_ms > state.born_ms:
            return Verdict.CUT if stands else Verdict.SETTLED
        if view.linked_at is not None:
            if not stands:
                return Verdict.GIVEN_UP
            if now - view.linked_at >= CONFIRM_AFTER_S * SECOND:
                return Verdict.CONFIRMED
        if now >= self._confirm_until:
            return Verdict.RELEASED if stands else Verdict.SETTLED
        return None
