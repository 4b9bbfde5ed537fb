"""The stage that sends set-ups to setup servers, and the end of each attempt.

This file must never choose a server: the controller does. Times are microseconds.
"""

from __future__ import annotations

import logging
from functools import partial

from wickstep import interface as api
from wickstep.interface import Outcome, ServerState
from wickstep.net import (
    Progress,
    Reason,
    Release,
    SetUp,
)
from wickstep.net.book import BookStage
from wickstep.net.links import Link
from wickstep.net.route import RouteStage
from wickstep.net.server_connections import ServerConnections
from wickstep.net.state import Attempt, Call, Server, SharedState, log
from wickstep.net.units import MS, NS_PER_US
from wickstep.spread.reasons import SendReason, classify_send


class SendStage:
    """Attempts to set up calls at servers: sent, stopped, timed out, or ended with their connection."""

    def __init__(
        self, shared: SharedState, route: RouteStage, book: BookStage, connections: ServerConnections
    ) -> None:
        self.shared, self.route, self.book, self.connections = shared, route, book, connections
        connections.attempts = self

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
            sent_to=action.server,
        )
        call.attempt_count += 1
        if (
            server is None
            or call.attempt is not None
            or call.attempt_count > self.shared.config.settings.max_attempts
        ):
            return self.route.report_end(attempt, Outcome.MOOT, call_over=False)
        call.attempt = server.attempts[call.call_id] = attempt
        self.connections.watch_soon()
        # By id, like every timer of a call: a timer that held the call would keep its description, of up to
        # 16 KiB, until the deadline, long after a refusal.
        self.shared.schedule(
            attempt.timeout_at, partial(self.expire_attempt, call.controller_id, attempt.index)
        )
        self.send_set_up(attempt)
        if attempt in server.held or attempt.awaits is not None:
            self.shared.counters["attempts_held"] += 1

    def send_set_up(self, attempt: Attempt) -> None:
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
        if self._must_await_release(attempt):
            return
        wait_ms = max((attempt.expires_at - self.shared.now) // MS, 1)
        forwarded = SetUp(
            call.call_id, call.set_up.klass, wait_ms, call.set_up.number, call.set_up.description
        )
        if server.link is not None:
            if not server.releases.precede_set_up(call.call_id, server.link, self.shared.now):
                server.held.append(attempt)
                return
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
        self.connections.connect(server)

    def send_held(self, server: Server) -> None:
        """Send the attempts that need not wait any longer for the end of an earlier one of their call."""
        held, server.held = server.held, []
        for attempt in held:
            self._send_after_wait(attempt)

    def _send_after_wait(self, attempt: Attempt) -> None:
        """Send an attempt that waited for the end of an earlier one: its time counts from now on."""
        self.send_set_up(attempt)
        if attempt.link is not None:
            attempt.sent_at = self.shared.now

    def _must_await_release(self, attempt: Attempt) -> bool:
        """Whether an earlier attempt may stand at another server, which has yet to receive its release.

        At the same server the release goes ahead of the set-up, on the same connection.
        """
        call = attempt.call
        server = call.may_stand_at
        if server is None or server is attempt.server or self._is_release_received(call, server):
            return False
        attempt.awaits = server
        server.awaiting_release.append(attempt)
        self.shared.schedule(call.may_stand_until, partial(self.send_awaiting, server))
        return True

    def _is_release_received(self, call: Call, server: Server) -> bool:
        """Whether this server has received the release of a call, or the time to wait for that is over."""
        return call.call_id not in server.releases or self.shared.now >= call.may_stand_until

    def send_awaiting(self, server: Server) -> None:
        """Send the attempts elsewhere that need not wait for a release at this server any longer."""
        for attempt in [*server.awaiting_release]:
            if self._is_release_received(attempt.call, server):
                server.awaiting_release.remove(attempt)
                attempt.call.may_stand_at = attempt.awaits = None
                self._send_after_wait(attempt)

    def end_release_waits(self, server: Server) -> None:
        """No connection to this server comes up: attempts elsewhere wait no longer for its release."""
        for attempt in server.awaiting_release:
            attempt.call.may_stand_until = self.shared.now
        self.send_awaiting(server)

    def send_waiting(self, server: Server) -> None:
        """Send the attempts that waited for a connection."""
        waiting, server.waiting = server.waiting, []
        for attempt in waiting:
            self.send_set_up(attempt)
        self.send_held(server)  # those whose release has gone to the connection before

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
        unsent_lists = [attempt.server.waiting, attempt.server.held]
        if attempt.awaits is not None:
            unsent_lists.append(attempt.awaits.awaiting_release)
        for unsent in unsent_lists:
            if attempt in unsent:
                unsent.remove(attempt)
        if attempt.call.attempt is attempt:
            attempt.call.attempt = None
        if attempt.link in attempt.server.replaced_links:
            self.connections.retire_replaced_links(attempt.server)

    def stop_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop an attempt that is in flight, and release it towards its server."""
        server, link = attempt.server, attempt.link
        if link is not None and not link.withdraw(attempt.call.call_id):
            server.releases.take_back(attempt.call.call_id, link, attempt.sent_at, self.shared.now)
            self.connections.suspect_if_silent(server, link, attempt.sent_at)
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

    def fail_waiting(self, server: Server) -> None:
        """End the attempts that wait for a connection to this server: none of them was sent."""
        waiting = [*server.waiting] if server.link is not None else [*server.waiting, *server.held]
        for attempt in waiting:
            self.remove_attempt(attempt)
            self.route.report_end(
                attempt, Outcome.CONNECT_FAILED, call_over=attempt.call.call_id not in self.shared.open_calls
            )

    def end_attempts_on(
        self, link: Link, server: Server, outcome: Outcome, may_stand: bool, is_reachable: bool
    ) -> None:
        """End the attempts in flight on a connection. An answer that was on its way there is lost.

        If they may stand at their server, it is sent their releases on another connection; if the server is
        reachable there, no further attempt of their calls is sent elsewhere before it has received them.
        """
        for attempt in [a for a in server.attempts.values() if a.link is link and not a.stands]:
            call = attempt.call
            self.book.abandoned_ids.add(call.call_id)
            self.remove_attempt(attempt)
            if may_stand:
                server.release_call(Release(call.call_id, Reason.CLEARED), self.shared.now)
            if may_stand and is_reachable:
                call.may_stand_at = server
                call.may_stand_until = self.shared.now + self.shared.min_aim // 2
            self.route.report_end(attempt, outcome, call_over=call.call_id not in self.shared.open_calls)

    def release_standing_calls(self, server: Server) -> None:
        """Release what stands on the present connection, before it is closed since its server is gone.

        If it is open at the other end, another process may have the address that the list does not tell yet.
        """
        for attempt in server.attempts.values():
            if attempt.stands and attempt.link is not None and attempt.link is server.link:
                attempt.link.send(Release(attempt.call.call_id, Reason.CLEARED))

    def cut_calls(self, server: Server, cutoff: int, cause: str, process_ended: bool) -> None:
        """End the calls and attempts of a server process that served until `cutoff` and is gone.

        If it was only cut off it is told of their end, should it come back.
        """
        lost = [a for a in server.attempts.values() if a.link is not None and a.sent_at <= cutoff]
        if lost:
            log.warning(
                "server %s (%s): %s; %d calls affected", server.host, server.state.value, cause, len(lost)
            )
        for call_id in self.shared.inherited_calls.take_by_host(server.host):
            self.shared.counters["calls_cut"] += 1
            self.book.send_release(Release(call_id, Reason.INTERRUPTED), None)
            if not process_ended:
                server.release_call(Release(call_id, Reason.CLEARED), self.shared.now)
        for attempt in lost:
            self.remove_attempt(attempt)
            if not process_ended:
                server.release_call(Release(attempt.call.call_id, Reason.CLEARED), self.shared.now)
            if attempt.stands:
                self.shared.counters["calls_cut"] += 1
                self.book.send_release(Release(attempt.call.call_id, Reason.INTERRUPTED), attempt.call.caller)
            self.route.report_end(
                attempt, Outcome.RESET, call_over=attempt.call.call_id not in self.shared.open_calls
            )
