"""The stage that answers callers: one final answer for each call, and the releases of calls that stood.

This file owns the memory of ended calls and the releases that callers have not confirmed. It must never
answer a call twice.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import replace

from wickstep.net import Answer, Release
from wickstep.net.call_ids import CallIdCache
from wickstep.net.links import Link
from wickstep.net.state import PAST_IDS_DIVISOR, Call, SharedState, log
from wickstep.net.units import SECOND

# The id of an ended call is kept for this long, to tell a repeated message from one about an unknown call.
ENDED_CALL_RETENTION = 60 * SECOND
MAX_PENDING_RELEASES = 1000  # releases kept for a connection that confirms none, and while none is open


class BookStage:
    """Last stage: the single final answer of each call, releases towards callers, and the counters."""

    def __init__(self, shared: SharedState) -> None:
        self.shared = shared
        # By id: when it ended, and whether it was answered.
        self.ended_calls: OrderedDict[int, tuple[int, bool]] = OrderedDict()
        self.past_ids = CallIdCache(shared.config.max_past_ids)  # of calls taken in or released here
        # Of calls with an attempt that ended without its server's word: some stand there, and end later.
        self.abandoned_ids = CallIdCache(shared.config.max_past_ids // PAST_IDS_DIVISOR)
        # Called when a call is no longer open.
        self.on_call_closed: Callable[[int], None] = lambda controller_id: None
        # Releases for which no connection was open, each with the peer id of its caller.
        self.undelivered: deque[tuple[str, Release]] = deque(maxlen=MAX_PENDING_RELEASES)
        self.on_caller_connected: Callable[[], None] = lambda: None  # the first calls come on a connection

    def send_final_answer(self, call: Call, message: Answer | Release, kind: str) -> bool:
        """Send the final answer of a call; False if it has had one already."""
        if not self._close_call(call):
            return False
        self.count_answer(call.klass, kind)
        log.info("%016x answered: %s", call.call_id, kind)
        if isinstance(message, Answer):
            call.caller.had_call = True
        else:
            self.record_ended_call(call.call_id)
        if not call.caller.send(message):
            self.shared.counters["answers_undeliverable"] += 1
        return True

    def count_answer(self, klass: int | None, kind: str) -> None:
        """Count a final answer to a set-up; `klass` is None if its class is not known."""
        self.shared.counters[f"answered_{kind}"] += 1
        if klass is not None:
            self.shared.result_counts.count_result(klass, kind)

    def close_unanswered(self, call: Call) -> None:
        """Close a call whose caller has left: no answer is owed."""
        if self._close_call(call):
            self.shared.counters["callers_left"] += 1
            # The caller may set it up again if its connection was closed.
            self.record_ended_call(call.call_id, answered=False)

    def _close_call(self, call: Call) -> bool:
        """Remove a call from the tables of open calls; False if it is in none of them."""
        if self.shared.open_calls.pop(call.call_id, None) is None:
            return False
        self.shared.calls_by_id.pop(call.controller_id, None)
        self.past_ids.add(call.call_id)
        if call.attempt is None or not call.attempt.stands:
            self.shared.recorder.call_ended(call.call_id)
        self.on_call_closed(call.controller_id)
        call.caller.calls.pop(call.call_id, None)
        self.shared.held_bytes -= len(call.set_up.description)
        # Not needed any more, and the call may stand for long.
        call.set_up = replace(call.set_up, description=b"")
        return True

    def send_release(self, release: Release, caller: Link | None, peer_id: str = "") -> None:
        """Release a call that stood, on its caller's connection or another from the same peer."""
        self.record_ended_call(release.call)
        self.past_ids.add(release.call)
        peer_id = caller.peer_id if caller is not None else peer_id
        for link in self._candidate_links(caller, peer_id):
            if link.is_closing:
                continue
            if not link.closed and link.send(release):
                # Written does not mean received: the caller may be closing this connection right now.
                link.unconfirmed[release.call] = release
                link.heard_at = self.shared.now  # counts as used
                if len(link.unconfirmed) > MAX_PENDING_RELEASES:
                    del link.unconfirmed[next(iter(link.unconfirmed))]
                self.shared.counters["releases_sent"] += 1
                return
        self.undelivered.append((peer_id, release))

    def _candidate_links(self, caller: Link | None, peer_id: str) -> Iterator[Link]:
        """Connections on which a release may be sent: the caller's own first, and rarely any after it."""
        if caller is not None:
            yield caller
        # A connection that never carried a call may not read releases, so those that had a call come first.
        others = [link for link in reversed(self.shared.calling_links) if link.peer_id == peer_id]
        others.sort(key=lambda link: not link.had_call)
        yield from others

    def mark_calling(self, link: Link) -> None:
        """Note that calls come on a connection, and send the releases for which none was open."""
        if link in self.shared.calling_links:
            return
        self.shared.calling_links[link] = None
        for _ in range(len(self.undelivered)):
            peer_id, release = self.undelivered.popleft()
            self.send_release(release, link if link.peer_id == peer_id else None, peer_id)
        self.on_caller_connected()

    def has_open_caller(self) -> bool:
        """Whether there is a connection on which releases may be sent."""
        return any(not link.is_closing for link in self.shared.calling_links)

    def resend_unconfirmed(self, link: Link) -> None:
        """Send releases again that a connection has not confirmed before its end."""
        unconfirmed, link.unconfirmed = link.unconfirmed, {}
        for release in unconfirmed.values():
            self.shared.counters["releases_sent_again"] += 1
            self.send_release(release, None, link.peer_id)

    def record_ended_call(self, call_id: int, answered: bool = True) -> None:
        now = self.shared.now
        self.ended_calls[call_id] = (now, answered)
        self.ended_calls.move_to_end(call_id)
        max_ended = self.shared.config.max_ended
        while (
            len(self.ended_calls) > max_ended
            or next(iter(self.ended_calls.values()))[0] < now - ENDED_CALL_RETENTION
        ):
            self.ended_calls.popitem(last=False)

    def was_answered(self, call_id: int) -> bool:
        return self.ended_calls.get(call_id, (0, False))[1]

    def is_known(self, call_id: int) -> bool:
        """Whether a call is open or stands here, or is remembered to have ended here."""
        shared = self.shared
        return (
            call_id in shared.open_calls
            or call_id in shared.standing
            or call_id in self.ended_calls
            or call_id in self.past_ids
            or call_id in self.abandoned_ids
        )
