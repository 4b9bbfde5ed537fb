"""Races of two events, forced into one order: the loop, a dial or an answer waits until the other has come.

Whether it has come is read from the kernel or from a queue's length; no test relies on a sleep.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from wickstep.net import (
    Answer,
    GroupState,
    Message,
    Note,
    Reason,
    Release,
    SetUp,
    Test,
    TestResult,
    bulletin,
    codec,
    links,
    take_in,
)
from wickstep.net import softswitch as module

from .test_softswitch import (
    LINES,
    TIMEOUT_S,
    ConnectedRig,
    Peer,
    Rig,
    Server,
    connected,
    list_line,
    rig,
    set_up_call,
    wait_for,
)

__all__ = ["connected", "rig"]  # fixtures

CLOSED, CLOSE_WAIT = 7, 8  # TCP_INFO states: the connection was reset; its peer has closed


class PausedLoop:
    """Pauses the loop between two inbox items; the loop's thread runs `action` before it goes on."""

    def __init__(self, rig: Rig, action: Callable[[], None] = lambda: None) -> None:
        assert rig.switch is not None
        self.switch, self.action = rig.switch, action
        self.is_paused, self.resume = threading.Event(), threading.Event()

    def __enter__(self) -> PausedLoop:
        original = self.switch.dispatch

        def intercept(item: Any) -> None:
            if item is not self:
                return original(item)
            self.is_paused.set()
            assert self.resume.wait(TIMEOUT_S)
            self.action()

        setattr(self.switch, "dispatch", intercept)  # noqa: B010
        self.switch.shared.inbox.put(self)
        assert self.is_paused.wait(TIMEOUT_S)
        return self

    def __exit__(self, *_: object) -> None:
        self.resume.set()

    def wait_for_inbox(self, count: int) -> None:
        """Wait until at least `count` items are in the inbox."""
        wait_for(lambda: self.switch.shared.inbox.qsize() >= count)


def find_link(rig: Rig, caller: Peer) -> links.Link:
    """The softswitch's end of a caller's connection, once the loop has answered on it."""
    assert rig.switch is not None
    caller.send(Test(1))
    caller.receive(TestResult, 1)
    address = caller.sock.getsockname()
    return next(link for link in [*rig.switch.shared.caller_links] if link.sock.getpeername() == address)


def wait_for_state(link: links.Link, state: int) -> None:
    """Wait until the kernel has a connection in this TCP state."""

    def has_state() -> bool:
        try:
            return link.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == state
        except OSError:
            return True  # closed: its reader has ended already

    wait_for(has_state)


@contextlib.contextmanager
def wait_until_read(link: links.Link, count: int = 1) -> Iterator[None]:
    """On exit, wait until the reader has enqueued `count` messages that were sent in this context."""
    before = link._received
    yield
    wait_for(lambda: link._received >= before + count)


def find_server_link(rig: Rig, host: str) -> links.Link:
    """The softswitch's end of its connection to a server, once the server's first state report is read."""
    assert rig.switch is not None
    server = rig.switch.shared.servers[host]
    wait_for(lambda: server.link is not None and server.link._received > 0)
    assert server.link is not None
    return server.link


def collect_messages(prober: Peer, peer: Peer) -> list[Message]:
    """What a peer has received, once the loop has processed its inbox: loopback delivers at once.

    The loop has done so when it answers the test that `prober` sends.
    """
    prober.send(Test(2))
    prober.receive(TestResult, 2)
    peer.sock.settimeout(0)
    try:
        while data := peer.sock.recv(65536):
            peer.received += peer.splitter.feed(data)
    except BlockingIOError:
        pass
    peer.sock.settimeout(TIMEOUT_S)
    return peer.received


def set_up_calls(messages: list[Message]) -> list[int]:
    return [message.call for message in messages if isinstance(message, SetUp)]


# Callers that have left.


def close_connection(caller: Peer, link: links.Link, call: int) -> None:
    caller.sock.close()
    wait_for_state(link, CLOSE_WAIT)


def reset_connection(caller: Peer, link: links.Link, call: int) -> None:
    caller.reset()
    wait_for_state(link, CLOSED)


def release_call(caller: Peer, link: links.Link, call: int) -> None:
    with wait_until_read(link):
        caller.send(Release(call, Reason.CLEARED))


def close_after_burst(caller: Peer, link: links.Link, call: int) -> None:
    numbers = range(0xE00, 0xE00 + 2 * links.MAX_SHARES_AHEAD)
    # The reader pauses before the end of the connection, since its shares of the inbox are used up.
    caller.send(*(SetUp(number, "voice", 5000, "7", b"offer", first_choice=0) for number in numbers))
    caller.sock.close()
    wait_for_state(link, CLOSE_WAIT)


