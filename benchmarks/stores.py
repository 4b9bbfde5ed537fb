"""Benchmark of stores for the learned state: a file replaced atomically, SQLite and LMDB.

    python -m benchmarks.stores              # prints a table; takes a few seconds, in a temporary folder

It measures write times, bytes on disk and the cost of the imports. All three store the same record of 24
servers repeatedly, in turns. Then a process that writes to each store is killed at random times, and the
store is read back: it counts how often the complete record is found, and prints errors of the reads.
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
WriteRecord = Callable[[dict[str, Any]], None]


def open_file(folder: Path) -> WriteRecord:
    return lambda record: envelope.write(folder / "learned", "stored", record)


def open_sqlite(folder: Path) -> WriteRecord:
    connection = sqlite3.connect(folder / "learned.db", isolation_level=None)
    connection.execute("pragma journal_mode=wal")
    connection.execute("pragma synchronous=normal")
    connection.execute("create table if not exists learned (name text primary key, body text)")

    def write(record: dict[str, Any]) -> None:
        connection.execute("insert or replace into learned values ('all', ?)", (ujson.dumps(record),))

    return write


def open_lmdb(folder: Path) -> WriteRecord:
    import lmdb

    environment = lmdb.open(str(folder), map_size=4 << 20, sync=False)

    def write(record: dict[str, Any]) -> None:
        with environment.begin(write=True) as transaction:
            transaction.put(b"all", ujson.dumps(record).encode())

    return write


STORES: dict[str, Callable[[Path], WriteRecord]] = {
    "file": open_file,
    "sqlite": open_sqlite,
    "lmdb": open_lmdb,
}


def read_record(name: str, folder: Path) -> Any:
    """The record as a starting process would read it."""
    if name == "file":
        return envelope.read(folder / "learned", "stored", 1 << 20)
    if name == "sqlite":
        rows = sqlite3.connect(folder / "learned.db").execute("select body from learned").fetchall()
        return ujson.loads(rows[0][0]) if rows else None
    import lmdb

    with lmdb.open(str(folder), map_size=4 << 20).begin() as transaction:
        value = transaction.get(b"all")
    return ujson.loads(value) if value else None


def measure_import(module: str) -> tuple[float, int]:
    """Milliseconds and kilobytes that the import of a module takes."""
    code = (
        "import time, resource; a = resource.getrusage(0).ru_maxrss; t = time.perf_counter(); "
        f"import {module}; print(1000 * (time.perf_counter() - t), resource.getrusage(0).ru_maxrss - a)"
    )
    time_ms, memory_kb = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    ).stdout.split()
    return float(time_ms), int(memory_kb)


@click.command()
@click.option("--child", hidden=True, default="")
@click.option("--folder", hidden=True, default="")
def main(child: str, folder: str) -> None:
    """Compare the three stores."""
    if child:
        write = STORES[child](Path(folder))
        while True:
            write(RECORD)
    with tempfile.TemporaryDirectory() as base:
        writes = {}
        for name, open_store in STORES.items():
            os.mkdir(Path(base) / name)
            writes[name] = open_store(Path(base) / name)
        times_by_store: dict[str, list[float]] = {name: [] for name in STORES}
        for _ in range(ROUNDS):
            for name, write in writes.items():
                started = time.perf_counter()
                write(RECORD)
                times_by_store[name].append(1e6 * (time.perf_counter() - started))
        for name, module in (("file", "hashlib"), ("sqlite", "sqlite3"), ("lmdb", "lmdb")):
            size = sum(file.stat().st_size for file in (Path(base) / name).iterdir())
            times_us = sorted(times_by_store[name])
            import_ms, import_kb = measure_import(module)
            median, p99 = statistics.median(times_us), times_us[-ROUNDS // 100]
            click.echo(
                f"{name:7} write {median:6.0f} us, 99th percentile {p99:6.0f}; {size} bytes; "
                f"import {import_ms:.1f} ms, {import_kb} KB; {run_kills(name)}"
            )


def run_kills(name: str) -> str:
    """How often the complete record is found after kills at random times."""
    rng, complete = random.Random(1), 0
    for _ in range(KILLS):
        with tempfile.TemporaryDirectory() as folder:
            command = [sys.executable, "-m", "benchmarks.stores", "--child", name, "--folder", folder]
            process = subprocess.Popen(command, cwd=ROOT)
            time.sleep(0.5 + 0.2 * rng.random())
            process.send_signal(signal.SIGKILL)
            process.wait()
            try:
                complete += read_record(name, Path(folder)) == RECORD
            except Exception as error:
                click.echo(f"{name}: {error!r}")
    return f"complete after {complete} of {KILLS} kills"


if __name__ == "__main__":
    main()
