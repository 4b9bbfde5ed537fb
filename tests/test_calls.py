"""Calls over a restart: the journal with torn or corrupt records, reconciliation, and folders that fail."""

from __future__ import annotations

import logging
import os
import shutil
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wickstep.forms import KdlError
from wickstep.recovery import journal as journals
from wickstep.recovery import plan, records
from wickstep.recovery.journal import SYNC_BATCH, SYNC_MODES, SYNC_NEVER, SYNC_TURN, Journal, replay
from wickstep.recovery.ledger import CallState, Ledger, Phase
from wickstep.recovery.reconciliation import SECOND, START_JITTER_S, Reconciler, ServerView, Verdict
from wickstep.recovery.records import Kind, Record

MAX_BYTES = 1_000_000

EVENT = st.one_of(
    st.tuples(st.just("call_taken"), st.integers(1, 6), st.just(0), st.just("")),
    st.tuples(
        st.just("attempt_sent"), st.integers(1, 6), st.integers(0, 4), st.sampled_from(["a", "b", "ü" * 90])
    ),
    *(
        st.tuples(st.just(word), st.integers(1, 6), st.just(0), st.just(""))
        for word in ("attempt_over", "call_stands", "call_ended")
    ),
)
Events = list[tuple[str, int, int, str]]


def record_event(journal: Journal, event: tuple[str, int, int, str]) -> None:
    word, call, attempt, host = event
    if word == "attempt_sent":
        journal.attempt_sent(call, attempt, host, 1000 + attempt)
    else:
        getattr(journal, word)(call)


def write_segment(events: Events, folder: Path, **changes: int) -> tuple[bytes, list[dict[int, CallState]]]:
    """The bytes of the segment that these events write, and the live calls after each of them."""
    journal = Journal(folder, "n1", changes.get("max_bytes", MAX_BYTES), SYNC_NEVER)
    journal.open(0)
    states = [dict(journal.ledger.live)]
    for now, event in enumerate(events):
        record_event(journal, event)
        journal.end_turn(now)
        states.append(dict(journal.ledger.live))
    journal.close()
    (name,) = sorted(os.listdir(folder))
    return (folder / name).read_bytes(), states


@settings(max_examples=25, deadline=None)
@given(st.lists(EVENT, max_size=25))
def test_a_journal_truncated_at_any_byte_replays_a_prefix_of_the_events(
    tmp_path_factory: pytest.TempPathFactory, events: Events
) -> None:
    folder = tmp_path_factory.mktemp("calls")
    raw, states = write_segment(events, folder)
    (path,) = folder.iterdir()
    seen = 0
    for cut in range(len(raw) + 1):
        path.write_bytes(raw[:cut])
        live = replay(folder, "n1", MAX_BYTES).live
        # An `attempt_sent` may write two records. The first, for its server, does not change the live calls.
        while seen < len(states) and live != states[seen]:
            seen += 1
        assert seen < len(states), f"truncated at {cut}"
    assert live == states[-1]
    shutil.rmtree(folder)


@settings(max_examples=60, deadline=None)
@given(st.lists(EVENT, min_size=1, max_size=15), st.integers(0, 10**6), st.integers(1, 255))
def test_a_corrupt_byte_loses_only_what_follows_it(
    tmp_path_factory: pytest.TempPathFactory, events: Events, where: int, flip: int
) -> None:
    folder = tmp_path_factory.mktemp("calls")
    raw, states = write_segment(events, folder)
    (path,) = folder.iterdir()
    corrupt_bytes = bytearray(raw)
    corrupt_bytes[where % len(raw)] ^= flip
    path.write_bytes(corrupt_bytes)
    found = replay(folder, "n1", MAX_BYTES)
    assert found.live in states
    assert found.corrupt or found.skipped
    shutil.rmtree(folder)


@settings(max_examples=40, deadline=None)
@given(st.lists(EVENT, max_size=30), st.lists(EVENT, max_size=30))
def test_replay_is_repeatable_and_a_new_segment_begins_with_a_snapshot(
    tmp_path_factory: pytest.TempPathFactory, first: Events, second: Events
) -> None:
    folder = tmp_path_factory.mktemp("calls")
    _, states = write_segment(first, folder)
    once = replay(folder, "n1", MAX_BYTES)
    assert replay(folder, "n1", MAX_BYTES) == once
    assert once.live == states[-1]
    again = Journal(folder, "n1", MAX_BYTES, SYNC_NEVER)
    again.open(0)  # a process that ends at once
    assert replay(folder, "n1", MAX_BYTES).live == once.live
    for event in second:
        record_event(again, event)
    again.close()
    assert replay(folder, "n1", MAX_BYTES).live == dict(again.ledger.live)
    assert len(os.listdir(folder)) == 1
    shutil.rmtree(folder)


