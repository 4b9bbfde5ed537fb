"""The bulletin's client against one that answers late, or not at all: the test answers its requests."""

from __future__ import annotations

import itertools
import socket
import threading
from collections.abc import Iterator
from queue import Queue

import pytest

from wickstep.net import bulletin, bulletin_connection
from wickstep.net.bulletin_connection import GRACE_FACTOR, MAX_GRACE_S, MIN_GRACE_S, AnswerTimes
from wickstep.recovery import jitter

from .test_softswitch import TIMEOUT_S, encode_list_answer, make_list_event


class Request:
    """A request of the client, with the connection on which it came."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(TIMEOUT_S)
        self.path = sock.recv(4096).split(b" ")[1].decode()

    def answer(self, *numbers: int) -> None:
        self.sock.sendall(encode_list_answer(max(numbers), [make_list_event(n, f"s-{n}") for n in numbers]))

    def next(self) -> Request:
        """The next request on the same connection."""
        return Request(self.sock)

    def is_closed_by_client(self) -> bool:
        return self.sock.recv(4096) == b""


class Rig:
    """A client that follows a bulletin, and the events that it has handed on."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(TIMEOUT_S)
        self.updates: Queue[int] = Queue()
        address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.client = bulletin.Client(address, 0, lambda update: self.updates.put(update.number))

    def accept(self) -> Request:
        return Request(self.listener.accept()[0])

    def next_update(self) -> int:
        return self.updates.get(timeout=TIMEOUT_S)


@pytest.fixture
def rig(monkeypatch: pytest.MonkeyPatch, request: pytest.FixtureRequest) -> Iterator[Rig]:
    """The answers to the first requests, so many as the test is given, are overdue after 70 ms."""
    overdue_holds_ms = itertools.repeat(20, request.param)
    monkeypatch.setattr(jitter, "draw_list_hold_ms", lambda random: next(overdue_holds_ms, 10**6))
    monkeypatch.setattr(bulletin_connection, "MIN_GRACE_S", 0.05)
    new_rig = Rig()
    new_rig.client.start()
    yield new_rig
    setattr(new_rig.client, "poll_once", threading.Event().wait)  # noqa: B010  # its thread ends with the process
    new_rig.client.change_address("127.0.0.1:9")


@pytest.mark.parametrize("rig", [1], indirect=True)
def test_a_late_answer_is_news(rig: Rig) -> None:
    """Guards against a drain that is never heard of: each request was given up before its answer came."""
    first = rig.accept()
    second = rig.accept()  # asked on another connection, since the first one may be dead
    first.answer(1)
    assert rig.next_update() == 1
    assert first.is_closed_by_client()
    second.answer(1, 2)
    assert rig.next_update() == 2  # what came twice is applied once
    assert second.next().path.startswith("/bulletins?after=2&")


@pytest.mark.parametrize("rig", [1], indirect=True)
def test_a_slow_bulletin_is_waited_for_as_its_own_answers_show(rig: Rig) -> None:
    """Guards against a slow bulletin that is asked twice at once, time after time."""
    first, _second = rig.accept(), rig.accept()
    first.answer(1)
    assert rig.next_update() == 1
    assert rig.client.answer_times.grace_s > bulletin_connection.MIN_GRACE_S


@pytest.mark.parametrize("rig", [4], indirect=True)
def test_a_dead_connection_is_noticed_though_a_late_answer_is_waited_for(rig: Rig) -> None:
    """Guards against connections without number, and against a bulletin that is not heard when it is back."""
    first = rig.accept()
    for _ in range(3):
        assert rig.accept().is_closed_by_client()
    rig.accept().answer(1)
    assert rig.next_update() == 1
    first.answer(1, 2)
    assert rig.next_update() == 2


@pytest.mark.parametrize("rig", [1], indirect=True)
def test_a_change_of_address_ends_the_wait_for_a_late_answer(rig: Rig) -> None:
    """Guards against news from a bulletin that is not followed any more."""
    first, second = rig.accept(), rig.accept()
    new_listener = socket.create_server(("127.0.0.1", 0))
    new_listener.settimeout(TIMEOUT_S)
    rig.client.change_address(f"127.0.0.1:{new_listener.getsockname()[1]}")
    assert first.is_closed_by_client()
    assert second.is_closed_by_client()
    Request(new_listener.accept()[0]).answer(1)
    assert rig.next_update() == 1


def test_the_wait_follows_the_lateness_of_recent_answers() -> None:
    times = AnswerTimes()
    assert times.grace_s == MIN_GRACE_S
    times.note(took_s=6.0, hold_s=2.0)
    assert times.grace_s == GRACE_FACTOR * 4.0
    times.note(took_s=2.0, hold_s=2.0)
    assert MIN_GRACE_S < times.grace_s < GRACE_FACTOR * 4.0
    for _ in range(100):
        times.note(took_s=2.0, hold_s=2.0)
    assert times.grace_s == MIN_GRACE_S
    times.note(took_s=60.0, hold_s=2.0)
    assert times.grace_s == MAX_GRACE_S
