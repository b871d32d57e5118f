"""Decodes fields that several kinds of the platform's messages have."""

import math


def decimal(text: str) -> float | None:
    """Decode a decimal number that is not negative; None if the text is none."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
