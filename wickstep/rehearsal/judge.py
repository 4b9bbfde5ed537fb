"""The judge of a rehearsal: reads the event trace and reports which rules were violated, and when.

This file owns the rules as the peers of a softswitch see them. It excuses what a fault has made impossible
for the softswitch: calls that were open where its process was killed or stopped, or its links to callers were
broken.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from wickstep.rehearsal.trace import Event, EventKind, Trace

RETRY_PAUSE_S = 0.2  # no new attempt of a call within this time after a time-out, reset or cancel
DRAIN_GRACE_S = 2.0  # no set-up to a server later than this after its draining or end was announced
MAX_ATTEMPTS = 5
TOLERANCE_S = 0.05  # added to each time limit for the way through the sockets
ANSWER_TOLERANCE_S = 0.3  # added to an answer's time limit: a busy machine reads its clock late
RELEASE_LIMIT_S = 1.0  # from the end of a call that stood to the release at its caller
LEFT_LIMIT_S = 0.1  # no attempt, first or further, later than this after the caller left
DELAYED_RELEASE_LIMIT_S = 8.0  # instead of RELEASE_LIMIT_S where a fault kept the release from being sent
CAUSES_OF_PAUSE = ("given up", "link")  # ends of an attempt after which the retry pause is due


@dataclass(slots=True, frozen=True)
class Violation:
    at: float
    rule: str
    text: str


def find_violations(trace: Trace, duration_s: float, calls_kept: bool = False) -> list[Violation]:
    """All violations by time; `calls_kept` adds the rule for calls that are journaled over restarts."""
    judge = _Judge(trace, duration_s)
    found = [
        *judge.check_final_answers(),
        *judge.check_attempts(),
        *judge.check_callers_left(),
        *judge.check_drains(),
        *judge.check_cold_servers(),
    ]
    found += judge.check_releases()
    if calls_kept:
        found += judge.check_restarts()
    return sorted(found, key=lambda violation: violation.at)


class _Judge:
    def __init__(self, trace: Trace, duration_s: float) -> None:
        self.trace, self.duration_s = trace, duration_s
        self.by_call: dict[int, list[Event]] = defaultdict(list)
        for event in sorted(trace.events, key=lambda event: event.at):
            if event.call:
                self.by_call[event.call].append(event)
        # By softswitch: when it was down or its links to callers were broken.
        self.down_spans: dict[int, list[tuple[float, float]]] = defaultdict(list)
        down_since: dict[int, float] = {}
        # By softswitch: when its links to servers were broken, and when callers sent it set-ups.
        self.server_link_faults: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self.set_up_times: dict[int, list[float]] = defaultdict(list)
        for event in trace.of_kind(EventKind.SET_UP_SENT):
            self.set_up_times[event.softswitch].append(event.at)
        for event in trace.of_kind(EventKind.DOWN, EventKind.UP, EventKind.LINK_FAULT):
            if event.kind is EventKind.LINK_FAULT:
                spans = self.down_spans if event.detail == "callers" else self.server_link_faults
                spans[event.softswitch].append((event.at, event.at + event.value))
            elif event.kind is EventKind.DOWN:
                down_since.setdefault(event.softswitch, event.at)
            elif event.softswitch in down_since:
                self.down_spans[event.softswitch].append((down_since.pop(event.softswitch), event.at))
        for softswitch, at in down_since.items():
            self.down_spans[softswitch].append((at, duration_s))

    def is_excused(self, softswitch: int, begin: float, end: float, servers: bool = False) -> bool:
        """Whether the softswitch was down, or its links to callers were broken, at some moment of that span;
        with `servers`, a fault of its links to setup servers counts too."""
        spans = self.down_spans[softswitch] + (self.server_link_faults[softswitch] if servers else [])
        return any(at <= end and until >= begin for at, until in spans)

    def check_final_answers(self) -> Iterator[Violation]:
        for call, events in self.by_call.items():
            sent = [event for event in events if event.kind is EventKind.SET_UP_SENT]
            if not sent:
                continue
            finals = [event for event in events if event.kind is EventKind.FINAL_ANSWER]
            first, due = sent[0], sent[-1].at + sent[-1].value
            if len(finals) > 1:
                yield Violation(finals[1].at, "lost", f"{call:x}: {len(finals)} final answers")
            is_answered = bool(finals) and finals[0].detail == "stands"
            if is_answered and (fault := self.find_false_answer(events, finals[0])):
                yield Violation(finals[0].at, "lost", f"{call:x}: {fault}")
            if any(event.kind is EventKind.CALLER_LEFT for event in events):
                continue  # no answer is due any more
            excused = self.is_excused(first.softswitch, first.at, due + TOLERANCE_S)
            if not finals and due + ANSWER_TOLERANCE_S < self.duration_s and not excused:
                yield Violation(due, "lost", f"{call:x}: no final answer")
            if finals and finals[0].at > due + ANSWER_TOLERANCE_S and not excused:
                yield Violation(finals[0].at, "lost", f"{call:x}: answered {finals[0].at - due:.3f} s late")

    def find_false_answer(self, events: list[Event], answered: Event) -> str:
        """Why no server stands by an answer; empty if one does.

        A release that a softswitch sends for a later reason may overtake the answer on a broken link.
        """
        runs = [event for event in events if event.description == answered.description and event.server]
        if not any(event.detail == "stands" for event in runs):
            return "answered, but no server has made this answer"
        taken_back = [
            event.at for event in runs if event.kind is EventKind.CALL_TAKEN_BACK and event.at < answered.at
        ]
        if taken_back and not self.is_excused(
            answered.softswitch, taken_back[0], answered.at + RELEASE_LIMIT_S, servers=True
        ):
            return f"answered {answered.at - taken_back[0]:.3f} s after its run was released at the server"
        return ""

    def check_attempts(self) -> Iterator[Violation]:
        for call, events in self.by_call.items():
            open_attempts: dict[str, float] = {}  # server: start
            ended_at, count, cause = -1.0, 0, ""
            for event in events:
                if event.kind is EventKind.ATTEMPT_STARTED:
                    count += 1
                    for server in open_attempts:
                        yield Violation(
                            event.at, "copies", f"{call:x}: open at {server} and at {event.server} at once"
                        )
                    if cause and event.at < ended_at + RETRY_PAUSE_S - TOLERANCE_S:
                        text = f"{call:x}: sent {event.at - ended_at:.3f} s after an attempt ended: {cause}"
                        yield Violation(event.at, "pause", text)
                    if count == MAX_ATTEMPTS + 1:
                        yield Violation(event.at, "attempts", f"{call:x}: more than {MAX_ATTEMPTS}")
                    open_attempts[event.server] = event.at
                elif event.kind is EventKind.ATTEMPT_ENDED and event.server in open_attempts:
                    del open_attempts[event.server]
                    ended_at, cause = event.at, event.detail if event.detail in CAUSES_OF_PAUSE else ""

    def check_restarts(self) -> Iterator[Violation]:
        """A set-up that reached a server before a restart of its softswitch is not sent again after it."""
        for call, events in self.by_call.items():
            attempts = [event for event in events if event.kind is EventKind.ATTEMPT_STARTED]
            for before, after in itertools.pairwise(attempts):
                spans = self.down_spans[after.softswitch]
                if any(before.at < at < after.at for at, until in spans if until > at):
                    text = f"{call:x}: at {before.server} before a restart, at {after.server} after it"
                    yield Violation(after.at, "twice", text)

    def check_drains(self) -> Iterator[Violation]:
        announced: dict[tuple[int, str], float] = {}
        for event in self.trace.of_kind(EventKind.STATE_ANNOUNCED):
            announced.setdefault((event.softswitch, event.server), event.at)
        for event in self.trace.of_kind(EventKind.ATTEMPT_STARTED):
            at = announced.get((event.softswitch, event.server))
            if at is not None and event.at > at + DRAIN_GRACE_S + TOLERANCE_S:
                text = f"{event.call:x}: sent to {event.server} {event.at - at:.2f} s after its drain or end"
                yield Violation(event.at, "drain", text)

    def check_callers_left(self) -> Iterator[Violation]:
        """No attempt starts for a caller that has left. A softswitch is excused if a link of it was broken or
        its process was stopped meanwhile, since it could not know."""
        for call, events in self.by_call.items():
            left = next((event for event in events if event.kind is EventKind.CALLER_LEFT), None)
            if left is None:
                continue
            for event in events:
                delay = event.at - left.at
                excused = self.is_excused(left.softswitch, left.at, event.at, servers=True)
                if (
                    event.kind is EventKind.ATTEMPT_STARTED
                    and delay > LEFT_LIMIT_S + TOLERANCE_S
                    and not excused
                ):
                    text = f"{call:x}: sent {delay:.3f} s after its caller had left ({left.detail})"
                    yield Violation(event.at, "left", text)

    def check_cold_servers(self) -> Iterator[Violation]:
        for event in self.trace.of_kind(EventKind.SERVER_COLLAPSED):
            yield Violation(event.at, "cold", f"{event.server} was overloaded while cold: {event.detail}")

    def check_releases(self) -> Iterator[Violation]:
        for call, events in self.by_call.items():
            answered = next(
                (e for e in events if e.kind is EventKind.FINAL_ANSWER and e.detail == "stands"), None
            )
            server = find_answering_server(events, answered) if answered is not None else ""
            ended = next(
                (event for event in events if event.kind is EventKind.CALL_ENDED and event.server == server),
                None,
            )
            released = next((event for event in events if event.kind is EventKind.RELEASE_RECEIVED), None)
            if ended is None or answered is None:
                continue
            took = (released.at if released else self.duration_s) - ended.at
            # A call that ended while its softswitch was down is released once the softswitch is back. A
            # stopped softswitch passes both the answer and the release on after it resumes.
            begin = min(answered.at, ended.at)
            excused = self.is_excused(ended.softswitch, begin, ended.at + RELEASE_LIMIT_S, servers=True)
            is_delayed = excused or ended.detail == "untold"  # its release was lost on a dead connection
            limit = DELAYED_RELEASE_LIMIT_S if is_delayed else RELEASE_LIMIT_S
            if excused and not any(
                ended.at < at < ended.at + limit for at in self.set_up_times[ended.softswitch]
            ):
                continue  # no caller connected to it again, so the release could not be delivered
            if took > limit + ANSWER_TOLERANCE_S:
                text = f"{call:x}: its caller was released {took:.1f} s after its end"
                yield Violation(ended.at + limit, "release", text)


def find_answering_server(events: list[Event], answered: Event) -> str:
    """The server whose answer the caller was given: the last that had made it by then.

    An answer that was lost on a dead connection leaves a call at another one, which nobody waits for.
    """
    return next(
        (
            event.server
            for event in reversed(events)
            if event.kind is EventKind.ATTEMPT_ENDED
            and event.detail == "stands"
            and event.description == answered.description
            and event.at <= answered.at
        ),
        "",
    )
