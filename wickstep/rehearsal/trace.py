"""The event trace of a rehearsal: what was seen on the sockets, where, when.

This file owns the kinds of event; the judge reads nothing else. It must never judge.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class EventKind(Enum):
    SET_UP_SENT = "asked"  # a set-up was written to a softswitch; value: seconds its caller waits
    FINAL_ANSWER = "final"  # the caller read the final answer; detail: stands, or the reason of a release
    CONNECTION_LOST = "gone"  # the caller's connection ended without a final answer
    RELEASE_RECEIVED = "told"  # the caller read a release after the final answer
    ATTEMPT_STARTED = "came"  # an attempt arrived at a setup server; value: set-ups a second it can do then
    ATTEMPT_ENDED = "ended"  # an attempt ended at a setup server; detail: stands, full, given up, link, cut
    CALL_ENDED = "over"  # the setup server ended a call that stood
    CALL_TAKEN_BACK = "taken back"  # a softswitch released a call that stood at the setup server
    SERVER_COLLAPSED = "fell"  # a cold setup server was overloaded and ended; detail: by how many set-ups
    STATE_ANNOUNCED = "heard"  # the list reported a server's state to a softswitch; detail: draining, gone
    LIST_REQUESTED = "listed"  # a softswitch requested the list of setup servers
    CONNECTED = "dialled"  # a softswitch connected to a setup server
    PROBED = "probed"  # a softswitch sent a probe to a setup server
    DOWN = "down"  # a softswitch was killed or stopped
    UP = "up"  # a softswitch passed a test, or was resumed
    LINK_FAULT = "broke"  # a link fault began; detail: callers, servers; value: seconds for which it excuses
    CALLER_LEFT = "left"  # a caller left before its final answer; detail: given up, closed, reset
    NOT_SENT = "missed"  # a call was not sent: no softswitch had passed its test, or the connection failed


@dataclass(slots=True, frozen=True)
class Event:
    at: float  # seconds since all softswitches were ready
    kind: EventKind
    softswitch: int
    call: int = 0
    server: str = ""
    detail: str = ""
    value: float = 0.0
    description: str = ""  # of an answer: tells which run of the call it is about


@dataclass(slots=True)
class Trace:
    events: list[Event] = field(default_factory=list)

    def record(self, at: float, kind: EventKind, softswitch: int, call: int = 0, server: str = "",
               detail: str = "", value: float = 0.0, description: str = "") -> None:  # fmt: skip
        self.events.append(Event(at, kind, softswitch, call, server, detail, value, description))

    def of_kind(self, *kinds: EventKind) -> list[Event]:
        return [event for event in self.events if event.kind in kinds]
