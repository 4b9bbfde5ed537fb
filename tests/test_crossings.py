"""Two events that cross, forced by order: the loop, a dial or an answer is held until the other is there.

What has arrived is told by the kernel or by a queue's length, never by a wait that is hoped to be enough.
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
)
from wickstep.net import softswitch as module

from .test_softswitch import (
    LINES,
    TIMEOUT_S,
    One,
    Peer,
    Rig,
    Server,
    list_line,
    one,
    rig,
    set_up_call,
    wait_for,
)

__all__ = ["one", "rig"]  # fixtures

CLOSED, CLOSE_WAIT = 7, 8  # what TCP_INFO calls a connection that was reset, and one whose peer has closed


class PausedLoop:
    """Holds the loop between two of the things it deals with; `then` is done by it before it goes on."""

    def __init__(self, rig: Rig, then: Callable[[], None] = lambda: None) -> None:
        assert rig.switch is not None
        self.switch, self.then = rig.switch, then
        self.here, self.go = threading.Event(), threading.Event()

    def __enter__(self) -> PausedLoop:
        real = self.switch.dispatch

        def deal(item: Any) -> None:
            if item is not self:
                return real(item)
            self.here.set()
            assert self.go.wait(TIMEOUT_S)
            self.then()

        setattr(self.switch, "dispatch", deal)  # noqa: B010
        self.switch.shared.inbox.put(self)
        assert self.here.wait(TIMEOUT_S)
        return self

    def __exit__(self, *_: object) -> None:
        self.go.set()

    def waiting(self, count: int) -> None:
        """Wait until so much waits for the loop."""
        wait_for(lambda: self.switch.shared.inbox.qsize() >= count)


def link_of(rig: Rig, caller: Peer) -> links.Link:
    """The softswitch's end of a caller's connection, once the loop knows it."""
    assert rig.switch is not None
    caller.say(Test(1))
    caller.hear(TestResult, 1)
    here = caller.sock.getsockname()
    return next(link for link in [*rig.switch.shared.caller_links] if link.sock.getpeername() == here)


def reached(link: links.Link, state: int) -> None:
    """Wait until the kernel has the peer's end of a connection."""

    def there() -> bool:
        try:
            return link.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == state
        except OSError:
            return True  # its reader has come to the end already

    wait_for(there)


@contextlib.contextmanager
def heard(link: links.Link, count: int = 1) -> Iterator[None]:
    """What is said in this context is read by the softswitch's thread before it is left."""
    before = link._received
    yield
    wait_for(lambda: link._received >= before + count)


def trunk_of(rig: Rig, host: str) -> links.Link:
    """The softswitch's end of its connection to a server, once the greeting is read."""
    assert rig.switch is not None
    server = rig.switch.shared.servers[host]
    wait_for(lambda: server.link is not None and server.link._received > 0)
    assert server.link is not None
    return server.link


def settled(fence: Peer, peer: Peer) -> list[Message]:
    """What a peer was told, once the loop has dealt with all that was there: loopback delivers at once."""
    fence.say(Test(2))
    fence.hear(TestResult, 2)
    peer.sock.settimeout(0)
    try:
        while data := peer.sock.recv(65536):
            peer.read += peer.splitter.feed(data)
    except BlockingIOError:
        pass
    peer.sock.settimeout(TIMEOUT_S)
    return peer.read


def set_ups(messages: list[Message]) -> list[int]:
    return [message.call for message in messages if isinstance(message, SetUp)]


# A caller that has left.


def closes(caller: Peer, link: links.Link, call: int) -> None:
    caller.sock.close()
    reached(link, CLOSE_WAIT)


def resets(caller: Peer, link: links.Link, call: int) -> None:
    caller.reset()
    reached(link, CLOSED)


def gives_up(caller: Peer, link: links.Link, call: int) -> None:
    with heard(link):
        caller.say(Release(call, Reason.CLEARED))


def closes_behind_more(caller: Peer, link: links.Link, call: int) -> None:
    numbers = range(0xE00, 0xE00 + 2 * links.MAX_SHARES_AHEAD)
    # The reader stops short of the end: so much waits for the loop.
    caller.say(*(SetUp(number, "voice", 5000, "7", b"offer", first_choice=0) for number in numbers))
    caller.sock.close()
    reached(link, CLOSE_WAIT)


LEAVING = [closes, resets, gives_up, closes_behind_more]


@pytest.mark.parametrize("leaves", LEAVING)
def test_a_caller_that_left_while_its_set_up_was_in_the_queue_is_not_sent_on(
    one: One, leaves: Callable[..., None]
) -> None:
    rig, _, trunk, caller = one
    other = rig.caller()
    link, _ = link_of(rig, caller), link_of(rig, other)
    with PausedLoop(rig):
        with heard(link):
            call = rig.call(caller)
        leaves(caller, link, call)
    assert set_ups(settled(other, trunk)) == []
    set_up_call(rig, trunk, other)  # and nobody else is hurt


