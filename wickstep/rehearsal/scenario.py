"""A rehearsal's script: what stands there, who calls, and which fault comes when. KDL in, plain objects out.

This file owns that form. It must never open a file, start anything or read a clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wickstep.forms import KdlError, KdlNode, parse_root

SOFTSWITCHES_MOST, SERVERS_MOST = 250, 24
RATE_MOST = 2000.0  # calls a second
DELAY_MOST = 7 * 86400.0  # seconds, by which a stored file is made older
LASTS_MOST = 120.0  # seconds
FAULTS = (
    "kill", "stall", "cut", "delay", "reset", "half-open", "replace", "drain", "lose-state", "age-state",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class ServerPlan:
    """A kind of setup server; times in seconds, rates a second."""

    count: int = 3
    rate: float = 60.0  # set-ups that its one line can do when warm
    lines: int = 1000
    queue_s: float = 1.0  # a longer wait is refused
    cold_from: float = 0.35
    cold_s: float = 5.0
    fall_multiple: float = 2.5
    fall_s: float = 1.5
    links_most: int = 1000


@dataclass(slots=True, frozen=True)
class CallerPlan:
    """Who calls; times in seconds, rates a second."""

    rate: float = 60.0  # first tries, over all softswitches
    wait_s: float = 2.0
    aim_s: float = 0.5
    hold_s: float = 1.0
    spread: float = 1.0  # the busiest softswitch has so many times the mean
    notice_s: float = 1.0  # the front goes on sending to one that has died for so long
    leave: float = 0.0  # part of the callers that leave before their answer, within the time wanted
    again: bool = False  # set-ups that were open when their softswitch died come again, under their ids


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault, on a `part` of the softswitches that the seed draws, or on those whose number modulo `of`
    is `group`."""

    at: float
    what: str
    part: float = 1.0
    group: int = -1
    of: int = 1
    for_s: float = 0.0
    server: int = -1  # on the links to this one only, or the one that is replaced or drained; -1: all
    back_s: float = 0.1  # a killed process is started again after so long
    delay_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Scenario:
    name: str
    seed: int
    softswitches: int
    lasts_s: float
    servers: ServerPlan = field(default_factory=ServerPlan)
    callers: CallerPlan = field(default_factory=CallerPlan)
    faults: tuple[Fault, ...] = ()
    keeps_state: bool = False  # softswitches run with a folder for what they learn,
    keeps_calls: bool = False  # and with a journal of calls in it


def read(text: str) -> Scenario:
    """A scenario from its text; raises KdlError with what is wrong."""
    form = parse_root(text, "rehearsal")
    name = form.take_text("")
    seed = form.take_integer("seed", 1, 0, 2**31)
    softswitches = form.take_integer("softswitches", 6, 1, SOFTSWITCHES_MOST)
    lasts = form.take_number("lasts-s", 10, 1, LASTS_MOST)
    keeps = form.take_text("state", "none", ("none", "kept", "calls"))
    servers, callers, faults = ServerPlan(), CallerPlan(), []
    for child in form.take_children("servers", "callers", "fault"):
        if child.name == "servers":
            servers = _servers(child)
        elif child.name == "callers":
            callers = _callers(child)
        else:
            faults.append(_fault(child, lasts, servers.count))
        child.reject_unread()
    form.reject_unread()
    faults.sort(key=lambda fault: fault.at)
    return Scenario(
        name, seed, softswitches, lasts, servers, callers, tuple(faults), keeps != "none", keeps == "calls"
    )


def _servers(form: KdlNode) -> ServerPlan:
    plain = ServerPlan()
    return ServerPlan(
        count=form.take_integer("", plain.count, 1, SERVERS_MOST),
        rate=form.take_number("rate", plain.rate, 1, RATE_MOST),
        lines=form.take_integer("lines", plain.lines, 1, 100_000),
        queue_s=form.take_number("queue-s", plain.queue_s, 0.01, 60),
        cold_from=form.take_number("cold-from", plain.cold_from, 0.01, 1),
        cold_s=form.take_number("cold-s", plain.cold_s, 0, 60),
        fall_multiple=form.take_number("fall-multiple", plain.fall_multiple, 1, 100),
        fall_s=form.take_number("fall-s", plain.fall_s, 0.1, 60),
        links_most=form.take_integer("links-most", plain.links_most, 1, 10_000),
    )


def _callers(form: KdlNode) -> CallerPlan:
    plain = CallerPlan()
    return CallerPlan(
        rate=form.take_number("rate", plain.rate, 0.1, RATE_MOST),
        wait_s=form.take_number("wait-s", plain.wait_s, 0.1, 10),
        aim_s=form.take_number("aim-s", plain.aim_s, 0.05, 10),
        hold_s=form.take_number("hold-s", plain.hold_s, 0.01, 60),
        spread=form.take_number("spread", plain.spread, 1, 20),
        notice_s=form.take_number("notice-s", plain.notice_s, 0, 10),
        leave=form.take_number("leave", plain.leave, 0, 1),
        again=form.take_text("again", "no", ("no", "yes")) == "yes",
    )


def _fault(form: KdlNode, lasts: float, servers: int) -> Fault:
    plain = Fault(0, "")
    fault = Fault(
        what=form.take_text("", None, FAULTS),
        at=form.take_number("at", None, 0, lasts),
        part=form.take_number("part", plain.part, 0, 1),
        group=form.take_integer("group", plain.group, 0, SOFTSWITCHES_MOST)
        if "group" in form.unread_properties()
        else -1,
        of=form.take_integer("of", plain.of, 1, SOFTSWITCHES_MOST),
        for_s=form.take_number("for-s", plain.for_s, 0, lasts),
        server=form.take_integer("server", 0, 0, servers - 1) if "server" in form.unread_properties() else -1,
        back_s=form.take_number("back-s", plain.back_s, 0, lasts),
        delay_s=form.take_number("delay-s", plain.delay_s, 0, DELAY_MOST),
    )
    if fault.what in ("replace", "drain") and fault.server < 0:
        raise KdlError(f"fault {fault.what}: which server?")
    return fault
