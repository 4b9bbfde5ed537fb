"""Stories of number analysis over loopback sockets: tables, time of day, look-ups, and swaps under load."""

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
from wickstep.net.softswitch import Config, Softswitch
from wickstep.numbering import reader, stage

from .checker import Checker
from .enum_stand_in import EnumServer, record
from .test_softswitch import TIMEOUT_S, Peer, Rig, Server, list_line, wait_for

HEAD = 'numbering version="{version}" {{\n plan country="60" national="0"\n'
ROUTES = ' route "a" {{ server 0; server 1; }}\n route "b" {{ server 1; }}\n route "none" {{ server 7; }}\n'
OFFICE = ' schedule "office" { open "daily" "08:00-20:00"; }\n'
RULES = """ prefix "601" route="a"
 prefix "602" route="b"
 prefix "603" route="none"
 prefix "604" bar="barred"
 prefix "605" { when "office" route="a"; otherwise route="b"; }
"""
NOON, NIGHT = 1796083200.0 + 12 * 3600, 1796083200.0 + 22 * 3600  # 2026-12-01, UTC


def text(rules: str = RULES, version: str = "1") -> str:
    return (HEAD + ROUTES).format(version=version) + OFFICE + rules + "}\n"


class NumberTown(Rig):
    """Two servers, of the numbers 0 and 1, and a table."""

    def __init__(self, path: Path) -> None:
        super().__init__()
        self.path = path

    def begin(self, table: str, servers: int = 2) -> list[Peer]:
        self.path.write_text(table)
        self.servers = [Server() for _ in range(servers)]
        made = [stage.load_table(self.path)]  # handed over, not kept: whether it is freed is part of a story
        self.stage: stage.NumberStage | None = None

        def make(shared: module.SharedState, admit: module.AdmitStage) -> stage.NumberStage:
            self.stage = stage.NumberStage(shared, admit, self.path, made.pop())
            return self.stage

        self.make = make
        self.open(*(list_line(server, f"s-{n}", n) for n, server in enumerate(self.servers)))
        return [server.accept() for server in self.servers]

    def build(self, config: Config) -> Softswitch:
        return Softswitch(config, lambda: Config.read(self.text), self.make)

    def dial(self, caller: Peer, number: str, wait_ms: int = 5000, first_choice: int = 0) -> int:
        self.serial += 1
        caller.say(SetUp(self.serial, "voice", wait_ms, number, b"offer", first_choice=first_choice))
        return self.serial

    def swap(self, table: str) -> None:
        self.path.write_text(table)
        assert self.switch is not None
        self.switch.reload_requested = True

    @property
    def counts(self) -> dict[str, int]:
        assert self.switch is not None
        return self.switch.shared.counters


