"""The record of one rehearsal: what was seen on the sockets, by whom, when.

This file owns the words of that record; the judge reads nothing else. It must never judge.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class What(Enum):
    ASKED = "asked"  # a call's set-up was written whole to a softswitch; value: seconds its caller waits
    FINAL = "final"  # its final answer was read; why: stands, or the reason of a release
    GONE = "gone"  # its connection ended without one
    TOLD = "told"  # a release after the answer was read
    CAME = "came"  # an attempt came to a setup server
    ENDED = "ended"  # and ended there; why: stands, full, error, given up, link
    OVER = "over"  # a call that stood is over, by its server
    FELL = "fell"  # a cold setup server was pushed over
    HEARD = "heard"  # the softswitch was told of a server's state; why: draining, gone
    LISTED = "listed"  # it called for the list
    DIALLED = "dialled"  # it connected to a server
    PROBED = "probed"
    DOWN = "down"  # a softswitch was killed or stopped
    UP = "up"  # it passed a test, or goes on
    BROKE = "broke"  # a link fault began on it; value: seconds
    LEFT = "left"  # its caller gave it up or closed its connection; why: given up, closed, reset
    MISSED = "missed"  # a call found no softswitch that listens


@dataclass(slots=True, frozen=True)
class Event:
    at: float  # seconds since the beginning
    what: What
    softswitch: int
    call: int = 0
    server: str = ""
    why: str = ""
    value: float = 0.0


@dataclass(slots=True)
class Trace:
    events: list[Event] = field(default_factory=list)

    def note(self, at: float, what: What, softswitch: int, call: int = 0, server: str = "", why: str = "",
             value: float = 0.0) -> None:  # fmt: skip
        self.events.append(Event(at, what, softswitch, call, server, why, value))

    def of(self, *kinds: What) -> list[Event]:
        return [event for event in self.events if event.what in kinds]
