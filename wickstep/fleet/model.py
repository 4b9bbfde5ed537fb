"""Plays a plan: the fleet, its servers, its callers, what happens to them; fills the record of spread.

This file owns the course of a play. The same plan gives the same record: all randomness comes from its seed,
and no clock but the virtual one is read.
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
from wickstep.fleet.edge import Call, Edge
from wickstep.fleet.plan import Happening, Kind, Plan
from wickstep.fleet.processor import Processor
from wickstep.interface import ServerState
from wickstep.spread.reasons import SendReason
from wickstep.spread.record import BIN_S, Record, SentSetUp, ServerTimeline

MakeController = Callable[[api.Settings, int], Controller]

# Part of the callers; times the plan's aim, wait and hold; worth, and the part of it if late.
CLASSES = (
    (0.73, 1.0, 1.0, 1.0, 1.0, 0.1),
    (0.05, 0.8, 0.67, 0.6, 6.0, 0.25),
    (0.22, 1.0, 1.0, 0.8, 3.0, 0.1),
)
PARTS = [*accumulate(part for part, *_ in CLASSES)]
NOTICE_S = 1.0  # a list comes so much later, at most
CALLER_PAUSE_S = (0.5, 1.5)  # before a refused caller tries again
REST_S = 2.0  # after the last call


@dataclass(slots=True)
class Fate:
    """What became of one first try, with the callers' repeats."""

    asked: int
    klass: int
    kind: str = "lost"
    took: int = 0
    in_time: bool = False


@dataclass(slots=True)
class Outcome:
    """A play: its record, and the fate of every first try."""

    plan: Plan
    record: Record
    fates: list[Fate] = field(default_factory=list)
    probes: int = 0

    def worth(self, begin: float = 0.0, end: float = math.inf) -> float:
        """Worth served in time, and in part late, over worth asked for by the calls of [begin, end)."""
        asked = earned = 0.0
        for fate in self.fates:
            if begin <= fate.asked / SECOND < end:
                _, _, _, _, worth, late = CLASSES[fate.klass]
                asked += worth
                if fate.kind == "stands":
                    earned += worth * (1.0 if fate.in_time else late)
        return earned / asked if asked else 1.0

    def share(self, kind: str, begin: float = 0.0, end: float = math.inf) -> float:
        these = [fate for fate in self.fates if begin <= fate.asked / SECOND < end]
        return sum(fate.kind == kind for fate in these) / len(these) if these else 0.0

    def waits(self, begin: float = 0.0, end: float = math.inf) -> list[float]:
        """Sorted, in seconds, of the calls that stood."""
        return sorted(
            fate.took / SECOND
            for fate in self.fates
            if fate.kind == "stands" and begin <= fate.asked / SECOND < end
        )