WAYS_TO_LEAVE = [close_connection, reset_connection, release_call, close_after_burst]


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_set_up_of_a_caller_that_left_while_it_was_queued_is_not_sent(
    connected: ConnectedRig, leave: Callable[..., None]
) -> None:
    rig, _, server_peer, caller = connected
    other = rig.caller()
    link, _ = find_link(rig, caller), find_link(rig, other)
    with PausedLoop(rig):
        with wait_until_read(link):
            call = rig.call(caller)
        leave(caller, link, call)
    assert set_up_calls(collect_messages(other, server_peer)) == []
    set_up_call(rig, server_peer, other)  # other callers are served


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_connection_made_after_the_caller_left_carries_no_set_up(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, leave: Callable[..., None]
) -> None:
    real_dial, dials = links.dial, list[Any]()
    monkeypatch.setattr(links, "dial", lambda *args: dials.append(args))
    server = Server()
    rig.open(list_line(server, "s-1"))
    caller, other = rig.caller(), rig.caller()
    link, _ = find_link(rig, caller), find_link(rig, other)
    call = rig.call(caller)
    assert rig.switch is not None
    known_server = rig.switch.shared.servers["s-1"]
    wait_for(lambda: len(known_server.waiting) == 1)
    with PausedLoop(rig) as paused:
        real_dial(*dials[0])
        server_peer = server.accept()
        paused.wait_for_inbox(1)
        leave(caller, link, call)
    assert set_up_calls(collect_messages(other, server_peer)) == []
    monkeypatch.setattr(links, "dial", real_dial)
    set_up_call(rig, server_peer, other)


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_refusal_that_crosses_the_callers_end_causes_no_further_attempt(
    rig: Rig, leave: Callable[..., None]
) -> None:
    servers = [Server(), Server()]
    rig.open(list_line(servers[0], "s-1", 0), list_line(servers[1], "s-2", 1))
    first, second, caller, other = servers[0].accept(), servers[1].accept(), rig.caller(), rig.caller()
    link, _ = find_link(rig, caller), find_link(rig, other)
    server_peer, _ = find_server_link(rig, "s-1"), find_server_link(rig, "s-2")
    call = rig.call(caller)
    first.receive(SetUp, call)
    with PausedLoop(rig):
        with wait_until_read(server_peer):
            first.send(Release(call, Reason.FULL, Note.OVERLOAD))
        leave(caller, link, call)
    assert set_up_calls(collect_messages(other, second)) == []
    assert set_up_calls(collect_messages(other, first)) == []


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("ending", [Release(0, Reason.INTERRUPTED), Release(0, Reason.FULL, Note.OVERLOAD)])
def test_retry_that_falls_due_before_the_callers_end_is_processed_is_not_sent(
    connected: ConnectedRig, ending: Release, leave: Callable[..., None]
) -> None:
    rig, _, server_peer, caller = connected
    other = rig.caller()
    link, _ = find_link(rig, caller), find_link(rig, other)
    call = rig.call(caller)
    server_peer.receive(SetUp, call)
    with wait_until_read(find_server_link(rig, "s-1")):
        # The retry waits: the line may be taken still, or the server has a skip mark.
        server_peer.send(Release(call, ending.reason, ending.note))
    assert set_up_calls(collect_messages(other, server_peer)) == []
    with PausedLoop(rig) as paused:
        for _ in range(2000):  # before the end in the inbox: timers run between these items
            paused.switch.shared.inbox.put(bulletin.ListUpdate(0, False, ()))
        leave(caller, link, call)
        due = time.monotonic() + 0.3  # longer than the release wait and the skip mark
        wait_for(lambda: time.monotonic() > due)
    assert call not in set_up_calls(collect_messages(other, server_peer))


def test_set_up_in_the_outbox_is_withdrawn_when_its_caller_leaves(connected: ConnectedRig) -> None:
    rig, _, server_peer, caller = connected
    other = rig.caller()
    find_link(rig, caller), find_link(rig, other)
    assert rig.switch is not None
    shared = rig.switch.shared
    shared.min_aim = 10**12  # no additional connection
    server_peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    known_server = shared.servers["s-1"]
    link = known_server.link
    assert link is not None
    while link.is_drained():
        link.write(codec.encode(Answer(1, b"x" * 4000)))  # until the server's receive buffer is full
    call = rig.call(caller)
    wait_for(lambda: call in known_server.attempts)
    caller.send(Release(call, Reason.CLEARED))
    late = rig.call(other)
    wait_for(lambda: late in known_server.attempts)
    assert server_peer.receive(SetUp).call == late


# A server that drains.


