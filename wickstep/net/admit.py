"""The stage that admits calls: it turns them away while the softswitch is full or drained.

All others go to number analysis, where it is on, and to the controller, whose refusals are answered here.
"""

from __future__ import annotations

from collections.abc import Callable

from wickstep import interface as api
from wickstep.interface import Outcome
from wickstep.net import (
    Reason,
    Release,
)
from wickstep.net.book import BookStage
from wickstep.net.route import RouteStage
from wickstep.net.state import Attempt, Call, SharedState
from wickstep.net.units import MS, NS_PER_US


class AdmitStage:
    """Admission: turns a call away if the softswitch itself is full or drained, else asks the controller."""

    def __init__(self, shared: SharedState, route: RouteStage, book: BookStage) -> None:
        self.shared, self.route, self.book = shared, route, book

    def admit_call(self, call: Call) -> None:
        shared = self.shared
        refusing = self.is_refusing()
        full = (
            len(shared.open_calls) > shared.config.max_open
            or shared.held_bytes > shared.config.max_held_bytes
        )
        if refusing or full:
            # Say when to come back, where callers understand that: an immediate retry would not help them.
            settings = shared.config.settings
            retry_after_ms = settings.max_retry_after // (NS_PER_US * MS) if settings.heeds_retry_after else 0
            refusal = Release(call.call_id, Reason.CONGESTED, stay_away_ms=retry_after_ms)
            self.book.send_final_answer(call, refusal, "turned_away")
        elif self.analyse_number is not None:
            self.analyse_number(call)
        else:
            self.proceed(call)

    def proceed(self, call: Call, candidates: tuple[int, ...] = ()) -> None:
        """Pass a call to the controller, with the candidate servers if its number was analysed."""
        self.route.handle_event(
            api.NewCall(
                call=call.controller_id,
                klass=call.klass,
                max_wait=(call.deadline - self.shared.now) * NS_PER_US,
                first_choice=candidates[0] if candidates else call.set_up.first_choice,
                repeat=call.set_up.repeat,
                candidates=candidates,
                tenant=call.tenant,
                callee=call.set_up.number,
                advised_server=call.set_up.advised_server,
            )
        )

    def reject_number(self, call: Call, reason: Reason) -> None:
        """End a call whose number has no route: nothing was sent, and a retry would change nothing."""
        self._end_call(call, Release(call.call_id, reason), "no_route")

    def refuse_call(self, action: api.Refuse) -> None:
        call = self.shared.calls_by_id.get(action.call)
        if call is not None:
            retry_after_ms = -(-action.retry_after // (NS_PER_US * MS))
            self._end_call(
                call, Release(call.call_id, Reason.CONGESTED, stay_away_ms=retry_after_ms), "refused"
            )

    def fail_call(self, action: api.Fail) -> None:
        call = self.shared.calls_by_id.get(action.call)
        if call is not None:
            self._end_call(call, Release(call.call_id, Reason.FAILED), "failed")

    def _end_call(self, call: Call, message: Release, kind: str) -> None:
        attempt = call.attempt
        self.book.send_final_answer(call, message, kind)
        if attempt is not None and not attempt.stands:
            timed_out = self.shared.now >= attempt.timeout_at
            self.stop_attempt(attempt, Outcome.TIMEOUT if timed_out else Outcome.CANCELLED)

    stop_attempt: Callable[[Attempt, Outcome], None]
    is_refusing: Callable[[], bool]  # whether new calls are turned away: drained, or about to stop
    analyse_number: Callable[[Call], None] | None = None  # number analysis, if it is on
