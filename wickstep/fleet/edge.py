"""A softswitch of a model: a real controller, and in place of sockets the way to servers of a model.

This file owns what the network code owns in service: one final answer, limits, cancels, how an attempt ended.
It must never decide where a call goes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wickstep import interface as api
from wickstep.brain import Controller
from wickstep.fleet.clock import SECOND, Clock
from wickstep.fleet.processor import Processor
from wickstep.interface import Outcome
from wickstep.spread.reasons import classify_send

if TYPE_CHECKING:
    from wickstep.fleet.model import Model

CONNECT_S = 0.01  # until a connection that is refused is known to be
PROBE_WAIT = SECOND // 4


@dataclass(slots=True, eq=False)
class Call:
    number: int
    asked: int
    wanted: int
    klass: int
    aim: int
    deadline: int
    repeat: bool
    hold: int
    attempts: int = 0
    server: Processor | None = None  # where the one attempt is out
    ended: bool = False


class Edge:
    def __init__(self, number: int, controller: Controller, model: Model) -> None:
        self.number, self.controller, self.model = number, controller, model
        self.clock: Clock = model.clock
        self.calls: dict[int, Call] = {}
        self.standing: dict[tuple[int, int], Processor] = {}
        self.news: deque[api.Event] = deque()
        self.busy = self.dead = False

    def tell(self, event: api.Event) -> None:
        """Hand the controller an event, and carry out what it asks for, in order."""
        if self.dead:
            return
        self.news.append(event)
        if self.busy:
            return
        self.busy = True
        while self.news:
            for action in self.controller.handle(self.news.popleft(), self.clock.now):
                self._act(action)
        self.busy = False

    def take(self, call: Call) -> None:
        self.calls[call.number] = call
        self.clock.after(call.deadline - self.clock.now, self._overdue, call)
        patience = call.deadline - self.clock.now
        self.tell(api.NewCall(call.number, call.klass, patience, call.wanted, call.repeat))

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Wake(token=token, due=due):
                self.clock.after(due - self.clock.now, self.tell, api.TimerDue(token))
            case api.Send():
                self._send(action)
            case api.Refuse(call=number, retry_after=away):
                self._final(number, "refused", away)
            case api.Fail(call=number):
                self._final(number, "failed")
            case api.Cancel(call=number, attempt=attempt):
                call = self.calls.get(number)
                if call is not None and call.server is not None and call.attempts - 1 == attempt:
                    self._give_up(call, Outcome.CANCELLED)
            case api.Probe(server=name):
                self._probe(name)

    def _send(self, action: api.Send) -> None:
        call, server = self.calls[action.call], self.model.servers.get(action.server)
        assert call.server is None, "two attempts of a call out"
        attempt = call.attempts
        call.attempts += 1
        if server is None or server.state is api.ServerState.GONE:
            self.clock.after(int(CONNECT_S * SECOND), self._ended, call.number, attempt, action.server,
                             Outcome.CONNECT_FAILED, {}, False)  # fmt: skip
            return
        call.server = server
        self.model.sent_at[(self.number, call.number)] = self.clock.now
        fails = self.controller.servers[action.server].failures
        self.model.sent(self.number, server, classify_send(attempt, call.wanted, server.number, fails))
        self.clock.after(self._way(server), self._arrive, call, attempt, server)
        self.clock.after(action.timeout, self._limit, call, attempt)

    def _arrive(self, call: Call, attempt: int, server: Processor) -> None:
        if not self.dead and call.server is server and call.attempts - 1 == attempt and not call.ended:
            server.set_up(self, call.number, attempt, call.hold)

    def _limit(self, call: Call, attempt: int) -> None:
        if call.server is not None and call.attempts - 1 == attempt and not call.ended:
            self._give_up(call, Outcome.TIMEOUT)

    def _give_up(self, call: Call, outcome: Outcome) -> None:
        server, call.server = call.server, None
        assert server is not None
        self.clock.after(self._way(server), server.give_up, self.number, call.number)
        self._told(call, call.attempts - 1, server.name, outcome, {}, False)

    def _way(self, server: Processor) -> int:
        return int(server.kind.way_s * SECOND / 2)

    # What servers say; it comes after the way back.

    def hear_answer(self, server: Processor, call: int, attempt: int) -> None:
        self.clock.after(self._way(server), self._stands, server, call, attempt)

    def _stands(self, server: Processor, number: int, attempt: int) -> None:
        call = self.calls.get(number)
        if self.dead or call is None or call.server is not server or call.attempts - 1 != attempt:
            return  # given up meanwhile: the server hears so, and the call that stood there was nobody's
        call.server = None
        took = self.clock.now - self.model.sent_at.pop((self.number, number), self.clock.now)
        self._final(number, "stands")
        self.standing[(number, attempt)] = server
        self.tell(api.CallStands(number, attempt, server.name, took))

    def hear_full(self, server: Processor, call: int, attempt: int, no_line: bool) -> None:
        self.model.full(server)
        self.clock.after(self._way(server), self._ended, call, attempt, server.name, Outcome.FULL,
                         server.report(), no_line)  # fmt: skip

    def hear_over(self, server: Processor, call: int, attempt: int) -> None:
        self.clock.after(self._way(server), self._over, server, call, attempt, server.report())

    def _over(self, server: Processor, call: int, attempt: int, report: dict[str, float]) -> None:
        if self.standing.pop((call, attempt), None) is not None:
            self.tell(
                api.AttemptEnded(call, attempt, server.name, Outcome.ENDED, 0, True, False, report)
            )

    def hear_free(self, server: Processor) -> None:
        self.tell(api.ProbeAnswered(server.name, True, 0, server.free()))

    def _ended(self, number: int, attempt: int, host: str, outcome: Outcome, report: dict[str, float],
               no_line: bool) -> None:  # fmt: skip
        call = self.calls.get(number)
        if call is None or call.attempts - 1 != attempt or call.ended:
            return
        call.server = None
        self._told(call, attempt, host, outcome, report, no_line)

    def _told(self, call: Call, attempt: int, host: str, outcome: Outcome, report: dict[str, float],
              no_line: bool) -> None:  # fmt: skip
        took = self.clock.now - self.model.sent_at.pop((self.number, call.number), self.clock.now)
        self.tell(
            api.AttemptEnded(call.number, attempt, host, outcome, took, call.ended, False, report, no_line)
        )

    def _probe(self, name: str) -> None:
        server = self.model.servers.get(name)
        if server is None or server.silent:
            return
        asked = self.clock.now

        def answered() -> None:
            took = self.clock.now - asked
            if took <= PROBE_WAIT:
                self.tell(api.ProbeAnswered(name, True, took, server.report()))

        self.model.out.probes += 1
        self.clock.after(self._way(server), server.probe, answered)

    # Final answers.

    def _overdue(self, call: Call) -> None:
        if not call.ended:
            self._final(call.number, "failed")

    def _final(self, number: int, kind: str, away: int = 0) -> None:
        call = self.calls.pop(number, None)
        if call is None or call.ended:
            return
        call.ended = True
        self.model.ended(self, call, kind, away)
        if call.server is not None and kind != "stands":
            self._give_up(call, Outcome.TIMEOUT)
            self.tell(api.CallerLeft(number))
