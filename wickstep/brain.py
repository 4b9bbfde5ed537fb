"""All decisions of the edge controller. Types, events and actions: see `wickstep/interface.py`.

The mechanism is loss-based overload control after Rogowski and Tarasiuk; docs/design.md lists each departure.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

from wickstep import interface as api
from wickstep.interface import Outcome, ServerState

SECOND = 1_000_000_000
T_M = SECOND // 5  # sampling interval of the occupancy
PACE_AIM = SECOND  # where calls are wanted sooner than this, the loop's times shrink with the shortest aim
STEPS_PER_F = 2  # T_f in sampling intervals: the pass share is stepped on every second one
EWMA_WEIGHT = 0.8  # of the newest sample in the smoothed occupancy
TARGET_RHO = 0.95  # occupancy aimed at
P_MIN = 0.02  # a pressed server is still asked now and then, so that its recovery is seen
MAX_SAMPLE = 4.0  # a longer wait presses no harder: it is a jam already
MAX_STEP = 1.25  # a step changes the share by a quarter at most: waits come late, a faster loop swings
AIM_PART = 0.35  # the set-up time aimed at lies this far between an idle server's and the shortest aim
THIN = 1.0  # below this many own set-ups a second, of senders that fill an aim with one each, evidence is
AIM_THIN = 0.14  # late and no window holds: waits overshoot, so less is aimed at
AWAY_FACTOR = 1.5  # what a call counts for away from its first choice, where it lasts longer as a rule
MAX_TRIES = 5  # of one caller for one call; a number called more often has several callers
MAX_CALLEES = 10_000  # remembered
ROOM = 0.85  # below this smoothed occupancy a server has room for set-ups of another first choice
BASE_DRIFT = 1.002  # the shortest set-up time seen is forgotten this slowly, a set-up at a time
FULL = 2.0  # sample of a refusal, a silence or an error: full twice over
GAIN = 0.05  # of the newest in two slow averages: rate of own calls (per T_m), part lost (per set-up)
IN_LINE = 3  # a probe waits in a processor's line once; a set-up twice, for itself and for its answer
LOSSY = 0.1  # above this part lost, a set-up out for long is called off early
FIRST_MARK = SECOND // 5  # skip mark after one 'processor full' or time-out
MAX_MARK = 3 * SECOND  # longest mark of a server that keeps failing
MAX_ERROR_RUN = 5  # errors and broken connections, with no call that stands between, that make a failure
ERROR_LIMIT = 0.23  # part of set-ups met by errors; more is the server's fault: over MAX_ERROR_RUN in a row
TRIALS = 4  # a second, of a server that keeps failing, by all proxies together
SUSPECT_AFTER = 2  # failures in a row after which a server gets one trial at a time
QUIET = SECOND  # evidence older than this says nothing about now
INITIAL_WINDOW = 2.0  # set-ups out at one server before anything is known of it
MIN_WINDOW = 1.0
COLD_MARGIN = 0.7  # part of the cold budget used: many a server can do less than its lines are planned for
WARM_ENOUGH = 0.8  # part of what it can do warm, from which on a successor takes over
COLD_BURST = 0.1  # part of the budget that may be saved up; the rest flows in over the window
PROBE_EVERY = 5  # sampling intervals between probes of a server, where probes are allowed
LEAST_RATE = 0.1  # set-ups a second counted on at any server: it is tried again after two of them
FORGET = 60 * SECOND  # a server that is gone is known for so long, should it come back
GOLDEN = (math.sqrt(5) - 1) / 2
TICK_TOKEN = 0  # timer of the control loop; the timer of a call is its id + 1


@dataclass(slots=True)
class Server:
    """What this proxy knows of one server."""

    name: str
    number: int
    started: int  # as the list says; 0: long ago
    cold_since: int  # the same, or later where a restart is suspected
    state: ServerState = ServerState.GONE
    listed_at: int = 0  # when the list last spoke of it
    successor: Server | None = None  # active under the same number, and started later
    rho: float | None = None  # smoothed occupancy
    share: float = 1.0  # pass share p
    samples: list[float] = field(default_factory=list)  # occupancy samples of this interval
    has_new_sample: bool = False  # the occupancy has a sample that no step has used
    sampled_at: int = 0  # when the last of them came
    open: dict[int, int] = field(default_factory=dict)  # call -> when its attempt went out
    window: float = INITIAL_WINDOW  # how many may be out
    min_time: float = 0.0  # shortest set-up time seen, slowly forgotten
    mark_until: int = 0
    failures: int = 0  # in a row
    error_run: int = 0  # errors and broken connections since a call last stood there
    error_at: int = 0
    error_rate: float = 0.0  # part of the set-ups that it has answered with one, of late
    alive_at: int = 0  # last sign of life
    credit: float = 0.0  # sends a cold server may be given now
    credit_at: int = 0
    rate: float = THIN  # set-ups a second that this proxy may expect to send it
    lines: float = 0.0  # as reported; 0: unknown
    free: float = 0.0  # of them, as last told, less what was sent since
    reported: bool = False  # whether its lines were told: none at all is not the same as unknown


@dataclass(slots=True)
class Call:
    """A call that still waits for its final answer."""

    event: api.NewCall
    klass: api.CallClass
    aim_at: int
    deadline: int
    admitted: bool = False  # it has passed its draw
    attempts: int = 0
    server: Server | None = None  # where the one attempt is out
    cancel_at: int = 0  # when that has taken far longer than usual
    blocked_until: int = 0  # release wait
    draw: float = 1.0
    erred: Server | None = None  # has answered an attempt with an error
    stuck: bool = False  # an attempt may have run, and must not run twice


class Controller:
    """The decisions of one edge proxy; shares nothing with any other."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.servers: dict[str, Server] = {}
        self.active: list[Server] = []  # those that may be sent to
        self.calls: dict[int, Call] = {}
        self.queued: dict[int, Call] = {}
        self.dialled: dict[str, list[int]] = {}  # number called -> when it was first, and how often
        self.rate, self.arrivals = 0.0, 0  # own first tries: a second, and in this interval
        self.freed = 0.0  # own part of the lines that come free in a nanosecond; 0: unknown
        self.rotation = random.Random(~seed).random()  # turns by the golden section, from a drawn start
        self.actions: api.Actions = []
        self.now = self.ticks = 0
        self.least_worth, self.aim = settings.min_worth, settings.shortest_aim
        pace = min(1.0, self.aim / PACE_AIM)
        self.t_m, self.quiet = int(T_M * pace), int(QUIET * pace)
        self.mark, self.mark_most = int(FIRST_MARK * pace), int(MAX_MARK * pace)
        self.loss = 0.0  # part of the set-ups whose answer is lost, of late
        self.line_yield, self.holding_time = settings.min_yield, settings.mean_holding_time or math.inf
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Started: self._start, api.ServerList: self._list, api.NewCall: self._new_call,
            api.CallStands: self._stands, api.AttemptEnded: self._ended, api.TimerDue: self._timer,
            api.CallerLeft: lambda event: self._drop(event.call), api.ProbeAnswered: self._probed,
            api.PeerMessage: lambda event: None,  # nothing is sent to peers, so nothing is believed of them
        }  # fmt: skip

    def handle(self, event: api.Event, now: int) -> api.Actions:
        """Take one event; return what the host has to do, in order."""
        self.now, self.actions = now, []
        self.handlers[type(event)](event)
        return self.actions

    def _start(self, event: api.Started) -> None:
        self.actions.append(api.Wake(TICK_TOKEN, self.now + self.random.randrange(1, self.t_m)))
        if self.settings.list_on_request:
            self.actions.append(api.FollowList())

    # The ordinary path of a set-up.

    def _new_call(self, event: api.NewCall) -> None:
        if event.call in self.calls or not 0 <= event.klass < len(self.settings.classes):
            return
        klass = self.settings.classes[event.klass]
        began = self._began(event)
        call = self.calls[event.call] = Call(event, klass, began + klass.aim, self.now + event.max_wait)
        self.arrivals += not event.repeat and began == self.now
        self._place(call)
        if event.call in self.calls:  # a call refused at once leaves no timer behind
            self.actions.insert(0, api.Wake(event.call + 1, call.deadline))

    def _began(self, event: api.NewCall) -> int:
        """When its caller first rang: where repeats are not marked, the number called tells."""
        rung, oldest = self.dialled, self.now - self.settings.max_redial_time
        while rung and (len(rung) > MAX_CALLEES or next(iter(rung.values()))[0] < oldest):
            del rung[next(iter(rung))]
        if self.settings.marks_repeats or not event.callee:
            return self.now
        tries = rung.setdefault(event.callee, [self.now, 0])
        tries[1] += 1
        return tries[0] if tries[1] <= MAX_TRIES else self.now

    def _has_line(self, call: Call, server: Server) -> bool:
        """Whether a line is free, and the call worth more than others would pay (docs/design-agents.md)."""
        if not server.reported or server.free < 1 + (call.klass.aim > self.aim and server.lines > 1):
            return not server.reported
        length = call.klass.holding_time * (1 if server.number == call.event.first_choice else AWAY_FACTOR)
        price = self.line_yield * length / (1 + server.free * math.sqrt(2 / math.pi / server.lines))
        return self._worth(call) >= price

    def _choices(self, call: Call) -> list[Server]:
        """Servers this call may use: its first choice, then the others from the turning pointer on."""
        wanted, listed = call.event.first_choice, call.event.candidates
        allowed = [s for s in self.active if self._may_take(call, s) and self._has_line(call, s)]
        usable = [s for s in allowed if self.may_try(s)] or [s for s in allowed if s.error_rate > ERROR_LIMIT]
        # After an error another server is asked: that tells whose fault it was.
        usable = [s for s in usable if s is not call.erred] or usable
        if listed:  # a route list has an order of its own
            return sorted(usable, key=lambda s: (self._replaced(s), listed.index(s.number)))
        others = [s for s in usable if s.number != wanted and not call.event.transit]
        # Each fills a part of the ring by its lines, free ones where it has room, over its set-up time.
        slowest = max((s.min_time for s in self.active), default=0.0) or 1.0
        parts = [(s.lines + 1) / (s.min_time or slowest) for s in others]
        roomy = [part * self._roomy(s) for part, s in zip(parts, others, strict=True)]
        luck = call.event.call * math.sqrt(2) % 1  # the same however often it is placed
        if self._thin(self.rate / max(len(self.active), 1), slowest) and 0 < sum(roomy) < luck * sum(parts):
            # The last with room take their own parts, not those of the pressed, which would bury the small.
            others, parts, roomy = [], [], []
        free = [s.free / (s.lines + 1) * (not self._replaced(s)) for s in others]
        weights = [a * b for a, b in zip(roomy, free, strict=True)]
        weights = weights if any(weights) else parts
        turn = bisect(list(accumulate(weights)), self.rotation % 1 * sum(weights))
        first = [s for s in usable if s.number == wanted]
        return sorted(first + others[turn:] + others[:turn], key=self._replaced)

    def _may_take(self, call: Call, server: Server) -> bool:
        listed, allowed = call.event.candidates, call.klass.allowed
        return (allowed is None or server.number in allowed) and (not listed or server.number in listed)

    def _replaced(self, server: Server) -> bool:
        """Whether a successor can do its work: then it will drain at any moment, and comes last."""
        return server.successor is not None and self._able(server.successor) >= WARM_ENOUGH

    def _place(self, call: Call) -> None:
        """Draw once, then send the call, hold it or refuse it."""
        if call.attempts >= self.settings.max_attempts or call.stuck:
            return self._refuse(call)
        choices = self._choices(call)
        if choices and not call.admitted:
            call.draw = self.random.random()
        # Demand drifts: what a pressed server turns away may go where there is room.
        usable = [s for s in choices if self._passes(call, s, first=s is choices[0])]
        call.admitted = bool(usable)
        for server in usable:
            if self._ready(server):
                return self._send(call, server)
        able = any(self._may_take(call, s) for s in self.active) and len(usable) >= bool(choices)
        spare = call.klass.aim // (2 if choices else 10)  # lines come free soon, what is pressed stays so
        if not able or self.now >= min(call.aim_at, call.deadline) - spare:
            return self._refuse(call)
        self.queued[call.event.call] = call
        if 0 < self.freed * call.klass.aim < len(self.queued):
            self._refuse(min(reversed(self.queued.values()), key=self._worth))  # nothing can come in time

    def _passes(self, call: Call, server: Server, first: bool) -> bool:
        """The draw against the pass share, blind to who sent the call; after the first, room will do."""
        if call.admitted if first else self._roomy(server):
            return True
        power = self.least_worth / max(self._worth(call), 1e-9)
        power = min(power, power**2)  # a pressed processor is for the worthier calls
        chance = server.share * min(1.0, TARGET_RHO / server.rho if server.rho else 1.0)
        return (first or call.klass.worth > self.least_worth) and call.draw < math.pow(chance, power)

    def _worth(self, call: Call) -> float:
        """What the call can still earn; a repeated try has its aim behind it as a rule."""
        late = call.event.repeat or self.now > call.aim_at
        return call.klass.worth * (call.klass.late_worth if late else 1.0)

    def _roomy(self, server: Server) -> bool:
        pressed = server.share < 1 or (server.rho is not None and server.rho >= ROOM)
        return not pressed and (server.free > 0 or not server.lines)

    def _serve_queued(self, server: Server | None = None) -> None:
        """Place those who wait; after news of one server, of thousands maybe, only while it can take more."""
        waiting = iter(sorted(self.queued.values(), key=self._worth, reverse=True))
        while not server or (self.may_try(server) and self._ready(server) and server.free >= server.reported):
            if (call := next(waiting, None)) is None:
                return
            if call.event.call in self.queued:
                self._place(call)

    def _send(self, call: Call, server: Server) -> None:
        if server.number != call.event.first_choice:
            self.rotation += GOLDEN
        self.queued.pop(call.event.call, None)
        call.attempts += 1
        call.server = server
        server.open[call.event.call] = self.now
        server.credit -= 1
        server.free = max(0.0, server.free - 1)
        # While answers get lost, what is out for three times the usual is tried again, if in time.
        usual = int((server.rho or 1.0) * self._target_time(server))
        call.cancel_at = self.now + 3 * usual
        if self.loss > LOSSY and call.cancel_at + self.settings.release_wait + usual < call.aim_at:
            self.actions.append(api.Wake(call.event.call + 1, call.cancel_at))
        self.actions.append(api.Send(call.event.call, server.name, max(call.deadline - self.now, 1)))

    def _refuse(self, call: Call) -> None:
        if call.stuck:
            return self._fail(call.event.call)
        self._drop(call.event.call)
        self.actions.append(api.Refuse(call.event.call, FIRST_MARK if self.settings.heeds_retry_after else 0))

    def _fail(self, number: int) -> None:
        self._drop(number)
        self.actions.append(api.Fail(number))

    def _drop(self, number: int) -> None:
        self.queued.pop(number, None)
        self.calls.pop(number, None)

    # Time and outcomes.

    def _timer(self, event: api.TimerDue) -> None:
        if event.token == TICK_TOKEN:
            return self._tick()
        call = self.calls.get(event.token - 1)
        if call is None:
            return
        if self.now >= call.deadline:
            self._fail(call.event.call)
        elif call.server is None and self.now >= call.blocked_until:
            self._place(call)
        elif call.server and self.now >= call.cancel_at and event.token - 1 in call.server.open:
            self._call_off(call.server, event.token - 1, lost=False)

    def _stands(self, event: api.CallStands) -> None:
        server, call = self.servers.get(event.server), self.calls.get(event.call)
        if call is not None:
            self.dialled.pop(call.event.callee, None)  # its caller rings no more
        self._drop(event.call)
        if server is None or event.call not in server.open:
            return
        self._overtaken(server, server.open.pop(event.call) - self.t_m / 2)
        self.loss *= 1 - GAIN
        server.error_rate *= 1 - GAIN
        if server.min_time and server.cold_since > server.started and event.delay < 2 * server.min_time:
            server.cold_since = server.started  # as quick as before: the suspected restart was none
        server.min_time = min(server.min_time * BASE_DRIFT, event.delay) if server.min_time else event.delay
        if server.failures >= SUSPECT_AFTER and server.sampled_at > server.alive_at:
            server.cold_since = max(server.cold_since, self.now)  # silent till now: restarted, perhaps
        server.failures, server.error_run, server.alive_at = 0, 0, self.now
        self._witness(server, event.delay / (target := self._target_time(server)))
        if event.delay > target:
            server.window = max(MIN_WINDOW, server.window - 1 / server.window)
        elif 2 * len(server.open) >= server.window - 1:
            server.window += 1 / server.window
        self._serve_queued(server)

    def _ended(self, event: api.AttemptEnded) -> None:
        server = self.servers.get(event.server)
        if server is not None:
            self._learn(server, event, overtaken=server.open.pop(event.call, None) is None)
        call = self.calls.get(event.call)
        if call is not None and event.attempt == call.attempts - 1:
            call.server, call.admitted = None, False  # another draw: a jam must not be handed round
            self._go_on(call, event)
        self._serve_queued(server)

    def _go_on(self, call: Call, event: api.AttemptEnded) -> None:
        """The attempt of a call has failed: over, wait for the release, or try again."""
        if event.call_over:
            return self._drop(event.call)
        if event.callee_busy:  # no server's fault, and busy by any other: neither blamed nor tried again
            return self._refuse(call)
        if event.outcome is Outcome.ERROR:
            erring = self.servers.get(event.server)
            if call.erred is not None and (erring is None or erring.error_rate < ERROR_LIMIT):
                return self._fail(event.call)  # twice: no server can use it
            call.erred = erring
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            call.blocked_until = self.now + self.settings.release_wait
        proven = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
        call.stuck |= event.outcome not in proven and call.klass.effect is not api.Effect.SAFE
        if max(self.now, call.blocked_until) >= call.deadline:
            self._fail(event.call)
        elif call.blocked_until > self.now:
            self.actions.append(api.Wake(event.call + 1, call.blocked_until))
        else:
            self._place(call)

    def _learn(self, server: Server, event: api.AttemptEnded, overtaken: bool) -> None:
        """What an outcome says of its server."""
        failed = event.outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET)
        failed |= event.outcome is Outcome.TIMEOUT and not overtaken
        if event.no_line and server.lines:
            failed = False  # its processor may be idle: no mark and no sample
            server.free = 0.0
        if event.outcome in (Outcome.FULL, Outcome.ENDED, Outcome.ERROR):
            server.alive_at = self.now
        # As a rule an error is the call's and a reset the connection's; again and again, the server's.
        odd = event.outcome is Outcome.RESET and not event.call_over
        if odd or (event.outcome is Outcome.ERROR and not event.callee_busy):
            server.error_run += server.error_at != self.now  # what comes at once has one cause
            server.error_at = self.now
            failed = server.error_run >= MAX_ERROR_RUN
            server.error_rate += GAIN * (1 - server.error_rate) * (event.outcome is Outcome.ERROR)
        if failed:
            self._mark_failed(server)
        self._report(server, event.report)

    def _report(self, server: Server, report: Mapping[str, float]) -> None:
        """Fold a reported wait, or queue over rate, into the evidence; nonsense is passed over."""
        free, lines = report.get("free", -1.0), report.get("lines", -1.0)
        if 0 <= free <= lines < math.inf:
            server.free, server.lines, server.reported = free, lines, True
        if 0 <= (wait := api.estimate_wait_ms(report)) < math.inf:
            server.alive_at = self.now
            self._overtaken(server, self.now - QUIET - server.min_time - wait * 1e6)
            self._witness(server, (server.min_time + wait * 1e6) / self._target_time(server))

    def _witness(self, server: Server, sample: float) -> None:
        server.samples.append(min(sample, MAX_SAMPLE))
        server.sampled_at = self.now

    def _thin(self, rate: float, base: float) -> bool:
        return rate < THIN and (not base or self.settings.proxies * base > self.aim)

    def _target_time(self, server: Server) -> float:
        """The set-up time aimed at."""
        part = AIM_THIN if self._thin(server.rate, server.min_time) else AIM_PART
        return server.min_time + part * max(self.aim - server.min_time, self.aim / 4)

    def _probed(self, event: api.ProbeAnswered) -> None:
        server = self.servers.get(event.server)
        if server is not None and event.ok:
            self._report(server, event.report)
            if event.delay:  # it was asked: what went out well before had its turn, and its answer another
                self._overtaken(server, self.now - IN_LINE * event.delay)

    # The control loop: smoothed occupancy and pass share of each server.

    def _tick(self) -> None:
        self.actions.append(api.Wake(TICK_TOKEN, self.now + self.t_m))
        self.ticks += 1
        self.rate += max(GAIN, 1 / self.ticks) * (self.arrivals * SECOND / self.t_m - self.rate)
        self.arrivals = 0
        probing = self.settings.may_probe and self.ticks % PROBE_EVERY == 0
        lines = sum(server.lines + 1 for server in self.active)
        self.freed = sum(s.lines for s in self.active) / (self.holding_time * self.settings.proxies)
        for server in self.active:
            server.rate = self.rate * (server.lines + 1) / lines
            self._take_sample(server)
            if self.ticks % STEPS_PER_F == 0:
                self._step_share(server)
            if probing and server.share < 1 and self.now - server.sampled_at > self.quiet:
                self.actions.append(api.Probe(server.name))
        self._serve_queued()

    def _take_sample(self, server: Server) -> None:
        """One sample each T_m; an interval without evidence changes nothing while the last is fresh."""
        target = self._target_time(server)
        oldest = min(server.open.values(), default=self.now)
        if self.now - max(oldest, server.alive_at) > max(self.aim, 2 * target):
            self._mark_failed(server)  # out for longer than the shortest aim, no sign of life since
        pending = min((self.now - oldest) / target, MAX_SAMPLE)
        if pending > 1:
            # The server has slowed down or died: what is out there closes the window only when it stands.
            server.window = max(MIN_WINDOW, server.window / 2)
        quiet = max(self.quiet, 2 * SECOND / max(server.rate, LEAST_RATE))
        if server.samples or pending > 1:
            sample = max(sum(server.samples) / max(len(server.samples), 1), pending)
        elif not server.open and self.now - server.sampled_at > quiet:
            sample = TARGET_RHO / 2  # own demand may bring evidence every few seconds only: no sooner
        else:
            return
        server.samples.clear()
        server.rho = sample if server.rho is None else EWMA_WEIGHT * sample + (1 - EWMA_WEIGHT) * server.rho
        server.has_new_sample = True

    def _step_share(self, server: Server) -> None:
        """On fresh evidence only: to step again on one old sample winds hundreds of proxies up."""
        if not server.has_new_sample:
            return
        server.has_new_sample = False
        phi = TARGET_RHO / server.rho if server.rho else MAX_STEP
        server.share = min(1.0, max(P_MIN, server.share * min(max(phi, 1 / MAX_STEP), MAX_STEP)))

    # Cold servers: a budget of sends within the window of the fall rule.

    def _ready(self, server: Server) -> bool:
        """Whether one more set-up may go out: the window, and a cold server's bucket, filled by its lines."""
        if len(server.open) >= (MIN_WINDOW if self._thin(server.rate, server.min_time) else server.window):
            return False
        rules = self.settings
        quick = server.alive_at > 0 and (server.rho or ROOM) < ROOM  # not by silence
        if self._age(server) >= (1 if quick else 2) * rules.ramp_time:
            return True
        able = self._able(server)
        # Of a server whose lines nobody has told yet, no more is believed than of the smallest.
        lines = server.lines or min((s.lines for s in self.active if s.lines), default=0.0)
        fair = lines * SECOND / (self.holding_time * rules.proxies) or self.rate / len(self.active)
        rate = min(fair, (fair + server.rate) / 2)
        most = COLD_MARGIN * rules.fall_multiple
        budget = max(most * able * rate * rules.fall_window / SECOND, 1 / rules.proxies)  # never nothing
        if server.credit_at < server.cold_since:
            server.credit, server.credit_at = self.random.random(), self.now
        server.credit += (1 - COLD_BURST) * budget * (self.now - server.credit_at) / rules.fall_window
        # What is not used in time is lost: a send saved by each of hundreds of proxies is a flood.
        server.credit -= max(0, math.ceil(server.credit - COLD_BURST * budget) - 1)
        server.credit_at = self.now
        return server.credit >= 1

    def _able(self, server: Server) -> float:
        """What part of its capacity a server has at least, by its age."""
        cold_from, ramp_time = self.settings.cold_from, max(self.settings.ramp_time, 1)
        return min(1.0, cold_from + (1 - cold_from) * self._age(server) / ramp_time)

    def _age(self, server: Server) -> float:
        return max(self.now - server.cold_since, 0) if server.cold_since > 0 else math.inf

    # Failing servers.

    def may_try(self, server: Server) -> bool:
        return server.mark_until <= self.now and not (server.failures >= SUSPECT_AFTER and server.open)

    def _mark_failed(self, server: Server) -> None:
        """Skip a server that failed, longer each time in a row; failures within a mark are one."""
        if server.error_rate < ERROR_LIMIT:  # else it is marked for what it wastes, whatever its load
            self._witness(server, FULL)
        if server.mark_until <= self.now:
            server.failures += 1
            server.window = max(MIN_WINDOW, server.window / 2)
            mark, most = self.mark, self.mark_most
            if self._thin(server.rate, server.min_time) and server.failures >= SUSPECT_AFTER:
                mark = max(mark, int(SECOND / max(server.rate, LEAST_RATE)))
                most = max(most, self.settings.proxies * SECOND // TRIALS)
            server.mark_until = self.now + min(mark << min(server.failures - 1, 10), most)

    def _overtaken(self, server: Server, before: float) -> None:
        """What went out well before a set-up that stands, or all that waits, is lost: work goes in turn."""
        for number in [number for number, at in server.open.items() if at < before]:
            self._call_off(server, number)

    def _call_off(self, server: Server, number: int, lost: bool = True) -> None:
        """Late alone is not lost: counted as a loss, it would call off the next that is late, and so on."""
        del server.open[number]
        self.loss += GAIN * (1 - self.loss) * lost
        call = self.calls.get(number)
        if call is not None and self.settings.may_cancel:
            self.actions.append(api.Cancel(number, call.attempts - 1))

    # The list.

    def _list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.REFUSED:
            return self.actions.append(api.FollowList())
        for server in self.servers.values() if event.kind is api.ListKind.COMPLETE else ():
            server.state = ServerState.GONE  # unless listed
        for entry in event.entries:
            old = self.servers.get(entry.server)
            if old is None or entry.started > old.started:
                new = Server(entry.server, entry.number, entry.started, entry.started)  # its load is unknown
                if old is not None:
                    new.open, new.min_time, new.reported = old.open, old.min_time, old.reported
                    new.free, new.lines = old.free, old.lines
                self.servers[entry.server] = new
            self.servers[entry.server].state = entry.state
            self.servers[entry.server].listed_at = self.now
        for name, server in list(self.servers.items()):
            if server.state is ServerState.GONE and not server.open and self.now - server.listed_at > FORGET:
                del self.servers[name]  # its successors have names of their own: the table would only grow
        self.active = [server for server in self.servers.values() if server.state is ServerState.ACTIVE]
        latest = {server.number: server for server in sorted(self.active, key=lambda s: s.started)}
        for server in self.active:
            last = latest[server.number]
            server.successor = last if last.started > server.started else None
