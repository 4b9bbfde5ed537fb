"""The operators' address: a listener and a bounded number of connections, all on one thread of their own.

This file owns those sockets. It must never wait for the loop or for a peer, hold more than MAX_CONNECTIONS,
or let a silent connection keep another from its reply: the oldest connection is closed to make room.
"""

from __future__ import annotations

import contextlib
import logging
import select
import socket
import time
from dataclasses import dataclass, field

from wickstep.net import links, listener
from wickstep.operation import commands

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 24  # their descriptors are not available to callers and setup servers
BACKLOG = 256
COMMAND_TIMEOUT_S = 3.0  # for the whole command line, from the connection's start
REPLY_TIMEOUT_S = 1.0  # for the peer to read the reply and close its end
ERROR_PAUSE_S = 0.05  # before the next try, e.g. when out of descriptors
READ_SIZE = 512


@dataclass(slots=True, eq=False)
class OperatorConnection:
    """One connection: the command line is read, the reply is written, then the peer closes."""

    sock: socket.socket
    deadline: float  # when the current step (the command, then the reply) times out
    received: bytes = b""
    reply: bytes = b""
    is_reply_sent: bool = field(default=False)  # whole; only the peer's close is awaited


class OperatorServer:
    """Listens on the operators' address and answers each command from `handlers`."""

    def __init__(self, address: str, handlers: commands.CommandHandlers) -> None:
        self._handlers = handlers
        self._sock = listener.bind_socket(address)
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self._connections: dict[int, OperatorConnection] = {}  # by descriptor, oldest first
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
        """Have the thread close all sockets after its current poll."""
        self._closed = True

    def _run(self) -> None:
        while not self._closed:
            try:
                self.poll_once(0.2)
            except Exception:  # without this thread no operator could ask what is wrong
                log.exception("unexpected error in the thread of the operators' address")
                time.sleep(ERROR_PAUSE_S)
        for connection in [*self._connections.values()]:
            self._drop(connection)
        self._sock.close()

    def poll_once(self, timeout_s: float) -> None:
        """Wait at most that long for any socket, and serve those that are ready or past their deadline."""
        now = time.monotonic()
        next_deadline = min(
            (connection.deadline for connection in self._connections.values()), default=now + timeout_s
        )
        ready = self._poll.poll(max(min(next_deadline - now, timeout_s), 0) * 1000)
        for descriptor, _ in ready:
            connection = self._connections.get(descriptor)
            if connection is not None:
                self._serve(connection)
            else:
                for _ in range(MAX_CONNECTIONS):  # bounded, so that replies are written in between
                    if not self._accept():
                        break
        now = time.monotonic()
        for connection in [other for other in self._connections.values() if other.deadline <= now]:
            self._handle_timeout(connection)

    def _accept(self) -> bool:
        """Accept one connection; False if none waits."""
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            log.warning("cannot accept on the operators' address: %s", error)
            time.sleep(ERROR_PAUSE_S)
            return False
        sock.setblocking(False)
        if len(self._connections) >= MAX_CONNECTIONS:
            self._drop(next(iter(self._connections.values())))
        connection = OperatorConnection(sock, time.monotonic() + COMMAND_TIMEOUT_S)
        self._connections[sock.fileno()] = connection
        self._poll.register(sock, select.POLLIN)
        self._serve(connection)  # its command line has usually come already
        return True

    def _serve(self, connection: OperatorConnection) -> None:
        try:
            if connection.is_reply_sent:
                if not connection.sock.recv(READ_SIZE):
                    self._drop(connection)
            elif connection.reply:
                self._write(connection)
            else:
                self._read(connection)
        except BlockingIOError:
            pass
        except OSError:
            self._drop(connection)

    def _read(self, connection: OperatorConnection) -> None:
        data = connection.sock.recv(READ_SIZE)
        connection.received += data
        try:
            line = commands.parse_line(connection.received)
        except ValueError as error:
            return self._start_reply(connection, commands.format_failure(str(error)))
        if line is not None:
            self._start_reply(connection, commands.make_reply(line, self._handlers))
        elif not data:
            self._drop(connection)

    def _handle_timeout(self, connection: OperatorConnection) -> None:
        if connection.reply:
            self._drop(connection)  # the peer does not read its reply or does not close
        else:
            self._start_reply(connection, commands.format_failure("no whole line in time"))

    def _start_reply(self, connection: OperatorConnection, text: str) -> None:
        connection.reply, connection.received = text.encode(), b""
        connection.deadline = time.monotonic() + REPLY_TIMEOUT_S
        try:
            self._write(connection)
        except BlockingIOError:
            self._poll.modify(connection.sock, select.POLLOUT)
        except OSError:
            self._drop(connection)

    def _write(self, connection: OperatorConnection) -> None:
        sent = connection.sock.send(connection.reply)
        if sent < len(connection.reply):
            connection.reply = connection.reply[sent:]
            self._poll.modify(connection.sock, select.POLLOUT)
            return
        # Closing a socket with unread data resets the connection, and the peer may lose the reply: wait until
        # the peer closes its end.
        connection.is_reply_sent = True
        connection.sock.shutdown(socket.SHUT_WR)
        self._poll.modify(connection.sock, select.POLLIN)

    def _drop(self, connection: OperatorConnection) -> None:
        del self._connections[connection.sock.fileno()]
        with contextlib.suppress(KeyError, OSError):
            self._poll.unregister(connection.sock)
        connection.sock.close()


def send_command(address: str, command: str, timeout_s: float = 2.0) -> list[str]:
    """Send one command to a running softswitch; returns the lines of its reply.

    Raises OSError where no whole reply comes within `timeout_s`, ValueError where `address` is invalid.
    """
    deadline = time.monotonic() + timeout_s
    received = b""
    with socket.create_connection(links.parse_address(address), timeout=timeout_s) as sock:
        sock.sendall(f"{command}\n".encode())
        while data := _receive(sock, deadline):
            received += data
    return received.decode(errors="replace").splitlines()


def _receive(sock: socket.socket, deadline: float) -> bytes:
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        raise TimeoutError("no whole reply within the timeout")
    sock.settimeout(remaining)
    return sock.recv(READ_SIZE)
