"""The softswitch's main loop, most stages of a call, and the bridge to the controller.

One thread runs the loop and owns all state of calls and servers (`state`): it reads the clock once a turn and
passes each message from the inbox to its stage (take in, admit, route, send, relay, book). It must never
block on a peer, never take the controller's decisions (whether, where and when a set-up is sent), and never
end a call without a final answer or with two. Times are microseconds, the controller's are nanoseconds.
"""

from __future__ import annotations

import heapq
import os
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from queue import Empty
from typing import TYPE_CHECKING, Any, Protocol

import ujson

from wickstep import interface as api
from wickstep.interface import ServerState
from wickstep.net import (
    Answer,
    GroupState,
    Message,
    Progress,
    Release,
    ReleaseComplete,
    SetUp,
    Test,
    TestResult,
    bulletin,
    listener,
)
from wickstep.net.address_successor import find_successor, pass_on
from wickstep.net.admit import AdmitStage
from wickstep.net.book import BookStage
from wickstep.net.bulletin import ListUpdate
from wickstep.net.call_audit import CallAudit
from wickstep.net.config import Config
from wickstep.net.links import Closed, DialFailed, Link, LinkEnd, Opened, Received
from wickstep.net.probes import Probes
from wickstep.net.relay import RelayStage
from wickstep.net.route import RouteStage
from wickstep.net.send import SendStage
from wickstep.net.server_connections import ServerConnections
from wickstep.net.server_releases import ServerReleases
from wickstep.net.state import Call, Server, SharedState, log
from wickstep.net.take_in import TakeInStage
from wickstep.net.units import MS, NS_PER_US, SECOND
from wickstep.operation.mode import Event, State
from wickstep.operation.process_group import HandoverReceived
from wickstep.operation.service import Operation

if TYPE_CHECKING:
    from wickstep.recovery.store import LearnedStore


# A call is failed this long before its caller gives up: otherwise the answer and the caller's release would

MIN_STOP_TIME = 800 * MS  # after SIGTERM; callers may still arrive for 0.7 s
# SIGKILL comes no sooner than 0.7 s after the longest deadline, or 0.7 s after MAX_STOP_TIME if that is
# shorter. Calls that are open this long after that deadline are failed, so that they are answered before the
# kill.
STOP_MARGIN = 400 * MS
MAX_STOP_TIME = 3 * SECOND  # upper bound of the deadline that a stopping process waits for
# The same bound where a successor is present: the platform then waits for longer before the kill.
MAX_HANDOVER_TIME = 5 * SECOND
FLUSH_TIMEOUT_S = 0.1  # at the end, for what is still to be written
# Messages, and timers, handled in one turn: the clock is read at its start and must not be outdated at its
# end.
MAX_TURN_ITEMS = 16
SPARE_CALLER_LINKS = 16  # callers' connections accepted above the limit while others are evicted
# A caller's connection without a call is closed after this time; callers close theirs after 4 s.
IDLE_TIMEOUT = 6 * SECOND


class NumberAnalysis(Protocol):
    """Interface of number analysis, as the loop uses it."""

    def start(self) -> None: ...
    def analyse_call(self, call: Call) -> None: ...
    def call_ended(self, controller_id: int) -> None: ...
    def handle_result(self, item: object) -> None: ...
    def reload(self) -> None: ...
    def counts(self) -> dict[str, int]: ...


