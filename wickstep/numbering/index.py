"""The prefix index: longest-prefix match over millions of prefixes in packed arrays.

This file owns the one structure that must stay small and fast when tables are large. It must never know what
a match means: each prefix carries an integer, which the table interprets.

A prefix of n digits covers one contiguous interval of the 64-bit codes of numbers. Two such intervals are
disjoint or nested, so in the order of (start, length) the prefixes form nested intervals, and each entry
stores the position of its parent, the entry that encloses it. A look-up bisects for the last start at or
below the number, then follows parents until an interval contains the number. It takes as many steps as
prefixes are nested there, 16 at most. An entry takes 17 bytes.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from heapq import merge

from wickstep.numbering import digits

NO_ENTRY = 0xFFFFFFFF  # stands for "no position"; an index therefore holds at most this many entries
MAX_CODE = (1 << 64) - 1
SORT_CHUNK_ENTRIES = 16_384  # sorted in one go, which takes some milliseconds


class DuplicatePrefix(ValueError):
    """A prefix is given twice: which of the two counts would depend on their order."""

    def __init__(self, prefix: str, first: int, second: int) -> None:
        super().__init__(f"prefix {prefix} is given twice")
        self.prefix, self.first, self.second = prefix, first, second


def _sort_entries(entries: Iterable[tuple[str, int]]) -> Iterator[int]:
    """The entries in order, each as one integer that sorts by start, then by length, and carries the value.

    They are sorted in chunks and merged: sorting a million at once holds the interpreter's lock for most of a
    second, during which a softswitch that loads a table answers no caller.
    """
    chunks: list[list[int]] = [[]]
    for prefix, value in entries:
        if len(chunks[-1]) >= SORT_CHUNK_ENTRIES:
            chunks[-1].sort()
            chunks.append([])
        chunks[-1].append((digits.encode(prefix) << 5 | len(prefix)) << 32 | value)
    chunks[-1].sort()
    return iter(chunks[0]) if len(chunks) == 1 else merge(*chunks)


def max_offset(length: int) -> int:
    """The distance from the first to the last code that a prefix of this many digits covers."""
    return MAX_CODE >> 4 * length


class PrefixIndex:
    """An immutable index of prefixes. The empty prefix matches every number."""

    __slots__ = ("_lengths", "_parents", "_starts", "_values")

    def __init__(self, entries: Iterable[tuple[str, int]]) -> None:
        """From (prefix, value) pairs in any order, with values below 2**32. Raises DuplicatePrefix."""
        self._starts, self._lengths = array("Q"), array("B")
        self._values, self._parents = array("I"), array("I")
        # Positions of the entries that enclose the present one, the outermost first.
        enclosing: list[int] = []
        for pos, item in enumerate(_sort_entries(entries)):
            start, length, value = item >> 37, item >> 32 & 31, item & 0xFFFFFFFF
            while (
                enclosing and self._starts[enclosing[-1]] + max_offset(self._lengths[enclosing[-1]]) < start
            ):
                enclosing.pop()
            if enclosing and (self._starts[enclosing[-1]], self._lengths[enclosing[-1]]) == (start, length):
                raise DuplicatePrefix(digits.decode(start, length), self._values[enclosing[-1]], value)
            self._starts.append(start)
            self._lengths.append(length)
            self._values.append(value)
            self._parents.append(enclosing[-1] if enclosing else NO_ENTRY)
            enclosing.append(pos)

    def __len__(self) -> int:
        return len(self._starts)

    def longest_match(self, number: str) -> tuple[str, int] | None:
        """The longest prefix of a number, and its value."""
        pos = self._find(number)
        return None if pos == NO_ENTRY else self._entry(pos)

    def matches(self, number: str) -> Iterator[tuple[str, int]]:
        """Every prefix of a number with its value, the longest first."""
        pos = self._find(number)
        while pos != NO_ENTRY:
            yield self._entry(pos)
            pos = self._parents[pos]

    def _entry(self, pos: int) -> tuple[str, int]:
        return digits.decode(self._starts[pos], self._lengths[pos]), self._values[pos]

    def _find(self, number: str) -> int:
        code = digits.encode(number)
        pos = bisect_right(self._starts, code) - 1
        if pos < 0:
            return NO_ENTRY
        # Lengths are compared too: "60" is no prefix of "6", though its interval contains the code of "6".
        while self._starts[pos] + max_offset(self._lengths[pos]) < code or self._lengths[pos] > len(number):
            pos = self._parents[pos]
            if pos == NO_ENTRY:
                return NO_ENTRY
        return pos

    def memory_bytes(self) -> int:
        """The size of the arrays."""
        arrays = (self._starts, self._lengths, self._values, self._parents)
        return sum(column.itemsize * len(column) for column in arrays)


def range_to_prefixes(first: str, last: str) -> list[str]:
    """The fewest prefixes that cover a range of numbers of equal length, both ends included.

    Numbers of 16 digits are private and hexadecimal; all shorter ones are public and decimal.
    """
    size = len(first)
    is_valid = all(digits.ALPHABET.find(character) >= 0 for character in first + last)
    is_public = size < digits.MAX_DIGITS
    if (
        not 0 < size == len(last)
        or first > last
        or not is_valid
        or (is_public and not (first + last).isdecimal())
    ):
        raise ValueError(f"no range from {first!r} to {last!r}")
    base = 16 if size == digits.MAX_DIGITS else 10
    current, end = int(first, base), int(last, base)
    prefixes: list[str] = []
    while current <= end:
        count, length = 1, size  # numbers that a prefix of this length covers
        while length > 0 and current % (count * base) == 0 and current + count * base - 1 <= end:
            count, length = count * base, length - 1
        prefixes.append((f"{current:0{size}d}" if base == 10 else f"{current:0{size}x}")[:length])
        current += count
    return prefixes
