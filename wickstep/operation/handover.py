"""What an ending process hands over to its successor: established calls, and releases not yet delivered.

This file owns that record, and the successor's table of inherited calls. It must never do I/O or read a
clock. An entry of the table is removed with the call's release or when its server's process ends, however
long that takes; the table is bounded by number.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from wickstep.net import Reason

MAX_CALLS = 5000  # in a record
MAX_INHERITED_CALLS = 20_000  # in the table: as many as a journal of calls holds
MAX_RELEASES = 1000
CALL_ID_LIMIT = 2**64


class InvalidHandover(ValueError):
    """A handover record that cannot be used."""


def encode(standing: Mapping[int, str], releases: Iterable[tuple[int, Reason]]) -> dict[str, Any]:
    """A record for JSON: the latest established calls with their servers' hosts, and the latest releases."""
    return {
        "standing": [[f"{call:x}", host] for call, host in [*standing.items()][-MAX_CALLS:]],
        "releases": [[f"{call:x}", reason.value] for call, reason in [*releases][-MAX_RELEASES:]],
    }


def decode(content: Any) -> tuple[dict[int, str], list[tuple[int, Reason]]]:
    """The calls and releases of a record, within the same bounds; raises InvalidHandover."""
    try:
        standing = {_parse_call_id(call): _check_host(host) for call, host in content["standing"][:MAX_CALLS]}
        releases = [
            (_parse_call_id(call), Reason(reason)) for call, reason in content["releases"][:MAX_RELEASES]
        ]
    except (LookupError, TypeError, ValueError) as error:
        raise InvalidHandover(f"invalid handover record: {error}") from error
    return standing, releases


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
