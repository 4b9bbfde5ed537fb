"""Benchmark of the journal of calls: cost per call, time of a replay, and rules violated after random kills.

    python -m benchmarks.calls [--calls 20000] [--replay 100000] [--moments 200] [--pairs 2]

SQLite and LMDB store the same state of each call, for comparison. Pairs play the same scenario with and
without a journal, and compare the time from a set-up to its answer and the CPU time per call.
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

LOG_TIME = re.compile(r"\S+ (\d\d):(\d\d):(\d\d),(\d{3}) ")
STANDING_CALLS = 400  # in the store at any time
KILL_SCENARIO = """rehearsal "moments" seed={seed} softswitches=10 lasts-s=16 state="calls" {{
    servers 3 rate=60 lines=400 cold-s=2
    callers rate=110 hold-s=1.5 spread=3 again="yes"
{faults}
}}"""
PAIR_SCENARIO = """rehearsal "pair" seed={seed} softswitches=4 lasts-s=8 state="{state}" {{
    servers 3 rate=80 lines=400
    callers rate=120 hold-s=1.5 spread=2
}}"""


def measure_journal(folder: Path, sync: str, calls: int) -> tuple[float, int]:
    """Microseconds per call, and bytes on disk at the end."""
    journal = Journal(folder, "n1", 4_000_000, sync)
    journal.open(0)
    began = time.perf_counter()
    for call in range(1, calls + 1):
        journal.call_taken(call)
        journal.attempt_sent(call, 0, f"s-{call % 24:08x}", 0)
        journal.call_stands(call)
        journal.call_ended(call - STANDING_CALLS)
        journal.end_turn(call)
    duration_s = time.perf_counter() - began
    journal.close()
    return 1e6 * duration_s / calls, sum(path.stat().st_size for path in folder.iterdir())


def measure_sqlite(folder: Path, calls: int) -> tuple[float, int]:
    store = sqlite3.connect(folder / "calls.db", isolation_level=None)
    store.execute("pragma journal_mode=wal")
    store.execute("pragma synchronous=off")
    store.execute("create table calls (call integer primary key, phase integer, host text)")
    began = time.perf_counter()
    for call in range(1, calls + 1):
        store.execute("insert into calls values (?, 1, ?)", (call, f"s-{call % 24:08x}"))
        store.execute("update calls set phase = 2 where call = ?", (call,))
        store.execute("delete from calls where call = ?", (call - STANDING_CALLS,))
    duration_s = time.perf_counter() - began
    store.close()
    return 1e6 * duration_s / calls, sum(path.stat().st_size for path in folder.iterdir())


def measure_lmdb(folder: Path, calls: int) -> tuple[float, int]:
    import lmdb

    store = lmdb.open(str(folder), map_size=64 << 20, sync=False)
    began = time.perf_counter()
    for call in range(1, calls + 1):
        key = call.to_bytes(8, "big")
        # The values are written before the set-up and before the answer.
        for value in (b"\x01" + f"s-{call % 24:08x}".encode(), b"\x02"):
            with store.begin(write=True) as transaction:
                transaction.put(key, value)
        with store.begin(write=True) as transaction:
            transaction.delete(max(call - STANDING_CALLS, 0).to_bytes(8, "big"))
    duration_s = time.perf_counter() - began
    store.close()
    return 1e6 * duration_s / calls, sum(path.stat().st_size for path in folder.iterdir())


def run_in_folder(measure: Callable[[Path], tuple[float, int]]) -> tuple[float, int]:
    with tempfile.TemporaryDirectory() as folder:
        return measure(Path(folder))


def measure_replay(call_count: int) -> tuple[float, int]:
    """Seconds to replay a segment that begins with this many standing calls, and its bytes."""
    parts = [records.encode_head("n1", 1), records.encode(records.Record(records.Kind.SERVER, host="s-1"))]
    for call in range(1, call_count + 1):
        parts.append(records.encode(records.Record(records.Kind.SENT, call, 0, 0, 1)))
        parts.append(records.encode(records.Record(records.Kind.STANDS, call)))
    parts.append(records.encode(records.Record(records.Kind.LIVE)))
    segment = b"".join(parts)

    def measure(folder: Path) -> tuple[float, int]:
        (folder / "calls-000000000000000001").write_bytes(segment)
        began = time.perf_counter()
        result = replay(folder, "n1", 1 << 30)
        assert result.record_count == 2 * call_count + 2
        return time.perf_counter() - began, len(segment)

    return run_in_folder(measure)


def play_kills(seed: int, moments: int) -> tuple[int, list[str], int]:
    """One rehearsal with kills at random times: kills, violations of rules, calls offered."""
    rng = random.Random(seed)
    kill_times = sorted(rng.uniform(2, 12) for _ in range(moments))
    faults = [
        f'    fault "kill" at={kill_time:.3f} part=0.1 back-s={rng.uniform(0.05, 0.8):.3f}'
        for kill_time in kill_times
    ]
    faults.append('    fault "replace" at=4 server=0 for-s=1.2')
    faults.append('    fault "cut" at=8 server=1 for-s=1.2')
    parsed_scenario = scenario.read(KILL_SCENARIO.format(seed=seed, faults="\n".join(faults)))
    with tempfile.TemporaryDirectory() as folder:
        report = run.Rehearsal(parsed_scenario, Path(folder)).play()
    violations = [f"{violation.rule}: {violation.text}" for violation in report.breaches] + report.crashes
    return moments, violations, sum(second.offered for second in report.seconds)


def play_mass_kill(
    softswitch_count: int, state: str, seed: int = 1
) -> tuple[list[float], list[float], list[str]]:
    """A rehearsal in which 70% of the softswitches are killed at once.

    Returns the seconds from the replay of each journal that held calls until the last of them was settled,
    the share of calls served in time in each second since the kill, and the rules that were violated.
    """
    rate = 60 * 4 * 0.6
    parsed_scenario = scenario.read(
        f'rehearsal "fleet" seed={seed} softswitches={softswitch_count} lasts-s=14 state="{state}" {{\n'
        f"    servers 4 rate=60 lines=600 cold-s=4\n    callers rate={rate} hold-s=2 spread=3\n"
        '    fault "kill" at=4 part=0.7\n}'
    )
    with tempfile.TemporaryDirectory() as folder:
        rehearsal = run.Rehearsal(parsed_scenario, Path(folder))
        report = rehearsal.play()
        times_s = [seconds for switch in rehearsal.switches for seconds in settling_times_s(switch.logs())]
    shares = [second.share for second in report.seconds[4:12]]
    return times_s, shares, [breach.rule for breach in report.breaches]


def settling_times_s(log: str) -> list[float]:
    """Seconds from each replay of a journal with calls until these calls are settled."""
    times_s: list[float] = []
    began = 0.0
    for line in log.splitlines():
        match = LOG_TIME.match(line)
        if match and "the journal of calls:" in line:
            began = seconds_of_day(match)
        elif match and "calls from before are settled" in line:
            times_s.append(seconds_of_day(match) - began)
    return times_s


def seconds_of_day(match: re.Match[str]) -> float:
    hours, minutes, seconds, millis = (int(part) for part in match.groups())
    return 3600 * hours + 60 * minutes + seconds + millis / 1000


def measure_answer_times(seed: int, state: str) -> tuple[float, float]:
    """Median milliseconds from a set-up to its answer, and microseconds of CPU time per call.

    Measured over a rehearsal without faults; the CPU time of the starts is not counted.
    """
    cpu_s: list[float] = []

    def sample_cpu(then: Callable[[], None]) -> None:
        cpu_s.append(sum(cpu_time_s(switch.pid) for switch in rehearsal.switches))
        then()

    with tempfile.TemporaryDirectory() as folder:
        rehearsal = run.Rehearsal(scenario.read(PAIR_SCENARIO.format(seed=seed, state=state)), Path(folder))
        callers = rehearsal.callers
        callers.start = partial(sample_cpu, callers.start)  # type: ignore[method-assign]
        callers.stop = partial(sample_cpu, callers.stop)  # type: ignore[method-assign]
        report = rehearsal.play()
    assert report.kept
    sent_at = {event.call: event.at for event in rehearsal.trace.of_kind(EventKind.SET_UP_SENT)}
    answers = [final for final in rehearsal.trace.of_kind(EventKind.FINAL_ANSWER) if final.detail == "stands"]
    median = 1000 * statistics.median(event.at - sent_at[event.call] for event in answers)
    return median, 1e6 * (cpu_s[1] - cpu_s[0]) / len(sent_at)


def cpu_time_s(pid: int) -> float:
    """CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@click.command()
