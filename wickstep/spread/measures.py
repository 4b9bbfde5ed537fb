"""How even a load is. Each measure is defined here, with what chance alone would give beside it.

This file owns those numbers. It must never do I/O, and never leave out a server or a second that looks bad.
All functions are pure; times are seconds from the beginning of the record.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from wickstep.spread.reasons import SendReason
from wickstep.spread.record import BIN_S, Record

BLOCK_S = 2.0  # dispersion is taken within spans of this length, in which the load counts as steady
SECOND_BINS = round(1 / BIN_S)
ARRIVALS_LEAST = 5.0  # a block with fewer arrivals at a server says nothing of their dispersion


@dataclass(slots=True, frozen=True)
class Spread:
    """The measures over one span of a record."""

    peak_over_mean: float  # of set-ups over capacity: mean over the seconds
    peak_by_chance: float  # the same where each set-up draws its server by capacity
    dispersion: float  # of arrivals at a server in 100 ms over that of independent draws, which have 1.0
    idle_in_trouble: float  # share of server time, by capacity, that was idle while callers were in trouble
    trouble: float  # share of time in which a call was refused, or waited over its aim
    attempts: int
    full: int  # of them, answered full
    refused: int  # calls
    by_reason: dict[str, int]


def measure(record: Record, begin: float = 0.0, end: float | None = None) -> Spread:
    """All measures over [begin, end), to the end of the record by default."""
    until = record.duration_s if end is None else min(end, record.duration_s)
    first, last = round(begin / BIN_S), round(until / BIN_S)
    counts = count_arrivals(record, first, last)
    able = {name: life.capacity[first:last] for name, life in record.servers.items()}
    peaks, chances = peak_over_mean(counts, able)
    in_trouble = troubled(record)[first:last]
    idle = {name: life.idle[first:last] for name, life in record.servers.items()}
    reasons = Counter(item.reason for item in record.sent if begin <= item.at < until)
    return Spread(
        peak_over_mean=mean(peaks),
        peak_by_chance=mean(chances),
        dispersion=dispersion(counts),
        idle_in_trouble=idle_in_trouble(idle, able, in_trouble),
        trouble=mean([float(one) for one in in_trouble]),
        attempts=sum(reasons.values()),
        full=sum(begin <= at < until for at, _ in record.full),
        refused=sum(begin <= at < until for at in record.refused),
        by_reason={why.value: reasons[why] for why in SendReason},
    )


def count_arrivals(record: Record, first: int, last: int) -> dict[str, list[int]]:
    """Set-ups at each server in each span of `BIN_S`."""
    counts = {name: [0] * (last - first) for name in record.servers}
    for item in record.sent:
        place = int(item.at / BIN_S) - first
        if 0 <= place < last - first and item.server in counts:
            counts[item.server][place] += 1
    return counts


def by_second(
    counts: Mapping[str, Sequence[int]], able: Mapping[str, Sequence[float]]
) -> Iterator[tuple[dict[str, int], dict[str, float]]]:
    """For each whole second, by server: the set-ups that came, and those that it could do."""
    length = min((len(one) for one in counts.values()), default=0)
    for begin in range(0, length - SECOND_BINS + 1, SECOND_BINS):
        span = slice(begin, begin + SECOND_BINS)
        yield (
            {name: sum(counts[name][span]) for name in counts},
            {name: sum(able[name][span]) * BIN_S for name in counts},
        )


def peak_over_mean(
    counts: Mapping[str, Sequence[int]], able: Mapping[str, Sequence[float]]
) -> tuple[list[float], list[float]]:
    """For each whole second with set-ups: the largest (set-ups over capacity) of a server over that of all
    together; and what independent draws by capacity would give, by the largest of normal deviates."""
    peaks, chances = [], []
    for came, could in by_second(counts, able):
        there = [name for name in counts if could[name] > 0]
        total, capacity = sum(came[name] for name in there), sum(could[name] for name in there)
        if not total:
            continue
        usual = total / capacity
        peaks.append(max(came[name] / could[name] for name in there) / usual)
        chances.append(chance_peak([could[name] * usual for name in there]))
    return peaks, chances


def chance_peak(expected: Sequence[float]) -> float:
    """About the mean of the largest of (count over expected count), where counts are independent draws.

    By Poisson probabilities: the mean of a largest is the sum over its distribution's upper tail.
    """
    step, level, total = 0.05, 0.0, 0.0
    while level < 20:
        below = 1.0
        for count in expected:
            below *= poisson_at_most(count, level * count)
        total += (1 - below) * step
        if below > 1 - 1e-6:
            break
        level += step
    return total


def poisson_at_most(count: float, most: float) -> float:
    """Chance of at most `most` events where `count` are expected; by the normal law from 50 on."""
    if count >= 50:
        return 0.5 * (1 + math.erf((math.floor(most) + 0.5 - count) / math.sqrt(2 * count)))
    term = total = math.exp(-count)
    for n in range(1, math.floor(most) + 1):
        term *= count / n
        total += term
    return min(total, 1.0)


def dispersion(counts: dict[str, list[int]]) -> float:
    """Variance over mean of arrivals at a server in 100 ms, over what independent draws from the arrivals at
    all servers would give; the mean over servers and blocks, by arrivals.

    Independent draws of a part p of a stream whose own index is F have the index 1 + p * (F - 1): what the
    callers do together is no herd of the softswitches'.
    """
    block = round(BLOCK_S / BIN_S)
    total = [sum(column) for column in zip(*counts.values(), strict=True)]
    weight = value = 0.0
    for begin in range(0, len(total) - block + 1, block):
        span = slice(begin, begin + block)
        everything = sum(total[span])
        whole = index(total[span])
        for one in counts.values():
            came = sum(one[span])
            if came >= ARRIVALS_LEAST:
                expected = 1 + came / everything * (whole - 1)
                weight += came
                value += came * index(one[span]) / max(expected, 0.5)
    return value / weight if weight else 1.0


def index(counts: Sequence[int]) -> float:
    """Variance over mean of counts, by the unbiased variance."""
    usual = mean(counts)
    if not usual or len(counts) < 2:
        return 1.0
    return sum((count - usual) ** 2 for count in counts) / (len(counts) - 1) / usual


def troubled(record: Record) -> list[bool]:
    """For each span of `BIN_S`, whether a call was refused in it, or had waited over its aim."""
    found = [False] * record.bin_count()
    for at in record.refused:
        if 0 <= at < record.duration_s:
            found[min(int(at / BIN_S), len(found) - 1)] = True
    for since, until in record.overdue:
        for place in range(max(int(since / BIN_S), 0), min(int(until / BIN_S) + 1, len(found))):
            found[place] = True
    return found


def idle_in_trouble(
    idle: Mapping[str, Sequence[float]], able: Mapping[str, Sequence[float]], in_trouble: Sequence[bool]
) -> float:
    """Share of all server time, weighted by capacity, in which a server had no work while a caller was in
    trouble; -1 where it is not known when servers were idle."""
    total = lost = 0.0
    for name, parts in idle.items():
        for part, capacity, trouble in zip(parts, able[name], in_trouble, strict=False):
            if part < 0:
                return -1.0
            total += capacity
            lost += capacity * part * trouble
    return lost / total if total else 0.0


def mean(values: Iterable[float]) -> float:
    items = [*values]
    return sum(items) / len(items) if items else 0.0
