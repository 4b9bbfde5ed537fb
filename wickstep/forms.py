"""Settings in KDL: one root node, whose children are read by names, types and bounds that readers ask for.

This file owns that form. It must never open a file or fill in what is not there without being told a default;
what is not known is wrong, since a typing error that is passed over would leave a setting at its default.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from kdl.errors import ParseError
from kdl.parsing import Parser
from kdl.types import Node

TEXT_MOST = 64 * 1024  # characters


class KdlError(ValueError):
    """A text that is none of this form; says where and why."""


class KdlNode:
    """One node: arguments and properties are taken one by one, `reject_unread` finds what is left."""

    def __init__(self, node: Node) -> None:
        self.name = node.name
        self._args = list(node.args)
        self._props = dict(node.props)
        self._nodes = list(node.nodes)

    def error(self, why: str) -> KdlError:
        return KdlError(f"{self.name}: {why}")

    def take_text(self, name: str, default: str | None = None, choices: tuple[str, ...] = ()) -> str:
        """A property that is text, or the next argument where `name` is empty."""
        value = self._take(name, default)
        if not isinstance(value, str) or not value or (choices and value not in choices):
            raise self.error(f"{name or 'argument'}: {value!r}, {' or '.join(choices) or 'a text is wanted'}")
        return value

    def take_number(self, name: str, default: float | None, least: float, most: float) -> float:
        """A property that is a number within bounds, or the next argument where `name` is empty."""
        value = self._take(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise self.error(f"{name or 'argument'}: {value!r} is no number from {least:g} to {most:g}")
        return float(value)

    def take_integer(self, name: str, default: int | None, least: int, most: int) -> int:
        """The same for a whole number."""
        value = self.take_number(name, default, least, most)
        if not value.is_integer():
            raise self.error(f"{name or 'argument'}: {value:g} is no whole number")
        return int(value)

    def unread_properties(self) -> set[str]:
        """The properties that nobody has taken yet."""
        return set(self._props)

    def take_children(self, *names: str) -> Iterator[KdlNode]:
        """The nodes of its block, in order; each must have one of these names."""
        nodes, self._nodes = self._nodes, []
        for node in nodes:
            if node.name not in names:
                raise self.error(f"{node.name} has no place here; there are {', '.join(names)}")
            yield KdlNode(node)

    def reject_unread(self) -> None:
        """Raises KdlError if anything is left."""
        left = [*map(repr, self._args), *sorted(self._props), *(node.name for node in self._nodes)]
        if left:
            raise self.error(f"knows no {', '.join(left)}")

    def _take(self, name: str, default: Any) -> Any:
        found = self._props.pop(name, default) if name else None
        value = found if name else self._args.pop(0) if self._args else default
        if value is None:
            raise self.error(f"{name or 'an argument'} is missing")
        return value


def parse_root(text: str, name: str) -> KdlNode:
    """The one node of a text, which has to have this name; raises KdlError."""
    if len(text) > TEXT_MOST:
        raise KdlError(f"{len(text)} characters, {TEXT_MOST} at most")
    try:
        nodes = Parser().parse(text).nodes
    except ParseError as trouble:
        raise KdlError(f"not KDL: {trouble}") from None
    except (ValueError, ArithmeticError, RecursionError, IndexError) as trouble:  # 1e999, endless nesting
        raise KdlError(f"not KDL: {trouble!r}") from None
    if len(nodes) != 1 or nodes[0].name != name:
        raise KdlError(f"one node `{name}` is wanted, and nothing else")
    return KdlNode(nodes[0])
