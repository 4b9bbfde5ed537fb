"""Digits: what a dialled number is made of, and its normal form.

This file owns how numbers are written: the codes the index sorts by, and the forms in which one and the same
number is dialled. It must never look a number up, and never raise anything but `BadNumber` for what a caller
has dialled.

A normal number is in E.164 form (country code first, no sign) or, where the plan does not know its form, as
it was dialled: short codes and the private numbers of 16 hexadecimal digits stay as they are.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST = 16  # digits; E.164 allows 15, private numbers of the platform have 16
ALPHABET = "0123456789abcdef"
VISUAL = str.maketrans("", "", " -.()")  # RFC 3966's visual separators, and the blank that people write
WRITTEN_MOST = 64  # characters before the separators are taken out
_WHOLE = re.compile(f"[{ALPHABET}]{{1,{MOST}}}").fullmatch


class BadNumber(ValueError):
    """What was dialled is no number."""


def code(digits: str) -> int:
    """The digits as a number of 64 bits, the first digit highest: so numbers sort as their digits do."""
    return int(digits, 16) << 4 * (MOST - len(digits)) if digits else 0


def digits_of(value: int, length: int) -> str:
    """The way back."""
    return f"{value:016x}"[:length]


def check(digits: str) -> str:
    """The same digits; raises BadNumber for none, too many, or what is none of them."""
    if _WHOLE(digits):
        return digits
    if not digits:
        raise BadNumber("empty")
    if len(digits) > MOST:
        raise BadNumber(f"{len(digits)} digits, {MOST} at most")
    raise BadNumber("not all digits")


@dataclass(slots=True, frozen=True)
class Plan:
    """How numbers are dialled here. An empty prefix means that the form does not exist."""

    country: str = ""  # the country code of national numbers
    international: str = ""  # dialled before a country code: 00
    national: str = ""  # dialled before a national number: 0, the trunk prefix
    short_most: int = 0  # so many digits or fewer, in no other form, are a short code of their own
    area: str = ""  # put before local numbers, those in no other form; empty: they stay as they are

    def normal(self, dialled: str) -> str:
        """The normal form of what was dialled.

        Tried in this order, the first that fits counts: a plus sign, a private number (16 digits, or any
        digit that is no decimal one), the international prefix, the national prefix, a short code, a local
        number.
        """
        if len(dialled) > WRITTEN_MOST:
            raise BadNumber(f"{len(dialled)} characters, {WRITTEN_MOST} at most")
        bare = dialled.translate(VISUAL).lower()
        if bare.startswith("+"):
            return self._decimal(bare[1:])
        check(bare)
        if len(bare) == MOST or not bare.isdecimal():
            return bare
        if self.international and bare.startswith(self.international):
            return self._decimal(bare[len(self.international) :])
        if self.national and bare.startswith(self.national) and self.country:
            return check(self.country + self._decimal(bare[len(self.national) :]))
        if len(bare) <= self.short_most or not self.area:
            return bare
        return check(self.country + self.area + bare)

    def _decimal(self, digits: str) -> str:
        if not check(digits).isdecimal():
            raise BadNumber("letters in a public number")
        return digits
