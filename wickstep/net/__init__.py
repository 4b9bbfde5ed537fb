"""The softswitch on sockets: the messages about a call that its parts exchange.

This file owns the message objects, which are independent of any wire protocol. It must never name a code, a
type number or a parameter of a protocol: a codec turns bytes into these objects and back, and all other code
sees only the objects, so that a second protocol can use the same stages.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class MalformedMessage(ValueError):
    """A peer has sent what the protocol does not allow, or a message cannot be encoded in it."""


class Reason(Enum):
    """Why a set-up or a call was released."""

    CLEARED = "cleared"  # before the answer: the caller gave up; after it: a normal end of the call
    FULL = "full"  # the server had no capacity: the set-up never ran
    BUSY = "busy"
    FAULT = "fault"
    INTERRUPTED = "interrupted"  # the set-up broke off on its way, or the call was cut
    MOOT = "moot"  # the set-up was never sent
    CONGESTED = "congested"  # refused: the caller may safely try again
    FAILED = "failed"  # any other failure, and any cause from a peer that is not known here
    MALFORMED = "malformed"
    INVALID_NUMBER = "invalid_number"  # the number called is not a valid one
    UNALLOCATED = "unallocated"  # the number called leads nowhere
    BARRED = "barred"  # the number may not be called from here


class Note(Enum):
    """A detail that a setup server adds to the reason of a release."""

    NO_CIRCUIT = "no_circuit"
    OVERLOAD = "overload"
    LINES_BUSY = "lines_busy"


Report = Mapping[str, float]  # a setup server's report: values by name, with the names of the settings


@dataclass(slots=True, frozen=True)
class SetUp:
    call: int
    klass: str
    wait_ms: int  # how long the sender waits for an answer
    number: str  # the number called
    description: bytes
    first_choice: int = -1
    width: int = 1  # lines that the call takes
    repeat: bool = False  # the caller dialled again
    after_cut: bool = False  # the call was cut and is set up again
    tenant: str = ""  # name given by the caller; empty: none
    advised_server: int = -1  # number of the server that a centre advises; -1: none
    ignored_fields: int = 0  # number of invalid optional fields; the call is served without them


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
    stay_away_ms: int = 0  # how long the receiver should not try again; 0: no advice
    report: Report = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ReleaseComplete:
    call: int


@dataclass(slots=True, frozen=True)
class Test:
    __test__ = False  # or pytest would collect it as a test case, by its name
    call: int
    probe: bool = False  # the result should carry a report


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
