"""A memory of call ids in fixed space: which calls this process has ended, long after their records are gone.

This file owns that memory. It must never report an id that was not added.
"""

from __future__ import annotations

from array import array

WAYS = 16  # ids in each set
BYTES_PER_ID = 8


class CallIdCache:
    """A set-associative cache of 64-bit ids: an id belongs to one set, whose oldest id makes room for it.

    The ids are kept exactly, so that none is mistaken for another; one that was displaced is not found any
    more. Space is taken at the start and does not grow: `BYTES_PER_ID` for each id of the capacity.
    """

    def __init__(self, capacity: int) -> None:
        """`capacity` is the number of ids, rounded down to whole sets, of which there is at least one."""
        self._set_count = max(capacity // WAYS, 1)
        self._ids = array("Q", bytes(BYTES_PER_ID * WAYS * self._set_count))  # 0: free
        self._oldest = bytearray(self._set_count)  # by set: the place that is written next

    def add(self, call_id: int) -> None:
        """Remember an id, which must not be 0."""
        if call_id in self:
            return
        number = call_id % self._set_count
        place = self._oldest[number]
        self._ids[number * WAYS + place] = call_id
        self._oldest[number] = (place + 1) % WAYS

    def __contains__(self, call_id: int) -> bool:
        start = call_id % self._set_count * WAYS
        return call_id != 0 and call_id in self._ids[start : start + WAYS]
