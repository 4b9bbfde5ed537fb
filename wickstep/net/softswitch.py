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
    ReleaseHeard,
    SetUp,
    Test,
    TestResult,
    bulletin,
    links,
)
from wickstep.net.bulletin import Roster
from wickstep.net.links import Came, Closed, DialFailed, Link, Opened
from wickstep.operation.bequest import Bequest
from wickstep.operation.beside import Departed
from wickstep.operation.figures import Tally
from wickstep.operation.mode import Event, Mode, State
from wickstep.operation.service import Operation
from wickstep.recovery import phases
from wickstep.recovery.notes import Notes
from wickstep.settings import REPORT_FIELDS, made, need, of_class, read_settings, section, whole
from wickstep.spread.reasons import Why, reason

if TYPE_CHECKING:
    from wickstep.recovery.store import Store

log = logging.getLogger(__name__)

MS = 1000  # microseconds, the unit of every time in this file
SECOND = 1000 * MS
NS = 1000  # nanoseconds in a microsecond: the controller's unit

LONGEST = 60 * SECOND  # a caller's wait where the settings name none
MARGIN = 10 * MS  # a call is given up so long before its caller would, or the two would cross
PROBE_WAIT = 250 * MS
PROBES_A_SERVER = 3.0  # that one is asked in a second, by all softswitches together
PROBES_SAVED = 3.0  # of this one's part
SILENT = 2 * SECOND  # a connection that has brought nothing for so long is doubted
VANISHED = 4 * SECOND  # and after so long its machine is given up, if no new connection comes up either
DEAD = 2  # connects refused in a row, after a reset, that mean a dead process
DOUBT, DOUBT_LEAST = 1.5, 40 * MS  # a set-up out for so many times the usual is asked after, by a probe
WATCH = 20 * MS  # how often that is looked at,
WATCH_IDLE = 200 * MS  # and where nothing is out
REDIAL_FIRST, REDIAL_MOST = 250 * MS, 2 * SECOND
LINKS_MOST = 4  # connections to one server
PARTING = 2 * SECOND  # a replaced connection is read for so long: its server may write until it notices
REMEMBERED = 60 * SECOND  # an ended call's id is known for so long, that a repeat is told from a stranger
NOTICE = 800 * MS  # after SIGTERM callers may come for 0.7 s
STOP_AFTER = 400 * MS  # and the kill no sooner than the longest deadline, or this much of it, and 0.7 s:
STOP_MOST = 3 * SECOND  # what is open after deadline and STOP_AFTER is answered first
HAND_OVER_MOST = 5 * SECOND  # the same where a successor is there: its platform waits for longer
OPEN_PER_MB = 30  # calls that may wait at once, by the memory there is
HELD_PART = 16  # and of the memory their descriptions may fill one part in so many: each may be of 16 KiB
NUMBER_MOST = 255  # characters of a number called: it is kept as long as its call
UNHEARD_MOST = 1000  # releases kept for a connection whose caller confirms none
TURN_MOST = 16  # messages, and timers, of one turn: its clock is read at its start, and must still be true
CALLER_SHARE = 0.45  # of the descriptors; callers hold a third at most, this guards the rest
CALLERS_PER_MB = 5  # 40 KB for one that is silent, 80 KB while it pushes messages of 16 KiB
SPARE = 16  # connections of callers above that, accepted while room is made
UNUSED = 6 * SECOND  # a caller's connection without a call is closed then; callers do it after 4 s themselves
STAYED = 4200 * MS  # so one that had none for so long and is still there goes first where room is needed
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
    known: tuple[int, list[Roster]]  # the number reached and the events up to it
    settings: api.Settings
    classes: dict[str, int]
    longest: tuple[int, ...]  # by class: how long a caller waits at most
    widths: tuple[int, ...]  # by class
    max_open: int
    max_held: int  # bytes, of the descriptions of open calls
    max_callers: int  # connections
    max_ended: int  # ended calls that are remembered
    dial_timeout: int
    operator: str = ""  # the operators' address; empty: there is none
    tenants: dict[str, int] = field(default_factory=dict)  # places in the settings, by name
    inherited: int | None = None  # descriptor of the callers' listening socket, where the platform holds it

    @classmethod
    def read(cls, text: str | bytes) -> Config:
        raw = ujson.loads(text)
        if not isinstance(raw, dict) or not isinstance(need(raw, "settings", "settings"), dict):
            raise ValueError("setting settings: no object")
        conf, machine = raw["settings"], section(raw, "limits")
        settings = read_settings(conf)  # first: it says what is wrong with the classes
        limits, classes = section(conf, "limits"), conf["classes"]
        widths = section(conf, "family_info").get("widths")
        names = [str(need(item, "name", f"classes[{place}].name")) for place, item in enumerate(classes)]
        parties = enumerate(conf.get("parties") or ())
        tenants = {str(need(item, "name", f"parties[{place}].name")): place for place, item in parties}
        max_open = whole(limits, "max_open", "limits.max_open", 0) or 20000
        memory_mb = whole(machine, "memory_mb", "limits.memory_mb", 0) or 192
        sockets = whole(machine, "sockets", "limits.sockets", 1024)
        links.address(str(need(raw, "bulletin", "bulletin")))  # one that cannot be called is no configuration
        links.address(str(need(raw, "listen", "listen")))
        return cls(
            name=str(need(raw, "name", "name")),
            listen=str(raw["listen"]),
            seed=made(need(raw, "seed", "seed"), "seed", lambda text: int(str(text), 16)),
            sockets=sockets,
            bulletin=str(raw["bulletin"]),
            known=bulletin.read_events(raw.get("known") or {"no": 0, "items": []}),
            settings=settings,
            classes={name: place for place, name in enumerate(names)},
            longest=tuple(
                (whole(item, "give_up_ns", f"classes[{place}].give_up_ns", 0) or LONGEST * NS) // NS
                for place, item in enumerate(classes)
            ),
            widths=tuple(
                1 if (width := of_class(widths, place, "family_info.widths", int)) is None else width
                for place in range(len(classes))
            ),
            max_open=min(max_open, memory_mb * OPEN_PER_MB),
            max_held=(memory_mb << 20) // HELD_PART,
            max_callers=min(int(sockets * CALLER_SHARE), memory_mb * CALLERS_PER_MB),
            max_ended=memory_mb * REMEMBERED_PER_MB,
            dial_timeout=(whole(limits, "dial_timeout_ns", "limits.dial_timeout_ns", 0) or SECOND * NS) // NS,
            inherited=int(os.environ["ROUTER_ACCEPT_FD"]) if os.environ.get("ROUTER_ACCEPT_FD") else None,
            tenants=tenants,
            operator=os.environ.get("ROUTER_OPERATOR") or str(raw.get("operator") or ""),
        )


