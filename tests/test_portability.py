"""Portability look-ups: the cache, waits and circuit breaker, and the ENUM client against a stand-in server.

The tests of `LookUps` pass times in and use no socket; those of the client use loopback only.
"""

from __future__ import annotations

from queue import Queue
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickstep.numbering import enum_dns
from wickstep.numbering.analysis import PortingResult
from wickstep.numbering.portability import LookUpResult, LookUps, QueryRequest
from wickstep.numbering.table import PortabilitySettings

from .enum_stand_in import EnumServer, naptr_record

MS = 1000
SETTINGS = PortabilitySettings(
    "127.0.0.1:53", budget_ms=400, budget_part=0.25, outstanding=3, trips_after=3, rest_ms=1000
)
FAR_FUTURE = 10_000 * MS


def query_ids(outcomes: Any) -> list[int]:
    return [item.query_id for item in outcomes if isinstance(item, QueryRequest)]


def test_calls_for_one_number_share_a_query_and_answers_are_cached_for_their_lifetime() -> None:
    look_ups = LookUps(SETTINGS)
    (query_id,) = query_ids(look_ups.look_up(1, "60123", 0, FAR_FUTURE))
    assert look_ups.look_up(2, "60123", 0, FAR_FUTURE) == []
    assert look_ups.handle_answer(query_id, PortingResult("6017"), 10) == [
        LookUpResult(1, PortingResult("6017")),
        LookUpResult(2, PortingResult("6017")),
    ]
    until = 10 + SETTINGS.keep_ms * MS
    assert look_ups.look_up(3, "60123", until - 1, until + FAR_FUTURE) == [
        LookUpResult(3, PortingResult("6017"))
    ]
    (second_id,) = query_ids(look_ups.look_up(4, "60123", until, until + FAR_FUTURE))
    look_ups.handle_answer(second_id, PortingResult(), until)
    negative_until = until + SETTINGS.keep_negative_ms * MS
    assert look_ups.look_up(5, "60123", negative_until - 1, negative_until + FAR_FUTURE) == [
        LookUpResult(5, PortingResult())
    ]
    assert query_ids(look_ups.look_up(6, "60123", negative_until, negative_until + FAR_FUTURE))


@pytest.mark.parametrize(("time_left", "wait"), [(FAR_FUTURE, 400 * MS), (800 * MS, 200 * MS), (3, 0)])
def test_wait_is_bounded_by_a_part_of_the_time_left(time_left: int, wait: int) -> None:
    look_ups = LookUps(SETTINGS)
    outcomes = look_ups.look_up(1, "60123", 0, time_left)
    if not wait:
        assert outcomes == [LookUpResult(1, None)]
        return
    (query_id,) = query_ids(outcomes)
    assert look_ups.expire(wait - 1) == []
    assert look_ups.expire(wait) == [LookUpResult(1, None)]
    assert look_ups.expire(FAR_FUTURE) == []
    # A late answer is dropped, and not cached.
    assert look_ups.handle_answer(query_id, PortingResult("6"), FAR_FUTURE) == []
    assert not look_ups.cache


def test_answer_is_cached_after_the_wait_of_its_call_has_ended() -> None:
    look_ups = LookUps(SETTINGS)
    (query_id,) = query_ids(look_ups.look_up(1, "60123", 0, 800 * MS))
    assert look_ups.expire(200 * MS) == [LookUpResult(1, None)]
    assert look_ups.handle_answer(query_id, PortingResult("6"), 300 * MS) == []
    assert look_ups.look_up(2, "60123", 301 * MS, FAR_FUTURE) == [LookUpResult(2, PortingResult("6"))]


def test_cancelled_call_gets_no_result() -> None:
    look_ups = LookUps(SETTINGS)
    (query_id,) = query_ids(look_ups.look_up(1, "60123", 0, FAR_FUTURE))
    look_ups.look_up(2, "60123", 0, FAR_FUTURE)
    look_ups.cancel(1)
    look_ups.cancel(1)
    assert look_ups.handle_answer(query_id, PortingResult(), 1) == [LookUpResult(2, PortingResult())]
    look_ups.cancel(2)


def test_outstanding_queries_are_limited() -> None:
    look_ups = LookUps(SETTINGS)
    assert all(query_ids(look_ups.look_up(n, f"60{n}", 0, FAR_FUTURE)) for n in range(3))
    assert look_ups.look_up(9, "609", 0, FAR_FUTURE) == [LookUpResult(9, None)]
    look_ups.handle_answer(1, PortingResult(), 1)
    assert query_ids(look_ups.look_up(9, "609", 2, FAR_FUTURE))


