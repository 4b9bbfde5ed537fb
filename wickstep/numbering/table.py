"""The table of number analysis: dial plan, route lists and prefix rules, and their validation.

This file owns the model and its validation; a `Table` that exists is valid and never changes. It must never
read a file or a clock. The size of a table is bounded here. All errors are reported at once, each with its
line, so that an operator need not find them one by one.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from wickstep.numbering import digits
from wickstep.numbering.digits import DialPlan
from wickstep.numbering.index import DuplicatePrefix, PrefixIndex
from wickstep.numbering.schedule import Schedule

MAX_PREFIXES = 2_000_000
MAX_RULES = 100_000  # distinct ones: prefixes with equal rules share one
MAX_SERVERS_PER_ROUTE = 64
MAX_CASES_PER_RULE = 16
MAX_WEIGHT = 10_000
MAX_TRANSLATIONS = 8  # of one number
MAX_DIAGNOSTICS = 50  # reported for one table


@dataclass(slots=True, frozen=True)
class Diagnostic:
    """One error in a table's source, and its line."""

    line: int  # 0: concerns the file as a whole
    reason: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.reason}" if self.line else self.reason


class InvalidTable(ValueError):
    """The file is not a valid table; `diagnostics` says why, in the order of lines."""

    def __init__(self, diagnostics: Sequence[Diagnostic], source: str = "") -> None:
        self.diagnostics = sorted(diagnostics, key=lambda diagnostic: diagnostic.line)[:MAX_DIAGNOSTICS]
        self.source = source
        super().__init__(f"{source + ': ' if source else ''}{'; '.join(map(str, self.diagnostics))}")


@dataclass(slots=True, frozen=True)
class Member:
    """A server in a route, by its number in the list of servers."""

    number: int
    weight: int = 1


@dataclass(slots=True, frozen=True)
class Route:
    """A route list: tiers in order of preference, and within a tier servers by weight."""

    name: str
    tiers: tuple[tuple[Member, ...], ...]

    def servers(self) -> frozenset[int]:
        return frozenset(member.number for tier in self.tiers for member in tier)

    def order_servers(self, draw: float) -> tuple[int, ...]:
        """The servers in the order to try, for a draw from 0 up to 1.

        Within a tier the first server is chosen by weight, and each further one by weight among the remaining
        ones, all from the same draw. So calls with equal draws get the same order, and over all draws each
        server comes first in proportion to its weight.
        """
        ordered: list[int] = []
        for tier in self.tiers:
            remaining = list(tier)
            while remaining:
                total = sum(member.weight for member in remaining)
                point = draw * total
                for member in remaining:
                    if point < member.weight:
                        break
                    point -= member.weight
                else:
                    member = remaining[-1]  # reached by rounding errors only
                ordered.append(member.number)
                remaining.remove(member)
                # The position of the draw within the chosen weight is the draw for the next choice.
                draw = min(max(point / max(member.weight, 1), 0.0), 0.999999)
        return tuple(dict.fromkeys(ordered))


@dataclass(slots=True, frozen=True)
class RouteTo:
    """Route the number, after a portability look-up if `look_up_portability` is set."""

    route: str
    look_up_portability: bool = False
    refuse_on_failure: bool = False  # if the look-up fails; otherwise the number is then routed as dialled


@dataclass(slots=True, frozen=True)
class Bar:
    """Call barring: the number may not be called from here."""

    reason: str


@dataclass(slots=True, frozen=True)
class Translate:
    """Digit translation: strip leading digits, prepend others, and analyse the result anew."""

    strip: int  # how many digits
    prepend: str

    def apply(self, number: str) -> str:
        return digits.check(self.prepend + number[self.strip :])


Action = RouteTo | Bar | Translate


@dataclass(slots=True, frozen=True)
class Case:
    """An action while a schedule is open; without a schedule, at any time."""

    action: Action
    schedule: str = ""


@dataclass(slots=True, frozen=True)
class Rule:
    """What a prefix means: the first case that applies counts, and the last applies at any time.

    A rule ignores numbers with fewer than `min_digits` or more than `max_digits` digits: the next shorter
    prefix then applies.
    """

    cases: tuple[Case, ...]
    min_digits: int = 0
    max_digits: int = digits.MAX_DIGITS

    def allows_length_of(self, number: str) -> bool:
        return self.min_digits <= len(number) <= self.max_digits


@dataclass(slots=True, frozen=True)
class PrefixEntry:
    """One prefix of a table's source, with its rule."""

    digits: str
    rule: Rule
    line: int = 0  # 0: from a prefix list, whose reader has checked the digits


