"""The operator's file of recovery: where what was learned is kept, how often, and whether calls are, too.

    recovery {
        folder "/var/lib/wickstep"      // one for each softswitch; it has to be there
        every-s 2
        calls sync="each-batch" bytes-most=4000000 confirm-s=5 pace=100
    }

This file owns that form. It must never open a file.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickstep.forms import parse_root

DEFAULT_INTERVAL_S = 2.0
EVERY_LEAST, EVERY_MOST = 0.2, 60.0
SYNC_MODES = ("never", "each-batch", "each-turn")


@dataclass(slots=True, frozen=True)
class JournalPlan:
    """The journal of calls. `sync` says what a power cut may lose; a kill of the process loses nothing."""

    sync: str = SYNC_MODES[0]
    max_bytes: int = 4_000_000
    confirm_s: float = 5.0  # a call that could not be confirmed by then is released
    settle_rate: float = 100.0  # calls a second that are settled


@dataclass(slots=True, frozen=True)
class RecoveryPlan:
    folder: str
    interval_s: float
    call_journal: JournalPlan | None = None  # none: no journal is kept


def read(text: str) -> RecoveryPlan:
    """Raises KdlError with what is wrong."""
    form = parse_root(text, "recovery")
    folder, every_s, calls = "", DEFAULT_INTERVAL_S, None
    for child in form.take_children("folder", "every-s", "calls"):
        if child.name == "folder":
            folder = child.take_text("")
        elif child.name == "calls":
            calls = JournalPlan(
                child.take_text("sync", SYNC_MODES[0], SYNC_MODES),
                child.take_integer("bytes-most", 4_000_000, 100_000, 1_000_000_000),
                child.take_number("confirm-s", 5.0, 1.0, 600.0),
                child.take_number("pace", 100.0, 1.0, 10_000.0),
            )
        else:
            every_s = child.take_number("", None, EVERY_LEAST, EVERY_MOST)
        child.reject_unread()
    form.reject_unread()
    if not folder:
        raise form.error("which folder?")
    return RecoveryPlan(folder, every_s, calls)
