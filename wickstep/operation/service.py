"""What hooks the operators' part into the loop: it carries out what the state of the process asks for.

This file owns the clock of a state (since when it holds) and the snapshot of the figures that the loop makes.
It must never decide which connection goes (draining does) or which state follows (mode does).
"""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from wickstep.interface import ServerState
from wickstep.net import Release
from wickstep.operation import commands, draining, handover, metrics
from wickstep.operation.draining import DRAIN_PLANS, Connection
from wickstep.operation.mode import Event, State
from wickstep.operation.operator_server import OperatorServer
from wickstep.operation.process_group import HandoverReceived, ProcessGroup, shared_folder
from wickstep.recovery import learned

if TYPE_CHECKING:
    from wickstep.net.softswitch import SharedState, TakeInStage
    from wickstep.recovery.journal import Journal
    from wickstep.recovery.plan import RecoveryPlan
    from wickstep.recovery.store import LearnedStore

log = logging.getLogger(__name__)

SNAPSHOT_EVERY = 200_000  # microseconds; operators may see figures that old
KEEP_EVERY = 1_000_000  # what is learned is written so often, where a successor may come
FRESH = 10_000_000_000  # nanoseconds; a predecessor that has written nothing for longer is none any more


class Operation:
    """The loop's side of it all; everything but `status` and `figures` is called by the loop only."""

    def __init__(self, shared: SharedState, take_in: TakeInStage, store: LearnedStore | None = None) -> None:
        self.shared, self.take_in, self.store = shared, take_in, store
        self.applied_state = shared.mode.state  # the state that was carried out last,
        self.since = shared.now  # and when
        self.looks_at = 0  # when connections are looked at next
        self.discovered = self.ejected = 0
        desk = commands.CommandHandlers(self.status, self.figures, shared.mode.handle)
        self.operator_server = (
            OperatorServer(shared.config.operator, desk) if shared.config.operator else None
        )
        # A successor can come beside this process only where somebody else holds the callers' socket.
        folder = shared_folder(shared.config.name) if shared.config.inherited_fd is not None else None
        self.group = ProcessGroup(folder, shared.inbox.put) if folder is not None else None
        self.sharing = 1  # processes of this softswitch that are there
        self.undivided = shared.config.settings
        self.journal: Journal | None = None

    def start(self) -> None:
        """Before the first caller: take over what an earlier process knows, and answer operators."""
        if self.store is not None:
            self.store.restore(self.take_in.route.controller, self.born_ms(), self.shared.now * 1000)
            self.store.start()
            self.shared.schedule(self.shared.now + self.store.interval_us, self.save)
            self.keep_calls(self.store.plan)
        if self.group is not None and self.group.join():
            self.adopt(self.group.load_learned())
            self.divide()
            self.keep()
            self.group.start()
        else:
            self.group = None
        if self.operator_server is not None:
            self.snapshot()
            self.operator_server.start()

    def stop(self) -> None:
        """At the end: leave to a successor what stands here, and what its callers could not be told."""
        if self.store is not None:
            self.save()
            self.store.flush()
        if self.journal is not None:
            self.journal.close()
        if self.operator_server is not None:
            self.operator_server.close()
        if self.group is not None:
            book, standing = self.take_in.book, self.shared.standing
            releases = [(release.call, release.reason) for _, release in book.unsent]
            calls_here = {call: attempt.server.host for call, attempt in standing.items()}
            self.group.leave(handover.encode(calls_here, releases))

    def keep_calls(self, plan: RecoveryPlan) -> None:
        """Keep a journal of calls where the operator's file wants one, and settle what the last life left."""
        if plan.call_journal is None:
            return
        from wickstep.recovery.call_recovery import CallRecovery
        from wickstep.recovery.journal import Journal

        shared, calls = self.shared, plan.call_journal
        folder, zero = Path(plan.folder), shared.unix_offset
        self.journal = Journal(folder, shared.config.name, calls.max_bytes, calls.sync, zero)
        confirm_us = int(calls.confirm_s * 1_000_000)
        CallRecovery(
            shared, self.take_in, self.journal, calls.settle_rate, confirm_us, shared.config.seed
        ).start()
        shared.recorder = self.journal

    def termination_event(self) -> Event:
        """What SIGTERM means now."""
        return Event.HAND_OVER if self.group is not None and self.group.has_successor() else Event.TERM

    def turn(self) -> None:
        """Look at the state, and at who else is there, once a turn of the loop."""
        if self.group is not None:
            if self.sharing != 1 + len(self.group.others):
                self.divide()
            if self.shared.list_known:
                self.group.announce_ready()
        state = self.shared.mode.state
        if state is not self.applied_state:
            log.warning("%s, after %s", state.value, self.applied_state.value)
            self.applied_state, self.since = state, self.shared.now
            self.send_away()

    def refuses_set_ups(self) -> bool:
        """Whether set-ups that come now are turned away, since the process is drained or about to end."""
        return draining.should_refuse(DRAIN_PLANS[self.applied_state], self.shared.now - self.since)

    def send_away(self) -> None:
        """Close callers' connections that nothing waits on, again and again while the state asks for it."""
        shared, plan = self.shared, DRAIN_PLANS[self.applied_state]
        if plan.close_from is None or self.looks_at > shared.now:
            return
        self.looks_at = shared.now + draining.LOOK_EVERY
        shared.schedule(self.looks_at, self.send_away)
        since = shared.now - self.since
        here = [link for link in shared.caller_links if not link.is_closing]
        standing = {attempt.call.caller for attempt in shared.standing.values()}
        # A call whose own connection has gone is released on another: the last one stays for those.
        last = [link for link in here if link in shared.calling_links][-1:] if not standing <= {*here} else []
        for link in here:
            connection = Connection(
                calls=len(link.calls) + (link in standing),
                has_unread=not link.calls and link.has_unread(),
                keeps_releases=link in last,
                carried_calls=link in shared.calling_links,
                sent_tests=link.has_spoken,
                idle=shared.now - link.heard_at,
            )
            if draining.should_close(plan, since, connection):
                shared.counters["callers_sent_away"] += 1
                self.take_in.drop(link)

    def divide(self) -> None:
        """Several processes of one softswitch have one softswitch's part between them.

        The controller's budgets for cold servers, trials and probes are a part of all softswitches' sum: each
        process counts itself as one of so many more. Callers' connections are divided likewise.
        """
        shared = self.shared
        before, self.sharing = self.sharing, 1 + len(self.group.others if self.group is not None else ())
        divided = replace(self.undivided, proxies=self.undivided.proxies * self.sharing)
        self.take_in.route.controller.settings = divided
        shared.caller_limit = shared.config.max_callers // self.sharing
        log.warning("%d processes share this softswitch's part", self.sharing)
        if self.sharing < before:
            # What setup servers have said of calls on the last connections of who has gone, they say again on
            # the next that is opened.
            for server in shared.servers.values():
                self.take_in.send.connect(server, additional=True)

    def born_ms(self) -> dict[str, int]:
        """The starts of the servers as the list tells them: each process has a zero of its own."""
        return {server.host: self.shared.born_ms(server) for server in self.shared.servers.values()}

    def keep(self) -> None:
        """Hand what the controller has learned to the thread that writes it."""
        if self.group is not None:
            shared = self.shared
            shared.schedule(shared.now + KEEP_EVERY, self.keep)
            controller = self.take_in.route.controller
            now = shared.now * 1000
            self.group.save_learned(
                learned.encode(learned.take_snapshot(controller, self.born_ms(), now, now))
            )

    def save(self) -> None:
        """Hand it to the thread that writes it into the operator's folder."""
        if self.store is not None:
            shared = self.shared
            shared.schedule(shared.now + self.store.interval_us, self.save)
            self.store.save_latest(self.take_in.route.controller, self.born_ms(), shared.now * 1000)

    def adopt(self, content: object) -> None:
        """Use what a process that is there, or was a moment ago, has learned; nonsense is passed over."""
        if content is None:
            return
        now = time.monotonic_ns()  # the clock of both
        try:
            found = learned.decode(content)
            if now - found.at > FRESH:
                raise learned.InvalidState(f"{(now - found.at) / 1e9:.0f} s old")
            controller = self.take_in.route.controller
            given = learned.restore(controller, found, self.born_ms(), self.shared.now * 1000, now)
        except learned.InvalidState as trouble:
            log.warning("what was learned before is not used: %s", trouble)
        else:
            log.warning("starting with what was learned of %d servers", given)

    def on_handover(self, left: HandoverReceived) -> None:
        """An earlier process has ended: its calls stand on, and their releases come here."""
        try:
            standing, releases = handover.decode(left.content)
        except handover.InvalidHandover as trouble:
            log.warning("what another process has left is not used: %s", trouble)
            return
        log.warning("an earlier process has left %d calls and %d releases", len(standing), len(releases))
        self.shared.inherited_calls.add(standing, self.shared.now)
        for call, reason in releases:
            self.take_in.book.send_release(Release(call, reason), None)

    def snapshot(self) -> None:
        """Count what only the loop may look at."""
        shared = self.shared
        shared.schedule(shared.now + SNAPSHOT_EVERY, self.snapshot)
        listed = [s for s in shared.servers.values() if s.state is not ServerState.GONE]
        self.discovered = len(listed)
        self.ejected = sum(self.avoided(server.host) for server in listed)

    def avoided(self, host: str) -> bool:
        """Whether the controller passes a server over now, for what it did."""
        controller = self.take_in.route.controller
        server = controller.servers.get(host)
        return server is not None and not controller.may_try(server)

    # Any thread.

    def status(self) -> tuple[bool, str]:
        shared = self.shared
        state = shared.mode.state
        if state is State.SERVING and not shared.list_known:
            return False, "starting: no setup server is known"
        return state is State.SERVING, state.value

    def figures(self) -> str:
        shared = self.shared
        values = {
            metrics.FORWARDS: shared.counters["set_ups_sent"],
            metrics.OUTSTANDING: len(shared.open_calls) + len(shared.standing),
            metrics.DISCOVERED: self.discovered,
            metrics.EJECTED: self.ejected,
        }
        if shared.recorder.is_kept is not None:
            values[metrics.JOURNAL] = int(shared.recorder.is_kept)
        return metrics.format_metrics(shared.tally, values)