@click.option("--calls", default=20_000, show_default=True)
@click.option("--replay", "live", default=100_000, show_default=True, help="Calls in the replayed segment.")
@click.option("--moments", default=200, show_default=True, help="Kills of real processes, 20 per rehearsal.")
@click.option("--pairs", default=2, show_default=True)
@click.option("--fleet", default=0, show_default=True, help="Softswitches, of which 70% are killed at once.")
def main(calls: int, live: int, moments: int, pairs: int, fleet: int) -> None:
    """Print all measurements."""
    for state in ("kept", "calls") if fleet else ():
        times_s, shares, rules = play_mass_kill(fleet, state)
        last = f"{len(times_s)} journals settled, the slowest after {max(times_s):.1f} s; " if times_s else ""
        served = " ".join(f"{100 * share:.0f}" for share in shares)
        click.echo(
            f"{fleet} softswitches, state {state}: {last}% in time by second {served}; violated {rules}"
        )
    assert SYNC_MODES == (SYNC_NEVER, SYNC_BATCH, SYNC_TURN)
    for sync in SYNC_MODES:
        count = calls if sync != SYNC_TURN else calls // 20
        cost, size = run_in_folder(lambda folder, s=sync, n=count: measure_journal(folder, s, n))  # type: ignore[misc]
        click.echo(f"journal, sync {sync:10}: {cost:7.1f} us per call, {size} bytes")
    cost, size = run_in_folder(lambda folder: measure_sqlite(folder, calls))
    click.echo(f"SQLite, no sync        : {cost:7.1f} us per call, {size} bytes")
    cost, size = run_in_folder(lambda folder: measure_lmdb(folder, calls))
    click.echo(f"LMDB, no sync          : {cost:7.1f} us per call, {size} bytes")
    duration_s, size = measure_replay(live)
    click.echo(f"replay of {live} calls: {duration_s:.2f} s, {size} bytes")
    kill_count, offered = 0, 0
    violations: list[str] = []
    for seed in range(1, moments // 20 + 1):
        count, found, call_count = play_kills(seed, 20)
        kill_count, violations, offered = kill_count + count, violations + found, offered + call_count
        click.echo(f"kills {kill_count}: {offered} calls, {len(violations)} violations")
    for text in violations[:10]:
        click.echo(f"  {text}")
    for seed in range(1, pairs + 1):
        for state in ("kept", "calls"):
            median, cpu_us = measure_answer_times(seed, state)
            click.echo(f"pair {seed}, {state:5}: {median:.2f} ms to the answer, {cpu_us:.0f} us CPU per call")


if __name__ == "__main__":
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    main()
