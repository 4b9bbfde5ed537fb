"""Other processes of the same softswitch: which ones are alive, and what one hands over to the next.

This file owns the folder that they share and a thread that scans it. The loop must never wait for it. It must
never trust a file for its name, and a corrupt, missing or foreign file may cost no more than its own content.
Whether a process is alive is known from a file lock, which the kernel releases however the process ends.

    <folder>/<start>-<pid>.life    locked while the process lives; the first byte says whether it is ready
    <folder>/learned               the learned state of the controller, replaced whole
    <folder>/<start>-<pid>.left    the handover record of an ended process, for its successor to take
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import re
import stat
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wickstep.net import links
from wickstep.recovery import envelope

log = logging.getLogger(__name__)

SCAN_INTERVAL_S = 0.2
MAX_FILES = 64  # of the folder that a scan reads; this softswitch does not make more
MAX_LEARNED_BYTES = 256 * 1024
MAX_HANDOVER_BYTES = 1024 * 1024
LEARNED, HANDOVER_KIND = "learned", "left"  # kinds of files; the first is the file's name, too
LIFE_FILE_NAME = re.compile(r"(\d{1,20})-(\d{1,10})\.life")
READY, NOT_READY = b"r", b"-"


@dataclass(slots=True, frozen=True, order=True)
class Member:
    """One process of this softswitch; members sort by their start."""

    started_ns: int  # of the monotonic clock, which all processes of a machine share
    pid: int
    is_ready: bool

    @property
    def stem(self) -> str:
        return f"{self.started_ns}-{self.pid}"


@dataclass(slots=True, frozen=True)
class HandoverReceived:
    """The handover record of a process that has ended."""

    content: Any


def shared_folder(name: str) -> Path | None:
    """The folder shared by the processes of the softswitch of that name; None where TMPDIR is not set."""
    base = os.environ.get("TMPDIR")
    return Path(base) / f"wickstep-{re.sub(r'[^A-Za-z0-9_-]', '_', name)[:64]}" if base else None


class ProcessGroup:
    """This process and the others in the folder. `on_handover` is called with each record taken over."""

    def __init__(self, folder: Path, on_handover: Callable[[HandoverReceived], None]) -> None:
        self._folder, self._on_handover = folder, on_handover
        self.own_member = Member(time.monotonic_ns(), os.getpid(), False)
        self.others: tuple[Member, ...] = ()  # replaced whole, so that any thread may read it
        self._descriptor = -1
        self._ready_announced = False
        self._unsaved_learned: Any = None
        self._has_left = threading.Event()

    def join(self) -> bool:
        """Enter the folder; False where that fails, and then nothing is shared."""
        try:
            with contextlib.suppress(FileExistsError):
                os.mkdir(self._folder, 0o700)
            status = os.lstat(self._folder)
            if not stat.S_ISDIR(status.st_mode) or status.st_uid != os.geteuid():
                raise PermissionError(f"{self._folder} is not a directory owned by this user")
            unlocked_path = self._folder / f"{self.own_member.stem}.born"
            flags = os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
            self._descriptor = os.open(unlocked_path, flags, 0o600)
            # Locked before the rename: the others take an unlocked .life file for that of an ended process.
            fcntl.flock(self._descriptor, fcntl.LOCK_EX)
            os.pwrite(self._descriptor, NOT_READY, 0)
            os.rename(unlocked_path, unlocked_path.with_suffix(".life"))
            self.scan()
        except OSError as error:
            log.warning("cannot join the shared folder, nothing is shared with other processes: %s", error)
            return False
        return True

    def start(self) -> None:
        links.start_thread(self._run)

    def announce_ready(self) -> None:
        """Tell the other processes that this one takes callers; later calls do nothing."""
        if not self._ready_announced:
            self._ready_announced = True
            with contextlib.suppress(OSError):
                os.pwrite(self._descriptor, READY, 0)

    def load_learned(self) -> Any | None:
        """What the last process saved with `save_learned`; None, with a log line, where it is corrupt."""
        try:
            return envelope.read(self._folder / LEARNED, LEARNED, MAX_LEARNED_BYTES)
        except envelope.CorruptFile as error:
            log.warning("the learned state of an earlier process is not used: %s", error)
            return None

    def save_learned(self, content: Any) -> None:
        """Have the thread write the learned state; only the latest is written. Never waits."""
        self._unsaved_learned = content

    def leave(self, content: Any) -> None:
        """Stop scanning, and write the handover record for the successor."""
        self._has_left.set()
        with contextlib.suppress(OSError):
            envelope.write(self._folder / f"{self.own_member.stem}.left", HANDOVER_KIND, content)
        # The lock is released only when the process ends: whoever finds it free finds a complete record.

    def has_successor(self) -> bool:
        """Whether a process that was started later takes callers."""
        return any(other.is_ready and other > self.own_member for other in self.others)

    def _run(self) -> None:
        while not self._has_left.wait(SCAN_INTERVAL_S):
            try:
                self.scan()
                content, self._unsaved_learned = self._unsaved_learned, None
                if content is not None and not any(other > self.own_member for other in self.others):
                    envelope.write(self._folder / LEARNED, LEARNED, content)
            except Exception as error:  # a full disk or a deleted folder must not end this thread
                log.warning("cannot scan or write the shared folder: %r", error)
                self._has_left.wait(1.0)

    def scan(self) -> None:
        """Update `others`; the latest process takes the handover record of each ended one, once."""
        alive: list[Member] = []
        ended: list[Member] = []
        for match in filter(None, map(LIFE_FILE_NAME.fullmatch, os.listdir(self._folder)[:MAX_FILES])):
            if match[0] != f"{self.own_member.stem}.life":
                ready = self._read_ready(self._folder / match[0])
                member = Member(int(match[1]), int(match[2]), bool(ready))
                (ended if ready is None else alive).append(member)
        self.others = tuple(alive)
        for member in ended if not any(other > self.own_member for other in alive) else []:
            self._take_handover(member)

    def _read_ready(self, path: Path) -> bool | None:
        """Whether the process of this .life file is ready; None if it has ended."""
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return None
        except BlockingIOError:
            return os.pread(descriptor, 1, 0) == READY
        finally:
            os.close(descriptor)

    def _take_handover(self, member: Member) -> None:
        """Delete the files of an ended process, and pass its handover record on if it has a valid one."""
        record_path = self._folder / f"{member.stem}.left"
        try:
            content = envelope.read(record_path, HANDOVER_KIND, MAX_HANDOVER_BYTES)
        except envelope.CorruptFile as error:
            log.warning("the handover record of process %d is not used: %s", member.pid, error)
            content = None
        for path in (record_path, self._folder / f"{member.stem}.life"):
            with contextlib.suppress(OSError):
                os.unlink(path)
        if content is not None:
            self._on_handover(HandoverReceived(content))
