"""The protocol of the operators' address: one command line in, one reply out.

This file owns the commands and replies of that protocol. It must never touch a socket, or raise because of
what a peer sent (except for the ValueError of `parse_line`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wickstep.operation.mode import Event, Transition

MAX_LINE = 256  # bytes of a command, its end of line included
SUCCESS, FAILURE, END_OF_REPLY = "SUCCESS", "FAILURE", "EOT"
STATUS, METRICS = "STATUS", "METRICS"
EVENT_COMMANDS = {"PAUSE": Event.PAUSE, "RESUME": Event.RESUME}


@dataclass(slots=True, frozen=True)
class CommandHandlers:
    """The functions behind the commands; each returns without waiting, on any thread."""

    status: Callable[[], tuple[bool, str]]  # whether this process is ready to serve, and its state as text
    metrics: Callable[[], str]  # as lines of text
    handle_event: Callable[[Event], Transition]


def parse_line(received: bytes) -> bytes | None:
    """The first line without its end, None while it is incomplete. ValueError once it exceeds MAX_LINE."""
    line, end, _ = received.partition(b"\n")
    if len(line) + len(end) > MAX_LINE:
        raise ValueError(f"a line of more than {MAX_LINE} bytes")
    return line.rstrip(b"\r") if end else None


def make_reply(line: bytes, handlers: CommandHandlers) -> str:
    """The reply to one command, its last end of line included."""
    try:
        command = line.decode("ascii").strip()
    except UnicodeDecodeError:
        return format_failure("no text")
    if command == STATUS:
        ready, state = handlers.status()
        return f"{SUCCESS if ready else FAILURE} {state}\n"
    if command == METRICS:
        return f"{handlers.metrics()}{END_OF_REPLY}\n"
    event = EVENT_COMMANDS.get(command)
    if event is None:
        return format_failure("unknown call; there are " + ", ".join((STATUS, METRICS, *EVENT_COMMANDS)))
    transition = handlers.handle_event(event)
    return f"{SUCCESS if transition.is_accepted else FAILURE} {transition.text}\n"


def format_failure(reason: str) -> str:
    return f"{FAILURE} {reason}\n"
