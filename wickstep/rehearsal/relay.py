"""The relay that every link of a rehearsal passes, at the stand-ins' end of it, and the weather on the links.

This file owns what a link does with bytes: pass them, keep them for later, lose them in one direction or
both, or break. What a stand-in is told of a message comes with the moment at which its bytes arrived here,
since that is when the softswitch had said it; what it answers counts from when it goes out.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from wickstep.rehearsal.loop import Loop

CHUNK = 65536
OUT_MOST = 4 * 1024 * 1024  # bytes that wait for a softswitch which does not read; then its link breaks
LINGER_NONE = struct.pack("ii", 1, 0)


class Way(Enum):
    """What a link does."""

    PASS = "pass"
    KEEP = "keep"  # stalled or delayed: everything comes later, in order
    LOSE = "lose"  # cut off: nothing comes, and nothing says so
    LOSE_IN = "lose in"  # half open: what the softswitch says is lost, what it is told comes
    BREAK = "break"  # reset, and so is each new one


@dataclass(slots=True, frozen=True)
class Weather:
    way: Way = Way.PASS
    delay_s: float = 0.0  # with KEEP: each piece comes so much later; 0: none until the weather changes


FAIR = Weather()


class Sky:
    """The weather on each link, by softswitch and by who is at its other end."""

    def __init__(self) -> None:
        self._weather: dict[tuple[int, str], Weather] = {}
        self.relays: set[Relay] = set()

    def over(self, softswitch: int, peer: str) -> Weather:
        return self._weather.get((softswitch, peer), FAIR)

    def change(self, links: set[tuple[int, str]], weather: Weather) -> None:
        for link in links:
            self._weather[link] = weather
        for relay in [relay for relay in self.relays if relay.key in links]:
            relay.turn(weather)


class Relay:
    """One connection of a softswitch `key[0]` with the stand-in `key[1]`."""

    def __init__(
        self,
        loop: Loop,
        sky: Sky,
        sock: socket.socket,
        key: tuple[int, str],
        heard: Callable[[bytes, float], None],
        ended: Callable[[], None],
    ) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop, self.sky, self.sock, self.key = loop, sky, sock, key
        self._heard, self._ended = heard, ended
        self._kept: deque[tuple[float, bool, bytes]] = deque()  # when, whether inward, what
        self._out = bytearray()
        self._spoilt = False  # it has lost something: no use once the weather is fair
        self.closed = False
        sky.relays.add(self)
        loop.watch(sock, self._read)
        if sky.over(*key).way is Way.BREAK:
            loop.after(0, self.reset)

    def say(self, data: bytes) -> None:
        self._pass(data, inward=False)

    def close(self) -> None:
        """Close from the stand-in's side; `ended` is not called."""
        if not self.closed:
            self.closed = True
            self.sky.relays.discard(self)
            self.loop.forget(self.sock)
            self.sock.close()

    def reset(self) -> None:
        """Break it: both ends are told."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            self.close()
            self._ended()

    def turn(self, weather: Weather) -> None:
        """The weather has changed."""
        if weather.way is Way.BREAK or (weather.way is Way.PASS and self._spoilt):
            return self.reset()
        if weather.way is Way.PASS:
            while self._kept and not self.closed:
                at, inward, data = self._kept.popleft()
                self._deliver(data, inward, at)

    def _pass(self, data: bytes, inward: bool) -> None:
        weather = self.sky.over(*self.key)
        if weather.way is Way.LOSE or (weather.way is Way.LOSE_IN and inward):
            self._spoilt = True
        elif weather.way is Way.KEEP or self._kept:
            self._kept.append((self.loop.at, inward, data))
            if weather.delay_s:
                self.loop.after(weather.delay_s, self._next)
        else:
            self._deliver(data, inward, self.loop.at)

    def _next(self) -> None:
        if self._kept and not self.closed:
            at, inward, data = self._kept.popleft()
            self._deliver(data, inward, at)

    def _deliver(self, data: bytes, inward: bool, at: float) -> None:
        if self.closed:
            return
        if inward:
            self._heard(data, at)
            return
        self._out += data
        if len(self._out) > OUT_MOST:
            return self.reset()
        self._write()

    def _read(self) -> None:
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._pass(data, inward=True)
        elif not self.closed:
            self.close()
            self._ended()

    def _write(self) -> None:
        if self.closed:
            return
        try:
            sent = self.sock.send(self._out)
        except BlockingIOError:
            sent = 0
        except OSError:
            return  # the reader hears of it
        del self._out[:sent]
        self.loop.watch(self.sock, self._read, self._write if self._out else None)


class Door:
    """A listener of a stand-in for one softswitch; each newcomer is handed on as a socket."""

    def __init__(self, loop: Loop, came: Callable[[socket.socket], None]) -> None:
        self.loop, self._came = loop, came
        self.port = 0
        self.sock: socket.socket | None = None
        self.open()

    @property
    def dial(self) -> str:
        return f"127.0.0.1:{self.port}"

    def open(self) -> None:
        """Listen, at the same port as before where there was one."""
        if self.sock is None:
            self.sock = socket.create_server(("127.0.0.1", self.port), backlog=64)
            self.sock.setblocking(False)
            self.port = self.sock.getsockname()[1]
            self.loop.watch(self.sock, self._accept)

    def shut(self) -> None:
        """Refuse whoever comes."""
        if self.sock is not None:
            self.loop.forget(self.sock)
            self.sock.close()
            self.sock = None

    def _accept(self) -> None:
        while self.sock is not None:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self._came(sock)
