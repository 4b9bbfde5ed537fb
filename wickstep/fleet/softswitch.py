"""A softswitch of a model: a real controller, with simulated messages to servers in place of sockets.

This file owns what the network code owns in service: one final answer for each call, timeouts, cancels, and
how an attempt ended. It must never decide where a call goes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wickstep import interface as api
from wickstep.brain import Controller
from wickstep.fleet.clock import SECOND, Clock
from wickstep.fleet.processor import SimulatedServer
from wickstep.interface import Outcome
from wickstep.spread.reasons import classify_send

if TYPE_CHECKING:
    from wickstep.fleet.model import Model

CONNECT_FAILURE_S = 0.01  # until a refused connection is noticed
PROBE_TIMEOUT = SECOND // 4


@dataclass(slots=True, eq=False)
class Call:
    number: int
    requested_at: int
    first_choice: int
    klass: int
    aim: int
    deadline: int
    is_retry: bool
    holding_time: int
    attempts: int = 0
    server: SimulatedServer | None = None  # where the one attempt in flight has gone
    ended: bool = False


class SimulatedSoftswitch:
    def __init__(self, number: int, controller: Controller, model: Model) -> None:
        self.number, self.controller, self.model = number, controller, model
        self.clock: Clock = model.clock
        self.calls: dict[int, Call] = {}
        self.established: dict[tuple[int, int], SimulatedServer] = {}  # by call and attempt
        self.events: deque[api.Event] = deque()
        self.dispatching = self.dead = False

    def dispatch(self, event: api.Event) -> None:
        """Passes an event to the controller and performs the actions it returns, in order."""
        if self.dead:
            return
        self.events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        while self.events:
            for action in self.controller.handle(self.events.popleft(), self.clock.now):
                self._perform(action)
        self.dispatching = False

    def take_call(self, call: Call) -> None:
        self.calls[call.number] = call
        self.clock.after(call.deadline - self.clock.now, self._deadline_passed, call)
        max_wait = call.deadline - self.clock.now
        self.dispatch(api.NewCall(call.number, call.klass, max_wait, call.first_choice, call.is_retry))

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.Wake(token=token, due=due):
                self.clock.after(due - self.clock.now, self.dispatch, api.TimerDue(token))
            case api.Send():
                self._send_set_up(action)
            case api.Refuse(call=number, retry_after=retry_after):
                self._finish_call(number, "refused", retry_after)
            case api.Fail(call=number):
                self._finish_call(number, "failed")
            case api.Cancel(call=number, attempt=attempt):
                call = self.calls.get(number)
                if call is not None and call.server is not None and call.attempts - 1 == attempt:
                    self._cancel_attempt(call, Outcome.CANCELLED)
            case api.Probe(server=name):
                self._send_probe(name)

    def _send_set_up(self, action: api.Send) -> None:
        call, server = self.calls[action.call], self.model.servers.get(action.server)
        assert call.server is None, "second attempt of a call while the first is in flight"
        attempt = call.attempts
        call.attempts += 1
        if server is None or server.state is api.ServerState.GONE:
            self.clock.after(int(CONNECT_FAILURE_S * SECOND), self._attempt_ended, call.number, attempt,
                             action.server, Outcome.CONNECT_FAILED, {}, False)  # fmt: skip
            return
        call.server = server
        self.model.sent_at[(self.number, call.number)] = self.clock.now
        failures = self.controller.servers[action.server].failures
        self.model.record_sent(
            self.number, server, classify_send(attempt, call.first_choice, server.number, failures)
        )
        self.clock.after(self._one_way_delay(server), self._deliver_set_up, call, attempt, server)
        self.clock.after(action.timeout, self._attempt_timed_out, call, attempt)

    def _deliver_set_up(self, call: Call, attempt: int, server: SimulatedServer) -> None:
        if not self.dead and call.server is server and call.attempts - 1 == attempt and not call.ended:
            server.receive_set_up(self, call.number, attempt, call.holding_time)

    def _attempt_timed_out(self, call: Call, attempt: int) -> None:
        if call.server is not None and call.attempts - 1 == attempt and not call.ended:
            self._cancel_attempt(call, Outcome.TIMEOUT)

    def _cancel_attempt(self, call: Call, outcome: Outcome) -> None:
        server, call.server = call.server, None
        assert server is not None
        self.clock.after(self._one_way_delay(server), server.receive_cancel, self.number, call.number)
        self._report_attempt_end(call, call.attempts - 1, server.name, outcome, {}, False)

    def _one_way_delay(self, server: SimulatedServer) -> int:
        return int(server.kind.round_trip_s * SECOND / 2)

    # Messages from servers, which take effect after the one-way delay.

    def receive_answer(self, server: SimulatedServer, call: int, attempt: int) -> None:
        self.clock.after(self._one_way_delay(server), self._call_stands, server, call, attempt)

    def _call_stands(self, server: SimulatedServer, number: int, attempt: int) -> None:
        call = self.calls.get(number)
        if self.dead or call is None or call.server is not server or call.attempts - 1 != attempt:
            return  # cancelled meanwhile: the server receives the cancel, and the answered call has no caller
        call.server = None
        delay = self.clock.now - self.model.sent_at.pop((self.number, number), self.clock.now)
        self._finish_call(number, "stands")
        self.established[(number, attempt)] = server
        self.dispatch(api.CallStands(number, attempt, server.name, delay))

    def receive_full(self, server: SimulatedServer, call: int, attempt: int, no_line: bool) -> None:
        self.model.record_full(server)
        self.clock.after(self._one_way_delay(server), self._attempt_ended, call, attempt, server.name,
                         Outcome.FULL, server.report(), no_line)  # fmt: skip

    def receive_release(self, server: SimulatedServer, call: int, attempt: int) -> None:
        self.clock.after(
            self._one_way_delay(server), self._call_ended, server, call, attempt, server.report()
        )

    def _call_ended(self, server: SimulatedServer, call: int, attempt: int, report: dict[str, float]) -> None:
        if self.established.pop((call, attempt), None) is not None:
            self.dispatch(api.AttemptEnded(call, attempt, server.name, Outcome.ENDED, 0, True, False, report))

    def receive_free_lines(self, server: SimulatedServer) -> None:
        self.dispatch(api.ProbeAnswered(server.name, True, 0, server.free_lines()))

    def _attempt_ended(self, number: int, attempt: int, host: str, outcome: Outcome, report: dict[str, float],
                       no_line: bool) -> None:  # fmt: skip
        call = self.calls.get(number)
        if call is None or call.attempts - 1 != attempt or call.ended:
            return
        call.server = None
        self._report_attempt_end(call, attempt, host, outcome, report, no_line)

    def _report_attempt_end(self, call: Call, attempt: int, host: str, outcome: Outcome,
                            report: dict[str, float], no_line: bool) -> None:  # fmt: skip
        delay = self.clock.now - self.model.sent_at.pop((self.number, call.number), self.clock.now)
        self.dispatch(
            api.AttemptEnded(call.number, attempt, host, outcome, delay, call.ended, False, report, no_line)
        )

    def _send_probe(self, name: str) -> None:
        server = self.model.servers.get(name)
        if server is None or server.silent:
            return
        sent_at = self.clock.now

        def on_answer() -> None:
            delay = self.clock.now - sent_at
            if delay <= PROBE_TIMEOUT:
                self.dispatch(api.ProbeAnswered(name, True, delay, server.report()))

        self.model.result.probes += 1
        self.clock.after(self._one_way_delay(server), server.receive_probe, on_answer)

    # Final answers.

    def _deadline_passed(self, call: Call) -> None:
        if not call.ended:
            self._finish_call(call.number, "failed")

    def _finish_call(self, number: int, kind: str, retry_after: int = 0) -> None:
        call = self.calls.pop(number, None)
        if call is None or call.ended:
            return
        call.ended = True
        self.model.call_finished(self, call, kind, retry_after)
        if call.server is not None and kind != "stands":
            self._cancel_attempt(call, Outcome.TIMEOUT)
            self.dispatch(api.CallerLeft(number))