@dataclass(slots=True, eq=False)
class Server:
    """A setup server, known by its host: its address may be another's later."""

    host: str
    dial: str
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
    redial_after: int = REDIAL_FIRST
    redial_pending: bool = False
    beside_after: int = 0  # no second connection is tried before that
    retiring: list[Link] = field(default_factory=list)  # silent ones, until what is out on them is over
    parting: list[Link] = field(default_factory=list)  # ended on our side, and still read
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

    number: int  # the controller's id for it
    wire: int  # its id in messages
    set_up: SetUp
    klass: int
    caller: Link
    deadline: int
    tenant: int = -1  # its place in the settings
    attempts: int = 0
    attempt: Attempt | None = None  # the one that is out, or stands
    table: object = None  # of number analysis, as it was when the call was taken in


class Floor:
    """What the stages share: the clock, the timers, the tables and the counters."""

    def __init__(self, config: Config, now: int) -> None:
        self.config = config
        self.now = self.started_at = now
        # Fixed once: a start that seemed to move would read as a restart.
        self.unix_at_zero = time.time_ns() // NS - now
        self.inbox: links.Inbox = SimpleQueue()
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.servers: dict[str, Server] = {}
        self.open: dict[int, Call] = {}  # by the id in messages: no final answer yet
        self.numbers: dict[int, Call] = {}  # the same by the controller's id
        self.standing: dict[int, Attempt] = {}  # by the id in messages
        self.held = 0  # bytes of the descriptions of open calls
        # A server's connection is judged by the time in which a call is wanted.
        self.wanted = min(item.aim for item in config.settings.classes) // NS
        self.callers_most = config.max_callers
        self.callers: dict[Link, None] = {}  # connections that were accepted, oldest first
        self.speakers: dict[
            Link, None
        ] = {}  # those on which a call was spoken of: the front's tests are none
        self.counts: Counter[str] = Counter()
        self.list_known = False
        self.mode = Mode()
        self.stopping_at = 0  # when the state became one that ends
        self.tally = Tally(tuple(config.classes))
        self.bequest = Bequest()
        self.notes = Notes()  # of each call, for its journal where one is kept

    def born_ms(self, server: Server) -> int:
        """The start of a server in Unix milliseconds, as the list tells it; 0: long ago."""
        return (server.born + self.unix_at_zero) // MS if server.born else 0

    def at(self, due: int, do: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (due, next(self.order), do))


class Book:
    """Last stage: the one final answer of each call, releases towards callers, and the counters."""

    def __init__(self, floor: Floor) -> None:
        self.floor = floor
        self.ended: OrderedDict[int, tuple[int, bool]] = OrderedDict()  # id -> when, and whether answered
        self.on_closed: Callable[[int], None] = lambda number: None  # a call is open no more
        self.unsent: deque[tuple[str, Release]] = deque(maxlen=UNHEARD_MOST)  # whose, where none was open

    def final(self, call: Call, message: Answer | Release, kind: str) -> bool:
        """The final answer; False if the call has had it."""
        if not self._closed(call):
            return False
        self.floor.counts[f"answered_{kind}"] += 1
        self.floor.tally.ended(call.klass, kind)
        log.info("%016x answered: %s", call.wire, kind)
        if isinstance(message, Answer):
            call.caller.had_call = True
        else:
            self.remember(call.wire)
        if not call.caller.send(message):
            self.floor.counts["answers_undeliverable"] += 1
        return True

    def gone(self, call: Call) -> None:
        """The caller has left: nothing is owed."""
        if self._closed(call):
            self.floor.counts["callers_left"] += 1
            self.remember(call.wire, answered=False)  # it may come again, if its connection was closed

    def _closed(self, call: Call) -> bool:
        """Take a call out of the tables of open ones; False if it was none of them any more."""
        if self.floor.open.pop(call.wire, None) is None:
            return False
        self.floor.numbers.pop(call.number, None)
        if call.attempt is None or not call.attempt.stands:
            self.floor.notes.ended(call.wire)
        self.on_closed(call.number)
        call.caller.calls.pop(call.wire, None)
        self.floor.held -= len(call.set_up.description)
        call.set_up = replace(call.set_up, description=b"")  # it may stand for long, and needs it no more
        return True

    def released(self, release: Release, caller: Link | None, kin: str = "") -> None:
        """Release a call that stood, on its own connection or any other from the same callers."""
        self.remember(release.call)
        kin = caller.kin if caller is not None else kin
        for link in self._towards(caller, kin):
            if link.leaving:
                continue
            if not link.closed and link.send(release):
                # Written is not heard: the caller may be closing this connection just now.
                link.unheard[release.call] = release
                link.heard_at = self.floor.now  # it is in use
                if len(link.unheard) > UNHEARD_MOST:
                    del link.unheard[next(iter(link.unheard))]
                self.floor.counts["releases_sent"] += 1
                return
        self.unsent.append((kin, release))

    def _towards(self, caller: Link | None, kin: str) -> Iterator[Link]:
        """Connections of callers on which a release may go: its own first, and as a rule none after it."""
        if caller is not None:
            yield caller
        # On a stranger's connection a release may never be heard: those that had a call come first.
        others = [link for link in reversed(self.floor.speakers) if link.kin == kin]
        others.sort(key=lambda link: not link.had_call)
        yield from others

    def spoke(self, link: Link) -> None:
        """A caller is there: releases that found no connection go out."""
        if link in self.floor.speakers:
            return
        self.floor.speakers[link] = None
        for _ in range(len(self.unsent)):
            kin, release = self.unsent.popleft()
            self.released(release, link if link.kin == kin else None, kin)

    def closed(self, link: Link) -> None:
        """What a connection has not confirmed before its end goes out on another."""
        unheard, link.unheard = link.unheard, {}
        for release in unheard.values():
            self.floor.counts["releases_sent_again"] += 1
            self.released(release, None, link.kin)

    def remember(self, wire: int, answered: bool = True) -> None:
        now = self.floor.now
        self.ended[wire] = (now, answered)
        self.ended.move_to_end(wire)
        most = self.floor.config.max_ended
        while len(self.ended) > most or next(iter(self.ended.values()))[0] < now - REMEMBERED:
            self.ended.popitem(last=False)

    def answered(self, wire: int) -> bool:
        return self.ended.get(wire, (0, False))[1]

    def inherited(self) -> bool:
        """Whether a release of an unknown call may be about one of this softswitch's life before its restart.

        Only for a while and so many: a caller that releases what it never set up must not reach the servers.
        """
        floor = self.floor
        if floor.now - floor.started_at > INHERITED or floor.counts["releases_inherited"] >= INHERITED_MOST:
            return False
        floor.counts["releases_inherited"] += 1
        return True


