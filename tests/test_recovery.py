"""State handed to the next process: corrupt files, and records that are too old, malformed or unusable."""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickstep import interface as api
from wickstep.net import Reason
from wickstep.operation import handover
from wickstep.operation.process_group import HandoverReceived, ProcessGroup
from wickstep.recovery import envelope, learned, ledger
from wickstep.recovery.learned import HALF_LIFE, SECOND, LearnedState, ServerRecord

from .helpers import START, Host, server_entry

PACKED = envelope.pack("learned", {"at": 7, "loss": 0.25, "servers": []})


@given(cut=st.integers(0, len(PACKED) - 1))
def test_a_file_truncated_anywhere_is_corrupt(cut: int) -> None:
    with pytest.raises(envelope.CorruptFile):
        envelope.unpack("learned", PACKED[:cut])


@given(at=st.integers(0, len(PACKED) - 1), flip=st.integers(1, 255))
def test_a_file_with_any_byte_changed_is_corrupt(at: int, flip: int) -> None:
    with pytest.raises(envelope.CorruptFile):
        envelope.unpack("learned", PACKED[:at] + bytes([PACKED[at] ^ flip]) + PACKED[at + 1 :])


@given(st.binary(max_size=200))
def test_random_bytes_raise_corrupt_file_only(noise: bytes) -> None:
    with pytest.raises(envelope.CorruptFile):
        envelope.unpack("learned", noise)


