"""Pauses between attempts to reach the log."""

import asyncio
import random

BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0


class Backoff:
    """Jittered pauses that double up to ``BACKOFF_MAX_S`` until an attempt succeeds.

    Args:
        rng: Source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._next_s = BACKOFF_MIN_S

    async def pause(self) -> None:
        """Wait after a failed attempt."""
        await asyncio.sleep(self._next_s * self._random.uniform(0.5, 1.0))
        self._next_s = min(BACKOFF_MAX_S, self._next_s * 2)

    def reset(self) -> None:
        """Start again with the shortest pause after a successful attempt."""
        self._next_s = BACKOFF_MIN_S
