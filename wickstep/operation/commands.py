"""What is said on the operators' address: one line in, one reply out.

This file owns the words of that protocol. It must never touch a socket, and never raise on what a peer sent.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wickstep.operation.mode import Event, Transition

MAX_LINE = 256  # bytes of a call, its end of line included
SUCCESS, FAILURE, END_OF_REPLY = "SUCCESS", "FAILURE", "EOT"
STATUS, METRICS = "STATUS", "METRICS"
CHANGES = {"PAUSE": Event.PAUSE, "RESUME": Event.RESUME}


@dataclass(slots=True, frozen=True)
class CommandHandlers:
    """What stands behind the calls; each answers at once, from any thread."""

    status: Callable[[], tuple[bool, str]]  # whether this process is ready to serve, and its state in words
    figures: Callable[[], str]  # as lines
    tell: Callable[[Event], Transition]


def parse_line(heard: bytes) -> bytes | None:
    """The first line, without its end; None while it has none. ValueError once it is too long to be one."""
    line, end, _ = heard.partition(b"\n")
    if len(line) + len(end) > MAX_LINE:
        raise ValueError(f"a line of more than {MAX_LINE} bytes")
    return line.rstrip(b"\r") if end else None


def make_reply(line: bytes, desk: CommandHandlers) -> str:
    """The reply to one call, its last end of line included."""
    try:
        call = line.decode("ascii").strip()
    except UnicodeDecodeError:
        return failure("no text")
    if call == STATUS:
        ready, state = desk.status()
        return f"{SUCCESS if ready else FAILURE} {state}\n"
    if call == METRICS:
        return f"{desk.figures()}{END_OF_REPLY}\n"
    event = CHANGES.get(call)
    if event is None:
        return failure("unknown call; there are " + ", ".join((STATUS, METRICS, *CHANGES)))
    step = desk.tell(event)
    return f"{SUCCESS if step.is_accepted else FAILURE} {step.text}\n"


def failure(why: str) -> str:
    return f"{FAILURE} {why}\n"
