"""H.248 text encoding and TPKT framing: round trips, chunked, truncated, mutated and hostile input."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickstep.megaco import frames, messages, text
from wickstep.megaco.messages import (
    Action,
    Command,
    ErrorDescriptor,
    Message,
    TransactionPending,
    TransactionReply,
    TransactionRequest,
    TransactionResponseAck,
)
from wickstep.megaco.text import QUOTE, Malformed, MessageTree, Node

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
OCTET_BLOCKS = st.binary(max_size=40).filter(text.can_encode_octets)
VALUE_NODES = st.builds(Node, NAMES, st.none() | VALUES | st.lists(VALUES, min_size=1, max_size=3).map(tuple))
OCTET_NODES = st.builds(lambda data: Node("Remote", octets=data), OCTET_BLOCKS)
NODES = st.recursive(
    VALUE_NODES | OCTET_NODES,
    lambda inner: st.builds(Node, NAMES, st.none() | VALUES, st.lists(inner, max_size=3)),
    max_leaves=8,
)
TERMINATIONS = st.from_regex(r"[a-z]{1,4}/[0-9a-f]{1,16}", fullmatch=True)
TRANSACTION_IDS = st.integers(1, messages.MAX_ID)
ERRORS = st.builds(ErrorDescriptor, st.integers(400, 999), VALUES)
COMMANDS = st.builds(
    Command,
    st.sampled_from(messages.COMMANDS),
    TERMINATIONS,
    st.lists(NODES, max_size=3),
    st.booleans(),
    st.booleans(),
)
CONTEXTS = st.sampled_from(["$", "*", "-"]) | TRANSACTION_IDS.map(str)
ACTIONS = st.builds(Action, CONTEXTS, st.lists(COMMANDS, min_size=1, max_size=3))
REPLY_ACTIONS = st.builds(
    Action,
    CONTEXTS,
    st.lists(st.builds(Command, st.just("Add"), TERMINATIONS, error=st.none() | ERRORS), max_size=2),
    st.none() | ERRORS,
)
TRANSACTIONS = st.one_of(
    st.builds(TransactionRequest, TRANSACTION_IDS, st.lists(ACTIONS, min_size=1, max_size=3)),
    st.builds(
        TransactionReply,
        TRANSACTION_IDS,
        st.lists(REPLY_ACTIONS, min_size=1, max_size=2),
        imm_ack_required=st.booleans(),
    ),
    st.builds(TransactionReply, TRANSACTION_IDS, error=ERRORS),
    st.builds(TransactionPending, TRANSACTION_IDS),
    st.builds(
        TransactionResponseAck,
        st.lists(TRANSACTION_IDS.map(lambda n: (n, min(n + 3, messages.MAX_ID))), min_size=1, max_size=3),
    ),
)
MIDS = st.sampled_from(["[127.0.0.1]:2944", "<gateway.example>", "<a-b.c>:55", "mg/1"])


def test_sample_is_parsed_into_the_expected_objects() -> None:
    message = messages.parse(SAMPLE)
    request, reply, pending, ack = message.transactions
    assert isinstance(request, TransactionRequest)
    add, audit = request.actions[0].commands
    remote = add.get("Media", "Stream", "Remote")
    assert remote is not None
    assert remote.octets == b"v=0\na=tool:{odd } \\ one"
    wait = add.get("Media", "Stream", "LocalControl", "wkc/wait")
    assert wait is not None
    assert (wait.text(), add.termination) == ("1500", "call/7f3a9c21e0b4d655")
    assert (audit.optional, audit.wildcard_response) == (True, True)
    assert isinstance(reply, TransactionReply)
    assert (reply.imm_ack_required, reply.actions[0].commands[0].error) == (
        True,
        ErrorDescriptor(510, "no room"),
    )
    assert (pending, ack) == (TransactionPending(8), TransactionResponseAck([(1, 3), (5, 5)]))


@given(st.lists(NODES, min_size=1, max_size=3), MIDS, st.booleans())
def test_syntax_tree_round_trip(body: list[Node], mid: str, short: bool) -> None:
    tree = MessageTree(3, mid, body)
    assert text.parse_tree(text.serialize_tree(tree, short)) == tree


@given(st.lists(TRANSACTIONS, min_size=1, max_size=3), MIDS, st.booleans())
def test_message_round_trip(transactions: list[messages.Transaction], mid: str, short: bool) -> None:
    message = Message(mid, transactions)
    assert messages.parse(messages.serialize(message, short)) == message


def test_short_and_long_tokens_in_any_case_are_parsed_alike() -> None:
    message = messages.parse(SAMPLE)
    short = messages.serialize(message, short=True)
    mixed_case = (
        short.replace(b"T=9998", b"t=9998").replace(b"A=call", b"aDD=call").replace(b"O-W-AV", b"o-w-av")
    )
    assert messages.parse(short) == messages.parse(mixed_case) == message
    assert len(short) < len(messages.serialize(message))


@given(st.integers(0, len(SAMPLE)))
def test_truncated_message_is_malformed_or_has_only_the_first_transactions(end: int) -> None:
    try:
        message = messages.parse(SAMPLE[:end])
    except Malformed:
        return
    assert message.transactions == messages.parse(SAMPLE).transactions[: len(message.transactions)]


@given(
    st.lists(st.tuples(st.integers(0, len(SAMPLE) - 1), st.integers(0, 255)), max_size=4), st.integers(0, 30)
)
def test_mutated_message_raises_only_malformed(changes: list[tuple[int, int]], removed: int) -> None:
    data = bytearray(SAMPLE)
    for index, byte in changes:
        data[index] = byte
    del data[len(data) // 2 : len(data) // 2 + removed]
    try:
        message = messages.parse(bytes(data))
    except Malformed:
        return
    assert messages.parse(messages.serialize(message)) == message


@given(st.binary(max_size=300))
def test_random_bytes_raise_only_malformed(noise: bytes) -> None:
    for data in (noise, b"!/1 a " + noise, b"!/1 a T=1{C=1{A=x{R{" + noise):
        try:
            messages.parse(data)
        except Malformed:
            continue


@pytest.mark.parametrize(
    "hostile",
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
def test_hostile_input_is_rejected_within_a_second(hostile: bytes) -> None:
    started = time.process_time()
    with pytest.raises(Malformed):
        messages.parse(b"MEGACO/3 [127.0.0.1] " + hostile)
    assert time.process_time() - started < 1


INVALID = """ | MEGACO/3 | MEGACO/x a T=1{C=1{A=x}} | MEGACO/333 a T=1{C=1{A=x}} | MEGACO/3 [::1 T=1{} |
!/1 a T=0{C=1{A=x}} | !/1 a T=4294967296{C=1{A=x}} | !/1 a T=1{C=x{A=x}} |
!/1 a T=1{C=0{A=x}} | !/1 a T=1{C=1{A}} | !/1 a T=1{C=1{}} | !/1 a T=1{C=1{A=x},} |
!/1 a T=1{C=1{A=x}}} | !/1 a T=1{,C=1{A=x}} | !/1 a T=1{C=1{A=x} C=2{A=y}} | !/1 a T=1 |
!/1 a T=1{} | !/1 a ER=1{} | !/1 a ER=500{} T=1{C=1{A=x}} | !/1 a K{} | !/1 a K{3-1} |
!/1 a K{x} | !/1 a C=1{A=x} | !/1 a P=1{ER=500{},C=1} | !/1 a T=1{C=1{A=x{L{\0}}}} |
!/1 a T=1{C=1{A=\u00e9}}"""


@pytest.mark.parametrize("invalid", [item.strip(" \n").encode() for item in INVALID.split("|")])
def test_invalid_message_is_malformed(invalid: bytes) -> None:
    with pytest.raises(Malformed):
        messages.parse(invalid)


def test_malformed_transaction_reports_its_id() -> None:
    with pytest.raises(messages.MalformedTransaction) as caught:
        messages.parse(b"!/1 a T=77{C=1{A}}")
    assert (caught.value.transaction_id, caught.value.error.code) == (77, messages.BAD_TRANSACTION)


@pytest.mark.parametrize("octets", [b"\0", b"a\\}b", b"end\\"])
def test_octets_that_a_block_cannot_hold_are_refused(octets: bytes) -> None:
    with pytest.raises(ValueError, match="cannot be encoded in an octet block"):
        text.serialize_tree(MessageTree(3, "a", [Node("Local", octets=octets)]))


def test_values_that_a_quoted_string_cannot_hold_are_refused() -> None:
    for value in ("a\nb", "\u00e9", QUOTE):
        with pytest.raises(ValueError, match="cannot be encoded as a quoted string"):
            text.serialize_tree(MessageTree(3, "a", [Node("x/y", value)]))


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=5), st.data())
def test_packets_are_decoded_from_chunks_of_any_size(bodies: list[bytes], data: st.DataObject) -> None:
    stream = b"".join(map(frames.encode_packet, bodies))
    decoder = frames.PacketDecoder()
    decoded: list[bytes] = []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        decoded += decoder.feed(stream[:size])
        stream = stream[size:]
    assert decoded == bodies
    assert not decoder.has_partial_message()


@pytest.mark.parametrize("header", [b"\x02\x00\x00\x10", b"\x03\x00\x00\x04", b"\x03\x00\xff\xff"])
def test_invalid_tpkt_header_and_oversized_packet_are_refused(header: bytes) -> None:
    with pytest.raises(Malformed):
        list(frames.PacketDecoder().feed(header))
    with pytest.raises(ValueError, match="TPKT packet of 49156 bytes exceeds the maximum length"):
        frames.encode_packet(b"x" * frames.MAX_PACKET_BYTES)
