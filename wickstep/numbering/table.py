"""The table of number analysis: what is known of prefixes, and whether it makes sense.

This file owns the model and its validation; a `Table` that exists is whole, and is never changed again. It
must never read a file or a clock. What a table may hold is bounded here, and what cannot be is refused with
the line it stands on, all at once, so that an operator need not find errors one by one.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from wickstep.numbering import digits
from wickstep.numbering.digits import Plan
from wickstep.numbering.index import Duplicate, PrefixIndex
from wickstep.numbering.schedule import Schedule

PREFIXES_MOST = 2_000_000
RULES_MOST = 100_000  # kinds of action: prefixes that do the same share one
SERVERS_MOST = 64  # of one route
CASES_MOST = 16  # of one rule
WEIGHT_MOST = 10_000
HOPS_MOST = 8  # translations of one number
TROUBLES_MOST = 50  # that are told of one table


@dataclass(slots=True, frozen=True)
class Trouble:
    """What is wrong, and where."""

    line: int  # 0: with the file as a whole
    reason: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.reason}" if self.line else self.reason


class BadTable(ValueError):
    """The file is no table; `troubles` says why, in the order of lines."""

    def __init__(self, troubles: Sequence[Trouble], source: str = "") -> None:
        self.troubles = sorted(troubles, key=lambda trouble: trouble.line)[:TROUBLES_MOST]
        self.source = source
        super().__init__(f"{source + ': ' if source else ''}{'; '.join(map(str, self.troubles))}")


@dataclass(slots=True, frozen=True)
class Member:
    """A server in a route, by its number in the list of servers."""

    number: int
    weight: int = 1


@dataclass(slots=True, frozen=True)
class Route:
    """A route list: tiers in order, and within a tier servers by weight."""

    name: str
    tiers: tuple[tuple[Member, ...], ...]

    def servers(self) -> frozenset[int]:
        return frozenset(member.number for tier in self.tiers for member in tier)

    def order(self, draw: float) -> tuple[int, ...]:
        """The servers in the order to be tried, for a draw from 0 up to 1.

        The first of a tier comes by its weight, the rest by theirs among what is left, from the same draw:
        two calls with one draw get one order, and over all draws each server comes first as often as it
        weighs.
        """
        found: list[int] = []
        for tier in self.tiers:
            left = list(tier)
            while left:
                total = sum(member.weight for member in left)
                at = draw * total
                for member in left:
                    if at < member.weight:
                        break
                    at -= member.weight
                else:
                    member = left[-1]  # rounding
                found.append(member.number)
                left.remove(member)
                draw = min(max(at / max(member.weight, 1), 0.0), 0.999999)  # what the choice left of it
        return tuple(dict.fromkeys(found))


@dataclass(slots=True, frozen=True)
class RouteTo:
    """The number is routed; `lookup`: portability is asked first."""

    route: str
    lookup: bool = False
    or_refuse: bool = False  # where the look-up fails; else the number is routed as dialled


@dataclass(slots=True, frozen=True)
class Bar:
    """The number may not be called from here."""

    reason: str


@dataclass(slots=True, frozen=True)
class Translate:
    """So many digits are taken off the front and others are put there; the result is analysed anew."""

    strip: int
    prepend: str

    def apply(self, number: str) -> str:
        return digits.check(self.prepend + number[self.strip :])


Action = RouteTo | Bar | Translate


@dataclass(slots=True, frozen=True)
class Case:
    """What is done while a schedule is open; without a schedule, at any time."""

    action: Action
    schedule: str = ""


@dataclass(slots=True, frozen=True)
class Rule:
    """What a prefix means. The first case that applies counts, and the last applies at any time.

    Numbers with fewer or more digits than these are none of its business: the next shorter prefix has them.
    """

    cases: tuple[Case, ...]
    least: int = 0
    most: int = digits.MOST

    def fits(self, number: str) -> bool:
        return self.least <= len(number) <= self.most


@dataclass(slots=True, frozen=True)
class Prefix:
    """One line of a table's source."""

    digits: str
    rule: Rule
    line: int = 0  # 0: from a list, where it has been checked


