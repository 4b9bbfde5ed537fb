"""The softswitch on sockets: what its parts say to each other about a call.

This file owns the message objects that stand above every wire. It must never name a code, a type number or
a parameter of any protocol: a codec turns bytes into these objects and back, and all else sees only the
objects, so that a second protocol can go through the same stages.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class MalformedMessage(ValueError):
    """A peer has sent what its protocol does not allow."""


class Reason(Enum):
    """Why a set-up or a call was released."""

    CLEARED = "cleared"  # before the answer: given up; after it: the call has come to its end
    FULL = "full"  # it never ran
    BUSY = "busy"
    FAULT = "fault"
    INTERRUPTED = "interrupted"  # the set-up broke on its way, or the call was cut
    MOOT = "moot"  # it never left
    CONGESTED = "congested"  # refused: trying again is harmless
    FAILED = "failed"  # and whatever else a peer may name
    MALFORMED = "malformed"
    INVALID_NUMBER = "invalid_number"  # the number called is none
    UNALLOCATED = "unallocated"  # or none that leads anywhere
    BARRED = "barred"  # or it may not be called from here


class Note(Enum):
    """What a setup server adds to a release."""

    NO_CIRCUIT = "no_circuit"
    OVERLOAD = "overload"
    LINES_BUSY = "lines_busy"


Report = Mapping[str, float]  # a setup server's figures, named as its settings name them


@dataclass(slots=True, frozen=True)
class SetUp:
    call: int
    klass: str
    wait_ms: int  # how long the sender waits for the answer
    number: str  # the number called
    description: bytes
    first_choice: int = -1
    width: int = 1  # lines that the call takes
    repeat: bool = False  # the caller dialled again
    after_cut: bool = False  # the call was cut and comes again
    tenant: str = ""  # as the caller names it; empty: none
    advised_server: int = -1  # number of the server that a centre advises; -1: none
    ignored_fields: int = 0  # fields that made no sense, and that a call can be served without


@dataclass(slots=True, frozen=True)
class Progress:
    call: int


@dataclass(slots=True, frozen=True)
class Answer:
    call: int
    description: bytes


@dataclass(slots=True, frozen=True)
class Release:
    call: int
    reason: Reason
    note: Note | None = None
    stay_away_ms: int = 0  # 0: no advice
    report: Report = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ReleaseComplete:
    call: int


@dataclass(slots=True, frozen=True)
class Test:
    __test__ = False  # not a test case, whatever pytest may think of the name
    call: int
    probe: bool = False  # a report is wanted


@dataclass(slots=True, frozen=True)
class TestResult:
    __test__ = False
    call: int
    passed: bool
    report: Report = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class GroupState:
    call: int
    report: Report


Message = SetUp | Progress | Answer | Release | ReleaseComplete | Test | TestResult | GroupState
