"""The modules of operation without I/O: states, draining, metrics, commands and replies."""

from __future__ import annotations

import itertools

import pytest

from wickstep.operation import commands, draining, metrics
from wickstep.operation.draining import DRAIN_PLANS, MS, Connection, should_close, should_refuse
from wickstep.operation.mode import TRANSITIONS, Event, Mode, State

SECOND = 1000 * MS
RUNNING_STATES, ENDING_STATES = (State.SERVING, State.PAUSED), (State.STOPPING, State.HANDING_OVER)


def test_every_event_has_a_transition_in_every_state() -> None:
    assert set(TRANSITIONS) == set(itertools.product(State, Event))


@pytest.mark.parametrize(
    ("events", "state", "accepted"),
    [
        ([Event.PAUSE], State.PAUSED, True),
        ([Event.PAUSE, Event.PAUSE], State.PAUSED, True),
        ([Event.RESUME], State.SERVING, True),
        ([Event.PAUSE, Event.RESUME], State.SERVING, True),
        ([Event.PAUSE, Event.RESUME, Event.RESUME], State.SERVING, True),
        ([Event.PAUSE, Event.HANGUP], State.PAUSED, True),  # a reload does not end a drain
        ([Event.HANGUP], State.SERVING, True),
        ([Event.TERM], State.STOPPING, True),
        ([Event.PAUSE, Event.TERM], State.STOPPING, True),
        ([Event.PAUSE, Event.HAND_OVER], State.HANDING_OVER, True),
        ([Event.TERM, Event.TERM], State.STOPPING, False),
        ([Event.TERM, Event.RESUME], State.STOPPING, False),  # the platform's kill follows SIGTERM
        ([Event.HAND_OVER, Event.PAUSE], State.HANDING_OVER, False),
        ([Event.HAND_OVER, Event.TERM], State.HANDING_OVER, False),
        ([Event.TERM, Event.HANGUP], State.STOPPING, False),
    ],
)
def test_events_lead_to_the_documented_states(events: list[Event], state: State, accepted: bool) -> None:
    mode = Mode()
    transitions = [mode.handle(event) for event in events]
    assert (mode.state, transitions[-1].is_accepted) == (state, accepted)
    assert mode.is_ending == (state in ENDING_STATES)


IDLE = Connection(calls=0, has_unread=False, carried_calls=True, sent_tests=False, idle=0)
BUSY = Connection(calls=1, has_unread=False, carried_calls=True, sent_tests=False, idle=9 * SECOND)
UNREAD = Connection(calls=0, has_unread=True, carried_calls=True, sent_tests=False, idle=0)
KEPT_FOR_RELEASES = Connection(
    calls=0, has_unread=False, carried_calls=True, sent_tests=False, idle=0, keeps_releases=True
)
NEW = Connection(calls=0, has_unread=False, carried_calls=False, sent_tests=False, idle=100 * MS)
UNUSED = Connection(
    calls=0, has_unread=False, carried_calls=False, sent_tests=False, idle=draining.MIN_IDLE_UNUSED
)
HEALTH_CHECKED = Connection(
    calls=0, has_unread=False, carried_calls=False, sent_tests=True, idle=draining.MIN_IDLE_UNUSED
)


@pytest.mark.parametrize(
    ("state", "elapsed", "connection", "closed"),
    [
        (State.SERVING, 9 * SECOND, IDLE, False),
        (State.STOPPING, 9 * SECOND, IDLE, False),
        (State.PAUSED, 0, IDLE, False),  # the load balancer still sends callers here
        (State.PAUSED, draining.HEALTH_CHECK_DELAY, IDLE, True),
        (State.PAUSED, 9 * SECOND, BUSY, False),
        (State.PAUSED, 3 * SECOND, KEPT_FOR_RELEASES, False),
        (State.PAUSED, draining.MAX_RELEASE_WAIT, KEPT_FOR_RELEASES, True),
        (State.PAUSED, 9 * SECOND, UNREAD, False),
        (State.PAUSED, SECOND, NEW, False),
        (State.PAUSED, SECOND, UNUSED, True),
        (State.PAUSED, SECOND, HEALTH_CHECKED, False),
        (State.HANDING_OVER, 0, IDLE, True),
        (State.HANDING_OVER, 0, BUSY, False),
    ],
)
def test_only_connections_that_nothing_waits_on_are_closed(
    state: State, elapsed: int, connection: Connection, closed: bool
) -> None:
    assert should_close(DRAIN_PLANS[state], elapsed, connection) is closed


def test_set_ups_are_refused_within_two_seconds_of_a_pause() -> None:
    """Four seconds after a pause, a set-up that came in the last two seconds may not be held any more."""
    assert not should_refuse(DRAIN_PLANS[State.PAUSED], SECOND)
    assert should_refuse(DRAIN_PLANS[State.PAUSED], 2 * SECOND - 1)
    assert not should_refuse(DRAIN_PLANS[State.SERVING], 9 * SECOND)


def test_metrics_are_written_in_the_text_format_under_their_names() -> None:
    counts = metrics.ResultCounts(("voice", 'vi"deo'))
    counts.count_result(0, "stands")
    counts.count_result(0, "refused")
    counts.count_result(1, "turned_away")
    for kind in ("failed", "no_route", "malformed"):
        counts.count_result(1, kind)
    text = metrics.format_metrics(counts, {metrics.FORWARDS: 7, metrics.OUTSTANDING: 2})
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
    ("line", "expected"),
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
def test_each_command_has_its_reply(line: bytes, expected: str) -> None:
    mode = Mode()
    handlers = commands.CommandHandlers(
        lambda: (mode.state is State.SERVING, mode.state.value), lambda: "a 1\n", mode.handle
    )
    reply = commands.make_reply(line, handlers)
    assert reply.startswith(expected)
    assert reply.endswith("\n")
    assert reply.count("\n") == expected.count("\n") + 1


@pytest.mark.parametrize(
    ("received", "line"),
    [(b"STATUS\n", b"STATUS"), (b"STATUS\r\nmore", b"STATUS"), (b"STAT", None), (b"", None)],
)
def test_a_line_is_complete_at_its_line_feed(received: bytes, line: bytes | None) -> None:
    assert commands.parse_line(received) == line


@pytest.mark.parametrize("end", [b"", b"\n"])
def test_a_line_longer_than_the_limit_is_rejected(end: bytes) -> None:
    with pytest.raises(ValueError, match="256"):
        commands.parse_line(b"x" * commands.MAX_LINE + b"x" + end)
