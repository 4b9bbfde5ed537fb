"""The stage of number analysis: between the admission of a call and its route.

This file owns the present table, the calls that wait for a look-up, and the loading of tables aside. It
runs on the loop's thread and must never block it: files are read and tables are made by a thread of their
own, and questions about portability go out by another. It must never choose a server: it hands candidates
on, and refuses only what has no route.

A call keeps the table and the instant under which it was taken in. A new table is swapped in by one
assignment, between two messages, and the old one is freed when the last call that holds it has ended.
"""

from __future__ import annotations

import logging
import time
import weakref
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Protocol

from wickstep.net import Reason, links
from wickstep.net.softswitch import MS, SECOND, AdmitStage, Call, SharedState
from wickstep.numbering import enum_dns
from wickstep.numbering.analysis import Analysis, Verdict, analyse, resolve
from wickstep.numbering.portability import Ask, LookUps, Told
from wickstep.numbering.reader import LIST_MOST, TEXT_MOST, read_table
from wickstep.numbering.table import BadTable, PortabilityPlan, Table, Trouble

log = logging.getLogger(__name__)

LOOK = 10 * MS  # how often waits for look-ups are looked at, while there are any
WALL_EVERY = SECOND  # how often the offset of the wall clock is taken anew: it may be set
TWIST = 0x9E3779B97F4A7C15  # spreads the ids of calls evenly over the draws
REFUSALS = {
    Verdict.BAD: Reason.INVALID_NUMBER,
    Verdict.UNKNOWN: Reason.UNALLOCATED,
    Verdict.BARRED: Reason.BARRED,
}


def load_table(path: Path) -> Table:
    """Read and make a table from files; raises BadTable, whatever is wrong with them."""
    try:
        with path.open("rb") as file:
            data = file.read(4 * TEXT_MOST + 1)
        text = data.decode("utf-8")
    except (OSError, UnicodeDecodeError) as trouble:
        raise BadTable([Trouble(0, f"cannot be read: {trouble}")], str(path)) from None

    def read_list(name: str) -> bytes:
        try:
            with (path.parent / name).open("rb") as file:
                return file.read(LIST_MOST + 1)
        except (OSError, ValueError) as trouble:
            raise BadTable([Trouble(0, f"{name} cannot be read: {trouble}")], str(path)) from None

    return read_table(text, read_list, str(path))


@dataclass(slots=True, frozen=True)
class Loaded:
    """What the loading thread has made, or what was wrong."""

    table: Table | None
    trouble: str = ""
    took_s: float = 0.0


class Asker(Protocol):
    def start(self) -> None: ...
    def ask(self, ask: Ask) -> None: ...
    def stop(self) -> None: ...


@dataclass(slots=True)
class Waiting:
    """A call whose look-up is out, with the table it was taken in under."""

    call: Call
    table: Table
    analysis: Analysis


