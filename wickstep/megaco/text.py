"""The text encoding of H.248 (ITU-T H.248.1, Annex B): parses a message into a syntax tree and serializes it.

This file owns the lexical grammar: tokens in their long and short forms, values, quoted strings, comments and
octet blocks. It must never know what a command means, and must raise nothing but `Malformed` for input of a
peer. Parsing takes time linear in the length of the input: one compiled pattern looks at each byte once.
Nested blocks use an explicit stack, so that no input can exhaust the recursion limit.

The standard compares names without case. A token that has an abbreviation is expanded to its long form, any
other name (a package's property, a termination) stays as written. The content of Local and Remote is not text
but octets: any but NUL, with a backslash before each closing brace.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_DEPTH = 16
MAX_NODES = 2000  # of one message
MAX_NAME_LENGTH = 64
MAX_VALUE_LENGTH = 1024  # characters; a call's description is octets, not a value
MAX_LIST_LENGTH = 64

# Long and short forms of Annex B.2: tokens that are decoded or encoded here, and those that are recognised
# only to be ignored.
TOKENS = {
    "Transaction": "T", "Reply": "P", "Pending": "PN", "TransactionResponseAck": "K",
    "ImmAckRequired": "IA", "Context": "C", "Add": "A", "Modify": "MF", "Move": "MV", "Subtract": "S",
    "Notify": "N", "AuditValue": "AV", "AuditCapability": "AC", "ServiceChange": "SC", "Error": "ER",
    "Media": "M", "Stream": "ST", "LocalControl": "O", "Local": "L", "Remote": "R",
    "TerminationState": "TS", "Mode": "MO", "SendOnly": "SO", "ReceiveOnly": "RC", "SendReceive": "SR",
    "Inactive": "IN", "LoopBack": "LB", "ObservedEvents": "OE", "Events": "E", "Signals": "SG",
    "Statistics": "SA", "Audit": "AT", "Services": "SV", "Method": "MT", "Reason": "RE", "Delay": "DL",
    "Version": "V", "ServiceChangeAddress": "AD", "MgcIdToTry": "MG", "Profile": "PF", "Restart": "RS",
    "Graceful": "GR", "Forced": "FO", "Disconnected": "DC", "HandOff": "HO", "Failover": "FL",
    "Priority": "PR", "Emergency": "EG", "Topology": "TP", "DigitMap": "DM", "EventBuffer": "EB",
    "Mux": "MX", "Modem": "MD", "Packages": "PG", "ContextAttr": "CT", "TimeStamp": "",
    "ServiceStates": "SI", "InService": "IV", "OutOfService": "OS", "Test": "TE",
}  # fmt: skip
LONG_FORMS = {name.lower(): name for name in TOKENS} | {
    short.lower(): name for name, short in TOKENS.items() if short
}
OCTET_DESCRIPTORS = {"Local", "Remote"}
QUOTE = '"'  # also the name of a node that is only a quoted string

# Includes comments, which run from a semicolon to the end of the line.
_WHITESPACE = re.compile(rb"(?:[ \t\r\n]+|;[^\r\n]*(?:[\r\n]|$))*")
# SafeChar, and the characters of addresses.
_HEADER_WORD = re.compile(rb"[A-Za-z0-9+\-&!_/'?@^`~*$\\()%|.:\[\]<>]+")
_UNQUOTED_VALUE = re.compile(rb"[A-Za-z0-9+\-&!_/'?@^`~*$\\()%|.:<>]+")
_QUOTED_STRING = re.compile(rb'"([\x20\x21\x23-\x7e\t]*)"')
_OCTET_BLOCK = re.compile(rb"((?:[^\x00}\\]|\\})*+(?:\\(?!})(?:[^\x00}\\]|\\})*+)*+)}")
_NAME = re.compile(rb"(?:[OW]-){0,2}[A-Za-z0-9*$][A-Za-z0-9_/*$.@\-]*")
_UNQUOTED_TEXT = re.compile(r"[A-Za-z0-9+\-&!_/'?@^`~*$\\()%|.:<>]+")
_QUOTABLE_TEXT = re.compile(r"[\x20\x21\x23-\x7e\t]*")


class Malformed(ValueError):
    """Input from a peer that is not valid H.248 text."""


@dataclass(slots=True)
class Node:
    """One item: a name, an optional value, and an optional block of nested items or of octets.

    An item that is only a quoted string (the text of an error) has the name QUOTE and the string as value.
    """

    name: str
    value: str | tuple[str, ...] | None = None
    items: list[Node] | None = None  # None: no block; empty list: an empty block
    octets: bytes | None = None  # content of Local and Remote, in place of items

    def get(self, name: str) -> Node | None:
        """The first item of this name."""
        return next((item for item in self.items or () if item.name == name), None)

    def get_all(self, name: str) -> list[Node]:
        return [item for item in self.items or () if item.name == name]

    def text(self) -> str:
        """The value if it is a single one, else an empty string."""
        return self.value if isinstance(self.value, str) else ""


@dataclass(slots=True)
class MessageTree:
    """The syntax tree of a message: protocol version, message identifier (mid) and body."""

    version: int
    mid: str
    body: list[Node] = field(default_factory=list)


def expand_token(name: str) -> str:
    """The long form of a token, with the prefixes `O-` and `W-` of a command; other names stay unchanged."""
    prefix = ""
    while name[:2].upper() in ("O-", "W-"):
        prefix, name = prefix + name[:2].upper(), name[2:]
    return prefix + LONG_FORMS.get(name.lower(), name)


def parse_tree(data: bytes) -> MessageTree:
    """Parses the text of a message; raises Malformed."""
    pos = _skip_whitespace(data, 0)
    header = _read_word(data, pos, "message header")
    token, slash, version = header.partition("/")
    if not slash or token.upper() not in ("MEGACO", "!") or not version.isascii() or not version.isdigit():
        raise Malformed("message header must be like MEGACO/3")
    if not 1 <= len(version) <= 2:
        raise Malformed("protocol version in the message header must have one or two digits")
    pos = _skip_whitespace(data, pos + len(header))
    mid = _read_word(data, pos, "message identifier")
    if not re.fullmatch(
        r"\[[0-9A-Fa-f.:]+\](:\d{1,5})?|<[A-Za-z0-9.\-]+>(:\d{1,5})?|[A-Za-z0-9_/*$.@\-]+", mid
    ):
        raise Malformed("message identifier is not an IP address, domain name or device name")
    body = _parse_items(data, pos + len(mid))
    if not body:
        raise Malformed("message has no body")
    return MessageTree(int(version), mid, body)


def _skip_whitespace(data: bytes, pos: int) -> int:
    match = _WHITESPACE.match(data, pos)
    return match.end() if match else pos


def _read_word(data: bytes, pos: int, expected: str) -> str:
    match = _HEADER_WORD.match(data, pos)
    if match is None or match.end() - pos > 2 * MAX_NAME_LENGTH:
        raise Malformed(f"{expected} missing or too long at byte {pos}")
    return match[0].decode("ascii")


def _parse_items(data: bytes, pos: int) -> list[Node]:
    """Parses the items from `pos` to the end of the data, in one pass with an explicit stack."""
    root: list[Node] = []
    stack: list[list[Node]] = [root]
    count = 0
    expects_item = True  # the next token is an item, or closes the block
    after_comma = False  # the previous token is a comma, so the block may not close
    while True:
        pos = _skip_whitespace(data, pos)
        byte = data[pos : pos + 1]
        if not byte:
            if len(stack) > 1 or after_comma:
                raise Malformed("message ends inside a block or after a comma")
            return root
        if byte == b"}":
            if len(stack) == 1 or after_comma:
                raise Malformed(f"closing brace without an open block or after a comma at byte {pos}")
            stack.pop()
            pos, expects_item = pos + 1, False
            continue
        if byte == b",":
            if expects_item or len(stack) == 1:
                raise Malformed(f"comma outside a block or without an item before it at byte {pos}")
            pos, expects_item, after_comma = pos + 1, True, True
            continue
        # Commas separate the items of a block, but not the transactions of a message.
        if not expects_item and len(stack) > 1:
            raise Malformed(f"expected a comma between items at byte {pos}")
        node, pos, opens_block = _parse_item(data, pos)
        count += 1
        if count > MAX_NODES:
            raise Malformed(f"message has more than {MAX_NODES} items")
        stack[-1].append(node)
        expects_item = after_comma = False
        if opens_block:
            if len(stack) >= MAX_DEPTH:
                raise Malformed(f"items nested deeper than {MAX_DEPTH} levels")
            node.items = []
            stack.append(node.items)
            expects_item = True


def _parse_item(data: bytes, pos: int) -> tuple[Node, int, bool]:
    """Parses one item up to its opening brace, or to the end of its octet block.

    Returns the item, the position after it, and whether a block of nested items starts there.
    """
    if data[pos : pos + 1] == b'"':
        node = Node(QUOTE)
        node.value, pos = _parse_single_value(data, pos)
        return node, pos, False
    match = _NAME.match(data, pos)
    if match is None or match.end() - pos > MAX_NAME_LENGTH:
        raise Malformed(f"name missing or too long at byte {pos}")
    node = Node(expand_token(match[0].decode("ascii")))
    pos = _skip_whitespace(data, match.end())
    if data[pos : pos + 1] == b"=":
        node.value, pos = _parse_value(data, _skip_whitespace(data, pos + 1))
        pos = _skip_whitespace(data, pos)
    if data[pos : pos + 1] != b"{":
        return node, pos, False
    if node.name not in OCTET_DESCRIPTORS:
        return node, pos + 1, True
    block = _OCTET_BLOCK.match(data, pos + 1)
    if block is None:
        raise Malformed("octet block has no closing brace or contains NUL")
    node.octets = block[1].replace(b"\\}", b"}")
    return node, block.end(), False


def _parse_value(data: bytes, pos: int) -> tuple[str | tuple[str, ...], int]:
    if data[pos : pos + 1] != b"[":
        return _parse_single_value(data, pos)
    values: list[str] = []
    while True:
        value, pos = _parse_single_value(data, _skip_whitespace(data, pos + 1))
        values.append(value)
        pos = _skip_whitespace(data, pos)
        if data[pos : pos + 1] == b"]":
            return tuple(values), pos + 1
        if data[pos : pos + 1] != b"," or len(values) >= MAX_LIST_LENGTH:
            raise Malformed(f"list of values not closed or too long at byte {pos}")


def _parse_single_value(data: bytes, pos: int) -> tuple[str, int]:
    match = _QUOTED_STRING.match(data, pos)
    text = match[1] if match else None
    if match is None:
        match = _UNQUOTED_VALUE.match(data, pos)
        text = match[0] if match else None
    if match is None or text is None or len(text) > MAX_VALUE_LENGTH:
        raise Malformed(f"value missing or too long at byte {pos}")
    return text.decode("ascii"), match.end()


# Serialization.


def can_encode_octets(octets: bytes) -> bool:
    """Whether an octet block can hold these octets.

    NUL is not allowed; a backslash before a closing brace or at the end would be read as an escape.
    """
    return b"\0" not in octets and b"\\}" not in octets and not octets.endswith(b"\\")


def serialize_tree(tree: MessageTree, short: bool = False) -> bytes:
    """The text of a message; raises ValueError if the grammar cannot express it."""
    header = [f"!/{tree.version} " if short else f"MEGACO/{tree.version} ", tree.mid, " " if short else "\n"]
    chunks: list[bytes] = ["".join(header).encode("ascii")]
    for position, node in enumerate(tree.body):
        if position:
            chunks.append(b" " if short else b"\n")
        _serialize_node(node, short, chunks)
    return b"".join(chunks)


def _serialize_node(root: Node, short: bool, chunks: list[bytes]) -> None:
    stack: list[Node | bytes] = [root]
    while stack:
        node = stack.pop()
        if isinstance(node, bytes):
            chunks.append(node)
            continue
        if node.name == QUOTE:
            chunks.append(_quote(node.text()).encode("ascii"))
            continue
        chunks.append(_format_name(node.name, short).encode("ascii"))
        if node.value is not None:
            chunks.append(b"=" if short else b" = ")
            values = node.value if isinstance(node.value, tuple) else None
            formatted = (
                ",".join(map(_format_value, values)) if values is not None else _format_value(node.text())
            )
            chunks.append(
                f"[{formatted}]".encode("ascii") if values is not None else formatted.encode("ascii")
            )
        if node.octets is not None:
            if not can_encode_octets(node.octets):
                raise ValueError("octets cannot be encoded in an octet block")
            chunks.append(b"{" + node.octets.replace(b"}", b"\\}") + b"}")
        elif node.items is not None:
            chunks.append(b"{" if short else b" { ")
            stack.append(b"}" if short else b" }")
            stack.extend(_interleave_commas(node.items, b"," if short else b", "))


def _interleave_commas(items: list[Node], comma: bytes) -> Iterable[Node | bytes]:
    """The items in reverse order, as they go on a stack, with commas between them."""
    for position, item in enumerate(reversed(items)):
        if position:
            yield comma
        yield item


def _format_name(name: str, short: bool) -> str:
    if not short:
        return name
    prefix = ""
    while name[:2] in ("O-", "W-"):
        prefix, name = prefix + name[:2], name[2:]
    return prefix + (TOKENS.get(name) or name)


def _format_value(value: str) -> str:
    return value if _UNQUOTED_TEXT.fullmatch(value) else _quote(value)


def _quote(value: str) -> str:
    if not _QUOTABLE_TEXT.fullmatch(value):
        raise ValueError(f"value cannot be encoded as a quoted string: {value!r}")
    return f'"{value}"'
