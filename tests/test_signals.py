"""Signals that come before a process is ready: held where it reads its configuration, a FIFO here."""

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
def starting(tmp_path: Path) -> Iterator[tuple[subprocess.Popen[str], Callable[[], None]]]:
    """A start that is held where it reads its configuration, and what lets it go on."""
    path = tmp_path / "config.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "wickstep", "serve", "--config", str(path)],
        stderr=subprocess.PIPE, text=True, cwd=ROOT,
    )  # fmt: skip
    held: list[int] = []

    def opened() -> bool:
        try:
            held.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
        except OSError as trouble:
            if trouble.errno != errno.ENXIO or process.poll() is not None:
                raise
            return False  # nobody reads it yet
        return True

    def go_on() -> None:
        text = (ROOT / "examples" / "config.json").read_text().replace("127.0.0.1:5080", "127.0.0.1:0")
        other = tmp_path / "other"
        other.write_text(text)
        os.replace(other, path)
        os.write(held[0], text.encode())
        os.close(held[0])

    try:
        wait_for(opened)
        yield process, go_on
    finally:
        process.kill()
        process.communicate()


def test_a_hang_up_before_a_process_is_ready_ends_nothing_and_is_heard(
    starting: tuple[subprocess.Popen[str], Callable[[], None]],
) -> None:
    process, go_on = starting
    process.send_signal(signal.SIGHUP)
    go_on()
    assert process.stderr is not None
    lines = iter(process.stderr.readline, "")
    assert any("listens on" in text for text in lines)

    def reloads() -> int:
        process.send_signal(signal.SIGUSR1)
        return int(json.loads(next(text for text in lines if text.startswith("{"))).get("reloads", 0))

    wait_for(lambda: reloads() == 1)


def test_a_stop_before_a_process_is_ready_is_an_ordinary_end(
    starting: tuple[subprocess.Popen[str], Callable[[], None]],
) -> None:
    process, go_on = starting
    process.send_signal(signal.SIGTERM)
    go_on()
    assert process.wait(TIMEOUT_S) == 0


@pytest.mark.parametrize(("sent", "code"), [("HUP", 7), ("TERM", -signal.SIGTERM)])
def test_a_hang_up_before_the_interpreter_is_up_does_not_end_a_deployed_start(
    tmp_path: Path, sent: str, code: int
) -> None:
    python = tmp_path / ".venv" / "bin" / "python"
    python.parent.mkdir(parents=True)
    python.write_text(f"#!/bin/sh\nkill -{sent} $$\nexit 7\n")  # at its very beginning
    python.chmod(0o755)
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert subprocess.run(["sh", "-c", run], cwd=tmp_path, timeout=TIMEOUT_S).returncode == code
