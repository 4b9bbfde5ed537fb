"""A call that goes to the same setup server a second time: messages carry the call's id and no attempt's.

What the server has sent about the first attempt may arrive while the second is on its way.
"""

from __future__ import annotations

import time
from dataclasses import replace

import pytest

from wickstep import brain
from wickstep import interface as api
from wickstep.net import Answer, GroupState, Reason, Release, ReleaseComplete, SetUp
from wickstep.net.units import MS

from .test_softswitch import (
    LINES,
    ConnectedRig,
    Peer,
    Rig,
    Server,
    connected,
    counter,
    keep_connections,
    list_line,
    rig,
    server_state,
    set_up_call,
    wait_for,
    wait_for_connection,
)

__all__ = ["connected", "rig"]  # fixtures

DRAINING = api.ServerState.DRAINING
RESET_WAIT = 600 * MS  # longer than the pause before a call is sent again
FIRST, SECOND_RUN = b"description of the first run", b"description of the second run"


def begin_second_attempt(rig: Rig, peer: Peer, caller: Peer) -> int:
    """A call whose first attempt was cancelled, and whose second one at the server has begun."""
    call = rig.call(caller)
    peer.receive(SetUp, call)
    assert rig.switch is not None
    open_call = rig.switch.shared.open_calls[call]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(brain, "EVIDENCE_LIFETIME", 0)
        while open_call.attempt is not None:
            peer.send(GroupState(0, LINES))  # nothing waits at the server, so the answer seems to be lost
            time.sleep(0.005)
        assert peer.receive(Release, call).reason is Reason.CLEARED
    wait_for(lambda: open_call.attempt_count == 2 and open_call.attempt is not None)
    return call


def answer_second_attempt(peer: Peer, caller: Peer, call: int) -> None:
    peer.receive(SetUp, call)
    peer.send(Answer(call, SECOND_RUN))
    assert caller.receive(Answer, call).description == SECOND_RUN


@pytest.fixture
def confirming(connected: ConnectedRig) -> ConnectedRig:
    """A server that has confirmed a release."""
    rig, _, peer, caller = connected
    call = set_up_call(rig, peer, caller)
    caller.send(Release(call, Reason.CLEARED))
    peer.receive(Release, call)
    peer.send(ReleaseComplete(call))
    wait_for(lambda: not server_state(rig).releases)
    return connected


@pytest.mark.parametrize(
    "late",
    [
        Answer(0, FIRST),
        Release(0, Reason.FULL),
        Release(0, Reason.FAULT),
        Release(0, Reason.INTERRUPTED),
        Release(0, Reason.MOOT),
    ],
    ids=["answer", "full", "fault", "interrupted", "moot"],
)
@pytest.mark.parametrize("servers", ["confirming", "connected"])
def test_a_late_word_about_the_first_attempt_is_not_taken_for_one_about_the_second(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch, servers: str, late: Answer | Release
) -> None:
    """Guards against a caller told of the wrong run, and a call that stands for nobody."""
    keep_connections(monkeypatch)
    rig, _, peer, caller = request.getfixturevalue(servers)
    call = begin_second_attempt(rig, peer, caller)
    strays = counter(rig, "strays")
    peer.send(replace(late, call=call), ReleaseComplete(call))  # sent before the server read the release
    answer_second_attempt(peer, caller, call)
    assert counter(rig, "strays") == strays + 1


@pytest.mark.parametrize("proof", ["release confirmed", "later call answered"])
def test_a_repeated_attempt_is_sent_once_no_answer_to_the_first_can_come(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch, proof: str
) -> None:
    """Guards against a call that waits at a server which confirms no release."""
    keep_connections(monkeypatch)
    rig, _, peer, caller = connected
    call = begin_second_attempt(rig, peer, caller)
    if proof == "release confirmed":
        peer.send(ReleaseComplete(call))
    else:
        set_up_call(rig, peer, caller)
    answer_second_attempt(peer, caller, call)


def test_a_repeated_attempt_goes_on_another_connection_if_no_word_comes(connected: ConnectedRig) -> None:
    """Guards against a call that waits in vain: its server confirms nothing, and no other call is there."""
    rig, server, peer, caller = connected
    call = begin_second_attempt(rig, peer, caller)
    new_peer = server.accept()
    assert new_peer.receive(Release, call).reason is Reason.CLEARED  # ahead of the set-up, in any case
    strays = counter(rig, "strays")
    peer.send(Answer(call, FIRST))  # on the connection before
    wait_for(lambda: counter(rig, "strays") == strays + 1)
    answer_second_attempt(new_peer, caller, call)