class Softswitch:
    """Builds the stages and runs the loop."""

    def __init__(
        self,
        config: Config,
        reread_config: Callable[[], Config] | None = None,
        make_analysis: Callable[[SharedState, AdmitStage], NumberAnalysis] | None = None,
        store: LearnedStore | None = None,
    ) -> None:
        now = time.monotonic_ns() // NS_PER_US
        self.reread_config = reread_config  # reads the configuration again
        shared = self.shared = SharedState(config, now)
        self.book = BookStage(shared)
        self.route = RouteStage(shared)
        self.probes = Probes(shared, self.route)
        self.connections = ServerConnections(shared, self.probes, CallAudit(shared))
        self.send = SendStage(shared, self.route, self.book, self.connections)
        self.relay = RelayStage(shared, self.route, self.send, self.book)
        self.connections.on_first_link = self.relay.unknown_calls.on_first_link
        self.admit = AdmitStage(shared, self.route, self.book)
        self.admit.stop_attempt = self.send.stop_attempt
        self.number_analysis = make_analysis(shared, self.admit) if make_analysis is not None else None
        if self.number_analysis is not None:
            self.admit.analyse_number, self.book.on_call_closed = (
                self.number_analysis.analyse_call,
                self.number_analysis.call_ended,
            )
        self.take_in = TakeInStage(shared, self.route, self.admit, self.send, self.relay, self.book)
        self.operation = Operation(shared, self.take_in, store)
        self.admit.is_refusing = self.operation.refuses_set_ups
        self.route.action_handlers = {
            api.Send: self.send.start_attempt,
            api.Refuse: self.admit.refuse_call,
            api.Fail: self.admit.fail_call,
            api.Cancel: self.send.cancel_attempt,
            api.Wake: self.route.schedule_wake,
            api.Probe: self.probes.send_requested,
            api.Message: lambda action: None,  # softswitches exchange no messages
            api.FollowList: lambda action: None,  # the bulletin client follows the list anyhow
        }
        self.caller_slots = threading.Semaphore(shared.caller_limit + SPARE_CALLER_LINKS)
        self.listener = listener.Listener(
            config.listen, shared.inbox, self.caller_slots, inherited_fd=config.inherited_fd
        )
        self.bulletin: bulletin.Client | None = None
        self.stop_requested = False
        self.reload_requested = False
        self.counts_requested = False

    def run(self) -> None:
        """Serve until a stop is requested, then answer the open calls."""
        shared = self.shared
        self.route.handle_event(api.Started())
        self.connections.reader.start()
        self.connections.watch()
        self.close_idle_callers()
        if self.number_analysis is not None:
            self.number_analysis.start()
        after, events = shared.config.known_events
        for event in events:
            self.update_servers(event)
        rng = random.Random(shared.config.seed ^ 0x1157)
        grace_s = shared.config.settings.drain_grace / NS_PER_US / SECOND
        self.bulletin = bulletin.Client(shared.config.bulletin, after, shared.inbox.put, rng, grace_s)
        self.bulletin.start()
        self.operation.start()
        self.listener.start()
        while not self._is_finished():
            self.run_turn()
        for controller_id in list(shared.calls_by_id):
            self.take_in.answer_overdue(controller_id)  # a failure now is better than no answer at the kill
        self.listener.close()
        self._flush_links()
        self.operation.stop()
        self.print_counts()

    def run_turn(self) -> None:
        shared = self.shared
        batch: list[Any] = []
        try:
            due = shared.timers[0][0] if shared.timers else shared.now + SECOND
            wait = (due - shared.now) / SECOND  # from the last reading of the clock, one a turn
            batch.append(shared.inbox.get(timeout=min(wait, 0.2)) if wait > 0 else shared.inbox.get_nowait())
            while len(batch) < MAX_TURN_ITEMS:
                batch.append(shared.inbox.get_nowait())
        except Empty:
            pass
        shared.now = time.monotonic_ns() // NS_PER_US
        for item in batch:
            self.run_guarded(partial(self.dispatch, item))
        for _ in range(MAX_TURN_ITEMS):
            if not shared.timers or shared.timers[0][0] > shared.now:
                break
            self.run_guarded(heapq.heappop(shared.timers)[2])
        if (
            self.stop_requested
            and (transition := shared.mode.handle(self.operation.termination_event())).is_accepted
        ):
            shared.stop_began_at = shared.now
            if transition.state is State.HANDING_OVER:
                self.listener.close()  # new connections belong to the successor
        if self.reload_requested:
            self.reload_requested = False
            if shared.mode.handle(Event.HANGUP).is_accepted:
                self.run_guarded(self.reload)
        self.run_guarded(self.operation.turn)
        shared.recorder.end_turn(shared.now)
        if self.counts_requested:
            self.counts_requested = False
            self.print_counts()

    def reload(self) -> None:
        """Read the configuration again; one that cannot be read changes nothing.

        Only the bulletin's address can change without a restart: calls and connections do not depend on it.
        """
        shared = self.shared
        if self.number_analysis is not None:
            self.number_analysis.reload()
        try:
            config = self.reread_config() if self.reread_config else shared.config
        except Exception as error:  # a half-written file may raise anything, and serving goes on
            shared.counters["reloads_failed"] += 1
            log.error("cannot reload the configuration, keeping the current one: %s", error)
            return
        shared.counters["reloads"] += 1
        old = shared.config
        for name in ("name", "listen", "sockets", "settings", "classes"):
            if getattr(config, name) != getattr(old, name):
                log.warning("%s has changed in the configuration: restart to apply it", name)
        if config.bulletin != old.bulletin and self.bulletin is not None:
            log.warning("bulletin address changed from %s to %s", old.bulletin, config.bulletin)
            old.bulletin = config.bulletin
            self.bulletin.change_address(config.bulletin)

    def close_idle_callers(self) -> None:
        """Close callers' connections that have had no call for long: some callers stay for ever after one."""
        shared = self.shared
        shared.schedule(shared.now + SECOND, self.close_idle_callers)
        links_with_calls = {attempt.call.caller for attempt in shared.standing.values()}
        for link in shared.caller_links.keys() - links_with_calls:
            if link.is_closing and shared.now - link.heard_at > SECOND:
                link.close()  # the caller does not read its last answer, and would keep its slot for ever
            elif link.calls or link.is_closing or shared.now - link.heard_at <= IDLE_TIMEOUT:
                continue
            elif not link.has_unread():  # otherwise a set-up that has just come would be lost
                shared.counters["callers_closed_unused"] += 1
                self.take_in.close_link(link)

    def run_guarded(self, callback: Callable[[], None]) -> None:
        """Run a handler: an exception affects only its message or timer, never other calls."""
        try:
            callback()
        except Exception:
            log.exception("unexpected error while handling a message or timer")
            self.shared.counters["faults"] += 1

    def dispatch(self, item: Any) -> None:
        match item:
            case Received(link=link, message=message, shares=shares, at=received_at):
                link.mark_processed(shares)
                is_first = not link.has_spoken
                link.has_spoken = True
                if not link.is_closing:
                    link.heard_at = self.shared.now
                if isinstance(link.owner, Server):
                    if is_first:
                        self.connections.on_first_message(link, link.owner)
                    self.handle_server_message(link.owner, link, message)
                else:
                    self.handle_caller_message(link, message, received_at)
            case Opened(link=link) if isinstance(link.owner, Server):
                self.connections.on_link_opened(link, link.owner)
            case Opened(link=link):
                link.heard_at = self.shared.now
                self.shared.caller_links[link] = None
                if len(self.shared.caller_links) > self.shared.caller_limit:
                    self.take_in.evict_caller_links()
            case Closed(link=link, malformed=malformed, end=end):
                link.closed = True
                self.shared.counters["malformed"] += malformed
                if isinstance(link.owner, Server):
                    self.connections.on_link_closed(link, link.owner, end)
                else:
                    self.take_in.on_link_closed(link)
            case DialFailed():
                self.connections.on_dial_failed(item)
            case ListUpdate():
                self.update_servers(item)
            case HandoverReceived():
                self.operation.on_handover(item)
            case _ if self.number_analysis is not None:
                self.number_analysis.handle_result(item)

    def handle_caller_message(self, link: Link, message: Message, received_at: int) -> None:
        if link.is_closing:
            return
        match message:
            case SetUp():
                self.book.mark_calling(link)
                self.take_in.take_set_up(link, message, received_at)
            case Release():
                link.withdrawn.discard(message.call)
                self.book.mark_calling(link)
                self.take_in.take_release(link, message)
            case Test():
                self.take_in.answer_test(link, message)
            case ReleaseComplete():
                link.unconfirmed.pop(message.call, None)
                self.shared.recorder.call_ended(message.call)
            case Progress():
                pass
            case _:
                self.shared.counters["malformed"] += 1  # a message that only servers send
                self.take_in.close_link(link)

    def handle_server_message(self, server: Server, link: Link, message: Message) -> None:
        if link.is_closing:
            return  # what came before cannot be trusted, and so neither can this
        match message:
            case Answer():
                self.relay.relay_answer(server, link, message)
            case Release():
                self.relay.relay_release(server, link, message)
            case ReleaseComplete():
                server.releases.confirm(message.call)
            case TestResult(call=probe_id, passed=False):
                # Rejected: a processor probed by hundreds answers so at once, ahead of its queue, which says
                # nothing of what waits there.
                self.probes.finish(probe_id, None)
            case (
                GroupState(call=probe_id, report=load_report) | TestResult(call=probe_id, report=load_report)
            ):
                if self.probes.finish(probe_id, load_report):
                    link.has_answered = True
                elif load_report:
                    report = self.route.convert_report(load_report)
                    self.route.handle_event(api.ProbeAnswered(server.host, True, 0, report))
            case Progress():
                self.send.extend_timeout(server, link, message)
            case SetUp() | Test():
                self.shared.counters["malformed"] += 1  # a message that only callers send
                link.close()
        if server.held:
            self.send.send_held(server)
        if server.awaiting_release:
            self.send.send_awaiting(server)

    def update_servers(self, update: ListUpdate) -> None:
        """Apply a change of the list of setup servers."""
        shared = self.shared
        entries = []
        ended_processes: list[tuple[Server, int]] = []  # with the time until which it served
        for entry in update.listed_servers:
            started_at = max(entry.born_ms * MS - shared.unix_offset, 1) if entry.born_ms else 0
            server = shared.servers.get(entry.host)
            if server is None:
                server = shared.servers[entry.host] = Server(
                    entry.host,
                    entry.address,
                    entry.number,
                    entry.state,
                    started_at,
                    smoothed_delay=shared.min_aim // 4,
                    releases=ServerReleases(shared.counters),
                )
            elif started_at > server.started_at:
                ended_processes.append((server, started_at))
            server.address, server.number, server.state = entry.address, entry.number, entry.state
            server.started_at = max(server.started_at, started_at)
            entries.append(
                api.ServerEntry(entry.host, entry.number, server.started_at * NS_PER_US, entry.state)
            )
        if update.is_complete:
            listed_hosts = {entry.host for entry in update.listed_servers}
            for server in shared.servers.values():
                if server.host not in listed_hosts:
                    server.state = ServerState.GONE
        kind = api.ListKind.COMPLETE if update.is_complete else api.ListKind.CHANGES
        # The controller first: a call cut by this change must not be sent to a server that is gone.
        self.route.handle_event(api.ServerList(kind, tuple(entries)))
        ended_processes += [
            (server, shared.now) for server in shared.servers.values() if server.state is ServerState.GONE
        ]
        for server, cutoff in ended_processes:
            if server.state is ServerState.GONE:
                del shared.servers[server.host]
                successor = find_successor(server, shared.servers.values())
                if successor is not None:
                    pass_on(server, successor)
            cause = "gone" if server.state is ServerState.GONE else "restarted"
            self.connections.drop_process(server, cutoff, cause)
        for server in shared.servers.values():
            self.connections.connect_after_jitter(server)
        shared.list_known = shared.list_known or bool(shared.servers)

    def _is_finished(self) -> bool:
        shared = self.shared
        if not shared.stop_began_at:
            return False
        elapsed = shared.now - shared.stop_began_at
        handing_over = shared.mode.state is State.HANDING_OVER
        max_time = (
            min(max(shared.config.max_waits), MAX_HANDOVER_TIME if handing_over else MAX_STOP_TIME)
            + STOP_MARGIN
        )
        return elapsed >= max_time or (
            elapsed >= MIN_STOP_TIME and not shared.open_calls and not self._has_pending_input()
        )

    def _has_pending_input(self) -> bool:
        """Whether callers have sent something that the loop has not handled yet: it may be a set-up."""
        caller_links = self.shared.caller_links
        return not self.shared.inbox.empty() or any(
            link.has_pending() for link in caller_links if not link.is_closing
        )

    def _flush_links(self) -> None:
        """End all connections, once what was written has gone out or the time for that is over."""
        caller_links = [*self.shared.caller_links]
        for link in caller_links:
            link.finish()
        server_links = self.connections.finish()
        is_handing_over = self.shared.mode.state is State.HANDING_OVER
        deadline = time.monotonic() + FLUSH_TIMEOUT_S
        while time.monotonic() < deadline and not (
            all(link.is_drained() for link in [*caller_links, *server_links])
            # A successor has to know which servers have not noticed the end.
            and not (is_handing_over and any(link.end is LinkEnd.UNNOTICED for link in server_links))
        ):
            time.sleep(0.002)
        if is_handing_over:
            self.connections.note_lost_links()

    def print_counts(self) -> None:
        counts = {
            "name": self.shared.config.name,
            "open": len(self.shared.open_calls),
            **sort_counts(self.shared.counters),
            **(self.number_analysis.counts() if self.number_analysis is not None else {}),
        }
        print(ujson.dumps(counts), file=sys.stderr, flush=True)


def sort_counts(counts: Counter[str]) -> dict[str, int]:
    return dict(sorted(counts.items()))


def exit_process(code: int = 0) -> None:
    """Exit at once: the threads of silent peers must not delay it."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
