"""Benchmark of the memory of a serving process: per import, connection and its thread, message and call.

    python -m benchmarks.memory              # prints a table; takes a minute, loopback only

Each row of connections has a `serve` process of its own, measured from outside (VmRSS of /proc) before and
after. The toy setup server answers every set-up. There is no pass or fail here.
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
TOY_SERVER_OPTIONS = ["--port", "0", "--bulletin-port", "0", "--stands-s", "60"]
SETTLE_S = 0.7


def read_resident_kb(pid: int) -> int:
    """Resident memory of a process, in kilobytes."""
    match = re.search(r"VmRSS:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    return int(match[1]) if match else 0


def measure_import(name: str) -> tuple[int, float]:
    """Kilobytes of a fresh interpreter after importing a module, and the seconds that the import took."""
    code = f"import time; t = time.perf_counter(); import {name}; "
    code += "print(time.perf_counter() - t, flush=True); input()"
    with subprocess.Popen(
        [sys.executable, "-c", code], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as child:
        assert child.stdout is not None
        duration_s = float(child.stdout.readline())
        memory_kb = read_resident_kb(child.pid)
        child.communicate("\n")
    return memory_kb, duration_s


class ServeProcess:
    """A toy setup server and a `serve` process, until `close`."""

    def __init__(self, memory_mb: int) -> None:
        self.toy = subprocess.Popen(
            [sys.executable, "-m", "examples.toy_server", *TOY_SERVER_OPTIONS],
            cwd=ROOT, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert self.toy.stdout is not None
        bulletin = self.toy.stdout.readline().split()[-1]
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        with socket.create_server(("127.0.0.1", 0)) as free_socket:
            config["listen"] = f"127.0.0.1:{free_socket.getsockname()[1]}"
        config["bulletin"] = bulletin
        config["limits"]["memory_mb"] = memory_mb
        self.address = ("127.0.0.1", int(config["listen"].rpartition(":")[2]))
        path = Path(tempfile.mkdtemp()) / "config.json"
        path.write_text(json.dumps(config))
        self.child = subprocess.Popen(
            [sys.executable, "-m", "wickstep", "serve", "--config", str(path)], cwd=ROOT,
            env={**os.environ, "MALLOC_ARENA_MAX": "2"}, stderr=subprocess.DEVNULL,
        )  # fmt: skip
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            try:
                socket.create_connection(self.address, timeout=1).close()
                break
            except OSError:
                time.sleep(0.05)
        time.sleep(SETTLE_S)

    def close(self) -> None:
        for child in (self.child, self.toy):
            child.kill()
            child.wait()


def open_connections(
    address: tuple[str, int], count: int, payload: Callable[[int], bytes]
) -> list[socket.socket]:
    socks = [socket.create_connection(address, timeout=5) for _ in range(count)]
    for number, sock in enumerate(socks):
        sock.sendall(payload(number))
    return socks


def set_up(number: int, size: int = 20) -> bytes:
    return codec.encode(SetUp(number + 1, "general", 8000, "7f3a9c21e0b4d655", b"x" * size, first_choice=0))


CONNECTION_PAYLOADS: dict[str, Callable[[int], bytes]] = {
    "idle connection": lambda number: b"",
    "connection that stops half way": lambda number: set_up(number)[:20],
    "connection with half a message of 16 KiB": lambda number: set_up(number, 15000)[:8000],
    "connection with a call that stands": set_up,
    "connection with ten calls that stand": lambda nth: b"".join(set_up(nth * 10 + n) for n in range(10)),
}


@click.command()
@click.option("--connections", default=100, show_default=True)
@click.option("--memory-mb", default=192, show_default=True, help="The limit in the configuration.")
def main(connections: int, memory_mb: int) -> None:
    """Print the memory per import and per connection."""
    baseline_kb = measure_import("sys")[0]
    for name in IMPORTS:
        memory_kb, duration_s = measure_import(name)
        click.echo(
            f"import {name:28} {memory_kb - baseline_kb:7} KB more than the interpreter, "
            f"{1000 * duration_s:6.1f} ms"
        )
    for name, payload in CONNECTION_PAYLOADS.items():
        process = ServeProcess(memory_mb)
        try:
            empty_kb = read_resident_kb(process.child.pid)
            socks = open_connections(process.address, connections, payload)
            time.sleep(SETTLE_S)
            full_kb = read_resident_kb(process.child.pid)
            for sock in socks:
                sock.close()
            click.echo(
                f"{name:42} {(full_kb - empty_kb) / connections:7.1f} KB each, {empty_kb} KB without any"
            )
        finally:
            process.close()


if __name__ == "__main__":
    main()
