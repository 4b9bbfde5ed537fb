"""The operator's file: from KDL, and the list of prefixes beside it, to a table.

This file owns the form of the settings. It must never open a file: text and lists are handed in. Whatever
is wrong is told with its line, as many troubles at once as are found; a node or a property that is not
known is wrong, since a typing error that is passed over would route calls by a setting that is not there.

The form is KDL 1.0, read with kdl-py, which knows the line of each node only while it parses. Each node's
place is kept and turned into a line when something is wrong there, since that costs a walk over the text.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import date
from typing import Any
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from kdl import parsefuncs
from kdl.errors import ParseError, ParseFragment
from kdl.parsing import ParseConfig
from kdl.types import Node as KdlNode

from wickstep.numbering import digits
from wickstep.numbering.digits import Plan
from wickstep.numbering.index import cover
from wickstep.numbering.schedule import EXCEPTIONS_MOST, Hours, Schedule, read_days
from wickstep.numbering.table import (
    PREFIXES_MOST,
    Action,
    BadTable,
    Bar,
    Case,
    Member,
    PortabilityPlan,
    Prefix,
    Route,
    RouteTo,
    Rule,
    Table,
    Translate,
    Trouble,
    build,
)

TEXT_MOST = 256 * 1024  # characters of the settings; what is larger belongs into a list
LIST_MOST = 64 * 1024 * 1024  # bytes of a list of prefixes
FALLBACKS = {"dialled": False, "refuse": True}
READ_LIST = Callable[[str], bytes]


@dataclass(slots=True)
class Node:
    """A KDL node, and where it stands."""

    name: str
    args: list[Any]
    props: dict[str, Any]
    nodes: list[Node]
    place: ParseFragment

    @property
    def line(self) -> int:
        return int(self.place.error("").line)


def _keep(node: KdlNode, place: ParseFragment) -> Node:
    children: list[Any] = node.nodes  # made by this function too: a child comes before its parent
    return Node(node.name, node.args, dict(node.props), children, place)


class Bad(Exception):
    """One trouble, at one node."""


class Reader:
    """Reads one file; collects what is wrong with it."""

    def __init__(self, read_list: READ_LIST, source: str) -> None:
        self.read_list, self.source = read_list, source
        self.troubles: list[Trouble] = []
        self.nodes: list[
            Node
        ] = []  # of the prefixes from the settings; their line is found when it is needed
        self.plan = Plan()
        self.portability: PortabilityPlan | None = None
        self.schedules: dict[str, Schedule] = {}
        self.routes: dict[str, Route] = {}
        self.prefixes: list[Prefix] = []
        self.lists: list[Node] = []

    def read(self, text: str) -> Table:
        if len(text) > TEXT_MOST:
            raise BadTable([Trouble(0, f"{len(text)} characters, {TEXT_MOST} at most")], self.source)
        root = self._root(text)
        with_names: dict[str, Callable[[Node], None]] = {
            "plan": self._plan,
            "portability": self._portability,
            "schedule": self._schedule,
        }
        with_names |= {"route": self._route, "prefix": self._prefix, "range": self._range}
        with_names["prefixes"] = self.lists.append
        for node in root.nodes:
            handler = with_names.get(node.name)
            if handler is None:
                self._wrong(node, f"{node.name!r} has no place here")
                continue
            try:
                handler(node)
            except Bad as trouble:
                self._wrong(node, str(trouble))
        try:
            version = self._text(root, 0) if root.args else str(root.props.get("version") or "")
            self._props(root, "version", block=True)
        except Bad as trouble:
            self._wrong(root, str(trouble))
            version = ""
        if self.troubles:
            raise BadTable(self.troubles, self.source)
        try:
            return build(
                version, self.plan, self.schedules, self.routes, self._all(), self.portability, self.source
            )
        except BadTable as bad:
            # Prefixes of the settings carry their place in `nodes`, below 0, instead of a line.
            placed = [self._placed(trouble) for trouble in bad.troubles]
            raise BadTable([*self.troubles, *placed], self.source) from None

    def _root(self, text: str) -> Node:
        try:
            document = parsefuncs.parse(text, ParseConfig(nodeConverters={None: _keep}))
        except ParseError as trouble:
            reason = trouble.msg.partition("parse error:")[2].strip() or "not KDL"
            raise BadTable([Trouble(int(trouble.line), reason)], self.source) from None
        except (
            ValueError,
            ArithmeticError,
            RecursionError,
            IndexError,
        ) as trouble:  # 1e999, or nesting without end
            raise BadTable([Trouble(0, f"not KDL: {trouble!r}")], self.source) from None
        if len(document.nodes) != 1 or not isinstance(document.nodes[0], Node):
            raise BadTable(
                [Trouble(0, "one node `numbering { ... }` is wanted, and nothing else")], self.source
            )
        root = document.nodes[0]
        if root.name != "numbering":
            raise BadTable([Trouble(root.line, f"`numbering` is wanted, not {root.name!r}")], self.source)
        return root

    def _placed(self, trouble: Trouble) -> Trouble:
        if trouble.line >= 0:
            return trouble
        return Trouble(self.nodes[-trouble.line - 1].line, trouble.reason)

    def _wrong(self, node: Node, reason: str) -> None:
        self.troubles.append(Trouble(node.line, reason))

    # Values.

    def _props(self, node: Node, *known: str, block: bool = False) -> None:
        if node.nodes and not block:
            raise Bad(f"{node.name} takes no block")
        unknown = sorted(set(node.props) - set(known))
        if unknown:
            raise Bad(f"{node.name} knows no {', '.join(unknown)}")

    def _text(self, node: Node, place: int) -> str:
        if place >= len(node.args) or not isinstance(node.args[place], str) or not node.args[place]:
            raise Bad(f"{node.name}: a text is wanted in place {place + 1}")
        return str(node.args[place])

    def _string(self, node: Node, name: str, otherwise: str = "") -> str:
        value = node.props.get(name, otherwise)
        if not isinstance(value, str):
            raise Bad(f"{name}: a text is wanted, in quotes")
        return value

    def _whole(self, value: Any, name: str, least: int, most: int) -> int:
        if isinstance(value, bool) or not isinstance(value, int | float) or value != value // 1:
            raise Bad(f"{name}: a whole number is wanted")
        if not least <= value <= most:
            raise Bad(f"{name}: {int(value)} is not within {least} to {most}")
        return int(value)

    def _number(self, node: Node, name: str, otherwise: int, least: int, most: int) -> int:
        return self._whole(node.props.get(name, otherwise), name, least, most)

    def _digits(self, text: str, what: str) -> str:
        try:
            return digits.check(text) if text else ""
        except digits.BadNumber as trouble:
            raise Bad(f"{what}: {trouble}") from None

    # Nodes.

    def _plan(self, node: Node) -> None:
        self._props(node, "country", "international", "national", "short-most", "area")
        forms = {name: self._string(node, name) for name in ("country", "international", "national", "area")}
        for name, value in forms.items():
            if self._digits(value, name) and not value.isdecimal():
                raise Bad(f"{name}: decimal digits are wanted")
        if (forms["national"] or forms["area"]) and not forms["country"]:
            raise Bad("national and local numbers need a country")
        self.plan = Plan(short_most=self._number(node, "short-most", 0, 0, digits.MOST), **forms)

    def _portability(self, node: Node) -> None:
        figures = {
            "outstanding": (1, 10_000), "budget-ms": (1, 60_000), "keep-ms": (0, 86_400_000),
            "keep-negative-ms": (0, 86_400_000), "cached": (0, 1_000_000), "trips-after": (1, 1000),
            "rest-ms": (1, 3_600_000),
        }  # fmt: skip
        self._props(node, "suffix", "budget-part", *figures)
        plain = PortabilityPlan(self._text(node, 0))
        part = node.props.get("budget-part", plain.budget_part)
        if isinstance(part, bool) or not isinstance(part, int | float) or not 0 < part <= 1:
            raise Bad("budget-part: a part above 0 and up to 1 is wanted")
        host, _, port = plain.dial.rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            raise Bad(f"an address like 127.0.0.1:53 is wanted, not {plain.dial!r}")
        taken = {}
        for name, (least, most) in figures.items():
            field = name.replace("-", "_")
            taken[field] = self._number(node, name, getattr(plain, field), least, most)
        suffix = self._string(node, "suffix", plain.suffix).strip(".")
        self.portability = PortabilityPlan(plain.dial, suffix=suffix, budget_part=float(part), **taken)

    def _schedule(self, node: Node) -> None:
        self._props(node, "zone", block=True)
        name = self._text(node, 0)
        if name in self.schedules:
            raise Bad(f"schedule {name!r} twice")
        try:
            zone = ZoneInfo(self._string(node, "zone", "UTC"))
        except (ZoneInfoNotFoundError, ValueError, OSError):
            raise Bad(f"no time zone {node.props.get('zone')!r}") from None
        weekly: list[tuple[frozenset[int], Hours]] = []
        dates: dict[date, tuple[Hours, ...]] = {}
        for line in node.nodes:
            try:
                self._props(line)
                if line.name == "open":
                    days = read_days(self._text(line, 0))
                    if len(line.args) < 2:
                        raise Bad("open: hours are wanted after the days")
                    weekly += [(days, hours) for hours in self._hours(line)]
                elif line.name == "on":
                    day = date.fromisoformat(self._text(line, 0))
                    if day in dates:
                        raise Bad(f"{day} twice")
                    dates[day] = tuple(self._hours(line))
                else:
                    raise Bad(f"{line.name!r} has no place in a schedule")
            except (Bad, ValueError) as trouble:
                self._wrong(line, str(trouble))
        if len(dates) > EXCEPTIONS_MOST:
            raise Bad(f"{len(dates)} dates, {EXCEPTIONS_MOST} at most")
        self.schedules[name] = Schedule(name, zone, tuple(weekly), dates)

    def _hours(self, line: Node) -> list[Hours]:
        return [Hours.read(self._text(line, place)) for place in range(1, len(line.args))]

    def _route(self, node: Node) -> None:
        self._props(node, block=True)
        name = self._text(node, 0)
        if name in self.routes:
            raise Bad(f"route {name!r} twice")
        tiers: list[tuple[Member, ...]] = []
        for child in node.nodes:
            if child.name == "server":  # without a tier round it: one of its own
                tiers.append((self._member(child),))
            elif child.name == "tier":
                self._props(child, block=True)
                tiers.append(tuple(self._member(member) for member in child.nodes))
            else:
                raise Bad(f"{child.name!r} has no place in a route")
        self.routes[name] = Route(name, tuple(tiers))

    def _member(self, node: Node) -> Member:
        if node.name != "server" or len(node.args) != 1:
            raise Bad("`server NUMBER` is wanted")
        self._props(node, "weight")
        return Member(
            self._whole(node.args[0], "server", 0, 2**31 - 1), self._number(node, "weight", 1, 1, 10_000)
        )

    def _prefix(self, node: Node) -> None:
        if len(node.args) != 1 or not isinstance(node.args[0], str):
            raise Bad("prefix: one text of digits is wanted")
        self._add(node, [node.args[0].lower()])

    def _range(self, node: Node) -> None:
        try:
            found = cover(self._text(node, 0).lower(), self._text(node, 1).lower())
        except ValueError as trouble:
            raise Bad(str(trouble)) from None
        self._add(node, found)

    def _add(self, node: Node, prefixes: list[str]) -> None:
        rule = self._rule(node)
        self.nodes.append(node)
        self.prefixes += [Prefix(prefix, rule, -len(self.nodes)) for prefix in prefixes]

    ACTION = ("route", "portability", "bar", "strip", "prepend")

    def _rule(self, node: Node) -> Rule:
        least, most = self._number(node, "least", 0, 0, 16), self._number(node, "most", digits.MOST, 0, 16)
        if not node.nodes:
            self._props(node, "least", "most", *self.ACTION)
            return Rule((Case(self._action(node)),), least, most)
        self._props(node, "least", "most", block=True)
        cases = []
        for child in node.nodes:
            self._props(child, *self.ACTION)
            if child.name == "when":
                cases.append(Case(self._action(child), self._text(child, 0)))
            elif child.name == "otherwise":
                cases.append(Case(self._action(child)))
            else:
                raise Bad(f"{child.name!r} has no place in a prefix")
        return Rule(tuple(cases), least, most)

    def _action(self, node: Node) -> Action:
        kinds = [kind for kind in ("route", "bar") if kind in node.props]
        kinds += ["strip"] if "strip" in node.props or "prepend" in node.props else []
        if len(kinds) != 1:
            raise Bad("one of route, bar, or strip with prepend is wanted")
        if "portability" in node.props and kinds != ["route"]:
            raise Bad("portability goes with a route")
        if kinds == ["bar"]:
            return Bar(self._string(node, "bar"))
        if kinds == ["strip"]:
            prepend = self._digits(self._string(node, "prepend").lower(), "prepend")
            return Translate(self._number(node, "strip", 0, 0, digits.MOST), prepend)
        lookup = "portability" in node.props
        fallback = self._string(node, "portability", "dialled")
        if fallback not in FALLBACKS:
            raise Bad("portability: `dialled` or `refuse` is wanted, for when no answer comes")
        return RouteTo(self._string(node, "route"), lookup, lookup and FALLBACKS[fallback])

    # Lists.

    def _all(self) -> Iterator[Prefix]:
        yield from self.prefixes
        for node in self.lists:
            try:
                yield from self._list(node)
            except Bad as trouble:
                raise BadTable([Trouble(node.line, str(trouble))], self.source) from None

    def _list(self, node: Node) -> Iterator[Prefix]:
        """A list of prefixes: lines `DIGITS,ROUTE`, as many as the settings say.

        The count is what tells a list that is copied half from a whole one: half a list would send calls to
        the routes of shorter prefixes, and nobody would notice.
        """
        self._props(node, "count")
        name = self._text(node, 0)
        count = self._number(node, "count", -1, 0, PREFIXES_MOST)
        data = self.read_list(name)
        if len(data) > LIST_MOST:
            raise Bad(f"{name}: {len(data)} bytes, {LIST_MOST} at most")
        rules: dict[bytes, Rule] = {}
        seen, at, line = 0, 0, 0
        troubles: list[Trouble] = []
        while at < len(data) and len(troubles) < 10:
            end = data.find(b"\n", at)
            end = len(data) if end < 0 else end
            row = data[at:end].strip()
            at, line = end + 1, line + 1
            if not row or row.startswith(b"#"):
                continue
            prefix, comma, route = row.partition(b",")
            rule = rules.get(route)
            try:
                text = digits.check(prefix.strip().decode("ascii").lower())
                if rule is None:
                    word = route.strip().decode("utf-8")
                    if not comma or word not in self.routes:
                        raise ValueError(f"no route {word!r}")
                    rule = rules[route] = Rule((Case(RouteTo(word)),))
            except ValueError as trouble:
                troubles.append(Trouble(0, f"{name} line {line}: {trouble}"))
                continue
            seen += 1
            yield Prefix(text, rule, 0)
        if troubles:
            raise BadTable(troubles, self.source)
        if seen != count:
            raise Bad(f"{name}: {seen} prefixes, {count} are announced: is it half copied?")


def read_table(text: str, read_list: READ_LIST, source: str = "") -> Table:
    """The table of an operator's file; raises BadTable."""
    return Reader(read_list, source).read(text)
