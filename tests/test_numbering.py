"""Number analysis: prefix index, normal forms, schedules, table reader and verdicts.

Tests here must open no socket and no file: only the pure modules are covered.
"""

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
from wickstep.numbering.analysis import Analysis, PortingResult, Verdict, analyse, resolve
from wickstep.numbering.digits import DialPlan, InvalidNumber
from wickstep.numbering.index import DuplicatePrefix, PrefixIndex, range_to_prefixes
from wickstep.numbering.reader import read_table
from wickstep.numbering.schedule import Schedule, TimeRange, parse_days
from wickstep.numbering.table import InvalidTable, Member, Route, Table

DIGITS = st.text("0123456789abcdef", max_size=16)
OVERLAPPING_DIGITS = st.text("012", max_size=16)  # few digits, so that prefixes overlap
MALAYSIA = DialPlan(country="60", international="00", national="0", max_short_code_digits=5, area="3")


TABLES = st.dictionaries(OVERLAPPING_DIGITS | DIGITS, st.integers(0, 2**32 - 1), max_size=40)


@given(TABLES, st.lists(OVERLAPPING_DIGITS | DIGITS, max_size=20))
def test_index_matches_agree_with_a_scan_of_all_prefixes(table: dict[str, int], numbers: list[str]) -> None:
    index = PrefixIndex(table.items())
    assert len(index) == len(table)
    for number in [*numbers, *table]:
        expected = sorted((prefix for prefix in table if number.startswith(prefix)), key=len, reverse=True)
        assert list(index.matches(number)) == [(prefix, table[prefix]) for prefix in expected]
        assert index.longest_match(number) == ((expected[0], table[expected[0]]) if expected else None)


def test_index_refuses_a_prefix_given_twice() -> None:
    with pytest.raises(DuplicatePrefix) as caught:
        PrefixIndex([("60", 1), ("603", 2), ("60", 3)])
    assert (caught.value.prefix, {caught.value.first, caught.value.second}) == ("60", {1, 3})


@given(st.sampled_from([4, 15, 16]), st.data())
def test_range_is_covered_exactly_once_by_few_prefixes(size: int, data: st.DataObject) -> None:
    base, digit_format = (16, f"{{:0{size}x}}") if size == 16 else (10, f"{{:0{size}d}}")
    highest = base**size - 1
    first, last = sorted((data.draw(st.integers(0, highest)), data.draw(st.integers(0, highest))))
    prefixes = range_to_prefixes(digit_format.format(first), digit_format.format(last))
    assert len(prefixes) <= 2 * (base - 1) * size
    for number in {first, last, (first + last) // 2, max(first - 1, 0), min(last + 1, highest)}:
        hits = sum(digit_format.format(number).startswith(prefix) for prefix in prefixes)
        assert hits == (first <= number <= last)


@pytest.mark.parametrize(
    ("dialled", "normal_form"),
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
def test_all_dialled_forms_of_a_number_have_one_normal_form(dialled: str, normal_form: str) -> None:
    assert MALAYSIA.normalise(dialled) == normal_form


@pytest.mark.parametrize(
    "dialled", ["", "+", "00", "()", "12x4", "+60a", "1" * 17, "-" * 65, "\u0661\u0662", "\u00b2"]
)
def test_normalisation_refuses_invalid_numbers(dialled: str) -> None:
    with pytest.raises(InvalidNumber):
        MALAYSIA.normalise(dialled)


@given(st.text(max_size=80))
def test_normalisation_gives_digits_or_invalid_number_for_any_text(dialled: str) -> None:
    with contextlib.suppress(InvalidNumber):
        assert digits.check(MALAYSIA.normalise(dialled))


# Schedules


def unix_time(text: str, zone: str = "UTC", fold: int = 0) -> float:
    return datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone), fold=fold).timestamp()


def make_schedule(*hours: str, zone: str = "UTC", days: str = "daily", **dates: str) -> Schedule:
    weekly = tuple((parse_days(days), TimeRange.parse(text)) for text in hours)
    exceptions = {
        datetime.strptime(day, "d%Y%m%d").date(): tuple(map(TimeRange.parse, text.split()))
        for day, text in dates.items()
    }
    return Schedule("s", ZoneInfo(zone), weekly, exceptions)


