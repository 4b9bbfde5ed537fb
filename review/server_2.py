"""A setup server of peers_2 in a process of its own, so that it can be stopped and continued with signals.

    python review/server_2.py HOST NUMBER ANSWER_S BEGAN FILE

It prints its port. On SIGTERM it writes its notes and its tables to the file, and ends.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

import peers_2 as peers


class Notes:
    """The part of a case that a server needs."""

    def __init__(self, began: float) -> None:
        self.began = began
        self.lines: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()

    now, note, spawn = peers.Case.now, peers.Case.note, peers.Case.spawn


def hold_s(call: int) -> float:
    """From 1 to 9 s, by the call's id."""
    return 1 + call % 97 / 12


async def main() -> None:
    host, number, answer_s, began, path = sys.argv[1:]
    notes = Notes(float(began))
    server = peers.Server(notes, host, int(number), answer_s=float(answer_s), hold_s=hold_s)  # type: ignore[arg-type]
    await server.start()
    print(server.port, flush=True)
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    tables = {name: getattr(server, name) for name in ("answered", "released", "cut", "given_up")}
    Path(path).write_text(json.dumps({"at": time.monotonic(), "notes": notes.lines, **tables}))


if __name__ == "__main__":
    asyncio.run(main())
