"""When a further connection is opened to each server that may write releases into a connection that is dead.

This file owns the spacing of those connections and their number at any moment. It must never do I/O or read a
clock. Times are microseconds.
"""

from __future__ import annotations

import heapq
import itertools
import random

from wickstep.net.units import MS, SECOND

# A release has to reach its caller within 8 s of the call's end. A server tells it on the next connection,
# which may take one connect that fails (1 s), a pause and one that comes up late (1 s).
MAX_INTERVAL = 5500 * MS
MIN_INTERVAL = 4 * SECOND  # softswitches that lost their connections together drift apart within this range
# The first one comes earlier for some, so that a fleet does not dial one server at the same time.
MIN_FIRST_DELAY = 2500 * MS
MIN_RETRY_DELAY = 250 * MS  # after a connect that failed; doubled by each further one
MAX_RETRY_DELAY = 4 * SECOND


class AuditSchedule:
    """The servers to be audited, by host, each with the time of its next connection."""

    def __init__(self, rng: random.Random, max_parallel: int) -> None:
        """`max_parallel` connections may be dialled or open at any moment, over all servers."""
        self._random, self._max_parallel = rng, max_parallel
        self._due: dict[str, int] = {}
        self._retry_delay: dict[str, int] = {}
        self._queue: list[tuple[int, int, str]] = []  # entries whose time is not that in `_due` are outdated
        self._order = itertools.count()

    def __contains__(self, host: str) -> bool:
        return host in self._due

    def add(self, host: str, now: int) -> None:
        """A connection to this server may be dead while the server takes it for open."""
        if host not in self._due:
            self._set_due(host, now + self._random.randint(MIN_FIRST_DELAY, MAX_INTERVAL))

    def remove(self, host: str) -> None:
        self._due.pop(host, None)
        self._retry_delay.pop(host, None)

    def told(self, host: str, now: int) -> None:
        """A connection was opened, or nothing is to be told: the next one is due an interval later."""
        if host in self._due:
            self._retry_delay.pop(host, None)
            self._set_due(host, now + self._random.randint(MIN_INTERVAL, MAX_INTERVAL))

    def dial_failed(self, host: str, now: int) -> None:
        if host in self._due:
            delay = self._retry_delay.get(host, MIN_RETRY_DELAY)
            self._retry_delay[host] = min(2 * delay, MAX_RETRY_DELAY)
            self._set_due(host, now + delay)

    def take_due(self, now: int, running: int) -> list[str]:
        """The servers to be connected now, the longest overdue first.

        `running` is the number of connections that are dialled or open. Each server is due again an interval
        later at the latest, whatever becomes of its connection.
        """
        hosts: list[str] = []
        while self._queue and self._queue[0][0] <= now and running + len(hosts) < self._max_parallel:
            due, _, host = heapq.heappop(self._queue)
            if self._due.get(host) == due:
                hosts.append(host)
        for host in hosts:
            self._set_due(host, now + MAX_INTERVAL)
        return hosts

    def next_due(self) -> int | None:
        """The earliest time at which a server is due; None if there is none."""
        while self._queue and self._due.get(self._queue[0][2]) != self._queue[0][0]:
            heapq.heappop(self._queue)
        return self._queue[0][0] if self._queue else None

    def _set_due(self, host: str, due: int) -> None:
        self._due[host] = due
        heapq.heappush(self._queue, (due, next(self._order), host))
