"""The listening socket for callers: connections are accepted while there is room for them.

This file owns that socket and its thread, and the limits of a caller's connection: how long it may be silent,
how much of it is buffered. It must never read a connection, which its own thread does.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import select
import socket
import threading
import time
from collections.abc import Callable

from wickstep.net import codec, links

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 256
BIND_TIMEOUT_S = 3.0  # how long an address that is still in use is tried again
ACCEPT_POLL_MS = 20  # poll of an inherited listening socket: its thread sees a close within this time
MAX_CALLER_OUTBOX_BYTES = 64 * 1024  # less for a caller: hundreds of outboxes must fit in memory
CALLER_READ_SIZE = 4 * 1024  # less for a caller: hundreds may hold a full read while their readers wait
FIRST_BYTE_TIMEOUT_MS = 2000  # for a caller's first byte after the connect: hundreds never send any
MESSAGE_TIMEOUT_MS = 2200  # for a caller's message from its first byte to its last: some callers take 2 s
FIRST_MESSAGE_TIMEOUT_MS = 2700  # from the connect to the end of the first message, whenever it began


def bind_socket(address: str) -> socket.socket:
    """A socket bound to that address; OSError if the address is still in use after `BIND_TIMEOUT_S`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # After a kill and a quick restart the previous process's socket may exist for a moment longer.
    deadline = time.monotonic() + BIND_TIMEOUT_S
    while True:
        try:
            sock.bind(links.parse_address(address))
            return sock
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE or time.monotonic() > deadline:
                sock.close()
                raise
            time.sleep(0.02)


class Listener:
    """Accepts callers' connections on one address while `capacity` has a permit; others wait.

    Several listeners may share that semaphore.
    """

    def __init__(
        self,
        address: str,
        inbox: links.Inbox,
        capacity: threading.Semaphore,
        make_codec: Callable[[], links.WireCodec] = codec.BinaryCodec,
        inherited_fd: int | None = None,
    ) -> None:
        self._inbox, self._capacity, self._make_codec = inbox, capacity, make_codec
        self._is_inherited = inherited_fd is not None
        self._closed = False
        if inherited_fd is None:
            self._sock = bind_socket(address)
        else:
            # Other processes accept on this socket too, before and after this one: a connection that poll()
            # has reported may be gone, and a blocking accept() would then wait for the next one.
            self._sock = socket.socket(fileno=inherited_fd)
            self._sock.setblocking(False)
        self._sock.listen(LISTEN_BACKLOG)

    @property
    def address(self) -> tuple[str, int]:
        name: tuple[str, int] = self._sock.getsockname()
        return name

    def start(self) -> None:
        links.start_thread(self._run)

    def close(self) -> None:
        """Accept nothing more: at once, or within `ACCEPT_POLL_MS` if the socket is inherited."""
        self._closed = True
        if not self._is_inherited:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
            self._sock.close()

    def _accept_next(self) -> socket.socket | None:
        """A new connection; None once closed, if the socket is inherited: other processes accept the rest."""
        if self._is_inherited:
            poll = select.poll()
            poll.register(self._sock, select.POLLIN)
            while not self._closed:
                if poll.poll(ACCEPT_POLL_MS) and not self._closed:
                    with contextlib.suppress(BlockingIOError):
                        return self._sock.accept()[0]
            self._sock.close()
            return None
        return self._sock.accept()[0]

    def _run(self) -> None:
        while True:
            self._capacity.acquire()
            try:
                sock = self._accept_next()
            except OSError as exc:
                self._capacity.release()
                if self._closed:
                    return
                # Out of descriptors, or aborted by the peer: neither may end this thread.
                log.warning("cannot accept a caller's connection, trying again: %s", exc)
                time.sleep(0.02)
                continue
            if sock is None:
                return
            sock.setblocking(True)
            try:
                link = links.Link(sock, self._inbox, None, self._make_codec())
            except OSError:
                sock.close()  # the peer has closed already
                self._capacity.release()
                continue
            link.on_freed = self._capacity.release
            link.message_timeout_ms, link.first_byte_timeout_ms = MESSAGE_TIMEOUT_MS, FIRST_BYTE_TIMEOUT_MS
            link.first_message_deadline_ms = time.monotonic_ns() // 1_000_000 + FIRST_MESSAGE_TIMEOUT_MS
            link.max_outbox_bytes, link.read_size = MAX_CALLER_OUTBOX_BYTES, CALLER_READ_SIZE
            self._inbox.put(links.Opened(link))
            try:
                link.start(timeout_s=1.0)  # waits for a thread: the caller's set-up would be lost otherwise
            except RuntimeError as exc:
                log.warning("cannot start a reader thread, closing a caller's connection: %s", exc)
                sock.close()
                self._capacity.release()
                self._inbox.put(links.Closed(link))
