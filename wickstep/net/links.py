"""Connections and their threads: a reader for each caller's, one for all servers', one that accepts.

This file owns the sockets. Readers parse and enqueue, connects run aside. What the loop says is written at
once as far as the socket takes it; where a peer does not read, a writer of its own drains a bounded outbox
until all is out. It must never decide anything about a call, and nothing here that the loop calls may ever
block: a peer that is silent costs a thread at most, one that does not read another, and nothing else.
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
from queue import SimpleQueue
from typing import Any, Protocol

from wickstep.net import MalformedMessage, Message, Release, SetUp, codec

log = logging.getLogger(__name__)

TIMEVAL = struct.Struct("@ll")
THREAD_STACK = 128 * 1024  # a thread or two a connection, hundreds of connections
THREAD_S = 5.0  # a machine that has no thread left for a new one may have one soon
OUTBOX_MOST = 256 * 1024  # bytes; a server that leaves so much unread is not reading
CALLER_OUTBOX_MOST = 64 * 1024  # the same for a caller: hundreds of them must fit the memory
SEND_BUFFER = 16 * 1024
MAX_SHARES_AHEAD = 8  # shares of one connection's messages that may wait for the loop
SHARE = codec.MAX_MESSAGE // MAX_SHARES_AHEAD  # bytes: so eight small messages wait, or one of 16 KiB
READ_SIZE = 16 * 1024
CALLER_READ_SIZE = 4 * 1024  # of a caller: each of hundreds that push holds one while its reader waits
BACKLOG = 256
BIND_S = 3.0
FIRST_BYTE_TIMEOUT_MS = 2000  # a caller that has sent nothing by then is closed: hundreds never speak
MESSAGE_TIMEOUT_MS = 2200  # and so is one whose message, once begun, is not whole by then: some take 2 s
FIRST_MESSAGE_TIMEOUT_MS = 2700  # after the connect: by then the first one has to be whole, whenever begun
TURN_MS = 20  # how soon a thread at a shared socket sees that it has been told to leave
LOOK_MS = 50  # how soon the common reader sees a new connection
ANSWER_MS = 200  # the same for a server: what follows would be taken for the message's rest


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not 0 <= int(port) <= 65535:  # connect() would raise what no OSError is
        raise ValueError(f"port {port}")
    return host, int(port)


def start_thread(target: Callable[[], None], timeout_s: float = THREAD_S) -> None:
    """Start a thread, within `timeout_s` seconds; RuntimeError if the machine has none by then.

    Many softswitches may share a machine and its limit on threads, and all of them start together.
    """
    until = time.monotonic() + timeout_s
    while True:
        try:
            return threading.Thread(target=target, daemon=True).start()
        except RuntimeError as trouble:
            if time.monotonic() >= until:
                raise
            log.warning("no thread left: %s", trouble)
            time.sleep(0.05)


def bind_socket(where: str) -> socket.socket:
    """A socket at that address, to listen on; OSError if it is still another's after `BIND_S`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # After a kill and a quick restart the predecessor's socket may be there for a moment still.
    until = time.monotonic() + BIND_S
    while True:
        try:
            sock.bind(parse_address(where))
            return sock
        except OSError as trouble:
            if trouble.errno != errno.EADDRINUSE or time.monotonic() > until:
                sock.close()
                raise
            time.sleep(0.02)


# What the threads tell the loop.


@dataclass(slots=True, frozen=True)
class Received:
    link: Link
    message: Message
    shares: int = 1  # of what its connection may have waiting for the loop
    at: int = 0  # microseconds of the monotonic clock: when it was whole


@dataclass(slots=True, frozen=True)
class Opened:
    link: Link


@dataclass(slots=True, frozen=True)
class Closed:
    link: Link
    malformed: bool = False


@dataclass(slots=True, frozen=True)
class DialFailed:
    owner: Any
    refused: bool


Inbox = SimpleQueue[Any]  # its put may be called in a signal handler, which queue.Queue's may not


