"""Sending callers away: which of their connections is closed when, and when a set-up is turned away.

This file owns those times. It must never do I/O or read a clock. A caller's connection with a call that waits
or stands is never closed here: the release of a call that stands is owed to its caller, who does not connect
again to a softswitch that is drained.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickstep.operation.mode import State

MS = 1000  # microseconds, the unit of every time in this file
LOOK_EVERY = 50 * MS  # how often connections are looked at while callers are sent away
FRONT_TOLD = 400 * MS  # the front asks ten times a second, and its callers stop coming 0.2 s after a no
LAST_MOST = 3500 * MS  # 4 s after the call no connection may be held idle
STRANGER = 500 * MS  # one that has not spoken of a call may be about to: it is left alone for so long,
TESTER = 1000 * MS  # and one that asks whether this process is ready for so long after its last question


@dataclass(slots=True, frozen=True)
class Plan:
    """How one state sends callers away; times in microseconds from its beginning. None: never."""

    close_from: int | None  # connections that nothing waits on are closed from then on
    refuse_from: int | None  # and set-ups that still come are turned away: a busy connection comes to rest


PLANS = {
    State.SERVING: Plan(None, None),
    # Nothing younger than 2 s may be held 4 s after the call, whatever keeps coming on a busy connection.
    State.PAUSED: Plan(FRONT_TOLD, 1500 * MS),
    # Callers may come for 0.7 s, on new connections as on open ones, and find nobody else here.
    State.STOPPING: Plan(None, 800 * MS),
    # Whoever connects again finds the successor at once.
    State.HANDING_OVER: Plan(0, 800 * MS),
}


@dataclass(slots=True, frozen=True)
class Connection:
    """What is known of one caller's connection."""

    calls: int  # on it that are not ended: they wait for their final answer, or stand and will be released
    unread: bool  # something has come that was not dealt with
    caller: bool  # a call was spoken of on it
    tester: bool  # it was asked there whether this process is ready
    quiet: int  # microseconds since something was last dealt with
    last: bool = False  # calls stand whose own connections have gone, and this one is left for their releases


def closes(plan: Plan, since: int, connection: Connection) -> bool:
    """Whether to close a connection now, `since` microseconds after the state began."""
    if plan.close_from is None or since < plan.close_from or connection.calls or connection.unread:
        return False
    if connection.last and since < LAST_MOST:
        return False
    if connection.caller:
        return True
    return connection.quiet >= (TESTER if connection.tester else STRANGER)


def refuses(plan: Plan, since: int) -> bool:
    """Whether a set-up that comes now is turned away, with word when to come back."""
    return plan.refuse_from is not None and since > plan.refuse_from
