"""What is left to the next process: files that may be spoilt, records that may be old or make no sense."""

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
from wickstep.recovery import envelope, learned
from wickstep.recovery.learned import HALF_LIFE, SECOND, LearnedState, ServerRecord

from .helpers import START, Host, server_entry

WHOLE = envelope.pack("learned", {"at": 7, "loss": 0.25, "servers": []})


@given(cut=st.integers(0, len(WHOLE) - 1))
def test_a_file_cut_anywhere_is_spoilt(cut: int) -> None:
    with pytest.raises(envelope.CorruptFile):
        envelope.unpack("learned", WHOLE[:cut])


@given(at=st.integers(0, len(WHOLE) - 1), flip=st.integers(1, 255))
def test_a_file_with_any_byte_changed_is_spoilt(at: int, flip: int) -> None:
    with pytest.raises(envelope.CorruptFile):
        envelope.unpack("learned", WHOLE[:at] + bytes([WHOLE[at] ^ flip]) + WHOLE[at + 1 :])


@given(st.binary(max_size=200))
def test_noise_is_spoilt_and_raises_nothing_else(noise: bytes) -> None:
    with pytest.raises(envelope.CorruptFile):
        envelope.unpack("learned", noise)


def test_another_kind_or_version_is_spoilt(monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(envelope.CorruptFile, match="no left"):
        envelope.unpack("left", WHOLE)
    monkeypatch.setattr(envelope, "VERSION", 2)
    with pytest.raises(envelope.CorruptFile, match="version"):
        envelope.unpack("learned", WHOLE)


def test_a_file_is_replaced_whole_and_read_back(tmp_path: Path) -> None:
    path = tmp_path / "learned"
    assert envelope.read(path, "learned", 100) is None
    for content in ({"a": 1}, {"a": "2"}):
        envelope.write(path, "learned", content)
        assert envelope.read(path, "learned", 1000) == content
    assert os.listdir(tmp_path) == ["learned"]
    assert path.stat().st_mode & 0o777 == 0o600


@pytest.mark.parametrize("trouble", ["large", "folder", "link", "pipe", "unreadable"])
def test_what_is_no_file_of_ours_is_spoilt(tmp_path: Path, trouble: str) -> None:
    path = tmp_path / "learned"
    match trouble:
        case "large":
            path.write_bytes(WHOLE + b" " * 1000)
        case "folder":
            path.mkdir()
        case "link":
            (tmp_path / "other").write_bytes(WHOLE)
            path.symlink_to(tmp_path / "other")
        case "pipe":
            os.mkfifo(path)  # opened to be read, it would be waited for for ever
        case "unreadable":
            path.write_bytes(b"\xff\x00")
    with pytest.raises(envelope.CorruptFile):
        envelope.read(path, "learned", 1000)


def test_a_folder_that_is_gone_is_an_os_error_and_leaves_nothing(tmp_path: Path) -> None:
    with pytest.raises(OSError, match="No such file"):
        envelope.write(tmp_path / "gone" / "learned", "learned", {})


# What is learned.

RECORD = ServerRecord(
    "s0", 0, share=0.25, rho=2.0, window=9.0, min_time=4e6, mark_left=SECOND, failures=3, cold_age=0
)
BORN_MS = {"s0": 0, "s1": 0}


def host_with_history(**changes: Any) -> Host:
    """A controller that has learned a good deal."""
    host = Host(servers=2)
    server = host.controller.servers["s0"]
    server.share, server.rho, server.window, server.min_time = 0.25, 2.0, 9.0, 4e6
    server.mark_until, server.failures = host.now + SECOND, 3
    for name, value in changes.items():
        setattr(server, name, value)
    return host


def test_what_was_learned_is_kept_written_read_and_given_back() -> None:
    host = host_with_history()
    host.controller.loss = 0.5
    kept = learned.take_snapshot(host.controller, BORN_MS, host.now, 10 * SECOND)
    assert kept.servers[0] == RECORD
    assert learned.decode(learned.encode(kept)) == kept
    new = Host(servers=2)
    assert learned.restore(new.controller, kept, BORN_MS, new.now, 10 * SECOND) == 2
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
    ("age", "share", "rho", "window", "base", "marked"),
    [
        (0, 0.25, 2.0, 9.0, 4e6, True),
        (SECOND // 2, None, None, None, 4e6, True),
        (HALF_LIFE, 0.625, 1.0, 5.5, 4e6, False),  # a mark ends when it would have ended
        (2 * HALF_LIFE, 0.8125, 0.5, 3.75, 4e6, False),
        (5 * HALF_LIFE, 1.0, None, 2.0, 4e6, False),  # down to nothing
        (learned.MAX_MIN_TIME_AGE, 1.0, None, 2.0, 0.0, False),
    ],
)
def test_old_knowledge_counts_less(
    age: int, share: float | None, rho: float | None, window: float | None, base: float, marked: bool
) -> None:
    host = Host(servers=1)
    learned.restore(host.controller, LearnedState(0, 0.0, (RECORD,)), BORN_MS, host.now, age)
    server = host.controller.servers["s0"]
    if share is not None:
        assert server.share == share
        assert server.window == window
        assert server.rho == rho
    assert server.min_time == base
    assert (not host.controller.may_try(server)) is marked


@given(st.integers(0, 100 * SECOND), st.integers(0, 100 * SECOND))
def test_the_weight_only_falls_with_age(one: int, other: int) -> None:
    younger, older = sorted((one, other))
    assert 1 >= learned.weight_at_age(younger) >= learned.weight_at_age(older) >= 0


@pytest.mark.parametrize(
    ("record", "listed"),
    [
        (replace(RECORD, host="s9"), BORN_MS),  # it is on no list any more
        (replace(RECORD, born_ms=5), BORN_MS),  # another process stands there now
        (RECORD, {"s0": 5}),
    ],
)
def test_another_process_inherits_nothing(record: ServerRecord, listed: dict[str, int]) -> None:
    host = Host(servers=1)
    assert learned.restore(host.controller, LearnedState(0, 0.0, (record,)), listed, host.now, 0) == 0
    assert host.controller.servers["s0"].share == 1.0
    assert "s9" not in host.controller.servers


def test_no_record_says_which_servers_there_are() -> None:
    host = Host(servers=1)
    host.update_list(server_entry(0, api.ServerState.DRAINING))
    learned.restore(host.controller, LearnedState(0, 0.0, (RECORD,)), BORN_MS, host.now, 0)
    assert host.controller.active == []
    assert host.new_call(1)  # refused at once
    assert not host.sends()


def test_a_server_that_is_cold_stays_cold() -> None:
    host = host_with_history(cold_since=START - 3 * SECOND)
    kept = learned.take_snapshot(host.controller, BORN_MS, host.now, 0)
    new = Host(servers=2)
    learned.restore(new.controller, kept, BORN_MS, new.now, SECOND)
    assert new.controller.servers["s0"].cold_since == new.now - 4 * SECOND


def test_a_record_from_the_future_is_not_used() -> None:
    host = Host(servers=1)
    with pytest.raises(learned.InvalidState, match="from now"):
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
def test_a_record_that_makes_no_sense_is_unusable(content: Any) -> None:
    with pytest.raises(learned.InvalidState):
        learned.decode(content)


# What a process leaves at its end.


def test_calls_and_releases_are_left_within_bounds() -> None:
    standing = dict.fromkeys(range(1, handover.MAX_CALLS + 10), "s0")
    releases = [(number, Reason.CLEARED) for number in range(1, handover.MAX_RELEASES + 10)]
    found, told = handover.decode(handover.encode(standing, releases))
    assert len(found) == handover.MAX_CALLS
    assert max(found) == max(standing)  # the latest: the others are the likeliest to be over
    assert told == releases[-handover.MAX_RELEASES :]


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
    ],
)
def test_what_was_left_may_make_no_sense(content: Any) -> None:
    with pytest.raises(handover.InvalidHandover):
        handover.decode(content)


