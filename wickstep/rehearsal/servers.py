"""Stand-ins for setup servers and the bulletin.

A setup server has a processor with one line, which all set-ups wait in, so many lines for calls, a cold
start and a limit on connections. This file owns what they do; it must never judge, and says nothing that
the protocol does not know.
"""

from __future__ import annotations

import json
import random
import socket
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from wickstep.net import (
    Answer,
    GroupState,
    MalformedMessage,
    Message,
    Note,
    Reason,
    Release,
    ReleaseComplete,
    SetUp,
    Test,
    bulletin,
    codec,
)
from wickstep.rehearsal.loop import Loop
from wickstep.rehearsal.relay import Door, Relay, Sky
from wickstep.rehearsal.scenario import ServerPlan
from wickstep.rehearsal.trace import Trace, What

REFUSAL_WORK = 0.2  # of a set-up's: what it costs to turn one away
REPORT_S = 0.4  # how often lines and waits are told unasked
HEALTHS = tuple(bulletin.STATES)  # ready, draining, gone, in the words of the list


class Link:
    """A connection from a softswitch, as a setup server sees it."""

    def __init__(self, server: SetUpServer, sock: socket.socket, softswitch: int) -> None:
        self.server, self.softswitch = server, softswitch
        self.splitter = codec.Splitter()
        self.out: set[int] = set()  # calls that wait for their answer here
        key = (softswitch, server.name)
        self.relay = Relay(server.loop, server.sky, sock, key, self.heard, self.ended)

    def say(self, message: Message) -> None:
        self.relay.say(codec.encode(message))

    def heard(self, data: bytes, at: float) -> None:
        try:
            for message in self.splitter.feed(data):
                self.server.heard(self, message, at)
        except MalformedMessage:
            self.relay.reset()

    def ended(self) -> None:
        self.server.link_ended(self)


class SetUpServer:
    """One process of a setup server; its successor is another object under another name."""

    def __init__(
        self,
        name: str,
        number: int,
        plan: ServerPlan,
        loop: Loop,
        sky: Sky,
        trace: Trace,
        hold_s: float,
        seed: int,
        softswitches: int,
        born: float = -1e9,
    ) -> None:
        self.name, self.number, self.plan, self.born = name, number, plan, born
        self.loop, self.sky, self.trace, self.hold_s = loop, sky, trace, hold_s
        self.random = random.Random(seed)
        self.health = HEALTHS[0]
        self.free_at = 0.0  # when its processor is through with what waits
        self.links: list[Link] = []
        self.standing: dict[int, Link] = {}  # where the call came from
        self.unheard: dict[int, dict[int, Release]] = {}  # by softswitch: not confirmed yet
        self.recent: deque[float] = deque()  # set-ups of the fall window
        self.ended = False
        self.doors = {n: Door(loop, partial(self._came, n)) for n in range(softswitches)}
        loop.after(REPORT_S * self.random.random(), self._tell)

    def born_ms(self, unix_zero: float) -> int:
        return int(1000 * (unix_zero + self.born)) if self.born > 0 else 0

    def capacity(self) -> float:
        """Set-ups a second that it can do now."""
        plan = self.plan
        age = self.loop.at - self.born
        warmth = 1.0 if age >= plan.cold_s else plan.cold_from + (1 - plan.cold_from) * age / plan.cold_s
        return plan.rate * warmth

    def report(self) -> dict[str, float]:
        wait = max(self.free_at - self.loop.at, 0.0)
        free = max(self.plan.lines - len(self.standing), 0)
        return {"free": float(free), "size": float(self.plan.lines), "hold_back": 0.0, "avg_ms": 1000 * wait}

    def heard(self, link: Link, message: Message, at: float) -> None:
        match message:
            case SetUp():
                self._set_up(link, message.call, at)
            case Release():
                link.say(ReleaseComplete(message.call))
                if message.call in link.out:
                    link.out.discard(message.call)
                    self.trace.note(at, What.ENDED, link.softswitch, message.call, self.name, "given up")
                else:
                    self.standing.pop(message.call, None)
            case ReleaseComplete():
                self.unheard.get(link.softswitch, {}).pop(message.call, None)
            case Test():
                self.trace.note(at, What.PROBED, link.softswitch, 0, self.name)
                self.free_at = max(self.free_at, self.loop.at) + REFUSAL_WORK / self.capacity()
                asked = message.call
                due = self.free_at - self.loop.at
                self.loop.after(due, lambda: link.say(GroupState(asked, self.report())))
            case _:
                link.relay.reset()

    def _set_up(self, link: Link, call: int, at: float) -> None:
        self.trace.note(at, What.CAME, link.softswitch, call, self.name, value=self.capacity())
        link.out.add(call)
        plan, now = self.plan, self.loop.at
        self.recent.append(now)
        while self.recent[0] < now - plan.fall_s:
            self.recent.popleft()
        able = self.capacity()
        if able < plan.rate and len(self.recent) > max(plan.fall_multiple * able * plan.fall_s, 5):
            return self._fall(able)
        work = 1 / able
        wait = max(self.free_at - now, 0.0)
        if wait > plan.queue_s or len(self.standing) >= plan.lines:
            note = Note.OVERLOAD if wait > plan.queue_s else Note.NO_CIRCUIT
            self.free_at = max(self.free_at, now) + REFUSAL_WORK * work
            return self.loop.after(self.free_at - now, lambda: self._refuse(link, call, note))
        self.free_at = max(self.free_at, now) + work
        self.loop.after(self.free_at - now, lambda: self._answer(link, call))

    def _fall(self, able: float) -> None:
        why = f"{len(self.recent)} at {able:.0f} a second"
        self.trace.note(self.loop.at, What.FELL, -1, 0, self.name, why)
        self.end()

    def _refuse(self, link: Link, call: int, note: Note) -> None:
        if call in link.out:
            link.out.discard(call)
            self.trace.note(self.loop.at, What.ENDED, link.softswitch, call, self.name, "full")
            link.say(Release(call, Reason.FULL, note, report=self.report()))

    def _answer(self, link: Link, call: int) -> None:
        if call in link.out:
            link.out.discard(call)
            self.trace.note(self.loop.at, What.ENDED, link.softswitch, call, self.name, "stands")
            self.standing[call] = link
            link.say(Answer(call, b"accept"))
            self.loop.after(self.random.expovariate(1 / self.hold_s), lambda: self._over(call))

    def _over(self, call: int, reason: Reason = Reason.CLEARED) -> None:
        link = self.standing.pop(call, None)
        if link is None or self.ended:
            return
        release = Release(call, reason, report=self.report())
        self.unheard.setdefault(link.softswitch, {})[call] = release
        self.trace.note(self.loop.at, What.OVER, link.softswitch, call, self.name)
        open_ones = [one for one in self.links if one.softswitch == link.softswitch]
        if link in open_ones:
            link.say(release)
        elif open_ones:
            open_ones[0].say(release)

    def _tell(self) -> None:
        if not self.ended:
            for link in self.links:
                link.say(GroupState(0, self.report()))
            self.loop.after(REPORT_S, self._tell)

    def _came(self, softswitch: int, sock: socket.socket) -> None:
        self.trace.note(self.loop.at, What.DIALLED, softswitch, 0, self.name)
        if len(self.links) >= self.plan.links_most or self.ended:
            sock.close()
            return
        link = Link(self, sock, softswitch)
        self.links.append(link)
        link.say(GroupState(0, self.report()))
        for release in self.unheard.get(softswitch, {}).values():
            link.say(release)

    def link_ended(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)
        for call in link.out:
            self.trace.note(self.loop.at, What.ENDED, link.softswitch, call, self.name, "link")
        link.out.clear()

    def drain(self) -> None:
        """It takes no new connection, and serves what it has."""
        for door in self.doors.values():
            door.shut()

    def end(self) -> None:
        """The process ends: connections are reset, calls cut."""
        self.ended = True
        self.drain()
        for link in [*self.links]:
            link.relay.reset()


