"""Connections and their threads: a reader per caller's connection, and one for all servers.

This file owns the sockets. Readers parse messages and put them into the loop's inbox; connects run in
threads of their own. What the loop sends is written at once as far as the socket takes it; where a peer does
not read, a writer thread drains a bounded outbox until it is empty. This file must never decide anything
about a call, and nothing here that the loop calls may block: a silent peer costs at most one thread, a peer
that does not read one more, and nothing else.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import select
import socket
import struct
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from queue import SimpleQueue
from typing import Any, Protocol

from wickstep.net import MalformedMessage, Message, Release, SetUp, codec

log = logging.getLogger(__name__)

TIMEVAL = struct.Struct("@ll")  # seconds and microseconds, as SO_RCVTIMEO and SO_SNDTIMEO take them
THREAD_STACK = 128 * 1024  # bytes; small, since hundreds of connections have one or two threads each
THREAD_START_TIMEOUT_S = 5.0  # a machine at its limit on threads may have one free soon
MAX_OUTBOX_BYTES = 256 * 1024  # a server that leaves so much unread is not reading
SEND_BUFFER_BYTES = 16 * 1024
MAX_SHARES_AHEAD = 8  # one connection's limit on messages that wait for the loop, in shares of SHARE_BYTES
SHARE_BYTES = codec.MAX_MESSAGE // MAX_SHARES_AHEAD  # so eight small messages may wait, or one of 16 KiB
READ_SIZE = 16 * 1024  # bytes of one receive
RESET_ERRORS = (errno.ECONNRESET, errno.EPIPE)  # the peer knows of the end; after a time-out it may not
READER_POLL_MS = 50  # poll of the common reader: it sees a new connection within this time
# For a server's message from first byte to last: after one that was cut short, the bytes of the next message
# would be taken for its rest.
SERVER_MESSAGE_TIMEOUT_MS = 200


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not 0 <= int(port) <= 65535:  # connect() would raise OverflowError, which is not an OSError
        raise ValueError(f"port out of range: expected 0 to 65535, got {port}")
    return host, int(port)


def start_thread(target: Callable[[], None], timeout_s: float = THREAD_START_TIMEOUT_S) -> None:
    """Start a thread, trying again for `timeout_s` seconds; RuntimeError if none is free by then.

    Many softswitches may share a machine and its limit on threads, and may all start at the same time.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            return threading.Thread(target=target, daemon=True).start()
        except RuntimeError as exc:
            if time.monotonic() >= deadline:
                raise
            log.warning("cannot start a thread, trying again: %s", exc)
            time.sleep(0.05)


# Events that the threads put into the loop's inbox.


@dataclass(slots=True, frozen=True)
class Received:
    link: Link
    message: Message
    shares: int = 1  # how many of its connection's MAX_SHARES_AHEAD it holds until it is processed
    at: int = 0  # when the message was complete, in microseconds of the monotonic clock


@dataclass(slots=True, frozen=True)
class Opened:
    link: Link


class LinkEnd(Enum):
    """How a connection has ended, by what its peer knows of it."""

    CLOSED = "closed by its peer"  # in order, after all that the peer had written
    PROCESS_ENDED = "given up with its peer's process"  # and with all that the process knew
    BROKEN = "reset"  # the peer knows; what either had written there last may be lost
    SPOILT = "closed over what came on it"  # the peer learns of it; what it has written there is lost
    UNNOTICED = "given up on this side"  # the peer may take it for open, and go on writing into it

    @property
    def may_have_lost_input(self) -> bool:
        """Whether the peer, which goes on, may have written messages there that were not read."""
        return self in (LinkEnd.BROKEN, LinkEnd.SPOILT, LinkEnd.UNNOTICED)


@dataclass(slots=True, frozen=True)
class Closed:
    link: Link
    malformed: bool = False
    end: LinkEnd = LinkEnd.BROKEN


@dataclass(slots=True, frozen=True)
class DialFailed:
    owner: Any
    refused: bool


Inbox = SimpleQueue[Any]  # put() may be called in a signal handler; that of queue.Queue may not


