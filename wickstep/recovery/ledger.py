"""The table of live calls (being set up, or standing) that the records of a journal describe.

This file owns that state and the transition for each record; a record that does not fit the state changes
nothing. It must never do I/O or read a clock. The table is bounded: when it is full the oldest call is
evicted, and counted.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from wickstep.recovery.records import MAX_ATTEMPT, MAX_SERVERS, Kind, Record

MAX_LIVE_CALLS = 20_000


class Phase(Enum):
    TAKEN = "taken"  # no attempt is in flight
    IN_FLIGHT = "out"  # an attempt is in flight, or was at the end of the journal
    STANDS = "stands"
    ENDING = "ending"  # the call is over, but its caller has not confirmed the release


NEXT_PHASE = {
    (Phase.IN_FLIGHT, Kind.OVER): Phase.TAKEN,
    (Phase.IN_FLIGHT, Kind.STANDS): Phase.STANDS,
    (Phase.STANDS, Kind.OVER): Phase.ENDING,
}


class CallState(NamedTuple):
    """What is known of a live call. `host` and `born_ms` are those of the server of its latest attempt."""

    phase: Phase
    host: str = ""
    born_ms: int = 0
    attempts: int = 0
    sent_ms: int = 0


class Ledger:
    def __init__(self, max_calls: int = MAX_LIVE_CALLS) -> None:
        self.max_calls = max_calls
        self.live: OrderedDict[int, CallState] = OrderedDict()
        self.server_numbers: dict[tuple[str, int], int] = {}  # by host and start
        self._servers: dict[int, tuple[str, int]] = {}
        self.evicted = 0  # calls dropped because the table was full

    def reset_servers(self) -> None:
        """Start a new segment, in which the numbers of servers count from 0 again."""
        self.server_numbers.clear()
        self._servers.clear()

    def assign_number(self, host: str, born_ms: int) -> Record | None:
        """Assign a number to a server and return the record of it; None if it has one or none is free."""
        if (host, born_ms) in self.server_numbers or len(self.server_numbers) >= MAX_SERVERS:
            return None
        record = Record(Kind.SERVER, server=len(self.server_numbers), at_ms=born_ms, host=host)
        self.apply(record)
        return record

    def apply(self, record: Record) -> bool:
        """Apply a record; False if it does not fit the state before it."""
        match record.kind:
            case Kind.SERVER:
                server = (record.host, record.at_ms)
                self.server_numbers[server] = record.server
                self._servers[record.server] = server
                return True
            case Kind.LIVE:
                return True
            case Kind.TAKEN:
                if record.call in self.live:
                    return False
                self._insert(record.call, CallState(Phase.TAKEN))
                return True
        state = self.live.get(record.call)
        if record.kind is Kind.ENDED:
            return self.live.pop(record.call, None) is not None
        if record.kind is Kind.SENT:
            server = self._servers.get(record.server, ("", 0))
            may_send = state is None or state.phase is Phase.TAKEN
            if not server[0] or not may_send:
                return False
            self._insert(
                record.call,
                CallState(Phase.IN_FLIGHT, *server, min(record.attempt, MAX_ATTEMPT), record.at_ms),
            )
            return True
        phase = NEXT_PHASE.get((state.phase, record.kind)) if state is not None else None
        if state is None or phase is None:
            return False
        self.live[record.call] = state._replace(phase=phase)
        return True

    def _insert(self, call: int, state: CallState) -> None:
        self.live[call] = state
        if len(self.live) > self.max_calls:
            self.live.popitem(last=False)
            self.evicted += 1

    def snapshot(self) -> Iterator[Record]:
        """The records that begin a new segment: their replay gives the calls that are live now."""
        calls = [*self.live.items()]
        self.reset_servers()
        for call, state in calls:
            if state.phase is Phase.TAKEN and not state.host:
                yield Record(Kind.TAKEN, call)
                continue
            if (server_record := self.assign_number(state.host, state.born_ms)) is not None:
                yield server_record
            number = self.server_numbers.get((state.host, state.born_ms))
            if number is None:
                continue  # no number is free; the limit on live calls, below MAX_SERVERS, rules it out
            yield Record(Kind.SENT, call, number, state.attempts, state.sent_ms)
            if state.phase is not Phase.IN_FLIGHT:
                yield Record(Kind.OVER if state.phase is Phase.TAKEN else Kind.STANDS, call)
            if state.phase is Phase.ENDING:
                yield Record(Kind.OVER, call)
        yield Record(Kind.LIVE)
