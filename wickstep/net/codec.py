"""The binary protocol: bytes to message objects and back.

This file owns every code, type number and parameter of the wire; none is named anywhere else. It must never
touch a socket, keep state about a call or read a clock, and never raise anything but `MalformedMessage`
on what a peer has sent.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from enum import IntEnum

from wickstep.net import (
    Answer,
    GroupState,
    MalformedMessage,
    Message,
    Note,
    Progress,
    Reason,
    Release,
    ReleaseComplete,
    Report,
    SetUp,
    Test,
    TestResult,
)

MAX_MESSAGE = 16 * 1024  # of a whole message, its length field included
HEAD = struct.Struct(">HBQ")
PARAMETER = struct.Struct(">BH")
LENGTH_FIELD = 2
LEAST = HEAD.size - LENGTH_FIELD
TENANT_MOST = 255  # bytes of a tenant's name: it is kept as long as its call
ADVICE_MOST = 2**31  # numbers of servers that a centre may advise lie below
ADVICE_CHARACTERS = 16  # and are written with no more: Python would read thousands
FIGURES_MOST = 64  # in one parameter: a message full of them would come to 25 times its size


class Kind(IntEnum):
    """The type of a message."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_HEARD = 16
    GROUP_STATE = 43
    TEST = 52
    TEST_RESULT = 53


P_CLASS, P_WAIT, P_TENANT, P_REPEAT, P_NUMBER, P_FIGURES = 64, 65, 66, 67, 68, 69
P_STAY_AWAY, P_NOTE, P_REPORT, P_CAUSE, P_DESCRIPTION = 70, 71, 73, 78, 79

CAUSES = {
    Reason.CLEARED: 16,
    Reason.BUSY: 17,
    Reason.FULL: 34,
    Reason.INTERRUPTED: 41,
    Reason.CONGESTED: 42,
    Reason.FAULT: 47,
    Reason.MOOT: 102,
    Reason.FAILED: 31,  # normal, unspecified
    Reason.MALFORMED: 111,  # protocol error
    Reason.INVALID_NUMBER: 28,
    Reason.UNALLOCATED: 1,
    Reason.BARRED: 21,  # call rejected
}
REASONS = {cause: reason for reason, cause in CAUSES.items()}
NOTES = {"no_circuit": Note.NO_CIRCUIT, "overload": Note.OVERLOAD, "lines_busy": Note.LINES_BUSY}


class Binary:
    """This protocol on one connection."""

    def __init__(self) -> None:
        self._splitter = Splitter()
        self.begun, self.feed = self._splitter.begun, self._splitter.feed

    @property
    def size(self) -> int:
        return self._splitter.size

    def encode(self, message: Message) -> bytes:
        return encode(message)

    def bind(self, link: object) -> None:
        pass  # all that is said here is said by the loop


class Splitter:
    """Cuts one connection's bytes into messages."""

    def __init__(self) -> None:
        self._rest = bytearray()
        self.size = 0  # bytes of the message yielded last

    def begun(self) -> bool:
        """Whether a part of a message is there."""
        return bool(self._rest)

    def feed(self, data: bytes) -> Iterator[Message]:
        self._rest += data
        while len(self._rest) >= LENGTH_FIELD:
            length = int.from_bytes(self._rest[:LENGTH_FIELD], "big")
            # The length is judged before the rest is awaited: a wrong one must not make us hold 64 KiB.
            if not LEAST <= length <= MAX_MESSAGE - LENGTH_FIELD:
                raise MalformedMessage(f"a message of length {length}")
            end = LENGTH_FIELD + length
            if len(self._rest) < end:
                return
            message = decode(bytes(self._rest[:end]))
            del self._rest[:end]
            self.size = end
            yield message  # who is slow to take it holds no second copy here


