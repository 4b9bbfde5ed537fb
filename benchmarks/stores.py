"""What was learned in a file that is replaced whole, in SQLite and in LMDB: time, bytes, and what a kill
leaves.

    python -m benchmarks.stores              # prints a table; a few seconds, in a temporary folder

All three store the same record of 24 servers, again and again, in turns. Then each is written by a process
that is killed at random moments, and read back: what counts is whether anything whole is found, and how it
is told.
"""

from __future__ import annotations

import os
import random
import signal
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import ujson

from wickstep.recovery import envelope
from wickstep.recovery.learned import LearnedState, ServerRecord, encode

ROOT = Path(__file__).parent.parent
ROUNDS, KILLS = 200, 20
RECORD = encode(
    LearnedState(0, 0.1, tuple(ServerRecord(f"s-{n:08x}", 0, 0.5, 0.9, 7.5, 4e6, 0, 0, 0) for n in range(24)))
)
Write = Callable[[dict[str, Any]], None]


def by_file(folder: Path) -> Write:
    return lambda record: envelope.write(folder / "learned", "stored", record)


def by_sqlite(folder: Path) -> Write:
    base = sqlite3.connect(folder / "learned.db", isolation_level=None)
    base.execute("pragma journal_mode=wal")
    base.execute("pragma synchronous=normal")
    base.execute("create table if not exists learned (name text primary key, body text)")

    def write(record: dict[str, Any]) -> None:
        base.execute("insert or replace into learned values ('all', ?)", (ujson.dumps(record),))

    return write


def by_lmdb(folder: Path) -> Write:
    import lmdb

    base = lmdb.open(str(folder), map_size=4 << 20, sync=False)

    def write(record: dict[str, Any]) -> None:
        with base.begin(write=True) as change:
            change.put(b"all", ujson.dumps(record).encode())

    return write


STORES: dict[str, Callable[[Path], Write]] = {"file": by_file, "sqlite": by_sqlite, "lmdb": by_lmdb}


def read(name: str, folder: Path) -> Any:
    """The record as a start finds it."""
    if name == "file":
        return envelope.read(folder / "learned", "stored", 1 << 20)
    if name == "sqlite":
        rows = sqlite3.connect(folder / "learned.db").execute("select body from learned").fetchall()
        return ujson.loads(rows[0][0]) if rows else None
    import lmdb

    with lmdb.open(str(folder), map_size=4 << 20).begin() as look:
        found = look.get(b"all")
    return ujson.loads(found) if found else None


def imported(module: str) -> tuple[float, int]:
    """Milliseconds and kilobytes that its import takes."""
    code = (
        "import time, resource; a = resource.getrusage(0).ru_maxrss; t = time.perf_counter(); "
        f"import {module}; print(1000 * (time.perf_counter() - t), resource.getrusage(0).ru_maxrss - a)"
    )
    took, held = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout.split()
    return float(took), int(held)


@click.command()
@click.option("--child", hidden=True, default="")
@click.option("--folder", hidden=True, default="")
def main(child: str, folder: str) -> None:
    """Compare the three."""
    if child:
        write = STORES[child](Path(folder))
        while True:
            write(RECORD)
    with tempfile.TemporaryDirectory() as base:
        writes = {}
        for name, make in STORES.items():
            os.mkdir(Path(base) / name)
            writes[name] = make(Path(base) / name)
        times: dict[str, list[float]] = {name: [] for name in STORES}
        for _ in range(ROUNDS):
            for name, write in writes.items():
                begin = time.perf_counter()
                write(RECORD)
                times[name].append(1e6 * (time.perf_counter() - begin))
        for name, module in (("file", "hashlib"), ("sqlite", "sqlite3"), ("lmdb", "lmdb")):
            held = sum(file.stat().st_size for file in (Path(base) / name).iterdir())
            took = sorted(times[name])
            import_ms, import_kb = imported(module)
            median, slow = statistics.median(took), took[-ROUNDS // 100]
            click.echo(
                f"{name:7} write {median:6.0f} us, one in a hundred {slow:6.0f}; {held} bytes; "
                f"import {import_ms:.1f} ms, {import_kb} KB; {killed(name)}"
            )


def killed(name: str) -> str:
    """What is found after kills at random moments."""
    lots, whole = random.Random(1), 0
    for _ in range(KILLS):
        with tempfile.TemporaryDirectory() as folder:
            command = [sys.executable, "-m", "benchmarks.stores", "--child", name, "--folder", folder]
            process = subprocess.Popen(command, cwd=ROOT)
            time.sleep(0.5 + 0.2 * lots.random())
            process.send_signal(signal.SIGKILL)
            process.wait()
            try:
                whole += read(name, Path(folder)) == RECORD
            except Exception as trouble:
                click.echo(f"{name}: {trouble!r}")
    return f"whole after {whole} of {KILLS} kills"


if __name__ == "__main__":
    main()
