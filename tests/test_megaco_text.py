"""The text of H.248: round trips, pieces, truncations and mutations."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickstep.megaco import frames, messages, text
from wickstep.megaco.messages import Ack, Action, Command, Fault, Message, Pending, Reply, Request
from wickstep.megaco.text import QUOTE, Malformed, Node, Tree

SAMPLE = b"""MEGACO/3 [127.0.0.1]:2944 ; a comment { "
Transaction = 9998 { Context = $ {
    Add = call/7f3a9c21e0b4d655 { Media { Stream = 1 {
        LocalControl { Mode = SendReceive, wkc/class = "general", wkc/wait = 1500 },
        Remote {v=0
a=tool:{odd \\} \\ one}
    } } },
    O-W-AuditValue = * { Audit { Media } }
} }
Reply = 7 { ImmAckRequired, Context = 12 { Add = a/b { Error = 510 { "no room" } } } }
Pending = 8 { } TransactionResponseAck { 1-3, 5 }
"""
VALUES = st.text(st.characters(min_codepoint=32, max_codepoint=126, exclude_characters='"'), max_size=20)
NAMES = st.from_regex(r"[a-z][a-z0-9]{0,5}/[a-z]{1,5}", fullmatch=True)
BLOCKS = st.binary(max_size=40).filter(text.carries)
PLAIN = st.builds(Node, NAMES, st.none() | VALUES | st.lists(VALUES, min_size=1, max_size=3).map(tuple))
OCTETS = st.builds(lambda data: Node("Remote", octets=data), BLOCKS)
NODES = st.recursive(
    PLAIN | OCTETS,
    lambda inner: st.builds(Node, NAMES, st.none() | VALUES, st.lists(inner, max_size=3)),
    max_leaves=8,
)
TERMINATIONS = st.from_regex(r"[a-z]{1,4}/[0-9a-f]{1,16}", fullmatch=True)
IDS = st.integers(1, messages.IDS)
FAULTS = st.builds(Fault, st.integers(400, 999), VALUES)
COMMANDS = st.builds(
    Command,
    st.sampled_from(messages.COMMANDS),
    TERMINATIONS,
    st.lists(NODES, max_size=3),
    st.booleans(),
    st.booleans(),
)
CONTEXTS = st.sampled_from(["$", "*", "-"]) | IDS.map(str)
ACTIONS = st.builds(Action, CONTEXTS, st.lists(COMMANDS, min_size=1, max_size=3))
ANSWERS = st.builds(
    Action,
    CONTEXTS,
    st.lists(st.builds(Command, st.just("Add"), TERMINATIONS, fault=st.none() | FAULTS), max_size=2),
    st.none() | FAULTS,
)
PARTS = st.one_of(
    st.builds(Request, IDS, st.lists(ACTIONS, min_size=1, max_size=3)),
    st.builds(Reply, IDS, st.lists(ANSWERS, min_size=1, max_size=2), ack_wanted=st.booleans()),
    st.builds(Reply, IDS, fault=FAULTS),
    st.builds(Pending, IDS),
    st.builds(Ack, st.lists(IDS.map(lambda n: (n, min(n + 3, messages.IDS))), min_size=1, max_size=3)),
)
MIDS = st.sampled_from(["[127.0.0.1]:2944", "<gateway.example>", "<a-b.c>:55", "mg/1"])


def test_a_sample_is_read_as_it_says() -> None:
    message = messages.parse(SAMPLE)
    request, reply, pending, ack = message.parts
    assert isinstance(request, Request)
    add, audit = request.actions[0].commands
    remote = add.get("Media", "Stream", "Remote")
    assert remote is not None
    assert remote.octets == b"v=0\na=tool:{odd } \\ one"
    wait = add.get("Media", "Stream", "LocalControl", "wkc/wait")
    assert wait is not None
    assert (wait.text(), add.termination) == ("1500", "call/7f3a9c21e0b4d655")
    assert (audit.optional, audit.wildcard) == (True, True)
    assert isinstance(reply, Reply)
    assert (reply.ack_wanted, reply.actions[0].commands[0].fault) == (True, Fault(510, "no room"))
    assert (pending, ack) == (Pending(8), Ack([(1, 3), (5, 5)]))


@given(st.lists(NODES, min_size=1, max_size=3), MIDS, st.booleans())
def test_a_tree_comes_back_as_it_was(body: list[Node], mid: str, short: bool) -> None:
    tree = Tree(3, mid, body)
    assert text.read(text.write(tree, short)) == tree


@given(st.lists(PARTS, min_size=1, max_size=3), MIDS, st.booleans())
def test_a_message_comes_back_as_it_was(parts: list[messages.Part], mid: str, short: bool) -> None:
    message = Message(mid, parts)
    assert messages.parse(messages.compose(message, short)) == message


def test_short_and_long_tokens_mean_the_same() -> None:
    message = messages.parse(SAMPLE)
    short = messages.compose(message, short=True)
    other = short.replace(b"T=9998", b"t=9998").replace(b"A=call", b"aDD=call").replace(b"O-W-AV", b"o-w-av")
    assert messages.parse(short) == messages.parse(other) == message
    assert len(short) < len(messages.compose(message))


@given(st.integers(0, len(SAMPLE)))
def test_a_truncated_message_is_malformed_or_a_shorter_one(end: int) -> None:
    try:
        message = messages.parse(SAMPLE[:end])
    except Malformed:
        return
    assert message.parts == messages.parse(SAMPLE).parts[: len(message.parts)]


@given(
    st.lists(st.tuples(st.integers(0, len(SAMPLE) - 1), st.integers(0, 255)), max_size=4), st.integers(0, 30)
)
def test_a_mutated_message_raises_nothing_but_malformed(changes: list[tuple[int, int]], cut: int) -> None:
    data = bytearray(SAMPLE)
    for at, byte in changes:
        data[at] = byte
    del data[len(data) // 2 : len(data) // 2 + cut]
    try:
        message = messages.parse(bytes(data))
    except Malformed:
        return
    assert messages.parse(messages.compose(message)) == message


@given(st.binary(max_size=300))
def test_noise_raises_nothing_but_malformed(noise: bytes) -> None:
    for data in (noise, b"!/1 a " + noise, b"!/1 a T=1{C=1{A=x{R{" + noise):
        try:
            messages.parse(data)
        except Malformed:
            continue


@pytest.mark.parametrize(
    "bomb",
    [
        b"a{" * 20_000,
        b"a," * 20_000,
        b"T=1{C=1{" + b"A=x," * 10_000,
        b"a=[" + b"b," * 20_000,
        b"L{" + b"\\" * 40_000,
        b"L{" + b"\\}" * 20_000,
        b";" * 40_000,
        b"; \r" * 15_000,
        b"a=" + b"x" * 40_000,
        b'"' + b"x" * 40_000,
        b"O-W-" * 10_000 + b"A=x",
        b" " * 40_000,
        b"[" * 40_000,
        b"\t\r\n" * 14_000 + b"}",
    ],
)
def test_bombs_cost_no_more_than_their_length(bomb: bytes) -> None:
    began = time.process_time()
    with pytest.raises(Malformed):
        messages.parse(b"MEGACO/3 [127.0.0.1] " + bomb)
    assert time.process_time() - began < 1


WRONG = """ | MEGACO/3 | MEGACO/x a T=1{C=1{A=x}} | MEGACO/333 a T=1{C=1{A=x}} | MEGACO/3 [::1 T=1{} |
!/1 a T=0{C=1{A=x}} | !/1 a T=4294967296{C=1{A=x}} | !/1 a T=1{C=x{A=x}} |
!/1 a T=1{C=0{A=x}} | !/1 a T=1{C=1{A}} | !/1 a T=1{C=1{}} | !/1 a T=1{C=1{A=x},} |
!/1 a T=1{C=1{A=x}}} | !/1 a T=1{,C=1{A=x}} | !/1 a T=1{C=1{A=x} C=2{A=y}} | !/1 a T=1 |
!/1 a T=1{} | !/1 a ER=1{} | !/1 a ER=500{} T=1{C=1{A=x}} | !/1 a K{} | !/1 a K{3-1} |
!/1 a K{x} | !/1 a C=1{A=x} | !/1 a P=1{ER=500{},C=1} | !/1 a T=1{C=1{A=x{L{\0}}}} |
!/1 a T=1{C=1{A=\u00e9}}"""


@pytest.mark.parametrize("wrong", [item.strip(" \n").encode() for item in WRONG.split("|")])
def test_what_is_no_message_is_malformed(wrong: bytes) -> None:
    with pytest.raises(Malformed):
        messages.parse(wrong)


def test_a_spoilt_transaction_tells_its_number() -> None:
    with pytest.raises(messages.BadRequest) as caught:
        messages.parse(b"!/1 a T=77{C=1{A}}")
    assert (caught.value.ident, caught.value.fault.code) == (77, messages.BAD_TRANSACTION)


@pytest.mark.parametrize("octets", [b"\0", b"a\\}b", b"end\\"])
def test_octets_that_no_block_can_hold_are_told(octets: bytes) -> None:
    with pytest.raises(ValueError, match="no block"):
        text.write(Tree(3, "a", [Node("Local", octets=octets)]))


def test_values_that_no_text_can_say_are_told() -> None:
    for value in ("a\nb", "\u00e9", QUOTE):
        with pytest.raises(ValueError, match="no text"):
            text.write(Tree(3, "a", [Node("x/y", value)]))


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=5), st.data())
def test_frames_come_whole_from_pieces_of_any_size(bodies: list[bytes], data: st.DataObject) -> None:
    stream = b"".join(map(frames.wrap, bodies))
    cutter = frames.Frames()
    found: list[bytes] = []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        found += cutter.feed(stream[:size])
        stream = stream[size:]
    assert found == bodies
    assert not cutter.begun()


@pytest.mark.parametrize("head", [b"\x02\x00\x00\x10", b"\x03\x00\x00\x04", b"\x03\x00\xff\xff"])
def test_what_is_no_packet_ends_the_stream(head: bytes) -> None:
    with pytest.raises(Malformed):
        list(frames.Frames().feed(head))
    with pytest.raises(ValueError, match="a message of"):
        frames.wrap(b"x" * frames.MOST)
