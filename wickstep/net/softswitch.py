"""The softswitch's loop, the stages a request passes, and the one bridge to the controller.

This file owns all state about calls and servers: one thread, the loop's, reads the inbox, reads the clock
once a turn, and hands each message to its stage (take in, admit, route, send, relay, book). It must never
block on a peer, never decide what the controller decides (whether, where and when a set-up goes), and never
let a call end with no final answer or with two.
"""

from __future__ import annotations

import heapq
import itertools
import logging
import os
import random
import sys
import threading
import time
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from functools import partial
from queue import Empty, SimpleQueue
from typing import TYPE_CHECKING, Any, Protocol

import ujson

from wickstep import interface as api
from wickstep.brain import Controller
from wickstep.interface import Outcome, ServerState
from wickstep.net import (
    Answer,
    GroupState,
    Message,
    Note,
    Progress,
    Reason,
    Release,
    ReleaseComplete,
    SetUp,
    Test,
    TestResult,
    bulletin,
    links,
)
from wickstep.net.bulletin import ListUpdate
from wickstep.net.links import Closed, DialFailed, Link, Opened, Received
from wickstep.operation.handover import InheritedCalls
from wickstep.operation.metrics import ResultCounts
from wickstep.operation.mode import Event, Mode, State
from wickstep.operation.process_group import HandoverReceived
from wickstep.operation.service import Operation
from wickstep.recovery import jitter
from wickstep.recovery.recorder import CallRecorder
from wickstep.settings import (
    REPORT_FIELDS,
    convert,
    get_section,
    read_for_class,
    read_integer,
    read_settings,
    require_value,
)
from wickstep.spread.reasons import SendReason, classify_send

if TYPE_CHECKING:
    from wickstep.recovery.store import LearnedStore

log = logging.getLogger(__name__)

MS = 1000  # microseconds, the unit of every time in this file
SECOND = 1000 * MS
NS = 1000  # nanoseconds in a microsecond: the controller's unit

DEFAULT_MAX_WAIT = 60 * SECOND  # a caller's wait where the settings name none
ANSWER_MARGIN = 10 * MS  # a call is given up so long before its caller would, or the two would cross
PROBE_WAIT = 250 * MS
PROBES_PER_SERVER = 3.0  # that one is asked in a second, by all softswitches together
MAX_SAVED_PROBES = 3.0  # of this one's part
SILENCE_TIMEOUT = 2 * SECOND  # a connection that has brought nothing for so long is doubted
VANISHED_TIMEOUT = 4 * SECOND  # and after so long its machine is given up, if no new connection comes up
DEAD = 2  # connects refused in a row, after a reset, that mean a dead process
DOUBT, DOUBT_LEAST = 1.5, 40 * MS  # a set-up out for so many times the usual is asked after, by a probe
WATCH = 20 * MS  # how often that is looked at,
WATCH_IDLE = 200 * MS  # and where nothing is out
MIN_REDIAL_DELAY, MAX_REDIAL_DELAY = 250 * MS, 2 * SECOND
MAX_LINKS = 4  # connections to one server
LINGER_TIME = 2 * SECOND  # a replaced connection is read for so long: its server may write until it notices
REMEMBERED = 60 * SECOND  # an ended call's id is known for so long, that a repeat is told from a stranger
MIN_STOP_TIME = 800 * MS  # after SIGTERM callers may come for 0.7 s
STOP_AFTER = 400 * MS  # and the kill no sooner than the longest deadline, or this much of it, and 0.7 s:
MAX_STOP_TIME = 3 * SECOND  # what is open after deadline and STOP_AFTER is answered first
HAND_OVER_MOST = 5 * SECOND  # the same where a successor is there: its platform waits for longer
OPEN_PER_MB = 30  # calls that may wait at once, by the memory there is
HELD_PART = 16  # and of the memory their descriptions may fill one part in so many: each may be of 16 KiB
NUMBER_MOST = 255  # characters of a number called: it is kept as long as its call
UNHEARD_MOST = 1000  # releases kept for a connection whose caller confirms none
TURN_MOST = 16  # messages, and timers, of one turn: its clock is read at its start, and must still be true
CALLER_SHARE = 0.45  # of the descriptors; callers hold a third at most, this guards the rest
CALLERS_PER_MB = 5  # 40 KB for one that is silent, 80 KB while it pushes messages of 16 KiB
SPARE = 16  # connections of callers above that, accepted while room is made
IDLE_TIMEOUT = 6 * SECOND  # a caller's connection without a call is closed then; callers do it after 4 s
EVICTABLE_IDLE = 4200 * MS  # so one with none for so long and still there goes first where room is needed
NEWCOMER = 500 * MS  # a caller speaks as soon as it is connected: one silent for longer goes before those
REMEMBERED_PER_MB = 150  # ended calls, of 0.35 KB each
INHERITED = 30 * SECOND  # after the start: later, calls of a former life are over
INHERITED_MOST = 2000

SERVER_OUTCOMES = {
    Reason.FULL: Outcome.FULL,
    Reason.BUSY: Outcome.ERROR,
    Reason.FAULT: Outcome.ERROR,
    Reason.MOOT: Outcome.MOOT,
    Reason.INTERRUPTED: Outcome.RESET,
}


@dataclass(slots=True)
class Config:
    """What the deployment tells this softswitch."""

    name: str
    listen: str
    seed: int
    sockets: int
    bulletin: str
    known: tuple[int, list[ListUpdate]]  # the number reached and the events up to it
    settings: api.Settings
    classes: dict[str, int]
    longest: tuple[int, ...]  # by class: how long a caller waits at most
    widths: tuple[int, ...]  # by class
    max_open: int
    max_held_bytes: int  # bytes, of the descriptions of open calls
    max_callers: int  # connections
    max_ended: int  # ended calls that are remembered
    dial_timeout: int
    operator: str = ""  # the operators' address; empty: there is none
    tenants: dict[str, int] = field(default_factory=dict)  # places in the settings, by name
    inherited_fd: int | None = None  # descriptor of the callers' listening socket, if the platform holds it

    @classmethod
    def read(cls, text: str | bytes) -> Config:
        raw = ujson.loads(text)
        if not isinstance(raw, dict) or not isinstance(require_value(raw, "settings", "settings"), dict):
            raise ValueError("setting settings: no object")
        conf, machine = raw["settings"], get_section(raw, "limits")
        settings = read_settings(conf)  # first: it says what is wrong with the classes
        limits, classes = get_section(conf, "limits"), conf["classes"]
        widths = get_section(conf, "family_info").get("widths")
        names = [
            str(require_value(item, "name", f"classes[{place}].name")) for place, item in enumerate(classes)
        ]
        parties = enumerate(conf.get("parties") or ())
        tenants = {
            str(require_value(item, "name", f"parties[{place}].name")): place for place, item in parties
        }
        max_open = read_integer(limits, "max_open", "limits.max_open", 0) or 20000
        memory_mb = read_integer(machine, "memory_mb", "limits.memory_mb", 0) or 192
        sockets = read_integer(machine, "sockets", "limits.sockets", 1024)
        links.parse_address(str(require_value(raw, "bulletin", "bulletin")))  # one nobody can call is wrong
        links.parse_address(str(require_value(raw, "listen", "listen")))
        return cls(
            name=str(require_value(raw, "name", "name")),
            listen=str(raw["listen"]),
            seed=convert(require_value(raw, "seed", "seed"), "seed", lambda text: int(str(text), 16)),
            sockets=sockets,
            bulletin=str(raw["bulletin"]),
            known=bulletin.read_events(raw.get("known") or {"no": 0, "items": []}),
            settings=settings,
            classes={name: place for place, name in enumerate(names)},
            longest=tuple(
                (read_integer(item, "give_up_ns", f"classes[{place}].give_up_ns", 0) or DEFAULT_MAX_WAIT * NS)
                // NS
                for place, item in enumerate(classes)
            ),
            widths=tuple(
                1 if (width := read_for_class(widths, place, "family_info.widths", int)) is None else width
                for place in range(len(classes))
            ),
            max_open=min(max_open, memory_mb * OPEN_PER_MB),
            max_held_bytes=(memory_mb << 20) // HELD_PART,
            max_callers=min(int(sockets * CALLER_SHARE), memory_mb * CALLERS_PER_MB),
            max_ended=memory_mb * REMEMBERED_PER_MB,
            dial_timeout=(read_integer(limits, "dial_timeout_ns", "limits.dial_timeout_ns", 0) or SECOND * NS)
            // NS,
            inherited_fd=int(os.environ["ROUTER_ACCEPT_FD"]) if os.environ.get("ROUTER_ACCEPT_FD") else None,
            tenants=tenants,
            operator=os.environ.get("ROUTER_OPERATOR") or str(raw.get("operator") or ""),
        )


