"""A queue of releases that are passed on at a limited rate, in turn for each source that they come from.

This file owns the order and the rate. It must never do I/O or read a clock. Times are microseconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Hashable, Iterator

from wickstep.net import Release
from wickstep.net.units import SECOND


class ReleaseQueue:
    """A token bucket over fair queues: sources take turns, and each has its newest release passed on first.

    A source that floods the queue delays its own releases and no other's. The newest come first since peers
    repeat old releases, in the order of the calls' ends: the newest is the least likely to be known already.
    """

    def __init__(self, rate: float, burst: float, max_waiting: int, now: int) -> None:
        """`rate` is in releases a second; `burst` of them may be passed on at once after a pause."""
        self._rate, self._burst, self._max_waiting = rate, burst, max_waiting
        self._tokens, self._refilled_at = burst, now
        self._by_source: OrderedDict[Hashable, deque[Release]] = OrderedDict()  # whose turn is next: first
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Release]:
        """The releases that wait, in no particular order."""
        return (release for releases in self._by_source.values() for release in releases)

    def add(self, source: Hashable, release: Release) -> bool:
        """Queue a release; False if the queue was full, and the oldest of its longest part was dropped."""
        self._by_source.setdefault(source, deque()).append(release)
        self._length += 1
        if self._length <= self._max_waiting:
            return True
        longest = max(self._by_source, key=lambda each: len(self._by_source[each]))
        self._by_source[longest].popleft()
        self._length -= 1
        if not self._by_source[longest]:
            del self._by_source[longest]
        return False

    def take(self, now: int, limit: int) -> list[Release]:
        """Remove and return the releases that may be passed on now, `limit` of them at most."""
        self._refill(now)
        taken: list[Release] = []
        while self._by_source and self._tokens >= 1 and len(taken) < limit:
            source, releases = self._by_source.popitem(last=False)
            taken.append(releases.pop())
            if releases:
                self._by_source[source] = releases
            self._tokens -= 1
            self._length -= 1
        return taken

    def next_due(self, now: int) -> int:
        """When the next release may be passed on."""
        self._refill(now)
        return now + max(math.ceil((1 - self._tokens) / self._rate * SECOND), 0)

    def _refill(self, now: int) -> None:
        self._tokens = min(self._burst, self._tokens + self._rate * (now - self._refilled_at) / SECOND)
        self._refilled_at = now
