"""The prefix index against a plain dict and scan: build, memory and look-ups, paired in one run.

    python -m benchmarks.prefixes [SIZE ...]

Both are asked the same numbers in the same process, in turns, and the figure that counts is the ratio: a
machine that is busy slows both. It also swaps tables of the largest size in a thread, beside a loop that
only measures how long it was kept from running: the longest pause is what calls would feel of a swap.
"""

from __future__ import annotations

import random
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterable
from pathlib import Path

from wickstep.numbering.index import PrefixIndex
from wickstep.numbering.reader import read_table

SIZES = (1_000, 100_000, 1_000_000)
ROUNDS, ASKED = 9, 20_000
SWAPS = 3


class Plain:
    """What a page of Python would do: a dict, and the number cut shorter until it is found."""

    def __init__(self, entries: Iterable[tuple[str, int]]) -> None:
        self.table = dict(entries)
        self.most = max(map(len, self.table), default=0)

    def longest(self, number: str) -> tuple[str, int] | None:
        for length in range(min(self.most, len(number)), -1, -1):
            found = self.table.get(number[:length])
            if found is not None:
                return number[:length], found
        return None


def entries(size: int, lots: random.Random) -> list[tuple[str, int]]:
    """Prefixes of three to ten digits, as numbering plans have them: dense, and one inside the other."""
    found: dict[str, int] = {}
    while len(found) < size:
        length = min(lots.choice((3, 5, 7, 8, 9, 10)), 10)
        found[f"{lots.randrange(10**length):0{length}d}"] = lots.randrange(50)
    return list(found.items())


def numbers(table: list[tuple[str, int]], lots: random.Random) -> list[str]:
    """Half of them under a prefix that is there, half at random."""
    found = []
    for place in range(ASKED):
        head = lots.choice(table)[0] if place % 2 else f"{lots.randrange(10**6):06d}"
        found.append((head + f"{lots.randrange(10**9):09d}")[:12])
    return found


def built(make: Callable[[], object]) -> tuple[object, float, float]:
    """What is made, in how many seconds, and how many MB it holds."""
    began = time.perf_counter()
    made = make()
    took = time.perf_counter() - began
    tracemalloc.start()
    again = make()
    held = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    del again
    return made, took, held


def asked(longest: Callable[[str], object], wanted: list[str]) -> float:
    began = time.perf_counter()
    for number in wanted:
        longest(number)
    return (time.perf_counter() - began) / len(wanted) * 1e6


def compare(size: int) -> None:
    lots = random.Random(size)
    table = entries(size, lots)
    wanted = numbers(table, lots)
    index, index_s, index_mb = built(lambda: PrefixIndex(table))
    plain, plain_s, plain_mb = built(
        lambda: Plain([(str(prefix)[:], value) for prefix, value in copies(table)])
    )
    assert isinstance(index, PrefixIndex)
    assert isinstance(plain, Plain)
    assert all(index.longest(number) == plain.longest(number) for number in wanted)
    pairs = [(asked(index.longest, wanted), asked(plain.longest, wanted)) for _ in range(ROUNDS)]
    ratio = statistics.median(ours / theirs for ours, theirs in pairs)
    ours, theirs = (statistics.median(side) for side in zip(*pairs, strict=True))
    print(
        f"{size:>9} prefixes: build {index_s:.3f} s against {plain_s:.3f} s,"
        f" memory {index_mb:.1f} MB against {plain_mb:.1f} MB,"
        f" a look-up {ours:.2f} us against {theirs:.2f} us, ratio {ratio:.2f} ({ROUNDS} pairs)",
        flush=True,
    )


def copies(table: list[tuple[str, int]]) -> Iterable[tuple[str, int]]:
    """The same prefixes as strings of their own: read from a file they would be."""
    return ((prefix.encode().decode(), value) for prefix, value in table)


def source(size: int) -> tuple[str, bytes]:
    """A table's settings and its list."""
    lots = random.Random(1)
    rows = "\n".join(f"{prefix},r{value % 50}" for prefix, value in entries(size, lots)).encode()
    routes = "".join(f' route "r{number}" {{ server {number % 3}; }}\n' for number in range(50))
    return f'numbering version="1" {{\n{routes} prefixes "all.csv" count={size}\n}}\n', rows


def memory(size: int) -> None:
    """What a process takes that reads a table, and reads it again while the first is in service."""
    with tempfile.TemporaryDirectory() as folder:
        text, rows = source(size)
        path = Path(folder) / "numbers.kdl"
        path.write_text(text)
        path.with_name("all.csv").write_bytes(rows)
        code = "import re, sys; from pathlib import Path; from wickstep.numbering import stage\n"
        # The most that was resident since this program began: rusage would count its parent's, too.
        code += "status = lambda: open('/proc/self/status').read()\n"
        code += "most = lambda: int(re.search(r'VmHWM:\\s+(\\d+)', status())[1]) / 1024\n"
        code += "start = most(); first = stage.load(Path(sys.argv[1])); once = most()\n"
        code += "second = stage.load(Path(sys.argv[1])); print(start, once - start, most() - start)"
        said = subprocess.run(
            [sys.executable, "-c", code, str(path)], capture_output=True, text=True, check=True
        )
    start, once, twice = (float(word) for word in said.stdout.split())
    print(
        f"{size:>9} prefixes: {start:.0f} MB before, {once:.0f} MB more at most for the first table",
        flush=True,
    )
    print(f"{'':>9} and {twice:.0f} MB more at most for the second beside it", flush=True)


def swap(size: int) -> None:
    """Load a table of this size beside a loop, several times."""
    text, rows = source(size)
    over = threading.Event()
    took: list[float] = []

    def load() -> None:
        for _ in range(SWAPS):
            began = time.perf_counter()
            read_table(text, lambda name: rows)
            took.append(time.perf_counter() - began)
        over.set()

    pauses: list[float] = []
    thread = threading.Thread(target=load)
    last = time.perf_counter()
    thread.start()
    while not over.is_set():
        time.sleep(0.001)
        now = time.perf_counter()
        pauses.append(now - last)
        last = now
    thread.join()
    pauses.sort()
    worst, most = pauses[-1] * 1e3, pauses[len(pauses) * 99 // 100] * 1e3
    each = statistics.median(took)
    print(f"{size:>9} prefixes read {SWAPS} times beside a loop that sleeps 1 ms: {each:.2f} s each")
    print(f"{'':>9} the longest pause {worst:.1f} ms, 99th percentile {most:.1f} ms", flush=True)


if __name__ == "__main__":
    sizes = [int(word) for word in sys.argv[1:]] or list(SIZES)
    for size in sizes:
        compare(size)
    swap(max(sizes))
    memory(max(sizes))
