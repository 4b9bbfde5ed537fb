"""All decisions of an edge proxy, with the types of interface.py. Must never touch a clock, socket or file.

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
# Times are in nanoseconds, rates in set-ups a second of this proxy, unless a comment says otherwise.
T_M = SECOND // 5  # sampling interval of the occupancy
REFERENCE_AIM = SECOND  # with a shorter aim, the times of the control loop shrink in proportion
SAMPLES_PER_STEP = 2  # T_f in sampling intervals: the pass share changes on every second one
EWMA_WEIGHT = 0.8  # weight of the newest sample in the smoothed occupancy
TARGET_RHO = 0.95  # occupancy aimed at
P_MIN = 0.02  # lowest pass share: an overloaded server still gets some set-ups, so its recovery is seen
MAX_SAMPLE = 4.0  # highest occupancy sample: at 4 it is congestion already, and a longer wait adds nothing
MAX_STEP = 1.25  # largest factor of one step of the pass share: waits come late, a faster loop oscillates
AIM_FRACTION = 0.35  # target set-up time: this far from an idle server's time to the shortest aim
# If one set-up of each proxy fills the shortest aim, evidence is too late for a window to limit the load.
LOW_RATE = 1.0  # own set-ups a second at one server: below it and in that case, its rate counts as low
LOW_RATE_AIM_FRACTION = 0.14  # AIM_FRACTION at a low rate: waits overshoot there, so the target is lower
AWAY_FACTOR = 1.5  # multiplies the holding time away from the first choice: calls usually last longer there
MAX_TRIES = 5  # tries of one caller for one call; a number called more often has several callers
MAX_CALLEES = 10_000  # numbers called that are remembered
OVERFLOW_RHO = 0.85  # smoothed occupancy below which a server takes overflow from other first choices
TIME_GROWTH = 1.002  # the shortest set-up time seen grows by it with each set-up, so an old one is forgotten
FAILURE_SAMPLE = 2.0  # occupancy sample of a refusal, a time-out or an error: twice a full server's
SLOW_WEIGHT = 0.05  # EWMA weight of the newest value: own call rate (per T_m), loss, errors (per set-up)
LOST_AFTER_PROBE_DELAYS = 3  # older set-ups are lost: a probe queues once, a set-up and its answer once each
CANCEL_LOSS = 0.1  # part of set-ups lost above which one in flight for long is cancelled early
FIRST_MARK = SECOND // 5  # skip mark after one 'processor full' or time-out
MAX_MARK = 3 * SECOND  # longest skip mark of a server that keeps failing
MAX_ERROR_RUN = 5  # errors and broken connections, with no call that stands between, that make a failure
ERROR_LIMIT = 0.23  # part of set-ups with errors above which the server is at fault: six in a row pass it
TRIALS_PER_S = 4  # trial set-ups a second to a server that keeps failing, from all proxies together
SUSPECT_AFTER = 2  # failures in a row after which a server gets one trial set-up at a time
EVIDENCE_LIFETIME = SECOND  # older evidence says nothing about the load now
INITIAL_WINDOW = 2.0  # set-ups in flight to a server of which nothing is known yet
MIN_WINDOW = 1.0  # set-ups in flight
COLD_BUDGET_PART = 0.7  # part of the cold budget used: many servers can do less than their lines suggest
TAKEOVER_CAPACITY = 0.8  # part of its warm capacity from which on a successor takes over
COLD_BURST_PART = 0.1  # part of the budget that may be saved for a burst; the rest accrues over the window
PROBE_INTERVAL_TICKS = 5  # sampling intervals between probes of a server, where probes are allowed
MIN_RATE = 0.1  # lowest rate assumed at a server: an idle one is tried again after two set-ups' time
EXPIRY = 60 * SECOND  # how long a server that left is remembered in case it comes back
GOLDEN_SECTION = (math.sqrt(5) - 1) / 2  # step of the rotation: spreads evenly over any number of servers
TICK_TOKEN = 0  # timer of the control loop; the timer of a call is its id + 1


@dataclass(slots=True)
class Server:
    """What this proxy knows of one server."""

    name: str
    number: int
    started: int  # from the server list; 0: long ago
    cold_since: int  # start of its ramp: `started`, or later where a restart is suspected
    state: ServerState = ServerState.GONE
    listed_at: int = 0  # when the server list last named it
    successor: Server | None = None  # active under the same number, started later
    rho: float | None = None  # smoothed occupancy
    share: float = 1.0  # pass share p: part of the calls that are admitted
    samples: list[float] = field(default_factory=list)  # occupancy samples of this sampling interval
    has_new_sample: bool = False  # `rho` has changed since the last step of the share
    sampled_at: int = 0  # when the last of `samples` came
    open: dict[int, int] = field(default_factory=dict)  # set-ups in flight: call -> when it was sent
    window: float = INITIAL_WINDOW  # how many may be in flight
    min_time: float = 0.0  # shortest set-up time seen, slowly forgotten; 0: unknown
    mark_until: int = 0  # end of its skip mark
    failures: int = 0  # in a row
    error_run: int = 0  # errors and broken connections since a call last stood there
    error_at: int = 0  # when the last of them came
    error_rate: float = 0.0  # EWMA: part of the set-ups that it answered with an error
    alive_at: int = 0  # when it last answered or reported its wait
    tokens: float = 0.0  # token bucket of a cold server: set-ups that may be sent now
    tokens_at: int = 0  # when the bucket was last filled
    rate: float = LOW_RATE  # set-ups a second that this proxy may expect to send it
    lines: float = 0.0  # in all, as reported; 0: none or unknown
    free: float = 0.0  # free lines as last reported, less the set-ups sent since
    reported: bool = False  # whether its lines were reported: none at all is not the same as unknown


@dataclass(slots=True)
class Call:
    """A call that still waits for its final answer."""

    event: api.NewCall
    klass: api.CallClass
    aim_at: int  # when it should stand; later it is worth less
    deadline: int  # when its caller stops waiting
    admitted: bool = False  # it has passed its draw
    attempts: int = 0
    server: Server | None = None  # where its one attempt is in flight
    cancel_at: int = 0  # when that attempt has taken far longer than usual
    blocked_until: int = 0  # end of the release wait, before which it must not be sent again
    draw: float = 1.0  # random number held against the pass share
    erred_server: Server | None = None  # has answered an attempt with an error
    may_have_run: bool = False  # an attempt may have run, and the class forbids a second run


class Controller:
    """Controller of one edge proxy; shares no state with any other."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.servers: dict[str, Server] = {}
        self.active: list[Server] = []  # servers that may be sent to
        self.calls: dict[int, Call] = {}
        self.queued: dict[int, Call] = {}
        self.dialled: dict[str, list[int]] = {}  # number called -> when first, and how often
        self.rate, self.arrivals = 0.0, 0  # own first tries: per second, and in this sampling interval
        self.release_rate = 0.0  # own share of the lines that come free, per nanosecond; 0: unknown
        self.rotation = random.Random(~seed).random()  # position of the round robin, from a random start
        self.actions: api.Actions = []
        self.now = self.ticks = 0
        self.min_worth, self.min_aim = settings.min_worth, settings.shortest_aim
        time_scale = min(1.0, self.min_aim / REFERENCE_AIM)
        self.t_m, self.evidence_lifetime = int(T_M * time_scale), int(EVIDENCE_LIFETIME * time_scale)
        self.first_mark, self.max_mark = int(FIRST_MARK * time_scale), int(MAX_MARK * time_scale)
        self.loss = 0.0  # EWMA: part of the set-ups whose answer is lost
        self.line_yield, self.holding_time = settings.min_yield, settings.mean_holding_time or math.inf
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Started: self._start, api.ServerList: self._update_list, api.NewCall: self._take_call,
            api.CallStands: self._confirm, api.AttemptEnded: self._end_attempt, api.TimerDue: self._run_timer,
            api.CallerLeft: lambda event: self._remove_call(event.call), api.ProbeAnswered: self._read_probe,
            api.PeerMessage: lambda event: None,  # no message is sent to peers, so none from them is trusted
        }  # fmt: skip

    def handle(self, event: api.Event, now: int) -> api.Actions:
        """Handle one event; return what the host has to do, in order."""
        self.now, self.actions = now, []
        self.handlers[type(event)](event)
        return self.actions

    def _start(self, event: api.Started) -> None:
        self.actions.append(api.Wake(TICK_TOKEN, self.now + self.random.randrange(1, self.t_m)))
        if self.settings.list_on_request:
            self.actions.append(api.FollowList())

    # Set-ups: admission, routing, timers and outcomes.

    def _take_call(self, event: api.NewCall) -> None:
        if event.call in self.calls or not 0 <= event.klass < len(self.settings.classes):
            return
        klass = self.settings.classes[event.klass]
        first_try = self._find_first_try(event)
        call = self.calls[event.call] = Call(event, klass, first_try + klass.aim, self.now + event.max_wait)
        self.arrivals += not event.repeat and first_try == self.now
        self._dispatch(call)
        if event.call in self.calls:  # a call refused at once needs no timer
            self.actions.insert(0, api.Wake(event.call + 1, call.deadline))

    def _find_first_try(self, event: api.NewCall) -> int:
        """Return when the caller first dialled; unmarked repeats are known by the number called."""
        dialled, oldest = self.dialled, self.now - self.settings.max_redial_time
        while dialled and (len(dialled) > MAX_CALLEES or next(iter(dialled.values()))[0] < oldest):
            del dialled[next(iter(dialled))]
        if self.settings.marks_repeats or not event.callee:
            return self.now
        record = dialled.setdefault(event.callee, [self.now, 0])
        record[1] += 1
        return record[0] if record[1] <= MAX_TRIES else self.now

    def _may_use_line(self, call: Call, server: Server) -> bool:
        """Trunk reservation: a line is free, and the call earns what others would (docs/design-agents.md)."""
        if not server.reported or server.free < 1 + (call.klass.aim > self.min_aim and server.lines > 1):
            return not server.reported
        hold = call.klass.holding_time * (1 if server.number == call.event.first_choice else AWAY_FACTOR)
        price = self.line_yield * hold / (1 + server.free * math.sqrt(2 / math.pi / server.lines))
        return self._estimate_worth(call) >= price

    def _rank_servers(self, call: Call) -> list[Server]:
        """Return the servers this call may use: its first choice, then the others from the rotation on."""
        first_choice, candidates = call.event.first_choice, call.event.candidates
        allowed = [s for s in self.active if self._is_allowed(call, s) and self._may_use_line(call, s)]
        usable = [s for s in allowed if self.may_try(s)] or [s for s in allowed if s.error_rate > ERROR_LIMIT]
        # After an error another server is tried, which tells whether the call or the server is at fault.
        usable = [s for s in usable if s is not call.erred_server] or usable
        if candidates:  # a route list has its own order
            return sorted(usable, key=lambda s: (self._is_replaced(s), candidates.index(s.number)))
        others = [s for s in usable if s.number != first_choice and not call.event.transit]
        # Weighted round robin: by free lines per set-up time where servers have room, else by lines.
        slowest = max((s.min_time for s in self.active), default=0.0) or 1.0
        sizes = [(s.lines + 1) / (s.min_time or slowest) for s in others]
        room = [size * self._has_room(s) for size, s in zip(sizes, others, strict=True)]
        point = call.event.call * math.sqrt(2) % 1  # fixed for the call, however often it is dispatched
        if self._is_low(self.rate / max(len(self.active), 1), slowest) and 0 < sum(room) < point * sum(sizes):
            # Servers with room take their own part of the overflow only: all of it would overload small ones.
            others, sizes, room = [], [], []
        free = [s.free / (s.lines + 1) * (not self._is_replaced(s)) for s in others]
        weights = [a * b for a, b in zip(room, free, strict=True)]
        weights = weights if any(weights) else sizes
        start = bisect(list(accumulate(weights)), self.rotation % 1 * sum(weights))
        first = [s for s in usable if s.number == first_choice]
        return sorted(first + others[start:] + others[:start], key=self._is_replaced)

    def _is_allowed(self, call: Call, server: Server) -> bool:
        listed, allowed = call.event.candidates, call.klass.allowed
        return (allowed is None or server.number in allowed) and (not listed or server.number in listed)

    def _is_replaced(self, server: Server) -> bool:
        """Whether a successor can do its work: then it may drain at any moment, and is tried last."""
        return server.successor is not None and self._get_capacity(server.successor) >= TAKEOVER_CAPACITY

    def _dispatch(self, call: Call) -> None:
        """Admit the call by one draw, then send, queue or refuse it."""
        if call.attempts >= self.settings.max_attempts or call.may_have_run:
            return self._refuse(call)
        choices = self._rank_servers(call)
        if choices and not call.admitted:
            call.draw = self.random.random()
        # Demand shifts between servers: calls that an overloaded one rejects may overflow to those with room.
        usable = [s for s in choices if self._is_admitted(call, s, first=s is choices[0])]
        call.admitted = bool(usable)
        for server in usable:
            if self._fits(server):
                return self._send(call, server)
        may_wait = any(self._is_allowed(call, s) for s in self.active) and len(usable) >= bool(choices)
        margin = call.klass.aim // (2 if choices else 10)  # for a line it may wait longer: overload lasts
        if not may_wait or self.now >= min(call.aim_at, call.deadline) - margin:
            return self._refuse(call)
        self.queued[call.event.call] = call
        if 0 < self.release_rate * call.klass.aim < len(self.queued):
            # More wait than lines can come free within the aim: refuse the newest of those worth least.
            self._refuse(min(reversed(self.queued.values()), key=self._estimate_worth))

    def _is_admitted(self, call: Call, server: Server, first: bool) -> bool:
        """Whether the call passes its draw, whoever sent it; a server with room takes any overflow."""
        if call.admitted if first else self._has_room(server):
            return True
        exponent = self.min_worth / max(self._estimate_worth(call), 1e-9)
        exponent = min(exponent, exponent**2)  # an overloaded processor prefers calls of higher worth
        chance = server.share * min(1.0, TARGET_RHO / server.rho if server.rho else 1.0)
        return (first or call.klass.worth > self.min_worth) and call.draw < math.pow(chance, exponent)

    def _estimate_worth(self, call: Call) -> float:
        """Return what the call can still earn; a repeated try has missed its aim as a rule."""
        late = call.event.repeat or self.now > call.aim_at
        return call.klass.worth * (call.klass.late_worth if late else 1.0)

    def _has_room(self, server: Server) -> bool:
        overloaded = server.share < 1 or (server.rho is not None and server.rho >= OVERFLOW_RHO)
        return not overloaded and (server.free > 0 or not server.lines)

    def _serve_queued(self, server: Server | None = None) -> None:
        """Dispatch queued calls (maybe thousands) by worth; for one server, only while that can take more."""
        queued = iter(sorted(self.queued.values(), key=self._estimate_worth, reverse=True))
        while not server or (self.may_try(server) and self._fits(server) and server.free >= server.reported):
            if (call := next(queued, None)) is None:
                return
            if call.event.call in self.queued:
                self._dispatch(call)

    def _send(self, call: Call, server: Server) -> None:
        if server.number != call.event.first_choice:
            self.rotation += GOLDEN_SECTION
        self.queued.pop(call.event.call, None)
        call.attempts += 1
        call.server = server
        server.open[call.event.call] = self.now
        server.tokens -= 1
        server.free = max(0.0, server.free - 1)
        # While answers get lost, an attempt that takes three times as long as usual is retried, if in time.
        usual = int((server.rho or 1.0) * self._get_target_time(server))
        call.cancel_at = self.now + 3 * usual
        if self.loss > CANCEL_LOSS and call.cancel_at + self.settings.release_wait + usual < call.aim_at:
            self.actions.append(api.Wake(call.event.call + 1, call.cancel_at))
        self.actions.append(api.Send(call.event.call, server.name, max(call.deadline - self.now, 1)))

    def _refuse(self, call: Call) -> None:
        if call.may_have_run:
            return self._fail(call.event.call)
        self._remove_call(call.event.call)
        self.actions.append(api.Refuse(call.event.call, FIRST_MARK if self.settings.heeds_retry_after else 0))

    def _fail(self, number: int) -> None:
        self._remove_call(number)
        self.actions.append(api.Fail(number))

    def _remove_call(self, number: int) -> None:
        self.queued.pop(number, None)
        self.calls.pop(number, None)

    def _run_timer(self, event: api.TimerDue) -> None:
        if event.token == TICK_TOKEN:
            return self._run_tick()
        call = self.calls.get(event.token - 1)
        if call is None:
            return
        if self.now >= call.deadline:
            self._fail(call.event.call)
        elif call.server is None and self.now >= call.blocked_until:
            self._dispatch(call)
        elif call.server and self.now >= call.cancel_at and event.token - 1 in call.server.open:
            self._write_off(call.server, event.token - 1, is_lost=False)

    def _confirm(self, event: api.CallStands) -> None:
        server, call = self.servers.get(event.server), self.calls.get(event.call)
        if call is not None:
            self.dialled.pop(call.event.callee, None)  # its caller will not dial again
        self._remove_call(event.call)
        if server is None or event.call not in server.open:
            return
        self._write_off_overtaken(server, server.open.pop(event.call) - self.t_m / 2)
        self.loss *= 1 - SLOW_WEIGHT
        server.error_rate *= 1 - SLOW_WEIGHT
        if server.min_time and server.cold_since > server.started and event.delay < 2 * server.min_time:
            server.cold_since = server.started  # as fast as before: it had not restarted
        server.min_time = min(server.min_time * TIME_GROWTH, event.delay) if server.min_time else event.delay
        if server.failures >= SUSPECT_AFTER and server.sampled_at > server.alive_at:
            server.cold_since = max(server.cold_since, self.now)  # silent until now: may have restarted
        server.failures, server.error_run, server.alive_at = 0, 0, self.now
        self._add_sample(server, event.delay / (target := self._get_target_time(server)))
        if event.delay > target:
            server.window = max(MIN_WINDOW, server.window - 1 / server.window)
        elif 2 * len(server.open) >= server.window - 1:
            server.window += 1 / server.window
        self._serve_queued(server)

    def _end_attempt(self, event: api.AttemptEnded) -> None:
        server = self.servers.get(event.server)
        if server is not None:
            self._record_outcome(server, event, written_off=server.open.pop(event.call, None) is None)
        call = self.calls.get(event.call)
        if call is not None and event.attempt == call.attempts - 1:
            call.server, call.admitted = None, False  # a new draw, or all its calls would overload others
            self._continue_call(call, event)
        self._serve_queued(server)

    def _continue_call(self, call: Call, event: api.AttemptEnded) -> None:
        """After a failed attempt: end the call, wait for the release, or try again."""
        if event.call_over:
            return self._remove_call(event.call)
        if event.callee_busy:  # busy through any server: none is blamed, and the call is not tried again
            return self._refuse(call)
        if event.outcome is Outcome.ERROR:
            server = self.servers.get(event.server)
            if call.erred_server is not None and (server is None or server.error_rate < ERROR_LIMIT):
                return self._fail(event.call)  # a second error: the call itself is at fault
            call.erred_server = server
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            call.blocked_until = self.now + self.settings.release_wait
        call.may_have_run |= event.outcome not in api.NEVER_RAN and call.klass.effect is not api.Effect.SAFE
        if max(self.now, call.blocked_until) >= call.deadline:
            self._fail(event.call)
        elif call.blocked_until > self.now:
            self.actions.append(api.Wake(event.call + 1, call.blocked_until))
        else:
            self._dispatch(call)

    def _record_outcome(self, server: Server, event: api.AttemptEnded, written_off: bool) -> None:
        """Update what is known of a server by the outcome of one attempt."""
        failed = event.outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET)
        failed |= event.outcome is Outcome.TIMEOUT and not written_off
        if event.no_line and server.lines:
            failed = False  # its processor may be idle: no skip mark, no sample
            server.free = 0.0
        if event.outcome in (Outcome.FULL, Outcome.ENDED, Outcome.ERROR):
            server.alive_at = self.now
        # One error is the call's fault as a rule, one reset the connection's; a run of them is the server's.
        was_reset = event.outcome is Outcome.RESET and not event.call_over
        if was_reset or (event.outcome is Outcome.ERROR and not event.callee_busy):
            server.error_run += server.error_at != self.now  # errors at the same moment have one cause
            server.error_at = self.now
            failed = server.error_run >= MAX_ERROR_RUN
            server.error_rate += SLOW_WEIGHT * (1 - server.error_rate) * (event.outcome is Outcome.ERROR)
        if failed:
            self._mark_failed(server)
        self._apply_report(server, event.report)

    def _apply_report(self, server: Server, report: Mapping[str, float]) -> None:
        """Use the lines and the wait, or queue over rate, of a report; values out of range are ignored."""
        free, lines = report.get("free", -1.0), report.get("lines", -1.0)
        if 0 <= free <= lines < math.inf:
            server.free, server.lines, server.reported = free, lines, True
        if 0 <= (wait := api.estimate_wait_ms(report)) < math.inf:
            server.alive_at = self.now
            self._write_off_overtaken(server, self.now - EVIDENCE_LIFETIME - server.min_time - wait * 1e6)
            self._add_sample(server, (server.min_time + wait * 1e6) / self._get_target_time(server))

    def _add_sample(self, server: Server, sample: float) -> None:
        server.samples.append(min(sample, MAX_SAMPLE))
        server.sampled_at = self.now

    def _is_low(self, rate: float, min_time: float) -> bool:
        return rate < LOW_RATE and (not min_time or self.settings.proxies * min_time > self.min_aim)

    def _get_target_time(self, server: Server) -> float:
        fraction = LOW_RATE_AIM_FRACTION if self._is_low(server.rate, server.min_time) else AIM_FRACTION
        return server.min_time + fraction * max(self.min_aim - server.min_time, self.min_aim / 4)

    def _read_probe(self, event: api.ProbeAnswered) -> None:
        server = self.servers.get(event.server)
        if server is not None and event.ok:
            self._apply_report(server, event.report)
            if event.delay:  # set-ups sent well before the probe have been processed, and their answers sent
                self._write_off_overtaken(server, self.now - LOST_AFTER_PROBE_DELAYS * event.delay)

    # The control loop: smoothed occupancy and pass share of each server.

    def _run_tick(self) -> None:
        self.actions.append(api.Wake(TICK_TOKEN, self.now + self.t_m))
        self.ticks += 1
        self.rate += max(SLOW_WEIGHT, 1 / self.ticks) * (self.arrivals * SECOND / self.t_m - self.rate)
        self.arrivals = 0
        probing = self.settings.may_probe and self.ticks % PROBE_INTERVAL_TICKS == 0
        lines = sum(server.lines + 1 for server in self.active)
        self.release_rate = sum(s.lines for s in self.active) / (self.holding_time * self.settings.proxies)
        for server in self.active:
            server.rate = self.rate * (server.lines + 1) / lines
            self._take_sample(server)
            if self.ticks % SAMPLES_PER_STEP == 0:
                self._step_share(server)
            if probing and server.share < 1 and self.now - server.sampled_at > self.evidence_lifetime:
                self.actions.append(api.Probe(server.name))
        self._serve_queued()

    def _take_sample(self, server: Server) -> None:
        """Smooth one sample in each T_m; without evidence nothing changes while the last one is fresh."""
        target = self._get_target_time(server)
        oldest = min(server.open.values(), default=self.now)
        if self.now - max(oldest, server.alive_at) > max(self.min_aim, 2 * target):
            self._mark_failed(server)  # in flight beyond the shortest aim, no answer of any kind since
        pending = min((self.now - oldest) / target, MAX_SAMPLE)
        if pending > 1:
            # The server has slowed down or died: set-ups in flight reduce the window only once they stand.
            server.window = max(MIN_WINDOW, server.window / 2)
        idle_time = max(self.evidence_lifetime, 2 * SECOND / max(server.rate, MIN_RATE))
        if server.samples or pending > 1:
            sample = max(sum(server.samples) / max(len(server.samples), 1), pending)
        elif not server.open and self.now - server.sampled_at > idle_time:
            sample = TARGET_RHO / 2  # idle; not sooner: own calls may bring evidence only every few seconds
        else:
            return
        server.samples.clear()
        server.rho = sample if server.rho is None else EWMA_WEIGHT * sample + (1 - EWMA_WEIGHT) * server.rho
        server.has_new_sample = True

    def _step_share(self, server: Server) -> None:
        """Step the share on a new sample only: repeats on an old one wind up in hundreds of proxies."""
        if not server.has_new_sample:
            return
        server.has_new_sample = False
        phi = TARGET_RHO / server.rho if server.rho else MAX_STEP
        server.share = min(1.0, max(P_MIN, server.share * min(max(phi, 1 / MAX_STEP), MAX_STEP)))

    # Cold servers: slow start by a token bucket, whose budget holds for the window of the fall rule.

    def _fits(self, server: Server) -> bool:
        """Whether a set-up fits the window and a cold server's token bucket, which fills by its lines."""
        if len(server.open) >= (MIN_WINDOW if self._is_low(server.rate, server.min_time) else server.window):
            return False
        rules = self.settings
        has_room = server.alive_at > 0 and (server.rho or OVERFLOW_RHO) < OVERFLOW_RHO  # not if only silent
        if self._get_age(server) >= (1 if has_room else 2) * rules.ramp_time:
            return True
        capacity = self._get_capacity(server)
        # A server whose lines are not reported yet is taken for the smallest known.
        lines = server.lines or min((s.lines for s in self.active if s.lines), default=0.0)
        fair_rate = lines * SECOND / (self.holding_time * rules.proxies) or self.rate / len(self.active)
        rate = min(fair_rate, (fair_rate + server.rate) / 2)
        multiple = COLD_BUDGET_PART * rules.fall_multiple
        budget = max(multiple * capacity * rate * rules.fall_window / SECOND, 1 / rules.proxies)  # never 0
        if server.tokens_at < server.cold_since:
            server.tokens, server.tokens_at = self.random.random(), self.now
        server.tokens += (1 - COLD_BURST_PART) * budget * (self.now - server.tokens_at) / rules.fall_window
        # Unused tokens expire: one saved set-up from each of hundreds of proxies would overload the server.
        server.tokens -= max(0, math.ceil(server.tokens - COLD_BURST_PART * budget) - 1)
        server.tokens_at = self.now
        return server.tokens >= 1

    def _get_capacity(self, server: Server) -> float:
        """Return the part of its warm capacity that a server has at least, by its age."""
        cold_from, ramp_time = self.settings.cold_from, max(self.settings.ramp_time, 1)
        return min(1.0, cold_from + (1 - cold_from) * self._get_age(server) / ramp_time)

    def _get_age(self, server: Server) -> float:
        return max(self.now - server.cold_since, 0) if server.cold_since > 0 else math.inf

    # Failing servers, and the server list.

    def may_try(self, server: Server) -> bool:
        return server.mark_until <= self.now and not (server.failures >= SUSPECT_AFTER and server.open)

    def _mark_failed(self, server: Server) -> None:
        """Skip a failed server, with exponential backoff; failures during a skip mark count as one."""
        if server.error_rate < ERROR_LIMIT:  # else it is marked for its errors, which do not show load
            self._add_sample(server, FAILURE_SAMPLE)
        if server.mark_until <= self.now:
            server.failures += 1
            server.window = max(MIN_WINDOW, server.window / 2)
            mark, max_mark = self.first_mark, self.max_mark
            if self._is_low(server.rate, server.min_time) and server.failures >= SUSPECT_AFTER:
                mark = max(mark, int(SECOND / max(server.rate, MIN_RATE)))
                max_mark = max(max_mark, self.settings.proxies * SECOND // TRIALS_PER_S)
            server.mark_until = self.now + min(mark << min(server.failures - 1, 10), max_mark)

    def _write_off_overtaken(self, server: Server, before: float) -> None:
        """Write off set-ups sent before a given time: servers work in order, so their answers are lost."""
        for number in [number for number, at in server.open.items() if at < before]:
            self._write_off(server, number)

    def _write_off(self, server: Server, number: int, is_lost: bool = True) -> None:
        """Cancel a set-up. Lateness is no loss: counted as one, it would cancel the next late one in turn."""
        del server.open[number]
        self.loss += SLOW_WEIGHT * (1 - self.loss) * is_lost
        call = self.calls.get(number)
        if call is not None and self.settings.may_cancel:
            self.actions.append(api.Cancel(number, call.attempts - 1))

    def _update_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.REFUSED:
            return self.actions.append(api.FollowList())
        for server in self.servers.values() if event.kind is api.ListKind.COMPLETE else ():
            server.state = ServerState.GONE  # unless listed
        for entry in event.entries:
            old = self.servers.get(entry.server)
            if old is None or entry.started > old.started:
                new = Server(entry.server, entry.number, entry.started, entry.started)  # load unknown
                if old is not None:
                    new.open, new.min_time, new.reported = old.open, old.min_time, old.reported
                    new.free, new.lines = old.free, old.lines
                self.servers[entry.server] = new
            self.servers[entry.server].state = entry.state
            self.servers[entry.server].listed_at = self.now
        for name, server in list(self.servers.items()):
            if server.state is ServerState.GONE and not server.open and self.now - server.listed_at > EXPIRY:
                del self.servers[name]  # successors have names of their own, so the table would only grow
        self.active = [server for server in self.servers.values() if server.state is ServerState.ACTIVE]
        latest = {server.number: server for server in sorted(self.active, key=lambda s: s.started)}
        for server in self.active:
            newest = latest[server.number]
            server.successor = newest if newest.started > server.started else None
