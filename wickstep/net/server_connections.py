"""The life of the connections to setup servers: opened, suspected, replaced and closed.

This file owns which connection to a server is used, and when another one is tried. It must never choose a
server for a call, nor decide how an attempt that ends with its connection goes on: the stage of attempts
does. Times are microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Protocol

from wickstep.interface import Outcome, ServerState
from wickstep.net import links
from wickstep.net.call_audit import AUDIT_LINK_TIME, CallAudit
from wickstep.net.links import DialFailed, Link, LinkEnd
from wickstep.net.probes import Probes
from wickstep.net.state import MIN_REDIAL_DELAY, Server, SharedState
from wickstep.net.units import MS, SECOND
from wickstep.recovery import jitter

SILENCE_TIMEOUT = 2 * SECOND  # a connection that has received nothing for this long is suspected to be dead
# After this much silence the server's machine counts as lost if no new connection comes up.
VANISHED_TIMEOUT = 4 * SECOND
DEAD_AFTER_REFUSALS = 2  # refused connects in a row, after a reset, that show that the process is dead
# A probe is sent if a set-up is in flight for longer than this factor times the server's smoothed delay, and
# for longer than this time.
PROBE_AFTER_FACTOR, MIN_PROBE_AFTER = 1.5, 40 * MS
WATCH_INTERVAL = 20 * MS  # between two checks of the set-ups in flight and their connections
IDLE_WATCH_INTERVAL = 200 * MS  # the same while nothing is in flight
MAX_REDIAL_DELAY = 2 * SECOND  # of the exponential backoff between connects to one server
MAX_LINKS = 4  # connections to one server, the replaced ones included
# A replaced connection is still read for this long once its server has spoken on a later one: it may write to
# it until it notices the end.
LINGER_TIME = 2 * SECOND


class Attempts(Protocol):
    """What happens to the attempts at a server when a connection opens or ends."""

    def send_waiting(self, server: Server) -> None: ...
    def send_held(self, server: Server) -> None: ...
    def fail_waiting(self, server: Server) -> None: ...
    def send_awaiting(self, server: Server) -> None: ...
    def end_release_waits(self, server: Server) -> None: ...
    def end_attempts_on(
        self, link: Link, server: Server, outcome: Outcome, may_stand: bool, is_reachable: bool
    ) -> None: ...
    def release_standing_calls(self, server: Server) -> None: ...
    def cut_calls(self, server: Server, cutoff: int, cause: str, process_ended: bool) -> None: ...


class ServerConnections:
    """Opens, watches, replaces and closes the connections to all setup servers."""

    attempts: Attempts
    on_first_link: Callable[[Server, Link], None]  # called when a server is connected for the first time

    def __init__(self, shared: SharedState, probes: Probes, audit: CallAudit) -> None:
        self.shared, self.probes, self.audit = shared, probes, audit
        audit.open_link = self.connect_for_audit
        self.reader = links.Reader()
        self.next_watch_at = 0
        self.random = random.Random(shared.config.seed ^ 0xD1A1)

    def connect(self, server: Server, additional: bool = False) -> None:
        """Open a connection to a server that has none or, if `additional`, one that replaces it."""
        if server.link is None or (additional and self._may_open_another(server)):
            server.dials_for_audit = False  # an audit's connection that is being dialled serves as well
            self._dial(server)

    def connect_for_audit(self, server: Server) -> None:
        """Open a further connection, which replaces none: there the server tells which calls have ended."""
        if not self._may_open_another(server):
            return
        if server.link is not None and not server.dialing:
            server.dials_for_audit = True
            self.shared.counters["audit_dials"] += 1
        self._dial(server)

    def _may_open_another(self, server: Server) -> bool:
        """Whether a further connection would tell anything about a server that may hang.

        A process that hangs accepts nothing: connections wait for it, and once it goes on it repeats releases
        on the first of them. Where all that are permitted wait, only the newest is exchanged, now and then,
        in case that each of them is dead.
        """
        open_links = server.all_links()
        if len(open_links) < MAX_LINKS or any(map(server.has_spoken_since, open_links)):
            return True
        return self.shared.now - max(link.opened_at for link in open_links) >= SILENCE_TIMEOUT

    def _dial(self, server: Server) -> None:
        if not server.dialing and server.state is not ServerState.GONE:
            server.dialing = True
            self._make_room(server)
            self.shared.counters["dials"] += 1
            links.dial(
                server.address, self.shared.config.dial_timeout, self.shared.inbox, server, self.reader
            )

    def connect_after_jitter(self, server: Server) -> None:
        """Connect after a random delay, as all softswitches learn of a server at once; no call waits."""
        if server.link is None and not server.dialing and not server.redial_pending:
            server.redial_pending = True
            self.shared.schedule(
                self.shared.now + jitter.draw_dial_delay_us(self.random),
                partial(self._connect_scheduled, server),
            )

    def _connect_scheduled(self, server: Server) -> None:
        server.redial_pending = False
        self.connect(server)

    def on_link_opened(self, link: Link, server: Server) -> None:
        is_audit = server.dials_for_audit and server.link is not None
        server.dialing = server.dials_for_audit = False
        if server.state is ServerState.GONE:
            return link.close()
        link.heard_at = self.shared.now
        link.opened_at = max([self.shared.now, *(other.opened_at + 1 for other in server.all_links())])
        if is_audit:
            server.audit_links.append(link)
            self.shared.counters["audit_links"] += 1
            return
        if server.link is not None:
            server.replaced_links.append(server.link)
            self.shared.counters["links_replaced"] += 1
        if server.replaced_links:
            self.audit.suspect(server.host)
        server.releases.link_opened(link, self.shared.now)
        if not server.linked_at:
            self.on_first_link(server, link)
        server.link, server.linked_at, server.link_lost, server.refusals = link, self.shared.now, False, 0
        self.attempts.send_waiting(server)
        self.retire_replaced_links(server)
        if server.replaced_links and self.shared.config.settings.may_probe:
            # An answer shows that the server is well and only the old connection is dead.
            self.probes.probe(server, link)

    def on_first_message(self, link: Link, server: Server) -> None:
        """The server has accepted a connection, and all that were opened before it: those can be closed."""
        server.spoken_link_opened_at = max(server.spoken_link_opened_at, link.opened_at)
        self.audit.server_spoke(server, link)
        for lingering_link in server.lingering_links:
            self._close_if_passed(server, lingering_link)
        for audit_link in server.audit_links:
            if audit_link is link:
                self._close_audit_link(link, self.shared.now + AUDIT_LINK_TIME)
            elif not audit_link.has_spoken and server.has_spoken_since(audit_link):
                self._close_audit_link(audit_link, self.shared.now)

    def _close_audit_link(self, link: Link, closes_at: int) -> None:
        """Listen on a further connection until then. No set-up was sent there, and none is lost with it."""
        self.shared.schedule(closes_at, partial(link.finish, keep_reading=True))
        self.shared.schedule(closes_at + LINGER_TIME, link.close)

    def _make_room(self, server: Server) -> None:
        """Close connections until one more is permitted."""
        while len(server.all_links()) >= MAX_LINKS:
            link = self._choose_surplus_link(server)
            server.forget_other_link(link)
            link.close()  # its attempts end when the end of the connection is received
            self.audit.link_lost(server.host)

    def _choose_surplus_link(self, server: Server) -> Link:
        """Which connection to close: the oldest that the server has gone past, else the newest that waits.

        A server that hangs will write to the connections of its calls, and to the first that waits for it.
        """
        candidates = [*server.lingering_links, *server.audit_links, *server.replaced_links]
        for link in candidates:
            if server.has_spoken_since(link):
                return link
        unspoken = [link for link in candidates if not link.has_spoken]
        return max(unspoken, key=lambda link: link.opened_at) if unspoken else candidates[0]

    def retire_replaced_links(self, server: Server) -> None:
        """Close replaced connections with nothing in flight."""
        links_in_use = {a.link for a in server.attempts.values() if not a.stands}
        for link in [*server.replaced_links]:
            if link not in links_in_use:
                server.replaced_links.remove(link)
                link.finish(keep_reading=True)
                self.linger(server, link)

    def linger(self, server: Server, link: Link) -> None:
        """Read a connection closed for writing for a while: releases of its calls may be on the way.

        The server sends them there until it notices the end, and only then on another connection. Before it
        has spoken on a later one it may hang, and will write there once it goes on.
        """
        server.lingering_links.append(link)
        self._close_if_passed(server, link)

    def _close_if_passed(self, server: Server, link: Link) -> None:
        """Close a lingering connection after a while if its server has accepted a later one."""
        if server.has_spoken_since(link):
            self.shared.schedule(self.shared.now + LINGER_TIME, link.close)

    def on_dial_failed(self, failure: DialFailed) -> None:
        server: Server = failure.owner
        server.dialing = server.dials_for_audit = False
        self.audit.dial_failed(server)
        self.shared.counters["dials_refused" if failure.refused else "dials_failed"] += 1
        self.attempts.fail_waiting(server)
        if server.link is not None:
            # A draining server refuses every additional connection: wait before the next one is tried.
            server.additional_dial_after = self.shared.now + MIN_REDIAL_DELAY
            # An additional connection failed. If it was refused, the machine is alive, and the open
            # connection shows that the process is too: a draining server takes no new connections and serves
            # its old ones.
            if not failure.refused and self.shared.now - server.link.heard_at > VANISHED_TIMEOUT:
                # Long silence, and no new connection comes up: the machine is lost, with the calls that stood
                # there. The bulletin may report it only once it is back, which is too late for the callers.
                self._drop_silent_machine(server)
            return
        self.attempts.end_release_waits(server)
        server.refusals += failure.refused and server.link_lost
        if server.refusals == DEAD_AFTER_REFUSALS:
            # No process listens after the reset: it has died, and its calls with it. The bulletin reports
            # that only seconds later. One refusal is not enough: the last messages may still be on the way.
            self.attempts.cut_calls(
                server, self.shared.now, "reset, and refuses connections", process_ended=True
            )
        self.schedule_redial(server)

    def schedule_redial(self, server: Server) -> None:
        """Connect again later; one timer for each server, however many set-ups asked for a connection."""
        if server.redial_pending:
            return
        server.redial_pending = True
        self.shared.schedule(self.shared.now + server.redial_after, partial(self._connect_scheduled, server))
        server.redial_after = min(2 * server.redial_after, MAX_REDIAL_DELAY)

    def on_link_closed(self, link: Link, server: Server, end: LinkEnd) -> None:
        """End the attempts in flight on a closed connection; calls that stand do not depend on it."""
        if server.link is link:
            server.link, server.link_lost = None, True
        server.forget_other_link(link)
        if link.process_ended:
            end = LinkEnd.PROCESS_ENDED
        if end is LinkEnd.UNNOTICED:
            self.audit.link_lost(server.host)
        elif end.may_have_lost_input:
            self.audit.link_broken(server.host)
        was_read = end is LinkEnd.CLOSED and link.is_half_closed
        server.releases.link_ended(link, was_read, server.link, self.shared.now)
        may_stand, is_reachable = end.may_have_lost_input, end is not LinkEnd.UNNOTICED
        self.attempts.end_attempts_on(link, server, Outcome.RESET, may_stand, is_reachable)
        if server.link is not None:
            return self.attempts.send_held(server)  # it was replaced: the backoff must not grow
        if self.shared.now - server.linked_at < SECOND:
            # A server that accepts and closes must not be dialled in a tight loop.
            return self.schedule_redial(server)
        server.redial_after = MIN_REDIAL_DELAY
        self.connect(server)

    def watch(self) -> None:
        """Check what is in flight: answers get lost, and connections die while their servers are well."""
        now = self.shared.now
        if now < self.next_watch_at:
            return  # an earlier check was scheduled since, and is done
        idle = True
        for server in [*self.shared.servers.values()]:
            # By connection: when its oldest set-up in flight was sent.
            oldest_sent: dict[Link | None, int] = {}
            for attempt in server.attempts.values():
                if not attempt.stands and attempt.awaits is None:
                    link = attempt.link or server.link  # an attempt that is held waits for a word on this one
                    oldest_sent[link] = min(oldest_sent.get(link, now), attempt.sent_at)
            idle = idle and not oldest_sent and not server.replaced_links
            for link in [*server.replaced_links]:
                self.check_replaced_link(server, link, now - max(link.heard_at, oldest_sent.get(link, now)))
            if server.link is not None and self._is_watched(server):
                self.check_current_link(server, server.link, oldest_sent.get(server.link, now))
        self.schedule_watch(now + (IDLE_WATCH_INTERVAL if idle else WATCH_INTERVAL))

    def _is_watched(self, server: Server) -> bool:
        """Whether a dead connection to this server would cost anything."""
        return bool(server.attempts or server.releases or self.shared.inherited_calls.count_at(server.host))

    def watch_soon(self) -> None:
        """A set-up is in flight: check its connection soon."""
        self.schedule_watch(self.shared.now + WATCH_INTERVAL)

    def suspect_if_silent(self, server: Server, link: Link, sent_at: int) -> None:
        """Try another connection if nothing was received on this one since before a failed set-up was sent.

        A machine that was cut off may be back while its old connections stay silent for ever.
        """
        is_silent = link.heard_at < min(sent_at, self.shared.now - SILENCE_TIMEOUT)
        if is_silent and link is server.link:
            self.connect(server, additional=True)

    def schedule_watch(self, due: int) -> None:
        """Schedule the next check, at the latest for this time."""
        if not self.shared.now < self.next_watch_at <= due:
            self.next_watch_at = due
            self.shared.schedule(due, self.watch)

    def check_current_link(self, server: Server, link: Link, oldest_sent: int) -> None:
        """Probe a server where a set-up has been in flight for long; without any reply, try a new connection.

        The answer to the probe shows the controller what is lost. Without it the controller would learn of
        that from the next set-up that stands there, and a softswitch with few calls has none for half an aim.
        A dead connection loses the probe too, and an additional connection then shows whether the server is
        alive. Without probes that one is tried after half the shortest time in which a call is wanted.
        """
        now = self.shared.now
        silence = now - max(link.heard_at, oldest_sent)
        probe_after = max(int(PROBE_AFTER_FACTOR * server.smoothed_delay), MIN_PROBE_AFTER)
        if self.shared.config.settings.may_probe and now - max(oldest_sent, link.probed_at) > probe_after:
            self.probes.probe(server, link)
        probe_unanswered = link.probed_at > link.heard_at and now - link.probed_at > max(
            server.smoothed_delay, MIN_PROBE_AFTER
        )
        is_silent = silence > self.shared.min_aim // 2 or now - link.heard_at > SILENCE_TIMEOUT
        is_dead = is_silent or (probe_unanswered and silence > probe_after)
        # Of a connection that is dead in one direction alone.
        is_dead = is_dead or server.releases.is_overdue(link, now)
        # A server that confirms no release: on another connection its messages are told apart.
        is_dead = is_dead or any(now - held.sent_at > self.shared.min_aim // 2 for held in server.held)
        if is_dead and now >= server.additional_dial_after:
            self.connect(server, additional=True)

    def check_replaced_link(self, server: Server, link: Link, silence: int) -> None:
        """Close a replaced connection once its successor shows that it is dead.

        A processor works in order: an answer on the successor to something sent later means that only this
        connection is at fault. It ends as reset, since a time-out would mark a server that is well and may be
        the only one. If the successor has received anything at all, and the whole time in which a call is
        wanted has passed, what is in flight here has timed out.
        """
        if server.link is None:
            return
        overtaken = link.heard_at < link.probed_at <= server.linked_at - MIN_PROBE_AFTER
        if server.link.has_answered and (overtaken or silence > self.shared.min_aim // 2):
            self.break_off(server, link, Outcome.RESET)
        elif server.link.has_spoken and silence > self.shared.min_aim:
            self.break_off(server, link, Outcome.TIMEOUT)

    def break_off(self, server: Server, link: Link, outcome: Outcome) -> None:
        """Close a connection that will bring no more answers."""
        self.shared.counters["links_dumb"] += 1
        if link in server.replaced_links:
            server.replaced_links.remove(link)
        link.close(keep_reading=True)
        self.linger(server, link)
        is_reachable = outcome is Outcome.RESET  # by its successor
        self.attempts.end_attempts_on(link, server, outcome, True, is_reachable)

    def drop_process(self, server: Server, cutoff: int, cause: str) -> None:
        """End the connections and calls of a server process that served until `cutoff` and is gone."""
        server.releases.clear()
        if server.state is ServerState.GONE:
            self.attempts.release_standing_calls(server)
        for link in self._links_before(server, cutoff):
            link.process_ended = True
        self._drop_links(server, cutoff)
        self.attempts.send_held(server)
        self.attempts.send_awaiting(server)
        self.audit.process_ended(server.host)
        if server.state is ServerState.GONE:
            self.attempts.fail_waiting(server)
        self.attempts.cut_calls(server, cutoff, cause, process_ended=True)

    def _drop_silent_machine(self, server: Server) -> None:
        """End the connections and calls of a machine that was cut off: its process may be well."""
        self.shared.counters["servers_vanished"] += 1
        self._drop_links(server, self.shared.now)
        cause = "silent, and a new connection failed"
        self.attempts.cut_calls(server, self.shared.now, cause, process_ended=False)

    def _drop_links(self, server: Server, cutoff: int) -> None:
        """Close the connections to a process that served until `cutoff`.

        They go before its calls: what the controller sends to the successor when it hears of a cut call must
        not be sent on one of them.
        """
        for link in self._links_before(server, cutoff):
            if link not in server.lingering_links:
                link.close()
                self.on_link_closed(link, server, LinkEnd.UNNOTICED)

    def finish(self) -> list[Link]:
        """End all connections from this side, at the end of the process; they are still read."""
        open_links = [link for server in self.shared.servers.values() for link in server.all_links()]
        for link in open_links:
            link.finish(keep_reading=True)
        return open_links

    def note_lost_links(self) -> None:
        """Note the servers that have not ended their connections since `finish`, or lost one before."""
        for server in self.shared.servers.values():
            has_open_link = any(link.end is LinkEnd.UNNOTICED for link in server.all_links())
            if has_open_link or self.audit.has_lost_releases(server):
                self.audit.link_lost(server.host)

    def _links_before(self, server: Server, cutoff: int) -> list[Link]:
        """The connections to the process that served until `cutoff`."""
        stale_links = server.other_links()
        # A connection opened after the new process's start leads to that process already.
        if server.link and (server.state is ServerState.GONE or server.linked_at <= cutoff):
            stale_links.append(server.link)
        return stale_links
