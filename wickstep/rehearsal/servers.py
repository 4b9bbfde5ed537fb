"""Stand-ins for setup servers and the bulletin.

A setup server has one processor with a queue for set-ups, a number of lines for calls, a cold start and a
limit on connections. This file owns what they do. It must never judge, and sends nothing that the protocol
does not know.
"""

from __future__ import annotations

import itertools
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
from wickstep.rehearsal.relay import Listener, Network, ProxyConnection
from wickstep.rehearsal.scenario import ServerPlan
from wickstep.rehearsal.trace import EventKind, Trace

REFUSAL_WORK = 0.2  # of a set-up's work: what a refusal or the answer to a probe costs
REPORT_INTERVAL_S = 0.4  # between unsolicited reports of free lines and waiting time
HEALTH_STATES = tuple(bulletin.STATES)  # ready, draining, gone, as the list writes them


class Link:
    """A connection from a softswitch, as a setup server sees it."""

    def __init__(self, server: SetUpServer, sock: socket.socket, softswitch: int) -> None:
        self.server, self.softswitch = server, softswitch
        self.splitter = codec.Splitter()
        self.open_attempts: dict[int, int] = {}  # calls that wait for their answer here, each with its run
        key = (softswitch, server.name)
        self.connection = ProxyConnection(server.loop, server.network, sock, key, self.on_data, self.on_end)

    def send(self, message: Message) -> None:
        self.connection.send(codec.encode(message))

    def on_data(self, data: bytes, at: float) -> None:
        try:
            for message in self.splitter.feed(data):
                self.server.on_message(self, message, at)
        except MalformedMessage:
            self.connection.reset()

    def on_end(self) -> None:
        self.server.on_link_end(self)


