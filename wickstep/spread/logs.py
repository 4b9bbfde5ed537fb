"""Reads the verbose logs of many softswitches into one record of what they sent where and why.

This file owns the form of those lines, as far as it is read back. It must never fail on a line that it does
not know: logs hold other lines, a platform may write something before each, and a last one may be cut.

What a server could do stands in no log. Its capacity is taken to be the most calls that stood there in one
second: right where it was ever busy, too small where it never was. When it was idle is not known.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from wickstep.spread.reasons import SendReason
from wickstep.spread.record import BIN_S, Record, SentSetUp, ServerTimeline

LINE = re.compile(r"\d{4}-\d\d-\d\d (\d\d):(\d\d):(\d\d),(\d{3}) wickstep\.net\.softswitch (.*)")
SENT = re.compile(r"([0-9a-f]{16}) #(\d+) sent to (\S+) \((\w+)\)")
STANDS = re.compile(r"([0-9a-f]{16}) #\d+ stands at (\S+) after (\d+) us")
FULL = re.compile(r"([0-9a-f]{16}) #\d+ full at (\S+) after")
ANSWERED = re.compile(r"([0-9a-f]{16}) answered: (\w+)")
DAY_S = 86400.0


@dataclass(slots=True)
class LogReader:
    """All logs of one fleet, one after the other."""

    sent: list[SentSetUp] = field(default_factory=list)
    stood: list[tuple[float, str, float]] = field(default_factory=list)  # when, where, after how many seconds
    full: list[tuple[float, str]] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    unknown_lines: int = 0  # lines of the softswitch that are of no kind known here

    def add_log(self, softswitch: int, lines: Iterable[str]) -> None:
        """One softswitch's log; times of day, of one day or from before to after midnight."""
        last = 0.0
        for text in lines:
            found = LINE.search(text)
            if found is None:
                continue
            hours, minutes, seconds, millis = (int(part) for part in found.groups()[:4])
            at = 3600.0 * hours + 60 * minutes + seconds + millis / 1000
            if at < last - DAY_S / 2:
                at += DAY_S
            last = at
            self._event(softswitch, at, found[5])

    def _event(self, softswitch: int, at: float, text: str) -> None:
        if (found := SENT.match(text)) and found[4] in {why.value for why in SendReason}:
            self.sent.append(SentSetUp(at, softswitch, found[3], SendReason(found[4])))
        elif found := STANDS.match(text):
            self.stood.append((at, found[2], int(found[3]) / 1e6))
        elif found := FULL.match(text):
            self.full.append((at, found[2]))
        elif found := ANSWERED.match(text):
            if found[2] in ("refused", "turned_away"):
                self.refused.append(at)
        else:
            self.unknown_lines += 1

    def build_record(self, aim_s: float) -> Record:
        """What was read, with times from the first set-up; calls that stood after `aim_s` count as late."""
        if not self.sent:
            return Record(0.0)
        began = min(item.at for item in self.sent)
        lasts = max(item.at for item in self.sent) - began + BIN_S
        record = Record(
            lasts,
            [SentSetUp(item.at - began, item.softswitch, item.server, item.reason) for item in self.sent],
            full=[(at - began, server) for at, server in self.full],
            refused=[at - began for at in self.refused],
            overdue=[(at - began - took + aim_s, at - began) for at, _, took in self.stood if took > aim_s],
        )
        done = Counter((server, int(at - began)) for at, server, _ in self.stood)
        for server in {item.server for item in self.sent}:
            most = max((count for (name, _), count in done.items() if name == server), default=0)
            record.servers[server] = ServerTimeline(
                [float(most)] * record.bin_count(), [-1.0] * record.bin_count()
            )
        return record
