"""A setup server of a model: one processor with a single queue for set-ups, answers and releases alike.

This file owns the behaviour of such a server, as the platform describes it. It must never know anything about
a softswitch beyond the object that it answers, or draw from any random generator but its own.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wickstep.fleet.clock import SECOND, Clock
from wickstep.fleet.plan import ServerBehaviour, ServerKind
from wickstep.interface import ServerState

if TYPE_CHECKING:
    from wickstep.fleet.softswitch import SimulatedSoftswitch

LONG_AGO = -10_000 * SECOND


@dataclass(slots=True, eq=False)
class Job:
    """A piece of work for the processor, in units of a set-up, and the callback for its completion."""

    work: float
    on_done: Callable[[], None]
    cancelled: bool = False  # the softswitch has given up: the job is skipped and costs no work
    done: bool = False


class SimulatedServer:
    def __init__(
        self, name: str, number: int, kind: ServerKind, behaviour: ServerBehaviour, clock: Clock, seed: int
    ) -> None:
        self.name, self.number, self.kind, self.behaviour, self.clock = name, number, kind, behaviour, clock
        self.started_at = LONG_AGO
        self.state = ServerState.ACTIVE
        self.rng = random.Random(seed)
        self.slowdown = 1.0
        self.silent = False
        self.hold_s = 1.0  # mean time for which a call occupies a line
        self.queue: deque[Job] = deque()
        self.backlog = 0.0  # queued work, in set-ups
        self.current_job: Job | None = None
        self.busy_since = 0
        self.busy_ns = 0  # total time spent on work
        self.refusal_backlog = 0.0  # work of refusals, which bypass the queue and delay the next job
        self.unanswered: dict[tuple[int, int], Job] = {}  # by softswitch and call
        self.occupied: set[tuple[int, int]] = set()  # calls that occupy a line, from set-up to release
        self.reported_wait_s = 0.0  # queueing delay as last published
        # A call takes a set-up, its answer and its release: this much work per second makes `rate` calls.
        self.speed = kind.rate * (1 + 2 * behaviour.answer_work)

    def capacity(self) -> float:
        """Calls per second that it can do now, limited by its processor and by its lines."""
        if self.silent:
            return 0.0
        return min(self.kind.rate * self.warm_up_factor() / self.slowdown, self.kind.lines / self.hold_s)

    def warm_up_factor(self) -> float:
        age = (self.clock.now - self.started_at) / SECOND
        behaviour = self.behaviour
        if age >= behaviour.cold_s:
            return 1.0
        return behaviour.cold_from + (1 - behaviour.cold_from) * age / behaviour.cold_s

    def wait_s(self) -> float:
        return self.backlog * self.slowdown / (self.speed * self.warm_up_factor())

    def refresh_report(self) -> None:
        """Measures the wait for the next report, with noise; it is published a little later."""
        noise = 1 + self.behaviour.report_noise * self.rng.gauss(0, 1)
        wait = max(self.wait_s() * noise, 0.0)
        self.clock.after(int(self.behaviour.report_delay_s * SECOND), self._publish_wait, wait)
        self.clock.after(int(self.behaviour.report_interval_s * SECOND), self.refresh_report)

    def _publish_wait(self, wait_s: float) -> None:
        self.reported_wait_s = wait_s

    def report(self) -> dict[str, float]:
        return {"wait_ms": 1000 * self.reported_wait_s, **self.free_lines()}

    def free_lines(self) -> dict[str, float]:
        lines = float(self.kind.lines)
        return {"free": max(lines - len(self.occupied), 0.0), "lines": lines}

    # Messages from softswitches.

    def add_earlier_call(self, softswitch: SimulatedSoftswitch, call: int, holding_time: int) -> None:
        """Adds a call that was set up here before the start of the run."""
        self.occupied.add((softswitch.number, call))
        softswitch.established[(call, 0)] = self
        self.clock.after(holding_time, self._end_call, softswitch, call, 0)

    def receive_set_up(
        self, softswitch: SimulatedSoftswitch, call: int, attempt: int, holding_time: int
    ) -> None:
        if self.silent:
            return
        if self.wait_s() > self.kind.queue_s or len(self.occupied) >= self.kind.lines:
            self.refusal_backlog += self.behaviour.refusal_work
            softswitch.receive_full(self, call, attempt, len(self.occupied) >= self.kind.lines)
            return
        key = (softswitch.number, call)
        self.occupied.add(key)
        job = self.unanswered[key] = Job(
            1.0, lambda: self._queue_answer(softswitch, call, attempt, holding_time)
        )
        self._enqueue(job)
        if self.behaviour.retransmit_s:
            self.clock.after(int(self.behaviour.retransmit_s * SECOND), self._retransmit, key, job,
                             self.behaviour.retransmit_s)  # fmt: skip

    def _retransmit(self, key: tuple[int, int], job: Job, delay_s: float) -> None:
        """A set-up that is still queued is retransmitted: more work for the same call."""
        if not job.done and not job.cancelled and self.unanswered.get(key) is job:
            self._enqueue(Job(self.behaviour.retransmit_work, lambda: None))
            self.clock.after(int(2 * delay_s * SECOND), self._retransmit, key, job, 2 * delay_s)

    def _queue_answer(
        self, softswitch: SimulatedSoftswitch, call: int, attempt: int, holding_time: int
    ) -> None:
        key = (softswitch.number, call)
        job = self.unanswered[key] = Job(
            self.behaviour.answer_work, lambda: self._send_answer(softswitch, call, attempt, holding_time)
        )
        self._enqueue(job)

    def _send_answer(
        self, softswitch: SimulatedSoftswitch, call: int, attempt: int, holding_time: int
    ) -> None:
        if self.unanswered.pop((softswitch.number, call), None) is not None:
            softswitch.receive_answer(self, call, attempt)
            self.clock.after(holding_time, self._end_call, softswitch, call, attempt)

    def _end_call(self, softswitch: SimulatedSoftswitch, call: int, attempt: int) -> None:
        if (softswitch.number, call) in self.occupied:
            self._enqueue(
                Job(self.behaviour.answer_work, lambda: self._send_release(softswitch, call, attempt))
            )

    def _send_release(self, softswitch: SimulatedSoftswitch, call: int, attempt: int) -> None:
        if (softswitch.number, call) in self.occupied:
            self.occupied.discard((softswitch.number, call))
            softswitch.receive_release(self, call, attempt)

    def receive_cancel(self, softswitch_number: int, call: int) -> None:
        """Drops the job if it is still queued; a call that has been answered meanwhile is cut."""
        job = self.unanswered.pop((softswitch_number, call), None)
        self.occupied.discard((softswitch_number, call))
        if job is not None:
            job.cancelled = True
            if job is not self.current_job:
                self.backlog -= job.work

    def receive_probe(self, on_answer: Callable[[], None]) -> None:
        self._enqueue(Job(self.behaviour.refusal_work, on_answer))

    def resume(self) -> None:
        """Continues with the queue after a silent period."""
        if self.current_job is None:
            self._start_next_job()

    # The processor.

    def _enqueue(self, job: Job) -> None:
        self.queue.append(job)
        self.backlog += job.work
        if self.current_job is None:
            self._start_next_job()

    def _start_next_job(self) -> None:
        while self.queue and self.queue[0].cancelled:
            self.queue.popleft()
        if not self.queue or self.silent:
            return
        self.current_job = job = self.queue.popleft()
        self.backlog -= job.work
        work, self.refusal_backlog = job.work + self.refusal_backlog, 0.0
        duration = int(work * SECOND * self.slowdown / (self.speed * self.warm_up_factor()))
        self.busy_since = self.clock.now
        self.clock.after(duration, self._finish_job, job)

    def _finish_job(self, job: Job) -> None:
        self.busy_ns += self.clock.now - self.busy_since
        self.busy_since = self.clock.now
        self.current_job = None
        job.done = True
        if not job.cancelled:
            job.on_done()
        if self.current_job is None:
            self._start_next_job()

    def total_busy_ns(self) -> int:
        """Nanoseconds of work up to now, including the current job."""
        return self.busy_ns + (self.clock.now - self.busy_since if self.current_job is not None else 0)
