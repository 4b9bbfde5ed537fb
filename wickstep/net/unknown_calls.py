"""Releases of calls that this process neither set up nor was told of: those of the process before it.

A softswitch that starts from nothing does not know the calls that stand. Their callers and servers do, and a
call may last for any time: its release is passed on whenever it comes, from either side. This file owns the
limits on that, so that repeated or made-up releases do no harm. It must never pass on to a caller the release
of a call that this process has ended itself.
"""

from __future__ import annotations

from collections import deque

from wickstep.net import Release
from wickstep.net.book import BookStage
from wickstep.net.links import Link
from wickstep.net.release_queue import ReleaseQueue
from wickstep.net.state import Server, SharedState
from wickstep.net.units import MS

# Towards callers. A server may repeat, on a new connection, all releases since its last one.
CALLER_RATE, CALLER_BURST = 500, 2000  # releases a second, and at once
# Towards servers: each release goes to all of them, as none is known to have the call. The rate is that to
# one server from all softswitches together, since callers may release calls that never were.
SERVER_RATE, SERVER_BURST = 50, 2000
MAX_WAITING = 5000  # releases in one queue
MAX_REPEATED = 1000  # releases kept for servers without a connection yet
PACE_INTERVAL = 20 * MS  # between two looks at the queues while releases wait
MAX_BATCH = 100  # releases passed on at one look: the loop has other calls to serve


class UnknownCalls:
    """Passes the releases of unknown calls on, each direction at its own limited rate."""

    def __init__(self, shared: SharedState, book: BookStage) -> None:
        self.shared, self.book = shared, book
        self.to_callers = ReleaseQueue(CALLER_RATE, CALLER_BURST, MAX_WAITING, shared.now)
        server_rate = SERVER_RATE / shared.config.settings.proxies
        self.to_servers = ReleaseQueue(server_rate, SERVER_BURST, MAX_WAITING, shared.now)
        self._sent_to_servers: deque[Release] = deque(maxlen=MAX_REPEATED)
        self._scheduled_for = 0  # when `pass_on` is called next, if that is still to come
        book.on_caller_connected = self.pass_on

    def release_from_server(self, server: Server, release: Release) -> None:
        """A setup server has released a call: one that may still stand at its caller."""
        if not self.to_callers.add(server.host, release):
            self.shared.counters["releases_unknown_dropped"] += 1
        self.pass_on()

    def release_from_caller(self, link: Link, release: Release) -> None:
        """A caller has released a call: one that may still stand at any server."""
        self.book.record_ended_call(release.call)
        self.shared.recorder.call_ended(release.call)
        if not self.to_servers.add(link, release):
            self.shared.counters["hang_ups_unknown_dropped"] += 1
        self.pass_on()

    def on_first_link(self, server: Server, link: Link) -> None:
        """A server is connected for the first time: it has missed the callers' releases until now."""
        if server.started_at <= self.shared.started_at:  # a later one has no call of before
            for release in self._sent_to_servers:
                server.releases.send(release, [link], self.shared.now)

    def pass_on(self) -> None:
        """Pass on what may be passed on now, and come back later for the rest."""
        if self.book.has_open_caller():  # if not, this is called again once there is one
            for release in self.to_callers.take(self.shared.now, MAX_BATCH):
                self._send_to_caller(release)
        for release in self.to_servers.take(self.shared.now, MAX_BATCH):
            self._send_to_servers(release)
        self._schedule_next()

    def _send_to_caller(self, release: Release) -> None:
        if not self.book.is_known(release.call):  # it may have come twice, or its caller has ended it
            self.shared.counters["releases_inherited"] += 1
            self.book.send_release(Release(release.call, release.reason), None)

    def _send_to_servers(self, release: Release) -> None:
        """Send a release to all servers: the one that has the call will recognise its id."""
        self.shared.counters["hang_ups_inherited"] += 1
        release = Release(release.call, release.reason)
        self._sent_to_servers.append(release)
        for server in self.shared.servers.values():
            if server.linked_at:  # the others get it with the rest, once they are connected
                server.release_call(release, self.shared.now)

    def _schedule_next(self) -> None:
        now = self.shared.now
        waiting = [self.to_servers] if self.to_servers else []
        if self.to_callers and self.book.has_open_caller():
            waiting.append(self.to_callers)
        if not waiting:
            return
        due = max(min(queue.next_due(now) for queue in waiting), now + PACE_INTERVAL)
        if not now < self._scheduled_for <= due:
            self._scheduled_for = due
            self.shared.schedule(due, self.pass_on)
