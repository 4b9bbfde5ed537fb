"""Runs a plan: the softswitches, their servers and callers, and the events; fills the record that the
measures of spread read.

This file owns the course of a run. The same plan gives the same record: all randomness comes from the plan's
seed, and no clock but the virtual one is read.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import accumulate

from wickstep import interface as api
from wickstep.brain import Controller
from wickstep.fleet.clock import SECOND, Clock
from wickstep.fleet.plan import FleetEvent, FleetPlan, ServerKind
from wickstep.fleet.processor import SimulatedServer
from wickstep.fleet.softswitch import Call, SimulatedSoftswitch
from wickstep.interface import ServerState
from wickstep.spread.reasons import SendReason
from wickstep.spread.record import BIN_S, Record, SentSetUp, ServerTimeline

ControllerFactory = Callable[[api.Settings, int], Controller]

# Of each class: share of the callers; factors on the plan's aim, wait and holding time; worth of a call;
# share of that worth if it is late.
CALL_CLASSES = (
    (0.73, 1.0, 1.0, 1.0, 1.0, 0.1),
    (0.05, 0.8, 0.67, 0.6, 6.0, 0.25),
    (0.22, 1.0, 1.0, 0.8, 3.0, 0.1),
)
CUMULATIVE_SHARES = [*accumulate(share for share, *_ in CALL_CLASSES)]
MAX_LIST_DELAY_S = 1.0  # until a change of the pool list reaches a softswitch
RETRY_PAUSE_S = (0.5, 1.5)  # before a refused caller tries again
SETTLE_TIME_S = 2.0  # for which the run continues after the last call


@dataclass(slots=True)
class CallResult:
    """The result of one first try, including the caller's retries."""

    requested_at: int
    klass: int
    kind: str = "lost"
    delay: int = 0
    in_time: bool = False


@dataclass(slots=True)
class RunResult:
    """A finished run: its record, and the result of each first try."""

    plan: FleetPlan
    record: Record
    calls: list[CallResult] = field(default_factory=list)
    probes: int = 0

    def worth(self, begin: float = 0.0, end: float = math.inf) -> float:
        """Worth of the calls requested in [begin, end) that were served, late ones at their lower worth,
        divided by the worth of all calls requested then."""
        requested = earned = 0.0
        for call in self.calls:
            if begin <= call.requested_at / SECOND < end:
                _, _, _, _, worth, late = CALL_CLASSES[call.klass]
                requested += worth
                if call.kind == "stands":
                    earned += worth * (1.0 if call.in_time else late)
        return earned / requested if requested else 1.0

    def share(self, kind: str, begin: float = 0.0, end: float = math.inf) -> float:
        selected = [call for call in self.calls if begin <= call.requested_at / SECOND < end]
        return sum(call.kind == kind for call in selected) / len(selected) if selected else 0.0

    def delays(self, begin: float = 0.0, end: float = math.inf) -> list[float]:
        """Set-up delays of the calls that were set up, in seconds, sorted."""
        return sorted(
            call.delay / SECOND
            for call in self.calls
            if call.kind == "stands" and begin <= call.requested_at / SECOND < end
        )


