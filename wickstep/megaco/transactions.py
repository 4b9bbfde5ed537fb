"""Transactions of H.248: at-most-once execution of requests.

This file owns the cache of requests received and their replies (`DuplicateRequestCache`), the order in which
the commands of one request are executed (`RequestExecution`), and the requests sent that await a reply
(`OutstandingRequests`). It must never touch a socket or a clock: times are passed in, in microseconds.

A request is identified by its sender's identifier and its transaction ID for `LONG_TIMER_US` after its reply;
the standard's LONG-TIMER is 30 s. A duplicate is answered by a pending reply while the request is executed,
and by the very bytes of the reply afterwards. The same ID with other content is an error of the sender and is
not executed. The cache is bounded in entries and in bytes. A sender that fills it is refused new requests:
dropping an entry before its retention time ends would let a duplicate be executed again.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from wickstep.megaco.messages import Action, Command, ErrorDescriptor, TransactionReply, TransactionRequest

SECOND_US = 1_000_000
LONG_TIMER_US = 30 * SECOND_US
GENERATIONS = 4  # entries expire together with their generation
MAX_ENTRIES = 100_000
MAX_REPLY_BYTES = 16 * 1024 * 1024  # of all cached replies
DIGEST_BYTES = 8
MAX_SENDERS = 4096


class RequestStatus(Enum):
    """What the cache knows of a request that is received."""

    NEW = "new"
    RUNNING = "running"
    DONE = "done"
    CONFLICT = "another"  # the same transaction ID with other content
    CACHE_FULL = "no room"


def digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


class DuplicateRequestCache:
    """The requests that have been received, and the replies to them.

    Replies are kept in generations: dicts that each cover a part of the retention time. A look-up searches
    them from the newest. Expired entries are dropped with their whole generation in one step; in a queue of
    single entries, dropping costs as much as adding. A running request stays until it is answered, however
    long that takes: calls have deadlines.
    """

    def __init__(
        self,
        retention_us: int = LONG_TIMER_US,
        max_entries: int = MAX_ENTRIES,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        # All generations but the newest cover the retention time, so that no entry is dropped before its end.
        self.generation_us = max(retention_us // (GENERATIONS - 1), 1)
        self.max_entries, self.max_reply_bytes = max_entries, max_reply_bytes
        self.sender_numbers: dict[str, int] = {}
        self.last_sender_number = 0
        self.running: dict[int, bytes] = {}  # key -> digest of the content
        self.generations: list[dict[int, bytes]] = [{}]  # newest first: key -> digest and reply
        self.generation_bytes: list[int] = [0]  # bytes of the replies in each generation
        self.newest_start = 0  # time at which the newest generation began

    def __len__(self) -> int:
        return len(self.running) + sum(map(len, self.generations))

    def register(
        self, sender: str, transaction_id: int, content_digest: bytes, now: int
    ) -> tuple[RequestStatus, bytes]:
        """The status of a received request, and the reply if it is DONE. A NEW one is RUNNING from now on."""
        self._expire_generations(now)
        sender_number = self._get_sender_number(sender)
        if sender_number is None:
            return RequestStatus.CACHE_FULL, b""
        key = sender_number << 32 | transaction_id
        running_digest = self.running.get(key)
        if running_digest is not None:
            return (
                RequestStatus.RUNNING if running_digest == content_digest else RequestStatus.CONFLICT
            ), b""
        for generation in self.generations:
            entry = generation.get(key)
            if entry is not None:
                return (
                    (RequestStatus.DONE, entry[DIGEST_BYTES:])
                    if entry[:DIGEST_BYTES] == content_digest
                    else (RequestStatus.CONFLICT, b"")
                )
        if len(self) >= self.max_entries or sum(self.generation_bytes) >= self.max_reply_bytes:
            return RequestStatus.CACHE_FULL, b""
        self.running[key] = content_digest
        return RequestStatus.NEW, b""

    def store_reply(self, sender: str, transaction_id: int, reply: bytes, now: int) -> None:
        """Ends a running request; its duplicates are answered by this reply from now on."""
        self._expire_generations(now)
        key = self.sender_numbers.get(sender, 0) << 32 | transaction_id
        content_digest = self.running.pop(key, None)
        if content_digest is not None:
            self.generations[0][key] = content_digest + reply
            self.generation_bytes[0] += len(reply)

    def drop_acknowledged(self, sender: str, ranges: list[tuple[int, int]]) -> None:
        """Drops replies that the sender has acknowledged: it will not repeat those requests.

        A range may span all transaction IDs. If it is larger than the cache, the cache is searched instead.
        """
        sender_number = self.sender_numbers.get(sender)
        if sender_number is None:
            return
        for low, high in ranges:
            if high - low <= len(self):
                keys = [sender_number << 32 | transaction_id for transaction_id in range(low, high + 1)]
            else:
                keys = [
                    key
                    for generation in self.generations
                    for key in generation
                    if key >> 32 == sender_number and low <= key & 0xFFFFFFFF <= high
                ]
            for key in keys:
                for index, generation in enumerate(self.generations):
                    entry = generation.pop(key, None)
                    if entry is not None:
                        self.generation_bytes[index] -= len(entry) - DIGEST_BYTES

    def _get_sender_number(self, sender: str) -> int | None:
        """The number of a sender, assigned on first use; None if there are too many senders."""
        sender_number = self.sender_numbers.get(sender)
        if sender_number is None:
            if len(self.sender_numbers) >= MAX_SENDERS:
                self._drop_idle_senders()
            if len(self.sender_numbers) >= MAX_SENDERS:
                return None
            # Numbers are never reused: a sender that was dropped and returns gets a new one.
            self.last_sender_number += 1
            sender_number = self.sender_numbers[sender] = self.last_sender_number
        return sender_number

    def _drop_idle_senders(self) -> None:
        """Drops the senders that have no request in the cache."""
        used_numbers = {key >> 32 for generation in [self.running, *self.generations] for key in generation}
        self.sender_numbers = {
            sender: number for sender, number in self.sender_numbers.items() if number in used_numbers
        }

    def _expire_generations(self, now: int) -> None:
        if now - self.newest_start < self.generation_us:
            return
        # After a long time without requests, all generations expire at once.
        for _ in range(min((now - self.newest_start) // self.generation_us, GENERATIONS)):
            self.generations.insert(0, {})
            self.generation_bytes.insert(0, 0)
        del self.generations[GENERATIONS:], self.generation_bytes[GENERATIONS:]
        self.newest_start = now - (now - self.newest_start) % self.generation_us


@dataclass(slots=True)
class Step:
    """The command to execute now, with its action."""

    action: Action
    command: Command


class RequestExecution:
    """One request being executed: its commands in order, and the reply that their results fill.

    As the standard requires, commands are executed one after the other. The first that fails ends the request
    unless it is optional: later commands are not executed and have no place in the reply.
    """

    def __init__(self, sender: str, request: TransactionRequest) -> None:
        self.sender, self.request = sender, request
        self.reply = TransactionReply(request.transaction_id)
        self.finished = False
        self._steps = self._iterate_steps()
        self._answered_action: Action | None = None  # the action that the last action of the reply answers
        self.step: Step | None = None
        self.chosen_contexts: dict[int, str] = {}  # id() of an action -> the context chosen for it

    def _iterate_steps(self) -> Iterator[Step]:
        for action in self.request.actions:
            for command in action.commands:
                yield Step(action, command)

    def next_step(self) -> Step | None:
        """Advances to the next command; None when the reply is complete."""
        self.step = None if self.finished else next(self._steps, None)
        self.finished = self.step is None
        return self.step

    def current_context(self) -> str:
        """The context of the current command.

        If the action asked for a context to be chosen, it is the one that an earlier command was given.
        """
        assert self.step is not None
        return self.chosen_contexts.get(id(self.step.action), self.step.action.context)

    def record_result(self, result: Command | ErrorDescriptor, context: str = "") -> None:
        """Adds the result of the current command, and the context chosen for it if any, to the reply."""
        step = self.step
        assert step is not None
        if context:
            self.chosen_contexts[id(step.action)] = context
        reply_context = context or self.current_context()
        if not self.reply.actions or self._answered_action is not step.action:
            self.reply.actions.append(Action(reply_context))
            self._answered_action = step.action
        reply_action = self.reply.actions[-1]
        reply_action.context = reply_context
        if isinstance(result, ErrorDescriptor):
            result = Command(step.command.kind, step.command.termination, error=result)
        reply_action.commands.append(result)
        if result.error is not None and not step.command.optional:
            self.finished = True


@dataclass(slots=True)
class OutstandingRequests:
    """Requests sent on one association that await a reply: transaction ID -> subject of the request."""

    max_outstanding: int
    last_id: int = 0
    in_flight: dict[int, object] = field(default_factory=dict)

    def add(self, subject: object) -> int | None:
        """A transaction ID for a new request; None if too many requests are in flight."""
        if len(self.in_flight) >= self.max_outstanding:
            return None
        while True:
            self.last_id = self.last_id % 0xFFFFFFFF + 1
            if self.last_id not in self.in_flight:
                break
        self.in_flight[self.last_id] = subject
        return self.last_id

    def get(self, transaction_id: int) -> object | None:
        """The subject of a request that got a pending reply; it stays in flight."""
        return self.in_flight.get(transaction_id)

    def complete(self, transaction_id: int) -> object | None:
        """The subject of a request that got its reply; None for a duplicate or late reply."""
        return self.in_flight.pop(transaction_id, None)
