"""The softswitches of a rehearsal: real `serve` processes, started, killed, stopped and let go.

This file owns those processes. It must never end one that it did not start, nor leave one behind.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent


class Softswitch:
    """One of them, over all its lives."""

    def __init__(self, number: int, folder: Path, extra: list[str]) -> None:
        self.number, self.folder, self.extra = number, folder, extra
        self.path = folder / "config.json"
        self.state = folder / "state"
        folder.mkdir(parents=True)
        self.state.mkdir()
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.where = ("127.0.0.1", int(free.getsockname()[1]))
        self.child: subprocess.Popen[bytes] | None = None
        self.lives = 0

    def start(self, config: dict[str, Any]) -> None:
        """Start a life, with what the platform would tell it then."""
        self.lives += 1
        config = {**config, "name": f"n{self.number}", "listen": f"{self.where[0]}:{self.where[1]}"}
        self.path.write_text(json.dumps(config))
        command = [sys.executable, "-m", "wickstep", "serve", "--config", str(self.path), *self.extra]
        environment = {**os.environ, "MALLOC_ARENA_MAX": "2", "PYTHONDONTWRITEBYTECODE": "1"}
        for name in ("ROUTER_OPERATOR", "ROUTER_ACCEPT_FD"):
            environment.pop(name, None)
        with (self.folder / f"{self.lives}.log").open("wb") as log:
            self.child = subprocess.Popen(
                command, cwd=ROOT, env=environment, stderr=log, start_new_session=True
            )

    def kill(self) -> None:
        if self.child is not None:
            with contextlib.suppress(ProcessLookupError):
                self.child.kill()
            self.child.wait()

    def signal(self, which: signal.Signals) -> None:
        if self.child is not None:
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(which)

    def lose_state(self) -> None:
        shutil.rmtree(self.state, ignore_errors=True)
        self.state.mkdir(exist_ok=True)

    def crashed(self) -> int | None:
        """The exit code of one that has ended by itself."""
        code = self.child.poll() if self.child is not None else None
        return code if code not in (None, 0, -signal.SIGKILL) else None

    def logs(self) -> str:
        return "".join(file.read_text(errors="replace") for file in sorted(self.folder.glob("*.log")))