@dataclass(slots=True, frozen=True)
class PortabilitySettings:
    """How portability is looked up."""

    dial: str  # address of the ENUM server
    suffix: str = "e164.arpa"
    outstanding: int = 64  # look-ups in flight at most
    budget_part: float = 0.25  # a look-up takes at most this part of the time that the call has left
    budget_ms: int = 400
    keep_ms: int = 300_000  # how long a positive answer is cached
    keep_negative_ms: int = 30_000
    cached: int = 10_000
    trips_after: int = 5  # consecutive failures that open the circuit breaker
    rest_ms: int = 5_000  # how long the breaker stays open at first


@dataclass(slots=True, frozen=True, weakref_slot=True, eq=False)
class Table:
    """One snapshot of the table, made and validated by `build`; all calls taken in under it share it."""

    version: str
    dial_plan: DialPlan
    schedules: Mapping[str, Schedule]
    routes: Mapping[str, Route]
    rules: Sequence[Rule]
    index: PrefixIndex  # its values are positions in `rules`
    portability: PortabilitySettings | None = None
    sizes: Mapping[str, int] = field(default_factory=dict)


def build(
    version: str,
    dial_plan: DialPlan,
    schedules: Mapping[str, Schedule],
    routes: Mapping[str, Route],
    prefixes: Iterable[PrefixEntry],
    portability: PortabilitySettings | None = None,
    source: str = "",
) -> Table:
    """Validate everything and make the table; raises InvalidTable with all errors found."""
    diagnostics: list[Diagnostic] = []
    for name, route in routes.items():
        diagnostics += [Diagnostic(0, f"route {name}: {reason}") for reason in _check_route(route)]
    rules: list[Rule] = []
    translating: list[tuple[str, Rule, int]] = []
    lines: dict[str, int] = {}  # by prefix; prefixes from lists have no line

    def index_entries() -> Iterator[tuple[str, int]]:
        positions: dict[Rule, int] = {}
        for count, entry in enumerate(prefixes):
            position = positions.get(entry.rule)
            if position is None:
                reasons = _check_rule(entry.rule, routes, schedules, portability)
                diagnostics.extend(
                    Diagnostic(entry.line, f"prefix {entry.digits}: {reason}") for reason in reasons
                )
                position = positions[entry.rule] = len(rules)
                rules.append(entry.rule)
            if count >= MAX_PREFIXES or len(rules) > MAX_RULES:
                raise InvalidTable(
                    [Diagnostic(entry.line, "more prefixes or distinct rules than a table may hold")], source
                )
            if entry.digits and entry.line and not _is_digits(entry.digits):
                reason = f"prefix {entry.digits!r} is not digits, at most {digits.MAX_DIGITS} are allowed"
                diagnostics.append(Diagnostic(entry.line, reason))
                continue
            if entry.line:
                lines[entry.digits] = entry.line
            if any(isinstance(case.action, Translate) for case in entry.rule.cases):
                translating.append((entry.digits, entry.rule, entry.line))
            yield entry.digits, position

    index = PrefixIndex([])
    try:
        index = PrefixIndex(index_entries())
        if not len(index):
            diagnostics.append(Diagnostic(0, "no prefix is given: every call would be refused"))
    except DuplicatePrefix as error:
        diagnostics.append(Diagnostic(lines.get(error.prefix, 0), str(error)))
    if not diagnostics:
        diagnostics += _find_translation_loop(index, rules, translating)
    if diagnostics:
        raise InvalidTable(diagnostics, source)
    sizes = {
        "prefixes": len(index),
        "rules": len(rules),
        "routes": len(routes),
        "bytes": index.memory_bytes(),
    }
    return Table(version, dial_plan, schedules, routes, rules, index, portability, sizes)


def _is_digits(text: str) -> bool:
    try:
        return bool(digits.check(text))
    except digits.InvalidNumber:
        return False


def _check_route(route: Route) -> list[str]:
    reasons = []
    members = [member for tier in route.tiers for member in tier]
    if not members or not all(route.tiers):
        reasons.append("a tier without a server")
    if len(members) > MAX_SERVERS_PER_ROUTE:
        reasons.append(f"{len(members)} servers, at most {MAX_SERVERS_PER_ROUTE} are allowed")
    if len({member.number for member in members}) < len(members):
        reasons.append("a server is given twice")
    if any(not 0 < member.weight <= MAX_WEIGHT for member in members):
        reasons.append(f"a weight is not within 1 to {MAX_WEIGHT}")
    if any(member.number < 0 for member in members):
        reasons.append("a server number is negative")
    return reasons