# The exception closes one Friday, including its hours past midnight.
FRIDAY_NIGHT = make_schedule("22:00-02:00", days="fri", d20260130="")
# On 2026-03-29 02:00 becomes 03:00, on 2026-10-25 03:00 becomes 02:00.
CLOCKS_FORWARD = make_schedule("02:15-02:45", "01:30-02:30", zone="Europe/Berlin")
CLOCKS_BACK = make_schedule("02:15-02:45", zone="Europe/Berlin")


@pytest.mark.parametrize(
    ("schedule", "instant", "is_open"),
    [
        (make_schedule("08:30-17:30"), unix_time("2026-12-01T08:30"), True),
        (make_schedule("08:30-17:30"), unix_time("2026-12-01T17:30"), False),
        (make_schedule("00:00-24:00"), unix_time("2026-12-01T23:59:59.999"), True),
        (make_schedule("08:00-09:00", zone="Asia/Kuala_Lumpur"), unix_time("2026-12-01T00:30"), True),
        (make_schedule("08:00-09:00", days="sat-mon"), unix_time("2026-12-01T08:30"), False),  # a Tuesday
        (make_schedule("08:00-09:00", days="sat-mon"), unix_time("2026-11-30T08:30"), True),
        (FRIDAY_NIGHT, unix_time("2026-01-23T23:00"), True),
        (FRIDAY_NIGHT, unix_time("2026-01-24T01:59"), True),  # Saturday, within Friday's hours
        (FRIDAY_NIGHT, unix_time("2026-01-24T02:00"), False),
        (FRIDAY_NIGHT, unix_time("2026-01-24T22:30"), False),
        (FRIDAY_NIGHT, unix_time("2026-01-31T01:00"), False),
        (make_schedule(d20260201="10:00-11:00"), unix_time("2026-02-01T10:30"), True),
        (CLOCKS_FORWARD, unix_time("2026-03-29T01:45", "Europe/Berlin"), True),
        (CLOCKS_FORWARD, unix_time("2026-03-29T03:00", "Europe/Berlin"), False),  # 02:00 to 02:30 is skipped
        (CLOCKS_BACK, unix_time("2026-10-25T02:30", "Europe/Berlin", fold=0), True),
        (CLOCKS_BACK, unix_time("2026-10-25T02:30", "Europe/Berlin", fold=1), True),  # this time occurs twice
        (make_schedule("00:00-24:00"), -1.0, False),
        (make_schedule("00:00-24:00"), 1e18, False),
        (make_schedule("00:00-24:00"), float("nan"), False),
    ],
)
def test_schedule_follows_the_local_wall_clock(schedule: Schedule, instant: float, is_open: bool) -> None:
    assert schedule.is_open_at(instant) is is_open


def test_next_change_is_found_past_midnight() -> None:
    assert FRIDAY_NIGHT.next_change(unix_time("2026-01-23T23:10:30")) == unix_time("2026-01-24T02:00")
    assert make_schedule("00:00-24:00").next_change(unix_time("2026-01-23T23:10")) is None


# Tables and their analysis

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
NOON, EVENING = (
    unix_time("2026-12-01T12:00", "Asia/Kuala_Lumpur"),
    unix_time("2026-12-01T18:00", "Asia/Kuala_Lumpur"),
)


def refuse_to_read_list(name: str) -> bytes:
    raise AssertionError(name)


@pytest.fixture(scope="module")
def number_table() -> Table:
    return read_table(SOURCE, refuse_to_read_list)