def test_a_kill_during_a_rotation_leaves_the_old_segment_valid(tmp_path: Path) -> None:
    write_segment(
        [("call_taken", 1, 0, ""), ("attempt_sent", 1, 0, "a"), ("call_stands", 1, 0, "")], tmp_path
    )
    (old,) = tmp_path.iterdir()
    new = tmp_path / "calls-000000000000000002"
    whole = records.encode_head("n1", 2) + b"".join(map(records.encode, Ledger().snapshot()))
    for cut in range(len(whole)):
        new.write_bytes(whole[:cut])
        assert set(replay(tmp_path, "n1", MAX_BYTES).live) == {1}
    new.write_bytes(whole)
    assert replay(tmp_path, "n1", MAX_BYTES).live == {}
    shutil.copy(new, tmp_path / "calls-000000000000000003")  # the same segment under another name
    assert any("duplicate of segment 2" in text for text in replay(tmp_path, "n1", MAX_BYTES).skipped)
    old.unlink()
    assert replay(tmp_path, "n1", MAX_BYTES).live == {}


def test_the_segments_stay_within_the_limit_on_bytes(tmp_path: Path) -> None:
    journal = Journal(tmp_path, "n1", 30_000, SYNC_NEVER)
    journal.open(0)
    largest = 0
    for call in range(1, 5000):
        journal.call_taken(call)
        journal.attempt_sent(call, 0, f"s-{call % 7}", 0)
        journal.call_stands(call)
        if call > 20:
            journal.call_ended(call - 20)
        journal.end_turn(call)
        largest = max(largest, sum(path.stat().st_size for path in tmp_path.iterdir()))
    assert largest <= 30_000
    assert set(replay(tmp_path, "n1", MAX_BYTES).live) == set(range(4980, 5000))
    assert journal.bytes_written > 10 * largest


def test_a_full_ledger_evicts_the_oldest_calls() -> None:
    ledger = Ledger(max_calls=3)
    for call in range(1, 6):
        ledger.apply(Record(Kind.TAKEN, call))
    assert list(ledger.live) == [3, 4, 5]
    assert ledger.evicted == 2


