"""The softswitches of a rehearsal: real `serve` processes, started, killed, stopped and let go.

This file owns those processes. It must never end one that it did not start, nor leave one behind.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
from functools import partial
from pathlib import Path
from typing import Any

import ujson

from wickstep.recovery import envelope, store
from wickstep.rehearsal.loop import Loop

PORTS = range(20000, 32000)
NICE = 10  # the machine is shared: stand-ins that wait for a processor would be taken for slow ones
LAUNCHERS = 4
ROOT = Path(__file__).parent.parent.parent


def own_host(pid: int) -> str:
    """A loopback address for a rehearsal alone. A port that was free a moment ago may be another rehearsal's
    once a softswitch is to listen there: then that fails to start, or callers of both meet."""
    return f"127.{1 + (pid >> 16) % 250}.{(pid >> 8) & 255}.{pid & 255}"


def free_ports(count: int, seed: int, host: str) -> list[int]:
    """Ports to listen on that no connection is given in between: those lie above these, as a rule."""
    found: list[int] = []
    for port in random.Random(seed ^ os.getpid()).sample(PORTS, len(PORTS)):
        with contextlib.suppress(OSError), socket.create_server((host, port)):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free port is left")


class Launchers:
    """The processes that start softswitches; their end is the end of all."""

    def __init__(self, loop: Loop, program: Path) -> None:
        self.loop, self.program = loop, program
        environment = {**os.environ, "MALLOC_ARENA_MAX": "2", "PYTHONDONTWRITEBYTECODE": "1"}
        for name in ("ROUTER_OPERATOR", "ROUTER_ACCEPT_FD"):
            environment.pop(name, None)
        command = [sys.executable, "-m", "wickstep.rehearsal.launcher"]
        self.children = [
            subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.PIPE, stdout=subprocess.PIPE
            )
            for _ in range(LAUNCHERS)
        ]
        self.switches: dict[int, Softswitch] = {}
        self._held = [b""] * LAUNCHERS
        for place, child in enumerate(self.children):
            assert child.stdout is not None
            loop.watch_descriptor(child.stdout.fileno(), partial(self._heard, place))

    def start(self, switch: Softswitch, command: list[str], log: Path) -> None:
        child = self.children[switch.number % LAUNCHERS]
        assert child.stdin is not None
        self.switches[switch.number] = switch
        line = ujson.dumps([switch.number, command, str(log), str(self.program)])
        child.stdin.write(f"{line}\n".encode())
        child.stdin.flush()

    def close(self) -> None:
        for child in self.children:
            if child.stdin is not None:
                child.stdin.close()
        for child in self.children:
            child.wait(30)
            if child.stdout is not None:
                self.loop.forget_descriptor(child.stdout.fileno())
                child.stdout.close()

    def _heard(self, place: int) -> None:
        stdout = self.children[place].stdout
        assert stdout is not None
        *lines, self._held[place] = (self._held[place] + os.read(stdout.fileno(), 65536)).split(b"\n")
        for line in lines:
            number, pid, code = ujson.loads(line)
            if code is None:
                self.switches[number].started(pid)
            else:
                for switch in self.switches.values():
                    switch.ended(pid, code)


class Softswitch:
    """One of them, over all its lives."""

    def __init__(
        self, number: int, folder: Path, where: tuple[str, int], extra: list[str], launchers: Launchers
    ) -> None:
        self.number, self.folder, self.extra, self.launchers = number, folder, extra, launchers
        self.path = folder / "config.json"
        self.state = folder / "state"
        folder.mkdir(parents=True)
        self.state.mkdir()
        self.where = where
        self.pid = 0  # 0: not running, or not told yet
        self.lives = self.killed = 0
        self.ours: set[int] = set()  # all that were started,
        self.doomed: set[int] = set()  # and of those the killed ones
        self.code: int | None = None  # of one that has ended by itself

    def start(self, config: dict[str, Any]) -> None:
        """Start a life, with what the platform would tell it then."""
        self.lives += 1
        config = {**config, "name": f"n{self.number}", "listen": f"{self.where[0]}:{self.where[1]}"}
        self.path.write_text(json.dumps(config))
        serve = [sys.executable, "-m", "wickstep", "serve", "--config", str(self.path), *self.extra]
        command = ["nice", "-n", str(NICE), *serve]
        self.launchers.start(self, command, self.folder / f"{self.lives}.log")

    def started(self, pid: int) -> None:
        self.pid = pid
        self.ours.add(pid)
        if self.killed >= self.lives:  # it was to be killed before it was told
            self.kill()

    def ended(self, pid: int, code: int) -> None:
        if pid == self.pid:
            self.pid = 0
        if pid in self.ours and pid not in self.doomed:
            self.code = code

    def kill(self) -> None:
        self.killed = self.lives
        self.doomed.add(self.pid)
        self.signal(signal.SIGKILL)

    def signal(self, which: signal.Signals) -> None:
        if self.pid:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, which)

    def lose_state(self) -> None:
        shutil.rmtree(self.state, ignore_errors=True)
        self.state.mkdir(exist_ok=True)

    def age_state(self, seconds: float) -> None:
        """Make the stored file so much older, as if the process had been down for that long."""
        path = self.state / store.FILE_NAME
        with contextlib.suppress(envelope.CorruptFile):
            content = envelope.read(path, store.FILE_KIND, store.MAX_BYTES)
            if content is not None:
                content["learned"]["at"] -= int(seconds * 1e9)
                envelope.write(path, store.FILE_KIND, content)

    def logs(self) -> str:
        return "".join(file.read_text(errors="replace") for file in sorted(self.folder.glob("*.log")))
