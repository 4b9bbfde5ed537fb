"""The measures of a rehearsal: calls by second, recovery times and load peaks.

This file owns these measures and defines each. It must never judge a rule.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from wickstep.rehearsal.judge import Violation
from wickstep.rehearsal.scenario import Scenario
from wickstep.rehearsal.trace import EventKind, Trace

# Service is full again when the share of calls served in time is at least FULL_SERVICE_RATIO of its mean
# before the first fault, in each of FULL_SERVICE_S consecutive seconds.
FULL_SERVICE_RATIO = 0.95
FULL_SERVICE_S = 3
PEAK_WINDOW_S = 0.1  # span in which connections and list requests are counted


@dataclass(slots=True)
class Second:
    """What became of the calls that were offered in one second."""

    offered: int = 0  # including calls that no softswitch took
    in_time: int = 0  # answered within the scenario's aim_s
    late: int = 0  # answered after that
    refused: int = 0
    failed: int = 0
    unanswered: int = 0  # or taken by no softswitch

    @property
    def share(self) -> float:
        return self.in_time / self.offered if self.offered else 1.0


@dataclass(slots=True)
class Report:
    name: str
    seconds: list[Second]
    breaches: list[Violation]
    ready_s: float  # from the first start until all softswitches had passed a test
    first_fault: float
    back_s: float  # from the first fault until the last softswitch that it hit was ready again
    full_s: float  # from the first fault until full service; -1: not reached
    peak_dials: int  # connections to one server in the busiest 100 ms after the first fault
    peak_lists: int  # list requests of all softswitches in the busiest 100 ms after the first fault
    peak_load: float  # largest ratio of a server's set-ups in one second to what it could do then
    attempts: int
    full_answers: int  # attempts that a server answered with full
    probes: int
    crashes: list[str]

    @property
    def kept(self) -> bool:
        """Whether all rules were kept and no softswitch crashed."""
        return not self.breaches and not self.crashes

    def as_json(self) -> dict[str, Any]:
        return {**asdict(self), "kept": self.kept}


def build_report(
    scenario: Scenario, trace: Trace, violations: list[Violation], ready_s: float, crashes: list[str]
) -> Report:
    """The report of a rehearsal; its times count from the moment when all softswitches were ready."""
    seconds = count_by_second(scenario, trace)
    first_fault = scenario.faults[0].at if scenario.faults else scenario.lasts_s
    up_times = [event.at for event in trace.of_kind(EventKind.UP) if event.at > first_fault]
    after = [event for event in trace.events if event.at >= first_fault]
    attempts = trace.of_kind(EventKind.ATTEMPT_STARTED)
    return Report(
        name=scenario.name,
        seconds=seconds,
        breaches=violations,
        ready_s=ready_s,
        first_fault=first_fault,
        back_s=max(up_times) - first_fault if up_times else 0.0,
        full_s=time_to_full_service(seconds, first_fault),
        peak_dials=count_peak((e.server, e.at) for e in after if e.kind is EventKind.CONNECTED),
        peak_lists=count_peak(("", e.at) for e in after if e.kind is EventKind.LIST_REQUESTED),
        peak_load=find_peak_load(trace),
        attempts=len(attempts),
        full_answers=sum(event.detail == "full" for event in trace.of_kind(EventKind.ATTEMPT_ENDED)),
        probes=len(trace.of_kind(EventKind.PROBED)),
        crashes=crashes,
    )


def count_by_second(scenario: Scenario, trace: Trace) -> list[Second]:
    # Reversed, so that the first final answer of each call remains.
    finals = {event.call: event for event in reversed(trace.of_kind(EventKind.FINAL_ANSWER))}
    seconds = [Second() for _ in range(int(scenario.lasts_s))]
    for event in trace.of_kind(EventKind.SET_UP_SENT, EventKind.NOT_SENT):
        if not 0 <= event.at < len(seconds):
            continue
        second, final = seconds[int(event.at)], finals.get(event.call)
        second.offered += 1
        if final is None:
            second.unanswered += 1
        elif final.detail == "stands":
            in_time = final.at - event.at <= scenario.callers.aim_s
            second.in_time += in_time
            second.late += not in_time
        elif final.detail in ("congested", "full", "moot"):
            second.refused += 1
        else:
            second.failed += 1
    return seconds


def time_to_full_service(seconds: list[Second], first_fault: float) -> float:
    """Seconds from the first fault until the share served in time is back and stays; -1: not reached."""
    before = seconds[1 : max(int(first_fault), 2)]
    usual_share = sum(second.share for second in before) / max(len(before), 1)
    for start in range(int(first_fault), len(seconds) - FULL_SERVICE_S + 1):
        if all(
            second.share >= FULL_SERVICE_RATIO * usual_share
            for second in seconds[start : start + FULL_SERVICE_S]
        ):
            return max(start - first_fault, 0.0)
    return -1.0


def count_peak(moments: Iterable[tuple[str, float]]) -> int:
    """The largest number of moments of one key within PEAK_WINDOW_S; `moments` are pairs of key and time."""
    by_key: dict[str, list[float]] = {}
    for key, at in moments:
        by_key.setdefault(key, []).append(at)
    peak = 0
    for times in by_key.values():
        times.sort()
        begin = 0
        for index, at in enumerate(times):
            while times[begin] <= at - PEAK_WINDOW_S:
                begin += 1
            peak = max(peak, index - begin + 1)
    return peak


def find_peak_load(trace: Trace) -> float:
    """The largest ratio of a server's set-ups in one second to what it could do in that second."""
    counts: Counter[tuple[str, int]] = Counter()
    capacities: dict[tuple[str, int], float] = {}
    for event in trace.of_kind(EventKind.ATTEMPT_STARTED):
        key = (event.server, int(event.at // 1))
        counts[key] += 1
        capacities[key] = max(capacities.get(key, 0.0), event.value)
    return max((count / capacities[key] for key, count in counts.items()), default=0.0)


def table(report: Report) -> list[str]:
    """The report as lines of text."""
    lines = ["second offered in-time%  late  refused  failed  unanswered"]
    for number, second in enumerate(report.seconds):
        lines.append(
            f"{number:6} {second.offered:7} {100 * second.share:8.1f} {second.late:5} {second.refused:8}"
            f" {second.failed:7} {second.unanswered:11}"
        )
    full_service = f"after {report.full_s:.1f} s" if report.full_s >= 0 else "not reached"
    lines += [
        f"ready {report.ready_s:.1f} s after the start; first fault at {report.first_fault:.1f} s",
        f"recovery from it: last softswitch ready after {report.back_s:.1f} s, full service {full_service}",
        f"busiest 100 ms since: {report.peak_dials} dials to one server, {report.peak_lists} list requests",
        f"peak load: set-ups to one server in one second, {report.peak_load:.2f} times its capacity",
        f"attempts {report.attempts}, answered full {report.full_answers}, probes {report.probes}",
    ]
    lines += [f"crash: {crash}" for crash in report.crashes]
    lines += [f"violation at {b.at:.2f} s, {b.rule}: {b.text}" for b in report.breaches[:20]]
    lines.append("rules kept" if report.kept else f"RULES BROKEN: {len(report.breaches)}")
    return lines
