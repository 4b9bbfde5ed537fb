"""Portability look-ups: the decisions without a socket, and the wire against a stand-in."""

from __future__ import annotations

from queue import Queue
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickstep.numbering import enum_dns
from wickstep.numbering.analysis import PortingResult
from wickstep.numbering.portability import Ask, LookUps, Told
from wickstep.numbering.table import PortabilitySettings

from .enum_stand_in import EnumServer, record

MS = 1000
PLAN = PortabilitySettings(
    "127.0.0.1:53", budget_ms=400, budget_part=0.25, outstanding=3, trips_after=3, rest_ms=1000
)
FAR = 10_000 * MS


def asks(done: Any) -> list[int]:
    return [item.question for item in done if isinstance(item, Ask)]


def test_equal_questions_are_joined_and_answers_are_remembered_for_their_age() -> None:
    ups = LookUps(PLAN)
    (at,) = asks(ups.look_up(1, "60123", 0, FAR))
    assert ups.look_up(2, "60123", 0, FAR) == []
    assert ups.answered(at, PortingResult("6017"), 10) == [
        Told(1, PortingResult("6017")),
        Told(2, PortingResult("6017")),
    ]
    until = 10 + PLAN.keep_ms * MS
    assert ups.look_up(3, "60123", until - 1, until + FAR) == [Told(3, PortingResult("6017"))]
    (again,) = asks(ups.look_up(4, "60123", until, until + FAR))
    ups.answered(again, PortingResult(), until)
    negative = until + PLAN.keep_negative_ms * MS
    assert ups.look_up(5, "60123", negative - 1, negative + FAR) == [Told(5, PortingResult())]
    assert asks(ups.look_up(6, "60123", negative, negative + FAR))


@pytest.mark.parametrize(("left", "waits"), [(FAR, 400 * MS), (800 * MS, 200 * MS), (3, 0)])
def test_a_call_waits_for_a_part_of_what_it_has_left(left: int, waits: int) -> None:
    ups = LookUps(PLAN)
    done = ups.look_up(1, "60123", 0, left)
    if not waits:
        assert done == [Told(1, None)]
        return
    (at,) = asks(done)
    assert ups.due(waits - 1) == []
    assert ups.due(waits) == [Told(1, None)]
    assert ups.due(FAR) == []
    assert ups.answered(at, PortingResult("6"), FAR) == []  # late: dropped, and not even remembered
    assert not ups.cache


def test_a_question_outlives_the_call_that_put_it() -> None:
    ups = LookUps(PLAN)
    (at,) = asks(ups.look_up(1, "60123", 0, 800 * MS))
    assert ups.due(200 * MS) == [Told(1, None)]
    assert ups.answered(at, PortingResult("6"), 300 * MS) == []
    assert ups.look_up(2, "60123", 301 * MS, FAR) == [Told(2, PortingResult("6"))]


def test_a_caller_that_gives_up_is_told_nothing() -> None:
    ups = LookUps(PLAN)
    (at,) = asks(ups.look_up(1, "60123", 0, FAR))
    ups.look_up(2, "60123", 0, FAR)
    ups.gave_up(1)
    ups.gave_up(1)
    assert ups.answered(at, PortingResult(), 1) == [Told(2, PortingResult())]
    ups.gave_up(2)


def test_no_more_questions_are_out_than_the_plan_allows() -> None:
    ups = LookUps(PLAN)
    assert all(asks(ups.look_up(n, f"60{n}", 0, FAR)) for n in range(3))
    assert ups.look_up(9, "609", 0, FAR) == [Told(9, None)]
    ups.answered(1, PortingResult(), 1)
    assert asks(ups.look_up(9, "609", 2, FAR))


