"""Releases of calls that this process neither set up nor was told of: those of the process before it.

A softswitch that starts from nothing does not know the calls that stand. Their callers and servers do, and a
call may last for any time: its release is passed on whenever it comes. This file owns the limits on that, so
that repeated or made-up releases do no harm. It must never pass on the release of a call that this process
has ended itself.
"""

from __future__ import annotations

from wickstep.net import Release
from wickstep.net.book import BookStage
from wickstep.net.release_queue import ReleaseQueue
from wickstep.net.state import Server, SharedState
from wickstep.net.units import MS

# Towards callers. A server may repeat, on a new connection, all releases since its last one.
CALLER_RATE, CALLER_BURST = 500, 2000  # releases a second, and at once
MAX_WAITING = 5000  # releases in one queue
PACE_INTERVAL = 20 * MS  # between two looks at a queue that waits


class UnknownCalls:
    """Passes the releases of unknown calls on, each direction at its own limited rate."""

    def __init__(self, shared: SharedState, book: BookStage) -> None:
        self.shared, self.book = shared, book
        self.to_callers = ReleaseQueue(CALLER_RATE, CALLER_BURST, MAX_WAITING, shared.now)
        self._is_scheduled = False
        book.on_caller_connected = self.pass_on

    def release_from_server(self, server: Server, release: Release) -> None:
        """A setup server has released a call: one that may still stand at its caller."""
        if not self.to_callers.add(server.host, release):
            self.shared.counters["releases_unknown_dropped"] += 1
        self.pass_on()

    def pass_on(self) -> None:
        """Pass on what may be passed on now, and come back later for the rest."""
        shared = self.shared
        if not self.book.has_open_caller():
            return  # called again once a caller is connected
        for release in self.to_callers.take(shared.now):
            if not self.book.is_known(release.call):  # it may have come twice
                shared.counters["releases_inherited"] += 1
                self.book.send_release(Release(release.call, release.reason), None)
        if self.to_callers and not self._is_scheduled:
            self._is_scheduled = True
            due = max(self.to_callers.next_due(shared.now), shared.now + PACE_INTERVAL)
            shared.schedule(due, self._continue)

    def _continue(self) -> None:
        self._is_scheduled = False
        self.pass_on()
