"""Stories at the operators' address: a whole softswitch, its callers, and operators who ask or misbehave."""

from __future__ import annotations

import os
import re
import socket
import time
from collections.abc import Iterator

import pytest
from click.testing import CliRunner

from wickstep.__main__ import EXIT_NO_ANSWER, main
from wickstep.net import Answer, Note, Reason, Release, SetUp, Test, TestResult, codec, links
from wickstep.net import softswitch as module
from wickstep.operation import draining, operator_server
from wickstep.operation.mode import State

from .test_crossings import PausedLoop
from .test_softswitch import TIMEOUT_S, Peer, Rig, Server, list_line, set_up_call, wait_for

HOW = ("succeeded", "declined", "aborted")


class Manned(Rig):
    """A softswitch with an operators' address."""

    @property
    def operators(self) -> str:
        assert self.switch is not None
        assert self.switch.operation.operator_server is not None
        host, port = self.switch.operation.operator_server.address
        return f"{host}:{port}"

    def ask(self, call: str) -> list[str]:
        return operator_server.send_command(self.operators, call, TIMEOUT_S)

    def figure(self, pattern: str) -> int:
        found = [re.fullmatch(pattern + r" (\d+)", line) for line in self.ask("METRICS")]
        return next(int(match.group(1)) for match in found if match)

    def ready(self, peer: Peer) -> bool:
        peer.say(Test(9))
        result = peer.hear(TestResult, 9)
        assert isinstance(result, TestResult)
        return result.passed


@pytest.fixture
def rig(monkeypatch: pytest.MonkeyPatch) -> Iterator[Manned]:
    monkeypatch.setattr(module, "MIN_STOP_TIME", 0)
    monkeypatch.setenv("ROUTER_OPERATOR", "127.0.0.1:0")
    made = Manned()
    yield made
    made.stop()
    assert made.switch is not None
    assert made.switch.shared.counters["faults"] == 0


One = tuple[Manned, Server, Peer, Peer]


@pytest.fixture
def one(rig: Manned) -> One:
    server = Server()
    rig.open(list_line(server, "s-1"))
    return rig, server, server.accept(), rig.caller()


def test_status_says_whether_a_set_up_server_is_known(rig: Manned) -> None:
    rig.open()
    assert rig.ask("STATUS")[0].startswith("FAILURE starting")
    server = Server()
    rig.bulletin.tell(list_line(server, "s-1"), whole=True)
    wait_for(lambda: rig.ask("STATUS") == ["SUCCESS serving"])


def test_each_request_counts_once_by_class_and_disposition(one: One) -> None:
    rig, _, trunk, caller = one
    stood = set_up_call(rig, trunk, caller)
    failed = rig.call(caller)
    for _ in range(2):
        trunk.hear(SetUp, failed)
        trunk.say(Release(failed, Reason.FAULT))
    caller.hear(Release, failed)
    refused = rig.call(caller, klass="video")
    trunk.hear(SetUp, refused)
    assert rig.figure("svc_outstanding") == 2
    trunk.say(Release(refused, Reason.BUSY, Note.LINES_BUSY))
    caller.hear(Release, refused)
    left = rig.call(caller)  # its caller hears no end of it: no disposition
    trunk.hear(SetUp, left)
    caller.say(Release(left, Reason.CLEARED), SetUp(0xBAD, "voice", 0, "7", b"offer"))  # no wait: nonsense
    caller.hear(Release, 0xBAD)
    assert [rig.figure(f'svc_results{{service="voice",disposition="{how}"}}') for how in HOW] == [1, 0, 2]
    assert [rig.figure(f'svc_results{{service="video",disposition="{how}"}}') for how in HOW] == [0, 1, 0]
    assert rig.figure("svc_forwards") == 5
    assert rig.figure("svc_outstanding") == 1  # it stands
    trunk.say(Release(stood, Reason.CLEARED))
    wait_for(lambda: rig.figure("svc_outstanding") == 0)
    assert rig.figure("svc_discovered") == 1
    assert rig.ask("METRICS")[-1] == "EOT"


