"""Where the memory of a serving process goes: by import, by connection and its thread, by message, by call.

    python -m benchmarks.memory              # prints a table; a minute, loopback only

Each row is a `serve` of its own, measured from outside (VmRSS of /proc) before and after. The toy setup
server answers every set-up. Nothing here judges.
"""

from __future__ import annotations

import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import click

from wickstep.net import SetUp, codec

ROOT = Path(__file__).parent.parent
IMPORTS = ("sys", "click", "ujson", "hashlib", "wickstep.brain", "wickstep.__main__")
TOY = ["--port", "0", "--bulletin-port", "0", "--stands-s", "60"]
SETTLE_S = 0.7


def resident(pid: int) -> int:
    """Kilobytes that a process holds."""
    found = re.search(r"VmRSS:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    return int(found[1]) if found else 0


def imported(name: str) -> tuple[int, float]:
    """Kilobytes of a fresh interpreter that has imported a module, and the seconds that took it."""
    code = f"import time; t = time.perf_counter(); import {name}; "
    code += "print(time.perf_counter() - t, flush=True); input()"
    with subprocess.Popen(
        [sys.executable, "-c", code], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as child:
        assert child.stdout is not None
        took = float(child.stdout.readline())
        held = resident(child.pid)
        child.communicate("\n")
    return held, took


class Served:
    """A toy setup server and a `serve`, ended at the end."""

    def __init__(self, memory_mb: int) -> None:
        self.toy = subprocess.Popen(
            [sys.executable, "-m", "examples.toy_server", *TOY],
            cwd=ROOT, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert self.toy.stdout is not None
        bulletin = self.toy.stdout.readline().split()[-1]
        conf = json.loads((ROOT / "examples" / "config.json").read_text())
        with socket.create_server(("127.0.0.1", 0)) as free:
            conf["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
        conf["bulletin"] = bulletin
        conf["limits"]["memory_mb"] = memory_mb
        self.where = ("127.0.0.1", int(conf["listen"].rpartition(":")[2]))
        path = Path(tempfile.mkdtemp()) / "config.json"
        path.write_text(json.dumps(conf))
        self.child = subprocess.Popen(
            [sys.executable, "-m", "wickstep", "serve", "--config", str(path)], cwd=ROOT,
            env={**os.environ, "MALLOC_ARENA_MAX": "2"}, stderr=subprocess.DEVNULL,
        )  # fmt: skip
        until = time.monotonic() + 10
        while time.monotonic() < until:
            try:
                socket.create_connection(self.where, timeout=1).close()
                break
            except OSError:
                time.sleep(0.05)
        time.sleep(SETTLE_S)

    def close(self) -> None:
        for child in (self.child, self.toy):
            child.kill()
            child.wait()


def connected(where: tuple[str, int], count: int, each: Callable[[int], bytes]) -> list[socket.socket]:
    socks = [socket.create_connection(where, timeout=5) for _ in range(count)]
    for number, sock in enumerate(socks):
        sock.sendall(each(number))
    return socks


def set_up(number: int, size: int = 20) -> bytes:
    return codec.encode(SetUp(number + 1, "general", 8000, "7f3a9c21e0b4d655", b"x" * size, first_choice=0))


ROWS: dict[str, Callable[[int], bytes]] = {
    "idle connection": lambda number: b"",
    "connection that stops half way": lambda number: set_up(number)[:20],
    "connection with half a message of 16 KiB": lambda number: set_up(number, 15000)[:8000],
    "connection with a call that stands": set_up,
    "connection with ten calls that stand": lambda nth: b"".join(set_up(nth * 10 + n) for n in range(10)),
}


@click.command()
@click.option("--connections", default=100, show_default=True)
@click.option("--memory-mb", default=192, show_default=True, help="The limit that the configuration tells.")
def main(connections: int, memory_mb: int) -> None:
    """Print where the memory goes."""
    before = imported("sys")[0]
    for name in IMPORTS:
        held, took = imported(name)
        click.echo(f"import {name:28} {held - before:7} KB more than the interpreter, {1000 * took:6.1f} ms")
    for name, each in ROWS.items():
        served = Served(memory_mb)
        try:
            empty = resident(served.child.pid)
            socks = connected(served.where, connections, each)
            time.sleep(SETTLE_S)
            full = resident(served.child.pid)
            for sock in socks:
                sock.close()
            click.echo(f"{name:42} {(full - empty) / connections:7.1f} KB each, of {empty} KB with none")
        finally:
            served.close()


if __name__ == "__main__":
    main()
