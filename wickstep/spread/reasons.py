"""Why a set-up goes to the server it goes to, as the trace of a fleet tells it.

This file owns those words. It must never decide anything: the controller has, and this says what it was.
"""

from __future__ import annotations

from enum import Enum

from wickstep.brain import SUSPECT_AFTER


class SendReason(Enum):
    FIRST = "first"  # the call's first choice, in its first attempt
    TURNED = "turned"  # in its first attempt elsewhere: its first choice was pressed, marked or full
    RETRY = "retry"  # an attempt has failed before
    TRIAL = "trial"  # of a server that keeps failing


def classify_send(attempt: int, wanted: int, number: int, fails: int) -> SendReason:
    """`attempt` counts from 0; `wanted` is the number of the first choice, `number` that of the server, which
    has failed `fails` times in a row so far."""
    if fails >= SUSPECT_AFTER:
        return SendReason.TRIAL
    if attempt > 0:
        return SendReason.RETRY
    return SendReason.FIRST if wanted == number else SendReason.TURNED
