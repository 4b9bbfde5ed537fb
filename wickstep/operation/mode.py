"""The states of one process, from its start to its end, and what leads from one to another.

This file owns that table. It must never do I/O or read a clock: who tells of an event has the answer at once,
from any thread, and the loop carries out what the state asks for when it sees it.

    state          PAUSE            RESUME           TERM        RELIEVED        HANGUP
    serving        paused           serving          stopping    handing over    serving, reads again
    paused         paused           serving          stopping    handing over    paused, reads again
    stopping       refused          refused          refused     refused         refused
    handing over   refused          refused          refused     refused         refused

TERM is SIGTERM with nobody else on the callers' address, RELIEVED the same where a successor takes them.
"""

from __future__ import annotations

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class State(Enum):
    SERVING = "serving"
    PAUSED = "paused"  # drained: callers are sent elsewhere, the process stays
    STOPPING = "stopping"  # answers what it has taken, then ends
    HANDING_OVER = "handing over"  # the same, while a successor takes what comes


class Event(Enum):
    PAUSE = "pause"
    RESUME = "resume"
    TERM = "term"
    HAND_OVER = "relieved"
    HANGUP = "hangup"


@dataclass(slots=True, frozen=True)
class Transition:
    """Where an event leads: the state after it, whether it is granted, and what is said about it."""

    state: State
    is_accepted: bool
    text: str


def _same_in_both(event: Event, state: State | None, text: str) -> dict[tuple[State, Event], Transition]:
    """What an event does in both states in which the process stays; None: nothing changes."""
    return {(old, event): Transition(state or old, True, text) for old in (State.SERVING, State.PAUSED)}


def _no_way_back(state: State) -> dict[tuple[State, Event], Transition]:
    return {(state, event): Transition(state, False, state.value) for event in Event}


TRANSITIONS: Mapping[tuple[State, Event], Transition] = {
    (State.SERVING, Event.PAUSE): Transition(State.PAUSED, True, "draining"),
    (State.SERVING, Event.RESUME): Transition(State.SERVING, True, "serving already"),
    (State.PAUSED, Event.PAUSE): Transition(State.PAUSED, True, "drained already"),
    (State.PAUSED, Event.RESUME): Transition(State.SERVING, True, "serving"),
    **_same_in_both(Event.TERM, State.STOPPING, "stopping"),
    **_same_in_both(Event.HAND_OVER, State.HANDING_OVER, "handing over"),
    **_same_in_both(Event.HANGUP, None, "reading the configuration again"),
    **_no_way_back(State.STOPPING),
    **_no_way_back(State.HANDING_OVER),
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
        """An event has come; the step it leads to. Never waits for anybody's work."""
        with self._lock:
            step = TRANSITIONS[self._state, event]
            self._state = step.state
            return step
