"""What a play of the model has shown, for a person: worth, what became of calls, and how even the load was.

This file owns that form; the measures of spread are defined beside their record.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from wickstep.fleet.model import Outcome
from wickstep.fleet.plan import Plan
from wickstep.spread import measures
from wickstep.spread import report as spread
from wickstep.spread.report import Phase

WARM_UP_S = 3.0  # at the beginning, which no phase holds
AFTER_S = 3.0  # how long a phase lasts beyond what happens in it


def phases(plan: Plan) -> list[Phase]:
    """The quiet before, each thing that happens with what follows it, and the whole."""
    found = []
    first = plan.happenings[0].at if plan.happenings else plan.lasts_s
    if first > WARM_UP_S:
        found.append(Phase("before", WARM_UP_S, first))
    for one in plan.happenings:
        found.append(Phase(f"{one.what} {one.at:g}", one.at, min(one.at + one.for_s + AFTER_S, plan.lasts_s)))
    return [*found, Phase("all", min(WARM_UP_S, plan.lasts_s / 2), plan.lasts_s)]


def lines(outcome: Outcome) -> list[str]:
    table = [["phase", "worth%", "stands%", "refused%", "failed%", "median s", "99th s"]]
    for phase in phases(outcome.plan):
        span = (phase.begin, phase.end)
        waits = outcome.waits(*span) or [0.0]
        shares = [f"{100 * outcome.share(kind, *span):.1f}" for kind in ("stands", "refused", "failed")]
        table.append([
            phase.name, f"{100 * outcome.worth(*span):.1f}", *shares,
            f"{waits[len(waits) // 2]:.3f}", f"{waits[99 * len(waits) // 100]:.2f}",
        ])  # fmt: skip
    return [
        *spread.align_columns(table), "", *spread.format_lines(outcome.record, phases(outcome.plan)),
        f"probes {outcome.probes}",
    ]  # fmt: skip


def as_json(outcome: Outcome) -> dict[str, Any]:
    """The measures by phase."""
    return {
        phase.name: {
            "worth": outcome.worth(phase.begin, phase.end),
            "refused": outcome.share("refused", phase.begin, phase.end),
            **_fields(measures.measure(outcome.record, phase.begin, phase.end)),
        }
        for phase in phases(outcome.plan)
    }


def _fields(found: measures.Spread) -> dict[str, Any]:
    from dataclasses import asdict

    return asdict(found)


def page(outcome: Outcome, title: str, found: Sequence[Phase] | None = None) -> str:
    return spread.render_page(title, outcome.record, found or phases(outcome.plan))