class Model:
    def __init__(self, plan: FleetPlan, make_controller: ControllerFactory = Controller) -> None:
        self.plan, self.make_controller = plan, make_controller
        self.rng = random.Random(plan.seed)
        self.clock = Clock()
        self.record = Record(plan.duration_s)
        self.result = RunResult(plan, self.record)
        self.servers: dict[str, SimulatedServer] = {}
        self.busy_before: dict[str, int] = {}  # busy time of each server at the end of the last bin
        self.sent_at: dict[tuple[int, int], int] = {}
        self.next_number = 0
        self.hold_s = plan.traffic.hold_s * sum(share * hold for share, _, _, hold, _, _ in CALL_CLASSES)
        for kind in plan.server_kinds:
            for _ in range(kind.count):
                self._add_server(kind, self.next_number)
                self.next_number += 1
        self.unfinished: dict[tuple[int, int], CallResult] = {}  # by softswitch and call
        self.last_call = [0] * plan.softswitches  # number of the last call of each softswitch
        settings = self.make_settings()
        self.switches = [self._make_softswitch(n, settings) for n in range(plan.softswitches)]
        # Traffic falls geometrically from the busiest softswitch to the quietest.
        steps = max(plan.softswitches - 1, 1)
        traffic = [plan.traffic.busiest_ratio ** -(n / steps) for n in range(plan.softswitches)]
        self.cumulative_traffic = [*accumulate(traffic)]
        self.cumulative_choices: list[float] = []
        self._draw_choice_weights()
        self.rate = plan.traffic.rate

    def make_settings(self) -> api.Settings:
        plan = self.plan
        traffic = plan.traffic
        classes = tuple(
            api.CallClass(
                int(traffic.aim_s * aim * SECOND), worth, late, api.Effect.SAFE, None,
                int(traffic.hold_s * hold * SECOND),
            )
            for _, aim, _, hold, worth, late in CALL_CLASSES
        )  # fmt: skip
        return api.Settings(
            classes=classes, proxies=plan.softswitches, max_attempts=5, max_retry_after=2 * SECOND,
            retransmit=int(plan.behaviour.retransmit_s * SECOND), release_wait=SECOND // 5,
            drain_grace=2 * SECOND, cold_from=plan.behaviour.cold_from,
            ramp_time=int(plan.behaviour.cold_s * SECOND), fall_multiple=2.5, fall_window=3 * SECOND // 2,
            may_cancel=True, may_probe=True, may_message=False, heeds_retry_after=True, list_on_request=False,
            own_number=-1,
        )  # fmt: skip

    def _make_softswitch(self, number: int, settings: api.Settings) -> SimulatedSoftswitch:
        wrong = (number * 7 + 3) % max(self.plan.softswitches // 3, 1)
        own_numbers = {"told": number, "unknown": -1, "wrong": wrong}
        own_settings = replace(settings, own_number=own_numbers[self.plan.own_number])
        return SimulatedSoftswitch(
            number, self.make_controller(own_settings, self.rng.randrange(2**63)), self
        )

    def _add_server(self, kind: ServerKind, number: int, started_at: int | None = None) -> SimulatedServer:
        name = f"s-{len(self.servers):02}"
        seed = self.rng.randrange(2**31)
        server = SimulatedServer(name, number, kind, self.plan.behaviour, self.clock, seed)
        server.hold_s = self.hold_s
        if started_at is not None:
            server.started_at = started_at
        self.servers[name] = server
        self.busy_before[name] = 0
        timeline = self.record.servers[name] = ServerTimeline()
        bins = int(self.clock.now_s / BIN_S)
        timeline.capacity, timeline.idle = [0.0] * bins, [0.0] * bins
        self.clock.after(
            int(self.rng.random() * self.plan.behaviour.report_interval_s * SECOND), server.refresh_report
        )
        phase = int(self.rng.random() * self.plan.behaviour.free_interval_s * SECOND)
        self.clock.after(phase, self._send_free_lines, server)
        return server

    def _send_free_lines(self, server: SimulatedServer) -> None:
        """Reports free lines to all softswitches at once; each report takes the one-way delay."""
        if server.state is ServerState.GONE:
            return
        if not server.silent:
            for softswitch in self.switches:
                self.clock.after(
                    int(server.kind.round_trip_s * SECOND / 2), softswitch.receive_free_lines, server
                )
        self.clock.after(int(self.plan.behaviour.free_interval_s * SECOND), self._send_free_lines, server)

    def _draw_choice_weights(self) -> None:
        """Draws how first choices are distributed over servers: by capacity, off by the plan's unevenness."""
        unevenness = self.plan.traffic.unevenness
        sigma = math.sqrt(math.log(1 + unevenness * unevenness))
        active = [s for s in self.servers.values() if s.state is ServerState.ACTIVE]
        numbers = sorted({s.number for s in active})
        self.choices = numbers
        weights = {
            n: max(s.kind.rate * s.kind.choice_weight for s in active if s.number == n) for n in numbers
        }
        self.cumulative_choices = [
            *accumulate(weights[n] * math.exp(self.rng.gauss(0, sigma)) for n in numbers)
        ]

    # The run.

    def run(self) -> RunResult:
        plan = self.plan
        entries = [self._list_entry(server) for server in self.servers.values()]
        for softswitch in self.switches:
            softswitch.dispatch(api.Started())
            softswitch.dispatch(api.ServerList(api.ListKind.COMPLETE, tuple(entries)))
        self._add_earlier_calls()
        for event in plan.events:
            self.clock.after(int(event.at * SECOND), self._apply_event, event)
        self.clock.after(0, self._record_bin)
        self._place_next_call()
        self.clock.run(int((plan.duration_s + plan.traffic.wait_s + SETTLE_TIME_S) * SECOND))
        return self.result

    def _add_earlier_calls(self) -> None:
        """Adds calls from before the start of the run: they occupy lines until they end."""
        hold_s = self.hold_s
        for server in self.servers.values():
            for number in range(round(server.kind.initial_occupancy * server.kind.lines)):
                softswitch = self.switches[self._draw_index(self.cumulative_traffic)]
                server.add_earlier_call(
                    softswitch, -number - 1, int(self.rng.expovariate(1 / hold_s) * SECOND)
                )

    def _list_entry(self, server: SimulatedServer) -> api.ServerEntry:
        started = server.started_at if server.started_at > 0 else 0
        return api.ServerEntry(server.name, server.number, started, server.state)

    def _place_next_call(self) -> None:
        if self.clock.now_s >= self.plan.duration_s:
            return
        self.clock.after(int(self.rng.expovariate(self.rate) * SECOND), self._place_next_call)
        softswitch = self.switches[self._draw_index(self.cumulative_traffic)]
        klass = self._draw_index(CUMULATIVE_SHARES)
        first_choice = self.choices[self._draw_index(self.cumulative_choices)]
        result = CallResult(self.clock.now, klass)
        self.result.calls.append(result)
        self._place_call(softswitch, klass, first_choice, result, is_retry=False)

    def _draw_index(self, cumulative: list[float]) -> int:
        return min(bisect(cumulative, self.rng.random() * cumulative[-1]), len(cumulative) - 1)

    def _place_call(self, softswitch: SimulatedSoftswitch, klass: int, first_choice: int, result: CallResult,
                    is_retry: bool) -> None:  # fmt: skip
        if softswitch.dead:
            return
        traffic = self.plan.traffic
        _, aim, wait, hold, _, _ = CALL_CLASSES[klass]
        now = self.clock.now
        self.last_call[softswitch.number] += 1
        number = self.last_call[softswitch.number]
        holding_time = int(self.rng.expovariate(1 / (traffic.hold_s * hold)) * SECOND)
        call = Call(
            number, now, first_choice, klass, int(traffic.aim_s * aim * SECOND),
            now + int(traffic.wait_s * wait * SECOND), is_retry, holding_time,
        )  # fmt: skip
        self.unfinished[(softswitch.number, number)] = result
        softswitch.take_call(call)

    def record_sent(self, softswitch: int, server: SimulatedServer, reason: SendReason) -> None:
        self.record.sent.append(SentSetUp(self.clock.now_s, softswitch, server.name, reason))

    def record_full(self, server: SimulatedServer) -> None:
        self.record.full.append((self.clock.now_s, server.name))

    def call_finished(self, softswitch: SimulatedSoftswitch, call: Call, kind: str, retry_after: int) -> None:
        """Records the final answer of a call; a refused caller may try once more."""
        result = self.unfinished.pop((softswitch.number, call.number))
        delay = self.clock.now - result.requested_at
        result.kind, result.delay, result.in_time = kind, delay, delay <= call.aim
        waited = self.clock.now - call.requested_at
        if waited > call.aim:
            self.record.overdue.append(((call.requested_at + call.aim) / SECOND, self.clock.now_s))
        if kind == "refused":
            self.record.refused.append(self.clock.now_s)
            if not call.is_retry and self.rng.random() < self.plan.traffic.retry_share:
                pause = int(max(self.rng.uniform(*RETRY_PAUSE_S) * SECOND, retry_after))
                self.clock.after(
                    pause, self._place_call, softswitch, call.klass, call.first_choice, result, True
                )

    def _record_bin(self) -> None:
        """Records each server's capacity, and the fraction of time it was idle, in the bin that ends now."""
        for name, server in self.servers.items():
            timeline = self.record.servers[name]
            busy = server.total_busy_ns()
            if self.clock.now:
                busy_fraction = (busy - self.busy_before[name]) / (BIN_S * SECOND)
                is_active = server.state is ServerState.ACTIVE
                timeline.capacity.append(server.capacity() if is_active else 0.0)
                usable = not server.silent and len(server.occupied) < server.kind.lines
                timeline.idle.append(min(max(1.0 - busy_fraction, 0.0), 1.0) * usable)
            self.busy_before[name] = busy
        if self.clock.now_s < self.plan.duration_s:
            self.clock.after(int(BIN_S * SECOND), self._record_bin)

    # Events.

    def _sample_servers(self, part: float) -> list[SimulatedServer]:
        active = [s for s in self.servers.values() if s.state is ServerState.ACTIVE]
        return self.rng.sample(active, min(max(round(part * len(active)), 1), len(active)))

    def _apply_event(self, event: FleetEvent) -> None:
        duration = int(event.length_s * SECOND)
        match event.event_type:
            case "burst":
                self.rate = self.plan.traffic.rate * event.factor
                self.clock.after(duration, self._end_burst)
            case "shift":
                self._draw_choice_weights()
            case "slow":
                for server in self._sample_servers(event.part):
                    server.slowdown = event.factor
                    self.clock.after(duration, self._end_slowdown, server)
            case "silent":
                for server in self._sample_servers(event.part):
                    server.silent = True
                    self.clock.after(duration, self._end_silence, server)
            case "drain":
                self._start_drain(self._sample_servers(event.part), duration)
            case "join":
                for server in self._sample_servers(event.part):
                    self.send_list_changes([self._add_server(server.kind, self.next_number, self.clock.now)])
                    self.next_number += 1
                self._draw_choice_weights()
            case "kill":
                for softswitch in self.rng.sample(self.switches, round(event.part * len(self.switches))):
                    self._kill(softswitch)

    def _end_burst(self) -> None:
        self.rate = self.plan.traffic.rate

    def _end_slowdown(self, server: SimulatedServer) -> None:
        server.slowdown = 1.0

    def _end_silence(self, server: SimulatedServer) -> None:
        server.silent = False
        server.resume()

    def _start_drain(self, servers: list[SimulatedServer], duration: int) -> None:
        for server in servers:
            server.state = ServerState.DRAINING
        self.send_list_changes(servers)
        self._draw_choice_weights()
        self.clock.after(duration, self._remove_servers, servers)

    def _remove_servers(self, servers: list[SimulatedServer]) -> None:
        for server in servers:
            server.state = ServerState.GONE
        self.send_list_changes(servers)

    def send_list_changes(self, servers: list[SimulatedServer]) -> None:
        """Sends a change of the pool list, which reaches each softswitch after a random delay."""
        event = api.ServerList(api.ListKind.CHANGES, tuple(self._list_entry(server) for server in servers))
        for softswitch in self.switches:
            self.clock.after(int(self.rng.random() * MAX_LIST_DELAY_S * SECOND), softswitch.dispatch, event)

    def _kill(self, softswitch: SimulatedSoftswitch) -> None:
        """Kills and at once restarts a softswitch, which has then learned nothing and lost all its calls."""
        softswitch.dead = True
        for call in [*softswitch.calls.values()]:
            self.unfinished.pop((softswitch.number, call.number))
            call.ended = True
            if call.server is not None:
                call.server.receive_cancel(softswitch.number, call.number)
        restarted = self.switches[softswitch.number] = self._make_softswitch(
            softswitch.number, self.make_settings()
        )
        restarted.dispatch(api.Started())
        entries = tuple(self._list_entry(s) for s in self.servers.values() if s.state is not ServerState.GONE)
        restarted.dispatch(api.ServerList(api.ListKind.COMPLETE, entries))
