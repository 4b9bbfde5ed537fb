"""The event loop of a rehearsal: one thread serves the sockets and timers of all stand-ins.

This file owns the timers and the waiting for sockets. It must never block on one socket. An error in a
stand-in ends the rehearsal, since the judge would draw wrong conclusions from a broken stand-in.
"""

from __future__ import annotations

import heapq
import itertools
import selectors
import socket
import time
from collections.abc import Callable

Callback = Callable[[], None]


class Loop:
    def __init__(self) -> None:
        self.now = self.started_at = time.monotonic()
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Callback]] = []
        self._order = itertools.count()

    @property
    def elapsed_s(self) -> float:
        """Seconds since `started_at`, which a rehearsal sets anew when all softswitches are ready."""
        return self.now - self.started_at

    def call_later(self, delay_s: float, callback: Callback) -> None:
        heapq.heappush(self._timers, (self.now + delay_s, next(self._order), callback))

    def register(self, sock: socket.socket, on_read: Callback, on_write: Callback | None = None) -> None:
        """Call these when the socket is readable or writable; a second call replaces the callbacks."""
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if on_write else 0)
        if sock in self._selector.get_map():
            self._selector.modify(sock, events, (on_read, on_write))
        else:
            self._selector.register(sock, events, (on_read, on_write))

    def register_descriptor(self, descriptor: int, on_read: Callback) -> None:
        self._selector.register(descriptor, selectors.EVENT_READ, (on_read, None))

    def unregister_descriptor(self, descriptor: int) -> None:
        self._selector.unregister(descriptor)

    def unregister(self, sock: socket.socket) -> None:
        if sock in self._selector.get_map():
            self._selector.unregister(sock)

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Run until the condition holds or the time is up; returns whether the condition held."""
        end = time.monotonic() + timeout_s
        while True:
            self.now = time.monotonic()
            while self._timers and self._timers[0][0] <= self.now:
                heapq.heappop(self._timers)[2]()
            if condition():
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
