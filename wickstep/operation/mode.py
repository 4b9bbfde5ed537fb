"""The state machine of one process, from its start to its end.

This file owns the table of transitions. It must never do I/O or read a clock: an event is answered at once,
on any thread, and the loop does what the new state requires when it next reads the state.

    state          PAUSE            RESUME           TERM        HAND_OVER       HANGUP
    serving        paused           serving          stopping    handing over    serving, reads again
    paused         paused           serving          stopping    handing over    paused, reads again
    stopping       refused          refused          refused     refused         refused
    handing over   refused          refused          refused     refused         refused

TERM is SIGTERM where no other process accepts on the callers' address, HAND_OVER is SIGTERM where a successor
does. "Reads again" means that the configuration is reloaded.
"""

from __future__ import annotations

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class State(Enum):
    SERVING = "serving"
    PAUSED = "paused"  # drained: callers are sent elsewhere, the process keeps running
    STOPPING = "stopping"  # answers the calls that it has taken in, then ends
    HANDING_OVER = "handing over"  # the same, while a successor takes new calls


class Event(Enum):
    PAUSE = "pause"
    RESUME = "resume"
    TERM = "term"
    HAND_OVER = "relieved"
    HANGUP = "hangup"


@dataclass(slots=True, frozen=True)
class Transition:
    """The result of an event: the state after it, whether it is accepted, and the text of the reply."""

    state: State
    is_accepted: bool
    text: str


def _accept_while_running(
    event: Event, state: State | None, text: str
) -> dict[tuple[State, Event], Transition]:
    """The transitions of an event from SERVING and from PAUSED; `state` None: the state does not change."""
    return {(old, event): Transition(state or old, True, text) for old in (State.SERVING, State.PAUSED)}


def _refuse_all_events(state: State) -> dict[tuple[State, Event], Transition]:
    return {(state, event): Transition(state, False, state.value) for event in Event}


TRANSITIONS: Mapping[tuple[State, Event], Transition] = {
    (State.SERVING, Event.PAUSE): Transition(State.PAUSED, True, "draining"),
    (State.SERVING, Event.RESUME): Transition(State.SERVING, True, "serving already"),
    (State.PAUSED, Event.PAUSE): Transition(State.PAUSED, True, "drained already"),
    (State.PAUSED, Event.RESUME): Transition(State.SERVING, True, "serving"),
    **_accept_while_running(Event.TERM, State.STOPPING, "stopping"),
    **_accept_while_running(Event.HAND_OVER, State.HANDING_OVER, "handing over"),
    **_accept_while_running(Event.HANGUP, None, "reading the configuration again"),
    **_refuse_all_events(State.STOPPING),
    **_refuse_all_events(State.HANDING_OVER),
}


class Mode:
    """The state of this process."""

    def __init__(self) -> None:
        self._state = State.SERVING
        self._lock = threading.Lock()  # events come from the operators' thread and from the loop's

    @property
    def state(self) -> State:
        return self._state

    @property
    def is_ending(self) -> bool:
        return self._state in (State.STOPPING, State.HANDING_OVER)

    def handle(self, event: Event) -> Transition:
        """Change the state for an event. Never waits for the work that the new state requires."""
        with self._lock:
            transition = TRANSITIONS[self._state, event]
            self._state = transition.state
            return transition