def test_breaker_stays_open_longer_after_each_failed_trial() -> None:
    look_ups = LookUps(SETTINGS)
    now = 0
    for number in range(3):
        (query_id,) = query_ids(look_ups.look_up(number, f"60{number}", now, now + FAR_FUTURE))
        look_ups.handle_failure(query_id, now)
    for rest_ms in (1000, 2000, 4000):
        assert look_ups.look_up(50, "6050", now + rest_ms * MS - 1, now + FAR_FUTURE) == [
            LookUpResult(50, None)
        ]
        now += rest_ms * MS
        (trial_query,) = query_ids(look_ups.look_up(51, "6051", now, now + FAR_FUTURE))
        # Only one trial is allowed at a time.
        assert look_ups.look_up(52, "6052", now, now + FAR_FUTURE) == [LookUpResult(52, None)]
        look_ups.expire(now + SETTINGS.budget_ms * MS)
        assert look_ups.handle_answer(trial_query, PortingResult(), now + SETTINGS.budget_ms * MS) == []
        now += SETTINGS.budget_ms * MS
    now += 8000 * MS
    (trial_query,) = query_ids(look_ups.look_up(60, "6060", now, now + FAR_FUTURE))
    look_ups.handle_answer(trial_query, PortingResult(), now)
    assert query_ids(look_ups.look_up(61, "6061", now, now + FAR_FUTURE))
    assert query_ids(look_ups.look_up(62, "6062", now, now + FAR_FUTURE))


