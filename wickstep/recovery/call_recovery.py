"""Brings about what settling decides, in the loop: releases towards callers and servers of calls from before.

This file owns what is still owed to servers that are not connected. It must never decide what becomes of a
call, and never speak of one that this process has set up itself.
"""

from __future__ import annotations

import logging
import random
from collections import defaultdict
from typing import TYPE_CHECKING

from wickstep.interface import ServerState
from wickstep.net import Reason, Release
from wickstep.recovery.journal import Journal, ReplayResult
from wickstep.recovery.ledger import Phase
from wickstep.recovery.reconciliation import Reconciler, ServerView, Step, Verdict

if TYPE_CHECKING:
    from wickstep.net.softswitch import SharedState, TakeInStage

log = logging.getLogger(__name__)

EVERY_US = 50_000  # how often it goes on
OWED_MOST = 5000  # releases that wait for a connection to their servers
OWED_US = 60_000_000  # a server that is not back by then has none of it


class CallRecovery:
    def __init__(
        self,
        shared: SharedState,
        take_in: TakeInStage,
        journal: Journal,
        pace: float,
        confirm_us: int,
        seed: int,
    ) -> None:
        self.shared, self.take_in, self.journal = shared, take_in, journal
        self._pace, self._confirm_us, self._random = pace, confirm_us, random.Random(seed)
        self.reconciler = Reconciler({}, shared.now, pace, confirm_us, 0.0)
        self.owed: dict[str, list[int]] = defaultdict(list)  # by server
        self._owed_until = 0

    def start(self) -> ReplayResult:
        """Before the first caller, with the list of servers heard."""
        shared = self.shared
        found = self.journal.open(shared.now)
        standing = {call: k.host for call, k in found.live.items() if k.phase is Phase.STANDS}
        shared.inherited_calls.add(standing, shared.now)
        shared.inherited_calls.on_taken = self._heard
        for call, known in found.live.items():
            if known.host and known.phase is not Phase.STANDS:  # it may have run: never again
                self.take_in.book.remember(call)
        now, drawn = shared.now, self._random.random()
        self.reconciler = Reconciler(found.live, now, self._pace, self._confirm_us, drawn)
        self._owed_until = now + self._confirm_us + OWED_US
        if found.live or found.corrupt or found.skipped:
            log.warning("the journal of calls: %s", found.summary())
        self.go_on()
        return found

    def _heard(self, call: int) -> None:
        """A call from before has come to its end, or is about to be ended here: its caller is told next."""
        self.reconciler.call_ended(call)
        self.journal.attempt_over(call)

    def go_on(self) -> None:
        shared = self.shared
        for step in self.reconciler.next_steps(self.views(), shared.now):
            self._do(step)
        self._pay()
        if len(self.reconciler) or (self.owed and shared.now < self._owed_until):
            shared.schedule(shared.now + EVERY_US, self.go_on)
        elif any(self.reconciler.verdicts.values()):
            told = ", ".join(f"{v.value} {count}" for v, count in self.reconciler.verdicts.items() if count)
            log.warning("calls from before are settled: %s", told)

    def views(self) -> dict[str, ServerView]:
        return {
            server.host: ServerView(
                server.state is not ServerState.GONE,
                self.shared.born_ms(server),
                server.linked_at if server.link is not None else None,
            )
            for server in self.shared.servers.values()
        }

    def _do(self, step: Step) -> None:
        counts, call, host = self.shared.counters, step.call, step.known.host
        counts[f"calls_from_before_{step.verdict.name.lower()}"] += 1
        match step.verdict:
            case Verdict.CONFIRMED:
                return  # it stands on, in the table of calls from before
            case Verdict.CUT | Verdict.RELEASED:
                if self.shared.inherited_calls.take(call) is not None or step.known.phase is Phase.ENDING:
                    self.take_in.book.send_release(Release(call, Reason.INTERRUPTED), None)
                if step.verdict is Verdict.RELEASED:
                    self._owe(host, call)
                return  # ended once its caller has heard
            case Verdict.GIVEN_UP:
                self._owe(host, call)
        self.journal.call_ended(call)

    def _owe(self, host: str, call: int) -> None:
        if sum(map(len, self.owed.values())) < OWED_MOST:
            self.owed[host].append(call)

    def _pay(self) -> None:
        """Release what is owed to servers that are connected; a server without the call takes no notice."""
        for host in [*self.owed]:
            server = self.shared.servers.get(host)
            if server is None or (server.link is not None and all(
                server.link.send(Release(call, Reason.CLEARED)) for call in self.owed[host]
            )):
                del self.owed[host]
