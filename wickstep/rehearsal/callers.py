"""Stand-ins for callers and the front that sends them to softswitches.

Callers come at random moments, more of them to some softswitches than to others, and keep a connection to
each. The front tests each softswitch, takes it in once it has passed, and notices some time after one has
died. This file must never judge.
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
from wickstep.rehearsal.relay import Relay, Sky
from wickstep.rehearsal.scenario import CallerPlan
from wickstep.rehearsal.trace import Trace, What

TEST_S = 0.1  # how often the front tests one that has not passed,
TESTED_S = 0.5  # and one that has
TEST_LATE_S = 1.0
CLASS = "voice"
LEAVING = ("given up", "closed", "reset")


class Desk:
    """Callers' connection to one softswitch."""

    def __init__(self, callers: Callers, softswitch: int) -> None:
        self.callers, self.softswitch = callers, softswitch
        self.splitter = codec.Splitter()
        self.relay: Relay | None = None
        self.open: dict[int, SetUp] = {}  # calls that wait for their final answer
        self.stood: set[int] = set()
        self.again: dict[int, SetUp] = {}  # to come again once the softswitch is back
        self.passed = False
        self.test_at = -1.0  # when the test that is out was sent

    def connect(self) -> bool:
        callers = self.callers
        try:
            sock = socket.create_connection(callers.where[self.softswitch], timeout=0.2)
        except OSError:
            return False
        self.splitter = codec.Splitter()
        self.test_at = -1.0
        key = (self.softswitch, "callers")
        self.relay = Relay(callers.loop, callers.sky, sock, key, self.heard, self.ended)
        return True

    def say(self, message: Message) -> bool:
        if (self.relay is None or self.relay.closed) and not self.connect():
            return False
        assert self.relay is not None
        self.relay.say(codec.encode(message))
        return True

    def heard(self, data: bytes, at: float) -> None:
        try:
            for message in self.splitter.feed(data):
                self.dealt(message, at)
        except MalformedMessage:
            if self.relay is not None:
                self.relay.reset()

    def dealt(self, message: Message, at: float) -> None:
        trace = self.callers.trace
        if isinstance(message, TestResult):
            self.test_at = -1.0
            if message.passed and not self.passed:
                trace.note(at, What.UP, self.softswitch)
            self.passed = message.passed
            if self.passed:
                again, self.again = self.again, {}
                for set_up in again.values():
                    self.callers.ask(self, set_up)
        elif isinstance(message, Answer | Release) and message.call in self.open:
            del self.open[message.call]
            stands = isinstance(message, Answer)
            why = "stands" if stands else message.reason.value if isinstance(message, Release) else ""
            trace.note(at, What.FINAL, self.softswitch, message.call, why=why)
            if stands:
                self.stood.add(message.call)
        elif isinstance(message, Answer):
            trace.note(at, What.FINAL, self.softswitch, message.call, why="stands")  # a second one
        elif isinstance(message, Release):
            self.say(ReleaseComplete(message.call))
            trace.note(at, What.TOLD, self.softswitch, message.call)

    def leave(self, call: int, why: str) -> None:
        """Its caller waits no longer, and says so on this connection or by ending it."""
        if call not in self.open or self.relay is None:
            return  # answered meanwhile
        self.forget(call)
        relay, at = self.relay, self.callers.loop.at
        if why == "given up":
            self.say(Release(call, Reason.CLEARED))
        elif why == "closed":
            relay.close()
        else:
            relay.reset()
        self.callers.trace.note(at, What.LEFT, self.softswitch, call, why=why)

    def forget(self, call: int) -> None:
        """Its time is up: whatever comes now is a second answer or a late one, as the judge sees it."""
        self.open.pop(call, None)

    def ended(self) -> None:
        """The connection has ended: what was open on it, and not sent again, is gone."""
        for call in self.open:
            self.callers.trace.note(self.callers.loop.at, What.GONE, self.softswitch, call)
        if self.callers.plan.again:
            self.again.update(self.open)
        self.open.clear()
        self.relay = None


class Callers:
    """All callers and the front."""

    def __init__(
        self, plan: CallerPlan, loop: Loop, sky: Sky, trace: Trace, where: list[tuple[str, int]], seed: int,
        servers: int,
    ) -> None:  # fmt: skip
        self.plan, self.loop, self.sky, self.trace, self.where = plan, loop, sky, trace, where
        self.random = random.Random(seed)
        self.servers = servers
        count = len(where)
        # An even fall from the busiest, which has `spread` times the mean, as far as the sum allows.
        slope = [1 + (plan.spread - 1) * (1 - 2 * (n + 0.5) / count) for n in range(count)]
        self.weights = [max(part, 0.1) for part in slope]
        self.desks = [Desk(self, number) for number in range(count)]
        self.died_at: dict[int, float] = {}
        self.ids = iter(range(1, 2**40))
        self.stopped = False

    def open_front(self) -> None:
        """Test each softswitch, again and again; nobody calls yet."""
        for number in range(len(self.desks)):
            self._test(number)

    def start(self) -> None:
        """Callers begin to call."""
        self._next()

    def stop(self) -> None:
        """No more calls; what is open is still answered."""
        self.stopped = True

    def ready(self) -> bool:
        return all(desk.passed for desk in self.desks)

    def open(self) -> int:
        return sum(len(desk.open) for desk in self.desks)

    def died(self, softswitch: int) -> None:
        self.desks[softswitch].passed = False
        self.died_at[softswitch] = self.loop.at

    def _test(self, number: int) -> None:
        desk = self.desks[number]
        late = desk.test_at >= 0 and self.loop.at - desk.test_at > TEST_LATE_S
        if late:
            desk.passed = False
        if desk.test_at < 0 or late:
            if desk.say(Test(0xF000000000000000 + number)):
                desk.test_at = self.loop.at
            else:
                desk.passed = False
        self.loop.after(TESTED_S if desk.passed else TEST_S, lambda: self._test(number))

    def _next(self) -> None:
        if self.stopped:
            return
        self.loop.after(self.random.expovariate(self.plan.rate), self._next)
        up = [n for n, desk in enumerate(self.desks) if desk.passed or self._unnoticed(n)]
        call = next(self.ids)
        if not up:
            self.trace.note(self.loop.at, What.MISSED, -1, call)
            return
        number = self.random.choices(up, [self.weights[n] for n in up])[0]
        desk = self.desks[number]
        wait_ms = int(1000 * self.plan.wait_s)
        first = self.random.randrange(self.servers)
        message = SetUp(call, CLASS, wait_ms, f"{call:016x}", b"offer", first_choice=first)
        if not self.plan.leave or self.random.random() >= self.plan.leave:
            return self.ask(desk, message)
        why = self.random.choice(LEAVING)
        if why != "given up":
            desk = Desk(self, number)  # a connection of its own: others' calls do not end with it
        self.ask(desk, message)
        # Rather sooner than later: most calls are answered soon.
        self.loop.after(self.plan.aim_s * self.random.random() ** 3, partial(desk.leave, call, why))

    def ask(self, desk: Desk, message: SetUp) -> None:
        if desk.say(message):
            desk.open[message.call] = message
            self.trace.note(self.loop.at, What.ASKED, desk.softswitch, message.call, value=self.plan.wait_s)
            self.loop.after(self.plan.wait_s + 1, partial(desk.forget, message.call))
        else:
            self.trace.note(self.loop.at, What.MISSED, desk.softswitch, message.call)

    def _unnoticed(self, number: int) -> bool:
        died = self.died_at.get(number)
        return died is not None and self.loop.at - died < self.plan.notice_s
