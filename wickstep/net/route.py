"""The stage between the loop and the controller: turns messages into its events and carries out its actions.

This file owns the conversion of units and names. It must never decide anything: the controller does. Times
are microseconds, the controller's are nanoseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from wickstep import interface as api
from wickstep.brain import Controller
from wickstep.interface import Outcome
from wickstep.net import (
    Note,
    Release,
)
from wickstep.net.state import Attempt, SharedState, log
from wickstep.net.units import NS_PER_US
from wickstep.settings import REPORT_FIELDS


class RouteStage:
    """Bridge to the controller: turns microseconds and messages into its events, and carries out its actions.

    Events that an action causes at once (a cancelled attempt, a refused connection) are passed on after the
    actions before them are done: the controller is never called again while its actions are carried out.
    """

    def __init__(self, shared: SharedState) -> None:
        config = shared.config
        self.shared = shared
        self.controller = Controller(config.settings, config.seed)
        self.pending_events: deque[api.Event] = deque()
        self.is_handling = False
        # Filled by Softswitch, which owns the stages.
        self.action_handlers: dict[type, Callable[[Any], None]] = {}

    def handle_event(self, event: api.Event) -> None:
        self.pending_events.append(event)
        if self.is_handling:
            return
        self.is_handling = True
        try:
            while self.pending_events:
                for action in self.controller.handle(
                    self.pending_events.popleft(), self.shared.now * NS_PER_US
                ):
                    self.action_handlers[type(action)](action)
        finally:
            self.is_handling = False

    def schedule_wake(self, action: api.Wake) -> None:
        due = -(-action.due // NS_PER_US)
        self.shared.schedule(due, lambda: self.handle_event(api.TimerDue(action.token)))

    def convert_report(self, load_report: Mapping[str, float]) -> dict[str, float]:
        """Rename a load report's fields from the settings' names, used on both wires, to the controller's."""
        return {REPORT_FIELDS[name]: value for name, value in load_report.items() if name in REPORT_FIELDS}

    def report_end(
        self, attempt: Attempt, outcome: Outcome, call_over: bool, release: Release | None = None
    ) -> None:
        self.shared.counters[f"attempts_{outcome.value}"] += 1
        effect = self.shared.config.settings.classes[attempt.call.klass].effect
        if outcome not in api.NEVER_RAN and effect is not api.Effect.SAFE:
            self.shared.unrepeatable_ids.add(attempt.call.call_id)
        delay = self.shared.now - attempt.sent_at
        log.info("%016x #%d %s at %s after %d us, %s", attempt.call.call_id, attempt.index, outcome.value,
                 attempt.server.host, delay, release and (release.note, release.report))  # fmt: skip
        self.handle_event(
            api.AttemptEnded(
                call=attempt.call.controller_id,
                attempt=attempt.index,
                server=attempt.sent_to,
                outcome=outcome,
                delay=delay * NS_PER_US,
                call_over=call_over,
                callee_busy=release is not None and release.note is Note.LINES_BUSY,
                report=self.convert_report(release.report) if release else {},
                no_line=release is not None and release.note is Note.NO_CIRCUIT,
            )
        )
