"""A call's id that comes again after its caller has left: whether it may run depends on its class."""

from __future__ import annotations

import pytest

from wickstep.net import Note, Reason, Release, ReleaseComplete, SetUp

from .test_softswitch import (
    ConnectedRig,
    Peer,
    Rig,
    connect_one_server,
    counter,
    rig,
    server_state,
    wait_for,
)
from .test_wire import CONF

__all__ = ["rig"]  # fixture
WAYS_TO_LEAVE = ["closed", "reset", "given up"]


def connect(rig: Rig, monkeypatch: pytest.MonkeyPatch, effect: str) -> ConnectedRig:
    """A rig whose calls are of a class with this effect."""
    monkeypatch.setitem(CONF["classes"][0], "effect", effect)
    return connect_one_server(rig)


def leave(rig: Rig, caller: Peer, call: int, way: str) -> None:
    """Leave the call that is open, and wait until the softswitch knows."""
    if way == "given up":
        caller.send(Release(call, Reason.CLEARED))
    elif way == "closed":
        caller.sock.close()
    else:
        caller.reset()
    assert rig.switch is not None
    open_calls = rig.switch.shared.open_calls
    wait_for(lambda: not open_calls)


def send_again(rig: Rig, call: int) -> Peer:
    caller = rig.caller()
    caller.send(SetUp(call, "voice", 5000, "7f3a9c21e0b4d655", b"offer", first_choice=0))
    return caller


@pytest.mark.parametrize("effect", ["non_idempotent", "idempotency_key"])
@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
def test_a_call_that_may_have_run_is_failed_if_its_id_comes_again(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, effect: str, way: str
) -> None:
    """Guards against an effect that happens twice: the caller left, and came again with the same id."""
    rig, _, server_peer, caller = connect(rig, monkeypatch, effect)
    call = rig.call(caller)
    server_peer.receive(SetUp, call)
    leave(rig, caller, call, way)
    server_peer.receive(Release, call)
    server_peer.send(ReleaseComplete(call))
    wait_for(lambda: not server_state(rig).releases)  # so that nothing else holds a second attempt back
    assert send_again(rig, call).receive(Release, call).reason is Reason.FAILED
    other_caller = rig.caller()
    other_call = rig.call(other_caller)
    assert server_peer.receive(SetUp).call == other_call  # the first call is not there before it


@pytest.mark.parametrize("way", WAYS_TO_LEAVE)
def test_a_call_that_may_run_twice_runs_if_its_id_comes_again(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, way: str
) -> None:
    """Guards against failing callers that lost their connection to a close from this side."""
    rig, _, server_peer, caller = connect(rig, monkeypatch, "read_like")
    call = rig.call(caller)
    server_peer.receive(SetUp, call)
    leave(rig, caller, call, way)
    server_peer.receive(Release, call)
    server_peer.send(ReleaseComplete(call))
    _new_caller = send_again(rig, call)  # stays connected
    server_peer.receive(SetUp, call)


def test_a_call_that_never_ran_may_run_if_its_id_comes_again(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against failing calls that no server has taken: a full one proves that nothing ran."""
    rig, _, server_peer, caller = connect(rig, monkeypatch, "non_idempotent")
    call = rig.call(caller)
    server_peer.receive(SetUp, call)
    server_peer.send(Release(call, Reason.FULL, Note.OVERLOAD))
    wait_for(lambda: counter(rig, "attempts_full") == 1)
    assert rig.switch is not None
    assert call not in rig.switch.shared.unrepeatable_ids
