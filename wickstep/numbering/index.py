"""The prefix index: longest match over millions of prefixes in packed arrays.

This file owns the one structure that must stay small and quick when tables are large. It must never know what
a match means: a prefix carries a whole number, and what that stands for is the table's business.

A prefix of n digits covers one run of the 64-bit codes of numbers. Two such runs lie apart or one inside the
other, so prefixes sorted by (start, length) form nested intervals, and each remembers the one that encloses
it. A look-up bisects for the last start at or below the number, then climbs until a run holds the number: as
many steps as prefixes are nested there, 16 at most. A prefix takes seventeen bytes.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from heapq import merge

from wickstep.numbering import digits

NONE = 0xFFFFFFFF  # no enclosing prefix; so there may be that many less one
FULL = (1 << 64) - 1
PIECE = 16_384  # entries sorted at a time: some milliseconds


class Duplicate(ValueError):
    """One prefix twice: which of the two counts would depend on their order."""

    def __init__(self, prefix: str, first: int, second: int) -> None:
        super().__init__(f"prefix {prefix} twice")
        self.prefix, self.first, self.second = prefix, first, second


def _sorted(entries: Iterable[tuple[str, int]]) -> Iterator[int]:
    """The entries in order, each as one number that sorts by start, then by length, and carries the value.

    Sorted in pieces and merged: the sort of a million holds the interpreter's lock for most of a second, in
    which a softswitch that loads a table answers nobody.
    """
    pieces: list[list[int]] = [[]]
    for prefix, value in entries:
        if len(pieces[-1]) >= PIECE:
            pieces[-1].sort()
            pieces.append([])
        pieces[-1].append((digits.code(prefix) << 5 | len(prefix)) << 32 | value)
    pieces[-1].sort()
    return iter(pieces[0]) if len(pieces) == 1 else merge(*pieces)


def span(length: int) -> int:
    """How many codes a prefix of so many digits covers, less one."""
    return FULL >> 4 * length


class PrefixIndex:
    """Immutable once made. The empty prefix matches every number."""

    __slots__ = ("_lengths", "_parents", "_starts", "_values")

    def __init__(self, entries: Iterable[tuple[str, int]]) -> None:
        """From (prefix, value) in any order; values below 2 to the 32nd. Raises Duplicate."""
        self._starts, self._lengths = array("Q"), array("B")
        self._values, self._parents = array("I"), array("I")
        nest: list[int] = []  # places of the prefixes that enclose the present one
        for place, item in enumerate(_sorted(entries)):
            start, length, value = item >> 37, item >> 32 & 31, item & 0xFFFFFFFF
            while nest and self._starts[nest[-1]] + span(self._lengths[nest[-1]]) < start:
                nest.pop()
            if nest and (self._starts[nest[-1]], self._lengths[nest[-1]]) == (start, length):
                raise Duplicate(digits.digits_of(start, length), self._values[nest[-1]], value)
            self._starts.append(start)
            self._lengths.append(length)
            self._values.append(value)
            self._parents.append(nest[-1] if nest else NONE)
            nest.append(place)

    def __len__(self) -> int:
        return len(self._starts)

    def longest(self, number: str) -> tuple[str, int] | None:
        """The longest prefix of a number, and its value."""
        place = self._place(number)
        return None if place == NONE else self._entry(place)

    def all(self, number: str) -> Iterator[tuple[str, int]]:
        """Every prefix of a number, the longest first."""
        place = self._place(number)
        while place != NONE:
            yield self._entry(place)
            place = self._parents[place]

    def _entry(self, place: int) -> tuple[str, int]:
        return digits.digits_of(self._starts[place], self._lengths[place]), self._values[place]

    def _place(self, number: str) -> int:
        value = digits.code(number)
        place = bisect_right(self._starts, value) - 1
        if place < 0:
            return NONE
        # A number may be shorter than a prefix whose further digits are zeros: "6" is no match for "60".
        while self._starts[place] + span(self._lengths[place]) < value or self._lengths[place] > len(number):
            place = self._parents[place]
            if place == NONE:
                return NONE
        return place

    def memory(self) -> int:
        """Bytes of its arrays."""
        arrays = (self._starts, self._lengths, self._values, self._parents)
        return sum(item.itemsize * len(item) for item in arrays)


def cover(first: str, last: str) -> list[str]:
    """The fewest prefixes that cover a range of numbers of one length, both ends included.

    Numbers of 16 digits are private and count in sixteens; all shorter ones are public and count in tens.
    """
    size = len(first)
    whole = all(digits.ALPHABET.find(character) >= 0 for character in first + last)
    public = size < digits.MOST
    if not 0 < size == len(last) or first > last or not whole or (public and not (first + last).isdecimal()):
        raise ValueError(f"no range from {first!r} to {last!r}")
    base = 16 if size == digits.MOST else 10
    at, end = int(first, base), int(last, base)
    found: list[str] = []
    while at <= end:
        step, length = 1, size
        while length > 0 and at % (step * base) == 0 and at + step * base - 1 <= end:
            step, length = step * base, length - 1
        found.append((f"{at:0{size}d}" if base == 10 else f"{at:0{size}x}")[:length])
        at += step
    return found
