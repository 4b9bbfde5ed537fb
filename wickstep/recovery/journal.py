"""The write-ahead journal of calls in a folder: segments are written, synced, rotated and replayed.

This file owns the segments and the thread that syncs them. It must never fail a call: if the folder is
missing, full or another user's, it logs one line, calls are served without the journal, and it retries later.
"""

from __future__ import annotations

import contextlib
import logging
import os
import re
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from wickstep.net import links
from wickstep.recovery import plan, records
from wickstep.recovery.envelope import read_own_file
from wickstep.recovery.ledger import CallState, Ledger, Phase
from wickstep.recovery.recorder import CallRecorder
from wickstep.recovery.records import Kind, Record

log = logging.getLogger(__name__)

SEGMENT_NAME = re.compile(r"calls-(\d{1,18})")
MAX_SEGMENTS = 64  # a replay looks only at this many segments, the last ones by name
SEGMENT_FRACTION = 3  # a segment gets a third of the limit on bytes, since two exist during a rotation
SYNC_INTERVAL_S = 0.05
RETRY_AFTER_US = 10_000_000  # after a failure
CONFIRM_TIMEOUT_US = 10_000_000  # a release that its caller has not confirmed by then counts as received
SYNC_MODES = SYNC_NEVER, SYNC_BATCH, SYNC_TURN = plan.SYNC_MODES


@dataclass(slots=True)
class ReplayResult:
    """What the segments of a folder contain."""

    live: dict[int, CallState] = field(default_factory=dict)
    last_number: int = 0  # the largest number of a segment in the folder
    record_count: int = 0
    corrupt: int = 0  # bytes after the last valid record
    skipped: list[str] = field(default_factory=list)  # segments that were not used, and why

    def summary(self) -> str:
        """In one line."""
        skipped = "".join(f"; {text}" for text in self.skipped)
        return f"{len(self.live)} calls in {self.record_count} records, {self.corrupt} bytes corrupt{skipped}"


def replay(folder: Path, softswitch: str, max_bytes: int) -> ReplayResult:
    """Replay the segments in a folder. It changes none of them, so it can be repeated.

    Raises OSError if the folder cannot be read.
    """
    result = ReplayResult()
    segments: dict[int, str] = {}  # names by number
    names = sorted(name for name in os.listdir(folder) if SEGMENT_NAME.fullmatch(name))
    for name in names[-MAX_SEGMENTS:]:
        try:
            number = records.decode_head(read_own_file(folder / name, records.HEAD_BYTES), softswitch)
        except (OSError, records.UnusableSegment) as error:
            result.skipped.append(f"{name}: {error}")
            continue
        if segments.setdefault(number, name) != name:
            result.skipped.append(f"{name}: duplicate of segment {number}")
    result.last_number = max(segments, default=0)
    for _, name in sorted(segments.items(), reverse=True):
        try:
            raw = read_own_file(folder / name, max_bytes)
        except OSError as error:
            result.skipped.append(f"{name}: {error}")
            continue
        ledger, valid_end, count, has_snapshot = Ledger(), records.HEAD_BYTES, 0, False
        for record, valid_end in records.iter_records(raw):  # noqa: B007
            count += 1
            ledger.apply(record)
            has_snapshot = has_snapshot or record.kind is Kind.LIVE
        if has_snapshot:  # older segments add nothing to a complete snapshot
            result.record_count, result.corrupt = count, len(raw) - valid_end
            result.live = dict(ledger.live)
            break
        result.skipped.append(f"{name}: incomplete snapshot")
    return result


