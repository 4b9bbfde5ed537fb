"""Number analysis: pure parts against plain readings of what they promise."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickstep.numbering import digits
from wickstep.numbering.digits import BadNumber, Plan
from wickstep.numbering.index import Duplicate, PrefixIndex, cover

DIGITS = st.text("0123456789abcdef", max_size=16)
FEW = st.text("012", max_size=16)  # so that prefixes overlap
MALAYSIA = Plan(country="60", international="00", national="0", short_most=5, area="3")


TABLES = st.dictionaries(FEW | DIGITS, st.integers(0, 2**32 - 1), max_size=40)


@given(TABLES, st.lists(FEW | DIGITS, max_size=20))
def test_the_index_finds_what_a_scan_of_all_prefixes_finds(table: dict[str, int], numbers: list[str]) -> None:
    index = PrefixIndex(table.items())
    assert len(index) == len(table)
    for number in [*numbers, *table]:
        plain = sorted((prefix for prefix in table if number.startswith(prefix)), key=len, reverse=True)
        assert list(index.all(number)) == [(prefix, table[prefix]) for prefix in plain]
        assert index.longest(number) == ((plain[0], table[plain[0]]) if plain else None)


def test_a_prefix_given_twice_is_no_table() -> None:
    with pytest.raises(Duplicate) as caught:
        PrefixIndex([("60", 1), ("603", 2), ("60", 3)])
    assert (caught.value.prefix, {caught.value.first, caught.value.second}) == ("60", {1, 3})


@given(st.sampled_from([4, 15, 16]), st.data())
def test_a_range_is_covered_exactly_once_by_few_prefixes(size: int, data: st.DataObject) -> None:
    base, form = (16, f"{{:0{size}x}}") if size == 16 else (10, f"{{:0{size}d}}")
    most = base**size - 1
    first, last = sorted((data.draw(st.integers(0, most)), data.draw(st.integers(0, most))))
    prefixes = cover(form.format(first), form.format(last))
    assert len(prefixes) <= 2 * (base - 1) * size
    for number in {first, last, (first + last) // 2, max(first - 1, 0), min(last + 1, most)}:
        hits = sum(form.format(number).startswith(prefix) for prefix in prefixes)
        assert hits == (first <= number <= last)


@pytest.mark.parametrize(
    ("dialled", "normal"),
    [
        ("+60 3-8888 1234", "60388881234"),
        ("0060388881234", "60388881234"),
        ("0388881234", "60388881234"),
        ("88881234", "60388881234"),
        ("999", "999"),
        ("7f3a9c21e0b4d655", "7f3a9c21e0b4d655"),
        ("7F3A9C21E0B4D655", "7f3a9c21e0b4d655"),
        ("1234567890123456", "1234567890123456"),  # private, though all decimal
    ],
)
def test_one_number_has_one_normal_form(dialled: str, normal: str) -> None:
    assert MALAYSIA.normal(dialled) == normal


@pytest.mark.parametrize(
    "dialled", ["", "+", "00", "()", "12x4", "+60a", "1" * 17, "-" * 65, "\u0661\u0662", "\u00b2"]
)
def test_what_is_no_number_is_told_as_such(dialled: str) -> None:
    with pytest.raises(BadNumber):
        MALAYSIA.normal(dialled)


@given(st.text(max_size=80))
def test_whatever_is_dialled_ends_in_digits_or_in_the_one_error(dialled: str) -> None:
    with contextlib.suppress(BadNumber):
        assert digits.check(MALAYSIA.normal(dialled))
