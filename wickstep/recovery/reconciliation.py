"""On return: what becomes of each call that was live when the process before this one ended.

This file owns those decisions, their order and their pace. It must never do I/O or read a clock, never let a
call be sent again, and never end one that its server may still be serving before the time that is stated.
Times in microseconds of the host's clock; Unix milliseconds where a server's start is meant.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from itertools import islice

from wickstep.recovery.ledger import CallState, Phase

SECOND = 1_000_000
SAYS_S = 1.0  # after a connection is up a server has said what ended: it says so before anything else
START_JITTER_S = 0.5  # two hundred that return together begin at drawn moments within this
BURST_S = 0.1  # pace that may be saved up
LOOK_MOST = 2000  # calls that are looked at in one go: the loop has others to serve


@dataclass(slots=True, frozen=True)
class ServerView:
    """A server as the list and the connections have it now."""

    there: bool  # on the list, and not gone
    born_ms: int = 0
    linked_at: int | None = None  # since when a connection is up; None: none is


class Verdict(Enum):
    CONFIRMED = "confirmed"  # it stands on
    CUT = "cut"  # its server is gone: its caller is told, the server is not asked
    RELEASED = "released"  # on both sides: it could not be confirmed in time
    GIVEN_UP = "given up"  # an attempt whose end is not known: its server is told
    SETTLED = "settled"  # nothing is owed to anybody


@dataclass(slots=True, frozen=True)
class Step:
    call: int
    known: CallState
    verdict: Verdict


class Reconciler:
    """All calls that were found. `drawn` in [0, 1) is this softswitch's phase among others that return."""

    def __init__(
        self, found: Mapping[int, CallState], began: int, pace: float, confirm_us: int, drawn: float
    ) -> None:
        self._until = began + confirm_us
        self._first = began + int(drawn * START_JITTER_S * SECOND)
        self._pace = pace  # calls a second
        self._credit, self._credit_at = 0.0, self._first
        self._waiting = dict(found)  # in the order in which they are looked at next
        self.verdicts = dict.fromkeys(Verdict, 0)

    def __len__(self) -> int:
        """Calls that are not settled yet."""
        return len(self._waiting)

    def call_ended(self, call: int) -> None:
        """Its end has been heard: nothing is left to be settled."""
        self._waiting.pop(call, None)

    def next_steps(self, views: Mapping[str, ServerView], now: int) -> list[Step]:
        """What to do now; cuts first, since their callers hold dead calls."""
        if now < self._first or not self._waiting:
            return []
        self._credit += self._pace * (now - self._credit_at) / SECOND
        self._credit = min(self._credit, max(self._pace * BURST_S, 1.0))
        self._credit_at = now
        looked = [*islice(self._waiting.items(), LOOK_MOST)]
        judged = [Step(call, known, v) for call, known in looked if (v := self._verdict(known, views, now))]
        judged.sort(key=lambda step: step.verdict is not Verdict.CUT)
        steps: list[Step] = []
        for step in judged:
            if step.verdict in (Verdict.CUT, Verdict.RELEASED, Verdict.GIVEN_UP):  # somebody is told
                if self._credit < 1:
                    continue
                self._credit -= 1
            self.verdicts[step.verdict] += 1
            steps.append(step)
            del self._waiting[step.call]
        for call, known in looked:
            if self._waiting.pop(call, None) is not None:
                self._waiting[call] = known  # behind those that were not looked at
        return steps

    def _verdict(self, known: CallState, views: Mapping[str, ServerView], now: int) -> Verdict | None:
        """None: not yet."""
        view = views.get(known.host)
        stands = known.phase is Phase.STANDS
        if known.phase is Phase.ENDING:
            return Verdict.CUT  # its caller may not have heard
        if known.phase is Phase.TAKEN:
            return Verdict.SETTLED  # never sent, or its attempt had ended: its caller's connection is gone
        if view is None or not view.there or view.born_ms > known.born_ms:
            return Verdict.CUT if stands else Verdict.SETTLED
        if view.linked_at is not None:
            if not stands:
                return Verdict.GIVEN_UP
            if now - view.linked_at >= SAYS_S * SECOND:
                return Verdict.CONFIRMED
        if now >= self._until:
            return Verdict.RELEASED if stands else Verdict.SETTLED
        return None
