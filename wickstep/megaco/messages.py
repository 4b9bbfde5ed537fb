"""Messages of H.248 as objects: transaction requests, replies, pending replies and acknowledgements.

This file owns the structure between the syntax tree of the text and the meaning of a dialogue: which commands
exist, in which context, and which error code answers a transaction that cannot be parsed. It must never know
what a call is.

Parsed are Transaction, TransactionReply, TransactionPending and TransactionResponseAck, and in them actions
with Add, Modify, Subtract, Notify, AuditValue and ServiceChange. Other commands are recognised; whoever
executes commands answers those with error 443. Context attributes (priority, topology) are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wickstep.megaco.text import QUOTE, Malformed, MessageTree, Node, parse_tree, serialize_tree

COMMANDS = (
    "Add", "Modify", "Move", "Subtract", "Notify", "AuditValue", "AuditCapability", "ServiceChange",
)  # fmt: skip
MAX_ID = 0xFFFFFFFF  # of a transaction or context
MAX_TRANSACTIONS_PER_MESSAGE = 64  # requests, replies, pending replies and acknowledgements together
MAX_COMMANDS_PER_TRANSACTION = 64
MAX_ACK_RANGES = 64
CHOOSE, ALL, NULL = "$", "*", "-"

# Error codes of H.248.8 that are used here.
BAD_MESSAGE, PROTOCOL_ERROR, UNAUTHORIZED, BAD_TRANSACTION, UNSUPPORTED_VERSION = 400, 401, 402, 403, 406
UNKNOWN_CONTEXT, UNKNOWN_TERMINATION, TERMINATION_NOT_IN_CONTEXT = 411, 430, 435
BAD_COMMAND, UNKNOWN_COMMAND, UNKNOWN_DESCRIPTOR, UNKNOWN_VALUE, MISSING_PARAMETER = 442, 443, 444, 449, 457
INTERNAL_ERROR, NOT_READY, BEFORE_SERVICE_CHANGE, INSUFFICIENT_RESOURCES = 500, 502, 505, 510


@dataclass(slots=True, frozen=True)
class ErrorDescriptor:
    code: int
    text: str = ""


@dataclass(slots=True)
class Command:
    """A command of a request, or the reply to one."""

    kind: str
    termination: str
    descriptors: list[Node] = field(default_factory=list)
    optional: bool = False
    wildcard_response: bool = False  # the sender wants one reply for all terminations
    error: ErrorDescriptor | None = None

    def get(self, *path: str) -> Node | None:
        """The node at a path of names below this command: a descriptor or an item nested in one."""
        node: Node | None = Node("", items=self.descriptors)
        for name in path:
            node = node.get(name) if node is not None else None
        return node


@dataclass(slots=True)
class Action:
    """The commands, or the replies to them, for one context."""

    context: str
    commands: list[Command] = field(default_factory=list)
    error: ErrorDescriptor | None = None


@dataclass(slots=True)
class TransactionRequest:
    transaction_id: int
    actions: list[Action]


@dataclass(slots=True)
class TransactionReply:
    transaction_id: int
    actions: list[Action] = field(default_factory=list)
    error: ErrorDescriptor | None = None
    imm_ack_required: bool = False


@dataclass(slots=True)
class TransactionPending:
    transaction_id: int


@dataclass(slots=True)
class TransactionResponseAck:
    ranges: list[tuple[int, int]]  # first and last transaction ID, both included


Transaction = TransactionRequest | TransactionReply | TransactionPending | TransactionResponseAck


@dataclass(slots=True)
class Message:
    mid: str  # message identifier of the sender
    transactions: list[Transaction] = field(default_factory=list)
    error: ErrorDescriptor | None = None  # the message then has no transactions
    version: int = 3


class MalformedTransaction(Malformed):
    """A transaction request that cannot be parsed, but whose ID can: it gets an error reply of its own."""

    def __init__(self, transaction_id: int, error: ErrorDescriptor) -> None:
        super().__init__(f"transaction {transaction_id}: {error.text}")
        self.transaction_id, self.error = transaction_id, error


def parse(data: bytes) -> Message:
    """Raises Malformed, or MalformedTransaction if the ID of the malformed request is known."""
    tree = parse_tree(data)
    message = Message(tree.mid, version=tree.version)
    if tree.body[0].name == "Error":
        if len(tree.body) > 1:
            raise Malformed("message has further items after its error descriptor")
        message.error = _parse_error(tree.body[0])
        return message
    if len(tree.body) > MAX_TRANSACTIONS_PER_MESSAGE:
        raise Malformed(f"too many transactions in one message: {len(tree.body)}")
    for node in tree.body:
        message.transactions.append(_parse_transaction(node))
    return message


def _parse_transaction(node: Node) -> Transaction:
    match node.name:
        case "Transaction":
            transaction_id = _parse_transaction_id(node)
            try:
                return TransactionRequest(transaction_id, _parse_actions(node.items or [], in_reply=False))
            except Malformed as problem:
                raise MalformedTransaction(
                    transaction_id, ErrorDescriptor(BAD_TRANSACTION, str(problem))
                ) from None
        case "Reply":
            return _parse_reply(node)
        case "Pending":
            return TransactionPending(_parse_transaction_id(node))
        case "TransactionResponseAck":
            return _parse_ack(node)
    raise Malformed(
        f"expected a transaction request, reply, pending reply or acknowledgement, not {node.name!r}"
    )


def _parse_transaction_id(node: Node) -> int:
    return _parse_number(node.text(), "a transaction ID")


def _parse_number(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 10 or not 0 < int(text) <= MAX_ID:
        raise Malformed(f"{what} is wanted, not {text[:20]!r}")
    return int(text)


def _parse_reply(node: Node) -> TransactionReply:
    items = list(node.items or [])
    reply = TransactionReply(_parse_transaction_id(node))
    if items and items[0].name == "ImmAckRequired":
        reply.imm_ack_required = True
        items.pop(0)
    if items and items[0].name == "Error":
        reply.error = _parse_error(items.pop(0))
        if items:
            raise Malformed("transaction reply has further items after its error descriptor")
        return reply
    reply.actions = _parse_actions(items, in_reply=True)
    return reply


def _parse_ack(node: Node) -> TransactionResponseAck:
    ranges = []
    for item in node.items or []:
        first, dash, last = item.name.partition("-")
        low = _parse_number(first, "a transaction ID")
        high = _parse_number(last, "a transaction ID") if dash else low
        if item.value is not None or item.items is not None or low > high:
            raise Malformed("acknowledgement has an invalid range of transaction IDs")
        ranges.append((low, high))
    if not 0 < len(ranges) <= MAX_ACK_RANGES:
        raise Malformed(f"acknowledgement has no or too many ranges of transaction IDs: {len(ranges)}")
    return TransactionResponseAck(ranges)


def _parse_actions(items: list[Node], in_reply: bool) -> list[Action]:
    """The actions of a request or reply; raises Malformed. For a request, the text of that is sent in the
    error descriptor of the reply."""
    if not items:
        raise Malformed("no action")
    count = 0
    actions = []
    for item in items:
        if item.name != "Context":
            raise Malformed(f"a context is wanted, not {item.name!r}")
        context = item.text()
        if context not in (CHOOSE, ALL, NULL):
            context = str(_parse_number(context, "a context"))
        action = Action(context)
        for node in item.items or []:
            flags, name = "", node.name
            while name[:2] in ("O-", "W-"):
                flags, name = flags + name[:1], name[2:]
            if name in COMMANDS:
                action.commands.append(_parse_command(name, flags, node, in_reply))
                count += 1
            elif name == "Error" and in_reply:
                action.error = _parse_error(node)
        if count > MAX_COMMANDS_PER_TRANSACTION:
            raise Malformed(f"more than {MAX_COMMANDS_PER_TRANSACTION} commands")
        if not action.commands and not in_reply:
            raise Malformed(f"an action without a command in context {context}")
        actions.append(action)
    return actions


def _parse_command(name: str, flags: str, node: Node, in_reply: bool) -> Command:
    termination = node.text()
    if not termination:
        raise Malformed(f"{name} without a termination")
    command = Command(name, termination, [], "O" in flags, "W" in flags)
    for item in node.items or []:
        if item.name == "Error" and in_reply:
            command.error = _parse_error(item)
        else:
            command.descriptors.append(item)
    return command


def _parse_error(node: Node) -> ErrorDescriptor:
    code = _parse_number(node.text(), "an error code")
    if not 400 <= code <= 999:
        raise Malformed(f"error code {code} is not in the range 400 to 999")
    texts = [item.text() for item in node.items or [] if item.name == QUOTE]
    return ErrorDescriptor(code, texts[0] if texts else "")


# Serialization.


def serialize(message: Message, short: bool = False) -> bytes:
    """The text of a message, in short or long tokens; raises ValueError if the grammar cannot express it."""
    tree = MessageTree(message.version, message.mid)
    if message.error is not None:
        tree.body.append(_build_error_node(message.error))
    tree.body += [_build_transaction_node(transaction) for transaction in message.transactions]
    return serialize_tree(tree, short)


def _build_transaction_node(transaction: Transaction) -> Node:
    match transaction:
        case TransactionRequest():
            return Node(
                "Transaction",
                str(transaction.transaction_id),
                [_build_action_node(action) for action in transaction.actions],
            )
        case TransactionReply():
            items = [Node("ImmAckRequired")] if transaction.imm_ack_required else []
            if transaction.error is not None:
                return Node(
                    "Reply", str(transaction.transaction_id), [*items, _build_error_node(transaction.error)]
                )
            return Node(
                "Reply",
                str(transaction.transaction_id),
                [*items, *map(_build_action_node, transaction.actions)],
            )
        case TransactionPending():
            return Node("Pending", str(transaction.transaction_id), [])
        case TransactionResponseAck():
            names = [str(low) if low == high else f"{low}-{high}" for low, high in transaction.ranges]
            return Node("TransactionResponseAck", items=[Node(name) for name in names])


def _build_action_node(action: Action) -> Node:
    items = [_build_command_node(command) for command in action.commands]
    if action.error is not None:
        items.append(_build_error_node(action.error))
    return Node("Context", action.context, items)


def _build_command_node(command: Command) -> Node:
    prefix = ("O-" if command.optional else "") + ("W-" if command.wildcard_response else "")
    items = list(command.descriptors)
    if command.error is not None:
        items.append(_build_error_node(command.error))
    return Node(prefix + command.kind, command.termination, items or None)


def _build_error_node(error: ErrorDescriptor) -> Node:
    # The text may repeat arbitrary bytes of a peer, but a quoted string holds neither quotes nor characters
    # other than printable ASCII: those are replaced.
    text = "".join(c if " " <= c <= "~" and c != QUOTE else "'" for c in error.text)[:200]
    return Node("Error", str(error.code), [Node(QUOTE, text)])
