"""Adapter between the bench's wire (text lines on standard input and output) and the controller.

It only translates: the words of the wire live here and nowhere else, and every decision lives in `brain.py`.
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

CONDITIONS = {
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
OK = 200
NOTE_NO_LINE, NOTE_CALLEE_BUSY = 1, 4


class WireError(Exception):
    """A line that the wire does not allow."""


def read_report(text: str) -> dict[str, float]:
    report: dict[str, float] = {}
    if text == "-":
        return report
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        known = REPORT_FIELDS.get(name)
        if known is not None:
            if value != "-":
                report[known] = float(value)
        elif not value:
            raise ValueError("a report pair has no value")
    return report


def _number(text: str) -> int:
    return 0 if text == "-" else int(text)


def _bool(text: str) -> bool:
    if text not in ("0", "1", "-"):
        raise ValueError(f"not a bool: {text}")
    return text == "1"


def _call(f: list[str]) -> api.Event:
    return api.NewCall(
        call=int(f[2]),
        klass=_number(f[3]),
        max_wait=_number(f[6]),
        first_choice=-1 if f[8] == "-" else int(f[8]),
        repeat=_bool(f[11]),
        transit=_bool(f[13]),
        tenant=_number(f[4]),
        callee="" if f[5] == "-" else f[5],
        advised_server=-1 if f[10] == "-" else int(f[10]),
    )


def _ended(f: list[str]) -> api.Event:
    rc, note = int(f[5]), _number(f[8])
    return api.AttemptEnded(
        call=int(f[2]),
        attempt=int(f[3]),
        server=f[4],
        outcome=OUTCOMES[rc],
        delay=_number(f[6]),
        call_over=_bool(f[7]),
        callee_busy=note == NOTE_CALLEE_BUSY,
        report=read_report(f[9]),
        no_line=note == NOTE_NO_LINE,
    )


def _probed(f: list[str]) -> api.Event:
    return api.ProbeAnswered(f[4], int(f[3]) == OK, _number(f[2]), read_report(f[5]))


def _stands(f: list[str]) -> api.Event:
    return api.CallStands(int(f[2]), _number(f[5]), f[3], _number(f[4]))


def _peer(f: list[str]) -> api.Event:
    payload = b"" if f[3] == "-" else base64.b64decode(f[3], validate=True)
    return api.PeerMessage(int(f[2]), payload)


# message name: (number of values, reader)
EVENTS: dict[str, tuple[int, Callable[[list[str]], api.Event]]] = {
    "KNOCK": (14, _call),
    "DONE": (9, _ended),
    "ACK_FIRST": (5, _stands),
    "CANCELLED_BY_CLIENT": (2, lambda f: api.CallerLeft(int(f[2]))),
    "CHECK_RESULT": (5, _probed),
    "TIMER": (2, lambda f: api.TimerDue(int(f[2]))),
    "PEER_DATA": (3, _peer),
}


def write_action(proxy: str, action: api.Action) -> str:
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


class Link:
    """The controllers of one process and the numbered lists their events refer to."""

    def __init__(self) -> None:
        self.controllers: dict[str, Controller] = {}
        self.lists: dict[int, tuple[api.ServerEntry, ...]] = {}

    def batch(self, now: int, lines: list[str]) -> list[str]:
        reply: list[str] = []
        position = 0
        while position < len(lines):
            line = lines[position]
            try:
                position = self._line(now, lines, position, reply)
            except WireError:
                raise
            except (ValueError, KeyError, IndexError, TypeError, AttributeError, binascii.Error) as trouble:
                raise WireError(f"cannot read this line ({trouble}): {line}") from trouble
        return reply

    def _line(self, now: int, lines: list[str], position: int, reply: list[str]) -> int:
        line = lines[position]
        fields = line.split(" ")
        word = fields[0]
        if word == "POOL":
            _expect(fields, 2)
            count = int(fields[2])
            if count < 0 or position + count >= len(lines):
                raise ValueError("entries are missing")
            entries = [self._entry(text) for text in lines[position + 1 : position + 1 + count]]
            self.lists[int(fields[1])] = tuple(entries)
            return position + 1 + count
        if word == "POWER_OFF":
            _expect(fields, 1)
            self.controllers.pop(fields[1], None)
        elif word == "BORN":
            name, salt, conf = line.split(" ", 3)[1:]
            controller = Controller(read_settings(json.loads(conf)), int(salt))
            self.controllers[name] = controller
            self._tell(name, api.Started(), now, reply)
        elif word == "DIRECTORY_UPDATE":
            _expect(fields, 4)
            kind = LIST_KINDS[fields[2]]
            entries_told = () if kind is api.ListKind.REFUSED else self.lists[int(fields[3])]
            self._tell(fields[1], api.ServerList(kind, entries_told), now, reply)
        elif word in EVENTS:
            count, read = EVENTS[word]
            _expect(fields, count)
            self._tell(fields[1], read(fields), now, reply)
        else:
            raise ValueError("unknown message")
        return position + 1

    def _entry(self, line: str) -> api.ServerEntry:
        try:
            fields = line.split(" ")
            _expect(fields, 7)
            if fields[0] != "ENTRY":
                raise ValueError("a list entry was expected")
            float(fields[7])
            started = _number(fields[3])
            return api.ServerEntry(fields[2], int(fields[1]), started, CONDITIONS[fields[6]])
        except (ValueError, KeyError) as trouble:
            raise WireError(f"cannot read this line ({trouble}): {line}") from trouble

    def _tell(self, name: str, event: api.Event, now: int, reply: list[str]) -> None:
        controller = self.controllers.get(name)
        if controller is None:
            raise ValueError("no such instance is running")
        reply.extend(write_action(name, action) for action in controller.handle(event, now))


def _expect(fields: list[str], count: int) -> None:
    if len(fields) <= count:
        raise ValueError("a value is missing")


def converse(source: Iterable[str], target: TextIO) -> None:
    """Answer batch after batch until the input ends."""
    link = Link()
    now: int | None = None
    lines: list[str] = []
    last = ""
    for raw in source:
        line = last = raw.rstrip("\n")
        if now is None:
            word, _, clock = line.partition(" ")
            if word != "TICK":
                raise WireError(f"a batch must begin with TICK: {line}")
            try:
                now = int(clock)
            except ValueError as trouble:
                raise WireError(f"cannot read this line ({trouble}): {line}") from trouble
        elif line == "END":
            reply = link.batch(now, lines)
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
        converse(sys.stdin, sys.stdout)
    except WireError as trouble:
        print(f"benchlink: {trouble}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
