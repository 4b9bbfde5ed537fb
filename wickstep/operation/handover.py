"""What an ending process hands over to its successor: established calls, and releases not yet delivered.

This file owns that record, and the successor's table of inherited calls. It must never do I/O or read a
clock. An entry of the table is removed with the call's release or when its server's process ends, however
long that takes; the table is bounded by number.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from wickstep.net import Reason

MAX_CALLS = 5000  # in a record
MAX_INHERITED_CALLS = 20_000  # in the table: as many as a journal of calls holds
MAX_RELEASES = 1000  # in each direction
MAX_HOSTS = 5000
CALL_ID_LIMIT = 2**64


class InvalidHandover(ValueError):
    """A handover record that cannot be used."""


@dataclass(slots=True, frozen=True)
class Handover:
    """What an ending process leaves to its successor."""

    standing: Mapping[int, str]  # established calls, with their servers' hosts
    releases: Sequence[tuple[int, Reason]] = ()  # not yet delivered to callers
    # Servers that may take a connection of the ending process for open, by host.
    hosts_with_lost_links: Sequence[str] = ()
    # Releases that a server may not have received, with its host.
    server_releases: Sequence[tuple[int, Reason, str]] = ()


def encode(record: Handover) -> dict[str, Any]:
    """A record for JSON: the latest of all that is handed over, within the bounds."""
    return {
        "standing": [[f"{call:x}", host] for call, host in [*record.standing.items()][-MAX_CALLS:]],
        "releases": [[f"{call:x}", reason.value] for call, reason in record.releases[-MAX_RELEASES:]],
        "lost_links": [*record.hosts_with_lost_links[-MAX_HOSTS:]],
        "server_releases": [
            [f"{call:x}", reason.value, host] for call, reason, host in record.server_releases[-MAX_RELEASES:]
        ],
    }


def decode(content: Any) -> Handover:
    """The record, within the same bounds; raises InvalidHandover. An earlier version tells less."""
    try:
        return Handover(
            {_parse_call_id(call): _check_host(host) for call, host in content["standing"][:MAX_CALLS]},
            [(_parse_call_id(call), Reason(reason)) for call, reason in content["releases"][:MAX_RELEASES]],
            [_check_host(host) for host in content.get("lost_links", ())[:MAX_HOSTS]],
            [
                (_parse_call_id(call), Reason(reason), _check_host(host))
                for call, reason, host in content.get("server_releases", ())[:MAX_RELEASES]
            ],
        )
    except (AttributeError, LookupError, TypeError, ValueError) as error:
        raise InvalidHandover(f"invalid handover record: {error}") from error


def _parse_call_id(text: Any) -> int:
    call = int(text, 16)
    if not 0 < call < CALL_ID_LIMIT:
        raise ValueError(f"call id {text!r} is not between 1 and 2**64 - 1")
    return call


def _check_host(host: Any) -> str:
    if not isinstance(host, str):
        raise ValueError(f"host {host!r} is not a string")
    return host


class InheritedCalls:
    """Calls that were established in an earlier process when it ended, by their ids."""

    def __init__(self) -> None:
        self._calls: OrderedDict[int, str] = OrderedDict()  # the server's host, by call; the oldest first
        self._counts: Counter[str] = Counter()  # calls by the server's host
        self.on_taken: Callable[[int], None] = lambda call: None  # the call was removed by `take`

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call: int) -> bool:
        return call in self._calls

    def add(self, standing: Mapping[int, str]) -> int:
        """Add calls by their servers' hosts; how many of the oldest were forgotten for want of room."""
        for call, host in standing.items():
            self._counts[host] += 1
            if call in self._calls:
                self._count_down(self._calls[call])
            self._calls[call] = host
        excess = max(len(self._calls) - MAX_INHERITED_CALLS, 0)
        for _ in range(excess):
            self._count_down(self._calls.popitem(last=False)[1])
        return excess

    def count_at(self, host: str) -> int:
        """How many of the calls are established at a server."""
        return self._counts[host]

    def hosts_by_call(self) -> dict[int, str]:
        return dict(self._calls)

    def take(self, call: int) -> str | None:
        """Remove a call; its server's host, or None if it is not in the table."""
        host = self._calls.pop(call, None)
        if host is not None:
            self._count_down(host)
            self.on_taken(call)
        return host

    def take_by_host(self, host: str) -> list[int]:
        """Remove all calls that are established at a server."""
        calls = [call for call, call_host in self._calls.items() if call_host == host]
        for call in calls:
            self.take(call)
        return calls

    def _count_down(self, host: str) -> None:
        self._counts[host] -= 1
        if not self._counts[host]:
            del self._counts[host]
