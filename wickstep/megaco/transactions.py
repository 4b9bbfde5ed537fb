"""Transactions of H.248: each request is carried out once, however often it comes.

This file owns what is remembered of requests that came (`Memory`), the order in which the commands of one
request are carried out (`Run`), and what waits for a reply from the other side (`Outgoing`). It must never
touch a socket or a clock: times are handed in, in microseconds.

A request is known by its sender's identifier and its number for `AGE` after its reply; the standard's LONG-
TIMER is 30 s. While it is carried out, a second copy brings a pending reply, after that the very bytes of
the reply. The same number with another content is an error of the sender's and is not carried out. Memory
is bounded by number and by bytes: a sender that fills it is told that there is no room, since forgetting
what is younger than the age would carry it out again.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from wickstep.megaco.messages import Action, Command, Fault, Reply, Request

SECOND = 1_000_000
AGE = 30 * SECOND
GENERATIONS = 4  # the memory is dropped in so many pieces
REMEMBERED_MOST = 100_000
BYTES_MOST = 16 * 1024 * 1024  # of replies
DIGEST = 8
SENDERS_MOST = 4096


class Known(Enum):
    """What is known of a request that comes."""

    NEW = "new"
    RUNNING = "running"
    DONE = "done"
    ANOTHER = "another"  # the same number, another content
    NO_ROOM = "no room"


def digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST).digest()


class Memory:
    """What requests have come, and what they were answered.

    Replies are kept in generations, each a dict that covers a part of the age. A look-up tries them from
    the newest; what is too old goes with its whole generation, in one step, where a queue of single entries
    costs as much for forgetting as for remembering. A request that runs stays until it is answered, however
    long that takes: calls have deadlines.
    """

    def __init__(self, age: int = AGE, most: int = REMEMBERED_MOST, bytes_most: int = BYTES_MOST) -> None:
        self.span = max(age // (GENERATIONS - 1), 1)  # so the youngest dropped is of the whole age
        self.most, self.bytes_most = most, bytes_most
        self.senders: dict[str, int] = {}
        self.serial = 0
        self.running: dict[int, bytes] = {}  # key -> digest of the content
        self.done: list[dict[int, bytes]] = [{}]  # the newest first: key -> digest and reply
        self.sizes: list[int] = [0]  # bytes of replies in each
        self.began = 0  # of the newest

    def __len__(self) -> int:
        return len(self.running) + sum(map(len, self.done))

    def comes(self, sender: str, ident: int, content: bytes, now: int) -> tuple[Known, bytes]:
        """A request comes: what is known of it, and the reply if there is one. A new one runs from here
        on."""
        self._age(now)
        number = self._sender(sender)
        if number is None:
            return Known.NO_ROOM, b""
        key = number << 32 | ident
        known = self.running.get(key)
        if known is not None:
            return (Known.RUNNING if known == content else Known.ANOTHER), b""
        for generation in self.done:
            kept = generation.get(key)
            if kept is not None:
                return (Known.DONE, kept[DIGEST:]) if kept[:DIGEST] == content else (Known.ANOTHER, b"")
        if len(self) >= self.most or sum(self.sizes) >= self.bytes_most:
            return Known.NO_ROOM, b""
        self.running[key] = content
        return Known.NEW, b""

    def answered(self, sender: str, ident: int, reply: bytes, now: int) -> None:
        """A request has run; from now on its copies bring this."""
        self._age(now)
        key = self.senders.get(sender, 0) << 32 | ident
        content = self.running.pop(key, None)
        if content is not None:
            self.done[0][key] = content + reply
            self.sizes[0] += len(reply)

    def acknowledged(self, sender: str, ranges: list[tuple[int, int]]) -> None:
        """The sender has these replies and will not ask again: they need not be kept.

        A range may span all numbers there are: then what is kept is gone through instead.
        """
        number = self.senders.get(sender)
        if number is None:
            return
        for low, high in ranges:
            if high - low <= len(self):
                keys = [number << 32 | ident for ident in range(low, high + 1)]
            else:
                keys = [
                    key
                    for generation in self.done
                    for key in generation
                    if key >> 32 == number and low <= key & 0xFFFFFFFF <= high
                ]
            for key in keys:
                for place, generation in enumerate(self.done):
                    kept = generation.pop(key, None)
                    if kept is not None:
                        self.sizes[place] -= len(kept) - DIGEST

    def _sender(self, sender: str) -> int | None:
        number = self.senders.get(sender)
        if number is None:
            if len(self.senders) >= SENDERS_MOST:
                self._forget_senders()
            if len(self.senders) >= SENDERS_MOST:
                return None
            self.serial += 1  # never used again: a sender that is forgotten and comes back is another
            number = self.senders[sender] = self.serial
        return number

    def _forget_senders(self) -> None:
        """Those of whom nothing is remembered."""
        known = {key >> 32 for generation in [self.running, *self.done] for key in generation}
        self.senders = {sender: number for sender, number in self.senders.items() if number in known}

    def _age(self, now: int) -> None:
        if now - self.began < self.span:
            return
        # After a long silence all of it is too old at once.
        for _ in range(min((now - self.began) // self.span, GENERATIONS)):
            self.done.insert(0, {})
            self.sizes.insert(0, 0)
        del self.done[GENERATIONS:], self.sizes[GENERATIONS:]
        self.began = now - (now - self.began) % self.span


@dataclass(slots=True)
class Step:
    """A command that is to be carried out now."""

    action: Action
    command: Command


class Run:
    """One request under way: its commands in order, and the reply that they fill.

    As the standard has it, commands are carried out one after the other, and the first that fails ends the
    request unless it is optional: what comes after it is not carried out and has no place in the reply.
    """

    def __init__(self, sender: str, request: Request) -> None:
        self.sender, self.request = sender, request
        self.reply = Reply(request.ident)
        self.over = False
        self._steps = self._each()
        self._answers: Action | None = None  # whose commands the last action of the reply answers
        self.step: Step | None = None
        self.contexts: dict[int, str] = {}  # id of an action -> the context that was chosen for it

    def _each(self) -> Iterator[Step]:
        for action in self.request.actions:
            for command in action.commands:
                yield Step(action, command)

    def next(self) -> Step | None:
        """The command to carry out, or None when the reply is whole."""
        self.step = None if self.over else next(self._steps, None)
        self.over = self.step is None
        return self.step

    def context(self) -> str:
        """Of the present step: the one that an earlier command of its action was given, where it was to be
        chosen."""
        assert self.step is not None
        return self.contexts.get(id(self.step.action), self.step.action.context)

    def done(self, result: Command | Fault, context: str = "") -> None:
        """What became of the present step, in the context it has been given."""
        step = self.step
        assert step is not None
        if context:
            self.contexts[id(step.action)] = context
        shown = context or self.context()
        if not self.reply.actions or self._answers is not step.action:
            self.reply.actions.append(Action(shown))
            self._answers = step.action
        answer = self.reply.actions[-1]
        answer.context = shown
        if isinstance(result, Fault):
            result = Command(step.command.kind, step.command.termination, fault=result)
        answer.commands.append(result)
        if result.fault is not None and not step.command.optional:
            self.over = True


@dataclass(slots=True)
class Outgoing:
    """What was sent on one association and waits for its reply: a number, and what it was about."""

    most: int
    serial: int = 0
    out: dict[int, object] = field(default_factory=dict)

    def put(self, about: object) -> int | None:
        """A number for a new request; None where too many wait."""
        if len(self.out) >= self.most:
            return None
        while True:
            self.serial = self.serial % 0xFFFFFFFF + 1
            if self.serial not in self.out:
                break
        self.out[self.serial] = about
        return self.serial

    def about(self, ident: int) -> object | None:
        """What a pending reply is about; it stays out."""
        return self.out.get(ident)

    def answered(self, ident: int) -> object | None:
        """What a reply is about. A second copy of it, or a late one, is about nothing."""
        return self.out.pop(ident, None)
