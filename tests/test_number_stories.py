"""Number analysis over loopback sockets: routes, time of day, look-ups, and swaps of tables under load.

The tests see the softswitch as callers, setup servers and the portability database do, and read its counters.
"""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from wickstep.net import Answer, MalformedMessage, Note, Reason, Release, ReleaseComplete, SetUp
from wickstep.net import softswitch as module
from wickstep.net.admit import AdmitStage
from wickstep.net.config import Config
from wickstep.net.softswitch import Softswitch
from wickstep.net.state import SharedState
from wickstep.numbering import reader, stage

from .checker import Checker
from .enum_stand_in import EnumServer, naptr_record
from .test_softswitch import TIMEOUT_S, Peer, Rig, Server, list_line, wait_for

PLAN_TEMPLATE = 'numbering version="{version}" {{\n plan country="60" national="0"\n'
ROUTES = ' route "a" {{ server 0; server 1; }}\n route "b" {{ server 1; }}\n route "none" {{ server 7; }}\n'
SCHEDULE = ' schedule "office" { open "daily" "08:00-20:00"; }\n'
RULES = """ prefix "601" route="a"
 prefix "602" route="b"
 prefix "603" route="none"
 prefix "604" bar="barred"
 prefix "605" { when "office" route="a"; otherwise route="b"; }
"""
NOON, NIGHT = 1796083200.0 + 12 * 3600, 1796083200.0 + 22 * 3600  # 2026-12-01, UTC


def table_text(rules: str = RULES, version: str = "1") -> str:
    return (PLAN_TEMPLATE + ROUTES).format(version=version) + SCHEDULE + rules + "}\n"


class NumberRig(Rig):
    """A softswitch with a number table and the servers 0, 1, ..."""

    def __init__(self, path: Path) -> None:
        super().__init__()
        self.path = path

    def open_with_table(self, table: str, servers: int = 2) -> list[Peer]:
        self.path.write_text(table)
        self.servers = [Server() for _ in range(servers)]
        tables = [stage.load_table(self.path)]  # no reference is kept here, so that the table can be freed
        self.stage: stage.NumberStage | None = None

        def make_stage(shared: SharedState, admit: AdmitStage) -> stage.NumberStage:
            self.stage = stage.NumberStage(shared, admit, self.path, tables.pop())
            return self.stage

        self.make_stage = make_stage
        self.open(*(list_line(server, f"s-{n}", n) for n, server in enumerate(self.servers)))
        return [server.accept() for server in self.servers]

    def build(self, config: Config) -> Softswitch:
        return Softswitch(config, lambda: Config.read(self.text), self.make_stage)

    def dial(self, caller: Peer, number: str, wait_ms: int = 5000, first_choice: int = 0) -> int:
        self.serial += 1
        caller.send(SetUp(self.serial, "voice", wait_ms, number, b"offer", first_choice=first_choice))
        return self.serial

    def swap_table(self, table: str) -> None:
        self.path.write_text(table)
        assert self.switch is not None
        self.switch.reload_requested = True

    @property
    def counters(self) -> dict[str, int]:
        assert self.switch is not None
        return self.switch.shared.counters


