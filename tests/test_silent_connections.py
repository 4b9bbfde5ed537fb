"""Connections to setup servers that die without a sign: the server takes them for open and writes into them.

A test's connection is dead once the test neither reads it nor ends it. The rig's servers tell nothing by
themselves, so the tests say when a connection is replaced.
"""

from __future__ import annotations

import threading

import pytest

from wickstep.net import (
    Answer,
    GroupState,
    Reason,
    Release,
    ReleaseComplete,
    SetUp,
    Test,
    TestResult,
    audit_schedule,
    call_audit,
    links,
    server_connections,
    server_releases,
    softswitch,
)
from wickstep.net.state import Server as ServerState
from wickstep.net.units import MS, SECOND
from wickstep.operation import handover
from wickstep.operation.process_group import HandoverReceived

from .test_softswitch import (
    LINES,
    TIMEOUT_S,
    ConnectedRig,
    Peer,
    Rig,
    Server,
    break_off_at_next_check,
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

NEVER = 10**12


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    """Audits once a second. Silence itself replaces no connection, since the rig's servers are quiet."""
    monkeypatch.setattr(server_connections, "SILENCE_TIMEOUT", NEVER)
    monkeypatch.setattr(server_connections, "LINGER_TIME", 0)
    monkeypatch.setattr(server_connections, "AUDIT_LINK_TIME", NEVER)
    set_interval(monkeypatch, SECOND)


def set_interval(monkeypatch: pytest.MonkeyPatch, interval: int) -> None:
    monkeypatch.setattr(audit_schedule, "MIN_FIRST_DELAY", min(interval, 100 * MS))
    monkeypatch.setattr(audit_schedule, "MIN_INTERVAL", interval)
    monkeypatch.setattr(audit_schedule, "MAX_INTERVAL", interval)


@pytest.fixture
def kept() -> list[Peer]:
    """Connections that stay open and silent: one that nothing refers to is closed."""
    return []


def lose_connection(rig: Rig, server: Server) -> Peer:
    """The present connection is dead, and is replaced by the one returned."""
    assert rig.switch is not None
    peer = replace_connection(rig, server)
    wait_for(lambda: "s-1" in rig.switch.shared.hosts_with_lost_links)  # type: ignore[union-attr]
    return peer


def test_calls_of_a_dead_connection_are_released_whenever_they_end(connected: ConnectedRig) -> None:
    """Guards against calls that are never released: their server tells it on a dead connection alone."""
    rig, server, server_peer, caller = connected
    calls = [set_up_call(rig, server_peer, caller) for _ in range(2)]
    new_peer = lose_connection(rig, server)
    for call in calls:  # each ends after the connection before was opened
        audit_peer = server.accept()
        audit_peer.send(Release(call, Reason.CLEARED))
        assert caller.receive(Release, call).reason is Reason.CLEARED
        set_up_call(rig, new_peer, caller)  # the replacement carries the calls, before and after
    assert counter(rig, "audit_links") == 2


def test_a_second_dead_connection_is_audited_like_the_first(
    connected: ConnectedRig, kept: list[Peer]
) -> None:
    """Guards against a mend that holds only until the replacement dies as well."""
    rig, server, server_peer, caller = connected
    first = set_up_call(rig, server_peer, caller)
    second_peer = lose_connection(rig, server)
    kept.append(server.accept())  # an audit's connection, silent like the others from here on
    second = set_up_call(rig, second_peer, caller)
    kept.append(lose_connection(rig, server))
    audit_peer = server.accept()
    audit_peer.send(Release(first, Reason.CLEARED), Release(second, Reason.CLEARED))
    assert {caller.receive(Release).call for _ in range(2)} == {first, second}


def test_calls_of_an_ended_connection_are_audited_while_another_is_dead(
    connected: ConnectedRig, kept: list[Peer]
) -> None:
    """Guards against releases lost after an orderly end: their server may use the dead one."""
    rig, server, _, caller = connected
    second_peer = lose_connection(rig, server)  # no call stood on the first one
    call = set_up_call(rig, second_peer, caller)
    second_peer.sock.close()
    kept.append(server.accept())
    audit_peer = server.accept()
    audit_peer.send(Release(call, Reason.CLEARED))
    assert caller.receive(Release, call).reason is Reason.CLEARED


def test_a_connection_that_stops_within_a_message_counts_as_dead(
    connected: ConnectedRig, kept: list[Peer]
) -> None:
    """Guards against calls that are never released: the cut fell into a message, and no probe was needed."""
    rig, server, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    server_peer.sock.sendall(b"\x00")
    kept.append(server.accept())
    audit_peer = server.accept()
    audit_peer.send(Release(call, Reason.CLEARED))
    assert caller.receive(Release, call).reason is Reason.CLEARED


def test_no_further_connection_is_opened_if_the_server_has_ended_the_replaced_one(
    connected: ConnectedRig,
) -> None:
    """Guards against needless connections: a slow server's is replaced too, and its calls go on."""
    rig, server, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    server_connections.LINGER_TIME = NEVER  # restored by the fixture: the server's end is awaited
    new_peer = replace_connection(rig, server)
    assert server_peer.wait_closed()
    server_peer.sock.close()
    assert rig.switch is not None
    audit = rig.switch.connections.audit
    wait_for(lambda: "s-1" not in audit.schedule)  # looked at when it was due, and found to be well
    assert (counter(rig, "audit_dials"), rig.switch.shared.hosts_with_lost_links) == (0, set())
    new_peer.send(Release(call, Reason.CLEARED))
    assert caller.receive(Release, call).reason is Reason.CLEARED


@pytest.mark.parametrize("end", ["spoilt", "reset"])
def test_calls_are_audited_if_a_replaced_connection_ends_unread(
    connected: ConnectedRig, kept: list[Peer], end: str
) -> None:
    """Guards against releases that were not read on a connection: told again on later ones alone."""
    rig, server, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    server_connections.LINGER_TIME = NEVER  # restored by the fixture: the server's end is awaited
    kept.append(replace_connection(rig, server))
    if end == "spoilt":
        server_peer.sock.sendall(b"\xff\xff")
    else:
        server_peer.reset()
    audit_peer = server.accept()
    audit_peer.send(Release(call, Reason.CLEARED))
    assert caller.receive(Release, call).reason is Reason.CLEARED


def test_audits_stop_once_no_call_is_untold(connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections opened for ever: a lost connection alone costs nothing."""
    set_interval(monkeypatch, 20 * MS)
    rig, server, _, caller = connected
    new_peer = lose_connection(rig, server)
    set_up_call(rig, new_peer, caller)
    looks: list[str] = []
    assert rig.switch is not None
    audit = rig.switch.connections.audit
    has_untold_calls = audit.has_untold_calls

    def look(server: ServerState) -> bool:
        looks.append(server.host)
        return has_untold_calls(server)

    monkeypatch.setattr(audit, "has_untold_calls", look)
    wait_for(lambda: len(looks) >= 3)
    assert counter(rig, "audit_dials") == 0


def test_a_server_has_four_connections_at_most(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch, kept: list[Peer]
) -> None:
    """Guards against descriptors used up by audits: the oldest connection that is only read makes room."""
    set_interval(monkeypatch, 20 * MS)
    rig, server, server_peer, caller = connected
    set_up_call(rig, server_peer, caller)
    kept.append(lose_connection(rig, server))
    counts: list[int] = []
    assert rig.switch is not None
    monkeypatch.setattr(
        rig.switch.connections.audit,
        "server_spoke",
        lambda state, link: counts.append(len(state.all_links())),
    )
    for _ in range(8):
        kept.append(server.accept())
    wait_for(lambda: len(counts) >= 7)
    assert max(counts) == server_connections.MAX_LINKS


def test_calls_inherited_while_a_connection_is_dead_are_audited(connected: ConnectedRig) -> None:
    """Guards against calls lost over an upgrade: their servers may use any open connection."""
    rig, server, _, caller = connected
    new_peer = lose_connection(rig, server)
    set_up_call(rig, new_peer, caller)
    assert rig.switch is not None
    rig.switch.shared.inbox.put(HandoverReceived(handover.encode(handover.Handover({0xBEEF: "s-1"}))))
    audit_peer = server.accept()
    audit_peer.send(Release(0xBEEF, Reason.CLEARED))
    assert caller.receive(Release, 0xBEEF).reason is Reason.CLEARED


def test_silent_servers_are_audited_beside_one_another(rig: Rig, kept: list[Peer]) -> None:
    """Guards against a server that is never audited while another one is."""
    servers = [Server(), Server()]
    rig.open(*(list_line(server, f"s-{n}", n) for n, server in enumerate(servers)))
    peers = [server.accept() for server in servers]
    caller = rig.caller()
    calls: list[int] = []
    for number, peer in enumerate(peers):
        rig.serial += 1
        caller.send(SetUp(rig.serial, "voice", 5000, "7f3a9c21e0b4d655", b"offer", first_choice=number))
        peer.receive(SetUp, rig.serial)
        peer.send(Answer(rig.serial, b"accept"))
        caller.receive(Answer, rig.serial)
        calls.append(rig.serial)
    kept.extend(
        replace_connection(rig, server, host) for server, host in zip(servers, ("s-0", "s-1"), strict=True)
    )
    for server, call in zip(servers, calls, strict=True):
        audit_peer = server.accept()
        audit_peer.send(Release(call, Reason.CLEARED))
        assert caller.receive(Release, call).reason is Reason.CLEARED


@pytest.mark.parametrize("replaced", ["before the hang-up", "after it"])
def test_a_callers_hang_up_reaches_the_server_though_its_connection_is_dead(
    connected: ConnectedRig, kept: list[Peer], replaced: str
) -> None:
    """Guards against calls that go on at their server after the caller has hung up."""
    rig, server, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    kept.append(server_peer)
    if replaced == "before the hang-up":
        new_peer = lose_connection(rig, server)
    caller.send(Release(call, Reason.CLEARED))
    caller.receive(ReleaseComplete, call)  # the loop has passed it on
    if replaced != "before the hang-up":
        new_peer = lose_connection(rig, server)
    assert new_peer.receive(Release, call).reason is Reason.CLEARED


def test_a_connection_is_watched_while_a_hang_up_is_not_confirmed(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a hang-up lost for good: nothing else is in flight that would show the silence."""
    rig, server, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    caller.send(Release(call, Reason.CLEARED))
    caller.receive(ReleaseComplete, call)
    monkeypatch.setattr(server_connections, "SILENCE_TIMEOUT", 100 * MS)
    new_peer = server.accept()
    monkeypatch.setattr(server_connections, "SILENCE_TIMEOUT", NEVER)
    assert new_peer.receive(Release, call).reason is Reason.CLEARED
    assert rig.switch is not None
    new_peer.send(ReleaseComplete(call))
    releases = rig.switch.shared.servers["s-1"].releases
    wait_for(lambda: not releases)


def test_a_hang_up_into_a_connection_that_is_dead_in_one_direction_is_sent_on_another(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a server that is heard and hears nothing: no silence shows it."""
    rig, server, server_peer, caller = connected
    monkeypatch.setattr(server_releases, "CONFIRM_TIMEOUT", 100 * MS)
    calls = [set_up_call(rig, server_peer, caller) for _ in range(2)]
    caller.send(Release(calls[0], Reason.CLEARED))
    server_peer.receive(Release, calls[0])
    server_peer.send(ReleaseComplete(calls[0]))  # this server confirms releases
    assert rig.switch is not None
    releases = rig.switch.shared.servers["s-1"].releases
    wait_for(lambda: not releases)
    caller.send(Release(calls[1], Reason.CLEARED))
    assert server.accept().receive(Release, calls[1]).reason is Reason.CLEARED


def test_a_stopped_attempt_is_released_at_its_server_though_its_connection_is_dead(
    connected: ConnectedRig, kept: list[Peer]
) -> None:
    """Guards against a call that stands for nobody: its answer and the release of its attempt were lost."""
    rig, server, server_peer, caller = connected
    call = rig.call(caller)
    server_peer.receive(SetUp, call)
    kept.append(server_peer)
    caller.send(Release(call, Reason.CLEARED))
    new_peer = lose_connection(rig, server)
    assert new_peer.receive(Release, call).reason is Reason.CLEARED


def test_the_release_of_an_attempt_precedes_the_next_attempt_at_its_server(
    connected: ConnectedRig, kept: list[Peer], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call that stands twice, and against a late release that ends the second attempt."""
    rig, server, server_peer, caller = connected
    call = rig.call(caller)
    server_peer.receive(SetUp, call)
    kept.append(server_peer)
    break_off_at_next_check(monkeypatch)
    new_peer = replace_connection(rig, server)
    new_peer.receive(Release, call)
    assert not any(isinstance(message, SetUp) for message in new_peer.received)
    new_peer.receive(SetUp, call)
    new_peer.send(Answer(call, b"accept"))
    caller.receive(Answer, call)
    third_peer = replace_connection(rig, server)
    set_up_call(rig, third_peer, caller)
    assert not any(isinstance(message, Release) for message in third_peer.received)


def test_calls_cut_off_with_their_machine_are_released_when_it_is_back(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch, kept: list[Peer]
) -> None:
    """Guards against lines held for nobody: the machine was cut off, and its process has kept its calls."""
    rig, server, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    kept.append(server_peer)
    dial = links.dial

    def dial_in_vain(address: str, timeout: int, inbox: links.Inbox, owner: ServerState, *_: object) -> None:
        inbox.put(links.DialFailed(owner, refused=False))

    monkeypatch.setattr(links, "dial", dial_in_vain)
    monkeypatch.setattr(server_connections, "VANISHED_TIMEOUT", 0)
    monkeypatch.setattr(server_connections, "SILENCE_TIMEOUT", 0)
    assert caller.receive(Release, call).reason is Reason.INTERRUPTED
    monkeypatch.setattr(server_connections, "SILENCE_TIMEOUT", NEVER)
    monkeypatch.setattr(links, "dial", dial)
    assert server.accept().receive(Release, call).reason is Reason.CLEARED


def test_a_dead_connection_is_noticed_though_only_inherited_calls_stand(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against silence that nobody looks for: no call of this process stands."""
    rig, server, server_peer, caller = connected
    call = set_up_call(rig, server_peer, caller)
    server_peer.send(Release(call, Reason.CLEARED))
    caller.receive(Release, call)
    assert rig.switch is not None
    rig.switch.shared.inbox.put(HandoverReceived(handover.encode(handover.Handover({0xBEEF: "s-1"}))))
    wait_for(lambda: rig.switch is not None and 0xBEEF in rig.switch.shared.inherited_calls)
    monkeypatch.setattr(server_connections, "SILENCE_TIMEOUT", 100 * MS)
    new_peer = server.accept()
    monkeypatch.setattr(server_connections, "SILENCE_TIMEOUT", NEVER)
    new_peer.send(GroupState(0, LINES), Release(0xBEEF, Reason.CLEARED))
    assert caller.receive(Release, 0xBEEF).reason is Reason.CLEARED


def test_the_successor_audits_the_calls_of_a_connection_that_its_predecessor_lost(
    connected: ConnectedRig,
) -> None:
    """Guards against calls lost over an upgrade: the successor's own connections are all well."""
    rig, server, _, caller = connected
    caller.send(Test(1))
    caller.receive(TestResult, 1)  # so that releases may go to this caller
    caller.send(Release(0xD0D0, Reason.CLEARED))
    record = handover.Handover({0xBEEF: "s-1"}, [], ["s-1"])
    assert rig.switch is not None
    rig.switch.shared.inbox.put(HandoverReceived(handover.encode(record)))
    audit_peer = server.accept()
    audit_peer.send(Release(0xBEEF, Reason.CLEARED))
    assert caller.receive(Release, 0xBEEF).reason is Reason.CLEARED


def test_a_release_that_a_server_may_not_have_received_is_left_to_the_successor(
    connected: ConnectedRig,
) -> None:
    """Guards against a hang-up lost with the process that was to send it again."""
    rig, _, server_peer, _ = connected
    record = handover.Handover(
        {}, [], [], [(0xBEEF, Reason.CLEARED, "s-1"), (0xF00D, Reason.CLEARED, "gone")]
    )
    assert rig.switch is not None
    rig.switch.shared.inbox.put(HandoverReceived(handover.encode(record)))
    assert server_peer.receive(Release, 0xBEEF).reason is Reason.CLEARED


class RecordingGroup:
    """Stand-in for the processes of a softswitch: a successor is ready, and the record is kept."""

    def __init__(self) -> None:
        self.others: list[object] = []
        self.records: list[object] = []

    def has_successor(self) -> bool:
        return True

    def announce_ready(self) -> None:
        pass

    def leave(self, content: object) -> None:
        self.records.append(content)


@pytest.mark.parametrize("noticed", [False, True])
def test_a_process_tells_its_successor_which_servers_have_not_noticed_its_end(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch, noticed: bool
) -> None:
    """Guards against calls lost over an upgrade: a connection had died, and nobody had looked for it."""
    rig, _, server_peer, caller = connected
    hung_up, call = (set_up_call(rig, server_peer, caller) for _ in range(2))
    caller.send(Release(hung_up, Reason.CLEARED))
    caller.receive(ReleaseComplete, hung_up)
    assert rig.switch is not None
    group = RecordingGroup()
    setattr(rig.switch.operation, "group", group)  # noqa: B010
    if noticed:
        server_peer.send(ReleaseComplete(hung_up))
        releases = rig.switch.shared.servers["s-1"].releases
        wait_for(lambda: not releases)
        monkeypatch.setattr(softswitch, "FLUSH_TIMEOUT_S", TIMEOUT_S)
        threading.Thread(target=end_with_peer, args=(server_peer,)).start()
    rig.stop()
    record = handover.decode(group.records[0])
    assert record.standing == {call: "s-1"}
    assert record.hosts_with_lost_links == ([] if noticed else ["s-1"])
    assert record.server_releases == ([] if noticed else [(hung_up, Reason.CLEARED, "s-1")])


def end_with_peer(peer: Peer) -> None:
    peer.wait_closed()
    peer.sock.close()


def test_a_replaced_connection_that_is_still_heard_is_not_audited(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch, kept: list[Peer]
) -> None:
    """Guards against needless connections: a slow server's replaced one is open while set-ups wait there."""
    set_interval(monkeypatch, 20 * MS)
    monkeypatch.setattr(call_audit, "MIN_SILENCE", NEVER)  # whatever is open counts as heard
    rig, server, server_peer, caller = connected
    assert rig.switch is not None
    audit = rig.switch.connections.audit
    rig.switch.shared.min_aim = NEVER  # the set-up is not given up meanwhile
    call = set_up_call(rig, server_peer, caller)
    server_peer.receive(SetUp, rig.call(caller))  # is not answered
    new_peer = replace_connection(rig, server)
    kept.append(new_peer)
    wait_for(lambda: "s-1" in audit.schedule)
    looks: list[str] = []
    told = audit.schedule.told

    def count_look(host: str, now: int) -> None:
        looks.append(host)
        told(host, now)

    monkeypatch.setattr(audit.schedule, "told", count_look)
    wait_for(lambda: len(looks) >= 3)
    assert counter(rig, "audit_dials") == 0
    monkeypatch.setattr(call_audit, "MIN_SILENCE", 0)  # it has been silent for longer now
    audit_peer = server.accept()
    audit_peer.send(Release(call, Reason.CLEARED))
    assert caller.receive(Release, call).reason is Reason.CLEARED


def test_releases_of_a_server_that_hung_are_heard_wherever_it_says_them(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls never released: a server goes on, and speaks where nobody listens."""
    rig, server, server_peer, caller = connected
    own, repeated = (set_up_call(rig, server_peer, caller) for _ in range(2))
    state = server_state(rig)
    monkeypatch.setattr(server_connections, "SILENCE_TIMEOUT", 20 * MS)
    # The process hangs: its machine accepts connections for it, one after the other, and nothing is said.
    wait_for(lambda: counter(rig, "dials") >= 2 * server_connections.MAX_LINKS)
    monkeypatch.setattr(server_connections, "SILENCE_TIMEOUT", NEVER)
    assert len(state.all_links()) <= server_connections.MAX_LINKS
    # On the connection of its set-up, still open to the server, and on the one that has waited for longest.
    server_peer.send(Release(own, Reason.CLEARED))
    server.accept().send(Release(repeated, Reason.CLEARED))
    assert {caller.receive(Release).call for _ in range(2)} == {own, repeated}