@pytest.mark.parametrize("leaves", LEAVING)
def test_a_dial_that_comes_up_just_after_the_caller_left_carries_nothing(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, leaves: Callable[..., None]
) -> None:
    real, dials = links.dial, list[Any]()
    monkeypatch.setattr(links, "dial", lambda *about: dials.append(about))
    server = Server()
    rig.open(list_line(server, "s-1"))
    caller, other = rig.caller(), rig.caller()
    link, _ = link_of(rig, caller), link_of(rig, other)
    call = rig.call(caller)
    assert rig.switch is not None
    known = rig.switch.shared.servers["s-1"]
    wait_for(lambda: len(known.waiting) == 1)
    with PausedLoop(rig) as held:
        real(*dials[0])
        trunk = server.accept()
        held.waiting(1)
        leaves(caller, link, call)
    assert set_ups(settled(other, trunk)) == []
    monkeypatch.setattr(links, "dial", real)
    set_up_call(rig, trunk, other)


@pytest.mark.parametrize("leaves", LEAVING)
def test_a_refusal_that_crosses_the_callers_end_brings_no_further_attempt(
    rig: Rig, leaves: Callable[..., None]
) -> None:
    servers = [Server(), Server()]
    rig.open(list_line(servers[0], "s-1", 0), list_line(servers[1], "s-2", 1))
    first, second, caller, other = servers[0].accept(), servers[1].accept(), rig.caller(), rig.caller()
    link, _ = link_of(rig, caller), link_of(rig, other)
    trunk, _ = trunk_of(rig, "s-1"), trunk_of(rig, "s-2")
    call = rig.call(caller)
    first.hear(SetUp, call)
    with PausedLoop(rig):
        with heard(trunk):
            first.say(Release(call, Reason.FULL, Note.OVERLOAD))
        leaves(caller, link, call)
    assert set_ups(settled(other, second)) == []
    assert set_ups(settled(other, first)) == []


@pytest.mark.parametrize("leaves", LEAVING)
@pytest.mark.parametrize("ending", [Release(0, Reason.INTERRUPTED), Release(0, Reason.FULL, Note.OVERLOAD)])
def test_a_pause_or_a_mark_that_ends_before_the_callers_end_is_heard_brings_no_attempt(
    one: One, ending: Release, leaves: Callable[..., None]
) -> None:
    rig, _, trunk, caller = one
    other = rig.caller()
    link, _ = link_of(rig, caller), link_of(rig, other)
    call = rig.call(caller)
    trunk.hear(SetUp, call)
    with heard(trunk_of(rig, "s-1")):
        trunk.say(Release(call, ending.reason, ending.note))  # its line may be taken still; or it is marked
    assert set_ups(settled(other, trunk)) == []
    with PausedLoop(rig) as held:
        for _ in range(2000):  # ahead of the end that is to come: timers have their turn between them
            held.switch.shared.inbox.put(bulletin.ListUpdate(0, False, ()))
        leaves(caller, link, call)
        over = time.monotonic() + 0.3  # the pause, and the mark
        wait_for(lambda: time.monotonic() > over)
    assert call not in set_ups(settled(other, trunk))


def test_a_set_up_that_waits_for_a_server_to_read_is_taken_back_when_its_caller_leaves(one: One) -> None:
    rig, _, trunk, caller = one
    other = rig.caller()
    link_of(rig, caller), link_of(rig, other)
    assert rig.switch is not None
    shared = rig.switch.shared
    shared.min_aim = 10**12  # no connection beside this one
    trunk.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    known = shared.servers["s-1"]
    link = known.link
    assert link is not None
    while link.is_drained():
        link.write(codec.encode(Answer(1, b"x" * 4000)))  # until the server's end is full
    call = rig.call(caller)
    wait_for(lambda: call in known.attempts)
    caller.say(Release(call, Reason.CLEARED))
    late = rig.call(other)
    wait_for(lambda: late in known.attempts)
    assert trunk.hear(SetUp).call == late


# A server that was told to go.


