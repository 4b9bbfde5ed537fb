"""Schedules for time-of-day routing: whether one is open at an instant, by the wall clock of a time zone.

This file owns weekdays, dates and local hours. It must never read a clock: the instant is passed in, once per
call, so that a schedule that changes at midnight changes no call that is being set up.

An instant is unambiguous; its local wall-clock time is compared with the hours. So where clocks go back and
an hour occurs twice, hours that contain the repeated time contain it both times. Where clocks go forward,
hours that lie wholly within the skipped time do not occur on that day, and those that begin or end in it
begin or end at the jump. Hours past midnight belong to the day on which they begin: an exception for that day
removes both parts.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, date, datetime, timedelta
from zoneinfo import ZoneInfo

WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
MINUTES_PER_DAY = 24 * 60
TIME_OF_DAY = re.compile(r"(\d\d):(\d\d)", re.ASCII)
MAX_UNIX_S = 253_402_214_400  # the end of year 9999, less a day for the zones east of Greenwich
MAX_EXCEPTION_DATES = 4000  # of one schedule: more than ten years of days


@dataclass(slots=True, frozen=True)
class TimeRange:
    """From minute `start` of a day up to, not including, minute `end`; past midnight if `end` is less."""

    start: int
    end: int

    @classmethod
    def parse(cls, text: str) -> TimeRange:
        """From the form 08:30-17:30; 24:00 is the end of a day."""
        first, dash, last = text.partition("-")
        start, end = _parse_minute(first.strip()), _parse_minute(last.strip())
        if not dash or start is None or end is None or start == MINUTES_PER_DAY:
            raise ValueError(f"expected hours like 08:30-17:30, not {text!r}")
        if start == end:
            raise ValueError(f"hours {text!r} are empty; a whole day is 00:00-24:00")
        return cls(start, end)

    def covers_on_same_day(self, minute: int) -> bool:
        """Whether a minute of the day on which the range begins lies in it."""
        return self.start <= minute and (minute < self.end or self.end < self.start)

    def covers_on_next_day(self, minute: int) -> bool:
        """Whether a minute of the following day lies in it."""
        return self.end < self.start and minute < self.end


def _parse_minute(text: str) -> int | None:
    match = TIME_OF_DAY.fullmatch(text)
    if match is None:
        return None
    minute = int(match[1]) * 60 + int(match[2])
    return minute if int(match[2]) < 60 and minute <= MINUTES_PER_DAY else None


def parse_days(text: str) -> frozenset[int]:
    """From the form `mon-fri`, `sat`, `mon,wed` or `daily`; a range may span the weekend, as `sat-mon`."""
    days: set[int] = set()
    for part in text.split(","):
        word = part.strip().lower()
        if word == "daily":
            days.update(range(7))
            continue
        first, dash, last = word.partition("-")
        if first not in WEEKDAYS or (dash and last not in WEEKDAYS):
            raise ValueError(f"expected days like mon-fri, not {text!r}")
        day = WEEKDAYS.index(first)
        end = WEEKDAYS.index(last) if dash else day
        days.add(day)
        while day != end:
            day = (day + 1) % 7
            days.add(day)
    return frozenset(days)


@dataclass(slots=True, frozen=True)
class Schedule:
    """Weekly hours, and exceptions: dates with other hours, or with none."""

    name: str
    zone: ZoneInfo
    weekly: tuple[tuple[frozenset[int], TimeRange], ...]
    exceptions: Mapping[date, tuple[TimeRange, ...]] = field(default_factory=dict)

    def is_open_at(self, unix_s: float) -> bool:
        """Whether it is open at this instant. Instants outside the range of dates count as closed."""
        if not 0 <= unix_s < MAX_UNIX_S:
            return False
        local = datetime.fromtimestamp(unix_s, UTC).astimezone(self.zone)
        minute = local.hour * 60 + local.minute
        today = local.date()
        return any(hours.covers_on_same_day(minute) for hours in self._hours_on(today)) or any(
            hours.covers_on_next_day(minute) for hours in self._hours_on(today - timedelta(days=1))
        )

    def _hours_on(self, day: date) -> Iterable[TimeRange]:
        if day in self.exceptions:
            return self.exceptions[day]
        weekday = day.weekday()
        return [hours for days, hours in self.weekly if weekday in days]

    def next_change(self, unix_s: float, within_days: int = 8) -> float | None:
        """The next full minute at which it opens or closes; None if it does not within this many days."""
        open_now = self.is_open_at(unix_s)
        minute = int(unix_s // 60) * 60
        # Hours start and end on local minutes, and zones change by whole minutes. Steps of an hour would miss
        # hours that are shorter, so it steps by the minute; it is slow, but only operators ask for it.
        for step in range(1, within_days * MINUTES_PER_DAY + 1):
            if self.is_open_at(minute + 60 * step) != open_now:
                return float(minute + 60 * step)
        return None