@dataclass(slots=True, eq=False)
class Server:
    """A setup server, known by its host: its address may be another's later."""

    host: str
    address: str
    number: int
    state: ServerState
    born: int  # 0: long ago
    link: Link | None = None
    linked_at: int = 0  # when that connection came up
    reply_us: int = 0  # how soon a word about a set-up is owed, where the protocol has such a time
    pending_us: int = 0  # and how much later after a word that it is at work
    usual: int = 0  # how long a set-up takes there, smoothed
    dialing: bool = False
    lost: bool = False  # the last connection broke, and none has come up since
    refusals: int = 0  # connects refused since
    redial_after: int = MIN_REDIAL_DELAY
    redial_pending: bool = False
    beside_after: int = 0  # no second connection is tried before that
    replaced_links: list[Link] = field(default_factory=list)  # silent ones, until what is out on them is over
    lingering_links: list[Link] = field(default_factory=list)  # ended on our side, and still read
    waiting: list[Attempt] = field(default_factory=list)  # for a connection
    attempts: dict[int, Attempt] = field(default_factory=dict)  # by the call's id: out, or standing


@dataclass(slots=True, eq=False)
class Attempt:
    call: Call
    index: int
    server: Server
    sent_at: int
    last_at: int  # it is over then, whatever is said about it
    limit_at: int  # and before that, where a server owes a word sooner
    link: Link | None = None  # None: still waiting for one
    stands: bool = False


@dataclass(slots=True, eq=False)
class Call:
    """A call from its set-up to its end."""

    controller_id: int  # the controller's id for it
    call_id: int  # its id in messages
    set_up: SetUp
    klass: int
    caller: Link
    deadline: int
    tenant: int = -1  # its place in the settings
    attempts: int = 0
    attempt: Attempt | None = None  # the one that is out, or stands
    table: object = None  # of number analysis, as it was when the call was taken in


class SharedState:
    """What the stages share: the clock, the timers, the tables and the counters."""

    def __init__(self, config: Config, now: int) -> None:
        self.config = config
        self.now = self.started_at = now
        # Fixed once: a start that seemed to move would read as a restart.
        self.unix_offset = time.time_ns() // NS - now
        self.inbox: links.Inbox = SimpleQueue()
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.servers: dict[str, Server] = {}
        self.open_calls: dict[int, Call] = {}  # by the id in messages: no final answer yet
        self.calls_by_id: dict[int, Call] = {}  # the same by the controller's id
        self.standing: dict[int, Attempt] = {}  # by the id in messages
        self.held_bytes = 0  # bytes of the descriptions of open calls
        # A server's connection is judged by the time in which a call is wanted.
        self.min_aim = min(item.aim for item in config.settings.classes) // NS
        self.caller_limit = config.max_callers
        self.caller_links: dict[Link, None] = {}  # connections that were accepted, oldest first
        self.calling_links: dict[
            Link, None
        ] = {}  # those on which a call was spoken of: the front's tests are none
        self.counters: Counter[str] = Counter()
        self.list_known = False
        self.mode = Mode()
        self.stopping_at = 0  # when the state became one that ends
        self.tally = ResultCounts(tuple(config.classes))
        self.inherited_calls = InheritedCalls()
        self.recorder = CallRecorder()  # of each call, for its journal where one is kept

    def born_ms(self, server: Server) -> int:
        """The start of a server in Unix milliseconds, as the list tells it; 0: long ago."""
        return (server.born + self.unix_offset) // MS if server.born else 0

    def schedule(self, due: int, do: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (due, next(self.order), do))


class BookStage:
    """Last stage: the one final answer of each call, releases towards callers, and the counters."""

    def __init__(self, shared: SharedState) -> None:
        self.shared = shared
        self.ended: OrderedDict[int, tuple[int, bool]] = OrderedDict()  # id -> when, and whether answered
        self.on_closed: Callable[[int], None] = lambda number: None  # a call is open no more
        self.unsent: deque[tuple[str, Release]] = deque(maxlen=UNHEARD_MOST)  # whose, where none was open

    def final(self, call: Call, message: Answer | Release, kind: str) -> bool:
        """The final answer; False if the call has had it."""
        if not self._closed(call):
            return False
        self.shared.counters[f"answered_{kind}"] += 1
        self.shared.tally.count_result(call.klass, kind)
        log.info("%016x answered: %s", call.call_id, kind)
        if isinstance(message, Answer):
            call.caller.had_call = True
        else:
            self.remember(call.call_id)
        if not call.caller.send(message):
            self.shared.counters["answers_undeliverable"] += 1
        return True

    def gone(self, call: Call) -> None:
        """The caller has left: nothing is owed."""
        if self._closed(call):
            self.shared.counters["callers_left"] += 1
            self.remember(call.call_id, answered=False)  # it may come again, if its connection was closed

    def _closed(self, call: Call) -> bool:
        """Take a call out of the tables of open ones; False if it was none of them any more."""
        if self.shared.open_calls.pop(call.call_id, None) is None:
            return False
        self.shared.calls_by_id.pop(call.controller_id, None)
        if call.attempt is None or not call.attempt.stands:
            self.shared.recorder.call_ended(call.call_id)
        self.on_closed(call.controller_id)
        call.caller.calls.pop(call.call_id, None)
        self.shared.held_bytes -= len(call.set_up.description)
        call.set_up = replace(call.set_up, description=b"")  # it may stand for long, and needs it no more
        return True

    def send_release(self, release: Release, caller: Link | None, kin: str = "") -> None:
        """Release a call that stood, on its own connection or any other from the same callers."""
        self.remember(release.call)
        kin = caller.peer_id if caller is not None else kin
        for link in self._towards(caller, kin):
            if link.is_closing:
                continue
            if not link.closed and link.send(release):
                # Written is not heard: the caller may be closing this connection just now.
                link.unconfirmed[release.call] = release
                link.heard_at = self.shared.now  # it is in use
                if len(link.unconfirmed) > UNHEARD_MOST:
                    del link.unconfirmed[next(iter(link.unconfirmed))]
                self.shared.counters["releases_sent"] += 1
                return
        self.unsent.append((kin, release))

    def _towards(self, caller: Link | None, kin: str) -> Iterator[Link]:
        """Connections of callers on which a release may go: its own first, and as a rule none after it."""
        if caller is not None:
            yield caller
        # On a stranger's connection a release may never be heard: those that had a call come first.
        others = [link for link in reversed(self.shared.calling_links) if link.peer_id == kin]
        others.sort(key=lambda link: not link.had_call)
        yield from others

    def spoke(self, link: Link) -> None:
        """A caller is there: releases that found no connection go out."""
        if link in self.shared.calling_links:
            return
        self.shared.calling_links[link] = None
        for _ in range(len(self.unsent)):
            kin, release = self.unsent.popleft()
            self.send_release(release, link if link.peer_id == kin else None, kin)

    def closed(self, link: Link) -> None:
        """What a connection has not confirmed before its end goes out on another."""
        unheard, link.unconfirmed = link.unconfirmed, {}
        for release in unheard.values():
            self.shared.counters["releases_sent_again"] += 1
            self.send_release(release, None, link.peer_id)

    def remember(self, wire: int, answered: bool = True) -> None:
        now = self.shared.now
        self.ended[wire] = (now, answered)
        self.ended.move_to_end(wire)
        most = self.shared.config.max_ended
        while len(self.ended) > most or next(iter(self.ended.values()))[0] < now - REMEMBERED:
            self.ended.popitem(last=False)

    def answered(self, wire: int) -> bool:
        return self.ended.get(wire, (0, False))[1]

    def inherited(self) -> bool:
        """Whether a release of an unknown call may be about one of this softswitch's life before its restart.

        Only for a while and so many: a caller that releases what it never set up must not reach the servers.
        """
        shared = self.shared
        if (
            shared.now - shared.started_at > INHERITED
            or shared.counters["releases_inherited"] >= INHERITED_MOST
        ):
            return False
        shared.counters["releases_inherited"] += 1
        return True


