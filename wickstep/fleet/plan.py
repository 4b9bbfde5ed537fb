"""A model's script: which servers, how many softswitches, who calls, what happens when. KDL in, plain objects
out; times in seconds, rates a second.

This file owns that form. It must never open a file or start anything.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickstep.forms import KdlError, KdlNode, parse_root

SOFTSWITCHES_MOST, SERVERS_MOST = 1000, 100
RATE_MOST = 100_000.0
LASTS_MOST = 600.0
EVENTS = ("burst", "slow", "drain", "join", "silent", "kill", "shift")
NUMBERS = ("told", "unknown", "wrong")


@dataclass(slots=True, frozen=True)
class Kind:
    """So many servers of one kind."""

    count: int = 3
    rate: float = 60.0  # calls a second that its one line can do, with their answers and releases
    lines: int = 1000
    queue_s: float = 3.0  # a longer wait is refused
    way_s: float = 0.007  # to it and back, once
    wish: float = 1.0  # part of the callers that want it first, against its rate
    standing: float = 0.5  # part of the lines that calls from before the beginning have


@dataclass(slots=True, frozen=True)
class Tariff:
    """What servers do alike: parts of the work of a set-up, and times."""

    refusal: float = 0.2  # work of a refusal, in set-ups
    answer: float = 0.35  # work of an answer, and of a release, in set-ups
    again: float = 0.45  # work of a set-up that is sent again since it still waits,
    again_s: float = 0.4  # first after so long, then at doubling gaps; 0: never
    told_s: float = 1.0  # how often free lines are told unasked
    report_s: float = 0.5  # how often the figures of a report are made anew
    report_late_s: float = 0.15  # how old they are then
    noise: float = 0.08  # of a reported wait, as a part of it
    cold_from: float = 0.4
    cold_s: float = 12.0


@dataclass(slots=True, frozen=True)
class Crowd:
    """Who calls."""

    rate: float = 600.0  # first tries, over all softswitches
    aim_s: float = 1.5
    wait_s: float = 9.0
    hold_s: float = 8.0
    spread: float = 10.0  # the busiest softswitch has so many times the traffic of the quietest
    uneven: float = 0.0  # how far wishes for servers are off their capacities: 0.5 is by a half, typically
    again: float = 0.4  # part of the refused that try once more, in 0.5 to 1.5 s


@dataclass(slots=True, frozen=True)
class Happening:
    what: str
    at: float
    for_s: float = 0.0
    size: float = 1.0  # burst: times the rate; slow: times the work
    part: float = 1.0  # of the servers (slow, drain, join, silent) or softswitches (kill)


@dataclass(slots=True, frozen=True)
class Plan:
    name: str
    seed: int
    softswitches: int
    lasts_s: float
    kinds: tuple[Kind, ...] = (Kind(),)
    tariff: Tariff = Tariff()
    crowd: Crowd = Crowd()
    happenings: tuple[Happening, ...] = ()
    own_number: str = "told"

    @property
    def capacity(self) -> float:
        return sum(kind.count * kind.rate for kind in self.kinds)


def read(text: str) -> Plan:
    """A plan from its text; raises KdlError with what is wrong."""
    form = parse_root(text, "fleet")
    name = form.take_text("")
    seed = form.take_integer("seed", 1, 0, 2**31)
    softswitches = form.take_integer("softswitches", 200, 1, SOFTSWITCHES_MOST)
    lasts = form.take_number("lasts-s", 30, 1, LASTS_MOST)
    own = form.take_text("own-number", NUMBERS[0], NUMBERS)
    kinds: list[Kind] = []
    happenings: list[Happening] = []
    tariff, crowd = Tariff(), Crowd()
    for child in form.take_children("servers", "work", "callers", "event"):
        if child.name == "servers":
            kinds.append(_kind(child))
        elif child.name == "work":
            tariff = _tariff(child)
        elif child.name == "callers":
            crowd = _crowd(child)
        else:
            happenings.append(_happening(child, lasts))
        child.reject_unread()
    form.reject_unread()
    if sum(kind.count for kind in kinds) > SERVERS_MOST:
        raise KdlError(f"more than {SERVERS_MOST} servers")
    happenings.sort(key=lambda one: one.at)
    return Plan(
        name, seed, softswitches, lasts, tuple(kinds) or (Kind(),), tariff, crowd, tuple(happenings), own
    )


def _kind(form: KdlNode) -> Kind:
    plain = Kind()
    return Kind(
        count=form.take_integer("", plain.count, 1, SERVERS_MOST),
        rate=form.take_number("rate", plain.rate, 0.1, RATE_MOST),
        lines=form.take_integer("lines", plain.lines, 1, 1_000_000),
        queue_s=form.take_number("queue-s", plain.queue_s, 0.01, 60),
        way_s=form.take_number("way-s", plain.way_s, 0, 1),
        wish=form.take_number("wish", plain.wish, 0, 100),
        standing=form.take_number("standing", plain.standing, 0, 1),
    )


def _tariff(form: KdlNode) -> Tariff:
    plain = Tariff()
    return Tariff(
        refusal=form.take_number("refusal", plain.refusal, 0, 1),
        answer=form.take_number("answer", plain.answer, 0, 1),
        again=form.take_number("again", plain.again, 0, 1),
        again_s=form.take_number("again-s", plain.again_s, 0, 60),
        told_s=form.take_number("told-s", plain.told_s, 0.01, 60),
        report_s=form.take_number("report-s", plain.report_s, 0.01, 60),
        report_late_s=form.take_number("report-late-s", plain.report_late_s, 0, 10),
        noise=form.take_number("noise", plain.noise, 0, 1),
        cold_from=form.take_number("cold-from", plain.cold_from, 0.01, 1),
        cold_s=form.take_number("cold-s", plain.cold_s, 0.1, 600),
    )


def _crowd(form: KdlNode) -> Crowd:
    plain = Crowd()
    return Crowd(
        rate=form.take_number("rate", plain.rate, 0.1, RATE_MOST),
        aim_s=form.take_number("aim-s", plain.aim_s, 0.05, 60),
        wait_s=form.take_number("wait-s", plain.wait_s, 0.1, 120),
        hold_s=form.take_number("hold-s", plain.hold_s, 0.01, 3600),
        spread=form.take_number("spread", plain.spread, 1, 1000),
        uneven=form.take_number("uneven", plain.uneven, 0, 3),
        again=form.take_number("again", plain.again, 0, 1),
    )


def _happening(form: KdlNode, lasts: float) -> Happening:
    plain = Happening("", 0)
    return Happening(
        what=form.take_text("", None, EVENTS),
        at=form.take_number("at", None, 0, lasts),
        for_s=form.take_number("for-s", plain.for_s, 0, lasts),
        size=form.take_number("size", plain.size, 0.01, 1000),
        part=form.take_number("part", plain.part, 0, 1),
    )
