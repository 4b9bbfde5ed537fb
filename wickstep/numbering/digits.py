"""Digit strings: validation, the 64-bit encoding of a number, and normalisation of what was dialled.

This file owns how numbers are written: the encoding by which the prefix index sorts, and the forms in which
one and the same number may be dialled. It must never look a number up, and never raise anything but
`InvalidNumber` for what a caller has dialled.

The normal form of a number is E.164 (country code first, no plus sign). Numbers whose form the dial plan does
not know stay as dialled: short codes, and the private numbers of 16 hexadecimal digits.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_DIGITS = 16  # E.164 allows 15, private numbers of the platform have 16
ALPHABET = "0123456789abcdef"
VISUAL_SEPARATORS = str.maketrans("", "", " -.()")  # those of RFC 3966, and the space that people write
MAX_DIALLED_CHARACTERS = 64  # before the separators are removed
_match_digits = re.compile(f"[{ALPHABET}]{{1,{MAX_DIGITS}}}").fullmatch


class InvalidNumber(ValueError):
    """The dialled text is not a valid number."""


def encode(digits: str) -> int:
    """The digits as a 64-bit code, left-aligned: codes sort as the digit strings do."""
    return int(digits, 16) << 4 * (MAX_DIGITS - len(digits)) if digits else 0


def decode(code: int, length: int) -> str:
    """The first `length` digits of a code; the inverse of `encode`."""
    return f"{code:016x}"[:length]


def check(digits: str) -> str:
    """Return the digits unchanged; raises InvalidNumber if there are none, too many, or other characters."""
    if _match_digits(digits):
        return digits
    if not digits:
        raise InvalidNumber("no digits")
    if len(digits) > MAX_DIGITS:
        raise InvalidNumber(f"{len(digits)} digits, at most {MAX_DIGITS} are allowed")
    raise InvalidNumber("only the digits 0 to 9 and a to f are allowed")


@dataclass(slots=True, frozen=True)
class DialPlan:
    """How numbers are dialled here. An empty prefix means that the form does not exist."""

    country: str = ""  # country code of national numbers
    international: str = ""  # international prefix, dialled before a country code, such as 00
    national: str = ""  # trunk prefix, dialled before a national number, such as 0
    max_short_code_digits: int = 0  # a number of no other form with at most this many digits is a short code
    area: str = ""  # put before local numbers, those of no other form; if empty they stay as dialled

    def normalise(self, dialled: str) -> str:
        """The normal form of a dialled number.

        The first form that fits counts, in this order: a plus sign, a private number (16 digits, or any digit
        that is not decimal), the international prefix, the national prefix, a short code, a local number.
        """
        if len(dialled) > MAX_DIALLED_CHARACTERS:
            raise InvalidNumber(f"{len(dialled)} characters, at most {MAX_DIALLED_CHARACTERS} are allowed")
        digits = dialled.translate(VISUAL_SEPARATORS).lower()
        if digits.startswith("+"):
            return self._check_decimal(digits[1:])
        check(digits)
        if len(digits) == MAX_DIGITS or not digits.isdecimal():
            return digits
        if self.international and digits.startswith(self.international):
            return self._check_decimal(digits[len(self.international) :])
        if self.national and digits.startswith(self.national) and self.country:
            return check(self.country + self._check_decimal(digits[len(self.national) :]))
        if len(digits) <= self.max_short_code_digits or not self.area:
            return digits
        return check(self.country + self.area + digits)

    def _check_decimal(self, digits: str) -> str:
        if not check(digits).isdecimal():
            raise InvalidNumber("a public number has decimal digits only")
        return digits
