"""What one message may cost, whatever it holds and in however many pieces it comes."""

from __future__ import annotations

import struct
from typing import Any

import pytest

from wickstep.net import MalformedMessage, Message, Progress, SetUp, codec


class CountingStruct:
    """Stands in for the format of a parameter's head, and counts how often one is read."""

    def __init__(self, original: struct.Struct) -> None:
        self.original, self.reads = original, 0
        self.size = original.size

    def unpack_from(self, buffer: Any, offset: int = 0) -> tuple[Any, ...]:
        self.reads += 1
        return self.original.unpack_from(buffer, offset)

    def pack(self, *values: Any) -> bytes:
        return self.original.pack(*values)


@pytest.fixture
def parameter_reads(monkeypatch: pytest.MonkeyPatch) -> CountingStruct:
    counting = CountingStruct(codec.PARAMETER)
    monkeypatch.setattr(codec, "PARAMETER", counting)
    return counting


def message_of(parameters: int, filling: bytes = b"") -> bytes:
    """A set-up with that many parameters."""
    body = codec.PARAMETER.pack(codec.P_DESCRIPTION, len(filling)) + filling
    body += codec.PARAMETER.pack(codec.P_NOTE, 0) * (parameters - 1)
    return codec.HEAD.pack(codec.MIN_LENGTH + len(body), codec.MessageType.SET_UP, 7) + body


def feed_in_pieces(splitter: codec.Splitter, raw: bytes, piece: int) -> list[Message]:
    pieces = (raw[start : start + piece] for start in range(0, len(raw), piece))
    return [message for data in pieces for message in splitter.feed(data)]


def test_a_message_in_single_bytes_is_read_at_linear_cost(parameter_reads: CountingStruct) -> None:
    """Guards against a processor kept busy by one caller: all parameters were read again at each piece."""
    raw = message_of(codec.MAX_PARAMETERS)
    splitter = codec.Splitter()
    messages = feed_in_pieces(splitter, raw, 1)
    assert [type(message) for message in messages] == [SetUp]
    # Once as they come, and once to read the message.
    assert parameter_reads.reads == 2 * codec.MAX_PARAMETERS


@pytest.mark.parametrize("piece", [1, 24, codec.MAX_MESSAGE])
def test_a_message_of_very_many_parameters_is_malformed(parameter_reads: CountingStruct, piece: int) -> None:
    """Guards against messages that cost a hundred times their bytes: thousands of empty parameters."""
    raw = message_of(5000)
    splitter = codec.Splitter()
    with pytest.raises(MalformedMessage):
        feed_in_pieces(splitter, raw, piece)
    assert parameter_reads.reads == codec.MAX_PARAMETERS + 1


@pytest.mark.parametrize("piece", [1, 7, 1000])
def test_what_follows_a_message_is_checked_wherever_the_pieces_end(piece: int) -> None:
    """Guards against a check that goes on where that of the message before had ended."""
    raw = message_of(3, b"offer" * 20) * 3 + codec.encode(Progress(9)) + message_of(2, b"x")
    splitter = codec.Splitter()
    found = feed_in_pieces(splitter, raw, piece)
    assert [type(message).__name__ for message in found] == ["SetUp"] * 3 + ["Progress", "SetUp"]
    assert not splitter.has_partial_message()
