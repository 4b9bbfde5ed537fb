"""Portability look-ups: what is asked, what is remembered, and when asking stops.

This file owns every decision about look-ups: the cache and its ages, which questions are joined, how many
are out, how long a call waits, and the circuit breaker. It must never touch a socket or a clock: times are
handed in, in microseconds, and questions come out as `Ask`. It never decides about a call: a call gets
`PortingResult`, or None, which means that the route's fallback holds.

A call's wait is bounded twice: by the plan, and by a part of what the call has left until its deadline, so
that whatever the database does there is time to set the call up. A question outlives the calls that wait
for it until its own time is up: the answer is worth remembering. One that comes after that is dropped: by
then it counts as failed, and the breaker has seen it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field

from wickstep.numbering.analysis import PortingResult
from wickstep.numbering.table import PortabilitySettings

MS = 1000
REST_MOST = 16  # times the plan's: how long the breaker rests at most
WAITING_MOST = 1000  # calls that wait for one question


@dataclass(slots=True, frozen=True)
class Ask:
    """Put this question; the answer is wanted until then."""

    question: int
    number: str
    due: int


@dataclass(slots=True, frozen=True)
class Told:
    """A call has its answer; None: the fallback."""

    call: Hashable
    found: PortingResult | None


@dataclass(slots=True)
class Question:
    number: str
    due: int
    waiting: dict[Hashable, int] = field(default_factory=dict)  # call -> until when it waits


class Breaker:
    """Closed while answers come; open after failures in a row; then one trial at a time.

    Each trial that fails doubles the rest, up to `REST_MOST` times the first.
    """

    def __init__(self, plan: PortabilitySettings) -> None:
        self.plan = plan
        self.failures = 0
        self.open_until = 0
        self.rests = 0
        self.trial: int | None = None  # the question that tries it out

    def lets_ask(self, now: int) -> bool:
        if self.failures < self.plan.trips_after:
            return True
        return now >= self.open_until and self.trial is None

    def asked(self, question: int) -> None:
        if self.failures >= self.plan.trips_after:
            self.trial = question

    def answered(self, question: int) -> None:
        self.failures, self.rests = 0, 0
        self.trial = None

    def failed(self, question: int, now: int) -> None:
        self.failures += 1
        if self.trial == question:
            self.trial = None
        elif self.failures != self.plan.trips_after:
            return  # of those that were out when it opened
        rest = self.plan.rest_ms * MS * min(1 << self.rests, REST_MOST)
        self.rests = min(self.rests + 1, 16)
        self.open_until = now + rest


class LookUps:
    """All look-ups of one softswitch."""

    def __init__(self, plan: PortabilitySettings) -> None:
        self.plan = plan
        self.breaker = Breaker(plan)
        self.questions: OrderedDict[int, Question] = OrderedDict()  # by number, the oldest first
        self.by_number: dict[str, int] = {}
        self.by_call: dict[Hashable, int] = {}
        self.cache: OrderedDict[str, tuple[int, PortingResult]] = OrderedDict()  # until when, and what
        self.serial = 0
        self.counts: dict[str, int] = {}

    def renew(self, plan: PortabilitySettings) -> None:
        """Another table's figures. What is known and out stays, and so does the breaker's state."""
        self.plan = self.breaker.plan = plan
        self._trim()

    def look_up(self, call: Hashable, number: str, now: int, deadline: int) -> list[Ask | Told]:
        """A call asks; the answer is here at once, or `Told` comes later, by the end of its wait."""
        known = self._remembered(number, now)
        if known is not None:
            return self._tell("cached", call, known)
        wait = min(self.plan.budget_ms * MS, int((deadline - now) * self.plan.budget_part))
        if wait <= 0:
            return self._tell("without_time", call, None)
        at = self.by_number.get(number)
        if at is not None:
            question = self.questions[at]
            if len(question.waiting) >= WAITING_MOST:
                return self._tell("crowded", call, None)
            self._count("joined")
            question.waiting[call] = min(now + wait, question.due)
            self.by_call[call] = at
            return []
        if len(self.questions) >= self.plan.outstanding:
            return self._tell("over_the_limit", call, None)
        if not self.breaker.lets_ask(now):
            return self._tell("broken", call, None)
        self.serial += 1
        at, due = self.serial, now + self.plan.budget_ms * MS
        self.questions[at] = Question(number, due, {call: now + wait})
        self.by_number[number] = at
        self.by_call[call] = at
        self.breaker.asked(at)
        self._count("asked")
        return [Ask(at, number, due)]

    def gave_up(self, call: Hashable) -> None:
        """The caller has left, or the call has ended otherwise: nothing is told to it any more."""
        at = self.by_call.pop(call, None)
        if at is not None:
            self.questions[at].waiting.pop(call, None)

    def answered(self, at: int, found: PortingResult, now: int) -> list[Told]:
        """An answer has come; nobody asked, or nobody asks any more: dropped."""
        question = self._end(at)
        if question is None:
            self._count("late")
            return []
        self.breaker.answered(at)
        self._count("ported" if found.routing_number else "not_ported")
        age = self.plan.keep_ms if found.routing_number else self.plan.keep_negative_ms
        if age:
            self.cache[question.number] = (now + age * MS, found)
            self.cache.move_to_end(question.number)
            self._trim()
        return [Told(call, found) for call in question.waiting]

    def failed(self, at: int, now: int) -> list[Told]:
        """It could not be asked, or what came could not be read."""
        question = self._end(at)
        if question is None:
            return []
        self.breaker.failed(at, now)
        self._count("failed")
        return [Told(call, None) for call in question.waiting]

    def due(self, now: int) -> list[Told]:
        """What has waited for as long as it may."""
        told: list[Told] = []
        for at, question in list(self.questions.items()):
            if question.due <= now:
                self._count("timed_out")
                told += self.failed(at, now)
                continue
            for call in [call for call, until in question.waiting.items() if until <= now]:
                del question.waiting[call]
                del self.by_call[call]
                self._count("out_of_time")
                told.append(Told(call, None))
        return told

    def _remembered(self, number: str, now: int) -> PortingResult | None:
        until, found = self.cache.get(number, (0, None))
        if found is None:
            return None
        if until <= now:
            del self.cache[number]
            return None
        self.cache.move_to_end(number)
        return found

    def _trim(self) -> None:
        while len(self.cache) > self.plan.cached:
            self.cache.popitem(last=False)

    def _end(self, at: int) -> Question | None:
        question = self.questions.pop(at, None)
        if question is not None:
            del self.by_number[question.number]
            for call in question.waiting:
                del self.by_call[call]
        return question

    def _tell(self, why: str, call: Hashable, found: PortingResult | None) -> list[Ask | Told]:
        self._count(why)
        return [Told(call, found)]

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
