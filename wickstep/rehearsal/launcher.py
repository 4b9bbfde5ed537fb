"""Starts softswitches for a rehearsal, in a process of its own: each start takes tens of milliseconds, during
which stand-ins in the same process would answer no one.

    python -m wickstep.rehearsal.launcher

Reads JSON lines [number, command, log file, working directory]. Writes [number, pid, null] for each started
process and [-1, pid, exit code] for each that exited. This file owns the processes that it started. It kills
all of them when its input ends, however the rehearsal ends.
"""

from __future__ import annotations

import contextlib
import os
import select
import subprocess
import sys

import ujson

POLL_INTERVAL_S = 0.02  # between checks for exited processes
READ_BYTES = 65536


def main() -> None:
    children: dict[int, subprocess.Popen[bytes]] = {}
    buffer = b""
    try:
        while True:
            if select.select([0], [], [], POLL_INTERVAL_S)[0]:
                data = os.read(0, READ_BYTES)
                if not data:
                    return
                buffer += data
                *lines, buffer = buffer.split(b"\n")
                for line in lines:
                    number, command, log, folder = ujson.loads(line)
                    with open(log, "wb") as file:
                        child = subprocess.Popen(
                            command, cwd=folder, stdin=subprocess.DEVNULL, stdout=file, stderr=file
                        )
                    children[child.pid] = child
                    write_status(number, child.pid, None)
            for pid, child in [*children.items()]:
                if child.poll() is not None:
                    del children[pid]
                    write_status(-1, pid, child.returncode)
    finally:
        for child in children.values():
            with contextlib.suppress(ProcessLookupError):
                child.kill()
        for child in children.values():
            child.wait()


def write_status(number: int, pid: int, exit_code: int | None) -> None:
    sys.stdout.write(ujson.dumps([number, pid, exit_code]) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