class Journal(CallRecorder):
    """All methods but `_sync_loop` and `_delete_obsolete` are called by the loop's thread only.

    `unix_offset_us` is added to the loop's clock to get Unix time.
    """

    def __init__(
        self, folder: Path, softswitch: str, max_bytes: int, sync: str, unix_offset_us: int = 0
    ) -> None:
        self._folder, self._softswitch, self._sync, self._unix_offset = (
            folder, softswitch, sync, unix_offset_us
        )  # fmt: skip
        self._max_bytes = max_bytes
        self.ledger = Ledger()
        self.is_kept = False
        self._number = 0
        self._descriptor = -1
        self._segment_bytes = self._snapshot_bytes = 0  # of the current segment
        self._buffer = bytearray()
        self._now = self._retry_at = 0
        # Guards `_obsolete` and the descriptor, which must not be closed while the sync thread duplicates it.
        self._lock = threading.Lock()
        self._is_unsynced = False
        # Older segments, deleted once the new one is synced, or with SYNC_NEVER once it is written.
        self._obsolete: list[Path] = []
        self.failures = self.bytes_written = 0
        self._unconfirmed: deque[tuple[int, int]] = deque()  # since when it waits, which call

    def open(self, now: int) -> ReplayResult:
        """Replay what is there, and start a segment with a snapshot of it."""
        self._now = now
        try:
            result = replay(self._folder, self._softswitch, self._max_bytes)
        except OSError as error:
            result = ReplayResult(skipped=[str(error)])
        self._number = result.last_number
        self.ledger.live.update(result.live)
        self._unconfirmed.extend((now, call) for call, k in result.live.items() if k.phase is Phase.ENDING)
        self._start_segment()
        if self._sync == SYNC_BATCH:
            links.start_thread(self._sync_loop)
        return result

    # Events of calls, reported by the loop.

    def call_taken(self, call: int) -> None:
        self._append(Record(Kind.TAKEN, call))

    def attempt_sent(self, call: int, attempt: int, host: str, born_ms: int) -> None:
        server_record = self.ledger.assign_number(host, born_ms)
        if server_record is not None:
            self._buffer += records.encode(server_record)
        number = self.ledger.server_numbers.get((host, born_ms))
        if number is not None:
            at_ms = max(self._now + self._unix_offset, 0) // 1000
            attempt = min(attempt, records.MAX_ATTEMPT)
            self._append(Record(Kind.SENT, call, number, attempt, at_ms))
        self._flush()  # before the set-up is sent

    def attempt_over(self, call: int) -> None:
        self._append(Record(Kind.OVER, call))
        state = self.ledger.live.get(call)
        if state is not None and state.phase is Phase.ENDING:
            self._unconfirmed.append((self._now, call))

    def call_stands(self, call: int) -> None:
        self._append(Record(Kind.STANDS, call))
        self._flush()  # before its caller is notified

    def call_ended(self, call: int) -> None:
        self._append(Record(Kind.ENDED, call))

    def end_turn(self, now: int) -> None:
        self._now = now
        while self._unconfirmed and self._unconfirmed[0][0] <= now - CONFIRM_TIMEOUT_US:
            self.call_ended(self._unconfirmed.popleft()[1])
        if self._buffer:
            self._flush()
        if self._sync == SYNC_TURN and self._is_unsynced:
            self._run_guarded(self._sync_now)
        is_full = self._segment_bytes > max(self._max_bytes // SEGMENT_FRACTION, 2 * self._snapshot_bytes)
        if is_full if self.is_kept else now >= self._retry_at:
            self._start_segment()

    def close(self) -> None:
        """At the end of the process."""
        self._flush()
        if self._sync != SYNC_NEVER and self.is_kept:
            self._run_guarded(self._sync_now)

    # Segments.

    def _append(self, record: Record) -> None:
        if self.ledger.apply(record) and self.is_kept:
            self._buffer += records.encode(record)

    def _flush(self) -> None:
        if self._buffer and self.is_kept:
            self._run_guarded(self._write)
        self._buffer.clear()

    def _write(self) -> None:
        done = os.write(self._descriptor, self._buffer)
        if done != len(self._buffer):
            raise OSError(f"short write: {done} of {len(self._buffer)} bytes")
        self._segment_bytes += done
        self.bytes_written += done
        self._is_unsynced = True

    def _sync_now(self) -> None:
        self._is_unsynced = False
        os.fdatasync(self._descriptor)

    def _run_guarded(self, do: Callable[[], None]) -> None:
        try:
            do()
        except OSError as error:
            self._suspend(error)

    def _suspend(self, error: OSError) -> None:
        """Stop writing after a failure; `end_turn` starts a new segment after RETRY_AFTER_US."""
        self.failures += 1
        if self.is_kept or self.failures == 1:
            log.warning("the journal of calls cannot be written: %s", error)
        self.is_kept = False
        self._retry_at = self._now + RETRY_AFTER_US
        self._buffer.clear()
        self._is_unsynced = False
        with self._lock, contextlib.suppress(OSError):
            descriptor, self._descriptor = self._descriptor, -1
            if descriptor >= 0:
                os.close(descriptor)

    def _start_segment(self) -> None:
        """Start the next segment with a snapshot. Older ones are deleted only when that is complete."""
        try:
            names = [*filter(SEGMENT_NAME.fullmatch, os.listdir(self._folder))]
            older = [self._folder / name for name in names if self._is_own(self._folder / name)]
            snapshot = b"".join(map(records.encode, self.ledger.snapshot()))
            number = 1 + max([self._number, *(int(name.partition("-")[2]) for name in names)])
            path = self._folder / f"calls-{number:018}"
            flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_NOFOLLOW | os.O_CLOEXEC
            descriptor = os.open(path, flags, 0o600)
            self._number = number
            content = records.encode_head(self._softswitch, number) + snapshot
            done = os.write(descriptor, content)
            if done != len(content):
                os.close(descriptor)
                with contextlib.suppress(OSError):
                    os.unlink(path)
                raise OSError(f"short write: {done} of {len(content)} bytes")
        except OSError as error:
            return self._suspend(error)
        with self._lock:
            before, self._descriptor = self._descriptor, descriptor
            if before >= 0:
                os.close(before)
            self._obsolete += older
        self._segment_bytes = self._snapshot_bytes = done
        self.bytes_written += done
        if not self.is_kept and self.failures:
            log.warning("the journal of calls is written again")
        self.is_kept = True
        if self._sync == SYNC_TURN:
            self._run_guarded(self._sync_now)
        if self._sync != SYNC_BATCH:
            self._delete_obsolete()
        self._is_unsynced = True

    def _is_own(self, path: Path) -> bool:
        """Whether a segment is this softswitch's; no other is ever deleted."""
        try:
            records.decode_head(read_own_file(path, records.HEAD_BYTES), self._softswitch)
        except (OSError, records.UnusableSegment):
            return False
        return True

    def _delete_obsolete(self) -> None:
        with self._lock:
            obsolete, self._obsolete = self._obsolete, []
        for path in obsolete:
            with contextlib.suppress(OSError):
                os.unlink(path)

    def _sync_loop(self) -> None:
        """Sync what was written, every SYNC_INTERVAL_S."""
        while True:
            time.sleep(SYNC_INTERVAL_S)
            if not self._is_unsynced:
                continue
            self._is_unsynced = False
            try:
                with self._lock:
                    if self._descriptor < 0:
                        continue
                    copy = os.dup(self._descriptor)
                try:
                    os.fdatasync(copy)
                finally:
                    os.close(copy)
                self._delete_obsolete()
            except OSError as error:
                log.warning("the journal of calls cannot be synced: %s", error)
                time.sleep(1.0)
