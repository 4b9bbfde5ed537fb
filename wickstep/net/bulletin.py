"""The bulletin's client: a thread that follows the numbered changes of the pool list of setup servers.

This file owns the HTTP/1.1 long polling of the bulletin and the parsing of its events. It must never judge a
server or skip an event that can be parsed: events go to the loop in order. A bulletin that is silent, slow or
sends invalid data affects this thread only, and must never end it.
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

ANSWER_GRACE_S = 1.0  # what an answer may take beyond the time that the bulletin may hold the request
RETRY_DELAY_S = 0.1  # after a failed request
MAX_ANSWER_BYTES = 4 * 1024 * 1024
STATES = {"Ready": ServerState.ACTIVE, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}


class BadResponse(ValueError):
    """The bulletin's answer is not valid, or is not to be used."""


@dataclass(slots=True, frozen=True)
class ListedServer:
    """One line of the pool list."""

    host: str
    address: str
    number: int
    state: ServerState
    born_ms: int  # Unix time of the start of a server that started late; 0: long ago


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """One event of the bulletin: changes of the pool list, or the complete list."""

    number: int
    is_complete: bool
    listed_servers: tuple[ListedServer, ...]


# ArithmeticError: 1e999 is valid JSON, and int() of it raises OverflowError.
PARSE_ERRORS = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError)


def read_events(answer: Any) -> tuple[int, list[ListUpdate]]:
    """The last event number and the events of an answer, or of the configuration's `known`.

    An event or a line that cannot be parsed is logged and skipped: requested again it would come again, and
    nothing after it, such as the drain of a server, would ever be processed.
    """
    try:
        last, items = int(answer["no"]), list(answer["items"])
    except PARSE_ERRORS as exc:
        raise BadResponse(f"expected a number and a list of events from the bulletin: {exc!r}") from exc
    events = []
    for item in items:
        try:
            roster = item.get("roster")
            if roster is not None:  # else an event of another kind
                hosts = _read_lines(roster["hosts"])
                # Where lines were skipped, a server that is not on the list need not be gone.
                is_complete = bool(roster.get("whole")) and len(hosts) == len(roster["hosts"])
                events.append(ListUpdate(int(item["no"]), is_complete, hosts))
        except PARSE_ERRORS as exc:
            log.error("skipping an event of the bulletin that cannot be parsed: %r", exc)
    return last, events


def count_missing(answer: Any, after: int) -> int:
    """How many events after that number are missing from an answer, up to its last event number."""
    numbers = set()
    for item in answer["items"]:
        with contextlib.suppress(*PARSE_ERRORS):
            numbers.add(int(item["no"]))
    last = int(answer["no"])
    return max(last - after, 0) - sum(after < number <= last for number in numbers)


def _read_lines(lines: Any) -> tuple[ListedServer, ...]:
    found = []
    for line in lines:
        try:
            found.append(_read_line(line))
        except PARSE_ERRORS as exc:
            log.error("skipping a line of the pool list that cannot be parsed: %r in %r", exc, line)
    return tuple(found)


def _read_line(line: Any) -> ListedServer:
    return ListedServer(
        host=str(line["host"]),
        address=str(line["dial"]),
        number=int(line["block"]),
        state=STATES[line["health"]],
        born_ms=int(line.get("born_ms") or 0),
    )


