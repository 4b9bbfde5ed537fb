"""One HTTP/1.1 connection to the bulletin, and how long an answer on it may take.

This file owns the reading of answers. It must never interpret the events in an answer, nor decide what
follows when one does not come. Times are seconds.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable
from typing import Any

import ujson

from wickstep.net import links

CONNECT_TIMEOUT_S = 1.0
# What an answer may take beyond the time for which the bulletin may hold the request. News counts as told 7 s
# after it was published: with a hold of 2.4 s, 1.1 s are left to ask on another connection.
MIN_GRACE_S = 3.5
MAX_GRACE_S = 10.0  # of a bulletin whose own answers take longer than the usual grace
GRACE_FACTOR = 2.0  # grace over the lateness of recent answers
LATENESS_DECAY = 0.9  # of the greatest lateness, with each answer that came sooner
MAX_WAIT_S = 30.0  # for an answer in all; nobody waits for it except for what it may tell
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class BadResponse(ValueError):
    """The bulletin's answer is not valid, or is not to be used."""


class AnswerTimes:
    """How late the bulletin's answers come, and so how long the next one is waited for."""

    def __init__(self) -> None:
        self._lateness_s = 0.0  # of recent answers, the greatest; it decays

    @property
    def grace_s(self) -> float:
        """What the next answer may take beyond the hold time of its request."""
        return min(max(MIN_GRACE_S, GRACE_FACTOR * self._lateness_s), MAX_GRACE_S)

    def note(self, took_s: float, hold_s: float) -> None:
        """An answer has come: it took so long, and its request might be held for `hold_s`."""
        self._lateness_s = max(took_s - hold_s, LATENESS_DECAY * self._lateness_s)


class AnswerWait:
    """The wait for one answer. When it is overdue the caller decides whether it goes on."""

    def __init__(self, hold_s: float, times: AnswerTimes, on_overdue: Callable[[], bool]) -> None:
        """`on_overdue` is called once, and returns whether the answer is still waited for."""
        self._asked_at = time.monotonic()
        self._hold_s, self._times, self._on_overdue = hold_s, times, on_overdue
        self._is_overdue = False

    def remaining_s(self) -> float:
        """How long to wait for the next bytes; BadResponse if that time is over."""
        elapsed_s = time.monotonic() - self._asked_at
        if not self._is_overdue:
            left_s = self._hold_s + self._times.grace_s - elapsed_s
            if left_s > 0:
                return left_s
            self._is_overdue = True
            if not self._on_overdue():
                raise BadResponse("answer of the bulletin not complete in time")
        if elapsed_s >= MAX_WAIT_S:
            raise BadResponse("answer of the bulletin not complete in time, though it was waited for longer")
        return MAX_WAIT_S - elapsed_s

    def end(self) -> None:
        """The answer is complete."""
        self._times.note(time.monotonic() - self._asked_at, self._hold_s)


class BulletinConnection:
    """A connection to the bulletin, which answers one request at a time."""

    def __init__(self, address: str) -> None:
        """Connect; OSError if that fails."""
        self.address = address
        self._buffer = bytearray()
        self._sock = socket.create_connection(links.parse_address(address), timeout=CONNECT_TIMEOUT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.is_open = True

    def shut_down(self) -> None:
        """End it for the thread that waits for an answer there; never blocks."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.is_open = False
        with contextlib.suppress(OSError):
            self._sock.close()

    def get(self, path: str, wait: AnswerWait) -> Any:
        """Send a request and return the JSON of its answer; BadResponse or OSError if none comes."""
        request = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\nAccept: application/json\r\n\r\n"
        self._sock.sendall(request.encode())
        head = self._read_until(b"\r\n\r\n", wait).decode("latin-1").split("\r\n")
        status = head[0].split(" ", 2)
        if len(status) < 2 or not status[0].startswith("HTTP/1.") or status[1] != "200":
            raise BadResponse(f"expected HTTP/1 and status 200 from the bulletin, got {head[0]!r}")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        if "chunked" in fields.get("transfer-encoding", "").lower():
            body = self._read_chunks(wait)
        else:
            body = self._read_exactly(self._parse_size(fields.get("content-length", ""), 10), wait)
        wait.end()
        if fields.get("connection", "").lower() == "close" or status[0] == "HTTP/1.0":
            self.close()
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

    def _read_chunks(self, wait: AnswerWait) -> bytes:
        body = bytearray()
        while True:
            size = self._parse_size(
                self._read_until(b"\r\n", wait).decode("latin-1").split(";")[0].strip(), 16
            )
            if size == 0:
                while self._read_until(b"\r\n", wait):
                    pass  # trailers
                return bytes(body)
            body += self._read_exactly(size, wait)
            if self._read_exactly(2, wait) != b"\r\n" or len(body) > MAX_ANSWER_BYTES:
                raise BadResponse("chunk of the bulletin lacks its line end, or the chunks exceed 4 MiB")

    def _read_until(self, delimiter: bytes, wait: AnswerWait) -> bytes:
        searched = 0  # bytes in which the delimiter does not begin
        while (found := self._buffer.find(delimiter, searched)) < 0:
            searched = max(len(self._buffer) - len(delimiter) + 1, 0)
            if len(self._buffer) > links.READ_SIZE:
                raise BadResponse("no end of a head or line within 16 KiB of the bulletin's answer")
            self._receive(wait)
        line = bytes(self._buffer[:found])
        del self._buffer[: found + len(delimiter)]
        return line

    def _read_exactly(self, size: int, wait: AnswerWait) -> bytes:
        while len(self._buffer) < size:
            self._receive(wait)
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def _receive(self, wait: AnswerWait) -> None:
        while True:
            self._sock.settimeout(wait.remaining_s())
            with contextlib.suppress(TimeoutError):
                data = self._sock.recv(links.READ_SIZE)
                break
        if not data:
            raise BadResponse("connection to the bulletin ended before its answer was complete")
        self._buffer += data
