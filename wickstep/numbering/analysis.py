"""Number analysis: from a dialled number and an instant to a result with the steps that explain it.

This file owns the evaluation of one table for one number. It must never read a clock or a file, and never
look at the load or state of servers: it proposes which servers may take a call and in which order, and the
controller decides.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from wickstep.numbering import digits
from wickstep.numbering.digits import InvalidNumber
from wickstep.numbering.table import MAX_TRANSLATIONS, Bar, Case, Route, RouteTo, Rule, Table, Translate


class Verdict(Enum):
    """What becomes of a call by its number."""

    ROUTED = "routed"
    LOOK_UP = "look-up"  # needs a portability look-up first; `resolve` continues with its result
    BARRED = "barred"
    UNKNOWN = "unknown"  # no prefix matches
    BAD = "bad"  # not a valid number


@dataclass(slots=True, frozen=True)
class Analysis:
    """The result of an analysis, with the steps that led to it."""

    verdict: Verdict
    dialled: str
    number: str  # in normal form, after all translations; empty if there is none
    unix_s: float  # the time at which schedules are evaluated
    version: str  # of the table
    steps: tuple[str, ...] = ()
    route: Route | None = None
    reason: str = ""
    refuse_on_failure: bool = False  # with LOOK_UP: refuse the call if the look-up fails

    def candidates(self, draw: float) -> tuple[int, ...]:
        """The numbers of servers that may take the call, in the order to try; `draw` is from 0 up to 1."""
        return self.route.order_servers(draw) if self.verdict is Verdict.ROUTED and self.route else ()


@dataclass(slots=True, frozen=True)
class PortingResult:
    """The result of a portability look-up."""

    routing_number: str = ""  # empty: not ported


def analyse(table: Table, dialled: str, unix_s: float) -> Analysis:
    """Analyse a number as it was dialled, by this table at this Unix time."""
    try:
        number = table.dial_plan.normalise(dialled)
    except InvalidNumber as error:
        return Analysis(Verdict.BAD, dialled, "", unix_s, table.version, reason=str(error))
    initial = Analysis(Verdict.UNKNOWN, dialled, number, unix_s, table.version)
    return _apply_rules(table, initial, (f"{dialled} has the normal form {number}",), is_looked_up=False)


def resolve(table: Table, pending: Analysis, result: PortingResult | None) -> Analysis:
    """Continue an analysis after its portability look-up; with None as the result, as its route says.

    A ported number is analysed anew under its routing number, without a second look-up: the portability
    database has answered already, and a second answer could only route the call in a loop.
    """
    if pending.verdict is not Verdict.LOOK_UP:
        return pending
    if result is None:
        if pending.refuse_on_failure:
            steps = (*pending.steps, "no portability answer: refused")
            return replace(
                pending, verdict=Verdict.UNKNOWN, route=None, steps=steps, reason="no portability answer"
            )
        steps = (*pending.steps, "no portability answer: routed as dialled")
        return replace(pending, verdict=Verdict.ROUTED, steps=steps)
    if not result.routing_number:
        return replace(pending, verdict=Verdict.ROUTED, steps=(*pending.steps, "not ported"))
    steps = (*pending.steps, f"ported, with the routing number {result.routing_number}")
    try:
        number = digits.check(result.routing_number)
    except InvalidNumber as error:
        return resolve(table, replace(pending, steps=(*steps, f"invalid routing number: {error}")), None)
    return _apply_rules(table, replace(pending, number=number, route=None), steps, is_looked_up=True)


def _apply_rules(table: Table, initial: Analysis, steps: tuple[str, ...], is_looked_up: bool) -> Analysis:
    """Match and translate the number until a rule routes or bars it, or none matches."""
    number = initial.number
    for _ in range(MAX_TRANSLATIONS + 1):
        matched = _match(table, number)
        if matched is None:
            reason = f"no prefix matches {number}"
            return replace(
                initial, verdict=Verdict.UNKNOWN, number=number, steps=(*steps, reason), reason=reason
            )
        prefix, rule = matched
        case = _applicable_case(table, rule, initial.unix_s)
        during = f", schedule {case.schedule} is open" if case.schedule else ""
        steps = (*steps, f"{number} matches prefix {prefix or '(empty)'}{during}")
        match case.action:
            case Bar(reason=reason):
                steps = (*steps, f"barred: {reason}")
                return replace(initial, verdict=Verdict.BARRED, number=number, steps=steps, reason=reason)
            case RouteTo(route=name, look_up_portability=needed, refuse_on_failure=refuse_on_failure):
                look_up = needed and not is_looked_up
                steps = (*steps, f"route {name}{', after a portability look-up' if look_up else ''}")
                verdict = Verdict.LOOK_UP if look_up else Verdict.ROUTED
                return replace(
                    initial, verdict=verdict, number=number, steps=steps,
                    route=table.routes[name], refuse_on_failure=refuse_on_failure,
                )  # fmt: skip
            case Translate():
                try:
                    number = case.action.apply(number)
                except InvalidNumber as error:
                    reason = f"translated to an invalid number: {error}"
                    return replace(initial, verdict=Verdict.BAD, steps=(*steps, reason), reason=reason)
                steps = (*steps, f"translated to {number}")
    reason = f"translated more than {MAX_TRANSLATIONS} times"
    return replace(initial, verdict=Verdict.UNKNOWN, number=number, steps=(*steps, reason), reason=reason)


def _match(table: Table, number: str) -> tuple[str, Rule] | None:
    """The longest prefix of the number whose rule allows this many digits, with the rule."""
    for prefix, position in table.index.matches(number):
        rule = table.rules[position]
        if rule.allows_length_of(number):
            return prefix, rule
    return None


def _applicable_case(table: Table, rule: Rule, unix_s: float) -> Case:
    for case in rule.cases:
        if not case.schedule or table.schedules[case.schedule].is_open_at(unix_s):
            return case
    return rule.cases[-1]  # unreachable: `build` refuses a rule whose last case has a schedule
