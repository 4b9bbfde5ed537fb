"""A new process at the address of a setup server that is gone.

The list may tell both only seconds after the change. Until then what is sent to the address reaches the new
process, under the old one's name. This file owns what passes to the new name when the list tells: connections
that were opened after the new process had started, and the attempts and calls on them. It must never pass on
what the old process had. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable

from wickstep.interface import ServerState
from wickstep.net.state import Server, log


def find_successor(gone: Server, servers: Iterable[Server]) -> Server | None:
    """The server that has the address of one that is gone, and is known to have started later."""
    candidates = [
        server
        for server in servers
        if server.address == gone.address
        and server.host != gone.host
        and server.state is not ServerState.GONE
        and server.started_at > gone.started_at
    ]
    return max(candidates, key=lambda server: server.started_at, default=None)


def pass_on(gone: Server, successor: Server) -> None:
    """Pass the present connection to the successor, with its calls, if it was opened to that process."""
    link = gone.link
    if link is None or link.opened_at <= successor.started_at:
        return
    gone.link, link.owner = None, successor
    if successor.link is None:
        successor.link, successor.linked_at = link, link.opened_at
        successor.spoken_link_opened_at = gone.spoken_link_opened_at
    else:
        successor.replaced_links.append(link)
    attempts = [attempt for attempt in gone.attempts.values() if attempt.link is link]
    for attempt in attempts:
        del gone.attempts[attempt.call.call_id]
        successor.attempts[attempt.call.call_id] = attempt
        attempt.server = successor
    log.warning(
        "server %s has the address of %s, which is gone: %d calls pass to it",
        successor.host,
        gone.host,
        len(attempts),
    )