def decode(raw: bytes) -> Message:
    """One whole message, its length field included."""
    _, kind, call = HEAD.unpack_from(raw)
    values = _parameters(raw)
    cause = values.get(P_CAUSE, b"")
    if len(cause) > 1:
        raise MalformedMessage("a cause of more than one byte")
    match kind:
        case Kind.SET_UP:
            return _set_up(call, values)
        case Kind.PROGRESS:
            return Progress(call)
        case Kind.ANSWER:
            if not values.get(P_DESCRIPTION):
                raise MalformedMessage("an answer without a description")
            return Answer(call, values[P_DESCRIPTION])
        case Kind.RELEASE:
            if not cause:
                raise MalformedMessage("a release without a cause")
            return Release(
                call,
                REASONS.get(cause[0], Reason.FAILED),
                NOTES.get(_text(values, P_NOTE)),
                _number(values, P_STAY_AWAY),
                _report(values),
            )
        case Kind.RELEASE_HEARD:
            return ReleaseComplete(call)
        case Kind.TEST:
            return Test(call, cause == b"\x01")
        case Kind.TEST_RESULT:
            return TestResult(call, cause == b"\x01", _report(values))
        case Kind.GROUP_STATE:
            return GroupState(call, _report(values))
    raise MalformedMessage(f"a message of type {kind}")


def _parameters(raw: bytes) -> dict[int, bytes]:
    values: dict[int, bytes] = {}
    position, end = HEAD.size, len(raw)
    while position < end:
        if position + PARAMETER.size > end:
            raise MalformedMessage("a parameter is cut off")
        code, length = PARAMETER.unpack_from(raw, position)
        position += PARAMETER.size
        if position + length > end:
            raise MalformedMessage(f"parameter {code} is cut off")
        values[code] = raw[position : position + length]
        position += length
    return values


def _text(values: dict[int, bytes], code: int) -> str:
    try:
        return values.get(code, b"").decode()
    except UnicodeDecodeError as trouble:
        raise MalformedMessage(f"parameter {code} is not text") from trouble


def _number(values: dict[int, bytes], code: int, absent: int = 0) -> int:
    text = _text(values, code)
    if not text:
        return absent
    # At most ten digits: Python would read thousands, at quadratic cost.
    if not (text.isascii() and text.isdecimal() and len(text) <= 10):
        raise MalformedMessage(f"parameter {code} is not a number")
    return int(text)


def _pairs(values: dict[int, bytes], code: int) -> list[bytes]:
    pairs = values.get(code, b"").split(b";", FIGURES_MOST)
    if len(pairs) > FIGURES_MOST:
        raise MalformedMessage(f"parameter {code} holds too many figures")
    return pairs


def _figures(pairs: Iterable[bytes], code: int) -> dict[str, float]:
    """`name:value;name:value`; a value may be left open as `-`."""
    figures: dict[str, float] = {}
    for raw in filter(None, pairs):
        try:
            pair = raw.decode()
        except UnicodeDecodeError as trouble:
            raise MalformedMessage(f"parameter {code} is not text") from trouble
        name, colon, value = pair.partition(":")
        if not colon:
            raise MalformedMessage(f"parameter {code} holds a figure without a value")
        if value in ("", "-"):
            continue
        try:
            figures[name] = float(value)
        except ValueError as trouble:
            raise MalformedMessage(f"parameter {code} holds a figure that is no number") from trouble
    return figures


def _report(values: dict[int, bytes]) -> Report:
    return _figures(_pairs(values, P_REPORT), P_REPORT)


def _tenant(raw: bytes) -> str | None:
    """A tenant's name; empty: none is given, None: it makes no sense."""
    try:
        return raw.decode() if len(raw) <= TENANT_MOST else None
    except UnicodeDecodeError:
        return None


def _advice(pair: bytes) -> int | None:
    """The server that a centre advises; -1: none, None: it makes no sense."""
    value = pair.partition(b":")[2]
    if value in (b"", b"-") and pair != b"via":
        return -1
    try:
        number = float(value) if len(value) <= ADVICE_CHARACTERS else -2.0
    except ValueError:
        return None
    return int(number) if number.is_integer() and -1 <= number < ADVICE_MOST else None


