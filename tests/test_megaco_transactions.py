"""Transactions: carried out once, in order, and forgotten in time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wickstep.megaco.messages import Action, Command, Fault, Request
from wickstep.megaco.transactions import AGE, GENERATIONS, SECOND, Known, Memory, Outgoing, Run, digest

ONE, OTHER = digest(b"one"), digest(b"other")


def test_a_copy_brings_what_the_first_brought_and_another_content_is_told() -> None:
    memory = Memory()
    assert memory.comes("mg", 1, ONE, 0) == (Known.NEW, b"")
    assert memory.comes("mg", 1, ONE, 1) == (Known.RUNNING, b"")
    assert memory.comes("mg", 1, OTHER, 1) == (Known.ANOTHER, b"")
    assert memory.comes("other", 1, ONE, 1) == (Known.NEW, b"")  # another sender's number is another request
    memory.answered("mg", 1, b"reply", 2)
    assert memory.comes("mg", 1, ONE, AGE) == (Known.DONE, b"reply")
    assert memory.comes("mg", 1, OTHER, AGE) == (Known.ANOTHER, b"")
    assert memory.comes("mg", 1, ONE, 2 + AGE + AGE // (GENERATIONS - 1) + 1) == (Known.NEW, b"")


def test_what_runs_is_remembered_until_it_is_answered() -> None:
    memory = Memory()
    memory.comes("mg", 1, ONE, 0)
    assert memory.comes("mg", 1, ONE, 100 * AGE) == (Known.RUNNING, b"")
    memory.answered("mg", 1, b"reply", 100 * AGE)
    assert memory.comes("mg", 1, ONE, 101 * AGE) == (Known.DONE, b"reply")
    assert memory.comes("mg", 2, ONE, 200 * AGE) == (Known.NEW, b"")
    assert len(memory) == 1


def test_a_full_memory_takes_nothing_new_and_forgets_nothing_young() -> None:
    memory = Memory(most=3)
    for ident in range(1, 4):
        memory.comes("mg", ident, ONE, 0)
        memory.answered("mg", ident, b"r", 0)
    assert memory.comes("mg", 4, ONE, 0) == (Known.NO_ROOM, b"")
    assert memory.comes("mg", 2, ONE, 0) == (Known.DONE, b"r")
    memory.acknowledged("mg", [(1, 1), (3, 0xFFFFFFFF)])
    assert memory.comes("mg", 4, ONE, 0) == (Known.NEW, b"")
    assert memory.comes("mg", 2, ONE, 0) == (Known.DONE, b"r")
    large = Memory(bytes_most=10)
    large.comes("mg", 1, ONE, 0)
    large.answered("mg", 1, b"x" * 10, 0)
    assert large.comes("mg", 2, ONE, 0) == (Known.NO_ROOM, b"")


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(1, 6), st.booleans(), st.integers(0, 20)), max_size=60)
)
def test_nothing_within_its_age_is_carried_out_twice(events: list[tuple[int, int, bool, int]]) -> None:
    memory = Memory(age=30 * SECOND, most=50)
    now = 0
    running: set[tuple[str, int]] = set()
    done: dict[tuple[str, int], int] = {}
    for sender, ident, answer, wait in events:
        now += wait * SECOND
        key = (f"mg{sender}", ident)
        known, reply = memory.comes(*key, ONE, now)
        if key in running:
            assert known is Known.RUNNING
        elif key in done and now - done[key] <= 30 * SECOND:
            assert (known, reply) == (Known.DONE, b"r")
        else:
            assert known in (Known.NEW, Known.DONE)
        if known is Known.NEW:
            running.add(key)
        if answer and key in running:
            running.discard(key)
            done[key] = now
            memory.answered(*key, b"r", now)
    assert len(memory) <= len(running) + len(done)
    assert sum(memory.sizes) == sum(len(generation) for generation in memory.done)


def commands(*kinds: str) -> list[Command]:
    return [
        Command(kind.lstrip("?"), f"call/{place}", optional=kind[0] == "?")
        for place, kind in enumerate(kinds)
    ]


def test_commands_run_in_order_and_the_first_that_fails_ends_them_unless_it_is_optional() -> None:
    request = Request(
        9, [Action("$", commands("Add", "?Modify", "Subtract")), Action("7", commands("Add", "Add"))]
    )
    run = Run("mg", request)
    step = run.next()
    assert step is not None
    assert run.context() == "$"
    run.done(step.command, context="41")
    assert run.next() is not None
    assert run.context() == "41"
    run.done(Fault(501))  # optional: it goes on
    assert (run.next() or step).command.kind == "Subtract"
    run.done(Command("Subtract", "call/2"))
    assert run.next() is not None
    run.done(Fault(510))
    assert run.next() is None
    first, second = run.reply.actions
    assert (first.context, [bool(c.fault) for c in first.commands]) == ("41", [False, True, False])
    assert (second.context, [c.fault for c in second.commands]) == ("7", [Fault(510)])


def test_replies_out_of_order_and_twice_are_about_what_was_asked_once() -> None:
    outgoing = Outgoing(most=2, serial=0xFFFFFFFE)
    first, second = outgoing.put("a"), outgoing.put("b")
    assert (first, second) == (0xFFFFFFFF, 1)  # numbers come round, and 0 is none
    assert outgoing.put("c") is None
    assert outgoing.about(1) == "b"
    assert outgoing.answered(1) == "b"
    assert outgoing.answered(1) is None
    assert outgoing.answered(0xFFFFFFFF) == "a"
    assert outgoing.put("c") == 2
