"""Signals that arrive before a process is ready.

The start is held while it reads its configuration, which is a FIFO here.
"""

from __future__ import annotations

import errno
import json
import os
import signal
import subprocess
import sys
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from .test_softswitch import TIMEOUT_S, wait_for

ROOT = Path(__file__).parent.parent


@pytest.fixture
def held_start(tmp_path: Path) -> Iterator[tuple[subprocess.Popen[str], Callable[[], None]]]:
    """A process that is blocked reading its configuration, and a function that lets it go on."""
    path = tmp_path / "config.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "wickstep", "serve", "--config", str(path)],
        stderr=subprocess.PIPE, text=True, cwd=ROOT,
    )  # fmt: skip
    write_ends: list[int] = []

    def open_write_end() -> bool:
        try:
            write_ends.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
        except OSError as error:
            if error.errno != errno.ENXIO or process.poll() is not None:
                raise
            return False  # the process has not opened it yet
        return True

    def resume() -> None:
        text = (ROOT / "examples" / "config.json").read_text().replace("127.0.0.1:5080", "127.0.0.1:0")
        regular_file = tmp_path / "other"
        regular_file.write_text(text)
        os.replace(regular_file, path)
        os.write(write_ends[0], text.encode())
        os.close(write_ends[0])

    try:
        wait_for(open_write_end)
        yield process, resume
    finally:
        process.kill()
        process.communicate()


def test_sighup_before_the_process_is_ready_reloads_once_ready(
    held_start: tuple[subprocess.Popen[str], Callable[[], None]],
) -> None:
    process, resume = held_start
    process.send_signal(signal.SIGHUP)
    resume()
    assert process.stderr is not None
    lines = iter(process.stderr.readline, "")
    assert any("listens on" in text for text in lines)

    def count_reloads() -> int:
        process.send_signal(signal.SIGUSR1)
        return int(json.loads(next(text for text in lines if text.startswith("{"))).get("reloads", 0))

    wait_for(lambda: count_reloads() == 1)


def test_sigterm_before_the_process_is_ready_ends_it_with_status_0(
    held_start: tuple[subprocess.Popen[str], Callable[[], None]],
) -> None:
    process, resume = held_start
    process.send_signal(signal.SIGTERM)
    resume()
    assert process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize(("signal_name", "status"), [("HUP", 7), ("TERM", -signal.SIGTERM)])
def test_deployed_start_ignores_sighup_but_not_sigterm_before_python_is_up(
    tmp_path: Path, signal_name: str, status: int
) -> None:
    """SIGHUP ends a process that has no handler yet, unless its shell has set it to be ignored."""
    python = tmp_path / ".venv" / "bin" / "python"
    python.parent.mkdir(parents=True)
    python.write_text(f"#!/bin/sh\nkill -{signal_name} $$\nexit 7\n")  # before Python could install a handler
    python.chmod(0o755)
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert subprocess.run(["sh", "-c", run], cwd=tmp_path, timeout=TIMEOUT_S).returncode == status
