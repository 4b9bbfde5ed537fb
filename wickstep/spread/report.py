"""The spread report: measures by phase, set-ups over capacity by server and second, as text and as HTML.

This file owns the layout. The template and plotting libraries are loaded only when a page is rendered. It
must never compute a measure.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from wickstep.spread import measures
from wickstep.spread.measures import Spread
from wickstep.spread.reasons import SendReason
from wickstep.spread.record import BIN_S, Record

MAX_ROWS = 24  # servers in a table; those with the most set-ups over capacity come first

PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .6em;text-align:right}
th:first-child,td:first-child{text-align:left}table{border-collapse:collapse}tr:nth-child(even){background:#eee}</style></head><body>
<h1>{{ title }}</h1>
<table><tr><th>phase</th>{% for name in names %}<th>{{ name }}</th>{% endfor %}</tr>
{% for phase in phases %}<tr><td>{{ phase.name }}</td>
{% for cell in phase.cells %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>
<h2>Set-ups over capacity, by second</h2>
{{ plot|safe }}
<h2>By server</h2>
<table><tr>{% for cell in servers[0] %}<th>{{ cell }}</th>{% endfor %}</tr>
{% for row in servers[1:] %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>{% endfor %}</table>
</body></html>
"""
MEASURE_TITLES = (
    "peak/mean", "by chance", "dispersion", "idle in trouble%", "trouble%", "attempts", "full", "refused",
    *(reason.value for reason in SendReason),
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Phase:
    """A named span of a record, in seconds, that is measured separately."""

    name: str
    begin: float
    end: float


def format_cells(found: Spread) -> list[str]:
    idle = f"{100 * found.idle_in_trouble:.1f}" if found.idle_in_trouble >= 0 else "-"
    return [
        f"{found.peak_over_mean:.2f}", f"{found.peak_by_chance:.2f}", f"{found.dispersion:.2f}", idle,
        f"{100 * found.trouble:.1f}", str(found.attempts), str(found.full), str(found.refused),
        *(str(found.by_reason[reason.value]) for reason in SendReason),
    ]  # fmt: skip


def server_rows(record: Record, phase: Phase) -> list[list[str]]:
    """A heading, then by server: set-ups over capacity, its busiest second, idle time, set-ups by reason."""
    sent: dict[str, Counter[SendReason]] = defaultdict(Counter)
    seconds: Counter[tuple[str, int]] = Counter()
    for item in record.sent:
        if phase.begin <= item.at < phase.end:
            sent[item.server][item.reason] += 1
            seconds[(item.server, int(item.at))] += 1
    first, last = round(phase.begin / BIN_S), round(phase.end / BIN_S)
    rows = []
    for name, timeline in record.servers.items():
        possible = sum(timeline.capacity[first:last]) * BIN_S
        arrived = sum(sent[name].values())
        per_second = possible / max(phase.end - phase.begin, 1e-9)
        load = arrived / possible if possible else 0.0
        largest = max((count for (server, _), count in seconds.items() if server == name), default=0)
        idle = measures.mean(timeline.idle[first:last])
        rows.append((load, [
            name, f"{per_second:.1f}", f"{load:.2f}", f"{largest / per_second if per_second else 0:.2f}",
            f"{100 * idle:.0f}" if idle >= 0 else "-", *(str(sent[name][reason]) for reason in SendReason),
        ]))  # fmt: skip
    rows.sort(key=lambda row: -row[0])
    heading = [
        "server", "able/s", "load", "largest second", "idle%", *(reason.value for reason in SendReason),
    ]  # fmt: skip
    return [heading, *(row for _, row in rows[:MAX_ROWS])]


def format_lines(record: Record, phases: Sequence[Phase]) -> list[str]:
    """The report as lines of text for a terminal."""
    table = [["phase", *MEASURE_TITLES]]
    for phase in phases:
        table.append([phase.name, *format_cells(measures.measure(record, phase.begin, phase.end))])
    return [*align_columns(table), "", *align_columns(server_rows(record, phases[-1]))]


def align_columns(table: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(len(row[place]) for row in table) for place in range(len(table[0]))]
    return [
        "  ".join(
            cell.rjust(width) if place else cell.ljust(width)
            for place, (cell, width) in enumerate(zip(row, widths, strict=True))
        )
        for row in table
    ]


def render_page(title: str, record: Record, phases: Sequence[Phase]) -> str:
    """The report as one HTML page with a plot; needs the development requirements."""
    import jinja2

    rows = [
        {"name": phase.name, "cells": format_cells(measures.measure(record, phase.begin, phase.end))}
        for phase in phases
    ]
    template = jinja2.Environment(autoescape=True).from_string(PAGE_TEMPLATE)
    return str(
        template.render(
            title=title,
            names=MEASURE_TITLES,
            phases=rows,
            plot=render_plot(record),
            servers=server_rows(record, phases[-1]),
        )
    )


def render_plot(record: Record) -> str:
    """Set-ups over capacity by second, as SVG: all servers together, the most and the least loaded one."""
    import pygal

    counts = measures.count_arrivals(record, 0, record.bin_count())
    overall, most, least = [], [], []
    capacities = {name: timeline.capacity for name, timeline in record.servers.items()}
    for arrived, possible in measures.totals_by_second(counts, capacities):
        loads = [arrived[name] / possible[name] for name in counts if possible[name]]
        total = sum(possible.values())
        overall.append(sum(arrived.values()) / total if total else None)
        most.append(max(loads, default=None))
        least.append(min(loads, default=None))
    chart = pygal.Line(x_title="second", show_dots=False, js=(), height=300, width=900)
    chart.add("most loaded", most)
    chart.add("all together", overall)
    chart.add("least loaded", least)
    chart.x_labels = [str(n) if n % 5 == 0 else "" for n in range(len(overall))]
    return str(chart.render(is_unicode=True))