def test_a_dial_that_comes_up_after_the_news_of_a_drain_carries_nothing(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    real, dials = links.dial, list[Any]()
    monkeypatch.setattr(links, "dial", lambda *about: dials.append(about))
    server = Server()
    rig.open(list_line(server, "s-1"))
    caller = rig.caller()
    link_of(rig, caller)
    call = rig.call(caller)
    assert rig.switch is not None
    wait_for(lambda: len(rig.switch.shared.servers["s-1"].waiting) == 1 if rig.switch else False)
    rig.bulletin.tell(list_line(server, "s-1", health="Terminating"))
    wait_for(lambda: rig.switch is not None and not rig.switch.route.controller.active)
    real(*dials[0])
    trunk = server.accept()
    assert caller.hear(Release, call).reason is Reason.CONGESTED
    assert set_ups(settled(caller, trunk)) == []


# A caller's connection that is closed from this side.


@pytest.mark.parametrize("part", ["whole", "half", "in hand"])
def test_an_idle_connection_is_not_closed_over_what_has_just_come_on_it(
    one: One, monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    rig, _, trunk, caller = one
    link = link_of(rig, caller)
    assert rig.switch is not None
    switch = rig.switch

    def tidy() -> None:
        with monkeypatch.context() as now:
            now.setattr(module, "IDLE_TIMEOUT", -1)
            switch.close_idle_callers()
        go_on.set()

    data = codec.encode(SetUp(0xF1, "voice", 5000, "7", b"offer", first_choice=0))
    read, go_on = threading.Event(), threading.Event()
    feed = link.wire_codec.feed

    def late(data: bytes) -> Iterator[Message]:
        read.set()
        assert go_on.wait(TIMEOUT_S)
        return feed(data)

    with PausedLoop(rig, tidy):
        if part == "whole":
            with heard(link):
                caller.sock.sendall(data)
        elif part == "in hand":
            monkeypatch.setattr(link.wire_codec, "feed", late)  # the reader has it, and nobody knows yet
            caller.sock.sendall(data)
            assert read.wait(TIMEOUT_S)
        else:
            caller.sock.sendall(data[:9])
            wait_for(lambda: link._complete_by > 0)
    if part == "half":
        caller.sock.sendall(data[9:])
    trunk.hear(SetUp, 0xF1)
    trunk.say(Answer(0xF1, b"accept"))
    caller.hear(Answer, 0xF1)


# The clock of a turn.


def test_a_turn_is_short_however_much_waits(one: One) -> None:
    rig, _, _, caller = one
    link_of(rig, caller)
    assert rig.switch is not None
    switch, dealt, turns = rig.switch, 0, list[int]()
    real_deal, real_turn = switch.dispatch, switch.operation.turn

    def deal(item: Any) -> None:
        nonlocal dealt
        dealt += 1
        real_deal(item)

    def turn() -> None:
        nonlocal dealt
        turns.append(dealt)
        dealt = 0
        real_turn()

    setattr(switch.operation, "turn", turn)  # noqa: B010
    with PausedLoop(rig):
        setattr(switch, "dispatch", deal)  # noqa: B010
        for _ in range(1000):
            switch.shared.inbox.put(bulletin.ListUpdate(0, False, ()))
    caller.say(Test(3))
    caller.hear(TestResult, 3)
    wait_for(lambda: sum(turns) >= 1000)
    assert max(turns) <= 16


def test_a_call_that_waited_for_the_loop_has_so_much_less_time_left(one: One) -> None:
    rig, _, trunk, caller = one
    link = link_of(rig, caller)
    assert rig.switch is not None
    with PausedLoop(rig):
        with heard(link):
            call = rig.call(caller, wait_ms=4000)
        come = time.monotonic_ns() // 1000
    trunk.hear(SetUp, call)
    assert rig.switch.shared.open_calls[call].deadline <= come + 4_000_000 - module.ANSWER_MARGIN


def test_an_answer_to_an_attempt_that_was_just_given_up_goes_to_nobody(one: One) -> None:
    rig, _, trunk, caller = one
    other = rig.caller()
    link, back = link_of(rig, caller), trunk_of(rig, "s-1")
    call = rig.call(caller)
    trunk.hear(SetUp, call)
    with PausedLoop(rig):
        gives_up(caller, link, call)
        with heard(back, 2):
            trunk.say(Answer(call, b"accept"), Answer(call, b"again"))  # the second some moments late
    settled(other, trunk)
    trunk.say(GroupState(0, LINES))
    assert not [message for message in settled(other, caller) if isinstance(message, Answer)]
    assert trunk.hear(Release, call).reason is Reason.CLEARED


# The end of the process.


@pytest.mark.parametrize("behind", [False, True])
def test_what_came_just_before_the_end_is_answered_before_it(one: One, behind: bool) -> None:
    rig, _, trunk, caller = one
    link = link_of(rig, caller)
    assert rig.switch is not None
    switch = rig.switch

    def stop() -> None:
        switch.stop_requested = True  # with no notice here: the loop may end right after this turn

    with PausedLoop(rig, stop), heard(link, 1 + behind):
        if behind:
            caller.say(Test(4))
        call = rig.call(caller)
    trunk.hear(SetUp, call)
    trunk.say(Answer(call, b"accept"))
    caller.hear(Answer, call)
    rig.thread.join(TIMEOUT_S)
    assert not rig.thread.is_alive()
