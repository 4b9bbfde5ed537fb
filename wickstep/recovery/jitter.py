"""Random delays of what all softswitches would otherwise do at once, after a common start or list update.

This file owns those draws. It must never do I/O or read a clock: it is given a source of random numbers and
returns how long to wait. Nothing that a caller waits for may be delayed by it.

The delays bound the load of a whole fleet: of n softswitches that start at once, n * 0.1 / LIST_JITTER_S poll
for the pool list in the same tenth of a second (14% of the fleet), and ever fewer from then on, as the hold
time of each poll is drawn too. A change that is published during the first delay is received `LIST_JITTER_S`
late at most, and never later than half of the drain grace time: where that is short, the polls of a fleet lie
closer together.
"""

from __future__ import annotations

from random import Random

LIST_JITTER_S = 0.7  # longest delay of the first poll, which is delayed only if a list is already known
# How long a poll may be held; `bulletin_connection` adds to it what an answer may take.
LIST_HOLD_MS = (1600, 2400)
DIAL_JITTER_US = 500_000  # longest delay of a connection that no set-up waits for


def draw_list_delay_s(random: Random, list_known: bool, grace_s: float) -> float:
    """Seconds before the first poll for the list; 0 if no server is known without it.

    `grace_s`: for how long a server may still be sent set-ups after it was told to drain.
    """
    return random.random() * min(LIST_JITTER_S, grace_s / 2) if list_known else 0.0


def draw_list_hold_ms(random: Random) -> int:
    """Milliseconds for which the server of the pool list may hold the next poll."""
    return random.randint(*LIST_HOLD_MS)


def draw_dial_delay_us(random: Random) -> int:
    """Microseconds before a connection that nothing waits for is made."""
    return int(random.random() * DIAL_JITTER_US)
