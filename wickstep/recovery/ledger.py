"""Which calls are being set up or stand, by the records of a journal.

This file owns that state and what each record does to it; a record that fits no state changes nothing. It
must never do I/O or read a clock. The table is bounded: beyond that the oldest call leaves it, and counts.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from wickstep.recovery.records import ATTEMPTS_MOST, SERVERS_MOST, Kind, Record

LIVE_MOST = 20_000  # calls


class Phase(Enum):
    TAKEN = "taken"  # no attempt is out
    OUT = "out"  # one is, or was when the record ends
    STANDS = "stands"
    ENDING = "ending"  # what stood is over, and its caller has not confirmed to have heard so


NEXT = {
    (Phase.OUT, Kind.OVER): Phase.TAKEN,
    (Phase.OUT, Kind.STANDS): Phase.STANDS,
    (Phase.STANDS, Kind.OVER): Phase.ENDING,
}


class CallState(NamedTuple):
    """What is known of a live call. `host` and `born_ms` say where its latest attempt went."""

    phase: Phase
    host: str = ""
    born_ms: int = 0
    attempts: int = 0
    sent_ms: int = 0


class Ledger:
    def __init__(self, max_calls: int = LIVE_MOST) -> None:
        self.max_calls = max_calls
        self.live: OrderedDict[int, CallState] = OrderedDict()
        self.numbers: dict[tuple[str, int], int] = {}  # of servers, by host and start
        self._servers: dict[int, tuple[str, int]] = {}
        self.evicted = 0  # calls that had to leave the table

    def begin(self) -> None:
        """A new segment: numbers of servers count from 0 again."""
        self.numbers.clear()
        self._servers.clear()

    def server(self, host: str, born_ms: int) -> Record | None:
        """The record that gives a server its number, if it has none yet."""
        if (host, born_ms) in self.numbers or len(self.numbers) >= SERVERS_MOST:
            return None
        record = Record(Kind.SERVER, server=len(self.numbers), at_ms=born_ms, host=host)
        self.apply(record)
        return record

    def apply(self, record: Record) -> bool:
        """Whether the record fitted what was known before it."""
        match record.kind:
            case Kind.SERVER:
                where = (record.host, record.at_ms)
                self.numbers[where] = record.server
                self._servers[record.server] = where
                return True
            case Kind.LIVE:
                return True
            case Kind.TAKEN:
                if record.call in self.live:
                    return False
                self._put(record.call, CallState(Phase.TAKEN))
                return True
        known = self.live.get(record.call)
        if record.kind is Kind.ENDED:
            return self.live.pop(record.call, None) is not None
        if record.kind is Kind.SENT:
            where = self._servers.get(record.server, ("", 0))
            fits = known is None or known.phase is Phase.TAKEN
            if not where[0] or not fits:
                return False
            self._put(
                record.call, CallState(Phase.OUT, *where, min(record.attempt, ATTEMPTS_MOST), record.at_ms)
            )
            return True
        phase = NEXT.get((known.phase, record.kind)) if known is not None else None
        if known is None or phase is None:
            return False
        self.live[record.call] = known._replace(phase=phase)
        return True

    def _put(self, call: int, known: CallState) -> None:
        self.live[call] = known
        if len(self.live) > self.max_calls:
            self.live.popitem(last=False)
            self.evicted += 1

    def snapshot(self) -> Iterator[Record]:
        """The records that a new segment begins with, from which a replay comes to what is live now."""
        calls = [*self.live.items()]
        self.begin()
        for call, known in calls:
            if known.phase is Phase.TAKEN and not known.host:
                yield Record(Kind.TAKEN, call)
                continue
            if (found := self.server(known.host, known.born_ms)) is not None:
                yield found
            number = self.numbers.get((known.host, known.born_ms))
            if number is None:
                continue  # more servers than numbers: cannot be by the bound on calls
            yield Record(Kind.SENT, call, number, known.attempts, known.sent_ms)
            if known.phase is not Phase.OUT:
                yield Record(Kind.OVER if known.phase is Phase.TAKEN else Kind.STANDS, call)
            if known.phase is Phase.ENDING:
                yield Record(Kind.OVER, call)
        yield Record(Kind.LIVE)