def test_the_breaker_rests_longer_after_each_trial_that_fails() -> None:
    ups = LookUps(PLAN)
    now = 0
    for number in range(3):
        (at,) = asks(ups.look_up(number, f"60{number}", now, now + FAR))
        ups.failed(at, now)
    for rest in (1000, 2000, 4000):
        assert ups.look_up(50, "6050", now + rest * MS - 1, now + FAR) == [Told(50, None)]
        now += rest * MS
        (trial,) = asks(ups.look_up(51, "6051", now, now + FAR))
        assert ups.look_up(52, "6052", now, now + FAR) == [Told(52, None)]  # one trial at a time
        ups.due(now + PLAN.budget_ms * MS)
        assert ups.answered(trial, PortingResult(), now + PLAN.budget_ms * MS) == []
        now += PLAN.budget_ms * MS
    now += 8000 * MS
    (trial,) = asks(ups.look_up(60, "6060", now, now + FAR))
    ups.answered(trial, PortingResult(), now)
    assert asks(ups.look_up(61, "6061", now, now + FAR))
    assert asks(ups.look_up(62, "6062", now, now + FAR))


@given(st.data())
def test_every_call_is_told_once_in_time_or_has_given_up(data: st.DataObject) -> None:
    """Whatever comes in whatever order: one answer a call, within its wait, and nothing is left behind."""
    plan = PortabilitySettings(
        "", budget_ms=50, budget_part=0.5, outstanding=2, cached=2, trips_after=2, rest_ms=30
    )
    ups = LookUps(plan)
    now, calls = 0, 0
    due: dict[int, int] = {}  # call -> until when it must be told
    told: set[int] = set()
    left: set[int] = set()
    out: list[int] = []

    def take(done: Any) -> None:
        for item in done:
            if isinstance(item, Ask):
                out.append(item.question)
                continue
            assert item.call not in told | left
            assert now <= due[item.call]
            told.add(item.call)

    for _ in range(data.draw(st.integers(1, 40))):
        match data.draw(st.sampled_from(["call", "call", "answer", "fail", "leave", "time"])):
            case "call":
                calls += 1
                patience = data.draw(st.integers(0, 200)) * MS
                due[calls] = now + min(50 * MS, patience // 2)
                take(ups.look_up(calls, data.draw(st.sampled_from("1234")), now, now + patience))
            case "answer" if out:
                take(ups.answered(data.draw(st.sampled_from(out)), PortingResult("9"), now))
            case "fail" if out:
                take(ups.failed(data.draw(st.sampled_from(out)), now))
            case "leave" if calls:
                call = data.draw(st.integers(1, calls))
                if call not in told:
                    left.add(call)
                    ups.gave_up(call)
            case "time":
                # Time moves from one due moment to the next, as the stage looks often enough.
                target = now + data.draw(st.integers(0, 80)) * MS
                moments = sorted({*due.values(), *(q.due for q in ups.questions.values())})
                for moment in [at for at in moments if now < at < target] + [target]:
                    now = moment
                    take(ups.due(now))
        assert len(ups.questions) <= 2
        assert len(ups.cache) <= 2
        assert set(ups.by_call) == set(due) - told - left
    for moment in sorted({*due.values(), *(q.due for q in ups.questions.values())}):
        now = max(now, moment)
        take(ups.due(now))
    assert told | left == set(due)
    assert not ups.questions
    assert not ups.by_number
    assert not ups.by_call


@pytest.mark.parametrize(
    ("uri", "found"),
    [
        ("tel:+60198881234;npdi;rn=+60-12.345", "6012345"),
        ("tel:+60198881234;npdi", ""),
        ("TEL:+60198881234;RN=c0ffee;rn-context=+60;npdi", "c0ffee"),
        ("tel:0198881234;phone-context=+60", ""),
        ("sip:0198881234@example.net", None),
        ("tel:+60198881234;rn=", None),
        ("tel:+60198881234;rn=+", None),
        ("tel:+60198881234;rn=+1;rn=+2", None),
        ("tel:", None),
        ("", None),
    ],
)
def test_a_tel_uri_names_the_routing_number_or_none(uri: str, found: str | None) -> None:
    if found is None:
        with pytest.raises(enum_dns.Spoilt):
            enum_dns.read_uri(uri)
    else:
        assert enum_dns.read_uri(uri) == PortingResult(found)


@given(st.binary(max_size=200))
def test_whatever_the_wire_brings_is_an_answer_or_spoilt(wire: bytes) -> None:
    for data in (wire, wire[:2] + b"\x81\x80\x00\x01\x00\x01\x00\x00\x00\x00" + wire[2:]):
        with pytest.raises(enum_dns.Spoilt):
            enum_dns.read_answer(data, "60123", "e164.arpa")


@pytest.fixture
def server() -> Any:
    made = EnumServer()
    yield made
    made.stop()


def client(server: EnumServer) -> tuple[enum_dns.Client, Queue[Any]]:
    heard: Queue[Any] = Queue()
    made = enum_dns.Client(server.dial, "e164.arpa", heard.put)
    made.start()
    return made, heard


NEVER = 1 << 62
PORTED = [
    record("tel:+60123;npdi;rn=+6017", order=20),
    record("tel:\\\\1;npdi;rn=+6018", pattern="^(.*)$"),
]


@pytest.mark.parametrize(
    ("records", "found"),
    [
        (None, PortingResult()),
        ([], PortingResult()),
        ([record("tel:+60123;npdi")], PortingResult()),
        (PORTED, PortingResult("6018")),  # the lowest order, though listed last
        ([record("sip:a@b", service="E2U+sip")], PortingResult()),
        ([record("sip:a@b")], None),
        ([record("tel:+1", pattern="^(a+)+$")], None),  # is not run
    ],
)
def test_answers_are_read_as_the_records_say(
    server: EnumServer, records: list[str] | None, found: PortingResult | None
) -> None:
    if records is not None:
        server.records["60123"] = records
    asker, heard = client(server)
    asker.ask(Ask(7, "60123", NEVER))
    assert heard.get(timeout=10) == (enum_dns.Failed(7) if found is None else enum_dns.Answered(7, found))
    assert server.asked == ["60123"]
    asker.stop()


@pytest.mark.parametrize("manner", ["refuses", "cut", "noise", "another", "closes", "short"])
def test_a_spoilt_answer_fails_its_question_and_the_next_is_asked_all_the_same(
    server: EnumServer, manner: str
) -> None:
    asker, heard = client(server)
    server.manner = manner
    asker.ask(Ask(1, "60123", NEVER))
    assert heard.get(timeout=10) == enum_dns.Failed(1)
    server.manner = "well"
    asker.ask(Ask(2, "60123", NEVER))
    assert heard.get(timeout=10) == enum_dns.Answered(2, PortingResult())
    asker.stop()


def test_answers_may_come_in_any_order_and_a_restart_fails_what_is_out(server: EnumServer) -> None:
    asker, heard = client(server)
    server.manner = "silent"
    server.records["601"] = [record("tel:+601;npdi;rn=+6099")]
    asker.ask(Ask(1, "601", NEVER))
    asker.ask(Ask(2, "602", NEVER))
    while len(server.held) < 2:
        pass
    server.let_go()
    assert [heard.get(timeout=10) for _ in range(2)] == [
        enum_dns.Answered(2, PortingResult()),
        enum_dns.Answered(1, PortingResult("6099")),
    ]
    asker.ask(Ask(3, "603", NEVER))
    asker.ask(Ask(4, "604", NEVER))
    while len(server.held) < 2:
        pass
    server.stop()
    assert {heard.get(timeout=10) for _ in range(2)} == {enum_dns.Failed(3), enum_dns.Failed(4)}
    asker.ask(Ask(5, "605", NEVER))
    assert heard.get(timeout=10) == enum_dns.Failed(5)  # nobody listens
    server.restart()
    asker.ask(Ask(6, "606", NEVER))
    assert heard.get(timeout=10) == enum_dns.Answered(6, PortingResult())
    asker.ask(Ask(7, "607", 0))
    assert heard.get(timeout=10) == enum_dns.Failed(7)  # its time is up before it is put
    asker.stop()
