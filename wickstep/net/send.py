"""The stage that sends set-ups to setup servers, and the life of the connections that they need.

This file owns when a connection to a server is opened, suspected, replaced and closed, and the end of each
attempt. It must never choose a server: the controller does. Times are microseconds.
"""

from __future__ import annotations

import itertools
import logging
import random
from collections.abc import Callable, Mapping
from functools import partial

from wickstep import interface as api
from wickstep.interface import Outcome, ServerState
from wickstep.net import (
    Progress,
    Reason,
    Release,
    SetUp,
    Test,
    links,
)
from wickstep.net.book import BookStage
from wickstep.net.links import DialFailed, Link
from wickstep.net.route import RouteStage
from wickstep.net.state import MIN_REDIAL_DELAY, Attempt, Server, SharedState, log
from wickstep.net.units import MS, NS_PER_US, SECOND
from wickstep.recovery import jitter
from wickstep.spread.reasons import SendReason, classify_send

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
        while server.owed_releases:
            link.send(server.owed_releases.popleft())
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
        server.owed_releases.clear()
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
