"""The operators' part without I/O: the states, the drain, the figures, what is said."""

from __future__ import annotations

import itertools

import pytest

from wickstep.operation import commands, draining, metrics
from wickstep.operation.draining import DRAIN_PLANS, MS, Connection, should_close, should_refuse
from wickstep.operation.mode import TRANSITIONS, Event, Mode, State

SECOND = 1000 * MS
STAYS, ENDS = (State.SERVING, State.PAUSED), (State.STOPPING, State.HANDING_OVER)


def test_every_event_has_its_step_in_every_state() -> None:
    assert set(TRANSITIONS) == set(itertools.product(State, Event))


@pytest.mark.parametrize(
    ("events", "state", "granted"),
    [
        ([Event.PAUSE], State.PAUSED, True),
        ([Event.PAUSE, Event.PAUSE], State.PAUSED, True),
        ([Event.RESUME], State.SERVING, True),
        ([Event.PAUSE, Event.RESUME], State.SERVING, True),
        ([Event.PAUSE, Event.RESUME, Event.RESUME], State.SERVING, True),
        ([Event.PAUSE, Event.HANGUP], State.PAUSED, True),  # a reload ends no drain
        ([Event.HANGUP], State.SERVING, True),
        ([Event.TERM], State.STOPPING, True),
        ([Event.PAUSE, Event.TERM], State.STOPPING, True),
        ([Event.PAUSE, Event.HAND_OVER], State.HANDING_OVER, True),
        ([Event.TERM, Event.TERM], State.STOPPING, False),
        ([Event.TERM, Event.RESUME], State.STOPPING, False),  # no way back once the kill is on its way
        ([Event.HAND_OVER, Event.PAUSE], State.HANDING_OVER, False),
        ([Event.HAND_OVER, Event.TERM], State.HANDING_OVER, False),
        ([Event.TERM, Event.HANGUP], State.STOPPING, False),
    ],
)
def test_states_follow_the_table(events: list[Event], state: State, granted: bool) -> None:
    mode = Mode()
    steps = [mode.handle(event) for event in events]
    assert (mode.state, steps[-1].is_accepted) == (state, granted)
    assert mode.is_ending == (state in ENDS)


IDLE = Connection(calls=0, has_unread=False, carried_calls=True, sent_tests=False, idle=0)
BUSY = Connection(calls=1, has_unread=False, carried_calls=True, sent_tests=False, idle=9 * SECOND)
SPEAKING = Connection(calls=0, has_unread=True, carried_calls=True, sent_tests=False, idle=0)
LAST = Connection(
    calls=0, has_unread=False, carried_calls=True, sent_tests=False, idle=0, keeps_releases=True
)
NEW = Connection(calls=0, has_unread=False, carried_calls=False, sent_tests=False, idle=100 * MS)
SILENT = Connection(
    calls=0, has_unread=False, carried_calls=False, sent_tests=False, idle=draining.MIN_IDLE_UNUSED
)
FRONT = Connection(
    calls=0, has_unread=False, carried_calls=False, sent_tests=True, idle=draining.MIN_IDLE_UNUSED
)


@pytest.mark.parametrize(
    ("state", "since", "connection", "closed"),
    [
        (State.SERVING, 9 * SECOND, IDLE, False),
        (State.STOPPING, 9 * SECOND, IDLE, False),
        (State.PAUSED, 0, IDLE, False),  # the front has not heard: its callers would only come again
        (State.PAUSED, draining.HEALTH_CHECK_DELAY, IDLE, True),
        (State.PAUSED, 9 * SECOND, BUSY, False),
        (State.PAUSED, 3 * SECOND, LAST, False),
        (State.PAUSED, draining.MAX_KEEP_LAST, LAST, True),
        (State.PAUSED, 9 * SECOND, SPEAKING, False),
        (State.PAUSED, SECOND, NEW, False),
        (State.PAUSED, SECOND, SILENT, True),
        (State.PAUSED, SECOND, FRONT, False),
        (State.HANDING_OVER, 0, IDLE, True),
        (State.HANDING_OVER, 0, BUSY, False),
    ],
)
def test_connections_go_when_nothing_waits_on_them(
    state: State, since: int, connection: Connection, closed: bool
) -> None:
    assert should_close(DRAIN_PLANS[state], since, connection) is closed


def test_nothing_younger_than_two_seconds_is_held_four_seconds_after_a_pause() -> None:
    """Whatever keeps coming on a busy connection is turned away well before."""
    assert not should_refuse(DRAIN_PLANS[State.PAUSED], SECOND)
    assert should_refuse(DRAIN_PLANS[State.PAUSED], 2 * SECOND - 1)
    assert not should_refuse(DRAIN_PLANS[State.SERVING], 9 * SECOND)


def test_the_figures_are_written_under_their_names() -> None:
    tally = metrics.ResultCounts(("voice", 'vi"deo'))
    tally.count_result(0, "stands")
    tally.count_result(0, "refused")
    tally.count_result(1, "turned_away")
    for kind in ("failed", "no_route", "malformed"):
        tally.count_result(1, kind)
    text = metrics.format_metrics(tally, {metrics.FORWARDS: 7, metrics.OUTSTANDING: 2})
    assert text.splitlines() == [
        'svc_results{service="voice",disposition="succeeded"} 1',
        'svc_results{service="voice",disposition="declined"} 1',
        'svc_results{service="voice",disposition="aborted"} 0',
        'svc_results{service="vi\\"deo",disposition="succeeded"} 0',
        'svc_results{service="vi\\"deo",disposition="declined"} 1',
        'svc_results{service="vi\\"deo",disposition="aborted"} 3',
        "svc_forwards 7",
        "svc_outstanding 2",
    ]


@pytest.mark.parametrize(
    ("line", "said"),
    [
        (b"STATUS", "SUCCESS serving"),
        (b" STATUS\t", "SUCCESS serving"),
        (b"METRICS", "a 1\nEOT"),
        (b"PAUSE", "SUCCESS draining"),
        (b"RESUME", "SUCCESS serving already"),
        (b"status", "FAILURE unknown call"),
        (b"", "FAILURE unknown call"),
        (b"DANCE", "FAILURE unknown call"),
        (b"\xff\xfe\x00", "FAILURE no text"),
    ],
)
def test_each_call_has_its_reply(line: bytes, said: str) -> None:
    mode = Mode()
    desk = commands.CommandHandlers(
        lambda: (mode.state is State.SERVING, mode.state.value), lambda: "a 1\n", mode.handle
    )
    reply = commands.make_reply(line, desk)
    assert reply.startswith(said)
    assert reply.endswith("\n")
    assert reply.count("\n") == said.count("\n") + 1


@pytest.mark.parametrize(
    ("heard", "line"),
    [(b"STATUS\n", b"STATUS"), (b"STATUS\r\nmore", b"STATUS"), (b"STAT", None), (b"", None)],
)
def test_a_line_is_whole_at_its_end(heard: bytes, line: bytes | None) -> None:
    assert commands.parse_line(heard) == line


@pytest.mark.parametrize("end", [b"", b"\n"])
def test_an_endless_line_is_none(end: bytes) -> None:
    with pytest.raises(ValueError, match="256"):
        commands.parse_line(b"x" * commands.MAX_LINE + b"x" + end)