class WireCodec(Protocol):
    """The protocol of one connection: the reader feeds it, the loop encodes with it. No method may block."""

    @property
    def size(self) -> int:
        """Bytes of the message that `feed` yielded last."""

    def has_partial_message(self) -> bool:
        """Whether part of a message has been received."""

    def feed(self, data: bytes) -> Iterator[Message]:
        """Messages that are complete now. After MalformedMessage no further input can be trusted."""

    def encode(self, message: Message) -> bytes:
        """The bytes of a message on the wire; empty if the protocol sends nothing for it."""

    def bind(self, link: Link) -> None:
        """Set the connection to which the protocol writes answers of its own."""


class Link:
    """One connection, made for a connected socket; the loop alone gives `owner` a meaning."""

    def __init__(
        self, sock: socket.socket, inbox: Inbox, owner: Any, wire_codec: WireCodec | None = None
    ) -> None:
        self.owner = owner
        self.wire_codec: WireCodec = wire_codec or codec.BinaryCodec()
        self.peer_id = ""  # the peer's identity, where the protocol has one: keeps peers' calls apart
        self.sock = sock
        self.on_freed: Callable[[], None] = lambda: None  # called once the descriptor is closed
        self.message_timeout_ms = SERVER_MESSAGE_TIMEOUT_MS  # from a message's first byte to its last
        self.max_outbox_bytes = MAX_OUTBOX_BYTES
        self.read_size = READ_SIZE
        self.had_call = False  # set by the loop: a call that came on it was answered
        self.first_message_deadline_ms = 0  # on the monotonic clock; 0: as for any other message
        self.first_byte_timeout_ms = 0  # silence allowed before the first byte; 0: no limit
        self.is_closing = False  # set by the loop: a close was requested, further input is not taken in
        self.inbox = inbox
        self.opened_at = 0  # set by the loop: when it took the connection into use
        self.heard_at = 0  # set by the loop: when it processed the last message
        self.has_spoken = False  # set by the loop: whether there was a message
        self.probed_at = 0  # set by the loop: when it last sent a probe here
        self.has_answered = False  # set by the loop: whether a set-up or a probe was answered here
        # Set by the loop: when it sent the latest message that was answered here in its turn.
        self.answered_until = 0
        self.process_ended = False  # set by the loop: so has the process at the other end
        self.closed = False  # set by the loop; the threads see a close by their socket
        self.calls: dict[int, Any] = {}  # of the loop: calls that wait for an answer here
        self.unconfirmed: dict[int, Release] = {}  # of the loop: releases sent here, not yet confirmed
        self.withdrawn: set[int] = set()  # calls whose release was read but not yet processed
        self.uses_common_reader = False  # read by the common reader
        self._complete_by = 0  # milliseconds, deadline of the message that has begun; 0: none has
        self._free_shares = threading.Semaphore(MAX_SHARES_AHEAD)
        self._has_uncounted_data = False  # the reader holds bytes whose messages are not in _received yet
        self._received = self._processed = 0  # messages counted by the reader and by the loop
        self._outbox: deque[tuple[int, bytes]] = deque()  # call id of a whole set-up, else 0; data
        self._outbox_bytes = 0
        self._lock = threading.RLock()  # guards the outbox and the fields below
        self._has_writer = False  # a writer thread is running
        self._output_closed = False  # nothing may be added; what is queued is still written
        self._keep_reading = False  # after our side has ended, until the peer ends too
        self.is_half_closed = False  # our side ended first, and the peer's was still read
        self.end = LinkEnd.UNNOTICED  # how the connection ended; set by its reader
        self._receive_timeout_ms = 0  # as the socket has it now
        self._thread_count = 1  # threads that use the socket
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Bounds what the kernel holds for a peer that does not read, as the outbox is bounded.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.settimeout(None)
        self.wire_codec.bind(self)

    def precedes(self, other: Link | None) -> bool:
        """Whether this connection was opened before another one to the same server."""
        return other is not None and self.opened_at < other.opened_at

    def start(self, timeout_s: float = 0.0) -> None:
        """Start the reader; RuntimeError if the machine has no thread free within `timeout_s` seconds."""
        start_thread(self.read, timeout_s)

    def send(self, message: Message) -> bool:
        """Write or queue a message; False if the connection is closing or its outbox is full."""
        return self.write(self.wire_codec.encode(message), message.call if isinstance(message, SetUp) else 0)

    def write(self, data: bytes, set_up: int = 0) -> bool:
        """The same for bytes; `set_up` is the call's id if they are a whole set-up."""
        with self._lock:
            if self._output_closed:
                return False
            if not data:
                return True
            if not self._has_writer:
                try:
                    if sent := self.sock.send(data, socket.MSG_DONTWAIT):
                        data, set_up = data[sent:], 0
                except BlockingIOError:
                    pass  # the peer does not read: a writer thread waits for it
                except OSError as exc:
                    self._note_end(exc)
                    self.close()  # the reader reports the end, which ends the attempts on this connection
                if not data or self._output_closed:
                    return True
            if self._outbox_bytes + len(data) <= self.max_outbox_bytes and self._ensure_writer():
                self._outbox.append((set_up, data))
                self._outbox_bytes += len(data)
                return True
        self.close()
        return False

    def _ensure_writer(self) -> bool:
        """Start a writer if there is none; False if there is no thread for it.

        The caller holds the lock, and the writer takes it first: so it finds what the caller adds.
        """
        if not self._has_writer:
            try:
                threading.Thread(target=self._run_writer, daemon=True).start()
            except RuntimeError as exc:
                log.warning("cannot start a writer thread, closing its connection: %s", exc)
                return False
            self._has_writer = True
            self._thread_count += 1
        return True

    def withdraw(self, call: int) -> bool:
        """Remove a set-up from the outbox; False if its first byte may have been sent."""
        with self._lock:
            for entry in self._outbox if call else ():
                if entry[0] == call:
                    self._outbox.remove(entry)
                    self._outbox_bytes -= len(entry[1])
                    return True
        return False

    def mark_processed(self, shares: int) -> None:
        """The loop has processed one message: its shares are free for the reader again."""
        self._processed += 1
        if shares:
            self._free_shares.release(shares)

    def has_unread(self) -> bool:
        """Whether the peer has sent or begun a message that the loop has not processed; never blocks."""
        return self._complete_by > 0 or self.has_pending()

    def has_pending(self) -> bool:
        """The same, without the part of an incomplete message that was read already.

        The places are checked in the order in which data passes them (socket, reader, inbox), so that data
        which moves on meanwhile is not missed.
        """
        with contextlib.suppress(OSError):  # nothing to read, or not connected any more
            if self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        return self._has_uncounted_data or self._received != self._processed

    def has_left(self, call: int) -> bool:
        """Whether the peer has closed, or has released this call, as far as that has arrived; never blocks.

        The loop learns that from its inbox, which after a burst may be much later, but must not send a set-up
        for a caller that has left. The socket is polled, since an end behind unread bytes is not read yet.
        """
        if call in self.withdrawn:
            return True
        poll = select.poll()
        try:
            poll.register(self.sock, select.POLLRDHUP)
        except (OSError, ValueError):
            return True  # closed: the reader has ended
        return bool(poll.poll(0))

    def close(self, keep_reading: bool = False) -> None:
        """Close at once; the threads end, and the reader reports the end to the loop.

        With `keep_reading` only our side ends: what the peer writes until it notices is still read, until the
        peer ends or `close` is called without it. The caller of this method has to see to that second call.
        """
        with self._lock:
            self._output_closed, self._keep_reading = True, keep_reading
            self._outbox.clear()
        self._shut_down()

    def finish(self, keep_reading: bool = False) -> None:
        """Close once the outbox is written; nothing more may be sent."""
        with self._lock:
            self._output_closed, self._keep_reading = True, keep_reading
            if self._has_writer:
                return  # the writer closes once the outbox is empty
        self._shut_down()

    def _shut_down(self) -> None:
        self.is_half_closed = self.is_half_closed or self._keep_reading
        with contextlib.suppress(OSError):
            # With SHUT_RDWR the kernel answers later input with a reset.
            self.sock.shutdown(socket.SHUT_WR if self._keep_reading else socket.SHUT_RDWR)

    def is_drained(self) -> bool:
        return self._outbox_bytes == 0

    def read(self) -> None:
        """Read to the connection's end: the body of a caller's reader thread."""
        malformed = False
        try:
            self._set_receive_timeout(self.first_byte_timeout_ms)
            while self.sock.recv(1, socket.MSG_PEEK):
                # Set before the data leaves the socket, so that has_pending() sees one of the two.
                self._has_uncounted_data = True
                self._set_receive_timeout(self._process_data(self.sock.recv(self.read_size)))
                self._has_uncounted_data = False
            self._note_end()
        except BlockingIOError:
            malformed = self._complete_by > 0
            log.info(
                "closing a caller's connection: %s",
                "message not complete within its time-out"
                if malformed
                else "nothing received since the connect within the time-out",
            )
        except MalformedMessage as exc:
            log.warning("closing a caller's connection: %s", exc)
            malformed = True
        except OSError as exc:
            self._note_end(exc)
        self._end_connection(malformed)

    def read_available(self) -> bool:
        """Read once for the common reader, after a poll; False once the connection has ended."""
        malformed = False
        try:
            if data := self.sock.recv(self.read_size, socket.MSG_DONTWAIT):
                self._process_data(data)
                return True
            self._note_end()
        except BlockingIOError:
            return True
        except MalformedMessage as exc:
            log.warning("closing a server's connection: %s", exc)
            malformed = True
            self.end = LinkEnd.SPOILT
        except OSError as exc:
            self._note_end(exc)
        self._end_connection(malformed)
        return False

    def close_if_overdue(self) -> bool:
        """End the connection if a message has begun and is not complete in time; whether it did so.

        While messages wait for the loop the rest of this one may lie unread: its time has not begun.
        """
        now = time.monotonic_ns() // 1_000_000
        if self._complete_by and self.is_backlogged():
            self._complete_by = now + self.message_timeout_ms
        if not 0 < self._complete_by <= now:
            return False
        log.warning("closing a server's connection: message not complete within its time-out")
        self._end_connection(True)
        return True

    def is_backlogged(self) -> bool:
        """Whether so many messages wait for the loop that no more may be read."""
        return self._received - self._processed >= MAX_SHARES_AHEAD

    def _process_data(self, data: bytes) -> int:
        """Enqueue complete messages; returns the receive time-out for the rest in milliseconds, 0: none."""
        any_complete = False
        for message in self.wire_codec.feed(data):
            any_complete = True
            self._enqueue(message, self.wire_codec.size)
            del message  # else it would be kept in memory until the peer's next message
        now = time.monotonic_ns() // 1_000_000
        if not self.wire_codec.has_partial_message():
            self._complete_by = 0
        elif any_complete or not self._complete_by:
            self._complete_by = now + self.message_timeout_ms
            if self.first_message_deadline_ms and not self._received:
                self._complete_by = self.first_message_deadline_ms
        elif now >= self._complete_by:
            raise MalformedMessage("message not complete within its time-out, though more of it came")
        return max(self._complete_by - now, 1) if self._complete_by else 0

    def _note_end(self, error: OSError | None = None) -> None:
        """Note how the connection has ended: the reader has found its end, or this error."""
        with self._lock:
            is_given_up = self._output_closed and not self._keep_reading
        if error is not None and error.errno in RESET_ERRORS:
            self.end = LinkEnd.BROKEN
        elif error is None and not is_given_up and self.end is LinkEnd.UNNOTICED:
            self.end = LinkEnd.CLOSED

    def _end_connection(self, malformed: bool) -> None:
        self.close()
        self._release_socket()
        self.inbox.put(Closed(self, malformed, self.end))

    def _enqueue(self, message: Message, size: int) -> None:
        """Put a message into the inbox, once enough of this connection's shares are free.

        Shares go by bytes: hundreds of connections with eight messages of 16 KiB waiting each would fill the
        memory of a small machine. The common reader never waits: it checks `is_backlogged` before it reads.
        """
        received_at = time.monotonic_ns() // 1000
        shares = 0 if self.uses_common_reader else min(1 + size // SHARE_BYTES, MAX_SHARES_AHEAD)
        if isinstance(message, Release) and not self.uses_common_reader:
            self.withdrawn.add(message.call)
        for _ in range(shares):
            self._free_shares.acquire()
        self._received += 1
        self.inbox.put(Received(self, message, shares, received_at))

    def _set_receive_timeout(self, ms: int) -> None:
        """Limit how long the next `recv` may take; the writer's `sendall` is not affected."""
        if ms != self._receive_timeout_ms:
            self._receive_timeout_ms = ms
            timeval = TIMEVAL.pack(*divmod(ms * 1000, 10**6))
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval)

    def _run_writer(self) -> None:
        """Write until the outbox is empty: the body of a writer thread."""
        while True:
            with self._lock:
                if not self._outbox:
                    self._has_writer = False
                    break
                _, data = self._outbox.popleft()  # one at a time: what is still queued can be withdrawn
            try:
                self.sock.sendall(data)
            except OSError as exc:
                self._note_end(exc)
                self.close(self._keep_reading)  # clears the outbox too
            with self._lock:
                self._outbox_bytes -= len(data)
        if self._output_closed:
            self._shut_down()
        self._release_socket()

    def _release_socket(self) -> None:
        # The last thread to end closes the descriptor: closed earlier, its number could be reused for another
        # connection while the other thread still uses it.
        with self._lock:
            self._thread_count -= 1
            last = self._thread_count == 0
        if last:
            self.sock.close()
            self.on_freed()


