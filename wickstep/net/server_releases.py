"""Releases towards one setup server, kept until the server has received them.

A release that is written into a connection that has died without a sign is lost, and its call goes on at the
server. Messages carry the id of their call and nothing of its attempts: until the server has received the
release of one attempt, what it sends about the call may be about that one. This file owns which releases the
server may not have received, when one is sent again, and how long the next attempt of its call waits for it.
It must never release a call that has an attempt at the server. Times are microseconds.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass

from wickstep.net import Reason, Release
from wickstep.net.links import Link
from wickstep.net.units import SECOND

MAX_KEPT = 1000  # releases to one server that it may not have received; the oldest go first
MAX_SENDS = 4  # of one release, each on another connection: some servers never confirm one
CONFIRM_TIMEOUT = 4 * SECOND  # a server that confirms releases does so within this time


@dataclass(slots=True)
class KeptRelease:
    """A release that the server may not have received."""

    release: Release
    # The connection and the time of the set-up that it takes back; None: that one was answered.
    set_up_link: Link | None = None
    set_up_sent_at: int = 0
    link: Link | None = None  # where it was written last; None: nowhere yet
    sent_at: int = 0
    send_count: int = 0


class ServerReleases:
    """The releases to one server: sent, confirmed, and sent again when their connection has died."""

    def __init__(self, counters: Counter[str] | None = None) -> None:
        """`counters` are those of the softswitch."""
        self._counters: Counter[str] = Counter() if counters is None else counters
        self._kept: OrderedDict[int, KeptRelease] = OrderedDict()  # by the call's id, the oldest first
        self._server_confirms = False  # this server has confirmed a release

    def __len__(self) -> int:
        return len(self._kept)

    def __contains__(self, call: int) -> bool:
        """Whether the server may not have received the release of this call."""
        return call in self._kept

    def releases(self) -> list[Release]:
        """The releases that the server may not have received."""
        return [kept.release for kept in self._kept.values()]

    def send(self, release: Release, links: list[Link], now: int) -> None:
        """Send a release on the first of these connections that takes it, or keep it for the next one."""
        self._keep(KeptRelease(release), links, now)

    def take_back(self, call: int, link: Link, set_up_sent_at: int, now: int) -> None:
        """Release an attempt that was not answered.

        It goes on the connection of the set-up: on another one it might overtake that.
        """
        kept = KeptRelease(Release(call, Reason.CLEARED), link, set_up_sent_at)
        self._keep(kept, [link], now)

    def _keep(self, kept: KeptRelease, links: list[Link], now: int) -> None:
        release = kept.release
        self._kept[release.call] = kept
        self._kept.move_to_end(release.call)
        if len(self._kept) > MAX_KEPT:
            self._kept.popitem(last=False)
            self._counters["server_releases_given_up"] += 1
        any(self._write(kept, link, now) for link in links)

    def confirm(self, call: int) -> None:
        """The server has confirmed a release."""
        self._server_confirms = True
        self._kept.pop(call, None)

    def confirm_before(self, link: Link, at: int) -> None:
        """The server has answered something that was sent on this connection at that time.

        It reads a connection in order, so it has received what was written there before.
        """
        self._forget([call for call, kept in self._kept.items() if kept.link is link and kept.sent_at < at])

    def link_ended(self, link: Link, was_read: bool, successor: Link | None, now: int) -> None:
        """A connection has ended; `was_read`: after the server had read all that was written there."""
        calls = [call for call, kept in self._kept.items() if kept.link is link]
        if was_read:
            return self._forget(calls)
        for call in calls:
            self._send_again(call, successor, now)

    def link_opened(self, link: Link, now: int) -> None:
        """A connection was opened that takes the place of all others: send on it what they may have lost."""
        for call in [*self._kept]:
            self._send_again(call, link, now)

    def precede_set_up(self, call: int, link: Link, now: int) -> bool:
        """Before an attempt of this call is sent on a connection: its release must come first, or never.

        False if the attempt has to wait: an answer to the earlier one may be on its way on this connection,
        and would be taken for that to the new one. A server answers a connection's messages in order, so none
        comes any more once the release is confirmed, or anything that was sent after the earlier set-up.
        """
        kept = self._kept.get(call)
        if kept is None:
            return True
        if kept.link is not link and not self._write(kept, link, now):
            return True  # the connection is closing, and takes no set-up either
        if kept.set_up_link is link and link.answered_until <= kept.set_up_sent_at:
            return False
        del self._kept[call]
        return True

    def is_overdue(self, link: Link, now: int) -> bool:
        """Whether a server that confirms releases has not confirmed one from this connection in time."""
        return self._server_confirms and any(
            kept.link is link and now - kept.sent_at > CONFIRM_TIMEOUT for kept in self._kept.values()
        )

    def clear(self) -> None:
        """The server's process has ended, and its calls with it."""
        self._kept.clear()

    def _send_again(self, call: int, link: Link | None, now: int) -> None:
        kept = self._kept[call]
        if kept.send_count >= MAX_SENDS:
            del self._kept[call]
            self._counters["server_releases_given_up"] += 1
            return
        self._counters["server_releases_sent_again"] += kept.send_count > 0
        if link is None or not self._write(kept, link, now):
            kept.link = None

    def _write(self, kept: KeptRelease, link: Link, now: int) -> bool:
        if not link.send(kept.release):
            return False
        kept.link, kept.sent_at, kept.send_count = link, now, kept.send_count + 1
        return True

    def _forget(self, calls: list[int]) -> None:
        for call in calls:
            del self._kept[call]
