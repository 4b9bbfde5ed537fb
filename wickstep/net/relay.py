"""The stage that passes on what ends a call: setup servers' messages to its caller, a caller's to its server.

This file owns the transition from an attempt in flight to a call that stands, and to its end.
"""

from __future__ import annotations

from wickstep import interface as api
from wickstep.interface import Outcome
from wickstep.net import (
    Answer,
    Reason,
    Release,
    ReleaseComplete,
    codec,
)
from wickstep.net.book import BookStage
from wickstep.net.links import Link, LinkEnd
from wickstep.net.route import RouteStage
from wickstep.net.send import SendStage
from wickstep.net.state import Attempt, Server, SharedState, log
from wickstep.net.units import NS_PER_US
from wickstep.net.unknown_calls import UnknownCalls

SERVER_OUTCOMES = {
    Reason.FULL: Outcome.FULL,
    Reason.BUSY: Outcome.ERROR,
    Reason.FAULT: Outcome.ERROR,
    Reason.MOOT: Outcome.MOOT,
    Reason.INTERRUPTED: Outcome.RESET,
}


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
        if codec.holds_message(message.description, server.attempts):
            return self._close_spoilt_link(server, link)
        call = attempt.call
        attempt.stands = link.has_answered = True
        self.shared.recorder.call_stands(call.call_id)
        if not self.book.send_final_answer(call, message, "stands"):
            return
        self.shared.standing[call.call_id] = attempt
        link.answered_until = max(link.answered_until, attempt.sent_at)
        server.releases.confirm_before(link, attempt.sent_at)
        delay = self.shared.now - attempt.sent_at
        log.info("%016x #%d stands at %s after %d us", call.call_id, attempt.index, server.host, delay)
        server.smoothed_delay += (delay - server.smoothed_delay) // 8
        self.route.handle_event(
            api.CallStands(call.controller_id, attempt.index, attempt.sent_to, delay * NS_PER_US)
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
        if attempt in server.held and message.reason is Reason.CLEARED:
            self.send.remove_attempt(attempt)
            return self._end_unanswered_call(attempt, message)  # the earlier attempt had been answered
        is_older_link = link in server.lingering_links and link.precedes(attempt.link)
        if (not attempt.stands or is_older_link) and self._is_stale(attempt, link):
            self.shared.counters["strays"] += 1
            return
        self.send.remove_attempt(attempt)
        if not attempt.stands:
            server.releases.confirm_before(link, attempt.sent_at)
        if attempt.stands:
            self.book.send_release(Release(message.call, message.reason), attempt.call.caller)
            outcome = Outcome.ENDED if message.reason is Reason.CLEARED else Outcome.RESET
            return self.route.report_end(attempt, outcome, True, message)
        if message.reason is Reason.CLEARED:
            return self._end_unanswered_call(attempt, message)
        outcome = SERVER_OUTCOMES.get(message.reason, Outcome.ERROR)
        self.route.report_end(attempt, outcome, attempt.call.call_id not in self.shared.open_calls, message)

    def _end_unanswered_call(self, attempt: Attempt, message: Release) -> None:
        """End a call that stood at its server and is over there, though its answer never arrived.

        It must not be sent again: it would run a second time.
        """
        call = attempt.call
        if attempt.index and attempt.link is not None:
            # It may be an earlier attempt that was answered, and this one is on its way.
            attempt.server.releases.take_back(call.call_id, attempt.link, attempt.sent_at, self.shared.now)
        self.shared.counters["answers_lost"] += 1
        self.book.send_final_answer(call, Release(call.call_id, Reason.FAILED), "failed")
        self.route.report_end(attempt, Outcome.ENDED, True, message)

    def _close_spoilt_link(self, server: Server, link: Link) -> None:
        """Close a connection on which messages cannot be told apart any more; its attempts end with it."""
        log.warning("%s: closing a connection: expected a whole answer, got one cut short", server.host)
        self.shared.counters["malformed"] += 1
        link.is_closing, link.end = True, LinkEnd.SPOILT
        link.close()

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
        attempt.server.release_call(Release(message.call, message.reason), self.shared.now, attempt.link)
        self.route.report_end(attempt, Outcome.CANCELLED, True)
        return True

    def _release_at(self, host: str, message: Release) -> None:
        """Pass a caller's release on to the server where an inherited call stands."""
        self.book.record_ended_call(message.call)
        self.shared.recorder.call_ended(message.call)
        server = self.shared.servers.get(host)
        if server is not None:
            server.release_call(Release(message.call, message.reason), self.shared.now)
