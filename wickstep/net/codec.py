"""The binary protocol: decodes bytes to message objects and encodes them back.

This file owns every code, type number and parameter on the wire; no other file names one. It must never touch
a socket, keep state about a call or read a clock, and never raise anything but `MalformedMessage` on a peer's
input.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Collection, Iterable, Iterator
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

MAX_MESSAGE = 16 * 1024  # bytes of a whole message, its length field included
HEAD = struct.Struct(">HBQ")  # length of what follows this field, message type, call
PARAMETER = struct.Struct(">BH")  # code, length of the value
LENGTH_FIELD_BYTES = 2
CALL_BYTES = 8
MIN_LENGTH = HEAD.size - LENGTH_FIELD_BYTES  # of a message without parameters
MAX_TENANT_BYTES = 255  # a tenant's name is kept as long as its call
ADVISED_SERVER_LIMIT = 2**31  # a centre may advise servers of numbers below this
MAX_ADVICE_CHARACTERS = 16  # of such a number: float() would accept thousands of digits
MAX_PARAMETERS = 64  # in one message, several times the number of codes: empty ones cost most for a byte
MAX_FIGURES = 64  # in one parameter: a message full of them would take 25 times its size in memory


class MessageType(IntEnum):
    """The message type field of the head."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_COMPLETE = 16
    GROUP_STATE = 43
    TEST = 52
    TEST_RESULT = 53


MESSAGE_TYPES = frozenset(int(kind) for kind in MessageType)
P_CLASS, P_WAIT, P_TENANT, P_REPEAT, P_NUMBER, P_FIGURES = 64, 65, 66, 67, 68, 69
P_STAY_AWAY, P_NOTE, P_REPORT, P_CAUSE, P_DESCRIPTION = 70, 71, 73, 78, 79