class Client:
    """Polls the bulletin and hands each event to `on_update`."""

    def __init__(
        self,
        address: str,
        after: int,
        on_update: Callable[[ListUpdate], None],
        random: Random | None = None,
        grace_s: float = 0.0,
    ) -> None:
        """Follow `address` from event number `after`; a draining server may be sent to for `grace_s`."""
        self._address, self._after, self._on_update = address, after, on_update
        self._random, self._grace_s = random or Random(), grace_s
        self._hold_ms = 0  # how long the bulletin may hold the current request
        self._last_gap = (0, 0, 0)  # last answer with missing events: after which number, to which, how many
        self._sock: socket.socket | None = None
        self._connected_to = ""  # the address of that socket
        self._buffer = b""
        # Guards the address and the socket, which `change_address` uses from the loop's thread.
        self._lock = threading.Lock()
        self._address_changed = threading.Event()

    def start(self) -> None:
        links.start_thread(self._follow)

    def change_address(self, address: str) -> None:
        """Follow the bulletin at another address, from the event number that was reached; never blocks.

        The thread may wait for an answer that will never come: it is woken, since events at the new address
        are expected to take effect soon after the change.
        """
        with self._lock:
            self._address, sock = address, self._sock
            self._address_changed.set()
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def _follow(self) -> None:
        # Softswitches that start together must not poll together, neither now nor from then on.
        self._address_changed.wait(jitter.draw_list_delay_s(self._random, self._after > 0, self._grace_s))
        while True:
            try:
                self.poll_once()
            except Exception as exc:  # if this thread ended, no drain would be noticed any more
                log.warning("polling the bulletin failed: %r", exc)
                self._disconnect()
                self._address_changed.wait(RETRY_DELAY_S)  # a new address is polled at once
                self._address_changed.clear()

    def poll_once(self) -> None:
        """One request; its events go to `on_update`, which must not block."""
        self._hold_ms = jitter.draw_list_hold_ms(self._random)
        answer = self._get(f"/bulletins?after={self._after}&patience={self._hold_ms}")
        last, events = read_events(answer)
        gap = (self._after, last, count_missing(answer, self._after))
        if gap[2] and gap != self._last_gap:
            # Requested again, since a drain may be among them. Events missing twice are not available.
            self._last_gap = gap
            raise BadResponse(f"answer of the bulletin lacks {gap[2]} events after number {self._after}")
        with self._lock:  # against `change_address`, after which no answer of the old address counts
            if self._connected_to != self._address:
                raise BadResponse("answer from an old address: the bulletin's address was changed meanwhile")
            for event in sorted(events, key=lambda event: event.number):
                if event.number > self._after:
                    self._on_update(event)
                    self._after = event.number
            self._after = max(self._after, last)

    def _disconnect(self) -> None:
        with self._lock:
            sock, self._sock, self._buffer = self._sock, None, b""
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.close()

    def _connect(self) -> socket.socket:
        """The connection to the bulletin's current address."""
        address = self._address
        if self._sock is not None and self._connected_to == address:
            return self._sock
        self._disconnect()
        sock = socket.create_connection(links.parse_address(address), timeout=ANSWER_GRACE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._sock, self._connected_to = sock, address
            if address != self._address:
                raise BadResponse("bulletin's address was changed while connecting to the old one")
        return sock

    def _get(self, path: str) -> Any:
        sock = self._connect()
        # One deadline for the whole answer: a bulletin that sends single bytes must not block us for ever.
        deadline = time.monotonic() + self._hold_ms / 1000 + ANSWER_GRACE_S
        request = f"GET {path} HTTP/1.1\r\nHost: {self._connected_to}\r\nAccept: application/json\r\n\r\n"
        sock.sendall(request.encode())
        head = self._read_until(b"\r\n\r\n", deadline).decode("latin-1").split("\r\n")
        status = head[0].split(" ", 2)
        if len(status) < 2 or not status[0].startswith("HTTP/1.") or status[1] != "200":
            raise BadResponse(f"expected HTTP/1 and status 200 from the bulletin, got {head[0]!r}")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        if "chunked" in fields.get("transfer-encoding", "").lower():
            body = self._read_chunks(deadline)
        else:
            body = self._read_exactly(self._parse_size(fields.get("content-length", ""), 10), deadline)
        if fields.get("connection", "").lower() == "close" or status[0] == "HTTP/1.0":
            self._disconnect()
        try:
            return ujson.loads(body)
        except ValueError as exc:
            raise BadResponse("expected JSON in the body of the bulletin's answer") from exc

    def _parse_size(self, text: str, base: int) -> int:
        try:
            size = int(text, base)
        except ValueError as exc:
            raise BadResponse(f"expected a body or chunk length from the bulletin, got {text!r}") from exc
        if not 0 <= size <= MAX_ANSWER_BYTES:
            raise BadResponse(f"expected a length of at most 4 MiB from the bulletin, got {size}")
        return size

    def _read_chunks(self, deadline: float) -> bytes:
        body = b""
        while True:
            size = self._parse_size(
                self._read_until(b"\r\n", deadline).decode("latin-1").split(";")[0].strip(), 16
            )
            if size == 0:
                while self._read_until(b"\r\n", deadline):
                    pass  # trailers
                return body
            body += self._read_exactly(size, deadline)
            if self._read_exactly(2, deadline) != b"\r\n" or len(body) > MAX_ANSWER_BYTES:
                raise BadResponse("chunk of the bulletin lacks its line end, or the chunks exceed 4 MiB")

    def _read_until(self, delimiter: bytes, deadline: float) -> bytes:
        while delimiter not in self._buffer:
            if len(self._buffer) > links.READ_SIZE:
                raise BadResponse("no end of a head or line within 16 KiB of the bulletin's answer")
            self._receive(deadline)
        found, _, self._buffer = self._buffer.partition(delimiter)
        return found

    def _read_exactly(self, size: int, deadline: float) -> bytes:
        while len(self._buffer) < size:
            self._receive(deadline)
        found, self._buffer = self._buffer[:size], self._buffer[size:]
        return found

    def _receive(self, deadline: float) -> None:
        if self._sock is None:
            raise BadResponse("not connected to the bulletin")
        timeout_s = deadline - time.monotonic()
        if timeout_s <= 0:
            raise BadResponse("answer of the bulletin not complete in time")
        self._sock.settimeout(timeout_s)
        data = self._sock.recv(links.READ_SIZE)
        if not data:
            raise BadResponse("connection to the bulletin ended before its answer was complete")
        self._buffer += data
