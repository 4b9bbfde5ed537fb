"""What hooks the operators' part into the loop: it carries out what the state of the process asks for.

This file owns the clock of a state (since when it holds) and the snapshot of the figures that the loop makes.
It must never decide which connection goes (draining does) or which state follows (mode does).
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from wickstep.interface import ServerState
from wickstep.operation import calls, draining, figures
from wickstep.operation.draining import PLANS, Connection
from wickstep.operation.front import Front
from wickstep.operation.mode import State

if TYPE_CHECKING:
    from wickstep.net.softswitch import Floor, TakeIn

log = logging.getLogger(__name__)

SNAPSHOT_EVERY = 200_000  # microseconds; operators may see figures that old


class Operation:
    """The loop's side of it all; everything but `status` and `figures` is called by the loop only."""

    def __init__(self, floor: Floor, take_in: TakeIn) -> None:
        self.floor, self.take_in = floor, take_in
        self.seen = floor.mode.state  # the state that was carried out last,
        self.since = floor.now  # and when
        self.discovered = self.ejected = 0
        desk = calls.Desk(self.status, self.figures, floor.mode.tell)
        self.front = Front(floor.config.operator, desk) if floor.config.operator else None

    def start(self) -> None:
        """Answer operators from now on, where an address is named for them."""
        if self.front is not None:
            self.snapshot()
            self.front.start()

    def stop(self) -> None:
        if self.front is not None:
            self.front.close()

    def turn(self) -> None:
        """Look at the state, once a turn of the loop."""
        state = self.floor.mode.state
        if state is not self.seen:
            log.warning("%s, after %s", state.value, self.seen.value)
            self.seen, self.since = state, self.floor.now
            self.send_away()

    def refuses(self) -> bool:
        """Whether set-ups that come now are turned away, since the process is drained or about to end."""
        return draining.refuses(PLANS[self.seen], self.floor.now - self.since)

    def send_away(self) -> None:
        """Close callers' connections that nothing waits on, again and again while the state asks for it."""
        floor, plan = self.floor, PLANS[self.seen]
        if plan.close_from is None or self.looks_at > floor.now:
            return
        self.looks_at = floor.now + draining.LOOK_EVERY
        floor.at(self.looks_at, self.send_away)
        since = floor.now - self.since
        here = [link for link in floor.callers if not link.leaving]
        standing = {attempt.call.caller for attempt in floor.standing.values()}
        # A call whose own connection has gone is released on another: the last one stays for those.
        last = [link for link in here if link in floor.speakers][-1:] if not standing <= {*here} else []
        for link in here:
            connection = Connection(
                calls=len(link.calls) + (link in standing),
                unread=not link.calls and link.unread(),
                last=link in last,
                caller=link in floor.speakers,
                tester=link.spoke,
                quiet=floor.now - link.heard_at,
            )
            if draining.closes(plan, since, connection):
                floor.counts["callers_sent_away"] += 1
                self.take_in.drop(link)

    looks_at = 0  # when connections are looked at next

    def snapshot(self) -> None:
        """Count what only the loop may look at."""
        floor = self.floor
        floor.at(floor.now + SNAPSHOT_EVERY, self.snapshot)
        listed = [s for s in floor.servers.values() if s.state is not ServerState.GONE]
        self.discovered = len(listed)
        self.ejected = sum(self.avoided(server.host) for server in listed)

    def avoided(self, host: str) -> bool:
        """Whether the controller passes a server over now, for what it did."""
        controller = self.take_in.route.controller
        server = controller.servers.get(host)
        return server is not None and not controller.unmarked(server)

    # Any thread.

    def status(self) -> tuple[bool, str]:
        floor = self.floor
        state = floor.mode.state
        if state is State.SERVING and not floor.list_known:
            return False, "starting: no setup server is known"
        return state is State.SERVING, state.value

    def figures(self) -> str:
        floor = self.floor
        return figures.written(
            floor.tally,
            {
                figures.FORWARDS: floor.counts["set_ups_sent"],
                figures.OUTSTANDING: len(floor.open) + len(floor.standing),
                figures.DISCOVERED: self.discovered,
                figures.EJECTED: self.ejected,
            },
        )
