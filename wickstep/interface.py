"""The controller's interface: settings, events and actions. It must never take a decision.

All times are integers in nanoseconds on the host's clock; `now` is passed in with every event. Server ids are
opaque strings; call ids are integers that the host never reuses within the life of one controller.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

MAX_PEER_MESSAGE = 256  # bytes of one message between softswitches


class Effect(Enum):
    """Effect of a set-up that is sent twice, by class."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class ServerState(Enum):
    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt ended."""

    ENDED = "ended"  # the call stood and was released normally
    ERROR = "error"
    FULL = "full"  # processor full, or no line free
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # never sent


# Outcomes which prove that the set-up was never executed.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


class ListKind(Enum):
    """How a server list relates to the one the controller has."""

    CHANGES = "changes"
    COMPLETE = "complete"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class CallClass:
    aim: int  # time from the first try within which a call should stand
    worth: float  # of a call that stands in time
    late_worth: float  # part of its worth left to a call that stands late
    effect: Effect
    allowed: frozenset[int] | None  # server numbers this class may use; None: any
    holding_time: int = 0  # mean, of a call; 0: unknown
    give_up_after: int = 0  # how long a caller redials, from its first try; 0: unknown


@dataclass(slots=True, frozen=True)
class Tenant:
    quota: float  # set-ups a second, over all softswitches, that count in full; math.inf: no limit


@dataclass(slots=True, frozen=True)
class Settings:
    """What one deployment tells its edge proxies at start-up."""

    classes: tuple[CallClass, ...]
    proxies: int  # in all, this one included
    max_attempts: int  # of one call
    max_retry_after: int
    retransmit: int  # delay of a first retransmission of a set-up; 0: none
    release_wait: int  # after a time-out, a reset or a cancel, before the call may be sent again
    drain_grace: int  # how long a server that was told to drain may still be sent set-ups
    cold_from: float  # part of its capacity that a server has when it starts
    ramp_time: int  # from the start of a server to its full capacity
    fall_multiple: float  # of its present capacity, over `fall_window`: more set-ups make a cold server fail
    fall_window: int
    may_cancel: bool
    may_probe: bool
    may_message: bool  # to other softswitches
    heeds_retry_after: bool  # callers wait for as long as a refusal advises
    list_on_request: bool  # the server list comes only when it is asked for
    own_number: int  # of this softswitch; -1: unknown
    tenants: tuple[Tenant, ...] = ()
    over_quota_worth: float = 1.0  # part of its worth left to a call beyond its tenant's quota
    marks_repeats: bool = True  # callers mark repeated tries as such
    ordinal: int = 0  # of this softswitch among its peers

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one class is needed")
        for field in ("proxies", "max_attempts", "fall_window"):
            _require(getattr(self, field) >= 1, field, "must be at least 1")
        for field in ("max_retry_after", "retransmit", "release_wait", "drain_grace", "ramp_time"):
            _require(getattr(self, field) >= 0, field, "must not be negative")
        _require(0 < self.cold_from <= 1, "cold_from", "must lie above 0 and at most at 1")
        _require(self.fall_multiple > 0, "fall_multiple", "must be above 0")
        for item in self.classes:
            _require(item.aim > 0, "aim", "must be above 0")
            _require(item.holding_time >= 0, "holding_time", "must not be negative")
            _require(item.worth >= 0, "worth", "must not be negative")
            _require(0 <= item.late_worth <= 1, "late_worth", "must lie between 0 and 1")
        for tenant in self.tenants:
            _require(tenant.quota >= 0, "quota", "must not be negative")
        _require(0 <= self.over_quota_worth <= 1, "over_quota_worth", "must lie between 0 and 1")

    @property
    def shortest_aim(self) -> int:
        return min(item.aim for item in self.classes)

    @property
    def max_redial_time(self) -> int:
        """How long a caller may redial for one call."""
        return max(item.give_up_after for item in self.classes)

    @property
    def mean_holding_time(self) -> float:
        """Mean over the classes; 0 where the settings give none."""
        return sum(item.holding_time for item in self.classes) / len(self.classes)

    @property
    def min_worth(self) -> float:
        return min(item.worth for item in self.classes)

    @property
    def min_yield(self) -> float:
        """Lowest worth per nanosecond of line time over the classes; 0 where a holding time is unknown."""
        return min(item.worth / item.holding_time if item.holding_time else 0.0 for item in self.classes)


def estimate_wait_ms(report: Mapping[str, float]) -> float:
    """Wait at a processor in ms: as reported, or its queue over its rate; negative if unknown."""
    wait, waiting, rate = (report.get(name, -1.0) for name in ("wait_ms", "waiting", "can_take"))
    return 1000 * waiting / rate if wait < 0 <= waiting and rate > 0 else wait


def _require(condition: bool, field: str, text: str) -> None:
    if not condition:
        raise ValueError(f"setting {field}: {text}")


@dataclass(slots=True, frozen=True)
class ServerEntry:
    server: str
    number: int  # a server that restarts under a new id keeps its number
    started: int  # 0: long ago
    state: ServerState


# Events: from the host to the controller.


@dataclass(slots=True, frozen=True)
class Started:
    """First event of every controller."""


@dataclass(slots=True, frozen=True)
class ServerList:
    kind: ListKind
    entries: tuple[ServerEntry, ...]


@dataclass(slots=True, frozen=True)
class NewCall:
    call: int
    klass: int
    max_wait: int  # how long the caller waits in this try
    first_choice: int  # number of the server of first choice
    repeat: bool = False  # the caller has dialled for this call before
    transit: bool = False  # passed on by another proxy: may go to its first choice only
    candidates: tuple[int, ...] = ()  # numbers of the servers it may go to, in order; empty: any
    tenant: int = -1  # index in the settings; -1: not listed there
    callee: str = ""  # the number called; empty: unknown
    advised_server: int = -1  # number of the one with most room, by a monitor, seconds ago; -1: none


@dataclass(slots=True, frozen=True)
class CallerLeft:
    call: int


@dataclass(slots=True, frozen=True)
class CallStands:
    call: int
    attempt: int  # counted from 0
    server: str
    delay: int  # from sending to this event


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    call: int
    attempt: int
    server: str
    outcome: Outcome
    delay: int
    call_over: bool  # no further attempt is wanted
    callee_busy: bool  # all lines of the number called are taken
    report: Mapping[str, float]  # wait_ms, waiting, can_take, free, lines: those that are known
    no_line: bool = False  # full because no line is free, whatever the load of its processor


@dataclass(slots=True, frozen=True)
class ProbeAnswered:
    server: str
    ok: bool
    delay: int
    report: Mapping[str, float]


@dataclass(slots=True, frozen=True)
class TimerDue:
    token: int  # of the `Wake` that set the timer


@dataclass(slots=True, frozen=True)
class PeerMessage:
    sender: int  # ordinal of the softswitch that sent it
    payload: bytes  # at most `MAX_PEER_MESSAGE`; untrusted


Event = (
    Started
    | ServerList
    | NewCall
    | CallerLeft
    | CallStands
    | AttemptEnded
    | ProbeAnswered
    | TimerDue
    | PeerMessage
)


# Actions: from the controller to the host, which carries them out in order.


@dataclass(slots=True, frozen=True)
class Send:
    call: int
    server: str
    timeout: int


@dataclass(slots=True, frozen=True)
class Refuse:
    call: int
    retry_after: int  # 0: none advised


@dataclass(slots=True, frozen=True)
class Fail:
    call: int


@dataclass(slots=True, frozen=True)
class Cancel:
    call: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Wake:
    token: int
    due: int


@dataclass(slots=True, frozen=True)
class Probe:
    server: str


@dataclass(slots=True, frozen=True)
class Message:
    target: int | None  # ordinal of the receiver; None: every peer
    payload: bytes  # at most `MAX_PEER_MESSAGE`


@dataclass(slots=True, frozen=True)
class FollowList:
    """Subscribe to the server list and its changes."""


Action = Send | Refuse | Fail | Cancel | Wake | Probe | Message | FollowList
Actions = list[Action]
Report = Mapping[str, Any]
