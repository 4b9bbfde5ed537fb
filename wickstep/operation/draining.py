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
HEALTH_CHECK_DELAY = 400 * MS  # the front asks 10 times a second, its callers stop coming 0.2 s after a no
MAX_KEEP_LAST = 3500 * MS  # 4 s after the call no connection may be held idle
MIN_IDLE_UNUSED = 500 * MS  # one that has not spoken of a call may be about to: it is left alone for so long,
MIN_IDLE_TESTER = 1000 * MS  # and one that asks whether this process is ready so long after its last question


@dataclass(slots=True, frozen=True)
class DrainPlan:
    """How one state sends callers away; times in microseconds from its beginning. None: never."""

    close_from: int | None  # connections that nothing waits on are closed from then on
    refuse_from: int | None  # and set-ups that still come are turned away: a busy connection comes to rest


DRAIN_PLANS = {
    State.SERVING: DrainPlan(None, None),
    # Nothing younger than 2 s may be held 4 s after the call, whatever keeps coming on a busy connection.
    State.PAUSED: DrainPlan(HEALTH_CHECK_DELAY, 1500 * MS),
    # Callers may come for 0.7 s, on new connections as on open ones, and find nobody else here.
    State.STOPPING: DrainPlan(None, 800 * MS),
    # Whoever connects again finds the successor at once.
    State.HANDING_OVER: DrainPlan(0, 800 * MS),
}


@dataclass(slots=True, frozen=True)
class Connection:
    """What is known of one caller's connection."""

    calls: int  # on it that are not ended: they wait for their final answer, or stand and will be released
    has_unread: bool  # something has come that was not dealt with
    carried_calls: bool  # a call was spoken of on it
    sent_tests: bool  # it was asked there whether this process is ready
    idle: int  # microseconds since something was last dealt with
    keeps_releases: bool = False  # calls stand whose connections are gone: this is left for their releases


def should_close(plan: DrainPlan, since: int, connection: Connection) -> bool:
    """Whether to close a connection now, `since` microseconds after the state began."""
    if plan.close_from is None or since < plan.close_from or connection.calls or connection.has_unread:
        return False
    if connection.keeps_releases and since < MAX_KEEP_LAST:
        return False
    if connection.carried_calls:
        return True
    return connection.idle >= (MIN_IDLE_TESTER if connection.sent_tests else MIN_IDLE_UNUSED)


def should_refuse(plan: DrainPlan, since: int) -> bool:
    """Whether a set-up that comes now is turned away, with word when to come back."""
    return plan.refuse_from is not None and since > plan.refuse_from
