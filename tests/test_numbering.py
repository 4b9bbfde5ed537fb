"""Number analysis: pure parts against plain readings of what they promise."""

from __future__ import annotations

import contextlib
import time
from collections import Counter
from datetime import UTC, datetime
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickstep.numbering import digits, table
from wickstep.numbering.analysis import Analysis, Ported, Verdict, analyse, resolve
from wickstep.numbering.digits import BadNumber, Plan
from wickstep.numbering.index import Duplicate, PrefixIndex, cover
from wickstep.numbering.reader import read_table
from wickstep.numbering.schedule import Hours, Schedule, read_days
from wickstep.numbering.table import BadTable, Member, Route, Table

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


# Schedules.


def at(text: str, zone: str = "UTC", fold: int = 0) -> float:
    return datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone), fold=fold).timestamp()


def schedule(*hours: str, zone: str = "UTC", days: str = "daily", **dates: str) -> Schedule:
    weekly = tuple((read_days(days), Hours.read(text)) for text in hours)
    exceptions = {
        datetime.strptime(day, "d%Y%m%d").date(): tuple(map(Hours.read, text.split()))
        for day, text in dates.items()
    }
    return Schedule("s", ZoneInfo(zone), weekly, exceptions)


NIGHT = schedule("22:00-02:00", days="fri", d20260130="")  # a Friday that is closed, after midnight too
SPRING = schedule("02:15-02:45", "01:30-02:30", zone="Europe/Berlin")  # 2026-03-29 02:00 becomes 03:00
AUTUMN = schedule("02:15-02:45", zone="Europe/Berlin")  # 2026-10-25 03:00 becomes 02:00


@pytest.mark.parametrize(
    ("plan", "instant", "is_open"),
    [
        (schedule("08:30-17:30"), at("2026-12-01T08:30"), True),
        (schedule("08:30-17:30"), at("2026-12-01T17:30"), False),
        (schedule("00:00-24:00"), at("2026-12-01T23:59:59.999"), True),
        (schedule("08:00-09:00", zone="Asia/Kuala_Lumpur"), at("2026-12-01T00:30"), True),
        (schedule("08:00-09:00", days="sat-mon"), at("2026-12-01T08:30"), False),  # a Tuesday
        (schedule("08:00-09:00", days="sat-mon"), at("2026-11-30T08:30"), True),
        (NIGHT, at("2026-01-23T23:00"), True),
        (NIGHT, at("2026-01-24T01:59"), True),  # Saturday, but of Friday's hours
        (NIGHT, at("2026-01-24T02:00"), False),
        (NIGHT, at("2026-01-24T22:30"), False),
        (NIGHT, at("2026-01-31T01:00"), False),
        (schedule(d20260201="10:00-11:00"), at("2026-02-01T10:30"), True),
        (SPRING, at("2026-03-29T01:45", "Europe/Berlin"), True),
        (SPRING, at("2026-03-29T03:00", "Europe/Berlin"), False),  # 02:00 to 02:30 did not occur
        (AUTUMN, at("2026-10-25T02:30", "Europe/Berlin", fold=0), True),
        (AUTUMN, at("2026-10-25T02:30", "Europe/Berlin", fold=1), True),  # it occurs twice
        (schedule("00:00-24:00"), -1.0, False),
        (schedule("00:00-24:00"), 1e18, False),
        (schedule("00:00-24:00"), float("nan"), False),
    ],
)
def test_hours_are_those_of_the_wall_clock(plan: Schedule, instant: float, is_open: bool) -> None:
    assert plan.open_at(instant) is is_open


def test_the_next_change_is_found_over_midnight() -> None:
    assert NIGHT.next_change(at("2026-01-23T23:10:30")) == at("2026-01-24T02:00")
    assert schedule("00:00-24:00").next_change(at("2026-01-23T23:10")) is None


# Tables and their analysis.

SOURCE = """
numbering version="7" {
    plan country="60" international="00" national="0" short-most=5
    portability "127.0.0.1:5300"
    schedule "office" zone="Asia/Kuala_Lumpur" { open "mon-fri" "08:30-17:30"; }
    route "advice" {
        tier { server 0 weight=3; server 1; }
        server 2
    }
    route "other" { server 1; }
    prefix "603" least=9 most=11 route="advice"
    prefix "60" route="other"
    prefix "6019" route="other" portability="dialled"
    prefix "6018" route="other" portability="refuse"
    prefix "1300" { when "office" route="advice"; otherwise bar="closed"; }
    range "44200" "44299" strip=2 prepend="603888"
    prefix "c0ffee" route="other"
    prefix "900" bar="premium rate"
}
"""
NOON, EVENING = at("2026-12-01T12:00", "Asia/Kuala_Lumpur"), at("2026-12-01T18:00", "Asia/Kuala_Lumpur")


