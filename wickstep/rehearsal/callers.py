"""Stand-ins for callers and for the load balancer that sends them to softswitches.

Callers arrive at random moments (a Poisson process), more of them at some softswitches than at others, and
share a connection to each. The load balancer tests each softswitch, sends calls to it once it has passed, and
notices only some time later that one has died. This file must never judge.
"""

from __future__ import annotations

import random
import socket
from functools import partial

from wickstep.net import (
    Answer,
    MalformedMessage,
    Message,
    Reason,
    Release,
    ReleaseComplete,
    SetUp,
    Test,
    TestResult,
    codec,
)
from wickstep.rehearsal.loop import Loop
from wickstep.rehearsal.relay import Network, ProxyConnection
from wickstep.rehearsal.scenario import CallerPlan
from wickstep.rehearsal.trace import EventKind, Trace

TEST_INTERVAL_S = 0.1  # for a softswitch that has not passed
PASSED_TEST_INTERVAL_S = 0.5  # for one that has passed
TEST_TIMEOUT_S = 1.0
CALL_CLASS = "voice"
WAYS_TO_LEAVE = ("given up", "closed", "reset")


class CallerLink:
    """The callers' connection to one softswitch, opened again when needed."""

    def __init__(self, callers: Callers, softswitch: int) -> None:
        self.callers, self.softswitch = callers, softswitch
        self.splitter = codec.Splitter()
        self.connection: ProxyConnection | None = None
        self.open_calls: dict[int, SetUp] = {}  # calls that wait for their final answer
        self.answered_calls: set[int] = set()
        self.to_resend: dict[int, SetUp] = {}  # sent again once the softswitch has passed a test
        self.has_passed = False
        self.test_sent_at = -1.0  # of the test that waits for its result; -1: none

    def connect(self) -> bool:
        callers = self.callers
        try:
            sock = socket.create_connection(callers.addresses[self.softswitch], timeout=0.2)
        except OSError:
            return False
        self.splitter = codec.Splitter()
        self.test_sent_at = -1.0
        key = (self.softswitch, "callers")
        self.connection = ProxyConnection(callers.loop, callers.network, sock, key, self.on_data, self.on_end)
        return True

    def send(self, message: Message) -> bool:
        if (self.connection is None or self.connection.closed) and not self.connect():
            return False
        assert self.connection is not None
        self.connection.send(codec.encode(message))
        return True

    def on_data(self, data: bytes, at: float) -> None:
        try:
            for message in self.splitter.feed(data):
                self.on_message(message, at)
        except MalformedMessage:
            if self.connection is not None:
                self.connection.reset()

    def on_message(self, message: Message, at: float) -> None:
        trace = self.callers.trace
        if isinstance(message, TestResult):
            self.test_sent_at = -1.0
            if message.passed and not self.has_passed:
                trace.record(at, EventKind.UP, self.softswitch)
            self.has_passed = message.passed
            if self.has_passed:
                to_resend, self.to_resend = self.to_resend, {}
                for set_up in to_resend.values():
                    self.callers.send_set_up(self, set_up)
        elif isinstance(message, Answer | Release) and message.call in self.open_calls:
            del self.open_calls[message.call]
            stands = isinstance(message, Answer)
            outcome = "stands" if stands else message.reason.value if isinstance(message, Release) else ""
            trace.record(
                at, EventKind.FINAL_ANSWER, self.softswitch, message.call, detail=outcome,
                description=read_description(message),
            )  # fmt: skip
            if stands:
                self.answered_calls.add(message.call)
        elif isinstance(message, Answer):  # a second answer, or one after the caller's wait
            trace.record(
                at, EventKind.FINAL_ANSWER, self.softswitch, message.call, detail="stands",
                description=read_description(message),
            )  # fmt: skip
        elif isinstance(message, Release):
            self.send(ReleaseComplete(message.call))
            trace.record(at, EventKind.RELEASE_RECEIVED, self.softswitch, message.call)

    def leave(self, call: int, way: str) -> None:
        """The caller waits no longer: it releases the call, or ends the connection."""
        if call not in self.open_calls or self.connection is None:
            return  # answered meanwhile
        self.stop_waiting(call)
        connection, at = self.connection, self.callers.loop.elapsed_s
        if way == "given up":
            self.send(Release(call, Reason.CLEARED))
        elif way == "closed":
            connection.close()
        else:
            connection.reset()
        self.callers.trace.record(at, EventKind.CALLER_LEFT, self.softswitch, call, detail=way)

    def stop_waiting(self, call: int) -> None:
        """The caller's wait is over: the judge sees any further answer as a second or a late one."""
        self.open_calls.pop(call, None)

    def on_end(self) -> None:
        """The connection has ended: its open calls are lost unless the plan sends them again."""
        for call in self.open_calls:
            self.callers.trace.record(
                self.callers.loop.elapsed_s, EventKind.CONNECTION_LOST, self.softswitch, call
            )
        if self.callers.plan.again:
            self.to_resend.update(self.open_calls)
        self.open_calls.clear()
        self.connection = None


