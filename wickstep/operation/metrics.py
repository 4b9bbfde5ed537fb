"""The metrics for operators: what is counted, under which names, and in which text format.

This file owns the name of every metric; no other file defines one. It must never do I/O. The loop's thread
writes and any thread may read: each value is an object that is replaced whole or a table of which only the
length is read, so a reader never waits for the loop and sees each value as it was a moment ago.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

PREFIX = "svc_"


class Disposition(Enum):
    """How a request ended, as its caller saw it."""

    SUCCEEDED = "succeeded"
    DECLINED = "declined"
    ABORTED = "aborted"


# By the kinds of final answer that the softswitch writes.
DISPOSITIONS: Mapping[str, Disposition] = {
    "stands": Disposition.SUCCEEDED,
    "refused": Disposition.DECLINED,  # by the controller
    "turned_away": Disposition.DECLINED,  # by the softswitch itself, full or draining
    "failed": Disposition.ABORTED,
    "no_route": Disposition.ABORTED,  # a retry would change nothing: to its caller it has failed
    "malformed": Disposition.ABORTED,
}


@dataclass(slots=True, frozen=True)
class Metric:
    name: str  # without the prefix
    description: str


RESULTS = Metric("results", "requests by class (service) and disposition: succeeded, declined, aborted")
FORWARDS = Metric("forwards", "attempts written whole to setup servers")
OUTSTANDING = Metric("outstanding", "requests taken in and not ended: waiting for an answer, or established")
DISCOVERED = Metric("discovered", "setup servers on the list")
EJECTED = Metric("ejected", "setup servers on the list that are avoided now")
JOURNAL = Metric("journal", "1 while a journal of calls is kept, 0 while it cannot be; absent where none is")
METRICS = (RESULTS, FORWARDS, OUTSTANDING, DISCOVERED, EJECTED, JOURNAL)


class ResultCounts:
    """Results of one process, from 0 at its start. A call counts once, when its final answer is written."""

    def __init__(self, classes: Sequence[str]) -> None:
        self._classes = tuple(classes)
        self._results = {
            (index, disposition): 0 for index in range(len(classes)) for disposition in Disposition
        }

    def count_result(self, klass: int, kind: str) -> None:
        """Count a final answer of this kind to a request of the class (its index in the settings).

        KeyError for a kind that no final answer has.
        """
        self._results[klass, DISPOSITIONS[kind]] += 1

    def results(self) -> Iterator[tuple[str, Disposition, int]]:
        """Class, disposition and count of every combination, in the settings' order, zeros included."""
        for (index, disposition), count in self._results.items():  # its keys never change
            yield self._classes[index], disposition, count


def format_metrics(counts: ResultCounts, values: Mapping[Metric, int]) -> str:
    """Lines of `name value`: the results first, then each metric that has a value."""
    lines = [
        f'{PREFIX}{RESULTS.name}{{service="{_escape(klass)}",disposition="{disposition.value}"}} {count}'
        for klass, disposition, count in counts.results()
    ]
    lines += [f"{PREFIX}{metric.name} {values[metric]}" for metric in METRICS if metric in values]
    return "".join(f"{line}\n" for line in lines)


def _escape(text: str) -> str:
    """Escapes a label's value for the Prometheus text format."""
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
