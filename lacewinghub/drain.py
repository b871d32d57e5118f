"""Estimates how fast a queue is drained."""

import math

from .tables import MAX_TIER

WINDOW_S = 5.0  # Time constant of the decay of the rate, in busy time.
TIER_WINDOW_S = 10.0  # Time constant of the decay of the work served of each tier.
MIN_BUSY_S = 1.0  # With less busy time than this, there is no estimate without a prior.
PRIOR_S = 2.0  # Weight of the prior, as an equivalent of measured busy time.


class DrainRate:
    """Rate at which work leaves a queue while the queue is not empty.

    Only busy time counts: an empty queue says nothing about the capacity that serves it, and the
    rate of the last busy period remains the best estimate for the next one.

    Attributes:
        busy: True if the queue was not empty at the last call of ``advance``.

    Args:
        min_share: Minimum share of the rate that every tier gets.
    """

    def __init__(self, min_share: float) -> None:
        self._min_share = min_share
        self._busy_s = 0.0
        self._work = 0.0
        self._served = [0.0] * (MAX_TIER + 1)
        self._time = 0.0
        self.busy = False

    def advance(self, now: float, busy: bool) -> None:
        """Account for the time since the last call.

        Args:
            now: Loop time, in seconds.
            busy: True if the queue is not empty from now on.
        """
        elapsed = max(0.0, now - self._time)
        if self.busy:
            decay = math.exp(-elapsed / WINDOW_S)
            self._busy_s = self._busy_s * decay + elapsed
            self._work *= decay
        if elapsed:
            decay = math.exp(-elapsed / TIER_WINDOW_S)
            self._served = [work * decay for work in self._served]
        self._time = now
        self.busy = busy

    def record_served(self, tier: int, work: float) -> None:
        """Count work that left the queue; it counts for the rate only if the queue was busy."""
        self._served[tier] += work
        if self.busy:
            self._work += work

    def rate(self, tier: int, prior: float | None = None) -> float | None:
        """Return the work per second that higher tiers leave to a tier.

        Args:
            tier: The tier.
            prior: Expected work per second without any measurement, or None.

        Returns:
            Work per second; None if there is too little busy time and no prior.
        """
        if prior is not None:
            total = (self._work + prior * PRIOR_S) / (self._busy_s + PRIOR_S)
        elif self._busy_s >= MIN_BUSY_S:
            total = self._work / self._busy_s
        else:
            return None
        higher = sum(self._served[:tier]) / TIER_WINDOW_S
        return max(total - higher, self._min_share * total, 1e-9)