def read_description(message: Answer | Release) -> str:
    return message.description.decode(errors="backslashreplace") if isinstance(message, Answer) else ""


class Callers:
    """All callers and the load balancer."""

    def __init__(
        self, plan: CallerPlan, loop: Loop, network: Network, trace: Trace, addresses: list[tuple[str, int]],
        seed: int, servers: int,
    ) -> None:  # fmt: skip
        self.plan, self.loop, self.network, self.trace, self.addresses = plan, loop, network, trace, addresses
        self.random = random.Random(seed)
        self.servers = servers
        count = len(addresses)
        # Weights fall linearly from the busiest softswitch, which gets about `spread` times the mean; none is
        # below 0.1, so that a `spread` above 2 is reached only in part.
        slope = [1 + (plan.spread - 1) * (1 - 2 * (n + 0.5) / count) for n in range(count)]
        self.weights = [max(weight, 0.1) for weight in slope]
        self.links = [CallerLink(self, number) for number in range(count)]
        self.died_at: dict[int, float] = {}
        self.call_ids = iter(range(1, 2**40))
        self.stopped = False

    def start_tests(self) -> None:
        """Begin to test each softswitch periodically; no calls yet."""
        for number in range(len(self.links)):
            self._test(number)

    def start(self) -> None:
        """Begin to call."""
        self._place_call()

    def stop(self) -> None:
        """No new calls; answers to open ones are still read."""
        self.stopped = True

    def have_all_passed(self) -> bool:
        return all(link.has_passed for link in self.links)

    def open_call_count(self) -> int:
        return sum(len(link.open_calls) for link in self.links)

    def on_died(self, softswitch: int) -> None:
        self.links[softswitch].has_passed = False
        self.died_at[softswitch] = self.loop.elapsed_s

    def _test(self, number: int) -> None:
        link = self.links[number]
        timed_out = link.test_sent_at >= 0 and self.loop.elapsed_s - link.test_sent_at > TEST_TIMEOUT_S
        if timed_out:
            link.has_passed = False
        if link.test_sent_at < 0 or timed_out:
            if link.send(Test(0xF000000000000000 + number)):
                link.test_sent_at = self.loop.elapsed_s
            else:
                link.has_passed = False
        self.loop.call_later(
            PASSED_TEST_INTERVAL_S if link.has_passed else TEST_INTERVAL_S, lambda: self._test(number)
        )

    def _place_call(self) -> None:
        if self.stopped:
            return
        self.loop.call_later(self.random.expovariate(self.plan.rate), self._place_call)
        candidates = [n for n, link in enumerate(self.links) if link.has_passed or self._is_unnoticed(n)]
        call = next(self.call_ids)
        if not candidates:
            self.trace.record(self.loop.elapsed_s, EventKind.NOT_SENT, -1, call)
            return
        number = self.random.choices(candidates, [self.weights[n] for n in candidates])[0]
        link = self.links[number]
        wait_ms = int(1000 * self.plan.wait_s)
        first = self.random.randrange(self.servers)
        message = SetUp(call, CALL_CLASS, wait_ms, f"{call:016x}", b"offer", first_choice=first)
        if not self.plan.leave or self.random.random() >= self.plan.leave:
            return self.send_set_up(link, message)
        way = self.random.choice(WAYS_TO_LEAVE)
        if way != "given up":
            link = CallerLink(self, number)  # its own connection, so that it ends no other caller's calls
        self.send_set_up(link, message)
        # The cube makes callers leave early: most calls are answered soon.
        self.loop.call_later(self.plan.aim_s * self.random.random() ** 3, partial(link.leave, call, way))

    def send_set_up(self, link: CallerLink, message: SetUp) -> None:
        if link.send(message):
            link.open_calls[message.call] = message
            self.trace.record(
                self.loop.elapsed_s, EventKind.SET_UP_SENT, link.softswitch, message.call,
                value=self.plan.wait_s,
            )  # fmt: skip
            self.loop.call_later(self.plan.wait_s + 1, partial(link.stop_waiting, message.call))
        else:
            self.trace.record(self.loop.elapsed_s, EventKind.NOT_SENT, link.softswitch, message.call)

    def _is_unnoticed(self, number: int) -> bool:
        """Whether the softswitch has died and the load balancer has not noticed it yet."""
        died = self.died_at.get(number)
        return died is not None and self.loop.elapsed_s - died < self.plan.notice_s
