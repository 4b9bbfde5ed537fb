"""Connects this package to the loop: does there what the state of the process requires.

This file owns the time at which a state began, and those metrics that only the loop may count. It must never
decide which connection is closed (draining does) or which state follows (mode does).
"""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from wickstep.interface import ServerState
from wickstep.net import Release
from wickstep.operation import commands, draining, handover, metrics
from wickstep.operation.draining import DRAIN_PLANS, Connection
from wickstep.operation.mode import Event, State
from wickstep.operation.operator_server import OperatorServer
from wickstep.operation.process_group import HandoverReceived, ProcessGroup, shared_folder
from wickstep.recovery import learned

if TYPE_CHECKING:
    from wickstep.net.state import SharedState
    from wickstep.net.take_in import TakeInStage
    from wickstep.recovery.journal import Journal
    from wickstep.recovery.plan import RecoveryPlan
    from wickstep.recovery.store import LearnedStore

log = logging.getLogger(__name__)

SERVER_COUNT_INTERVAL = 200_000  # microseconds; metrics of the servers may be that old
SHARE_INTERVAL = 1_000_000  # microseconds between two writes of the learned state for a successor
MAX_LEARNED_AGE_NS = 10_000_000_000  # a process that has written nothing for longer is no predecessor


class Operation:
    """The loop's side; everything but `status` and `metrics_text` is called on the loop's thread only."""

    def __init__(self, shared: SharedState, take_in: TakeInStage, store: LearnedStore | None = None) -> None:
        self.shared, self.take_in, self.store = shared, take_in, store
        self.applied_state = shared.mode.state  # the state that the loop has acted on last
        self.applied_at = shared.now
        self.next_scan_at = 0  # of callers' connections, while they are drained
        self.discovered = self.ejected = 0
        handlers = commands.CommandHandlers(self.status, self.metrics_text, shared.mode.handle)
        self.operator_server = (
            OperatorServer(shared.config.operator, handlers) if shared.config.operator else None
        )
        # A successor can run at the same time only if the callers' socket is inherited from another process.
        folder = shared_folder(shared.config.name) if shared.config.inherited_fd is not None else None
        self.group = ProcessGroup(folder, shared.inbox.put) if folder is not None else None
        self.process_count = 1  # of this softswitch that are alive
        self.full_settings = shared.config.settings
        self.journal: Journal | None = None

    def start(self) -> None:
        """Before the first caller: restore what earlier processes have learned, and answer operators."""
        if self.store is not None:
            self.store.restore(self.take_in.route.controller, self.server_starts_ms(), self.shared.now * 1000)
            self.store.start()
            self.shared.schedule(self.shared.now + self.store.interval_us, self.store_learned)
            self.open_journal(self.store.plan)
        if self.group is not None and self.group.join():
            self.restore_learned(self.group.load_learned())
            self.divide_budgets()
            self.share_learned()
            self.group.start()
        else:
            self.group = None
        if self.operator_server is not None:
            self.count_servers()
            self.operator_server.start()

    def stop(self) -> None:
        """At the end: hand established calls and undelivered releases over to a successor."""
        if self.store is not None:
            self.store_learned()
            self.store.flush()
        if self.journal is not None:
            self.journal.close()
        if self.operator_server is not None:
            self.operator_server.close()
        if self.group is not None:
            self.group.leave(self.make_handover())

    def make_handover(self) -> dict[str, Any]:
        """The record for a successor: calls that stand here or were inherited, and undelivered releases."""
        shared, waiting = self.shared, self.take_in.relay.unknown_calls.to_callers
        undelivered = [*waiting, *(release for _, release in self.take_in.book.undelivered)]
        standing = {call: attempt.server.host for call, attempt in shared.standing.items()}
        standing = {**shared.inherited_calls.hosts_by_call(), **standing}
        return handover.encode(
            handover.Handover(
                standing,
                [(release.call, release.reason) for release in undelivered],
                sorted(shared.hosts_with_lost_links & {*standing.values()}),
                [
                    (release.call, release.reason, server.host)
                    for server in shared.servers.values()
                    for release in server.releases.releases()
                ],
            )
        )

    def open_journal(self, plan: RecoveryPlan) -> None:
        """Keep a journal of calls if the recovery file asks for it, and recover the last process's calls."""
        if plan.call_journal is None:
            return
        from wickstep.recovery.call_recovery import CallRecovery
        from wickstep.recovery.journal import Journal

        shared, journal_plan = self.shared, plan.call_journal
        folder, clock_offset = Path(plan.folder), shared.unix_offset
        self.journal = Journal(
            folder, shared.config.name, journal_plan.max_bytes, journal_plan.sync, clock_offset
        )
        confirm_us = int(journal_plan.confirm_s * 1_000_000)
        CallRecovery(
            shared, self.take_in.book, self.journal, journal_plan.settle_rate, confirm_us, shared.config.seed
        ).start()
        shared.recorder = self.journal

    def termination_event(self) -> Event:
        """The event that a SIGTERM is now."""
        return Event.HAND_OVER if self.group is not None and self.group.has_successor() else Event.TERM

    def turn(self) -> None:
        """Follow changes of the state and of the other processes; called once per turn of the loop."""
        if self.group is not None:
            if self.process_count != 1 + len(self.group.others):
                self.divide_budgets()
            if self.shared.list_known:
                self.group.announce_ready()
        state = self.shared.mode.state
        if state is not self.applied_state:
            log.warning("state changed to %s, was %s", state.value, self.applied_state.value)
            self.applied_state, self.applied_at = state, self.shared.now
            self.close_drained_connections()

    def refuses_set_ups(self) -> bool:
        """Whether set-ups that come now are refused because the process is drained or ending."""
        return draining.should_refuse(DRAIN_PLANS[self.applied_state], self.shared.now - self.applied_at)

    def close_drained_connections(self) -> None:
        """Close callers' connections that nothing waits on; repeats itself while the state requires it."""
        shared, plan = self.shared, DRAIN_PLANS[self.applied_state]
        if plan.close_from is None or self.next_scan_at > shared.now:
            return
        self.next_scan_at = shared.now + draining.SCAN_INTERVAL
        shared.schedule(self.next_scan_at, self.close_drained_connections)
        elapsed = shared.now - self.applied_at
        open_links = [link for link in shared.caller_links if not link.is_closing]
        standing = {attempt.call.caller for attempt in shared.standing.values()}
        # A call whose own connection is closed is released on another: the latest one is kept for those.
        last = (
            [link for link in open_links if link in shared.calling_links][-1:]
            if not standing <= {*open_links}
            else []
        )
        for link in open_links:
            connection = Connection(
                calls=len(link.calls) + (link in standing),
                has_unread=not link.calls and link.has_unread(),
                keeps_releases=link in last,
                carried_calls=link in shared.calling_links,
                sent_tests=link.has_spoken,
                idle=shared.now - link.heard_at,
            )
            if draining.should_close(plan, elapsed, connection):
                shared.counters["callers_sent_away"] += 1
                self.take_in.close_link(link)

    def divide_budgets(self) -> None:
        """Divide one softswitch's budgets among its processes.

        The controller's budgets for cold servers, trials and probes are shares of a total for all
        softswitches, so each of N processes counts N times as many softswitches. The limit on callers'
        connections is divided as well.
        """
        shared = self.shared
        previous, self.process_count = (
            self.process_count,
            1 + len(self.group.others if self.group is not None else ()),
        )
        divided = replace(self.full_settings, proxies=self.full_settings.proxies * self.process_count)
        self.take_in.route.controller.settings = divided
        shared.caller_limit = shared.config.max_callers // self.process_count
        log.warning("%d processes share this softswitch's budgets and limit of callers", self.process_count)
        if self.process_count < previous:
            # What setup servers sent about calls on the last connections of an ended process, they repeat on
            # the next connection that is opened.
            for server in shared.servers.values():
                self.take_in.send.connections.connect(server, additional=True)

    def server_starts_ms(self) -> dict[str, int]:
        """The servers' starts in Unix time, as on the pool list, since each process has its own time zero."""
        return {server.host: self.shared.born_ms(server) for server in self.shared.servers.values()}

    def share_learned(self) -> None:
        """Write the learned state to the folder shared with other processes, on that folder's thread."""
        if self.group is not None:
            shared = self.shared
            shared.schedule(shared.now + SHARE_INTERVAL, self.share_learned)
            controller = self.take_in.route.controller
            now = shared.now * 1000
            self.group.save_learned(
                learned.encode(learned.take_snapshot(controller, self.server_starts_ms(), now, now))
            )

    def store_learned(self) -> None:
        """Write the learned state to the folder of the recovery file, on the store's thread."""
        if self.store is not None:
            shared = self.shared
            shared.schedule(shared.now + self.store.interval_us, self.store_learned)
            self.store.save_latest(self.take_in.route.controller, self.server_starts_ms(), shared.now * 1000)

    def restore_learned(self, content: object) -> None:
        """Use the learned state of a process that is alive or ended a moment ago; ignore an invalid one."""
        if content is None:
            return
        now = time.monotonic_ns()  # the clock of both processes
        try:
            state = learned.decode(content)
            if now - state.at > MAX_LEARNED_AGE_NS:
                raise learned.InvalidState(f"{(now - state.at) / 1e9:.0f} s old")
            controller = self.take_in.route.controller
            server_count = learned.restore(
                controller, state, self.server_starts_ms(), self.shared.now * 1000, now
            )
        except learned.InvalidState as error:
            log.warning("the learned state of an earlier process is not used: %s", error)
        else:
            log.warning("starting with the learned state of %d servers", server_count)

    def on_handover(self, received: HandoverReceived) -> None:
        """An earlier process has ended: its calls remain established, and their releases come here."""
        try:
            record = handover.decode(received.content)
        except handover.InvalidHandover as error:
            log.warning("the handover record of an earlier process is not used: %s", error)
            return
        log.warning(
            "handover from an earlier process: %d calls and %d releases",
            len(record.standing),
            len(record.releases),
        )
        book = self.take_in.book
        calls = {call: host for call, host in record.standing.items() if not book.is_known(call)}
        if forgotten := self.shared.inherited_calls.add(calls):
            self.shared.counters["calls_from_before_forgotten"] += forgotten
        for call, reason in record.releases:
            book.send_release(Release(call, reason), None)
        for host in record.hosts_with_lost_links:
            self.take_in.send.connections.audit.link_lost(host)
        for call, reason, host in record.server_releases:
            if (server := self.shared.servers.get(host)) is not None:
                server.release_call(Release(call, reason), self.shared.now)

    def count_servers(self) -> None:
        """Count the servers, whose table only the loop may read; repeats itself."""
        shared = self.shared
        shared.schedule(shared.now + SERVER_COUNT_INTERVAL, self.count_servers)
        listed = [s for s in shared.servers.values() if s.state is not ServerState.GONE]
        self.discovered = len(listed)
        self.ejected = sum(self.is_ejected(server.host) for server in listed)

    def is_ejected(self, host: str) -> bool:
        """Whether the controller avoids a server now because of its failures."""
        controller = self.take_in.route.controller
        server = controller.servers.get(host)
        return server is not None and not controller.may_try(server)

    # Called from any thread.

    def status(self) -> tuple[bool, str]:
        shared = self.shared
        state = shared.mode.state
        if state is State.SERVING and not shared.list_known:
            return False, "starting: no setup server is known"
        return state is State.SERVING, state.value

    def metrics_text(self) -> str:
        shared = self.shared
        values = {
            metrics.FORWARDS: shared.counters["set_ups_sent"],
            metrics.OUTSTANDING: len(shared.open_calls) + len(shared.standing),
            metrics.DISCOVERED: self.discovered,
            metrics.EJECTED: self.ejected,
        }
        if shared.recorder.is_kept is not None:
            values[metrics.JOURNAL] = int(shared.recorder.is_kept)
        return metrics.format_metrics(shared.result_counts, values)