CAUSE_BY_REASON = {
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
REASON_BY_CAUSE = {cause: reason for reason, cause in CAUSE_BY_REASON.items()}
SERVER_MESSAGE_TYPES = (
    MessageType.PROGRESS,
    MessageType.ANSWER,
    MessageType.RELEASE,
    MessageType.RELEASE_COMPLETE,
    MessageType.GROUP_STATE,
    MessageType.TEST_RESULT,
)
# In a description: length (up to 16 KiB), type and call of a message. At the end of the description half of
# the call's id is enough: random bytes do not match it.
_SERVER_HEAD = rb"(?=[\x00-\x3f].[%s]" % re.escape(bytes(SERVER_MESSAGE_TYPES))
WHOLE_HEAD = re.compile(_SERVER_HEAD + rb"(.{8}))", re.DOTALL)
CUT_HEAD = re.compile(_SERVER_HEAD + rb"(.{4,7})\Z)", re.DOTALL)
MAX_CUT_HEAD_BYTES = HEAD.size - 1
# The head of a state report that nobody asked for, and the code of its parameter, as far as they are there.
REPORT_HEAD = re.compile(
    rb"[\x00-\x3f].%s(\x00{8}(%c|\Z)|\x00{4,7}\Z)" % (re.escape(bytes([MessageType.GROUP_STATE])), P_REPORT),
    re.DOTALL,
)
NOTE_BY_NAME = {"no_circuit": Note.NO_CIRCUIT, "overload": Note.OVERLOAD, "lines_busy": Note.LINES_BUSY}


class BinaryCodec:
    """The `WireCodec` of this protocol, one object per connection."""

    def __init__(self) -> None:
        self._splitter = Splitter()
        self.has_partial_message, self.feed = self._splitter.has_partial_message, self._splitter.feed

    @property
    def size(self) -> int:
        return self._splitter.size

    def encode(self, message: Message) -> bytes:
        return encode(message)

    def bind(self, link: object) -> None:
        pass  # this protocol sends nothing of its own: every message comes from the loop


class Splitter:
    """Splits one connection's byte stream into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._check = BeginCheck()  # of the message that begins the buffer
        self.size = 0  # bytes of the message that feed() yielded last

    def has_partial_message(self) -> bool:
        """Whether part of a message has been received."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[Message]:
        """The messages that are complete now.

        A description may hold any bytes. If its message was cut short, and the peer went on with another one,
        it holds the begin of that one: what follows it is no message then, and neither is it.
        """
        self._buffer += data
        self._check.advance(self._buffer, 0)
        while len(self._buffer) >= LENGTH_FIELD_BYTES:
            end = LENGTH_FIELD_BYTES + int.from_bytes(self._buffer[:LENGTH_FIELD_BYTES], "big")
            if len(self._buffer) < end:
                return
            message = decode(bytes(self._buffer[:end]))
            self._check = BeginCheck()
            has_description = isinstance(message, SetUp | Answer)
            if has_description:
                self._check.advance(self._buffer, end)
            del self._buffer[:end]
            self.size = end
            yield message  # removed from the buffer before: a slow consumer must not keep a second copy here
            if not has_description:
                self._check.advance(self._buffer, 0)


class BeginCheck:
    """Checks whether a message may begin somewhere, as far as it has arrived, and each of its bytes once.

    A message may come in thousands of pieces: checked from its begin at each, its cost would grow with the
    square of their number.
    """

    def __init__(self) -> None:
        self._length = 0  # of the message, without its length field; 0: not known yet
        self._position = HEAD.size  # of the next parameter, from the begin of the message
        self._parameters = 0

    def advance(self, buffer: bytearray, start: int) -> None:
        """Check what has arrived of the message that begins at `start`; MalformedMessage if it is none.

        Checked before the rest has arrived: a wrong length must not make us buffer 64 KiB.
        """
        arrived = len(buffer) - start
        if not self._length and arrived >= LENGTH_FIELD_BYTES:
            self._length = int.from_bytes(buffer[start : start + LENGTH_FIELD_BYTES], "big")
            if not MIN_LENGTH <= self._length <= MAX_MESSAGE - LENGTH_FIELD_BYTES:
                raise MalformedMessage(
                    f"length field out of range: expected a message head to 16 KiB in all, got {self._length}"
                )
        if arrived > LENGTH_FIELD_BYTES and buffer[start + LENGTH_FIELD_BYTES] not in MESSAGE_TYPES:
            raise MalformedMessage(f"unknown message type {buffer[start + LENGTH_FIELD_BYTES]}")
        end = LENGTH_FIELD_BYTES + self._length
        while self._position < end and self._position + PARAMETER.size <= arrived:
            _, value_length = PARAMETER.unpack_from(buffer, start + self._position)
            self._position += PARAMETER.size + value_length
            self._parameters += 1
            if self._parameters > MAX_PARAMETERS:
                raise MalformedMessage(f"expected at most {MAX_PARAMETERS} parameters in a message, got more")
        if self._length and self._position > end:
            raise MalformedMessage("a parameter is longer than the rest of its message")


def holds_message(description: bytes, calls: Collection[int]) -> bool:
    """Whether the head of another message stands in a description: a state report's, or one of these calls'.

    The message of that description was cut short, and its peer went on with the other one.
    """
    if REPORT_HEAD.search(description):
        return True
    # All heads at once: a description may be made of thousands of them.
    heads = WHOLE_HEAD.findall(description)
    if any(map(calls.__contains__, struct.unpack(f">{len(heads)}Q", b"".join(heads)))):
        return True
    return any(
        call.to_bytes(CALL_BYTES, "big").startswith(call_bytes)
        for call_bytes in CUT_HEAD.findall(description[-MAX_CUT_HEAD_BYTES:])
        for call in calls
    )


def decode(raw: bytes) -> Message:
    """Decode one whole message, its length field included."""
    _, kind, call = HEAD.unpack_from(raw)
    values = _read_parameters(raw)
    cause = values.get(P_CAUSE, b"")
    if len(cause) > 1:
        raise MalformedMessage("parameter cause: expected one byte, got more")
    match kind:
        case MessageType.SET_UP:
            return _read_set_up(call, values)
        case MessageType.PROGRESS:
            return Progress(call)
        case MessageType.ANSWER:
            if not values.get(P_DESCRIPTION):
                raise MalformedMessage("answer lacks the parameter description")
            return Answer(call, values[P_DESCRIPTION])
        case MessageType.RELEASE:
            if not cause:
                raise MalformedMessage("release lacks the parameter cause")
            return Release(
                call,
                REASON_BY_CAUSE.get(cause[0], Reason.FAILED),
                NOTE_BY_NAME.get(_read_text(values, P_NOTE)),
                _read_number(values, P_STAY_AWAY),
                _read_report(values),
            )
        case MessageType.RELEASE_COMPLETE:
            return ReleaseComplete(call)
        case MessageType.TEST:
            return Test(call, cause == b"\x01")
        case MessageType.TEST_RESULT:
            return TestResult(call, cause == b"\x01", _read_report(values))
        case MessageType.GROUP_STATE:
            return GroupState(call, _read_report(values))
    raise MalformedMessage(f"unknown message type {kind}")


def _read_parameters(raw: bytes) -> dict[int, bytes]:
    values: dict[int, bytes] = {}
    position, end = HEAD.size, len(raw)
    while position < end:
        if position + PARAMETER.size > end:
            raise MalformedMessage("message ends within the head of a parameter")
        code, length = PARAMETER.unpack_from(raw, position)
        position += PARAMETER.size
        if position + length > end:
            raise MalformedMessage(f"parameter {code} is longer than the rest of its message")
        values[code] = raw[position : position + length]
        position += length
    return values


def _read_text(values: dict[int, bytes], code: int) -> str:
    try:
        return values.get(code, b"").decode()
    except UnicodeDecodeError as exc:
        raise MalformedMessage(f"parameter {code}: expected UTF-8 text") from exc


def _read_number(values: dict[int, bytes], code: int, default: int = 0) -> int:
    text = _read_text(values, code)
    if not text:
        return default
    # At most ten digits: int() would accept thousands, at quadratic cost.
    if not (text.isascii() and text.isdecimal() and len(text) <= 10):
        raise MalformedMessage(f"parameter {code}: expected a decimal number of at most ten digits")
    return int(text)


def _split_pairs(values: dict[int, bytes], code: int) -> list[bytes]:
    pairs = values.get(code, b"").split(b";", MAX_FIGURES)
    if len(pairs) > MAX_FIGURES:
        raise MalformedMessage(f"parameter {code}: too many figures")
    return pairs


def _read_figures(pairs: Iterable[bytes], code: int) -> dict[str, float]:
    """Parse `name:value;name:value`; figures with an empty value or `-` are left out."""
    figures: dict[str, float] = {}
    for raw in filter(None, pairs):
        try:
            pair = raw.decode()
        except UnicodeDecodeError as exc:
            raise MalformedMessage(f"parameter {code}: expected UTF-8 text") from exc
        name, colon, value = pair.partition(":")
        if not colon:
            raise MalformedMessage(f"parameter {code}: expected name:value, got a figure without a colon")
        if value in ("", "-"):
            continue
        try:
            figures[name] = float(value)
        except ValueError as exc:
            raise MalformedMessage(f"parameter {code}: a figure's value is not a number") from exc
    return figures


def _read_report(values: dict[int, bytes]) -> Report:
    return _read_figures(_split_pairs(values, P_REPORT), P_REPORT)


def _read_tenant(raw: bytes) -> str | None:
    """A tenant's name; empty: none is given, None: too long or not UTF-8."""
    try:
        return raw.decode() if len(raw) <= MAX_TENANT_BYTES else None
    except UnicodeDecodeError:
        return None


def _read_advised_server(pair: bytes) -> int | None:
    """Number of the server that a centre advises; -1: none, None: not a valid number."""
    value = pair.partition(b":")[2]
    if value in (b"", b"-") and pair != b"via":
        return -1
    try:
        number = float(value) if len(value) <= MAX_ADVICE_CHARACTERS else -2.0
    except ValueError:
        return None
    return int(number) if number.is_integer() and -1 <= number < ADVISED_SERVER_LIMIT else None


def _read_set_up(call: int, values: dict[int, bytes]) -> SetUp:
    pairs = _split_pairs(values, P_FIGURES)
    # A centre's advice and a tenant's name are hints: an invalid one is ignored, and the call goes on.
    advice_pairs = [pair for pair in pairs if pair.partition(b":")[0] == b"via"]
    hints = (
        _read_tenant(values.get(P_TENANT, b"")),
        _read_advised_server(advice_pairs[-1]) if advice_pairs else -1,
    )
    other_pairs = (pair for pair in pairs if pair not in advice_pairs)
    figures = {"dest": -1.0, "width": 1.0, "again": 0.0, **_read_figures(other_pairs, P_FIGURES)}
    # is_integer() is false for inf and nan too.
    if not all(figures[name].is_integer() for name in ("dest", "width", "again")):
        raise MalformedMessage("set-up: expected whole numbers for the figures dest, width and again")
    return SetUp(
        call=call,
        klass=_read_text(values, P_CLASS),
        wait_ms=_read_number(values, P_WAIT),
        number=_read_text(values, P_NUMBER),
        description=values.get(P_DESCRIPTION, b""),
        first_choice=int(figures["dest"]),
        width=int(figures["width"]),
        repeat=_read_text(values, P_REPEAT) == "1",
        after_cut=figures["again"] == 1.0,
        tenant=hints[0] or "",
        advised_server=-1 if hints[1] is None else hints[1],
        ignored_fields=hints.count(None),
    )


def encode(message: Message) -> bytes:
    """Encode one message, without the fields that do not concern its receiver."""
    values: list[tuple[int, bytes]] = []
    match message:
        case SetUp():
            kind = MessageType.SET_UP
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
            kind = MessageType.PROGRESS
        case Answer():
            kind = MessageType.ANSWER
            values = [(P_DESCRIPTION, message.description)]
        case Release():
            kind = MessageType.RELEASE
            values = [(P_CAUSE, bytes([CAUSE_BY_REASON[message.reason]]))]
            if message.stay_away_ms:
                values.append((P_STAY_AWAY, b"%d" % message.stay_away_ms))
            if message.note:
                values.append((P_NOTE, message.note.value.encode()))
            values += _encode_report(message.report)
        case ReleaseComplete():
            kind = MessageType.RELEASE_COMPLETE
        case Test():
            kind = MessageType.TEST
            values = [(P_CAUSE, bytes([message.probe]))]
        case TestResult():
            kind = MessageType.TEST_RESULT
            values = [(P_CAUSE, bytes([message.passed])), *_encode_report(message.report)]
        case GroupState():
            kind = MessageType.GROUP_STATE
            values = _encode_report(message.report)
    # Empty values are left out: so a forwarded message is never longer than the received one, and fits.
    body = b"".join(PARAMETER.pack(code, len(value)) + value for code, value in values if value)
    encoded = HEAD.pack(MIN_LENGTH + len(body), kind, message.call) + body if len(body) < MAX_MESSAGE else b""
    if not encoded or len(encoded) > MAX_MESSAGE:
        raise MalformedMessage("cannot encode a message of more than 16 KiB")
    return encoded


def _encode_report(report: Report) -> list[tuple[int, bytes]]:
    text = ";".join(f"{name}:{value:g}" for name, value in report.items())
    return [(P_REPORT, text.encode())] if text else []
