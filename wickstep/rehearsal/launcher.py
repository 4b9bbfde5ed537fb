"""Starts softswitches for a rehearsal, in a process of its own: to start one takes tens of milliseconds here,
in which stand-ins would answer nobody.

    python -m wickstep.rehearsal.launcher    # in: number, command, log, folder; out: number, pid, exit code

This file owns the processes it has started. It ends them all once its input ends, however the rehearsal
does.
"""

from __future__ import annotations

import contextlib
import os
import select
import subprocess
import sys

import ujson

LOOK_S = 0.02  # how often it looks for those that have ended
CHUNK = 65536


def main() -> None:
    children: dict[int, subprocess.Popen[bytes]] = {}
    held = b""
    try:
        while True:
            if select.select([0], [], [], LOOK_S)[0]:
                data = os.read(0, CHUNK)
                if not data:
                    return
                held += data
                *lines, held = held.split(b"\n")
                for line in lines:
                    number, command, log, folder = ujson.loads(line)
                    with open(log, "wb") as file:
                        child = subprocess.Popen(
                            command, cwd=folder, stdin=subprocess.DEVNULL, stdout=file, stderr=file
                        )
                    children[child.pid] = child
                    say(number, child.pid, None)
            for pid, child in [*children.items()]:
                if child.poll() is not None:
                    del children[pid]
                    say(-1, pid, child.returncode)
    finally:
        for child in children.values():
            with contextlib.suppress(ProcessLookupError):
                child.kill()
        for child in children.values():
            child.wait()


def say(number: int, pid: int, code: int | None) -> None:
    sys.stdout.write(ujson.dumps([number, pid, code]) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
