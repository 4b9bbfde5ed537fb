"""The report of a model run for a person: worth, results of calls, and how even the load was, by phase.

This file owns the layout; the measures of spread are defined in `wickstep.spread.measures`. It must never
compute one.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from wickstep.fleet.model import RunResult
from wickstep.fleet.plan import FleetPlan
from wickstep.spread import measures
from wickstep.spread import report as spread
from wickstep.spread.report import Phase

WARM_UP_S = 3.0  # start of the run, which belongs to no phase
PHASE_TAIL_S = 3.0  # for which a phase continues after its event has ended


def list_phases(plan: FleetPlan) -> list[Phase]:
    """The quiet time before the first event, one phase per event and its aftermath, and the whole run."""
    found = []
    first = plan.events[0].at if plan.events else plan.duration_s
    if first > WARM_UP_S:
        found.append(Phase("before", WARM_UP_S, first))
    for event in plan.events:
        found.append(Phase(
            f"{event.event_type} {event.at:g}", event.at,
            min(event.at + event.length_s + PHASE_TAIL_S, plan.duration_s),
        ))  # fmt: skip
    return [*found, Phase("all", min(WARM_UP_S, plan.duration_s / 2), plan.duration_s)]


def format_lines(result: RunResult) -> list[str]:
    table = [["phase", "worth%", "stands%", "refused%", "failed%", "median s", "99th s"]]
    for phase in list_phases(result.plan):
        span = (phase.begin, phase.end)
        delays = result.delays(*span) or [0.0]
        shares = [f"{100 * result.share(kind, *span):.1f}" for kind in ("stands", "refused", "failed")]
        table.append([
            phase.name, f"{100 * result.worth(*span):.1f}", *shares,
            f"{delays[len(delays) // 2]:.3f}", f"{delays[99 * len(delays) // 100]:.2f}",
        ])  # fmt: skip
    return [
        *spread.align_columns(table), "", *spread.format_lines(result.record, list_phases(result.plan)),
        f"probes {result.probes}",
    ]  # fmt: skip


def as_json(result: RunResult) -> dict[str, Any]:
    """The measures by phase."""
    return {
        phase.name: {
            "worth": result.worth(phase.begin, phase.end),
            "refused": result.share("refused", phase.begin, phase.end),
            **_fields(measures.measure(result.record, phase.begin, phase.end)),
        }
        for phase in list_phases(result.plan)
    }


def _fields(found: measures.Spread) -> dict[str, Any]:
    from dataclasses import asdict

    return asdict(found)


def render_page(result: RunResult, title: str, phases: Sequence[Phase] | None = None) -> str:
    return spread.render_page(title, result.record, phases or list_phases(result.plan))
