"""Jitter of starts and connections, and learned state over restarts with valid, corrupt or missing files."""

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
from .test_softswitch import rig as rig  # fixture


def test_a_fleet_that_starts_at_once_spreads_its_polls_for_the_list(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.undo()
    fleet = [Random(seed) for seed in range(200)]
    poll_times: list[float] = []
    for random in fleet:
        at = jitter.draw_list_delay_s(random, list_known=True, grace_s=2.0)
        while at < 20:
            poll_times.append(at)
            at += jitter.draw_list_hold_ms(random) / 1000
    by_tenth = Counter(int(at * 10) for at in poll_times)
    assert max(by_tenth.values()) <= 0.25 * len(fleet)
    assert max(count for tenth, count in by_tenth.items() if tenth > 60) <= 0.2 * len(fleet)
    assert jitter.draw_list_delay_s(fleet[0], list_known=False, grace_s=2.0) == 0  # no server known yet


@pytest.mark.parametrize("grace_s", [0.0, 0.05, 0.4, 1.0])
def test_the_first_poll_comes_within_half_of_the_drain_grace_time(
    monkeypatch: pytest.MonkeyPatch, grace_s: float
) -> None:
    monkeypatch.undo()
    assert all(jitter.draw_list_delay_s(Random(seed), True, grace_s) <= grace_s / 2 for seed in range(200))


def test_connections_that_nothing_waits_for_are_jittered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.undo()
    delays = [jitter.draw_dial_delay_us(Random(seed)) for seed in range(200)]
    assert 0 <= min(delays) < max(delays) < jitter.DIAL_JITTER_US
    assert max(Counter(at // 100_000 for at in delays).values()) <= 0.3 * len(delays)


def test_a_set_up_does_not_wait_for_the_dial_jitter(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(jitter, "DIAL_JITTER_US", 10**9)  # 1000 s, far longer than the test waits
    server = Server()
    rig.open(list_line(server, "s-1"))
    before, caller = time.monotonic(), rig.caller()
    call = rig.call(caller)
    server.accept().receive(SetUp, call)
    assert time.monotonic() - before < 2


def test_a_newly_listed_server_is_dialled_only_after_the_jitter(
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


# The file of learned state.


def write_state(folder: Path, name: str = "n0", host: Host | None = None) -> Path:
    """Write the file as a softswitch does, and return its path."""
    store = LearnedStore(plan.RecoveryPlan(str(folder), 1.0), name)
    host = host or host_with_history()
    store.start()
    store.save_latest(host.controller, BORN_MS, host.now)
    store.flush()
    return folder / FILE_NAME


def restore_state(folder: Path, name: str = "n0") -> tuple[int, Host]:
    host = Host(servers=2)
    return (
        LearnedStore(plan.RecoveryPlan(str(folder), 1.0), name).restore(host.controller, BORN_MS, host.now),
        host,
    )


def test_learned_state_survives_a_restart(tmp_path: Path) -> None:
    write_state(tmp_path)
    restored, host = restore_state(tmp_path)
    assert restored == 2
    assert host.controller.servers["s0"].min_time == 4e6
    assert host.controller.servers["s0"].share < 0.5


def modify_file(path: Path, **changes: Any) -> None:
    content = envelope.read(path, FILE_KIND, 10**6)
    assert content is not None
    for name, value in changes.items():
        (content if name in content else content["learned"])[name] = value
    envelope.write(path, FILE_KIND, content)


HOUR = 3600 * SECOND


@pytest.mark.parametrize(
    "defect",
    ["none", "cut", "flipped", "empty", "noise", "version", "another's", "from the future", "no record"],
)
def test_a_file_that_cannot_be_used_is_ignored_with_one_log_line(
    tmp_path: Path, defect: str, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = write_state(tmp_path)
    raw = path.read_bytes()
    match defect:
        case "none":
            path.unlink()
        case "cut":
            path.write_bytes(raw[:-1])
        case "flipped":
            path.write_bytes(raw[:-9] + bytes([raw[-9] ^ 1]) + raw[-8:])
        case "empty":
            path.write_bytes(b"")
        case "noise":
            path.write_bytes(os.urandom(3000))
        case "version":
            monkeypatch.setattr(envelope, "VERSION", 9)
        case "another's":
            modify_file(path, softswitch="n1")
        case "from the future":
            modify_file(path, at=time.time_ns() + HOUR)
        case "no record":
            modify_file(path, servers=7)
    caplog.clear()
    restored, host = restore_state(tmp_path)
    assert restored == 0
    assert host.controller.servers["s0"].share == 1.0
    assert len(caplog.records) == (defect != "none")  # a missing file is not logged


def test_load_state_expires_after_a_minute_and_set_up_times_after_hours(tmp_path: Path) -> None:
    path = write_state(tmp_path)
    modify_file(path, at=time.time_ns() - HOUR // 60)
    _, host = restore_state(tmp_path)
    assert (host.controller.servers["s0"].share, host.controller.servers["s0"].min_time) == (1.0, 4e6)
    modify_file(path, at=time.time_ns() - 5 * HOUR)
    _, host = restore_state(tmp_path)
    server = host.controller.servers["s0"]
    assert (server.share, server.min_time, server.mark_until, server.failures) == (1.0, 0.0, 0, 0)


@pytest.mark.parametrize("defect", ["missing", "read-only", "full"])
def test_a_folder_that_cannot_be_written_costs_one_log_line(
    tmp_path: Path, defect: str, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "state"
    folder.mkdir()
    if defect == "missing":
        shutil.rmtree(folder)
    else:

        def refuse(*_: Any) -> None:
            raise OSError(30 if defect == "read-only" else 28, "no")

        monkeypatch.setattr(os, "replace", refuse)
    store, host = LearnedStore(plan.RecoveryPlan(str(folder), 1.0), "n0"), host_with_history()
    store.start()
    for _ in range(3):
        store.save_latest(host.controller, BORN_MS, host.now)
        store.flush()
    assert store.write_count == 0
    assert [
        record.message.startswith("the learned state cannot be written") for record in caplog.records
    ] == [True]
    assert not folder.exists() or os.listdir(folder) == []


def test_the_loop_does_not_wait_for_the_disk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    store, host = LearnedStore(plan.RecoveryPlan(str(tmp_path), 1.0), "n0"), host_with_history()
    monkeypatch.setattr(envelope, "write", lambda *_: time.sleep(1))
    store.start()
    before = time.monotonic()
    for _ in range(20):
        store.save_latest(host.controller, BORN_MS, host.now)
    assert time.monotonic() - before < 0.5


def test_a_stored_file_does_not_make_a_draining_server_active(tmp_path: Path) -> None:
    write_state(tmp_path)
    host = Host(servers=2)
    host.update_list(server_entry(0, api.ServerState.DRAINING), server_entry(1))
    LearnedStore(plan.RecoveryPlan(str(tmp_path), 1.0), "n0").restore(host.controller, BORN_MS, host.now)
    assert [server.name for server in host.controller.active] == ["s1"]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("recovery", "no folder is given"),
        ('recovery { folder "x"; every-s 0; }', "expected a number from"),
        ("recovery { folder 5; }", "got 5.0, expected text"),
        ('recovery { folder "x"; fsync; }', "unknown node fsync, expected one of"),
        ('other { folder "x"; }', "expected exactly one node `recovery`"),
    ],
)
def test_a_wrong_recovery_file_is_rejected(text: str, message: str) -> None:
    with pytest.raises(KdlError, match=message):
        plan.read(text)


def test_the_example_recovery_file_is_valid() -> None:
    root = Path(__file__).parent.parent
    assert plan.read((root / "deploy" / "recovery.kdl").read_text()).interval_s == plan.DEFAULT_INTERVAL_S
