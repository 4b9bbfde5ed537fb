"""Operators' files in KDL: one root node, whose contents readers take by name, type and bounds.

This file owns the checks that all those files share. It must never open a file, or fill in a missing value
without a default from the reader. Unknown names are errors: a misspelt name that was ignored would leave a
setting at its default.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from kdl.errors import ParseError
from kdl.parsing import Parser
from kdl.types import Node

MAX_TEXT = 64 * 1024  # characters


class KdlError(ValueError):
    """A text that is not valid; the message says where and why."""


class KdlNode:
    """One node. Readers take its arguments, properties and children; `reject_unread` refuses what is left."""

    def __init__(self, node: Node) -> None:
        self.name = node.name
        self._arguments = list(node.args)
        self._properties = dict(node.props)
        self._children = list(node.nodes)

    def error(self, reason: str) -> KdlError:
        return KdlError(f"{self.name}: {reason}")

    def take_text(self, name: str, default: str | None = None, choices: tuple[str, ...] = ()) -> str:
        """Takes a property that is text, or the next argument where `name` is empty."""
        value = self._take(name, default)
        if not isinstance(value, str) or not value or (choices and value not in choices):
            raise self.error(
                f"{name or 'argument'}: got {value!r}, expected {' or '.join(choices) or 'text'}"
            )
        return value

    def take_number(self, name: str, default: float | None, minimum: float, maximum: float) -> float:
        """Takes a property that is a number within bounds, or the next argument where `name` is empty."""
        value = self._take(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
            raise self.error(
                f"{name or 'argument'}: got {value!r}, expected a number from {minimum:g} to {maximum:g}"
            )
        return float(value)

    def take_integer(self, name: str, default: int | None, minimum: int, maximum: int) -> int:
        """Takes a whole number in the same way."""
        value = self.take_number(name, default, minimum, maximum)
        if not value.is_integer():
            raise self.error(f"{name or 'argument'}: got {value:g}, expected a whole number")
        return int(value)

    def unread_properties(self) -> set[str]:
        """The names of the properties that have not been taken yet."""
        return set(self._properties)

    def take_children(self, *names: str) -> Iterator[KdlNode]:
        """Takes the nodes of its block, in order; each must have one of these names."""
        nodes, self._children = self._children, []
        for node in nodes:
            if node.name not in names:
                raise self.error(f"unknown node {node.name}, expected one of: {', '.join(names)}")
            yield KdlNode(node)

    def reject_unread(self) -> None:
        """Raises KdlError if an argument, property or child has not been taken."""
        unread = [
            *map(repr, self._arguments), *sorted(self._properties), *(node.name for node in self._children),
        ]  # fmt: skip
        if unread:
            raise self.error(f"unknown arguments, properties or nodes: {', '.join(unread)}")

    def _take(self, name: str, default: Any) -> Any:
        property_value = self._properties.pop(name, default) if name else None
        value = property_value if name else self._arguments.pop(0) if self._arguments else default
        if value is None:
            raise self.error(f"{name or 'an argument'} is missing")
        return value


def parse_root(text: str, name: str) -> KdlNode:
    """Parses a text that must be one node of this name; raises KdlError."""
    if len(text) > MAX_TEXT:
        raise KdlError(f"{len(text)} characters, expected {MAX_TEXT} at most")
    try:
        nodes = Parser().parse(text).nodes
    except ParseError as error:
        raise KdlError(f"not KDL: {error}") from None
    except (ValueError, ArithmeticError, RecursionError, IndexError) as error:  # 1e999, deep nesting
        raise KdlError(f"not KDL: {error!r}") from None
    if len(nodes) != 1 or nodes[0].name != name:
        raise KdlError(f"expected exactly one node `{name}` at the top level")
    return KdlNode(nodes[0])
