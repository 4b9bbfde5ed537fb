"""The journal of calls: what a note costs, how long a replay takes, and what kills at drawn moments leave.

    python -m benchmarks.calls [--calls 20000] [--replay 100000] [--moments 200] [--pairs 2]

The stores beside it keep the same of each call. Pairs play the same script with and without a journal, and
compare the time from a set-up to its answer.
"""

from __future__ import annotations

import os
import random
import re
import sqlite3
import statistics
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import click

from wickstep.recovery import records
from wickstep.recovery.journal import SYNC_BATCH, SYNC_MODES, SYNC_NEVER, SYNC_TURN, Journal, replay
from wickstep.rehearsal import run, scenario
from wickstep.rehearsal.trace import EventKind

STAMP = re.compile(r"\S+ (\d\d):(\d\d):(\d\d),(\d{3}) ")
STANDING = 400  # calls that stand at any moment
KILLS = """rehearsal "moments" seed={seed} softswitches=10 lasts-s=16 state="calls" {{
    servers 3 rate=60 lines=400 cold-s=2
    callers rate=110 hold-s=1.5 spread=3 again="yes"
{faults}
}}"""
PAIR = """rehearsal "pair" seed={seed} softswitches=4 lasts-s=8 state="{state}" {{
    servers 3 rate=80 lines=400
    callers rate=120 hold-s=1.5 spread=2
}}"""


def journal_cost(folder: Path, sync: str, calls: int) -> tuple[float, int]:
    """Microseconds a call, and bytes on disk at the end."""
    journal = Journal(folder, "n1", 4_000_000, sync)
    journal.open(0)
    began = time.perf_counter()
    for call in range(1, calls + 1):
        journal.call_taken(call)
        journal.attempt_sent(call, 0, f"s-{call % 24:08x}", 0)
        journal.call_stands(call)
        journal.call_ended(call - STANDING)
        journal.end_turn(call)
    took = time.perf_counter() - began
    journal.close()
    return 1e6 * took / calls, sum(path.stat().st_size for path in folder.iterdir())


def sqlite_cost(folder: Path, calls: int) -> tuple[float, int]:
    store = sqlite3.connect(folder / "calls.db", isolation_level=None)
    store.execute("pragma journal_mode=wal")
    store.execute("pragma synchronous=off")
    store.execute("create table calls (call integer primary key, phase integer, host text)")
    began = time.perf_counter()
    for call in range(1, calls + 1):
        store.execute("insert into calls values (?, 1, ?)", (call, f"s-{call % 24:08x}"))
        store.execute("update calls set phase = 2 where call = ?", (call,))
        store.execute("delete from calls where call = ?", (call - STANDING,))
    took = time.perf_counter() - began
    store.close()
    return 1e6 * took / calls, sum(path.stat().st_size for path in folder.iterdir())


def lmdb_cost(folder: Path, calls: int) -> tuple[float, int]:
    import lmdb

    store = lmdb.open(str(folder), map_size=64 << 20, sync=False)
    began = time.perf_counter()
    for call in range(1, calls + 1):
        key = call.to_bytes(8, "big")
        for value in (b"\x01" + f"s-{call % 24:08x}".encode(), b"\x02"):  # before set-up and answer
            with store.begin(write=True) as change:
                change.put(key, value)
        with store.begin(write=True) as change:
            change.delete(max(call - STANDING, 0).to_bytes(8, "big"))
    took = time.perf_counter() - began
    store.close()
    return 1e6 * took / calls, sum(path.stat().st_size for path in folder.iterdir())


def in_folder(do: Callable[[Path], tuple[float, int]]) -> tuple[float, int]:
    with tempfile.TemporaryDirectory() as folder:
        return do(Path(folder))


def replay_time(live: int) -> tuple[float, int]:
    """Seconds to read a segment that begins with so many standing calls, and its bytes."""
    parts = [records.encode_head("n1", 1), records.encode(records.Record(records.Kind.SERVER, host="s-1"))]
    for call in range(1, live + 1):
        parts.append(records.encode(records.Record(records.Kind.SENT, call, 0, 0, 1)))
        parts.append(records.encode(records.Record(records.Kind.STANDS, call)))
    parts.append(records.encode(records.Record(records.Kind.LIVE)))
    raw = b"".join(parts)

    def timed(folder: Path) -> tuple[float, int]:
        (folder / "calls-000000000000000001").write_bytes(raw)
        began = time.perf_counter()
        found = replay(folder, "n1", 1 << 30)
        assert found.record_count == 2 * live + 2
        return time.perf_counter() - began, len(raw)

    return in_folder(timed)


def kills(seed: int, moments: int) -> tuple[int, list[str], int]:
    """Kills brought about, rules broken, calls offered: one play with kills at drawn moments."""
    dice = random.Random(seed)
    at = sorted(dice.uniform(2, 12) for _ in range(moments))
    faults = [
        f'    fault "kill" at={moment:.3f} part=0.1 back-s={dice.uniform(0.05, 0.8):.3f}' for moment in at
    ]
    faults.append('    fault "replace" at=4 server=0 for-s=1.2')
    faults.append('    fault "cut" at=8 server=1 for-s=1.2')
    script = scenario.read(KILLS.format(seed=seed, faults="\n".join(faults)))
    with tempfile.TemporaryDirectory() as folder:
        found = run.Rehearsal(script, Path(folder)).play()
    broken = [f"{breach.rule}: {breach.text}" for breach in found.breaches] + found.crashes
    return moments, broken, sum(second.offered for second in found.seconds)


