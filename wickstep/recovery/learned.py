"""What a controller has learned of its servers, and how much of it still counts later.

This file owns what is kept and the law by which it ages. It must never do I/O or read a clock, and never say
that a server is there, drains or is gone: only what is on the list at the time is given anything back, and
only if it is the process that it was learned of.

The law: what describes a load (share, occupancy, window, part lost) counts by 0.5 ** (age / HALF) against
what a start assumes, and not at all once that is under `LEAST`. A mark ends when it would have ended.
Shortest set-up times are a property of a machine: they count until `MAX_MIN_TIME_AGE` and then not at all.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from wickstep.brain import INITIAL_WINDOW, MAX_MARK, MAX_SAMPLE, MIN_WINDOW, P_MIN, Controller, Server

SECOND = 1_000_000_000  # nanoseconds, the unit of every time in this file
HALF_LIFE = 5 * SECOND  # the age at which what was learned of a load counts half
LEAST = 1 / 16  # less weight than this is none
MAX_MIN_TIME_AGE = 600 * SECOND
AHEAD = SECOND  # a record so far from the future is another clock's
WINDOW_MOST = 1000.0
FAILS_MOST = 16
FIELDS = ("host", "born_ms", "share", "rho", "window", "min_time", "mark_left", "failures", "cold_age")


class InvalidState(ValueError):
    """A record that is no record, or of another time; the text says why."""


@dataclass(slots=True, frozen=True)
class ServerRecord:
    """What is kept of one server."""

    host: str
    born_ms: int  # Unix time of its start, as the list says; 0: long ago
    share: float
    rho: float | None
    window: float
    min_time: float  # nanoseconds
    mark_left: int  # nanoseconds that it was marked for still
    failures: int
    cold_age: int  # nanoseconds since it started cold, by the list or by what it did; 0: long ago


@dataclass(slots=True, frozen=True)
class LearnedState:
    """What is kept of a controller."""

    at: int  # when, in nanoseconds of the clock that reader and writer share
    loss: float
    servers: tuple[ServerRecord, ...]


def take_snapshot(controller: Controller, born_ms: Mapping[str, int], now: int, at: int) -> LearnedState:
    """What to keep now, of the servers on the list; `born_ms` by host. `now` is the controller's clock, `at`
    the one that is shared with the reader."""
    records = [
        ServerRecord(
            host=name,
            born_ms=born_ms[name],
            share=server.share,
            rho=server.rho,
            window=min(server.window, WINDOW_MOST),
            min_time=server.min_time,
            mark_left=max(server.mark_until - now, 0),
            failures=server.failures,
            cold_age=now - server.cold_since if server.cold_since else 0,
        )
        for name, server in controller.servers.items()
        if name in born_ms
    ]
    return LearnedState(at, controller.loss, tuple(records))


def restore(
    controller: Controller, learned: LearnedState, born_ms: Mapping[str, int], now: int, at: int
) -> int:
    """Give a controller that has just heard its list what still counts; how many servers got something.

    Raises InvalidState for a record from the future.
    """
    age = at - learned.at
    if age < -AHEAD:
        raise InvalidState(f"written {-age / SECOND:.1f} s from now")
    age = max(age, 0)
    weight = weight_at_age(age)
    controller.loss = weight * learned.loss
    given = 0
    for record in learned.servers:
        server = controller.servers.get(record.host)
        if server is None or born_ms.get(record.host) != record.born_ms:
            continue  # gone, or another process: it inherits nothing
        _give(server, record, age, weight, now)
        given += 1
    return given


def weight_at_age(age: int) -> float:
    """How much what was learned of a load counts after so long, from 1 down to 0."""
    weight = math.pow(0.5, age / HALF_LIFE)
    return weight if weight >= LEAST else 0.0


def _give(server: Server, record: ServerRecord, age: int, weight: float, now: int) -> None:
    server.share = 1.0 + weight * (record.share - 1.0)
    if record.rho is not None and weight:
        server.rho = weight * record.rho  # an idle server's would be none at all
    server.window = max(MIN_WINDOW, INITIAL_WINDOW + weight * (record.window - INITIAL_WINDOW))
    if age < MAX_MIN_TIME_AGE:
        server.min_time = record.min_time
    if record.mark_left > age:
        server.mark_until = now + record.mark_left - age
        server.failures = record.failures
    if record.cold_age:
        server.cold_since = max(server.cold_since, now - record.cold_age - age)


def encode(learned: LearnedState) -> dict[str, Any]:
    """As JSON has it."""
    return {
        "at": learned.at,
        "loss": learned.loss,
        "servers": [[getattr(record, name) for name in FIELDS] for record in learned.servers],
    }


def decode(content: Any) -> LearnedState:
    """What was written; raises InvalidState for whatever makes no sense, since a good checksum does not."""
    try:
        return LearnedState(
            _whole(content["at"], 0, 2**63),
            _real(content["loss"], 0, 1),
            tuple(_record(line) for line in content["servers"]),
        )
    except (LookupError, TypeError, ValueError) as trouble:
        raise InvalidState(f"no record: {trouble}") from trouble


def _record(line: Sequence[Any]) -> ServerRecord:
    host, born_ms, share, rho, window, base, mark, fails, cold = line
    if not isinstance(host, str):
        raise ValueError(f"host {host!r}")
    return ServerRecord(
        host,
        _whole(born_ms, 0, 2**53),
        _real(share, P_MIN, 1),
        None if rho is None else _real(rho, 0, MAX_SAMPLE),
        _real(window, MIN_WINDOW, WINDOW_MOST),
        _real(base, 0, 600 * SECOND),
        _whole(mark, 0, 60 * MAX_MARK),
        min(_whole(fails, 0, 2**31), FAILS_MOST),
        _whole(cold, 0, 2**63),
    )


def _whole(value: Any, least: int, most: int) -> int:
    if type(value) is not int or not least <= value <= most:  # a bool is none
        raise ValueError(f"{value!r} is no whole number from {least} to {most}")
    return int(value)


def _real(value: Any, least: float, most: float) -> float:
    if type(value) not in (int, float) or not least <= value <= most:
        raise ValueError(f"{value!r} is no number from {least} to {most}")
    return float(value)