class Reader:
    """The common reader: one thread that reads all connections to servers.

    A machine that runs hundreds of softswitches has no thread for each connection: with two dozen servers, a
    thousand softswitches would need 32,565 threads of the 32,768 allowed. No read here blocks, since each
    follows a poll; a connection with many messages waiting for the loop is read once they are processed.
    """

    def __init__(self) -> None:
        self._links: list[Link] = []
        self._lock = threading.Lock()  # guards that list

    def start(self) -> None:
        start_thread(self._run)

    def add(self, link: Link) -> None:
        """Read this connection too: at once, or within `READER_POLL_MS`, when the current poll ends.

        The delay does not matter: an answer of a server with many connections takes as long anyway.
        """
        link.uses_common_reader = True
        with self._lock:
            self._links.append(link)

    def _run(self) -> None:
        while True:
            with self._lock:
                links = [*self._links]
            by_descriptor = {link.sock.fileno(): link for link in links if not link.is_backlogged()}
            poll = select.poll()
            for descriptor in by_descriptor:
                poll.register(descriptor, select.POLLIN)
            ended = [
                by_descriptor[fd]
                for fd, _ in poll.poll(READER_POLL_MS)
                if not by_descriptor[fd].read_available()
            ]
            ended += [link for link in links if link not in ended and link.close_if_overdue()]
            if ended:
                with self._lock:
                    self._links = [link for link in self._links if link not in ended]


def dial(
    address: str,
    timeout_us: int,
    inbox: Inbox,
    owner: Any,
    reader: Reader,
    wire_codec: WireCodec | None = None,
) -> None:
    """Connect in a thread of its own, which puts `Opened` or `DialFailed` into the inbox."""

    def connect() -> None:
        try:
            sock = socket.create_connection(parse_address(address), timeout=timeout_us / 1e6)
            link = Link(sock, inbox, owner, wire_codec)
        except Exception as exc:  # on any error the loop must be notified, or it waits for ever
            inbox.put(DialFailed(owner, isinstance(exc, ConnectionRefusedError)))
            return
        inbox.put(Opened(link))
        reader.add(link)

    try:
        threading.Thread(target=connect, daemon=True).start()
    except RuntimeError:
        inbox.put(DialFailed(owner, False))
