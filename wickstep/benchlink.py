"""Adapter between the simulator's protocol (text lines on standard input and output) and the controller.

This file owns the names of that protocol. It only translates and must never decide: `brain.py` does.
"""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Callable, Iterable
from typing import TextIO

from wickstep import interface as api
from wickstep.brain import Controller
from wickstep.settings import REPORT_FIELDS, read_settings

SERVER_STATES = {
    "active": api.ServerState.ACTIVE,
    "leaving": api.ServerState.DRAINING,
    "left": api.ServerState.GONE,
}
LIST_KINDS = {
    "changes": api.ListKind.CHANGES,
    "all": api.ListKind.COMPLETE,
    "remembered": api.ListKind.COMPLETE,
    "refused": api.ListKind.REFUSED,
}
OUTCOMES = {
    200: api.Outcome.ENDED,
    502: api.Outcome.ERROR,
    429: api.Outcome.FULL,
    408: api.Outcome.TIMEOUT,
    521: api.Outcome.CONNECT_FAILED,
    520: api.Outcome.RESET,
    444: api.Outcome.CANCELLED,
    409: api.Outcome.MOOT,
}
STATUS_OK = 200  # of an answered probe
NOTE_NO_LINE, NOTE_CALLEE_BUSY = 1, 4  # values of the field `note` of DONE


class WireError(Exception):
    """A line that violates the protocol."""


def parse_report(text: str) -> dict[str, float]:
    report: dict[str, float] = {}
    if text == "-":
        return report
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        field = REPORT_FIELDS.get(name)
        if field is not None:
            if value != "-":
                report[field] = float(value)
        elif not value:
            raise ValueError("a name in the report has no value")
    return report


def _parse_integer(text: str) -> int:
    return 0 if text == "-" else int(text)


def _parse_bool(text: str) -> bool:
    if text not in ("0", "1", "-"):
        raise ValueError(f"expected 0, 1 or -, got {text}")
    return text == "1"


def _parse_new_call(fields: list[str]) -> api.Event:
    return api.NewCall(
        call=int(fields[2]),
        klass=_parse_integer(fields[3]),
        max_wait=_parse_integer(fields[6]),
        first_choice=-1 if fields[8] == "-" else int(fields[8]),
        repeat=_parse_bool(fields[11]),
        transit=_parse_bool(fields[13]),
        tenant=_parse_integer(fields[4]),
        callee="" if fields[5] == "-" else fields[5],
        advised_server=-1 if fields[10] == "-" else int(fields[10]),
    )


def _parse_attempt_ended(fields: list[str]) -> api.Event:
    status, note = int(fields[5]), _parse_integer(fields[8])
    return api.AttemptEnded(
        call=int(fields[2]),
        attempt=int(fields[3]),
        server=fields[4],
        outcome=OUTCOMES[status],
        delay=_parse_integer(fields[6]),
        call_over=_parse_bool(fields[7]),
        callee_busy=note == NOTE_CALLEE_BUSY,
        report=parse_report(fields[9]),
        no_line=note == NOTE_NO_LINE,
    )


def _parse_probe_answered(fields: list[str]) -> api.Event:
    return api.ProbeAnswered(
        fields[4], int(fields[3]) == STATUS_OK, _parse_integer(fields[2]), parse_report(fields[5])
    )


def _parse_call_stands(fields: list[str]) -> api.Event:
    return api.CallStands(int(fields[2]), _parse_integer(fields[5]), fields[3], _parse_integer(fields[4]))


def _parse_peer_message(fields: list[str]) -> api.Event:
    payload = b"" if fields[3] == "-" else base64.b64decode(fields[3], validate=True)
    return api.PeerMessage(int(fields[2]), payload)


# message name -> (number of values, parser)
EVENTS: dict[str, tuple[int, Callable[[list[str]], api.Event]]] = {
    "KNOCK": (14, _parse_new_call),
    "DONE": (9, _parse_attempt_ended),
    "ACK_FIRST": (5, _parse_call_stands),
    "CANCELLED_BY_CLIENT": (2, lambda fields: api.CallerLeft(int(fields[2]))),
    "CHECK_RESULT": (5, _parse_probe_answered),
    "TIMER": (2, lambda fields: api.TimerDue(int(fields[2]))),
    "PEER_DATA": (3, _parse_peer_message),
}


