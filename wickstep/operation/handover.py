"""What an old process leaves to its successor: calls that stand, and releases that found no caller.

This file owns that record, and the successor's table of such calls. It must never do I/O or read a clock; the
table is bounded, and an entry leaves it with the call's release, with its server's process, or in time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from wickstep.net import Reason

MAX_CALLS = 5000
MAX_RELEASES = 1000
MAX_AGE = 3600 * 1_000_000  # microseconds; whoever speaks for longer hangs up without help
ID_MOST = 2**64


class InvalidHandover(ValueError):
    """A record that does not make sense."""


def encode(standing: Mapping[int, str], releases: Iterable[tuple[int, Reason]]) -> dict[str, Any]:
    """As JSON has it: the latest calls that stand, with their servers' hosts, and the latest releases."""
    return {
        "standing": [[f"{call:x}", host] for call, host in [*standing.items()][-MAX_CALLS:]],
        "releases": [[f"{call:x}", reason.value] for call, reason in [*releases][-MAX_RELEASES:]],
    }


def decode(content: Any) -> tuple[dict[int, str], list[tuple[int, Reason]]]:
    """What was written, within the same bounds; raises InvalidHandover."""
    try:
        standing = {_call(call): _host(host) for call, host in content["standing"][:MAX_CALLS]}
        releases = [(_call(call), Reason(why)) for call, why in content["releases"][:MAX_RELEASES]]
    except (LookupError, TypeError, ValueError) as trouble:
        raise InvalidHandover(f"no record: {trouble}") from trouble
    return standing, releases


def _call(text: Any) -> int:
    call = int(text, 16)
    if not 0 < call < ID_MOST:
        raise ValueError(f"{text!r} is no call")
    return call


def _host(host: Any) -> str:
    if not isinstance(host, str):
        raise ValueError(f"{host!r} is no host")
    return host


class InheritedCalls:
    """Calls that stood in an earlier process when it ended, by their ids."""

    def __init__(self) -> None:
        self._calls: OrderedDict[int, tuple[str, int]] = OrderedDict()  # its server, and since when
        self.on_taken: Callable[[int], None] = lambda call: None  # it is none of them any more

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call: int) -> bool:
        return call in self._calls

    def add(self, standing: Mapping[int, str], now: int) -> None:
        for call, host in standing.items():
            self._calls[call] = (host, now)
        while self._calls:
            first = next(iter(self._calls))
            if len(self._calls) <= MAX_CALLS and now - self._calls[first][1] <= MAX_AGE:
                break
            del self._calls[first]

    def take(self, call: int) -> str | None:
        """Its server's host, if this is one of them; it is none any more then."""
        host = self._calls.pop(call, ("", 0))[0] or None
        if host is not None:
            self.on_taken(call)
        return host

    def take_by_host(self, host: str) -> list[int]:
        """All that stood at a server; they are none any more."""
        calls = [call for call, (at, _) in self._calls.items() if at == host]
        for call in calls:
            self.take(call)
        return calls
