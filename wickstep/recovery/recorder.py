"""Interface through which the loop reports the progress of calls to a journal; the default does nothing.

This file owns that interface. It must never import the journal: most processes keep none.
"""

from __future__ import annotations


class CallRecorder:
    """Discards all events. All times are of the loop's clock."""

    is_kept: bool | None = None  # None: no journal is configured; False: it cannot be written at present

    def call_taken(self, call: int) -> None:
        """A set-up has been taken in as a call."""

    def attempt_sent(self, call: int, attempt: int, host: str, born_ms: int) -> None:
        """An attempt is about to be sent; `attempt` counts from 0, `born_ms` is the start of its server."""

    def attempt_over(self, call: int) -> None:
        """The attempt in flight has ended, but not the call; or a standing call is over, and its caller is
        notified next."""

    def call_stands(self, call: int) -> None:
        """The call stands; its caller has not been notified yet."""

    def call_ended(self, call: int) -> None:
        """The call has its final answer and does not stand; or its caller ended it or confirmed its end."""

    def end_turn(self, now: int) -> None:
        """A turn of the loop is complete."""
