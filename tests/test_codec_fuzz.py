"""Property tests of the binary codec and of the readers of connections: any messages, split anywhere.

Seeded and short here; `FUZZ_EXAMPLES=200000` makes a long run by hand.
"""

from __future__ import annotations

import contextlib
import functools
import itertools
import os
import socket
from queue import SimpleQueue

from hypothesis import given, seed, settings
from hypothesis import strategies as st

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
    Test,
    TestResult,
    codec,
)
from wickstep.net.links import Closed, Inbox, Link, Reader, Received

from .test_softswitch import TIMEOUT_S

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "300"))
fuzz = settings(max_examples=EXAMPLES, deadline=None, database=None)

CALLS = st.integers(1, 2**64 - 1)
REPORTS = st.dictionaries(st.sampled_from(["free", "size", "avg_ms"]), st.integers(0, 10**6).map(float))
MESSAGES = st.one_of(
    st.builds(Answer, CALLS, st.binary(min_size=1, max_size=300)),
    st.builds(
        Release, CALLS, st.sampled_from(Reason), st.sampled_from([None, *Note]), st.integers(0, 9999), REPORTS
    ),
    st.builds(ReleaseComplete, CALLS),
    st.builds(Progress, CALLS),
    st.builds(Test, CALLS, st.booleans()),
    st.builds(TestResult, CALLS, st.booleans(), REPORTS),
    st.builds(GroupState, CALLS, REPORTS),
)
STREAMS = st.lists(MESSAGES, min_size=1, max_size=6)
CUTS = st.lists(st.integers(0, 2**16), max_size=12)


def split(stream: bytes, cuts: list[int]) -> list[bytes]:
    """The stream in pieces that end at these places, taken modulo its length."""
    places = sorted({0, len(stream), *(cut % len(stream) for cut in cuts)})
    return [stream[begin:end] for begin, end in itertools.pairwise(places)]


def read(pieces: list[bytes]) -> tuple[list[Message], bool]:
    """The messages taken, and whether the stream was given up as malformed."""
    splitter, messages = codec.Splitter(), list[Message]()
    try:
        for piece in pieces:
            messages += splitter.feed(piece)
    except MalformedMessage:
        return messages, True
    return messages, False


@seed(41)
@fuzz
@given(STREAMS, CUTS)
def test_messages_split_anywhere_are_read_as_they_were_written(
    messages: list[Message], cuts: list[int]
) -> None:
    """Guards against bytes of one message read into another."""
    stream = b"".join(codec.encode(message) for message in messages)
    assert read(split(stream, cuts)) == (messages, False)
    assert read([bytes([byte]) for byte in stream]) == (messages, False)


@seed(41)
@fuzz
@given(STREAMS, CUTS, st.binary(max_size=40))
def test_what_precedes_spoilt_bytes_is_read_and_nothing_raises_but_malformed(
    messages: list[Message], cuts: list[int], spoilt: bytes
) -> None:
    """Guards against a reader that a peer's input ends, and against messages lost ahead of the spoilt one."""
    stream = b"".join(codec.encode(message) for message in messages)
    taken, _ = read(split(stream + spoilt, cuts))
    common = min(len(taken), len(messages))
    assert taken[:common] == messages[:common]
    # An answer is not trusted if what follows it is no message.
    assert common >= len(messages) - 1


class Connection:
    """A connection over loopback: the test writes at one end, and the common reader reads the other."""

    def __init__(self, listener: socket.socket, inbox: Inbox, reader: Reader) -> None:
        self.peer = socket.create_connection(listener.getsockname())
        self.link = Link(listener.accept()[0], inbox, None)
        self.messages: list[Message] = []
        self.end: Closed | None = None
        reader.add(self.link)

    def write(self, pieces: list[bytes]) -> None:
        with contextlib.suppress(ConnectionError):  # ended over the pieces before
            for piece in pieces:
                self.peer.sendall(piece)
        self.peer.close()


@functools.cache
def common_reader() -> Reader:
    reader = Reader()
    reader.start()
    return reader


@seed(41)
@settings(max_examples=max(EXAMPLES // 10, 1), deadline=None, database=None)
@given(STREAMS, STREAMS, CUTS)
def test_a_spoilt_connection_ends_and_no_other(
    messages: list[Message], others: list[Message], cuts: list[int]
) -> None:
    """Guards against a fault that passes from one server's connection to another's."""
    inbox: Inbox = SimpleQueue()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        spoilt, sound = (Connection(listener, inbox, common_reader()) for _ in range(2))
    connections = {connection.link: connection for connection in (spoilt, sound)}
    spoilt.write(split(b"".join(map(codec.encode, messages)) + b"\xff\xff", cuts))
    sound.write(split(b"".join(map(codec.encode, others)), cuts))
    while spoilt.end is None or sound.end is None:
        item = inbox.get(timeout=TIMEOUT_S)
        if isinstance(item, Closed):
            connections[item.link].end = item
        elif isinstance(item, Received):
            connections[item.link].messages.append(item.message)
            item.link.mark_processed(item.shares)
    assert spoilt.end.malformed
    assert not sound.end.malformed
    assert sound.messages == others
    assert spoilt.messages in (messages, messages[:-1])
