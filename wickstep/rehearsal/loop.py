"""One thread for all stand-ins: sockets that are ready, and timers.

This file owns the waiting of a rehearsal. It must never block on one socket, and an error in one stand-in
ends the rehearsal: what is judged by a broken stand-in is judged wrongly.
"""

from __future__ import annotations

import heapq
import itertools
import selectors
import socket
import time
from collections.abc import Callable

Ready = Callable[[], None]


class Loop:
    def __init__(self) -> None:
        self.now = self.began = time.monotonic()
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Ready]] = []
        self._order = itertools.count()

    @property
    def at(self) -> float:
        """Seconds since the beginning."""
        return self.now - self.began

    def after(self, seconds: float, do: Ready) -> None:
        heapq.heappush(self._timers, (self.now + seconds, next(self._order), do))

    def watch(self, sock: socket.socket, on_read: Ready, on_write: Ready | None = None) -> None:
        """Call these when there is something to read, or room to write; again to change them."""
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if on_write else 0)
        if sock in self._selector.get_map():
            self._selector.modify(sock, events, (on_read, on_write))
        else:
            self._selector.register(sock, events, (on_read, on_write))

    def watch_descriptor(self, descriptor: int, on_read: Ready) -> None:
        self._selector.register(descriptor, selectors.EVENT_READ, (on_read, None))

    def forget_descriptor(self, descriptor: int) -> None:
        self._selector.unregister(descriptor)

    def forget(self, sock: socket.socket) -> None:
        if sock in self._selector.get_map():
            self._selector.unregister(sock)

    def run(self, until: Callable[[], bool], most_s: float) -> bool:
        """Turn until that is so, for at most so long; whether it came to be."""
        end = time.monotonic() + most_s
        while True:
            self.now = time.monotonic()
            while self._timers and self._timers[0][0] <= self.now:
                heapq.heappop(self._timers)[2]()
            if until():
                return True
            if self.now >= end:
                return False
            wait = min(self._timers[0][0] if self._timers else end, end) - self.now
            for key, mask in self._selector.select(max(min(wait, 0.05), 0)):
                self.now = time.monotonic()
                on_read, on_write = key.data
                if mask & selectors.EVENT_READ:
                    on_read()
                if mask & selectors.EVENT_WRITE and on_write is not None:
                    on_write()
