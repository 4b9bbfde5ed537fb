"""Other processes of the same softswitch: who is there, and what one leaves to the next.

This file owns the folder they share and a thread that looks into it. It must never be waited for by the loop,
trust a file for its name, or let a spoilt, missing or foreign one cost more than what it would have told. Who
is alive is told by a lock that ends with its process, however that ends.

    <folder>/<start>-<pid>.life    locked for life; its first byte says whether the process is ready
    <folder>/learned               what the controller has learned, replaced whole
    <folder>/<start>-<pid>.left    what a process has left at its end, for its successor to take
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

LOOK_S = 0.2  # how often the folder is looked into
FILES_MOST = 64  # in the folder; more are not ours
LEARNED_MOST = 256 * 1024  # bytes
LEFT_MOST = 1024 * 1024
LEARNED, LEFT = "learned", "left"  # kinds of files
LIFE = re.compile(r"(\d{1,20})-(\d{1,10})\.life")
READY, NOT_READY = b"r", b"-"


@dataclass(slots=True, frozen=True, order=True)
class Member:
    """One process of this softswitch, in the order of their starts."""

    started: int  # nanoseconds of the monotonic clock, which all processes of a machine share
    pid: int
    ready: bool

    @property
    def stem(self) -> str:
        return f"{self.started}-{self.pid}"


@dataclass(slots=True, frozen=True)
class HandoverReceived:
    """What a process has left at its end."""

    content: Any


def shared_folder(name: str) -> Path | None:
    """Where the processes of the softswitch of that name meet; None where the platform gives no folder."""
    shared = os.environ.get("TMPDIR")
    return Path(shared) / f"wickstep-{re.sub(r'[^A-Za-z0-9_-]', '_', name)[:64]}" if shared else None


class ProcessGroup:
    """This process among the others in the folder. `hand_on` is called with what others have left."""

    def __init__(self, folder: Path, hand_on: Callable[[HandoverReceived], None]) -> None:
        self._folder, self._hand_on = folder, hand_on
        self.me = Member(time.monotonic_ns(), os.getpid(), False)
        self.others: tuple[Member, ...] = ()  # replaced whole: any thread may look
        self._descriptor = -1
        self._told = False  # that this process is ready
        self._learned: Any = None  # yet to be written
        self._ended = threading.Event()

    def join(self) -> bool:
        """Enter the folder; False where that cannot be done, and then nothing is shared."""
        try:
            with contextlib.suppress(FileExistsError):
                os.mkdir(self._folder, 0o700)
            found = os.lstat(self._folder)
            if not stat.S_ISDIR(found.st_mode) or found.st_uid != os.geteuid():
                raise PermissionError(f"{self._folder} is no folder of this user")
            born = self._folder / f"{self.me.stem}.born"
            flags = os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
            self._descriptor = os.open(born, flags, 0o600)
            # Locked before it has its name: one without a lock is buried.
            fcntl.flock(self._descriptor, fcntl.LOCK_EX)
            os.pwrite(self._descriptor, NOT_READY, 0)
            os.rename(born, born.with_suffix(".life"))
            self.scan()
        except OSError as trouble:
            log.warning("nothing is shared with other processes: %s", trouble)
            return False
        return True

    def start(self) -> None:
        links.start_thread(self._run)

    def announce_ready(self) -> None:
        """Say that this process takes callers; once is enough."""
        if not self._told:
            self._told = True
            with contextlib.suppress(OSError):
                os.pwrite(self._descriptor, READY, 0)

    def load_learned(self) -> Any | None:
        """What the last process had learned, or None; one log line where it is spoilt."""
        try:
            return envelope.read(self._folder / LEARNED, LEARNED, LEARNED_MOST)
        except envelope.CorruptFile as trouble:
            log.warning("what was learned before is not used: %s", trouble)
            return None

    def save_learned(self, content: Any) -> None:
        """Have what is learned written soon; only the latest counts. Never waits."""
        self._learned = content

    def leave(self, content: Any) -> None:
        """Leave the folder, and this to who stays."""
        self._ended.set()
        with contextlib.suppress(OSError):
            envelope.write(self._folder / f"{self.me.stem}.left", LEFT, content)
        # The lock goes with the process, after all else: who sees it gone finds what was left.

    def has_successor(self) -> bool:
        """Whether a process that was started later takes callers."""
        return any(other.ready and other > self.me for other in self.others)

    def _run(self) -> None:
        while not self._ended.wait(LOOK_S):
            try:
                self.scan()
                content, self._learned = self._learned, None
                if content is not None and not any(other > self.me for other in self.others):
                    envelope.write(self._folder / LEARNED, LEARNED, content)
            except Exception as trouble:  # a full or a vanished folder must not end this thread
                log.warning("shared folder: %r", trouble)
                self._ended.wait(1.0)

    def scan(self) -> None:
        """See who is there; what those have left who are gone is taken, once, by the latest process."""
        here: list[Member] = []
        gone: list[Member] = []
        for match in filter(None, map(LIFE.fullmatch, os.listdir(self._folder)[:FILES_MOST])):
            if match[0] != f"{self.me.stem}.life":
                ready = self._alive(self._folder / match[0])
                member = Member(int(match[1]), int(match[2]), bool(ready))
                (gone if ready is None else here).append(member)
        self.others = tuple(here)
        for member in gone if not any(other > self.me for other in here) else []:
            self._bury(member)

    def _alive(self, path: Path) -> bool | None:
        """Whether the process of this file is ready; None if there is none any more."""
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

    def _bury(self, member: Member) -> None:
        left = self._folder / f"{member.stem}.left"
        try:
            content = envelope.read(left, LEFT, LEFT_MOST)
        except envelope.CorruptFile as trouble:
            log.warning("what process %d has left is not used: %s", member.pid, trouble)
            content = None
        for path in (left, self._folder / f"{member.stem}.life"):
            with contextlib.suppress(OSError):
                os.unlink(path)
        if content is not None:
            self._hand_on(HandoverReceived(content))