def _set_up(call: int, values: dict[int, bytes]) -> SetUp:
    pairs = _pairs(values, P_FIGURES)
    # A centre's advice and a tenant's name are hints: one that makes no sense costs its call nothing.
    told = [pair for pair in pairs if pair.partition(b":")[0] == b"via"]
    hints = (_tenant(values.get(P_TENANT, b"")), _advice(told[-1]) if told else -1)
    others = (pair for pair in pairs if pair not in told)
    figures = {"dest": -1.0, "width": 1.0, "again": 0.0, **_figures(others, P_FIGURES)}
    # `inf` and `nan` are no whole numbers.
    if not all(figures[name].is_integer() for name in ("dest", "width", "again")):
        raise MalformedMessage("a figure is no whole number")
    return SetUp(
        call=call,
        klass=_text(values, P_CLASS),
        wait_ms=_number(values, P_WAIT),
        number=_text(values, P_NUMBER),
        description=values.get(P_DESCRIPTION, b""),
        first_choice=int(figures["dest"]),
        width=int(figures["width"]),
        repeat=_text(values, P_REPEAT) == "1",
        after_cut=figures["again"] == 1.0,
        tenant=hints[0] or "",
        advised_server=-1 if hints[1] is None else hints[1],
        ignored_fields=hints.count(None),
    )


def encode(message: Message) -> bytes:
    """The bytes of one message; only what belongs to its receiver goes out."""
    values: list[tuple[int, bytes]] = []
    match message:
        case SetUp():
            kind = Kind.SET_UP
            values = [
                (P_CLASS, message.klass.encode()),
                (P_WAIT, b"%d" % message.wait_ms),
                (P_NUMBER, message.number.encode()),
                (P_DESCRIPTION, message.description),
                (P_REPEAT, b"1" if message.repeat else b""),
                (P_TENANT, message.tenant.encode()),
            ]
            figures = f"dest:{message.first_choice}" + ";again:1" * message.after_cut
            if message.advised_server >= 0:
                figures += f";via:{message.advised_server}"
            if message.first_choice >= 0 or message.advised_server >= 0:
                values.append((P_FIGURES, figures.encode()))
        case Progress():
            kind = Kind.PROGRESS
        case Answer():
            kind = Kind.ANSWER
            values = [(P_DESCRIPTION, message.description)]
        case Release():
            kind = Kind.RELEASE
            values = [(P_CAUSE, bytes([CAUSES[message.reason]]))]
            if message.stay_away_ms:
                values.append((P_STAY_AWAY, b"%d" % message.stay_away_ms))
            if message.note:
                values.append((P_NOTE, message.note.value.encode()))
            values += _report_out(message.report)
        case ReleaseComplete():
            kind = Kind.RELEASE_HEARD
        case Test():
            kind = Kind.TEST
            values = [(P_CAUSE, bytes([message.probe]))]
        case TestResult():
            kind = Kind.TEST_RESULT
            values = [(P_CAUSE, bytes([message.passed])), *_report_out(message.report)]
        case GroupState():
            kind = Kind.GROUP_STATE
            values = _report_out(message.report)
    # An empty value is left out: what goes on is never longer than what came, so it always fits.
    body = b"".join(PARAMETER.pack(code, len(value)) + value for code, value in values if value)
    whole = HEAD.pack(LEAST + len(body), kind, message.call) + body if len(body) < MAX_MESSAGE else b""
    if not whole or len(whole) > MAX_MESSAGE:
        raise MalformedMessage("a message over 16 KiB")
    return whole


def _report_out(report: Report) -> list[tuple[int, bytes]]:
    text = ";".join(f"{name}:{value:g}" for name, value in report.items())
    return [(P_REPORT, text.encode())] if text else []
