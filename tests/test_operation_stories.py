"""The operators' address of a whole softswitch: metrics, drains, commands, and clients that misbehave."""

from __future__ import annotations

import os
import re
import socket
import time
from collections.abc import Iterator
from dataclasses import replace

import pytest
from click.testing import CliRunner

from wickstep.__main__ import EXIT_NO_ANSWER, main
from wickstep.net import Answer, Note, Reason, Release, SetUp, Test, TestResult, codec, links
from wickstep.net import softswitch as module
from wickstep.operation import draining, operator_server
from wickstep.operation.mode import State

from .test_crossings import PausedLoop
from .test_softswitch import (
    TIMEOUT_S,
    Peer,
    Rig,
    Server,
    connect_one_server,
    keep_connections,
    list_line,
    set_up_call,
    wait_for,
)
from .test_wire import CONF

DISPOSITIONS = ("succeeded", "declined", "aborted")


class OperatedRig(Rig):
    """A softswitch with an operators' address."""

    @property
    def operators(self) -> str:
        assert self.switch is not None
        assert self.switch.operation.operator_server is not None
        host, port = self.switch.operation.operator_server.address
        return f"{host}:{port}"

    def command(self, line: str) -> list[str]:
        return operator_server.send_command(self.operators, line, TIMEOUT_S)

    def read_metric(self, pattern: str) -> int:
        matches = [re.fullmatch(pattern + r" (\d+)", line) for line in self.command("METRICS")]
        return next(int(match.group(1)) for match in matches if match)

    def is_ready(self, peer: Peer) -> bool:
        peer.send(Test(9))
        result = peer.receive(TestResult, 9)
        assert isinstance(result, TestResult)
        return result.passed


@pytest.fixture
def rig(monkeypatch: pytest.MonkeyPatch) -> Iterator[OperatedRig]:
    monkeypatch.setattr(module, "MIN_STOP_TIME", 0)
    monkeypatch.setenv("ROUTER_OPERATOR", "127.0.0.1:0")
    opened = OperatedRig()
    yield opened
    opened.stop()
    assert opened.switch is not None
    assert opened.switch.shared.counters["faults"] == 0


ConnectedRig = tuple[OperatedRig, Server, Peer, Peer]


@pytest.fixture
def connected(rig: OperatedRig) -> ConnectedRig:
    _, server, server_peer, caller = connect_one_server(rig)
    return rig, server, server_peer, caller


def test_status_fails_until_a_setup_server_is_known(rig: OperatedRig) -> None:
    rig.open()
    assert rig.command("STATUS")[0].startswith("FAILURE starting")
    server = Server()
    rig.bulletin.publish(list_line(server, "s-1"), complete=True)
    wait_for(lambda: rig.command("STATUS") == ["SUCCESS serving"])


def test_each_request_counts_once_by_class_and_disposition(connected: ConnectedRig) -> None:
    rig, _, server_peer, caller = connected
    established = set_up_call(rig, server_peer, caller)
    failed = rig.call(caller)
    for _ in range(2):
        server_peer.receive(SetUp, failed)
        server_peer.send(Release(failed, Reason.FAULT))
    caller.receive(Release, failed)
    refused = rig.call(caller, klass="video")
    server_peer.receive(SetUp, refused)
    assert rig.read_metric("svc_outstanding") == 2
    server_peer.send(Release(refused, Reason.BUSY, Note.LINES_BUSY))
    caller.receive(Release, refused)
    cancelled = rig.call(caller)  # released by its caller: no final answer, so no disposition
    server_peer.receive(SetUp, cancelled)
    caller.send(
        Release(cancelled, Reason.CLEARED), SetUp(0xBAD, "voice", 0, "7", b"offer")
    )  # wait 0: invalid
    caller.receive(Release, 0xBAD)
    assert [
        rig.read_metric(f'svc_results{{service="voice",disposition="{disposition}"}}')
        for disposition in DISPOSITIONS
    ] == [1, 0, 2]
    assert [
        rig.read_metric(f'svc_results{{service="video",disposition="{disposition}"}}')
        for disposition in DISPOSITIONS
    ] == [0, 1, 0]
    assert rig.read_metric("svc_forwards") == 5
    assert rig.read_metric("svc_outstanding") == 1  # the established call
    server_peer.send(Release(established, Reason.CLEARED))
    wait_for(lambda: rig.read_metric("svc_outstanding") == 0)
    assert rig.read_metric("svc_discovered") == 1
    assert rig.command("METRICS")[-1] == "EOT"


