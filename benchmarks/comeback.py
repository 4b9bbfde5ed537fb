"""Benchmark of the time to full service after a mass kill, of this version and an earlier one, in pairs.

    python -m benchmarks.comeback --before DIR [--softswitches 100] [--part 0.7] [--pairs 2] [--plot FILE.svg]

DIR is a checkout of an earlier version of this project. It runs real processes on loopback. On a machine with
fewer cores than softswitches, the time until the last one is ready again depends on the machine, so it is
reported separately.
"""

from __future__ import annotations

import re
import statistics
import tempfile
from pathlib import Path

import click
import pygal

from wickstep.rehearsal import run, scenario
from wickstep.rehearsal.processes import ROOT
from wickstep.rehearsal.report import Report

SCENARIO = """rehearsal "comeback" seed={seed} softswitches={count} lasts-s=15 {{
    servers {servers} rate=60 lines=300 cold-s=4
    callers rate={rate} hold-s=1 spread=3
    fault "kill" at=5 part={part}
}}"""


def run_rehearsal(program: Path, seed: int, count: int, part: float, load: float) -> Report:
    servers = 4
    text = SCENARIO.format(seed=seed, count=count, part=part, servers=servers, rate=60 * servers * load)
    with tempfile.TemporaryDirectory() as folder:
        return run.Rehearsal(scenario.read(text), Path(folder), program=program).play()


@click.command()
@click.option("--before", type=click.Path(path_type=Path, exists=True, file_okay=False), required=True)
@click.option("--softswitches", default=100, show_default=True)
@click.option("--part", default=0.7, show_default=True, help="Part of the softswitches killed at once.")
@click.option("--load", default=0.6, show_default=True, help="Offered load, as a part of the capacity.")
@click.option("--pairs", default=2, show_default=True)
@click.option("--plot", type=click.Path(path_type=Path), help="Write a plot of both versions there, as SVG.")
def main(before: Path, softswitches: int, part: float, load: float, pairs: int, plot: Path | None) -> None:
    """Print the results of both versions for each seed, and their medians."""
    reports: dict[str, list[Report]] = {"before": [], "after": []}
    for seed in range(1, pairs + 1):
        for name, program in (("before", before), ("after", ROOT)):
            report = run_rehearsal(program, seed, softswitches, part, load)
            reports[name].append(report)
            after_ready = max(report.full_s - report.back_s, 0) if report.full_s >= 0 else -1
            refused = [second.refused for second in report.seconds[5:12]]
            click.echo(
                f"{name:6} seed {seed}: last ready {report.back_s:.1f} s after the kill, full service "
                f"{report.full_s:.1f} s ({after_ready:.1f} s after that); peak load {report.peak_load:.2f}; "
                f"busiest 100 ms: {report.peak_dials} dials, {report.peak_lists} list requests; "
                f"refused by second {refused}; violations {len(report.breaches)}, "
                f"crashes {len(report.crashes)}"
            )
    for name, runs in reports.items():
        requests = statistics.median(report.peak_lists for report in runs)
        click.echo(
            f"{name:6} median: {requests} list requests, {100 * requests / softswitches:.0f}% of the fleet"
        )
    if plot is not None:
        chart = pygal.Line(
            title=f"{softswitches} softswitches, {100 * part:.0f}% killed at 5 s",
            x_title="second", y_title="served in time, %", range=(0, 100), show_dots=False, js=(),
        )  # fmt: skip
        for name, runs in reports.items():
            shares = zip(*([100 * second.share for second in report.seconds] for report in runs), strict=True)
            chart.add(name, [statistics.mean(share) for share in shares])
        chart.x_labels = list(range(len(reports["after"][0].seconds)))
        plot.write_text(re.sub(r"<!--.*?-->", "", chart.render(is_unicode=True), flags=re.S))


if __name__ == "__main__":
    main()
