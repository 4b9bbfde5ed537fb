"""The judge of a rehearsal: reads the record and says which rules were broken, with the moment of each.

This file owns the rules as peers see them. What a fault has taken out of a softswitch's hands is excused:
calls that were open where its process was killed or stopped, or where its links to callers were broken.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from wickstep.rehearsal.trace import Event, Trace, What

PAUSE_S = 0.2  # no new send of a call after a time-out, reset or cancel
DRAIN_S = 2.0  # nothing new to a server later than that after it was told to drain or to be gone
ATTEMPTS_MOST = 5
SLACK_S = 0.05  # each time limit is so much longer on sockets
LATE_S = 0.3  # a busy machine reads its clock late: answers are judged by this much more
TOLD_S = 1.0  # what has stood is released towards its caller within that of its end,
LEFT_S = 0.1  # no attempt, first or further, for a caller that left longer ago
UNSENT_S = 8.0  # or within that where no release could be sent
PAUSED = ("given up", "link")  # ends after which the pause is owed


@dataclass(slots=True, frozen=True)
class Breach:
    at: float
    rule: str
    text: str


def breaches(trace: Trace, lasted: float, calls_kept: bool = False) -> list[Breach]:
    """All broken rules, in the order of their moments; with `calls_kept` that of calls over restarts, too."""
    judge = _Judge(trace, lasted)
    found = [*judge.finals(), *judge.attempts(), *judge.left(), *judge.drains(), *judge.cold()]
    found += judge.releases()
    if calls_kept:
        found += judge.lives()
    return sorted(found, key=lambda breach: breach.at)


class _Judge:
    def __init__(self, trace: Trace, lasted: float) -> None:
        self.trace, self.lasted = trace, lasted
        self.by_call: dict[int, list[Event]] = defaultdict(list)
        for event in sorted(trace.events, key=lambda event: event.at):
            if event.call:
                self.by_call[event.call].append(event)
        self.downs: dict[int, list[tuple[float, float]]] = defaultdict(list)
        since: dict[int, float] = {}
        self.cuts: dict[int, list[tuple[float, float]]] = defaultdict(list)  # of links to servers
        self.spoken: dict[int, list[float]] = defaultdict(list)  # when callers asked a softswitch
        for event in trace.of(What.ASKED):
            self.spoken[event.softswitch].append(event.at)
        for event in trace.of(What.DOWN, What.UP, What.BROKE):
            if event.what is What.BROKE:
                broken = self.downs if event.why == "callers" else self.cuts
                broken[event.softswitch].append((event.at, event.at + event.value))
            elif event.what is What.DOWN:
                since.setdefault(event.softswitch, event.at)
            elif event.softswitch in since:
                self.downs[event.softswitch].append((since.pop(event.softswitch), event.at))
        for softswitch, at in since.items():
            self.downs[softswitch].append((at, lasted))

    def excused(self, softswitch: int, begin: float, end: float, servers: bool = False) -> bool:
        """Whether the softswitch was down, or broken off from its callers, at some moment of that span; from
        setup servers, where that is asked for."""
        spans = self.downs[softswitch] + (self.cuts[softswitch] if servers else [])
        return any(at <= end and until >= begin for at, until in spans)

    def finals(self) -> Iterator[Breach]:
        for call, events in self.by_call.items():
            asked = [event for event in events if event.what is What.ASKED]
            if not asked:
                continue
            finals = [event for event in events if event.what is What.FINAL]
            first, due = asked[0], asked[-1].at + asked[-1].value
            if len(finals) > 1:
                yield Breach(finals[1].at, "lost", f"{call:x}: {len(finals)} final answers")
            served = any(event.why == "stands" for event in events if event.server)
            if finals and finals[0].why == "stands" and not served:
                yield Breach(finals[0].at, "lost", f"{call:x}: served by nobody")
            if any(event.what is What.LEFT for event in events):
                continue  # nothing is owed any more
            excused = self.excused(first.softswitch, first.at, due + SLACK_S)
            if not finals and due + LATE_S < self.lasted and not excused:
                yield Breach(due, "lost", f"{call:x}: no final answer")
            if finals and finals[0].at > due + LATE_S and not excused:
                yield Breach(finals[0].at, "lost", f"{call:x}: answered {finals[0].at - due:.3f} s late")

    def attempts(self) -> Iterator[Breach]:
        for call, events in self.by_call.items():
            out: dict[str, float] = {}  # by server, since when
            free_at, count, paused = -1.0, 0, ""
            for event in events:
                if event.what is What.CAME:
                    count += 1
                    for server in out:
                        yield Breach(event.at, "copies", f"{call:x}: out at {server} and {event.server}")
                    if paused and event.at < free_at + PAUSE_S - SLACK_S:
                        text = f"{call:x}: sent {event.at - free_at:.3f} s after an attempt was {paused}"
                        yield Breach(event.at, "pause", text)
                    if count == ATTEMPTS_MOST + 1:
                        yield Breach(event.at, "attempts", f"{call:x}: more than {ATTEMPTS_MOST}")
                    out[event.server] = event.at
                elif event.what is What.ENDED and event.server in out:
                    del out[event.server]
                    free_at, paused = event.at, event.why if event.why in PAUSED else ""

    def lives(self) -> Iterator[Breach]:
        """A set-up that came to a server in one life of its softswitch never goes out in another."""
        for call, events in self.by_call.items():
            came = [event for event in events if event.what is What.CAME]
            for before, after in itertools.pairwise(came):
                downs = self.downs[after.softswitch]
                if any(before.at < at < after.at for at, until in downs if until > at):
                    text = f"{call:x}: at {before.server} before a restart, at {after.server} after it"
                    yield Breach(after.at, "twice", text)

    def drains(self) -> Iterator[Breach]:
        heard: dict[tuple[int, str], float] = {}
        for event in self.trace.of(What.HEARD):
            heard.setdefault((event.softswitch, event.server), event.at)
        for event in self.trace.of(What.CAME):
            at = heard.get((event.softswitch, event.server))
            if at is not None and event.at > at + DRAIN_S + SLACK_S:
                text = f"{event.call:x}: sent to {event.server} {event.at - at:.2f} s after it was told to go"
                yield Breach(event.at, "drain", text)

    def left(self) -> Iterator[Breach]:
        """Nobody is sent on who has left; where a link was broken or a process stopped, it could not know."""
        for call, events in self.by_call.items():
            gone = next((event for event in events if event.what is What.LEFT), None)
            if gone is None:
                continue
            for event in events:
                late = event.at - gone.at
                hurt = self.excused(gone.softswitch, gone.at, event.at, servers=True)
                if event.what is What.CAME and late > LEFT_S + SLACK_S and not hurt:
                    text = f"{call:x}: sent {late:.3f} s after its caller had left ({gone.why})"
                    yield Breach(event.at, "left", text)

    def cold(self) -> Iterator[Breach]:
        for event in self.trace.of(What.FELL):
            yield Breach(event.at, "cold", f"{event.server} was pushed over while cold: {event.why}")

    def releases(self) -> Iterator[Breach]:
        for call, events in self.by_call.items():
            over = next((event for event in events if event.what is What.OVER), None)
            stood = next((e for e in events if e.what is What.FINAL and e.why == "stands"), None)
            told = next((event for event in events if event.what is What.TOLD), None)
            if over is None or stood is None:
                continue
            took = (told.at if told else self.lasted) - over.at
            # Over while its softswitch was down, it can be told once that is back.
            began = min(stood.at, over.at)  # a stopped softswitch passes both on once it goes on
            hurt = self.excused(over.softswitch, began, over.at + TOLD_S, servers=True)
            most = UNSENT_S if hurt else TOLD_S
            if hurt and not any(over.at < at < over.at + most for at in self.spoken[over.softswitch]):
                continue  # no caller came to it again: there was nobody to be told
            if took > most + LATE_S:
                text = f"{call:x}: its caller was told {took:.1f} s after its end"
                yield Breach(over.at + most, "release", text)
