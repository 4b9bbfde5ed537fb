"""The proxy that every link between a softswitch and a stand-in passes, and the fault on each link.

This file owns what a link does with bytes: forward them, delay them, drop them in one direction or both, or
reset the connection. A stand-in gets received bytes with the moment at which they arrived here, since that is
when the softswitch had sent them; what a stand-in sends counts from when the proxy sends it on.
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

READ_BYTES = 65536
MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024  # for a softswitch that does not read; beyond it the link is reset
LINGER_NONE = struct.pack("ii", 1, 0)


class LinkMode(Enum):
    """What a link does with bytes."""

    FORWARD = "pass"
    DELAY = "keep"  # stalled or delayed: everything arrives later, in order
    DROP = "lose"  # partition: nothing arrives, and neither end is notified
    DROP_INBOUND = "lose in"  # half-open: what the softswitch sends is lost, what is sent to it arrives
    RESET = "break"  # each connection is reset, new ones too


@dataclass(slots=True, frozen=True)
class LinkCondition:
    mode: LinkMode = LinkMode.FORWARD
    delay_s: float = 0.0  # with DELAY: for each piece; 0: nothing is delivered until the condition changes


NO_FAULT = LinkCondition()


class Network:
    """The condition of each link, by softswitch and name of the peer at its other end."""

    def __init__(self) -> None:
        self._conditions: dict[tuple[int, str], LinkCondition] = {}
        self.connections: set[ProxyConnection] = set()

    def condition_of(self, softswitch: int, peer: str) -> LinkCondition:
        return self._conditions.get((softswitch, peer), NO_FAULT)

    def set_condition(self, links: set[tuple[int, str]], condition: LinkCondition) -> None:
        for link in links:
            self._conditions[link] = condition
        for connection in [connection for connection in self.connections if connection.key in links]:
            connection.on_condition(condition)


class ProxyConnection:
    """One connection of softswitch `key[0]` with the stand-in named `key[1]`."""

    def __init__(
        self,
        loop: Loop,
        network: Network,
        sock: socket.socket,
        key: tuple[int, str],
        on_data: Callable[[bytes, float], None],
        on_end: Callable[[], None],
    ) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop, self.network, self.sock, self.key = loop, network, sock, key
        self._on_data, self._on_end = on_data, on_end
        # Arrival, whether inbound, bytes; none inbound: the softswitch has ended the connection.
        self._delayed: deque[tuple[float, bool, bytes]] = deque()
        self._has_ended = False  # the stand-in knows of that end
        self._send_buffer = bytearray()
        self._has_dropped = False  # bytes are missing: the connection is reset once the fault ends
        self.is_silent = False
        self.closed = False
        network.connections.add(self)
        loop.register(sock, self._on_readable)
        if network.condition_of(*key).mode is LinkMode.RESET:
            loop.call_later(0, self.reset)

    def send(self, data: bytes) -> None:
        self._forward(data, inbound=False)

    def close(self) -> None:
        """Close from the stand-in's side; `on_end` is not called."""
        if not self.closed:
            self.closed = True
            self.network.connections.discard(self)
            self.loop.unregister(self.sock)
            self.sock.close()

    def reset(self) -> None:
        """Reset the connection: the softswitch gets a TCP reset, the stand-in its `on_end`."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            self.close()
            self._on_end()

    def silence(self) -> None:
        """Let nothing more pass on this connection, for good, nor its end: both ends take it for open."""
        self.is_silent = True

    def on_condition(self, condition: LinkCondition) -> None:
        """Apply the new condition of the link to this connection."""
        if condition.mode is LinkMode.RESET or (condition.mode is LinkMode.FORWARD and self._has_dropped):
            return self.reset()
        if condition.mode is LinkMode.FORWARD:
            while self._delayed and not self.closed:
                self._deliver_next()

    def _forward(self, data: bytes, inbound: bool) -> None:
        if self.is_silent:
            return
        condition = self.network.condition_of(*self.key)
        if condition.mode is LinkMode.DROP or (condition.mode is LinkMode.DROP_INBOUND and inbound):
            self._has_dropped = True
        elif condition.mode is LinkMode.DELAY or self._delayed:
            self._delayed.append((self.loop.elapsed_s, inbound, data))
            if condition.delay_s:
                self.loop.call_later(condition.delay_s, self._deliver_next)
        else:
            self._deliver(data, inbound, self.loop.elapsed_s)

    def _deliver_next(self) -> None:
        if self._delayed and not self.closed:
            at, inbound, data = self._delayed.popleft()
            self._deliver(data, inbound, at)
            if self._has_ended and not self._delayed:
                self.close()

    def _end(self) -> None:
        """The softswitch has ended the connection; what is on its way to it still arrives."""
        if not self._delayed:
            self.close()
        self._has_ended = True
        self._on_end()

    def _deliver(self, data: bytes, inbound: bool, at: float) -> None:
        if self.closed:
            return
        if inbound:
            return self._on_data(data, at) if data else self._end()
        self._send_buffer += data
        if len(self._send_buffer) > MAX_SEND_BUFFER_BYTES:
            return self.reset()
        self._on_writable()

    def _on_readable(self) -> None:
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._forward(data, inbound=True)
        elif self.is_silent:
            self.loop.unregister(self.sock)  # the stand-in is not told, and goes on writing
        elif self._delayed:
            self.loop.unregister(self.sock)
            self._forward(b"", inbound=True)  # the end arrives after what is on its way, and as late
        elif not self.closed:
            self._end()

    def _on_writable(self) -> None:
        if self.closed:
            return
        try:
            sent = self.sock.send(self._send_buffer)
        except BlockingIOError:
            sent = 0
        except OSError:
            return  # the next read reports the error
        del self._send_buffer[:sent]
        if not self._has_ended:
            self.loop.register(self.sock, self._on_readable, self._on_writable if self._send_buffer else None)


class Listener:
    """A stand-in's listening socket for one softswitch; accepted sockets go to `on_connection`."""

    def __init__(self, loop: Loop, on_connection: Callable[[socket.socket], None]) -> None:
        self.loop, self._on_connection = loop, on_connection
        self.port = 0
        self.sock: socket.socket | None = None
        self.open()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def open(self) -> None:
        """Listen; on the same port as before if it has listened before."""
        if self.sock is None:
            self.sock = socket.create_server(("127.0.0.1", self.port), backlog=64)
            self.sock.setblocking(False)
            self.port = self.sock.getsockname()[1]
            self.loop.register(self.sock, self._accept)

    def close(self) -> None:
        """Stop listening: new connections are refused."""
        if self.sock is not None:
            self.loop.unregister(self.sock)
            self.sock.close()
            self.sock = None

    def _accept(self) -> None:
        while self.sock is not None:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self._on_connection(sock)
