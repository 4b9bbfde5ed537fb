"""A rehearsal's script: what stands there, who calls, and which fault comes when. KDL in, plain objects out.

This file owns that form. It must never open a file, start anything or read a clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wickstep.forms import BadForm, Form, root

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
    """A scenario from its text; raises BadForm with what is wrong."""
    form = root(text, "rehearsal")
    name = form.text("")
    seed = form.whole("seed", 1, 0, 2**31)
    softswitches = form.whole("softswitches", 6, 1, SOFTSWITCHES_MOST)
    lasts = form.number("lasts-s", 10, 1, LASTS_MOST)
    keeps = form.text("state", "none", ("none", "kept", "calls"))
    servers, callers, faults = ServerPlan(), CallerPlan(), []
    for child in form.children("servers", "callers", "fault"):
        if child.name == "servers":
            servers = _servers(child)
        elif child.name == "callers":
            callers = _callers(child)
        else:
            faults.append(_fault(child, lasts, servers.count))
        child.done()
    form.done()
    faults.sort(key=lambda fault: fault.at)
    return Scenario(
        name, seed, softswitches, lasts, servers, callers, tuple(faults), keeps != "none", keeps == "calls"
    )


def _servers(form: Form) -> ServerPlan:
    plain = ServerPlan()
    return ServerPlan(
        count=form.whole("", plain.count, 1, SERVERS_MOST),
        rate=form.number("rate", plain.rate, 1, RATE_MOST),
        lines=form.whole("lines", plain.lines, 1, 100_000),
        queue_s=form.number("queue-s", plain.queue_s, 0.01, 60),
        cold_from=form.number("cold-from", plain.cold_from, 0.01, 1),
        cold_s=form.number("cold-s", plain.cold_s, 0, 60),
        fall_multiple=form.number("fall-multiple", plain.fall_multiple, 1, 100),
        fall_s=form.number("fall-s", plain.fall_s, 0.1, 60),
        links_most=form.whole("links-most", plain.links_most, 1, 10_000),
    )


def _callers(form: Form) -> CallerPlan:
    plain = CallerPlan()
    return CallerPlan(
        rate=form.number("rate", plain.rate, 0.1, RATE_MOST),
        wait_s=form.number("wait-s", plain.wait_s, 0.1, 10),
        aim_s=form.number("aim-s", plain.aim_s, 0.05, 10),
        hold_s=form.number("hold-s", plain.hold_s, 0.01, 60),
        spread=form.number("spread", plain.spread, 1, 20),
        notice_s=form.number("notice-s", plain.notice_s, 0, 10),
        leave=form.number("leave", plain.leave, 0, 1),
        again=form.text("again", "no", ("no", "yes")) == "yes",
    )


def _fault(form: Form, lasts: float, servers: int) -> Fault:
    plain = Fault(0, "")
    fault = Fault(
        what=form.text("", None, FAULTS),
        at=form.number("at", None, 0, lasts),
        part=form.number("part", plain.part, 0, 1),
        group=form.whole("group", plain.group, 0, SOFTSWITCHES_MOST) if "group" in form.given() else -1,
        of=form.whole("of", plain.of, 1, SOFTSWITCHES_MOST),
        for_s=form.number("for-s", plain.for_s, 0, lasts),
        server=form.whole("server", 0, 0, servers - 1) if "server" in form.given() else -1,
        back_s=form.number("back-s", plain.back_s, 0, lasts),
        delay_s=form.number("delay-s", plain.delay_s, 0, DELAY_MOST),
    )
    if fault.what in ("replace", "drain") and fault.server < 0:
        raise BadForm(f"fault {fault.what}: which server?")
    return fault
