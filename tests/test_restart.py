"""Calls that outlive the start of their softswitch: their releases are passed on whenever they come.

The softswitch starts from nothing, so it knows none of these calls; their callers and servers do. Unit tests
of what limits such releases stand at the end.
"""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickstep.net import Answer, Reason, Release, ReleaseComplete, SetUp, codec, softswitch
from wickstep.net.call_ids import WAYS, CallIdCache
from wickstep.net.release_queue import ReleaseQueue
from wickstep.net.units import MS, NS_PER_US, SECOND
from wickstep.net.unknown_calls import MAX_WAITING, SERVER_BURST
from wickstep.operation import handover
from wickstep.operation.process_group import HandoverReceived

from .test_crossings import PausedLoop
from .test_softswitch import ConnectedRig, Rig, Server, connected, list_line, rig, set_up_call, wait_for

__all__ = ["connected", "rig"]  # fixtures

OLD_CALL = 0xBEEF  # set up before the start
HOUR = 3600 * SECOND


def let_start_be_an_hour_ago(rig: Rig) -> None:
    assert rig.switch is not None
    rig.switch.shared.started_at -= HOUR


def forget_recent_ends(rig: Rig) -> None:
    """As after ENDED_CALL_RETENTION."""
    assert rig.switch is not None
    rig.switch.book.ended_calls.clear()


def forget_past_ids(rig: Rig) -> None:
    """As after so many further calls that their ids have displaced all before them."""
    assert rig.switch is not None
    forget_recent_ends(rig)
    rig.switch.book.past_ids = CallIdCache(1)


def test_release_of_a_call_that_outlives_a_restart_by_an_hour_reaches_its_caller(
    connected: ConnectedRig,
) -> None:
    """Guards against callers that hold a dead call for ever: 30 s after a start no release reached them."""
    rig, _, server_peer, caller = connected
    set_up_call(rig, server_peer, caller)
    let_start_be_an_hour_ago(rig)
    server_peer.send(Release(OLD_CALL, Reason.CLEARED))
    assert server_peer.receive(ReleaseComplete, OLD_CALL)
    assert caller.receive(Release, OLD_CALL).reason is Reason.CLEARED


def test_every_release_of_thousands_of_calls_from_before_a_restart_reaches_its_caller(
    connected: ConnectedRig,
) -> None:
    """Guards against dead calls after a restart under many calls: from the 2,001st on they were dropped."""
    rig, _, server_peer, caller = connected
    set_up_call(rig, server_peer, caller)
    old_calls = {*range(OLD_CALL, OLD_CALL + 2500)}
    for call in old_calls:
        server_peer.send(Release(call, Reason.CLEARED))
    for _ in range(len(old_calls)):
        old_calls.remove(caller.receive(Release).call)
    assert not old_calls


def test_releases_of_calls_from_before_a_restart_wait_for_the_first_caller(connected: ConnectedRig) -> None:
    rig, _, server_peer, caller = connected
    old_calls = [*range(OLD_CALL, OLD_CALL + 1500)]  # more than the releases that wait for a lost connection
    for call in old_calls:
        server_peer.send(Release(call, Reason.CLEARED))
    server_peer.receive(ReleaseComplete, old_calls[-1])
    rig.call(caller)
    assert sorted(caller.receive(Release).call for _ in old_calls) == old_calls


def test_release_repeated_long_after_the_end_of_its_call_is_not_passed_on(connected: ConnectedRig) -> None:
    rig, _, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    server_peer.send(Release(call, Reason.CLEARED))
    caller.receive(Release, call)
    forget_recent_ends(rig)
    server_peer.send(Release(call, Reason.CLEARED), Release(OLD_CALL, Reason.CLEARED))
    assert caller.receive(Release).call == OLD_CALL
    assert rig.switch is not None
    assert rig.switch.shared.counters["strays"] == 1


@pytest.mark.parametrize("loss", ["no answer", "reset"])
def test_late_end_of_a_lost_attempt_is_no_second_answer_to_its_caller(rig: Rig, loss: str) -> None:
    """The call was answered as failed, yet stands at a server that never read its release."""
    server = Server()
    rig.open(list_line(server, "s-1"), probes=False)
    server_peer, caller = server.accept(), rig.caller()
    call = rig.call(caller, wait_ms=300)
    server_peer.receive(SetUp, call)
    if loss == "reset":
        server_peer.reset()
        server_peer = server.accept()
    assert caller.receive(Release, call).reason is not Reason.CLEARED
    forget_past_ids(rig)
    server_peer.send(Answer(call, b"accept"), Release(call, Reason.CLEARED))
    server_peer.send(Release(OLD_CALL, Reason.CLEARED))
    assert caller.receive(Release).call == OLD_CALL


