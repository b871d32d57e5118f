"""Estimates how fast a queue is emptied."""

import math

from .tables import MAX_TIER

WINDOW_S = 5.0  # Busy time over which the rate is averaged.
MIX_WINDOW_S = 10.0  # Time over which the work taken by each tier is averaged.
MIN_BUSY_S = 1.0  # With less queueing than this and no prior, nothing is predicted.
PRIOR_S = 2.0  # Weight of the prior against measured busy time.


class DrainRate:
    """Rate at which work leaves a queue while it holds something.

    Only busy time counts: an idle queue says nothing about the capacity behind it, and the rate of
    the last busy period remains the best estimate for the next one.

    Attributes:
        busy: True if the queue held something at the last call of ``advance``.

    Args:
        min_share: Share of the rate that every tier is sure of.
    """

    def __init__(self, min_share: float) -> None:
        self._min_share = min_share
        self._busy_s = 0.0
        self._work = 0.0
        self._taken = [0.0] * (MAX_TIER + 1)
        self._time = 0.0
        self.busy = False

    def advance(self, now: float, busy: bool) -> None:
        """Account for the time since the last call.

        Args:
            now: Loop time, in seconds.
            busy: True if the queue holds something from now on.
        """
        elapsed = max(0.0, now - self._time)
        if self.busy:
            fade = math.exp(-elapsed / WINDOW_S)
            self._busy_s = self._busy_s * fade + elapsed
            self._work *= fade
        if elapsed:
            fade = math.exp(-elapsed / MIX_WINDOW_S)
            self._taken = [work * fade for work in self._taken]
        self._time = now
        self.busy = busy

    def served(self, tier: int, work: float) -> None:
        """Count work that left the queue; it tells the rate only if the queue was busy."""
        self._taken[tier] += work
        if self.busy:
            self._work += work

    def rate(self, tier: int, prior: float | None = None) -> float | None:
        """Return the work per second that is left to a tier by the higher ones.

        Args:
            tier: The tier.
            prior: Work per second expected without measurement, or None.

        Returns:
            None without enough busy time and without a prior.
        """
        if prior is not None:
            total = (self._work + prior * PRIOR_S) / (self._busy_s + PRIOR_S)
        elif self._busy_s >= MIN_BUSY_S:
            total = self._work / self._busy_s
        else:
            return None
        higher = sum(self._taken[:tier]) / MIX_WINDOW_S
        return max(total - higher, self._min_share * total, 1e-9)
