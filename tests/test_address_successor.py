"""A new process at the address of a setup server that is gone, before the list tells either."""

from __future__ import annotations

import time

import pytest

from wickstep.net import Answer, GroupState, Reason, Release, SetUp

from .test_softswitch import (
    LINES,
    ConnectedRig,
    Peer,
    Rig,
    Server,
    connected,
    counter,
    list_line,
    replace_connection,
    rig,
    server_state,
    set_up_call,
    wait_for,
)

__all__ = ["connected", "rig"]  # fixtures


def replace_process(rig: Rig, server: Server, peer: Peer) -> tuple[Peer, int]:
    """The process of s-1 ends and another one takes its address; its connection, and its start in Unix ms."""
    peer.reset()
    started_ms = time.time_ns() // 1_000_000
    state = server_state(rig)
    new_peer = server.accept()
    wait_for(lambda: state.link is not None and state.link.has_spoken)
    return new_peer, started_ms


@pytest.mark.parametrize("order", ["together", "the new one first"])
def test_calls_of_a_new_process_go_on_when_the_list_tells_of_it(connected: ConnectedRig, order: str) -> None:
    """Guards against callers told that their call is over, which stands at a process that is well."""
    rig, server, peer, caller = connected
    old_call = set_up_call(rig, peer, caller)
    new_peer, started_ms = replace_process(rig, server, peer)
    standing = set_up_call(rig, new_peer, caller)
    in_flight = rig.call(caller)
    new_peer.receive(SetUp, in_flight)
    gone, ready = list_line(server, "s-1", health="Gone"), list_line(server, "s-2", 0, born_ms=started_ms)
    if order == "together":
        rig.bulletin.publish(gone, ready)
    else:
        rig.bulletin.publish(ready)
        own_peer = server.accept()
        wait_for(lambda: server_state(rig, "s-2").link is not None)
        rig.bulletin.publish(gone)
    assert caller.receive(Release, old_call).reason is Reason.INTERRUPTED
    new_peer.send(Answer(in_flight, b"accept"))
    assert caller.receive(Answer, in_flight).description == b"accept"
    new_peer.send(Release(standing, Reason.CLEARED))
    assert caller.receive(Release, standing).reason is Reason.CLEARED
    caller.send(Release(in_flight, Reason.CLEARED))
    (new_peer if order == "together" else own_peer).receive(Release, in_flight)
    assert counter(rig, "calls_cut") == 1


def test_a_process_that_the_list_does_not_tell_of_is_told_that_its_calls_are_over(
    connected: ConnectedRig,
) -> None:
    """Guards against calls that go on at a server after their callers were told that they are over."""
    rig, server, peer, caller = connected
    new_peer, _ = replace_process(rig, server, peer)
    call = set_up_call(rig, new_peer, caller)
    rig.bulletin.publish(list_line(server, "s-1", health="Gone"))
    assert caller.receive(Release, call).reason is Reason.INTERRUPTED
    assert new_peer.receive(Release, call).reason is Reason.CLEARED


def test_a_connection_to_the_old_process_is_not_passed_on(connected: ConnectedRig) -> None:
    """Guards against calls that never end: the machine is gone, and its connection stays open and silent."""
    rig, server, peer, caller = connected
    call = set_up_call(rig, peer, caller)
    started_ms = time.time_ns() // 1_000_000 + 1
    rig.bulletin.publish(
        list_line(server, "s-1", health="Gone"), list_line(server, "s-2", 0, born_ms=started_ms)
    )
    assert caller.receive(Release, call).reason is Reason.INTERRUPTED
    new_peer = server.accept()
    new_peer.send(GroupState(0, LINES))
    set_up_call(rig, new_peer, caller)


def test_a_passed_connection_may_be_replaced_like_any_other(connected: ConnectedRig) -> None:
    """Guards against a passed connection that the new server's table does not know."""
    rig, server, peer, caller = connected
    new_peer, started_ms = replace_process(rig, server, peer)
    call = set_up_call(rig, new_peer, caller)
    rig.bulletin.publish(
        list_line(server, "s-1", health="Gone"), list_line(server, "s-2", 0, born_ms=started_ms)
    )
    wait_for(lambda: rig.switch is not None and "s-2" in rig.switch.shared.servers)
    wait_for(lambda: server_state(rig, "s-2").link is not None)
    later_peer = replace_connection(rig, server, "s-2")
    later_peer.send(Release(call, Reason.CLEARED))
    assert caller.receive(Release, call).reason is Reason.CLEARED
    set_up_call(rig, later_peer, caller)