class WireCodec(Protocol):
    """The protocol of one connection: its reader feeds it, the loop has it encode. Neither may wait in it."""

    @property
    def size(self) -> int:
        """Bytes of the message that was yielded last."""

    def begun(self) -> bool:
        """Whether a part of a message is there."""

    def feed(self, data: bytes) -> Iterator[Message]:
        """What is whole now; raises MalformedMessage, after which nothing on it can be trusted."""

    def encode(self, message: Message) -> bytes:
        """What a message is on the wire; empty if there is nothing to say."""

    def bind(self, link: Link) -> None:
        """The connection: what the protocol itself has to answer is written there."""


class Link:
    """One connection. Made for a socket that is connected; `owner` means whatever the loop wants it to."""

    def __init__(
        self, sock: socket.socket, inbox: Inbox, owner: Any, wire_codec: WireCodec | None = None
    ) -> None:
        self.owner = owner
        self.wire_codec: WireCodec = wire_codec or codec.Binary()
        self.peer_id = ""  # who connects, where a protocol tells: what stands with one is not another's
        self.sock = sock
        self.on_freed: Callable[[], None] = lambda: None  # called when the descriptor is free
        self.whole_ms = ANSWER_MS  # how long a message may take from its first byte
        self.outbox_most = OUTBOX_MOST
        self.chunk = READ_SIZE
        self.had_call = False  # the loop's: a call that came on it has stood
        self.first_whole_at = 0  # when the first message must be whole, in milliseconds; 0: as any other
        self.first_ms = 0  # how long the peer may be silent at first; 0: for ever
        self.is_closing = False  # the loop's: told to close; what still comes is not taken in
        self.inbox = inbox
        self.heard_at = 0  # the loop's: when the last message was dealt with
        self.has_spoken = False  # the loop's: whether there was one
        self.probed_at = 0  # the loop's: when a probe last went out here
        self.has_answered = False  # the loop's: whether a set-up or a probe was answered here
        self.closed = False  # the loop's word for it; the threads notice by their socket
        self.calls: dict[int, Any] = {}  # the loop's: what waits for an answer here
        self.unconfirmed: dict[int, Release] = {}  # the loop's: releases sent here and not yet confirmed
        self.withdrawn: set[int] = set()  # calls whose release was read and not yet dealt with
        self.shared = False  # read by the common reader
        self._complete_by = 0  # in milliseconds, when what has begun must be whole; 0: nothing has
        self._ahead = threading.Semaphore(MAX_SHARES_AHEAD)
        self._in_hand = False  # a caller's reader has bytes that are not counted yet
        self._received = self._processed = 0  # messages: the reader's count and the loop's
        self._outbox: deque[tuple[int, bytes]] = deque()  # with the call of a whole set-up, else 0
        self._waiting = 0
        self._lock = threading.RLock()  # over the outbox and what follows
        self._writing = False  # a writer is at work
        self._last = False  # nothing may be added, what is there is still written
        self._keep_reading = False  # though told to end, until the peer ends too
        self._waits = 0
        self._users = 1  # threads that still use the socket
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # What the kernel holds for a peer that does not read is bounded like the outbox.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        sock.settimeout(None)
        self.wire_codec.bind(self)

    def start(self, patience: float = 0.0) -> None:
        """Start the reader; raises RuntimeError if the machine has no thread left."""
        start_thread(self.read, patience)

    def send(self, message: Message) -> bool:
        """Write a message, or queue it; False on a closing connection or where the peer does not read."""
        return self.write(self.wire_codec.encode(message), message.call if isinstance(message, SetUp) else 0)

    def write(self, data: bytes, set_up: int = 0) -> bool:
        """The same for bytes, those of the set-up of that call."""
        with self._lock:
            if self._last:
                return False
            if not data:
                return True
            if not self._writing:
                try:
                    if sent := self.sock.send(data, socket.MSG_DONTWAIT):
                        data, set_up = data[sent:], 0
                except BlockingIOError:
                    pass  # the peer does not read: a writer waits for it
                except OSError:
                    self.close()  # what was out here has gone with it, and the reader says so
                if not data or self._last:
                    return True
            if self._waiting + len(data) <= self.outbox_most and self._write_aside():
                self._outbox.append((set_up, data))
                self._waiting += len(data)
                return True
        self.close()
        return False

    def _write_aside(self) -> bool:
        """See to a writer; it takes the lock first, and finds what the caller adds under it."""
        if not self._writing:
            try:
                threading.Thread(target=self._write, daemon=True).start()
            except RuntimeError as trouble:
                log.warning("no thread for a writer: %s", trouble)
                return False
            self._writing = True
            self._users += 1
        return True

    def withdraw(self, call: int) -> bool:
        """Take a set-up back that waits for the peer to read; False if its first byte may have left."""
        with self._lock:
            for entry in self._outbox if call else ():
                if entry[0] == call:
                    self._outbox.remove(entry)
                    self._waiting -= len(entry[1])
                    return True
        return False

    def mark_processed(self, shares: int) -> None:
        """The loop has dealt with one message: the reader may go on."""
        self._processed += 1
        if shares:
            self._ahead.release(shares)

    def has_unread(self) -> bool:
        """Whether the peer has sent what the loop has not dealt with, or begun to; never blocks."""
        return self._complete_by > 0 or self.has_pending()

    def has_pending(self) -> bool:
        """The same but for a message that has begun and is not whole, as far as it was read.

        Looked for along the way that it takes, so that it cannot pass unseen from one place to the next.
        """
        with contextlib.suppress(OSError):  # nothing there, or no connection any more
            if self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        return self._in_hand or self._received != self._processed

    def has_left(self, call: int) -> bool:
        """Whether the peer has closed, or has given this call up, as far as that has arrived; never blocks.

        The loop hears so in its turn. Behind a burst that may be long after, and a set-up must not go out for
        who has left. Asked of the socket itself, since an end behind unread bytes is not read yet.
        """
        if call in self.withdrawn:
            return True
        poll = select.poll()
        try:
            poll.register(self.sock, select.POLLRDHUP)
        except (OSError, ValueError):
            return True  # freed: the reader has come to its end
        return bool(poll.poll(0))

    def close(self, keep_reading: bool = False) -> None:
        """Close at once; the threads come back and the reader says so.

        With `keep_reading` only our side ends: what the peer writes until it notices is still read, to its
        end or to a plain close. Whoever asks for that sees to the latter.
        """
        with self._lock:
            self._last, self._keep_reading = True, keep_reading
            self._outbox.clear()
        self._shut()

    def finish(self, keep_reading: bool = False) -> None:
        """Nothing more will be said; what is queued is still written."""
        with self._lock:
            self._last, self._keep_reading = True, keep_reading
            if self._writing:
                return  # the writer closes after the last word
        self._shut()

    def _shut(self) -> None:
        with contextlib.suppress(OSError):
            # Shut for reading too, the kernel answers what comes from then on with a reset.
            self.sock.shutdown(socket.SHUT_WR if self._keep_reading else socket.SHUT_RDWR)

    def is_drained(self) -> bool:
        return self._waiting == 0

    def read(self) -> None:
        """The reader, to the connection's end."""
        malformed = False
        try:
            self._patience(self.first_ms)
            while self.sock.recv(1, socket.MSG_PEEK):
                self._in_hand = True  # before it leaves the socket, where the loop could still see it
                self._patience(self._digest(self.sock.recv(self.chunk)))
                self._in_hand = False
        except BlockingIOError:
            malformed = self._complete_by > 0
            log.info("closing a connection: %s", "a message stops short" if malformed else "never spoke")
        except MalformedMessage as trouble:
            log.warning("closing a connection: %s", trouble)
            malformed = True
        except OSError:
            pass  # reset: the same as closed
        self._end(malformed)

    def read_available(self) -> bool:
        """What the common reader does where there is something; False once the connection has ended."""
        malformed = False
        try:
            if data := self.sock.recv(self.chunk, socket.MSG_DONTWAIT):
                self._digest(data)
                return True
        except BlockingIOError:
            return True
        except MalformedMessage as trouble:
            log.warning("closing a connection: %s", trouble)
            malformed = True
        except OSError:
            pass
        self._end(malformed)
        return False

    def stops_short(self) -> bool:
        """Whether a message has begun and is not whole in time. Ends the connection then."""
        if not 0 < self._complete_by <= time.monotonic_ns() // 1_000_000:
            return False
        log.warning("closing a connection: a message stops short")
        self._end(True)
        return True

    def full(self) -> bool:
        """Whether so much waits for the loop that nothing more may be read."""
        return self._received - self._processed >= MAX_SHARES_AHEAD

    def _digest(self, data: bytes) -> int:
        """Hand on what is whole; for how long the rest may take to come, in milliseconds, 0: for ever."""
        whole = False
        for message in self.wire_codec.feed(data):
            whole = True
            self._hand_on(message, self.wire_codec.size)
            del message  # or it would be held here until the peer's next word
        now = time.monotonic_ns() // 1_000_000
        if not self.wire_codec.begun():
            self._complete_by = 0
        elif whole or not self._complete_by:
            self._complete_by = now + self.whole_ms
            if self.first_whole_at and not self._received:
                self._complete_by = self.first_whole_at
        elif now >= self._complete_by:
            raise MalformedMessage("a message that does not end")
        return max(self._complete_by - now, 1) if self._complete_by else 0

    def _end(self, malformed: bool) -> None:
        self.close()
        self._leave()
        self.inbox.put(Closed(self, malformed))

    def _hand_on(self, message: Message, size: int) -> None:
        """Give the loop a message, once this connection has room for it among those that wait.

        Room is counted in bytes: hundreds of connections that push messages of 16 KiB, eight of each waiting,
        would fill the memory of a small machine. The common reader never waits: it looks for room first.
        """
        at = time.monotonic_ns() // 1000
        shares = 0 if self.shared else min(1 + size // SHARE, MAX_SHARES_AHEAD)
        if isinstance(message, Release) and not self.shared:
            self.withdrawn.add(message.call)
        for _ in range(shares):
            self._ahead.acquire()
        self._received += 1
        self.inbox.put(Received(self, message, shares, at))

    def _patience(self, ms: int) -> None:
        """How long the next `recv` may take; the writer's `sendall` is not concerned."""
        if ms != self._waits:
            self._waits = ms
            span = TIMEVAL.pack(*divmod(ms * 1000, 10**6))
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, span)

    def _write(self) -> None:
        """A writer, until the outbox is empty."""
        while True:
            with self._lock:
                if not self._outbox:
                    self._writing = False
                    break
                _, data = self._outbox.popleft()  # one by one: what has not begun can be withdrawn
            try:
                self.sock.sendall(data)
            except OSError:
                self.close(self._keep_reading)  # clears the outbox too
            with self._lock:
                self._waiting -= len(data)
        if self._last:
            self._shut()
        self._leave()

    def _leave(self) -> None:
        # The descriptor is freed by the last of the two: freed earlier, its number may be another's.
        with self._lock:
            self._users -= 1
            last = self._users == 0
        if last:
            self.sock.close()
            self.on_freed()


