"""The softswitches of a rehearsal: real `serve` processes that are started, killed, stopped and resumed.

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

PORT_RANGE = range(20000, 32000)
# Of softswitches, which share the machine with the stand-ins: a stand-in that has to wait for a CPU would
# look like a slow peer.
NICENESS = 10
LAUNCHER_COUNT = 4
ROOT = Path(__file__).parent.parent.parent


def own_loopback_host(pid: int) -> str:
    """A loopback address that no concurrent rehearsal uses. On a shared address, another rehearsal could take
    a port between the check that it is free and the start of the softswitch: that start would fail, or the
    callers of both rehearsals would reach the same softswitch."""
    return f"127.{1 + (pid >> 16) % 250}.{(pid >> 8) & 255}.{pid & 255}"


def find_free_ports(count: int, seed: int, host: str) -> list[int]:
    """Free ports to listen on. PORT_RANGE lies below the usual ephemeral ports, so that no outgoing
    connection takes one of these before the softswitch listens on it."""
    found: list[int] = []
    for port in random.Random(seed ^ os.getpid()).sample(PORT_RANGE, len(PORT_RANGE)):
        with contextlib.suppress(OSError), socket.create_server((host, port)):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("too few free ports in the port range for softswitches")


class Launchers:
    """The launcher processes, which start the softswitches. A launcher that ends kills its softswitches."""

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
            for _ in range(LAUNCHER_COUNT)
        ]
        self.switches: dict[int, Softswitch] = {}
        self._buffers = [b""] * LAUNCHER_COUNT
        for index, child in enumerate(self.children):
            assert child.stdout is not None
            loop.register_descriptor(child.stdout.fileno(), partial(self._on_output, index))

    def start(self, softswitch: Softswitch, command: list[str], log: Path) -> None:
        child = self.children[softswitch.number % LAUNCHER_COUNT]
        assert child.stdin is not None
        self.switches[softswitch.number] = softswitch
        line = ujson.dumps([softswitch.number, command, str(log), str(self.program)])
        child.stdin.write(f"{line}\n".encode())
        child.stdin.flush()

    def close(self) -> None:
        for child in self.children:
            if child.stdin is not None:
                child.stdin.close()
        for child in self.children:
            child.wait(30)
            if child.stdout is not None:
                self.loop.unregister_descriptor(child.stdout.fileno())
                child.stdout.close()

    def _on_output(self, index: int) -> None:
        stdout = self.children[index].stdout
        assert stdout is not None
        *lines, self._buffers[index] = (self._buffers[index] + os.read(stdout.fileno(), 65536)).split(b"\n")
        for line in lines:
            number, pid, exit_code = ujson.loads(line)
            if exit_code is None:
                self.switches[number].on_started(pid)
            else:
                for softswitch in self.switches.values():
                    softswitch.on_exited(pid, exit_code)


class Softswitch:
    """One softswitch over all its starts; each start is a new process with the same address and folder."""

    def __init__(
        self, number: int, folder: Path, address: tuple[str, int], options: list[str], launchers: Launchers
    ) -> None:
        self.number, self.folder, self.options, self.launchers = number, folder, options, launchers
        self.config_path = folder / "config.json"
        self.state_folder = folder / "state"
        folder.mkdir(parents=True)
        self.state_folder.mkdir()
        self.address = address
        self.pid = 0  # 0: not running, or the launcher has not reported it yet
        self.start_count = self.killed_start = 0  # killed_start: number of the last start that was killed
        self.started_pids: set[int] = set()
        self.killed_pids: set[int] = set()
        self.exit_code: int | None = None  # of a process that exited without being killed

    def start(self, config: dict[str, Any]) -> None:
        """Start a process with the configuration that the platform would provide at this moment."""
        self.start_count += 1
        config = {**config, "name": f"n{self.number}", "listen": f"{self.address[0]}:{self.address[1]}"}
        self.config_path.write_text(json.dumps(config))
        serve = [sys.executable, "-m", "wickstep", "serve", "--config", str(self.config_path), *self.options]
        command = ["nice", "-n", str(NICENESS), *serve]
        self.launchers.start(self, command, self.folder / f"{self.start_count}.log")

    def on_started(self, pid: int) -> None:
        self.pid = pid
        self.started_pids.add(pid)
        if self.killed_start >= self.start_count:  # `kill` was called before the launcher reported the pid
            self.kill()

    def on_exited(self, pid: int, exit_code: int) -> None:
        if pid == self.pid:
            self.pid = 0
        if pid in self.started_pids and pid not in self.killed_pids:
            self.exit_code = exit_code

    def kill(self) -> None:
        self.killed_start = self.start_count
        self.killed_pids.add(self.pid)
        self.send_signal(signal.SIGKILL)

    def send_signal(self, number: signal.Signals) -> None:
        if self.pid:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    def delete_state(self) -> None:
        shutil.rmtree(self.state_folder, ignore_errors=True)
        self.state_folder.mkdir(exist_ok=True)

    def age_state(self, seconds: float) -> None:
        """Make the stored file older by these seconds, as if the process had been down for that long."""
        path = self.state_folder / store.FILE_NAME
        with contextlib.suppress(envelope.CorruptFile):
            content = envelope.read(path, store.FILE_KIND, store.MAX_BYTES)
            if content is not None:
                content["learned"]["at"] -= int(seconds * 1e9)
                envelope.write(path, store.FILE_KIND, content)

    def logs(self) -> str:
        return "".join(file.read_text(errors="replace") for file in sorted(self.folder.glob("*.log")))
