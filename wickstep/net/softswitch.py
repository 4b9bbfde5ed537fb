"""The softswitch's main loop, most stages of a call, and the bridge to the controller.

One thread runs the loop and owns all state of calls and servers (`state`): it reads the clock once a turn and
passes each message from the inbox to its stage (take in, admit, route, send, relay, book). It must never
block on a peer, never take the controller's decisions (whether, where and when a set-up is sent), and never
end a call without a final answer or with two. Times are microseconds, the controller's are nanoseconds.
"""

from __future__ import annotations

import heapq
import itertools
import logging
import os
import random
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping
from functools import partial
from queue import Empty
from typing import TYPE_CHECKING, Any, Protocol

import ujson

from wickstep import interface as api
from wickstep.brain import Controller
from wickstep.interface import Outcome, ServerState
from wickstep.net import (
    Answer,
    GroupState,
    Message,
    Note,
    Progress,
    Reason,
    Release,
    ReleaseComplete,
    SetUp,
    Test,
    TestResult,
    bulletin,
    links,
)
from wickstep.net.book import BookStage
from wickstep.net.bulletin import ListUpdate
from wickstep.net.config import Config
from wickstep.net.links import Closed, DialFailed, Link, Opened, Received
from wickstep.net.state import MIN_REDIAL_DELAY, Attempt, Call, Server, SharedState
from wickstep.net.units import MS, NS_PER_US, SECOND
from wickstep.net.unknown_calls import UnknownCalls
from wickstep.operation.mode import Event, State
from wickstep.operation.process_group import HandoverReceived
from wickstep.operation.service import Operation
from wickstep.recovery import jitter
from wickstep.settings import (
    REPORT_FIELDS,
)
from wickstep.spread.reasons import SendReason, classify_send

if TYPE_CHECKING:
    from wickstep.recovery.store import LearnedStore

log = logging.getLogger(__name__)

# A call is failed this long before its caller gives up: otherwise the answer and the caller's release would
# cross.
ANSWER_MARGIN = 10 * MS
PROBE_TIMEOUT = 250 * MS
PROBES_PER_SERVER = 3.0  # probes a second to one server, from all softswitches together
MAX_SAVED_PROBES = 3.0  # size of the token bucket for this softswitch's part of that rate
SILENCE_TIMEOUT = 2 * SECOND  # a connection that has received nothing for this long is suspected to be dead
# After this much silence the server's machine counts as lost if no new connection comes up.
VANISHED_TIMEOUT = 4 * SECOND
DEAD_AFTER_REFUSALS = 2  # refused connects in a row, after a reset, that show that the process is dead
# A probe is sent if a set-up is in flight for longer than this factor times the server's smoothed delay, and
# for longer than this time.
PROBE_AFTER_FACTOR, MIN_PROBE_AFTER = 1.5, 40 * MS
WATCH_INTERVAL = 20 * MS  # between two checks of the set-ups in flight and their connections
IDLE_WATCH_INTERVAL = 200 * MS  # the same while nothing is in flight
MAX_REDIAL_DELAY = 2 * SECOND  # of the exponential backoff between connects to one server
MAX_LINKS = 4  # connections to one server, the replaced ones included
# A replaced connection is still read for this long: its server may write to it until it notices the end.
LINGER_TIME = 2 * SECOND
MIN_STOP_TIME = 800 * MS  # after SIGTERM; callers may still arrive for 0.7 s
# SIGKILL comes no sooner than 0.7 s after the longest deadline, or 0.7 s after MAX_STOP_TIME if that is
# shorter. Calls that are open this long after that deadline are failed, so that they are answered before the
# kill.
STOP_MARGIN = 400 * MS
MAX_STOP_TIME = 3 * SECOND  # upper bound of the deadline that a stopping process waits for
# The same bound where a successor is present: the platform then waits for longer before the kill.
MAX_HANDOVER_TIME = 5 * SECOND
MAX_NUMBER_LENGTH = 255  # characters of a called number, which is kept in memory as long as its call
# Messages, and timers, handled in one turn: the clock is read at its start and must not be outdated at its
# end.
MAX_TURN_ITEMS = 16
SPARE_CALLER_LINKS = 16  # callers' connections accepted above the limit while others are evicted
# A caller's connection without a call is closed after this time; callers close theirs after 4 s.
IDLE_TIMEOUT = 6 * SECOND
# Callers close an idle connection after 4 s. One that has been idle for longer than this is evicted first
# when connections run out.
EVICTABLE_IDLE = 4200 * MS
# Callers speak as soon as they are connected: a connection that never carried a call is evicted even before
# those if it has been silent for this long.
NEW_LINK_GRACE = 500 * MS

SERVER_OUTCOMES = {
    Reason.FULL: Outcome.FULL,
    Reason.BUSY: Outcome.ERROR,
    Reason.FAULT: Outcome.ERROR,
    Reason.MOOT: Outcome.MOOT,
    Reason.INTERRUPTED: Outcome.RESET,
}