class Listener:
    """Accepts callers on one address while there is room, which several may share; others wait."""

    def __init__(
        self,
        where: str,
        inbox: Inbox,
        room: threading.Semaphore,
        speaks: Callable[[], WireCodec] = codec.Binary,
        inherited_fd: int | None = None,
    ) -> None:
        self._inbox, self._room, self._speaks = inbox, room, speaks
        self._shared = inherited_fd is not None
        self._closed = False
        if inherited_fd is None:
            self._sock = bind_socket(where)
        else:
            # Others accept on it too, before and after this process: who was told that a connection waits may
            # find it gone, and must not be held by that until the next.
            self._sock = socket.socket(fileno=inherited_fd)
            self._sock.setblocking(False)
        self._sock.listen(BACKLOG)

    @property
    def address(self) -> tuple[str, int]:
        name: tuple[str, int] = self._sock.getsockname()
        return name

    def start(self) -> None:
        start_thread(self._accept)

    def close(self) -> None:
        """Accept nothing more: at once, or on a shared socket within `TURN_MS`, when its thread closes it."""
        self._closed = True
        if not self._shared:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
            self._sock.close()

    def _next(self) -> socket.socket | None:
        """A new connection. None: closed meanwhile, and what waits at a shared socket is its others'."""
        if self._shared:
            poll = select.poll()
            poll.register(self._sock, select.POLLIN)
            while not self._closed:
                if poll.poll(TURN_MS) and not self._closed:
                    with contextlib.suppress(BlockingIOError):
                        return self._sock.accept()[0]
            self._sock.close()
            return None
        return self._sock.accept()[0]

    def _accept(self) -> None:
        while True:
            self._room.acquire()
            try:
                sock = self._next()
            except OSError as trouble:
                self._room.release()
                if self._closed:
                    return
                # Out of descriptors or aborted by the peer: neither may end the accepting for good.
                log.warning("accept: %s", trouble)
                time.sleep(0.02)
                continue
            if sock is None:
                return
            sock.setblocking(True)
            try:
                link = Link(sock, self._inbox, None, self._speaks())
            except OSError:
                sock.close()  # gone already
                self._room.release()
                continue
            link.on_freed = self._room.release
            link.whole_ms, link.first_ms = MESSAGE_TIMEOUT_MS, FIRST_BYTE_TIMEOUT_MS
            link.first_whole_at = time.monotonic_ns() // 1_000_000 + FIRST_MESSAGE_TIMEOUT_MS
            link.outbox_most, link.chunk = CALLER_OUTBOX_MOST, CALLER_READ_SIZE
            self._inbox.put(Opened(link))
            try:
                link.start(patience=1.0)  # its set-up would be lost with it
            except RuntimeError as trouble:
                log.warning("no thread for a caller's connection: %s", trouble)
                sock.close()
                self._room.release()
                self._inbox.put(Closed(link))


