"""The figures: what is counted for operators, under which names, and how it is written.

This file owns every name an operator may read; there is none anywhere else. It must never do I/O. The loop's
thread writes, any thread may read: each value is one object that is replaced or a table whose length is
asked, so a reader never waits for the loop and sees each value as it was a moment ago.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

PREFIX = "svc_"


class Disposition(Enum):
    """How a request was disposed of, as its caller saw it."""

    SUCCEEDED = "succeeded"
    DECLINED = "declined"
    ABORTED = "aborted"


# By the kinds of final answer that the softswitch writes.
DISPOSITIONS: Mapping[str, Disposition] = {
    "stands": Disposition.SUCCEEDED,
    "refused": Disposition.DECLINED,  # by the controller
    "turned_away": Disposition.DECLINED,  # by the softswitch itself, full or on its way out
    "failed": Disposition.ABORTED,
    "no_route": Disposition.ABORTED,  # trying again would change nothing: to its caller it has failed
    "malformed": Disposition.ABORTED,
}


@dataclass(slots=True, frozen=True)
class Figure:
    """One figure: its name without the prefix, and what it means in a line."""

    name: str
    meaning: str


RESULTS = Figure("results", "requests by class (service) and disposition: succeeded, declined, aborted")
FORWARDS = Figure("forwards", "attempts written whole to setup servers")
OUTSTANDING = Figure("outstanding", "requests taken that are not ended: their answer is owed, or they stand")
DISCOVERED = Figure("discovered", "setup servers on the list")
EJECTED = Figure("ejected", "setup servers on the list that are avoided now")
JOURNAL = Figure("journal", "1 while a journal of calls is kept, 0 while it cannot be; absent where none is")
FIGURES = (RESULTS, FORWARDS, OUTSTANDING, DISCOVERED, EJECTED, JOURNAL)


class ResultCounts:
    """Counts of one process, from 0 at its start. One call counts once, where its final answer is written."""

    def __init__(self, classes: Sequence[str]) -> None:
        self._classes = tuple(classes)
        self._results = {(place, what): 0 for place in range(len(classes)) for what in Disposition}

    def count_result(self, klass: int, kind: str) -> None:
        """A request of the class (its place in the settings) has had its final answer of this kind.

        KeyError for a kind that no final answer has.
        """
        self._results[klass, DISPOSITIONS[kind]] += 1

    def results(self) -> Iterator[tuple[str, Disposition, int]]:
        """Class, disposition and count, in the settings' order; all that there can be, at 0 too."""
        for (place, what), count in self._results.items():  # its keys never change
            yield self._classes[place], what, count


def format_metrics(tally: ResultCounts, values: Mapping[Figure, int]) -> str:
    """The figures as lines `name value`, each ended; those with a value, after the results."""
    lines = [
        f'{PREFIX}{RESULTS.name}{{service="{_quoted(klass)}",disposition="{what.value}"}} {count}'
        for klass, what, count in tally.results()
    ]
    lines += [f"{PREFIX}{figure.name} {values[figure]}" for figure in FIGURES if figure in values]
    return "".join(f"{line}\n" for line in lines)


def _quoted(text: str) -> str:
    """A label's value, as the text format of metrics has it."""
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
