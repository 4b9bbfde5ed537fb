"""The number analysis stage, between the admission of a call and its route.

This file owns the current table, the calls that wait for a portability look-up, and the loading of tables in
the background. It runs on the loop's thread and must never block it: files are read and tables are built by a
thread of their own, and portability queries are sent by another. It must never choose a server: it passes the
candidates on, and refuses only calls whose number has no route.

A call keeps the table and the time under which it was taken in. A new table is swapped in by one assignment,
between two messages, and the old one is freed when the last call that holds it has ended.
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
from wickstep.net.admit import AdmitStage
from wickstep.net.state import Call, SharedState
from wickstep.net.units import MS, SECOND
from wickstep.numbering import enum_dns
from wickstep.numbering.analysis import Analysis, Verdict, analyse, resolve
from wickstep.numbering.portability import LookUpResult, LookUps, QueryRequest
from wickstep.numbering.reader import MAX_LIST_BYTES, MAX_SETTINGS_CHARACTERS, read_table
from wickstep.numbering.table import Diagnostic, InvalidTable, PortabilitySettings, Table

log = logging.getLogger(__name__)

TIMEOUT_CHECK_INTERVAL = 10 * MS  # between checks for look-ups that timed out, while any are outstanding
WALL_CLOCK_INTERVAL = SECOND  # between readings of the wall clock's offset, since the clock may be set
DRAW_MULTIPLIER = 0x9E3779B97F4A7C15  # multiplicative hashing: spreads call ids evenly over the draws
REFUSAL_REASONS = {
    Verdict.BAD: Reason.INVALID_NUMBER,
    Verdict.UNKNOWN: Reason.UNALLOCATED,
    Verdict.BARRED: Reason.BARRED,
}


def load_table(path: Path) -> Table:
    """Read and build a table from its files; raises InvalidTable for any error in them."""
    try:
        with path.open("rb") as file:
            data = file.read(4 * MAX_SETTINGS_CHARACTERS + 1)
        text = data.decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidTable([Diagnostic(0, f"cannot be read: {error}")], str(path)) from None

    def read_list(name: str) -> bytes:
        try:
            with (path.parent / name).open("rb") as file:
                return file.read(MAX_LIST_BYTES + 1)
        except (OSError, ValueError) as error:
            raise InvalidTable([Diagnostic(0, f"{name} cannot be read: {error}")], str(path)) from None

    return read_table(text, read_list, str(path))


@dataclass(slots=True, frozen=True)
class TableLoaded:
    """The result of the loading thread: a table, or the error."""

    table: Table | None
    error: str = ""
    duration_s: float = 0.0


class PortabilityClient(Protocol):
    def start(self) -> None: ...
    def enqueue(self, request: QueryRequest) -> None: ...
    def stop(self) -> None: ...


@dataclass(slots=True)
class PendingCall:
    """A call whose look-up is outstanding, with the table under which it was taken in."""

    call: Call
    table: Table
    analysis: Analysis


class NumberStage:
    """Owns the number analysis of one softswitch. All methods but `_load` run on the loop's thread."""

    def __init__(self, shared: SharedState, admit: AdmitStage, path: Path, table: Table) -> None:
        self.shared, self.admit, self.path = shared, admit, path
        self.table = table
        self.live_tables: weakref.WeakSet[Table] = weakref.WeakSet([table])
        self.pending_calls: dict[int, PendingCall] = {}  # by the call's `controller_id`
        self.look_ups: LookUps | None = None
        self.client: PortabilityClient | None = None
        self.client_target: tuple[str, str] = ("", "")  # the client's address and suffix
        self.is_loading = self.must_reload = False
        self.is_check_scheduled = False
        self.offset_read_at, self.unix_offset_s = -WALL_CLOCK_INTERVAL, 0.0

    def start(self) -> None:
        self._apply_portability(self.table.portability)

    # Calls.

    def analyse_call(self, call: Call) -> None:
        """Analyse an admitted call, which then proceeds at once, waits for a look-up, or is refused."""
        call.table = self.table
        analysis = analyse(self.table, call.set_up.number, self._unix_time_s())
        self._apply_analysis(call, self.table, analysis)

    def call_ended(self, number: int) -> None:
        """Forget a call that has ended: it gets no result any more, and a late answer finds no call."""
        if self.pending_calls.pop(number, None) is not None and self.look_ups is not None:
            self.look_ups.cancel(number)

    def _apply_analysis(self, call: Call, table: Table, analysis: Analysis) -> None:
        self.shared.counters[f"numbers_{analysis.verdict.name.lower()}"] += 1
        if log.isEnabledFor(logging.INFO):
            log.info(
                "%016x analysed by table %s: %s", call.call_id, analysis.version, "; ".join(analysis.steps)
            )
        match analysis.verdict:
            case Verdict.ROUTED:
                draw = (call.call_id * DRAW_MULTIPLIER & 0xFFFFFFFFFFFFFFFF) / 2**64
                self.admit.proceed(call, analysis.candidates(draw))
            case Verdict.LOOK_UP if self.look_ups is not None:
                self.pending_calls[call.controller_id] = PendingCall(call, table, analysis)
                now = self.shared.now
                self._process(self.look_ups.look_up(call.controller_id, analysis.number, now, call.deadline))
                self._schedule_timeout_check()
            case Verdict.LOOK_UP:
                self._apply_analysis(call, table, resolve(table, analysis, None))
            case verdict:
                self.admit.reject_number(call, REFUSAL_REASONS[verdict])

    def _process(self, outcomes: list[QueryRequest | LookUpResult] | list[LookUpResult]) -> None:
        for outcome in outcomes:
            if isinstance(outcome, QueryRequest):
                if self.client is not None:
                    self.client.enqueue(outcome)
                continue
            pending = self.pending_calls.pop(outcome.call, None) if isinstance(outcome.call, int) else None
            if pending is not None:
                analysis = resolve(pending.table, pending.analysis, outcome.result)
                self._apply_analysis(pending.call, pending.table, analysis)

    def _schedule_timeout_check(self) -> None:
        if not self.is_check_scheduled and self.look_ups is not None and self.look_ups.queries:
            self.is_check_scheduled = True
            self.shared.schedule(self.shared.now + TIMEOUT_CHECK_INTERVAL, self._check_timeouts)

    def _check_timeouts(self) -> None:
        self.is_check_scheduled = False
        if self.look_ups is not None:
            self._process(self.look_ups.expire(self.shared.now))
        self._schedule_timeout_check()

    def _unix_time_s(self) -> float:
        """The Unix time of this turn of the loop."""
        if self.shared.now - self.offset_read_at >= WALL_CLOCK_INTERVAL:
            self.offset_read_at = self.shared.now
            self.unix_offset_s = time.time() - self.shared.now / SECOND
        return self.unix_offset_s + self.shared.now / SECOND

    # Results from other threads.

    def handle_result(self, item: object) -> None:
        match item:
            case enum_dns.QueryAnswered(query_id=query_id, result=result) if self.look_ups is not None:
                self._process(self.look_ups.handle_answer(query_id, result, self.shared.now))
            case enum_dns.QueryFailed(query_id=query_id) if self.look_ups is not None:
                self._process(self.look_ups.handle_failure(query_id, self.shared.now))
            case TableLoaded():
                self._finish_loading(item)

    # Tables.

    def reload(self) -> None:
        """Read the files again, in the background; a request during a load causes one more load after it."""
        if self.is_loading:
            self.must_reload = True
            return
        self.is_loading = True
        try:
            links.start_thread(partial(self._load, self.path), timeout_s=0.0)
        except RuntimeError as error:
            self.is_loading = False
            self._refuse_table(str(error))

    def _load(self, path: Path) -> None:
        began = time.monotonic()
        try:
            loaded = TableLoaded(load_table(path), duration_s=time.monotonic() - began)
        except InvalidTable as error:
            loaded = TableLoaded(None, str(error))
        except Exception as error:  # whatever the files cause, the loop must learn that the load has ended
            log.exception("unexpected error while loading the number table %s", path)
            loaded = TableLoaded(None, repr(error))
        self.shared.inbox.put(loaded)

    def _finish_loading(self, loaded: TableLoaded) -> None:
        self.is_loading = False
        if loaded.table is None:
            self._refuse_table(loaded.error)
        else:
            old, self.table = self.table, loaded.table
            self.live_tables.add(loaded.table)
            self.shared.counters["number_tables_swapped"] += 1
            log.warning(
                "number table %s replaces %s: sizes %s, loaded in %.2f s",
                loaded.table.version or "(no version)", old.version or "(no version)",
                dict(loaded.table.sizes), loaded.duration_s,
            )  # fmt: skip
            self._apply_portability(loaded.table.portability)
        if self.must_reload:
            self.must_reload = False
            self.reload()

    def _refuse_table(self, error: str) -> None:
        self.shared.counters["number_tables_refused"] += 1
        log.error("new number table refused, version %s stays in use: %s", self.table.version, error)

    def _apply_portability(self, settings: PortabilitySettings | None) -> None:
        """Follow the current table's settings; the cache and, on the same server, open queries are kept."""
        target = (settings.dial, settings.suffix) if settings is not None else ("", "")
        if settings is not None:
            if self.look_ups is None:
                self.look_ups = LookUps(settings)
            else:
                self.look_ups.change_settings(settings)
        if target == self.client_target:
            return
        if self.client is not None:
            self.client.stop()  # its outstanding queries fail, each with a `QueryFailed`
        self.client_target = target
        self.client = None
        if settings is not None:
            self.client = enum_dns.Client(settings.dial, settings.suffix, self.shared.inbox.put)
            self.client.start()

    def counts(self) -> dict[str, int]:
        """The counters that this stage adds to the softswitch's."""
        figures = {"number_tables_alive": len(self.live_tables)}
        if self.look_ups is not None:
            figures |= {f"look_ups_{name}": count for name, count in self.look_ups.counters.items()}
        return figures


NumberStageFactory = Callable[[SharedState, AdmitStage], NumberStage]