class Reader:
    """One thread that reads all connections to servers.

    A thread each is what a machine that holds hundreds of softswitches does not have: with two dozen servers
    a thousand of them come to 32,565 threads, where 32,768 may be. None of these reads can block, since they
    follow a poll, and a connection of which much waits for the loop is left alone until it is dealt with.
    """

    def __init__(self) -> None:
        self._links: list[Link] = []
        self._lock = threading.Lock()  # over that list

    def start(self) -> None:
        start_thread(self._run)

    def add(self, link: Link) -> None:
        """From now on, or within `LOOK_MS`: a peer of many connections is waited for that long anyway."""
        link.shared = True
        with self._lock:
            self._links.append(link)

    def _run(self) -> None:
        while True:
            with self._lock:
                links = [*self._links]
            by_descriptor = {link.sock.fileno(): link for link in links if not link.full()}
            poll = select.poll()
            for descriptor in by_descriptor:
                poll.register(descriptor, select.POLLIN)
            ended = [
                by_descriptor[at] for at, _ in poll.poll(LOOK_MS) if not by_descriptor[at].read_available()
            ]
            ended += [link for link in links if link not in ended and link.stops_short()]
            if ended:
                with self._lock:
                    self._links = [link for link in self._links if link not in ended]


def dial(
    where: str, timeout_us: int, inbox: Inbox, owner: Any, reader: Reader, wire_codec: WireCodec | None = None
) -> None:
    """Connect aside. The loop is told `Opened` or `DialFailed`."""

    def connect() -> None:
        try:
            sock = socket.create_connection(parse_address(where), timeout=timeout_us / 1e6)
            link = Link(sock, inbox, owner, wire_codec)
        except Exception as trouble:  # whatever it was, the loop must hear of it, or it waits for ever
            inbox.put(DialFailed(owner, isinstance(trouble, ConnectionRefusedError)))
            return
        inbox.put(Opened(link))
        reader.add(link)

    try:
        threading.Thread(target=connect, daemon=True).start()
    except RuntimeError:
        inbox.put(DialFailed(owner, False))