@pytest.mark.parametrize("defect", ["another's", "older", "empty", "folder", "link", "noise"])
def test_unusable_segments_are_skipped_in_one_line_and_not_deleted(
    tmp_path: Path, defect: str, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "calls-000000000000000007"
    if defect == "another's":
        path.write_bytes(records.encode_head("n2", 7) + records.encode(Record(Kind.LIVE)))
    elif defect == "older":
        path.write_bytes(b"wkcalls\x00" + records.encode_head("n1", 7)[8:])
    elif defect == "folder":
        path.mkdir()
    elif defect == "link":
        path.symlink_to("/etc/hostname")
    else:
        path.write_bytes(b"" if defect == "empty" else bytes(range(256)) * 40)
    journal = Journal(tmp_path, "n1", MAX_BYTES, SYNC_NEVER)
    found = journal.open(0)
    assert found.live == {}
    assert len(found.skipped) == 1
    assert found.summary().count("\n") == 0
    assert journal.is_kept
    journal.call_taken(1)
    journal.end_turn(1)
    assert set(replay(tmp_path, "n1", MAX_BYTES).live) == {1}
    assert path.exists() or path.is_symlink()


def test_a_segment_larger_than_the_limit_is_read_up_to_it(tmp_path: Path) -> None:
    raw, states = write_segment([("call_taken", n, 0, "") for n in range(1, 500)], tmp_path)
    found = replay(tmp_path, "n1", len(raw) // 2)
    assert found.live in states
    assert 0 < len(found.live) < 499


@pytest.mark.parametrize("sync", SYNC_MODES)
def test_a_failing_folder_costs_one_log_line_and_no_call(
    tmp_path: Path, sync: str, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path / "missing", "n1", MAX_BYTES, sync)
    with caplog.at_level(logging.WARNING):
        journal.open(0)
        for now in range(100):
            journal.call_taken(now + 1)
            journal.attempt_sent(now + 1, 0, "a", 0)
            journal.end_turn(now)
    assert journal.is_kept is False
    assert len([line for line in caplog.messages if "the journal of calls cannot be written" in line]) == 1
    (tmp_path / "missing").mkdir()
    journal.end_turn(journals.RETRY_AFTER_US + 1)
    assert journal.is_kept
    assert len(replay(tmp_path / "missing", "n1", MAX_BYTES).live) == 100

    def raise_no_space(*_: object) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "write", raise_no_space)
    caplog.clear()
    with caplog.at_level(logging.WARNING):
        for now in range(50):
            journal.call_ended(now + 1)
            journal.end_turn(journals.RETRY_AFTER_US + 2 + now)
    assert journal.is_kept is False
    assert len(caplog.messages) == 1
    monkeypatch.undo()
    journal.end_turn(3 * journals.RETRY_AFTER_US)
    assert len(replay(tmp_path / "missing", "n1", MAX_BYTES).live) == 50
    journal.close()


def test_records_are_written_before_a_set_up_or_an_answer_is_sent(tmp_path: Path) -> None:
    journal = Journal(tmp_path, "n1", MAX_BYTES, SYNC_BATCH)
    journal.open(0)
    journal.call_taken(1)
    journal.attempt_sent(1, 0, "a", 5)
    assert replay(tmp_path, "n1", MAX_BYTES).live == {1: CallState(Phase.IN_FLIGHT, "a", 5, 0, 0)}
    journal.call_stands(1)
    assert replay(tmp_path, "n1", MAX_BYTES).live[1].phase is Phase.STANDS
    journal.call_ended(1)
    assert 1 in replay(tmp_path, "n1", MAX_BYTES).live  # written at the end of the turn
    journal.end_turn(1)
    assert replay(tmp_path, "n1", MAX_BYTES).live == {}


def test_a_clock_before_1970_gives_the_time_0(tmp_path: Path) -> None:
    journal = Journal(tmp_path, "n1", MAX_BYTES, SYNC_TURN, unix_offset_us=-10 * SECOND)
    journal.open(0)
    journal.attempt_sent(1, 0, "a", 0)
    journal.close()
    assert replay(tmp_path, "n1", MAX_BYTES).live[1].sent_ms == 0


def test_an_ended_call_stays_in_the_journal_until_its_caller_confirms(tmp_path: Path) -> None:
    journal = Journal(tmp_path, "n1", MAX_BYTES, SYNC_NEVER)
    journal.open(0)
    for call in (1, 2, 3):
        journal.attempt_sent(call, 0, "a", 0)
        journal.call_stands(call)
        journal.attempt_over(call)  # its server has released it, and its caller is notified next
    journal.call_ended(1)  # its caller has confirmed
    journal.end_turn(1)
    again = Journal(tmp_path, "n1", MAX_BYTES, SYNC_NEVER)
    found = again.open(2)
    assert {call: state.phase for call, state in found.live.items()} == {2: Phase.ENDING, 3: Phase.ENDING}
    again.end_turn(journals.CONFIRM_TIMEOUT_US + 2)
    assert replay(tmp_path, "n1", MAX_BYTES).live == {}


# Reconciliation.

STANDING = CallState(Phase.STANDS, "a", 1000, 0, 0)
IN_FLIGHT = CallState(Phase.IN_FLIGHT, "a", 1000, 0, 0)
CONNECTED = ServerView(True, 1000, 0)


def decide(state: CallState, view: ServerView | None, at_s: float) -> Verdict | None:
    reconciler = Reconciler({1: state}, 0, 100, 5 * SECOND, 0.0)
    reconciler.next_steps({}, 0) if view is None and at_s < 0 else None
    steps = reconciler.next_steps({} if view is None else {"a": view}, int(at_s * SECOND))
    return steps[0].verdict if steps else None


@pytest.mark.parametrize(
    ("state", "view", "at_s", "verdict"),
    [
        (STANDING, None, 0.1, Verdict.CUT),  # not on the list any more
        (STANDING, ServerView(False, 1000, None), 0.1, Verdict.CUT),  # gone
        (STANDING, ServerView(True, 2000, 0), 0.1, Verdict.CUT),  # started later
        (STANDING, CONNECTED, 0.9, None),  # connected: it has 1 s to report ended calls
        (STANDING, CONNECTED, 1.0, Verdict.CONFIRMED),
        (STANDING, ServerView(True, 1000, None), 4.9, None),
        (STANDING, ServerView(True, 1000, None), 5.0, Verdict.RELEASED),
        (STANDING, ServerView(True, 1000, int(4.5 * SECOND)), 5.2, Verdict.RELEASED),  # too late to confirm
        (STANDING._replace(phase=Phase.ENDING), CONNECTED, 0.1, Verdict.CUT),  # caller may not know yet
        (IN_FLIGHT, CONNECTED, 0.1, Verdict.GIVEN_UP),
        (IN_FLIGHT, ServerView(True, 2000, 0), 0.1, Verdict.SETTLED),
        (IN_FLIGHT, None, 0.1, Verdict.SETTLED),
        (IN_FLIGHT, ServerView(True, 1000, None), 4.9, None),
        (IN_FLIGHT, ServerView(True, 1000, None), 5.0, Verdict.SETTLED),
        (CallState(Phase.TAKEN), None, 0.1, Verdict.SETTLED),
        (CallState(Phase.TAKEN, "a", 1000, 1, 0), CONNECTED, 0.1, Verdict.SETTLED),  # its attempt had ended
    ],
)
def test_the_verdict_follows_from_the_call_and_its_server(
    state: CallState, view: ServerView | None, at_s: float, verdict: Verdict
) -> None:
    assert decide(state, view, at_s) is verdict


def test_cuts_come_first_and_the_rate_is_limited() -> None:
    found = {n: STANDING if n % 2 else IN_FLIGHT for n in range(1, 401)}
    reconciler = Reconciler(found, 0, 100, 5 * SECOND, 0.0)
    views = {"a": ServerView(True, 2000, 0)}  # every standing call is cut, the others are settled
    cut: list[int] = []
    for tick in range(1, 61):
        steps = reconciler.next_steps(views, tick * SECOND // 20)
        cut += [step.call for step in steps if step.verdict is Verdict.CUT]
        assert len(cut) <= 100 * tick / 20 + 10
    assert len(cut) == len(set(cut)) == 200
    assert len(reconciler) == 0
    both = Reconciler({1: IN_FLIGHT, 2: CallState(Phase.STANDS, "gone", 0)}, 0, 10, 5 * SECOND, 0.0)
    assert [step.call for step in both.next_steps({"a": CONNECTED}, SECOND // 10)] == [2]


def test_a_call_that_ended_meanwhile_gets_no_verdict() -> None:
    reconciler = Reconciler({1: STANDING, 2: STANDING}, 0, 100, 5 * SECOND, 0.0)
    reconciler.call_ended(1)
    assert [step.call for step in reconciler.next_steps({}, SECOND)] == [2]


def test_200_softswitches_that_restart_together_begin_at_spread_times() -> None:
    began = []
    for number in range(200):
        reconciler = Reconciler({1: STANDING}, 0, 100, 5 * SECOND, number / 200)
        began.append(next(at for at in range(0, SECOND, SECOND // 100) if reconciler.next_steps({}, at)))
    busiest = max(sum(at <= other < at + SECOND // 10 for other in began) for at in began)
    assert busiest <= 200 * 0.1 / START_JITTER_S + 4


@settings(max_examples=50, deadline=None)
@given(
    st.dictionaries(
        st.integers(1, 50), st.sampled_from([STANDING, IN_FLIGHT, CallState(Phase.TAKEN)]), max_size=30
    ),
    st.lists(
        st.one_of(st.none(), st.booleans().flatmap(
            lambda there: st.builds(ServerView, st.just(there), st.sampled_from([0, 1000, 2000]),
                                    st.one_of(st.none(), st.integers(0, 3 * SECOND))))),
        min_size=1, max_size=8,
    ),
)  # fmt: skip
def test_each_call_is_settled_once_and_in_time_whatever_servers_do(
    found: dict[int, CallState], views: list[ServerView | None]
) -> None:
    reconciler = Reconciler(found, 0, 200, 5 * SECOND, 0.3)
    done: list[int] = []
    for tick in range(1, 200):
        view = views[tick % len(views)]
        done += [
            step.call
            for step in reconciler.next_steps({} if view is None else {"a": view}, tick * SECOND // 20)
        ]
    assert sorted(done) == sorted(found)


def test_the_recovery_file_configures_the_journal_and_wrong_values_are_rejected() -> None:
    text = 'recovery {\n folder "/x"\n calls sync="each-turn" bytes-most=200000 confirm-s=2 pace=50\n}'
    found = plan.read(text).call_journal
    assert found == plan.JournalPlan("each-turn", 200_000, 2.0, 50.0)
    assert plan.read('recovery {\n folder "/x"\n}').call_journal is None
    assert plan.SYNC_MODES == SYNC_MODES
    for wrong in ('sync="often"', "bytes-most=5", "confirm-s=0", "pace=0", "keep=1"):
        with pytest.raises(KdlError):
            plan.read(f'recovery {{\n folder "/x"\n calls {wrong}\n}}')