class Bulletin:
    """The list of setup servers, with an address of its own for each softswitch, since it tells each the
    addresses at which the servers listen for that one."""

    def __init__(self, loop: Loop, sky: Sky, trace: Trace, softswitches: int) -> None:
        self.loop, self.sky, self.trace = loop, sky, trace
        self.doors = {n: Door(loop, partial(self._came, n)) for n in range(softswitches)}
        self.events: list[Callable[[int], dict[str, Any]]] = []
        self.waiting: list[tuple[Relay, int, int]] = []  # who waits, whose it is, after which event
        self.unix_zero = time.time() - loop.at

    def tell(self, servers: list[SetUpServer], whole: bool = False) -> None:
        """A new event, about these."""
        number = len(self.events) + 1
        told = [(server, server.health) for server in servers]
        self.events.append(lambda softswitch: self._event(number, softswitch, told, whole))
        for server, health in told:
            if health != HEALTHS[0]:
                for softswitch in self.doors:
                    why = "draining" if health == HEALTHS[1] else "gone"
                    self.trace.note(self.loop.at, What.HEARD, softswitch, 0, server.name, why)
        waiting, self.waiting = self.waiting, []
        for relay, softswitch, after in waiting:
            self._answer(relay, softswitch, after)

    def known(self, softswitch: int) -> dict[str, Any]:
        return {"no": len(self.events), "items": [event(softswitch) for event in self.events]}

    def _event(
        self, number: int, softswitch: int, told: list[tuple[SetUpServer, str]], whole: bool
    ) -> dict[str, Any]:
        hosts = [
            {
                "host": server.name, "dial": server.doors[softswitch].dial, "block": server.number,
                "health": health, "born_ms": server.born_ms(self.unix_zero),
            }
            for server, health in told
        ]  # fmt: skip
        return {"no": number, "roster": {"seq": number, "whole": whole, "hosts": hosts}}

    def _came(self, softswitch: int, sock: socket.socket) -> None:
        held = bytearray()

        def heard(data: bytes, at: float) -> None:
            held.extend(data)
            while b"\r\n\r\n" in held:
                line = bytes(held[: held.index(b"\r\n")]).decode("latin-1")
                del held[: held.index(b"\r\n\r\n") + 4]
                query = dict(pair.split("=") for pair in line.split(" ")[1].partition("?")[2].split("&"))
                self.trace.note(at, What.LISTED, softswitch)
                after = int(query["after"])
                if after < len(self.events):
                    self._answer(relay, softswitch, after)
                else:
                    waits = (relay, softswitch, after)
                    self.waiting.append(waits)
                    self.loop.after(min(int(query["patience"]), 5000) / 1000, partial(self._over, waits))

        relay = Relay(self.loop, self.sky, sock, (softswitch, "bulletin"), heard, lambda: None)

    def _over(self, waits: tuple[Relay, int, int]) -> None:
        if waits in self.waiting:
            self.waiting.remove(waits)
            self._answer(*waits)

    def _answer(self, relay: Relay, softswitch: int, after: int) -> None:
        items = [event(softswitch) for event in self.events[after:]]
        body = json.dumps({"no": len(self.events), "items": items})
        relay.say(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