def no_list(name: str) -> bytes:
    raise AssertionError(name)


@pytest.fixture(scope="module")
def numbers() -> Table:
    return read_table(SOURCE, no_list)


@pytest.mark.parametrize(
    ("dialled", "instant", "verdict", "servers", "step"),
    [
        ("03 888 1234", NOON, Verdict.ROUTED, {0, 1, 2}, "6038881234 matches 603"),
        ("03 888", NOON, Verdict.ROUTED, {1}, "60388 8 matches 60"),  # too short for the longer prefix
        ("0060198881234", NOON, Verdict.LOOK_UP, set(), "portability is asked"),
        ("1300", NOON, Verdict.ROUTED, {0, 1, 2}, "office is open"),
        ("1300", EVENING, Verdict.BARRED, set(), "barred: closed"),
        ("+4425012", NOON, Verdict.ROUTED, {0, 1, 2}, "translated to 60388825012"),
        ("+44300123", NOON, Verdict.UNKNOWN, set(), "no prefix of 44300123"),
        ("c0ffee00e0b4d655", NOON, Verdict.ROUTED, {1}, "matches c0ffee"),
        ("7f3a9c21e0b4d655", NOON, Verdict.UNKNOWN, set(), "no prefix"),
        ("9001234", NOON, Verdict.BARRED, set(), "premium"),
        ("", NOON, Verdict.BAD, set(), ""),
        ("1" * 40, NOON, Verdict.BAD, set(), ""),
        ("\u0661", NOON, Verdict.BAD, set(), ""),
    ],
)
def test_a_number_has_a_verdict_that_says_why(
    numbers: Table, dialled: str, instant: float, verdict: Verdict, servers: set[int], step: str
) -> None:
    found = analyse(numbers, dialled, instant)
    assert (found.verdict, set(found.candidates(0.5)), found.version) == (verdict, servers, "7")
    assert step.replace(" ", "") in " ".join(found.steps).replace(" ", "")
    assert found.reason or verdict in (Verdict.ROUTED, Verdict.LOOK_UP)


@pytest.mark.parametrize(
    ("dialled", "found", "verdict", "servers"),
    [
        ("0198881234", Ported(), Verdict.ROUTED, (1,)),
        ("0198881234", Ported("60388812345"), Verdict.ROUTED, (0, 1, 2)),
        ("0198881234", Ported("60198"), Verdict.ROUTED, (1,)),  # not asked a second time
        ("0198881234", Ported("55"), Verdict.UNKNOWN, ()),
        ("0198881234", Ported("no number"), Verdict.ROUTED, (1,)),
        ("0198881234", None, Verdict.ROUTED, (1,)),
        ("0188881234", None, Verdict.UNKNOWN, ()),
        ("0188881234", Ported("x" * 99), Verdict.UNKNOWN, ()),
    ],
)
def test_a_look_up_is_followed_or_falls_back_as_the_route_says(
    numbers: Table, dialled: str, found: Ported | None, verdict: Verdict, servers: tuple[int, ...]
) -> None:
    asked = analyse(numbers, dialled, NOON)
    result = resolve(numbers, asked, found)
    assert (asked.verdict, result.verdict) == (Verdict.LOOK_UP, verdict)
    assert result.candidates(0.0) == servers


def test_first_choices_come_by_weight_and_each_server_comes_once() -> None:
    route = Route("r", ((Member(0, 3), Member(1, 1)), (Member(2), Member(3))))
    orders = [route.order(draw / 1000) for draw in range(1000)]
    assert {frozenset(order) for order in orders} == {frozenset(range(4))}
    assert all(set(order[:2]) == {0, 1} for order in orders)
    assert Counter(order[0] for order in orders) == {0: 750, 1: 250}
    assert Counter(order[2] for order in orders)[2] == pytest.approx(500, abs=5)