def test_an_avoided_server_counts_as_ejected(connected: ConnectedRig) -> None:
    rig, _, server_peer, caller = connected
    assert rig.read_metric("svc_ejected") == 0
    call = rig.call(caller)
    for _ in range(2):
        server_peer.receive(SetUp, call)
        server_peer.send(Release(call, Reason.FULL, Note.OVERLOAD))
    wait_for(lambda: rig.read_metric("svc_ejected") == 1)


def test_a_paused_softswitch_completes_its_calls_and_closes_idle_callers(
    rig: OperatedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    # However slow the machine is, no connection is replaced, the server is not taken for overloaded, and the
    # last set-up comes before the time from which they are refused.
    keep_connections(monkeypatch)
    monkeypatch.setitem(CONF["classes"][0], "slo_ns", 100_000_000_000)
    monkeypatch.setattr(draining, "MIN_IDLE_UNUSED", 0)
    plan = replace(draining.DRAIN_PLANS[State.PAUSED], refuse_from=10**9)
    monkeypatch.setitem(draining.DRAIN_PLANS, State.PAUSED, plan)
    _, _, server_peer, busy = connect_one_server(rig)
    idle, tester = rig.caller(), rig.caller()
    released, hung_up = set_up_call(rig, server_peer, idle), set_up_call(rig, server_peer, idle)
    call = rig.call(busy)
    server_peer.receive(SetUp, call)
    assert rig.is_ready(tester)
    assert rig.command("PAUSE") == ["SUCCESS draining"]
    assert rig.command("PAUSE") == ["SUCCESS drained already"]
    assert not rig.is_ready(tester)
    assert rig.command("STATUS") == ["FAILURE paused"]
    idle.send(Release(hung_up, Reason.CLEARED))
    server_peer.send(Release(released, Reason.CLEARED))
    idle.receive(Release, released)  # the caller would not connect again to get it
    assert idle.wait_closed()
    server_peer.send(Answer(call, b"accept"))
    busy.receive(Answer, call)  # a call already taken in is answered,
    server_peer.send(Release(call, Reason.CLEARED))
    busy.receive(Release, call)  # its release is delivered,
    assert busy.wait_closed()  # and only then is its connection closed
    # With an idle limit of 0, the newcomer could be closed between its connect and its set-up.
    with PausedLoop(rig):
        newcomer = rig.caller()
        late = rig.call(newcomer)
    server_peer.receive(SetUp, late)  # a set-up that came before the load balancer knew is served
    server_peer.send(Answer(late, b"accept"))
    newcomer.receive(Answer, late)
    assert rig.command("RESUME") == ["SUCCESS serving"]
    assert rig.is_ready(rig.caller())
    set_up_call(rig, server_peer, rig.caller())


def test_set_ups_on_a_busy_connection_are_refused_while_paused(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(draining.DRAIN_PLANS, State.PAUSED, draining.DrainPlan(0, 0))
    rig, _, server_peer, busy = connected
    call = rig.call(busy)
    server_peer.receive(SetUp, call)
    rig.command("PAUSE")
    assert rig.switch is not None
    wait_for(lambda: rig.switch is not None and rig.switch.operation.applied_state is State.PAUSED)
    refused = busy.receive(Release, rig.call(busy))
    assert refused.reason is Reason.CONGESTED
    assert refused.stay_away_ms > 0
    server_peer.send(Answer(call, b"accept"))
    busy.receive(Answer, call)
    server_peer.send(Release(call, Reason.CLEARED))
    assert busy.wait_closed()


def test_a_paused_softswitch_can_be_stopped(connected: ConnectedRig) -> None:
    rig, *_ = connected
    rig.command("PAUSE")
    rig.stop()


@pytest.mark.parametrize(
    ("received", "expected"),
    [
        (b"DANCE\n", b"FAILURE unknown"),
        (b"\xff\xfe\n", b"FAILURE no text"),
        (b"x" * 5000, b"FAILURE a line of more"),
        (b"STAT", b"FAILURE no whole line"),
        (b"", b"FAILURE no whole line"),
    ],
)
def test_invalid_commands_are_refused_in_time(
    connected: ConnectedRig, monkeypatch: pytest.MonkeyPatch, received: bytes, expected: bytes
) -> None:
    monkeypatch.setattr(operator_server, "COMMAND_TIMEOUT_S", 0.3)
    rig, *_ = connected
    with socket.create_connection(links.parse_address(rig.operators), timeout=TIMEOUT_S) as sock:
        sock.sendall(received)
        assert sock.recv(200).startswith(expected)
    assert rig.command("STATUS") == ["SUCCESS serving"]


def test_hundreds_of_idle_clients_do_not_delay_a_reply(connected: ConnectedRig) -> None:
    rig, _, server_peer, _ = connected
    address = links.parse_address(rig.operators)
    silent = [socket.create_connection(address, timeout=TIMEOUT_S) for _ in range(300)]
    try:
        for sock in silent[::2]:
            sock.send(b"STAT")
        started = time.monotonic()
        assert rig.command("STATUS") == ["SUCCESS serving"]
        assert time.monotonic() - started < 1
        assert rig.switch is not None
        assert rig.switch.operation.operator_server is not None
        assert len(rig.switch.operation.operator_server._connections) <= operator_server.MAX_CONNECTIONS
        set_up_call(rig, server_peer, rig.caller())
    finally:
        for sock in silent:
            sock.close()


def test_replies_do_not_wait_for_the_loop(connected: ConnectedRig) -> None:
    rig, *_ = connected
    assert rig.switch is not None
    shared = rig.switch.shared
    shared.schedule(shared.now, lambda: time.sleep(1.5))  # blocks the loop
    time.sleep(0.3)
    started = time.monotonic()
    assert rig.command("STATUS") == ["SUCCESS serving"]
    assert rig.command("METRICS")[-1] == "EOT"
    assert rig.command("PAUSE") == ["SUCCESS draining"]
    assert rig.command("STATUS") == ["FAILURE paused"]
    assert time.monotonic() - started < 1


def test_without_an_operators_address_nothing_listens(
    rig: OperatedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("ROUTER_OPERATOR")
    rig.open(list_line(Server(), "s-1"))
    assert rig.switch is not None
    assert rig.switch.operation.operator_server is None


def test_click_commands_report_by_exit_code(connected: ConnectedRig) -> None:
    rig, *_ = connected
    runner = CliRunner()
    environment = {"ROUTER_OPERATOR": rig.operators}
    for command, code, text in [
        ("status", 0, "serving"),
        ("metrics", 0, 'svc_results{service="voice",disposition="succeeded"} 0'),
        ("pause", 0, "draining"),
        ("status", 1, "paused"),
        ("resume", 0, "serving"),
    ]:
        result = runner.invoke(main, [command], env=environment)
        assert (result.exit_code, result.output.splitlines()[0]) == (code, text)
    assert "EOT" not in runner.invoke(main, ["metrics"], env=environment).output
    closed_server = Server()
    closed_server.sock.close()
    assert runner.invoke(main, ["status", "--at", closed_server.dial]).exit_code == EXIT_NO_ANSWER


def test_an_inherited_socket_is_shared_and_outlives_its_process(
    rig: OperatedRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    listen_socket = socket.create_server(("127.0.0.1", 0))
    monkeypatch.setenv("ROUTER_ACCEPT_FD", str(os.dup(listen_socket.fileno())))
    server = Server()
    rig.open(list_line(server, "s-1"))
    server_peer, caller = server.accept(), rig.caller()
    assert caller.sock.getpeername() == listen_socket.getsockname()
    set_up_call(rig, server_peer, caller)
    assert rig.switch is not None
    rig.switch.listener.close()
    wait_for(lambda: rig.switch is not None and rig.switch.listener._sock.fileno() < 0)
    queued = socket.create_connection(
        listen_socket.getsockname(), timeout=TIMEOUT_S
    )  # queued for a successor
    listen_socket.settimeout(TIMEOUT_S)
    listen_socket.accept()[0].close()
    queued.close()
    listen_socket.close()


def test_a_set_up_sent_over_two_seconds_is_served_and_half_a_one_times_out(
    connected: ConnectedRig,
) -> None:
    rig, _, server_peer, slow = connected
    incomplete, started = rig.caller(), time.monotonic()
    message = codec.encode(SetUp(0x510, "voice", 5000, "7", b"offer", first_choice=0))
    incomplete.sock.sendall(message[:9])
    for part in (message[:1], message[1:20], message[20:]):
        slow.sock.sendall(part)
        if part is not message[20:]:
            time.sleep(1.0 if len(part) == 1 else 0.9)
    server_peer.receive(SetUp, 0x510)
    server_peer.send(Answer(0x510, b"accept"))
    slow.receive(Answer, 0x510)
    assert incomplete.wait_closed()
    assert time.monotonic() - started < 3.5  # 3 s are allowed, and 0.5 s for a busy machine