@pytest.mark.parametrize(
    ("dialled", "instant", "verdict", "servers", "step"),
    [
        ("03 888 1234", NOON, Verdict.ROUTED, {0, 1, 2}, "6038881234 matches prefix 603"),
        ("03 888", NOON, Verdict.ROUTED, {1}, "60388 8 matches prefix 60"),  # too short for the longer prefix
        ("0060198881234", NOON, Verdict.LOOK_UP, set(), "after a portability look-up"),
        ("1300", NOON, Verdict.ROUTED, {0, 1, 2}, "schedule office is open"),
        ("1300", EVENING, Verdict.BARRED, set(), "barred: closed"),
        ("+4425012", NOON, Verdict.ROUTED, {0, 1, 2}, "translated to 60388825012"),
        ("+44300123", NOON, Verdict.UNKNOWN, set(), "no prefix matches 44300123"),
        ("c0ffee00e0b4d655", NOON, Verdict.ROUTED, {1}, "matches prefix c0ffee"),
        ("7f3a9c21e0b4d655", NOON, Verdict.UNKNOWN, set(), "no prefix matches 7f3a9c21e0b4d655"),
        ("9001234", NOON, Verdict.BARRED, set(), "barred: premium rate"),
        ("", NOON, Verdict.BAD, set(), ""),
        ("1" * 40, NOON, Verdict.BAD, set(), ""),
        ("\u0661", NOON, Verdict.BAD, set(), ""),
    ],
)
def test_analysis_gives_verdict_candidates_and_reason(
    number_table: Table, dialled: str, instant: float, verdict: Verdict, servers: set[int], step: str
) -> None:
    result = analyse(number_table, dialled, instant)
    assert (result.verdict, set(result.candidates(0.5)), result.version) == (verdict, servers, "7")
    assert step.replace(" ", "") in " ".join(result.steps).replace(" ", "")
    assert result.reason or verdict in (Verdict.ROUTED, Verdict.LOOK_UP)


@pytest.mark.parametrize(
    ("dialled", "answer", "verdict", "servers"),
    [
        ("0198881234", PortingResult(), Verdict.ROUTED, (1,)),
        ("0198881234", PortingResult("60388812345"), Verdict.ROUTED, (0, 1, 2)),
        ("0198881234", PortingResult("60198"), Verdict.ROUTED, (1,)),  # not asked a second time
        ("0198881234", PortingResult("55"), Verdict.UNKNOWN, ()),
        ("0198881234", PortingResult("no number"), Verdict.ROUTED, (1,)),
        ("0198881234", None, Verdict.ROUTED, (1,)),
        ("0188881234", None, Verdict.UNKNOWN, ()),
        ("0188881234", PortingResult("x" * 99), Verdict.UNKNOWN, ()),
    ],
)
def test_portability_answer_is_followed_or_the_fallback_of_the_route_applies(
    number_table: Table,
    dialled: str,
    answer: PortingResult | None,
    verdict: Verdict,
    servers: tuple[int, ...],
) -> None:
    pending = analyse(number_table, dialled, NOON)
    result = resolve(number_table, pending, answer)
    assert (pending.verdict, result.verdict) == (Verdict.LOOK_UP, verdict)
    assert result.candidates(0.0) == servers


def test_route_orders_servers_by_weight_and_lists_each_once() -> None:
    route = Route("r", ((Member(0, 3), Member(1, 1)), (Member(2), Member(3))))
    orders = [route.order_servers(draw / 1000) for draw in range(1000)]
    assert {frozenset(order) for order in orders} == {frozenset(range(4))}
    assert all(set(order[:2]) == {0, 1} for order in orders)
    assert Counter(order[0] for order in orders) == {0: 750, 1: 250}
    assert Counter(order[2] for order in orders)[2] == pytest.approx(500, abs=5)


