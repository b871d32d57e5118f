"""Estimates how fast a queue is emptied."""

import math

from .tables import MAX_TIER

WINDOW_S = 5.0  # Busy time over which the rate is averaged.
MIN_BUSY_S = 1.0  # With less queueing than this, nothing is predicted.


class DrainRate:
    """Rate at which work leaves a queue while it holds something.

    Only busy time counts: an idle queue says nothing about the capacity behind it, and the rate of
    the last busy period remains the best estimate for the next one.

    Attributes:
        busy: True if the queue held something at the last call.

    Args:
        min_share: Share of the rate that every tier is sure of.
    """

    def __init__(self, min_share: float) -> None:
        self._min_share = min_share
        self._busy_s = 0.0
        self._work = [0.0] * (MAX_TIER + 1)
        self._time = 0.0
        self.busy = False

    def advance(self, now: float, busy: bool) -> None:
        """Account for the time since the last call.

        Args:
            now: Loop time, in seconds.
            busy: True if the queue holds something from now on.
        """
        if self.busy:
            elapsed = max(0.0, now - self._time)
            fade = math.exp(-elapsed / WINDOW_S)
            self._busy_s = self._busy_s * fade + elapsed
            self._work = [work * fade for work in self._work]
        self._time = now
        self.busy = busy

    def served(self, tier: int, work: float) -> None:
        """Count work that left a busy queue; work that did not have to wait says nothing."""
        if self.busy:
            self._work[tier] += work

    def rate(self, tier: int) -> float | None:
        """Return the work per second that is left to a tier by the higher ones.

        Returns:
            None without enough busy time.
        """
        if self._busy_s < MIN_BUSY_S:
            return None
        total = sum(self._work)
        left = max(total - sum(self._work[:tier]), self._min_share * total)
        return max(left / self._busy_s, 1e-9)