class RouteStage:
    """Bridge to the controller: turns microseconds and messages into its events, and carries out its actions.

    Events that an action causes at once (a cancelled attempt, a refused connection) are passed on after the
    actions before them are done: the controller is never called again while its actions are carried out.
    """

    def __init__(self, shared: SharedState) -> None:
        config = shared.config
        self.shared = shared
        self.controller = Controller(config.settings, config.seed)
        self.pending_events: deque[api.Event] = deque()
        self.is_handling = False
        # Filled by Softswitch, which owns the stages.
        self.action_handlers: dict[type, Callable[[Any], None]] = {}

    def handle_event(self, event: api.Event) -> None:
        self.pending_events.append(event)
        if self.is_handling:
            return
        self.is_handling = True
        try:
            while self.pending_events:
                for action in self.controller.handle(
                    self.pending_events.popleft(), self.shared.now * NS_PER_US
                ):
                    self.action_handlers[type(action)](action)
        finally:
            self.is_handling = False

    def schedule_wake(self, action: api.Wake) -> None:
        due = -(-action.due // NS_PER_US)
        self.shared.schedule(due, lambda: self.handle_event(api.TimerDue(action.token)))

    def convert_report(self, load_report: Mapping[str, float]) -> dict[str, float]:
        """Rename a load report's fields from the settings' names, used on both wires, to the controller's."""
        return {REPORT_FIELDS[name]: value for name, value in load_report.items() if name in REPORT_FIELDS}

    def report_end(
        self, attempt: Attempt, outcome: Outcome, call_over: bool, release: Release | None = None
    ) -> None:
        self.shared.counters[f"attempts_{outcome.value}"] += 1
        delay = self.shared.now - attempt.sent_at
        log.info("%016x #%d %s at %s after %d us, %s", attempt.call.call_id, attempt.index, outcome.value,
                 attempt.server.host, delay, release and (release.note, release.report))  # fmt: skip
        self.handle_event(
            api.AttemptEnded(
                call=attempt.call.controller_id,
                attempt=attempt.index,
                server=attempt.server.host,
                outcome=outcome,
                delay=delay * NS_PER_US,
                call_over=call_over,
                callee_busy=release is not None and release.note is Note.LINES_BUSY,
                report=self.convert_report(release.report) if release else {},
                no_line=release is not None and release.note is Note.NO_CIRCUIT,
            )
        )


class SendStage:
    """Attempts to set up calls at servers, and the connections they need."""

    def __init__(self, shared: SharedState, route: RouteStage, book: BookStage) -> None:
        self.shared, self.route, self.book = shared, route, book
        self.pending_probes: dict[int, tuple[Server, int]] = {}
        self.reader = links.Reader()
        self.next_watch_at = 0
        self.random = random.Random(shared.config.seed ^ 0xD1A1)
        self.probe_tokens, self.probe_tokens_at = MAX_SAVED_PROBES, shared.now
        self.probe_ids = itertools.count(shared.config.seed & 0xFFFFFFFF0000 | 1 << 63)

    def start_attempt(self, action: api.Send) -> None:
        call, server = self.shared.calls_by_id.get(action.call), self.shared.servers.get(action.server)
        if call is None:
            return
        now = self.shared.now
        attempt = Attempt(
            call,
            call.attempt_count,
            server or Server(action.server, "", -1, ServerState.GONE, 0),
            now,
            expires_at := min(now + max(action.timeout // NS_PER_US, 1), call.deadline),
            min(expires_at, now + server.reply_timeout)
            if server is not None and server.reply_timeout
            else expires_at,
        )
        call.attempt_count += 1
        if (
            server is None
            or call.attempt is not None
            or call.attempt_count > self.shared.config.settings.max_attempts
        ):
            return self.route.report_end(attempt, Outcome.MOOT, call_over=False)
        call.attempt = server.attempts[call.call_id] = attempt
        self.schedule_watch(now + WATCH_INTERVAL)
        # By id, like every timer of a call: a timer that held the call would keep its description, of up to
        # 16 KiB, until the deadline, long after a refusal.
        self.shared.schedule(
            attempt.timeout_at, partial(self.expire_attempt, call.controller_id, attempt.index)
        )
        self._send_set_up(attempt)

    def _send_set_up(self, attempt: Attempt) -> None:
        """Send the set-up of an attempt, or queue it for a connection; the only place where one is sent."""
        server, call = attempt.server, attempt.call
        if call.caller.has_left(call.call_id):
            # The caller's release or end of connection is already queued for the loop: no answer is awaited.
            self.shared.counters["attempts_spared"] += 1
            self.remove_attempt(attempt)
            self.book.close_unanswered(call)
            return self.route.report_end(attempt, Outcome.MOOT, call_over=True)
        if server.state is not ServerState.ACTIVE:
            self.remove_attempt(attempt)  # the server began to drain while this waited for a connection
            return self.route.report_end(
                attempt, Outcome.MOOT, call_over=call.call_id not in self.shared.open_calls
            )
        wait_ms = max((attempt.expires_at - self.shared.now) // MS, 1)
        forwarded = SetUp(
            call.call_id, call.set_up.klass, wait_ms, call.set_up.number, call.set_up.description
        )
        if server.link is not None:
            born_ms = self.shared.born_ms(server)
            self.shared.recorder.attempt_sent(call.call_id, attempt.index, server.host, born_ms)
        if server.link is not None and server.link.send(forwarded):
            attempt.link = server.link
            self.shared.counters["set_ups_sent"] += 1
            if log.isEnabledFor(logging.INFO):
                reason = self._classify(attempt).value
                log.info("%016x #%d sent to %s (%s)", call.call_id, attempt.index, server.host, reason)
            return
        server.link = None  # if there was one, it is closing
        server.waiting.append(attempt)
        self.connect(server)

    def _classify(self, attempt: Attempt) -> SendReason:
        record = self.route.controller.servers.get(attempt.server.host)
        first_choice, failures = (
            attempt.call.set_up.first_choice,
            record.failures if record is not None else 0,
        )
        return classify_send(attempt.index, first_choice, attempt.server.number, failures)

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that is over from the tables."""
        self.shared.recorder.attempt_over(attempt.call.call_id)
        attempt.server.attempts.pop(attempt.call.call_id, None)
        self.shared.standing.pop(attempt.call.call_id, None)
        if attempt in attempt.server.waiting:
            attempt.server.waiting.remove(attempt)
        if attempt.call.attempt is attempt:
            attempt.call.attempt = None
        if attempt.link in attempt.server.replaced_links:
            self.retire_replaced_links(attempt.server)

    def stop_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop an attempt that is in flight, and release it towards its server."""
        server, link = attempt.server, attempt.link
        if link is not None and not link.withdraw(attempt.call.call_id):
            link.send(Release(attempt.call.call_id, Reason.CLEARED))
            is_silent = link.heard_at < min(attempt.sent_at, self.shared.now - SILENCE_TIMEOUT)
            if is_silent and link is server.link:
                # Nothing received since before the set-up was sent. A machine that was cut off may be back
                # while its old connections stay silent for ever, so a new one is tried in addition.
                self.connect(server, additional=True)
        elif outcome is Outcome.TIMEOUT:
            outcome = Outcome.CONNECT_FAILED  # never sent, so it must not count against the call
        if link is not None:
            self.book.abandoned_ids.add(attempt.call.call_id)
        self.remove_attempt(attempt)
        self.route.report_end(attempt, outcome, call_over=attempt.call.call_id not in self.shared.open_calls)

    def expire_attempt(self, controller_id: int, index: int) -> None:
        attempt = self._find_in_flight(controller_id, index)
        # A later `timeout_at` means that the timeout was extended.
        if attempt is not None and self.shared.now >= attempt.timeout_at:
            self.stop_attempt(attempt, Outcome.TIMEOUT)

    def extend_timeout(self, server: Server, link: Link, message: Progress) -> None:
        """Extend the timeout of an attempt its server is working on, up to the end of the attempt."""
        attempt = server.attempts.get(message.call)
        if server.pending_timeout and attempt is not None and not attempt.stands and attempt.link is link:
            attempt.timeout_at = min(attempt.expires_at, self.shared.now + server.pending_timeout)
            self.shared.schedule(
                attempt.timeout_at, partial(self.expire_attempt, attempt.call.controller_id, attempt.index)
            )

    def cancel_attempt(self, action: api.Cancel) -> None:
        attempt = self._find_in_flight(action.call, action.attempt)
        if attempt is not None:
            self.stop_attempt(attempt, Outcome.CANCELLED)

    def _find_in_flight(self, controller_id: int, index: int) -> Attempt | None:
        """This attempt of an open call, if it is still in flight."""
        call = self.shared.calls_by_id.get(controller_id)
        attempt = call.attempt if call else None
        return attempt if attempt is not None and attempt.index == index and not attempt.stands else None

    # Connections to servers.

    on_first_link: Callable[[Server, Link], None]  # called when a server is connected for the first time

    def connect(self, server: Server, additional: bool = False) -> None:
        needed = additional or server.link is None
        if needed and not server.dialing and server.state is not ServerState.GONE:
            server.dialing = True
            self.shared.counters["dials"] += 1
            links.dial(
                server.address, self.shared.config.dial_timeout, self.shared.inbox, server, self.reader
            )

    def connect_after_jitter(self, server: Server) -> None:
        """Connect after a random delay, as all softswitches learn of a server at once; no call waits."""
        if server.link is None and not server.dialing and not server.redial_pending:
            server.redial_pending = True
            self.shared.schedule(
                self.shared.now + jitter.draw_dial_delay_us(self.random),
                partial(self._connect_scheduled, server),
            )

    def _connect_scheduled(self, server: Server) -> None:
        server.redial_pending = False
        self.connect(server)

    def on_link_opened(self, link: Link, server: Server) -> None:
        server.dialing = False
        if server.state is ServerState.GONE:
            return link.close()
        if server.link is not None:
            server.replaced_links.append(server.link)
            self.shared.counters["links_replaced"] += 1
        link.heard_at = self.shared.now
        if not server.linked_at:
            self.on_first_link(server, link)
        server.link, server.linked_at, server.link_lost, server.refusals = link, self.shared.now, False, 0
        waiting, server.waiting = server.waiting, []
        for attempt in waiting:
            self._send_set_up(attempt)
        self.retire_replaced_links(server)
        if server.replaced_links and self.shared.config.settings.may_probe:
            # An answer shows that the server is well and only the old connection is dead.
            self.probe_link(server, link)

    def retire_replaced_links(self, server: Server) -> None:
        """Close replaced connections with nothing in flight, and the oldest ones if there are too many."""
        links_in_use = {a.link for a in server.attempts.values() if not a.stands}
        while server.replaced_links and (
            len(server.replaced_links) >= MAX_LINKS - 1 or server.replaced_links[0] not in links_in_use
        ):
            link = server.replaced_links.pop(0)
            if link in links_in_use:
                link.finish()  # its attempts end when the end of the connection is received
            else:
                link.finish(keep_reading=True)
                self.linger(server, link)
        while (
            server.lingering_links and len(server.replaced_links) + len(server.lingering_links) >= MAX_LINKS
        ):
            server.lingering_links.pop(0).close()

    def linger(self, server: Server, link: Link) -> None:
        """Read a connection closed for writing for a while: releases of its calls may be on the way.

        The server sends them there until it notices the end, and only then on another connection.
        """
        server.lingering_links.append(link)
        self.shared.schedule(self.shared.now + LINGER_TIME, link.close)

    def on_dial_failed(self, failure: DialFailed) -> None:
        server: Server = failure.owner
        server.dialing = False
        self.shared.counters["dials_refused" if failure.refused else "dials_failed"] += 1
        self.fail_waiting(server)
        if server.link is not None:
            # A draining server refuses every additional connection: wait before the next one is tried.
            server.additional_dial_after = self.shared.now + MIN_REDIAL_DELAY
            # An additional connection failed. If it was refused, the machine is alive, and the open
            # connection shows that the process is too: a draining server takes no new connections and serves
            # its old ones.
            if not failure.refused and self.shared.now - server.link.heard_at > VANISHED_TIMEOUT:
                # Long silence, and no new connection comes up: the machine is lost, with the calls that stood
                # there. The bulletin may report it only once it is back, which is too late for the callers.
                self.shared.counters["servers_vanished"] += 1
                self.drop_process(server, self.shared.now, "silent, and a new connection failed")
            return
        server.refusals += failure.refused and server.link_lost
        if server.refusals == DEAD_AFTER_REFUSALS:
            # No process listens after the reset: it has died, and its calls with it. The bulletin reports
            # that only seconds later. One refusal is not enough: the last messages may still be on the way.
            self.cut_calls(server, self.shared.now, "reset, and refuses connections")
        self.schedule_redial(server)

    def fail_waiting(self, server: Server) -> None:
        """End the attempts that wait for a connection to this server: none of them was sent."""
        waiting, server.waiting = server.waiting, []
        for attempt in waiting:
            self.remove_attempt(attempt)
            self.route.report_end(
                attempt, Outcome.CONNECT_FAILED, call_over=attempt.call.call_id not in self.shared.open_calls
            )

    def schedule_redial(self, server: Server) -> None:
        """Connect again later; one timer for each server, however many set-ups asked for a connection."""
        if server.redial_pending:
            return
        server.redial_pending = True
        self.shared.schedule(self.shared.now + server.redial_after, partial(self._connect_scheduled, server))
        server.redial_after = min(2 * server.redial_after, MAX_REDIAL_DELAY)

    def on_link_closed(self, link: Link, server: Server) -> None:
        """End the attempts in flight on a closed connection; calls that stand do not depend on it."""
        if server.link is link:
            server.link, server.link_lost = None, True
        elif link in server.replaced_links:
            server.replaced_links.remove(link)
        elif link in server.lingering_links:
            server.lingering_links.remove(link)
        self._end_attempts_on(link, server, Outcome.RESET)
        if server.link is not None:
            return  # it was replaced: nothing is missing, and the backoff must not grow
        if self.shared.now - server.linked_at < SECOND:
            # A server that accepts and closes must not be dialled in a tight loop.
            return self.schedule_redial(server)
        server.redial_after = MIN_REDIAL_DELAY
        self.connect(server)

    def watch_attempts(self) -> None:
        """Check what is in flight: answers get lost, and connections die while their servers are well."""
        now = self.shared.now
        if now < self.next_watch_at:
            return  # an earlier check was scheduled since, and is done
        idle = True
        for server in [*self.shared.servers.values()]:
            # By connection: when its oldest set-up in flight was sent.
            oldest_sent: dict[Link | None, int] = {}
            for attempt in server.attempts.values():
                if not attempt.stands:
                    oldest_sent[attempt.link] = min(oldest_sent.get(attempt.link, now), attempt.sent_at)
            idle = idle and not oldest_sent and not server.replaced_links
            for link in [*server.replaced_links]:
                self.check_replaced_link(server, link, now - max(link.heard_at, oldest_sent.get(link, now)))
            if server.link is not None and server.attempts:
                self.check_current_link(server, server.link, oldest_sent.get(server.link, now))
        self.schedule_watch(now + (IDLE_WATCH_INTERVAL if idle else WATCH_INTERVAL))

    def schedule_watch(self, due: int) -> None:
        """Schedule the next check, at the latest for this time."""
        if not self.shared.now < self.next_watch_at <= due:
            self.next_watch_at = due
            self.shared.schedule(due, self.watch_attempts)

    def check_current_link(self, server: Server, link: Link, oldest_sent: int) -> None:
        """Probe a server where a set-up has been in flight for long; without any reply, try a new connection.

        The answer to the probe shows the controller what is lost. Without it the controller would learn of
        that from the next set-up that stands there, and a softswitch with few calls has none for half an aim.
        A dead connection loses the probe too, and an additional connection then shows whether the server is
        alive. Without probes that one is tried after half the shortest time in which a call is wanted.
        """
        now = self.shared.now
        silence = now - max(link.heard_at, oldest_sent)
        probe_after = max(int(PROBE_AFTER_FACTOR * server.smoothed_delay), MIN_PROBE_AFTER)
        if self.shared.config.settings.may_probe and now - max(oldest_sent, link.probed_at) > probe_after:
            self.probe_link(server, link)
        probe_unanswered = link.probed_at > link.heard_at and now - link.probed_at > max(
            server.smoothed_delay, MIN_PROBE_AFTER
        )
        is_silent = silence > self.shared.min_aim // 2 or now - link.heard_at > SILENCE_TIMEOUT
        if (
            is_silent or (probe_unanswered and silence > probe_after)
        ) and now >= server.additional_dial_after:
            self.connect(server, additional=True)

    def check_replaced_link(self, server: Server, link: Link, silence: int) -> None:
        """Close a replaced connection once its successor shows that it is dead.

        A processor works in order: an answer on the successor to something sent later means that only this
        connection is at fault. It ends as reset, since a time-out would mark a server that is well and may be
        the only one. If the successor has received anything at all, and the whole time in which a call is
        wanted has passed, what is in flight here has timed out.
        """
        if server.link is None:
            return
        overtaken = link.heard_at < link.probed_at <= server.linked_at - MIN_PROBE_AFTER
        if server.link.has_answered and (overtaken or silence > self.shared.min_aim // 2):
            self.break_off(server, link, Outcome.RESET)
        elif server.link.has_spoken and silence > self.shared.min_aim:
            self.break_off(server, link, Outcome.TIMEOUT)

    def break_off(self, server: Server, link: Link, outcome: Outcome) -> None:
        """Close a connection that will bring no more answers."""
        self.shared.counters["links_dumb"] += 1
        if link in server.replaced_links:
            server.replaced_links.remove(link)
        link.close(keep_reading=True)
        self.linger(server, link)
        self._end_attempts_on(link, server, outcome)

    def _end_attempts_on(self, link: Link, server: Server, outcome: Outcome) -> None:
        """End the attempts in flight on a connection. An answer that was on its way there is lost."""
        for attempt in [a for a in server.attempts.values() if a.link is link and not a.stands]:
            self.book.abandoned_ids.add(attempt.call.call_id)
            self.remove_attempt(attempt)
            self.route.report_end(
                attempt, outcome, call_over=attempt.call.call_id not in self.shared.open_calls
            )

    def drop_process(self, server: Server, cutoff: int, cause: str) -> None:
        """End the connections and calls of a server process that served until `cutoff` and is gone.

        The connections go first: what the controller sends to the successor when it hears of a cut call must
        not be sent on one of them.
        """
        stale_links = [*server.replaced_links]
        # A connection opened after the new process's start leads to that process already.
        if server.link and (server.state is ServerState.GONE or server.linked_at <= cutoff):
            stale_links.append(server.link)
        for link in stale_links:
            link.close()
            self.on_link_closed(link, server)
        if server.state is ServerState.GONE:
            self.fail_waiting(server)
        self.cut_calls(server, cutoff, cause)

    def cut_calls(self, server: Server, cutoff: int, cause: str) -> None:
        """End the calls and attempts of a server process that served until `cutoff` and is gone."""
        lost = [a for a in server.attempts.values() if a.sent_at <= cutoff and a not in server.waiting]
        if lost:
            log.warning(
                "server %s (%s): %s; %d calls affected", server.host, server.state.value, cause, len(lost)
            )
        for call_id in self.shared.inherited_calls.take_by_host(server.host):
            self.shared.counters["calls_cut"] += 1
            self.book.send_release(Release(call_id, Reason.INTERRUPTED), None)
        for attempt in lost:
            self.remove_attempt(attempt)
            if attempt.stands:
                self.shared.counters["calls_cut"] += 1
                self.book.send_release(Release(attempt.call.call_id, Reason.INTERRUPTED), attempt.call.caller)
            self.route.report_end(
                attempt, Outcome.RESET, call_over=attempt.call.call_id not in self.shared.open_calls
            )

    # Probes.

    def send_probe(self, action: api.Probe) -> None:
        server = self.shared.servers.get(action.server)
        if server is None or server.link is None:
            return
        self.probe_link(server, server.link)

    def probe_link(self, server: Server, link: Link) -> None:
        """Probe a server, within this softswitch's part of the rate of probes to all servers.

        Each probe is work for a processor that is late already: 200 softswitches that probe again and again,
        each for one slow set-up, would take more of it than the calls do.
        """
        settings, now = self.route.controller.settings, self.shared.now
        rate = PROBES_PER_SERVER * max(len(self.shared.servers), 1) / settings.proxies
        self.probe_tokens = min(
            MAX_SAVED_PROBES, self.probe_tokens + rate * (now - self.probe_tokens_at) / SECOND
        )
        self.probe_tokens_at = now
        if self.probe_tokens < 1:
            return
        probe_id = next(self.probe_ids)
        if link.send(Test(probe_id, probe=True)):
            self.probe_tokens -= 1
            link.probed_at = self.shared.now
            self.shared.counters["probes_sent"] += 1
            log.info("probing %s: nothing received for %d us", server.host, self.shared.now - link.heard_at)
            self.pending_probes[probe_id] = (server, self.shared.now)
            self.shared.schedule(self.shared.now + PROBE_TIMEOUT, lambda: self.expire_probe(probe_id))

    def expire_probe(self, probe_id: int) -> None:
        self.finish_probe(probe_id, None)

    def finish_probe(self, probe_id: int, load_report: Mapping[str, float] | None) -> bool:
        """End a probe: answered or, without a report, rejected or timed out. False if it is unknown."""
        server, sent_at = self.pending_probes.pop(probe_id, (None, 0))
        if server is None:
            return False
        log.info("%s: probe %s after %d us", server.host,
                 "rejected or timed out" if load_report is None else "answered",
                 self.shared.now - sent_at)  # fmt: skip
        report = self.route.convert_report(load_report or {})
        delay = (self.shared.now - sent_at) * NS_PER_US
        self.route.handle_event(api.ProbeAnswered(server.host, load_report is not None, delay, report))
        return True


class RelayStage:
    """Relays setup servers' messages about a call to its caller, and a caller's release to the server."""

    def __init__(self, shared: SharedState, route: RouteStage, send: SendStage, book: BookStage) -> None:
        self.shared, self.route, self.send, self.book = shared, route, send, book
        self.unknown_calls = UnknownCalls(shared, book)

    def relay_answer(self, server: Server, link: Link, message: Answer) -> None:
        attempt = server.attempts.get(message.call)
        if attempt is None or attempt.stands or self._is_stale(attempt, link):
            # An answer to a stopped attempt; the server has been sent a release.
            self.shared.counters["strays"] += 1
            return
        call = attempt.call
        attempt.stands = link.has_answered = True
        self.shared.recorder.call_stands(call.call_id)
        if not self.book.send_final_answer(call, message, "stands"):
            return
        self.shared.standing[call.call_id] = attempt
        delay = self.shared.now - attempt.sent_at
        log.info("%016x #%d stands at %s after %d us", call.call_id, attempt.index, server.host, delay)
        server.smoothed_delay += (delay - server.smoothed_delay) // 8
        self.route.handle_event(
            api.CallStands(call.controller_id, attempt.index, server.host, delay * NS_PER_US)
        )

    def relay_release(self, server: Server, link: Link, message: Release) -> None:
        link.send(ReleaseComplete(message.call))
        attempt = server.attempts.get(message.call)
        if attempt is None:
            if self.book.is_known(message.call):
                self.shared.counters["strays"] += 1  # repeated by the server, or the end of a stopped attempt
            elif self.shared.inherited_calls.take(message.call):
                self.book.send_release(Release(message.call, message.reason), None)
            else:
                self.unknown_calls.release_from_server(server, message)
            return
        if (not attempt.stands or link in server.lingering_links) and self._is_stale(attempt, link):
            self.shared.counters["strays"] += 1
            return
        self.send.remove_attempt(attempt)
        if attempt.stands:
            self.book.send_release(Release(message.call, message.reason), attempt.call.caller)
            outcome = Outcome.ENDED if message.reason is Reason.CLEARED else Outcome.RESET
            return self.route.report_end(attempt, outcome, True, message)
        outcome = SERVER_OUTCOMES.get(message.reason, Outcome.ERROR)
        self.route.report_end(attempt, outcome, attempt.call.call_id not in self.shared.open_calls, message)

    def _is_stale(self, attempt: Attempt, link: Link) -> bool:
        """Whether a message is about an earlier attempt of the call at this server, on a connection replaced
        since: messages about the current attempt come on its own connection while that is open."""
        return attempt.link is None or (attempt.link is not link and not attempt.link.closed)

    def relay_caller_release(self, link: Link, message: Release) -> bool:
        """Pass a caller's release of a call that stands to its server; False if no such call is known."""
        attempt = self.shared.standing.get(message.call)
        if attempt is None:
            if (host := self.shared.inherited_calls.take(message.call)) is not None:
                self._release_at(host, message)
            elif not self.book.is_known(message.call):
                self.unknown_calls.release_from_caller(link, message)
            return False
        self.send.remove_attempt(attempt)
        self.shared.recorder.call_ended(message.call)
        self.book.record_ended_call(message.call)
        self.shared.counters["calls_hung_up"] += 1
        server_link = attempt.server.link or attempt.link
        if server_link is not None:
            server_link.send(Release(message.call, message.reason))
        self.route.report_end(attempt, Outcome.CANCELLED, True)
        return True

    def _release_at(self, host: str, message: Release) -> None:
        """Pass a caller's release on to the server where an inherited call stands."""
        self.book.record_ended_call(message.call)
        self.shared.recorder.call_ended(message.call)
        server = self.shared.servers.get(host)
        if server is not None and server.link is not None:
            server.link.send(Release(message.call, message.reason))


class AdmitStage:
    """Admission: turns a call away if the softswitch itself is full or drained, else asks the controller."""

    def __init__(self, shared: SharedState, route: RouteStage, book: BookStage) -> None:
        self.shared, self.route, self.book = shared, route, book

    def admit_call(self, call: Call) -> None:
        shared = self.shared
        refusing = self.is_refusing()
        full = (
            len(shared.open_calls) > shared.config.max_open
            or shared.held_bytes > shared.config.max_held_bytes
        )
        if refusing or full:
            # Say when to come back, where callers understand that: an immediate retry would not help them.
            settings = shared.config.settings
            retry_after_ms = settings.max_retry_after // (NS_PER_US * MS) if settings.heeds_retry_after else 0
            refusal = Release(call.call_id, Reason.CONGESTED, stay_away_ms=retry_after_ms)
            self.book.send_final_answer(call, refusal, "turned_away")
        elif self.analyse_number is not None:
            self.analyse_number(call)
        else:
            self.proceed(call)

    def proceed(self, call: Call, candidates: tuple[int, ...] = ()) -> None:
        """Pass a call to the controller, with the candidate servers if its number was analysed."""
        self.route.handle_event(
            api.NewCall(
                call=call.controller_id,
                klass=call.klass,
                max_wait=(call.deadline - self.shared.now) * NS_PER_US,
                first_choice=candidates[0] if candidates else call.set_up.first_choice,
                repeat=call.set_up.repeat,
                candidates=candidates,
                tenant=call.tenant,
                callee=call.set_up.number,
                advised_server=call.set_up.advised_server,
            )
        )

    def reject_number(self, call: Call, reason: Reason) -> None:
        """End a call whose number has no route: nothing was sent, and a retry would change nothing."""
        self._end_call(call, Release(call.call_id, reason), "no_route")

    def refuse_call(self, action: api.Refuse) -> None:
        call = self.shared.calls_by_id.get(action.call)
        if call is not None:
            retry_after_ms = -(-action.retry_after // (NS_PER_US * MS))
            self._end_call(
                call, Release(call.call_id, Reason.CONGESTED, stay_away_ms=retry_after_ms), "refused"
            )

    def fail_call(self, action: api.Fail) -> None:
        call = self.shared.calls_by_id.get(action.call)
        if call is not None:
            self._end_call(call, Release(call.call_id, Reason.FAILED), "failed")

    def _end_call(self, call: Call, message: Release, kind: str) -> None:
        attempt = call.attempt
        self.book.send_final_answer(call, message, kind)
        if attempt is not None and not attempt.stands:
            timed_out = self.shared.now >= attempt.timeout_at
            self.stop_attempt(attempt, Outcome.TIMEOUT if timed_out else Outcome.CANCELLED)

    stop_attempt: Callable[[Attempt, Outcome], None]
    is_refusing: Callable[[], bool]  # whether new calls are turned away: drained, or about to stop
    analyse_number: Callable[[Call], None] | None = None  # number analysis, if it is on


class TakeInStage:
    """First stage: callers' messages. A set-up becomes a call here, or is rejected as malformed."""

    def __init__(
        self,
        shared: SharedState,
        route: RouteStage,
        admit: AdmitStage,
        send: SendStage,
        relay: RelayStage,
        book: BookStage,
    ) -> None:
        self.shared, self.route, self.admit = shared, route, admit
        self.send, self.relay, self.book = send, relay, book
        self.controller_ids = itertools.count(1)

    def take_set_up(self, link: Link, message: SetUp, received_at: int) -> None:
        """Take in a set-up that was complete at `received_at`: its caller's wait counts from then on."""
        shared = self.shared
        shared.counters["taken_in"] += 1
        call = shared.open_calls.get(message.call)
        if call is not None and call.caller is not link and call.set_up == message:
            # Sent again since its connection was closed: the answer goes to the caller's current connection.
            call.caller.calls.pop(call.call_id, None)
            call.caller = link
            link.calls[call.call_id] = call
            shared.counters["set_ups_repeated"] += 1
            return
        klass = shared.config.classes.get(message.klass)
        error = self.find_error(message, klass)
        if error or klass is None:
            return self.reject_set_up(link, message, error)
        deadline = max(received_at + message.wait_ms * MS - ANSWER_MARGIN, shared.now + MS)
        tenant = shared.config.tenants.get(message.tenant, -1)
        if ignored := message.ignored_fields + (tenant < 0 and message.tenant != ""):
            shared.counters["set_up_fields_passed_over"] += ignored
        call = Call(next(self.controller_ids), message.call, message, klass, link, deadline, tenant)
        shared.open_calls[call.call_id] = shared.calls_by_id[call.controller_id] = link.calls[
            call.call_id
        ] = call
        shared.held_bytes += len(message.description)
        shared.recorder.call_taken(call.call_id)
        try:
            self.admit.admit_call(call)
        finally:
            # Only if it is still open: thousands refused at once must not leave a timer each.
            if call.controller_id in shared.calls_by_id:
                shared.schedule(
                    deadline + ANSWER_MARGIN // 2, partial(self.answer_overdue, call.controller_id)
                )

    def find_error(self, message: SetUp, klass: int | None) -> str:
        """What is wrong with a set-up; empty if nothing is. One that no server could use must reach none: it
        would be answered with an error or, if unreadable, by closing the connection all others share."""
        shared, config = self.shared, self.shared.config
        if not message.call:
            return "missing call id"
        in_use = (
            message.call in shared.open_calls
            or message.call in shared.standing
            or message.call in shared.inherited_calls
        )
        if in_use or self.book.was_answered(message.call):
            return "call id already in use"  # must not be answered for another's call, nor twice for this one
        if klass is None:
            return "unknown class"
        # Callers round up, and clocks drift: a wait somewhat over the longest is still accepted.
        if not 0 < message.wait_ms * MS <= 2 * config.max_waits[klass]:
            return "wait out of range"
        if not 0 < len(message.number) <= MAX_NUMBER_LENGTH or not message.description:
            return "empty number, number too long, or empty description"
        allowed = config.settings.classes[klass].allowed
        if message.first_choice != -1 and allowed is not None and message.first_choice not in allowed:
            return "first choice not allowed for its class"
        if not 0 < message.width <= config.max_widths[klass]:
            return "width out of range"
        return ""

    def reject_set_up(self, link: Link, message: SetUp, error: str) -> None:
        """Answer a malformed set-up, and close its connection unless other calls wait on it.

        A caller that sends two set-ups with one id would get two answers for it: its connection is closed at
        once.
        """
        log.info("rejected malformed set-up: %s", error)
        self.shared.counters["answered_malformed"] += 1
        if message.klass in self.shared.config.classes:
            self.shared.result_counts.count_result(self.shared.config.classes[message.klass], "malformed")
        if message.call in link.calls:
            self.close_link(link)
            return
        link.send(Release(message.call, Reason.MALFORMED))
        if not link.calls:
            link.is_closing = True
            link.finish()

    def close_link(self, link: Link) -> None:
        """Close a caller's connection from this side: what still arrives on it is not taken in."""
        link.is_closing = True
        link.close()

    def evict_caller_links(self) -> None:
        """Close some callers' connections without a call before connections run out.

        Idle ones go first (silent since they were opened, then unused for long), and an eighth of the limit
        at once, since hundreds of callers arrive together. Only then, and no more than necessary, recent
        ones: a table full of callers that called once and stayed would keep all others out. A connection with
        unread input is spared, as its set-up would be lost. A set-up that crosses such a close is sent again.
        """
        shared = self.shared
        idle_links: list[Link] = []
        other_links: list[Link] = []
        count = 0
        for link in shared.caller_links:
            if not link.is_closing:
                count += 1
                if not link.calls:
                    min_idle = EVICTABLE_IDLE if link in shared.calling_links else NEW_LINK_GRACE
                    (idle_links if shared.now - link.heard_at >= min_idle else other_links).append(link)
        for candidates, spare_room in ((idle_links, shared.caller_limit // 8), (other_links, 0)):
            candidates.sort(key=lambda link: (link in shared.calling_links, link.heard_at))
            for link in candidates:
                if count <= shared.caller_limit - spare_room:
                    break
                if not link.has_unread():
                    count -= 1
                    shared.counters["callers_closed_for_room"] += 1
                    self.close_link(link)

    def answer_overdue(self, controller_id: int) -> None:
        """Fail a call whose deadline has passed, whatever the controller does: each is answered in time."""
        call = self.shared.calls_by_id.get(controller_id)
        if call is not None:
            self.shared.counters["overdue"] += 1
            attempt = call.attempt
            self.book.send_final_answer(call, Release(call.call_id, Reason.FAILED), "failed")
            self.route.handle_event(api.CallerLeft(call.controller_id))
            if attempt is not None:
                self.send.stop_attempt(attempt, Outcome.TIMEOUT)

    def take_release(self, link: Link, message: Release) -> None:
        link.send(ReleaseComplete(message.call))
        call = self.shared.open_calls.get(message.call)
        if call is not None and call.caller is link:
            return self.caller_left(call)
        if call is not None or not self.relay.relay_caller_release(link, message):
            self.shared.counters["strays"] += 1

    def caller_left(self, call: Call) -> None:
        attempt = call.attempt
        self.book.close_unanswered(call)
        self.route.handle_event(api.CallerLeft(call.controller_id))
        if attempt is not None and not attempt.stands:
            self.send.stop_attempt(attempt, Outcome.CANCELLED)

    def answer_test(self, link: Link, message: Test) -> None:
        shared = self.shared
        link.send(TestResult(message.call, shared.list_known and shared.mode.state is State.SERVING))

    def on_link_closed(self, link: Link) -> None:
        self.shared.caller_links.pop(link, None)
        self.shared.calling_links.pop(link, None)
        for call in list(link.calls.values()):
            self.caller_left(call)
        self.book.resend_unconfirmed(link)


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
        self.send = SendStage(shared, self.route, self.book)
        self.relay = RelayStage(shared, self.route, self.send, self.book)
        self.send.on_first_link = self.relay.unknown_calls.on_first_link
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
            api.Probe: self.send.send_probe,
            api.Message: lambda action: None,  # softswitches exchange no messages
            api.FollowList: lambda action: None,  # the bulletin client follows the list anyhow
        }
        self.caller_slots = threading.Semaphore(shared.caller_limit + SPARE_CALLER_LINKS)
        self.listener = links.Listener(
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
        self.send.reader.start()
        self.send.watch_attempts()
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
                link.has_spoken = True
                if not link.is_closing:
                    link.heard_at = self.shared.now
                if isinstance(link.owner, Server):
                    self.handle_server_message(link.owner, link, message)
                else:
                    self.handle_caller_message(link, message, received_at)
            case Opened(link=link) if isinstance(link.owner, Server):
                self.send.on_link_opened(link, link.owner)
            case Opened(link=link):
                link.heard_at = self.shared.now
                self.shared.caller_links[link] = None
                if len(self.shared.caller_links) > self.shared.caller_limit:
                    self.take_in.evict_caller_links()
            case Closed(link=link, malformed=malformed):
                link.closed = True
                self.shared.counters["malformed"] += malformed
                if isinstance(link.owner, Server):
                    self.send.on_link_closed(link, link.owner)
                else:
                    self.take_in.on_link_closed(link)
            case DialFailed():
                self.send.on_dial_failed(item)
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
        match message:
            case Answer():
                self.relay.relay_answer(server, link, message)
            case Release():
                self.relay.relay_release(server, link, message)
            case TestResult(call=probe_id, passed=False):
                # Rejected: a processor probed by hundreds answers so at once, ahead of its queue, which says
                # nothing of what waits there.
                self.send.finish_probe(probe_id, None)
            case (
                GroupState(call=probe_id, report=load_report) | TestResult(call=probe_id, report=load_report)
            ):
                if self.send.finish_probe(probe_id, load_report):
                    link.has_answered = True
                elif load_report:
                    report = self.route.convert_report(load_report)
                    self.route.handle_event(api.ProbeAnswered(server.host, True, 0, report))
            case Progress():
                self.send.extend_timeout(server, link, message)
            case SetUp() | Test():
                self.shared.counters["malformed"] += 1  # a message that only callers send
                link.close()

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
            cause = "gone" if server.state is ServerState.GONE else "restarted"
            self.send.drop_process(server, cutoff, cause)
        for server in shared.servers.values():
            self.send.connect_after_jitter(server)
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
        open_links = [*self.shared.caller_links, *(s.link for s in self.shared.servers.values() if s.link)]
        for link in open_links:
            link.finish()
        deadline = time.monotonic() + 0.1  # a peer that does not read must not delay the end
        while time.monotonic() < deadline and not all(link.is_drained() for link in open_links):
            time.sleep(0.002)

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
