"""The operator's recovery file: where learned state is stored, how often, and whether calls are journaled.

    recovery {
        folder "/var/lib/wickstep"      // one for each softswitch; it has to exist
        every-s 2
        calls sync="each-batch" bytes-most=4000000 confirm-s=5 pace=100
    }

This file owns that format. It must never open a file.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickstep.forms import parse_root

DEFAULT_INTERVAL_S = 2.0
MIN_INTERVAL_S, MAX_INTERVAL_S = 0.2, 60.0
SYNC_MODES = ("never", "each-batch", "each-turn")


@dataclass(slots=True, frozen=True)
class JournalPlan:
    """The journal of calls. `sync` bounds what a power failure loses; a kill of the process loses nothing."""

    sync: str = SYNC_MODES[0]
    max_bytes: int = 4_000_000
    confirm_s: float = 5.0  # a call that its server has not confirmed by then is released
    settle_rate: float = 100.0  # calls a second that are settled


@dataclass(slots=True, frozen=True)
class RecoveryPlan:
    folder: str
    interval_s: float
    call_journal: JournalPlan | None = None  # None: calls are not journaled


def read(text: str) -> RecoveryPlan:
    """Raises KdlError with what is wrong."""
    root = parse_root(text, "recovery")
    folder, interval_s, call_journal = "", DEFAULT_INTERVAL_S, None
    for child in root.take_children("folder", "every-s", "calls"):
        if child.name == "folder":
            folder = child.take_text("")
        elif child.name == "calls":
            call_journal = JournalPlan(
                child.take_text("sync", SYNC_MODES[0], SYNC_MODES),
                child.take_integer("bytes-most", 4_000_000, 100_000, 1_000_000_000),
                child.take_number("confirm-s", 5.0, 1.0, 600.0),
                child.take_number("pace", 100.0, 1.0, 10_000.0),
            )
        else:
            interval_s = child.take_number("", None, MIN_INTERVAL_S, MAX_INTERVAL_S)
        child.reject_unread()
    root.reject_unread()
    if not folder:
        raise root.error("no folder is given; expected `folder` with the path of an existing one")
    return RecoveryPlan(folder, interval_s, call_journal)