def test_connection_made_after_its_server_began_to_drain_carries_no_set_up(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_dial, dials = links.dial, list[Any]()
    monkeypatch.setattr(links, "dial", lambda *args: dials.append(args))
    server = Server()
    rig.open(list_line(server, "s-1"))
    caller = rig.caller()
    find_link(rig, caller)
    call = rig.call(caller)
    assert rig.switch is not None
    wait_for(lambda: len(rig.switch.shared.servers["s-1"].waiting) == 1 if rig.switch else False)
    rig.bulletin.publish(list_line(server, "s-1", health="Terminating"))
    wait_for(lambda: rig.switch is not None and not rig.switch.route.controller.active)
    real_dial(*dials[0])
    server_peer = server.accept()
    assert caller.receive(Release, call).reason is Reason.CONGESTED
    assert set_up_calls(collect_messages(caller, server_peer)) == []


# Closing of idle callers' connections.


@pytest.mark.parametrize("part", ["whole", "half", "in hand"])
def test_idle_connection_with_unprocessed_input_is_not_closed(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    rig, _, server_peer, caller = connected
    link = find_link(rig, caller)
    assert rig.switch is not None
    switch = rig.switch

    def close_idle() -> None:
        with monkeypatch.context() as now:
            now.setattr(module, "IDLE_TIMEOUT", -1)
            switch.close_idle_callers()
        may_continue.set()

    data = codec.encode(SetUp(0xF1, "voice", 5000, "7", b"offer", first_choice=0))
    was_read, may_continue = threading.Event(), threading.Event()
    feed = link.wire_codec.feed

    def delayed_feed(data: bytes) -> Iterator[Message]:
        was_read.set()
        assert may_continue.wait(TIMEOUT_S)
        return feed(data)

    with PausedLoop(rig, close_idle):
        if part == "whole":
            with wait_until_read(link):
                caller.sock.sendall(data)
        elif part == "in hand":
            # The reader has taken the bytes off the socket, and has not counted their message yet.
            monkeypatch.setattr(link.wire_codec, "feed", delayed_feed)
            caller.sock.sendall(data)
            assert was_read.wait(TIMEOUT_S)
        else:
            caller.sock.sendall(data[:9])
            wait_for(lambda: link._complete_by > 0)
    if part == "half":
        caller.sock.sendall(data[9:])
    server_peer.receive(SetUp, 0xF1)
    server_peer.send(Answer(0xF1, b"accept"))
    caller.receive(Answer, 0xF1)


# Turns of the loop, and their clock.


def test_turn_processes_at_most_16_items(connected: ConnectedRig) -> None:
    rig, _, _, caller = connected
    find_link(rig, caller)
    assert rig.switch is not None
    switch, processed, turns = rig.switch, 0, list[int]()
    real_dispatch, real_turn = switch.dispatch, switch.operation.turn

    def count_item(item: Any) -> None:
        nonlocal processed
        processed += 1
        real_dispatch(item)

    def count_turn() -> None:
        nonlocal processed
        turns.append(processed)
        processed = 0
        real_turn()

    setattr(switch.operation, "turn", count_turn)  # noqa: B010
    with PausedLoop(rig):
        setattr(switch, "dispatch", count_item)  # noqa: B010
        for _ in range(1000):
            switch.shared.inbox.put(bulletin.ListUpdate(0, False, ()))
    caller.send(Test(3))
    caller.receive(TestResult, 3)
    wait_for(lambda: sum(turns) >= 1000)
    assert max(turns) <= 16


def test_time_in_the_inbox_counts_against_the_deadline_of_a_call(connected: ConnectedRig) -> None:
    rig, _, server_peer, caller = connected
    link = find_link(rig, caller)
    assert rig.switch is not None
    with PausedLoop(rig):
        with wait_until_read(link):
            call = rig.call(caller, wait_ms=4000)
        received_by = time.monotonic_ns() // 1000
    server_peer.receive(SetUp, call)
    assert rig.switch.shared.open_calls[call].deadline <= received_by + 4_000_000 - take_in.ANSWER_MARGIN


def test_answer_to_an_attempt_that_was_just_given_up_is_not_forwarded(connected: ConnectedRig) -> None:
    rig, _, server_peer, caller = connected
    other = rig.caller()
    link, server_link = find_link(rig, caller), find_server_link(rig, "s-1")
    call = rig.call(caller)
    server_peer.receive(SetUp, call)
    with PausedLoop(rig):
        release_call(caller, link, call)
        with wait_until_read(server_link, 2):
            server_peer.send(
                Answer(call, b"accept"), Answer(call, b"again")
            )  # the second comes as a late repeat
    collect_messages(other, server_peer)
    server_peer.send(GroupState(0, LINES))
    assert not [message for message in collect_messages(other, caller) if isinstance(message, Answer)]
    assert server_peer.receive(Release, call).reason is Reason.CLEARED


# The stop of the softswitch.


@pytest.mark.parametrize("after_a_test", [False, True])
def test_set_up_received_just_before_the_stop_is_answered(
    connected: ConnectedRig, after_a_test: bool
) -> None:
    rig, _, server_peer, caller = connected
    link = find_link(rig, caller)
    assert rig.switch is not None
    switch = rig.switch

    def stop() -> None:
        switch.stop_requested = True  # MIN_STOP_TIME is 0 here: the loop may end right after this turn

    with PausedLoop(rig, stop), wait_until_read(link, 1 + after_a_test):
        if after_a_test:
            caller.send(Test(4))
        call = rig.call(caller)
    server_peer.receive(SetUp, call)
    server_peer.send(Answer(call, b"accept"))
    caller.receive(Answer, call)
    rig.thread.join(TIMEOUT_S)
    assert not rig.thread.is_alive()
