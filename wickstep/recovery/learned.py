"""What a controller has learned of its servers, and how much of it still counts later.

This file owns what is stored and how it ages. It must never do I/O or read a clock, and never say that a
server is there, drains or is gone: state is restored only to servers that are on the list at the time, and
only if the same process still runs there.

What describes a load (share, occupancy, window, loss) is weighted by 0.5 ** (age / HALF_LIFE) against the
initial values, and dropped once that is under MIN_WEIGHT. A mark ends when it would have ended. Shortest
set-up times are a property of a machine: they count in full until MAX_MIN_TIME_AGE, and then not at all.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from wickstep.brain import INITIAL_WINDOW, MAX_MARK, MAX_SAMPLE, MIN_WINDOW, P_MIN, Controller, Server

SECOND = 1_000_000_000  # nanoseconds, the unit of every time in this file
HALF_LIFE = 5 * SECOND  # of what describes a load
MIN_WEIGHT = 1 / 16  # a smaller weight counts as 0
MAX_MIN_TIME_AGE = 600 * SECOND
MAX_CLOCK_SKEW = SECOND  # a state that is more than this in the future was written by another clock
MAX_WINDOW = 1000.0
MAX_FAILURES = 16
FIELDS = ("host", "born_ms", "share", "rho", "window", "min_time", "mark_left", "failures", "cold_age")


class InvalidState(ValueError):
    """Stored state that is malformed, from the future or another softswitch's; the text says why."""


@dataclass(slots=True, frozen=True)
class ServerRecord:
    """What is stored of one server."""

    host: str
    born_ms: int  # Unix time of its start, as the list says; 0: long ago
    share: float
    rho: float | None
    window: float
    min_time: float  # nanoseconds
    mark_left: int  # remaining nanoseconds of its mark
    failures: int
    cold_age: int  # nanoseconds since its cold start, as listed or as observed; 0: long ago


@dataclass(slots=True, frozen=True)
class LearnedState:
    """What is stored of a controller."""

    at: int  # when, in nanoseconds of the clock that reader and writer share
    loss: float
    servers: tuple[ServerRecord, ...]


def take_snapshot(controller: Controller, born_ms: Mapping[str, int], now: int, at: int) -> LearnedState:
    """The state to store, of the servers on the list; `born_ms` by host. `now` is the controller's clock,
    `at` the one that is shared with the reader."""
    records = [
        ServerRecord(
            host=name,
            born_ms=born_ms[name],
            share=server.share,
            rho=server.rho,
            window=min(server.window, MAX_WINDOW),
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
    """Give a controller that has just got its list what still counts; returns for how many servers.

    Raises InvalidState for a state from the future.
    """
    age = at - learned.at
    if age < -MAX_CLOCK_SKEW:
        raise InvalidState(f"it was written {-age / SECOND:.1f} s in the future")
    age = max(age, 0)
    weight = weight_at_age(age)
    controller.loss = weight * learned.loss
    restored = 0
    for record in learned.servers:
        server = controller.servers.get(record.host)
        if server is None or born_ms.get(record.host) != record.born_ms:
            continue  # gone, or another process now: it inherits nothing
        _restore_server(server, record, age, weight, now)
        restored += 1
    return restored


def weight_at_age(age: int) -> float:
    """The weight of what describes a load at this age, from 1 down to 0."""
    weight = math.pow(0.5, age / HALF_LIFE)
    return weight if weight >= MIN_WEIGHT else 0.0


def _restore_server(server: Server, record: ServerRecord, age: int, weight: float, now: int) -> None:
    server.share = 1.0 + weight * (record.share - 1.0)
    if record.rho is not None and weight:
        server.rho = weight * record.rho  # at weight 0 it stays None, as for an idle server
    server.window = max(MIN_WINDOW, INITIAL_WINDOW + weight * (record.window - INITIAL_WINDOW))
    if age < MAX_MIN_TIME_AGE:
        server.min_time = record.min_time
    if record.mark_left > age:
        server.mark_until = now + record.mark_left - age
        server.failures = record.failures
    if record.cold_age:
        server.cold_since = max(server.cold_since, now - record.cold_age - age)


def encode(learned: LearnedState) -> dict[str, Any]:
    """The state as a JSON object."""
    return {
        "at": learned.at,
        "loss": learned.loss,
        "servers": [[getattr(record, name) for name in FIELDS] for record in learned.servers],
    }


def decode(content: Any) -> LearnedState:
    """Inverse of `encode`; raises InvalidState for bad values, which a valid checksum does not rule out."""
    try:
        return LearnedState(
            _check_integer(content["at"], 0, 2**63),
            _check_number(content["loss"], 0, 1),
            tuple(_decode_server(row) for row in content["servers"]),
        )
    except (LookupError, TypeError, ValueError) as error:
        raise InvalidState(f"malformed learned state: {error}") from error


def _decode_server(row: Sequence[Any]) -> ServerRecord:
    host, born_ms, share, rho, window, min_time, mark_left, failures, cold_age = row
    if not isinstance(host, str):
        raise ValueError(f"host has to be a string, got {host!r}")
    return ServerRecord(
        host,
        _check_integer(born_ms, 0, 2**53),
        _check_number(share, P_MIN, 1),
        None if rho is None else _check_number(rho, 0, MAX_SAMPLE),
        _check_number(window, MIN_WINDOW, MAX_WINDOW),
        _check_number(min_time, 0, 600 * SECOND),
        _check_integer(mark_left, 0, 60 * MAX_MARK),
        min(_check_integer(failures, 0, 2**31), MAX_FAILURES),
        _check_integer(cold_age, 0, 2**63),
    )


def _check_integer(value: Any, minimum: int, maximum: int) -> int:
    if type(value) is not int or not minimum <= value <= maximum:  # excludes bool, a subclass of int
        raise ValueError(f"{value!r} is not an integer from {minimum} to {maximum}")
    return int(value)


def _check_number(value: Any, minimum: float, maximum: float) -> float:
    if type(value) not in (int, float) or not minimum <= value <= maximum:
        raise ValueError(f"{value!r} is not a number from {minimum} to {maximum}")
    return float(value)
