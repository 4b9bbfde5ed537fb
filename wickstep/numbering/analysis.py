"""Analysis: from a dialled number and an instant to a result that says why.

This file owns the walk through one table. It must never read a clock or a file, and never look at servers'
load or state: it proposes which servers may take a call and in which order, and the controller decides.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from wickstep.numbering import digits
from wickstep.numbering.digits import BadNumber
from wickstep.numbering.table import HOPS_MOST, Bar, Case, Route, RouteTo, Rule, Table, Translate


class Verdict(Enum):
    """What becomes of a call by its number."""

    ROUTED = "routed"
    LOOK_UP = "look-up"  # portability is asked first, and `resolve` goes on
    BARRED = "barred"
    UNKNOWN = "unknown"  # no prefix has it
    BAD = "bad"  # it is no number


@dataclass(slots=True, frozen=True)
class Analysis:
    """The result, with the steps that led to it."""

    verdict: Verdict
    dialled: str
    number: str  # in normal form, after all translations; empty if there is none
    at: float  # the Unix time that schedules were read at
    version: str
    steps: tuple[str, ...] = ()
    route: Route | None = None
    reason: str = ""
    or_refuse: bool = False  # with LOOK_UP: where that fails

    def candidates(self, draw: float) -> tuple[int, ...]:
        """The numbers of servers that may take the call, in the order to be tried."""
        return self.route.order(draw) if self.verdict is Verdict.ROUTED and self.route else ()


@dataclass(slots=True, frozen=True)
class Ported:
    """What a portability look-up has brought."""

    routing_number: str = ""  # empty: not ported


def analyse(table: Table, dialled: str, at: float) -> Analysis:
    """Analyse a number as it was dialled, by this table at this Unix time."""
    try:
        number = table.plan.normal(dialled)
    except BadNumber as trouble:
        return Analysis(Verdict.BAD, dialled, "", at, table.version, reason=str(trouble))
    blank = Analysis(Verdict.UNKNOWN, dialled, number, at, table.version)
    return _walk(table, blank, (f"{dialled} is {number}",), asked=False)


def resolve(table: Table, looked_up: Analysis, found: Ported | None) -> Analysis:
    """Go on after a look-up: with what it has brought, or, with None, as its route says.

    A ported number is analysed anew under its routing number, and nothing is asked a second time: the
    database of the one network has spoken, and a second answer could only send the call in a circle.
    """
    if looked_up.verdict is not Verdict.LOOK_UP:
        return looked_up
    if found is None:
        if looked_up.or_refuse:
            steps = (*looked_up.steps, "no answer about portability: refused")
            return replace(
                looked_up, verdict=Verdict.UNKNOWN, route=None, steps=steps, reason="no portability"
            )
        steps = (*looked_up.steps, "no answer about portability: routed as dialled")
        return replace(looked_up, verdict=Verdict.ROUTED, steps=steps)
    if not found.routing_number:
        return replace(looked_up, verdict=Verdict.ROUTED, steps=(*looked_up.steps, "not ported"))
    steps = (*looked_up.steps, f"ported to {found.routing_number}")
    try:
        number = digits.check(found.routing_number)
    except BadNumber as trouble:
        return resolve(table, replace(looked_up, steps=(*steps, f"no number: {trouble}")), None)
    return _walk(table, replace(looked_up, number=number, route=None), steps, asked=True)


def _walk(table: Table, blank: Analysis, steps: tuple[str, ...], asked: bool) -> Analysis:
    number = blank.number
    for _ in range(HOPS_MOST + 1):
        found = _match(table, number)
        if found is None:
            reason = f"no prefix of {number}"
            return replace(
                blank, verdict=Verdict.UNKNOWN, number=number, steps=(*steps, reason), reason=reason
            )
        prefix, rule = found
        case = _case(table, rule, blank.at)
        during = f", {case.schedule} is open" if case.schedule else ""
        steps = (*steps, f"{number} matches {prefix or 'the empty prefix'}{during}")
        match case.action:
            case Bar(reason=reason):
                steps = (*steps, f"barred: {reason}")
                return replace(blank, verdict=Verdict.BARRED, number=number, steps=steps, reason=reason)
            case RouteTo(route=name, lookup=lookup, or_refuse=or_refuse):
                ask = lookup and not asked
                steps = (*steps, f"route {name}{', portability is asked' if ask else ''}")
                verdict = Verdict.LOOK_UP if ask else Verdict.ROUTED
                return replace(
                    blank, verdict=verdict, number=number, steps=steps,
                    route=table.routes[name], or_refuse=or_refuse,
                )  # fmt: skip
            case Translate():
                try:
                    number = case.action.apply(number)
                except BadNumber as trouble:
                    reason = f"translated to no number: {trouble}"
                    return replace(blank, verdict=Verdict.BAD, steps=(*steps, reason), reason=reason)
                steps = (*steps, f"translated to {number}")
    reason = f"translated more than {HOPS_MOST} times"
    return replace(blank, verdict=Verdict.UNKNOWN, number=number, steps=(*steps, reason), reason=reason)


def _match(table: Table, number: str) -> tuple[str, Rule] | None:
    """The longest prefix whose rule takes numbers of that many digits."""
    for prefix, value in table.index.all(number):
        rule = table.rules[value]
        if rule.fits(number):
            return prefix, rule
    return None


def _case(table: Table, rule: Rule, at: float) -> Case:
    for case in rule.cases:
        if not case.schedule or table.schedules[case.schedule].open_at(at):
            return case
    return rule.cases[-1]  # not reached: a table's last cases have no schedule
