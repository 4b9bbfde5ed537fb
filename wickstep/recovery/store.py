"""What was learned, kept in a folder over restarts: read before the first caller, written aside ever after.

This file owns that file and the thread that writes it. It must never make the loop wait for a disk once calls
are served, or be more than one log line where the folder is missing, full, spoilt or another's.
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
MAX_BYTES = 256 * 1024  # bytes
LAST_S = 0.5  # what the last write may take at a stop


class LearnedStore:
    """The file of one softswitch. All but `_run` is called by the loop."""

    def __init__(self, plan: RecoveryPlan, softswitch: str) -> None:
        self._plan, self._softswitch = plan, softswitch
        self._path = Path(plan.folder) / FILE_NAME
        self._latest: Any = None
        self._wanted, self._idle = threading.Event(), threading.Event()
        self._failed = False
        self.write_count = 0

    @property
    def plan(self) -> RecoveryPlan:
        return self._plan

    @property
    def interval_us(self) -> int:
        return int(self._plan.interval_s * 1_000_000)

    def restore(self, controller: Controller, born_ms: Mapping[str, int], now: int) -> int:
        """Give the controller what still counts, once it has its list; for how many servers. `now`: its time.

        Ages are told by the system's clock, which outlives a restart of the machine.
        """
        try:
            content = envelope.read(self._path, FILE_KIND, MAX_BYTES)
            if content is None:
                return 0
            if content["softswitch"] != self._softswitch:
                raise learned.InvalidState(f"it is {content['softswitch']!r}'s")
            given = learned.restore(
                controller, learned.decode(content["learned"]), born_ms, now, time.time_ns()
            )
        except (envelope.CorruptFile, learned.InvalidState, LookupError, TypeError) as trouble:
            log.warning("a fresh start, %s is not used: %s", self._path, trouble)
            return 0
        log.warning("starting with what was learned of %d servers", given)
        return given

    def start(self) -> None:
        links.start_thread(self._run)

    def save_latest(self, controller: Controller, born_ms: Mapping[str, int], now: int) -> None:
        """Have what the controller knows now written soon; only the latest counts."""
        record = learned.take_snapshot(controller, born_ms, now, time.time_ns())
        self._latest = {"softswitch": self._softswitch, "learned": learned.encode(record)}
        self._idle.clear()
        self._wanted.set()

    def flush(self) -> None:
        """Wait a moment for the last write: the process ends after this."""
        self._idle.wait(LAST_S)

    def _run(self) -> None:
        while True:
            self._wanted.wait()
            self._wanted.clear()
            try:
                envelope.write(self._path, FILE_KIND, self._latest)
                self.write_count += 1
                self._failed = False
            except OSError as trouble:
                if not self._failed:  # once, not every few seconds
                    log.warning("what is learned is not kept: %s", trouble)
                self._failed = True
            if not self._wanted.is_set():
                self._idle.set()
