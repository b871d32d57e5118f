"""Decides when a node appends a new copy of its state before older records expire."""

import random

from .log import Page

# Maximum age of the newest complete copy, as a share of the retention period.
AGE_SHARE = 1 / 3
# Nodes choose a random time within this share of the retention period, so that mostly only one
# appends a copy.
SPREAD_SHARE = 1 / 12
# A copy older than this share, as after an outage of the log, is replaced within the shorter time
# ``URGENT_SPREAD_S``, because new readers need it soon.
URGENT_SHARE = 2 / 3
URGENT_SPREAD_S = 2.0


class RefreshTimer:
    """Chooses a random time for the next copy, different from those of other nodes.

    Args:
        rng: Source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._due_at: float | None = None

    def due(self, page: Page, refreshed: float | None) -> bool:
        """Return whether this node should append a copy now.

        Args:
            page: The newest page of the stream.
            refreshed: Wall time of the newest copy, in seconds since the epoch, or None.
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