def _check_rule(
    rule: Rule,
    routes: Mapping[str, Route],
    schedules: Mapping[str, Schedule],
    portability: PortabilitySettings | None,
) -> list[str]:
    reasons = []
    if not 0 < len(rule.cases) <= MAX_CASES_PER_RULE:
        reasons.append(f"{len(rule.cases)} cases, 1 to {MAX_CASES_PER_RULE} are allowed")
    if not 0 <= rule.min_digits <= rule.max_digits <= digits.MAX_DIGITS:
        reasons.append(f"{rule.min_digits} to {rule.max_digits} is not a valid range of digit counts")
    for position, case in enumerate(rule.cases):
        is_last = position == len(rule.cases) - 1
        if case.schedule and case.schedule not in schedules:
            reasons.append(f"no schedule is named {case.schedule!r}")
        if is_last and case.schedule:
            reasons.append("no case for the time outside schedules")
        if not is_last and not case.schedule:
            reasons.append("a case without a schedule hides the cases after it")
        match case.action:
            case RouteTo(route=name, look_up_portability=look_up_portability):
                if name not in routes:
                    reasons.append(f"no route is named {name!r}")
                if look_up_portability and portability is None:
                    reasons.append("portability look-up, but no portability server is set")
            case Translate(strip=strip, prepend=prepend):
                if not 0 <= strip <= digits.MAX_DIGITS:
                    reasons.append(f"cannot strip {strip} digits")
                if prepend and not _is_digits(prepend):
                    reasons.append(f"prepend {prepend!r} is not digits")
                if not strip and not prepend:
                    reasons.append("the translation changes nothing")
            case Bar():
                pass
    return reasons


def _find_translation_loop(
    index: PrefixIndex, rules: Sequence[Rule], translating: list[tuple[str, Rule, int]]
) -> list[Diagnostic]:
    """Look for translations that may lead back to themselves, by a depth-first search.

    The nodes are the prefixes that translate. Of a translated number the head is known: the prepended digits
    and what remains of the prefix. Whatever digits follow, the next prefix is an extension of this head, or
    the longest prefix of it, or, if the rule of that one does not allow every length, the next shorter one,
    and so on. These are the edges. Any cycle is refused, even one that would end because the number grows too
    long or too short: operators must be able to follow by eye what is in service.
    """
    translating.sort()
    prefixes = [prefix for prefix, _, _ in translating]
    position_of = {prefix: position for position, prefix in enumerate(prefixes)}
    state = [0] * len(prefixes)  # 0: not visited, 1: on the path, 2: done
    on_path: list[int] = []  # sorted positions
    # Leads to the next position that is not done: a union-find structure with path halving.
    skip = list(range(len(prefixes) + 1))

    def next_not_done(position: int) -> int:
        while skip[position] != position:
            skip[position] = skip[skip[position]]
            position = skip[position]
        return position

    def successor_ranges(position: int) -> list[tuple[int, int]]:
        """Ranges of positions that this one may lead to."""
        prefix, rule, _ = translating[position]
        ranges = []
        for case in rule.cases:
            if not isinstance(case.action, Translate):
                continue
            head = (case.action.prepend + prefix[case.action.strip :])[: digits.MAX_DIGITS]
            first = bisect_left(prefixes, head)
            ranges.append((first, bisect_right(prefixes, head + "g", lo=first)))  # "g" sorts after all digits
            for enclosing, value in index.matches(head):
                if enclosing in position_of:
                    at = position_of[enclosing]
                    ranges.append((at, at + 1))
                if rules[value].min_digits <= len(head) and rules[value].max_digits == digits.MAX_DIGITS:
                    break  # this rule takes every number with this head
        return ranges

    for root in range(len(prefixes)):
        if state[root]:
            continue
        path: list[tuple[int, list[tuple[int, int]]]] = [(root, successor_ranges(root))]
        state[root] = 1
        on_path.insert(bisect_left(on_path, root), root)
        while path:
            position, remaining = path[-1]
            if not remaining:
                path.pop()
                state[position] = 2
                skip[position] = position + 1
                del on_path[bisect_left(on_path, position)]
                continue
            first, end = remaining[-1]
            back = bisect_left(on_path, first)
            if back < len(on_path) and on_path[back] < end:
                path_prefixes = [prefixes[at] for at, _ in path]
                start = path_prefixes.index(prefixes[on_path[back]])
                chain = " -> ".join([*path_prefixes[start:], path_prefixes[start]])
                return [
                    Diagnostic(translating[position][2], f"translations lead back to themselves: {chain}")
                ]
            following = next_not_done(first)
            if following >= end:
                remaining.pop()
                continue
            state[following] = 1
            on_path.insert(bisect_left(on_path, following), following)
            path.append((following, successor_ranges(following)))
    return []