def test_a_server_that_is_passed_over_is_ejected(one: One) -> None:
    rig, _, trunk, caller = one
    assert rig.figure("svc_ejected") == 0
    call = rig.call(caller)
    for _ in range(2):
        trunk.hear(SetUp, call)
        trunk.say(Release(call, Reason.FULL, Note.OVERLOAD))
    wait_for(lambda: rig.figure("svc_ejected") == 1)


def test_paused_it_answers_what_it_has_and_sends_callers_away(
    one: One, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(draining, "MIN_IDLE_UNUSED", 0)
    rig, _, trunk, busy = one
    idle, tester = rig.caller(), rig.caller()
    released, hung_up = set_up_call(rig, trunk, idle), set_up_call(rig, trunk, idle)
    call = rig.call(busy)
    trunk.hear(SetUp, call)
    assert rig.ready(tester)
    assert rig.ask("PAUSE") == ["SUCCESS draining"]
    assert rig.ask("PAUSE") == ["SUCCESS drained already"]
    assert not rig.ready(tester)
    assert rig.ask("STATUS") == ["FAILURE paused"]
    idle.say(Release(hung_up, Reason.CLEARED))
    trunk.say(Release(released, Reason.CLEARED))
    idle.hear(Release, released)  # its caller would not come again for it
    assert idle.ends()
    trunk.say(Answer(call, b"accept"))
    busy.hear(Answer, call)  # what was taken is served,
    trunk.say(Release(call, Reason.CLEARED))
    busy.hear(Release, call)  # and told of its end,
    assert busy.ends()  # and then its connection goes
    with PausedLoop(
        rig
    ):  # or, silent for no time at all, it might be sent away between its connect and its call
        newcomer = rig.caller()
        late = rig.call(newcomer)
    trunk.hear(SetUp, late)  # it has come before the front knew
    trunk.say(Answer(late, b"accept"))
    newcomer.hear(Answer, late)
    assert rig.ask("RESUME") == ["SUCCESS serving"]
    assert rig.ready(rig.caller())
    set_up_call(rig, trunk, rig.caller())


def test_a_busy_connection_comes_to_rest_while_paused(one: One, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(draining.DRAIN_PLANS, State.PAUSED, draining.DrainPlan(0, 0))
    rig, _, trunk, busy = one
    call = rig.call(busy)
    trunk.hear(SetUp, call)
    rig.ask("PAUSE")
    assert rig.switch is not None
    wait_for(lambda: rig.switch is not None and rig.switch.operation.applied_state is State.PAUSED)
    refused = busy.hear(Release, rig.call(busy))
    assert refused.reason is Reason.CONGESTED
    assert refused.stay_away_ms > 0
    trunk.say(Answer(call, b"accept"))
    busy.hear(Answer, call)
    trunk.say(Release(call, Reason.CLEARED))
    assert busy.ends()


def test_a_pause_is_no_bar_to_a_stop(one: One) -> None:
    rig, *_ = one
    rig.ask("PAUSE")
    rig.stop()


@pytest.mark.parametrize(
    ("heard", "said"),
    [
        (b"DANCE\n", b"FAILURE unknown"),
        (b"\xff\xfe\n", b"FAILURE no text"),
        (b"x" * 5000, b"FAILURE a line of more"),
        (b"STAT", b"FAILURE no whole line"),
        (b"", b"FAILURE no whole line"),
    ],
)
def test_bad_calls_are_refused_in_time(
    one: One, monkeypatch: pytest.MonkeyPatch, heard: bytes, said: bytes
) -> None:
    monkeypatch.setattr(operator_server, "LINE_S", 0.3)
    rig, *_ = one
    with socket.create_connection(links.parse_address(rig.operators), timeout=TIMEOUT_S) as sock:
        sock.sendall(heard)
        assert sock.recv(200).startswith(said)
    assert rig.ask("STATUS") == ["SUCCESS serving"]


def test_hundreds_that_stay_keep_nobody_from_an_answer(one: One) -> None:
    rig, _, trunk, _ = one
    where = links.parse_address(rig.operators)
    staying = [socket.create_connection(where, timeout=TIMEOUT_S) for _ in range(300)]
    try:
        for sock in staying[::2]:
            sock.send(b"STAT")
        before = time.monotonic()
        assert rig.ask("STATUS") == ["SUCCESS serving"]
        assert time.monotonic() - before < 1
        assert rig.switch is not None
        assert rig.switch.operation.operator_server is not None
        assert len(rig.switch.operation.operator_server._connections) <= operator_server.MAX_CONNECTIONS
        set_up_call(rig, trunk, rig.caller())
    finally:
        for sock in staying:
            sock.close()


def test_the_answer_does_not_wait_for_the_loop(one: One) -> None:
    rig, *_ = one
    assert rig.switch is not None
    held = rig.switch.shared
    held.schedule(held.now, lambda: time.sleep(1.5))  # the loop is busy
    time.sleep(0.3)
    before = time.monotonic()
    assert rig.ask("STATUS") == ["SUCCESS serving"]
    assert rig.ask("METRICS")[-1] == "EOT"
    assert rig.ask("PAUSE") == ["SUCCESS draining"]
    assert rig.ask("STATUS") == ["FAILURE paused"]
    assert time.monotonic() - before < 1


def test_without_an_address_nothing_listens(rig: Manned, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("ROUTER_OPERATOR")
    rig.open(list_line(Server(), "s-1"))
    assert rig.switch is not None
    assert rig.switch.operation.operator_server is None


def test_the_commands_say_it_by_exit_code(one: One) -> None:
    rig, *_ = one
    run = CliRunner()
    asked = {"ROUTER_OPERATOR": rig.operators}
    for command, code, text in [
        ("status", 0, "serving"),
        ("metrics", 0, 'svc_results{service="voice",disposition="succeeded"} 0'),
        ("pause", 0, "draining"),
        ("status", 1, "paused"),
        ("resume", 0, "serving"),
    ]:
        result = run.invoke(main, [command], env=asked)
        assert (result.exit_code, result.output.splitlines()[0]) == (code, text)
    assert "EOT" not in run.invoke(main, ["metrics"], env=asked).output
    nobody = Server()
    nobody.sock.close()
    assert run.invoke(main, ["status", "--at", nobody.dial]).exit_code == EXIT_NO_ANSWER


def test_an_inherited_socket_is_shared_and_outlives_its_process(
    rig: Manned, monkeypatch: pytest.MonkeyPatch
) -> None:
    held = socket.create_server(("127.0.0.1", 0))
    monkeypatch.setenv("ROUTER_ACCEPT_FD", str(os.dup(held.fileno())))
    server = Server()
    rig.open(list_line(server, "s-1"))
    trunk, caller = server.accept(), rig.caller()
    assert caller.sock.getpeername() == held.getsockname()
    set_up_call(rig, trunk, caller)
    assert rig.switch is not None
    rig.switch.listener.close()
    wait_for(lambda: rig.switch is not None and rig.switch.listener._sock.fileno() < 0)
    left = socket.create_connection(held.getsockname(), timeout=TIMEOUT_S)  # it waits there for a successor
    held.settimeout(TIMEOUT_S)
    held.accept()[0].close()
    left.close()
    held.close()


def test_a_set_up_written_over_two_seconds_is_served_and_half_a_one_is_not_held(one: One) -> None:
    rig, _, trunk, slow = one
    half, before = rig.caller(), time.monotonic()
    whole = codec.encode(SetUp(0x510, "voice", 5000, "7", b"offer", first_choice=0))
    half.sock.sendall(whole[:9])
    for piece in (whole[:1], whole[1:20], whole[20:]):
        slow.sock.sendall(piece)
        if piece is not whole[20:]:
            time.sleep(1.0 if len(piece) == 1 else 0.9)
    trunk.hear(SetUp, 0x510)
    trunk.say(Answer(0x510, b"accept"))
    slow.hear(Answer, 0x510)
    assert half.ends()
    assert time.monotonic() - before < 3.5  # 3 s are allowed; and a little for a busy machine