def format_action(proxy: str, action: api.Action) -> str:
    match action:
        case api.Send():
            return f"PASS_ON {proxy} {action.call} {action.server} {action.timeout}"
        case api.Refuse():
            return f"SAY_NO {proxy} {action.call} {action.retry_after}"
        case api.Fail():
            return f"GIVE_UP {proxy} {action.call}"
        case api.Cancel():
            return f"ABANDON {proxy} {action.call} {action.attempt}"
        case api.Wake():
            return f"WAKE_ME {proxy} {action.token} {action.due}"
        case api.Probe():
            return f"POLL {proxy} {action.server}"
        case api.Message():
            target = -1 if action.target is None else action.target
            return f"SHARE {proxy} {target} {base64.b64encode(action.payload).decode() or '-'}"
        case api.FollowList():
            return f"FOLLOW {proxy} 1"


class ControllerHost:
    """The controllers of one process, and the server lists by number that their events refer to."""

    def __init__(self) -> None:
        self.controllers: dict[str, Controller] = {}
        self.lists: dict[int, tuple[api.ServerEntry, ...]] = {}

    def handle_batch(self, now: int, lines: list[str]) -> list[str]:
        reply: list[str] = []
        position = 0
        while position < len(lines):
            line = lines[position]
            try:
                position = self._handle_line(now, lines, position, reply)
            except WireError:
                raise
            except (ValueError, KeyError, IndexError, TypeError, AttributeError, binascii.Error) as error:
                raise WireError(f"cannot read this line ({error}): {line}") from error
        return reply

    def _handle_line(self, now: int, lines: list[str], position: int, reply: list[str]) -> int:
        line = lines[position]
        fields = line.split(" ")
        message = fields[0]
        if message == "POOL":
            _require_fields(fields, 2)
            count = int(fields[2])
            if count < 0 or position + count >= len(lines):
                raise ValueError("fewer ENTRY lines follow than this message announces")
            entries = [self._parse_entry(text) for text in lines[position + 1 : position + 1 + count]]
            self.lists[int(fields[1])] = tuple(entries)
            return position + 1 + count
        if message == "POWER_OFF":
            _require_fields(fields, 1)
            self.controllers.pop(fields[1], None)
        elif message == "BORN":
            name, seed, conf = line.split(" ", 3)[1:]
            controller = Controller(read_settings(json.loads(conf)), int(seed))
            self.controllers[name] = controller
            self._deliver(name, api.Started(), now, reply)
        elif message == "DIRECTORY_UPDATE":
            _require_fields(fields, 4)
            kind = LIST_KINDS[fields[2]]
            listed = () if kind is api.ListKind.REFUSED else self.lists[int(fields[3])]
            self._deliver(fields[1], api.ServerList(kind, listed), now, reply)
        elif message in EVENTS:
            count, parse_event = EVENTS[message]
            _require_fields(fields, count)
            self._deliver(fields[1], parse_event(fields), now, reply)
        else:
            raise ValueError("unknown message")
        return position + 1

    def _parse_entry(self, line: str) -> api.ServerEntry:
        try:
            fields = line.split(" ")
            _require_fields(fields, 7)
            if fields[0] != "ENTRY":
                raise ValueError("expected an ENTRY line")
            float(fields[7])  # only checked: the controller does not use it
            started = _parse_integer(fields[3])
            return api.ServerEntry(fields[2], int(fields[1]), started, SERVER_STATES[fields[6]])
        except (ValueError, KeyError) as error:
            raise WireError(f"cannot read this line ({error}): {line}") from error

    def _deliver(self, name: str, event: api.Event, now: int, reply: list[str]) -> None:
        controller = self.controllers.get(name)
        if controller is None:
            raise ValueError("no controller of this name is running")
        reply.extend(format_action(name, action) for action in controller.handle(event, now))


def _require_fields(fields: list[str], count: int) -> None:
    if len(fields) <= count:
        raise ValueError("the message has too few values")


def answer_batches(source: Iterable[str], target: TextIO) -> None:
    """Answer each batch of lines (TICK to END) until the input ends; WireError on a violation."""
    host = ControllerHost()
    now: int | None = None
    lines: list[str] = []
    last = ""
    for raw in source:
        line = last = raw.rstrip("\n")
        if now is None:
            message, _, time_text = line.partition(" ")
            if message != "TICK":
                raise WireError(f"expected TICK at the start of a batch, got: {line}")
            try:
                now = int(time_text)
            except ValueError as error:
                raise WireError(f"cannot read this line ({error}): {line}") from error
        elif line == "END":
            reply = host.handle_batch(now, lines)
            reply.append("END\n")
            target.write("\n".join(reply))
            target.flush()
            now, lines = None, []
        else:
            lines.append(line)
    if now is not None:
        raise WireError(f"the input ended inside a batch, END is missing after: {last}")


def main() -> int:
    try:
        answer_batches(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
