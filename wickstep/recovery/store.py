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
    from wickstep.recovery.plan import Plan

log = logging.getLogger(__name__)

NAME, KIND = "learned", "stored"
MOST = 256 * 1024  # bytes
LAST_S = 0.5  # what the last write may take at a stop


class Store:
    """The file of one softswitch. All but `_run` is called by the loop."""

    def __init__(self, plan: Plan, softswitch: str) -> None:
        self._plan, self._softswitch = plan, softswitch
        self._path = Path(plan.folder) / NAME
        self._latest: Any = None
        self._wanted, self._idle = threading.Event(), threading.Event()
        self._failed = False
        self.written = 0

    @property
    def plan(self) -> Plan:
        return self._plan

    @property
    def every_us(self) -> int:
        return int(self._plan.every_s * 1_000_000)

    def adopt(self, controller: Controller, born_ms: Mapping[str, int], now: int) -> int:
        """Give the controller what still counts, once it has its list; for how many servers. `now`: its time.

        Ages are told by the system's clock, which outlives a restart of the machine.
        """
        try:
            content = envelope.read(self._path, KIND, MOST)
            if content is None:
                return 0
            if content["softswitch"] != self._softswitch:
                raise learned.Unusable(f"it is {content['softswitch']!r}'s")
            given = learned.adopt(controller, learned.read(content["learned"]), born_ms, now, time.time_ns())
        except (envelope.Spoilt, learned.Unusable, LookupError, TypeError) as trouble:
            log.warning("a fresh start, %s is not used: %s", self._path, trouble)
            return 0
        log.warning("starting with what was learned of %d servers", given)
        return given

    def start(self) -> None:
        links.spawn(self._run)

    def keep(self, controller: Controller, born_ms: Mapping[str, int], now: int) -> None:
        """Have what the controller knows now written soon; only the latest counts."""
        record = learned.kept(controller, born_ms, now, time.time_ns())
        self._latest = {"softswitch": self._softswitch, "learned": learned.written(record)}
        self._idle.clear()
        self._wanted.set()

    def finish(self) -> None:
        """Wait a moment for the last write: the process ends after this."""
        self._idle.wait(LAST_S)

    def _run(self) -> None:
        while True:
            self._wanted.wait()
            self._wanted.clear()
            try:
                envelope.write(self._path, KIND, self._latest)
                self.written += 1
                self._failed = False
            except OSError as trouble:
                if not self._failed:  # once, not every few seconds
                    log.warning("what is learned is not kept: %s", trouble)
                self._failed = True
            if not self._wanted.is_set():
                self._idle.set()
