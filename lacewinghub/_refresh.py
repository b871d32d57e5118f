"""Decides when a node re-appends state before the records that hold it expire."""

import random

from .log import Page

# The newest full copy may be this old, as a share of the retention.
AGE_SHARE = 1 / 3
# Nodes spread their copies over this share of the retention, so that mostly one appends.
SPREAD_SHARE = 1 / 12
# After an outage of the log no time is left: readers that start need a copy at once.
URGENT_SHARE = 2 / 3
URGENT_SPREAD_S = 2.0


class RefreshTimer:
    """Spreads the copies of many nodes in time.

    Args:
        rng: Source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._due_at: float | None = None

    def due(self, page: Page, refreshed: float | None) -> bool:
        """Return True when this node should append a copy now.

        Args:
            page: The newest page of the stream.
            refreshed: Wall time of the newest copy in seconds since the epoch, or None.
        """
        age = page.time - (refreshed or 0.0)
        if age < AGE_SHARE * page.retention_s:
            self._due_at = None
            return False
        if self._due_at is None:
            spread = SPREAD_SHARE * page.retention_s
            if age > URGENT_SHARE * page.retention_s:
                spread = min(spread, URGENT_SPREAD_S)
            self._due_at = page.time + self._random.uniform(0.0, spread)
        if page.time < self._due_at:
            return False
        self._due_at = None
        return True