def settling(count: int, state: str, seed: int = 1) -> tuple[list[float], list[float], list[str]]:
    """A fleet of which seven in ten are killed at once: for each that had calls from before, seconds from the
    reading of its journal until the last of them was settled; the share served in time by second since the
    kill; rules broken."""
    rate = 60 * 4 * 0.6
    script = scenario.read(
        f'rehearsal "fleet" seed={seed} softswitches={count} lasts-s=14 state="{state}" {{\n'
        f"    servers 4 rate=60 lines=600 cold-s=4\n    callers rate={rate} hold-s=2 spread=3\n"
        '    fault "kill" at=4 part=0.7\n}'
    )
    with tempfile.TemporaryDirectory() as folder:
        rehearsal = run.Rehearsal(script, Path(folder))
        found = rehearsal.play()
        took = [seconds for switch in rehearsal.switches for seconds in settled_s(switch.logs())]
    shares = [second.share for second in found.seconds[4:12]]
    return took, shares, [breach.rule for breach in found.breaches]


def settled_s(log: str) -> list[float]:
    """From each reading of a journal with calls to their being settled."""
    times: list[float] = []
    began = 0.0
    for line in log.splitlines():
        found = STAMP.match(line)
        if found and "the journal of calls:" in line:
            began = seconds_of(found)
        elif found and "calls from before are settled" in line:
            times.append(seconds_of(found) - began)
    return times


def seconds_of(found: re.Match[str]) -> float:
    hours, minutes, seconds, millis = (int(part) for part in found.groups())
    return 3600 * hours + 60 * minutes + seconds + millis / 1000


def served_path(seed: int, state: str) -> tuple[float, float]:
    """Median milliseconds from a set-up to its answer, and microseconds of processor a call, over a play
    without faults; what the starts cost is left out."""
    cpu: list[float] = []

    def look(then: Callable[[], None]) -> None:
        cpu.append(sum(processor_s(switch.pid) for switch in rehearsal.switches))
        then()

    with tempfile.TemporaryDirectory() as folder:
        rehearsal = run.Rehearsal(scenario.read(PAIR.format(seed=seed, state=state)), Path(folder))
        callers = rehearsal.callers
        callers.start = partial(look, callers.start)  # type: ignore[method-assign]
        callers.stop = partial(look, callers.stop)  # type: ignore[method-assign]
        found = rehearsal.play()
    assert found.kept
    asked = {event.call: event.at for event in rehearsal.trace.of_kind(EventKind.SET_UP_SENT)}
    stood = [e for e in rehearsal.trace.of_kind(EventKind.FINAL_ANSWER) if e.detail == "stands"]
    median = 1000 * statistics.median(event.at - asked[event.call] for event in stood)
    return median, 1e6 * (cpu[1] - cpu[0]) / len(asked)


def processor_s(pid: int) -> float:
    """Processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@click.command()
@click.option("--calls", default=20_000, show_default=True)
@click.option("--replay", "live", default=100_000, show_default=True, help="Calls in the replay.")
@click.option("--moments", default=200, show_default=True, help="Kills of real processes, 20 a play.")
@click.option("--pairs", default=2, show_default=True)
@click.option("--fleet", default=0, show_default=True, help="Softswitches of which 70% are killed at once.")
def main(calls: int, live: int, moments: int, pairs: int, fleet: int) -> None:
    """Print all of it."""
    for state in ("kept", "calls") if fleet else ():
        times, shares, rules = settling(fleet, state)
        last = f"{len(times)} journals settled, the last after {max(times):.1f} s; " if times else ""
        served = " ".join(f"{100 * share:.0f}" for share in shares)
        click.echo(f"{fleet} softswitches, state {state}: {last}% in time by second {served}; {rules}")
    assert SYNC_MODES == (SYNC_NEVER, SYNC_BATCH, SYNC_TURN)
    for sync in SYNC_MODES:
        count = calls if sync != SYNC_TURN else calls // 20
        cost, size = in_folder(lambda folder, s=sync, n=count: journal_cost(folder, s, n))  # type: ignore[misc]
        click.echo(f"journal, sync {sync:10}: {cost:7.1f} us a call, {size} bytes")
    cost, size = in_folder(lambda folder: sqlite_cost(folder, calls))
    click.echo(f"SQLite, no sync        : {cost:7.1f} us a call, {size} bytes")
    cost, size = in_folder(lambda folder: lmdb_cost(folder, calls))
    click.echo(f"LMDB, no sync          : {cost:7.1f} us a call, {size} bytes")
    took, size = replay_time(live)
    click.echo(f"replay of {live} calls: {took:.2f} s, {size} bytes")
    done, offered = 0, 0
    broken: list[str] = []
    for seed in range(1, moments // 20 + 1):
        count, found, asked = kills(seed, 20)
        done, broken, offered = done + count, broken + found, offered + asked
        click.echo(f"kills {done}: {offered} calls, {len(broken)} rules broken")
    for text in broken[:10]:
        click.echo(f"  {text}")
    for seed in range(1, pairs + 1):
        for state in ("kept", "calls"):
            median, each = served_path(seed, state)
            click.echo(f"pair {seed}, {state:5}: {median:.2f} ms to the answer, {each:.0f} us of CPU a call")


if __name__ == "__main__":
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    main()