class NumberStage:
    """Owns the analysis of one softswitch. All methods but the loading run on the loop's thread."""

    def __init__(self, shared: SharedState, admit: AdmitStage, path: Path, table: Table) -> None:
        self.shared, self.admit, self.path = shared, admit, path
        self.table = table
        self.alive: weakref.WeakSet[Table] = weakref.WeakSet([table])
        self.waiting: dict[int, Waiting] = {}  # by the controller's number of the call
        self.look_ups: LookUps | None = None
        self.client: Asker | None = None
        self.asked: tuple[str, str] = ("", "")  # where the client leads
        self.loading = self.load_again = False
        self.looking = False
        self.wall_at, self.wall = -WALL_EVERY, 0.0

    def start(self) -> None:
        self._portability(self.table.portability)

    # Calls.

    def analyse_call(self, call: Call) -> None:
        """Analyse an admitted call; it goes on at once, later, or not at all."""
        call.table = self.table
        found = analyse(self.table, call.set_up.number, self._wall())
        self._go(call, self.table, found)

    def call_ended(self, number: int) -> None:
        """A call is open no more: nothing is told to it, and a late answer finds nobody."""
        if self.waiting.pop(number, None) is not None and self.look_ups is not None:
            self.look_ups.gave_up(number)

    def _go(self, call: Call, table: Table, found: Analysis) -> None:
        self.shared.counters[f"numbers_{found.verdict.name.lower()}"] += 1
        if log.isEnabledFor(logging.INFO):
            log.info("%016x analysed by %s: %s", call.call_id, found.version, "; ".join(found.steps))
        match found.verdict:
            case Verdict.ROUTED:
                draw = (call.call_id * TWIST & 0xFFFFFFFFFFFFFFFF) / 2**64
                self.admit.proceed(call, found.candidates(draw))
            case Verdict.LOOK_UP if self.look_ups is not None:
                self.waiting[call.controller_id] = Waiting(call, table, found)
                now = self.shared.now
                self._do(self.look_ups.look_up(call.controller_id, found.number, now, call.deadline))
                self._look_again()
            case Verdict.LOOK_UP:
                self._go(call, table, resolve(table, found, None))
            case verdict:
                self.admit.reject_number(call, REFUSALS[verdict])

    def _do(self, done: list[Ask | Told] | list[Told]) -> None:
        for item in done:
            if isinstance(item, Ask):
                if self.client is not None:
                    self.client.ask(item)
                continue
            waiting = self.waiting.pop(item.call, None) if isinstance(item.call, int) else None
            if waiting is not None:
                found = resolve(waiting.table, waiting.analysis, item.found)
                self._go(waiting.call, waiting.table, found)

    def _look_again(self) -> None:
        if not self.looking and self.look_ups is not None and self.look_ups.questions:
            self.looking = True
            self.shared.schedule(self.shared.now + LOOK, self._look)

    def _look(self) -> None:
        self.looking = False
        if self.look_ups is not None:
            self._do(self.look_ups.due(self.shared.now))
        self._look_again()

    def _wall(self) -> float:
        """The Unix time of this turn."""
        if self.shared.now - self.wall_at >= WALL_EVERY:
            self.wall_at = self.shared.now
            self.wall = time.time() - self.shared.now / SECOND
        return self.wall + self.shared.now / SECOND

    # What threads tell.

    def handle_result(self, item: object) -> None:
        match item:
            case enum_dns.Answered(question=question, found=found) if self.look_ups is not None:
                self._do(self.look_ups.answered(question, found, self.shared.now))
            case enum_dns.Failed(question=question) if self.look_ups is not None:
                self._do(self.look_ups.failed(question, self.shared.now))
            case Loaded():
                self._loaded(item)

    # Tables.

    def reload(self) -> None:
        """Read the files again, aside. Asked while that goes on, it is done once more after it."""
        if self.loading:
            self.load_again = True
            return
        self.loading = True
        try:
            links.start_thread(partial(self._load, self.path), timeout_s=0.0)
        except RuntimeError as trouble:
            self.loading = False
            self._refused(str(trouble))

    def _load(self, path: Path) -> None:
        began = time.monotonic()
        try:
            loaded = Loaded(load_table(path), took_s=time.monotonic() - began)
        except BadTable as trouble:
            loaded = Loaded(None, str(trouble))
        except Exception as trouble:  # whatever a file brings about, the loop must hear that it is over
            log.exception("reading %s", path)
            loaded = Loaded(None, repr(trouble))
        self.shared.inbox.put(loaded)

    def _loaded(self, loaded: Loaded) -> None:
        self.loading = False
        if loaded.table is None:
            self._refused(loaded.trouble)
        else:
            old, self.table = self.table, loaded.table
            self.alive.add(loaded.table)
            self.shared.counters["number_tables_swapped"] += 1
            log.warning(
                "number table %s takes the place of %s: %s, read in %.2f s",
                loaded.table.version or "without a version", old.version or "one without",
                dict(loaded.table.sizes), loaded.took_s,
            )  # fmt: skip
            self._portability(loaded.table.portability)
        if self.load_again:
            self.load_again = False
            self.reload()

    def _refused(self, trouble: str) -> None:
        self.shared.counters["number_tables_refused"] += 1
        log.error("number table %s stays: %s", self.table.version, trouble)

    def _portability(self, plan: PortabilityPlan | None) -> None:
        """Ask where the present table says; what is known and out stays as it is."""
        where = (plan.dial, plan.suffix) if plan is not None else ("", "")
        if plan is not None:
            if self.look_ups is None:
                self.look_ups = LookUps(plan)
            else:
                self.look_ups.renew(plan)
        if where == self.asked:
            return
        if self.client is not None:
            self.client.stop()  # what is out there has failed, and says so
        self.asked = where
        self.client = None
        if plan is not None:
            self.client = enum_dns.Client(plan.dial, plan.suffix, self.shared.inbox.put)
            self.client.start()

    def counts(self) -> dict[str, int]:
        """For the line of counters."""
        found = {"number_tables_alive": len(self.alive)}
        if self.look_ups is not None:
            found |= {f"look_ups_{name}": count for name, count in self.look_ups.counts.items()}
        return found


MakeStage = Callable[[SharedState, AdmitStage], NumberStage]
