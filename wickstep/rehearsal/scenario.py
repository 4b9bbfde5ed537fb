"""The script of a rehearsal: which peers there are, who calls, and which fault comes when, read from KDL.

This file owns that format. A field that is read from a property has the name of its key. It must never open a
file, start anything or read a clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wickstep.forms import KdlError, KdlNode, parse_root

MAX_SOFTSWITCHES, MAX_SERVERS = 250, 24
MAX_RATE = 2000.0  # calls a second
MAX_DELAY_S = 7 * 86400.0  # of a fault; age-state makes a stored file older by its delay
MAX_DURATION_S = 120.0
FAULT_KINDS = (
    "kill", "stall", "cut", "delay", "reset", "half-open", "silence", "replace", "drain", "lose-state",
    "age-state",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class ServerPlan:
    """Setup servers, all alike; times in seconds, rates a second."""

    count: int = 3
    rate: float = 60.0  # set-ups that its processor can do when warm
    lines: int = 1000  # calls that may stand at once
    queue_s: float = 1.0  # a set-up that would wait longer is refused
    cold_from: float = 0.35  # part of its rate at the start; rises linearly to the whole within cold_s
    cold_s: float = 5.0
    # While cold it collapses if more than 5 set-ups, and more than `fall_multiple` times as many as its
    # present rate allows, arrive within `fall_s`.
    fall_multiple: float = 2.5
    fall_s: float = 1.5
    links_most: int = 1000  # connections, over all softswitches


@dataclass(slots=True, frozen=True)
class CallerPlan:
    """Callers and load balancer; times in seconds, rates a second."""

    rate: float = 60.0  # first tries, over all softswitches
    wait_s: float = 2.0  # how long a caller waits for its final answer
    aim_s: float = 0.5  # an answer within this counts as in time
    hold_s: float = 1.0  # mean duration of a call that stands
    spread: float = 1.0  # load of the busiest softswitch over the mean
    notice_s: float = 1.0  # how long the load balancer still sends to a softswitch that has died
    leave: float = 0.0  # part of the callers that leave before their answer, within aim_s
    again: bool = False  # set-ups that were open when their connection ended are sent again, same call ids


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault, on a `part` of the softswitches that the scenario's seed draws, or on those whose number
    modulo `of` is `group`."""

    at: float
    kind: str
    part: float = 1.0
    group: int = -1
    of: int = 1
    for_s: float = 0.0
    server: int = -1  # on the links to this one only, or the one that is replaced or drained; -1: all
    back_s: float = 0.1  # time after which a killed process is started again
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
    keeps_state: bool = False  # softswitches have a folder for what they learn
    keeps_calls: bool = False  # softswitches also keep a journal of calls in that folder


def read(text: str) -> Scenario:
    """A scenario from its text; raises KdlError with what is wrong."""
    node = parse_root(text, "rehearsal")
    name = node.take_text("")
    seed = node.take_integer("seed", 1, 0, 2**31)
    softswitches = node.take_integer("softswitches", 6, 1, MAX_SOFTSWITCHES)
    duration_s = node.take_number("lasts-s", 10, 1, MAX_DURATION_S)
    state = node.take_text("state", "none", ("none", "kept", "calls"))
    servers, callers, faults = ServerPlan(), CallerPlan(), []
    for child in node.take_children("servers", "callers", "fault"):
        if child.name == "servers":
            servers = _read_servers(child)
        elif child.name == "callers":
            callers = _read_callers(child)
        else:
            faults.append(_read_fault(child, duration_s, servers.count))
        child.reject_unread()
    node.reject_unread()
    faults.sort(key=lambda fault: fault.at)
    return Scenario(
        name, seed, softswitches, duration_s, servers, callers, tuple(faults),
        state != "none", state == "calls",
    )  # fmt: skip


def _read_servers(node: KdlNode) -> ServerPlan:
    defaults = ServerPlan()
    return ServerPlan(
        count=node.take_integer("", defaults.count, 1, MAX_SERVERS),
        rate=node.take_number("rate", defaults.rate, 1, MAX_RATE),
        lines=node.take_integer("lines", defaults.lines, 1, 100_000),
        queue_s=node.take_number("queue-s", defaults.queue_s, 0.01, 60),
        cold_from=node.take_number("cold-from", defaults.cold_from, 0.01, 1),
        cold_s=node.take_number("cold-s", defaults.cold_s, 0, 60),
        fall_multiple=node.take_number("fall-multiple", defaults.fall_multiple, 1, 100),
        fall_s=node.take_number("fall-s", defaults.fall_s, 0.1, 60),
        links_most=node.take_integer("links-most", defaults.links_most, 1, 10_000),
    )


def _read_callers(node: KdlNode) -> CallerPlan:
    defaults = CallerPlan()
    return CallerPlan(
        rate=node.take_number("rate", defaults.rate, 0.1, MAX_RATE),
        wait_s=node.take_number("wait-s", defaults.wait_s, 0.1, 10),
        aim_s=node.take_number("aim-s", defaults.aim_s, 0.05, 10),
        hold_s=node.take_number("hold-s", defaults.hold_s, 0.01, 60),
        spread=node.take_number("spread", defaults.spread, 1, 20),
        notice_s=node.take_number("notice-s", defaults.notice_s, 0, 10),
        leave=node.take_number("leave", defaults.leave, 0, 1),
        again=node.take_text("again", "no", ("no", "yes")) == "yes",
    )


def _read_fault(node: KdlNode, duration_s: float, servers: int) -> Fault:
    defaults = Fault(0, "")
    fault = Fault(
        kind=node.take_text("", None, FAULT_KINDS),
        at=node.take_number("at", None, 0, duration_s),
        part=node.take_number("part", defaults.part, 0, 1),
        group=node.take_integer("group", defaults.group, 0, MAX_SOFTSWITCHES)
        if "group" in node.unread_properties()
        else -1,
        of=node.take_integer("of", defaults.of, 1, MAX_SOFTSWITCHES),
        for_s=node.take_number("for-s", defaults.for_s, 0, duration_s),
        server=node.take_integer("server", 0, 0, servers - 1) if "server" in node.unread_properties() else -1,
        back_s=node.take_number("back-s", defaults.back_s, 0, duration_s),
        delay_s=node.take_number("delay-s", defaults.delay_s, 0, MAX_DELAY_S),
    )
    if fault.kind in ("replace", "drain") and fault.server < 0:
        raise KdlError(f"fault {fault.kind}: property `server` is missing")
    return fault
