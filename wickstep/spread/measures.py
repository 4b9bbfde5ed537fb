"""Measures of how even a load is. Each is defined here, together with the value that chance alone would give.

This file owns these figures. It must never do I/O, and never leave out a server or a second that looks bad.
All functions are pure; times are seconds from the start of the record.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from wickstep.spread.reasons import SendReason
from wickstep.spread.record import BIN_S, Record

BLOCK_S = 2.0  # dispersion is computed within blocks of this length, in which the load is taken to be steady
BINS_PER_SECOND = round(1 / BIN_S)
MIN_ARRIVALS = 5.0  # fewer arrivals at a server within a block say nothing about their dispersion


@dataclass(slots=True, frozen=True)
class Spread:
    """The measures over one span of a record."""

    peak_over_mean: float  # peak-to-mean ratio of set-ups over capacity: mean over the seconds
    peak_by_chance: float  # the same ratio if each set-up drew its server at random, weighted by capacity
    dispersion: float  # of arrivals at a server in 100 ms, relative to independent draws, which have 1.0
    idle_in_trouble: float  # share of server time, by capacity, that was idle while callers were in trouble
    trouble: float  # share of time in which a call was refused, or waited longer than its aim
    attempts: int
    full: int  # attempts that were answered "full"
    refused: int  # calls that were refused
    by_reason: dict[str, int]


def measure(record: Record, begin: float = 0.0, end: float | None = None) -> Spread:
    """All measures over [begin, end), by default to the end of the record."""
    until = record.duration_s if end is None else min(end, record.duration_s)
    first, last = round(begin / BIN_S), round(until / BIN_S)
    counts = count_arrivals(record, first, last)
    capacities = {name: timeline.capacity[first:last] for name, timeline in record.servers.items()}
    peaks, chances = peak_over_mean(counts, capacities)
    in_trouble = trouble_by_bin(record)[first:last]
    idle = {name: timeline.idle[first:last] for name, timeline in record.servers.items()}
    reasons = Counter(item.reason for item in record.sent if begin <= item.at < until)
    return Spread(
        peak_over_mean=mean(peaks),
        peak_by_chance=mean(chances),
        dispersion=dispersion(counts),
        idle_in_trouble=idle_in_trouble(idle, capacities, in_trouble),
        trouble=mean([float(value) for value in in_trouble]),
        attempts=sum(reasons.values()),
        full=sum(begin <= at < until for at, _ in record.full),
        refused=sum(begin <= at < until for at in record.refused),
        by_reason={reason.value: reasons[reason] for reason in SendReason},
    )


def count_arrivals(record: Record, first: int, last: int) -> dict[str, list[int]]:
    """Set-ups at each server in each of the bins [first, last)."""
    counts = {name: [0] * (last - first) for name in record.servers}
    for item in record.sent:
        place = int(item.at / BIN_S) - first
        if 0 <= place < last - first and item.server in counts:
            counts[item.server][place] += 1
    return counts


def totals_by_second(
    counts: Mapping[str, Sequence[int]], capacities: Mapping[str, Sequence[float]]
) -> Iterator[tuple[dict[str, int], dict[str, float]]]:
    """For each whole second, by server: the set-ups that arrived, and those that it had capacity for."""
    length = min((len(server_counts) for server_counts in counts.values()), default=0)
    for begin in range(0, length - BINS_PER_SECOND + 1, BINS_PER_SECOND):
        span = slice(begin, begin + BINS_PER_SECOND)
        yield (
            {name: sum(counts[name][span]) for name in counts},
            {name: sum(capacities[name][span]) * BIN_S for name in counts},
        )


def peak_over_mean(
    counts: Mapping[str, Sequence[int]], capacities: Mapping[str, Sequence[float]]
) -> tuple[list[float], list[float]]:
    """For each whole second with set-ups: the largest (set-ups over capacity) of any server, divided by that
    of all servers together; and the value that independent draws weighted by capacity would give."""
    peaks, chances = [], []
    for arrived, possible in totals_by_second(counts, capacities):
        usable = [name for name in counts if possible[name] > 0]
        total, capacity = sum(arrived[name] for name in usable), sum(possible[name] for name in usable)
        if not total:
            continue
        mean_load = total / capacity
        peaks.append(max(arrived[name] / possible[name] for name in usable) / mean_load)
        chances.append(expected_peak([possible[name] * mean_load for name in usable]))
    return peaks, chances


def expected_peak(expected: Sequence[float]) -> float:
    """Approximate mean of the largest (count over expected count), where counts are independent draws.

    Counts are Poisson distributed; the mean of their maximum is the integral of its upper tail probability.
    """
    step, level, total = 0.05, 0.0, 0.0
    while level < 20:
        below = 1.0
        for count in expected:
            below *= poisson_cdf(count, level * count)
        total += (1 - below) * step
        if below > 1 - 1e-6:
            break
        level += step
    return total


def poisson_cdf(expected: float, limit: float) -> float:
    """Probability of at most `limit` events with mean `expected`; normal approximation from 50 on."""
    if expected >= 50:
        return 0.5 * (1 + math.erf((math.floor(limit) + 0.5 - expected) / math.sqrt(2 * expected)))
    term = total = math.exp(-expected)
    for n in range(1, math.floor(limit) + 1):
        term *= expected / n
        total += term
    return min(total, 1.0)


def dispersion(counts: dict[str, list[int]]) -> float:
    """Index of dispersion (variance over mean) of arrivals at a server in 100 ms, divided by the index that
    independent draws from the arrivals at all servers would give; the mean over servers and blocks, weighted
    by arrivals.

    Independent draws of a fraction p of a stream whose own index is F have the index 1 + p * (F - 1). So
    bursts that the callers themselves make do not count as herding by the softswitches.
    """
    block = round(BLOCK_S / BIN_S)
    total = [sum(column) for column in zip(*counts.values(), strict=True)]
    weight = value = 0.0
    for begin in range(0, len(total) - block + 1, block):
        span = slice(begin, begin + block)
        block_arrivals = sum(total[span])
        block_index = index_of_dispersion(total[span])
        for server_counts in counts.values():
            arrivals = sum(server_counts[span])
            if arrivals >= MIN_ARRIVALS:
                expected = 1 + arrivals / block_arrivals * (block_index - 1)
                weight += arrivals
                value += arrivals * index_of_dispersion(server_counts[span]) / max(expected, 0.5)
    return value / weight if weight else 1.0


def index_of_dispersion(counts: Sequence[int]) -> float:
    """Variance over mean of counts, with the unbiased variance."""
    average = mean(counts)
    if not average or len(counts) < 2:
        return 1.0
    return sum((count - average) ** 2 for count in counts) / (len(counts) - 1) / average


def trouble_by_bin(record: Record) -> list[bool]:
    """For each bin of `BIN_S`, whether a call was refused in it, or was waiting longer than its aim."""
    found = [False] * record.bin_count()
    for at in record.refused:
        if 0 <= at < record.duration_s:
            found[min(int(at / BIN_S), len(found) - 1)] = True
    for since, until in record.overdue:
        for place in range(max(int(since / BIN_S), 0), min(int(until / BIN_S) + 1, len(found))):
            found[place] = True
    return found


def idle_in_trouble(
    idle: Mapping[str, Sequence[float]], capacities: Mapping[str, Sequence[float]], in_trouble: Sequence[bool]
) -> float:
    """Share of all server time, weighted by capacity, in which a server was idle while a caller was in
    trouble; -1 where the idle time of servers is unknown."""
    total = lost = 0.0
    for name, fractions in idle.items():
        for fraction, capacity, trouble in zip(fractions, capacities[name], in_trouble, strict=False):
            if fraction < 0:
                return -1.0
            total += capacity
            lost += capacity * fraction * trouble
    return lost / total if total else 0.0


def mean(values: Iterable[float]) -> float:
    items = [*values]
    return sum(items) / len(items) if items else 0.0