class Model:
    def __init__(self, plan: Plan, make: MakeController = Controller) -> None:
        self.plan, self.make = plan, make
        self.random = random.Random(plan.seed)
        self.clock = Clock()
        self.record = Record(plan.lasts_s)
        self.out = Outcome(plan, self.record)
        self.servers: dict[str, Processor] = {}
        self.worked: dict[str, int] = {}
        self.sent_at: dict[tuple[int, int], int] = {}
        self.numbers = 0
        self.hold_s = plan.crowd.hold_s * sum(part * hold for part, _, _, hold, _, _ in CLASSES)
        for kind in plan.kinds:
            for _ in range(kind.count):
                self._add(kind, self.numbers)
                self.numbers += 1
        self.fates: dict[tuple[int, int], Fate] = {}
        self.serial = [0] * plan.softswitches
        settings = self.settings()
        self.edges = [self._edge(n, settings) for n in range(plan.softswitches)]
        # An even fall in steps of one factor, from the busiest to the quietest.
        steps = max(plan.softswitches - 1, 1)
        traffic = [plan.crowd.spread ** -(n / steps) for n in range(plan.softswitches)]
        self.traffic = [*accumulate(traffic)]
        self.wishes: list[float] = []
        self._wish()
        self.rate = plan.crowd.rate

    def settings(self) -> api.Settings:
        plan = self.plan
        crowd = plan.crowd
        classes = tuple(
            api.CallClass(
                int(crowd.aim_s * aim * SECOND), worth, late, api.Effect.SAFE, None,
                int(crowd.hold_s * hold * SECOND),
            )
            for _, aim, _, hold, worth, late in CLASSES
        )  # fmt: skip
        return api.Settings(
            classes=classes, proxies=plan.softswitches, max_attempts=5, max_retry_after=2 * SECOND,
            retransmit=int(plan.tariff.again_s * SECOND), release_wait=SECOND // 5, drain_grace=2 * SECOND,
            cold_from=plan.tariff.cold_from, ramp_time=int(plan.tariff.cold_s * SECOND), fall_multiple=2.5,
            fall_window=3 * SECOND // 2, may_cancel=True, may_probe=True, may_message=False,
            heeds_retry_after=True, list_on_request=False, own_number=-1,
        )  # fmt: skip

    def _edge(self, number: int, settings: api.Settings) -> Edge:
        wrong = (number * 7 + 3) % max(self.plan.softswitches // 3, 1)
        told = {"told": number, "unknown": -1, "wrong": wrong}
        own = replace(settings, own_number=told[self.plan.own_number])
        return Edge(number, self.make(own, self.random.randrange(2**63)), self)

    def _add(self, kind: Kind, number: int, born: int | None = None) -> Processor:
        name = f"s-{len(self.servers):02}"
        seed = self.random.randrange(2**31)
        server = Processor(name, number, kind, self.plan.tariff, self.clock, seed)
        server.hold_s = self.hold_s
        if born is not None:
            server.born = born
        self.servers[name] = server
        self.worked[name] = 0
        life = self.record.servers[name] = ServerTimeline()
        done = int(self.clock.at / BIN_S)
        life.capacity, life.idle = [0.0] * done, [0.0] * done
        self.clock.after(int(self.random.random() * self.plan.tariff.report_s * SECOND), server.look)
        phase = int(self.random.random() * self.plan.tariff.told_s * SECOND)
        self.clock.after(phase, self._tell_free, server)
        return server

    def _tell_free(self, server: Processor) -> None:
        """Free lines, to all softswitches at the same moment but for the way."""
        if server.state is ServerState.GONE:
            return
        if not server.silent:
            for edge in self.edges:
                self.clock.after(int(server.kind.way_s * SECOND / 2), edge.hear_free, server)
        self.clock.after(int(self.plan.tariff.told_s * SECOND), self._tell_free, server)

    def _wish(self) -> None:
        """How first choices fall on servers: by their capacity, off by so much."""
        uneven = self.plan.crowd.uneven
        spread = math.sqrt(math.log(1 + uneven * uneven))
        active = [s for s in self.servers.values() if s.state is ServerState.ACTIVE]
        numbers = sorted({s.number for s in active})
        self.wanted = numbers
        by_number = {n: max(s.kind.rate * s.kind.wish for s in active if s.number == n) for n in numbers}
        self.wishes = [*accumulate(by_number[n] * math.exp(self.random.gauss(0, spread)) for n in numbers)]

    # The play.

    def play(self) -> Outcome:
        plan = self.plan
        entries = [self._entry(server) for server in self.servers.values()]
        for edge in self.edges:
            edge.tell(api.Started())
            edge.tell(api.ServerList(api.ListKind.COMPLETE, tuple(entries)))
        self._stand()
        for happening in plan.happenings:
            self.clock.after(int(happening.at * SECOND), self._happen, happening)
        self.clock.after(0, self._bin)
        self._next_call()
        self.clock.run(int((plan.lasts_s + plan.crowd.wait_s + REST_S) * SECOND))
        return self.out

    def _stand(self) -> None:
        """Calls from before the beginning: they have lines, and end when they end."""
        hold = self.hold_s
        for server in self.servers.values():
            for number in range(round(server.kind.standing * server.kind.lines)):
                edge = self.edges[self._drawn(self.traffic)]
                server.stand(edge, -number - 1, int(self.random.expovariate(1 / hold) * SECOND))

    def _entry(self, server: Processor) -> api.ServerEntry:
        started = server.born if server.born > 0 else 0
        return api.ServerEntry(server.name, server.number, started, server.state)

    def _next_call(self) -> None:
        if self.clock.at >= self.plan.lasts_s:
            return
        self.clock.after(int(self.random.expovariate(self.rate) * SECOND), self._next_call)
        edge = self.edges[self._drawn(self.traffic)]
        klass = self._drawn(PARTS)
        wanted = self.wanted[self._drawn(self.wishes)]
        fate = Fate(self.clock.now, klass)
        self.out.fates.append(fate)
        self._ask(edge, klass, wanted, fate, repeat=False)

    def _drawn(self, sums: list[float]) -> int:
        return min(bisect(sums, self.random.random() * sums[-1]), len(sums) - 1)

    def _ask(self, edge: Edge, klass: int, wanted: int, fate: Fate, repeat: bool) -> None:
        if edge.dead:
            return
        crowd = self.plan.crowd
        _, aim, wait, hold, _, _ = CLASSES[klass]
        now = self.clock.now
        self.serial[edge.number] += 1
        number = self.serial[edge.number]
        held = int(self.random.expovariate(1 / (crowd.hold_s * hold)) * SECOND)
        call = Call(
            number, now, wanted, klass, int(crowd.aim_s * aim * SECOND),
            now + int(crowd.wait_s * wait * SECOND), repeat, held,
        )  # fmt: skip
        self.fates[(edge.number, number)] = fate
        edge.take(call)

    def sent(self, softswitch: int, server: Processor, why: SendReason) -> None:
        self.record.sent.append(SentSetUp(self.clock.at, softswitch, server.name, why))

    def full(self, server: Processor) -> None:
        self.record.full.append((self.clock.at, server.name))

    def ended(self, edge: Edge, call: Call, kind: str, away: int) -> None:
        """The final answer of a call, as its caller hears it."""
        fate = self.fates.pop((edge.number, call.number))
        took = self.clock.now - fate.asked
        fate.kind, fate.took, fate.in_time = kind, took, took <= call.aim
        waited = self.clock.now - call.asked
        if waited > call.aim:
            self.record.overdue.append(((call.asked + call.aim) / SECOND, self.clock.at))
        if kind == "refused":
            self.record.refused.append(self.clock.at)
            if not call.repeat and self.random.random() < self.plan.crowd.again:
                pause = int(max(self.random.uniform(*CALLER_PAUSE_S) * SECOND, away))
                self.clock.after(pause, self._ask, edge, call.klass, call.wanted, fate, True)

    def _bin(self) -> None:
        """What each server could do, and how long it had nothing to do, in the span that ends now."""
        for name, server in self.servers.items():
            life = self.record.servers[name]
            worked = server.worked()
            if self.clock.now:
                done = (worked - self.worked[name]) / (BIN_S * SECOND)
                there = server.state is ServerState.ACTIVE
                life.capacity.append(server.able() if there else 0.0)
                usable = not server.silent and len(server.standing) < server.kind.lines
                life.idle.append(min(max(1.0 - done, 0.0), 1.0) * usable)
            self.worked[name] = worked
        if self.clock.at < self.plan.lasts_s:
            self.clock.after(int(BIN_S * SECOND), self._bin)

    # What happens.

    def _some(self, part: float) -> list[Processor]:
        active = [s for s in self.servers.values() if s.state is ServerState.ACTIVE]
        return self.random.sample(active, min(max(round(part * len(active)), 1), len(active)))

    def _happen(self, happening: Happening) -> None:
        until = int(happening.for_s * SECOND)
        match happening.what:
            case "burst":
                self.rate = self.plan.crowd.rate * happening.size
                self.clock.after(until, self._calm)
            case "shift":
                self._wish()
            case "slow":
                for server in self._some(happening.part):
                    server.slowness = happening.size
                    self.clock.after(until, self._quick, server)
            case "silent":
                for server in self._some(happening.part):
                    server.silent = True
                    self.clock.after(until, self._heard_again, server)
            case "drain":
                self._drain(self._some(happening.part), until)
            case "join":
                for server in self._some(happening.part):
                    self.tell([self._add(server.kind, self.numbers, self.clock.now)])
                    self.numbers += 1
                self._wish()
            case "kill":
                for edge in self.random.sample(self.edges, round(happening.part * len(self.edges))):
                    self._kill(edge)

    def _calm(self) -> None:
        self.rate = self.plan.crowd.rate

    def _quick(self, server: Processor) -> None:
        server.slowness = 1.0

    def _heard_again(self, server: Processor) -> None:
        server.silent = False
        server.go_on()

    def _drain(self, servers: list[Processor], until: int) -> None:
        for server in servers:
            server.state = ServerState.DRAINING
        self.tell(servers)
        self._wish()
        self.clock.after(until, self._gone, servers)

    def _gone(self, servers: list[Processor]) -> None:
        for server in servers:
            server.state = ServerState.GONE
        self.tell(servers)

    def tell(self, servers: list[Processor]) -> None:
        """A change of the list, heard by each softswitch at a drawn moment."""
        event = api.ServerList(api.ListKind.CHANGES, tuple(self._entry(server) for server in servers))
        for edge in self.edges:
            self.clock.after(int(self.random.random() * NOTICE_S * SECOND), edge.tell, event)

    def _kill(self, edge: Edge) -> None:
        """Its process dies and is back at once, with nothing learned; what it had is lost."""
        edge.dead = True
        for call in [*edge.calls.values()]:
            self.fates.pop((edge.number, call.number))
            call.ended = True
            if call.server is not None:
                call.server.give_up(edge.number, call.number)
        fresh = self.edges[edge.number] = self._edge(edge.number, self.settings())
        fresh.tell(api.Started())
        entries = tuple(self._entry(s) for s in self.servers.values() if s.state is not ServerState.GONE)
        fresh.tell(api.ServerList(api.ListKind.COMPLETE, entries))
