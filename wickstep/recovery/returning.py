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
from wickstep.recovery.journal import Journal, Replayed
from wickstep.recovery.ledger import Phase
from wickstep.recovery.settling import Settling, Step, Verdict, View

if TYPE_CHECKING:
    from wickstep.net.softswitch import Floor, TakeIn

log = logging.getLogger(__name__)

EVERY_US = 50_000  # how often it goes on
OWED_MOST = 5000  # releases that wait for a connection to their servers
OWED_US = 60_000_000  # a server that is not back by then has none of it


class Returning:
    def __init__(
        self, floor: Floor, take_in: TakeIn, journal: Journal, pace: float, confirm_us: int, seed: int
    ) -> None:
        self.floor, self.take_in, self.journal = floor, take_in, journal
        self._pace, self._confirm_us, self._random = pace, confirm_us, random.Random(seed)
        self.settling = Settling({}, floor.now, pace, confirm_us, 0.0)
        self.owed: dict[str, list[int]] = defaultdict(list)  # by server
        self._owed_until = 0

    def begin(self) -> Replayed:
        """Before the first caller, with the list of servers heard."""
        floor = self.floor
        found = self.journal.open(floor.now)
        standing = {call: k.host for call, k in found.live.items() if k.phase is Phase.STANDS}
        floor.bequest.add(standing, floor.now)
        floor.bequest.on_taken = self._heard
        for call, known in found.live.items():
            if known.host and known.phase is not Phase.STANDS:  # it may have run: never again
                self.take_in.book.remember(call)
        now, drawn = floor.now, self._random.random()
        self.settling = Settling(found.live, now, self._pace, self._confirm_us, drawn)
        self._owed_until = now + self._confirm_us + OWED_US
        if found.live or found.spoilt or found.passed:
            log.warning("the journal of calls: %s", found.told())
        self.go_on()
        return found

    def _heard(self, call: int) -> None:
        """A call from before has come to its end, or is about to be ended here: its caller is told next."""
        self.settling.ended(call)
        self.journal.over(call)

    def go_on(self) -> None:
        floor = self.floor
        for step in self.settling.steps(self.views(), floor.now):
            self._do(step)
        self._pay()
        if len(self.settling) or (self.owed and floor.now < self._owed_until):
            floor.at(floor.now + EVERY_US, self.go_on)
        elif any(self.settling.verdicts.values()):
            told = ", ".join(f"{v.value} {count}" for v, count in self.settling.verdicts.items() if count)
            log.warning("calls from before are settled: %s", told)

    def views(self) -> dict[str, View]:
        return {
            server.host: View(
                server.state is not ServerState.GONE,
                self.floor.born_ms(server),
                server.linked_at if server.link is not None else None,
            )
            for server in self.floor.servers.values()
        }

    def _do(self, step: Step) -> None:
        counts, call, host = self.floor.counts, step.call, step.known.host
        counts[f"calls_from_before_{step.verdict.name.lower()}"] += 1
        match step.verdict:
            case Verdict.CONFIRMED:
                return  # it stands on, in the table of calls from before
            case Verdict.CUT | Verdict.RELEASED:
                if self.floor.bequest.take(call) is not None or step.known.phase is Phase.ENDING:
                    self.take_in.book.released(Release(call, Reason.INTERRUPTED), None)
                if step.verdict is Verdict.RELEASED:
                    self._owe(host, call)
                return  # ended once its caller has heard
            case Verdict.GIVEN_UP:
                self._owe(host, call)
        self.journal.ended(call)

    def _owe(self, host: str, call: int) -> None:
        if sum(map(len, self.owed.values())) < OWED_MOST:
            self.owed[host].append(call)

    def _pay(self) -> None:
        """Release what is owed to servers that are connected; a server without the call takes no notice."""
        for host in [*self.owed]:
            server = self.floor.servers.get(host)
            if server is None or (server.link is not None and all(
                server.link.send(Release(call, Reason.CLEARED)) for call in self.owed[host]
            )):
                del self.owed[host]
