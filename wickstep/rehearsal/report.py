"""What a rehearsal has shown, in numbers: by second, by phase, and how long it took to be well again.

This file owns these measures; each is defined here. It must never judge a rule.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from wickstep.rehearsal.judge import Breach
from wickstep.rehearsal.scenario import Scenario
from wickstep.rehearsal.trace import Trace, What

FULL = 0.95  # full service: so much of the share that was served in the seconds before the first fault,
STAYS_S = 3  # for so many seconds on end
PEAK_S = 0.1  # the span in which dials and calls for the list are counted


@dataclass(slots=True)
class Second:
    """What became of the calls that were asked for in one second."""

    offered: int = 0  # missed ones among them
    in_time: int = 0  # stood within the time in which it was wanted
    late: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0  # or never reached a softswitch

    @property
    def share(self) -> float:
        return self.in_time / self.offered if self.offered else 1.0


@dataclass(slots=True)
class Report:
    name: str
    seconds: list[Second]
    breaches: list[Breach]
    ready_s: float  # from the first start until all softswitches had passed a test
    first_fault: float
    back_s: float  # from the first fault until the last softswitch that it took was ready again
    full_s: float  # from the first fault until full service; -1: it did not come to that
    peak_dials: int  # to one server in the busiest 100 ms, after the first fault
    peak_lists: int  # calls for the list in the busiest 100 ms, by all, after the first fault
    peak_load: float  # set-ups to one server in a second over what it could do then, the largest
    attempts: int
    full_answers: int  # attempts answered full
    probes: int
    crashes: list[str]

    @property
    def kept(self) -> bool:
        return not self.breaches and not self.crashes

    def as_json(self) -> dict[str, Any]:
        return {**asdict(self), "kept": self.kept}


def made(
    scenario: Scenario, trace: Trace, breaches: list[Breach], ready_s: float, crashes: list[str]
) -> Report:
    """The report of a rehearsal; its times count from when all were ready."""
    seconds = by_second(scenario, trace)
    first = scenario.faults[0].at if scenario.faults else scenario.lasts_s
    backs = [event.at for event in trace.of(What.UP) if event.at > first]
    after = [event for event in trace.events if event.at >= first]
    came = trace.of(What.CAME)
    return Report(
        name=scenario.name,
        seconds=seconds,
        breaches=breaches,
        ready_s=ready_s,
        first_fault=first,
        back_s=max(backs) - first if backs else 0.0,
        full_s=full_service(seconds, first),
        peak_dials=busiest((e.server, e.at) for e in after if e.what is What.DIALLED),
        peak_lists=busiest(("", e.at) for e in after if e.what is What.LISTED),
        peak_load=peak_load(trace),
        attempts=len(came),
        full_answers=sum(event.why == "full" for event in trace.of(What.ENDED)),
        probes=len(trace.of(What.PROBED)),
        crashes=crashes,
    )


def by_second(scenario: Scenario, trace: Trace) -> list[Second]:
    finals = {event.call: event for event in reversed(trace.of(What.FINAL))}  # the first of each
    seconds = [Second() for _ in range(int(scenario.lasts_s))]
    for event in trace.of(What.ASKED, What.MISSED):
        if not 0 <= event.at < len(seconds):
            continue
        second, final = seconds[int(event.at)], finals.get(event.call)
        second.offered += 1
        if final is None:
            second.unanswered += 1
        elif final.why == "stands":
            in_time = final.at - event.at <= scenario.callers.aim_s
            second.in_time += in_time
            second.late += not in_time
        elif final.why in ("congested", "full", "moot"):
            second.refused += 1
        else:
            second.failed += 1
    return seconds


def full_service(seconds: list[Second], first: float) -> float:
    """Seconds from the first fault until the share served in time is back, and stays; -1: it is not."""
    before = seconds[1 : max(int(first), 2)]
    usual = sum(second.share for second in before) / max(len(before), 1)
    for start in range(int(first), len(seconds) - STAYS_S + 1):
        if all(second.share >= FULL * usual for second in seconds[start : start + STAYS_S]):
            return max(start - first, 0.0)
    return -1.0


def busiest(moments: Iterable[tuple[str, float]]) -> int:
    """The most of one kind in a span of `PEAK_S` that begins with one of them."""
    by_kind: dict[str, list[float]] = {}
    for kind, at in moments:
        by_kind.setdefault(kind, []).append(at)
    most = 0
    for times in by_kind.values():
        times.sort()
        begin = 0
        for place, at in enumerate(times):
            while times[begin] <= at - PEAK_S:
                begin += 1
            most = max(most, place - begin + 1)
    return most


def peak_load(trace: Trace) -> float:
    """Set-ups to a server in one second over what it could do in it."""
    counts: Counter[tuple[str, int]] = Counter()
    able: dict[tuple[str, int], float] = {}
    for event in trace.of(What.CAME):
        key = (event.server, int(event.at // 1))
        counts[key] += 1
        able[key] = max(able.get(key, 0.0), event.value)
    return max((count / able[key] for key, count in counts.items()), default=0.0)


def table(report: Report) -> list[str]:
    """Lines for a person."""
    lines = ["second offered in-time%  late  refused  failed  unanswered"]
    for number, second in enumerate(report.seconds):
        lines.append(
            f"{number:6} {second.offered:7} {100 * second.share:8.1f} {second.late:5} {second.refused:8}"
            f" {second.failed:7} {second.unanswered:11}"
        )
    full = f"{report.full_s:.1f} s" if report.full_s >= 0 else "not reached"
    lines += [
        f"ready {report.ready_s:.1f} s after the start; first fault at {report.first_fault:.1f} s",
        f"back: the last softswitch {report.back_s:.1f} s after it, full service {full} after it",
        f"busiest 100 ms since: {report.peak_dials} dials to a server, {report.peak_lists} list calls",
        f"set-ups to one server in a second over what it could do: {report.peak_load:.2f} at most",
        f"attempts {report.attempts}, answered full {report.full_answers}, probes {report.probes}",
    ]
    lines += [f"crash: {crash}" for crash in report.crashes]
    lines += [f"broken at {b.at:.2f} s, {b.rule}: {b.text}" for b in report.breaches[:20]]
    lines.append("rules kept" if report.kept else f"RULES BROKEN: {len(report.breaches)}")
    return lines
