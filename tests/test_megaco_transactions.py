"""H.248 transactions: executed once, in order, and dropped from the cache in time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wickstep.megaco.messages import Action, Command, ErrorDescriptor, TransactionRequest
from wickstep.megaco.transactions import (
    GENERATIONS,
    LONG_TIMER_US,
    SECOND_US,
    DuplicateRequestCache,
    OutstandingRequests,
    RequestExecution,
    RequestStatus,
    digest,
)

ONE, OTHER = digest(b"one"), digest(b"other")


def test_duplicate_gets_the_first_reply_and_other_content_is_a_conflict() -> None:
    cache = DuplicateRequestCache()
    assert cache.register("mg", 1, ONE, 0) == (RequestStatus.NEW, b"")
    assert cache.register("mg", 1, ONE, 1) == (RequestStatus.RUNNING, b"")
    assert cache.register("mg", 1, OTHER, 1) == (RequestStatus.CONFLICT, b"")
    # The same transaction ID of another sender is another request.
    assert cache.register("other", 1, ONE, 1) == (RequestStatus.NEW, b"")
    cache.store_reply("mg", 1, b"reply", 2)
    assert cache.register("mg", 1, ONE, LONG_TIMER_US) == (RequestStatus.DONE, b"reply")
    assert cache.register("mg", 1, OTHER, LONG_TIMER_US) == (RequestStatus.CONFLICT, b"")
    assert cache.register("mg", 1, ONE, 2 + LONG_TIMER_US + LONG_TIMER_US // (GENERATIONS - 1) + 1) == (
        RequestStatus.NEW,
        b"",
    )


def test_running_request_is_kept_until_it_is_answered() -> None:
    cache = DuplicateRequestCache()
    cache.register("mg", 1, ONE, 0)
    assert cache.register("mg", 1, ONE, 100 * LONG_TIMER_US) == (RequestStatus.RUNNING, b"")
    cache.store_reply("mg", 1, b"reply", 100 * LONG_TIMER_US)
    assert cache.register("mg", 1, ONE, 101 * LONG_TIMER_US) == (RequestStatus.DONE, b"reply")
    assert cache.register("mg", 2, ONE, 200 * LONG_TIMER_US) == (RequestStatus.NEW, b"")
    assert len(cache) == 1


def test_full_cache_refuses_new_requests_and_keeps_recent_replies() -> None:
    cache = DuplicateRequestCache(max_entries=3)
    for transaction_id in range(1, 4):
        cache.register("mg", transaction_id, ONE, 0)
        cache.store_reply("mg", transaction_id, b"r", 0)
    assert cache.register("mg", 4, ONE, 0) == (RequestStatus.CACHE_FULL, b"")
    assert cache.register("mg", 2, ONE, 0) == (RequestStatus.DONE, b"r")
    cache.drop_acknowledged("mg", [(1, 1), (3, 0xFFFFFFFF)])
    assert cache.register("mg", 4, ONE, 0) == (RequestStatus.NEW, b"")
    assert cache.register("mg", 2, ONE, 0) == (RequestStatus.DONE, b"r")
    byte_limited = DuplicateRequestCache(max_reply_bytes=10)
    byte_limited.register("mg", 1, ONE, 0)
    byte_limited.store_reply("mg", 1, b"x" * 10, 0)
    assert byte_limited.register("mg", 2, ONE, 0) == (RequestStatus.CACHE_FULL, b"")


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(1, 6), st.booleans(), st.integers(0, 20)), max_size=60)
)
def test_no_request_is_executed_twice_within_the_retention_time(
    events: list[tuple[int, int, bool, int]],
) -> None:
    cache = DuplicateRequestCache(retention_us=30 * SECOND_US, max_entries=50)
    now = 0
    running: set[tuple[str, int]] = set()
    done: dict[tuple[str, int], int] = {}
    for sender, transaction_id, is_answered, wait_s in events:
        now += wait_s * SECOND_US
        key = (f"mg{sender}", transaction_id)
        status, reply = cache.register(*key, ONE, now)
        if key in running:
            assert status is RequestStatus.RUNNING
        elif key in done and now - done[key] <= 30 * SECOND_US:
            assert (status, reply) == (RequestStatus.DONE, b"r")
        else:
            assert status in (RequestStatus.NEW, RequestStatus.DONE)
        if status is RequestStatus.NEW:
            running.add(key)
        if is_answered and key in running:
            running.discard(key)
            done[key] = now
            cache.store_reply(*key, b"r", now)
    assert len(cache) <= len(running) + len(done)
    assert sum(cache.generation_bytes) == sum(len(generation) for generation in cache.generations)


def commands(*kinds: str) -> list[Command]:
    return [
        Command(kind.lstrip("?"), f"call/{index}", optional=kind[0] == "?")
        for index, kind in enumerate(kinds)
    ]


def test_commands_run_in_order_until_one_that_is_not_optional_fails() -> None:
    request = TransactionRequest(
        9, [Action("$", commands("Add", "?Modify", "Subtract")), Action("7", commands("Add", "Add"))]
    )
    execution = RequestExecution("mg", request)
    step = execution.next_step()
    assert step is not None
    assert execution.current_context() == "$"
    execution.record_result(step.command, context="41")
    assert execution.next_step() is not None
    assert execution.current_context() == "41"
    execution.record_result(ErrorDescriptor(501))  # optional, so the next command runs
    assert (execution.next_step() or step).command.kind == "Subtract"
    execution.record_result(Command("Subtract", "call/2"))
    assert execution.next_step() is not None
    execution.record_result(ErrorDescriptor(510))
    assert execution.next_step() is None
    first, second = execution.reply.actions
    assert (first.context, [bool(c.error) for c in first.commands]) == ("41", [False, True, False])
    assert (second.context, [c.error for c in second.commands]) == ("7", [ErrorDescriptor(510)])


def test_replies_out_of_order_or_repeated_match_each_request_once() -> None:
    requests = OutstandingRequests(max_outstanding=2, last_id=0xFFFFFFFE)
    first, second = requests.add("a"), requests.add("b")
    assert (first, second) == (0xFFFFFFFF, 1)  # IDs wrap around, and 0 is not used
    assert requests.add("c") is None
    assert requests.get(1) == "b"
    assert requests.complete(1) == "b"
    assert requests.complete(1) is None
    assert requests.complete(0xFFFFFFFF) == "a"
    assert requests.add("c") == 2
