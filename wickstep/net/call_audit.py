"""The audit of calls that stand at a server which may have written their releases into a dead connection.

A server repeats the releases of calls only on the next connection that is opened. So however a connection
has ended, unless its server closed it in order: what calls stand there is uncertain until the server has
spoken on a connection that was opened later. One that died without a sign stays open for its server, which
goes on writing there: while calls stand, further connections are opened again and again, spaced and bounded.
This file owns which servers are audited. When they are is decided by `audit_schedule`. Times are
microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from wickstep.net.audit_schedule import MIN_INTERVAL, AuditSchedule
from wickstep.net.links import Link
from wickstep.net.state import Server, SharedState, log
from wickstep.net.units import MS, SECOND

# How long the connection of an audit is kept: the server sends its state first, then the releases.
AUDIT_LINK_TIME = SECOND
MIN_SILENCE = 2 * SECOND  # of a replaced connection that counts as dead before it is closed
MIN_LOOK_INTERVAL = 50 * MS  # between two looks at the schedule while all permitted connections are open
DESCRIPTOR_DIVISOR = 16  # audits use the number of descriptors divided by this at most
MIN_PARALLEL = 4


class CallAudit:
    """Decides at which servers calls may have ended untold, and has further connections opened there."""

    open_link: Callable[[Server], None]  # opens a further connection, unless one is dialled already

    def __init__(self, shared: SharedState) -> None:
        self.shared = shared
        max_parallel = max(shared.config.sockets // DESCRIPTOR_DIVISOR, MIN_PARALLEL)
        self.schedule = AuditSchedule(random.Random(shared.config.seed ^ 0xA0D17), max_parallel)
        # By host: when a connection ended whose server knows, and may have written what was not read.
        self._broken_at: dict[str, int] = {}
        self._scheduled_for = 0  # when `run` is called next, if that is still to come

    def suspect(self, host: str) -> None:
        """A connection to this server was replaced or has ended, and the server may not know."""
        self.schedule.add(host, self.shared.now)
        self._schedule_run()

    def link_lost(self, host: str) -> None:
        """A connection to this server has ended, and its server has not shown that it knows."""
        self.shared.hosts_with_lost_links.add(host)
        self.suspect(host)

    def link_broken(self, host: str) -> None:
        """A connection to this server has ended, and not all that was written there may have been read.

        The server learns of it, and repeats that on the next connection alone.
        """
        self._broken_at[host] = self.shared.now
        self.suspect(host)

    def process_ended(self, host: str) -> None:
        """The process of this server has ended, and its connections with it."""
        self.shared.hosts_with_lost_links.discard(host)
        self._broken_at.pop(host, None)
        self.schedule.remove(host)

    def server_spoke(self, server: Server, link: Link) -> None:
        """The server has begun to speak on a connection, where it repeats what has ended before."""
        if self._broken_at.get(server.host, link.opened_at) < link.opened_at:
            del self._broken_at[server.host]
        self.schedule.told(server.host, self.shared.now)

    def dial_failed(self, server: Server) -> None:
        self.schedule.dial_failed(server.host, self.shared.now)
        self._schedule_run()

    def has_untold_calls(self, server: Server) -> bool:
        """Whether calls stand here whose release may go to a connection that is dead.

        It goes to the connection of the call's set-up. Once that one is closed it goes to any that the server
        takes for open, which may be the dead one.
        """
        if self.shared.inherited_calls.count_at(server.host):
            return True
        return any(a.stands and a.link is not server.link for a in server.attempts.values())

    def run(self) -> None:
        """Open the connections that are due."""
        shared = self.shared
        running = sum(server.dials_for_audit + len(server.audit_links) for server in shared.servers.values())
        for host in self.schedule.take_due(shared.now, running):
            server = shared.servers.get(host)
            if server is None or not self._is_suspect(server):
                self.schedule.remove(host)
            elif not self.has_untold_calls(server):
                self._broken_at.pop(host, None)  # calls set up from now on are not concerned
                self.schedule.told(host, shared.now)
            elif self._holds_dead_link(server) and not self._awaits_server(server):
                log.info("%s: opening a further connection to hear which calls have ended", host)
                self.open_link(server)
            else:
                self.schedule.told(host, shared.now)
        self._schedule_run()

    def _is_suspect(self, server: Server) -> bool:
        return self.has_lost_releases(server) or bool(server.replaced_links or server.lingering_links)

    def has_lost_releases(self, server: Server) -> bool:
        """Whether the server may have written releases, or go on writing them, that are not read."""
        return server.host in self.shared.hosts_with_lost_links or server.host in self._broken_at

    def _awaits_server(self, server: Server) -> bool:
        """Whether the server will speak on a connection that is open, if it has a process that goes on."""
        opened_since = self.shared.now - MIN_INTERVAL
        return any(not link.has_spoken and link.opened_at > opened_since for link in server.all_links())

    def _holds_dead_link(self, server: Server) -> bool:
        """Whether the server may take a dead connection for open; a slow server's is still heard."""
        heard_since = self.shared.now - MIN_SILENCE
        return self.has_lost_releases(server) or any(
            link.heard_at < heard_since for link in (*server.replaced_links, *server.lingering_links)
        )

    def _schedule_run(self) -> None:
        due = self.schedule.next_due()
        if due is None:
            return
        due = max(due, self.shared.now + MIN_LOOK_INTERVAL)
        if not self.shared.now < self._scheduled_for <= due:
            self._scheduled_for = due
            self.shared.schedule(due, self.run)
