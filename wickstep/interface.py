"""The module's interface: settings, events and actions. No decision is taken here.

All times are integers in nanoseconds on the clock of the host; `now` is handed in with every event. Server
ids are opaque strings, call ids are integers that the host never reuses within the life of one controller.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

MAX_PEER_MESSAGE = 256  # bytes of one message between softswitches


class Effect(Enum):
    """What a repeated set-up of a class may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class ServerState(Enum):
    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt ended."""

    ENDED = "ended"  # the standing call was released in the ordinary way
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # never sent


class ListKind(Enum):
    """How a server list relates to the one already held."""

    CHANGES = "changes"
    COMPLETE = "complete"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class CallClass:
    aim: int
    worth: float
    late_worth: float
    effect: Effect
    allowed: frozenset[int] | None  # server numbers this class may use; None: any
    holding_time: int = 0  # mean length of a call; 0: unknown
    give_up_after: int = 0  # how long a caller keeps trying, from its first try; 0: unknown


@dataclass(slots=True, frozen=True)
class Tenant:
    quota: float  # requests a second over all softswitches that count in full; math.inf: no limit


@dataclass(slots=True, frozen=True)
class Settings:
    """What one deployment tells its edge proxies at start-up."""

    classes: tuple[CallClass, ...]
    proxies: int
    max_attempts: int
    max_retry_after: int
    retransmit: int
    release_wait: int
    drain_grace: int
    cold_from: float
    ramp_time: int
    fall_multiple: float
    fall_window: int
    may_cancel: bool
    may_probe: bool
    may_message: bool
    heeds_retry_after: bool
    list_on_request: bool
    own_number: int
    tenants: tuple[Tenant, ...] = ()
    over_quota_worth: float = 1.0  # part of a call's worth that is left of it beyond its tenant's quota
    marks_repeats: bool = True  # callers that dial again say so
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
            _require(item.holding_time >= 0, "length", "must not be negative")
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
        """How long a caller may keep dialling for one call, in nanoseconds."""
        return max(item.give_up_after for item in self.classes)

    @property
    def mean_holding_time(self) -> float:
        """Of a call, in nanoseconds; 0 where it is not told."""
        return sum(item.holding_time for item in self.classes) / len(self.classes)

    @property
    def min_worth(self) -> float:
        return min(item.worth for item in self.classes)

    @property
    def min_yield(self) -> float:
        """What a line earns in a nanosecond from the calls that earn least; 0 where lengths are not told."""
        return min(item.worth / item.holding_time if item.holding_time else 0.0 for item in self.classes)


def estimate_wait_ms(report: Mapping[str, float]) -> float:
    """Milliseconds at a processor: as told, or what waits there over what it takes; below 0 if not known."""
    wait, waiting, rate = (report.get(name, -1.0) for name in ("wait_ms", "waiting", "can_take"))
    return 1000 * waiting / rate if wait < 0 <= waiting and rate > 0 else wait


def _require(condition: bool, field: str, text: str) -> None:
    if not condition:
        raise ValueError(f"setting {field}: {text}")


@dataclass(slots=True, frozen=True)
class ServerEntry:
    server: str
    number: int
    started: int  # 0: long ago
    state: ServerState


# Events: what the host tells the controller.


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
    repeat: bool = False  # the caller dialled again
    transit: bool = False  # handed over by another proxy: only the first choice will do
    candidates: tuple[int, ...] = ()  # numbers of the servers it may go to, in order; none: any, as before
    tenant: int = -1  # its place in the settings; -1: none that they know
    callee: str = ""  # the number called; empty: unknown
    advised_server: int = -1  # server with most room at a centre's last look, seconds ago; -1: none


@dataclass(slots=True, frozen=True)
class CallerLeft:
    call: int


@dataclass(slots=True, frozen=True)
class CallStands:
    call: int
    attempt: int
    server: str
    delay: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    call: int
    attempt: int
    server: str
    outcome: Outcome
    delay: int
    call_over: bool
    callee_busy: bool  # all lines of the number called are taken
    report: Mapping[str, float]  # wait_ms, waiting, can_take, free, lines; whichever are known
    no_line: bool = False  # full for want of a line, whatever its processor may be doing


@dataclass(slots=True, frozen=True)
class ProbeAnswered:
    server: str
    ok: bool
    delay: int
    report: Mapping[str, float]


@dataclass(slots=True, frozen=True)
class TimerDue:
    token: int


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


# Actions: what the controller asks of the host, in order.


@dataclass(slots=True, frozen=True)
class Send:
    call: int
    server: str
    timeout: int


@dataclass(slots=True, frozen=True)
class Refuse:
    call: int
    retry_after: int  # 0: no advice


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
    """Ask for the server list and its changes."""


Action = Send | Refuse | Fail | Cancel | Wake | Probe | Message | FollowList
Actions = list[Action]
Report = Mapping[str, Any]
