"""Reads the verbose logs of many softswitches into one record of what they sent where and why.

This file owns the format of those lines, as far as they are read back. It must never fail on an unknown line:
logs hold other lines too, a platform may prefix each line, and the last line may be truncated.

Logs do not state the capacity of a server. It is estimated as the largest number of calls that were set up
there in one second: correct for a server that was ever saturated, too low for one that never was. Idle time
is unknown.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from wickstep.spread.reasons import SendReason
from wickstep.spread.record import BIN_S, Record, SentSetUp, ServerTimeline

LINE_PATTERN = re.compile(r"\d{4}-\d\d-\d\d (\d\d):(\d\d):(\d\d),(\d{3}) wickstep\.net\.softswitch (.*)")
SENT_PATTERN = re.compile(r"([0-9a-f]{16}) #(\d+) sent to (\S+) \((\w+)\)")
STANDS_PATTERN = re.compile(r"([0-9a-f]{16}) #\d+ stands at (\S+) after (\d+) us")
FULL_PATTERN = re.compile(r"([0-9a-f]{16}) #\d+ full at (\S+) after")
ANSWERED_PATTERN = re.compile(r"([0-9a-f]{16}) answered: (\w+)")
DAY_S = 86400.0


@dataclass(slots=True)
class LogReader:
    """Collects the events of a fleet from its logs, which are added one after the other."""

    sent: list[SentSetUp] = field(default_factory=list)
    set_up: list[tuple[float, str, float]] = field(default_factory=list)  # time, server, delay in seconds
    full: list[tuple[float, str]] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    unknown_lines: int = 0  # lines of the softswitch's logger that match no pattern here

    def add_log(self, softswitch: int, lines: Iterable[str]) -> None:
        """Adds one softswitch's log; its times of day belong to one day, or run over one midnight."""
        last = 0.0
        for text in lines:
            found = LINE_PATTERN.search(text)
            if found is None:
                continue
            hours, minutes, seconds, millis = (int(part) for part in found.groups()[:4])
            at = 3600.0 * hours + 60 * minutes + seconds + millis / 1000
            if at < last - DAY_S / 2:
                at += DAY_S
            last = at
            self._read_event(softswitch, at, found[5])

    def _read_event(self, softswitch: int, at: float, text: str) -> None:
        if (found := SENT_PATTERN.match(text)) and found[4] in {reason.value for reason in SendReason}:
            self.sent.append(SentSetUp(at, softswitch, found[3], SendReason(found[4])))
        elif found := STANDS_PATTERN.match(text):
            self.set_up.append((at, found[2], int(found[3]) / 1e6))
        elif found := FULL_PATTERN.match(text):
            self.full.append((at, found[2]))
        elif found := ANSWERED_PATTERN.match(text):
            if found[2] in ("refused", "turned_away"):
                self.refused.append(at)
        else:
            self.unknown_lines += 1

    def build_record(self, aim_s: float) -> Record:
        """The record of all logs, its times from the first set-up; a delay over `aim_s` counts as late."""
        if not self.sent:
            return Record(0.0)
        start = min(item.at for item in self.sent)
        duration = max(item.at for item in self.sent) - start + BIN_S
        record = Record(
            duration,
            [SentSetUp(item.at - start, item.softswitch, item.server, item.reason) for item in self.sent],
            full=[(at - start, server) for at, server in self.full],
            refused=[at - start for at in self.refused],
            overdue=[
                (at - start - delay + aim_s, at - start) for at, _, delay in self.set_up if delay > aim_s
            ],
        )
        completed = Counter((server, int(at - start)) for at, server, _ in self.set_up)
        for server in {item.server for item in self.sent}:
            largest = max((count for (name, _), count in completed.items() if name == server), default=0)
            record.servers[server] = ServerTimeline(
                [float(largest)] * record.bin_count(), [-1.0] * record.bin_count()
            )
        return record
