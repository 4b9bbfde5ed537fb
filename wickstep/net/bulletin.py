"""The bulletin client: a thread that follows the numbered changes of the list of setup servers.

This file owns the HTTP/1.1 of the bulletin and the reading of its events. It must never judge a server or
skip an event that can be read: what it has read goes to the loop in order, and a bulletin that is silent,
slow or talks nonsense costs this thread only, which must outlive it.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import ujson

from wickstep.interface import ServerState
from wickstep.net import links
from wickstep.recovery import jitter

log = logging.getLogger(__name__)

GRACE_S = 1.0  # what the answer may take on top of that
PAUSE_S = 0.1  # after a failure
ANSWER_MOST = 4 * 1024 * 1024
STATES = {"Ready": ServerState.ACTIVE, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}


class BadResponse(ValueError):
    """What came from the bulletin cannot be read."""


@dataclass(slots=True, frozen=True)
class ListedServer:
    """One line of the list."""

    host: str
    address: str
    number: int
    state: ServerState
    born_ms: int  # Unix time of a late start; 0: long ago


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """One event of the bulletin."""

    number: int
    is_complete: bool
    listed_servers: tuple[ListedServer, ...]


UNREADABLE = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError)  # 1e999 is JSON


def read_events(answer: Any) -> tuple[int, list[ListUpdate]]:
    """The last number and the events of `known` or of an answer.

    An event or a line that cannot be read is passed over, loudly: asked for again it would come again, and
    all that follows, a server that drains among it, would never be heard.
    """
    try:
        last, items = int(answer["no"]), list(answer["items"])
    except UNREADABLE as trouble:
        raise BadResponse(f"no list of events: {trouble!r}") from trouble
    events = []
    for item in items:
        try:
            roster = item.get("roster")
            if roster is not None:  # else an event of another kind
                hosts = _readable(roster["hosts"])
                # Of a whole list with a hole in it, nobody is gone for not being on it.
                whole = bool(roster.get("whole")) and len(hosts) == len(roster["hosts"])
                events.append(ListUpdate(int(item["no"]), whole, hosts))
        except UNREADABLE as trouble:
            log.error("an event is passed over: %r", trouble)
    return last, events


def missing_after(answer: Any, after: int) -> int:
    """How many of the events after that number an answer lacks, up to the last that it speaks of."""
    numbers = set()
    for item in answer["items"]:
        with contextlib.suppress(*UNREADABLE):
            numbers.add(int(item["no"]))
    last = int(answer["no"])
    return max(last - after, 0) - sum(after < number <= last for number in numbers)


def _readable(lines: Any) -> tuple[ListedServer, ...]:
    found = []
    for line in lines:
        try:
            found.append(_listed(line))
        except UNREADABLE as trouble:
            log.error("a line of the list is passed over: %r in %r", trouble, line)
    return tuple(found)


def _listed(line: Any) -> ListedServer:
    return ListedServer(
        host=str(line["host"]),
        address=str(line["dial"]),
        number=int(line["block"]),
        state=STATES[line["health"]],
        born_ms=int(line.get("born_ms") or 0),
    )


class Client:
    """Calls the bulletin again and again and hands each event on."""

    def __init__(
        self,
        where: str,
        after: int,
        hand_on: Callable[[ListUpdate], None],
        random: Random | None = None,
        grace_s: float = 0.0,
    ) -> None:
        """Follow `where` from the number `after`; `grace_s` as the settings have it for servers that go."""
        self._where, self._after, self._hand_on = where, after, hand_on
        self._random, self._grace_s = random or Random(), grace_s
        self._held_ms = 0  # by the call that is out
        self._gap = (0, 0, 0)  # the last answer that jumped: after which number, to which, over how many
        self._sock: socket.socket | None = None
        self._to = ""  # where that leads
        self._rest = b""
        # over where to call and the socket, which `change_address` reaches into
        self._lock = threading.Lock()
        self._moved = threading.Event()

    def start(self) -> None:
        links.start_thread(self._follow)

    def change_address(self, where: str) -> None:
        """Follow the bulletin at another address, from the number that was reached.

        The thread may be in the middle of a call that will never be answered: it is woken, since what the new
        address has to tell counts as told soon after. Never blocks.
        """
        with self._lock:
            self._where, sock = where, self._sock
            self._moved.set()
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def _follow(self) -> None:
        # A fleet that comes back together must not call together, nor in step from then on.
        self._moved.wait(jitter.draw_list_delay_s(self._random, self._after > 0, self._grace_s))
        while True:
            try:
                self.poll_once()
            except Exception as trouble:  # without this thread no drain would be heard of ever again
                log.warning("bulletin: %r", trouble)
                self._hang_up()
                self._moved.wait(PAUSE_S)  # a new address is called at once
                self._moved.clear()

    def poll_once(self) -> None:
        """One call; what it brought is handed on, which must not wait."""
        self._held_ms = jitter.draw_list_hold_ms(self._random)
        answer = self._get(f"/bulletins?after={self._after}&patience={self._held_ms}")
        last, events = read_events(answer)
        gap = (self._after, last, missing_after(answer, self._after))
        if gap[2] and gap != self._gap:
            # A drain may be among them: asked for again. What is missing twice is not there to be had.
            self._gap = gap
            raise BadResponse(f"{gap[2]} events after {self._after} are missing")
        with self._lock:  # against `change_address`, after which the old address has nothing to say any more
            if self._to != self._where:
                raise BadResponse("moved while this was on its way")
            for event in sorted(events, key=lambda event: event.number):
                if event.number > self._after:
                    self._hand_on(event)
                    self._after = event.number
            self._after = max(self._after, last)

    def _hang_up(self) -> None:
        with self._lock:
            sock, self._sock, self._rest = self._sock, None, b""
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.close()

    def _connect(self) -> socket.socket:
        """The connection to where the bulletin is now."""
        where = self._where
        if self._sock is not None and self._to == where:
            return self._sock
        self._hang_up()
        sock = socket.create_connection(links.parse_address(where), timeout=GRACE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._sock, self._to = sock, where
            if where != self._where:
                raise BadResponse("moved while connecting")
        return sock

    def _get(self, path: str) -> Any:
        sock = self._connect()
        # One clock for the whole answer: a bulletin that drips a byte now and then must not hold us for ever.
        until = time.monotonic() + self._held_ms / 1000 + GRACE_S
        request = f"GET {path} HTTP/1.1\r\nHost: {self._to}\r\nAccept: application/json\r\n\r\n"
        sock.sendall(request.encode())
        head = self._until(b"\r\n\r\n", until).decode("latin-1").split("\r\n")
        status = head[0].split(" ", 2)
        if len(status) < 2 or not status[0].startswith("HTTP/1.") or status[1] != "200":
            raise BadResponse(f"status line {head[0]!r}")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        if "chunked" in fields.get("transfer-encoding", "").lower():
            body = self._chunks(until)
        else:
            body = self._exactly(self._size(fields.get("content-length", ""), 10), until)
        if fields.get("connection", "").lower() == "close" or status[0] == "HTTP/1.0":
            self._hang_up()
        try:
            return ujson.loads(body)
        except ValueError as trouble:
            raise BadResponse("the body is not JSON") from trouble

    def _size(self, text: str, base: int) -> int:
        try:
            size = int(text, base)
        except ValueError as trouble:
            raise BadResponse(f"length {text!r}") from trouble
        if not 0 <= size <= ANSWER_MOST:
            raise BadResponse(f"length {size}")
        return size

    def _chunks(self, until: float) -> bytes:
        body = b""
        while True:
            size = self._size(self._until(b"\r\n", until).decode("latin-1").split(";")[0].strip(), 16)
            if size == 0:
                while self._until(b"\r\n", until):
                    pass  # trailers
                return body
            body += self._exactly(size, until)
            if self._exactly(2, until) != b"\r\n" or len(body) > ANSWER_MOST:
                raise BadResponse("a chunk does not end where it should")

    def _until(self, mark: bytes, until: float) -> bytes:
        while mark not in self._rest:
            if len(self._rest) > links.READ_SIZE:
                raise BadResponse("a head without end")
            self._more(until)
        found, _, self._rest = self._rest.partition(mark)
        return found

    def _exactly(self, size: int, until: float) -> bytes:
        while len(self._rest) < size:
            self._more(until)
        found, self._rest = self._rest[:size], self._rest[size:]
        return found

    def _more(self, until: float) -> None:
        if self._sock is None:
            raise BadResponse("hung up")
        left = until - time.monotonic()
        if left <= 0:
            raise BadResponse("no whole answer in time")
        self._sock.settimeout(left)
        data = self._sock.recv(links.READ_SIZE)
        if not data:
            raise BadResponse("closed by the bulletin")
        self._rest += data