@pytest.mark.parametrize(
    ("change", "line", "reason"),
    [
        ('prefix "5" route="nowhere"', 4, "no route 'nowhere'"),
        ('prefix "5" bar="x" colour="red"', 4, "knows no colour"),
        ('prefix "5" bar="x"; prefix "5" bar="y"', 4, "prefix 5 twice"),
        ('prefix "12345678901234567" bar="x"', 4, "not digits"),
        ('prefix "5" { when "never" bar="x"; otherwise bar="y"; }', 4, "no schedule 'never'"),
        ('prefix "5" { when "s" bar="x"; }', 4, "no case for the rest of the time"),
        ('prefix "5" bar="x" route="r"', 4, "one of route, bar"),
        ('prefix "5" strip=0', 4, "changes nothing"),
        ('prefix "5" route="r" portability="dialled"', 4, "no portability server"),
        ('prefix "5" strip=1 prepend="6"\nprefix "6" strip=1 prepend="5"', 4, "5 -> 6 -> 5"),
        ('prefix "" strip=0 prepend="9"', 4, "lead back"),
        ('range "10" "9" bar="x"', 4, "no range"),
        ('route "q" { }', 0, "a tier without a server"),
        ('route "q" { server 1; server 1; }', 0, "one server twice"),
        ('route "q" { server 1.5; }', 4, "whole number"),
        ('schedule "t" zone="Nowhere/Land"', 4, "no time zone"),
        ('schedule "t" { open "mon" "9:00-10:00"; }', 4, "hours like"),
        ('schedule "t" { on "2026-02-30"; }', 4, "day is out of range"),
        ('plan national="0"', 4, "need a country"),
        ('portability "nowhere"', 4, "an address like"),
        ("frobnicate", 4, "has no place"),
        ("plan { a; }", 4, "takes no block"),
        ('prefix "5" bar="x" least=1e999', 0, "not KDL"),
        ('prefix "5" bar="x', 5, ""),
        ('prefix "5" bar="x" {', 1, "child"),
        ('prefixes "list.csv" count=4', 4, "3 prefixes, 4 are announced"),
        ('prefixes "wrong.csv" count=2', 0, "wrong.csv line 2: no route 'q'"),
        ('prefixes "broken.csv" count=1', 0, "broken.csv line 1"),
    ],
)
def test_what_is_wrong_with_a_table_is_told_with_its_line(change: str, line: int, reason: str) -> None:
    lists = {"list.csv": b"1,r\n2,r\n#\n3,r", "wrong.csv": b"1,r\n2,q\n", "broken.csv": b"\xff,r\n"}
    base = 'numbering {\n route "r" { server 0; }\n schedule "s"\n CHANGE\n prefix "8" bar="z"\n}'
    with pytest.raises(BadTable) as caught:
        read_table(base.replace("CHANGE", change), lists.__getitem__, "f.kdl")
    assert reason in str(caught.value)
    assert "f.kdl" in str(caught.value)
    assert {trouble.line for trouble in caught.value.troubles} & {line, line + 1}


@pytest.mark.parametrize(
    "text", ["", "numbering", "numbering {\n}", "other { }", 'numbering { } \n "x"', "{" * 9000]
)
def test_an_empty_or_strange_file_is_no_table(text: str) -> None:
    with pytest.raises(BadTable):
        read_table(text, no_list)


@given(st.integers(0, len(SOURCE) - 1))
def test_a_file_that_is_copied_half_is_no_table(end: int) -> None:
    if SOURCE[end:].strip():
        with pytest.raises(BadTable):
            read_table(SOURCE[:end], no_list)


@given(st.data())
def test_translations_without_a_loop_that_is_found_come_to_an_end(data: st.DataObject) -> None:
    count = data.draw(st.integers(1, 6))
    heads = data.draw(st.lists(st.text("012", max_size=3), min_size=count, max_size=count, unique=True))
    rules = [
        table.Prefix(head, table.Rule((table.Case(table.Translate(strip, prepend)),)), 1)
        if strip or prepend
        else table.Prefix(head, table.Rule((table.Case(table.Bar("end")),)), 1)
        for head, strip, prepend in (
            (head, data.draw(st.integers(0, 2)), data.draw(st.text("012", max_size=3))) for head in heads
        )
    ]
    with contextlib.suppress(BadTable):
        made = table.build("", Plan(), {}, {}, rules)
        for number in (data.draw(st.text("012", min_size=1, max_size=9)) for _ in range(5)):
            found: Analysis = analyse(made, number, 0.0)
            assert "more than" not in found.reason


def test_loops_are_looked_for_in_large_tables_too_in_a_moment() -> None:
    rules = [
        table.Prefix(f"{number:05d}", table.Rule((table.Case(table.Translate(5, "9")),)), 1)
        for number in range(20_000)
    ]
    rules.append(table.Prefix("9", table.Rule((table.Case(table.Translate(1, "")),)), 1))
    began = time.process_time()
    with pytest.raises(BadTable, match="lead back"):
        table.build("", Plan(), {}, {}, rules)
    assert time.process_time() - began < 20


def test_now_is_never_read(numbers: Table, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: 1 / 0)
    assert (
        analyse(numbers, "1300", datetime(2026, 12, 1, 4, tzinfo=UTC).timestamp()).verdict is Verdict.ROUTED
    )
