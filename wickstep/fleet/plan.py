"""The plan of a model run: which servers, how many softswitches, which callers, which events. Read from KDL
into plain objects; times in seconds, rates per second.

This file owns that format. It must never open a file or start anything.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickstep.forms import KdlError, KdlNode, parse_root

MAX_SOFTSWITCHES, MAX_SERVERS = 1000, 100
MAX_RATE = 100_000.0
MAX_DURATION_S = 600.0
EVENT_TYPES = ("burst", "slow", "drain", "join", "silent", "kill", "shift")
OWN_NUMBER_MODES = ("told", "unknown", "wrong")


@dataclass(slots=True, frozen=True)
class ServerKind:
    """A number of servers that are alike."""

    count: int = 3
    rate: float = 60.0  # calls per second that its processor can do, including their answers and releases
    lines: int = 1000
    queue_s: float = 3.0  # a set-up is refused while the queueing delay is longer
    round_trip_s: float = 0.007  # network round trip between a softswitch and the server
    choice_weight: float = 1.0  # how many callers have it as their first choice, relative to its rate
    initial_occupancy: float = 0.5  # share of the lines that calls from before the start of the run occupy


@dataclass(slots=True, frozen=True)
class ServerBehaviour:
    """What all servers have in common: the work of messages, relative to that of a set-up, and times."""

    refusal_work: float = 0.2
    answer_work: float = 0.35  # of an answer, and of a release
    retransmit_work: float = 0.45  # of a set-up that is retransmitted while it is still queued
    retransmit_s: float = 0.4  # delay of the first retransmission, doubled each time; 0: never
    free_interval_s: float = 1.0  # between two unsolicited reports of free lines
    report_interval_s: float = 0.5  # between two updates of the figures in a report
    report_delay_s: float = 0.15  # age of the figures when they are published
    report_noise: float = 0.08  # standard deviation of a reported wait, relative to it
    cold_from: float = 0.4
    cold_s: float = 12.0


@dataclass(slots=True, frozen=True)
class CallerTraffic:
    """The callers of the whole fleet."""

    rate: float = 600.0  # first tries, over all softswitches
    aim_s: float = 1.5
    wait_s: float = 9.0
    hold_s: float = 8.0
    busiest_ratio: float = 10.0  # traffic of the busiest softswitch over that of the quietest
    unevenness: float = 0.0  # typical relative deviation of first choices from capacities: 0.5 is by a half
    retry_share: float = 0.4  # share of the refused callers that try once more, after 0.5 to 1.5 s


@dataclass(slots=True, frozen=True)
class FleetEvent:
    event_type: str
    at: float
    length_s: float = 0.0
    factor: float = 1.0  # burst: multiplies the rate; slow: multiplies the work
    part: float = 1.0  # share of the servers (slow, drain, join, silent) or of the softswitches (kill)


@dataclass(slots=True, frozen=True)
class FleetPlan:
    name: str
    seed: int
    softswitches: int
    duration_s: float
    server_kinds: tuple[ServerKind, ...] = (ServerKind(),)
    behaviour: ServerBehaviour = ServerBehaviour()
    traffic: CallerTraffic = CallerTraffic()
    events: tuple[FleetEvent, ...] = ()
    own_number: str = "told"

    @property
    def capacity(self) -> float:
        return sum(kind.count * kind.rate for kind in self.server_kinds)


def read(text: str) -> FleetPlan:
    """Parses a plan; raises KdlError that says what is wrong."""
    root = parse_root(text, "fleet")
    name = root.take_text("")
    seed = root.take_integer("seed", 1, 0, 2**31)
    softswitches = root.take_integer("softswitches", 200, 1, MAX_SOFTSWITCHES)
    duration = root.take_number("lasts-s", 30, 1, MAX_DURATION_S)
    own_number = root.take_text("own-number", OWN_NUMBER_MODES[0], OWN_NUMBER_MODES)
    server_kinds: list[ServerKind] = []
    events: list[FleetEvent] = []
    behaviour, traffic = ServerBehaviour(), CallerTraffic()
    for child in root.take_children("servers", "work", "callers", "event"):
        if child.name == "servers":
            server_kinds.append(_read_servers(child))
        elif child.name == "work":
            behaviour = _read_behaviour(child)
        elif child.name == "callers":
            traffic = _read_traffic(child)
        else:
            events.append(_read_event(child, duration))
        child.reject_unread()
    root.reject_unread()
    if sum(kind.count for kind in server_kinds) > MAX_SERVERS:
        raise KdlError(f"too many servers: expected {MAX_SERVERS} at most")
    events.sort(key=lambda event: event.at)
    return FleetPlan(
        name, seed, softswitches, duration, tuple(server_kinds) or (ServerKind(),), behaviour, traffic,
        tuple(events), own_number,
    )  # fmt: skip


def _read_servers(node: KdlNode) -> ServerKind:
    defaults = ServerKind()
    return ServerKind(
        count=node.take_integer("", defaults.count, 1, MAX_SERVERS),
        rate=node.take_number("rate", defaults.rate, 0.1, MAX_RATE),
        lines=node.take_integer("lines", defaults.lines, 1, 1_000_000),
        queue_s=node.take_number("queue-s", defaults.queue_s, 0.01, 60),
        round_trip_s=node.take_number("way-s", defaults.round_trip_s, 0, 1),
        choice_weight=node.take_number("wish", defaults.choice_weight, 0, 100),
        initial_occupancy=node.take_number("standing", defaults.initial_occupancy, 0, 1),
    )


def _read_behaviour(node: KdlNode) -> ServerBehaviour:
    defaults = ServerBehaviour()
    return ServerBehaviour(
        refusal_work=node.take_number("refusal", defaults.refusal_work, 0, 1),
        answer_work=node.take_number("answer", defaults.answer_work, 0, 1),
        retransmit_work=node.take_number("again", defaults.retransmit_work, 0, 1),
        retransmit_s=node.take_number("again-s", defaults.retransmit_s, 0, 60),
        free_interval_s=node.take_number("told-s", defaults.free_interval_s, 0.01, 60),
        report_interval_s=node.take_number("report-s", defaults.report_interval_s, 0.01, 60),
        report_delay_s=node.take_number("report-late-s", defaults.report_delay_s, 0, 10),
        report_noise=node.take_number("noise", defaults.report_noise, 0, 1),
        cold_from=node.take_number("cold-from", defaults.cold_from, 0.01, 1),
        cold_s=node.take_number("cold-s", defaults.cold_s, 0.1, 600),
    )


def _read_traffic(node: KdlNode) -> CallerTraffic:
    defaults = CallerTraffic()
    return CallerTraffic(
        rate=node.take_number("rate", defaults.rate, 0.1, MAX_RATE),
        aim_s=node.take_number("aim-s", defaults.aim_s, 0.05, 60),
        wait_s=node.take_number("wait-s", defaults.wait_s, 0.1, 120),
        hold_s=node.take_number("hold-s", defaults.hold_s, 0.01, 3600),
        busiest_ratio=node.take_number("spread", defaults.busiest_ratio, 1, 1000),
        unevenness=node.take_number("uneven", defaults.unevenness, 0, 3),
        retry_share=node.take_number("again", defaults.retry_share, 0, 1),
    )


def _read_event(node: KdlNode, duration: float) -> FleetEvent:
    defaults = FleetEvent("", 0)
    return FleetEvent(
        event_type=node.take_text("", None, EVENT_TYPES),
        at=node.take_number("at", None, 0, duration),
        length_s=node.take_number("for-s", defaults.length_s, 0, duration),
        factor=node.take_number("size", defaults.factor, 0.01, 1000),
        part=node.take_number("part", defaults.part, 0, 1),
    )
