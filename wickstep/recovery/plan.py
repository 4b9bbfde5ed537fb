"""The operator's file of recovery: where what was learned is kept, and how often it is written.

    recovery {
        folder "/var/lib/wickstep"      // one for each softswitch; it has to be there
        every-s 2
    }

This file owns that form. It must never open a file.
"""

from __future__ import annotations

from dataclasses import dataclass

from wickstep.forms import root

EVERY_S = 2.0
EVERY_LEAST, EVERY_MOST = 0.2, 60.0


@dataclass(slots=True, frozen=True)
class Plan:
    folder: str
    every_s: float


def read(text: str) -> Plan:
    """Raises BadForm with what is wrong."""
    form = root(text, "recovery")
    folder, every_s = "", EVERY_S
    for child in form.children("folder", "every-s"):
        if child.name == "folder":
            folder = child.text("")
        else:
            every_s = child.number("", None, EVERY_LEAST, EVERY_MOST)
        child.done()
    form.done()
    if not folder:
        raise form.wrong("which folder?")
    return Plan(folder, every_s)