class SetUpServer:
    """One process of a setup server; its replacement is another object under another name."""

    def __init__(
        self,
        name: str,
        number: int,
        plan: ServerPlan,
        loop: Loop,
        network: Network,
        trace: Trace,
        hold_s: float,
        seed: int,
        softswitches: int,
        started_at: float = -1e9,
    ) -> None:
        self.name, self.number, self.plan, self.started_at = name, number, plan, started_at
        self.loop, self.network, self.trace, self.hold_s = loop, network, trace, hold_s
        self.random = random.Random(seed)
        self.health = HEALTH_STATES[0]
        self.free_at = 0.0  # when its processor has done all that is queued
        self.links: list[Link] = []
        self.standing: dict[int, tuple[Link, int]] = {}  # by call: the link on which its set-up came, the run
        self.runs = itertools.count(1)  # set-ups of one call, which messages do not tell apart
        self.unconfirmed_releases: dict[int, dict[int, Release]] = {}  # by softswitch and call
        self.recent_set_ups: deque[float] = deque()  # arrivals in the last fall_s
        self.has_ended = False
        self.listeners = {n: Listener(loop, partial(self._on_connection, n)) for n in range(softswitches)}
        loop.call_later(REPORT_INTERVAL_S * self.random.random(), self._send_reports)

    def born_ms(self, unix_start: float) -> int:
        """Unix time of its start for the list; 0: it was there from the beginning."""
        return int(1000 * (unix_start + self.started_at)) if self.started_at > 0 else 0

    def capacity(self) -> float:
        """Set-ups a second that it can do now."""
        plan = self.plan
        age = self.loop.elapsed_s - self.started_at
        ratio = 1.0 if age >= plan.cold_s else plan.cold_from + (1 - plan.cold_from) * age / plan.cold_s
        return plan.rate * ratio

    def report(self) -> dict[str, float]:
        wait = max(self.free_at - self.loop.elapsed_s, 0.0)
        free = max(self.plan.lines - len(self.standing), 0)
        return {"free": float(free), "size": float(self.plan.lines), "hold_back": 0.0, "avg_ms": 1000 * wait}

    def on_message(self, link: Link, message: Message, at: float) -> None:
        match message:
            case SetUp():
                self._on_set_up(link, message.call, at)
            case Release():
                link.send(ReleaseComplete(message.call))
                if message.call in link.open_attempts:
                    del link.open_attempts[message.call]
                    self.trace.record(
                        at, EventKind.ATTEMPT_ENDED, link.softswitch, message.call, self.name, "given up"
                    )
                elif message.call in self.standing:
                    _, run = self.standing.pop(message.call)
                    self.trace.record(
                        at, EventKind.CALL_TAKEN_BACK, link.softswitch, message.call, self.name,
                        description=self._describe(message.call, run),
                    )  # fmt: skip
            case ReleaseComplete():
                self.unconfirmed_releases.get(link.softswitch, {}).pop(message.call, None)
            case Test():
                self.trace.record(at, EventKind.PROBED, link.softswitch, 0, self.name)
                self.free_at = max(self.free_at, self.loop.elapsed_s) + REFUSAL_WORK / self.capacity()
                probe = message.call
                delay_s = self.free_at - self.loop.elapsed_s
                self.loop.call_later(delay_s, lambda: link.send(GroupState(probe, self.report())))
            case _:
                link.connection.reset()

    def _on_set_up(self, link: Link, call: int, at: float) -> None:
        self.trace.record(
            at, EventKind.ATTEMPT_STARTED, link.softswitch, call, self.name, value=self.capacity()
        )
        run = link.open_attempts[call] = next(self.runs)
        plan, now = self.plan, self.loop.elapsed_s
        self.recent_set_ups.append(now)
        while self.recent_set_ups[0] < now - plan.fall_s:
            self.recent_set_ups.popleft()
        capacity = self.capacity()
        if capacity < plan.rate and len(self.recent_set_ups) > max(
            plan.fall_multiple * capacity * plan.fall_s, 5
        ):
            return self._collapse(capacity)
        work = 1 / capacity
        wait = max(self.free_at - now, 0.0)
        if wait > plan.queue_s or len(self.standing) >= plan.lines:
            note = Note.OVERLOAD if wait > plan.queue_s else Note.NO_CIRCUIT
            self.free_at = max(self.free_at, now) + REFUSAL_WORK * work
            return self.loop.call_later(self.free_at - now, lambda: self._refuse(link, call, run, note))
        self.free_at = max(self.free_at, now) + work
        self.loop.call_later(self.free_at - now, lambda: self._answer(link, call, run))

    def _describe(self, call: int, run: int) -> str:
        """The description that answers this run of a call, and no other."""
        return f"{self.name}/{call:x}/{run}"

    def _collapse(self, capacity: float) -> None:
        cause = f"{len(self.recent_set_ups)} at {capacity:.0f} a second"
        self.trace.record(self.loop.elapsed_s, EventKind.SERVER_COLLAPSED, -1, 0, self.name, cause)
        self.end()

    def _refuse(self, link: Link, call: int, run: int, note: Note) -> None:
        if link.open_attempts.get(call) == run:
            del link.open_attempts[call]
            self.trace.record(
                self.loop.elapsed_s, EventKind.ATTEMPT_ENDED, link.softswitch, call, self.name, "full"
            )
            link.send(Release(call, Reason.FULL, note, report=self.report()))

    def _answer(self, link: Link, call: int, run: int) -> None:
        if link.open_attempts.get(call) == run:
            del link.open_attempts[call]
            description = self._describe(call, run)
            self.trace.record(
                self.loop.elapsed_s, EventKind.ATTEMPT_ENDED, link.softswitch, call, self.name, "stands",
                description=description,
            )  # fmt: skip
            self.standing[call] = (link, run)
            link.send(Answer(call, description.encode()))
            self.loop.call_later(self.random.expovariate(1 / self.hold_s), lambda: self._end_call(call, run))

    def _end_call(self, call: int, run: int) -> None:
        link, standing_run = self.standing.get(call, (None, 0))
        if link is None or standing_run != run or self.has_ended:
            return
        del self.standing[call]
        release = Release(call, Reason.CLEARED, report=self.report())
        self.unconfirmed_releases.setdefault(link.softswitch, {})[call] = release
        open_links = [one for one in self.links if one.softswitch == link.softswitch]
        link = link if link in open_links else next(iter(open_links), link)
        detail = "untold" if link.connection.is_silent else ""
        self.trace.record(self.loop.elapsed_s, EventKind.CALL_ENDED, link.softswitch, call, self.name, detail)
        if link in open_links:
            link.send(release)

    def _send_reports(self) -> None:
        if not self.has_ended:
            for link in self.links:
                link.send(GroupState(0, self.report()))
            self.loop.call_later(REPORT_INTERVAL_S, self._send_reports)

    def _on_connection(self, softswitch: int, sock: socket.socket) -> None:
        self.trace.record(self.loop.elapsed_s, EventKind.CONNECTED, softswitch, 0, self.name)
        if len(self.links) >= self.plan.links_most or self.has_ended:
            sock.close()
            return
        link = Link(self, sock, softswitch)
        self.links.append(link)
        link.send(GroupState(0, self.report()))
        for release in self.unconfirmed_releases.get(softswitch, {}).values():
            link.send(release)

    def on_link_end(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)
        for call in link.open_attempts:
            self.trace.record(
                self.loop.elapsed_s, EventKind.ATTEMPT_ENDED, link.softswitch, call, self.name, "link"
            )
        link.open_attempts.clear()

    def drain(self) -> None:
        """Accept no new connections; calls on open ones are served on."""
        for listener in self.listeners.values():
            listener.close()

    def end(self) -> None:
        """End the process: connections are reset, calls are cut."""
        self.has_ended = True
        self.drain()
        for link in [*self.links]:
            link.connection.reset()


