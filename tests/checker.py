"""Records what crossed the sockets of callers and setup servers, and reports which rules were violated.

It owns the record of one run and knows the rules as the callers see them; it must never look into the
softswitch.
"""

from __future__ import annotations

import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field

RETRY_PAUSE_S = 0.2
# Callers and servers run in the process that is checked, and read their clocks only when they are scheduled.
# A rule broken by less than this is not reported; a rule broken by its full measure (sent at once, never
# answered) is.
TOLERANCE_S = 0.1
ANSWER_TOLERANCE_S = 0.5
MAX_ATTEMPTS = 5


@dataclass(slots=True)
class Attempt:
    server: str
    started_at: float
    ended_at: float | None = None
    outcome: str = ""


@dataclass(slots=True)
class CallRecord:
    sent_at: float = 0.0
    wait_s: float = 0.0
    left_at: float | None = None
    finals: list[tuple[float, str]] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)


class Checker:
    """Callers and servers record what they see; `find_violations` judges it."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.calls: defaultdict[int, CallRecord] = defaultdict(CallRecord)
        self.allowed_servers: dict[int, frozenset[str]] = {}  # by call: the servers its number table allows

    def record_set_up(self, call: int, wait_s: float) -> None:
        with self.lock:
            self.calls[call].sent_at, self.calls[call].wait_s = time.monotonic(), wait_s

    def record_final(self, call: int, kind: str) -> None:
        with self.lock:
            self.calls[call].finals.append((time.monotonic(), kind))

    def record_left(self, call: int) -> None:
        with self.lock:
            self.calls[call].left_at = time.monotonic()

    def record_attempt(self, call: int, server: str) -> None:
        with self.lock:
            self.calls[call].attempts.append(Attempt(server, time.monotonic()))

    def record_attempt_end(self, call: int, server: str, outcome: str) -> None:
        """`outcome`: stands, failed (known to have failed, or never to have run), given_up or reset."""
        with self.lock:
            for attempt in reversed(self.calls[call].attempts):
                if attempt.server == server and attempt.ended_at is None:
                    attempt.ended_at, attempt.outcome = time.monotonic(), outcome
                    return

    def find_violations(self) -> list[str]:
        with self.lock:
            return [
                f"{call:x}: {violation}"
                for call, record in self.calls.items()
                for violation in self._check(call, record)
            ]

    def _check(self, call: int, record: CallRecord) -> list[str]:
        found = []
        if len(record.finals) > 1:
            found.append(f"{len(record.finals)} final answers: {record.finals}")
        if not record.finals and record.left_at is None:
            found.append("no final answer")
        if record.finals and record.finals[0][0] > record.sent_at + record.wait_s + ANSWER_TOLERANCE_S:
            found.append(f"answered {record.finals[0][0] - record.sent_at - record.wait_s:.3f} s late")
        if len(record.attempts) > MAX_ATTEMPTS:
            found.append(f"{len(record.attempts)} attempts")
        for before, after in zip(record.attempts, record.attempts[1:], strict=False):
            if before.ended_at is None or after.started_at < before.ended_at - TOLERANCE_S:
                found.append(f"two open attempts, at {before.server} and {after.server}")
            elif (
                before.outcome in ("given_up", "reset")
                and after.started_at < before.ended_at + RETRY_PAUSE_S - TOLERANCE_S
            ):
                found.append(
                    f"sent {after.started_at - before.ended_at:.3f} s after an attempt was {before.outcome}"
                )
        allowed = self.allowed_servers.get(call)
        if allowed is not None and any(attempt.server not in allowed for attempt in record.attempts):
            found.append(f"sent to {[a.server for a in record.attempts]}, allowed were {sorted(allowed)}")
        accepted = any(kind == "stands" for _, kind in record.finals)
        if accepted and not any(attempt.outcome == "stands" for attempt in record.attempts):
            found.append("answered, but no server has accepted it")
        return found
