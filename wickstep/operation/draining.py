"""Draining callers: when each of their connections is closed, and when a set-up is refused.

This file owns those times. It must never do I/O or read a clock. A caller's connection with a call that waits
for its final answer or is established is never closed here: the caller is still owed the release of an
established call, and does not connect again to a softswitch that is drained.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickstep.operation.mode import State

MS = 1000  # microseconds, the unit of every time in this file
SCAN_INTERVAL = 50 * MS  # between two checks of the connections while draining
HEALTH_CHECK_DELAY = 400 * MS  # load balancer: a check each 0.1 s, no new callers 0.2 s after a failure
MAX_RELEASE_WAIT = 3500 * MS  # 4 s after the command, no connection may be held idle
MIN_IDLE_UNUSED = 500 * MS  # a connection without a call so far may be about to carry one
MIN_IDLE_TESTER = 1000 * MS  # the same after the last question whether this process is ready


@dataclass(slots=True, frozen=True)
class DrainPlan:
    """How callers are drained in one state; times in microseconds from its beginning. None: never."""

    close_from: int | None  # connections that nothing waits on are closed from then on
    refuse_from: int | None  # set-ups are refused from then on, so that a busy connection becomes idle


DRAIN_PLANS = {
    State.SERVING: DrainPlan(None, None),
    # 4 s after the command, no set-up that came in the last 2 s may be held, even on a busy connection.
    State.PAUSED: DrainPlan(HEALTH_CHECK_DELAY, 1500 * MS),
    # Callers may come for another 0.7 s, on new and on open connections, and no other process serves them.
    State.STOPPING: DrainPlan(None, 800 * MS),
    # A caller that connects again reaches the successor at once.
    State.HANDING_OVER: DrainPlan(0, 800 * MS),
}


@dataclass(slots=True, frozen=True)
class Connection:
    """What is known of one caller's connection."""

    calls: int  # not ended: they wait for their final answer, or are established and will be released
    has_unread: bool  # data has come that is not processed yet
    carried_calls: bool  # a call was set up or released on it
    sent_tests: bool  # it has asked whether this process is ready
    idle: int  # microseconds since a message on it was last processed
    keeps_releases: bool = False  # kept open for the releases of calls whose own connections are closed


def should_close(plan: DrainPlan, elapsed: int, connection: Connection) -> bool:
    """Whether to close a connection now, `elapsed` microseconds after the state began."""
    if plan.close_from is None or elapsed < plan.close_from or connection.calls or connection.has_unread:
        return False
    if connection.keeps_releases and elapsed < MAX_RELEASE_WAIT:
        return False
    if connection.carried_calls:
        return True
    return connection.idle >= (MIN_IDLE_TESTER if connection.sent_tests else MIN_IDLE_UNUSED)


def should_refuse(plan: DrainPlan, elapsed: int) -> bool:
    """Whether a set-up that comes now is refused; the refusal says when to come back."""
    return plan.refuse_from is not None and elapsed > plan.refuse_from