class Bulletin:
    """The list of setup servers. It has an address for each softswitch, since it lists the addresses at which
    the servers listen for that one."""

    def __init__(self, loop: Loop, network: Network, trace: Trace, softswitches: int) -> None:
        self.loop, self.network, self.trace = loop, network, trace
        self.listeners = {n: Listener(loop, partial(self._on_connection, n)) for n in range(softswitches)}
        self.events: list[Callable[[int], dict[str, Any]]] = []  # each makes the event for a softswitch
        self.waiting: list[tuple[ProxyConnection, int, int]] = []  # connection, softswitch, last event
        self.unix_start = time.time() - loop.elapsed_s

    def publish(self, servers: list[SetUpServer], whole: bool = False) -> None:
        """Add an event with the states of these servers, and answer all waiting requests."""
        number = len(self.events) + 1
        states = [(server, server.health) for server in servers]
        self.events.append(lambda softswitch: self._make_event(number, softswitch, states, whole))
        for server, health in states:
            if health != HEALTH_STATES[0]:
                for softswitch in self.listeners:
                    detail = "draining" if health == HEALTH_STATES[1] else "gone"
                    self.trace.record(
                        self.loop.elapsed_s, EventKind.STATE_ANNOUNCED, softswitch, 0, server.name, detail
                    )
        waiting, self.waiting = self.waiting, []
        for connection, softswitch, after in waiting:
            self._respond(connection, softswitch, after)

    def known(self, softswitch: int) -> dict[str, Any]:
        """All events so far, as the platform gives them to a softswitch at its start."""
        return {"no": len(self.events), "items": [event(softswitch) for event in self.events]}

    def _make_event(
        self, number: int, softswitch: int, states: list[tuple[SetUpServer, str]], whole: bool
    ) -> dict[str, Any]:
        hosts = [
            {
                "host": server.name, "dial": server.listeners[softswitch].address, "block": server.number,
                "health": health, "born_ms": server.born_ms(self.unix_start),
            }
            for server, health in states
        ]  # fmt: skip
        return {"no": number, "roster": {"seq": number, "whole": whole, "hosts": hosts}}

    def _on_connection(self, softswitch: int, sock: socket.socket) -> None:
        buffer = bytearray()

        def on_data(data: bytes, at: float) -> None:
            buffer.extend(data)
            while b"\r\n\r\n" in buffer:
                line = bytes(buffer[: buffer.index(b"\r\n")]).decode("latin-1")
                del buffer[: buffer.index(b"\r\n\r\n") + 4]
                query = dict(pair.split("=") for pair in line.split(" ")[1].partition("?")[2].split("&"))
                self.trace.record(at, EventKind.LIST_REQUESTED, softswitch)
                after = int(query["after"])
                if after < len(self.events):
                    self._respond(connection, softswitch, after)
                else:
                    request = (connection, softswitch, after)
                    self.waiting.append(request)
                    self.loop.call_later(
                        min(int(query["patience"]), 5000) / 1000, partial(self._on_poll_timeout, request)
                    )

        connection = ProxyConnection(
            self.loop, self.network, sock, (softswitch, "bulletin"), on_data, lambda: None
        )

    def _on_poll_timeout(self, request: tuple[ProxyConnection, int, int]) -> None:
        if request in self.waiting:
            self.waiting.remove(request)
            self._respond(*request)

    def _respond(self, connection: ProxyConnection, softswitch: int, after: int) -> None:
        items = [event(softswitch) for event in self.events[after:]]
        body = json.dumps({"no": len(self.events), "items": items})
        connection.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
