"""Starts that spread themselves, and what was learned kept over restarts, whatever becomes of the file."""

from __future__ import annotations

import os
import shutil
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import pytest

from wickstep import interface as api
from wickstep.forms import BadForm
from wickstep.net import SetUp
from wickstep.recovery import envelope, phases, plan
from wickstep.recovery.learned import SECOND
from wickstep.recovery.store import KIND, NAME, Store

from .helpers import Host, entry
from .test_recovery import BORN, taught
from .test_softswitch import Server, Town, line, wait_for
from .test_softswitch import town as town  # a fixture


def test_of_a_fleet_that_starts_at_once_few_call_together(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.undo()
    fleet = [Random(seed) for seed in range(200)]
    moments: list[float] = []
    for random in fleet:
        at = phases.first_list_s(random, listed=True, grace_s=2.0)
        while at < 20:
            moments.append(at)
            at += phases.list_held_ms(random) / 1000
    spans = Counter(int(at * 10) for at in moments)
    assert max(spans.values()) <= 0.25 * len(fleet)
    assert max(count for span, count in spans.items() if span > 60) <= 0.2 * len(fleet)
    assert phases.first_list_s(fleet[0], listed=False, grace_s=2.0) == 0  # nothing is known without it


@pytest.mark.parametrize("grace_s", [0.0, 0.05, 0.4, 1.0])
def test_a_start_asks_for_the_list_well_before_a_drain_must_be_kept(
    monkeypatch: pytest.MonkeyPatch, grace_s: float
) -> None:
    monkeypatch.undo()
    assert all(phases.first_list_s(Random(seed), True, grace_s) <= grace_s / 2 for seed in range(200))


def test_connections_that_nothing_waits_for_are_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.undo()
    drawn = [phases.dial_us(Random(seed)) for seed in range(200)]
    assert 0 <= min(drawn) < max(drawn) < phases.DIAL_SPREAD_US
    assert max(Counter(at // 100_000 for at in drawn).values()) <= 0.3 * len(drawn)


def test_a_set_up_waits_for_no_drawn_moment(town: Town, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(phases, "DIAL_SPREAD_US", 10**9)  # a quarter of an hour
    server = Server()
    town.open(line(server, "s-1"))
    before, caller = time.monotonic(), town.caller()
    call = town.call(caller)
    server.accept().hear(SetUp, call)
    assert time.monotonic() - before < 2


def test_a_server_told_to_all_at_once_is_dialled_at_a_drawn_moment(
    town: Town, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(phases, "DIAL_SPREAD_US", 10**9)
    server = Server()
    town.open(line(server, "s-1"))
    assert town.switch is not None
    floor = town.switch.floor
    wait_for(lambda: floor.list_known)
    assert floor.counts["dials"] == 0
    assert floor.servers["s-1"].redial_pending


# The store.


def kept(folder: Path, name: str = "n0", host: Host | None = None) -> Path:
    """A file that a softswitch has left."""
    store = Store(plan.Plan(str(folder), 1.0), name)
    host = host or taught()
    store.start()
    store.keep(host.brain, BORN, host.now)
    store.finish()
    return folder / NAME


def adopted(folder: Path, name: str = "n0") -> tuple[int, Host]:
    host = Host(servers=2)
    return Store(plan.Plan(str(folder), 1.0), name).adopt(host.brain, BORN, host.now), host


def test_what_was_learned_outlives_the_process(tmp_path: Path) -> None:
    kept(tmp_path)
    given, host = adopted(tmp_path)
    assert given == 2
    assert host.brain.servers["s0"].base == 4e6
    assert host.brain.servers["s0"].share < 0.5


def doctored(path: Path, **changes: Any) -> None:
    content = envelope.read(path, KIND, 10**6)
    assert content is not None
    for name, value in changes.items():
        (content if name in content else content["learned"])[name] = value
    envelope.write(path, KIND, content)


HOUR = 3600 * SECOND


@pytest.mark.parametrize(
    "trouble",
    ["none", "cut", "flipped", "empty", "noise", "version", "another's", "from the future", "no record"],
)
def test_a_file_that_cannot_be_used_is_a_fresh_start(
    tmp_path: Path, trouble: str, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = kept(tmp_path)
    whole = path.read_bytes()
    match trouble:
        case "none":
            path.unlink()
        case "cut":
            path.write_bytes(whole[:-1])
        case "flipped":
            path.write_bytes(whole[:-9] + bytes([whole[-9] ^ 1]) + whole[-8:])
        case "empty":
            path.write_bytes(b"")
        case "noise":
            path.write_bytes(os.urandom(3000))
        case "version":
            monkeypatch.setattr(envelope, "VERSION", 9)
        case "another's":
            doctored(path, softswitch="n1")
        case "from the future":
            doctored(path, at=time.time_ns() + HOUR)
        case "no record":
            doctored(path, servers=7)
    caplog.clear()
    given, host = adopted(tmp_path)
    assert given == 0
    assert host.brain.servers["s0"].share == 1.0
    assert len(caplog.records) == (trouble != "none")  # one line, and none where there was no file


def test_hours_later_only_the_machine_itself_counts_and_then_nothing(tmp_path: Path) -> None:
    path = kept(tmp_path)
    doctored(path, at=time.time_ns() - HOUR // 60)
    _, host = adopted(tmp_path)
    assert (host.brain.servers["s0"].share, host.brain.servers["s0"].base) == (1.0, 4e6)
    doctored(path, at=time.time_ns() - 5 * HOUR)
    _, host = adopted(tmp_path)
    server = host.brain.servers["s0"]
    assert (server.share, server.base, server.mark_until, server.fails) == (1.0, 0.0, 0, 0)


@pytest.mark.parametrize("trouble", ["missing", "read-only", "full"])
def test_a_folder_that_takes_nothing_costs_one_log_line(
    tmp_path: Path, trouble: str, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "state"
    folder.mkdir()
    if trouble == "missing":
        shutil.rmtree(folder)
    else:

        def refuse(*_: Any) -> None:
            raise OSError(30 if trouble == "read-only" else 28, "no")

        monkeypatch.setattr(os, "replace", refuse)
    store, host = Store(plan.Plan(str(folder), 1.0), "n0"), taught()
    store.start()
    for _ in range(3):
        store.keep(host.brain, BORN, host.now)
        store.finish()
    assert store.written == 0
    assert [record.message.startswith("what is learned is not kept") for record in caplog.records] == [True]
    assert not folder.exists() or os.listdir(folder) == []


def test_the_loop_does_not_wait_for_the_disk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store, host = Store(plan.Plan(str(tmp_path), 1.0), "n0"), taught()
    monkeypatch.setattr(envelope, "write", lambda *_: time.sleep(1))
    store.start()
    before = time.monotonic()
    for _ in range(20):
        store.keep(host.brain, BORN, host.now)
    assert time.monotonic() - before < 0.5


def test_no_stored_word_makes_a_draining_server_usable(tmp_path: Path) -> None:
    kept(tmp_path)
    host = Host(servers=2)
    host.listing(entry(0, api.ServerState.DRAINING), entry(1))
    Store(plan.Plan(str(tmp_path), 1.0), "n0").adopt(host.brain, BORN, host.now)
    assert [server.name for server in host.brain.active] == ["s1"]


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("recovery", "which folder"),
        ('recovery { folder "x"; every-s 0; }', "no number from"),
        ('recovery { folder 5; }', "a text is wanted"),
        ('recovery { folder "x"; fsync; }', "has no place"),
        ('other { folder "x"; }', "one node `recovery`"),
    ],
)
def test_the_operators_file_is_checked(text: str, why: str) -> None:
    with pytest.raises(BadForm, match=why):
        plan.read(text)


def test_the_example_of_the_operators_file_is_one() -> None:
    root = Path(__file__).parent.parent
    assert plan.read((root / "deploy" / "recovery.kdl").read_text()).every_s == plan.EVERY_S
