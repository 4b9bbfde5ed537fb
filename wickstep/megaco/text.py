"""The text of H.248 (ITU-T H.248.1, Annex B) as a tree, and back.

This file owns the grammar's surface: tokens in their long and short forms, values, quoted strings, comments
and octet blocks. It must never know what a command means, and never raise anything but `Malformed` for what
a peer has sent, in time linear in its length: each byte is looked at by one compiled pattern, once, and
there is no recursion to exhaust.

Names are compared without case, as the standard has it. A token that the standard abbreviates becomes its
long form, any other name (a package's property, a termination) stays as written. The inside of Local and
Remote is no text but octets: all but NUL, where a closing brace is written with a backslash before it.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

DEPTH_MOST = 16
NODES_MOST = 2000  # of one message
NAME_MOST = 64
VALUE_MOST = 1024  # characters; a description is no value
LIST_MOST = 64

# Long and short form, as in Annex B.2; those that this project reads or writes, and those that it must know
# to pass over.
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
LONG = {name.lower(): name for name in TOKENS} | {
    short.lower(): name for name, short in TOKENS.items() if short
}
OCTETS = {"Local", "Remote"}
QUOTE = '"'

_SPACE = re.compile(rb"(?:[ \t\r\n]+|;[^\r\n]*(?:[\r\n]|$))*")
_WORD = re.compile(
    rb"[A-Za-z0-9+\-&!_/'?@^`~*$\\()%|.:\[\]<>]+"
)  # SafeChar, and what addresses are written with
_VALUE = re.compile(rb"[A-Za-z0-9+\-&!_/'?@^`~*$\\()%|.:<>]+")
_QUOTED = re.compile(rb'"([\x20\x21\x23-\x7e\t]*)"')
_BLOCK = re.compile(rb"((?:[^\x00}\\]|\\})*+(?:\\(?!})(?:[^\x00}\\]|\\})*+)*+)}")
_NAME = re.compile(rb"(?:[OW]-){0,2}[A-Za-z0-9*$][A-Za-z0-9_/*$.@\-]*")
_SAFE = re.compile(r"[A-Za-z0-9+\-&!_/'?@^`~*$\\()%|.:<>]+")
_QUOTABLE = re.compile(r"[\x20\x21\x23-\x7e\t]*")


class Malformed(ValueError):
    """What a peer has sent is no H.248 text."""


@dataclass(slots=True)
class Node:
    """One item: a name, perhaps a value, perhaps a block of further items or of octets. An item that is
    nothing but a quoted string, the text of an error, has that for a name.
    """

    name: str
    value: str | tuple[str, ...] | None = None
    items: list[Node] | None = None  # None: no block; empty: an empty one
    octets: bytes | None = None  # of Local and Remote, in place of items

    def get(self, name: str) -> Node | None:
        """The first item of this name."""
        return next((item for item in self.items or () if item.name == name), None)

    def all(self, name: str) -> list[Node]:
        return [item for item in self.items or () if item.name == name]

    def text(self) -> str:
        """The value, if it is a single one."""
        return self.value if isinstance(self.value, str) else ""


@dataclass(slots=True)
class Tree:
    """A whole message."""

    version: int
    mid: str
    body: list[Node] = field(default_factory=list)


def long_name(name: str) -> str:
    """A token's long form; any other name as it is. `O-` and `W-` stand before a command's token."""
    marks = ""
    while name[:2].upper() in ("O-", "W-"):
        marks, name = marks + name[:2].upper(), name[2:]
    return marks + LONG.get(name.lower(), name)


def read(data: bytes) -> Tree:
    """A message from its text; raises Malformed."""
    at = _space(data, 0)
    head = _word(data, at, "the head of a message")
    token, slash, version = head.partition("/")
    if not slash or token.upper() not in ("MEGACO", "!") or not version.isascii() or not version.isdigit():
        raise Malformed("no head like MEGACO/3")
    if not 1 <= len(version) <= 2:
        raise Malformed("a version out of range")
    at = _space(data, at + len(head))
    mid = _word(data, at, "a message identifier")
    if not re.fullmatch(
        r"\[[0-9A-Fa-f.:]+\](:\d{1,5})?|<[A-Za-z0-9.\-]+>(:\d{1,5})?|[A-Za-z0-9_/*$.@\-]+", mid
    ):
        raise Malformed("a message identifier that is none")
    body = _items(data, at + len(mid))
    if not body:
        raise Malformed("a message without a body")
    return Tree(int(version), mid, body)


def _space(data: bytes, at: int) -> int:
    match = _SPACE.match(data, at)
    return match.end() if match else at


def _word(data: bytes, at: int, what: str) -> str:
    match = _WORD.match(data, at)
    if match is None or match.end() - at > 2 * NAME_MOST:
        raise Malformed(f"{what} is wanted at byte {at}")
    return match[0].decode("ascii")


def _items(data: bytes, at: int) -> list[Node]:
    """The items from a place to the end of the data. One pass with a stack of its own."""
    root: list[Node] = []
    stack: list[list[Node]] = [root]
    count = 0
    wanted = True  # an item must come next, or the block may close
    comma = False  # and it comes after a comma
    while True:
        at = _space(data, at)
        byte = data[at : at + 1]
        if not byte:
            if len(stack) > 1 or comma:
                raise Malformed("it ends within a block")
            return root
        if byte == b"}":
            if len(stack) == 1 or comma:
                raise Malformed(f"a brace too many, or after a comma, at byte {at}")
            stack.pop()
            at, wanted = at + 1, False
            continue
        if byte == b",":
            if wanted or len(stack) == 1:
                raise Malformed(f"a comma without an item before it at byte {at}")
            at, wanted, comma = at + 1, True, True
            continue
        # Within a block items are parted by commas; the transactions of a message are not.
        if not wanted and len(stack) > 1:
            raise Malformed(f"a comma is wanted at byte {at}")
        node, at, opens = _item(data, at)
        count += 1
        if count > NODES_MOST:
            raise Malformed(f"more than {NODES_MOST} items")
        stack[-1].append(node)
        wanted = comma = False
        if opens:
            if len(stack) >= DEPTH_MOST:
                raise Malformed(f"nested deeper than {DEPTH_MOST}")
            node.items = []
            stack.append(node.items)
            wanted = True


def _item(data: bytes, at: int) -> tuple[Node, int, bool]:
    """One item up to and with its opening brace; whether a block of items begins."""
    if data[at : at + 1] == b'"':
        node = Node(QUOTE)
        node.value, at = _single(data, at)
        return node, at, False
    match = _NAME.match(data, at)
    if match is None or match.end() - at > NAME_MOST:
        raise Malformed(f"a name is wanted at byte {at}")
    node = Node(long_name(match[0].decode("ascii")))
    at = _space(data, match.end())
    if data[at : at + 1] == b"=":
        node.value, at = _value(data, _space(data, at + 1))
        at = _space(data, at)
    if data[at : at + 1] != b"{":
        return node, at, False
    if node.name not in OCTETS:
        return node, at + 1, True
    block = _BLOCK.match(data, at + 1)
    if block is None:
        raise Malformed("octets without an end")
    node.octets = block[1].replace(b"\\}", b"}")
    return node, block.end(), False


def _value(data: bytes, at: int) -> tuple[str | tuple[str, ...], int]:
    if data[at : at + 1] != b"[":
        return _single(data, at)
    found: list[str] = []
    while True:
        value, at = _single(data, _space(data, at + 1))
        found.append(value)
        at = _space(data, at)
        if data[at : at + 1] == b"]":
            return tuple(found), at + 1
        if data[at : at + 1] != b"," or len(found) >= LIST_MOST:
            raise Malformed(f"a list of values that does not end at byte {at}")


def _single(data: bytes, at: int) -> tuple[str, int]:
    match = _QUOTED.match(data, at)
    text = match[1] if match else None
    if match is None:
        match = _VALUE.match(data, at)
        text = match[0] if match else None
    if match is None or text is None or len(text) > VALUE_MOST:
        raise Malformed(f"a value is wanted at byte {at}")
    return text.decode("ascii"), match.end()


# And back.


def carries(octets: bytes) -> bool:
    """Whether an octet block can hold these. A backslash before a brace, or at the end, would be read as an
    escape."""
    return b"\0" not in octets and b"\\}" not in octets and not octets.endswith(b"\\")


def write(tree: Tree, short: bool = False) -> bytes:
    """The text of a message; raises ValueError for what no text can say."""
    out = [f"!/{tree.version} " if short else f"MEGACO/{tree.version} ", tree.mid, " " if short else "\n"]
    parts: list[bytes] = ["".join(out).encode("ascii")]
    for position, node in enumerate(tree.body):
        if position:
            parts.append(b" " if short else b"\n")
        _write(node, short, parts)
    return b"".join(parts)


def _write(root: Node, short: bool, parts: list[bytes]) -> None:
    stack: list[Node | bytes] = [root]
    while stack:
        node = stack.pop()
        if isinstance(node, bytes):
            parts.append(node)
            continue
        if node.name == QUOTE:
            parts.append(_in_quotes(node.text()).encode("ascii"))
            continue
        parts.append(_shown(node.name, short).encode("ascii"))
        if node.value is not None:
            parts.append(b"=" if short else b" = ")
            values = node.value if isinstance(node.value, tuple) else None
            shown = ",".join(map(_quoted, values)) if values is not None else _quoted(node.text())
            parts.append(f"[{shown}]".encode("ascii") if values is not None else shown.encode("ascii"))
        if node.octets is not None:
            if not carries(node.octets):
                raise ValueError("octets that no block can hold")
            parts.append(b"{" + node.octets.replace(b"}", b"\\}") + b"}")
        elif node.items is not None:
            parts.append(b"{" if short else b" { ")
            stack.append(b"}" if short else b" }")
            stack.extend(_parted(node.items, b"," if short else b", "))


def _parted(items: list[Node], comma: bytes) -> Iterable[Node | bytes]:
    """The items in reverse, with commas between them."""
    for position, item in enumerate(reversed(items)):
        if position:
            yield comma
        yield item


def _shown(name: str, short: bool) -> str:
    if not short:
        return name
    marks = ""
    while name[:2] in ("O-", "W-"):
        marks, name = marks + name[:2], name[2:]
    return marks + (TOKENS.get(name) or name)


def _quoted(value: str) -> str:
    return value if _SAFE.fullmatch(value) else _in_quotes(value)


def _in_quotes(value: str) -> str:
    if not _QUOTABLE.fullmatch(value):
        raise ValueError(f"no text can say {value!r}")
    return f'"{value}"'
