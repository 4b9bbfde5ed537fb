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
from wickstep.forms import KdlError
from wickstep.net import SetUp
from wickstep.recovery import envelope, jitter, plan
from wickstep.recovery.learned import SECOND
from wickstep.recovery.store import FILE_KIND, FILE_NAME, LearnedStore

from .helpers import Host, server_entry
from .test_recovery import BORN_MS, host_with_history
from .test_softswitch import Rig, Server, list_line, wait_for
from .test_softswitch import rig as rig  # a fixture


def test_of_a_fleet_that_starts_at_once_few_call_together(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.undo()
    fleet = [Random(seed) for seed in range(200)]
    moments: list[float] = []
    for random in fleet:
        at = jitter.draw_list_delay_s(random, list_known=True, grace_s=2.0)
        while at < 20:
            moments.append(at)
            at += jitter.draw_list_hold_ms(random) / 1000
    spans = Counter(int(at * 10) for at in moments)
    assert max(spans.values()) <= 0.25 * len(fleet)
    assert max(count for span, count in spans.items() if span > 60) <= 0.2 * len(fleet)
    assert jitter.draw_list_delay_s(fleet[0], list_known=False, grace_s=2.0) == 0  # nothing known without it


@pytest.mark.parametrize("grace_s", [0.0, 0.05, 0.4, 1.0])
def test_a_start_asks_for_the_list_well_before_a_drain_must_be_kept(
    monkeypatch: pytest.MonkeyPatch, grace_s: float
) -> None:
    monkeypatch.undo()
    assert all(jitter.draw_list_delay_s(Random(seed), True, grace_s) <= grace_s / 2 for seed in range(200))


def test_connections_that_nothing_waits_for_are_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.undo()
    drawn = [jitter.draw_dial_delay_us(Random(seed)) for seed in range(200)]
    assert 0 <= min(drawn) < max(drawn) < jitter.DIAL_JITTER_US
    assert max(Counter(at // 100_000 for at in drawn).values()) <= 0.3 * len(drawn)


def test_a_set_up_waits_for_no_drawn_moment(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(jitter, "DIAL_JITTER_US", 10**9)  # a quarter of an hour
    server = Server()
    rig.open(list_line(server, "s-1"))
    before, caller = time.monotonic(), rig.caller()
    call = rig.call(caller)
    server.accept().hear(SetUp, call)
    assert time.monotonic() - before < 2


def test_a_server_told_to_all_at_once_is_dialled_at_a_drawn_moment(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(jitter, "DIAL_JITTER_US", 10**9)
    server = Server()
    rig.open(list_line(server, "s-1"))
    assert rig.switch is not None
    shared = rig.switch.shared
    wait_for(lambda: shared.list_known)
    assert shared.counters["dials"] == 0
    assert shared.servers["s-1"].redial_pending


# The store.


def kept(folder: Path, name: str = "n0", host: Host | None = None) -> Path:
    """A file that a softswitch has left."""
    store = LearnedStore(plan.RecoveryPlan(str(folder), 1.0), name)
    host = host or host_with_history()
    store.start()
    store.save_latest(host.controller, BORN_MS, host.now)
    store.flush()
    return folder / FILE_NAME


def adopted(folder: Path, name: str = "n0") -> tuple[int, Host]:
    host = Host(servers=2)
    return (
        LearnedStore(plan.RecoveryPlan(str(folder), 1.0), name).restore(host.controller, BORN_MS, host.now),
        host,
    )


def test_what_was_learned_outlives_the_process(tmp_path: Path) -> None:
    kept(tmp_path)
    given, host = adopted(tmp_path)
    assert given == 2
    assert host.controller.servers["s0"].min_time == 4e6
    assert host.controller.servers["s0"].share < 0.5


def doctored(path: Path, **changes: Any) -> None:
    content = envelope.read(path, FILE_KIND, 10**6)
    assert content is not None
    for name, value in changes.items():
        (content if name in content else content["learned"])[name] = value
    envelope.write(path, FILE_KIND, content)


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
    assert host.controller.servers["s0"].share == 1.0
    assert len(caplog.records) == (trouble != "none")  # one line, and none where there was no file


def test_hours_later_only_the_machine_itself_counts_and_then_nothing(tmp_path: Path) -> None:
    path = kept(tmp_path)
    doctored(path, at=time.time_ns() - HOUR // 60)
    _, host = adopted(tmp_path)
    assert (host.controller.servers["s0"].share, host.controller.servers["s0"].min_time) == (1.0, 4e6)
    doctored(path, at=time.time_ns() - 5 * HOUR)
    _, host = adopted(tmp_path)
    server = host.controller.servers["s0"]
    assert (server.share, server.min_time, server.mark_until, server.failures) == (1.0, 0.0, 0, 0)


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
    store, host = LearnedStore(plan.RecoveryPlan(str(folder), 1.0), "n0"), host_with_history()
    store.start()
    for _ in range(3):
        store.save_latest(host.controller, BORN_MS, host.now)
        store.flush()
    assert store.write_count == 0
    assert [record.message.startswith("what is learned is not kept") for record in caplog.records] == [True]
    assert not folder.exists() or os.listdir(folder) == []


def test_the_loop_does_not_wait_for_the_disk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store, host = LearnedStore(plan.RecoveryPlan(str(tmp_path), 1.0), "n0"), host_with_history()
    monkeypatch.setattr(envelope, "write", lambda *_: time.sleep(1))
    store.start()
    before = time.monotonic()
    for _ in range(20):
        store.save_latest(host.controller, BORN_MS, host.now)
    assert time.monotonic() - before < 0.5


def test_no_stored_word_makes_a_draining_server_usable(tmp_path: Path) -> None:
    kept(tmp_path)
    host = Host(servers=2)
    host.update_list(server_entry(0, api.ServerState.DRAINING), server_entry(1))
    LearnedStore(plan.RecoveryPlan(str(tmp_path), 1.0), "n0").restore(host.controller, BORN_MS, host.now)
    assert [server.name for server in host.controller.active] == ["s1"]


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
    with pytest.raises(KdlError, match=why):
        plan.read(text)


def test_the_example_of_the_operators_file_is_one() -> None:
    root = Path(__file__).parent.parent
    assert plan.read((root / "deploy" / "recovery.kdl").read_text()).interval_s == plan.DEFAULT_INTERVAL_S
