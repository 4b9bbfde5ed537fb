"""What hooks the operators' part into the loop: it carries out what the state of the process asks for.

This file owns the clock of a state (since when it holds) and the snapshot of the figures that the loop makes.
It must never decide which connection goes (draining does) or which state follows (mode does).
"""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from wickstep.interface import ServerState
from wickstep.net import Release
from wickstep.operation import bequest, calls, draining, figures
from wickstep.operation.beside import Beside, Departed, folder_of
from wickstep.operation.draining import PLANS, Connection
from wickstep.operation.front import Front
from wickstep.operation.mode import Event, State
from wickstep.recovery import learned

if TYPE_CHECKING:
    from wickstep.net.softswitch import Floor, TakeIn
    from wickstep.recovery.journal import Journal
    from wickstep.recovery.plan import Plan
    from wickstep.recovery.store import Store

log = logging.getLogger(__name__)

SNAPSHOT_EVERY = 200_000  # microseconds; operators may see figures that old
KEEP_EVERY = 1_000_000  # what is learned is written so often, where a successor may come
FRESH = 10_000_000_000  # nanoseconds; a predecessor that has written nothing for longer is none any more


class Operation:
    """The loop's side of it all; everything but `status` and `figures` is called by the loop only."""

    def __init__(self, floor: Floor, take_in: TakeIn, store: Store | None = None) -> None:
        self.floor, self.take_in, self.store = floor, take_in, store
        self.seen = floor.mode.state  # the state that was carried out last,
        self.since = floor.now  # and when
        self.looks_at = 0  # when connections are looked at next
        self.discovered = self.ejected = 0
        desk = calls.Desk(self.status, self.figures, floor.mode.tell)
        self.front = Front(floor.config.operator, desk) if floor.config.operator else None
        # A successor can come beside this process only where somebody else holds the callers' socket.
        folder = folder_of(floor.config.name) if floor.config.inherited is not None else None
        self.beside = Beside(folder, floor.inbox.put) if folder is not None else None
        self.sharing = 1  # processes of this softswitch that are there
        self.undivided = floor.config.settings
        self.journal: Journal | None = None

    def start(self) -> None:
        """Before the first caller: take over what an earlier process knows, and answer operators."""
        if self.store is not None:
            self.store.adopt(self.take_in.route.controller, self.born_ms(), self.floor.now * 1000)
            self.store.start()
            self.floor.at(self.floor.now + self.store.every_us, self.save)
            self.keep_calls(self.store.plan)
        if self.beside is not None and self.beside.join():
            self.adopt(self.beside.learned())
            self.divide()
            self.keep()
            self.beside.start()
        else:
            self.beside = None
        if self.front is not None:
            self.snapshot()
            self.front.start()

    def stop(self) -> None:
        """At the end: leave to a successor what stands here, and what its callers could not be told."""
        if self.store is not None:
            self.save()
            self.store.finish()
        if self.journal is not None:
            self.journal.close()
        if self.front is not None:
            self.front.close()
        if self.beside is not None:
            book, standing = self.take_in.book, self.floor.standing
            releases = [(release.call, release.reason) for _, release in book.unsent]
            calls_here = {call: attempt.server.host for call, attempt in standing.items()}
            self.beside.depart(bequest.written(calls_here, releases))

    def keep_calls(self, plan: Plan) -> None:
        """Keep a journal of calls where the operator's file wants one, and settle what the last life left."""
        if plan.calls is None:
            return
        from wickstep.recovery.journal import Journal
        from wickstep.recovery.returning import Returning

        floor, calls = self.floor, plan.calls
        folder, zero = Path(plan.folder), floor.unix_at_zero
        self.journal = Journal(folder, floor.config.name, calls.bytes_most, calls.sync, zero)
        confirm_us = int(calls.confirm_s * 1_000_000)
        Returning(floor, self.take_in, self.journal, calls.pace, confirm_us, floor.config.seed).begin()
        floor.notes = self.journal

    def end_event(self) -> Event:
        """What SIGTERM means now."""
        return Event.RELIEVED if self.beside is not None and self.beside.successor() else Event.TERM

    def turn(self) -> None:
        """Look at the state, and at who else is there, once a turn of the loop."""
        if self.beside is not None:
            if self.sharing != 1 + len(self.beside.others):
                self.divide()
            if self.floor.list_known:
                self.beside.ready()
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

    def divide(self) -> None:
        """Several processes of one softswitch have one softswitch's part between them.

        The controller's budgets for cold servers, trials and probes are a part of all softswitches' sum: each
        process counts itself as one of so many more. Callers' connections are divided likewise.
        """
        floor = self.floor
        before, self.sharing = self.sharing, 1 + len(self.beside.others if self.beside is not None else ())
        divided = replace(self.undivided, proxies=self.undivided.proxies * self.sharing)
        self.take_in.route.controller.settings = divided
        floor.callers_most = floor.config.max_callers // self.sharing
        log.warning("%d processes share this softswitch's part", self.sharing)
        if self.sharing < before:
            # What setup servers have said of calls on the last connections of who has gone, they say again on
            # the next that is opened.
            for server in floor.servers.values():
                self.take_in.send.connect(server, beside=True)

    def born_ms(self) -> dict[str, int]:
        """The starts of the servers as the list tells them: each process has a zero of its own."""
        return {server.host: self.floor.born_ms(server) for server in self.floor.servers.values()}

    def keep(self) -> None:
        """Hand what the controller has learned to the thread that writes it."""
        if self.beside is not None:
            floor = self.floor
            floor.at(floor.now + KEEP_EVERY, self.keep)
            controller = self.take_in.route.controller
            now = floor.now * 1000
            self.beside.keep(learned.written(learned.kept(controller, self.born_ms(), now, now)))

    def save(self) -> None:
        """Hand it to the thread that writes it into the operator's folder."""
        if self.store is not None:
            floor = self.floor
            floor.at(floor.now + self.store.every_us, self.save)
            self.store.keep(self.take_in.route.controller, self.born_ms(), floor.now * 1000)

    def adopt(self, content: object) -> None:
        """Use what a process that is there, or was a moment ago, has learned; nonsense is passed over."""
        if content is None:
            return
        now = time.monotonic_ns()  # the clock of both
        try:
            found = learned.read(content)
            if now - found.at > FRESH:
                raise learned.Unusable(f"{(now - found.at) / 1e9:.0f} s old")
            controller = self.take_in.route.controller
            given = learned.adopt(controller, found, self.born_ms(), self.floor.now * 1000, now)
        except learned.Unusable as trouble:
            log.warning("what was learned before is not used: %s", trouble)
        else:
            log.warning("starting with what was learned of %d servers", given)

    def departed(self, left: Departed) -> None:
        """An earlier process has ended: its calls stand on, and their releases come here."""
        try:
            standing, releases = bequest.read(left.content)
        except bequest.Unusable as trouble:
            log.warning("what another process has left is not used: %s", trouble)
            return
        log.warning("an earlier process has left %d calls and %d releases", len(standing), len(releases))
        self.floor.bequest.add(standing, self.floor.now)
        for call, reason in releases:
            self.take_in.book.released(Release(call, reason), None)

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
        values = {
            figures.FORWARDS: floor.counts["set_ups_sent"],
            figures.OUTSTANDING: len(floor.open) + len(floor.standing),
            figures.DISCOVERED: self.discovered,
            figures.EJECTED: self.ejected,
        }
        if floor.notes.kept is not None:
            values[figures.JOURNAL] = int(floor.notes.kept)
        return figures.written(floor.tally, values)
