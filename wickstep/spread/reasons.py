"""Why a set-up was sent to the server that it was sent to, as written to the trace of a fleet.

This file owns these values. It must never decide anything: the controller has chosen, this only classifies.
"""

from __future__ import annotations

from enum import Enum

from wickstep.brain import SUSPECT_AFTER


class SendReason(Enum):
    FIRST = "first"  # first attempt, sent to the call's first choice
    TURNED = "turned"  # first attempt, sent elsewhere: the first choice was overloaded, marked or full
    RETRY = "retry"  # an earlier attempt of the call has failed
    TRIAL = "trial"  # trial of a server that has failed repeatedly


def classify_send(attempt: int, first_choice: int, number: int, failures: int) -> SendReason:
    """`attempt` counts from 0; `first_choice` is the number of the preferred server, `number` that of the
    chosen server, which has failed `failures` times in a row."""
    if failures >= SUSPECT_AFTER:
        return SendReason.TRIAL
    if attempt > 0:
        return SendReason.RETRY
    return SendReason.FIRST if first_choice == number else SendReason.TURNED
