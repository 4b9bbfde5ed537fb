"""Messages of H.248 as objects: transactions and what answers them.

This file owns the structure between the tree of the text and what a dialogue is about: which commands there
are, in which context, and which error answers what cannot be read. It must never know what a call is.

What is read: Transaction, TransactionReply, TransactionPending, TransactionResponseAck, and in them actions
with Add, Modify, Subtract, Notify, AuditValue and ServiceChange. Other commands are understood as such and
answered with 443 by whoever acts on them. Attributes of a context (priority, topology) are passed over.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wickstep.megaco.text import QUOTE, Malformed, Node, Tree, read, write

COMMANDS = (
    "Add", "Modify", "Move", "Subtract", "Notify", "AuditValue", "AuditCapability", "ServiceChange",
)  # fmt: skip
IDS = 0xFFFFFFFF
PARTS_MOST = 64  # transactions and replies of one message
COMMANDS_MOST = 64  # of one transaction
RANGES_MOST = 64
CHOOSE, ALL, NULL = "$", "*", "-"

# Error codes of H.248.8, those that are used here.
BAD_MESSAGE, PROTOCOL, UNAUTHORISED, BAD_TRANSACTION, VERSION = 400, 401, 402, 403, 406
NO_CONTEXT, NO_TERMINATION, NOT_IN_CONTEXT = 411, 430, 435
BAD_COMMAND, NO_COMMAND, NO_DESCRIPTOR, NO_VALUE, MISSING = 442, 443, 444, 449, 457
INTERNAL, NOT_READY, BEFORE_SERVICE_CHANGE, NO_ROOM = 500, 502, 505, 510


@dataclass(slots=True, frozen=True)
class Fault:
    """An error descriptor."""

    code: int
    text: str = ""


@dataclass(slots=True)
class Command:
    """A command, or in a reply what answers one."""

    kind: str
    termination: str
    items: list[Node] = field(default_factory=list)
    optional: bool = False
    wildcard: bool = False  # one reply for all terminations is wanted
    fault: Fault | None = None

    def get(self, *path: str) -> Node | None:
        """A descriptor below this command, by the names on the way."""
        found: Node | None = Node("", items=self.items)
        for name in path:
            found = found.get(name) if found is not None else None
        return found


@dataclass(slots=True)
class Action:
    """What is said of one context."""

    context: str
    commands: list[Command] = field(default_factory=list)
    fault: Fault | None = None


@dataclass(slots=True)
class Request:
    ident: int
    actions: list[Action]


@dataclass(slots=True)
class Reply:
    ident: int
    actions: list[Action] = field(default_factory=list)
    fault: Fault | None = None
    ack_wanted: bool = False


@dataclass(slots=True)
class Pending:
    ident: int


@dataclass(slots=True)
class Ack:
    ranges: list[tuple[int, int]]


Part = Request | Reply | Pending | Ack


@dataclass(slots=True)
class Message:
    mid: str
    parts: list[Part] = field(default_factory=list)
    fault: Fault | None = None  # the whole message is an error
    version: int = 3


class BadRequest(Malformed):
    """A transaction that cannot be read, but whose number can: it gets an answer of its own."""

    def __init__(self, ident: int, fault: Fault) -> None:
        super().__init__(f"transaction {ident}: {fault.text}")
        self.ident, self.fault = ident, fault


def parse(data: bytes) -> Message:
    """Raises Malformed, and BadRequest where only one transaction is spoilt."""
    tree = read(data)
    message = Message(tree.mid, version=tree.version)
    if tree.body[0].name == "Error":
        if len(tree.body) > 1:
            raise Malformed("an error with more behind it")
        message.fault = _fault(tree.body[0])
        return message
    if len(tree.body) > PARTS_MOST:
        raise Malformed(f"{len(tree.body)} transactions in one message")
    for node in tree.body:
        message.parts.append(_part(node))
    return message


def _part(node: Node) -> Part:
    match node.name:
        case "Transaction":
            ident = _ident(node)
            try:
                return Request(ident, _actions(node.items or [], reply=False))
            except Malformed as trouble:
                raise BadRequest(ident, Fault(BAD_TRANSACTION, str(trouble))) from None
        case "Reply":
            return _reply(node)
        case "Pending":
            return Pending(_ident(node))
        case "TransactionResponseAck":
            return _ack(node)
    raise Malformed(f"{node.name!r} is no part of a message")


def _ident(node: Node) -> int:
    return _number(node.text(), "a transaction's number")


def _number(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 10 or not 0 < int(text) <= IDS:
        raise Malformed(f"{what} is wanted, not {text[:20]!r}")
    return int(text)


def _reply(node: Node) -> Reply:
    items = list(node.items or [])
    found = Reply(_ident(node))
    if items and items[0].name == "ImmAckRequired":
        found.ack_wanted = True
        items.pop(0)
    if items and items[0].name == "Error":
        found.fault = _fault(items.pop(0))
        if items:
            raise Malformed("a reply with an error and more")
        return found
    found.actions = _actions(items, reply=True)
    return found


def _ack(node: Node) -> Ack:
    ranges = []
    for item in node.items or []:
        first, dash, last = item.name.partition("-")
        low = _number(first, "a transaction's number")
        high = _number(last, "a transaction's number") if dash else low
        if item.value is not None or item.items is not None or low > high:
            raise Malformed("no range of transactions")
        ranges.append((low, high))
    if not 0 < len(ranges) <= RANGES_MOST:
        raise Malformed(f"{len(ranges)} ranges acknowledged at once")
    return Ack(ranges)


def _actions(items: list[Node], reply: bool) -> list[Action]:
    if not items:
        raise Malformed("no action")
    count = 0
    found = []
    for item in items:
        if item.name != "Context":
            raise Malformed(f"a context is wanted, not {item.name!r}")
        context = item.text()
        if context not in (CHOOSE, ALL, NULL):
            context = str(_number(context, "a context"))
        action = Action(context)
        for node in item.items or []:
            marks, name = "", node.name
            while name[:2] in ("O-", "W-"):
                marks, name = marks + name[:1], name[2:]
            if name in COMMANDS:
                action.commands.append(_command(name, marks, node, reply))
                count += 1
            elif name == "Error" and reply:
                action.fault = _fault(node)
        if count > COMMANDS_MOST:
            raise Malformed(f"more than {COMMANDS_MOST} commands")
        if not action.commands and not reply:
            raise Malformed(f"an action without a command in context {context}")
        found.append(action)
    return found


def _command(name: str, marks: str, node: Node, reply: bool) -> Command:
    termination = node.text()
    if not termination:
        raise Malformed(f"{name} without a termination")
    command = Command(name, termination, [], "O" in marks, "W" in marks)
    for item in node.items or []:
        if item.name == "Error" and reply:
            command.fault = _fault(item)
        else:
            command.items.append(item)
    return command


def _fault(node: Node) -> Fault:
    code = _number(node.text(), "an error code")
    if not 400 <= code <= 999:
        raise Malformed(f"{code} is no error code")
    words = [item.text() for item in node.items or [] if item.name == QUOTE]
    return Fault(code, words[0] if words else "")


# And back.


def compose(message: Message, short: bool = False) -> bytes:
    """The text of a message; raises ValueError for what no text can say."""
    tree = Tree(message.version, message.mid)
    if message.fault is not None:
        tree.body.append(_fault_node(message.fault))
    tree.body += [_part_node(part) for part in message.parts]
    return write(tree, short)


def _part_node(part: Part) -> Node:
    match part:
        case Request():
            return Node("Transaction", str(part.ident), [_action_node(action) for action in part.actions])
        case Reply():
            items = [Node("ImmAckRequired")] if part.ack_wanted else []
            if part.fault is not None:
                return Node("Reply", str(part.ident), [*items, _fault_node(part.fault)])
            return Node("Reply", str(part.ident), [*items, *map(_action_node, part.actions)])
        case Pending():
            return Node("Pending", str(part.ident), [])
        case Ack():
            names = [str(low) if low == high else f"{low}-{high}" for low, high in part.ranges]
            return Node("TransactionResponseAck", items=[Node(name) for name in names])


def _action_node(action: Action) -> Node:
    items = [_command_node(command) for command in action.commands]
    if action.fault is not None:
        items.append(_fault_node(action.fault))
    return Node("Context", action.context, items)


def _command_node(command: Command) -> Node:
    marks = ("O-" if command.optional else "") + ("W-" if command.wildcard else "")
    items = list(command.items)
    if command.fault is not None:
        items.append(_fault_node(command.fault))
    return Node(marks + command.kind, command.termination, items or None)


def _fault_node(fault: Fault) -> Node:
    # What is quoted may hold neither quotes nor what is no ASCII: an error tells of bytes that may be
    # anything.
    words = "".join(c if " " <= c <= "~" and c != QUOTE else "'" for c in fault.text)[:200]
    return Node("Error", str(fault.code), [Node(QUOTE, words)])
