"""What the loop notes of each call, for a journal to keep; where none is kept, nothing is done with it.

This file owns those words and loads nothing: most processes keep no journal.
"""

from __future__ import annotations


class CallRecorder:
    """Takes notes and forgets them. All times are those of the loop's clock."""

    is_kept: bool | None = None  # whether a journal is kept: None if none is wanted, False where it can't be

    def call_taken(self, call: int) -> None:
        """A set-up has become a call."""

    def attempt_sent(self, call: int, attempt: int, host: str, born_ms: int) -> None:
        """An attempt is about to go out; `attempt` counts from 0, `born_ms` is its server's start."""

    def attempt_over(self, call: int) -> None:
        """The attempt that was out has ended, and the call has not; or what stood is over, and its caller is
        told."""

    def call_stands(self, call: int) -> None:
        """The call stands; its caller has not been told yet."""

    def call_ended(self, call: int) -> None:
        """It has its final answer and does not stand; or its caller has ended it, or confirmed its end."""

    def end_turn(self, now: int) -> None:
        """The loop has turned."""
