"""The first stage: callers' messages. A set-up becomes a call here, or is rejected as malformed.

This file owns callers' connections: which one is closed to make room, and what its end means for its calls.
"""

from __future__ import annotations

import itertools
from functools import partial

from wickstep import interface as api
from wickstep.interface import Outcome
from wickstep.net import (
    Reason,
    Release,
    ReleaseComplete,
    SetUp,
    Test,
    TestResult,
)
from wickstep.net.admit import AdmitStage
from wickstep.net.book import BookStage
from wickstep.net.links import Link
from wickstep.net.relay import RelayStage
from wickstep.net.route import RouteStage
from wickstep.net.send import SendStage
from wickstep.net.state import Call, SharedState, log
from wickstep.net.units import MS
from wickstep.operation.mode import State

# A call is failed this long before its caller gives up: otherwise the answer and the caller's release would
# cross.
ANSWER_MARGIN = 10 * MS
MAX_NUMBER_LENGTH = 255  # characters of a called number, which is kept in memory as long as its call
# Callers close an idle connection after 4 s. One that has been idle for longer than this is evicted first
# when connections run out.
EVICTABLE_IDLE = 4200 * MS
# Callers speak as soon as they are connected: a connection that never carried a call is evicted even before
# those if it has been silent for this long.
NEW_LINK_GRACE = 500 * MS


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
        if message.call in shared.unrepeatable_ids:
            return self.fail_repeated_set_up(link, message, klass)
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

    def fail_repeated_set_up(self, link: Link, message: SetUp, klass: int) -> None:
        """Fail a set-up whose call may have run before, before its caller left, and must not run again.

        It is not refused: that would tell the caller that nothing has run.
        """
        self.book.count_answer(klass, "failed")
        self.shared.counters["set_ups_not_run_again"] += 1
        log.info("%016x failed: it may have run before, and its class forbids a second run", message.call)
        self.book.record_ended_call(message.call)
        link.send(Release(message.call, Reason.FAILED))

    def reject_set_up(self, link: Link, message: SetUp, error: str) -> None:
        """Answer a malformed set-up, and close its connection unless other calls wait on it.

        A caller that sends two set-ups with one id would get two answers for it: its connection is closed at
        once.
        """
        log.info("rejected malformed set-up: %s", error)
        self.book.count_answer(self.shared.config.classes.get(message.klass), "malformed")
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
