"""The record that the measures read: who sent what where and why, and what became of it. Seconds throughout.

This file owns that form, whoever fills it: the model of a fleet, a rehearsal, or logs. It must never measure.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wickstep.spread.reasons import SendReason

BIN_S = 0.1  # the span in which arrivals, idle servers and callers in trouble are looked at


@dataclass(slots=True, frozen=True)
class SentSetUp:
    """A set-up that came to a server."""

    at: float
    softswitch: int
    server: str
    reason: SendReason


@dataclass(slots=True)
class ServerTimeline:
    """What a server could do and did, by spans of `BIN_S` from the beginning."""

    capacity: list[float] = field(default_factory=list)  # set-ups a second
    idle: list[float] = field(default_factory=list)  # part of it without work; -1: unknown


@dataclass(slots=True)
class Record:
    duration_s: float
    sent: list[SentSetUp] = field(default_factory=list)
    servers: dict[str, ServerTimeline] = field(default_factory=dict)
    full: list[tuple[float, str]] = field(default_factory=list)  # when, where an attempt was answered full
    refused: list[float] = field(default_factory=list)  # when a call was refused
    overdue: list[tuple[float, float]] = field(default_factory=list)  # from when to when one waited too long

    def bin_count(self) -> int:
        return max(round(self.duration_s / BIN_S), 1)