@dataclass(slots=True, frozen=True)
class PortabilityPlan:
    """How portability is asked. The figures of time are milliseconds."""

    dial: str
    suffix: str = "e164.arpa"
    outstanding: int = 64
    budget_part: float = 0.25  # of the time a call has left, at most
    budget_ms: int = 400
    keep_ms: int = 300_000  # a positive answer
    keep_negative_ms: int = 30_000
    cached: int = 10_000
    trips_after: int = 5  # failures in a row that open the circuit breaker
    rest_ms: int = 5_000  # how long it stays open, at first


@dataclass(slots=True, frozen=True, weakref_slot=True, eq=False)
class Table:
    """One snapshot. Made by `build`, which validates; shared by all calls taken in under it."""

    version: str
    plan: Plan
    schedules: Mapping[str, Schedule]
    routes: Mapping[str, Route]
    rules: Sequence[Rule]
    index: PrefixIndex
    portability: PortabilityPlan | None = None
    sizes: Mapping[str, int] = field(default_factory=dict)


def build(
    version: str,
    plan: Plan,
    schedules: Mapping[str, Schedule],
    routes: Mapping[str, Route],
    prefixes: Iterable[Prefix],
    portability: PortabilityPlan | None = None,
    source: str = "",
) -> Table:
    """Validate all of it and make the table; raises BadTable with everything that is wrong."""
    troubles: list[Trouble] = []
    for name, route in routes.items():
        troubles += [Trouble(0, f"route {name}: {reason}") for reason in _route_troubles(route)]
    rules: list[Rule] = []
    translating: list[tuple[str, Rule, int]] = []
    lines: dict[str, int] = {}  # of prefixes from the settings: those of lists have none

    def entries() -> Iterator[tuple[str, int]]:
        places: dict[Rule, int] = {}
        for count, entry in enumerate(prefixes):
            place = places.get(entry.rule)
            if place is None:
                reasons = _rule_troubles(entry.rule, routes, schedules, portability)
                troubles.extend(Trouble(entry.line, f"prefix {entry.digits}: {reason}") for reason in reasons)
                place = places[entry.rule] = len(rules)
                rules.append(entry.rule)
            if count >= PREFIXES_MOST or len(rules) > RULES_MOST:
                raise BadTable([Trouble(entry.line, "more prefixes than a table may hold")], source)
            if entry.digits and entry.line and not _is_digits(entry.digits):
                reason = f"prefix {entry.digits!r} is not digits, {digits.MOST} at most"
                troubles.append(Trouble(entry.line, reason))
                continue
            if entry.line:
                lines[entry.digits] = entry.line
            if any(isinstance(case.action, Translate) for case in entry.rule.cases):
                translating.append((entry.digits, entry.rule, entry.line))
            yield entry.digits, place

    index = PrefixIndex([])
    try:
        index = PrefixIndex(entries())
        if not len(index):
            troubles.append(Trouble(0, "no prefix at all: every call would be refused"))
    except Duplicate as trouble:
        troubles.append(Trouble(lines.get(trouble.prefix, 0), str(trouble)))
    if not troubles:
        troubles += _loops(index, rules, translating)
    if troubles:
        raise BadTable(troubles, source)
    sizes = {"prefixes": len(index), "rules": len(rules), "routes": len(routes), "bytes": index.memory()}
    return Table(version, plan, schedules, routes, rules, index, portability, sizes)


def _is_digits(text: str) -> bool:
    try:
        return bool(digits.check(text))
    except digits.BadNumber:
        return False


def _route_troubles(route: Route) -> list[str]:
    found = []
    members = [member for tier in route.tiers for member in tier]
    if not members or not all(route.tiers):
        found.append("a tier without a server")
    if len(members) > SERVERS_MOST:
        found.append(f"{len(members)} servers, {SERVERS_MOST} at most")
    if len({member.number for member in members}) < len(members):
        found.append("one server twice")
    if any(not 0 < member.weight <= WEIGHT_MOST for member in members):
        found.append(f"a weight outside 1 to {WEIGHT_MOST}")
    if any(member.number < 0 for member in members):
        found.append("a server below 0")
    return found


