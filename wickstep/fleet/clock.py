"""The virtual clock of a model: runs callbacks in the order of their due times, ties in that of scheduling.

This file owns the time of the model, in whole nanoseconds. It must never read a real clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

SECOND = 1_000_000_000


class Clock:
    def __init__(self) -> None:
        self.now = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    @property
    def now_s(self) -> float:
        return self.now / SECOND

    def after(self, delay: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedules `callback(*args)` to run `delay` nanoseconds from now."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + max(delay, 0), self._sequence, callback, args))

    def run(self, until: int) -> None:
        """Runs all callbacks that are due before `until`, then sets the clock to it."""
        queue = self._queue
        while queue and queue[0][0] < until:
            self.now, _, callback, args = heapq.heappop(queue)
            callback(*args)
        self.now = until