@pytest.fixture
def rig(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[NumberRig]:
    monkeypatch.setattr(module, "MIN_STOP_TIME", 0)
    number_rig = NumberRig(tmp_path / "numbers.kdl")
    yield number_rig
    number_rig.stop()
    assert number_rig.switch is not None
    assert number_rig.switch.shared.counters["faults"] == 0


@pytest.mark.parametrize(
    ("dialled", "reason"),
    [
        ("604123", Reason.BARRED),
        ("999", Reason.UNALLOCATED),
        ("7f3a9c21e0b4d655", Reason.UNALLOCATED),
        ("12x4", Reason.INVALID_NUMBER),
        ("1" * 40, Reason.INVALID_NUMBER),
        ("603123", Reason.CONGESTED),  # its servers may be listed later
    ],
)
def test_number_without_a_route_is_refused_at_once_and_reaches_no_server(
    rig: NumberRig, dialled: str, reason: Reason
) -> None:
    first, _ = rig.open_with_table(table_text())
    caller = rig.caller()
    started = time.monotonic()
    refusal = caller.receive(Release, rig.dial(caller, dialled))
    assert time.monotonic() - started < 2  # far less than the caller's wait of five seconds
    assert (refusal.reason, bool(refusal.stay_away_ms)) == (reason, reason is Reason.CONGESTED)
    call = rig.dial(caller, "0112345")
    assert first.receive(SetUp).call == call  # no server received the refused call


def test_only_the_servers_of_the_route_are_tried(rig: NumberRig) -> None:
    _, second = rig.open_with_table(table_text())
    caller = rig.caller()
    call = rig.dial(caller, "0212345", first_choice=0)  # the caller prefers 0, the route has only 1
    assert second.receive(SetUp).call == call
    second.send(Release(call, Reason.FULL, Note.OVERLOAD))
    second.receive(SetUp, call)  # after its skip mark has ended; never the other server
    second.send(Answer(call, b"accept"))
    caller.receive(Answer, call)


def test_route_sets_the_order_of_its_servers(rig: NumberRig) -> None:
    first, second = rig.open_with_table(table_text())
    caller = rig.caller()
    call = rig.dial(caller, "0112345", first_choice=1)
    sent = first.receive(SetUp)
    assert (sent.call, sent.number) == (call, "0112345")  # the number is passed on as dialled
    first.send(Release(call, Reason.FULL, Note.OVERLOAD))
    second.receive(SetUp, call)
    second.send(Answer(call, b"accept"))
    caller.receive(Answer, call)


def test_schedule_change_does_not_reroute_a_call_in_set_up(
    rig: NumberRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = [NOON]
    monkeypatch.setattr(time, "time", lambda: clock[0])
    monkeypatch.setattr(stage, "WALL_CLOCK_INTERVAL", 0)
    first, second = rig.open_with_table(table_text())
    caller = rig.caller()
    call = rig.dial(caller, "0512345")
    first.receive(SetUp, call)
    clock[0] = NIGHT
    other = rig.dial(caller, "0512345")
    second.receive(SetUp, other)
    second.send(Answer(other, b"accept"))
    second.send(Release(call, Reason.FULL))  # for a call that this server does not have: ignored
    first.send(Release(call, Reason.INTERRUPTED))
    repeated = first.receive(SetUp, call)  # retried after the pause, still by its first route
    assert repeated.call == call
    first.send(Answer(call, b"accept"))
    caller.receive(Answer, call)


def test_calls_keep_their_table_after_a_swap_and_the_last_one_frees_it(rig: NumberRig) -> None:
    first, second = rig.open_with_table(table_text())
    caller = rig.caller()
    call = rig.dial(caller, "0112345")
    first.receive(SetUp, call)
    rig.swap_table(table_text(' prefix "601" route="b"\n', version="2"))
    wait_for(lambda: rig.counters["number_tables_swapped"] == 1)
    other = rig.dial(caller, "0112345")
    second.receive(SetUp, other)
    second.send(Answer(other, b"accept"))
    caller.receive(Answer, other)
    assert rig.stage is not None
    assert rig.stage.counts()["number_tables_alive"] == 2
    first.send(Release(call, Reason.INTERRUPTED))
    first.receive(SetUp, call)  # by the table under which it was taken in
    first.send(Answer(call, b"accept"))
    caller.receive(Answer, call)
    first.send(Release(call, Reason.CLEARED))
    caller.receive(Release, call)
    wait_for(lambda: rig.stage is not None and rig.stage.counts()["number_tables_alive"] == 1)


TRUNCATED_TABLE = table_text()[: len(table_text()) // 2]


@pytest.mark.parametrize(
    ("table", "reason"),
    [
        ("", "numbering"),
        (TRUNCATED_TABLE, "line"),
        (table_text(' prefix "6" strip=1 prepend="6"\n'), "line 7: translations lead back"),
        (table_text(' prefix "6" route="nowhere"\n'), "line 7: prefix 6: no route"),
        (table_text(' prefixes "list.csv" count=9\n'), "list.csv"),
        ("//" + "x" * reader.MAX_SETTINGS_CHARACTERS + table_text(), "characters"),
        (table_text(""), "no prefix"),
        ("\0\xff{{{", ""),
    ],
    ids=["empty", "half", "loop", "no route", "no list", "oversized", "no prefix", "noise"],
)
def test_invalid_table_is_refused_and_logged_and_the_old_one_stays(
    rig: NumberRig, caplog: pytest.LogCaptureFixture, table: str, reason: str
) -> None:
    first, _ = rig.open_with_table(table_text())
    caller = rig.caller()
    rig.swap_table(table)
    wait_for(lambda: rig.counters["number_tables_refused"] == 1)
    wait_for(lambda: "number table refused, version 1 stays in use" in caplog.text)  # logged after counting
    assert reason in caplog.text
    call = rig.dial(caller, "0112345")
    first.receive(SetUp, call)
    rig.swap_table(table_text(version="3"))
    wait_for(lambda: rig.counters["number_tables_swapped"] == 1)


# Look-ups.


@pytest.fixture
def enum_server() -> Iterator[EnumServer]:
    server = EnumServer()
    server.records["60123"] = [naptr_record("tel:+60123;npdi;rn=+60299")]
    yield server
    server.stop()


def table_with_look_ups(enum_server: EnumServer, fallback: str = "dialled", budget_ms: int = 300) -> str:
    rules = f' portability "{enum_server.address}" budget-ms={budget_ms}\n'
    return table_text(rules + f' prefix "601" route="a" portability="{fallback}"\n prefix "602" route="b"\n')


@pytest.mark.parametrize("behaviour", ["well", "silent", "refuses", "noise", "closes", "gone"])
@pytest.mark.parametrize("fallback", ["dialled", "refuse"])
def test_look_up_result_or_fallback_is_applied_in_time(
    rig: NumberRig, enum_server: EnumServer, behaviour: str, fallback: str
) -> None:
    first, second = rig.open_with_table(table_with_look_ups(enum_server, fallback))
    enum_server.behaviour = behaviour
    if behaviour == "gone":
        enum_server.stop()
    caller = rig.caller()
    started = time.monotonic()
    call = rig.dial(caller, "0123")
    if behaviour != "well" and fallback == "refuse":
        assert caller.receive(Release, call).reason is Reason.UNALLOCATED
        assert time.monotonic() - started < 3  # the caller would wait for five
        return
    taker = second if behaviour == "well" else first  # ported to 60299, or routed as dialled
    assert taker.receive(SetUp, call).number == "0123"
    assert time.monotonic() - started < 3
    taker.send(Answer(call, b"accept"))
    caller.receive(Answer, call)


def test_caller_that_cancels_during_its_look_up_gets_no_further_message(
    rig: NumberRig, enum_server: EnumServer
) -> None:
    first, second = rig.open_with_table(table_with_look_ups(enum_server))
    enum_server.behaviour = "silent"
    caller = rig.caller()
    call = rig.dial(caller, "0123")
    wait_for(lambda: len(enum_server.held_answers) == 1)
    caller.send(Release(call, Reason.CLEARED))
    wait_for(lambda: rig.counters["callers_left"] == 1)
    enum_server.behaviour = "well"
    enum_server.send_held()
    other = rig.dial(caller, "0123")  # no call waited for the answer any more, but it was cached
    assert second.receive(SetUp).call == other
    second.send(Answer(other, b"accept"))
    caller.receive(Answer, other)
    assert not [message for message in [*caller.received, *first.received] if message.call == call]
    assert len(enum_server.queried_numbers) <= 2


def test_look_up_leaves_enough_time_for_the_set_up(rig: NumberRig, enum_server: EnumServer) -> None:
    first, _ = rig.open_with_table(table_with_look_ups(enum_server, budget_ms=60_000))
    enum_server.behaviour = "silent"
    caller = rig.caller()
    started = time.monotonic()
    call = rig.dial(caller, "0123", wait_ms=2000)
    first.receive(SetUp, call)  # after a quarter of the caller's wait, not the table's minute
    assert time.monotonic() - started < 1.5
    first.send(Answer(call, b"accept"))
    caller.receive(Answer, call)


def test_swaps_may_turn_look_ups_off_and_on_while_some_are_outstanding(
    rig: NumberRig, enum_server: EnumServer
) -> None:
    first, second = rig.open_with_table(table_with_look_ups(enum_server))
    enum_server.behaviour = "silent"
    caller = rig.caller()
    call = rig.dial(caller, "0123")
    wait_for(lambda: len(enum_server.held_answers) == 1)
    rig.swap_table(table_text(' prefix "601" route="b"\n', version="2"))
    first.receive(SetUp, call)  # its query failed with the client; the fallback of its own table applies
    first.send(Answer(call, b"accept"))
    caller.receive(Answer, call)
    other = rig.dial(caller, "0123")
    second.receive(SetUp, other)
    enum_server.behaviour = "well"
    rig.swap_table(table_with_look_ups(enum_server))
    wait_for(lambda: rig.counters["number_tables_swapped"] == 2)
    third = rig.dial(caller, "0123")
    second.receive(SetUp, third)  # ported
    assert enum_server.queried_numbers == ["60123", "60123"]


# Swaps, look-up faults and load at once.


class RandomServer:
    """A setup server that accepts, refuses, cuts or ignores set-ups at random, and reports to the checker."""

    def __init__(self, name: str, server: Server, checker: Checker, seed: int) -> None:
        self.name, self.server, self.checker = name, server, checker
        self.rng = random.Random(seed)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        self.server.sock.settimeout(None)
        while True:
            try:
                peer = self.server.accept()
            except OSError:
                return
            peer.sock.settimeout(None)
            threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def serve(self, peer: Peer) -> None:
        open_calls: set[int] = set()
        try:
            while data := peer.sock.recv(65536):
                for message in peer.splitter.feed(data):
                    if isinstance(message, SetUp):
                        self.checker.record_attempt(message.call, self.name)
                        open_calls.add(message.call)
                        self.handle_set_up(peer, open_calls, message.call)
                    elif isinstance(message, Release) and message.call in open_calls:
                        open_calls.discard(message.call)
                        self.checker.record_attempt_end(message.call, self.name, "given_up")
        except (OSError, MalformedMessage):
            pass
        for call in open_calls:
            self.checker.record_attempt_end(call, self.name, "reset")

    def handle_set_up(self, peer: Peer, open_calls: set[int], call: int) -> None:
        draw = self.rng.random()
        if draw < 0.10:
            return  # never answered
        open_calls.discard(call)
        if draw < 0.25:
            self.checker.record_attempt_end(call, self.name, "failed")
            peer.send(Release(call, Reason.FULL, Note.OVERLOAD))
        elif draw < 0.35:
            self.checker.record_attempt_end(call, self.name, "reset")
            peer.send(Release(call, Reason.INTERRUPTED))
        else:
            self.checker.record_attempt_end(call, self.name, "stands")
            peer.send(Answer(call, b"accept"), Release(call, Reason.CLEARED))


def test_every_call_has_one_outcome_while_tables_are_swapped_under_load(
    rig: NumberRig, enum_server: EnumServer
) -> None:
    checker = Checker()
    rules = ' prefix "601" route="{}" portability="dialled"\n prefix "602" route="b"\n prefix "604" bar="x"\n'
    tables = [
        table_text(
            f' portability "{enum_server.address}" budget-ms=100\n' + rules.format(route), version=route
        )
        for route in ("a", "b")
    ]
    rig.path.write_text(tables[0])
    servers = [Server() for _ in range(2)]
    for index, server in enumerate(servers):
        RandomServer(f"s-{index}", server, checker, seed=index)
    table = stage.load_table(rig.path)
    rig.make_stage = lambda shared, admit: stage.NumberStage(shared, admit, rig.path, table)
    rig.open(*(list_line(server, f"s-{n}", n) for n, server in enumerate(servers)), max_open=1000)
    callers = [rig.caller() for _ in range(4)]
    load_ended = threading.Event()
    calls = 300

    answered: set[int] = set()  # a release of these is no second final answer

    def read_answers(caller: Peer) -> None:
        caller.sock.settimeout(TIMEOUT_S)
        try:
            while data := caller.sock.recv(65536):
                for message in caller.splitter.feed(data):
                    if isinstance(message, Answer):
                        answered.add(message.call)
                        checker.record_final(message.call, "stands")
                    elif isinstance(message, Release):
                        caller.send(ReleaseComplete(message.call))
                        if message.call not in answered:
                            checker.record_final(message.call, message.reason.value)
        except OSError:
            pass

    def swap_tables() -> None:
        rng = random.Random(5)
        while not load_ended.wait(0.02):
            rig.swap_table(
                rng.choice([*tables, tables[0][:60], "", tables[1].replace("server 1", "server 1.5")])
            )
            enum_server.behaviour = rng.choice(["well", "well", "silent", "noise", "closes"])
            if rng.random() < 0.1:
                enum_server.stop()
                enum_server.restart()

    threads = [threading.Thread(target=read_answers, args=(caller,)) for caller in callers]
    threads.append(threading.Thread(target=swap_tables))
    for thread in threads:
        thread.start()
    rng = random.Random(9)
    for index in range(calls):
        call, caller = 0x1000 + index, callers[index % len(callers)]
        prefix = rng.choice(["011", "012", "021", "041", "099"])
        max_wait_ms = rng.choice([600, 1500, 3000])
        allowed = {"011": {"s-0", "s-1"}, "012": {"s-0", "s-1"}, "021": {"s-1"}}.get(prefix, set())
        checker.allowed_servers[call] = frozenset(allowed)
        checker.record_set_up(call, max_wait_ms / 1000)
        caller.send(SetUp(call, "voice", max_wait_ms, f"{prefix}{index:04d}", b"offer", first_choice=0))
        if rng.random() < 0.1:
            checker.record_left(call)
            caller.send(Release(call, Reason.CLEARED))
        time.sleep(0.005)
    wait_for(lambda: rig.counters["taken_in"] == calls)  # otherwise the last calls may still be unread
    wait_for(lambda: rig.switch is not None and not rig.switch.shared.open_calls)
    # On a busy machine the calls may be over before enough tables have been loaded.
    wait_for(lambda: min(rig.counters["number_tables_swapped"], rig.counters["number_tables_refused"]) > 3)
    # The last answers may still be on their way, and cannot be confirmed once the connections are shut down.
    wait_for(lambda: not any("no final answer" in violation for violation in checker.find_violations()))
    load_ended.set()
    threads[-1].join(TIMEOUT_S)
    for caller in callers:
        caller.sock.shutdown(socket.SHUT_WR)
    for thread in threads:
        thread.join(TIMEOUT_S)
    assert checker.find_violations() == []
    outcomes = [outcome for record in checker.calls.values() for _, outcome in record.finals]
    assert {"stands", "barred", "unallocated"} <= set(outcomes)
    assert rig.counters["number_tables_swapped"] > 3
    assert rig.counters["number_tables_refused"] > 3


def test_no_module_of_number_analysis_is_imported_while_it_is_off() -> None:
    import subprocess
    import sys

    code = "import sys, wickstep.__main__; print([n for n in sys.modules if n.split('.')[0] in ('kdl', 'dns')"
    code += " or 'numbering' in n])"
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"