def test_flood_of_repeated_releases_delays_no_other_servers_release(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    flooding, other = Server(), Server()
    rig.open(list_line(flooding, "s-1"), list_line(other, "s-2", 1))
    flooding_peer, other_peer, caller = flooding.accept(), other.accept(), rig.caller()
    set_up_call(rig, flooding_peer, caller)
    assert rig.switch is not None
    queue = rig.switch.relay.unknown_calls.to_callers
    monkeypatch.setattr(queue, "_tokens", 0.0)
    monkeypatch.setattr(queue, "_rate", 1e-6)
    flood = [*range(1 << 32, (1 << 32) + 6000)]
    for call in flood:
        flooding_peer.send(Release(call, Reason.CLEARED))
    flooding_peer.receive(ReleaseComplete, flood[-1])
    other_peer.send(Release(OLD_CALL, Reason.CLEARED))
    other_peer.receive(ReleaseComplete, OLD_CALL)
    counters = rig.switch.shared.counters
    wait_for(lambda: counters["releases_unknown_dropped"] == len(flood) + 1 - MAX_WAITING)
    monkeypatch.setattr(queue, "_tokens", 2.0)
    rig.call(rig.caller())
    assert OLD_CALL in [caller.receive(Release).call for _ in range(2)]


def test_hang_up_of_a_call_that_outlives_a_restart_by_an_hour_reaches_its_server(
    connected: ConnectedRig,
) -> None:
    """Guards against calls that go on at their server after the caller has hung up: 30 s after a start the
    caller's release was confirmed and reached nobody."""
    rig, _, server_peer, caller = connected
    let_start_be_an_hour_ago(rig)
    caller.send(Release(OLD_CALL, Reason.CLEARED))
    assert caller.receive(ReleaseComplete, OLD_CALL)
    assert server_peer.receive(Release, OLD_CALL).reason is Reason.CLEARED


def test_made_up_releases_of_one_caller_delay_no_others_hang_up(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first thousands are passed on at once; then hang-ups of all callers were dropped."""
    rig, _, server_peer, caller = connected
    other_caller = rig.caller()
    assert rig.switch is not None
    queue = rig.switch.relay.unknown_calls.to_servers
    monkeypatch.setattr(queue, "_rate", 1e-6)
    made_up = [*range(1 << 32, (1 << 32) + 3000)]
    for call in made_up:
        caller.send(Release(call, Reason.CLEARED))
    wait_for(lambda: len(queue) == len(made_up) - SERVER_BURST)
    other_caller.send(Release(OLD_CALL, Reason.CLEARED))
    wait_for(lambda: len(queue) == len(made_up) - SERVER_BURST + 1)
    monkeypatch.setattr(queue, "_tokens", 2.0)
    caller.send(Release(1 << 40, Reason.CLEARED))
    passed_on = [server_peer.receive(Release).call for _ in range(SERVER_BURST + 2)]
    assert OLD_CALL in passed_on[-2:]


def test_release_to_a_caller_does_not_wait_for_the_slower_queue_of_hang_ups(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig, _, server_peer, caller = connected
    assert rig.switch is not None
    unknown_calls = rig.switch.relay.unknown_calls
    for queue, burst, rate in ((unknown_calls.to_servers, 0.0, 1e-6), (unknown_calls.to_callers, 1.0, 10.0)):
        monkeypatch.setattr(queue, "_burst", burst)
        monkeypatch.setattr(queue, "_tokens", burst)
        monkeypatch.setattr(queue, "_rate", rate)
    caller.send(Release(OLD_CALL, Reason.CLEARED))
    wait_for(lambda: len(unknown_calls.to_servers) == 1)  # for as good as ever
    server_peer.send(Release(OLD_CALL + 1, Reason.CLEARED), Release(OLD_CALL + 2, Reason.CLEARED))
    assert caller.receive(Release).call == OLD_CALL + 1
    assert caller.receive(Release).call == OLD_CALL + 2  # once a tenth of a second has passed


def test_hang_up_before_a_server_is_connected_reaches_it_once_it_is(connected: ConnectedRig) -> None:
    """Connections to servers come up during the first half second after a start: callers may be earlier."""
    rig, _, server_peer, caller = connected
    caller.send(Release(OLD_CALL, Reason.CLEARED))
    server_peer.receive(Release, OLD_CALL)
    late, new = Server(), Server()
    rig.bulletin.publish(list_line(late, "s-2", 1))
    assert late.accept().receive(Release, OLD_CALL).reason is Reason.CLEARED
    born_ms = time.time_ns() // 1_000_000 + 1000  # after the start: no call of before can stand there
    rig.bulletin.publish(list_line(new, "s-3", 1, born_ms=born_ms))
    new_peer = new.accept()
    wait_for(lambda: rig.switch is not None and rig.switch.shared.servers["s-3"].link is not None)
    caller.send(Release(OLD_CALL + 1, Reason.CLEARED))
    assert new_peer.receive(Release).call == OLD_CALL + 1


def let_hours_pass(monkeypatch: pytest.MonkeyPatch) -> None:
    """Set the loop's clock forward. Other threads keep theirs, so that a set-up that comes then is late."""
    shifted = SimpleNamespace(**vars(time))
    shifted.monotonic_ns = lambda: time.monotonic_ns() + 2 * HOUR * NS_PER_US
    monkeypatch.setattr(softswitch, "time", shifted)


def receive_handover(rig: Rig, *standing: int) -> None:
    """The record of an earlier process is there: these calls stand at s-1."""
    assert rig.switch is not None
    content = handover.encode(handover.Handover(dict.fromkeys(standing, "s-1")))
    rig.switch.shared.inbox.put(HandoverReceived(content))
    wait_for(lambda: rig.switch is not None and standing[-1] in rig.switch.shared.inherited_calls)


def test_caller_of_a_call_older_than_an_upgrade_by_hours_is_told_when_its_server_goes(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers that hold a dead call: at an upgrade an hour later the process forgot them."""
    rig, server, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    receive_handover(rig, OLD_CALL)
    let_hours_pass(monkeypatch)
    assert rig.switch is not None
    shared = rig.switch.shared
    wait_for(lambda: shared.now > shared.started_at + HOUR)
    receive_handover(rig, OLD_CALL + 1)
    rig.bulletin.publish(list_line(server, "s-1", health="Gone"))
    assert {caller.receive(Release).call for _ in range(3)} == {OLD_CALL, OLD_CALL + 1, call}


class RecordingGroup:
    """Stand-in for the processes of a softswitch: there is no other, and the record is kept."""

    others: tuple[()] = ()

    def __init__(self) -> None:
        self.records: list[Any] = []

    def announce_ready(self) -> None:
        pass

    def has_successor(self) -> bool:
        return False

    def leave(self, content: Any) -> None:
        self.records.append(content)


def test_second_upgrade_in_a_row_hands_on_the_calls_of_the_first(connected: ConnectedRig) -> None:
    """Guards against callers that hold a dead call: only the calls that the process had set up were left."""
    rig, _, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    receive_handover(rig, OLD_CALL)
    assert rig.switch is not None
    group = RecordingGroup()
    setattr(rig.switch.operation, "group", group)  # noqa: B010
    rig.stop()
    record = handover.decode(group.records[0])
    assert record.standing == {call: "s-1", OLD_CALL: "s-1"}
    assert record.releases == []


def test_releases_that_wait_for_a_caller_are_left_to_the_successor(connected: ConnectedRig) -> None:
    rig, _, server_peer, _ = connected
    server_peer.send(Release(OLD_CALL, Reason.CLEARED))
    server_peer.receive(ReleaseComplete, OLD_CALL)
    assert rig.switch is not None
    group = RecordingGroup()
    setattr(rig.switch.operation, "group", group)  # noqa: B010
    rig.stop()
    assert handover.decode(group.records[0]) == handover.Handover({}, [(OLD_CALL, Reason.CLEARED)], [], [])


def test_server_whose_messages_wait_for_the_loop_is_not_closed_over_an_unread_rest(
    connected: ConnectedRig,
) -> None:
    """Guards against the loss of set-ups in flight when a server repeats its releases after a restart: the
    rest of a message was not read while others waited, and the connection was closed for its absence."""
    rig, _, server_peer, caller = connected
    set_up_call(rig, server_peer, caller)
    assert rig.switch is not None
    link = rig.switch.shared.servers["s-1"].link
    assert link is not None
    link.message_timeout_ms = 1
    with PausedLoop(rig):
        whole = b"".join(codec.encode(Release(OLD_CALL + n, Reason.CLEARED)) for n in range(20))
        last = codec.encode(Release(OLD_CALL + 20, Reason.CLEARED))
        server_peer.sock.sendall(whole + last[:5])
        wait_for(link.is_backlogged)
        passes_left = [2]  # the first may have begun before the data came
        close_if_overdue = link.close_if_overdue

        def count_pass() -> bool:
            has_ended = close_if_overdue()
            passes_left[0] -= 1
            return has_ended

        setattr(link, "close_if_overdue", count_pass)  # noqa: B010
        wait_for(lambda: passes_left[0] <= 0)
        link.message_timeout_ms = 10_000
        wait_for(lambda: passes_left[0] <= -2)
        server_peer.sock.sendall(last[5:])
    assert server_peer.receive(ReleaseComplete, OLD_CALL + 20)
    set_up_call(rig, server_peer, caller)


@pytest.mark.parametrize("origin", ["set up here", "handed over", "unknown"])
def test_hang_up_that_finds_no_connection_reaches_the_server_on_the_next(
    connected: ConnectedRig, origin: str
) -> None:
    """Guards against calls that go on at their server after the caller has hung up."""
    rig, server, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    if origin != "set up here":
        call = OLD_CALL
    if origin == "handed over":
        receive_handover(rig, call)
    assert rig.switch is not None
    inbox = rig.switch.shared.inbox
    with PausedLoop(rig):
        server_peer.reset()
        wait_for(lambda: inbox.qsize() == 1)
        caller.send(Release(call, Reason.CLEARED))
        wait_for(lambda: inbox.qsize() == 2)
    assert server.accept().receive(Release, call).reason is Reason.CLEARED


# Units.


def release(call: int) -> Release:
    return Release(call, Reason.CLEARED)


def calls(releases: list[Release]) -> list[int]:
    return [item.call for item in releases]


def test_queue_passes_releases_on_at_its_rate_after_a_burst() -> None:
    queue = ReleaseQueue(rate=100, burst=3, max_waiting=50, now=0)
    for call in range(1, 11):
        assert queue.add("a", release(call))
    assert calls(queue.take(0, 2)) == [10, 9]  # the newest first
    assert calls(queue.take(0, 9)) == [8]
    assert queue.take(9 * MS, 9) == []
    assert queue.next_due(9 * MS) == 10 * MS
    assert calls(queue.take(10 * MS, 9)) == [7]
    assert calls(queue.take(SECOND, 9)) == [6, 5, 4]  # no more than a burst after a pause
    assert len(queue) == 3


def test_queue_serves_its_sources_in_turn_and_drops_from_the_longest() -> None:
    queue = ReleaseQueue(rate=1, burst=4, max_waiting=6, now=0)
    for call in range(1, 6):
        queue.add("a", release(call))
    assert queue.add("b", release(11))
    assert not queue.add("b", release(12))  # full: the oldest of "a" goes
    assert sorted(calls([*queue])) == [2, 3, 4, 5, 11, 12]
    assert calls(queue.take(0, 9)) == [5, 12, 4, 11]


@given(st.lists(st.integers(1, 2**64 - 1) | st.integers(1, 200), max_size=300), st.integers(0, 100))
def test_cache_finds_the_last_ids_of_each_set_and_none_that_was_not_added(
    ids: list[int], capacity: int
) -> None:
    cache, set_count = CallIdCache(capacity), max(capacity // WAYS, 1)
    last_by_set: dict[int, list[int]] = {}
    for call_id in ids:
        cache.add(call_id)
        last = last_by_set.setdefault(call_id % set_count, [])
        if call_id not in last[-WAYS:]:
            last.append(call_id)
    kept = {call_id for last in last_by_set.values() for call_id in last[-WAYS:]}
    assert all(call_id in cache for call_id in kept)
    assert not any(call_id in cache for call_id in {*ids, *range(200)} - kept)
