"""The operators' address: a listener and the few connections on it, all on one thread of their own.

This file owns those sockets. It must never wait for the loop or for a peer, hold more than a bounded number
of connections, or let one that says nothing keep another from its answer: the oldest goes for want of room.
"""

from __future__ import annotations

import contextlib
import logging
import select
import socket
import time
from dataclasses import dataclass, field

from wickstep.net import links
from wickstep.operation import commands

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 24  # connections; descriptors that callers and setup servers do not have
BACKLOG = 256
LINE_S = 3.0  # a call has to be whole by then
REPLY_S = 1.0  # and its reply read by then, or the peer's end closed
REST_S = 0.05  # out of descriptors, the listener rests for so long
CHUNK = 512


@dataclass(slots=True, eq=False)
class Visitor:
    """One connection: first its line comes in, then the reply goes out, then its peer closes."""

    sock: socket.socket
    until: float  # it is closed then, whatever it waits for
    heard: bytes = b""
    reply: bytes = b""
    replied: bool = field(default=False)  # all is written, and only the peer's end is awaited


class OperatorServer:
    """Listens on the operators' address and answers each call from `desk`."""

    def __init__(self, where: str, desk: commands.CommandHandlers) -> None:
        self._desk = desk
        self._sock = links.bind_socket(where)
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self._connections: dict[int, Visitor] = {}  # by descriptor, oldest first
        self._poll = select.poll()
        self._poll.register(self._sock, select.POLLIN)
        self._closed = False

    @property
    def address(self) -> tuple[str, int]:
        name: tuple[str, int] = self._sock.getsockname()
        return name

    def start(self) -> None:
        links.start_thread(self._run)

    def close(self) -> None:
        """No more calls, within a turn."""
        self._closed = True

    def _run(self) -> None:
        while not self._closed:
            try:
                self.turn(0.2)
            except Exception:  # without this thread nobody could ask what is wrong
                log.exception("a fault at the operators' address")
                time.sleep(REST_S)
        for visitor in [*self._connections.values()]:
            self._drop(visitor)
        self._sock.close()

    def turn(self, patience_s: float) -> None:
        """One look at all sockets, for at most that long."""
        now = time.monotonic()
        soonest = min((visitor.until for visitor in self._connections.values()), default=now + patience_s)
        ready = self._poll.poll(max(min(soonest - now, patience_s), 0) * 1000)
        for descriptor, _ in ready:
            visitor = self._connections.get(descriptor)
            if visitor is not None:
                self._serve(visitor)
            else:
                for _ in range(MAX_CONNECTIONS):  # as many as there may be, then those that wait for a reply
                    if not self._accept():
                        break
        now = time.monotonic()
        for visitor in [one for one in self._connections.values() if one.until <= now]:
            self._late(visitor)

    def _accept(self) -> bool:
        """Take one in, if one waits."""
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return False
        except OSError as trouble:
            log.warning("operators' address: %s", trouble)
            time.sleep(REST_S)
            return False
        sock.setblocking(False)
        if len(self._connections) >= MAX_CONNECTIONS:
            self._drop(next(iter(self._connections.values())))
        visitor = Visitor(sock, time.monotonic() + LINE_S)
        self._connections[sock.fileno()] = visitor
        self._poll.register(sock, select.POLLIN)
        self._serve(visitor)  # its line is there as a rule
        return True

    def _serve(self, visitor: Visitor) -> None:
        try:
            if visitor.replied:
                if not visitor.sock.recv(CHUNK):
                    self._drop(visitor)
            elif visitor.reply:
                self._write(visitor)
            else:
                self._read(visitor)
        except BlockingIOError:
            pass
        except OSError:
            self._drop(visitor)

    def _read(self, visitor: Visitor) -> None:
        data = visitor.sock.recv(CHUNK)
        visitor.heard += data
        try:
            line = commands.parse_line(visitor.heard)
        except ValueError as trouble:
            return self._answer(visitor, commands.failure(str(trouble)))
        if line is not None:
            self._answer(visitor, commands.make_reply(line, self._desk))
        elif not data:
            self._drop(visitor)

    def _late(self, visitor: Visitor) -> None:
        if visitor.reply:
            self._drop(visitor)  # it does not read
        else:
            self._answer(visitor, commands.failure("no whole line in time"))

    def _answer(self, visitor: Visitor, text: str) -> None:
        visitor.reply, visitor.heard = text.encode(), b""
        visitor.until = time.monotonic() + REPLY_S
        try:
            self._write(visitor)
        except BlockingIOError:
            self._poll.modify(visitor.sock, select.POLLOUT)
        except OSError:
            self._drop(visitor)

    def _write(self, visitor: Visitor) -> None:
        sent = visitor.sock.send(visitor.reply)
        if sent < len(visitor.reply):
            visitor.reply = visitor.reply[sent:]
            self._poll.modify(visitor.sock, select.POLLOUT)
            return
        # Its end is awaited: closed with something unread, the connection would be reset under the reply.
        visitor.replied = True
        visitor.sock.shutdown(socket.SHUT_WR)
        self._poll.modify(visitor.sock, select.POLLIN)

    def _drop(self, visitor: Visitor) -> None:
        del self._connections[visitor.sock.fileno()]
        with contextlib.suppress(KeyError, OSError):
            self._poll.unregister(visitor.sock)
        visitor.sock.close()


def send_command(where: str, call: str, patience_s: float = 2.0) -> list[str]:
    """One call to a running softswitch; the lines of its reply.

    Raises OSError where nobody answers within `patience_s` seconds, ValueError where `where` is no address.
    """
    until = time.monotonic() + patience_s
    heard = b""
    with socket.create_connection(links.parse_address(where), timeout=patience_s) as sock:
        sock.sendall(f"{call}\n".encode())
        while data := _more(sock, until):
            heard += data
    return heard.decode(errors="replace").splitlines()


def _more(sock: socket.socket, until: float) -> bytes:
    left = until - time.monotonic()
    if left <= 0:
        raise TimeoutError("no whole reply in time")
    sock.settimeout(left)
    return sock.recv(CHUNK)