@pytest.mark.parametrize(
    ("node", "line", "reason"),
    [
        ('prefix "5" route="nowhere"', 4, "no route is named 'nowhere'"),
        ('prefix "5" bar="x" colour="red"', 4, "unknown properties: colour"),
        ('prefix "5" bar="x"; prefix "5" bar="y"', 4, "prefix 5 is given twice"),
        ('prefix "12345678901234567" bar="x"', 4, "not digits"),
        ('prefix "5" { when "never" bar="x"; otherwise bar="y"; }', 4, "no schedule is named 'never'"),
        ('prefix "5" { when "s" bar="x"; }', 4, "no case for the time outside schedules"),
        ('prefix "5" bar="x" route="r"', 4, "exactly one of route, bar"),
        ('prefix "5" strip=0', 4, "changes nothing"),
        ('prefix "5" route="r" portability="dialled"', 4, "no portability server is set"),
        ('prefix "5" strip=1 prepend="6"\nprefix "6" strip=1 prepend="5"', 4, "5 -> 6 -> 5"),
        ('prefix "" strip=0 prepend="9"', 4, "lead back to themselves"),
        ('range "10" "9" bar="x"', 4, "no range"),
        ('route "q" { }', 0, "a tier without a server"),
        ('route "q" { server 1; server 1; }', 0, "a server is given twice"),
        ('route "q" { server 1.5; }', 4, "whole number"),
        ('schedule "t" zone="Nowhere/Land"', 4, "no time zone is named"),
        ('schedule "t" { open "mon" "9:00-10:00"; }', 4, "expected hours like"),
        ('schedule "t" { on "2026-02-30"; }', 4, "day is out of range"),
        ('plan national="0"', 4, "need a country"),
        ('portability "nowhere"', 4, "expected an address like"),
        ("frobnicate", 4, "unknown node 'frobnicate'"),
        ("plan { a; }", 4, "takes no block"),
        ('prefix "5" bar="x" least=1e999', 0, "not valid KDL"),
        ('prefix "5" bar="x', 5, ""),
        ('prefix "5" bar="x" {', 1, "child"),
        ('prefixes "list.csv" count=4', 4, "3 prefixes, but count=4 in the settings"),
        ('prefixes "wrong.csv" count=2', 0, "wrong.csv line 2: no route is named 'q'"),
        ('prefixes "broken.csv" count=1', 0, "broken.csv line 1"),
    ],
)
def test_table_errors_are_reported_with_their_lines(node: str, line: int, reason: str) -> None:
    lists = {"list.csv": b"1,r\n2,r\n#\n3,r", "wrong.csv": b"1,r\n2,q\n", "broken.csv": b"\xff,r\n"}
    settings = 'numbering {\n route "r" { server 0; }\n schedule "s"\n NODE\n prefix "8" bar="z"\n}'
    with pytest.raises(InvalidTable) as caught:
        read_table(settings.replace("NODE", node), lists.__getitem__, "f.kdl")
    assert reason in str(caught.value)
    assert "f.kdl" in str(caught.value)
    assert {diagnostic.line for diagnostic in caught.value.diagnostics} & {line, line + 1}


@pytest.mark.parametrize(
    "text", ["", "numbering", "numbering {\n}", "other { }", 'numbering { } \n "x"', "{" * 9000]
)
def test_empty_or_malformed_settings_are_refused(text: str) -> None:
    with pytest.raises(InvalidTable):
        read_table(text, refuse_to_read_list)


@given(st.integers(0, len(SOURCE) - 1))
def test_truncated_settings_are_refused(end: int) -> None:
    if SOURCE[end:].strip():
        with pytest.raises(InvalidTable):
            read_table(SOURCE[:end], refuse_to_read_list)


@given(st.data())
def test_accepted_translations_terminate(data: st.DataObject) -> None:
    count = data.draw(st.integers(1, 6))
    prefixes = data.draw(st.lists(st.text("012", max_size=3), min_size=count, max_size=count, unique=True))
    rules = [
        table.PrefixEntry(prefix, table.Rule((table.Case(table.Translate(strip, prepend)),)), 1)
        if strip or prepend
        else table.PrefixEntry(prefix, table.Rule((table.Case(table.Bar("end")),)), 1)
        for prefix, strip, prepend in (
            (prefix, data.draw(st.integers(0, 2)), data.draw(st.text("012", max_size=3)))
            for prefix in prefixes
        )
    ]
    with contextlib.suppress(InvalidTable):
        built = table.build("", DialPlan(), {}, {}, rules)
        for number in (data.draw(st.text("012", min_size=1, max_size=9)) for _ in range(5)):
            found: Analysis = analyse(built, number, 0.0)
            assert "more than" not in found.reason


def test_loop_detection_is_fast_for_large_tables() -> None:
    rules = [
        table.PrefixEntry(f"{number:05d}", table.Rule((table.Case(table.Translate(5, "9")),)), 1)
        for number in range(20_000)
    ]
    rules.append(table.PrefixEntry("9", table.Rule((table.Case(table.Translate(1, "")),)), 1))
    start = time.process_time()
    with pytest.raises(InvalidTable, match="lead back to themselves"):
        table.build("", DialPlan(), {}, {}, rules)
    assert time.process_time() - start < 20


def test_analysis_never_reads_the_clock(number_table: Table, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: 1 / 0)
    assert (
        analyse(number_table, "1300", datetime(2026, 12, 1, 4, tzinfo=UTC).timestamp()).verdict
        is Verdict.ROUTED
    )
