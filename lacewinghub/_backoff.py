"""Exponential backoff between attempts to reach the platform or a peer."""

import asyncio
import random

BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0


class Backoff:
    """Exponential backoff with jitter: the pause doubles up to a limit until an attempt succeeds.

    Args:
        rng: Source of the jitter.
        first_s: First pause without jitter, in seconds.
        limit_s: Longest pause without jitter, in seconds.
        jitter: Smallest and largest random factor of a pause.
    """

    def __init__(
        self,
        rng: random.Random,
        first_s: float = BACKOFF_MIN_S,
        limit_s: float = BACKOFF_MAX_S,
        jitter: tuple[float, float] = (0.5, 1.0),
    ) -> None:
        self._random = rng
        self._first_s = first_s
        self._limit_s = limit_s
        self._jitter = jitter
        self._next_s = first_s

    async def pause(self) -> None:
        """Wait after a failed attempt."""
        await asyncio.sleep(self.draw())
        self.grow()

    def draw(self) -> float:
        """Return the current pause with random jitter, in seconds."""
        return self._next_s * self._random.uniform(*self._jitter)

    def grow(self) -> None:
        """Double the pause up to the limit."""
        self._next_s = min(self._limit_s, self._next_s * 2)

    def reset(self) -> None:
        """Return to the first pause after a successful attempt."""
        self._next_s = self._first_s