@pytest.fixture
def rig(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[NumberTown]:
    monkeypatch.setattr(module, "MIN_STOP_TIME", 0)
    made = NumberTown(tmp_path / "numbers.kdl")
    yield made
    made.stop()
    assert made.switch is not None
    assert made.switch.shared.counters["faults"] == 0


@pytest.mark.parametrize(
    ("dialled", "reason"),
    [
        ("604123", Reason.BARRED),
        ("999", Reason.UNALLOCATED),
        ("7f3a9c21e0b4d655", Reason.UNALLOCATED),
        ("12x4", Reason.INVALID_NUMBER),
        ("1" * 40, Reason.INVALID_NUMBER),
        ("603123", Reason.CONGESTED),  # its servers are not on the list: perhaps later
    ],
)
def test_what_leads_nowhere_is_refused_at_once_and_reaches_no_server(
    rig: NumberTown, dialled: str, reason: Reason
) -> None:
    first, _ = rig.begin(text())
    caller = rig.caller()
    began = time.monotonic()
    refusal = caller.hear(Release, rig.dial(caller, dialled))
    assert time.monotonic() - began < 2  # nowhere near the caller's five seconds
    assert (refusal.reason, bool(refusal.stay_away_ms)) == (reason, reason is Reason.CONGESTED)
    call = rig.dial(caller, "0112345")
    assert first.hear(SetUp).call == call  # the first that a server has seen


def test_a_route_names_the_servers_and_no_other_is_tried(rig: NumberTown) -> None:
    _, second = rig.begin(text())
    caller = rig.caller()
    call = rig.dial(caller, "0212345", first_choice=0)  # the caller's figure says 0, the route has only 1
    assert second.hear(SetUp).call == call
    second.say(Release(call, Reason.FULL, Note.OVERLOAD))
    second.hear(SetUp, call)  # when its mark is over, and never the other server
    second.say(Answer(call, b"accept"))
    caller.hear(Answer, call)


def test_a_route_names_the_order_of_its_servers(rig: NumberTown) -> None:
    first, second = rig.begin(text())
    caller = rig.caller()
    call = rig.dial(caller, "0112345", first_choice=1)
    sent = first.hear(SetUp)
    assert (sent.call, sent.number) == (call, "0112345")  # on it goes as it was dialled
    first.say(Release(call, Reason.FULL, Note.OVERLOAD))
    second.hear(SetUp, call)
    second.say(Answer(call, b"accept"))
    caller.hear(Answer, call)


def test_a_switch_of_the_time_of_day_changes_no_call_that_is_being_set_up(
    rig: NumberTown, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = [NOON]
    monkeypatch.setattr(time, "time", lambda: now[0])
    monkeypatch.setattr(stage, "WALL_EVERY", 0)
    first, second = rig.begin(text())
    caller = rig.caller()
    call = rig.dial(caller, "0512345")
    first.hear(SetUp, call)
    now[0] = NIGHT
    other = rig.dial(caller, "0512345")
    second.hear(SetUp, other)
    second.say(Answer(other, b"accept"))
    second.say(Release(call, Reason.FULL))  # of a call it does not have: no business of anybody's
    first.say(Release(call, Reason.INTERRUPTED))
    again = first.hear(SetUp, call)  # after its pause it is tried at the first server of its route once more
    assert again.call == call
    first.say(Answer(call, b"accept"))
    caller.hear(Answer, call)


def test_a_new_table_takes_over_between_calls_and_the_old_one_goes_with_its_last(rig: NumberTown) -> None:
    first, second = rig.begin(text())
    caller = rig.caller()
    call = rig.dial(caller, "0112345")
    first.hear(SetUp, call)
    rig.swap(text(' prefix "601" route="b"\n', version="2"))
    wait_for(lambda: rig.counts["number_tables_swapped"] == 1)
    other = rig.dial(caller, "0112345")
    second.hear(SetUp, other)
    second.say(Answer(other, b"accept"))
    caller.hear(Answer, other)
    assert rig.stage is not None
    assert rig.stage.counts()["number_tables_alive"] == 2
    first.say(Release(call, Reason.INTERRUPTED))
    first.hear(SetUp, call)  # by the table it was taken in under
    first.say(Answer(call, b"accept"))
    caller.hear(Answer, call)
    first.say(Release(call, Reason.CLEARED))
    caller.hear(Release, call)
    wait_for(lambda: rig.stage is not None and rig.stage.counts()["number_tables_alive"] == 1)


HALF = text()[: len(text()) // 2]


@pytest.mark.parametrize(
    ("table", "reason"),
    [
        ("", "numbering"),
        (HALF, "line"),
        (text(' prefix "6" strip=1 prepend="6"\n'), "line 7: translations lead back"),
        (text(' prefix "6" route="nowhere"\n'), "line 7: prefix 6: no route"),
        (text(' prefixes "list.csv" count=9\n'), "list.csv"),
        ("//" + "x" * reader.MAX_SETTINGS_CHARACTERS + text(), "characters"),
        (text(""), "no prefix"),
        ("\0\xff{{{", ""),
    ],
    ids=["empty", "half", "loop", "no route", "no list", "oversized", "no prefix", "noise"],
)
def test_a_table_that_is_none_changes_nothing_and_is_told(
    rig: NumberTown, caplog: pytest.LogCaptureFixture, table: str, reason: str
) -> None:
    first, _ = rig.begin(text())
    caller = rig.caller()
    rig.swap(table)
    wait_for(lambda: rig.counts["number_tables_refused"] == 1)
    wait_for(lambda: "number table 1 stays" in caplog.text)  # counted first, then told
    assert reason in caplog.text
    call = rig.dial(caller, "0112345")
    first.hear(SetUp, call)
    rig.swap(text(version="3"))
    wait_for(lambda: rig.counts["number_tables_swapped"] == 1)


# Look-ups.


@pytest.fixture
def base() -> Iterator[EnumServer]:
    made = EnumServer()
    made.records["60123"] = [record("tel:+60123;npdi;rn=+60299")]
    yield made
    made.stop()


def asking(base: EnumServer, fallback: str = "dialled", budget_ms: int = 300) -> str:
    rules = f' portability "{base.dial}" budget-ms={budget_ms}\n'
    return text(rules + f' prefix "601" route="a" portability="{fallback}"\n prefix "602" route="b"\n')


@pytest.mark.parametrize("manner", ["well", "silent", "refuses", "noise", "closes", "gone"])
@pytest.mark.parametrize("fallback", ["dialled", "refuse"])
def test_a_look_up_is_followed_or_falls_back_in_time(
    rig: NumberTown, base: EnumServer, manner: str, fallback: str
) -> None:
    first, second = rig.begin(asking(base, fallback))
    base.manner = manner
    if manner == "gone":
        base.stop()
    caller = rig.caller()
    began = time.monotonic()
    call = rig.dial(caller, "0123")
    if manner != "well" and fallback == "refuse":
        assert caller.hear(Release, call).reason is Reason.UNALLOCATED
        assert time.monotonic() - began < 3  # of the five seconds that the caller would wait
        return
    taker = second if manner == "well" else first  # ported to 60299, or as dialled
    assert taker.hear(SetUp, call).number == "0123"
    assert time.monotonic() - began < 3
    taker.say(Answer(call, b"accept"))
    caller.hear(Answer, call)


def test_a_caller_that_gives_up_while_its_look_up_is_out_gets_nothing_more(
    rig: NumberTown, base: EnumServer
) -> None:
    first, second = rig.begin(asking(base))
    base.manner = "silent"
    caller = rig.caller()
    call = rig.dial(caller, "0123")
    wait_for(lambda: len(base.held) == 1)
    caller.say(Release(call, Reason.CLEARED))
    wait_for(lambda: rig.counts["callers_left"] == 1)
    base.manner = "well"
    base.let_go()
    other = rig.dial(caller, "0123")  # the answer was for nobody, but it is remembered
    assert second.hear(SetUp).call == other
    second.say(Answer(other, b"accept"))
    caller.hear(Answer, other)
    assert not [message for message in [*caller.read, *first.read] if message.call == call]
    assert len(base.asked) <= 2


def test_a_look_up_never_makes_an_answer_late(rig: NumberTown, base: EnumServer) -> None:
    first, _ = rig.begin(asking(base, budget_ms=60_000))
    base.manner = "silent"
    caller = rig.caller()
    began = time.monotonic()
    call = rig.dial(caller, "0123", wait_ms=2000)
    first.hear(SetUp, call)  # after a quarter of what the caller waits, not the plan's minute
    assert time.monotonic() - began < 1.5
    first.say(Answer(call, b"accept"))
    caller.hear(Answer, call)


def test_a_table_may_turn_look_ups_off_and_on_while_they_are_out(rig: NumberTown, base: EnumServer) -> None:
    first, second = rig.begin(asking(base))
    base.manner = "silent"
    caller = rig.caller()
    call = rig.dial(caller, "0123")
    wait_for(lambda: len(base.held) == 1)
    rig.swap(text(' prefix "601" route="b"\n', version="2"))
    first.hear(SetUp, call)  # the question was given up with its client: by its own table, as dialled
    first.say(Answer(call, b"accept"))
    caller.hear(Answer, call)
    other = rig.dial(caller, "0123")
    second.hear(SetUp, other)
    base.manner = "well"
    rig.swap(asking(base))
    wait_for(lambda: rig.counts["number_tables_swapped"] == 2)
    third = rig.dial(caller, "0123")
    second.hear(SetUp, third)  # ported
    assert base.asked == ["60123", "60123"]


# Everything at once.


class Actor:
    """A setup server that does to each set-up what its lot says, and tells the checker."""

    def __init__(self, name: str, server: Server, checker: Checker, seed: int) -> None:
        self.name, self.server, self.checker = name, server, checker
        self.random = random.Random(seed)
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
        out: set[int] = set()
        try:
            while data := peer.sock.recv(65536):
                for message in peer.splitter.feed(data):
                    if isinstance(message, SetUp):
                        self.checker.record_attempt(message.call, self.name)
                        out.add(message.call)
                        self.take(peer, out, message.call)
                    elif isinstance(message, Release) and message.call in out:
                        out.discard(message.call)
                        self.checker.record_attempt_end(message.call, self.name, "given_up")
        except (OSError, MalformedMessage):
            pass
        for call in out:
            self.checker.record_attempt_end(call, self.name, "reset")

    def take(self, peer: Peer, out: set[int], call: int) -> None:
        lot = self.random.random()
        if lot < 0.10:
            return  # taken and never answered
        out.discard(call)
        if lot < 0.25:
            self.checker.record_attempt_end(call, self.name, "failed")
            peer.say(Release(call, Reason.FULL, Note.OVERLOAD))
        elif lot < 0.35:
            self.checker.record_attempt_end(call, self.name, "reset")
            peer.say(Release(call, Reason.INTERRUPTED))
        else:
            self.checker.record_attempt_end(call, self.name, "stands")
            peer.say(Answer(call, b"accept"), Release(call, Reason.CLEARED))


def test_tables_swapped_under_load_leave_every_call_one_outcome(rig: NumberTown, base: EnumServer) -> None:
    checker = Checker()
    rules = ' prefix "601" route="{}" portability="dialled"\n prefix "602" route="b"\n prefix "604" bar="x"\n'
    tables = [
        text(f' portability "{base.dial}" budget-ms=100\n' + rules.format(route), version=route)
        for route in ("a", "b")
    ]
    rig.path.write_text(tables[0])
    servers = [Server() for _ in range(2)]
    for number, server in enumerate(servers):
        Actor(f"s-{number}", server, checker, seed=number)
    first = stage.load_table(rig.path)
    rig.make = lambda shared, admit: stage.NumberStage(shared, admit, rig.path, first)
    rig.open(*(list_line(server, f"s-{n}", n) for n, server in enumerate(servers)), max_open=1000)
    callers = [rig.caller() for _ in range(4)]
    over = threading.Event()
    calls = 300

    with_answer: set[int] = set()  # a release after the answer is the call's end, on whichever connection

    def listen(caller: Peer) -> None:
        caller.sock.settimeout(TIMEOUT_S)
        try:
            while data := caller.sock.recv(65536):
                for message in caller.splitter.feed(data):
                    if isinstance(message, Answer):
                        with_answer.add(message.call)
                        checker.record_final(message.call, "stands")
                    elif isinstance(message, Release):
                        caller.say(ReleaseComplete(message.call))
                        if message.call not in with_answer:
                            checker.record_final(message.call, message.reason.value)
        except OSError:
            pass

    def swaps() -> None:
        lots = random.Random(5)
        while not over.wait(0.02):
            rig.swap(lots.choice([*tables, tables[0][:60], "", tables[1].replace("server 1", "server 1.5")]))
            base.manner = lots.choice(["well", "well", "silent", "noise", "closes"])
            if lots.random() < 0.1:
                base.stop()
                base.restart()

    threads = [threading.Thread(target=listen, args=(caller,)) for caller in callers]
    threads.append(threading.Thread(target=swaps))
    for thread in threads:
        thread.start()
    lots = random.Random(9)
    for number in range(calls):
        call, caller = 0x1000 + number, callers[number % len(callers)]
        prefix = lots.choice(["011", "012", "021", "041", "099"])
        patience = lots.choice([600, 1500, 3000])
        allowed = {"011": {"s-0", "s-1"}, "012": {"s-0", "s-1"}, "021": {"s-1"}}.get(prefix, set())
        checker.allowed_servers[call] = frozenset(allowed)
        checker.record_set_up(call, patience / 1000)
        caller.say(SetUp(call, "voice", patience, f"{prefix}{number:04d}", b"offer", first_choice=0))
        if lots.random() < 0.1:
            checker.record_left(call)
            caller.say(Release(call, Reason.CLEARED))
        time.sleep(0.005)
    wait_for(lambda: rig.counts["taken_in"] == calls)  # else the last may be unread still
    wait_for(lambda: rig.switch is not None and not rig.switch.shared.open_calls)
    # On a busy machine a swap takes longer than the calls leave room for.
    wait_for(lambda: min(rig.counts["number_tables_swapped"], rig.counts["number_tables_refused"]) > 3)
    # Its answer may be on its way still, and who hears it cannot confirm anything once the end is begun.
    wait_for(lambda: not any("no final answer" in trouble for trouble in checker.find_violations()))
    over.set()
    threads[-1].join(TIMEOUT_S)
    for caller in callers:
        caller.sock.shutdown(socket.SHUT_WR)
    for thread in threads:
        thread.join(TIMEOUT_S)
    assert checker.find_violations() == []
    kinds = [kind for story in checker.calls.values() for _, kind in story.finals]
    assert {"stands", "barred", "unallocated"} <= set(kinds)
    assert rig.counts["number_tables_swapped"] > 3
    assert rig.counts["number_tables_refused"] > 3


def test_nothing_of_it_is_loaded_while_it_is_off() -> None:
    import subprocess
    import sys

    code = "import sys, wickstep.__main__; print([n for n in sys.modules if n.split('.')[0] in ('kdl', 'dns')"
    code += " or 'numbering' in n])"
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"
