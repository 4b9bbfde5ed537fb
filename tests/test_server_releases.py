"""Which releases a setup server may not have received, and when they are sent again."""

from __future__ import annotations

from typing import Any, cast

import pytest

from wickstep.net import Message, Reason, Release
from wickstep.net.links import Link
from wickstep.net.server_releases import CONFIRM_TIMEOUT, MAX_KEPT, MAX_SENDS, ServerReleases


class RecordingLink:
    """Stand-in for a connection: keeps what is written, or takes nothing."""

    def __init__(self, is_open: bool = True) -> None:
        self.is_open = is_open
        self.calls: list[int] = []

    def send(self, message: Message) -> bool:
        if self.is_open:
            self.calls.append(message.call)
        return self.is_open


def make_link(is_open: bool = True) -> Any:
    return cast(Link, RecordingLink(is_open))


def release(call: int) -> Release:
    return Release(call, Reason.CLEARED)


def test_a_release_is_sent_on_the_first_connection_that_takes_it() -> None:
    releases, closing, link = ServerReleases(), make_link(is_open=False), make_link()
    releases.send(release(1), [closing, link], 0)
    releases.send(release(2), [], 0)
    assert (link.calls, len(releases)) == ([1], 2)
    successor = make_link()
    releases.link_opened(successor, 1)
    assert successor.calls == [1, 2]  # the first may be lost with a connection that is replaced


@pytest.mark.parametrize("proof", ["confirmed", "later set-up answered", "read to the end", "process ended"])
def test_a_release_that_the_server_has_received_is_not_sent_again(proof: str) -> None:
    releases, link, successor = ServerReleases(), make_link(), make_link()
    releases.send(release(1), [link], 10)
    match proof:
        case "confirmed":
            releases.confirm(1)
        case "later set-up answered":
            releases.confirm_before(link, 11)
        case "read to the end":
            releases.link_ended(link, True, successor, 11)
        case _:
            releases.clear()
    releases.link_opened(successor, 12)
    assert (successor.calls, len(releases)) == ([], 0)


def test_an_answer_proves_nothing_about_later_releases_or_other_connections() -> None:
    releases, link, other = ServerReleases(), make_link(), make_link()
    releases.send(release(1), [link], 10)
    releases.confirm_before(link, 10)
    releases.confirm_before(other, 20)
    assert len(releases) == 1


@pytest.mark.parametrize("has_successor", [True, False])
def test_a_release_on_a_dead_connection_is_sent_on_the_next_one(has_successor: bool) -> None:
    releases, dead, successor = ServerReleases(), make_link(), make_link()
    releases.send(release(1), [dead], 0)
    releases.link_ended(dead, False, successor if has_successor else None, 1)
    if not has_successor:
        releases.link_opened(successor, 2)
    assert successor.calls == [1]


def test_the_next_attempt_of_a_call_comes_after_its_release_and_is_never_released_by_it() -> None:
    releases, dead, link = ServerReleases(), make_link(), make_link()
    releases.send(release(1), [dead], 0)
    releases.precede_set_up(1, make_link(is_open=False), 1)
    releases.precede_set_up(1, link, 2)
    releases.link_ended(dead, False, link, 3)
    assert link.calls == [1]


def test_a_release_is_sent_a_limited_number_of_times() -> None:
    """Some servers never confirm: each new connection must not bring all releases since the start."""
    releases, links = ServerReleases(), [make_link() for _ in range(MAX_SENDS + 2)]
    releases.send(release(1), [links[0]], 0)
    for link in links[1:]:
        releases.link_opened(link, 1)
    assert sum(len(link.calls) for link in links) == MAX_SENDS
    assert len(releases) == 0


def test_releases_are_bounded_and_the_oldest_go_first() -> None:
    releases, link = ServerReleases(), make_link()
    for call in range(MAX_KEPT + 5):
        releases.send(release(call), [], 0)
    releases.link_opened(link, 1)
    assert link.calls == list(range(5, MAX_KEPT + 5))


def test_only_a_server_that_confirms_releases_can_be_overdue() -> None:
    releases, link = ServerReleases(), make_link()
    releases.send(release(1), [link], 0)
    assert not releases.is_overdue(link, CONFIRM_TIMEOUT + 1)
    releases.send(release(2), [link], 0)
    releases.confirm(2)
    assert not releases.is_overdue(link, CONFIRM_TIMEOUT)
    assert releases.is_overdue(link, CONFIRM_TIMEOUT + 1)
    assert not releases.is_overdue(make_link(), CONFIRM_TIMEOUT + 1)
