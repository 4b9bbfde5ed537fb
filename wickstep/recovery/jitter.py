"""When a start, or any news that all hear at once, is followed by what each does harmlessly alone.

This file owns those draws. It must never do I/O or read a clock: it is handed a source of random numbers,
and says how long to wait. Nothing that a caller waits for is ever delayed by it.

The sum over a fleet is bounded by spreading: of n that begin in one instant, n * 0.1 / LIST_JITTER_S call
for the list in the same tenth of a second, 14 in a hundred, and from then on ever fewer do, since each
call is held for a drawn time. A change that is told meanwhile is heard `LIST_JITTER_S` later at most, and
within half the time that the settings leave for it: where that is short, a fleet calls closer together.
"""

from __future__ import annotations

from random import Random

LIST_JITTER_S = 0.7  # of the first call for the list, where there is a list from the start
LIST_HOLD_MS = (1600, 2400)  # how long the bulletin may hold a call; a dead one is noticed a second later
DIAL_JITTER_US = 500_000  # of connections to servers that no set-up waits for


def draw_list_delay_s(random: Random, list_known: bool, grace_s: float) -> float:
    """Seconds before the first call for the list; none where nothing is known without it.

    `grace_s`: for so long after a server was told to go may it still be sent to.
    """
    return random.random() * min(LIST_JITTER_S, grace_s / 2) if list_known else 0.0


def draw_list_hold_ms(random: Random) -> int:
    """Milliseconds that the bulletin may hold the next call."""
    return random.randint(*LIST_HOLD_MS)


def draw_dial_delay_us(random: Random) -> int:
    """Microseconds before a connection that nothing waits for is made."""
    return int(random.random() * DIAL_JITTER_US)
