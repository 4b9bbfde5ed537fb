"""Schedules: whether something is open at an instant, by the wall clock of a time zone.

This file owns weekdays, dates and local hours. It must never read a clock: the instant is handed in, once
for a call, so that a switch at midnight changes no call that is being set up.

An instant is unambiguous, its local wall-clock time is what counts. So where clocks go back and an hour comes
twice, hours that hold the repeated time hold it both times; where clocks go forward, hours that lie wholly
within the skipped time do not occur on that day, and those that begin or end in it begin or end with the
jump. Hours over midnight belong to the day on which they begin: an exception for that day takes both parts
away.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, date, datetime, timedelta
from zoneinfo import ZoneInfo

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
DAY_MINUTES = 24 * 60
CLOCK = re.compile(r"(\d\d):(\d\d)", re.ASCII)
LATEST = 253_402_214_400  # the last day that datetime knows, less one for the zones east of Greenwich
EXCEPTIONS_MOST = 4000  # dates of one schedule: ten years


@dataclass(slots=True, frozen=True)
class Hours:
    """From the first minute of a day up to, not including, the last; past midnight if that is no later."""

    start: int
    end: int

    @classmethod
    def read(cls, text: str) -> Hours:
        """From the form 08:30-17:30; 24:00 is the end of a day."""
        first, dash, last = text.partition("-")
        start, end = _minute(first.strip()), _minute(last.strip())
        if not dash or start is None or end is None or start == DAY_MINUTES:
            raise ValueError(f"hours like 08:30-17:30 are wanted, not {text!r}")
        if start == end:
            raise ValueError(f"hours {text!r} are empty; a whole day is 00:00-24:00")
        return cls(start, end)

    def on_their_day(self, minute: int) -> bool:
        return self.start <= minute and (minute < self.end or self.end < self.start)

    def on_the_next(self, minute: int) -> bool:
        return self.end < self.start and minute < self.end


def _minute(text: str) -> int | None:
    match = CLOCK.fullmatch(text)
    if match is None:
        return None
    minute = int(match[1]) * 60 + int(match[2])
    return minute if int(match[2]) < 60 and minute <= DAY_MINUTES else None


def read_days(text: str) -> frozenset[int]:
    """From the form `mon-fri`, `sat`, `mon,wed` or `daily`; a range may run over the weekend, `sat-mon`."""
    found: set[int] = set()
    for part in text.split(","):
        word = part.strip().lower()
        if word == "daily":
            found.update(range(7))
            continue
        first, dash, last = word.partition("-")
        if first not in DAYS or (dash and last not in DAYS):
            raise ValueError(f"days like mon-fri are wanted, not {text!r}")
        day = DAYS.index(first)
        end = DAYS.index(last) if dash else day
        found.add(day)
        while day != end:
            day = (day + 1) % 7
            found.add(day)
    return frozenset(found)


@dataclass(slots=True, frozen=True)
class Schedule:
    """Weekly hours, and dates on which others hold, or none."""

    name: str
    zone: ZoneInfo
    weekly: tuple[tuple[frozenset[int], Hours], ...]
    dates: Mapping[date, tuple[Hours, ...]] = field(default_factory=dict)

    def open_at(self, unix_s: float) -> bool:
        """Whether it is open at this instant. What no calendar holds is closed."""
        if not 0 <= unix_s < LATEST:
            return False
        local = datetime.fromtimestamp(unix_s, UTC).astimezone(self.zone)
        minute = local.hour * 60 + local.minute
        today = local.date()
        return any(hours.on_their_day(minute) for hours in self._hours(today)) or any(
            hours.on_the_next(minute) for hours in self._hours(today - timedelta(days=1))
        )

    def _hours(self, day: date) -> Iterable[Hours]:
        if day in self.dates:
            return self.dates[day]
        weekday = day.weekday()
        return [hours for days, hours in self.weekly if weekday in days]

    def next_change(self, unix_s: float, within_days: int = 8) -> float | None:
        """The next full minute at which it opens or closes; None if it does not within so many days."""
        now = self.open_at(unix_s)
        minute = int(unix_s // 60) * 60
        # Hours start and end on local minutes, and zones move by whole minutes: an hour's step cannot jump
        # over a change unseen, but for hours shorter than that. So minutes it is; only operators ask.
        for step in range(1, within_days * DAY_MINUTES + 1):
            if self.open_at(minute + 60 * step) != now:
                return float(minute + 60 * step)
        return None
