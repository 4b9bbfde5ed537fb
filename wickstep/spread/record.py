"""The record that the measures read: who sent what where and why, and how it ended. All times in seconds.

This file owns that data structure, whoever fills it: the model of a fleet, a rehearsal, or logs. It must
never compute a measure.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wickstep.spread.reasons import SendReason

BIN_S = 0.1  # resolution at which arrivals, idle servers and callers in trouble are counted


@dataclass(slots=True, frozen=True)
class SentSetUp:
    """A set-up that was sent to a server."""

    at: float
    softswitch: int
    server: str
    reason: SendReason


@dataclass(slots=True)
class ServerTimeline:
    """What a server could do and how long it was idle, by bins of `BIN_S` from the start of the record."""

    capacity: list[float] = field(default_factory=list)  # set-ups per second
    idle: list[float] = field(default_factory=list)  # fraction of the bin without work; -1: unknown


@dataclass(slots=True)
class Record:
    duration_s: float
    sent: list[SentSetUp] = field(default_factory=list)
    servers: dict[str, ServerTimeline] = field(default_factory=dict)
    full: list[tuple[float, str]] = field(default_factory=list)  # time and server of attempts answered "full"
    refused: list[float] = field(default_factory=list)  # times at which a call was refused
    overdue: list[tuple[float, float]] = field(default_factory=list)  # begin and end of waits beyond the aim

    def bin_count(self) -> int:
        return max(round(self.duration_s / BIN_S), 1)
