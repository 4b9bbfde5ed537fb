"""Carries out in the loop what the reconciliation decides: releases recovered calls to callers and servers.

This file owns the releases that are still due to servers without a connection. It must never decide what
becomes of a call, and never release one that this process has set up itself.
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
    from wickstep.net.book import BookStage
    from wickstep.net.state import SharedState

log = logging.getLogger(__name__)

STEP_INTERVAL_US = 50_000
MAX_PENDING_RELEASES = 5000  # releases that wait for a connection to their servers
# Counted from the end of the confirm time. A server that is not connected by then gets none of its releases.
PENDING_RELEASE_TIMEOUT_US = 60_000_000


class CallRecovery:
    def __init__(
        self,
        shared: SharedState,
        book: BookStage,
        journal: Journal,
        settle_rate: float,
        confirm_us: int,
        seed: int,
    ) -> None:
        self.shared, self.book, self.journal = shared, book, journal
        self._settle_rate, self._confirm_us, self._random = settle_rate, confirm_us, random.Random(seed)
        self.reconciler = Reconciler({}, shared.now, settle_rate, confirm_us, 0.0)
        self.pending_releases: dict[str, list[int]] = defaultdict(list)  # by server
        self._release_until = 0

    def start(self) -> ReplayResult:
        """Replay the journal. Called before the first caller is served, once the pool list is known."""
        shared = self.shared
        result = self.journal.open(shared.now)
        standing = {call: k.host for call, k in result.live.items() if k.phase is Phase.STANDS}
        if forgotten := shared.inherited_calls.add(standing):
            shared.counters["calls_from_before_forgotten"] += forgotten
        shared.inherited_calls.on_taken = self._on_call_taken
        for call, state in result.live.items():
            if state.host and state.phase is not Phase.STANDS:  # may have been set up: must not be sent again
                self.book.record_ended_call(call)
        now, jitter = shared.now, self._random.random()
        self.reconciler = Reconciler(result.live, now, self._settle_rate, self._confirm_us, jitter)
        self._release_until = now + self._confirm_us + PENDING_RELEASE_TIMEOUT_US
        if result.live or result.corrupt or result.skipped:
            log.warning("the journal of calls: %s", result.summary())
        self.advance()
        return result

    def _on_call_taken(self, call: int) -> None:
        """A recovered call has ended, or is about to be ended here. Its caller is notified next."""
        self.reconciler.call_ended(call)
        self.journal.attempt_over(call)

    def advance(self) -> None:
        """Settle the calls that are due, and schedule the next step until nothing is left to do."""
        shared = self.shared
        for step in self.reconciler.next_steps(self.get_server_views(), shared.now):
            self._carry_out(step)
        self._send_pending_releases()
        if len(self.reconciler) or (self.pending_releases and shared.now < self._release_until):
            shared.schedule(shared.now + STEP_INTERVAL_US, self.advance)
        elif any(self.reconciler.verdict_counts.values()):
            counts = ", ".join(f"{v.value} {n}" for v, n in self.reconciler.verdict_counts.items() if n)
            log.warning("calls from before are settled: %s", counts)

    def get_server_views(self) -> dict[str, ServerView]:
        return {
            server.host: ServerView(
                server.state is not ServerState.GONE,
                self.shared.born_ms(server),
                server.linked_at if server.link is not None else None,
            )
            for server in self.shared.servers.values()
        }

    def _carry_out(self, step: Step) -> None:
        counters, call, host = self.shared.counters, step.call, step.state.host
        counters[f"calls_from_before_{step.verdict.name.lower()}"] += 1
        match step.verdict:
            case Verdict.CONFIRMED:
                return  # stays in the table of inherited calls
            case Verdict.CUT | Verdict.RELEASED:
                if self.shared.inherited_calls.take(call) is not None or step.state.phase is Phase.ENDING:
                    self.book.send_release(Release(call, Reason.INTERRUPTED), None)
                if step.verdict is Verdict.RELEASED:
                    self._queue_release(host, call)
                return  # its end is journaled once its caller has confirmed the release
            case Verdict.GIVEN_UP:
                self._queue_release(host, call)
        self.journal.call_ended(call)

    def _queue_release(self, host: str, call: int) -> None:
        if sum(map(len, self.pending_releases.values())) < MAX_PENDING_RELEASES:
            self.pending_releases[host].append(call)

    def _send_pending_releases(self) -> None:
        """Send the releases due to connected servers; a server without the call ignores its release."""
        for host in [*self.pending_releases]:
            server = self.shared.servers.get(host)
            if server is not None and server.link is None:
                continue
            for call in self.pending_releases.pop(host):
                if server is not None:
                    server.release_call(Release(call, Reason.CLEARED), self.shared.now)
