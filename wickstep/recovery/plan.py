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

from wickstep.forms import root

EVERY_S = 2.0
EVERY_LEAST, EVERY_MOST = 0.2, 60.0
SYNCS = ("never", "each-batch", "each-turn")


@dataclass(slots=True, frozen=True)
class CallsPlan:
    """The journal of calls. `sync` says what a power cut may lose; a kill of the process loses nothing."""

    sync: str = SYNCS[0]
    bytes_most: int = 4_000_000
    confirm_s: float = 5.0  # a call that could not be confirmed by then is released
    pace: float = 100.0  # calls a second that are settled


@dataclass(slots=True, frozen=True)
class Plan:
    folder: str
    every_s: float
    calls: CallsPlan | None = None  # none: no journal is kept


def read(text: str) -> Plan:
    """Raises BadForm with what is wrong."""
    form = root(text, "recovery")
    folder, every_s, calls = "", EVERY_S, None
    for child in form.children("folder", "every-s", "calls"):
        if child.name == "folder":
            folder = child.text("")
        elif child.name == "calls":
            calls = CallsPlan(
                child.text("sync", SYNCS[0], SYNCS),
                child.whole("bytes-most", 4_000_000, 100_000, 1_000_000_000),
                child.number("confirm-s", 5.0, 1.0, 600.0),
                child.number("pace", 100.0, 1.0, 10_000.0),
            )
        else:
            every_s = child.number("", None, EVERY_LEAST, EVERY_MOST)
        child.done()
    form.done()
    if not folder:
        raise form.wrong("which folder?")
    return Plan(folder, every_s, calls)