@given(st.data())
def test_every_call_gets_one_result_within_its_wait_unless_cancelled(data: st.DataObject) -> None:
    """Under any order of events each call gets one result, within its wait, and no entry is left over."""
    settings = PortabilitySettings(
        "", budget_ms=50, budget_part=0.5, outstanding=2, cached=2, trips_after=2, rest_ms=30
    )
    look_ups = LookUps(settings)
    now, calls = 0, 0
    wait_ends: dict[int, int] = {}  # call -> end of its wait
    finished: set[int] = set()
    cancelled: set[int] = set()
    sent_queries: list[int] = []

    def check_results(outcomes: Any) -> None:
        for item in outcomes:
            if isinstance(item, QueryRequest):
                sent_queries.append(item.query_id)
                continue
            assert item.call not in finished | cancelled
            assert now <= wait_ends[item.call]
            finished.add(item.call)

    for _ in range(data.draw(st.integers(1, 40))):
        match data.draw(st.sampled_from(["call", "call", "answer", "fail", "leave", "time"])):
            case "call":
                calls += 1
                max_wait = data.draw(st.integers(0, 200)) * MS
                wait_ends[calls] = now + min(50 * MS, max_wait // 2)
                check_results(
                    look_ups.look_up(calls, data.draw(st.sampled_from("1234")), now, now + max_wait)
                )
            case "answer" if sent_queries:
                check_results(
                    look_ups.handle_answer(data.draw(st.sampled_from(sent_queries)), PortingResult("9"), now)
                )
            case "fail" if sent_queries:
                check_results(look_ups.handle_failure(data.draw(st.sampled_from(sent_queries)), now))
            case "leave" if calls:
                call = data.draw(st.integers(1, calls))
                if call not in finished:
                    cancelled.add(call)
                    look_ups.cancel(call)
            case "time":
                # Time advances from one end of a wait to the next, since the stage checks often enough.
                target = now + data.draw(st.integers(0, 80)) * MS
                moments = sorted(
                    {*wait_ends.values(), *(query.deadline for query in look_ups.queries.values())}
                )
                for moment in [end for end in moments if now < end < target] + [target]:
                    now = moment
                    check_results(look_ups.expire(now))
        assert len(look_ups.queries) <= 2
        assert len(look_ups.cache) <= 2
        assert set(look_ups.by_call) == set(wait_ends) - finished - cancelled
    for moment in sorted({*wait_ends.values(), *(query.deadline for query in look_ups.queries.values())}):
        now = max(now, moment)
        check_results(look_ups.expire(now))
    assert finished | cancelled == set(wait_ends)
    assert not look_ups.queries
    assert not look_ups.by_number
    assert not look_ups.by_call


@pytest.mark.parametrize(
    ("uri", "routing_number"),
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
def test_tel_uri_gives_its_routing_number_or_not_ported_or_is_invalid(
    uri: str, routing_number: str | None
) -> None:
    if routing_number is None:
        with pytest.raises(enum_dns.InvalidAnswer):
            enum_dns.parse_tel_uri(uri)
    else:
        assert enum_dns.parse_tel_uri(uri) == PortingResult(routing_number)


@given(st.binary(max_size=200))
def test_random_bytes_are_an_invalid_answer(wire: bytes) -> None:
    for data in (wire, wire[:2] + b"\x81\x80\x00\x01\x00\x01\x00\x00\x00\x00" + wire[2:]):
        with pytest.raises(enum_dns.InvalidAnswer):
            enum_dns.decode_answer(data, "60123", "e164.arpa")


@pytest.fixture
def server() -> Any:
    enum_server = EnumServer()
    yield enum_server
    enum_server.stop()


def start_client(server: EnumServer) -> tuple[enum_dns.Client, Queue[Any]]:
    results: Queue[Any] = Queue()
    enum_client = enum_dns.Client(server.address, "e164.arpa", results.put)
    enum_client.start()
    return enum_client, results


NO_DEADLINE = 1 << 62
PORTED = [
    naptr_record("tel:+60123;npdi;rn=+6017", order=20),
    naptr_record("tel:\\\\1;npdi;rn=+6018", pattern="^(.*)$"),
]


@pytest.mark.parametrize(
    ("records", "result"),
    [
        (None, PortingResult()),
        ([], PortingResult()),
        ([naptr_record("tel:+60123;npdi")], PortingResult()),
        (PORTED, PortingResult("6018")),  # the lowest order counts, though listed last
        ([naptr_record("sip:a@b", service="E2U+sip")], PortingResult()),
        ([naptr_record("sip:a@b")], None),
        ([naptr_record("tel:+1", pattern="^(a+)+$")], None),  # other patterns are not run
    ],
)
def test_result_follows_from_the_records(
    server: EnumServer, records: list[str] | None, result: PortingResult | None
) -> None:
    if records is not None:
        server.records["60123"] = records
    enum_client, results = start_client(server)
    enum_client.enqueue(QueryRequest(7, "60123", NO_DEADLINE))
    assert results.get(timeout=10) == (
        enum_dns.QueryFailed(7) if result is None else enum_dns.QueryAnswered(7, result)
    )
    assert server.queried_numbers == ["60123"]
    enum_client.stop()


@pytest.mark.parametrize("behaviour", ["refuses", "cut", "noise", "another", "closes", "short"])
def test_invalid_answer_fails_its_query_and_the_next_query_is_answered(
    server: EnumServer, behaviour: str
) -> None:
    enum_client, results = start_client(server)
    server.behaviour = behaviour
    enum_client.enqueue(QueryRequest(1, "60123", NO_DEADLINE))
    assert results.get(timeout=10) == enum_dns.QueryFailed(1)
    server.behaviour = "well"
    enum_client.enqueue(QueryRequest(2, "60123", NO_DEADLINE))
    assert results.get(timeout=10) == enum_dns.QueryAnswered(2, PortingResult())
    enum_client.stop()


def test_answers_may_come_in_any_order_and_a_lost_connection_fails_open_queries(server: EnumServer) -> None:
    enum_client, results = start_client(server)
    server.behaviour = "silent"
    server.records["601"] = [naptr_record("tel:+601;npdi;rn=+6099")]
    enum_client.enqueue(QueryRequest(1, "601", NO_DEADLINE))
    enum_client.enqueue(QueryRequest(2, "602", NO_DEADLINE))
    while len(server.held_answers) < 2:
        pass
    server.send_held()
    assert [results.get(timeout=10) for _ in range(2)] == [
        enum_dns.QueryAnswered(2, PortingResult()),
        enum_dns.QueryAnswered(1, PortingResult("6099")),
    ]
    enum_client.enqueue(QueryRequest(3, "603", NO_DEADLINE))
    enum_client.enqueue(QueryRequest(4, "604", NO_DEADLINE))
    while len(server.held_answers) < 2:
        pass
    server.stop()
    assert {results.get(timeout=10) for _ in range(2)} == {enum_dns.QueryFailed(3), enum_dns.QueryFailed(4)}
    enum_client.enqueue(QueryRequest(5, "605", NO_DEADLINE))
    assert results.get(timeout=10) == enum_dns.QueryFailed(5)  # connection refused
    server.restart()
    enum_client.enqueue(QueryRequest(6, "606", NO_DEADLINE))
    assert results.get(timeout=10) == enum_dns.QueryAnswered(6, PortingResult())
    enum_client.enqueue(QueryRequest(7, "607", 0))
    assert results.get(timeout=10) == enum_dns.QueryFailed(7)  # past its deadline before it is sent
    enum_client.stop()
