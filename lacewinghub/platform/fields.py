"""Decodes fields that several kinds of the platform's messages have."""

import math

MAX_COUNT_DIGITS = 9  # More than any number of tokens or requests has.


def count(text: str) -> int | None:
    """Decode a number of tokens or requests; None if the text is none that there could be."""
    text = text.strip()
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS):
        return None
    return int(text)


def decimal(text: str) -> float | None:
    """Decode a decimal number that is not negative; None if the text is none."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