def _rule_troubles(
    rule: Rule,
    routes: Mapping[str, Route],
    schedules: Mapping[str, Schedule],
    portability: PortabilityPlan | None,
) -> list[str]:
    found = []
    if not 0 < len(rule.cases) <= CASES_MOST:
        found.append(f"{len(rule.cases)} cases, 1 to {CASES_MOST} are allowed")
    if not 0 <= rule.least <= rule.most <= digits.MOST:
        found.append(f"{rule.least} to {rule.most} digits are no numbers")
    for position, case in enumerate(rule.cases):
        last = position == len(rule.cases) - 1
        if case.schedule and case.schedule not in schedules:
            found.append(f"no schedule {case.schedule!r}")
        if last and case.schedule:
            found.append("no case for the rest of the time")
        if not last and not case.schedule:
            found.append("a case for any time hides those after it")
        match case.action:
            case RouteTo(route=name, lookup=lookup):
                if name not in routes:
                    found.append(f"no route {name!r}")
                if lookup and portability is None:
                    found.append("a look-up, but no portability server")
            case Translate(strip=strip, prepend=prepend):
                if not 0 <= strip <= digits.MOST:
                    found.append(f"{strip} digits cannot be taken off")
                if prepend and not _is_digits(prepend):
                    found.append(f"{prepend!r} is not digits")
                if not strip and not prepend:
                    found.append("a translation that changes nothing")
            case Bar():
                pass
    return found


def _loops(
    index: PrefixIndex, rules: Sequence[Rule], translating: list[tuple[str, Rule, int]]
) -> list[Trouble]:
    """Translations that may lead back to themselves.

    Of what a translation makes, the head is known: what it prepends and what it leaves of its prefix.
    Whatever is dialled behind that, the next prefix is an extension of this head, or the longest that is a
    prefix of it, or one enclosing that where its rule asks for so many digits. These are the edges, and a
    cycle among them is refused, though some cycles would end by the number of digits: what no one can
    follow by eye must not be in service.
    """
    translating.sort()
    heads = [prefix for prefix, _, _ in translating]
    place_of = {prefix: place for place, prefix in enumerate(heads)}
    state = [0] * len(heads)  # 0: not seen, 1: on the way, 2: done
    on_way: list[int] = []  # sorted places
    skip = list(range(len(heads) + 1))  # the next place that is not done, with paths halved

    def undone(place: int) -> int:
        while skip[place] != place:
            skip[place] = skip[skip[place]]
            place = skip[place]
        return place

    def spans(place: int) -> list[tuple[int, int]]:
        """Runs of places that this one may lead to."""
        prefix, rule, _ = translating[place]
        found = []
        for case in rule.cases:
            if not isinstance(case.action, Translate):
                continue
            head = (case.action.prepend + prefix[case.action.strip :])[: digits.MOST]
            first = bisect_left(heads, head)
            found.append((first, bisect_right(heads, head + "g", lo=first)))
            for enclosing, value in index.all(head):
                if enclosing in place_of:
                    at = place_of[enclosing]
                    found.append((at, at + 1))
                if rules[value].least <= len(head) and rules[value].most == digits.MOST:
                    break  # it takes whatever comes with this head
        return found

    for root in range(len(heads)):
        if state[root]:
            continue
        path: list[tuple[int, list[tuple[int, int]]]] = [(root, spans(root))]
        state[root] = 1
        on_way.insert(bisect_left(on_way, root), root)
        while path:
            place, left = path[-1]
            if not left:
                path.pop()
                state[place] = 2
                skip[place] = place + 1
                del on_way[bisect_left(on_way, place)]
                continue
            first, end = left[-1]
            back = bisect_left(on_way, first)
            if back < len(on_way) and on_way[back] < end:
                way = [heads[at] for at, _ in path]
                start = way.index(heads[on_way[back]])
                chain = " -> ".join([*way[start:], way[start]])
                return [Trouble(translating[place][2], f"translations lead back: {chain}")]
            following = undone(first)
            if following >= end:
                left.pop()
                continue
            state[following] = 1
            on_way.insert(bisect_left(on_way, following), following)
            path.append((following, spans(following)))
    return []