def test_calls_left_go_with_their_release_their_server_or_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    table = handover.InheritedCalls()
    table.add({1: "a", 2: "a", 3: "b", 4: "b"}, now=0)
    assert table.take(1) == "a"
    assert table.take(1) is None
    assert table.take_by_host("b") == [3, 4]
    table.add({5: "c"}, now=handover.MAX_AGE + 1)
    assert len(table) == 1
    monkeypatch.setattr(handover, "MAX_CALLS", 2)
    table.add({6: "c", 7: "c"}, now=handover.MAX_AGE + 2)
    assert table.take_by_host("c") == [6, 7]


# Who is there.


def test_processes_see_each_other_and_what_one_leaves(tmp_path: Path) -> None:
    heard: list[HandoverReceived] = []
    old, new = (ProcessGroup(tmp_path / "shared", heard.append) for _ in range(2))
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
    assert heard == []  # it is alive still
    os.close(old._descriptor)
    new.scan()
    assert heard == [HandoverReceived({"some": "calls"})]
    assert new.others == ()
    new.scan()
    assert len(heard) == 1
    os.close(new._descriptor)


@pytest.mark.parametrize("trouble", ["file", "foreign", "missing"])
def test_a_folder_that_cannot_be_used_is_done_without(
    tmp_path: Path, trouble: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "shared"
    if trouble == "file":
        folder.write_text("no folder")
    elif trouble == "foreign":
        folder.mkdir()
        monkeypatch.setattr(os, "geteuid", lambda: 12345)
    else:
        folder = tmp_path / "gone" / "shared"
    assert not ProcessGroup(folder, lambda left: None).join()


def test_spoilt_files_cost_what_they_would_have_told(tmp_path: Path) -> None:
    heard: list[HandoverReceived] = []
    new = ProcessGroup(tmp_path / "shared", heard.append)
    assert new.join()
    for name in ("learned", "5-77.life", "5-77.left", "x.life", "-.life"):
        (tmp_path / "shared" / name).write_bytes(b"\x00spoilt")
    assert new.load_learned() is None
    new.scan()
    assert heard == []
    assert new.others == ()
    assert not (tmp_path / "shared" / "5-77.left").exists()
    os.close(new._descriptor)