class RouteStage:
    """The bridge to the controller: microseconds and messages here, its events and actions there.

    What an action brings about at once (a cancelled attempt, a connection refused) is told after the actions
    before it are done: the controller is never called from within its own answer.
    """

    def __init__(self, shared: SharedState) -> None:
        config = shared.config
        self.shared = shared
        self.controller = Controller(config.settings, config.seed)
        self.news: deque[api.Event] = deque()
        self.busy = False
        self.acts: dict[type, Callable[[Any], None]] = {}  # filled by the softswitch that owns the stages

    def tell(self, event: api.Event) -> None:
        self.news.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.news:
                for action in self.controller.handle(self.news.popleft(), self.shared.now * NS):
                    self.acts[type(action)](action)
        finally:
            self.busy = False

    def wake(self, action: api.Wake) -> None:
        due = -(-action.due // NS)
        self.shared.schedule(due, lambda: self.tell(api.TimerDue(action.token)))

    def report(self, figures: Mapping[str, float]) -> dict[str, float]:
        """A report names its figures as the settings do, on either wire."""
        return {REPORT_FIELDS[name]: value for name, value in figures.items() if name in REPORT_FIELDS}

    def ended(self, attempt: Attempt, outcome: Outcome, over: bool, release: Release | None = None) -> None:
        self.shared.counters[f"attempts_{outcome.value}"] += 1
        took = self.shared.now - attempt.sent_at
        log.info("%016x #%d %s at %s after %d us, %s", attempt.call.call_id, attempt.index, outcome.value,
                 attempt.server.host, took, release and (release.note, release.report))  # fmt: skip
        self.tell(
            api.AttemptEnded(
                call=attempt.call.controller_id,
                attempt=attempt.index,
                server=attempt.server.host,
                outcome=outcome,
                delay=took * NS,
                call_over=over,
                callee_busy=release is not None and release.note is Note.LINES_BUSY,
                report=self.report(release.report) if release else {},
                no_line=release is not None and release.note is Note.NO_CIRCUIT,
            )
        )


class SendStage:
    """Attempts on their way to setup servers, and the connections they need."""

    def __init__(self, shared: SharedState, route: RouteStage, book: BookStage) -> None:
        self.shared, self.route, self.book = shared, route, book
        self.probes: dict[int, tuple[Server, int]] = {}
        self.reader = links.Reader()
        self.watch_at = 0
        self.random = random.Random(shared.config.seed ^ 0xD1A1)
        self.probes_left, self.probes_at = MAX_SAVED_PROBES, shared.now
        self.probe_ids = itertools.count(shared.config.seed & 0xFFFFFFFF0000 | 1 << 63)

    def send(self, action: api.Send) -> None:
        call, server = self.shared.calls_by_id.get(action.call), self.shared.servers.get(action.server)
        if call is None:
            return
        now = self.shared.now
        attempt = Attempt(
            call,
            call.attempts,
            server or Server(action.server, "", -1, ServerState.GONE, 0),
            now,
            last_at := min(now + max(action.timeout // NS, 1), call.deadline),
            min(last_at, now + server.reply_us) if server is not None and server.reply_us else last_at,
        )
        call.attempts += 1
        if (
            server is None
            or call.attempt is not None
            or call.attempts > self.shared.config.settings.max_attempts
        ):
            return self.route.ended(attempt, Outcome.MOOT, over=False)
        call.attempt = server.attempts[call.call_id] = attempt
        self.watch_by(now + WATCH)
        # By number, like every timer of a call: one that held the call would keep its description, of up to
        # 16 KiB, until the deadline, long after a refusal.
        self.shared.schedule(attempt.limit_at, partial(self.expire, call.controller_id, attempt.index))
        self._write(attempt)

    def _write(self, attempt: Attempt) -> None:
        """The one gate: here a set-up's bytes leave, or begin to wait for a connection."""
        server, call = attempt.server, attempt.call
        if call.caller.has_left(call.call_id):
            # Its caller's end or release is on its way to the loop: nobody waits for this call any more.
            self.shared.counters["attempts_spared"] += 1
            self.drop(attempt)
            self.book.gone(call)
            return self.route.ended(attempt, Outcome.MOOT, over=True)
        if server.state is not ServerState.ACTIVE:
            self.drop(attempt)  # told to drain while this waited for a connection
            return self.route.ended(attempt, Outcome.MOOT, over=call.call_id not in self.shared.open_calls)
        wait_ms = max((attempt.last_at - self.shared.now) // MS, 1)
        onward = SetUp(call.call_id, call.set_up.klass, wait_ms, call.set_up.number, call.set_up.description)
        if server.link is not None:
            born_ms = self.shared.born_ms(server)
            self.shared.recorder.attempt_sent(call.call_id, attempt.index, server.host, born_ms)
        if server.link is not None and server.link.send(onward):
            attempt.link = server.link
            self.shared.counters["set_ups_sent"] += 1
            if log.isEnabledFor(logging.INFO):
                why = self._why(attempt).value
                log.info("%016x #%d sent to %s (%s)", call.call_id, attempt.index, server.host, why)
            return
        server.link = None  # closing, if there was one
        server.waiting.append(attempt)
        self.connect(server)

    def _why(self, attempt: Attempt) -> SendReason:
        known = self.route.controller.servers.get(attempt.server.host)
        wanted, fails = attempt.call.set_up.first_choice, known.failures if known is not None else 0
        return classify_send(attempt.index, wanted, attempt.server.number, fails)

    def drop(self, attempt: Attempt) -> None:
        """Take an attempt that is over out of the tables."""
        self.shared.recorder.attempt_over(attempt.call.call_id)
        attempt.server.attempts.pop(attempt.call.call_id, None)
        self.shared.standing.pop(attempt.call.call_id, None)
        if attempt in attempt.server.waiting:
            attempt.server.waiting.remove(attempt)
        if attempt.call.attempt is attempt:
            attempt.call.attempt = None
        if attempt.link in attempt.server.replaced_links:
            self.retire(attempt.server)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop an attempt that is out, towards its server too."""
        server, link = attempt.server, attempt.link
        if link is not None and not link.withdraw(attempt.call.call_id):
            link.send(Release(attempt.call.call_id, Reason.CLEARED))
            silent = link.heard_at < min(attempt.sent_at, self.shared.now - SILENCE_TIMEOUT)
            if silent and link is server.link:
                # Nothing at all since before the set-up was sent. A machine that was cut off may be back
                # while its old connections stay silent for ever: try a new one beside this.
                self.connect(server, additional=True)
        elif outcome is Outcome.TIMEOUT:
            outcome = Outcome.CONNECT_FAILED  # it never left: nothing may be held against the call
        self.drop(attempt)
        self.route.ended(attempt, outcome, over=attempt.call.call_id not in self.shared.open_calls)

    def expire(self, number: int, index: int) -> None:
        attempt = self._out(number, index)
        if attempt is not None and self.shared.now >= attempt.limit_at:  # else it has been moved
            self.give_up(attempt, Outcome.TIMEOUT)

    def moved(self, server: Server, link: Link, message: Progress) -> None:
        """A server that owes a word says that it is at work: it may take longer, though not than the call."""
        attempt = server.attempts.get(message.call)
        if server.pending_us and attempt is not None and not attempt.stands and attempt.link is link:
            attempt.limit_at = min(attempt.last_at, self.shared.now + server.pending_us)
            self.shared.schedule(
                attempt.limit_at, partial(self.expire, attempt.call.controller_id, attempt.index)
            )

    def cancel(self, action: api.Cancel) -> None:
        attempt = self._out(action.call, action.attempt)
        if attempt is not None:
            self.give_up(attempt, Outcome.CANCELLED)

    def _out(self, number: int, index: int) -> Attempt | None:
        """This attempt of an open call, if it is still out."""
        call = self.shared.calls_by_id.get(number)
        attempt = call.attempt if call else None
        return attempt if attempt is not None and attempt.index == index and not attempt.stands else None

    # Connections to servers.

    def connect(self, server: Server, additional: bool = False) -> None:
        wanted = additional or server.link is None
        if wanted and not server.dialing and server.state is not ServerState.GONE:
            server.dialing = True
            self.shared.counters["dials"] += 1
            links.dial(
                server.address, self.shared.config.dial_timeout, self.shared.inbox, server, self.reader
            )

    def connect_soon(self, server: Server) -> None:
        """Connect at a drawn moment, as all softswitches hear of a server at once. No call waits for it."""
        if server.link is None and not server.dialing and not server.redial_pending:
            server.redial_pending = True
            self.shared.schedule(
                self.shared.now + jitter.draw_dial_delay_us(self.random), partial(self._connect_due, server)
            )

    def _connect_due(self, server: Server) -> None:
        server.redial_pending = False
        self.connect(server)

    def opened(self, link: Link, server: Server) -> None:
        server.dialing = False
        if server.state is ServerState.GONE:
            return link.close()
        if server.link is not None:
            server.replaced_links.append(server.link)
            self.shared.counters["links_replaced"] += 1
        link.heard_at = self.shared.now
        server.link, server.linked_at, server.lost, server.refusals = link, self.shared.now, False, 0
        waiting, server.waiting = server.waiting, []
        for attempt in waiting:
            self._write(attempt)
        self.retire(server)
        if server.replaced_links and self.shared.config.settings.may_probe:
            self.ask(server, link)  # its answer shows that the server is well and the silent connection dumb

    def retire(self, server: Server) -> None:
        """Close replaced connections with nothing out on them, and the oldest where there are several."""
        busy = {a.link for a in server.attempts.values() if not a.stands}
        while server.replaced_links and (
            len(server.replaced_links) >= MAX_LINKS - 1 or server.replaced_links[0] not in busy
        ):
            link = server.replaced_links.pop(0)
            if link in busy:
                link.finish()  # what was out on it is given up when its end is heard
            else:
                link.finish(keep_reading=True)
                self.part(server, link)
        while (
            server.lingering_links and len(server.replaced_links) + len(server.lingering_links) >= MAX_LINKS
        ):
            server.lingering_links.pop(0).close()

    def part(self, server: Server, link: Link) -> None:
        """Read on, for a while, where nothing more is said: releases of calls set up there may be on the way.

        The server sends them there until it notices the end, and on another connection only then.
        """
        server.lingering_links.append(link)
        self.shared.schedule(self.shared.now + LINGER_TIME, link.close)

    def failed(self, failure: DialFailed) -> None:
        server: Server = failure.owner
        server.dialing = False
        self.shared.counters["dials_refused" if failure.refused else "dials_failed"] += 1
        self.stranded(server)
        if server.link is not None:
            server.beside_after = self.shared.now + MIN_REDIAL_DELAY  # a draining server refuses each of them
            # It was to stand beside one that is still there. Refused, it says that the machine lives, and the
            # open one that its process does: a draining server takes no newcomers and serves what it has.
            if not failure.refused and self.shared.now - server.link.heard_at > VANISHED_TIMEOUT:
                # Silent for long, and no new connection comes up: the machine has vanished, and what stood
                # there with it. The bulletin may tell only when it is back, too late for the callers.
                self.shared.counters["servers_vanished"] += 1
                self.abandon(server, self.shared.now, "silent, and no new connection comes up")
            return
        server.refusals += failure.refused and server.lost
        if server.refusals == DEAD:
            # Reset, and now nobody listens: the process has died, and its calls with it. The bulletin says so
            # seconds later. Not at the first refusal: what the process said last may be on its way still.
            self.cut(server, self.shared.now, "reset, and refuses connections")
        self.redial(server)

    def stranded(self, server: Server) -> None:
        """What waits for a connection to this server has waited in vain: it never ran."""
        waiting, server.waiting = server.waiting, []
        for attempt in waiting:
            self.drop(attempt)
            self.route.ended(
                attempt, Outcome.CONNECT_FAILED, over=attempt.call.call_id not in self.shared.open_calls
            )

    def redial(self, server: Server) -> None:
        """Connect again later; one timer a server, however many set-ups have dialled in between."""
        if server.redial_pending:
            return
        server.redial_pending = True
        self.shared.schedule(self.shared.now + server.redial_after, partial(self._connect_due, server))
        server.redial_after = min(2 * server.redial_after, MAX_REDIAL_DELAY)

    def closed(self, link: Link, server: Server) -> None:
        """The set-ups open on a connection are given up with it; a call that stands belongs to none."""
        if server.link is link:
            server.link, server.lost = None, True
        elif link in server.replaced_links:
            server.replaced_links.remove(link)
        elif link in server.lingering_links:
            server.lingering_links.remove(link)
        for attempt in [a for a in server.attempts.values() if a.link is link and not a.stands]:
            self.drop(attempt)
            self.route.ended(attempt, Outcome.RESET, over=attempt.call.call_id not in self.shared.open_calls)
        if server.link is not None:
            return  # it had a successor: nothing is missing, and the next wait must not grow for it
        if self.shared.now - server.linked_at < SECOND:
            return self.redial(server)  # a server that slams the door must not be dialled in a tight circle
        server.redial_after = MIN_REDIAL_DELAY
        self.connect(server)

    def watch(self) -> None:
        """Look after what is out: answers get lost, and connections go dumb while their servers are well."""
        now = self.shared.now
        if now < self.watch_at:
            return  # brought forward since, and done
        idle = True
        for server in [*self.shared.servers.values()]:
            since: dict[Link | None, int] = {}  # when the oldest of what is out on each was sent
            for attempt in server.attempts.values():
                if not attempt.stands:
                    since[attempt.link] = min(since.get(attempt.link, now), attempt.sent_at)
            idle = idle and not since and not server.replaced_links
            for link in [*server.replaced_links]:
                self.check_replaced_link(server, link, now - max(link.heard_at, since.get(link, now)))
            if server.link is not None and server.attempts:
                self.doubt(server, server.link, since.get(server.link, now))
        self.watch_by(now + (WATCH_IDLE if idle else WATCH))

    def watch_by(self, due: int) -> None:
        """Look again then, at the latest."""
        if not self.shared.now < self.watch_at <= due:
            self.watch_at = due
            self.shared.schedule(due, self.watch)

    def doubt(self, server: Server, link: Link, sent: int) -> None:
        """Ask after a set-up that is out for long; where even that brings nothing, try a new connection.

        The answer to the probe shows the controller what is lost: else it hears so from the next set-up that
        stands there, and a softswitch with few calls has none for half an aim. A dumb connection swallows the
        probe too. The new one beside it shows who is alive; without probes it is tried after half the
        shortest time in which a call is wanted.
        """
        now = self.shared.now
        quiet = now - max(link.heard_at, sent)
        patience = max(int(DOUBT * server.usual), DOUBT_LEAST)
        if self.shared.config.settings.may_probe and now - max(sent, link.probed_at) > patience:
            self.ask(server, link)
        unanswered = link.probed_at > link.heard_at and now - link.probed_at > max(server.usual, DOUBT_LEAST)
        doubted = quiet > self.shared.min_aim // 2 or now - link.heard_at > SILENCE_TIMEOUT
        if (doubted or (unanswered and quiet > patience)) and now >= server.beside_after:
            self.connect(server, additional=True)

    def check_replaced_link(self, server: Server, link: Link, quiet: int) -> None:
        """Break a replaced connection off once its successor shows it to be dumb: a processor works in turn.

        An answer there to what was sent later means that the connection alone is at fault: a time-out would
        mark a server that is well, and that may be the only one. After the whole time in which a call is
        wanted, and if the successor has brought anything at all, what is out here has timed out.
        """
        if server.link is None:
            return
        overtaken = link.heard_at < link.probed_at <= server.linked_at - DOUBT_LEAST
        if server.link.has_answered and (overtaken or quiet > self.shared.min_aim // 2):
            self.break_off(server, link, Outcome.RESET)
        elif server.link.has_spoken and quiet > self.shared.min_aim:
            self.break_off(server, link, Outcome.TIMEOUT)

    def break_off(self, server: Server, link: Link, outcome: Outcome) -> None:
        """Close a connection on which no answer will come any more."""
        self.shared.counters["links_dumb"] += 1
        if link in server.replaced_links:
            server.replaced_links.remove(link)
        link.close(keep_reading=True)
        self.part(server, link)
        for attempt in [a for a in server.attempts.values() if a.link is link and not a.stands]:
            self.drop(attempt)
            self.route.ended(attempt, outcome, over=attempt.call.call_id not in self.shared.open_calls)

    def abandon(self, server: Server, before: int, why: str) -> None:
        """The process that served until then is gone, its connections with it.

        They go first: what the controller sends to its successor on hearing of a cut must find none of them.
        """
        stale = [*server.replaced_links]
        # A connection made after the start leads to the new process already.
        if server.link and (server.state is ServerState.GONE or server.linked_at <= before):
            stale.append(server.link)
        for link in stale:
            link.close()
            self.closed(link, server)
        if server.state is ServerState.GONE:
            self.stranded(server)
        self.cut(server, before, why)

    def cut(self, server: Server, before: int, why: str) -> None:
        """The process that served until then is gone: what stood or was out there is cut."""
        lost = [a for a in server.attempts.values() if a.sent_at <= before and a not in server.waiting]
        if lost:
            log.warning("%s (%s): %s; %d calls", server.host, server.state.value, why, len(lost))
        for wire in self.shared.inherited_calls.take_by_host(server.host):
            self.shared.counters["calls_cut"] += 1
            self.book.send_release(Release(wire, Reason.INTERRUPTED), None)
        for attempt in lost:
            self.drop(attempt)
            if attempt.stands:
                self.shared.counters["calls_cut"] += 1
                self.book.send_release(Release(attempt.call.call_id, Reason.INTERRUPTED), attempt.call.caller)
            self.route.ended(attempt, Outcome.RESET, over=attempt.call.call_id not in self.shared.open_calls)

    # Probes.

    def probe(self, action: api.Probe) -> None:
        server = self.shared.servers.get(action.server)
        if server is None or server.link is None:
            return
        self.ask(server, server.link)

    def ask(self, server: Server, link: Link) -> None:
        """Probe a server, as often as its part of all softswitches' probes allows.

        Each is work of a processor that is late already: two hundred that ask after one slow set-up each,
        again and again, take more of it than the calls do.
        """
        settings, now = self.route.controller.settings, self.shared.now
        flow = PROBES_PER_SERVER * max(len(self.shared.servers), 1) / settings.proxies
        self.probes_left = min(MAX_SAVED_PROBES, self.probes_left + flow * (now - self.probes_at) / SECOND)
        self.probes_at = now
        if self.probes_left < 1:
            return
        number = next(self.probe_ids)
        if link.send(Test(number, probe=True)):
            self.probes_left -= 1
            link.probed_at = self.shared.now
            self.shared.counters["probes_sent"] += 1
            log.info("%s is asked after %d us without a word", server.host, self.shared.now - link.heard_at)
            self.probes[number] = (server, self.shared.now)
            self.shared.schedule(self.shared.now + PROBE_WAIT, lambda: self.probe_over(number))

    def probe_over(self, number: int) -> None:
        self.probed(number, None)

    def probed(self, number: int, figures: Mapping[str, float] | None) -> bool:
        """A probe is answered, or (with no figures) turned away or its time is up."""
        server, at = self.probes.pop(number, (None, 0))
        if server is None:
            return False
        log.info("%s: a probe %s after %d us", server.host,
                 "has no answer" if figures is None else "is answered", self.shared.now - at)  # fmt: skip
        report = self.route.report(figures or {})
        took = (self.shared.now - at) * NS
        self.route.tell(api.ProbeAnswered(server.host, figures is not None, took, report))
        return True


class RelayStage:
    """What setup servers say about a call, on to its caller, and a caller's release to its server."""

    def __init__(self, shared: SharedState, route: RouteStage, send: SendStage, book: BookStage) -> None:
        self.shared, self.route, self.send, self.book = shared, route, send, book

    def answer(self, server: Server, link: Link, message: Answer) -> None:
        attempt = server.attempts.get(message.call)
        if attempt is None or attempt.stands or self._stale(attempt, link):
            self.shared.counters["strays"] += 1  # an answer to what was given up; the server knows by now
            return
        call = attempt.call
        attempt.stands = link.has_answered = True
        self.shared.recorder.call_stands(call.call_id)
        if not self.book.final(call, message, "stands"):
            return
        self.shared.standing[call.call_id] = attempt
        took = self.shared.now - attempt.sent_at
        log.info("%016x #%d stands at %s after %d us", call.call_id, attempt.index, server.host, took)
        server.usual += (took - server.usual) // 8
        self.route.tell(api.CallStands(call.controller_id, attempt.index, server.host, took * NS))

    def release(self, server: Server, link: Link, message: Release) -> None:
        link.send(ReleaseComplete(message.call))
        attempt = server.attempts.get(message.call)
        if attempt is None:
            known = message.call in self.book.ended or message.call in self.shared.open_calls
            if known or message.call in self.shared.standing:
                self.shared.counters["strays"] += 1  # a server repeats its own, or ends an attempt given up
            elif self.shared.inherited_calls.take(message.call) or self.book.inherited():
                # A call of this softswitch's life before its restart: it stands at its caller still.
                self.book.send_release(Release(message.call, message.reason), None)
            return
        if (not attempt.stands or link in server.lingering_links) and self._stale(attempt, link):
            self.shared.counters["strays"] += 1
            return
        self.send.drop(attempt)
        if attempt.stands:
            self.book.send_release(Release(message.call, message.reason), attempt.call.caller)
            outcome = Outcome.ENDED if message.reason is Reason.CLEARED else Outcome.RESET
            return self.route.ended(attempt, outcome, True, message)
        outcome = SERVER_OUTCOMES.get(message.reason, Outcome.ERROR)
        self.route.ended(attempt, outcome, attempt.call.call_id not in self.shared.open_calls, message)

    def _stale(self, attempt: Attempt, link: Link) -> bool:
        """Whether this is about an earlier attempt of the same call there, on a connection replaced since:
        what is out is spoken of on its own connection while that is open."""
        return attempt.link is None or (attempt.link is not link and not attempt.link.closed)

    def hung_up(self, message: Release) -> bool:
        """The caller releases a call that stands."""
        attempt = self.shared.standing.get(message.call)
        if attempt is None:
            host = self.shared.inherited_calls.take(message.call)
            if host or (message.call not in self.book.ended and self.book.inherited()):
                # A call of this softswitch's life before its restart: whichever server has it will know.
                self.book.remember(message.call)
                self.shared.recorder.call_ended(message.call)
                for server in self.shared.servers.values():
                    if server.link is not None and host in (None, server.host):
                        server.link.send(Release(message.call, message.reason))
            return False
        self.send.drop(attempt)
        self.shared.recorder.call_ended(message.call)
        self.book.remember(message.call)
        self.shared.counters["calls_hung_up"] += 1
        link = attempt.server.link or attempt.link
        if link is not None:
            link.send(Release(message.call, message.reason))
        self.route.ended(attempt, Outcome.CANCELLED, True)
        return True


class AdmitStage:
    """A call that was taken in: turned away if the softswitch itself is full, else told to the controller."""

    def __init__(self, shared: SharedState, route: RouteStage, book: BookStage) -> None:
        self.shared, self.route, self.book = shared, route, book

    def call(self, call: Call) -> None:
        shared = self.shared
        late = self.leaves()
        full = (
            len(shared.open_calls) > shared.config.max_open
            or shared.held_bytes > shared.config.max_held_bytes
        )
        if late or full:
            # When to come back, where callers are told that: the same caller at once again helps nobody.
            settings = shared.config.settings
            away = settings.max_retry_after // (NS * MS) if settings.heeds_retry_after else 0
            refusal = Release(call.call_id, Reason.CONGESTED, stay_away_ms=away)
            self.book.final(call, refusal, "turned_away")
        elif self.analyse is not None:
            self.analyse(call)
        else:
            self.proceed(call)

    def proceed(self, call: Call, candidates: tuple[int, ...] = ()) -> None:
        """Hand a call to the controller, with the servers it may go to where its number was analysed."""
        self.route.tell(
            api.NewCall(
                call=call.controller_id,
                klass=call.klass,
                max_wait=(call.deadline - self.shared.now) * NS,
                first_choice=candidates[0] if candidates else call.set_up.first_choice,
                repeat=call.set_up.repeat,
                candidates=candidates,
                tenant=call.tenant,
                callee=call.set_up.number,
                advised_server=call.set_up.advised_server,
            )
        )

    def reject_number(self, call: Call, reason: Reason) -> None:
        """The number called leads nowhere: nothing was sent, and trying again would change nothing."""
        self._end(call, Release(call.call_id, reason), "no_route")

    def refused(self, action: api.Refuse) -> None:
        call = self.shared.calls_by_id.get(action.call)
        if call is not None:
            away = -(-action.retry_after // (NS * MS))
            self._end(call, Release(call.call_id, Reason.CONGESTED, stay_away_ms=away), "refused")

    def failed(self, action: api.Fail) -> None:
        call = self.shared.calls_by_id.get(action.call)
        if call is not None:
            self._end(call, Release(call.call_id, Reason.FAILED), "failed")

    def _end(self, call: Call, message: Release, kind: str) -> None:
        attempt = call.attempt
        self.book.final(call, message, kind)
        if attempt is not None and not attempt.stands:
            over = self.shared.now >= attempt.limit_at
            self.give_up(attempt, Outcome.TIMEOUT if over else Outcome.CANCELLED)

    give_up: Callable[[Attempt, Outcome], None]
    leaves: Callable[[], bool]  # whether newcomers are sent away: drained, or about to end
    analyse: Callable[[Call], None] | None = None  # number analysis, where it is on


class TakeInStage:
    """First stage: what callers say. A set-up becomes a call here, or is answered as unreadable."""

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
        self.serial = itertools.count(1)

    def set_up(self, link: Link, message: SetUp, at: int) -> None:
        """A set-up that was whole at `at`, in microseconds: its caller waits from then on."""
        shared = self.shared
        shared.counters["taken_in"] += 1
        call = shared.open_calls.get(message.call)
        if call is not None and call.caller is not link and call.set_up == message:
            # Sent again because a connection closed under it: the answer goes where the caller is now.
            call.caller.calls.pop(call.call_id, None)
            call.caller = link
            link.calls[call.call_id] = call
            shared.counters["set_ups_repeated"] += 1
            return
        klass = shared.config.classes.get(message.klass)
        trouble = self.trouble(message, klass)
        if trouble or klass is None:
            return self.reject(link, message, trouble)
        deadline = max(at + message.wait_ms * MS - ANSWER_MARGIN, shared.now + MS)
        tenant = shared.config.tenants.get(message.tenant, -1)
        if passed_over := message.ignored_fields + (tenant < 0 and message.tenant != ""):
            shared.counters["set_up_fields_passed_over"] += passed_over
        call = Call(next(self.serial), message.call, message, klass, link, deadline, tenant)
        shared.open_calls[call.call_id] = shared.calls_by_id[call.controller_id] = link.calls[
            call.call_id
        ] = call
        shared.held_bytes += len(message.description)
        shared.recorder.call_taken(call.call_id)
        try:
            self.admit.call(call)
        finally:
            # Only for what is still open: thousands that were refused at once must not leave a timer each.
            if call.controller_id in shared.calls_by_id:
                shared.schedule(deadline + ANSWER_MARGIN // 2, partial(self.overdue, call.controller_id))

    def trouble(self, message: SetUp, klass: int | None) -> str:
        """What is wrong with a set-up. What no setup server could use must reach none: it would be answered
        with an error or, where it cannot be read, by closing the connection that all others share."""
        shared, config = self.shared, self.shared.config
        if not message.call:
            return "no id"
        taken = (
            message.call in shared.open_calls
            or message.call in shared.standing
            or message.call in shared.inherited_calls
        )
        if taken or self.book.answered(message.call):
            return "an id that is taken"  # another's call must not be answered here, nor this one's twice
        if klass is None:
            return "an unknown class"
        # Callers round up, and a clock may have run on: a little over the longest wait is no nonsense yet.
        if not 0 < message.wait_ms * MS <= 2 * config.longest[klass]:
            return "a wait out of range"
        if not 0 < len(message.number) <= NUMBER_MOST or not message.description:
            return "no number, an endless one, or no description"
        allowed = config.settings.classes[klass].allowed
        if message.first_choice != -1 and allowed is not None and message.first_choice not in allowed:
            return "a first choice that the class may not use"
        if not 0 < message.width <= config.widths[klass]:
            return "a width out of range"
        return ""

    def reject(self, link: Link, message: SetUp, trouble: str) -> None:
        """Answer what makes no sense, and end the connection unless others' calls wait on it.

        A caller that sends two set-ups under one id would get two answers to it: its connection ends at once.
        """
        log.info("a set-up with %s", trouble)
        self.shared.counters["answered_malformed"] += 1
        if message.klass in self.shared.config.classes:
            self.shared.tally.count_result(self.shared.config.classes[message.klass], "malformed")
        if message.call in link.calls:
            self.drop(link)
            return
        link.send(Release(message.call, Reason.MALFORMED))
        if not link.calls:
            link.is_closing = True
            link.finish()

    def drop(self, link: Link) -> None:
        """Close a caller's connection from this side: what comes on it from now on is not taken in."""
        link.is_closing = True
        link.close()

    def make_room(self) -> None:
        """Before callers' connections run out, close some that no call waits on.

        First those that stay and say nothing: silent since they came, then unused for long; an eighth of the
        room at once, since hundreds come together. Only then, and no more than must be, who has just come: a
        table full of callers that asked once and stayed would keep all others out. One that has sent what is
        not dealt with yet is spared: its set-up would be lost with it. A set-up that crosses such a close is
        sent again.
        """
        shared = self.shared
        staying: list[Link] = []
        others: list[Link] = []
        count = 0
        for link in shared.caller_links:
            if not link.is_closing:
                count += 1
                if not link.calls:
                    patience = EVICTABLE_IDLE if link in shared.calling_links else NEWCOMER
                    (staying if shared.now - link.heard_at >= patience else others).append(link)
        for some, spare in ((staying, shared.caller_limit // 8), (others, 0)):
            some.sort(key=lambda link: (link in shared.calling_links, link.heard_at))
            for link in some:
                if count <= shared.caller_limit - spare:
                    break
                if not link.has_unread():
                    count -= 1
                    shared.counters["callers_closed_for_room"] += 1
                    self.drop(link)

    def overdue(self, number: int) -> None:
        """The host's own guard: whatever the controller does, a call has its answer in time."""
        call = self.shared.calls_by_id.get(number)
        if call is not None:
            self.shared.counters["overdue"] += 1
            attempt = call.attempt
            self.book.final(call, Release(call.call_id, Reason.FAILED), "failed")
            self.route.tell(api.CallerLeft(call.controller_id))
            if attempt is not None:
                self.send.give_up(attempt, Outcome.TIMEOUT)

    def release(self, link: Link, message: Release) -> None:
        link.send(ReleaseComplete(message.call))
        call = self.shared.open_calls.get(message.call)
        if call is not None and call.caller is link:
            return self.left(call)
        if call is not None or not self.relay.hung_up(message):
            self.shared.counters["strays"] += 1

    def left(self, call: Call) -> None:
        attempt = call.attempt
        self.book.gone(call)
        self.route.tell(api.CallerLeft(call.controller_id))
        if attempt is not None and not attempt.stands:
            self.send.give_up(attempt, Outcome.CANCELLED)

    def test(self, link: Link, message: Test) -> None:
        shared = self.shared
        link.send(TestResult(message.call, shared.list_known and shared.mode.state is State.SERVING))

    def closed(self, link: Link) -> None:
        self.shared.caller_links.pop(link, None)
        self.shared.calling_links.pop(link, None)
        for call in list(link.calls.values()):
            self.left(call)
        self.book.closed(link)


class NumberAnalysis(Protocol):
    """Number analysis, as the loop sees it."""

    def start(self) -> None: ...
    def analyse_call(self, call: Call) -> None: ...
    def call_ended(self, number: int) -> None: ...
    def handle_result(self, item: object) -> None: ...
    def reload(self) -> None: ...
    def counts(self) -> dict[str, int]: ...


class Softswitch:
    """Builds the stages and turns the loop."""

    def __init__(
        self,
        config: Config,
        reread: Callable[[], Config] | None = None,
        numbers: Callable[[SharedState, AdmitStage], NumberAnalysis] | None = None,
        store: LearnedStore | None = None,
    ) -> None:
        now = time.monotonic_ns() // NS
        self.reread = reread  # how the configuration is read again
        shared = self.shared = SharedState(config, now)
        self.book = BookStage(shared)
        self.route = RouteStage(shared)
        self.send = SendStage(shared, self.route, self.book)
        self.relay = RelayStage(shared, self.route, self.send, self.book)
        self.admit = AdmitStage(shared, self.route, self.book)
        self.admit.give_up = self.send.give_up
        self.numbers = numbers(shared, self.admit) if numbers is not None else None
        if self.numbers is not None:
            self.admit.analyse, self.book.on_closed = self.numbers.analyse_call, self.numbers.call_ended
        self.take_in = TakeInStage(shared, self.route, self.admit, self.send, self.relay, self.book)
        self.operation = Operation(shared, self.take_in, store)
        self.admit.leaves = self.operation.refuses_set_ups
        self.route.acts = {
            api.Send: self.send.send,
            api.Refuse: self.admit.refused,
            api.Fail: self.admit.failed,
            api.Cancel: self.send.cancel,
            api.Wake: self.route.wake,
            api.Probe: self.send.probe,
            api.Message: lambda action: None,  # softswitches share nothing
            api.FollowList: lambda action: None,  # the bulletin client follows it anyhow
        }
        self.room = threading.Semaphore(shared.caller_limit + SPARE)
        self.listener = links.Listener(
            config.listen, shared.inbox, self.room, inherited_fd=config.inherited_fd
        )
        self.bulletin: bulletin.Client | None = None
        self.stop_requested = False
        self.reload_requested = False
        self.counts_requested = False

    def run(self) -> None:
        """Serve until told to stop, then answer what was taken."""
        shared = self.shared
        self.route.tell(api.Started())
        self.send.reader.start()
        self.send.watch()
        self.close_idle_callers()
        if self.numbers is not None:
            self.numbers.start()
        after, events = shared.config.known
        for event in events:
            self.list(event)
        drawn = random.Random(shared.config.seed ^ 0x1157)
        grace_s = shared.config.settings.drain_grace / NS / SECOND
        self.bulletin = bulletin.Client(shared.config.bulletin, after, shared.inbox.put, drawn, grace_s)
        self.bulletin.start()
        self.operation.start()
        self.listener.start()
        while not self._finished():
            self.turn()
        for number in list(shared.calls_by_id):
            self.take_in.overdue(number)  # better a failure now than silence at the kill
        self.listener.close()
        self._flush()
        self.operation.stop()
        self.print_counts()

    def turn(self) -> None:
        shared = self.shared
        batch: list[Any] = []
        try:
            due = shared.timers[0][0] if shared.timers else shared.now + SECOND
            wait = (due - shared.now) / SECOND  # of this turn's start: the clock is read once a turn
            batch.append(shared.inbox.get(timeout=min(wait, 0.2)) if wait > 0 else shared.inbox.get_nowait())
            while len(batch) < TURN_MOST:
                batch.append(shared.inbox.get_nowait())
        except Empty:
            pass
        shared.now = time.monotonic_ns() // NS
        for item in batch:
            self.guard(partial(self.dispatch, item))
        for _ in range(TURN_MOST):
            if not shared.timers or shared.timers[0][0] > shared.now:
                break
            self.guard(heapq.heappop(shared.timers)[2])
        if (
            self.stop_requested
            and (step := shared.mode.handle(self.operation.termination_event())).is_accepted
        ):
            shared.stopping_at = shared.now
            if step.state is State.HANDING_OVER:
                self.listener.close()  # what comes now is the successor's
        if self.reload_requested:
            self.reload_requested = False
            if shared.mode.handle(Event.HANGUP).is_accepted:
                self.guard(self.reload)
        self.guard(self.operation.turn)
        shared.recorder.end_turn(shared.now)
        if self.counts_requested:
            self.counts_requested = False
            self.print_counts()

    def reload(self) -> None:
        """Read the configuration again; one that cannot be read changes nothing.

        Only the bulletin's address can change under way: calls and connections are none of its business, and
        whatever else has changed takes a restart.
        """
        shared = self.shared
        if self.numbers is not None:
            self.numbers.reload()
        try:
            config = self.reread() if self.reread else shared.config
        except Exception as trouble:  # whatever a half-written file brings about, serving goes on
            shared.counters["reloads_failed"] += 1
            log.error("the old configuration stays: %s", trouble)
            return
        shared.counters["reloads"] += 1
        old = shared.config
        for name in ("name", "listen", "sockets", "settings", "classes"):
            if getattr(config, name) != getattr(old, name):
                log.warning("%s has changed in the configuration: that takes a restart", name)
        if config.bulletin != old.bulletin and self.bulletin is not None:
            log.warning("the bulletin moves from %s to %s", old.bulletin, config.bulletin)
            old.bulletin = config.bulletin
            self.bulletin.change_address(config.bulletin)

    def close_idle_callers(self) -> None:
        """Close callers' connections that have had no call for long: some ask once and stay for ever."""
        shared = self.shared
        shared.schedule(shared.now + SECOND, self.close_idle_callers)
        busy = {attempt.call.caller for attempt in shared.standing.values()}
        for link in shared.caller_links.keys() - busy:
            if link.is_closing and shared.now - link.heard_at > SECOND:
                link.close()  # its last answer is still unread: it would keep its place for ever
            elif link.calls or link.is_closing or shared.now - link.heard_at <= IDLE_TIMEOUT:
                continue
            elif not link.has_unread():  # a set-up that has come meanwhile would be lost
                shared.counters["callers_closed_unused"] += 1
                self.take_in.drop(link)

    def guard(self, do: Callable[[], None]) -> None:
        """An error of our own costs the one message or timer, never the calls of everybody else."""
        try:
            do()
        except Exception:
            log.exception("a fault of our own")
            self.shared.counters["faults"] += 1

    def dispatch(self, item: Any) -> None:
        match item:
            case Received(link=link, message=message, shares=shares, at=at):
                link.mark_processed(shares)
                link.has_spoken = True
                if not link.is_closing:
                    link.heard_at = self.shared.now
                if isinstance(link.owner, Server):
                    self.from_server(link.owner, link, message)
                else:
                    self.from_caller(link, message, at)
            case Opened(link=link) if isinstance(link.owner, Server):
                self.send.opened(link, link.owner)
            case Opened(link=link):
                link.heard_at = self.shared.now
                self.shared.caller_links[link] = None
                if len(self.shared.caller_links) > self.shared.caller_limit:
                    self.take_in.make_room()
            case Closed(link=link, malformed=malformed):
                link.closed = True
                self.shared.counters["malformed"] += malformed
                if isinstance(link.owner, Server):
                    self.send.closed(link, link.owner)
                else:
                    self.take_in.closed(link)
            case DialFailed():
                self.send.failed(item)
            case ListUpdate():
                self.list(item)
            case HandoverReceived():
                self.operation.on_handover(item)
            case _ if self.numbers is not None:
                self.numbers.handle_result(item)

    def from_caller(self, link: Link, message: Message, at: int) -> None:
        if link.is_closing:
            return
        match message:
            case SetUp():
                self.book.spoke(link)
                self.take_in.set_up(link, message, at)
            case Release():
                link.withdrawn.discard(message.call)
                self.book.spoke(link)
                self.take_in.release(link, message)
            case Test():
                self.take_in.test(link, message)
            case ReleaseComplete():
                link.unconfirmed.pop(message.call, None)
                self.shared.recorder.call_ended(message.call)
            case Progress():
                pass
            case _:
                self.shared.counters["malformed"] += 1  # a caller that talks like a server
                self.take_in.drop(link)

    def from_server(self, server: Server, link: Link, message: Message) -> None:
        match message:
            case Answer():
                self.relay.answer(server, link, message)
            case Release():
                self.relay.release(server, link, message)
            case TestResult(call=number, passed=False):
                # Turned away: a processor that is asked by hundreds answers so at once, past its line, and
                # that says nothing of what waits there.
                self.send.probed(number, None)
            case GroupState(call=number, report=figures) | TestResult(call=number, report=figures):
                if self.send.probed(number, figures):
                    link.has_answered = True
                elif figures:
                    report = self.route.report(figures)
                    self.route.tell(api.ProbeAnswered(server.host, True, 0, report))
            case Progress():
                self.send.moved(server, link, message)
            case SetUp() | Test():
                self.shared.counters["malformed"] += 1  # a server that talks like a caller
                link.close()

    def list(self, roster: ListUpdate) -> None:
        """A change of the list of setup servers."""
        shared = self.shared
        entries = []
        away: list[tuple[Server, int]] = []  # with when what they had was lost
        for line in roster.listed_servers:
            born = max(line.born_ms * MS - shared.unix_offset, 1) if line.born_ms else 0
            server = shared.servers.get(line.host)
            if server is None:
                server = shared.servers[line.host] = Server(
                    line.host, line.address, line.number, line.state, born, usual=shared.min_aim // 4
                )
            elif born > server.born:
                away.append((server, born))
            server.address, server.number, server.state = line.address, line.number, line.state
            server.born = max(server.born, born)
            entries.append(api.ServerEntry(line.host, line.number, server.born * NS, line.state))
        if roster.is_complete:
            listed = {line.host for line in roster.listed_servers}
            for server in shared.servers.values():
                if server.host not in listed:
                    server.state = ServerState.GONE
        kind = api.ListKind.COMPLETE if roster.is_complete else api.ListKind.CHANGES
        # The controller first: a call cut by this change must not be sent to who has left.
        self.route.tell(api.ServerList(kind, tuple(entries)))
        away += [
            (server, shared.now) for server in shared.servers.values() if server.state is ServerState.GONE
        ]
        for server, before in away:
            if server.state is ServerState.GONE:
                del shared.servers[server.host]
            why = "gone" if server.state is ServerState.GONE else "started anew"
            self.send.abandon(server, before, why)
        for server in shared.servers.values():
            self.send.connect_soon(server)
        shared.list_known = shared.list_known or bool(shared.servers)

    def _finished(self) -> bool:
        shared = self.shared
        if not shared.stopping_at:
            return False
        since = shared.now - shared.stopping_at
        handing_over = shared.mode.state is State.HANDING_OVER
        most = min(max(shared.config.longest), HAND_OVER_MOST if handing_over else MAX_STOP_TIME) + STOP_AFTER
        return since >= most or (since >= MIN_STOP_TIME and not shared.open_calls and not self._pending())

    def _pending(self) -> bool:
        """Whether callers have said what is not dealt with: taken, though nobody has looked at it."""
        callers = self.shared.caller_links
        return not self.shared.inbox.empty() or any(x.has_pending() for x in callers if not x.is_closing)

    def _flush(self) -> None:
        ends = [*self.shared.caller_links, *(s.link for s in self.shared.servers.values() if s.link)]
        for link in ends:
            link.finish()
        until = time.monotonic() + 0.1  # a peer that does not read must not hold the end up
        while time.monotonic() < until and not all(link.is_drained() for link in ends):
            time.sleep(0.002)

    def print_counts(self) -> None:
        counts = {
            "name": self.shared.config.name,
            "open": len(self.shared.open_calls),
            **sorted_counts(self.shared.counters),
            **(self.numbers.counts() if self.numbers is not None else {}),
        }
        print(ujson.dumps(counts), file=sys.stderr, flush=True)


def sorted_counts(counts: Counter[str]) -> dict[str, int]:
    return dict(sorted(counts.items()))


def exit_process(code: int = 0) -> None:
    """End at once: the threads of silent peers must not hold the exit up."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
