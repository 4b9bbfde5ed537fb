"""A setup server's answer that stops short, followed by another message on the same connection.

Nothing on the wire says where a message begins: the next message's bytes fill the answer up.
"""

from __future__ import annotations

import pytest

from wickstep.net import (
    Answer,
    GroupState,
    MalformedMessage,
    Message,
    Progress,
    Reason,
    Release,
    SetUp,
    codec,
)

from .test_softswitch import (
    LINES,
    ConnectedRig,
    connected,
    keep_connections,
    rig,
)

__all__ = ["connected", "rig"]  # fixtures

DESCRIPTION = b"288955e669f1bc6c\r\nc=IN IP4 192.0.2.105\r\nm=audio 19062 RTP/AVP 0 8 110\r\n"
MIN_HEAD_BYTES = 7  # length, type and half of the call's id
CUT_CALL, NEXT_CALL = 0x6C710E2A7B1AE297, 0x207D59910CA72D4D
NEXT_MESSAGES: list[Message] = [
    Answer(NEXT_CALL, DESCRIPTION[::-1]),
    Release(NEXT_CALL, Reason.CLEARED, report=LINES),
    Release(NEXT_CALL, Reason.FULL),
    GroupState(0, LINES),
    Progress(NEXT_CALL),
]


def read(*pieces: bytes) -> list[Message]:
    """The messages that a connection takes for whole before it ends; those that it rejects are left out."""
    splitter, messages = codec.Splitter(), list[Message]()
    try:
        for piece in pieces:
            for message in splitter.feed(piece):
                if isinstance(message, Answer) and codec.holds_message(message.description, [NEXT_CALL]):
                    return messages
                messages.append(message)
    except MalformedMessage:
        pass
    return messages


@pytest.mark.parametrize("next_message", NEXT_MESSAGES, ids=["answer", "end", "refusal", "state", "progress"])
@pytest.mark.parametrize("written", ["at once", "in two pieces", "byte by byte"])
def test_an_answer_cut_anywhere_is_not_completed_by_the_next_message(
    next_message: Message, written: str
) -> None:
    """Guards against an answer that no server made."""
    whole, following = codec.encode(Answer(CUT_CALL, DESCRIPTION)), codec.encode(next_message)
    following += codec.encode(GroupState(0, LINES))
    taken: list[int] = []  # bytes that were missing
    for cut in range(codec.HEAD.size + 1, len(whole)):
        stream = whole[:cut] + following
        pieces = [stream]
        if written == "in two pieces":
            pieces = [whole[:cut], following]
        elif written == "byte by byte":
            pieces = [bytes([byte]) for byte in stream]
        if any(message.call == CUT_CALL for message in read(*pieces)):
            taken.append(len(whole) - cut)
    # Byte by byte the answer is full before more of the next message is there than this.
    max_missing = MIN_HEAD_BYTES - 1 if written == "byte by byte" else 0
    assert max(taken, default=0) <= max_missing


def test_a_description_of_any_bytes_is_taken_for_what_it_is() -> None:
    """Guards against connections closed over descriptions that are no text."""
    every_byte = bytes(range(256)) * 8
    heads_of_others = b"".join(codec.encode(Answer(call, b"x")) for call in (CUT_CALL + 1, NEXT_CALL - 1))
    for description in (every_byte, every_byte[::-1], b"\0" * 500, heads_of_others, DESCRIPTION):
        assert not codec.holds_message(description, [CUT_CALL, NEXT_CALL])


@pytest.mark.parametrize("missing", [60, 30, 12])
@pytest.mark.parametrize("written", ["at once", "byte by byte"])
def test_no_caller_gets_an_answer_that_was_cut_short(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch, missing: int, written: str
) -> None:
    """Guards against an answer that no server made, and against the loss of the calls after it."""
    keep_connections(monkeypatch)
    rig, server, server_peer, caller = connected
    calls = [rig.call(caller) for _ in range(2)]
    for call in calls:
        server_peer.receive(SetUp, call)
    first, second = (codec.encode(Answer(call, DESCRIPTION)) for call in calls)
    stream = first[:-missing] + second
    step = len(stream) if written == "at once" else 1
    for start in range(0, len(stream), step):
        server_peer.sock.sendall(stream[start : start + step])
    new_peer = server.accept()
    for call in calls:
        new_peer.receive(Release, call)  # the server may take both for answered
    for call in calls:
        new_peer.receive(SetUp, call)
        new_peer.send(Answer(call, DESCRIPTION + b"second"))
        assert caller.receive(Answer, call).description == DESCRIPTION + b"second"
