"""The reader of a table: from the operator's KDL settings, and the prefix lists beside them, to a table.

This file owns the format of the settings. It must never open a file: the text is passed in, and lists come
from a function that is passed in. Errors are reported with their lines, as many at once as are found. An
unknown node or property is an error, since a typing error that is ignored would route calls without the
setting that was meant.

The format is KDL 1.0, parsed with kdl-py, which knows the line of a node only while it parses. Each node
keeps its position in the text; the line is computed only for an error, since that scans the text.
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
from wickstep.numbering.digits import DialPlan
from wickstep.numbering.index import range_to_prefixes
from wickstep.numbering.schedule import MAX_EXCEPTION_DATES, Schedule, TimeRange, parse_days
from wickstep.numbering.table import (
    MAX_PREFIXES,
    Action,
    Bar,
    Case,
    Diagnostic,
    InvalidTable,
    Member,
    PortabilitySettings,
    PrefixEntry,
    Route,
    RouteTo,
    Rule,
    Table,
    Translate,
    build,
)

MAX_SETTINGS_CHARACTERS = 256 * 1024  # anything larger belongs into a prefix list
MAX_LIST_BYTES = 64 * 1024 * 1024  # of one prefix list
REFUSES_ON_FAILURE = {"dialled": False, "refuse": True}  # by the value of `portability`
ReadList = Callable[[str], bytes]


@dataclass(slots=True)
class Node:
    """A KDL node, and its position in the text."""

    name: str
    args: list[Any]
    props: dict[str, Any]
    children: list[Node]
    position: ParseFragment

    @property
    def line(self) -> int:
        return int(self.position.error("").line)


def _convert_node(node: KdlNode, position: ParseFragment) -> Node:
    children: list[Any] = node.nodes  # converted already: the parser converts children before their parent
    return Node(node.name, node.args, dict(node.props), children, position)


class NodeError(Exception):
    """An error in one node."""


class TableReader:
    """Reads the settings of one table and collects the errors in them."""

    def __init__(self, read_list: ReadList, source: str) -> None:
        self.read_list, self.source = read_list, source
        self.diagnostics: list[Diagnostic] = []
        # The nodes that gave `prefixes`; their lines are computed only when needed.
        self.prefix_nodes: list[Node] = []
        self.dial_plan = DialPlan()
        self.portability: PortabilitySettings | None = None
        self.schedules: dict[str, Schedule] = {}
        self.routes: dict[str, Route] = {}
        self.prefixes: list[PrefixEntry] = []
        self.lists: list[Node] = []

    def read(self, text: str) -> Table:
        if len(text) > MAX_SETTINGS_CHARACTERS:
            raise InvalidTable(
                [Diagnostic(0, f"{len(text)} characters, at most {MAX_SETTINGS_CHARACTERS} are allowed")],
                self.source,
            )
        root = self._parse(text)
        handlers: dict[str, Callable[[Node], None]] = {
            "plan": self._read_dial_plan,
            "portability": self._read_portability,
            "schedule": self._read_schedule,
        }
        handlers |= {"route": self._read_route, "prefix": self._read_prefix, "range": self._read_range}
        handlers["prefixes"] = self.lists.append
        for node in root.children:
            handler = handlers.get(node.name)
            if handler is None:
                self._report(node, f"unknown node {node.name!r}")
                continue
            try:
                handler(node)
            except NodeError as error:
                self._report(node, str(error))
        try:
            version = self._text_argument(root, 0) if root.args else str(root.props.get("version") or "")
            self._check_properties(root, "version", block=True)
        except NodeError as error:
            self._report(root, str(error))
            version = ""
        if self.diagnostics:
            raise InvalidTable(self.diagnostics, self.source)
        try:
            return build(
                version,
                self.dial_plan,
                self.schedules,
                self.routes,
                self._all_entries(),
                self.portability,
                self.source,
            )
        except InvalidTable as invalid:
            # Entries from the settings have a negative number in place of a line, see `_add_entries`.
            located = [self._locate(diagnostic) for diagnostic in invalid.diagnostics]
            raise InvalidTable([*self.diagnostics, *located], self.source) from None

    def _parse(self, text: str) -> Node:
        try:
            document = parsefuncs.parse(text, ParseConfig(nodeConverters={None: _convert_node}))
        except ParseError as error:
            reason = error.msg.partition("parse error:")[2].strip() or "not valid KDL"
            raise InvalidTable([Diagnostic(int(error.line), reason)], self.source) from None
        except (
            ValueError,
            ArithmeticError,
            RecursionError,
            IndexError,
        ) as error:  # raised by the parser for numbers like 1e999 and for very deep nesting
            raise InvalidTable([Diagnostic(0, f"not valid KDL: {error!r}")], self.source) from None
        if len(document.nodes) != 1 or not isinstance(document.nodes[0], Node):
            raise InvalidTable(
                [Diagnostic(0, "expected one node `numbering { ... }` and nothing else")], self.source
            )
        root = document.nodes[0]
        if root.name != "numbering":
            raise InvalidTable(
                [Diagnostic(root.line, f"expected `numbering`, not {root.name!r}")], self.source
            )
        return root

    def _locate(self, diagnostic: Diagnostic) -> Diagnostic:
        if diagnostic.line >= 0:
            return diagnostic
        return Diagnostic(self.prefix_nodes[-diagnostic.line - 1].line, diagnostic.reason)

    def _report(self, node: Node, reason: str) -> None:
        self.diagnostics.append(Diagnostic(node.line, reason))

    # Values.

    def _check_properties(self, node: Node, *known: str, block: bool = False) -> None:
        if node.children and not block:
            raise NodeError(f"{node.name} takes no block")
        unknown = sorted(set(node.props) - set(known))
        if unknown:
            raise NodeError(f"{node.name} has unknown properties: {', '.join(unknown)}")

    def _text_argument(self, node: Node, index: int) -> str:
        if index >= len(node.args) or not isinstance(node.args[index], str) or not node.args[index]:
            raise NodeError(f"{node.name}: expected a non-empty text as argument {index + 1}")
        return str(node.args[index])

    def _text_property(self, node: Node, name: str, default: str = "") -> str:
        value = node.props.get(name, default)
        if not isinstance(value, str):
            raise NodeError(f"{name}: expected a text in quotes")
        return value

    def _check_integer(self, value: Any, name: str, least: int, most: int) -> int:
        if isinstance(value, bool) or not isinstance(value, int | float) or value != value // 1:
            raise NodeError(f"{name}: expected a whole number")
        if not least <= value <= most:
            raise NodeError(f"{name}: {int(value)} is not within {least} to {most}")
        return int(value)

    def _integer_property(self, node: Node, name: str, default: int, least: int, most: int) -> int:
        return self._check_integer(node.props.get(name, default), name, least, most)

    def _check_digits(self, text: str, name: str) -> str:
        try:
            return digits.check(text) if text else ""
        except digits.InvalidNumber as error:
            raise NodeError(f"{name}: {error}") from None

    # Nodes.

    def _read_dial_plan(self, node: Node) -> None:
        self._check_properties(node, "country", "international", "national", "short-most", "area")
        forms = {
            name: self._text_property(node, name) for name in ("country", "international", "national", "area")
        }
        for name, value in forms.items():
            if self._check_digits(value, name) and not value.isdecimal():
                raise NodeError(f"{name}: expected decimal digits")
        if (forms["national"] or forms["area"]) and not forms["country"]:
            raise NodeError("national and local numbers need a country")
        self.dial_plan = DialPlan(
            max_short_code_digits=self._integer_property(node, "short-most", 0, 0, digits.MAX_DIGITS), **forms
        )

    def _read_portability(self, node: Node) -> None:
        bounds = {
            "outstanding": (1, 10_000), "budget-ms": (1, 60_000), "keep-ms": (0, 86_400_000),
            "keep-negative-ms": (0, 86_400_000), "cached": (0, 1_000_000), "trips-after": (1, 1000),
            "rest-ms": (1, 3_600_000),
        }  # fmt: skip
        self._check_properties(node, "suffix", "budget-part", *bounds)
        defaults = PortabilitySettings(self._text_argument(node, 0))
        budget_part = node.props.get("budget-part", defaults.budget_part)
        if (
            isinstance(budget_part, bool)
            or not isinstance(budget_part, int | float)
            or not 0 < budget_part <= 1
        ):
            raise NodeError("budget-part: expected a number above 0 and up to 1")
        host, _, port = defaults.dial.rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            raise NodeError(f"expected an address like 127.0.0.1:53, not {defaults.dial!r}")
        values = {}
        for name, (least, most) in bounds.items():
            field = name.replace("-", "_")
            values[field] = self._integer_property(node, name, getattr(defaults, field), least, most)
        suffix = self._text_property(node, "suffix", defaults.suffix).strip(".")
        self.portability = PortabilitySettings(
            defaults.dial, suffix=suffix, budget_part=float(budget_part), **values
        )

    def _read_schedule(self, node: Node) -> None:
        self._check_properties(node, "zone", block=True)
        name = self._text_argument(node, 0)
        if name in self.schedules:
            raise NodeError(f"schedule {name!r} is given twice")
        try:
            zone = ZoneInfo(self._text_property(node, "zone", "UTC"))
        except (ZoneInfoNotFoundError, ValueError, OSError):
            raise NodeError(f"no time zone is named {node.props.get('zone')!r}") from None
        weekly: list[tuple[frozenset[int], TimeRange]] = []
        exceptions: dict[date, tuple[TimeRange, ...]] = {}
        for child in node.children:
            try:
                self._check_properties(child)
                if child.name == "open":
                    days = parse_days(self._text_argument(child, 0))
                    if len(child.args) < 2:
                        raise NodeError("open: expected hours after the days")
                    weekly += [(days, hours) for hours in self._parse_hours(child)]
                elif child.name == "on":
                    day = date.fromisoformat(self._text_argument(child, 0))
                    if day in exceptions:
                        raise NodeError(f"{day} is given twice")
                    exceptions[day] = tuple(self._parse_hours(child))
                else:
                    raise NodeError(f"unknown node {child.name!r} in a schedule")
            except (NodeError, ValueError) as error:
                self._report(child, str(error))
        if len(exceptions) > MAX_EXCEPTION_DATES:
            raise NodeError(f"{len(exceptions)} dates, at most {MAX_EXCEPTION_DATES} are allowed")
        self.schedules[name] = Schedule(name, zone, tuple(weekly), exceptions)

    def _parse_hours(self, node: Node) -> list[TimeRange]:
        return [TimeRange.parse(self._text_argument(node, index)) for index in range(1, len(node.args))]

    def _read_route(self, node: Node) -> None:
        self._check_properties(node, block=True)
        name = self._text_argument(node, 0)
        if name in self.routes:
            raise NodeError(f"route {name!r} is given twice")
        tiers: list[tuple[Member, ...]] = []
        for child in node.children:
            if child.name == "server":  # outside of a tier: a tier of its own
                tiers.append((self._read_member(child),))
            elif child.name == "tier":
                self._check_properties(child, block=True)
                tiers.append(tuple(self._read_member(member) for member in child.children))
            else:
                raise NodeError(f"unknown node {child.name!r} in a route")
        self.routes[name] = Route(name, tuple(tiers))

    def _read_member(self, node: Node) -> Member:
        if node.name != "server" or len(node.args) != 1:
            raise NodeError("expected `server NUMBER`")
        self._check_properties(node, "weight")
        return Member(
            self._check_integer(node.args[0], "server", 0, 2**31 - 1),
            self._integer_property(node, "weight", 1, 1, 10_000),
        )

    def _read_prefix(self, node: Node) -> None:
        if len(node.args) != 1 or not isinstance(node.args[0], str):
            raise NodeError("prefix: expected one text of digits")
        self._add_entries(node, [node.args[0].lower()])

    def _read_range(self, node: Node) -> None:
        try:
            prefixes = range_to_prefixes(
                self._text_argument(node, 0).lower(), self._text_argument(node, 1).lower()
            )
        except ValueError as error:
            raise NodeError(str(error)) from None
        self._add_entries(node, prefixes)

    def _add_entries(self, node: Node, prefixes: list[str]) -> None:
        """Add entries whose `line` is -1 for the first of `prefix_nodes`, -2 for the second, and so on."""
        rule = self._read_rule(node)
        self.prefix_nodes.append(node)
        self.prefixes += [PrefixEntry(prefix, rule, -len(self.prefix_nodes)) for prefix in prefixes]

    ACTION_PROPERTIES = ("route", "portability", "bar", "strip", "prepend")

    def _read_rule(self, node: Node) -> Rule:
        least, most = (
            self._integer_property(node, "least", 0, 0, 16),
            self._integer_property(node, "most", digits.MAX_DIGITS, 0, 16),
        )
        if not node.children:
            self._check_properties(node, "least", "most", *self.ACTION_PROPERTIES)
            return Rule((Case(self._read_action(node)),), least, most)
        self._check_properties(node, "least", "most", block=True)
        cases = []
        for child in node.children:
            self._check_properties(child, *self.ACTION_PROPERTIES)
            if child.name == "when":
                cases.append(Case(self._read_action(child), self._text_argument(child, 0)))
            elif child.name == "otherwise":
                cases.append(Case(self._read_action(child)))
            else:
                raise NodeError(f"unknown node {child.name!r} in a prefix")
        return Rule(tuple(cases), least, most)

    def _read_action(self, node: Node) -> Action:
        kinds = [kind for kind in ("route", "bar") if kind in node.props]
        kinds += ["strip"] if "strip" in node.props or "prepend" in node.props else []
        if len(kinds) != 1:
            raise NodeError("expected exactly one of route, bar, or strip with prepend")
        if "portability" in node.props and kinds != ["route"]:
            raise NodeError("portability is allowed only with a route")
        if kinds == ["bar"]:
            return Bar(self._text_property(node, "bar"))
        if kinds == ["strip"]:
            prepend = self._check_digits(self._text_property(node, "prepend").lower(), "prepend")
            return Translate(self._integer_property(node, "strip", 0, 0, digits.MAX_DIGITS), prepend)
        look_up = "portability" in node.props
        fallback = self._text_property(node, "portability", "dialled")
        if fallback not in REFUSES_ON_FAILURE:
            raise NodeError("portability: expected `dialled` or `refuse`, for when the look-up fails")
        return RouteTo(self._text_property(node, "route"), look_up, look_up and REFUSES_ON_FAILURE[fallback])

    # Prefix lists.

    def _all_entries(self) -> Iterator[PrefixEntry]:
        yield from self.prefixes
        for node in self.lists:
            try:
                yield from self._read_prefix_list(node)
            except NodeError as error:
                raise InvalidTable([Diagnostic(node.line, str(error))], self.source) from None

    def _read_prefix_list(self, node: Node) -> Iterator[PrefixEntry]:
        """Read a list of prefixes: lines `DIGITS,ROUTE`, as many as the settings say.

        The count detects a list that is copied only in part: with a part of the list, calls would take the
        routes of shorter prefixes, without any error.
        """
        self._check_properties(node, "count")
        name = self._text_argument(node, 0)
        count = self._integer_property(node, "count", -1, 0, MAX_PREFIXES)
        data = self.read_list(name)
        if len(data) > MAX_LIST_BYTES:
            raise NodeError(f"{name}: {len(data)} bytes, at most {MAX_LIST_BYTES} are allowed")
        rules: dict[bytes, Rule] = {}
        read, start, line = 0, 0, 0
        diagnostics: list[Diagnostic] = []
        while start < len(data) and len(diagnostics) < 10:
            end = data.find(b"\n", start)
            end = len(data) if end < 0 else end
            row = data[start:end].strip()
            start, line = end + 1, line + 1
            if not row or row.startswith(b"#"):
                continue
            prefix, comma, route = row.partition(b",")
            rule = rules.get(route)
            try:
                text = digits.check(prefix.strip().decode("ascii").lower())
                if rule is None:
                    route_name = route.strip().decode("utf-8")
                    if not comma or route_name not in self.routes:
                        raise ValueError(f"no route is named {route_name!r}")
                    rule = rules[route] = Rule((Case(RouteTo(route_name)),))
            except ValueError as error:
                diagnostics.append(Diagnostic(0, f"{name} line {line}: {error}"))
                continue
            read += 1
            yield PrefixEntry(text, rule, 0)
        if diagnostics:
            raise InvalidTable(diagnostics, self.source)
        if read != count:
            raise NodeError(f"{name}: {read} prefixes, but count={count} in the settings: copied in part?")


def read_table(text: str, read_list: ReadList, source: str = "") -> Table:
    """The table from its settings; raises InvalidTable. `read_list` reads a prefix list by its name."""
    return TableReader(read_list, source).read(text)