def test_a_repeated_attempt_is_sent_on_the_next_connection_if_its_own_is_reset(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an attempt that is forgotten while it waits."""
    keep_connections(monkeypatch)
    rig, server, peer, caller = connected
    call = begin_second_attempt(rig, peer, caller)
    peer.reset()
    answer_second_attempt(server.accept(), caller, call)


def test_a_call_whose_first_attempt_was_answered_and_is_over_is_not_run_again(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call that runs twice: its answer was lost, and it ends while the second waits."""
    keep_connections(monkeypatch)
    rig, _, peer, caller = connected
    call = begin_second_attempt(rig, peer, caller)
    peer.send(Release(call, Reason.CLEARED), ReleaseComplete(call))
    assert caller.receive(Release, call).reason is Reason.FAILED
    set_up_call(rig, peer, caller)
    assert counter(rig, "set_ups_sent") == 2  # the first attempt and this call


def test_a_repeated_attempt_that_waits_ends_with_its_caller(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call that begins after its caller has left."""
    keep_connections(monkeypatch)
    rig, _, peer, caller = connected
    call = begin_second_attempt(rig, peer, caller)
    caller.send(Release(call, Reason.CLEARED))
    caller.receive(ReleaseComplete, call)
    peer.send(ReleaseComplete(call))
    set_up_call(rig, peer, caller)
    assert (counter(rig, "set_ups_sent"), server_state(rig).held) == (2, [])


@pytest.fixture
def two_servers(rig: Rig) -> tuple[Rig, list[Server], list[Peer], Peer]:
    """Two servers with their connections, and a caller. No connection is replaced, no wait ends by time."""
    servers = [Server(), Server()]
    rig.open(list_line(servers[0], "s-1", 0), list_line(servers[1], "s-2", 1))
    peers = [server.accept() for server in servers]
    for host in ("s-1", "s-2"):
        wait_for_connection(rig, host)
    assert rig.switch is not None
    rig.switch.shared.min_aim = 10**12
    return rig, servers, peers, rig.caller()


def reset_with_attempt(
    rig: Rig, servers: list[Server], peer: Peer, caller: Peer, listening: bool = True
) -> int:
    """A call whose attempt at s-1 ends with its connection, and which goes to s-2: s-1 drains from now on."""
    call = rig.call(caller)
    peer.receive(SetUp, call)
    rig.bulletin.publish(list_line(servers[0], "s-1", 0, "Terminating"))
    wait_for(lambda: server_state(rig).state is DRAINING)
    if not listening:
        servers[0].sock.close()
    peer.reset()
    return call


def test_an_attempt_is_released_at_its_server_if_its_connection_is_reset(connected: ConnectedRig) -> None:
    """Guards against a call that runs twice: it stood, and its answer was lost with the connection."""
    rig, server, peer, caller = connected
    call = rig.call(caller)
    peer.receive(SetUp, call)
    peer.reset()
    new_peer = server.accept()
    assert new_peer.receive(object, call) == Release(call, Reason.CLEARED)  # the first message about it
    answer_second_attempt(new_peer, caller, call)


@pytest.mark.parametrize("proof", ["release confirmed", "process gone"])
def test_an_attempt_elsewhere_waits_until_one_that_may_stand_is_released(
    two_servers: tuple[Rig, list[Server], list[Peer], Peer], proof: str
) -> None:
    """Guards against a call that stands at two servers: the second was asked before the first was told."""
    rig, servers, (first, second), caller = two_servers
    call = reset_with_attempt(rig, servers, first, caller)
    new_peer = servers[0].accept()
    new_peer.receive(Release, call)
    wait_for(lambda: counter(rig, "attempts_held") == 1)
    other_call = rig.call(caller)
    assert second.receive(SetUp).call == other_call  # the first call is not there before it
    if proof == "release confirmed":
        new_peer.send(ReleaseComplete(call))
    else:
        rig.bulletin.publish(list_line(servers[0], "s-1", 0, "Gone"))
    answer_second_attempt(second, caller, call)


def test_an_attempt_elsewhere_does_not_wait_for_a_server_that_takes_no_connection(
    two_servers: tuple[Rig, list[Server], list[Peer], Peer],
) -> None:
    """Guards against calls that fail with a server that has died: nobody can tell it of their end."""
    rig, servers, (first, second), caller = two_servers
    call = reset_with_attempt(rig, servers, first, caller, listening=False)
    answer_second_attempt(second, caller, call)


def test_an_attempt_elsewhere_waits_for_a_limited_time(
    two_servers: tuple[Rig, list[Server], list[Peer], Peer],
) -> None:
    """Guards against calls that fail at a server which confirms nothing."""
    rig, servers, (first, second), caller = two_servers
    assert rig.switch is not None
    rig.switch.shared.min_aim = 2 * RESET_WAIT
    call = reset_with_attempt(rig, servers, first, caller)
    servers[0].accept().receive(Release, call)
    answer_second_attempt(second, caller, call)
