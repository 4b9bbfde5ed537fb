"""The file that keeps learned state over restarts: read before the first caller, then written in a thread.

This file owns that file and the thread that writes it. It must never make the loop wait for a disk once calls
are served, nor do more than log one line where the folder is missing, full, corrupt or another softswitch's.
"""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from wickstep.brain import Controller
from wickstep.net import links
from wickstep.recovery import envelope, learned

if TYPE_CHECKING:
    from wickstep.recovery.plan import RecoveryPlan

log = logging.getLogger(__name__)

FILE_NAME, FILE_KIND = "learned", "stored"
MAX_BYTES = 256 * 1024
FLUSH_TIMEOUT_S = 0.5  # how long a stop waits for the last write


class LearnedStore:
    """The file of one softswitch. All methods but `_write_loop` are called by the loop."""

    def __init__(self, plan: RecoveryPlan, softswitch: str) -> None:
        self._plan, self._softswitch = plan, softswitch
        self._path = Path(plan.folder) / FILE_NAME
        self._latest: Any = None
        self._write_requested, self._idle = threading.Event(), threading.Event()
        self._has_failed = False
        self.write_count = 0

    @property
    def plan(self) -> RecoveryPlan:
        return self._plan

    @property
    def interval_us(self) -> int:
        return int(self._plan.interval_s * 1_000_000)

    def restore(self, controller: Controller, born_ms: Mapping[str, int], now: int) -> int:
        """Give a controller that has its list what still counts of the file; returns for how many servers.

        `now` is the controller's clock. Ages are computed with the system's clock, which outlives a reboot.
        """
        try:
            content = envelope.read(self._path, FILE_KIND, MAX_BYTES)
            if content is None:
                return 0
            if content["softswitch"] != self._softswitch:
                raise learned.InvalidState(f"it belongs to softswitch {content['softswitch']!r}")
            restored = learned.restore(
                controller, learned.decode(content["learned"]), born_ms, now, time.time_ns()
            )
        except (envelope.CorruptFile, learned.InvalidState, LookupError, TypeError) as error:
            log.warning("starting without learned state, %s is not used: %s", self._path, error)
            return 0
        log.warning("starting with the learned state of %d servers", restored)
        return restored

    def start(self) -> None:
        links.start_thread(self._write_loop)

    def save_latest(self, controller: Controller, born_ms: Mapping[str, int], now: int) -> None:
        """Request a write of the controller's present state; a pending older state is replaced."""
        snapshot = learned.take_snapshot(controller, born_ms, now, time.time_ns())
        self._latest = {"softswitch": self._softswitch, "learned": learned.encode(snapshot)}
        self._idle.clear()
        self._write_requested.set()

    def flush(self) -> None:
        """Wait for the last write, FLUSH_TIMEOUT_S at most: the process ends after this."""
        self._idle.wait(FLUSH_TIMEOUT_S)

    def _write_loop(self) -> None:
        while True:
            self._write_requested.wait()
            self._write_requested.clear()
            try:
                envelope.write(self._path, FILE_KIND, self._latest)
                self.write_count += 1
                self._has_failed = False
            except OSError as error:
                if not self._has_failed:  # logged once, not at each interval
                    log.warning("the learned state cannot be written: %s", error)
                self._has_failed = True
            if not self._write_requested.is_set():
                self._idle.set()
