"""The bulletin's client: a thread that follows the numbered changes of the pool list of setup servers.

This file owns the long polling of the bulletin and the parsing of its events. It must never judge a server or
skip an event that can be parsed: events go to the loop in order. A bulletin that is silent, slow or sends
invalid data affects this thread only, and must never end it.
"""

from __future__ import annotations

import contextlib
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from wickstep.interface import ServerState
from wickstep.net import links
from wickstep.net.bulletin_connection import AnswerTimes, AnswerWait, BadResponse, BulletinConnection
from wickstep.recovery import jitter

log = logging.getLogger(__name__)

RETRY_DELAY_S = 0.1  # after a failed request
STATES = {"Ready": ServerState.ACTIVE, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}


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
    """Polls the bulletin and hands each event to `on_update`.

    One thread follows the bulletin. Where an answer is overdue it may come late, and is news all the same, or
    never: that thread goes on waiting for it, and another one follows the bulletin on a new connection.
    """

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
        self._last_gap = (0, 0, 0)  # last answer with missing events: after which number, to which, how many
        self.answer_times = AnswerTimes()
        self._connection: BulletinConnection | None = None  # of the thread that follows the bulletin
        self._late_connection: BulletinConnection | None = None  # of one that waits for an overdue answer
        self._follower: threading.Thread | None = None
        # Guards all of the above, which the loop's thread uses too.
        self._lock = threading.RLock()
        self._address_changed = threading.Event()

    def start(self) -> None:
        links.start_thread(self._start_following)

    def change_address(self, address: str) -> None:
        """Follow the bulletin at another address, from the event number that was reached; never blocks.

        The threads may wait for an answer that will never come: they are woken, since events at the new
        address are expected to take effect soon after the change.
        """
        with self._lock:
            self._address = address
            self._address_changed.set()
            for connection in (self._connection, self._late_connection):
                if connection is not None:
                    connection.shut_down()

    def _start_following(self) -> None:
        # Softswitches that start together must not poll together, neither now nor from then on.
        self._address_changed.wait(jitter.draw_list_delay_s(self._random, self._after > 0, self._grace_s))
        self._follow()

    def _follow(self) -> None:
        """Poll until another thread follows the bulletin."""
        self._follower = threading.current_thread()
        while self._follower is threading.current_thread():
            try:
                self.poll_once()
            except Exception as exc:  # if this thread ended, no drain would be noticed any more
                log.warning("polling the bulletin failed: %r", exc)
                if self._follower is threading.current_thread():
                    self._address_changed.wait(RETRY_DELAY_S)  # a new address is polled at once
                    self._address_changed.clear()

    def poll_once(self) -> None:
        """One request; its events go to `on_update`, which must not block."""
        hold_ms, after, address = jitter.draw_list_hold_ms(self._random), self._after, self._address
        answer = self._get(f"/bulletins?after={after}&patience={hold_ms}", hold_ms)
        self._apply(answer, after, address)

    def _get(self, path: str, hold_ms: int) -> Any:
        """The answer to a request that may be held for so long."""
        connection = self._connect()
        try:
            wait = AnswerWait(
                hold_ms / 1000, self.answer_times, partial(self._leave_to_another_thread, connection)
            )
            return connection.get(path, wait)
        except Exception:
            connection.close()
            raise
        finally:
            self._forget_unused(connection)

    def _apply(self, answer: Any, after: int, address: str) -> None:
        """Hand on the events of an answer from that address, which was asked with that event number."""
        last, events = read_events(answer)
        gap = (after, last, count_missing(answer, after))
        with self._lock:  # against `change_address`, after which no answer of the old address counts
            if address != self._address:
                raise BadResponse("answer from an old address: the bulletin's address was changed meanwhile")
            if gap[2] and gap != self._last_gap:
                # Requested again, since a drain may be among them. Events missing twice are not available.
                self._last_gap = gap
                raise BadResponse(f"answer of the bulletin lacks {gap[2]} events after number {after}")
            for event in sorted(events, key=lambda event: event.number):
                if event.number > self._after:
                    self._on_update(event)
                    self._after = event.number
            self._after = max(self._after, last)

    def _connect(self) -> BulletinConnection:
        """The connection to the bulletin's current address."""
        address = self._address
        with self._lock:
            if self._connection is not None and self._connection.address == address:
                return self._connection
        connection = BulletinConnection(address)
        with self._lock:
            if address != self._address:
                connection.close()
                raise BadResponse("bulletin's address was changed while connecting to the old one")
            if self._connection is not None:
                self._connection.close()
            self._connection = connection
        return connection

    def _leave_to_another_thread(self, connection: BulletinConnection) -> bool:
        """An answer is overdue: go on waiting for it, unless one is waited for already or no thread is free.

        A slow bulletin answers late, and what it tells is news. On a dead connection nothing comes any more.
        """
        with self._lock:
            if self._late_connection is not None or connection.address != self._address:
                return False
            thread = threading.Thread(target=self._follow, daemon=True)
            try:
                thread.start()
            except RuntimeError:
                return False
            log.warning("answer of the bulletin is overdue: asking on another connection, waiting for it too")
            self._connection, self._late_connection, self._follower = None, connection, thread
            return True

    def _forget_unused(self, connection: BulletinConnection) -> None:
        """Close a connection whose late answer has come, and forget those that are closed."""
        with self._lock:
            if connection is self._late_connection:
                connection.close()
                self._late_connection = None
            if connection is self._connection and not connection.is_open:
                self._connection = None