class Route:
    """The bridge to the controller: microseconds and messages here, its events and actions there.

    What an action brings about at once (a cancelled attempt, a connection refused) is told after the actions
    before it are done: the controller is never called from within its own answer.
    """

    def __init__(self, floor: Floor) -> None:
        config = floor.config
        self.floor = floor
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
                for action in self.controller.handle(self.news.popleft(), self.floor.now * NS):
                    self.acts[type(action)](action)
        finally:
            self.busy = False

    def wake(self, action: api.Wake) -> None:
        due = -(-action.due // NS)
        self.floor.at(due, lambda: self.tell(api.TimerDue(action.token)))

    def report(self, figures: Mapping[str, float]) -> dict[str, float]:
        """A report names its figures as the settings do, on either wire."""
        return {REPORT_FIELDS[name]: value for name, value in figures.items() if name in REPORT_FIELDS}

    def ended(self, attempt: Attempt, outcome: Outcome, over: bool, release: Release | None = None) -> None:
        self.floor.counts[f"attempts_{outcome.value}"] += 1
        took = self.floor.now - attempt.sent_at
        log.info("%016x #%d %s at %s after %d us, %s", attempt.call.wire, attempt.index, outcome.value,
                 attempt.server.host, took, release and (release.note, release.report))  # fmt: skip
        self.tell(
            api.AttemptEnded(
                call=attempt.call.number,
                attempt=attempt.index,
                server=attempt.server.host,
                outcome=outcome,
                took=took * NS,
                call_over=over,
                callee_busy=release is not None and release.note is Note.LINES_BUSY,
                report=self.report(release.report) if release else {},
                no_line=release is not None and release.note is Note.NO_CIRCUIT,
            )
        )


class Send:
    """Attempts on their way to setup servers, and the connections they need."""

    def __init__(self, floor: Floor, route: Route, book: Book) -> None:
        self.floor, self.route, self.book = floor, route, book
        self.probes: dict[int, tuple[Server, int]] = {}
        self.reader = links.Reader()
        self.watch_at = 0
        self.random = random.Random(floor.config.seed ^ 0xD1A1)
        self.probes_left, self.probes_at = PROBES_SAVED, floor.now
        self.probe_ids = itertools.count(floor.config.seed & 0xFFFFFFFF0000 | 1 << 63)

    def send(self, action: api.Send) -> None:
        call, server = self.floor.numbers.get(action.call), self.floor.servers.get(action.server)
        if call is None:
            return
        now = self.floor.now
        attempt = Attempt(
            call,
            call.attempts,
            server or Server(action.server, "", -1, ServerState.GONE, 0),
            now,
            last_at := min(now + max(action.limit // NS, 1), call.deadline),
            min(last_at, now + server.reply_us) if server is not None and server.reply_us else last_at,
        )
        call.attempts += 1
        if (
            server is None
            or call.attempt is not None
            or call.attempts > self.floor.config.settings.max_attempts
        ):
            return self.route.ended(attempt, Outcome.MOOT, over=False)
        call.attempt = server.attempts[call.wire] = attempt
        self.watch_by(now + WATCH)
        # By number, like every timer of a call: one that held the call would keep its description, of up to
        # 16 KiB, until the deadline, long after a refusal.
        self.floor.at(attempt.limit_at, partial(self.expire, call.number, attempt.index))
        self._write(attempt)

    def _write(self, attempt: Attempt) -> None:
        """The one gate: here a set-up's bytes leave, or begin to wait for a connection."""
        server, call = attempt.server, attempt.call
        if call.caller.left(call.wire):
            # Its caller's end or release is on its way to the loop: nobody waits for this call any more.
            self.floor.counts["attempts_spared"] += 1
            self.drop(attempt)
            self.book.gone(call)
            return self.route.ended(attempt, Outcome.MOOT, over=True)
        if server.state is not ServerState.ACTIVE:
            self.drop(attempt)  # told to drain while this waited for a connection
            return self.route.ended(attempt, Outcome.MOOT, over=call.wire not in self.floor.open)
        wait_ms = max((attempt.last_at - self.floor.now) // MS, 1)
        onward = SetUp(call.wire, call.set_up.klass, wait_ms, call.set_up.number, call.set_up.description)
        if server.link is not None:
            born_ms = self.floor.born_ms(server)
            self.floor.notes.sent(call.wire, attempt.index, server.host, born_ms)
        if server.link is not None and server.link.send(onward):
            attempt.link = server.link
            self.floor.counts["set_ups_sent"] += 1
            if log.isEnabledFor(logging.INFO):
                why = self._why(attempt).value
                log.info("%016x #%d sent to %s (%s)", call.wire, attempt.index, server.host, why)
            return
        server.link = None  # closing, if there was one
        server.waiting.append(attempt)
        self.connect(server)

    def _why(self, attempt: Attempt) -> Why:
        known = self.route.controller.servers.get(attempt.server.host)
        wanted, fails = attempt.call.set_up.first_choice, known.fails if known is not None else 0
        return reason(attempt.index, wanted, attempt.server.number, fails)

    def drop(self, attempt: Attempt) -> None:
        """Take an attempt that is over out of the tables."""
        self.floor.notes.over(attempt.call.wire)
        attempt.server.attempts.pop(attempt.call.wire, None)
        self.floor.standing.pop(attempt.call.wire, None)
        if attempt in attempt.server.waiting:
            attempt.server.waiting.remove(attempt)
        if attempt.call.attempt is attempt:
            attempt.call.attempt = None
        if attempt.link in attempt.server.retiring:
            self.retire(attempt.server)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop an attempt that is out, towards its server too."""
        server, link = attempt.server, attempt.link
        if link is not None and not link.withdraw(attempt.call.wire):
            link.send(Release(attempt.call.wire, Reason.CLEARED))
            silent = link.heard_at < min(attempt.sent_at, self.floor.now - SILENT)
            if silent and link is server.link:
                # Nothing at all since before the set-up was sent. A machine that was cut off may be back
                # while its old connections stay silent for ever: try a new one beside this.
                self.connect(server, beside=True)
        elif outcome is Outcome.TIMEOUT:
            outcome = Outcome.CONNECT_FAILED  # it never left: nothing may be held against the call
        self.drop(attempt)
        self.route.ended(attempt, outcome, over=attempt.call.wire not in self.floor.open)

    def expire(self, number: int, index: int) -> None:
        attempt = self._out(number, index)
        if attempt is not None and self.floor.now >= attempt.limit_at:  # else it has been moved
            self.give_up(attempt, Outcome.TIMEOUT)

    def moved(self, server: Server, link: Link, message: Progress) -> None:
        """A server that owes a word says that it is at work: it may take longer, though not than the call."""
        attempt = server.attempts.get(message.call)
        if server.pending_us and attempt is not None and not attempt.stands and attempt.link is link:
            attempt.limit_at = min(attempt.last_at, self.floor.now + server.pending_us)
            self.floor.at(attempt.limit_at, partial(self.expire, attempt.call.number, attempt.index))

    def cancel(self, action: api.Cancel) -> None:
        attempt = self._out(action.call, action.attempt)
        if attempt is not None:
            self.give_up(attempt, Outcome.CANCELLED)

    def _out(self, number: int, index: int) -> Attempt | None:
        """This attempt of an open call, if it is still out."""
        call = self.floor.numbers.get(number)
        attempt = call.attempt if call else None
        return attempt if attempt is not None and attempt.index == index and not attempt.stands else None

    # Connections to servers.

    def connect(self, server: Server, beside: bool = False) -> None:
        wanted = beside or server.link is None
        if wanted and not server.dialing and server.state is not ServerState.GONE:
            server.dialing = True
            self.floor.counts["dials"] += 1
            links.dial(server.dial, self.floor.config.dial_timeout, self.floor.inbox, server, self.reader)

    def connect_soon(self, server: Server) -> None:
        """Connect at a drawn moment, as all softswitches hear of a server at once. No call waits for it."""
        if server.link is None and not server.dialing and not server.redial_pending:
            server.redial_pending = True
            self.floor.at(self.floor.now + phases.dial_us(self.random), partial(self._connect_due, server))

    def _connect_due(self, server: Server) -> None:
        server.redial_pending = False
        self.connect(server)

    def opened(self, link: Link, server: Server) -> None:
        server.dialing = False
        if server.state is ServerState.GONE:
            return link.close()
        if server.link is not None:
            server.retiring.append(server.link)
            self.floor.counts["links_replaced"] += 1
        link.heard_at = self.floor.now
        server.link, server.linked_at, server.lost, server.refusals = link, self.floor.now, False, 0
        waiting, server.waiting = server.waiting, []
        for attempt in waiting:
            self._write(attempt)
        self.retire(server)
        if server.retiring and self.floor.config.settings.may_probe:
            self.ask(server, link)  # its answer shows that the server is well and the silent connection dumb

    def retire(self, server: Server) -> None:
        """Close replaced connections with nothing out on them, and the oldest where there are several."""
        busy = {a.link for a in server.attempts.values() if not a.stands}
        while server.retiring and (len(server.retiring) >= LINKS_MOST - 1 or server.retiring[0] not in busy):
            link = server.retiring.pop(0)
            if link in busy:
                link.finish()  # what was out on it is given up when its end is heard
            else:
                link.finish(hears=True)
                self.part(server, link)
        while server.parting and len(server.retiring) + len(server.parting) >= LINKS_MOST:
            server.parting.pop(0).close()

    def part(self, server: Server, link: Link) -> None:
        """Read on, for a while, where nothing more is said: releases of calls set up there may be on the way.

        The server sends them there until it notices the end, and on another connection only then.
        """
        server.parting.append(link)
        self.floor.at(self.floor.now + PARTING, link.close)

    def failed(self, failure: DialFailed) -> None:
        server: Server = failure.owner
        server.dialing = False
        self.floor.counts["dials_refused" if failure.refused else "dials_failed"] += 1
        self.stranded(server)
        if server.link is not None:
            server.beside_after = self.floor.now + REDIAL_FIRST  # a draining server refuses each of them
            # It was to stand beside one that is still there. Refused, it says that the machine lives, and the
            # open one that its process does: a draining server takes no newcomers and serves what it has.
            if not failure.refused and self.floor.now - server.link.heard_at > VANISHED:
                # Silent for long, and no new connection comes up: the machine has vanished, and what stood
                # there with it. The bulletin may tell only when it is back, too late for the callers.
                self.floor.counts["servers_vanished"] += 1
                self.abandon(server, self.floor.now, "silent, and no new connection comes up")
            return
        server.refusals += failure.refused and server.lost
        if server.refusals == DEAD:
            # Reset, and now nobody listens: the process has died, and its calls with it. The bulletin says so
            # seconds later. Not at the first refusal: what the process said last may be on its way still.
            self.cut(server, self.floor.now, "reset, and refuses connections")
        self.redial(server)

    def stranded(self, server: Server) -> None:
        """What waits for a connection to this server has waited in vain: it never ran."""
        waiting, server.waiting = server.waiting, []
        for attempt in waiting:
            self.drop(attempt)
            self.route.ended(attempt, Outcome.CONNECT_FAILED, over=attempt.call.wire not in self.floor.open)

    def redial(self, server: Server) -> None:
        """Connect again later; one timer a server, however many set-ups have dialled in between."""
        if server.redial_pending:
            return
        server.redial_pending = True
        self.floor.at(self.floor.now + server.redial_after, partial(self._connect_due, server))
        server.redial_after = min(2 * server.redial_after, REDIAL_MOST)

    def closed(self, link: Link, server: Server) -> None:
        """The set-ups open on a connection are given up with it; a call that stands belongs to none."""
        if server.link is link:
            server.link, server.lost = None, True
        elif link in server.retiring:
            server.retiring.remove(link)
        elif link in server.parting:
            server.parting.remove(link)
        for attempt in [a for a in server.attempts.values() if a.link is link and not a.stands]:
            self.drop(attempt)
            self.route.ended(attempt, Outcome.RESET, over=attempt.call.wire not in self.floor.open)
        if server.link is not None:
            return  # it had a successor: nothing is missing, and the next wait must not grow for it
        if self.floor.now - server.linked_at < SECOND:
            return self.redial(server)  # a server that slams the door must not be dialled in a tight circle
        server.redial_after = REDIAL_FIRST
        self.connect(server)

    def watch(self) -> None:
        """Look after what is out: answers get lost, and connections go dumb while their servers are well."""
        now = self.floor.now
        if now < self.watch_at:
            return  # brought forward since, and done
        idle = True
        for server in [*self.floor.servers.values()]:
            since: dict[Link | None, int] = {}  # when the oldest of what is out on each was sent
            for attempt in server.attempts.values():
                if not attempt.stands:
                    since[attempt.link] = min(since.get(attempt.link, now), attempt.sent_at)
            idle = idle and not since and not server.retiring
            for link in [*server.retiring]:
                self.judge(server, link, now - max(link.heard_at, since.get(link, now)))
            if server.link is not None and server.attempts:
                self.doubt(server, server.link, since.get(server.link, now))
        self.watch_by(now + (WATCH_IDLE if idle else WATCH))

    def watch_by(self, due: int) -> None:
        """Look again then, at the latest."""
        if not self.floor.now < self.watch_at <= due:
            self.watch_at = due
            self.floor.at(due, self.watch)

    def doubt(self, server: Server, link: Link, sent: int) -> None:
        """Ask after a set-up that is out for long; where even that brings nothing, try a new connection.

        The answer to the probe shows the controller what is lost: else it hears so from the next set-up that
        stands there, and a softswitch with few calls has none for half an aim. A dumb connection swallows the
        probe too. The new one beside it shows who is alive; without probes it is tried after half the
        shortest time in which a call is wanted.
        """
        now = self.floor.now
        quiet = now - max(link.heard_at, sent)
        patience = max(int(DOUBT * server.usual), DOUBT_LEAST)
        if self.floor.config.settings.may_probe and now - max(sent, link.asked_at) > patience:
            self.ask(server, link)
        unanswered = link.asked_at > link.heard_at and now - link.asked_at > max(server.usual, DOUBT_LEAST)
        doubted = quiet > self.floor.wanted // 2 or now - link.heard_at > SILENT
        if (doubted or (unanswered and quiet > patience)) and now >= server.beside_after:
            self.connect(server, beside=True)

    def judge(self, server: Server, link: Link, quiet: int) -> None:
        """Break a replaced connection off once its successor shows it to be dumb: a processor works in turn.

        An answer there to what was sent later means that the connection alone is at fault: a time-out would
        mark a server that is well, and that may be the only one. After the whole time in which a call is
        wanted, and if the successor has brought anything at all, what is out here has timed out.
        """
        if server.link is None:
            return
        overtaken = link.heard_at < link.asked_at <= server.linked_at - DOUBT_LEAST
        if server.link.answered and (overtaken or quiet > self.floor.wanted // 2):
            self.break_off(server, link, Outcome.RESET)
        elif server.link.spoke and quiet > self.floor.wanted:
            self.break_off(server, link, Outcome.TIMEOUT)

    def break_off(self, server: Server, link: Link, outcome: Outcome) -> None:
        """Close a connection on which no answer will come any more."""
        self.floor.counts["links_dumb"] += 1
        if link in server.retiring:
            server.retiring.remove(link)
        link.close(hears=True)
        self.part(server, link)
        for attempt in [a for a in server.attempts.values() if a.link is link and not a.stands]:
            self.drop(attempt)
            self.route.ended(attempt, outcome, over=attempt.call.wire not in self.floor.open)

    def abandon(self, server: Server, before: int, why: str) -> None:
        """The process that served until then is gone, its connections with it.

        They go first: what the controller sends to its successor on hearing of a cut must find none of them.
        """
        stale = [*server.retiring]
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
        for wire in self.floor.bequest.of(server.host):
            self.floor.counts["calls_cut"] += 1
            self.book.released(Release(wire, Reason.INTERRUPTED), None)
        for attempt in lost:
            self.drop(attempt)
            if attempt.stands:
                self.floor.counts["calls_cut"] += 1
                self.book.released(Release(attempt.call.wire, Reason.INTERRUPTED), attempt.call.caller)
            self.route.ended(attempt, Outcome.RESET, over=attempt.call.wire not in self.floor.open)

    # Probes.

    def probe(self, action: api.Probe) -> None:
        server = self.floor.servers.get(action.server)
        if server is None or server.link is None:
            return
        self.ask(server, server.link)

    def ask(self, server: Server, link: Link) -> None:
        """Probe a server, as often as its part of all softswitches' probes allows.

        Each is work of a processor that is late already: two hundred that ask after one slow set-up each,
        again and again, take more of it than the calls do.
        """
        settings, now = self.route.controller.settings, self.floor.now
        flow = PROBES_A_SERVER * max(len(self.floor.servers), 1) / settings.proxies
        self.probes_left = min(PROBES_SAVED, self.probes_left + flow * (now - self.probes_at) / SECOND)
        self.probes_at = now
        if self.probes_left < 1:
            return
        number = next(self.probe_ids)
        if link.send(Test(number, probe=True)):
            self.probes_left -= 1
            link.asked_at = self.floor.now
            self.floor.counts["probes_sent"] += 1
            log.info("%s is asked after %d us without a word", server.host, self.floor.now - link.heard_at)
            self.probes[number] = (server, self.floor.now)
            self.floor.at(self.floor.now + PROBE_WAIT, lambda: self.probe_over(number))

    def probe_over(self, number: int) -> None:
        self.probed(number, None)

    def probed(self, number: int, figures: Mapping[str, float] | None) -> bool:
        """A probe is answered, or (with no figures) turned away or its time is up."""
        server, at = self.probes.pop(number, (None, 0))
        if server is None:
            return False
        log.info("%s: a probe %s after %d us", server.host,
                 "has no answer" if figures is None else "is answered", self.floor.now - at)  # fmt: skip
        report = self.route.report(figures or {})
        took = (self.floor.now - at) * NS
        self.route.tell(api.ProbeAnswered(server.host, figures is not None, took, report))
        return True


class Relay:
    """What setup servers say about a call, on to its caller, and a caller's release to its server."""

    def __init__(self, floor: Floor, route: Route, send: Send, book: Book) -> None:
        self.floor, self.route, self.send, self.book = floor, route, send, book

    def answer(self, server: Server, link: Link, message: Answer) -> None:
        attempt = server.attempts.get(message.call)
        if attempt is None or attempt.stands or self._stale(attempt, link):
            self.floor.counts["strays"] += 1  # an answer to what has been given up; the server knows by now
            return
        call = attempt.call
        attempt.stands = link.answered = True
        self.floor.notes.stands(call.wire)
        if not self.book.final(call, message, "stands"):
            return
        self.floor.standing[call.wire] = attempt
        took = self.floor.now - attempt.sent_at
        log.info("%016x #%d stands at %s after %d us", call.wire, attempt.index, server.host, took)
        server.usual += (took - server.usual) // 8
        self.route.tell(api.CallStands(call.number, attempt.index, server.host, took * NS))

    def release(self, server: Server, link: Link, message: Release) -> None:
        link.send(ReleaseHeard(message.call))
        attempt = server.attempts.get(message.call)
        if attempt is None:
            known = message.call in self.book.ended or message.call in self.floor.open
            if known or message.call in self.floor.standing:
                self.floor.counts["strays"] += 1  # a server repeats its own, or ends an attempt given up
            elif self.floor.bequest.take(message.call) or self.book.inherited():
                # A call of this softswitch's life before its restart: it stands at its caller still.
                self.book.released(Release(message.call, message.reason), None)
            return
        if (not attempt.stands or link in server.parting) and self._stale(attempt, link):
            self.floor.counts["strays"] += 1
            return
        self.send.drop(attempt)
        if attempt.stands:
            self.book.released(Release(message.call, message.reason), attempt.call.caller)
            outcome = Outcome.ENDED if message.reason is Reason.CLEARED else Outcome.RESET
            return self.route.ended(attempt, outcome, True, message)
        outcome = SERVER_OUTCOMES.get(message.reason, Outcome.ERROR)
        self.route.ended(attempt, outcome, attempt.call.wire not in self.floor.open, message)

    def _stale(self, attempt: Attempt, link: Link) -> bool:
        """Whether this is about an earlier attempt of the same call there, on a connection replaced since:
        what is out is spoken of on its own connection while that is open."""
        return attempt.link is None or (attempt.link is not link and not attempt.link.closed)

    def hung_up(self, message: Release) -> bool:
        """The caller releases a call that stands."""
        attempt = self.floor.standing.get(message.call)
        if attempt is None:
            host = self.floor.bequest.take(message.call)
            if host or (message.call not in self.book.ended and self.book.inherited()):
                # A call of this softswitch's life before its restart: whichever server has it will know.
                self.book.remember(message.call)
                self.floor.notes.ended(message.call)
                for server in self.floor.servers.values():
                    if server.link is not None and host in (None, server.host):
                        server.link.send(Release(message.call, message.reason))
            return False
        self.send.drop(attempt)
        self.floor.notes.ended(message.call)
        self.book.remember(message.call)
        self.floor.counts["calls_hung_up"] += 1
        link = attempt.server.link or attempt.link
        if link is not None:
            link.send(Release(message.call, message.reason))
        self.route.ended(attempt, Outcome.CANCELLED, True)
        return True


class Admit:
    """A call that was taken in: turned away if the softswitch itself is full, else told to the controller."""

    def __init__(self, floor: Floor, route: Route, book: Book) -> None:
        self.floor, self.route, self.book = floor, route, book

    def call(self, call: Call) -> None:
        floor = self.floor
        late = self.leaves()
        full = len(floor.open) > floor.config.max_open or floor.held > floor.config.max_held
        if late or full:
            # When to come back, where callers are told that: the same caller at once again helps nobody.
            settings = floor.config.settings
            away = settings.max_retry_after // (NS * MS) if settings.heeds_retry_after else 0
            refusal = Release(call.wire, Reason.CONGESTED, stay_away_ms=away)
            self.book.final(call, refusal, "turned_away")
        elif self.analyse is not None:
            self.analyse(call)
        else:
            self.proceed(call)

    def proceed(self, call: Call, candidates: tuple[int, ...] = ()) -> None:
        """Hand a call to the controller, with the servers it may go to where its number was analysed."""
        self.route.tell(
            api.NewCall(
                call=call.number,
                klass=call.klass,
                patience=(call.deadline - self.floor.now) * NS,
                first_choice=candidates[0] if candidates else call.set_up.first_choice,
                repeat=call.set_up.repeat,
                candidates=candidates,
                tenant=call.tenant,
                callee=call.set_up.number,
                advice=call.set_up.advice,
            )
        )

    def no_route(self, call: Call, reason: Reason) -> None:
        """The number called leads nowhere: nothing was sent, and trying again would change nothing."""
        self._end(call, Release(call.wire, reason), "no_route")

    def refused(self, action: api.Refuse) -> None:
        call = self.floor.numbers.get(action.call)
        if call is not None:
            away = -(-action.retry_after // (NS * MS))
            self._end(call, Release(call.wire, Reason.CONGESTED, stay_away_ms=away), "refused")

    def failed(self, action: api.Fail) -> None:
        call = self.floor.numbers.get(action.call)
        if call is not None:
            self._end(call, Release(call.wire, Reason.FAILED), "failed")

    def _end(self, call: Call, message: Release, kind: str) -> None:
        attempt = call.attempt
        self.book.final(call, message, kind)
        if attempt is not None and not attempt.stands:
            over = self.floor.now >= attempt.limit_at
            self.give_up(attempt, Outcome.TIMEOUT if over else Outcome.CANCELLED)

    give_up: Callable[[Attempt, Outcome], None]
    leaves: Callable[[], bool]  # whether newcomers are sent away: drained, or about to end
    analyse: Callable[[Call], None] | None = None  # number analysis, where it is on


class TakeIn:
    """First stage: what callers say. A set-up becomes a call here, or is answered as unreadable."""

    def __init__(
        self, floor: Floor, route: Route, admit: Admit, send: Send, relay: Relay, book: Book
    ) -> None:
        self.floor, self.route, self.admit = floor, route, admit
        self.send, self.relay, self.book = send, relay, book
        self.serial = itertools.count(1)

    def set_up(self, link: Link, message: SetUp, at: int) -> None:
        """A set-up that was whole at `at`, in microseconds: its caller waits from then on."""
        floor = self.floor
        floor.counts["taken_in"] += 1
        call = floor.open.get(message.call)
        if call is not None and call.caller is not link and call.set_up == message:
            # Sent again because a connection closed under it: the answer goes where the caller is now.
            call.caller.calls.pop(call.wire, None)
            call.caller = link
            link.calls[call.wire] = call
            floor.counts["set_ups_repeated"] += 1
            return
        klass = floor.config.classes.get(message.klass)
        trouble = self.trouble(message, klass)
        if trouble or klass is None:
            return self.reject(link, message, trouble)
        deadline = max(at + message.wait_ms * MS - MARGIN, floor.now + MS)
        tenant = floor.config.tenants.get(message.tenant, -1)
        if passed_over := message.passed_over + (tenant < 0 and message.tenant != ""):
            floor.counts["set_up_fields_passed_over"] += passed_over
        call = Call(next(self.serial), message.call, message, klass, link, deadline, tenant)
        floor.open[call.wire] = floor.numbers[call.number] = link.calls[call.wire] = call
        floor.held += len(message.description)
        floor.notes.taken(call.wire)
        try:
            self.admit.call(call)
        finally:
            # Only for what is still open: thousands that were refused at once must not leave a timer each.
            if call.number in floor.numbers:
                floor.at(deadline + MARGIN // 2, partial(self.overdue, call.number))

    def trouble(self, message: SetUp, klass: int | None) -> str:
        """What is wrong with a set-up. What no setup server could use must reach none: it would be answered
        with an error or, where it cannot be read, by closing the connection that all others share."""
        floor, config = self.floor, self.floor.config
        if not message.call:
            return "no id"
        taken = message.call in floor.open or message.call in floor.standing or message.call in floor.bequest
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
        self.floor.counts["answered_malformed"] += 1
        if message.klass in self.floor.config.classes:
            self.floor.tally.ended(self.floor.config.classes[message.klass], "malformed")
        if message.call in link.calls:
            self.drop(link)
            return
        link.send(Release(message.call, Reason.MALFORMED))
        if not link.calls:
            link.leaving = True
            link.finish()

    def drop(self, link: Link) -> None:
        """Close a caller's connection from this side: what comes on it from now on is not taken in."""
        link.leaving = True
        link.close()

    def make_room(self) -> None:
        """Before callers' connections run out, close some that no call waits on.

        First those that stay and say nothing: silent since they came, then unused for long; an eighth of the
        room at once, since hundreds come together. Only then, and no more than must be, who has just come: a
        table full of callers that asked once and stayed would keep all others out. One that has sent what is
        not dealt with yet is spared: its set-up would be lost with it. A set-up that crosses such a close is
        sent again.
        """
        floor = self.floor
        staying: list[Link] = []
        others: list[Link] = []
        count = 0
        for link in floor.callers:
            if not link.leaving:
                count += 1
                if not link.calls:
                    patience = STAYED if link in floor.speakers else NEWCOMER
                    (staying if floor.now - link.heard_at >= patience else others).append(link)
        for some, spare in ((staying, floor.callers_most // 8), (others, 0)):
            some.sort(key=lambda link: (link in floor.speakers, link.heard_at))
            for link in some:
                if count <= floor.callers_most - spare:
                    break
                if not link.unread():
                    count -= 1
                    floor.counts["callers_closed_for_room"] += 1
                    self.drop(link)

    def overdue(self, number: int) -> None:
        """The host's own guard: whatever the controller does, a call has its answer in time."""
        call = self.floor.numbers.get(number)
        if call is not None:
            self.floor.counts["overdue"] += 1
            attempt = call.attempt
            self.book.final(call, Release(call.wire, Reason.FAILED), "failed")
            self.route.tell(api.CallerLeft(call.number))
            if attempt is not None:
                self.send.give_up(attempt, Outcome.TIMEOUT)

    def release(self, link: Link, message: Release) -> None:
        link.send(ReleaseHeard(message.call))
        call = self.floor.open.get(message.call)
        if call is not None and call.caller is link:
            return self.left(call)
        if call is not None or not self.relay.hung_up(message):
            self.floor.counts["strays"] += 1

    def left(self, call: Call) -> None:
        attempt = call.attempt
        self.book.gone(call)
        self.route.tell(api.CallerLeft(call.number))
        if attempt is not None and not attempt.stands:
            self.send.give_up(attempt, Outcome.CANCELLED)

    def test(self, link: Link, message: Test) -> None:
        floor = self.floor
        link.send(TestResult(message.call, floor.list_known and floor.mode.state is State.SERVING))

    def closed(self, link: Link) -> None:
        self.floor.callers.pop(link, None)
        self.floor.speakers.pop(link, None)
        for call in list(link.calls.values()):
            self.left(call)
        self.book.closed(link)


class Numbers(Protocol):
    """Number analysis, as the loop sees it."""

    def start(self) -> None: ...
    def call(self, call: Call) -> None: ...
    def ended(self, number: int) -> None: ...
    def deal(self, item: object) -> None: ...
    def reload(self) -> None: ...
    def counts(self) -> dict[str, int]: ...


class Softswitch:
    """Builds the stages and turns the loop."""

    def __init__(
        self,
        config: Config,
        reread: Callable[[], Config] | None = None,
        numbers: Callable[[Floor, Admit], Numbers] | None = None,
        store: Store | None = None,
    ) -> None:
        now = time.monotonic_ns() // NS
        self.reread = reread  # how the configuration is read again
        floor = self.floor = Floor(config, now)
        self.book = Book(floor)
        self.route = Route(floor)
        self.send = Send(floor, self.route, self.book)
        self.relay = Relay(floor, self.route, self.send, self.book)
        self.admit = Admit(floor, self.route, self.book)
        self.admit.give_up = self.send.give_up
        self.numbers = numbers(floor, self.admit) if numbers is not None else None
        if self.numbers is not None:
            self.admit.analyse, self.book.on_closed = self.numbers.call, self.numbers.ended
        self.take_in = TakeIn(floor, self.route, self.admit, self.send, self.relay, self.book)
        self.operation = Operation(floor, self.take_in, store)
        self.admit.leaves = self.operation.refuses
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
        self.room = threading.Semaphore(floor.callers_most + SPARE)
        self.listener = links.Listener(config.listen, floor.inbox, self.room, inherited=config.inherited)
        self.bulletin: bulletin.Client | None = None
        self.stop_asked = False
        self.reload_asked = False
        self.counts_asked = False

    def run(self) -> None:
        """Serve until told to stop, then answer what was taken."""
        floor = self.floor
        self.route.tell(api.Started())
        self.send.reader.start()
        self.send.watch()
        self.tidy()
        if self.numbers is not None:
            self.numbers.start()
        after, events = floor.config.known
        for event in events:
            self.list(event)
        drawn = random.Random(floor.config.seed ^ 0x1157)
        grace_s = floor.config.settings.drain_grace / NS / SECOND
        self.bulletin = bulletin.Client(floor.config.bulletin, after, floor.inbox.put, drawn, grace_s)
        self.bulletin.start()
        self.operation.start()
        self.listener.start()
        while not self._finished():
            self.turn()
        for number in list(floor.numbers):
            self.take_in.overdue(number)  # better a failure now than silence at the kill
        self.listener.close()
        self._flush()
        self.operation.stop()
        self.print_counts()

    def turn(self) -> None:
        floor = self.floor
        batch: list[Any] = []
        try:
            due = floor.timers[0][0] if floor.timers else floor.now + SECOND
            wait = (due - floor.now) / SECOND  # of this turn's start: the clock is read once a turn
            batch.append(floor.inbox.get(timeout=min(wait, 0.2)) if wait > 0 else floor.inbox.get_nowait())
            while len(batch) < TURN_MOST:
                batch.append(floor.inbox.get_nowait())
        except Empty:
            pass
        floor.now = time.monotonic_ns() // NS
        for item in batch:
            self.guard(partial(self.deal, item))
        for _ in range(TURN_MOST):
            if not floor.timers or floor.timers[0][0] > floor.now:
                break
            self.guard(heapq.heappop(floor.timers)[2])
        if self.stop_asked and (step := floor.mode.tell(self.operation.end_event())).granted:
            floor.stopping_at = floor.now
            if step.state is State.HANDING_OVER:
                self.listener.close()  # what comes now is the successor's
        if self.reload_asked:
            self.reload_asked = False
            if floor.mode.tell(Event.HANGUP).granted:
                self.guard(self.reload)
        self.guard(self.operation.turn)
        floor.notes.turn(floor.now)
        if self.counts_asked:
            self.counts_asked = False
            self.print_counts()

    def reload(self) -> None:
        """Read the configuration again; one that cannot be read changes nothing.

        Only the bulletin's address can change under way: calls and connections are none of its business, and
        whatever else has changed takes a restart.
        """
        floor = self.floor
        if self.numbers is not None:
            self.numbers.reload()
        try:
            config = self.reread() if self.reread else floor.config
        except Exception as trouble:  # whatever a half-written file brings about, serving goes on
            floor.counts["reloads_failed"] += 1
            log.error("the old configuration stays: %s", trouble)
            return
        floor.counts["reloads"] += 1
        old = floor.config
        for name in ("name", "listen", "sockets", "settings", "classes"):
            if getattr(config, name) != getattr(old, name):
                log.warning("%s has changed in the configuration: that takes a restart", name)
        if config.bulletin != old.bulletin and self.bulletin is not None:
            log.warning("the bulletin moves from %s to %s", old.bulletin, config.bulletin)
            old.bulletin = config.bulletin
            self.bulletin.move(config.bulletin)

    def tidy(self) -> None:
        """Close callers' connections that have had no call for long: some ask once and stay for ever."""
        floor = self.floor
        floor.at(floor.now + SECOND, self.tidy)
        busy = {attempt.call.caller for attempt in floor.standing.values()}
        for link in floor.callers.keys() - busy:
            if link.leaving and floor.now - link.heard_at > SECOND:
                link.close()  # its last answer is still unread: it would keep its place for ever
            elif link.calls or link.leaving or floor.now - link.heard_at <= UNUSED:
                continue
            elif not link.unread():  # a set-up that has come meanwhile would be lost
                floor.counts["callers_closed_unused"] += 1
                self.take_in.drop(link)

    def guard(self, do: Callable[[], None]) -> None:
        """An error of our own costs the one message or timer, never the calls of everybody else."""
        try:
            do()
        except Exception:
            log.exception("a fault of our own")
            self.floor.counts["faults"] += 1

    def deal(self, item: Any) -> None:
        match item:
            case Came(link=link, message=message, shares=shares, at=at):
                link.taken(shares)
                link.spoke = True
                if not link.leaving:
                    link.heard_at = self.floor.now
                if isinstance(link.owner, Server):
                    self.from_server(link.owner, link, message)
                else:
                    self.from_caller(link, message, at)
            case Opened(link=link) if isinstance(link.owner, Server):
                self.send.opened(link, link.owner)
            case Opened(link=link):
                link.heard_at = self.floor.now
                self.floor.callers[link] = None
                if len(self.floor.callers) > self.floor.callers_most:
                    self.take_in.make_room()
            case Closed(link=link, malformed=malformed):
                link.closed = True
                self.floor.counts["malformed"] += malformed
                if isinstance(link.owner, Server):
                    self.send.closed(link, link.owner)
                else:
                    self.take_in.closed(link)
            case DialFailed():
                self.send.failed(item)
            case Roster():
                self.list(item)
            case Departed():
                self.operation.departed(item)
            case _ if self.numbers is not None:
                self.numbers.deal(item)

    def from_caller(self, link: Link, message: Message, at: int) -> None:
        if link.leaving:
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
            case ReleaseHeard():
                link.unheard.pop(message.call, None)
                self.floor.notes.ended(message.call)
            case Progress():
                pass
            case _:
                self.floor.counts["malformed"] += 1  # a caller that talks like a server
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
                    link.answered = True
                elif figures:
                    report = self.route.report(figures)
                    self.route.tell(api.ProbeAnswered(server.host, True, 0, report))
            case Progress():
                self.send.moved(server, link, message)
            case SetUp() | Test():
                self.floor.counts["malformed"] += 1  # a server that talks like a caller
                link.close()

    def list(self, roster: Roster) -> None:
        """A change of the list of setup servers."""
        floor = self.floor
        entries = []
        away: list[tuple[Server, int]] = []  # with when what they had was lost
        for line in roster.hosts:
            born = max(line.born_ms * MS - floor.unix_at_zero, 1) if line.born_ms else 0
            server = floor.servers.get(line.host)
            if server is None:
                server = floor.servers[line.host] = Server(
                    line.host, line.dial, line.number, line.state, born, usual=floor.wanted // 4
                )
            elif born > server.born:
                away.append((server, born))
            server.dial, server.number, server.state = line.dial, line.number, line.state
            server.born = max(server.born, born)
            entries.append(api.ServerEntry(line.host, line.number, server.born * NS, line.state))
        if roster.whole:
            listed = {line.host for line in roster.hosts}
            for server in floor.servers.values():
                if server.host not in listed:
                    server.state = ServerState.GONE
        kind = api.ListKind.COMPLETE if roster.whole else api.ListKind.CHANGES
        # The controller first: a call cut by this change must not be sent to who has left.
        self.route.tell(api.ServerList(kind, tuple(entries)))
        away += [(server, floor.now) for server in floor.servers.values() if server.state is ServerState.GONE]
        for server, before in away:
            if server.state is ServerState.GONE:
                del floor.servers[server.host]
            why = "gone" if server.state is ServerState.GONE else "started anew"
            self.send.abandon(server, before, why)
        for server in floor.servers.values():
            self.send.connect_soon(server)
        floor.list_known = floor.list_known or bool(floor.servers)

    def _finished(self) -> bool:
        floor = self.floor
        if not floor.stopping_at:
            return False
        since = floor.now - floor.stopping_at
        handing_over = floor.mode.state is State.HANDING_OVER
        most = min(max(floor.config.longest), HAND_OVER_MOST if handing_over else STOP_MOST) + STOP_AFTER
        return since >= most or (since >= NOTICE and not floor.open and not self._pending())

    def _pending(self) -> bool:
        """Whether callers have said what is not dealt with: taken, though nobody has looked at it."""
        callers = self.floor.callers
        return not self.floor.inbox.empty() or any(x.pending() for x in callers if not x.leaving)

    def _flush(self) -> None:
        ends = [*self.floor.callers, *(s.link for s in self.floor.servers.values() if s.link)]
        for link in ends:
            link.finish()
        until = time.monotonic() + 0.1  # a peer that does not read must not hold the end up
        while time.monotonic() < until and not all(link.drained() for link in ends):
            time.sleep(0.002)

    def print_counts(self) -> None:
        counts = {
            "name": self.floor.config.name,
            "open": len(self.floor.open),
            **sorted_counts(self.floor.counts),
            **(self.numbers.counts() if self.numbers is not None else {}),
        }
        print(ujson.dumps(counts), file=sys.stderr, flush=True)


def sorted_counts(counts: Counter[str]) -> dict[str, int]:
    return dict(sorted(counts.items()))


def leave(code: int = 0) -> None:
    """End at once: the threads of silent peers must not hold the exit up."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
