"""Benchmark of the prefix index against a plain dict: build time, memory and look-ups, paired in one run.

    python -m benchmarks.prefixes [SIZE ...]

Both look up the same numbers in the same process, in turns. The figure that counts is the ratio, since a busy
machine slows both. It also reads tables of the largest size in a thread, beside a loop that measures how long
it was kept from running: the longest pause is the delay that a swap of tables would add to calls. Last, it
measures the peak memory of a process that reads a table twice.
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
ROUNDS, NUMBERS = 9, 20_000
SWAPS = 3


class DictIndex:
    """The baseline: a dict, looked up with ever shorter prefixes of the number."""

    def __init__(self, entries: Iterable[tuple[str, int]]) -> None:
        self.table = dict(entries)
        self.max_length = max(map(len, self.table), default=0)

    def longest_match(self, number: str) -> tuple[str, int] | None:
        for length in range(min(self.max_length, len(number)), -1, -1):
            found = self.table.get(number[:length])
            if found is not None:
                return number[:length], found
        return None


def make_entries(size: int, rng: random.Random) -> list[tuple[str, int]]:
    """Prefixes of three to ten digits, dense and nested, as in numbering plans."""
    entries: dict[str, int] = {}
    while len(entries) < size:
        length = min(rng.choice((3, 5, 7, 8, 9, 10)), 10)
        entries[f"{rng.randrange(10**length):0{length}d}"] = rng.randrange(50)
    return list(entries.items())


def make_numbers(entries: list[tuple[str, int]], rng: random.Random) -> list[str]:
    """Half of them start with a prefix of the table, half are random."""
    numbers = []
    for position in range(NUMBERS):
        head = rng.choice(entries)[0] if position % 2 else f"{rng.randrange(10**6):06d}"
        numbers.append((head + f"{rng.randrange(10**9):09d}")[:12])
    return numbers


def measure_build(make: Callable[[], object]) -> tuple[object, float, float]:
    """The result of `make`, the seconds it took, and the MB that it holds."""
    start = time.perf_counter()
    result = make()
    seconds = time.perf_counter() - start
    tracemalloc.start()
    again = make()
    held_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    del again
    return result, seconds, held_mb


def measure_look_up_us(look_up: Callable[[str], object], numbers: list[str]) -> float:
    start = time.perf_counter()
    for number in numbers:
        look_up(number)
    return (time.perf_counter() - start) / len(numbers) * 1e6


def compare(size: int) -> None:
    rng = random.Random(size)
    entries = make_entries(size, rng)
    numbers = make_numbers(entries, rng)
    index, index_s, index_mb = measure_build(lambda: PrefixIndex(entries))
    dict_index, dict_s, dict_mb = measure_build(
        lambda: DictIndex([(str(prefix)[:], value) for prefix, value in copy_prefixes(entries)])
    )
    assert isinstance(index, PrefixIndex)
    assert isinstance(dict_index, DictIndex)
    assert all(index.longest_match(number) == dict_index.longest_match(number) for number in numbers)
    pairs = [
        (
            measure_look_up_us(index.longest_match, numbers),
            measure_look_up_us(dict_index.longest_match, numbers),
        )
        for _ in range(ROUNDS)
    ]
    ratio = statistics.median(index_us / dict_us for index_us, dict_us in pairs)
    index_us, dict_us = (statistics.median(side) for side in zip(*pairs, strict=True))
    print(
        f"{size:>9} prefixes: build {index_s:.3f} s against {dict_s:.3f} s,"
        f" memory {index_mb:.1f} MB against {dict_mb:.1f} MB,"
        f" a look-up {index_us:.2f} us against {dict_us:.2f} us, ratio {ratio:.2f} ({ROUNDS} pairs)",
        flush=True,
    )


def copy_prefixes(entries: list[tuple[str, int]]) -> Iterable[tuple[str, int]]:
    """The same prefixes as separate string objects, as they would be when read from a file."""
    return ((prefix.encode().decode(), value) for prefix, value in entries)


def make_source(size: int) -> tuple[str, bytes]:
    """A table's settings and its prefix list."""
    rng = random.Random(1)
    rows = "\n".join(f"{prefix},r{value % 50}" for prefix, value in make_entries(size, rng)).encode()
    routes = "".join(f' route "r{number}" {{ server {number % 3}; }}\n' for number in range(50))
    return f'numbering version="1" {{\n{routes} prefixes "all.csv" count={size}\n}}\n', rows


def measure_memory(size: int) -> None:
    """Measure the peak memory of a process that reads a table, and a second one while it holds the first."""
    with tempfile.TemporaryDirectory() as folder:
        text, rows = make_source(size)
        path = Path(folder) / "numbers.kdl"
        path.write_text(text)
        path.with_name("all.csv").write_bytes(rows)
        code = "import re, sys; from pathlib import Path; from wickstep.numbering import stage\n"
        # The peak resident memory of this program alone: ru_maxrss would include that of its parent.
        code += "status = lambda: open('/proc/self/status').read()\n"
        code += "most = lambda: int(re.search(r'VmHWM:\\s+(\\d+)', status())[1]) / 1024\n"
        code += "start = most(); first = stage.load_table(Path(sys.argv[1])); once = most()\n"
        code += "second = stage.load_table(Path(sys.argv[1])); print(start, once - start, most() - start)"
        completed = subprocess.run(
            [sys.executable, "-c", code, str(path)], capture_output=True, text=True, check=True
        )
    start, once, twice = (float(word) for word in completed.stdout.split())
    print(
        f"{size:>9} prefixes: {start:.0f} MB before, {once:.0f} MB more at most for the first table",
        flush=True,
    )
    print(f"{'':>9} and {twice:.0f} MB more at most for the second beside it", flush=True)


def measure_swaps(size: int) -> None:
    """Measure the pauses of a loop while a thread reads a table of this size several times."""
    text, rows = make_source(size)
    finished = threading.Event()
    durations: list[float] = []

    def load() -> None:
        for _ in range(SWAPS):
            start = time.perf_counter()
            read_table(text, lambda name: rows)
            durations.append(time.perf_counter() - start)
        finished.set()

    pauses: list[float] = []
    thread = threading.Thread(target=load)
    last = time.perf_counter()
    thread.start()
    while not finished.is_set():
        time.sleep(0.001)
        now = time.perf_counter()
        pauses.append(now - last)
        last = now
    thread.join()
    pauses.sort()
    longest, percentile_99 = pauses[-1] * 1e3, pauses[len(pauses) * 99 // 100] * 1e3
    each = statistics.median(durations)
    print(f"{size:>9} prefixes read {SWAPS} times beside a loop that sleeps 1 ms: {each:.2f} s each")
    print(f"{'':>9} the longest pause {longest:.1f} ms, 99th percentile {percentile_99:.1f} ms", flush=True)


if __name__ == "__main__":
    sizes = [int(word) for word in sys.argv[1:]] or list(SIZES)
    for size in sizes:
        compare(size)
    measure_swaps(max(sizes))
    measure_memory(max(sizes))
