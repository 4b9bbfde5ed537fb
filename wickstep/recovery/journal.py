"""The journal of calls in a folder: segments that are written, synced, rotated and read back.

This file owns the files and the thread that syncs them. It must never fail a call: where the folder is
missing, full or another's, one log line says so, calls are served without it, and it is tried again later.
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

NAME = re.compile(r"calls-(\d{1,18})")
FILES_MOST = 64
PARTS = 3  # of the bound: a segment is one, and two are there while one follows the other
SYNC_S = 0.05
RETRY_AFTER_US = 10_000_000  # after a failure it is tried again
CONFIRM_TIMEOUT_US = 10_000_000  # a caller that has not confirmed a release by then is taken to have heard it
SYNC_MODES = SYNC_NEVER, SYNC_BATCH, SYNC_TURN = plan.SYNC_MODES


@dataclass(slots=True)
class ReplayResult:
    """What a folder held."""

    live: dict[int, CallState] = field(default_factory=dict)
    number: int = 0  # the largest of a segment that is there
    record_count: int = 0  # records
    corrupt: int = 0  # bytes beyond the first that is not whole
    skipped: list[str] = field(default_factory=list)  # segments that were not used, and why

    def summary(self) -> str:
        """In one line."""
        passed = "".join(f"; {text}" for text in self.skipped)
        return f"{len(self.live)} calls by {self.record_count} records, {self.corrupt} bytes spoilt{passed}"


def replay(folder: Path, softswitch: str, most: int) -> ReplayResult:
    """What the segments in a folder tell; nothing in them is changed, and so it may be done again.

    OSError where the folder cannot be read.
    """
    found = ReplayResult()
    heads: dict[int, str] = {}  # by number
    names = sorted(name for name in os.listdir(folder) if NAME.fullmatch(name))
    for name in names[-FILES_MOST:]:
        try:
            number = records.read_head(read_own_file(folder / name, records.HEAD_BYTES), softswitch)
        except (OSError, records.Foreign) as trouble:
            found.skipped.append(f"{name}: {trouble}")
            continue
        if heads.setdefault(number, name) != name:
            found.skipped.append(f"{name}: segment {number} is there twice")
    found.number = max(heads, default=0)
    for _, name in sorted(heads.items(), reverse=True):
        try:
            raw = read_own_file(folder / name, most)
        except OSError as trouble:
            found.skipped.append(f"{name}: {trouble}")
            continue
        ledger, whole_to, used, whole = Ledger(), records.HEAD_BYTES, 0, False
        for record, whole_to in records.read(raw):  # noqa: B007
            used += 1
            ledger.apply(record)
            whole = whole or record.kind is Kind.LIVE
        if whole:  # those before it tell nothing that does not stand in its beginning
            found.record_count, found.corrupt = used, len(raw) - whole_to
            found.live = dict(ledger.live)
            break
        found.skipped.append(f"{name}: its beginning is not whole")
    return found


class Journal(CallRecorder):
    """Kept by the loop's thread; `zero_us` is what makes Unix time of the loop's clock."""

    def __init__(self, folder: Path, softswitch: str, bytes_most: int, sync: str, zero_us: int = 0) -> None:
        self._folder, self._softswitch, self._sync, self._zero = folder, softswitch, sync, zero_us
        self._most = bytes_most
        self.ledger = Ledger()
        self.is_kept = False
        self._number = 0
        self._descriptor = -1
        self._size = self._first = 0  # bytes of the segment, and of its beginning
        self._waiting = bytearray()
        self._now = self._again_at = 0
        self._lock = threading.Lock()  # of the descriptor, against its being synced while it is replaced
        self._unsynced = False
        self._old: list[Path] = []  # to be deleted once the new segment is safe
        self.failures = self.bytes_written = 0
        self._ending: deque[tuple[int, int]] = deque()  # since when, which call

    def open(self, now: int) -> ReplayResult:
        """Read what is there and begin a segment with it."""
        self._now = now
        try:
            found = replay(self._folder, self._softswitch, self._most)
        except OSError as trouble:
            found = ReplayResult(skipped=[str(trouble)])
        self._number = found.number
        self.ledger.live.update(found.live)
        self._ending.extend((now, call) for call, k in found.live.items() if k.phase is Phase.ENDING)
        self._begin()
        if self._sync == SYNC_BATCH:
            links.start_thread(self._run)
        return found

    # The loop's notes.

    def call_taken(self, call: int) -> None:
        self._note(Record(Kind.TAKEN, call))

    def attempt_sent(self, call: int, attempt: int, host: str, born_ms: int) -> None:
        found = self.ledger.server(host, born_ms)
        if found is not None:
            self._waiting += records.encode(found)
        number = self.ledger.numbers.get((host, born_ms))
        if number is not None:
            at_ms = max(self._now + self._zero, 0) // 1000
            attempt = min(attempt, records.ATTEMPTS_MOST)
            self._note(Record(Kind.SENT, call, number, attempt, at_ms))
        self._flush()  # before the set-up goes out

    def attempt_over(self, call: int) -> None:
        self._note(Record(Kind.OVER, call))
        known = self.ledger.live.get(call)
        if known is not None and known.phase is Phase.ENDING:
            self._ending.append((self._now, call))

    def call_stands(self, call: int) -> None:
        self._note(Record(Kind.STANDS, call))
        self._flush()  # before its caller hears of it

    def call_ended(self, call: int) -> None:
        self._note(Record(Kind.ENDED, call))

    def end_turn(self, now: int) -> None:
        self._now = now
        while self._ending and self._ending[0][0] <= now - CONFIRM_TIMEOUT_US:
            self.call_ended(self._ending.popleft()[1])
        if self._waiting:
            self._flush()
        if self._sync == SYNC_TURN and self._unsynced:
            self._guard(self._sync_now)
        full = self._size > max(self._most // PARTS, 2 * self._first)
        if full if self.is_kept else now >= self._again_at:
            self._begin()

    def close(self) -> None:
        """At the end of the process."""
        self._flush()
        if self._sync != SYNC_NEVER and self.is_kept:
            self._guard(self._sync_now)

    # The files.

    def _note(self, record: Record) -> None:
        if self.ledger.apply(record) and self.is_kept:
            self._waiting += records.encode(record)

    def _flush(self) -> None:
        if self._waiting and self.is_kept:
            self._guard(self._write)
        self._waiting.clear()

    def _write(self) -> None:
        done = os.write(self._descriptor, self._waiting)
        if done != len(self._waiting):
            raise OSError(f"{done} of {len(self._waiting)} bytes were taken")
        self._size += done
        self.bytes_written += done
        self._unsynced = True

    def _sync_now(self) -> None:
        self._unsynced = False
        os.fdatasync(self._descriptor)

    def _guard(self, do: Callable[[], None]) -> None:
        try:
            do()
        except OSError as trouble:
            self._fail(trouble)

    def _fail(self, trouble: OSError) -> None:
        self.failures += 1
        if self.is_kept or self.failures == 1:
            log.warning("the journal of calls is not kept: %s", trouble)
        self.is_kept = False
        self._again_at = self._now + RETRY_AFTER_US
        self._waiting.clear()
        self._unsynced = False
        with self._lock, contextlib.suppress(OSError):
            descriptor, self._descriptor = self._descriptor, -1
            if descriptor >= 0:
                os.close(descriptor)

    def _begin(self) -> None:
        """The next segment; those before it go once its beginning is whole."""
        try:
            names = [*filter(NAME.fullmatch, os.listdir(self._folder))]
            older = [self._folder / name for name in names if self._own(self._folder / name)]
            beginning = b"".join(map(records.encode, self.ledger.snapshot()))
            number = 1 + max([self._number, *(int(name.partition("-")[2]) for name in names)])
            path = self._folder / f"calls-{number:018}"
            flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_NOFOLLOW | os.O_CLOEXEC
            descriptor = os.open(path, flags, 0o600)
            self._number = number
            content = records.encode_head(self._softswitch, number) + beginning
            done = os.write(descriptor, content)
            if done != len(content):
                os.close(descriptor)
                with contextlib.suppress(OSError):
                    os.unlink(path)
                raise OSError(f"{done} of {len(content)} bytes were taken")
        except OSError as trouble:
            return self._fail(trouble)
        with self._lock:
            before, self._descriptor = self._descriptor, descriptor
            if before >= 0:
                os.close(before)
            self._old += older
        self._size = self._first = done
        self.bytes_written += done
        if not self.is_kept and self.failures:
            log.warning("the journal of calls is kept again")
        self.is_kept = True
        if self._sync == SYNC_TURN:
            self._guard(self._sync_now)
        if self._sync != SYNC_BATCH:
            self._bury()
        self._unsynced = True

    def _own(self, path: Path) -> bool:
        """Whether a segment is this softswitch's: nobody else's is ever deleted."""
        try:
            records.read_head(read_own_file(path, records.HEAD_BYTES), self._softswitch)
        except (OSError, records.Foreign):
            return False
        return True

    def _bury(self) -> None:
        with self._lock:
            old, self._old = self._old, []
        for path in old:
            with contextlib.suppress(OSError):
                os.unlink(path)

    def _run(self) -> None:
        """Sync what was written, some times a second."""
        while True:
            time.sleep(SYNC_S)
            if not self._unsynced:
                continue
            self._unsynced = False
            try:
                with self._lock:
                    if self._descriptor < 0:
                        continue
                    copy = os.dup(self._descriptor)
                try:
                    os.fdatasync(copy)
                finally:
                    os.close(copy)
                self._bury()
            except OSError as trouble:
                log.warning("the journal of calls cannot be synced: %s", trouble)
                time.sleep(1.0)
