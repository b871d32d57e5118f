"""Detects that the host was suspended.

The clock of the event loop stops while the host is suspended, so that afterwards every deadline is
late by that time. The kernel's boot-time clock continues to count.
"""

import asyncio
import time
from collections.abc import Callable

from loguru import logger

CHECK_INTERVAL_S = 0.25
# The two clocks are read one after the other, so that a smaller difference is noise.
MIN_SUSPENDED_S = 0.1


def boot_time_s() -> float:
    """Return the time since the host booted, including suspensions, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_s() -> float:
    """Return how long the host has been suspended since it booted, in seconds."""
    return boot_time_s() - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspendWatch:
    """Notifies listeners of the length of each suspension, after the host has resumed.

    Args:
        total: Returns how long the host has been suspended since it booted, in seconds.
    """

    def __init__(self, total: Callable[[], float] = suspended_s) -> None:
        self._total = total
        self._seen = total()
        self._listeners: list[Callable[[float], None]] = []

    @property
    def unnoticed_s(self) -> float:
        """Length of a suspension of which the listeners have not been notified yet, in seconds."""
        unnoticed = self._total() - self._seen
        return unnoticed if unnoticed > MIN_SUSPENDED_S else 0.0

    def listen(self, listener: Callable[[float], None]) -> None:
        """Register a function that is called with the length of each suspension, in seconds."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Compare the clocks until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            suspended, self._seen = self.unnoticed_s, self._total()
            if suspended:
                logger.bind(suspended_s=round(suspended, 3)).warning("the host was suspended")
                for listener in self._listeners:
                    listener(suspended)