def test_a_file_of_another_kind_or_version_is_corrupt(monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(envelope.CorruptFile, match="not a left file of wickstep"):
        envelope.unpack("left", PACKED)
    monkeypatch.setattr(envelope, "VERSION", 2)
    with pytest.raises(envelope.CorruptFile, match="file has version b'1', expected 2"):
        envelope.unpack("learned", PACKED)


def test_a_file_is_replaced_atomically_and_read_back(tmp_path: Path) -> None:
    path = tmp_path / "learned"
    assert envelope.read(path, "learned", 100) is None
    for content in ({"a": 1}, {"a": "2"}):
        envelope.write(path, "learned", content)
        assert envelope.read(path, "learned", 1000) == content
    assert os.listdir(tmp_path) == ["learned"]
    assert path.stat().st_mode & 0o777 == 0o600


@pytest.mark.parametrize("defect", ["large", "folder", "link", "pipe", "unreadable"])
def test_a_path_that_is_not_a_valid_file_of_ours_is_corrupt(tmp_path: Path, defect: str) -> None:
    path = tmp_path / "learned"
    match defect:
        case "large":
            path.write_bytes(PACKED + b" " * 1000)
        case "folder":
            path.mkdir()
        case "link":
            (tmp_path / "other").write_bytes(PACKED)
            path.symlink_to(tmp_path / "other")
        case "pipe":
            os.mkfifo(path)  # opening it for reading would block forever
        case "unreadable":
            path.write_bytes(b"\xff\x00")
    with pytest.raises(envelope.CorruptFile):
        envelope.read(path, "learned", 1000)


def test_writing_to_a_missing_folder_raises_os_error(tmp_path: Path) -> None:
    with pytest.raises(OSError, match="No such file"):
        envelope.write(tmp_path / "gone" / "learned", "learned", {})


# Learned state.

RECORD = ServerRecord(
    "s0", 0, share=0.25, rho=2.0, window=9.0, min_time=4e6, mark_left=SECOND, failures=3, cold_age=0
)
BORN_MS = {"s0": 0, "s1": 0}


def host_with_history(**changes: Any) -> Host:
    """A host whose controller has learned values that differ from the initial ones."""
    host = Host(servers=2)
    server = host.controller.servers["s0"]
    server.share, server.rho, server.window, server.min_time = 0.25, 2.0, 9.0, 4e6
    server.mark_until, server.failures = host.now + SECOND, 3
    for name, value in changes.items():
        setattr(server, name, value)
    return host


def test_learned_state_survives_snapshot_encoding_and_restore() -> None:
    host = host_with_history()
    host.controller.loss = 0.5
    state = learned.take_snapshot(host.controller, BORN_MS, host.now, 10 * SECOND)
    assert state.servers[0] == RECORD
    assert learned.decode(learned.encode(state)) == state
    new = Host(servers=2)
    assert learned.restore(new.controller, state, BORN_MS, new.now, 10 * SECOND) == 2
    server = new.controller.servers["s0"]
    assert (server.share, server.rho, server.window, server.min_time, server.failures) == (
        0.25,
        2.0,
        9.0,
        4e6,
        3,
    )
    assert server.mark_until == new.now + SECOND
    assert not new.controller.may_try(server)
    assert new.controller.loss == 0.5


@pytest.mark.parametrize(
    ("age", "share", "rho", "window", "min_time", "marked"),
    [
        (0, 0.25, 2.0, 9.0, 4e6, True),
        (SECOND // 2, None, None, None, 4e6, True),
        (HALF_LIFE, 0.625, 1.0, 5.5, 4e6, False),  # the mark has run out
        (2 * HALF_LIFE, 0.8125, 0.5, 3.75, 4e6, False),
        (5 * HALF_LIFE, 1.0, None, 2.0, 4e6, False),  # the weight is 0
        (learned.MAX_MIN_TIME_AGE, 1.0, None, 2.0, 0.0, False),
    ],
)
def test_old_learned_state_has_less_weight(
    age: int, share: float | None, rho: float | None, window: float | None, min_time: float, marked: bool
) -> None:
    host = Host(servers=1)
    learned.restore(host.controller, LearnedState(0, 0.0, (RECORD,)), BORN_MS, host.now, age)
    server = host.controller.servers["s0"]
    if share is not None:
        assert server.share == share
        assert server.window == window
        assert server.rho == rho
    assert server.min_time == min_time
    assert (not host.controller.may_try(server)) is marked


@given(st.integers(0, 100 * SECOND), st.integers(0, 100 * SECOND))
def test_the_weight_never_rises_with_age(one: int, other: int) -> None:
    younger, older = sorted((one, other))
    assert 1 >= learned.weight_at_age(younger) >= learned.weight_at_age(older) >= 0


@pytest.mark.parametrize(
    ("record", "listed"),
    [
        (replace(RECORD, host="s9"), BORN_MS),  # not on the list any more
        (replace(RECORD, born_ms=5), BORN_MS),  # another process runs there now
        (RECORD, {"s0": 5}),
    ],
)
def test_state_of_another_process_is_not_restored(record: ServerRecord, listed: dict[str, int]) -> None:
    host = Host(servers=1)
    assert learned.restore(host.controller, LearnedState(0, 0.0, (record,)), listed, host.now, 0) == 0
    assert host.controller.servers["s0"].share == 1.0
    assert "s9" not in host.controller.servers


def test_learned_state_does_not_make_a_draining_server_active() -> None:
    host = Host(servers=1)
    host.update_list(server_entry(0, api.ServerState.DRAINING))
    learned.restore(host.controller, LearnedState(0, 0.0, (RECORD,)), BORN_MS, host.now, 0)
    assert host.controller.active == []
    assert host.new_call(1)  # refused at once
    assert not host.sends()


def test_a_cold_start_keeps_its_age_over_a_restart() -> None:
    host = host_with_history(cold_since=START - 3 * SECOND)
    state = learned.take_snapshot(host.controller, BORN_MS, host.now, 0)
    new = Host(servers=2)
    learned.restore(new.controller, state, BORN_MS, new.now, SECOND)
    assert new.controller.servers["s0"].cold_since == new.now - 4 * SECOND


def test_a_state_from_the_future_is_rejected() -> None:
    host = Host(servers=1)
    with pytest.raises(learned.InvalidState, match=r"9\.0 s in the future"):
        learned.restore(host.controller, LearnedState(9 * SECOND, 0.0, (RECORD,)), BORN_MS, host.now, 0)


GOOD = learned.encode(LearnedState(0, 0.0, (RECORD,)))


@pytest.mark.parametrize(
    "content",
    [
        None,
        [],
        {},
        {**GOOD, "at": -1},
        {**GOOD, "at": True},
        {**GOOD, "at": 1.5},
        {**GOOD, "loss": 2},
        {**GOOD, "loss": float("nan")},
        {**GOOD, "servers": 5},
        {**GOOD, "servers": [["s0"]]},
        {**GOOD, "servers": [[7, *GOOD["servers"][0][1:]]]},
        {**GOOD, "servers": [[*GOOD["servers"][0][:2], 0.0, *GOOD["servers"][0][3:]]]},
        {**GOOD, "servers": [[*GOOD["servers"][0][:6], 10**20, *GOOD["servers"][0][7:]]]},
    ],
)
def test_a_malformed_state_is_rejected(content: Any) -> None:
    with pytest.raises(learned.InvalidState):
        learned.decode(content)


# What a process hands over at its end.


def test_handed_over_calls_and_releases_are_bounded() -> None:
    standing = dict.fromkeys(range(1, handover.MAX_CALLS + 10), "s0")
    releases = [(number, Reason.CLEARED) for number in range(1, handover.MAX_RELEASES + 10)]
    record = handover.decode(handover.encode(handover.Handover(standing, releases)))
    decoded, decoded_releases = record.standing, record.releases
    assert len(decoded) == handover.MAX_CALLS
    assert max(decoded) == max(standing)  # the latest: older calls are more likely to have ended
    assert decoded_releases == releases[-handover.MAX_RELEASES :]


def test_a_handover_of_a_version_that_knows_less_is_used() -> None:
    assert handover.decode({"standing": [["1", "s"]], "releases": []}) == handover.Handover(
        {1: "s"}, [], [], []
    )


@pytest.mark.parametrize(
    "content",
    [
        None,
        {"standing": []},
        {"standing": [["x y", "s"]], "releases": []},
        {"standing": [["0", "s"]], "releases": []},
        {"standing": [["1" * 17, "s"]], "releases": []},
        {"standing": [["1", 5]], "releases": []},
        {"standing": [], "releases": [["1", "whim"]]},
        {"standing": [], "releases": [], "lost_links": [7]},
        {"standing": [], "releases": [], "lost_links": {}},
        {"standing": [], "releases": [], "server_releases": [["1", "s"]]},
    ],
)
def test_a_malformed_handover_is_rejected(content: Any) -> None:
    with pytest.raises(handover.InvalidHandover):
        handover.decode(content)


def test_inherited_calls_go_by_release_by_server_or_by_number(monkeypatch: pytest.MonkeyPatch) -> None:
    table = handover.InheritedCalls()
    assert table.add({1: "a", 2: "a", 3: "b", 4: "b"}) == 0
    assert table.take(1) == "a"
    assert table.take(1) is None
    assert table.take_by_host("b") == [3, 4]
    assert table.add({5: "c"}) == 0
    assert len(table) == 2
    monkeypatch.setattr(handover, "MAX_INHERITED_CALLS", 2)
    assert table.add({6: "c", 7: "c"}) == 2  # the oldest are forgotten
    assert table.take_by_host("c") == [6, 7]
    assert len(table) == 0


def test_all_calls_of_a_full_journal_are_inherited() -> None:
    """Guards against callers that hold a dead call: of more than 5,000 calls the oldest were forgotten."""
    standing = dict.fromkeys(range(1, ledger.MAX_LIVE_CALLS + 1), "s0")
    assert handover.InheritedCalls().add(standing) == 0


# Processes of one softswitch.


def test_processes_see_each_other_and_receive_the_handover(tmp_path: Path) -> None:
    received: list[HandoverReceived] = []
    old, new = (ProcessGroup(tmp_path / "shared", received.append) for _ in range(2))
    assert old.join()
    assert new.join()
    old.scan()
    assert [m.pid for m in new.others] == [os.getpid()]
    assert not old.has_successor()
    new.announce_ready()
    old.scan()
    assert old.has_successor()
    assert not new.has_successor()
    old.leave({"some": "calls"})
    new.scan()
    assert received == []  # the old process is still alive
    os.close(old._descriptor)
    new.scan()
    assert received == [HandoverReceived({"some": "calls"})]
    assert new.others == ()
    new.scan()
    assert len(received) == 1
    os.close(new._descriptor)


@pytest.mark.parametrize("defect", ["file", "foreign", "missing"])
def test_a_process_does_without_a_shared_folder_that_cannot_be_used(
    tmp_path: Path, defect: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "shared"
    if defect == "file":
        folder.write_text("no folder")
    elif defect == "foreign":
        folder.mkdir()
        monkeypatch.setattr(os, "geteuid", lambda: 12345)
    else:
        folder = tmp_path / "gone" / "shared"
    assert not ProcessGroup(folder, lambda left: None).join()


def test_corrupt_files_in_the_shared_folder_are_ignored(tmp_path: Path) -> None:
    received: list[HandoverReceived] = []
    new = ProcessGroup(tmp_path / "shared", received.append)
    assert new.join()
    for name in ("learned", "5-77.life", "5-77.left", "x.life", "-.life"):
        (tmp_path / "shared" / name).write_bytes(b"\x00corrupt")
    assert new.load_learned() is None
    new.scan()
    assert received == []
    assert new.others == ()
    assert not (tmp_path / "shared" / "5-77.left").exists()
    os.close(new._descriptor)
